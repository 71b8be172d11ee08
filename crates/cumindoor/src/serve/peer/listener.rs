//! The server side: the listener for connections from peers.

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

/// The body of an HTTP response on the peer port.
pub type Body = BoxBody<Bytes, eyre::Report>;

/// A handler for HTTP requests to paths other than `/peer`, such as `GET /attach/{key}`.
pub trait HttpHandler: Send + Sync + 'static {
    /// Returns the response to one request.
    fn respond(&self, request: Request<Incoming>) -> BoxFuture<'_, Response<Body>>;
}

/// A handler that answers every HTTP request with status 404.
#[derive(Clone, Copy, Debug)]
pub struct NotFoundHandler;

impl HttpHandler for NotFoundHandler {
    fn respond(&self, _request: Request<Incoming>) -> BoxFuture<'_, Response<Body>> {
        Box::pin(async { empty_response(StatusCode::NOT_FOUND) })
    }
}

/// The limits of a [`Listener`].
#[derive(Clone, Debug)]
pub struct ListenerOptions {
    /// The maximum number of open connections. Further ones wait in the listen backlog of the
    /// kernel.
    pub max_connections: usize,
    /// The maximum number of calls that run on one connection at a time. Further calls are
    /// refused.
    pub max_calls: usize,
    /// The time within which the header section of an HTTP request must arrive.
    pub head_timeout: Duration,
    /// The time without a call after which a connection is closed. Its peer may have ended without
    /// closing the connection, which would count against `max_connections` indefinitely.
    pub idle_timeout: Duration,
}

impl Default for ListenerOptions {
    /// The limit on connections allows for 340 peers, with a second connection for each while the
    /// old one is closing (section 2 of `docs/design.md`).
    fn default() -> Self {
        Self {
            max_connections: 700,
            max_calls: 64,
            head_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_mins(1),
        }
    }
}

/// A listener that is bound but does not accept connections yet.
///
/// Binding first makes the address known before the handlers are registered.
#[derive(Debug)]
pub struct Listener {
    socket: TcpListener,
    options: ListenerOptions,
}

/// The handle of a listener that accepts connections. Dropping it does not stop the listener.
#[derive(Clone, Debug)]
pub struct ListenerHandle {
    addr: SocketAddr,
    stop: CancellationToken,
    tasks: TaskTracker,
}

impl Listener {
    /// Binds a listener to `addr`.
    ///
    /// # Errors
    ///
    /// Returns an error that names the address if it cannot be bound.
    pub async fn bind(addr: SocketAddr, options: ListenerOptions) -> eyre::Result<Self> {
        let socket = TcpListener::bind(addr).await;
        let socket = socket.wrap_err_with(|| format!("cannot listen for peers on {addr}"))?;
        Ok(Self { socket, options })
    }

    /// Returns the bound address.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if the address cannot be read.
    pub fn addr(&self) -> eyre::Result<SocketAddr> {
        Ok(self.socket.local_addr()?)
    }

    /// Starts to accept connections; `router` handles calls and `http` all other requests.
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

    /// Closes the listening socket and all connections, and waits until their tasks have ended.
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
                // If the process is out of file descriptors, `accept` fails immediately, and the
                // loop would spin without a delay.
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
    // Calls are small, and their latency matters more than the number of packets.
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
            return self.http.respond(request).await;
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

    /// Serves calls until the connection is closed. A malformed or oversized frame closes it.
    async fn serve_calls(&self, io: Upgraded) {
        let activity = Arc::new(Activity::default());
        let server = CallServer {
            router: self.router.clone(),
            activity: Arc::clone(&activity),
        };
        let calls = BaseChannel::with_defaults(transport(TokioIo::new(io)))
            .max_concurrent_requests(self.options.max_calls)
            .execute(server.serve());
        // The calls run inside this task, so a call that panics closes only its own connection.
        tokio::select! {
            () = calls.for_each_concurrent(None, |call| call) => {}
            () = activity.wait_idle(self.options.idle_timeout) => {}
        }
    }
}

/// The calls of a connection, counted to detect that it is idle.
#[derive(Debug, Default)]
struct Activity {
    running_calls: AtomicUsize,
    total_calls: AtomicUsize,
}

impl Activity {
    /// Returns once no call is running and none has started for `limit`, which is checked once per
    /// `limit`.
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

/// Counts a call as running until it is dropped.
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

/// The tarpc service of one connection.
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
