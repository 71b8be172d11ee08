//! What two answers to one request have in common.

use hyper::StatusCode;
use hyper::header::{CONTENT_TYPE, HeaderMap};

/// What the answer that goes on with a stream has in common with the one that began it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Likeness {
    status: StatusCode,
    /// The type of the body without its parameters.
    media_type: Option<String>,
}

impl Likeness {
    /// Returns the likeness of an answer.
    pub(super) fn of(status: StatusCode, headers: &HeaderMap) -> Self {
        let media_type = headers.get(CONTENT_TYPE).map(|value| {
            let text = String::from_utf8_lossy(value.as_bytes());
            let essence = text.split(';').next().unwrap_or_default();
            essence.trim().to_ascii_lowercase()
        });
        Self { status, media_type }
    }
}
