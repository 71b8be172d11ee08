//! Work on engines that nobody has registered.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use coord::name::{Upstream, VmName};
use coord::sched::JobId;
use coord::time::Time;

/// Time that a VM which is about to join the view, or to register its requests, has.
const REGISTRATION_GRACE: Duration = Duration::from_secs(1);
/// Time after a VM was orphans in which its work is looked for.
///
/// A VM whose work appears later is alive on the other side of a partition.
const SCAN_WINDOW: Duration = Duration::from_secs(6);
/// How long a cancelled slot is remembered.
const RECORD_RETENTION: Duration = Duration::from_mins(1);

/// Finds the work of VMs that died together with the former owner of a cell.
///
/// Each slot is cancelled once: when it is taken again, its VM is alive. Repeated cancels would
/// keep two sides of a partition from serving anything on the same engines.
pub(super) struct OrphanScan {
    started: Time,
    lost_at: BTreeMap<u32, Time>,
    cancelled: BTreeMap<(Upstream, JobId), Time>,
}

impl OrphanScan {
    pub(super) fn new(now: Time) -> Self {
        Self {
            started: now,
            lost_at: BTreeMap::new(),
            cancelled: BTreeMap::new(),
        }
    }

    pub(super) fn vm_down(&mut self, now: Time, vm: &VmName) {
        self.lost_at.insert(JobId::vm_tag_of(vm), now);
    }

    /// Returns the ids in an engine's list that are to be cancelled there; `live_tags` has the tags of
    /// all VMs of the view.
    pub(super) fn find(
        &mut self,
        now: Time,
        engine: &Upstream,
        unknown: impl Iterator<Item = JobId>,
        live_tags: &BTreeSet<u32>,
    ) -> Vec<JobId> {
        self.lost_at
            .retain(|_, at| now.since(*at) < RECORD_RETENTION);
        self.cancelled
            .retain(|_, at| now.since(*at) < RECORD_RETENTION);
        let mut orphans = Vec::new();
        for id in unknown.filter(|id| !live_tags.contains(&id.vm_tag())) {
            let start = self
                .lost_at
                .get(&id.vm_tag())
                .copied()
                .unwrap_or(self.started);
            let due = (REGISTRATION_GRACE..SCAN_WINDOW).contains(&now.since(start));
            let slot = (engine.clone(), id);
            if due && !self.cancelled.contains_key(&slot) {
                self.cancelled.insert(slot, now);
                orphans.push(id);
            }
        }
        orphans
    }
}
