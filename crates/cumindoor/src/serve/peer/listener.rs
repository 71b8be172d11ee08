//! The port on which a VM accepts its peers.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use eyre::WrapErr;
use fastrace::future::FutureExt as _;
use fastrace::prelude::{Span, SpanContext, SpanId, TraceId};
use futures::StreamExt;
use futures::future::BoxFuture;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue, UPGRADE as UPGRADE_HEADER};
use hyper::service::service_fn;
use hyper::upgrade::Upgraded;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tarpc::server::{BaseChannel, Channel};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::UPGRADE_PROTOCOL;
use super::router::Router;
use super::wire::{CallResult, Envelope, Wire, transport};

/// The body of an HTTP answer on the peer port.
pub type Body = BoxBody<Bytes, eyre::Report>;

/// Answers HTTP requests on the peer port other than `POST /peer`, such as `GET /attach/{key}`.
pub trait HttpHandler: Send + Sync + 'static {
    /// Answers one request.
    fn answer(&self, request: Request<Incoming>) -> BoxFuture<'_, Response<Body>>;
}

/// Answers every HTTP request with 404.
#[derive(Clone, Copy, Debug)]
pub struct NotFoundHandler;

impl HttpHandler for NotFoundHandler {
    fn answer(&self, _request: Request<Incoming>) -> BoxFuture<'_, Response<Body>> {
        Box::pin(async { empty_response(StatusCode::NOT_FOUND) })
    }
}

/// Bounds of a [`Listener`].
#[derive(Clone, Debug)]
pub struct ListenerOptions {
    /// The number of open connections. Further ones wait in the kernel's queue.
    pub max_connections: usize,
    /// The number of calls that one connection runs at a time. Further ones are refused.
    pub max_calls: usize,
    /// The time within which the head of an HTTP request must arrive.
    pub head_timeout: Duration,
    /// The time without a call after which a connection is closed: its peer may have gone
    /// without a word, and each open connection counts against `connections`.
    pub idle_timeout: Duration,
}

impl Default for ListenerOptions {
    /// 340 peers and as many again while old connections close; see section 2 of the design.
    fn default() -> Self {
        Self {
            max_connections: 700,
            max_calls: 64,
            head_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_mins(1),
        }
    }
}

/// A bound port that does not accept yet, so that its address is known before parts are wired.
#[derive(Debug)]
pub struct Listener {
    socket: TcpListener,
    options: ListenerOptions,
}

/// A listener that accepts. Dropping the handle does not stop it.
#[derive(Clone, Debug)]
pub struct ListenerHandle {
    addr: SocketAddr,
    stop: CancellationToken,
    tasks: TaskTracker,
}

impl Listener {
    /// Binds the port.
    ///
    /// # Errors
    ///
    /// Returns an error with the address if it cannot be bound.
    pub async fn bind(addr: SocketAddr, options: ListenerOptions) -> eyre::Result<Self> {
        let socket = TcpListener::bind(addr).await;
        let socket = socket.wrap_err_with(|| format!("cannot listen for peers on {addr}"))?;
        Ok(Self { socket, options })
    }

    /// Returns the bound address.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    pub fn addr(&self) -> eyre::Result<SocketAddr> {
        Ok(self.socket.local_addr()?)
    }

    /// Starts to accept connections.
    ///
    /// # Errors
    ///
    /// Returns an error if the bound address cannot be read.
    pub fn spawn(self, router: Router, http: Arc<dyn HttpHandler>) -> eyre::Result<ListenerHandle> {
        let handle = ListenerHandle {
            addr: self.addr()?,
            stop: CancellationToken::new(),
            tasks: TaskTracker::new(),
        };
        let server = Server {
            router,
            http,
            options: self.options,
            handle: handle.clone(),
        };
        handle.tasks.spawn(accept(self.socket, Arc::new(server)));
        Ok(handle)
    }
}

impl ListenerHandle {
    /// Returns the address that peers connect to.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Closes the port and all connections, and waits until their tasks ended.
    pub async fn stop(&self) {
        self.stop.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }
}

struct Server {
    router: Router,
    http: Arc<dyn HttpHandler>,
    options: ListenerOptions,
    handle: ListenerHandle,
}

async fn accept(socket: TcpListener, server: Arc<Server>) {
    let permits = Arc::new(Semaphore::new(server.options.max_connections));
    let stop = server.handle.stop.clone();
    let accepting = async {
        while let Ok(permit) = Arc::clone(&permits).acquire_owned().await {
            match socket.accept().await {
                Ok((stream, _)) => serve_connection(&server, stream, permit),
                // Running out of file descriptors fails at once and would spin.
                Err(_) => tokio::time::sleep(Duration::from_millis(50)).await,
            }
        }
    };
    stop.run_until_cancelled(accepting).await;
}

fn serve_connection(server: &Arc<Server>, stream: TcpStream, permit: OwnedSemaphorePermit) {
    let permit = Arc::new(permit);
    let shared = Arc::clone(server);
    let service = service_fn(move |request| {
        let server = Arc::clone(&shared);
        let permit = Arc::clone(&permit);
        async move { Ok::<_, Infallible>(server.handle_request(request, permit).await) }
    });
    // Calls are small and latency matters more than packet count.
    let _ = stream.set_nodelay(true);
    let http = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(server.options.head_timeout)
        .serve_connection(TokioIo::new(stream), service)
        .with_upgrades();
    let stop = server.handle.stop.clone();
    server
        .handle
        .tasks
        .spawn(async move { stop.run_until_cancelled(http).await });
}

impl Server {
    async fn handle_request(
        self: &Arc<Self>,
        mut request: Request<Incoming>,
        permit: Arc<OwnedSemaphorePermit>,
    ) -> Response<Body> {
        if request.uri().path() != "/peer" {
            return self.http.answer(request).await;
        }
        if request.method() != Method::POST {
            return empty_response(StatusCode::METHOD_NOT_ALLOWED);
        }
        let upgrade = request.headers().get(UPGRADE_HEADER);
        if upgrade.is_none_or(|value| value != UPGRADE_PROTOCOL) {
            return empty_response(StatusCode::UPGRADE_REQUIRED);
        }
        let upgrade = hyper::upgrade::on(&mut request);
        let server = Arc::clone(self);
        let stop = self.handle.stop.clone();
        self.handle.tasks.spawn(async move {
            let _permit = permit;
            if let Ok(io) = upgrade.await {
                stop.run_until_cancelled(server.serve_calls(io)).await;
            }
        });
        let mut response = empty_response(StatusCode::SWITCHING_PROTOCOLS);
        let headers = response.headers_mut();
        headers.insert(CONNECTION, HeaderValue::from_static("upgrade"));
        headers.insert(UPGRADE_HEADER, HeaderValue::from_static(UPGRADE_PROTOCOL));
        response
    }

    /// Answers calls until the connection closes; a malformed or oversized frame closes it.
    async fn serve_calls(&self, io: Upgraded) {
        let activity = Arc::new(Activity::default());
        let server = CallServer {
            router: self.router.clone(),
            activity: Arc::clone(&activity),
        };
        let calls = BaseChannel::with_defaults(transport(TokioIo::new(io)))
            .max_concurrent_requests(self.options.max_calls)
            .execute(server.serve());
        // A call that panics ends its own connection only: it runs inside this task.
        tokio::select! {
            () = calls.for_each_concurrent(None, |call| call) => {}
            () = activity.wait_idle(self.options.idle_timeout) => {}
        }
    }
}

/// When a connection last carried a call.
#[derive(Debug, Default)]
struct Activity {
    running_calls: AtomicUsize,
    total_calls: AtomicUsize,
}

impl Activity {
    /// Returns when no call ran for between one and two times `limit`.
    async fn wait_idle(&self, limit: Duration) {
        let mut seen = usize::MAX;
        loop {
            tokio::time::sleep(limit).await;
            let calls = self.total_calls.load(Ordering::Acquire);
            if calls == seen && self.running_calls.load(Ordering::Acquire) == 0 {
                return;
            }
            seen = calls;
        }
    }
}

/// Counts a call for as long as it lives.
struct CallGuard(Arc<Activity>);

impl CallGuard {
    fn new(activity: Arc<Activity>) -> Self {
        activity.total_calls.fetch_add(1, Ordering::AcqRel);
        activity.running_calls.fetch_add(1, Ordering::AcqRel);
        Self(activity)
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.0.running_calls.fetch_sub(1, Ordering::AcqRel);
    }
}

#[derive(Clone)]
struct CallServer {
    router: Router,
    activity: Arc<Activity>,
}

impl Wire for CallServer {
    async fn call(self, context: tarpc::context::Context, envelope: Envelope) -> CallResult {
        let _running = CallGuard::new(Arc::clone(&self.activity));
        if envelope.span == 0 {
            return self.router.dispatch(envelope).await;
        }
        let trace = TraceId(u128::from(*context.trace_id()));
        let parent = SpanContext::new(trace, SpanId(envelope.span));
        let span = Span::root("peer call", parent);
        span.add_property(|| ("part", envelope.part.clone()));
        self.router.dispatch(envelope).in_span(span).await
    }
}

fn empty_response(status: StatusCode) -> Response<Body> {
    let body = Empty::new()
        .map_err(|never: Infallible| match never {})
        .boxed();
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
}
