//! Bodies, JSON answers and a small client.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::io;

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Empty, Full, Limited};
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use tokio::net::TcpStream;

/// Bytes of a request body that a stand-in reads at most.
const BODY_LIMIT: usize = 64 << 20;

/// The body of every answer.
pub(crate) type Body = BoxBody<Bytes, Infallible>;

/// An answer, or the decision to close the connection without one.
pub(crate) type Answer = Result<Response<Body>, Closed>;

/// The handler closes the connection without an answer.
#[derive(Debug)]
pub(crate) struct Closed;

impl std::fmt::Display for Closed {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("connection closed without an answer")
    }
}

impl std::error::Error for Closed {}

/// Returns a body with `bytes`.
pub(crate) fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).boxed()
}

/// Returns an answer with `value` as JSON.
pub(crate) fn json_answer(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    let mut answer = Response::new(full(bytes));
    *answer.status_mut() = status;
    let json = hyper::header::HeaderValue::from_static("application/json");
    answer.headers_mut().insert(CONTENT_TYPE, json);
    answer
}

/// Returns an answer that reports `error`.
pub(crate) fn error_answer(status: StatusCode, error: &str) -> Response<Body> {
    json_answer(status, &json!({ "error": error }))
}

/// A request that gets an error instead of the wanted answer.
pub(crate) struct Refusal(pub StatusCode, pub String);

impl Refusal {
    pub(crate) fn new(status: StatusCode, error: &str) -> Self {
        Self(status, error.to_owned())
    }

    pub(crate) fn answer(&self) -> Response<Body> {
        error_answer(self.0, &self.1)
    }
}

/// Reads the whole body of a request.
pub(crate) async fn read_body(request: Request<Incoming>) -> Result<Bytes, Refusal> {
    let limited = Limited::new(request.into_body(), BODY_LIMIT);
    let collected = limited
        .collect()
        .await
        .map_err(|error| Refusal(StatusCode::BAD_REQUEST, format!("body: {error}")))?;
    Ok(collected.to_bytes())
}

/// Reads the body of a request as JSON.
pub(crate) async fn read_json<T: DeserializeOwned>(
    request: Request<Incoming>,
) -> Result<T, Refusal> {
    let bytes = read_body(request).await?;
    serde_json::from_slice(&bytes)
        .map_err(|error| Refusal(StatusCode::BAD_REQUEST, format!("body: {error}")))
}

/// Returns the parameters of the query part; values are numbers or names without escapes.
pub(crate) fn query(request: &Request<Incoming>) -> BTreeMap<String, String> {
    let query = request.uri().query().unwrap_or_default();
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(key, value)| (key.to_owned(), value.to_owned()))
        .collect()
}

/// Returns the numeric parameter `key`, or zero.
pub(crate) fn number(query: &BTreeMap<String, String>, key: &str) -> u64 {
    query.get(key).and_then(|v| v.parse().ok()).unwrap_or(0)
}

/// Sends one GET request on a connection of its own and returns the status and the JSON.
pub(crate) async fn get(addr: &str, path: &str) -> io::Result<(StatusCode, Value)> {
    let stream = TcpStream::connect(addr).await?;
    stream.set_nodelay(true)?;
    let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream));
    let (mut sender, connection) = handshake.await.map_err(io::Error::other)?;
    let exchange = async {
        let request = Request::get(path)
            .header("host", addr)
            .body(Empty::<Bytes>::new())
            .map_err(io::Error::other)?;
        let answer = sender.send_request(request).await;
        let answer = answer.map_err(io::Error::other)?;
        let status = answer.status();
        let body = answer.into_body().collect().await;
        let bytes = body.map_err(io::Error::other)?.to_bytes();
        let value = serde_json::from_slice(&bytes).unwrap_or(Value::Null);
        Ok((status, value))
    };
    tokio::pin!(exchange);
    // The connection ends with this future, so an abandoned transfer is closed at once.
    let driver = async {
        let _ = connection.await;
        std::future::pending::<()>().await;
    };
    tokio::select! {
        result = &mut exchange => result,
        () = driver => Err(io::Error::other("connection ended")),
    }
}
