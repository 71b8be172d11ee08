//! Fencing of orders to engines, so that an engine does not obey an outdated owner.
//!
//! The owner of a cell, which consists of all upstreams of one service, sends orders to the engines
//! of the cell. While VMs disagree on the owner, several VMs may send orders. Engines that check
//! fencing tokens refuse the outdated ones. For engines that ignore the token, the owner first
//! acquires an [`Authority`] by the votes of a large majority of VMs, so that two owners never send
//! at the same time. `docs/decisions/fencing.md` has the rules and their limits.
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

/// The number of bits below the counter. They contain a hash of the name of the VM, so that two VMs
/// with the same counter are unlikely to draw the same token.
const HASH_BITS: u32 = 16;

/// A fencing token: `(counter << 16) | hash(VM)`. The higher token takes precedence.
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
    /// Returns the next token of `vm` above `highest`, the highest known token.
    #[must_use]
    pub fn successor(highest: Self, vm: &VmName) -> Self {
        let low = hash64(vm.as_str().as_bytes()) & ((1 << HASH_BITS) - 1);
        Self(((highest.counter() + 1) << HASH_BITS) | low)
    }

    /// Returns the lowest token with this counter.
    #[must_use]
    pub const fn lowest_with_counter(counter: u64) -> Self {
        Self(counter << HASH_BITS)
    }

    /// Returns the counter, which is the token without the hash of the VM.
    #[must_use]
    pub const fn counter(self) -> u64 {
        self.0 >> HASH_BITS
    }
}

/// Durations for authorities and orders; they must be the same on all VMs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FenceOptions {
    /// The time from the start of a round of votes to the expiry of the authority that it grants.
    pub ttl: Duration,
    /// The time between two rounds. It is a third of `ttl`, so that two consecutive rounds may
    /// fail.
    pub renew_interval: Duration,
    /// The time for which a granted vote binds a voter, and for which a restarted voter grants
    /// none. It exceeds `ttl` by more than twice the maximum clock-rate error of 1%.
    pub vote_retention: Duration,
    /// The maximum time from sending an order to its arrival, after which the sender closes the
    /// connection.
    pub delivery_timeout: Duration,
    /// The time after which the whole desired state is sent again.
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
