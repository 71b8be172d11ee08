//! Heads of answers that no sound upstream sends, and the likeness of two answers to one request.

use derive_more::Display;
use hyper::StatusCode;
use hyper::header::{CONTENT_TYPE, HeaderMap, TRANSFER_ENCODING};
use hyper::http::response::Parts;

/// Why the head of an answer is none.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(in crate::gateway) enum Defect {
    /// HTTP defines no final answer with a status outside of 200 to 599. The client delivers an unasked change of the
    /// protocol (101) as if it were final, and a caller would take what follows for that other protocol.
    #[display("status {_0} is that of no final answer")]
    Status(u16),
    /// The body is in a coding besides chunks, which was not asked for and is not undone by the client.
    #[display("the answer has a transfer coding, but none was requested")]
    Coding,
}

/// Checks the head of an answer that an upstream sent.
///
/// # Errors
///
/// Returns the [`Defect`] for which the answer must not reach a caller.
pub(in crate::gateway) fn check(head: &Parts) -> Result<(), Defect> {
    let status = head.status.as_u16();
    if !(200..600).contains(&status) {
        return Err(Defect::Status(status));
    }
    if head
        .headers
        .get_all(TRANSFER_ENCODING)
        .iter()
        .any(|coding| !coding.as_bytes().eq_ignore_ascii_case(b"chunked"))
    {
        return Err(Defect::Coding);
    }
    Ok(())
}

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
