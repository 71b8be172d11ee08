//! Limits for the parts of an answer whose bytes keep coming without end.
//!
//! A faulty upstream may send a head, interim answers, the framing of a body or an event without ever ending it.
//! The HTTP client shows nothing of these bytes to the reader of the answer, so they are counted where
//! they are read.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Instant;

/// Longest time for which the bytes of one part may arrive. Callers abandon a stream after a gap of
/// 2 s, and another upstream needs the rest of that time to continue it.
const MAX_PART_TIME: Duration = Duration::from_secs(1);
/// Longest time between two reads that counts. An upstream that pauses within a part and then ends
/// it is sound, so its silence is no reason to give it up.
const MAX_COUNTED_GAP: Duration = Duration::from_millis(250);

/// Most bytes up to the end of a head, with the interim answers before it and what the HTTP client reads ahead of the
/// body. The HTTP client limits a single head, not the number of interim answers, and it parses them without
/// letting other tasks run.
const MAX_HEAD_BYTES: u64 = 256 * 1024;

/// Marks the parts of an answer for the connection that it is read from, such as its head or one
/// event; clones refer to the same connection.
#[derive(Clone, Debug, Default)]
pub struct PartMarker(Arc<Part>);

#[derive(Debug, Default)]
struct Part {
    /// Number of the current part.
    number: AtomicU64,
    /// Whether the current part has a time limit.
    limited: AtomicBool,
    /// Whether the current part is a head, whose bytes are limited as well.
    head: AtomicBool,
}

impl PartMarker {
    /// Begins the head of an answer, which has to end within the limits of time and bytes.
    pub fn begin_head(&self) {
        self.begin();
        self.0.head.store(true, Ordering::Relaxed);
    }

    /// Begins a part that has to end within the time limit.
    pub fn begin(&self) {
        self.0.number.fetch_add(1, Ordering::Relaxed);
        self.0.head.store(false, Ordering::Relaxed);
        self.0.limited.store(true, Ordering::Relaxed);
    }

    /// Ends the current part. What follows has no time limit.
    pub fn end(&self) {
        self.0.limited.store(false, Ordering::Relaxed);
    }

    fn limited_part(&self) -> Option<u64> {
        let limited = self.0.limited.load(Ordering::Relaxed);
        limited.then(|| self.0.number.load(Ordering::Relaxed))
    }

    fn is_head(&self) -> bool {
        self.0.head.load(Ordering::Relaxed)
    }
}

/// Measures for how long the bytes of the current part have been arriving, and counts them.
#[derive(Debug, Default)]
struct PartClock {
    part: Option<u64>,
    /// When bytes were last read.
    last_read: Option<Instant>,
    /// Time between the reads of the part, without the silences that do not count.
    spent: Duration,
    /// Bytes of the part.
    bytes: u64,
}

impl PartClock {
    /// Records a read and returns whether the part has exceeded its time limit.
    fn record_read(&mut self, now: Instant, part: Option<u64>, bytes: usize) -> bool {
        let last_read = self.last_read.replace(now);
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        if part.is_none() || part != self.part {
            self.part = part;
            self.spent = Duration::ZERO;
            self.bytes = bytes;
            return false;
        }
        self.bytes = self.bytes.saturating_add(bytes);
        let gap = last_read.map_or(Duration::ZERO, |last| now.duration_since(last));
        self.spent += gap.min(MAX_COUNTED_GAP);
        self.spent > MAX_PART_TIME
    }
}

/// A connection whose reads fail once a part exceeds its time limit.
#[derive(Debug)]
pub(super) struct LimitedStream<S> {
    stream: S,
    marker: PartMarker,
    clock: PartClock,
}

impl<S> LimitedStream<S> {
    pub(super) fn new(stream: S, marker: PartMarker) -> Self {
        Self {
            stream,
            marker,
            clock: PartClock::default(),
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for LimitedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let part = self.marker.limited_part();
        let read = buf.filled().len() - filled;
        if read == 0 {
            return Poll::Ready(Ok(()));
        }
        let invalid = |text| Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, text)));
        if self.clock.record_read(Instant::now(), part, read) {
            return invalid(format!(
                "bytes kept coming for {} ms without an end of the head or event",
                MAX_PART_TIME.as_millis()
            ));
        }
        if part.is_some() && self.marker.is_head() && self.clock.bytes > MAX_HEAD_BYTES {
            return invalid(format!("{MAX_HEAD_BYTES} bytes without an end of the head"));
        }
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for LimitedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

#[cfg(test)]
mod tests;
