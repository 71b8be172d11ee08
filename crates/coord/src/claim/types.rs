//! Keys, messages and outcomes of claims.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::claim::vm_list::VmList;
use crate::hash::hash128;
use crate::name::{Incarnation, Organisation, VmName};

/// The hash of an organisation and its idempotency key.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0:016x}{_1:016x}")]
pub struct KeyHash(pub u64, pub u64);

/// An idempotency key as claims see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Key {
    /// What the records are kept under.
    pub hash: KeyHash,
    /// When the key was issued, in milliseconds of Unix time, if it is a version-7 UUID.
    #[serde(rename = "issued")]
    pub issued_ms: Option<u64>,
}

impl Key {
    /// Builds the key of `text` for one organisation; two organisations never share a key.
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

/// One attempt to run a request; drawn at random, so that no two attempts share a number.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0:016x}")]
pub struct AttemptId(pub u64);

/// Who claimed a key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Holder {
    /// The entry VM of the attempt.
    pub vm: VmName,
    /// The attempt.
    pub attempt: AttemptId,
}

/// Why a VM does not grant a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Denial {
    /// Another attempt has the key, or may have had it.
    Held(Holder),
    /// The VM does not know yet whether it granted the key before it was restarted or before
    /// its list changed.
    NotReady,
    /// The VM's memory for records is full.
    Full,
}

/// A record that one VM copies from another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordCopy {
    /// The key.
    pub key: KeyHash,
    /// Who claimed it.
    pub holder: Holder,
    /// Time since the grant; durations may cross between clocks, instants may not.
    pub age: Duration,
    /// True if several attempts have had grants, so that a release of one frees nothing.
    pub contested: bool,
}

/// One bounded answer to [`Message::FetchPage`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// The list in force at the sender.
    pub revision: u64,
    /// The requester's start: an answer to an earlier start shows an older memory.
    #[serde(rename = "asker")]
    pub requester: Incarnation,
    /// The asked base, so that an answer to an older question is recognised.
    pub base: Option<u64>,
    /// The asked start, for the same reason.
    pub after: Option<KeyHash>,
    /// The sender's start.
    pub incarnation: Incarnation,
    /// True if the sender's memory covers everything that it granted before its start.
    #[serde(rename = "seasoned")]
    pub complete: bool,
    /// True if the sender grants every key under `revision`.
    pub ready: bool,
    /// The sender's [`VmLists::floor`](crate::claim::VmLists::floor).
    pub floor: u64,
    /// Revisions that the sender knows to have been in force.
    pub history: Vec<u64>,
    /// The records, in the order of their keys.
    pub records: Vec<RecordCopy>,
    /// Where the next page starts; `None` if this is the last.
    pub next: Option<KeyHash>,
}

/// What VMs tell each other about claims.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for a grant.
    Request {
        /// The claimant's list.
        revision: u64,
        /// The key.
        key: Key,
        /// The attempt.
        attempt: AttemptId,
    },
    /// The sender has written the attempt's record.
    Granted {
        /// The list under which the grant counts.
        revision: u64,
        /// The key.
        key: Key,
        /// The attempt.
        attempt: AttemptId,
        /// The granter's start: a grant of an earlier start is void.
        incarnation: Incarnation,
    },
    /// The sender did not grant.
    Denied {
        /// The list in force at the sender.
        revision: u64,
        /// The attempt.
        attempt: AttemptId,
        /// The sender's start.
        incarnation: Incarnation,
        /// Why.
        #[serde(rename = "why")]
        reason: Denial,
    },
    /// The sender knows a newer list than the request named.
    StaleList(VmList),
    /// The sender lacks the list of this revision.
    NeedList(u64),
    /// The wanted list.
    List(VmList),
    /// The attempt was never dispatched and never will be.
    Release {
        /// The key.
        key: KeyHash,
        /// The attempt.
        attempt: AttemptId,
    },
    /// The release has been carried out.
    Released(AttemptId),
    /// Asks for records; the receiver moves to `revision` first.
    #[serde(rename = "Ask")]
    FetchPage {
        /// The requester's list.
        revision: u64,
        /// The requester's start.
        #[serde(rename = "asker")]
        requester: Incarnation,
        /// The list whose sets' records the requester need not copy.
        base: Option<u64>,
        /// The last key that the requester has.
        after: Option<KeyHash>,
    },
    /// The answer to `Ask`.
    Page(Page),
}

/// How a claim ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The quorum was reached: dispatch if
    /// [`Claims::dispatch`](crate::claim::Claims::dispatch) still allows it.
    Dispatch,
    /// Another attempt has the key: attach to its answer.
    Attach {
        /// The other attempt.
        holder: Holder,
    },
    /// It is proven that no attempt with this key was dispatched before this claim started.
    NotRun {
        /// After what time to send again.
        retry_after: Duration,
    },
    /// This attempt did not run, but an earlier one with the same key may have.
    Unknown {
        /// After what time to send again, with the same key.
        retry_after: Duration,
    },
}

/// What the VM has to do for a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message to another VM.
    Send {
        /// The receiver.
        to: VmName,
        /// The message.
        message: Message,
    },
    /// Continue the request.
    Decided {
        /// The attempt that was started.
        attempt: AttemptId,
        /// How it ended.
        outcome: Outcome,
    },
}
