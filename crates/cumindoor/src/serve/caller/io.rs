//! A caller's socket that notices when its writes make no progress.

use std::future::Future;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

/// A socket whose writes fail when the peer takes nothing for a while.
pub(super) struct GuardedIo {
    stream: TcpStream,
    stall: Duration,
    /// Runs while a write waits for the peer.
    waiting: Option<Pin<Box<Sleep>>>,
    unanswered: bool,
}

impl GuardedIo {
    pub(super) fn new(stream: TcpStream, stall: Duration) -> Self {
        Self {
            stream,
            stall,
            waiting: None,
            unanswered: false,
        }
    }

    /// Returns true if the peer sent bytes since the last write to it.
    pub(super) fn unanswered(&self) -> bool {
        self.unanswered
    }

    /// Returns the socket itself.
    pub(super) fn into_stream(self) -> TcpStream {
        self.stream
    }

    fn check<T>(
        &mut self,
        cx: &mut Context<'_>,
        polled: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if polled.is_ready() {
            self.waiting = None;
            self.unanswered = false;
            return polled;
        }
        let stall = self.stall;
        let waiting = self.waiting.get_or_insert_with(|| Box::pin(sleep(stall)));
        ready!(waiting.as_mut().poll(cx));
        Poll::Ready(Err(io::Error::new(
            io::ErrorKind::TimedOut,
            "the caller takes no bytes",
        )))
    }
}

impl AsyncRead for GuardedIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buffer);
        if buffer.filled().len() > before {
            self.unanswered = true;
        }
        polled
    }
}

impl AsyncWrite for GuardedIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.check(cx, polled)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(cx, slices);
        self.check(cx, polled)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
