//! One cell on its owner: the scheduler, its engines and the registered requests.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use coord::name::{Upstream, VmName};
use coord::sched::{
    Action, Attempt, Engine, EngineReport, Job, JobId, SchedOptions, SchedStatus, Scheduler, Stage,
};
use coord::time::Time;

use super::LEASE_TTL;
use super::entry::Outgoing;
use super::orphan_scan::OrphanScan;
use super::wire::{Message, Order, WireProgress};
use crate::serve::cell::local::into_order;
use crate::serve::cell::{EngineUpdate, Orphan};

/// How long new requests wait for load reports after a take-over of the cell.
///
/// Requests that the former owner started hold slots that only the reports show. The wait is
/// shorter than a lease, so that an engine that does not answer does not delay the others for
/// that long.
const LOAD_REPORT_WAIT: Duration = Duration::from_secs(1);

/// Additional time that new requests wait if no engine is known yet.
const ENGINE_LIST_WAIT: Duration = Duration::from_secs(2);

/// The entry VM of a request, and the number of its registration.
struct Registration {
    vm: VmName,
    epoch: u32,
}

/// The scheduler of one cell, and the requests that entry VMs have registered with it.
pub(super) struct OwnedCell {
    scheduler: Scheduler,
    pub(super) options: SchedOptions,
    engines: BTreeMap<Upstream, (Engine, bool)>,
    jobs: BTreeMap<JobId, Registration>,
    /// Requests that are submitted to the scheduler once the first load reports have arrived.
    deferred: BTreeMap<JobId, Job>,
    /// The last load report of each engine.
    last_reports: BTreeMap<Upstream, EngineReport>,
    deferred_until: Option<Time>,
    orphan_scan: OrphanScan,
}

impl OwnedCell {
    pub(super) fn new(now: Time, options: SchedOptions, seed: u64) -> Self {
        let mut scheduler = Scheduler::new(options.clone(), seed);
        scheduler.take_over(now, LEASE_TTL);
        Self {
            scheduler,
            options,
            engines: BTreeMap::new(),
            jobs: BTreeMap::new(),
            deferred: BTreeMap::new(),
            last_reports: BTreeMap::new(),
            deferred_until: Some(now + LOAD_REPORT_WAIT),
            orphan_scan: OrphanScan::new(now),
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Returns the number of registered requests of each entry VM.
    pub(super) fn requests_by_vm(&self) -> BTreeMap<&VmName, usize> {
        let mut counts = BTreeMap::new();
        for job in self.jobs.values() {
            *counts.entry(&job.vm).or_insert(0) += 1;
        }
        counts
    }

    pub(super) fn status(&self, now: Time) -> SchedStatus {
        self.scheduler.status(now)
    }

    pub(super) fn submit(&mut self, now: Time, job: Job, epoch: u32) -> Vec<Action> {
        let Some(mut actions) = self.admit(now, job.id, &job.vm, epoch) else {
            return Vec::new();
        };
        if self.deferred_until.is_some() {
            self.deferred.insert(job.id, job);
        } else {
            actions.extend(self.scheduler.submit(now, job));
        }
        actions
    }

    pub(super) fn register(
        &mut self,
        now: Time,
        job: Job,
        epoch: u32,
        attempt: Attempt,
        stage: &Stage,
    ) -> Vec<Action> {
        let Some(mut actions) = self.admit(now, job.id, &job.vm, epoch) else {
            return Vec::new();
        };
        actions.extend(self.scheduler.register_running(now, job, attempt, stage));
        actions
    }

    /// Records a registration; returns `None` if the same or a later one is known.
    ///
    /// The state of an earlier registration is dropped, because its orders may not have arrived.
    fn admit(&mut self, now: Time, id: JobId, vm: &VmName, epoch: u32) -> Option<Vec<Action>> {
        let mut actions = Vec::new();
        if let Some(known) = self.jobs.get(&id) {
            if known.epoch >= epoch {
                return None;
            }
            actions = self.release(now, id);
        }
        let vm = vm.clone();
        self.jobs.insert(id, Registration { vm, epoch });
        Some(actions)
    }

    /// Removes a request without cancelling it on engines, which its entry VM does.
    pub(super) fn release(&mut self, now: Time, id: JobId) -> Vec<Action> {
        let known = self.jobs.remove(&id).is_some();
        let deferred = self.deferred.remove(&id).is_some();
        if !known || deferred {
            // The scheduler does not know the job. A cancel would make it ignore a later
            // submission.
            return Vec::new();
        }
        let mut actions = self.scheduler.cancel(now, id);
        // The task of the request cancels its own calls on engines.
        actions
            .retain(|action| !matches!(action, Action::Cancel { id: other, .. } if *other == id));
        actions
    }

    pub(super) fn report(
        &mut self,
        now: Time,
        (id, epoch): (JobId, u32),
        attempt: Attempt,
        progress: WireProgress,
    ) -> Vec<Action> {
        if self.jobs.get(&id).is_none_or(|known| known.epoch != epoch) {
            return Vec::new();
        }
        let scheduler = &mut self.scheduler;
        match progress {
            WireProgress::PrefillDone(done) => scheduler.prefill_done(now, id, attempt, done),
            WireProgress::PrefillFailed(failure) => {
                scheduler.prefill_failed(now, id, attempt, failure)
            }
            WireProgress::DecodeStarted => scheduler.decode_started(now, id, attempt),
            WireProgress::DecodeFailed { failure, delivered } => {
                scheduler.decode_failed(now, id, attempt, failure, delivered)
            }
            WireProgress::Finished => {
                let mut actions = scheduler.decode_finished(now, id, attempt);
                // The scheduler ignores the report if it knows another attempt; the request ends in
                // any case.
                actions.extend(self.release(now, id));
                actions
            }
            WireProgress::Cancelled => self.release(now, id),
        }
    }

    pub(super) fn tick(&mut self, now: Time) -> Vec<Action> {
        let mut actions = self.submit_deferred(now);
        actions.extend(self.scheduler.tick(now));
        actions
    }

    /// Submits the deferred requests once every engine has reported or the wait has passed.
    fn submit_deferred(&mut self, now: Time) -> Vec<Action> {
        let Some(until) = self.deferred_until else {
            return Vec::new();
        };
        let mut names = self.engines.keys();
        let known = !self.engines.is_empty();
        let complete = known && names.all(|name| self.last_reports.contains_key(name));
        // A VM that has just started may receive requests before the list of engines. The
        // scheduler would refuse them as requests without an upstream.
        let until = if known {
            until
        } else {
            until + ENGINE_LIST_WAIT
        };
        if now < until && !complete {
            return Vec::new();
        }
        self.deferred_until = None;
        let deferred = std::mem::take(&mut self.deferred);
        let submitted = deferred.into_values();
        submitted
            .flat_map(|job| self.scheduler.submit(now, job))
            .collect()
    }

    /// Restarts the time window in which requests of VMs outside the view are looked for.
    pub(super) fn restart_orphan_scan(&mut self, now: Time) {
        self.orphan_scan = OrphanScan::new(now);
    }

    /// Handles an engine's update. `live_tags` has the tags of all VMs in the view, or is `None` if
    /// the view has no majority; orphans are looked for only with a majority.
    pub(super) fn engine_update(
        &mut self,
        now: Time,
        update: &EngineUpdate,
        live_tags: Option<&BTreeSet<u32>>,
        orphans: &mut Vec<Orphan>,
    ) -> Vec<Action> {
        match update {
            EngineUpdate::Load(name, report) => {
                if !self.engines.contains_key(name) {
                    return Vec::new();
                }
                let held = report.held.iter().copied();
                let unknown = held.filter(|id| !self.jobs.contains_key(id));
                let find = |live_tags| self.orphan_scan.find(now, name, unknown, live_tags);
                let lost = live_tags.map(find).unwrap_or_default();
                orphans.extend(lost.into_iter().map(|id| Orphan {
                    id,
                    upstream: name.clone(),
                }));
                let mut actions = self.scheduler.load_report(now, name, report);
                self.last_reports.insert(name.clone(), report.clone());
                actions.extend(self.submit_deferred(now));
                actions
            }
            EngineUpdate::Cache(name, event) => self.scheduler.cache_event(now, name, *event),
        }
    }

    /// Drops the requests of a lost VM and cancels them on their engines.
    pub(super) fn vm_down(&mut self, now: Time, vm: &VmName) -> Vec<Action> {
        self.deferred.retain(|_, job| job.vm != *vm);
        self.jobs.retain(|_, known| known.vm != *vm);
        self.orphan_scan.vm_down(now, vm);
        let actions = self.scheduler.vm_down(now, vm);
        // The VM may be alive on the other side of a partition, so the scheduler must not treat it
        // as lost any longer; only `orphan_scan` looks for its requests.
        self.scheduler.vm_up(vm);
        actions
    }

    pub(super) fn set_engines(&mut self, now: Time, engines: &[(Engine, bool)]) -> Vec<Action> {
        let wanted = engines
            .iter()
            .map(|pair| (pair.0.name.clone(), pair.clone()));
        let wanted: BTreeMap<_, _> = wanted.collect();
        let mut actions = Vec::new();
        let removed = self
            .engines
            .keys()
            .filter(|name| !wanted.contains_key(*name));
        for name in removed {
            actions.extend(self.scheduler.engine_down(now, name));
        }
        for (name, pair) in &wanted {
            if self.engines.get(name) == Some(pair) {
                continue;
            }
            actions.extend(self.scheduler.engine_up(now, pair.0.clone()));
            if let Some(report) = self.last_reports.get(name) {
                // After a take-over, the scheduler would otherwise pause a changed engine until its
                // next load report.
                actions.extend(self.scheduler.load_report(now, name, report));
            }
            if pair.1 {
                actions.extend(self.scheduler.engine_draining(now, name));
            }
        }
        self.last_reports
            .retain(|name, _| wanted.contains_key(name));
        self.engines = wanted;
        actions
    }

    /// Converts the scheduler's actions to orders for the entry VMs. Cancels of requests that are
    /// not registered are added to `orphans`.
    pub(super) fn deliver(
        &mut self,
        actions: Vec<Action>,
        out: &mut Outgoing,
        orphans: &mut Vec<Orphan>,
    ) {
        for action in actions {
            let (id, order) = into_order(action);
            let order = Order::from(order);
            let refused = matches!(order, Order::Refuse { .. });
            match self.jobs.get(&id) {
                Some(job) => {
                    let epoch = job.epoch;
                    out.push((job.vm.clone(), Message::Order { epoch, id, order }));
                }
                None => {
                    if let Order::Cancel { upstream } = order {
                        orphans.push(Orphan { id, upstream });
                    }
                }
            }
            if refused {
                self.jobs.remove(&id);
            }
        }
    }
}
