//! Pool of reusable HTTP/1.1 connections to upstreams.

use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::net::{IpAddr, SocketAddr};
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
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::timeout;

use super::head;
use super::receive::{LimitedStream, PartMarker};

/// Idle connections kept for one upstream; a decode engine runs about 20 requests at a time.
const MAX_IDLE_PER_UPSTREAM: usize = 32;
/// How long a connection may stay idle; an upstream may announce a shorter time.
const MAX_IDLE_TIME: Duration = Duration::from_secs(15);
/// How long before the announced time an idle connection is closed. If a request is sent while the
/// upstream closes the connection, it is unknown whether the upstream received it.
const CLOSE_MARGIN: Duration = Duration::from_secs(1);
/// Time without bytes after which the kernel sends a TCP keepalive probe, and between two probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered TCP keepalive probes after which the connection fails.
const KEEPALIVE_PROBES: u32 = 2;
/// Read buffer of one connection; a batch of tokens is much smaller.
const READ_BUFFER_BYTES: usize = 64 * 1024;

/// The error of a streamed body.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;
/// A body of any kind, complete or streamed.
pub type BoxedBody = UnsyncBoxBody<Bytes, BodyError>;

/// The half of a connection over which requests are sent.
#[derive(Debug)]
struct Sender {
    requests: SendRequest<BoxedBody>,
    parts: PartMarker,
}

/// Returns a body with the given contents.
pub fn full_body(bytes: impl Into<Bytes>) -> BoxedBody {
    let full = Full::new(bytes.into());
    full.map_err(|never| match never {}).boxed_unsync()
}

/// Why a request was not answered.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum SendError {
    /// No byte of the request was sent.
    #[display("not sent: {_0}")]
    Unsent(String),
    /// The connection was refused: nothing listens at the address.
    #[display("not sent: {_0}")]
    Refused(String),
    /// No connection was established in time.
    #[display("not sent: {_0}")]
    TimedOut(String),
    /// The upstream may have received the request.
    #[display("sent, but not answered: {_0}")]
    Sent(String),
}

/// A response whose body is still to be read, with the connection that it arrives on.
#[derive(Debug)]
pub struct PooledResponse {
    /// The response; its body is read from the connection.
    pub response: Response<Incoming>,
    /// The connection, to be released after the body was read.
    pub lease: Lease,
}

/// A pooled connection in use; dropping it without a release closes it.
#[derive(Debug)]
pub struct Lease {
    pool: Pool,
    addr: SocketAddr,
    sender: Sender,
    /// How long the connection may stay idle after its release.
    max_idle: Duration,
}

impl Lease {
    /// Begins a part of the response's body, such as an event. Reading the body fails if bytes keep
    /// coming without the part's end, which the next call marks.
    pub fn begin_part(&self) {
        self.sender.parts.begin();
    }

    /// Returns the connection to the pool; the whole response must have been read.
    pub fn release(self) {
        let Self {
            pool,
            addr,
            sender,
            max_idle,
        } = self;
        sender.parts.end();
        pool.checkin(addr, sender, max_idle);
    }
}

/// A new connection over which nothing was sent yet.
#[derive(Debug)]
pub struct Connection {
    pool: Pool,
    addr: SocketAddr,
    sender: Sender,
}

impl Connection {
    /// Leaves the unused connection to the pool.
    pub fn release(self) {
        let Self { pool, addr, sender } = self;
        pool.checkin(addr, sender, MAX_IDLE_TIME);
    }

    /// Sends a request and waits for the head of its response.
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
struct IdleConnection {
    sender: Sender,
    since: Instant,
    limit: Duration,
}

/// A pool of connections to upstreams; clones share it.
#[derive(Clone, Debug)]
pub struct Pool {
    idle: Arc<Mutex<BTreeMap<SocketAddr, Vec<IdleConnection>>>>,
    connect_timeout: Duration,
    /// Own address of the connections, if it matters to those that accept them.
    source: Option<IpAddr>,
}

impl Pool {
    /// Returns an empty pool; opening a connection fails after `connect_timeout`.
    #[must_use]
    pub fn new(connect_timeout: Duration) -> Self {
        Self {
            idle: Arc::default(),
            connect_timeout,
            source: None,
        }
    }

    /// Opens connections from this address, by which the other side knows who connects.
    #[must_use]
    pub fn from_address(self, source: IpAddr) -> Self {
        Self {
            source: Some(source),
            ..self
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
        self.send_with_max_idle(addr, request, MAX_IDLE_TIME).await
    }

    /// Sends a request over a connection that was idle for less than `max_idle`, or over a new one.
    ///
    /// # Errors
    ///
    /// Returns [`SendError`], which tells whether the request may have been received.
    pub async fn send_with_max_idle(
        &self,
        addr: SocketAddr,
        mut request: Request<BoxedBody>,
        max_idle: Duration,
    ) -> Result<PooledResponse, SendError> {
        while let Some(sender) = self.checkout(addr, max_idle) {
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

    /// Opens a new connection without sending a request over it.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::Unsent`] if the upstream cannot be reached.
    pub async fn connect(&self, addr: SocketAddr) -> Result<Connection, SendError> {
        let sender = self.open(addr).await?;
        let pool = self.clone();
        Ok(Connection { pool, addr, sender })
    }

    async fn connect_stream(&self, addr: SocketAddr) -> std::io::Result<TcpStream> {
        let Some(source) = self.source else {
            return TcpStream::connect(addr).await;
        };
        let socket = match source {
            IpAddr::V4(_) => TcpSocket::new_v4()?,
            IpAddr::V6(_) => TcpSocket::new_v6()?,
        };
        // Otherwise a closed connection could keep the port from a listener for a minute.
        socket.set_reuseaddr(true)?;
        socket.bind(SocketAddr::new(source, 0))?;
        socket.connect(addr).await
    }

    async fn open(&self, addr: SocketAddr) -> Result<Sender, SendError> {
        let connecting = timeout(self.connect_timeout, self.connect_stream(addr)).await;
        let connected =
            connecting.map_err(|_| SendError::TimedOut(format!("connect to {addr} timed out")))?;
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
            .with_time(KEEPALIVE_INTERVAL)
            .with_interval(KEEPALIVE_INTERVAL)
            .with_retries(KEEPALIVE_PROBES);
        let configured = SockRef::from(&stream).set_tcp_keepalive(&keepalive);
        configured.map_err(|error| unsent(&error))?;
        let parts = PartMarker::default();
        let stream = LimitedStream::new(stream, parts.clone());
        let handshake = http1::Builder::new()
            .max_buf_size(READ_BUFFER_BYTES)
            .handshake(TokioIo::new(stream));
        let (requests, connection) = handshake.await.map_err(|error| unsent(&error))?;
        // A connection error also fails the request on it, so it is not reported here.
        tokio::spawn(async move { drop(connection.await) });
        Ok(Sender { requests, parts })
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
        sender.parts.begin_head();
        match sender.requests.try_send_request(request).await {
            Ok(response) => {
                sender.parts.end();
                if let Err(defect) = head::check(&response) {
                    return Err((None, defect.to_string()));
                }
                let lease = Lease {
                    pool: self.clone(),
                    addr,
                    sender,
                    max_idle: idle_limit(response.headers()),
                };
                Ok(PooledResponse { response, lease })
            }
            Err(mut failed) => {
                let unsent = failed.take_message();
                Err((unsent, error_chain(failed.error())))
            }
        }
    }

    fn checkout(&self, addr: SocketAddr, limit: Duration) -> Option<Sender> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let list = idle.get_mut(&addr)?;
        list.retain(is_usable);
        let is_reusable =
            |idle: &IdleConnection| idle.sender.requests.is_ready() && idle.since.elapsed() < limit;
        let ready = list.iter().rposition(is_reusable)?;
        Some(list.swap_remove(ready).sender)
    }

    fn checkin(&self, addr: SocketAddr, sender: Sender, limit: Duration) {
        if sender.requests.is_closed() {
            return;
        }
        let since = Instant::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let list = idle.entry(addr).or_default();
        if list.len() < MAX_IDLE_PER_UPSTREAM {
            list.push(IdleConnection {
                sender,
                since,
                limit,
            });
        }
    }

    /// Closes the idle connections to an upstream, for example because it failed.
    pub fn close_idle(&self, addr: SocketAddr) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.remove(&addr);
    }

    /// Closes connections whose idle time is over or that the upstream closed.
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

fn is_usable(idle: &IdleConnection) -> bool {
    !idle.sender.requests.is_closed() && idle.since.elapsed() < idle.limit
}

/// Returns how long a connection may stay idle after a response.
///
/// The time is shorter than the one that the upstream announces in `Keep-Alive`.
fn idle_limit(headers: &HeaderMap) -> Duration {
    let announced = headers.get("keep-alive").and_then(|value| {
        let mut parts = value.to_str().ok()?.split(',');
        let seconds = parts.find_map(|part| part.trim().strip_prefix("timeout="))?;
        seconds.trim().parse().ok().map(Duration::from_secs)
    });
    let limit = announced.map(|time| time.saturating_sub(CLOSE_MARGIN));
    limit.map_or(MAX_IDLE_TIME, |limit| limit.min(MAX_IDLE_TIME))
}

/// Returns the message of an error followed by those of its sources.
pub(crate) fn error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}
