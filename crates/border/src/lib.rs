//! The interface between the gateway and the adapter of a platform.
//!
//! All decisions are made by the gateway. An adapter only translates headers and published values
//! to and from the types of this crate; it does not wait, retry or keep state:
//!
//! ```
//! use std::time::Duration;
//!
//! use border::{AttemptMeta, Step};
//!
//! // What the gateway tells an upstream about one attempt, independent of header names.
//! let attempt = AttemptMeta {
//!     upstream: "engine-7".into(),
//!     time_left: Some(Duration::from_millis(900)),
//!     step: Step::Prefill,
//!     last_event_id: None,
//!     organisation: None,
//!     priority: None,
//! };
//! assert!(matches!(attempt.step, Step::Prefill));
//! ```
//!
//! See `docs/platform.md` for the protocol, the reasons and the open questions.

mod dialect;
mod published;
mod routing;

pub use dialect::{
    AttemptMeta, Dialect, KvSource, OrderAnswer, PrefillResult, Prompt, Reply, RequestMeta,
    StageOrder, Statement, Step, Work,
};
pub use published::{Catalogue, Change, Page, Stage, Topic, UpstreamEntry};
pub use routing::{
    Allowance, AllowanceUnit, ApiKey, CallerLimits, Model, OrganisationDef, Route, RouteKind,
    Routing, ServiceDef,
};

use std::sync::Arc;

use derive_more::{Display, Error};

/// An error in data from the platform or a caller.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{location}: {problem}")]
pub struct Malformed {
    /// The key, header or field with the error.
    pub location: Arc<str>,
    /// Description of the error.
    pub problem: Arc<str>,
}

impl Malformed {
    /// Creates an error for the key, header or field `location`.
    pub fn new(location: impl Into<Arc<str>>, problem: impl Into<Arc<str>>) -> Self {
        Self {
            location: location.into(),
            problem: problem.into(),
        }
    }
}
