//! Limits on request and response bodies of plain services.

use std::sync::{Arc, Mutex, PoisonError};

use bytes::{Bytes, BytesMut};
use futures::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::{Response, StatusCode};
use tokio::time::{Instant, timeout, timeout_at};

use super::headers;
use crate::serve::engine::{BodyError, BoxedBody, PooledResponse};
use crate::serve::refusal::Refusal;
use crate::serve::spec::Limits;

/// The reason why a streamed request body ended early; clones share it.
#[derive(Clone, Debug, Default)]
pub(super) struct BodyFailure(Arc<Mutex<Option<Refusal>>>);

impl BodyFailure {
    fn set(&self, refusal: Refusal) -> BodyError {
        let text = refusal.message.clone();
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = Some(refusal);
        text.into()
    }

    pub(super) fn take(&self) -> Option<Refusal> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).take()
    }
}

/// Returns the refusal of a body that exceeds the size limit.
pub(super) fn too_large(limits: &Limits) -> Refusal {
    let message = format!("the body is larger than {} bytes", limits.plain_bytes);
    Refusal::not_run(StatusCode::PAYLOAD_TOO_LARGE, "body-too-large", message)
}

fn too_slow() -> Refusal {
    let message = "the body made no progress in time";
    Refusal::not_run(StatusCode::REQUEST_TIMEOUT, "body-timeout", message)
}

fn interrupted(error: &hyper::Error) -> Refusal {
    let message = format!("the body broke off: {error}");
    Refusal::not_run(StatusCode::BAD_REQUEST, "malformed", message)
}

/// Buffers a short body whose length is known.
pub(super) async fn read(mut body: Incoming, limits: &Limits) -> Result<Bytes, Refusal> {
    let deadline = Instant::now() + limits.body_timeout;
    let mut bytes = BytesMut::new();
    loop {
        let frame = timeout_at(deadline, body.frame())
            .await
            .map_err(|_| too_slow())?;
        let Some(frame) = frame else {
            return Ok(bytes.freeze());
        };
        let frame = frame.map_err(|error| interrupted(&error))?;
        if let Ok(data) = frame.into_data() {
            bytes.extend_from_slice(&data);
        }
    }
}

/// Streams the body of a caller; the stream fails when the body is too large or makes no progress.
///
/// The call may have run by then, so the kind of the refusal stored in `failure` is `unknown`.
pub(super) fn limited(body: Incoming, limits: &Limits, failure: BodyFailure) -> BoxedBody {
    let state = (body, 0_u64, limits.clone(), failure);
    let frames = stream::unfold(state, |(mut body, mut bytes, limits, failure)| async move {
        let frame = match timeout(limits.body_timeout, body.frame()).await {
            Err(_) => Err(outcome_unknown(too_slow())),
            Ok(None) => return None,
            Ok(Some(Err(error))) => Err(outcome_unknown(interrupted(&error))),
            Ok(Some(Ok(frame))) => Ok(frame),
        };
        let frame = frame.and_then(|frame| {
            bytes += frame.data_ref().map_or(0, |data| data.len() as u64);
            if bytes > limits.plain_bytes {
                return Err(outcome_unknown(too_large(&limits)));
            }
            Ok(frame)
        });
        let frame = frame.map_err(|refusal| failure.set(refusal));
        Some((frame, (body, bytes, limits, failure)))
    });
    StreamBody::new(Box::pin(frames)).boxed_unsync()
}

fn outcome_unknown(refusal: Refusal) -> Refusal {
    let Refusal {
        status,
        reason,
        message,
        ..
    } = refusal;
    let mut refusal = Refusal::unknown(reason, message);
    refusal.status = status;
    refusal
}

/// Relays the response of an upstream; `guards` are dropped together with its body.
pub(super) fn relay_response(
    connected: PooledResponse,
    deadline: Instant,
    guards: impl Send + 'static,
) -> Response<BoxedBody> {
    let (mut parts, body) = connected.response.into_parts();
    headers::strip(&mut parts.headers);
    let state = (body, connected.lease, guards, false);
    let frames = stream::unfold(state, move |(mut body, lease, guards, failed)| async move {
        if failed {
            return None;
        }
        let frame: Result<Frame<Bytes>, BodyError> = match timeout_at(deadline, body.frame()).await
        {
            Err(_) => Err("the answer took too long".into()),
            Ok(None) => {
                lease.release();
                return None;
            }
            Ok(Some(frame)) => frame.map_err(Into::into),
        };
        let failed = frame.is_err();
        Some((frame, (body, lease, guards, failed)))
    });
    Response::from_parts(parts, StreamBody::new(Box::pin(frames)).boxed_unsync())
}
