//! Heads of responses that no sound upstream sends.

use derive_more::Display;
use hyper::Response;
use hyper::header::TRANSFER_ENCODING;

/// Why the head of an answer is none.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(super) enum Defect {
    /// HTTP defines no final answer with a status outside of 200 to 599. The client delivers an unasked change of the
    /// protocol (101) as if it were final, and a caller would take what follows for that other protocol.
    #[display("status {_0} is that of no final answer")]
    Status(u16),
    /// The body is in a coding besides chunks, which was not asked for and is not undone by the client.
    #[display("the answer has a transfer coding, but none was requested")]
    Coding,
}

/// Checks the head of a response.
///
/// # Errors
///
/// Returns the [`Defect`] for which it is none.
pub(super) fn check<B>(response: &Response<B>) -> Result<(), Defect> {
    let status = response.status().as_u16();
    if !(200..600).contains(&status) {
        return Err(Defect::Status(status));
    }
    let codings = response.headers().get_all(TRANSFER_ENCODING);
    let mut codings = codings.iter();
    if codings.any(|coding| !coding.as_bytes().eq_ignore_ascii_case(b"chunked")) {
        return Err(Defect::Coding);
    }
    Ok(())
}
