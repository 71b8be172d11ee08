//! Messages, actions and options of the replication of documents.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::name::VmName;

/// The number of buckets in the digest of a store. With 42,000 documents, a bucket has about 660.
pub const BUCKETS: usize = 64;

/// The maximum size in bytes of the documents in one message, unless a single document is larger.
pub const MAX_BATCH_BYTES: usize = 256 * 1_024;

/// The maximum size in bytes of a document that is pushed directly. Larger ones are announced, so
/// that a VM receives them from one peer only.
pub const MAX_PUSH_BYTES: usize = 2_048;

/// The maximum number of documents that are pushed after one call. If there are more, none is
/// pushed and comparisons distribute them.
pub const MAX_PUSH_DOCUMENTS: usize = 64;

/// One revision of one configuration document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// The name of the document.
    pub name: Arc<str>,
    /// The revision, which is above 0 and rises with each change of the document.
    pub revision: u64,
    /// The text, or `None` if the document was deleted.
    pub text: Option<Arc<str>>,
    /// For a deleted document, the seconds since its deletion as known to the sender; otherwise 0.
    #[serde(rename = "age")]
    pub age_seconds: u32,
}

impl Document {
    /// Returns the size of the document in a message in bytes, rounded up.
    #[must_use]
    pub fn size(&self) -> usize {
        self.name.len() + self.text.as_ref().map_or(0, |text| text.len()) + 24
    }
}

/// The revisions of one document that a VM holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldRevisions {
    /// The name of the document.
    pub name: Arc<str>,
    /// The highest revision that the VM knows, even if it is malformed.
    pub latest: u64,
    /// The revision in force. It is lower than `latest` if later texts are malformed, and 0 if no
    /// well-formed text is known.
    #[serde(rename = "force")]
    pub in_force: u64,
}

impl HeldRevisions {
    /// Returns `true` if the VM that holds `other` needs a text of the VM that holds `self`: a
    /// later one, or a well-formed one below a malformed latest one.
    ///
    /// A text that the other VM has rejected is not sent again, even if it is in force on this VM:
    /// VMs that run different versions may validate it differently.
    #[must_use]
    pub fn is_newer_than(&self, other: &Self) -> bool {
        let fallback = self.in_force > other.in_force && self.in_force < other.latest;
        self.latest > other.latest || fallback
    }
}

/// A message between VMs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Starts or answers a comparison of all documents.
    Root {
        /// The digest of the sender's whole store.
        root: u64,
        /// The sender's cursor: it holds all documents up to this revision.
        cursor: u64,
        /// Whether the sender has completed its boot.
        ready: bool,
        /// Whether this message answers another `Root`.
        reply: bool,
    },
    /// Answers [`Root`](Self::Root) if the digests differ.
    Buckets {
        /// The digest of each bucket.
        buckets: Vec<u64>,
        /// The sender's cursor, as in `Root`.
        cursor: u64,
        /// Whether the sender has completed its boot, as in `Root`.
        ready: bool,
    },
    /// Requests the documents of one bucket that are newer at the receiver.
    #[serde(rename = "Have")]
    BucketRequest {
        /// The number of the request, which the answer repeats.
        id: u64,
        /// The index of the bucket.
        bucket: u8,
        /// The revisions of all documents that the sender holds in the bucket.
        held: Vec<HeldRevisions>,
    },
    /// Answers [`BucketRequest`](Self::BucketRequest).
    #[serde(rename = "Docs")]
    BucketResponse {
        /// The number of the request.
        id: u64,
        /// The newer documents. If the latest text of one is malformed, the last well-formed text
        /// precedes it.
        documents: Vec<Document>,
        /// Whether further newer documents did not fit into this message.
        more: bool,
        /// The names of documents that are newer at the sender of the request and are requested
        /// from it.
        #[serde(rename = "want")]
        requested: Vec<Arc<str>>,
        /// The cursor of the sender of this answer.
        cursor: u64,
    },
    /// Carries documents that the sender has just accepted or that the receiver requested.
    Push {
        /// The pushed documents.
        documents: Vec<Document>,
    },
    /// Announces documents that are too large to be pushed.
    Announce {
        /// The names and revisions that the sender holds.
        held: Vec<HeldRevisions>,
    },
    /// Requests documents by name.
    #[serde(rename = "Want")]
    DocumentRequest {
        /// The names of the requested documents.
        names: Vec<Arc<str>>,
    },
}

impl Message {
    /// Returns the approximate size in bytes, for callers that combine messages into one call.
    #[must_use]
    pub fn size(&self) -> usize {
        let names = |names: &[Arc<str>]| names.iter().map(|name| name.len() + 5).sum::<usize>();
        let held =
            |held: &[HeldRevisions]| held.iter().map(|held| held.name.len() + 25).sum::<usize>();
        let all = |documents: &[Document]| documents.iter().map(Document::size).sum::<usize>();
        let content = match self {
            Self::Root { .. } => 0,
            Self::Buckets { buckets, .. } => buckets.len() * 9,
            Self::BucketRequest { held: list, .. } | Self::Announce { held: list } => held(list),
            Self::BucketResponse {
                documents,
                requested,
                ..
            } => all(documents) + names(requested),
            Self::Push { documents } => all(documents),
            Self::DocumentRequest { names: list } => names(list),
        };
        content + 64
    }
}

/// The response of the configuration service to a read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReadResponse {
    /// The revision that was read from.
    pub since: u64,
    /// The revision of the service; `documents` contains all changes after `since` up to it.
    pub revision: u64,
    /// The latest revisions of the documents that changed.
    pub documents: Vec<Document>,
}

/// An action that the caller of the state machine must carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message. The transport may lose, delay, duplicate or reorder it.
    Send {
        /// The receiver.
        to: VmName,
        /// The message.
        message: Message,
    },
    /// Read from the configuration service, then call
    /// [`ConfigReplica::read_succeeded`](super::ConfigReplica::read_succeeded) or
    /// [`ConfigReplica::read_failed`](super::ConfigReplica::read_failed).
    Read {
        /// The revision to read from.
        since: u64,
        /// The time for which the service may delay its response until there is a change.
        wait: Duration,
    },
    /// Another revision of this document is in force, or the document was deleted.
    InForce {
        /// The name of the document.
        name: Arc<str>,
        /// The revision in force.
        revision: u64,
    },
    /// A malformed text arrived; the last well-formed one remains in force.
    Rejected {
        /// The name of the document.
        name: Arc<str>,
        /// The malformed revision.
        revision: u64,
    },
    /// The VM holds all documents that its peers held at its boot and may serve.
    Ready,
}

/// Timeouts and limits of the replication. The defaults are derived in
/// `docs/decisions/configuration.md`.
#[derive(Clone, Debug)]
pub struct Options {
    /// The time between two comparisons with a random peer.
    pub compare_interval: Duration,
    /// The time for which the service may delay its response to a read until there is a change. A
    /// broken connection that reports no error can hide a change for this time, so it is well below
    /// the limit of 3 s for a change to be in force.
    pub read_wait: Duration,
    /// The time beyond `read_wait` after which a read is considered failed.
    pub read_grace: Duration,
    /// The minimum time between two reads, which limits the number of reads during a burst of
    /// changes.
    pub read_interval: Duration,
    /// The maximum time between a failed read and the next one.
    pub max_backoff: Duration,
    /// The number of VMs in each data centre that read from the service.
    pub watcher_count: usize,
    /// The time after which a request to a peer without an answer is considered failed.
    pub response_timeout: Duration,
    /// The number of ready peers whose documents a booting VM must hold.
    pub boot_peers: usize,
    /// The maximum number of peers that a booting VM queries at a time.
    pub boot_fanout: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            compare_interval: Duration::from_millis(500),
            read_wait: Duration::from_secs(1),
            read_grace: Duration::from_millis(500),
            read_interval: Duration::from_millis(200),
            max_backoff: Duration::from_millis(500),
            watcher_count: 2,
            response_timeout: Duration::from_millis(500),
            boot_peers: 3,
            boot_fanout: 8,
        }
    }
}
