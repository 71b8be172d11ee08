//! Recovery: lost VMs, suspects, and the takeover of a cell by a new owner.

use std::time::Duration;

use super::Scheduler;
use super::job::{Entry, Phase};
use super::table::Health;
use super::types::{Action, Attempt, Job, JobId, Reason, Stage};
use crate::name::{Upstream, VmName};
use crate::time::Time;

/// Time for which an engine that reported that it is full gets no new jobs, unless one of its
/// decodes ends earlier.
pub(super) const FULL_ENGINE_PAUSE: Duration = Duration::from_millis(20);

/// Time for which the ids of ended jobs are kept, because load reports lag.
const ENDED_RETENTION: Duration = Duration::from_secs(10);

/// Time after the death of a VM for which its jobs are cancelled when load reports list them.
const DEAD_VM_RETENTION: Duration = Duration::from_mins(1);

impl Scheduler {
    /// Handles the death of a VM. Its callers are disconnected, so its jobs are removed and
    /// cancelled on the engines.
    pub fn vm_down(&mut self, now: Time, vm: &VmName) -> Vec<Action> {
        self.dead_vms.insert(JobId::vm_tag_of(vm), now);
        let ids = self.jobs_of(vm);
        let mut actions = Vec::new();
        for id in ids {
            actions.extend(self.release_job(now, id));
            self.remove_job(now, id);
        }
        actions.extend(self.dispatch(now));
        actions
    }

    /// Handles the return of a VM, after which unknown jobs with its tag may be new ones.
    pub fn vm_up(&mut self, vm: &VmName) {
        self.dead_vms.remove(&JobId::vm_tag_of(vm));
    }

    /// Begins the takeover of a cell from an owner that was lost.
    ///
    /// For the time `ttl`, an engine gets new jobs only after it has reported its load, because
    /// running jobs that are not registered yet hold slots.
    pub fn take_over(&mut self, now: Time, ttl: Duration) {
        self.confirm_until = now + ttl;
        for state in &mut self.engines.states {
            state.paused_until = state.paused_until.max(self.confirm_until);
        }
    }

    /// Registers a job that is running on engines when the owner of the cell changes.
    ///
    /// `attempt` is the attempt of the running engine call, by which its result is recognised.
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
        entry.min_ttft = self.min_ttft(&entry);
        let id = entry.job.id;
        entry.phase = self.count_running(now, &entry, stage);
        self.started_jobs[entry.job.class as usize] += 1;
        self.ended.remove(&id);
        self.jobs.insert(id, entry);
        Vec::new()
    }

    /// Adds a registered job to the load of its engines, and returns its phase.
    fn count_running(&mut self, now: Time, entry: &Entry, stage: &Stage) -> Phase {
        let id = entry.job.id;
        match stage {
            Stage::Prefill { prefill, decode } => {
                let prefill = self.engines.get_or_insert(now, prefill);
                let decode = self.engines.get_or_insert(now, decode);
                self.engines.states[prefill].prefill_started(now, id, entry.min_ttft);
                self.engines.states[decode].reserved_slots += 1;
                self.reserve_link(id, self.bytes(entry), prefill);
                Phase::Prefill { prefill, decode }
            }
            Stage::Decode { source, decode } => {
                let source = self.engines.get_or_insert(now, source);
                let decode = self.engines.get_or_insert(now, decode);
                let engine = &mut self.engines.states[decode];
                engine.used_slots += 1;
                engine.untracked_slots = engine.untracked_slots.saturating_sub(1);
                Phase::Decode {
                    source,
                    decode,
                    streaming: true,
                }
            }
        }
    }

    /// Releases everything that a job holds and removes it from every queue.
    ///
    /// The returned cancels cover all engines that may hold memory for the job. A cancel is
    /// idempotent, and a missing one would leave memory allocated for a disconnected caller.
    pub(super) fn release_job(&mut self, now: Time, id: JobId) -> Vec<Action> {
        let Some(entry) = self.jobs.get(&id) else {
            return Vec::new();
        };
        let held = entry.held_engines();
        let actions = self.cancel_on(id, &held);
        self.remove_from_queues(id);
        self.release_engines(now, id);
        actions
    }

    /// Builds cancels of a job for those of `engines` that are not down.
    pub(super) fn cancel_on(&self, id: JobId, engines: &[usize]) -> Vec<Action> {
        let mut engines = engines.to_vec();
        engines.sort_unstable();
        engines.dedup();
        let alive = engines
            .into_iter()
            .filter(|i| self.engines.states[*i].health != Health::Down);
        let named = alive.map(|i| self.engines.name(i));
        named
            .map(|upstream| Action::Cancel { id, upstream })
            .collect()
    }

    /// Returns the jobs whose entry VM is `vm`, for comparison with those that the VM reports.
    #[must_use]
    pub fn jobs_of(&self, vm: &VmName) -> Vec<JobId> {
        let own = self.jobs.values().filter(|e| e.job.vm == *vm);
        own.map(|e| e.job.id).collect()
    }

    /// Returns the jobs on an engine with their fingerprints, for which a crash is counted if the
    /// engine crashes.
    #[must_use]
    pub fn running_on(&self, upstream: &Upstream) -> Vec<(JobId, u128)> {
        let Some(index) = self.engines.index(upstream) else {
            return Vec::new();
        };
        let here = self
            .jobs
            .values()
            .filter(|e| e.held_engines().contains(&index));
        here.map(|e| (e.job.id, e.job.fingerprint)).collect()
    }

    /// Marks all jobs with this fingerprint as suspects, so that those that have not started run
    /// alone.
    pub fn isolate(&mut self, now: Time, fingerprint: u128) -> Vec<Action> {
        for id in self.jobs_with_fingerprint(fingerprint) {
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

    /// Refuses all jobs with this fingerprint that are not running. `retry_after` is the time after
    /// which the callers may retry.
    pub fn refuse(&mut self, now: Time, fingerprint: u128, retry_after: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        for id in self.jobs_with_fingerprint(fingerprint) {
            let holds = self
                .jobs
                .get(&id)
                .is_some_and(|e| !e.held_engines().is_empty());
            if !holds {
                self.remove_from_queues(id);
                self.remove_job(now, id);
                actions.push(self.refusal(id, Reason::Poison, Some(retry_after)));
            }
        }
        actions
    }

    fn jobs_with_fingerprint(&self, fingerprint: u128) -> Vec<JobId> {
        let same = self
            .jobs
            .values()
            .filter(|e| e.job.fingerprint == fingerprint);
        same.map(|e| e.job.id).collect()
    }

    /// Removes records that are older than their retention time.
    pub(super) fn expire_records(&mut self, now: Time) {
        while let Some((at, id)) = self.end_times.front().copied() {
            if now.since(at) < ENDED_RETENTION {
                break;
            }
            self.ended.remove(&id);
            self.cancelled.remove(&id);
            self.end_times.pop_front();
        }
        self.affinity.expire(now);
        self.dead_vms
            .retain(|_, at| now.since(*at) < DEAD_VM_RETENTION);
    }
}
