//! The platform's content, its revisions and its stale replica.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::time::{Duration, Instant};

use crate::server::lock;

/// Bytes of one value at most: 1 MB.
pub(super) const VALUE_LIMIT: usize = 1_000_000;

/// A value that is larger than 1 MB.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooLarge {
    /// Bytes of the refused value.
    pub bytes: usize,
}

impl std::fmt::Display for TooLarge {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "the value has {} bytes, more than {VALUE_LIMIT}",
            self.bytes
        )
    }
}

impl std::error::Error for TooLarge {}

/// Which replica answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Staleness {
    /// The current one.
    #[default]
    Current,
    /// One that has stopped at the content of a moment.
    Stale,
    /// The current and the stale one in turns.
    Flapping,
}

/// One VM in the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    /// Its name.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
    /// The address of its peer port.
    pub peer: String,
    /// `live` or `leaving`.
    pub state: String,
}

/// One upstream in the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamEntry {
    /// Its name.
    pub name: String,
    /// The upstream group that a document's service names.
    pub service: String,
    /// `prefill`, `decode`, `both` or `plain`.
    pub role: String,
    /// Its data centre.
    pub data_centre: String,
    /// Its address.
    pub address: String,
    /// `live` or `leaving`.
    pub state: String,
}

/// One document; `text` is `None` after its deletion.
#[derive(Clone, Debug, Serialize)]
pub(super) struct DocumentEntry {
    pub name: Arc<str>,
    pub revision: u64,
    pub text: Option<Arc<str>>,
}

#[derive(Clone, Debug, Default)]
pub(super) struct List {
    pub revision: u64,
    pub vms: BTreeMap<String, VmEntry>,
    pub upstreams: BTreeMap<String, UpstreamEntry>,
}

/// The content of one replica.
#[derive(Clone, Debug, Default)]
pub(super) struct Content {
    pub revision: u64,
    pub documents: BTreeMap<Arc<str>, DocumentEntry>,
    pub by_revision: BTreeMap<u64, Arc<str>>,
    pub list: List,
}

struct State {
    content: Content,
    stale: Content,
    staleness: Staleness,
    turn: bool,
    window: Instant,
    window_reads: u32,
}

pub(super) struct Shared {
    reads_per_second: u32,
    reads: AtomicU64,
    refused: AtomicU64,
    state: Mutex<State>,
    changes: watch::Sender<u64>,
}

impl Shared {
    pub fn new(reads_per_second: u32) -> Self {
        Self {
            reads_per_second,
            reads: AtomicU64::new(0),
            refused: AtomicU64::new(0),
            state: Mutex::new(State {
                content: Content::default(),
                stale: Content::default(),
                staleness: Staleness::Current,
                turn: false,
                window: Instant::now(),
                window_reads: 0,
            }),
            changes: watch::Sender::new(0),
        }
    }

    pub fn set_staleness(&self, staleness: Staleness) {
        let mut state = lock(&self.state);
        state.stale = state.content.clone();
        state.staleness = staleness;
    }

    pub fn write_document(&self, name: &str, text: Option<Arc<str>>) -> u64 {
        let revision = {
            let content = &mut lock(&self.state).content;
            content.revision += 1;
            let revision = content.revision;
            let name: Arc<str> = name.into();
            let entry = DocumentEntry {
                name: name.clone(),
                revision,
                text,
            };
            if let Some(old) = content.documents.insert(name.clone(), entry) {
                content.by_revision.remove(&old.revision);
            }
            content.by_revision.insert(revision, name);
            revision
        };
        self.changes.send_modify(|changes| *changes += 1);
        revision
    }

    pub fn write_list(&self, change: impl FnOnce(&mut List)) {
        {
            let list = &mut lock(&self.state).content.list;
            change(list);
            list.revision += 1;
        }
        self.changes.send_modify(|changes| *changes += 1);
    }

    /// Counts a read; returns false if it is over the limit.
    pub fn admit_read(&self) -> bool {
        let mut state = lock(&self.state);
        if state.window.elapsed() >= Duration::from_secs(1) {
            state.window = Instant::now();
            state.window_reads = 0;
        }
        if state.window_reads >= self.reads_per_second {
            self.refused.fetch_add(1, Ordering::SeqCst);
            return false;
        }
        state.window_reads += 1;
        self.reads.fetch_add(1, Ordering::SeqCst);
        true
    }

    pub fn reads(&self) -> u64 {
        self.reads.load(Ordering::SeqCst)
    }

    pub fn refused_reads(&self) -> u64 {
        self.refused.load(Ordering::SeqCst)
    }

    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Returns whether the stale replica serves the next read.
    pub fn choose_stale(&self) -> bool {
        let mut state = lock(&self.state);
        state.turn = !state.turn;
        match state.staleness {
            Staleness::Current => false,
            Staleness::Stale => true,
            Staleness::Flapping => state.turn,
        }
    }

    /// Reads from one replica.
    pub fn read<T>(&self, stale: bool, read: impl FnOnce(&Content) -> T) -> T {
        let guard = lock(&self.state);
        read(if stale { &guard.stale } else { &guard.content })
    }
}
