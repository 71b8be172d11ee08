//! Clients that call an engine directly, in its own protocol, or through the router.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use futures::future::try_join_all;
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::net::TcpStream;

use crate::engine::now;

/// Highest duration that the histogram records: one minute.
const MAX_DELAY_US: u64 = 60_000_000;

/// Histogram of durations in microseconds.
pub struct Samples(Histogram<u64>);

impl Default for Samples {
    fn default() -> Self {
        Self(Histogram::new_with_bounds(1, MAX_DELAY_US, 3).expect("the bounds are valid"))
    }
}

impl Samples {
    pub fn add(&mut self, duration: Duration) {
        self.add_us(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX));
    }

    fn add_us(&mut self, us: u64) {
        self.0.saturating_record(us);
    }

    pub fn median(&self) -> u64 {
        self.quantile(0.5)
    }

    pub fn quantile(&self, quantile: f64) -> u64 {
        self.0.value_at_quantile(quantile)
    }
}

/// Tokens that a number of streams received, and their delays.
#[derive(Default)]
pub struct StreamTotals {
    pub tokens: usize,
    pub delays: Samples,
}

type Sender = SendRequest<Full<Bytes>>;

/// An open stream together with its connection.
pub struct OpenStream {
    sender: Sender,
    body: Incoming,
}

async fn connect(addr: SocketAddr) -> eyre::Result<Sender> {
    let stream = TcpStream::connect(addr).await?;
    stream.set_nodelay(true)?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    Ok(sender)
}

async fn post(sender: &mut Sender, path: &str, body: &Value) -> eyre::Result<Response<Incoming>> {
    let request = Request::post(path)
        .header("host", "bench")
        .header("x-organisation", "bench")
        .body(Full::new(Bytes::from(body.to_string())))?;
    let response = sender.send_request(request).await?;
    if response.status() != 200 {
        let text = response.into_body().collect().await?.to_bytes();
        eyre::bail!("{}", String::from_utf8_lossy(&text));
    }
    Ok(response)
}

async fn start_direct(addr: SocketAddr, id: &str, tokens: usize) -> eyre::Result<OpenStream> {
    let mut sender = connect(addr).await?;
    let prefill = json!({"id": id, "prompt": "hello", "priority": 1});
    let response = post(&mut sender, "/v1/prefill", &prefill).await?;
    response.into_body().collect().await?;
    sender.ready().await?;
    let decode = json!({
        "id": id, "source": addr.to_string(), "handle": id, "prompt": "hello", "offset": 0,
        "max_tokens": tokens, "priority": 1,
    });
    let response = post(&mut sender, "/v1/decode", &decode).await?;
    let body = response.into_body();
    Ok(OpenStream { sender, body })
}

async fn start_relayed(addr: SocketAddr, tokens: usize) -> eyre::Result<OpenStream> {
    let mut sender = connect(addr).await?;
    let chat = json!({
        "model": "chat", "messages": [{"role": "user", "content": "hello"}],
        "max_tokens": tokens, "stream": true,
    });
    let response = post(&mut sender, "/v1/chat/completions", &chat).await?;
    let body = response.into_body();
    Ok(OpenStream { sender, body })
}

async fn first_frame(stream: &mut OpenStream) -> eyre::Result<()> {
    let frame = stream.body.frame().await;
    frame.ok_or_else(|| eyre::eyre!("the stream ended before its first token"))??;
    Ok(())
}

/// Returns the time to first token without the router, including the connection set-up.
pub async fn direct_first(addr: SocketAddr, id: &str) -> eyre::Result<Duration> {
    let began = Instant::now();
    let mut stream = start_direct(addr, id, 1).await?;
    first_frame(&mut stream).await?;
    Ok(began.elapsed())
}

/// Returns the time to first token through the router, including the connection set-up.
pub async fn relayed_first(addr: SocketAddr, _prompt: &str) -> eyre::Result<Duration> {
    let began = Instant::now();
    let mut stream = start_relayed(addr, 1).await?;
    first_frame(&mut stream).await?;
    Ok(began.elapsed())
}

async fn read(stream: OpenStream) -> eyre::Result<StreamTotals> {
    let OpenStream { mut body, sender } = stream;
    let mut totals = StreamTotals::default();
    let mut buffer = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        let arrived = now();
        buffer.extend_from_slice(&data);
        while let Some(end) = buffer.iter().position(|byte| *byte == b'\n') {
            let line = buffer.split_to(end + 1);
            if let Some(sent) = sent_at(&line) {
                totals.tokens += 1;
                totals.delays.add_us(arrived.saturating_sub(sent) / 1_000);
            }
        }
    }
    drop(sender);
    Ok(totals)
}

/// Returns the send time that the token of an event holds, in the engine's or the router's format.
fn sent_at(line: &[u8]) -> Option<u64> {
    let event: Value = serde_json::from_slice(line.strip_prefix(b"data: ")?).ok()?;
    let direct = event["token"].as_str();
    let relayed = event["choices"][0]["delta"]["content"].as_str();
    direct.or(relayed)?.parse().ok()
}

async fn join_all_streams(
    streams: Vec<tokio::task::JoinHandle<eyre::Result<StreamTotals>>>,
) -> eyre::Result<StreamTotals> {
    let mut all = StreamTotals::default();
    for stream in try_join_all(streams).await? {
        let totals = stream?;
        all.tokens += totals.tokens;
        all.delays.0.add(totals.delays.0)?;
    }
    Ok(all)
}

/// Runs concurrent streams of `tokens` tokens without the router and returns their totals.
pub async fn direct_load(
    addr: SocketAddr,
    streams: usize,
    tokens: usize,
) -> eyre::Result<StreamTotals> {
    let started = (0..streams).map(|number| {
        tokio::spawn(async move {
            read(start_direct(addr, &format!("direct-{number}"), tokens).await?).await
        })
    });
    join_all_streams(started.collect()).await
}

/// Runs concurrent streams of `tokens` tokens through the router and returns their totals.
pub async fn relayed_load(
    addr: SocketAddr,
    streams: usize,
    tokens: usize,
) -> eyre::Result<StreamTotals> {
    let started = (0..streams)
        .map(|_| tokio::spawn(async move { read(start_relayed(addr, tokens).await?).await }));
    join_all_streams(started.collect()).await
}

/// Opens streams that run until they are aborted, and waits for the first token of each.
pub async fn open_streams(
    addr: SocketAddr,
    streams: usize,
) -> eyre::Result<Vec<tokio::task::AbortHandle>> {
    let mut handles = Vec::new();
    for _ in 0..streams {
        let mut stream = start_relayed(addr, 1_000_000).await?;
        first_frame(&mut stream).await?;
        handles.push(tokio::spawn(read(stream)).abort_handle());
    }
    Ok(handles)
}
