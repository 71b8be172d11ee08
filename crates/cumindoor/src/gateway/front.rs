//! The listeners: callers, readiness and metrics.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use border::CallerLimits;
use eyre::WrapErr;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio_util::task::TaskTracker;

use super::exchange;
use super::gate::Gate;
use crate::serve::engine::{OutBody, full_body};

/// Pause after a failed accept, for example when file descriptors are used up.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// How much longer than announced a connection may be idle, so that a caller who uses its time
/// does not meet the close.
const IDLE_FACTOR: f64 = 1.5;
/// Idle time of a connection before limits are known.
const DEFAULT_IDLE: Duration = Duration::from_mins(1);
/// Bytes of a request head before limits are known.
const DEFAULT_HEAD: usize = 16 * 1024;
/// Header fields of a request.
const HEADERS: usize = 100;
/// Time without bytes after which the kernel asks whether a caller is still there.
const KEEPALIVE_TIME: Duration = Duration::from_secs(5);

/// Listens for callers.
pub struct Front {
    gate: Arc<Gate>,
    addr: SocketAddr,
    listener: Mutex<Option<Arc<TcpListener>>>,
    permits: Arc<Semaphore>,
    connections: TaskTracker,
}

impl Front {
    /// Binds the listener.
    ///
    /// # Errors
    ///
    /// Returns an error with the address if it cannot be bound.
    pub async fn bind(gate: &Arc<Gate>, connections: TaskTracker) -> eyre::Result<Self> {
        let listener = listen(gate.settings().listen.callers.0).await?;
        let addr = listener.local_addr()?;
        let permits = gate.settings().resources.connections.0 as usize;
        Ok(Self {
            gate: Arc::clone(gate),
            addr,
            listener: Mutex::new(Some(Arc::new(listener))),
            permits: Arc::new(Semaphore::new(permits)),
            connections,
        })
    }

    /// Returns the bound address.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Accepts callers until the gateway closes. Then the socket is closed, so that callers who come
    /// later are refused at once and go to another gateway.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has no permits left, which does not happen.
    pub async fn run(self: Arc<Self>) -> eyre::Result<()> {
        let listener = self.lock().clone();
        if let Some(listener) = listener {
            let accepting = self.accept(&listener);
            let accepted = self.gate.closing.run_until_cancelled(accepting).await;
            accepted.unwrap_or(Ok(()))?;
        }
        self.lock().take();
        std::future::pending().await
    }

    fn lock(&self) -> MutexGuard<'_, Option<Arc<TcpListener>>> {
        self.listener.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn accept(&self, listener: &TcpListener) -> eyre::Result<()> {
        loop {
            // Connections beyond the limit wait in the backlog.
            let permit = Arc::clone(&self.permits).acquire_owned().await?;
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            };
            let gate = Arc::clone(&self.gate);
            self.connections.spawn(async move {
                serve(gate, stream).await;
                drop(permit);
            });
        }
    }
}

async fn listen(addr: SocketAddr) -> eyre::Result<TcpListener> {
    let listener = TcpListener::bind(addr).await;
    listener.wrap_err_with(|| format!("cannot listen on {addr}"))
}

async fn serve(gate: Arc<Gate>, stream: TcpStream) {
    let keepalive = TcpKeepalive::new().with_time(KEEPALIVE_TIME);
    let prepared = stream
        .set_nodelay(true)
        .and_then(|()| SockRef::from(&stream).set_tcp_keepalive(&keepalive));
    if prepared.is_err() {
        return;
    }
    let limits = gate.state().routing.as_ref().map(|routing| routing.limits);
    let idle = limits.map_or(DEFAULT_IDLE, idle_time);
    let head = limits.map_or(DEFAULT_HEAD, |limits| limits.head);
    let answering = Arc::clone(&gate);
    let service = service_fn(move |request| {
        let gate = Arc::clone(&answering);
        async move { Ok::<_, Infallible>(exchange::handle(gate, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_headers(HEADERS)
        .max_header_size(head)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let mut closing = false;
    loop {
        tokio::select! {
            // How a caller's connection ends is its own affair; requests note their own ends.
            _ = connection.as_mut() => return,
            () = gate.closing.cancelled(), if !closing => {
                closing = true;
                connection.as_mut().graceful_shutdown();
            }
        }
    }
}

/// Returns the time for a request head, which includes the idle time before it.
fn idle_time(limits: CallerLimits) -> Duration {
    let longest = limits.idle.max(limits.header);
    longest.mul_f64(IDLE_FACTOR).max(DEFAULT_IDLE)
}

/// Answers short questions at an address of its own.
pub struct Page {
    gate: Arc<Gate>,
    listener: TcpListener,
    answer: fn(&Gate) -> Response<OutBody>,
}

impl Page {
    /// Binds the listener that says whether the gateway is ready.
    ///
    /// # Errors
    ///
    /// Returns an error with the address if it cannot be bound.
    pub async fn readiness(gate: &Arc<Gate>) -> eyre::Result<Self> {
        Self::bind(gate, gate.settings().listen.ready.0, readiness).await
    }

    /// Binds the listener of counters and histograms.
    ///
    /// # Errors
    ///
    /// Returns an error with the address if it cannot be bound.
    pub async fn metrics(gate: &Arc<Gate>, addr: SocketAddr) -> eyre::Result<Self> {
        Self::bind(gate, addr, metrics).await
    }

    async fn bind(
        gate: &Arc<Gate>,
        addr: SocketAddr,
        answer: fn(&Gate) -> Response<OutBody>,
    ) -> eyre::Result<Self> {
        Ok(Self {
            gate: Arc::clone(gate),
            listener: listen(addr).await?,
            answer,
        })
    }

    /// Returns the bound address.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket.
    pub fn addr(&self) -> std::io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Answers for as long as the process runs.
    ///
    /// # Errors
    ///
    /// Never ends.
    pub async fn run(self: Arc<Self>) -> eyre::Result<()> {
        loop {
            let Ok((stream, _)) = self.listener.accept().await else {
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            };
            tokio::spawn(Arc::clone(&self).answer(stream));
        }
    }

    fn answer(self: Arc<Self>, stream: TcpStream) -> impl Future<Output = ()> {
        let service = service_fn(move |_: Request<Incoming>| {
            let response = (self.answer)(&self.gate);
            async move { Ok::<_, Infallible>(response) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(DEFAULT_IDLE)
            .serve_connection(TokioIo::new(stream), service);
        async move {
            // Who asks may go away at any time.
            let _ = connection.await;
        }
    }
}

fn readiness(gate: &Gate) -> Response<OutBody> {
    let ready = gate.ready();
    let mut response = Response::new(full_body(if ready { "ready\n" } else { "not ready\n" }));
    if !ready {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}

fn metrics(gate: &Gate) -> Response<OutBody> {
    Response::new(full_body(gate.telemetry.snapshot().to_text()))
}
