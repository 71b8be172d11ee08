//! Short calls whose complete answer is read into memory.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use http_body_util::{BodyExt, Limited};
use hyper::http::response::Parts;
use hyper::{Method, Request};
use tokio::time::timeout;

use crate::serve::engine::{Pool, SendError, full_body};

/// Largest answer in bytes. A page of the store holds up to 1 MB of values as base64 text.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// Why a call returned no answer.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum FetchError {
    /// No complete answer arrived in time.
    #[display("no complete answer within the time limit")]
    Timeout,
    /// The call could not be sent.
    #[display("{_0}")]
    Failed(String),
    /// The connection broke off after the call was sent and before the answer was complete.
    #[display("{_0}")]
    Cut(String),
}

impl From<SendError> for FetchError {
    fn from(error: SendError) -> Self {
        let text = error.to_string();
        match error {
            SendError::Sent(_) => Self::Cut(text),
            _ => Self::Failed(text),
        }
    }
}

/// Sends a call without a body and reads the head and the body of the complete answer.
///
/// # Errors
///
/// Returns [`FetchError`] if there is no complete answer within `limit`.
pub async fn fetch(
    pool: &Pool,
    addr: SocketAddr,
    call: (Method, &str),
    limit: Duration,
) -> Result<(Parts, Bytes), FetchError> {
    let (method, path) = call;
    let request = Request::builder().method(method).uri(path);
    let request = request
        .body(full_body(Bytes::new()))
        .map_err(|error| FetchError::Failed(error.to_string()))?;
    let exchange = async {
        let connected = pool.send(addr, request).await?;
        let (head, body) = connected.response.into_parts();
        let whole = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
        let whole = whole.map_err(|error| FetchError::Cut(error.to_string()))?;
        // A refusal may be written once more, and a call has no id that would tell it from that of the next request.
        if head.status.is_success() {
            connected.lease.release();
        }
        Ok((head, whole.to_bytes()))
    };
    timeout(limit, exchange)
        .await
        .unwrap_or(Err(FetchError::Timeout))
}
