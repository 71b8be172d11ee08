//! Settings, decisions and records of the protection against poison requests.

use std::time::Duration;

use derive_more::{Constructor, Display};
use serde::{Deserialize, Serialize};

use crate::name::{Upstream, VmName};

/// Settings of the protection against poison requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoisonOptions {
    /// Number of crashes after which a request is refused.
    pub max_crashes: usize,
    /// Number of crashes that may be excused because an upstream that did not run the request crashed
    /// at the same time, which points to a common cause. It is bounded, because several requests may crash upstreams at once.
    pub max_excused: usize,
    /// Time between two crashes within which they are taken for simultaneous.
    pub coincidence: Duration,
    /// Time after its last crash for which such a request is refused. Each further crash multiplies
    /// it by 4.
    pub hold: Duration,
    /// Time after the last crash for which the crashes of a fingerprint count.
    pub retention: Duration,
    /// Time from the beginning of a table's memory in which a crash may follow others that were forgotten, so that one is
    /// enough for a refusal. Zero if nothing is ever forgotten.
    pub unknown_past: Duration,
    /// Maximum number of fingerprints that one VM stores. Beyond it the oldest of those with the
    /// fewest crashes are dropped, so that callers that crash many upstreams cannot exhaust the
    /// memory.
    pub max_entries: usize,
    /// Maximum number of records in one message to a peer: 32 records of one crash each take less
    /// than 4 KB.
    pub max_batch: usize,
}

impl Default for PoisonOptions {
    fn default() -> Self {
        Self {
            max_crashes: 2,
            max_excused: 0,
            coincidence: Duration::ZERO,
            hold: Duration::from_mins(10),
            retention: Duration::from_mins(10),
            unknown_past: Duration::ZERO,
            max_entries: 4_096,
            max_batch: 32,
        }
    }
}

/// The decision on how a request may run in a cell.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Verdict {
    /// Runs like any other request.
    #[display("run")]
    Run,
    /// Runs alone on an engine until [`Suspects::completed`](super::Suspects::completed) or [`Suspects::aborted`](super::Suspects::aborted) is called.
    #[display("run alone")]
    Isolate,
    /// Has to wait, because another suspect of the cell is running.
    #[display("wait")]
    Wait,
    /// Is refused, because it has reached the maximum number of crashes.
    #[display("refuse")]
    Refuse {
        /// Time until it may run again.
        retry_after: Duration,
    },
}

/// One start of an upstream. An upstream that crashed and started again under its name can crash
/// once more.
#[derive(
    Clone, Constructor, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
#[display("{upstream}")]
pub struct UpstreamStart {
    /// Name of the upstream.
    pub upstream: Upstream,
    /// Number that differs for each start of the upstream, such as its time; 0 if the upstream has
    /// a new name after each start.
    pub start: u64,
}

/// A crash of an upstream that was running a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sighting {
    /// The upstream that crashed.
    pub crashed: UpstreamStart,
    /// The VM that had sent the request there.
    pub observer: VmName,
    /// Time for which the upstream had the request when it crashed.
    pub ran: Duration,
    /// Time since the crash. It is a duration because the clocks of two VMs cannot be compared.
    pub age: Duration,
}

/// What is known of one fingerprint, as sent from one VM to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecord {
    /// The fingerprint, as computed by [`fingerprint`](super::fingerprint).
    pub fingerprint: u128,
    /// Crashes of upstreams that ran the request.
    pub sightings: Vec<Sighting>,
    /// Time since the request last ran without a crash, if it did after an earlier crash.
    pub cleared: Option<Duration>,
}
