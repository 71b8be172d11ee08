//! Computed ownership: every VM computes which VM owns a key, without an election.
//!
//! ```
//! use coord::owner::Owners;
//!
//! let owners: Owners = [("vm-1", "east"), ("vm-2", "east"), ("vm-3", "west")]
//!     .into_iter()
//!     .map(|(vm, data_centre)| (vm.into(), data_centre.into()))
//!     .collect();
//!
//! let pair = owners.owners(7, 2);
//! assert_eq!(pair[0], owners.owner(7).unwrap());
//! assert_ne!(owners.data_centre(pair[0]), owners.data_centre(pair[1]));
//! ```
//!
//! Ownership uses rendezvous hashing: all VMs with the same set of live members compute the same
//! owner, and the loss of a member moves only the keys that it owned. VMs with different views of
//! the membership may compute different owners for a short time, so users of this module must
//! tolerate two owners of a key (`docs/design.md`, section 5).

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
    /// Returns the number of members that can own keys.
    #[must_use]
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns `true` if there is no member, so that no key has an owner.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Returns the data centre of `vm`, or `None` if it is not a member.
    #[must_use]
    pub fn data_centre(&self, vm: &VmName) -> Option<&DataCentre> {
        self.members.get(vm)
    }

    /// Returns the owner of `key`, or `None` if there are no members.
    #[must_use]
    pub fn owner(&self, key: u64) -> Option<&VmName> {
        self.members.keys().max_by_key(|vm| score(key, vm))
    }

    /// Returns the first `n` owners of `key`, or all members if there are fewer.
    ///
    /// The first one is the [`owner`](Self::owner). Owners are spread over data centres, so that
    /// the loss of a data centre removes as few of them as possible: the numbers of owners in two
    /// data centres differ by at most one, unless the one with fewer has no unused members.
    #[must_use]
    pub fn owners(&self, key: u64, n: usize) -> Vec<&VmName> {
        let mut scored: Vec<_> = self.members.iter().collect();
        scored.sort_by_cached_key(|(vm, _)| Reverse(score(key, vm)));
        let mut owner_counts: BTreeMap<&DataCentre, usize> = BTreeMap::new();
        let mut ranked: Vec<_> = scored
            .into_iter()
            .map(|(vm, data_centre)| {
                let rank = owner_counts.entry(data_centre).or_default();
                *rank += 1;
                (*rank, vm)
            })
            .collect();
        // The sort is stable, so members with the same rank stay ordered by score.
        ranked.sort_by_key(|(rank, _)| *rank);
        ranked.into_iter().take(n).map(|(_, vm)| vm).collect()
    }
}

/// Returns the rendezvous score of `vm` for `key`. The name breaks ties, so that the order does not
/// depend on the order of iteration.
fn score(key: u64, vm: &VmName) -> (u64, &VmName) {
    (rendezvous_score(key, vm.as_str()), vm)
}
