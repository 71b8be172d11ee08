//! An engine without work: its tokens are the time at which they were sent.
//!
//! The stand-in of the tests does not tell when it sent a token; this one does, so that a
//! reader in another process can compute the delay (both read the same clock).

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
type Held = Arc<Mutex<BTreeSet<String>>>;

/// Nanoseconds since the epoch.
pub fn now() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(since.unwrap_or_default().as_nanos()).unwrap_or(u64::MAX)
}

/// Serves until the process is killed.
pub fn run(args: &[String]) -> eyre::Result<()> {
    let step = Duration::from_micros(args[0].parse()?);
    tokio::runtime::Runtime::new()?.block_on(serve(step))
}

async fn serve(step: Duration) -> eyre::Result<()> {
    let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
    println!("{}", listener.local_addr()?);
    let held = Held::default();
    loop {
        let (stream, _) = listener.accept().await?;
        stream.set_nodelay(true)?;
        let held = held.clone();
        tokio::spawn(async move {
            let service = service_fn(|request| answer(request, step, held.clone()));
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
    step: Duration,
    held: Held,
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
            Response::new(stream_body(id, tokens, step, held))
        }
        "/v1/load" => {
            let held = held.lock().unwrap_or_else(PoisonError::into_inner).clone();
            json_answer(&json!({"slots": 100_000, "used": held.len(), "held": held, "queue": 0}))
        }
        "/v1/events" => json_answer(&json!({"events": []})),
        _ => json_answer(&json!({})),
    })
}

/// Holds an id until the stream is dropped.
struct Holding {
    id: String,
    held: Held,
}

impl Drop for Holding {
    fn drop(&mut self) {
        let mut held = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        held.remove(&self.id);
    }
}

fn stream_body(id: String, tokens: u64, step: Duration, held: Held) -> Body {
    let mut ids = held.lock().unwrap_or_else(PoisonError::into_inner);
    ids.insert(id.clone());
    drop(ids);
    let holding = Holding { id, held };
    let state = (holding, 0, Instant::now());
    let frames = stream::unfold(state, move |(holding, index, due)| async move {
        if index > tokens {
            return None;
        }
        if index > 0 {
            sleep_until(due).await;
        }
        let id = &holding.id;
        let event = if index == tokens {
            json!({"id": id, "finish": "length", "prompt_tokens": 10, "output_tokens": tokens})
        } else {
            json!({"id": id, "index": index, "token": now().to_string()})
        };
        let frame = Frame::data(Bytes::from(format!("data: {event}\n\n")));
        Some((Ok(frame), (holding, index + 1, due + step)))
    });
    StreamBody::new(Box::pin(frames)).boxed_unsync()
}
