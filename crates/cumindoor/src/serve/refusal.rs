//! Refusals: the final answer to a request that is not served.

use std::borrow::Cow;
use std::time::Duration;

use bytes::Bytes;
use coord::sched::Reason;
use derive_more::Display;
use hyper::StatusCode;
use serde::Serialize;

/// Whether the refused work may have happened.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// The work did not happen and will not happen.
    #[display("not-run")]
    NotRun,
    /// The work may have happened.
    #[display("unknown")]
    Unknown,
}

/// The final answer to a request that is not served, or not served to its end.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{kind}: {message}")]
pub struct Refusal {
    /// The status of the answer, if its head was not sent yet.
    pub status: StatusCode,
    /// Whether the work may have happened.
    pub kind: Kind,
    /// A stable word for programs.
    pub reason: Cow<'static, str>,
    /// A sentence for people.
    pub message: String,
    /// After what time a new request has a chance.
    pub retry_after: Option<Duration>,
}

#[derive(Serialize)]
struct Outer<'a> {
    error: Inner<'a>,
}

#[derive(Serialize)]
struct Inner<'a> {
    kind: Kind,
    reason: &'a str,
    message: &'a str,
    retry_after_ms: Option<u64>,
}

impl Refusal {
    /// Returns a refusal of a request that was never passed to an upstream.
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

    /// Returns the answer to a request whose outcome is not known.
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

    /// Returns the refusal that a scheduler ordered.
    ///
    /// `dispatched` tells whether bytes went to an upstream that may have done the work.
    #[must_use]
    pub fn from_reason(reason: Reason, after: Option<Duration>, dispatched: bool) -> Self {
        let unknown = dispatched || reason == Reason::Unknown;
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            kind: if unknown { Kind::Unknown } else { Kind::NotRun },
            reason: reason_word(reason).into(),
            message: reason.to_string(),
            retry_after: after,
        }
    }

    /// Adds the time after which a new request has a chance.
    #[must_use]
    pub fn retry_in(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// Returns the JSON form.
    #[must_use]
    pub fn json(&self) -> Bytes {
        let after = self.retry_after.map(|after| after.as_millis());
        let inner = Inner {
            kind: self.kind,
            reason: &self.reason,
            message: &self.message,
            retry_after_ms: after.map(|ms| u64::try_from(ms).unwrap_or(u64::MAX)),
        };
        // Serialising strings and numbers to memory cannot fail.
        let text = serde_json::to_vec(&Outer { error: inner }).unwrap_or_default();
        Bytes::from(text)
    }
}

fn reason_word(reason: Reason) -> &'static str {
    match reason {
        Reason::Deadline => "deadline",
        Reason::QueueFull => "queue-full",
        Reason::NoUpstream => "no-upstream",
        Reason::RetryBudget => "retry-budget",
        Reason::Poison => "poison",
        Reason::Unknown => "unknown",
    }
}
