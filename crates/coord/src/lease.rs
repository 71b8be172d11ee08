//! Leases on engine slots, by which the owner of a cell frees the slots of a dead VM
//! (requirement H1 of docs/design.md).
//!
//! The cell's owner keeps a [`LeaseTable`]. Each entry VM keeps a [`LeaseHolder`], which renews the
//! leases of all its jobs of a cell in one message per second. See `docs/design.md`, section 6.5.
//!
//! # Example
//!
//! ```
//! use std::time::Duration;
//!
//! use coord::lease::{Cancel, LeaseOptions, LeaseTable, job_id};
//! use coord::name::{Incarnation, Upstream, VmName};
//! use coord::time::Time;
//!
//! let vm = VmName::from("vm-1");
//! let (job, engine) = (job_id(&vm, 17), Upstream::from("decode-3"));
//! let mut leases = LeaseTable::new(Time::ZERO, LeaseOptions::default());
//! leases.grant(Time::ZERO, &vm, Incarnation(1), job, engine.clone());
//!
//! let expired = leases.tick(Time::ZERO + Duration::from_secs(4));
//!
//! assert_eq!(expired, [Cancel { job, upstream: engine }]);
//! ```

mod holder;
mod table;

use std::time::Duration;

use serde::{Deserialize, Serialize};

pub use holder::{HolderAction, LeaseHolder};
pub use table::LeaseTable;

use crate::hash::hash64;
use crate::name::{Incarnation, Upstream, VmName};
use crate::sched::JobId;

/// Position of the entry VM's hash in a job id, in bits.
const VM_HASH_SHIFT: u32 = 96;

/// Returns the hash of a VM's name that identifies it as entry VM in a job id.
///
/// The probability that any two of 340 VMs have the same hash is 1 in 75,000.
/// [`LeaseHolder::set_peers`] detects this case.
#[must_use]
pub fn vm_hash(vm: &VmName) -> u32 {
    let [a, b, c, d, ..] = hash64(vm.as_str().as_bytes()).to_be_bytes();
    u32::from_be_bytes([a, b, c, d])
}

/// Builds a job id from the entry VM and 96 random bits. Higher bits of `random` are ignored.
#[must_use]
pub fn job_id(vm: &VmName, random: u128) -> JobId {
    let low = random & ((1 << VM_HASH_SHIFT) - 1);
    JobId((u128::from(vm_hash(vm)) << VM_HASH_SHIFT) | low)
}

/// Returns whether a job id contains the hash of `vm`.
#[must_use]
pub fn belongs_to(job: JobId, vm: &VmName) -> bool {
    job.0 >> VM_HASH_SHIFT == u128::from(vm_hash(vm))
}

/// Durations of leases, which must be equal on all VMs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseOptions {
    /// Time after its last renewal at which a VM's leases expire.
    pub ttl: Duration,
    /// Time between two renewals. It is a third of `ttl`, so that leases survive the loss of two
    /// renewals.
    pub renew_interval: Duration,
    /// Time after which an unanswered renewal is repeated.
    pub retry_interval: Duration,
    /// Time for which an owner remembers the leases that it ended, so that the VM of a cancelled
    /// job learns of it even after a pause.
    pub ended_retention: Duration,
}

impl Default for LeaseOptions {
    fn default() -> Self {
        Self {
            ttl: Duration::from_secs(3),
            renew_interval: Duration::from_secs(1),
            retry_interval: Duration::from_millis(250),
            ended_retention: Duration::from_secs(30),
        }
    }
}

/// An engine slot that a VM holds for a job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Slot {
    /// The job that occupies the slot.
    pub job: JobId,
    /// The engine whose slot the job occupies.
    pub upstream: Upstream,
}

/// A renewal of all leases that a VM holds in one cell.
///
/// The slots are listed only if the owner may not know them. Listing the 1,280 slots of a full cell
/// of 64 engines each second would take 51 KB/s, and a VM may use 22 KB/s for coordination.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renewal {
    /// The incarnation of the VM that renews.
    pub incarnation: Incarnation,
    /// Increases with each message of one incarnation, so that a message that is overtaken by a
    /// later one is ignored.
    pub sequence: u64,
    /// The [`slots_digest`] of the slots.
    pub digest: u64,
    /// The slots, in a registration or if the owner asked for them.
    pub slots: Option<Vec<Slot>>,
}

/// Returns a hash of a set of slots that is independent of their order.
#[must_use]
pub fn slots_digest<'a>(slots: impl IntoIterator<Item = &'a Slot>) -> u64 {
    let one = |slot: &Slot| {
        let mut bytes = slot.job.0.to_be_bytes().to_vec();
        bytes.extend_from_slice(slot.upstream.as_str().as_bytes());
        hash64(&bytes)
    };
    slots.into_iter().map(one).fold(0, |sum, hash| sum ^ hash)
}

/// The owner's answer to [`Renewal`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewalReply {
    /// The incarnation in the renewal.
    pub incarnation: Incarnation,
    /// The sequence number of the renewal.
    pub sequence: u64,
    /// Whether the next renewal must list the slots, because the owner's table has other ones.
    #[serde(rename = "unknown")]
    pub slots_unknown: bool,
    /// Listed slots whose leases this owner has ended and whose jobs it has cancelled on the
    /// engines.
    pub ended: Vec<Slot>,
}

/// An order to free everything that a job holds on an engine.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Cancel {
    /// The job to cancel.
    pub job: JobId,
    /// The engine that runs the job or holds its memory.
    pub upstream: Upstream,
}
