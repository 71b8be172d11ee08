//! Request and response bodies, JSON, and a GET client.

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

/// Larger request bodies are refused.
const MAX_BODY_BYTES: usize = 64 << 20;

/// The body of every response.
pub(crate) type Body = BoxBody<Bytes, Infallible>;

/// A response, or the decision to close the connection without one.
pub(crate) type HandlerResult = Result<Response<Body>, ConnectionClosed>;

/// Makes the server close the connection without a response.
#[derive(Debug)]
pub(crate) struct ConnectionClosed;

impl std::fmt::Display for ConnectionClosed {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("connection closed without a response")
    }
}

impl std::error::Error for ConnectionClosed {}

pub(crate) fn full_body(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).boxed()
}

pub(crate) fn json_response(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(full_body(bytes));
    *response.status_mut() = status;
    let json = hyper::header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

/// Returns a response with the JSON body `{"error": error}`.
pub(crate) fn error_response(status: StatusCode, error: &str) -> Response<Body> {
    json_response(status, &json!({ "error": error }))
}

/// The status and text of an error response.
pub(crate) struct ErrorResponse(pub StatusCode, pub String);

impl ErrorResponse {
    pub(crate) fn new(status: StatusCode, error: &str) -> Self {
        Self(status, error.to_owned())
    }

    pub(crate) fn response(&self) -> Response<Body> {
        error_response(self.0, &self.1)
    }
}

/// Reads a request body of up to [`MAX_BODY_BYTES`].
pub(crate) async fn read_body(request: Request<Incoming>) -> Result<Bytes, ErrorResponse> {
    let limited = Limited::new(request.into_body(), MAX_BODY_BYTES);
    let collected = limited
        .collect()
        .await
        .map_err(|error| ErrorResponse(StatusCode::BAD_REQUEST, format!("body: {error}")))?;
    Ok(collected.to_bytes())
}

/// Reads a JSON request body.
pub(crate) async fn read_json<T: DeserializeOwned>(
    request: Request<Incoming>,
) -> Result<T, ErrorResponse> {
    let bytes = read_body(request).await?;
    serde_json::from_slice(&bytes)
        .map_err(|error| ErrorResponse(StatusCode::BAD_REQUEST, format!("body: {error}")))
}

/// Returns the parameters of the query string.
///
/// Percent-encoding is not decoded: the values are numbers or names that need none.
pub(crate) fn query_params(request: &Request<Incoming>) -> BTreeMap<String, String> {
    let query = request.uri().query().unwrap_or_default();
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(key, value)| (key.to_owned(), value.to_owned()))
        .collect()
}

/// Returns the numeric parameter `key`, or zero if it is missing or not a number.
pub(crate) fn number_param(params: &BTreeMap<String, String>, key: &str) -> u64 {
    params
        .get(key)
        .and_then(|value| value.parse().ok())
        .unwrap_or(0)
}

/// Sends a GET request on a new connection and returns the status and the JSON body.
///
/// The body is `Null` if it is not JSON.
pub(crate) async fn get_json(addr: &str, path: &str) -> io::Result<(StatusCode, Value)> {
    let stream = TcpStream::connect(addr).await?;
    stream.set_nodelay(true)?;
    let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream));
    let (mut sender, connection) = handshake.await.map_err(io::Error::other)?;
    let exchange = async {
        let request = Request::get(path)
            .header("host", addr)
            .body(Empty::<Bytes>::new())
            .map_err(io::Error::other)?;
        let response = sender.send_request(request).await;
        let response = response.map_err(io::Error::other)?;
        let status = response.status();
        let body = response.into_body().collect().await;
        let bytes = body.map_err(io::Error::other)?.to_bytes();
        let value = serde_json::from_slice(&bytes).unwrap_or(Value::Null);
        Ok((status, value))
    };
    tokio::pin!(exchange);
    // The connection is driven by this future, so that dropping the future closes it at once.
    let driver = async {
        let _ = connection.await;
        std::future::pending::<()>().await;
    };
    tokio::select! {
        result = &mut exchange => result,
        () = driver => Err(io::Error::other("connection ended")),
    }
}
