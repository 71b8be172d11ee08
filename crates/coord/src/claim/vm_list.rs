//! The published list of VMs, the claim set of a key and its quorum.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::claim::types::KeyHash;
use crate::hash::rendezvous_score;
use crate::name::VmName;

/// Maximum number of VMs in a claim set. A larger set would make claims slower, but no safer.
pub const MAX_SET_SIZE: usize = 9;

/// Maximum number of revisions that a VM remembers to have been in use.
const MAX_HISTORY_REVISIONS: usize = 32;

/// Number of lists above which those older than the floor are dropped. They are kept so that a VM
/// that changes lists late is sent only the records that it lacks.
const MAX_KEPT_LISTS: usize = 4;

/// One revision of the list of VMs that the platform publishes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmList {
    /// The revision, which the platform only increases.
    pub revision: u64,
    /// The names of the VMs, sorted and without duplicates.
    pub vms: Arc<[VmName]>,
}

impl VmList {
    /// Builds a list from names in any order.
    #[must_use]
    pub fn new(revision: u64, vms: impl IntoIterator<Item = VmName>) -> Self {
        let sorted: BTreeSet<VmName> = vms.into_iter().collect();
        Self {
            revision,
            vms: sorted.into_iter().collect(),
        }
    }

    /// Returns whether `vm` is on the list.
    #[must_use]
    pub fn contains(&self, vm: &VmName) -> bool {
        self.vms.binary_search(vm).is_ok()
    }

    /// Returns the size of every claim set of this list.
    #[must_use]
    pub fn set_size(&self) -> usize {
        self.vms.len().min(MAX_SET_SIZE)
    }

    /// Returns whether every key has the same claim set, which then contains all VMs.
    #[must_use]
    pub fn has_single_set(&self) -> bool {
        self.vms.len() <= MAX_SET_SIZE
    }

    /// Returns the claim set of `key`: the VMs with the highest rendezvous scores.
    #[must_use]
    pub fn claim_set(&self, key: KeyHash) -> Vec<VmName> {
        if self.has_single_set() {
            return self.vms.to_vec();
        }
        let mut scored: Vec<(u64, &VmName)> = self
            .vms
            .iter()
            .map(|vm| (rendezvous_score(key.0, vm.as_str()), vm))
            .collect();
        scored.select_nth_unstable_by(MAX_SET_SIZE - 1, |a, b| b.cmp(a));
        scored.truncate(MAX_SET_SIZE);
        scored.into_iter().map(|(_, vm)| vm.clone()).collect()
    }

    /// Returns whether `vm` is in the claim set of `key`.
    #[must_use]
    pub fn set_contains(&self, key: KeyHash, vm: &VmName) -> bool {
        self.contains(vm) && (self.has_single_set() || self.claim_set(key).contains(vm))
    }
}

/// The sizes that decide whether a claim is safe: the quorum of a claim set, and the number of
/// members outside it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quorum {
    /// Number of grants that an attempt needs (q).
    pub size: usize,
    /// Number of members of the set that may lack the record of a dispatched attempt: the size of
    /// the set minus q.
    pub max_missing: usize,
}

impl Quorum {
    /// Returns the quorum of sets of `set_size` VMs.
    ///
    /// `min_set` is the minimum set size of the settings. A shorter list needs the quorum of this
    /// size, so that the part of a partitioned fleet that it names cannot grant claims.
    #[must_use]
    pub fn of(set_size: usize, min_set: usize) -> Self {
        let w = set_size.max(min_set).min(MAX_SET_SIZE);
        // With 6 of 9, quorums of two sets that differ in two VMs still share at least one VM.
        let size = if w == MAX_SET_SIZE { 6 } else { w / 2 + 1 };
        Self {
            size,
            max_missing: set_size.saturating_sub(size),
        }
    }
}

/// The lists that one VM knows, of which the newest is the current one.
#[derive(Clone, Debug)]
pub struct VmLists {
    current: VmList,
    lists: BTreeMap<u64, VmList>,
    history: BTreeSet<u64>,
    floor: u64,
}

impl VmLists {
    /// Starts with the list that the VM knew at boot.
    #[must_use]
    pub fn new(current: VmList) -> Self {
        Self {
            lists: BTreeMap::from([(current.revision, current.clone())]),
            history: BTreeSet::from([current.revision]),
            floor: 0,
            current,
        }
    }

    /// Returns the current list.
    #[must_use]
    pub const fn current(&self) -> &VmList {
        &self.current
    }

    /// Returns the revision of the current list.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.current.revision
    }

    /// Returns the oldest revision whose claim sets may hold records that newer claim sets lack.
    #[must_use]
    pub const fn floor(&self) -> u64 {
        self.floor
    }

    /// Returns the list of `revision` if it is known and has not been pruned.
    #[must_use]
    pub fn get(&self, revision: u64) -> Option<&VmList> {
        self.lists.get(&revision)
    }

    /// Returns the revisions that are known to have been in use on any VM.
    #[must_use]
    pub fn history(&self) -> Vec<u64> {
        self.history.iter().copied().collect()
    }

    /// Returns the earlier lists whose members may hold records that this VM needs under the
    /// current one.
    pub fn earlier(&self) -> impl Iterator<Item = &VmList> {
        self.lists
            .range(self.floor.min(self.current.revision)..self.current.revision)
            .map(|(_, list)| list)
    }

    /// Stores `list` and makes it the current one if it is newer. Returns whether it was newer.
    pub fn adopt(&mut self, list: VmList) -> bool {
        let newer = list.revision > self.current.revision;
        if newer {
            self.current = list.clone();
        }
        self.history.insert(list.revision);
        self.lists.insert(list.revision, list);
        self.prune();
        newer
    }

    /// Merges the floor and history of another VM. Returns the revisions whose lists are needed but
    /// missing.
    pub fn merge(&mut self, floor: u64, history: &[u64]) -> Vec<u64> {
        self.raise_floor(floor);
        self.history.extend(history);
        self.prune();
        self.history
            .range(self.floor.min(self.current.revision)..self.current.revision)
            .copied()
            .filter(|revision| !self.lists.contains_key(revision))
            .collect()
    }

    /// Raises the floor. A quorum of every claim set of the revision `floor` must hold all earlier
    /// records.
    pub fn raise_floor(&mut self, floor: u64) {
        self.floor = self.floor.max(floor.min(self.current.revision));
        self.prune();
    }

    fn prune(&mut self) {
        while self.history.len() > MAX_HISTORY_REVISIONS {
            self.history.pop_first();
        }
        let first = |lists: &BTreeMap<u64, VmList>| lists.keys().next().copied();
        while self.lists.len() > MAX_KEPT_LISTS && first(&self.lists) < Some(self.floor) {
            self.lists.pop_first();
        }
    }

    /// Returns whether the current list is `base` or directly follows it in the known history, so
    /// that no list between them can have had a quorum.
    #[must_use]
    pub fn directly_follows(&self, base: u64) -> bool {
        let Some(next) = self.history.range(base + 1..).next() else {
            return base == self.current.revision;
        };
        self.history.contains(&base) && *next == self.current.revision
    }
}
