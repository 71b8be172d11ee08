//! What the platform publishes: routing and upstreams, in a store that is only read.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use coord::name::{DataCentre, Service, Upstream};

use crate::{Malformed, Routing};

/// What is read and watched by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Topic {
    /// Routes, services and limits.
    Routing,
    /// The upstreams that registered themselves.
    Upstreams,
}

impl Topic {
    /// Returns the topic's name, for log lines.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Routing => "routing",
            Self::Upstreams => "upstreams",
        }
    }
}

/// What an engine does with a request at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// It reads prompts.
    Prefill,
    /// It generates tokens.
    Decode,
}

/// One upstream as it registered itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamEntry {
    /// Its service.
    pub service: Service,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is about to end and must not get new requests.
    pub draining: bool,
    /// How much longer it is slow after its start.
    pub warmup_left: Duration,
    /// What it does; `None` for a plain service.
    pub stage: Option<Stage>,
    /// Unix milliseconds of its start, if it says so; another start under the same name knows
    /// nothing of before.
    pub start_ms: Option<u64>,
}

/// One published value that was written or deleted.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// The routing was written.
    Routing(Result<Arc<Routing>, Malformed>),
    /// An upstream was written; a malformed entry names none.
    Upstream(Upstream, Result<UpstreamEntry, Malformed>),
    /// An upstream was deleted.
    Deleted(Upstream),
    /// Something of no interest changed.
    Other,
}

/// A part of the store's answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Page {
    /// What it holds.
    pub changes: Vec<Change>,
    /// The key after which the next page begins, if there is one.
    pub next: Option<Arc<str>>,
    /// The store's revision.
    pub revision: u64,
    /// The highest revision at which something in it was changed; 0 if it holds nothing.
    pub last_change: u64,
}

/// How the store is asked and what its answers mean.
pub trait Catalogue: Send + Sync {
    /// Returns the path and query that reads a topic; `after` is [`Page::next`] of the page before.
    fn read_path(&self, topic: Topic, after: Option<&str>) -> String;

    /// Returns the path and query that waits for changes after a revision.
    fn watch_path(&self, topic: Topic, after: u64, wait: Duration) -> String;

    /// Reads the body of an answer to [`Self::read`].
    ///
    /// # Errors
    ///
    /// Returns [`Malformed`] if it is no such answer.
    fn parse_page(&self, topic: Topic, body: &[u8]) -> Result<Page, Malformed>;

    /// Reads the body of an answer to [`Self::watch`].
    ///
    /// # Errors
    ///
    /// Returns [`Malformed`] if it is no such answer.
    fn parse_events(&self, topic: Topic, body: &[u8]) -> Result<Page, Malformed>;
}
