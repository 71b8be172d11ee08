//! The platform's content with its revisions, and its stale replica.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::time::{Duration, Instant};

use crate::server::lock;

/// The maximum size of a document.
pub(super) const MAX_VALUE_BYTES: usize = 1_000_000;

/// The error for a document that is larger than 1 MB.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ValueTooLarge {
    /// The size of the refused document.
    pub bytes: usize,
}

impl std::fmt::Display for ValueTooLarge {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "the value has {} bytes, more than {MAX_VALUE_BYTES}",
            self.bytes
        )
    }
}

impl std::error::Error for ValueTooLarge {}

/// Which replica serves reads.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Staleness {
    /// The current replica.
    #[default]
    Current,
    /// A replica that receives no more changes.
    Stale,
    /// The current and the stale replica alternately.
    Flapping,
}

/// One VM in the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    /// The VM's name.
    pub name: String,
    /// The VM's data centre.
    pub data_centre: String,
    /// The address of the VM's peer port.
    pub peer: String,
    /// `live` or `leaving`.
    pub state: String,
}

/// One upstream in the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamEntry {
    /// The upstream's name.
    pub name: String,
    /// The upstream group to which a service in a document refers.
    pub service: String,
    /// `prefill`, `decode`, `both` or `plain`.
    pub role: String,
    /// The upstream's data centre.
    pub data_centre: String,
    /// The upstream's address.
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

/// The list of VMs and upstreams, which has revisions of its own.
#[derive(Clone, Debug, Default)]
pub(super) struct List {
    pub revision: u64,
    pub vms: BTreeMap<String, VmEntry>,
    pub upstreams: BTreeMap<String, UpstreamEntry>,
}

/// The content of one replica.
#[derive(Clone, Debug, Default)]
pub(super) struct Content {
    /// The revision of the last change of a document.
    pub revision: u64,
    pub documents: BTreeMap<Arc<str>, DocumentEntry>,
    /// The names of the documents by the revisions of their last changes.
    pub by_revision: BTreeMap<u64, Arc<str>>,
    pub list: List,
}

struct State {
    content: Content,
    stale: Content,
    staleness: Staleness,
    /// Whether the stale replica served the last read, if the replicas alternate.
    stale_turn: bool,
    /// The start of the second in which reads are counted.
    window_start: Instant,
    window_reads: u32,
}

pub(super) struct Shared {
    reads_per_second: u32,
    reads: AtomicU64,
    refused_reads: AtomicU64,
    state: Mutex<State>,
    /// The number of changes so far, to which watches subscribe to wait for the next one.
    changes: watch::Sender<u64>,
}

impl Shared {
    pub fn new(reads_per_second: u32) -> Self {
        Self {
            reads_per_second,
            reads: AtomicU64::new(0),
            refused_reads: AtomicU64::new(0),
            state: Mutex::new(State {
                content: Content::default(),
                stale: Content::default(),
                staleness: Staleness::Current,
                stale_turn: false,
                window_start: Instant::now(),
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

    /// Counts a read and returns whether it is within the limit of the current second.
    pub fn admit_read(&self) -> bool {
        let mut state = lock(&self.state);
        if state.window_start.elapsed() >= Duration::from_secs(1) {
            state.window_start = Instant::now();
            state.window_reads = 0;
        }
        if state.window_reads >= self.reads_per_second {
            self.refused_reads.fetch_add(1, Ordering::SeqCst);
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
        self.refused_reads.load(Ordering::SeqCst)
    }

    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Returns whether the stale replica serves the next read.
    pub fn choose_stale(&self) -> bool {
        let mut state = lock(&self.state);
        state.stale_turn = !state.stale_turn;
        match state.staleness {
            Staleness::Current => false,
            Staleness::Stale => true,
            Staleness::Flapping => state.stale_turn,
        }
    }

    /// Calls `read` with the content of one replica.
    pub fn read<T>(&self, stale: bool, read: impl FnOnce(&Content) -> T) -> T {
        let guard = lock(&self.state);
        read(if stale { &guard.stale } else { &guard.content })
    }
}
