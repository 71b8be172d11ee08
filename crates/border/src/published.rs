//! Routing and upstreams that the platform publishes in a store, which the gateway only reads.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use coord::name::{DataCentre, Service, Upstream};

use crate::{Malformed, Routing};

/// Data that is read and watched separately.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Topic {
    /// Routes, services and limits.
    Routing,
    /// The upstreams that registered themselves.
    Upstreams,
}

impl Topic {
    /// Returns the name used in log events.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Routing => "routing",
            Self::Upstreams => "upstreams",
        }
    }
}

/// The stage that an engine serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// The engine processes prompts.
    Prefill,
    /// The engine generates tokens.
    Decode,
}

/// The entry with which an upstream registered itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamEntry {
    /// Service that the upstream provides.
    pub service: Service,
    /// Version of its software. It belongs to one start of the upstream.
    pub version: Arc<str>,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Data centre in which it runs.
    pub data_centre: DataCentre,
    /// Requests that it processes at once.
    pub slots: u32,
    /// Whether it is shutting down and takes no new requests.
    pub draining: bool,
    /// Time for which it remains slow after its start.
    pub warmup_left: Duration,
    /// Stage that it serves; `None` for a plain service.
    pub stage: Option<Stage>,
    /// Unix milliseconds of its start, if published. An upstream that restarted under the same name
    /// has no memory of earlier requests.
    pub start_ms: Option<u64>,
}

/// A published value that was written or deleted.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// The routing was written.
    Routing(Result<Arc<Routing>, Malformed>),
    /// An upstream's entry was written; an invalid entry describes no usable upstream.
    Upstream(Upstream, Result<UpstreamEntry, Malformed>),
    /// An upstream's entry was deleted.
    Deleted(Upstream),
    /// A value that is of no interest to the gateway changed.
    Other,
}

/// Part of an answer of the store.
#[derive(Clone, Debug, PartialEq)]
pub struct Page {
    /// Changes in this part.
    pub changes: Vec<Change>,
    /// Key after which the next page begins, if there is one.
    pub next: Option<Arc<str>>,
    /// Revision of the store.
    pub revision: u64,
    /// Highest revision of a change in this part; 0 if it is empty.
    pub last_change: u64,
}

/// Builds calls to the store and parses its answers.
pub trait Catalogue: Send + Sync {
    /// Returns the path and query that read a topic; `after` is [`Page::next`] of the previous
    /// page.
    fn read_path(&self, topic: Topic, after: Option<&str>) -> String;

    /// Returns the path and query that wait for changes after a revision.
    fn watch_path(&self, topic: Topic, after: u64, wait: Duration) -> String;

    /// Parses the body of an answer to [`Self::read_path`].
    ///
    /// # Errors
    ///
    /// Returns [`Malformed`] if the body is not such an answer.
    fn parse_page(&self, topic: Topic, body: &[u8]) -> Result<Page, Malformed>;

    /// Parses the body of an answer to [`Self::watch_path`].
    ///
    /// # Errors
    ///
    /// Returns [`Malformed`] if the body is not such an answer.
    fn parse_events(&self, topic: Topic, body: &[u8]) -> Result<Page, Malformed>;
}
