//! Fencing of orders to engines: which owner's order counts.
//!
//! Engines that check fencing numbers resolve races themselves. For engines that ignore the number
//! the owner first collects an [`Authority`] from a large majority of VMs, so that two owners never
//! send at the same time. `docs/decisions/fencing.md` has the rules and their limits.
//!
//! # Example
//!
//! ```
//! use coord::fence::FencingToken;
//! use coord::name::VmName;
//!
//! let (old, new) = (VmName::from("vm-1"), VmName::from("vm-2"));
//! let first = FencingToken::successor(FencingToken::default(), &old);
//!
//! let second = FencingToken::successor(first, &new);
//!
//! assert!(second > first);
//! assert_eq!(second.counter(), 2);
//! ```

mod authority;
mod orders;

use std::time::Duration;

use derive_more::{Display, From};
use serde::{Deserialize, Serialize};

pub use authority::{Authority, VmInstance, Vote, Voter};
pub use orders::{Order, Orders};

use crate::hash::hash64;
use crate::name::VmName;

/// Bits below the counter: two VMs that count alike still draw different numbers.
const HASH_BITS: u32 = 16;

/// A fencing number: `(counter << 16) | hash(VM)`.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    From,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
pub struct FencingToken(pub u64);

impl FencingToken {
    /// Returns the number of `vm` that is higher than `highest`, the highest number known.
    #[must_use]
    pub fn successor(highest: Self, vm: &VmName) -> Self {
        let low = hash64(vm.as_str().as_bytes()) & ((1 << HASH_BITS) - 1);
        Self(((highest.counter() + 1) << HASH_BITS) | low)
    }

    /// Returns the lowest number with a counter.
    #[must_use]
    pub const fn lowest_with_counter(counter: u64) -> Self {
        Self(counter << HASH_BITS)
    }

    /// Returns the counter.
    #[must_use]
    pub const fn counter(self) -> u64 {
        self.0 >> HASH_BITS
    }
}

/// Times of authorities and orders; all VMs need the same ones.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FenceOptions {
    /// Time from the start of a round of votes to the end of the authority that it gives.
    pub ttl: Duration,
    /// Time between two rounds. A third of `ttl`, so that two may fail.
    pub renew_interval: Duration,
    /// Time for which a voter keeps its vote, and after its start gives none: `ttl` plus twice
    /// the clock-rate error of 1%.
    pub vote_retention: Duration,
    /// Longest time from sending an order to its arrival; the sender closes the connection then.
    pub delivery_timeout: Duration,
    /// Time between two statements of the whole desired state.
    pub resend_interval: Duration,
}

impl Default for FenceOptions {
    fn default() -> Self {
        Self {
            ttl: Duration::from_secs(3),
            renew_interval: Duration::from_secs(1),
            vote_retention: Duration::from_millis(3_070),
            delivery_timeout: Duration::from_secs(1),
            resend_interval: Duration::from_secs(10),
        }
    }
}
