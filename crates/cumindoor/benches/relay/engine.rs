//! An engine that does no work. The text of each token is the time at which it was sent.
//!
//! A client in another process computes the delay of a token from it, as both processes read the
//! same clock. The stand-in engine of the tests does not include the send time.

use std::collections::BTreeSet;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use futures::stream;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep_until};

type Body = UnsyncBoxBody<Bytes, Infallible>;
type ActiveIds = Arc<Mutex<BTreeSet<String>>>;

/// Returns the time in nanoseconds since the Unix epoch.
pub fn now() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(since.unwrap_or_default().as_nanos()).unwrap_or(u64::MAX)
}

/// Serves until the process is killed. The argument is the time between two tokens in
/// microseconds.
pub fn run(args: &[String]) -> eyre::Result<()> {
    let token_interval = Duration::from_micros(args[0].parse()?);
    tokio::runtime::Runtime::new()?.block_on(serve(token_interval))
}

async fn serve(token_interval: Duration) -> eyre::Result<()> {
    let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
    println!("{}", listener.local_addr()?);
    let active = ActiveIds::default();
    loop {
        let (stream, _) = listener.accept().await?;
        stream.set_nodelay(true)?;
        let active = active.clone();
        tokio::spawn(async move {
            let service = service_fn(|request| answer(request, token_interval, active.clone()));
            let io = TokioIo::new(stream);
            let builder = hyper::server::conn::http1::Builder::new();
            let _ = builder.serve_connection(io, service).await;
        });
    }
}

fn json_answer(value: &Value) -> Response<Body> {
    Response::new(Full::new(Bytes::from(value.to_string())).boxed_unsync())
}

async fn answer(
    request: Request<Incoming>,
    token_interval: Duration,
    active: ActiveIds,
) -> Result<Response<Body>, hyper::Error> {
    let path = request.uri().path().to_owned();
    let body = request.into_body().collect().await?.to_bytes();
    let call: Value = serde_json::from_slice(&body).unwrap_or_default();
    let id = call["id"].as_str().unwrap_or_default().to_owned();
    Ok(match path.as_str() {
        "/v1/prefill" => json_answer(&json!({
            "handle": id, "prompt_tokens": 10, "cached_tokens": 0, "expires_ms": 60_000,
        })),
        "/v1/decode" => {
            let tokens = call["max_tokens"].as_u64().unwrap_or(0);
            Response::new(stream_body(id, tokens, token_interval, active))
        }
        "/v1/load" => {
            let active = active
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .clone();
            json_answer(
                &json!({"slots": 100_000, "used": active.len(), "held": active, "queue": 0}),
            )
        }
        "/v1/events" => json_answer(&json!({"events": []})),
        _ => json_answer(&json!({})),
    })
}

/// Removes the id from the active ids when the stream is dropped.
struct ActiveGuard {
    id: String,
    active: ActiveIds,
}

impl Drop for ActiveGuard {
    fn drop(&mut self) {
        let mut ids = self.active.lock().unwrap_or_else(PoisonError::into_inner);
        ids.remove(&self.id);
    }
}

fn stream_body(id: String, tokens: u64, token_interval: Duration, active: ActiveIds) -> Body {
    let mut ids = active.lock().unwrap_or_else(PoisonError::into_inner);
    ids.insert(id.clone());
    drop(ids);
    let guard = ActiveGuard { id, active };
    let state = (guard, 0, Instant::now());
    let frames = stream::unfold(state, move |(guard, index, due)| async move {
        if index > tokens {
            return None;
        }
        if index > 0 {
            sleep_until(due).await;
        }
        let id = &guard.id;
        let event = if index == tokens {
            json!({"id": id, "finish": "length", "prompt_tokens": 10, "output_tokens": tokens})
        } else {
            json!({"id": id, "index": index, "token": now().to_string()})
        };
        let frame = Frame::data(Bytes::from(format!("data: {event}\n\n")));
        Some((Ok(frame), (guard, index + 1, due + token_interval)))
    });
    StreamBody::new(Box::pin(frames)).boxed_unsync()
}
