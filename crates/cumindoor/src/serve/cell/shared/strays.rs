//! Work on engines that nobody has registered.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use coord::name::{Upstream, VmName};
use coord::sched::JobId;
use coord::time::Time;

/// Time that a VM which is about to join the view, or to register its requests, has.
const GRACE: Duration = Duration::from_secs(1);
/// Time after a VM was lost in which its work is looked for.
///
/// A VM whose work appears later is alive on the other side of a partition.
const WINDOW: Duration = Duration::from_secs(6);
/// How long a cancelled slot is remembered.
const MEMORY: Duration = Duration::from_mins(1);

/// Finds the work of VMs that died together with the former owner of a cell.
///
/// Each slot is cancelled once: when it is taken again, its VM is alive. Repeated cancels would
/// keep two sides of a partition from serving anything on the same engines.
pub(super) struct Strays {
    since: Time,
    downs: BTreeMap<u32, Time>,
    cancelled: BTreeMap<(Upstream, JobId), Time>,
}

impl Strays {
    pub(super) fn new(now: Time) -> Self {
        Self {
            since: now,
            downs: BTreeMap::new(),
            cancelled: BTreeMap::new(),
        }
    }

    pub(super) fn vm_down(&mut self, now: Time, vm: &VmName) {
        self.downs.insert(JobId::vm_tag_of(vm), now);
    }

    /// Returns the ids in an engine's list that are to be cancelled there; `live` has the tags of
    /// all VMs of the view.
    pub(super) fn check(
        &mut self,
        now: Time,
        engine: &Upstream,
        unknown: impl Iterator<Item = JobId>,
        live: &BTreeSet<u32>,
    ) -> Vec<JobId> {
        self.downs.retain(|_, at| now.since(*at) < MEMORY);
        self.cancelled.retain(|_, at| now.since(*at) < MEMORY);
        let mut lost = Vec::new();
        for id in unknown.filter(|id| !live.contains(&id.vm_tag())) {
            let start = self.downs.get(&id.vm_tag()).copied().unwrap_or(self.since);
            let due = (GRACE..WINDOW).contains(&now.since(start));
            let slot = (engine.clone(), id);
            if due && !self.cancelled.contains_key(&slot) {
                self.cancelled.insert(slot, now);
                lost.push(id);
            }
        }
        lost
    }
}
