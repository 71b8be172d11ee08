//! Reads bodies into memory that the account grants.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use derive_more::Display;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};

use crate::gateway::callers::memory::Buffer;
use crate::gateway::callers::memory::ledger::Cause;
use crate::serve::engine::{BodyError, BoxedBody};

/// Why a body was not read to its end.
#[derive(Debug, Display)]
pub enum ReadError {
    /// It exceeds the limit.
    #[display("the body exceeds the limit")]
    TooLarge,
    /// Its sender disconnected or sent no HTTP.
    #[display("{_0}")]
    Broken(hyper::Error),
    /// Its memory is needed by others.
    #[display("the memory is needed by others")]
    Evicted(Cause),
}

/// Copies a body of up to `limit` bytes into a buffer.
pub async fn read(body: &mut Incoming, buffer: &mut Buffer, limit: usize) -> Result<(), ReadError> {
    let eviction = buffer.hold().eviction();
    let mut evicted = std::pin::pin!(eviction.cancelled());
    loop {
        // Frames that are ready come first, because a body of single bytes has very many.
        let frame = tokio::select! {
            biased;
            frame = body.frame(), if !eviction.is_cancelled() => frame,
            () = &mut evicted => return Err(ReadError::Evicted(buffer.hold().cause())),
        };
        let Some(frame) = frame.transpose().map_err(ReadError::Broken)? else {
            return Ok(());
        };
        let Some(data) = frame.data_ref() else {
            continue;
        };
        if buffer.length() + data.len() > limit {
            return Err(ReadError::TooLarge);
        }
        buffer.push(data).await.map_err(ReadError::Evicted)?;
    }
}

/// A body that keeps a value until it is dropped.
pub struct Keeping<T> {
    inner: BoxedBody,
    _kept: T,
}

impl<T: Send + Unpin + 'static> Keeping<T> {
    /// Returns a body that keeps `kept`.
    pub fn boxed(inner: BoxedBody, kept: T) -> BoxedBody {
        Self { inner, _kept: kept }.boxed_unsync()
    }
}

impl<T: Unpin> Body for Keeping<T> {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Pin::new(&mut self.inner).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
