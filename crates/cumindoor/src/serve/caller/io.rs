//! A socket wrapper that times out writes without progress.

use std::future::Future;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

/// A socket whose writes fail if the caller accepts no bytes for a given time.
pub(super) struct WriteTimeoutIo {
    stream: TcpStream,
    write_timeout: Duration,
    /// Timer that runs while a write is pending.
    timer: Option<Pin<Box<Sleep>>>,
    unanswered: bool,
}

impl WriteTimeoutIo {
    pub(super) fn new(stream: TcpStream, write_timeout: Duration) -> Self {
        Self {
            stream,
            write_timeout,
            timer: None,
            unanswered: false,
        }
    }

    /// Returns true if bytes were received since the last write.
    pub(super) fn has_unanswered_bytes(&self) -> bool {
        self.unanswered
    }

    /// Returns the wrapped socket.
    pub(super) fn into_stream(self) -> TcpStream {
        self.stream
    }

    fn check_progress<T>(
        &mut self,
        cx: &mut Context<'_>,
        polled: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if polled.is_ready() {
            self.timer = None;
            self.unanswered = false;
            return polled;
        }
        let write_timeout = self.write_timeout;
        let timer = self
            .timer
            .get_or_insert_with(|| Box::pin(sleep(write_timeout)));
        ready!(timer.as_mut().poll(cx));
        Poll::Ready(Err(io::Error::new(
            io::ErrorKind::TimedOut,
            "the caller accepted no bytes within the write timeout",
        )))
    }
}

impl AsyncRead for WriteTimeoutIo {
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

impl AsyncWrite for WriteTimeoutIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.check_progress(cx, polled)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(cx, slices);
        self.check_progress(cx, polled)
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
