//! Detection of requests on engines that no VM has registered.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use coord::name::{Upstream, VmName};
use coord::sched::JobId;
use coord::time::Time;

/// Time during which a VM may still join the view or register its requests. Requests on engines
/// are not cancelled before it has passed.
const REGISTRATION_GRACE: Duration = Duration::from_secs(1);
/// Time after the loss of a VM during which its requests on engines are looked for.
///
/// A request of the VM that first appears on an engine after this time shows that the VM is alive
/// on the other side of a partition.
const SCAN_WINDOW: Duration = Duration::from_secs(6);
/// How long lost VMs and cancelled requests are remembered.
const RECORD_RETENTION: Duration = Duration::from_mins(1);

/// Finds requests on engines whose VM died together with the former owner of their cell.
///
/// Each request is cancelled once on each engine. If it appears there again, its VM is alive, and
/// repeated cancels would keep both sides of a partition from using the same engines.
pub(super) struct OrphanScan {
    started: Time,
    /// When each VM was lost, by the tag in its request ids.
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

    /// Returns the ids to cancel among the `unknown` ones that an engine reported. `live_tags` has
    /// the tags of all VMs in the view.
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
