//! An HTTP client and helpers for the tests of the stand-ins.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use standin::{Engine, EngineOptions, Role};
use tokio::net::TcpStream;

pub type Sender = SendRequest<Full<Bytes>>;

/// Opens a connection, whose task runs until the sender is dropped.
pub async fn connect(addr: SocketAddr) -> std::io::Result<Sender> {
    let stream = TcpStream::connect(addr).await?;
    let io = TokioIo::new(stream);
    let (sender, connection) = hyper::client::conn::http1::handshake(io)
        .await
        .map_err(std::io::Error::other)?;
    tokio::spawn(connection);
    Ok(sender)
}

/// Sends a request with an idempotency key on `sender`.
pub async fn send(
    sender: &mut Sender,
    method: &str,
    path: &str,
    body: &str,
) -> hyper::Result<Response<Incoming>> {
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", "standin")
        .header("idempotency-key", "key-1")
        .body(Full::new(Bytes::from(body.to_owned())))
        .unwrap();
    sender.send_request(request).await
}

/// Sends a request on a new connection and returns the status and the JSON body.
pub async fn call(addr: SocketAddr, method: &str, path: &str, body: Value) -> (u16, Value) {
    let mut sender = connect(addr).await.unwrap();
    let text = if body.is_null() {
        String::new()
    } else {
        body.to_string()
    };
    let response = send(&mut sender, method, path, &text).await.unwrap();
    let status = response.status().as_u16();
    let bytes = response.into_body().collect().await.unwrap().to_bytes();
    (
        status,
        serde_json::from_slice(&bytes).unwrap_or(Value::Null),
    )
}

/// Starts a prefill engine and a decode engine that has 2 slots.
pub async fn engines() -> (Engine, Engine) {
    let prefill = EngineOptions {
        role: Role::Prefill,
        // Longer than any test takes, so that nothing is evicted on a slow machine.
        prefill_ttl: Duration::from_hours(1),
        ..EngineOptions::default()
    };
    let decode = EngineOptions {
        role: Role::Decode,
        slots: 2,
        ..EngineOptions::default()
    };
    (
        Engine::spawn(prefill).await.unwrap(),
        Engine::spawn(decode).await.unwrap(),
    )
}

/// Runs a prefill and returns the handle of its KV cache.
pub async fn prefill(engine: &Engine, id: &str, prompt: &str) -> String {
    let body = json!({ "id": id, "prompt": prompt, "priority": 0 });
    let (status, value) = call(engine.addr(), "POST", "/v1/prefill", body).await;
    assert_eq!(status, 200, "{value}");
    value["handle"].as_str().unwrap().to_owned()
}

/// Returns the body of a decode request.
pub fn decode_body(source: &Engine, handle: &str, id: &str, prompt: &str, offset: u32) -> Value {
    json!({
        "id": id, "source": source.addr().to_string(), "handle": handle, "prompt": prompt,
        "offset": offset, "max_tokens": 12, "priority": 0,
    })
}

/// Reads a stream to its end and returns its events.
pub async fn events(response: Response<Incoming>) -> Vec<Value> {
    let bytes = response.into_body().collect().await.unwrap().to_bytes();
    parse_events(&bytes)
}

/// Parses server-sent events whose data is JSON.
pub fn parse_events(bytes: &[u8]) -> Vec<Value> {
    let text = std::str::from_utf8(bytes).unwrap();
    let lines = text.lines().filter_map(|line| line.strip_prefix("data: "));
    lines
        .map(|line| serde_json::from_str(line).unwrap())
        .collect()
}

/// Returns the concatenated tokens of `events`.
pub fn text(events: &[Value]) -> String {
    events
        .iter()
        .filter_map(|event| event["token"].as_str())
        .collect()
}
