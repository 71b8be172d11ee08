//! The published list of VMs, the claim set of a key and its quorum.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::claim::types::KeyHash;
use crate::hash::rendezvous_score;
use crate::name::VmName;

/// Largest claim set. More VMs would not make claims safer, only slower.
pub const MAX_SET_SIZE: usize = 9;

/// Revisions of which a VM remembers that they were in use.
const MAX_HISTORY: usize = 32;

/// Lists that are kept although they are older than the floor, so that a VM that moves late is
/// told only what it lacks.
const MAX_KNOWN: usize = 4;

/// One revision of the published list of VMs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmList {
    /// The platform's revision, which only increases.
    pub revision: u64,
    /// The names, sorted and without repetitions.
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

    /// Returns whether every key has the same claim set: all VMs.
    #[must_use]
    pub fn has_single_set(&self) -> bool {
        self.vms.len() <= MAX_SET_SIZE
    }

    /// Returns the claim set of `key`: the VMs with the highest rendezvous scores.
    #[must_use]
    pub fn set(&self, key: KeyHash) -> Vec<VmName> {
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
    pub fn in_set(&self, key: KeyHash, vm: &VmName) -> bool {
        self.contains(vm) && (self.has_single_set() || self.set(key).contains(vm))
    }
}

/// Sizes that decide whether a claim is safe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quorum {
    /// Grants that an attempt needs.
    pub size: usize,
    /// Members that may lack a dispatched attempt's record (w − q).
    pub max_missing: usize,
}

impl Quorum {
    /// Returns the quorum of sets of `set_size` VMs.
    ///
    /// `min_set` is the smallest set size that the settings allow. A list that shrank below it
    /// needs the quorum of the full size, so that the remainder of a split fleet stops.
    #[must_use]
    pub fn of(set_size: usize, min_set: usize) -> Self {
        let w = set_size.max(min_set).min(MAX_SET_SIZE);
        // 6 of 9 lets quorums of two sets that differ in two VMs still share one.
        let size = if w == MAX_SET_SIZE { 6 } else { w / 2 + 1 };
        Self {
            size,
            max_missing: set_size.saturating_sub(size),
        }
    }
}

/// The lists that one VM knows, of which the newest is in force.
#[derive(Clone, Debug)]
pub struct VmLists {
    current: VmList,
    known: BTreeMap<u64, VmList>,
    history: BTreeSet<u64>,
    floor: u64,
}

impl VmLists {
    /// Starts with the list that the VM knew at boot.
    #[must_use]
    pub fn new(current: VmList) -> Self {
        Self {
            known: BTreeMap::from([(current.revision, current.clone())]),
            history: BTreeSet::from([current.revision]),
            floor: 0,
            current,
        }
    }

    /// Returns the list in force.
    #[must_use]
    pub const fn current(&self) -> &VmList {
        &self.current
    }

    /// Returns the revision in force.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.current.revision
    }

    /// Returns the oldest revision whose claim sets may hold records that newer sets lack.
    #[must_use]
    pub const fn floor(&self) -> u64 {
        self.floor
    }

    /// Returns the known list of `revision`, if it is still needed.
    #[must_use]
    pub fn get(&self, revision: u64) -> Option<&VmList> {
        self.known.get(&revision)
    }

    /// Returns the revisions that are known to have been in force anywhere.
    #[must_use]
    pub fn history(&self) -> Vec<u64> {
        self.history.iter().copied().collect()
    }

    /// Returns the earlier lists that a move to the current one has to read.
    pub fn earlier(&self) -> impl Iterator<Item = &VmList> {
        self.known
            .range(self.floor.min(self.current.revision)..self.current.revision)
            .map(|(_, list)| list)
    }

    /// Puts `list` in force if it is newer; returns whether it was.
    pub fn adopt(&mut self, list: VmList) -> bool {
        let newer = list.revision > self.current.revision;
        if newer {
            self.current = list.clone();
        }
        self.history.insert(list.revision);
        self.known.insert(list.revision, list);
        self.trim();
        newer
    }

    /// Takes over another VM's floor and history; returns the revisions whose lists are missing.
    pub fn learn(&mut self, floor: u64, history: &[u64]) -> Vec<u64> {
        self.raise_floor(floor);
        self.history.extend(history);
        self.trim();
        self.history
            .range(self.floor.min(self.current.revision)..self.current.revision)
            .copied()
            .filter(|revision| !self.known.contains_key(revision))
            .collect()
    }

    /// Declares that a quorum of every set of `floor` holds all earlier records.
    pub fn raise_floor(&mut self, floor: u64) {
        self.floor = self.floor.max(floor.min(self.current.revision));
        self.trim();
    }

    fn trim(&mut self) {
        while self.history.len() > MAX_HISTORY {
            self.history.pop_first();
        }
        let first = |known: &BTreeMap<u64, VmList>| known.keys().next().copied();
        while self.known.len() > MAX_KNOWN && first(&self.known) < Some(self.floor) {
            self.known.pop_first();
        }
    }

    /// Returns whether the current list directly follows `base`, so that no quorum of a list
    /// between them can exist.
    #[must_use]
    pub fn follows(&self, base: u64) -> bool {
        let Some(next) = self.history.range(base + 1..).next() else {
            return base == self.current.revision;
        };
        self.history.contains(&base) && *next == self.current.revision
    }
}
