//! Computed ownership: which VM has a role, without an election.
//!
//! ```
//! use coord::owner::Owners;
//!
//! let owners: Owners = [("vm-1", "east"), ("vm-2", "east"), ("vm-3", "west")]
//!     .into_iter()
//!     .map(|(vm, zone)| (vm.into(), zone.into()))
//!     .collect();
//!
//! let pair = owners.owners(7, 2);
//! assert_eq!(pair[0], owners.owner(7).unwrap());
//! assert_ne!(owners.data_centre(pair[0]), owners.data_centre(pair[1]));
//! ```
//!
//! Ownership is rendezvous hashing: every VM with the same live members computes the same owner,
//! and a member that goes moves only the keys that it owned. VMs whose views differ may compute
//! different owners for a short time; the parts that use ownership tolerate two owners
//! (`docs/design.md`, section 5).

use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::hash::rendezvous_score;
use crate::name::{DataCentre, VmName};

/// The members that can own keys, with their data centres.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Owners {
    members: BTreeMap<VmName, DataCentre>,
}

impl FromIterator<(VmName, DataCentre)> for Owners {
    fn from_iter<I: IntoIterator<Item = (VmName, DataCentre)>>(members: I) -> Self {
        Self {
            members: members.into_iter().collect(),
        }
    }
}

impl Owners {
    /// Returns the number of members.
    #[must_use]
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns `true` if there is no member, so that no key has an owner.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Returns the data centre of a member.
    #[must_use]
    pub fn data_centre(&self, vm: &VmName) -> Option<&DataCentre> {
        self.members.get(vm)
    }

    /// Returns the owner of `key`, or `None` without members.
    #[must_use]
    pub fn owner(&self, key: u64) -> Option<&VmName> {
        self.members.keys().max_by_key(|vm| score(key, vm))
    }

    /// Returns the first `n` owners of `key`, or all members if there are fewer.
    ///
    /// The first one is [`owner`](Self::owner). No data centre has two owners more than another
    /// that still has members left, so that the loss of a data centre takes the fewest owners.
    #[must_use]
    pub fn owners(&self, key: u64, n: usize) -> Vec<&VmName> {
        let mut scored: Vec<_> = self.members.iter().collect();
        scored.sort_by_cached_key(|(vm, _)| Reverse(score(key, vm)));
        let mut taken: BTreeMap<&DataCentre, usize> = BTreeMap::new();
        let mut ranked: Vec<_> = scored
            .into_iter()
            .map(|(vm, zone)| {
                let rank = taken.entry(zone).or_default();
                *rank += 1;
                (*rank, vm)
            })
            .collect();
        // The sort is stable: members of one rank stay in the order of their scores.
        ranked.sort_by_key(|(rank, _)| *rank);
        ranked.into_iter().take(n).map(|(_, vm)| vm).collect()
    }
}

/// The name breaks ties, so that the order does not depend on the map.
fn score(key: u64, vm: &VmName) -> (u64, &VmName) {
    (rendezvous_score(key, vm.as_str()), vm)
}
