//! Lost VMs, suspects and the take-over of a cell by a new owner.

use std::time::Duration;

use super::Scheduler;
use super::fleet::Health;
use super::job::{Entry, Phase};
use super::types::{Action, Attempt, Job, JobId, Reason, Stage};
use crate::name::{Upstream, VmName};
use crate::time::Time;

/// An engine that reported to be full is not tried for this long unless one of its jobs ends.
pub(super) const FULL_PAUSE: Duration = Duration::from_millis(20);

/// How long ids of ended jobs are remembered, against lagged load reports.
const ENDED_MEMORY: Duration = Duration::from_secs(10);

/// How long a dead VM's work is looked for in load reports.
const DEAD_MEMORY: Duration = Duration::from_mins(1);

impl Scheduler {
    /// A VM is dead: its callers are gone, so its jobs are dropped and freed on the engines.
    pub fn vm_down(&mut self, now: Time, vm: &VmName) -> Vec<Action> {
        self.dead.insert(JobId::vm_tag_of(vm), now);
        let ids = self.jobs_of(vm);
        let mut actions = Vec::new();
        for id in ids {
            actions.extend(self.abandon(now, id));
            self.forget(now, id);
        }
        actions.extend(self.dispatch(now));
        actions
    }

    /// A VM is back: ids with its tag may be new work again.
    pub fn vm_up(&mut self, vm: &VmName) {
        self.dead.remove(&JobId::vm_tag_of(vm));
    }

    /// Begins the take-over of a cell from an owner that was lost.
    ///
    /// For `ttl`, engines get new work only after they have reported their load, because jobs
    /// that are not registered again yet hold slots.
    pub fn take_over(&mut self, now: Time, ttl: Duration) {
        self.confirm_until = now + ttl;
        for slot in &mut self.fleet.slots {
            slot.closed_until = slot.closed_until.max(self.confirm_until);
        }
    }

    /// Registers a job that runs on engines already, after the cell's owner has changed.
    ///
    /// `attempt` is the one of its running engine call, so that the result is recognised.
    pub fn register_running(
        &mut self,
        now: Time,
        job: Job,
        attempt: Attempt,
        stage: &Stage,
    ) -> Vec<Action> {
        if self.jobs.contains_key(&job.id) {
            return Vec::new();
        }
        let mut entry = Entry::new(now, job);
        entry.attempt = attempt;
        entry.least = self.least(&entry);
        let id = entry.job.id;
        entry.phase = self.occupy(now, &entry, stage);
        self.in_use[entry.job.class as usize] += 1;
        self.ended.remove(&id);
        self.jobs.insert(id, entry);
        Vec::new()
    }

    /// Counts a registered job on its engines; returns its phase.
    fn occupy(&mut self, now: Time, entry: &Entry, stage: &Stage) -> Phase {
        let id = entry.job.id;
        match stage {
            Stage::Prefill { prefill, decode } => {
                let prefill = self.fleet.expect(now, prefill);
                let decode = self.fleet.expect(now, decode);
                self.fleet.slots[prefill].prefill_started(now, id, entry.least);
                self.fleet.slots[decode].reserved += 1;
                self.promise(id, self.bytes(entry), prefill);
                Phase::Prefill { prefill, decode }
            }
            Stage::Decode { source, decode } => {
                let source = self.fleet.expect(now, source);
                let decode = self.fleet.expect(now, decode);
                let slot = &mut self.fleet.slots[decode];
                slot.used += 1;
                slot.foreign = slot.foreign.saturating_sub(1);
                Phase::Decode {
                    source,
                    decode,
                    streaming: true,
                }
            }
        }
    }

    /// Frees everything that a job holds and takes it out of every queue.
    ///
    /// Cancels go to all engines that may hold something, because a cancel is idempotent and a
    /// missed one would keep engine memory for a caller that is gone.
    pub(super) fn abandon(&mut self, now: Time, id: JobId) -> Vec<Action> {
        let Some(entry) = self.jobs.get(&id) else {
            return Vec::new();
        };
        let held = entry.holds();
        let actions = self.cancel_on(id, &held);
        self.withdraw(id);
        self.vacate(now, id);
        actions
    }

    /// Builds cancels of a job on engines that are not known to be gone.
    pub(super) fn cancel_on(&self, id: JobId, engines: &[usize]) -> Vec<Action> {
        let mut engines = engines.to_vec();
        engines.sort_unstable();
        engines.dedup();
        let alive = engines
            .into_iter()
            .filter(|i| self.fleet.slots[*i].health != Health::Down);
        let named = alive.map(|i| self.fleet.name(i));
        named
            .map(|upstream| Action::Cancel { id, upstream })
            .collect()
    }

    /// Returns the jobs that reached a VM, to be compared with those that the VM reports.
    #[must_use]
    pub fn jobs_of(&self, vm: &VmName) -> Vec<JobId> {
        let own = self.jobs.values().filter(|e| e.job.vm == *vm);
        own.map(|e| e.job.id).collect()
    }

    /// Returns the jobs on an engine with their fingerprints, to be charged when it dies.
    #[must_use]
    pub fn running_on(&self, upstream: &Upstream) -> Vec<(JobId, u128)> {
        let Some(index) = self.fleet.index(upstream) else {
            return Vec::new();
        };
        let here = self.jobs.values().filter(|e| e.holds().contains(&index));
        here.map(|e| (e.job.id, e.job.fingerprint)).collect()
    }

    /// Marks all jobs that are not running with this fingerprint: they run alone from now on.
    pub fn isolate(&mut self, now: Time, fingerprint: u128) -> Vec<Action> {
        for id in self.with_fingerprint(fingerprint) {
            let waiting = self
                .jobs
                .get(&id)
                .is_some_and(|e| e.phase == Phase::Waiting);
            if waiting {
                self.dequeue(id, None);
            }
            if let Some(entry) = self.jobs.get_mut(&id) {
                entry.job.suspect = true;
            }
            if waiting {
                self.enqueue(id);
            }
        }
        self.dispatch(now)
    }

    /// Refuses all jobs that are not running with this fingerprint.
    pub fn refuse(&mut self, now: Time, fingerprint: u128, time: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        for id in self.with_fingerprint(fingerprint) {
            let holds = self.jobs.get(&id).is_some_and(|e| !e.holds().is_empty());
            if !holds {
                self.withdraw(id);
                self.forget(now, id);
                actions.push(self.refusal(id, Reason::Poison, Some(time)));
            }
        }
        actions
    }

    fn with_fingerprint(&self, fingerprint: u128) -> Vec<JobId> {
        let same = self
            .jobs
            .values()
            .filter(|e| e.job.fingerprint == fingerprint);
        same.map(|e| e.job.id).collect()
    }

    /// Drops what is remembered longer than it is needed.
    pub(super) fn tidy(&mut self, now: Time) {
        while let Some((at, id)) = self.ended_at.front().copied() {
            if now.since(at) < ENDED_MEMORY {
                break;
            }
            self.ended.remove(&id);
            self.cancelled.remove(&id);
            self.ended_at.pop_front();
        }
        self.homes.tidy(now);
        self.dead.retain(|_, at| now.since(*at) < DEAD_MEMORY);
    }
}
