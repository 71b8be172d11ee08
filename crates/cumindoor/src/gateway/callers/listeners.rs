//! Listeners for callers, readiness checks and metrics.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use border::CallerLimits;
use eyre::WrapErr;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::{HttpService, service_fn};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout;
use tokio_util::task::TaskTracker;

use crate::gateway::callers::connections::Connection;
use crate::gateway::callers::shares::Shares;
use crate::gateway::context::Context;
use crate::gateway::exchange;
use crate::serve::engine::{BoxedBody, full_body};

/// Delay after a failed accept, for example when file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Factor applied to the configured idle and head timeouts. It exceeds 1 so that a caller that
/// reuses a connection just before the configured idle timeout does not find it closed.
const IDLE_TIMEOUT_FACTOR: f64 = 1.5;
/// Lower bound on the idle timeout of a connection. It also applies before the configured limits
/// are known, and to connections for readiness checks and metrics.
const MIN_IDLE_TIMEOUT: Duration = Duration::from_mins(1);
/// Largest request head before the configured limits are known.
const DEFAULT_MAX_HEAD_BYTES: usize = 16 * 1024;
/// Maximum number of header fields of a request.
const MAX_HEADERS: usize = 100;
/// Idle time after which the kernel probes whether a caller is still connected.
const KEEPALIVE_IDLE_TIME: Duration = Duration::from_secs(5);

/// Smallest buffer of a connection that the HTTP library allows.
const MIN_BUFFER_BYTES: usize = 8 * 1024;
/// Time after which it is looked again for a connection that can give way to a new one.
const EVICTION_INTERVAL: Duration = Duration::from_millis(50);

/// Accepts connections from callers.
pub struct CallerListener {
    ctx: Arc<Context>,
    addr: SocketAddr,
    listener: Mutex<Option<Arc<TcpListener>>>,
    permits: Arc<Semaphore>,
    connections: TaskTracker,
}

impl CallerListener {
    /// Binds the listener.
    ///
    /// # Errors
    ///
    /// Returns an error with the address if it cannot be bound.
    pub async fn bind(ctx: &Arc<Context>, connections: TaskTracker) -> eyre::Result<Self> {
        let listener = bind_tcp(ctx.settings().listen.callers.0).await?;
        let addr = listener.local_addr()?;
        let permits = Shares::new(&ctx.settings().resources).connections;
        Ok(Self {
            ctx: Arc::clone(ctx),
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

    /// Accepts callers until the gateway closes. The socket is then closed, so that later
    /// connections are refused at once and callers turn to another gateway.
    ///
    /// # Errors
    ///
    /// Returns an error if the semaphore of connections is closed, which does not happen.
    pub async fn run(self: Arc<Self>) -> eyre::Result<()> {
        let listener = self.lock_listener().clone();
        if let Some(listener) = listener {
            let accepting = self.accept(&listener);
            let accepted = self.ctx.closing.run_until_cancelled(accepting).await;
            accepted.unwrap_or(Ok(()))?;
        }
        self.lock_listener().take();
        std::future::pending().await
    }

    fn lock_listener(&self) -> MutexGuard<'_, Option<Arc<TcpListener>>> {
        self.listener.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until there is room for another connection. If there is none, the connection that has waited for its
    /// caller for longest gives way. Further ones wait in the backlog meanwhile.
    async fn take_permit(&self) -> eyre::Result<OwnedSemaphorePermit> {
        if let Ok(permit) = Arc::clone(&self.permits).try_acquire_owned() {
            return Ok(permit);
        }
        loop {
            if self.ctx.connections.lock().close_one(self.ctx.now()) {
                self.ctx.telemetry.count("connection.evicted");
            }
            let permit = Arc::clone(&self.permits).acquire_owned();
            if let Ok(permit) = timeout(EVICTION_INTERVAL, permit).await {
                return Ok(permit?);
            }
        }
    }

    async fn accept(&self, listener: &TcpListener) -> eyre::Result<()> {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            let permit = self.take_permit().await?;
            let ctx = Arc::clone(&self.ctx);
            self.connections.spawn(async move {
                serve(ctx, stream).await;
                drop(permit);
            });
        }
    }
}

/// Binds a TCP listener; the error has the address.
pub(in crate::gateway) async fn bind_tcp(addr: SocketAddr) -> eyre::Result<TcpListener> {
    let listener = TcpListener::bind(addr).await;
    listener.wrap_err_with(|| format!("cannot listen on TCP address {addr}"))
}

/// Lets the kernel find out whether the other side of an idle connection is still there.
pub(in crate::gateway) fn keep_alive(stream: &TcpStream) -> std::io::Result<()> {
    let keepalive = TcpKeepalive::new().with_time(KEEPALIVE_IDLE_TIME);
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_keepalive(&keepalive)
}

async fn serve(ctx: Arc<Context>, stream: TcpStream) {
    if keep_alive(&stream).is_err() {
        return;
    }
    let Ok(caller) = stream.peer_addr() else {
        return;
    };
    let limits = ctx.state().routing.as_ref().map(|routing| routing.limits);
    let idle = limits.map_or(MIN_IDLE_TIMEOUT, head_timeout);
    let head = limits.map_or(DEFAULT_MAX_HEAD_BYTES, |limits| limits.head_bytes);
    let open = Connection::open(&ctx.connections, ctx.clock, caller.ip());
    let (handler_ctx, handler_connection) = (Arc::clone(&ctx), open.clone());
    let service = service_fn(move |request| {
        let (ctx, connection) = (Arc::clone(&handler_ctx), handler_connection.clone());
        async move { Ok::<_, Infallible>(exchange::handle(ctx, connection, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_headers(MAX_HEADERS)
        .max_header_size(head)
        .max_buf_size(head.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let served = serve_until_closing(&ctx, connection);
    // The connection is dropped at once if it has to give way.
    let _ = open.close.run_until_cancelled(served).await;
    open.remove();
}

/// Serves a connection until its peer or the gateway closes it.
pub(in crate::gateway) async fn serve_until_closing<S>(
    ctx: &Context,
    connection: http1::Connection<TokioIo<TcpStream>, S>,
) where
    S: HttpService<Incoming, ResBody = BoxedBody>,
    S::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let mut connection = std::pin::pin!(connection);
    let mut closing = false;
    loop {
        tokio::select! {
            // The result of a connection is ignored, because each request reports its own result.
            _ = connection.as_mut() => return,
            () = ctx.closing.cancelled(), if !closing => {
                closing = true;
                connection.as_mut().graceful_shutdown();
            }
        }
    }
}

/// Returns the time limit for a request head, which includes the idle time before it.
fn head_timeout(limits: CallerLimits) -> Duration {
    let longest = limits.idle_timeout.max(limits.head_timeout);
    longest.mul_f64(IDLE_TIMEOUT_FACTOR).max(MIN_IDLE_TIMEOUT)
}

/// Serves readiness checks or metrics on a separate address.
pub struct StatusListener {
    ctx: Arc<Context>,
    listener: TcpListener,
    respond: fn(&Context) -> Response<BoxedBody>,
}

impl StatusListener {
    /// Binds the listener of the readiness check.
    ///
    /// # Errors
    ///
    /// Returns an error with the address if it cannot be bound.
    pub async fn readiness(ctx: &Arc<Context>) -> eyre::Result<Self> {
        Self::bind(ctx, ctx.settings().listen.ready.0, readiness).await
    }

    /// Binds the listener of the metrics.
    ///
    /// # Errors
    ///
    /// Returns an error with the address if it cannot be bound.
    pub async fn metrics(ctx: &Arc<Context>, addr: SocketAddr) -> eyre::Result<Self> {
        Self::bind(ctx, addr, metrics).await
    }

    async fn bind(
        ctx: &Arc<Context>,
        addr: SocketAddr,
        respond: fn(&Context) -> Response<BoxedBody>,
    ) -> eyre::Result<Self> {
        Ok(Self {
            ctx: Arc::clone(ctx),
            listener: bind_tcp(addr).await?,
            respond,
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

    /// Serves requests for as long as the process runs.
    ///
    /// # Errors
    ///
    /// Never returns.
    pub async fn run(self: Arc<Self>) -> eyre::Result<()> {
        loop {
            let Ok((stream, _)) = self.listener.accept().await else {
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            tokio::spawn(Arc::clone(&self).serve_connection(stream));
        }
    }

    fn serve_connection(self: Arc<Self>, stream: TcpStream) -> impl Future<Output = ()> {
        let service = service_fn(move |_: Request<Incoming>| {
            let response = (self.respond)(&self.ctx);
            async move { Ok::<_, Infallible>(response) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(MIN_IDLE_TIMEOUT)
            .serve_connection(TokioIo::new(stream), service);
        async move {
            // The client may disconnect at any time.
            let _ = connection.await;
        }
    }
}

fn readiness(ctx: &Context) -> Response<BoxedBody> {
    let ready = ctx.ready();
    let mut response = Response::new(full_body(if ready { "ready\n" } else { "not ready\n" }));
    if !ready {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}

fn metrics(ctx: &Context) -> Response<BoxedBody> {
    ctx.memory.report(&ctx.telemetry);
    Response::new(full_body(ctx.telemetry.snapshot().to_text()))
}
