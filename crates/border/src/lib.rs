//! What the gateway and the adapter of a platform know of each other.
//!
//! The gateway decides; an adapter only translates. It reads headers and published values into the
//! types of this crate and writes them back, without waiting, retrying or remembering anything:
//!
//! ```
//! use std::time::Duration;
//!
//! use border::{AttemptMeta, Step};
//!
//! // What the gateway wants an upstream to hear of one attempt, whatever its headers are called.
//! let stamp = AttemptMeta {
//!     upstream: "engine-7".into(),
//!     time_left: Some(Duration::from_millis(900)),
//!     step: Step::Prefill,
//!     last_event_id: None,
//! };
//! assert!(matches!(stamp.step, Step::Prefill));
//! ```
//!
//! `docs/platform.md` has the programs, the reasons and the open questions.

mod dialect;
mod published;
mod routing;

pub use dialect::{
    AttemptMeta, Dialect, KvSource, OrderAnswer, PrefillResult, Prompt, Reply, RequestMeta,
    StageOrder, Step, Work,
};
pub use published::{Catalogue, Change, Page, Stage, Topic, UpstreamEntry};
pub use routing::{CallerLimits, Model, Route, RouteKind, Routing, ServiceDef};

use std::sync::Arc;

use derive_more::{Display, Error};

/// Why bytes of the outside could not be read.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{at}: {problem}")]
pub struct Malformed {
    /// The key, header or field at fault.
    pub at: Arc<str>,
    /// What is wrong with it.
    pub problem: Arc<str>,
}

impl Malformed {
    /// Describes a fault at `at`.
    pub fn new(at: impl Into<Arc<str>>, problem: impl Into<Arc<str>>) -> Self {
        Self {
            at: at.into(),
            problem: problem.into(),
        }
    }
}
