//! The HTTP/1.1 server under every stand-in, with the faults of a process and its connections.

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
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::http::{Answer, Body};

/// Connections that wait for their acceptance.
const BACKLOG: u32 = 1024;

/// Answers one request; the token ends when the process dies.
pub(crate) type Handler =
    Arc<dyn Fn(CancellationToken, Request<Incoming>) -> BoxFuture<'static, Answer> + Send + Sync>;

/// Locks `mutex`; a panic of another holder leaves counters that are still usable.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Faults that hit connections whatever is asked on them.
#[derive(Default)]
struct Switches {
    silent: AtomicBool,
    // Connections with a lower number than this are silent for good.
    frozen_below: AtomicU64,
    next_connection: AtomicU64,
    delay_us: AtomicU64,
}

impl Switches {
    fn is_silent(&self, connection: u64) -> bool {
        self.silent.load(Ordering::SeqCst) || connection < self.frozen_below.load(Ordering::SeqCst)
    }
}

/// What the process is doing.
enum Life {
    Running {
        token: CancellationToken,
        accepting: JoinHandle<()>,
    },
    /// The socket is bound without listening: it keeps the port and refuses connections.
    Dead(Option<TcpSocket>),
}

struct Inner {
    addr: SocketAddr,
    handler: Handler,
    switches: Arc<Switches>,
    life: tokio::sync::Mutex<Life>,
    current: Mutex<CancellationToken>,
}

/// A running server.
#[derive(Clone)]
pub(crate) struct Server(Arc<Inner>);

/// A server as its own handler refers to it, so that the two do not keep each other alive.
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
    /// Listens on `port` of the loopback address (0: a free one).
    pub(crate) async fn spawn(port: u16, handler: Handler) -> io::Result<Self> {
        let wanted = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        let listener = TcpListener::bind(wanted).await?;
        let addr = listener.local_addr()?;
        let switches = Arc::new(Switches::default());
        let token = CancellationToken::new();
        let accepting = tokio::spawn(accept(
            listener,
            handler.clone(),
            switches.clone(),
            token.clone(),
        ));
        let current = Mutex::new(token.clone());
        let life = tokio::sync::Mutex::new(Life::Running { token, accepting });
        Ok(Self(Arc::new(Inner {
            addr,
            handler,
            switches,
            life,
            current,
        })))
    }

    /// Returns the address.
    pub(crate) fn addr(&self) -> SocketAddr {
        self.0.addr
    }

    pub(crate) fn downgrade(&self) -> WeakServer {
        WeakServer {
            addr: self.0.addr,
            inner: Arc::downgrade(&self.0),
        }
    }

    /// Closes every connection and refuses new ones until [`Self::revive`].
    pub(crate) async fn die(&self) {
        let mut life = self.0.life.lock().await;
        if let Life::Running { token, accepting } = &mut *life {
            token.cancel();
            let _ = accepting.await;
            *life = Life::Dead(bind(self.0.addr).ok());
        }
    }

    /// Listens again on the same port after [`Self::die`].
    pub(crate) async fn revive(&self) -> io::Result<()> {
        let mut life = self.0.life.lock().await;
        let Life::Dead(kept) = &mut *life else {
            return Ok(());
        };
        let socket = match kept.take() {
            Some(socket) => socket,
            None => bind(self.0.addr)?,
        };
        let listener = socket.listen(BACKLOG)?;
        let token = CancellationToken::new();
        *lock(&self.0.current) = token.clone();
        let accepting = tokio::spawn(accept(
            listener,
            self.0.handler.clone(),
            self.0.switches.clone(),
            token.clone(),
        ));
        *life = Life::Running { token, accepting };
        Ok(())
    }

    /// Closes every connection and gives the port back.
    pub(crate) async fn stop(&self) {
        self.die().await;
        *self.0.life.lock().await = Life::Dead(None);
    }

    /// Ends the process's tasks without waiting for them.
    pub(crate) fn abort(&self) {
        lock(&self.0.current).cancel();
    }

    /// Accepts connections and answers nothing while `silent` is true.
    ///
    /// Requests and streams that were caught stay silent after the switch is off again.
    pub(crate) fn set_silent(&self, silent: bool) {
        self.0.switches.silent.store(silent, Ordering::SeqCst);
    }

    /// Makes all open connections silent for good; new connections work.
    pub(crate) fn freeze_open(&self) {
        let next = self.0.switches.next_connection.load(Ordering::SeqCst);
        self.0.switches.frozen_below.store(next, Ordering::SeqCst);
    }

    /// Delays every answer.
    pub(crate) fn set_delay(&self, delay: Duration) {
        let us = u64::try_from(delay.as_micros()).unwrap_or(u64::MAX);
        self.0.switches.delay_us.store(us, Ordering::SeqCst);
    }
}

fn bind(addr: SocketAddr) -> io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    Ok(socket)
}

async fn accept(
    listener: TcpListener,
    handler: Handler,
    switches: Arc<Switches>,
    token: CancellationToken,
) {
    loop {
        let accepted = tokio::select! {
            () = token.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            // Out of file descriptors: others have to be closed first.
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let number = switches.next_connection.fetch_add(1, Ordering::SeqCst);
        let served = serve(
            stream,
            handler.clone(),
            switches.clone(),
            number,
            token.clone(),
        );
        tokio::spawn(token.clone().run_until_cancelled_owned(served));
    }
}

async fn serve(
    stream: TcpStream,
    handler: Handler,
    switches: Arc<Switches>,
    number: u64,
    token: CancellationToken,
) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request| {
        let handler = handler.clone();
        let switches = switches.clone();
        let token = token.clone();
        async move {
            let delay = switches.delay_us.load(Ordering::SeqCst);
            if delay > 0 {
                tokio::time::sleep(Duration::from_micros(delay)).await;
            }
            if switches.is_silent(number) {
                std::future::pending::<()>().await;
            }
            let answer = handler(token.clone(), request).await?;
            if switches.is_silent(number) {
                std::future::pending::<()>().await;
            }
            let gated = answer.map(|body| Gate {
                body,
                switches,
                number,
                life: token,
            });
            Ok::<Response<Gate>, crate::http::Closed>(gated)
        }
    });
    let connection =
        hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    let _ = connection.await;
}

/// A body that stops in the middle once its connection is silent or its process has died.
struct Gate {
    body: Body,
    switches: Arc<Switches>,
    number: u64,
    life: CancellationToken,
}

impl HttpBody for Gate {
    type Data = Bytes;
    type Error = std::convert::Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        // The end of a producer that died with its process must not look like the end of the body.
        if self.switches.is_silent(self.number) || self.life.is_cancelled() {
            return Poll::Pending;
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Returns a body of the frames that `receiver` yields.
pub(crate) fn channel_body(receiver: tokio::sync::mpsc::UnboundedReceiver<Bytes>) -> Body {
    let frames = futures::stream::unfold(receiver, |mut receiver| async move {
        let bytes = receiver.recv().await?;
        Some((Ok(Frame::data(bytes)), receiver))
    });
    http_body_util::StreamBody::new(Box::pin(frames)).boxed()
}
