//! Refusals: error responses to requests that are not served.

use std::borrow::Cow;
use std::time::Duration;

use bytes::Bytes;
use coord::sched::Reason;
use derive_more::Display;
use hyper::StatusCode;
use serde::Serialize;

/// Whether the work of a refused request may have run.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// The work did not run and will not run.
    #[display("not-run")]
    NotRun,
    /// The work may have run.
    #[display("unknown")]
    Unknown,
}

/// The error response to a request that is not served, or not completely.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{kind}: {message}")]
pub struct Refusal {
    /// The HTTP status; unused if the response head was already sent.
    pub status: StatusCode,
    /// Whether the work may have run.
    pub kind: Kind,
    /// A stable code that programs can match.
    pub reason: Cow<'static, str>,
    /// A description for people.
    pub message: String,
    /// Time after which a new request may succeed.
    pub retry_after: Option<Duration>,
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorDetail<'a>,
}

#[derive(Serialize)]
struct ErrorDetail<'a> {
    kind: Kind,
    reason: &'a str,
    message: &'a str,
    retry_after_ms: Option<u64>,
}

impl Refusal {
    /// Returns the refusal of a request whose work did not run and will not run.
    #[must_use]
    pub fn not_run(
        status: StatusCode,
        reason: impl Into<Cow<'static, str>>,
        message: impl Into<String>,
    ) -> Self {
        Self {
            status,
            kind: Kind::NotRun,
            reason: reason.into(),
            message: message.into(),
            retry_after: None,
        }
    }

    /// Returns the refusal of a request whose outcome is unknown.
    #[must_use]
    pub fn unknown(reason: impl Into<Cow<'static, str>>, message: impl Into<String>) -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            kind: Kind::Unknown,
            reason: reason.into(),
            message: message.into(),
            retry_after: None,
        }
    }

    /// Returns the refusal that a scheduler decided.
    ///
    /// `dispatched` is true if bytes were sent to an upstream that may have run the work.
    #[must_use]
    pub fn from_reason(reason: Reason, after: Option<Duration>, dispatched: bool) -> Self {
        let unknown = dispatched || reason == Reason::Unknown;
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            kind: if unknown { Kind::Unknown } else { Kind::NotRun },
            reason: reason_code(reason).into(),
            message: reason.to_string(),
            retry_after: after,
        }
    }

    /// Sets the time after which a new request may succeed.
    #[must_use]
    pub fn retry_in(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// Returns the body of the error response as JSON.
    #[must_use]
    pub fn json(&self) -> Bytes {
        let after = self.retry_after.map(|after| after.as_millis());
        let detail = ErrorDetail {
            kind: self.kind,
            reason: &self.reason,
            message: &self.message,
            retry_after_ms: after.map(|ms| u64::try_from(ms).unwrap_or(u64::MAX)),
        };
        // Serialising strings and numbers to memory cannot fail.
        let text = serde_json::to_vec(&ErrorBody { error: detail }).unwrap_or_default();
        Bytes::from(text)
    }
}

fn reason_code(reason: Reason) -> &'static str {
    match reason {
        Reason::Deadline => "deadline",
        Reason::QueueFull => "queue-full",
        Reason::NoUpstream => "no-upstream",
        Reason::RetryBudget => "retry-budget",
        Reason::Poison => "poison",
        Reason::Unknown => "unknown",
    }
}
