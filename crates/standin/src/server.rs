//! The HTTP/1.1 server that all stand-ins use. It can inject faults of the process and of its
//! connections.

#[cfg(test)]
mod tests;

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;
use http_body_util::BodyExt;
use hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint};
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::http::{Body, HandlerResult};

/// The length of the queue of connections that are not accepted yet.
const LISTEN_BACKLOG: u32 = 1024;

/// Handles one request; the token is cancelled when the server stops or crashes.
pub(crate) type Handler = Arc<
    dyn Fn(CancellationToken, Request<Incoming>) -> BoxFuture<'static, HandlerResult> + Send + Sync,
>;

/// Locks `mutex` and ignores poisoning: a panic while it is held leaves the data usable.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Faults that affect connections whatever requests are sent on them.
#[derive(Default)]
struct ConnectionFaults {
    silent: AtomicBool,
    // Connections with a lower number than this one stay silent.
    frozen_below: AtomicU64,
    next_connection: AtomicU64,
    delay_us: AtomicU64,
}

impl ConnectionFaults {
    fn is_silent(&self, connection: u64) -> bool {
        self.silent.load(Ordering::SeqCst) || connection < self.frozen_below.load(Ordering::SeqCst)
    }
}

/// Whether the simulated process runs.
enum ServerState {
    Running {
        shutdown: CancellationToken,
        accept_task: JoinHandle<()>,
    },
    /// The socket, if any, is bound and not listening, so that the port stays reserved and refuses
    /// connections.
    Stopped(Option<TcpSocket>),
}

struct Inner {
    addr: SocketAddr,
    handler: Handler,
    faults: Arc<ConnectionFaults>,
    state: tokio::sync::Mutex<ServerState>,
    current_shutdown: Mutex<CancellationToken>,
}

/// A server that can be stopped and restarted on the same port; clones share it.
#[derive(Clone)]
pub(crate) struct Server(Arc<Inner>);

/// A reference by which a handler can reach its own server without a cycle of strong references.
pub(crate) struct WeakServer {
    addr: SocketAddr,
    inner: Weak<Inner>,
}

impl WeakServer {
    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }

    pub(crate) fn upgrade(&self) -> Option<Server> {
        self.inner.upgrade().map(Server)
    }
}

impl Server {
    /// Listens on `port` of the loopback address; 0 chooses a free port.
    pub(crate) async fn spawn(port: u16, handler: Handler) -> io::Result<Self> {
        let bind_addr = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        let listener = TcpListener::bind(bind_addr).await?;
        let addr = listener.local_addr()?;
        let faults = Arc::new(ConnectionFaults::default());
        let shutdown = CancellationToken::new();
        let accept_task = tokio::spawn(accept_loop(
            listener,
            handler.clone(),
            faults.clone(),
            shutdown.clone(),
        ));
        let current_shutdown = Mutex::new(shutdown.clone());
        let state = tokio::sync::Mutex::new(ServerState::Running {
            shutdown,
            accept_task,
        });
        Ok(Self(Arc::new(Inner {
            addr,
            handler,
            faults,
            state,
            current_shutdown,
        })))
    }

    pub(crate) fn addr(&self) -> SocketAddr {
        self.0.addr
    }

    pub(crate) fn downgrade(&self) -> WeakServer {
        WeakServer {
            addr: self.0.addr,
            inner: Arc::downgrade(&self.0),
        }
    }

    /// Closes every connection and refuses new ones until [`Self::restart`].
    pub(crate) async fn crash(&self) {
        let mut state = self.0.state.lock().await;
        if let ServerState::Running {
            shutdown,
            accept_task,
        } = &mut *state
        {
            shutdown.cancel();
            let _ = accept_task.await;
            *state = ServerState::Stopped(bind(self.0.addr).ok());
        }
    }

    /// Listens again on the same port after [`Self::crash`].
    pub(crate) async fn restart(&self) -> io::Result<()> {
        let mut state = self.0.state.lock().await;
        let ServerState::Stopped(reserved) = &mut *state else {
            return Ok(());
        };
        let socket = match reserved.take() {
            Some(socket) => socket,
            None => bind(self.0.addr)?,
        };
        let listener = socket.listen(LISTEN_BACKLOG)?;
        let shutdown = CancellationToken::new();
        *lock(&self.0.current_shutdown) = shutdown.clone();
        let accept_task = tokio::spawn(accept_loop(
            listener,
            self.0.handler.clone(),
            self.0.faults.clone(),
            shutdown.clone(),
        ));
        *state = ServerState::Running {
            shutdown,
            accept_task,
        };
        Ok(())
    }

    /// Closes every connection and releases the port.
    pub(crate) async fn stop(&self) {
        self.crash().await;
        *self.0.state.lock().await = ServerState::Stopped(None);
    }

    /// Cancels all tasks without waiting for their end.
    pub(crate) fn abort(&self) {
        lock(&self.0.current_shutdown).cancel();
    }

    /// Accepts connections and sends nothing while `silent` is true.
    ///
    /// Requests and streams that arrived or ran in the meantime stay silent afterwards.
    pub(crate) fn set_silent(&self, silent: bool) {
        self.0.faults.silent.store(silent, Ordering::SeqCst);
    }

    /// Makes all open connections silent until they close; new connections work.
    pub(crate) fn freeze_open_connections(&self) {
        let next = self.0.faults.next_connection.load(Ordering::SeqCst);
        self.0.faults.frozen_below.store(next, Ordering::SeqCst);
    }

    /// Delays the handling of every request.
    pub(crate) fn set_delay(&self, delay: Duration) {
        let delay_us = u64::try_from(delay.as_micros()).unwrap_or(u64::MAX);
        self.0.faults.delay_us.store(delay_us, Ordering::SeqCst);
    }
}

fn bind(addr: SocketAddr) -> io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    Ok(socket)
}

async fn accept_loop(
    listener: TcpListener,
    handler: Handler,
    faults: Arc<ConnectionFaults>,
    shutdown: CancellationToken,
) {
    loop {
        let accepted = tokio::select! {
            () = shutdown.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            // The likely cause is a lack of file descriptors, so wait until some are closed.
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let connection_number = faults.next_connection.fetch_add(1, Ordering::SeqCst);
        let connection = serve_connection(
            stream,
            handler.clone(),
            faults.clone(),
            connection_number,
            shutdown.clone(),
        );
        tokio::spawn(shutdown.clone().run_until_cancelled_owned(connection));
    }
}

async fn serve_connection(
    stream: TcpStream,
    handler: Handler,
    faults: Arc<ConnectionFaults>,
    connection_number: u64,
    shutdown: CancellationToken,
) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request| {
        let handler = handler.clone();
        let faults = faults.clone();
        let shutdown = shutdown.clone();
        async move {
            let delay_us = faults.delay_us.load(Ordering::SeqCst);
            if delay_us > 0 {
                tokio::time::sleep(Duration::from_micros(delay_us)).await;
            }
            if faults.is_silent(connection_number) {
                std::future::pending::<()>().await;
            }
            let response = handler(shutdown.clone(), request).await?;
            if faults.is_silent(connection_number) {
                std::future::pending::<()>().await;
            }
            let stallable = response.map(|body| StallableBody {
                body,
                faults,
                connection_number,
                shutdown,
            });
            Ok::<Response<StallableBody>, crate::http::ConnectionClosed>(stallable)
        }
    });
    let connection =
        hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    let _ = connection.await;
}

/// A body that stalls as soon as its connection is silent or its server has crashed.
struct StallableBody {
    body: Body,
    faults: Arc<ConnectionFaults>,
    connection_number: u64,
    shutdown: CancellationToken,
}

impl HttpBody for StallableBody {
    type Data = Bytes;
    type Error = std::convert::Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let frame = Pin::new(&mut self.body).poll_frame(cx);
        // A producer that ended because of the crash must not look like a complete body.
        if self.faults.is_silent(self.connection_number) || self.shutdown.is_cancelled() {
            return Poll::Pending;
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Returns a body that consists of the bytes that `receiver` yields. It may be polled after its end, unlike an unfolded
/// stream.
pub(crate) fn channel_body(mut receiver: UnboundedReceiver<Bytes>) -> Body {
    let frames = futures::stream::poll_fn(move |cx| {
        let polled = receiver.poll_recv(cx);
        polled.map(|bytes| bytes.map(|bytes| Ok(Frame::data(bytes))))
    });
    http_body_util::StreamBody::new(frames).boxed()
}
