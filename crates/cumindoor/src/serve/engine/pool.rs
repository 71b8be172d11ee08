//! HTTP/1.1 connections to upstreams, kept for reuse.

use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use derive_more::Display;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HOST, HeaderMap, HeaderValue};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Idle connections kept for one upstream; a decode engine holds about 20 requests.
const IDLE_PER_UPSTREAM: usize = 32;
/// Idle connections are closed after this time, or sooner if the upstream announces it.
const IDLE_TIME: Duration = Duration::from_secs(15);
/// An idle connection is closed this much before the upstream would: a request that crosses the
/// upstream's close may have been received.
const CLOSE_MARGIN: Duration = Duration::from_secs(1);
/// Time without bytes after which the kernel asks whether the other end still knows the connection.
const KEEPALIVE_TIME: Duration = Duration::from_secs(1);
/// Unanswered questions after which a silent connection is broken.
const KEEPALIVE_TRIES: u32 = 2;
/// Read buffer of one connection; a batch of tokens is far smaller.
const READ_BUFFER: usize = 64 * 1024;

/// Any error of a streamed request body.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;
/// The body of a request to an upstream.
pub type BoxedBody = UnsyncBoxBody<Bytes, BodyError>;

type Sender = SendRequest<BoxedBody>;

/// Returns a body that is already complete.
pub fn full_body(bytes: impl Into<Bytes>) -> BoxedBody {
    let full = Full::new(bytes.into());
    full.map_err(|never| match never {}).boxed_unsync()
}

/// Why a request was not answered.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum SendError {
    /// No byte of it was sent.
    #[display("not sent: {_0}")]
    Unsent(String),
    /// The connection was refused: nothing listens at the address.
    #[display("not sent: {_0}")]
    Refused(String),
    /// It may have been received.
    #[display("sent, but not answered: {_0}")]
    Sent(String),
}

/// The head of an answer with the connection that its body arrives on.
#[derive(Debug)]
pub struct PooledResponse {
    /// The answer.
    pub response: Response<Incoming>,
    /// The connection.
    pub lease: Lease,
}

/// A connection in use; it is closed unless it is released.
#[derive(Debug)]
pub struct Lease {
    pool: Pool,
    addr: SocketAddr,
    sender: Sender,
    /// How long the connection may stay idle.
    idle: Duration,
}

impl Lease {
    /// Gives the connection back after the whole answer was read.
    pub fn release(self) {
        let Self {
            pool,
            addr,
            sender,
            idle,
        } = self;
        pool.put(addr, sender, idle);
    }
}

/// A new connection that nothing was sent over.
#[derive(Debug)]
pub struct Connection {
    pool: Pool,
    addr: SocketAddr,
    sender: Sender,
}

impl Connection {
    /// Sends the request.
    ///
    /// # Errors
    ///
    /// Returns [`SendError`], which tells whether the request may have been received.
    pub async fn send(self, request: Request<BoxedBody>) -> Result<PooledResponse, SendError> {
        let Self { pool, addr, sender } = self;
        let sent = pool.exchange(addr, sender, request).await;
        sent.map_err(|(unsent, text)| match unsent {
            Some(_) => SendError::Unsent(text),
            None => SendError::Sent(text),
        })
    }
}

#[derive(Debug)]
struct Idle {
    sender: Sender,
    since: Instant,
    limit: Duration,
}

/// Connections to upstreams; clones share them.
#[derive(Clone, Debug)]
pub struct Pool {
    idle: Arc<Mutex<BTreeMap<SocketAddr, Vec<Idle>>>>,
    connect: Duration,
}

impl Pool {
    /// Returns an empty pool whose connections open within `connect`.
    #[must_use]
    pub fn new(connect: Duration) -> Self {
        Self {
            idle: Arc::default(),
            connect,
        }
    }

    /// Sends a request over an idle or a new connection.
    ///
    /// # Errors
    ///
    /// Returns [`SendError`], which tells whether the request may have been received.
    pub async fn send(
        &self,
        addr: SocketAddr,
        request: Request<BoxedBody>,
    ) -> Result<PooledResponse, SendError> {
        self.send_with_max_idle(addr, request, IDLE_TIME).await
    }

    /// Sends a request over a connection that was idle for less than `idle`, or over a new one.
    ///
    /// # Errors
    ///
    /// Returns [`SendError`], which tells whether the request may have been received.
    pub async fn send_with_max_idle(
        &self,
        addr: SocketAddr,
        mut request: Request<BoxedBody>,
        idle: Duration,
    ) -> Result<PooledResponse, SendError> {
        while let Some(sender) = self.take(addr, idle) {
            match self.exchange(addr, sender, request).await {
                Ok(connected) => return Ok(connected),
                // The upstream had closed the idle connection; nothing was sent.
                Err((Some(unsent), _)) => request = unsent,
                Err((None, text)) => return Err(SendError::Sent(text)),
            }
        }
        self.send_fresh(addr, request).await
    }

    /// Sends a request over a new connection.
    ///
    /// # Errors
    ///
    /// Returns [`SendError`], which tells whether the request may have been received.
    pub async fn send_fresh(
        &self,
        addr: SocketAddr,
        request: Request<BoxedBody>,
    ) -> Result<PooledResponse, SendError> {
        self.connect(addr).await?.send(request).await
    }

    /// Opens a new connection; nothing is sent over it yet.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::Unsent`] if the upstream cannot be reached.
    pub async fn connect(&self, addr: SocketAddr) -> Result<Connection, SendError> {
        let sender = self.open(addr).await?;
        let pool = self.clone();
        Ok(Connection { pool, addr, sender })
    }

    async fn open(&self, addr: SocketAddr) -> Result<Sender, SendError> {
        let connecting = timeout(self.connect, TcpStream::connect(addr)).await;
        let connected =
            connecting.map_err(|_| SendError::Unsent(format!("connect to {addr} timed out")))?;
        let stream = connected.map_err(|error| {
            let text = format!("connect to {addr}: {error}");
            match error.kind() {
                ErrorKind::ConnectionRefused => SendError::Refused(text),
                _ => SendError::Unsent(text),
            }
        })?;
        let unsent = |error: &dyn std::fmt::Display| SendError::Unsent(error.to_string());
        stream.set_nodelay(true).map_err(|error| unsent(&error))?;
        let keepalive = TcpKeepalive::new()
            .with_time(KEEPALIVE_TIME)
            .with_interval(KEEPALIVE_TIME)
            .with_retries(KEEPALIVE_TRIES);
        let kept = SockRef::from(&stream).set_tcp_keepalive(&keepalive);
        kept.map_err(|error| unsent(&error))?;
        let handshake = http1::Builder::new()
            .max_buf_size(READ_BUFFER)
            .handshake(TokioIo::new(stream));
        let (sender, connection) = handshake.await.map_err(|error| unsent(&error))?;
        // Its error reaches the request as well, so it is not reported here.
        tokio::spawn(async move { drop(connection.await) });
        Ok(sender)
    }

    async fn exchange(
        &self,
        addr: SocketAddr,
        mut sender: Sender,
        mut request: Request<BoxedBody>,
    ) -> Result<PooledResponse, (Option<Request<BoxedBody>>, String)> {
        if let Ok(host) = HeaderValue::from_str(&addr.to_string()) {
            request.headers_mut().entry(HOST).or_insert(host);
        }
        match sender.try_send_request(request).await {
            Ok(response) => {
                let lease = Lease {
                    pool: self.clone(),
                    addr,
                    sender,
                    idle: idle_limit(response.headers()),
                };
                Ok(PooledResponse { response, lease })
            }
            Err(mut failed) => {
                let unsent = failed.take_message();
                Err((unsent, describe(failed.error())))
            }
        }
    }

    fn take(&self, addr: SocketAddr, limit: Duration) -> Option<Sender> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let list = idle.get_mut(&addr)?;
        list.retain(is_usable);
        let fits = |idle: &Idle| idle.sender.is_ready() && idle.since.elapsed() < limit;
        let ready = list.iter().rposition(fits)?;
        Some(list.swap_remove(ready).sender)
    }

    fn put(&self, addr: SocketAddr, sender: Sender, limit: Duration) {
        if sender.is_closed() {
            return;
        }
        let since = Instant::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let list = idle.entry(addr).or_default();
        if list.len() < IDLE_PER_UPSTREAM {
            list.push(Idle {
                sender,
                since,
                limit,
            });
        }
    }

    /// Closes the idle connections to an upstream that failed.
    pub fn close_idle(&self, addr: SocketAddr) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.remove(&addr);
    }

    /// Closes connections that are idle for too long.
    pub fn close_expired(&self) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        for list in idle.values_mut() {
            list.retain(is_usable);
        }
        idle.retain(|_, list| !list.is_empty());
    }

    /// Returns the number of idle connections.
    #[must_use]
    pub fn idle_count(&self) -> usize {
        let idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.values().map(Vec::len).sum()
    }
}

fn is_usable(idle: &Idle) -> bool {
    !idle.sender.is_closed() && idle.since.elapsed() < idle.limit
}

/// Returns how long a connection may stay idle after an answer: less than the upstream announces.
fn idle_limit(headers: &HeaderMap) -> Duration {
    let announced = headers.get("keep-alive").and_then(|value| {
        let mut parts = value.to_str().ok()?.split(',');
        let seconds = parts.find_map(|part| part.trim().strip_prefix("timeout="))?;
        seconds.trim().parse().ok().map(Duration::from_secs)
    });
    let limit = announced.map(|time| time.saturating_sub(CLOSE_MARGIN));
    limit.map_or(IDLE_TIME, |limit| limit.min(IDLE_TIME))
}

/// Returns the text of an error with its causes.
pub(crate) fn describe(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}
