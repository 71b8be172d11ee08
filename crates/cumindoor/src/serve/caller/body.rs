//! Reads request bodies within the size and time limits.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::StatusCode;
use hyper::body::{Body, Incoming};
use tokio::time::{Instant, timeout_at};

use crate::serve::refusal::Refusal;
use crate::serve::spec::Limits;

/// Reads a request body into memory.
pub(super) async fn read(mut body: Incoming, limits: &Limits) -> Result<Bytes, Refusal> {
    let announced = body.size_hint().lower();
    if announced > limits.body_bytes as u64 {
        return Err(too_large(limits));
    }
    let deadline = Instant::now() + limits.body_timeout;
    let mut bytes = BytesMut::new();
    loop {
        let Ok(frame) = timeout_at(deadline, body.frame()).await else {
            return Err(Refusal::not_run(
                StatusCode::REQUEST_TIMEOUT,
                "body-timeout",
                format!(
                    "the body did not end in {} s",
                    limits.body_timeout.as_secs_f32()
                ),
            ));
        };
        let Some(frame) = frame else {
            return Ok(bytes.freeze());
        };
        let frame = frame.map_err(|error| malformed(format!("the body broke off: {error}")))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if bytes.len() + data.len() > limits.body_bytes {
            return Err(too_large(limits));
        }
        bytes.extend_from_slice(&data);
    }
}

fn too_large(limits: &Limits) -> Refusal {
    Refusal::not_run(
        StatusCode::PAYLOAD_TOO_LARGE,
        "body-too-large",
        format!("the body is larger than {} bytes", limits.body_bytes),
    )
}

/// Returns the refusal of a malformed request.
pub(super) fn malformed(message: impl Into<String>) -> Refusal {
    Refusal::not_run(StatusCode::BAD_REQUEST, "malformed", message)
}
