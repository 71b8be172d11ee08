//! The HTTP client of the demonstration.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use eyre::{bail, ensure, eyre};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpStream;

use super::ORGANISATION;

/// The text and timings of a complete streamed response.
pub(super) struct StreamedResponse {
    pub text: String,
    pub first_token: Duration,
    pub total: Duration,
}

/// Sends one POST request on a new connection and returns the response.
async fn post(
    addr: SocketAddr,
    path: &str,
    key: Option<&str>,
    body: String,
) -> eyre::Result<Response<Incoming>> {
    let stream = TcpStream::connect(addr).await?;
    stream.set_nodelay(true)?;
    let io = TokioIo::new(stream);
    let (mut sender, connection) = hyper::client::conn::http1::handshake(io).await?;
    tokio::spawn(connection);
    let mut request = Request::post(path)
        .header("host", addr.to_string())
        .header("content-type", "application/json")
        .header("x-organisation", ORGANISATION);
    if let Some(key) = key {
        request = request.header("idempotency-key", key);
    }
    let request = request.body(Full::new(Bytes::from(body)))?;
    Ok(sender.send_request(request).await?)
}

/// Sends one call with an idempotency key and returns the status and the JSON body.
pub(super) async fn call(
    addr: SocketAddr,
    path: &str,
    key: &str,
    body: &Value,
) -> eyre::Result<(u16, Value)> {
    let response = post(addr, path, Some(key), body.to_string()).await?;
    let status = response.status().as_u16();
    let bytes = response.into_body().collect().await?.to_bytes();
    Ok((status, serde_json::from_slice(&bytes)?))
}

/// Sends a request with a streamed response.
///
/// Calls `on_token` after each token with the number of tokens received so far.
pub(super) async fn stream(
    addr: SocketAddr,
    path: &str,
    body: &Value,
    mut on_token: impl AsyncFnMut(u32),
) -> eyre::Result<StreamedResponse> {
    let start = Instant::now();
    let response = post(addr, path, None, body.to_string()).await?;
    let status = response.status();
    let mut body = response.into_body();
    if !status.is_success() {
        let bytes = body.collect().await?.to_bytes();
        bail!(
            "expected a success status, got {status}: {}",
            String::from_utf8_lossy(&bytes)
        );
    }
    let mut parser = EventParser::default();
    let mut first_token = None;
    while let Some(frame) = body.frame().await {
        let Ok(bytes) = frame?.into_data() else {
            continue;
        };
        for token in parser.push(&bytes)? {
            first_token.get_or_insert_with(|| start.elapsed());
            parser.tokens += 1;
            parser.text.push_str(&token);
            on_token(parser.tokens).await;
        }
    }
    ensure!(parser.done, "the event stream ended without `data: [DONE]`");
    Ok(StreamedResponse {
        text: parser.text,
        first_token: first_token.unwrap_or_default(),
        total: start.elapsed(),
    })
}

/// Parser of one stream of server-sent events.
#[derive(Default)]
struct EventParser {
    buffer: Vec<u8>,
    tokens: u32,
    text: String,
    done: bool,
}

impl EventParser {
    /// Appends received bytes and returns the tokens of the events that are now complete.
    fn push(&mut self, bytes: &[u8]) -> eyre::Result<Vec<String>> {
        self.buffer.extend_from_slice(bytes);
        let mut tokens = Vec::new();
        while let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = self.buffer.drain(..=end).collect();
            let line = String::from_utf8_lossy(&line);
            let Some(data) = line.trim_end().strip_prefix("data: ") else {
                continue;
            };
            if data == "[DONE]" {
                self.done = true;
                continue;
            }
            let event: Value = serde_json::from_str(data)?;
            if let Some(error) = event.get("error") {
                return Err(eyre!("the event stream contains an error: {error}"));
            }
            let choice = &event["choices"][0];
            let text = choice["text"].as_str();
            let text = text.or_else(|| choice["delta"]["content"].as_str());
            tokens.extend(text.filter(|text| !text.is_empty()).map(str::to_owned));
        }
        Ok(tokens)
    }
}
