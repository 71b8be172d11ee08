//! Messages, actions and options of the distribution of documents.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::name::VmName;

/// The number of buckets of a digest. With 42,000 documents, one bucket lists about 660 names.
pub const BUCKETS: usize = 64;

/// The most bytes of texts in one [`Message::BucketResponse`], unless a single document is larger.
pub const MAX_BATCH_BYTES: usize = 256 * 1_024;

/// The largest text in bytes that is pushed at once; larger ones are announced, so that a VM
/// receives them once.
pub const MAX_PUSH_BYTES: usize = 2_048;

/// The most documents that are pushed after one call; more are left to comparison.
pub const MAX_PUSH_DOCUMENTS: usize = 64;

/// One revision of one document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// The name.
    pub name: Arc<str>,
    /// The revision; above 0, and higher for each later text of this name.
    pub revision: u64,
    /// The text, or `None` if the document was deleted.
    pub text: Option<Arc<str>>,
    /// For a deleted document, the seconds since it was deleted, as far as the sender knows.
    #[serde(rename = "age")]
    pub age_seconds: u32,
}

impl Document {
    /// Returns the bytes of a document in a message, rounded up.
    #[must_use]
    pub fn size(&self) -> usize {
        self.name.len() + self.text.as_ref().map_or(0, |text| text.len()) + 24
    }
}

/// The revisions of one document that a VM holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldRevisions {
    /// The name.
    pub name: Arc<str>,
    /// The highest revision known.
    pub latest: u64,
    /// The revision in force: lower than `latest` if later texts are malformed, 0 if none was
    /// well-formed.
    #[serde(rename = "force")]
    pub in_force: u64,
}

impl HeldRevisions {
    /// Returns `true` if the holder of `other` can use a text of this holder: a later one, or a
    /// good one below a malformed latest one.
    ///
    /// A text that the other holder has rejected is not offered again, although this holder
    /// accepts it: VMs of two versions may disagree.
    #[must_use]
    pub fn is_newer_than(&self, other: &Self) -> bool {
        let fallback = self.in_force > other.in_force && self.in_force < other.latest;
        self.latest > other.latest || fallback
    }
}

/// A message between VMs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Offers to compare all documents.
    Root {
        /// The digest of all documents.
        root: u64,
        /// The sender holds the documents of all revisions up to this one.
        cursor: u64,
        /// Whether the sender is past its boot.
        ready: bool,
        /// Whether this answers another `Root`.
        reply: bool,
    },
    /// Answers [`Root`](Self::Root) when the digests differ.
    Buckets {
        /// The digest of each bucket.
        buckets: Vec<u64>,
        /// As in `Root`.
        cursor: u64,
        /// As in `Root`.
        ready: bool,
    },
    /// Asks for what the receiver has newer in one bucket.
    #[serde(rename = "Have")]
    BucketRequest {
        /// Matches the answer to the question.
        id: u64,
        /// The bucket.
        bucket: u8,
        /// All documents that the sender holds in the bucket.
        held: Vec<HeldRevisions>,
    },
    /// Answers [`BucketRequest`](Self::BucketRequest).
    #[serde(rename = "Docs")]
    BucketResponse {
        /// The number of the question.
        id: u64,
        /// Newer documents; of a malformed one, the last good text comes first.
        documents: Vec<Document>,
        /// Whether there are more than fit into one message.
        more: bool,
        /// Documents of which the sender of the question has a newer revision.
        #[serde(rename = "want")]
        requested: Vec<Arc<str>>,
        /// The answerer's cursor when it answered.
        cursor: u64,
    },
    /// Sends documents that were not asked for, or that were wanted.
    Push {
        /// The documents.
        documents: Vec<Document>,
    },
    /// Says that the sender has these revisions.
    Announce {
        /// Names and revisions.
        held: Vec<HeldRevisions>,
    },
    /// Asks for documents by name.
    #[serde(rename = "Want")]
    DocumentRequest {
        /// The names.
        names: Vec<Arc<str>>,
    },
}

impl Message {
    /// Returns the approximate size in bytes, for callers that put messages together.
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
                requested: want,
                ..
            } => all(documents) + names(want),
            Self::Push { documents } => all(documents),
            Self::DocumentRequest { names: list } => names(list),
        };
        content + 64
    }
}

/// What the configuration service answered to a read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReadResponse {
    /// The revision that was read from.
    pub since: u64,
    /// The service's revision: `documents` has all changes after `since` up to it.
    pub revision: u64,
    /// The changed documents.
    pub documents: Vec<Document>,
}

/// What the caller of the state machine must do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message. It may be lost, late, doubled or reordered.
    Send {
        /// The receiver.
        to: VmName,
        /// The message.
        message: Message,
    },
    /// Read from the configuration service, then call [`ConfigReplica::read_succeeded`](super::ConfigReplica::read_succeeded) or
    /// [`ConfigReplica::read_failed`](super::ConfigReplica::read_failed).
    Read {
        /// The revision to read from.
        since: u64,
        /// The time that the service may wait for a change.
        wait: Duration,
    },
    /// Another text of this document is in force.
    InForce {
        /// The document.
        name: Arc<str>,
        /// Its revision.
        revision: u64,
    },
    /// A malformed text arrived; the last good one stays in force.
    Rejected {
        /// The document.
        name: Arc<str>,
        /// The malformed revision.
        revision: u64,
    },
    /// The VM holds all that its peers held when it booted and may serve.
    Ready,
}

/// Times and bounds. The defaults are derived in `docs/decisions/configuration.md`.
#[derive(Clone, Debug)]
pub struct Options {
    /// The time between two comparisons with a random peer.
    pub compare_interval: Duration,
    /// The time that a read may wait at the service. It bounds how long a silent connection hides
    /// a change, so it is well under 3 s.
    pub read_wait: Duration,
    /// The time beyond `wait` after which a read counts as failed.
    pub read_grace: Duration,
    /// The shortest time between two reads; bounds the reads during a burst of changes.
    pub read_interval: Duration,
    /// The longest time between a failed read and the next one.
    pub max_backoff: Duration,
    /// The number of VMs in each data centre that read from the service.
    pub watcher_count: usize,
    /// The time after which a peer that did not answer is asked again.
    pub response_timeout: Duration,
    /// The number of ready peers that a booting VM compares with.
    pub boot_peers: usize,
    /// The number of peers that a booting VM asks at a time.
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
