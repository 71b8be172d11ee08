//! Keys, messages and outcomes of claims.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::claim::vm_list::VmList;
use crate::hash::hash128;
use crate::name::{Incarnation, Organisation, VmName};

/// The 128-bit hash of an organisation and its idempotency key.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0:016x}{_1:016x}")]
pub struct KeyHash(pub u64, pub u64);

/// An idempotency key as it is used in claims.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Key {
    /// The hash under which the records are stored.
    pub hash: KeyHash,
    /// The time of issue in milliseconds of Unix time, if the key is a version-7 UUID.
    #[serde(rename = "issued")]
    pub issued_ms: Option<u64>,
}

impl Key {
    /// Builds the key from the caller's `text`. The organisation is part of the hash, so that equal
    /// texts of two organisations are different keys.
    #[must_use]
    pub fn new(organisation: &Organisation, text: &str) -> Self {
        let whole = format!("{organisation}\0{text}");
        let bytes = hash128(whole.as_bytes()).to_be_bytes();
        let half = |from: usize| std::array::from_fn(|i| bytes[from + i]);
        Self {
            hash: KeyHash(u64::from_be_bytes(half(0)), u64::from_be_bytes(half(8))),
            issued_ms: issue_time_ms(text),
        }
    }
}

fn issue_time_ms(text: &str) -> Option<u64> {
    let uuid = Uuid::parse_str(text).ok()?;
    if uuid.get_version_num() != 7 {
        return None;
    }
    let (seconds, nanos) = uuid.get_timestamp()?.to_unix();
    Some(seconds * 1_000 + u64::from(nanos) / 1_000_000)
}

/// The id of one attempt to run a request. It is drawn at random from 64 bits, so that attempts of
/// different VMs and starts do not share an id.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0:016x}")]
pub struct AttemptId(pub u64);

/// The attempt that claimed a key, and its entry VM.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Holder {
    /// The entry VM of the attempt.
    pub vm: VmName,
    /// The attempt that claimed the key.
    pub attempt: AttemptId,
}

/// Why a VM does not grant a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Denial {
    /// Another attempt has a record for the key, which may have reached its quorum.
    Held(Holder),
    /// The VM does not know yet whether the key was granted before the VM was restarted or before
    /// its list changed.
    NotReady,
    /// The VM has reached its maximum number of records.
    Full,
}

/// A grant record that one VM copies from another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordCopy {
    /// The hash of the claimed key.
    pub key: KeyHash,
    /// The attempt that claimed the key.
    pub holder: Holder,
    /// Time since the grant. A duration is sent because the clocks of two VMs have no common
    /// origin.
    pub age: Duration,
    /// Whether several attempts have had grants for the key, so that a release of one of them must
    /// not free it.
    pub contested: bool,
}

/// One page of records, which answers a [`Message::FetchPage`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// The revision of the sender's current list.
    pub revision: u64,
    /// The requester's start. A page for an earlier start is ignored, as the requester has since
    /// lost the records that it copied.
    #[serde(rename = "asker")]
    pub requester: Incarnation,
    /// The base of the request, which shows whether the page answers an older request.
    pub base: Option<u64>,
    /// The start key of the request, which also shows whether the page answers an older request.
    pub after: Option<KeyHash>,
    /// The sender's start.
    pub incarnation: Incarnation,
    /// Whether the sender has the records of all unexpired grants that it made before its start.
    #[serde(rename = "seasoned")]
    pub complete: bool,
    /// Whether the sender can decide every key under `revision`.
    pub ready: bool,
    /// The sender's [`VmLists::floor`](crate::claim::VmLists::floor) revision.
    pub floor: u64,
    /// Revisions that the sender knows to have been in use.
    pub history: Vec<u64>,
    /// The records, in the order of their keys.
    pub records: Vec<RecordCopy>,
    /// The key after which the next page starts, or `None` if this is the last page.
    pub next: Option<KeyHash>,
}

/// A message between VMs about claims.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Requests a grant.
    Request {
        /// The revision of the claimant's list.
        revision: u64,
        /// The claimed key.
        key: Key,
        /// The attempt that claims the key.
        attempt: AttemptId,
    },
    /// The sender has written the attempt's record.
    Granted {
        /// The revision of the list under which the grant counts.
        revision: u64,
        /// The claimed key.
        key: Key,
        /// The attempt that claims the key.
        attempt: AttemptId,
        /// The granter's start. A grant of an earlier start is void.
        incarnation: Incarnation,
    },
    /// The sender did not grant.
    Denied {
        /// The revision of the sender's current list.
        revision: u64,
        /// The attempt that claims the key.
        attempt: AttemptId,
        /// The sender's start.
        incarnation: Incarnation,
        /// Why the sender denied the grant.
        #[serde(rename = "why")]
        reason: Denial,
    },
    /// The sender's current list, which is newer than the one that the request named.
    StaleList(VmList),
    /// Requests the list of this revision, which the sender lacks.
    NeedList(u64),
    /// The list that was requested with `NeedList`.
    List(VmList),
    /// Releases the grant of an attempt that has not run and is not going to run.
    Release {
        /// The hash of the claimed key.
        key: KeyHash,
        /// The attempt that claims the key.
        attempt: AttemptId,
    },
    /// Confirms the release of an attempt.
    Released(AttemptId),
    /// Requests a page of records. A receiver with an older list requests the list `revision`
    /// instead of answering.
    #[serde(rename = "Ask")]
    FetchPage {
        /// The revision of the requester's list.
        revision: u64,
        /// The requester's start.
        #[serde(rename = "asker")]
        requester: Incarnation,
        /// The revision of a list under which the requester was ready. Records of keys whose claim
        /// set contained it under this list are not sent.
        base: Option<u64>,
        /// The last key that the requester has received, or `None` for the first page.
        after: Option<KeyHash>,
    },
    /// Answers `FetchPage`.
    Page(Page),
}

/// How a claim ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The quorum was reached. The attempt may run if
    /// [`Claims::dispatch`](crate::claim::Claims::dispatch) still allows it.
    Dispatch,
    /// Another attempt has the key. The caller gets the answer of that attempt.
    Attach {
        /// The attempt that has the key.
        holder: Holder,
    },
    /// The grants prove that no attempt with this key was dispatched before this claim started.
    NotRun {
        /// Time after which the caller may send the request again.
        retry_after: Duration,
    },
    /// This attempt did not run, but another one with the same key may have.
    Unknown {
        /// Time after which the caller may send the request again with the same key.
        retry_after: Duration,
    },
}

/// An action that the VM has to carry out for a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message to another VM.
    Send {
        /// The VM that receives the message.
        to: VmName,
        /// The message to send.
        message: Message,
    },
    /// Continue the request according to the outcome of its claim.
    Decided {
        /// The attempt that was started.
        attempt: AttemptId,
        /// How the claim ended.
        outcome: Outcome,
    },
}
