//! Which VM holds which slots of a cell, so that a dead VM's slots are freed (H1).
//!
//! The cell owner keeps a [`LeaseTable`]; each entry VM keeps a [`LeaseHolder`] and renews all its
//! jobs of a cell in one message a second. See `docs/design.md`, section 6.5.
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

/// Bits of a job's id below the hash of its entry VM.
const VM_SHIFT: u32 = 96;

/// Returns the part of a job's id that names its entry VM.
///
/// Two VMs of 340 share it with a probability of 1 in 75,000; see [`LeaseHolder::set_peers`].
#[must_use]
pub fn vm_hash(vm: &VmName) -> u32 {
    let [a, b, c, d, ..] = hash64(vm.as_str().as_bytes()).to_be_bytes();
    u32::from_be_bytes([a, b, c, d])
}

/// Builds a job's id from its entry VM and 96 random bits; higher bits of `random` are ignored.
#[must_use]
pub fn job_id(vm: &VmName, random: u128) -> JobId {
    let low = random & ((1 << VM_SHIFT) - 1);
    JobId((u128::from(vm_hash(vm)) << VM_SHIFT) | low)
}

/// Returns whether a job's id carries the hash of `vm`.
#[must_use]
pub fn belongs_to(job: JobId, vm: &VmName) -> bool {
    job.0 >> VM_SHIFT == u128::from(vm_hash(vm))
}

/// Times of leases; all VMs need the same ones.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseOptions {
    /// Time after its last renewal at which a VM's leases end.
    pub ttl: Duration,
    /// Time between two renewals. A third of `ttl`, so that two may be lost.
    pub renew_interval: Duration,
    /// Time between two renewals that are not answered.
    pub retry_interval: Duration,
    /// Time for which an owner remembers that it cancelled a job, so that the job's VM is told
    /// even after a pause.
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

/// One slot that a VM holds.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Slot {
    /// The job.
    pub job: JobId,
    /// The engine whose slot it occupies.
    pub upstream: Upstream,
}

/// A renewal of all slots of one cell that a VM holds.
///
/// It names the slots only when the owner may not know them. A full cell of 64 engines has 1,280
/// slots, whose names would take 51 KB a second of the 22 KB that a VM may use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renewal {
    /// The VM's start.
    pub incarnation: Incarnation,
    /// Increases with each message of one start: an older one that arrives late is ignored.
    pub sequence: u64,
    /// The [`slots_digest`] of the slots.
    pub digest: u64,
    /// The slots, at a registration or when the owner asked for them.
    pub slots: Option<Vec<Slot>>,
}

/// Returns a hash of a set of slots that does not depend on their order.
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
    /// The start of the VM that renewed.
    pub incarnation: Incarnation,
    /// The answered message.
    pub sequence: u64,
    /// True if the owner has to be told the slots: its table differs.
    #[serde(rename = "unknown")]
    pub slots_unknown: bool,
    /// Slots that this owner cancelled on their engines, because their leases had ended.
    pub ended: Vec<Slot>,
}

/// Free everything that a job holds on an engine.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Cancel {
    /// The job.
    pub job: JobId,
    /// The engine.
    pub upstream: Upstream,
}
