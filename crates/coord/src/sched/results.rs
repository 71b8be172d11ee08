//! Results of engine calls.

use super::Scheduler;
use super::job::{Entry, Phase};
use super::types::{Action, Attempt, Failure, JobId, PrefillUsage, Reason, Role};
use crate::time::Time;

impl Scheduler {
    /// A prefill has ended: its decode starts, on the reserved engine if that has a free slot.
    pub fn prefill_done(
        &mut self,
        now: Time,
        id: JobId,
        attempt: Attempt,
        done: PrefillUsage,
    ) -> Vec<Action> {
        let Some(Phase::Prefill { prefill, decode }) = self.current(id, attempt) else {
            return Vec::new();
        };
        self.fleet.slots[prefill].prefill_ended(now, id);
        self.fleet.slots[prefill].failures = 0;
        let from = &self.fleet.slots[prefill].engine.data_centre;
        self.links.ready(now, from, id);
        self.learn(now, id, prefill, done);
        if let Some(entry) = self.jobs.get_mut(&id) {
            entry.since = now;
            entry.phase = Phase::Ready {
                source: prefill,
                decode,
                since: now,
            };
            self.ready.insert((now, id));
        }
        self.dispatch(now)
    }

    /// Corrects estimates and cache beliefs with what the engine reports.
    fn learn(&mut self, now: Time, id: JobId, prefill: usize, done: PrefillUsage) {
        let Some(entry) = self.jobs.get(&id) else {
            return;
        };
        let work = done.prompt_tokens.saturating_sub(done.cached_tokens);
        let took = now.since(entry.since);
        self.estimates.prefilled(done.prompt_tokens, work, took);
        let cached = done.cached_tokens / self.options.block_tokens.max(1);
        self.prefixes
            .corrected(prefill, &entry.job.prefix, cached as usize);
        self.prefixes.used(now, prefill, &entry.job.prefix);
    }

    /// A prefill was refused by the engine or has failed.
    pub fn prefill_failed(
        &mut self,
        now: Time,
        id: JobId,
        attempt: Attempt,
        failure: Failure,
    ) -> Vec<Action> {
        let Some(Phase::Prefill { prefill, .. }) = self.current(id, attempt) else {
            return Vec::new();
        };
        self.vacate(now, id);
        self.blame(now, prefill, failure);
        let mut actions = self.again(now, id, failure);
        actions.extend(self.dispatch(now));
        actions
    }

    /// The import has ended and the first token is out: source and link are free again.
    pub fn decode_started(&mut self, now: Time, id: JobId, attempt: Attempt) -> Vec<Action> {
        let Some(Phase::Decode { source, decode, .. }) = self.current(id, attempt) else {
            return Vec::new();
        };
        self.imported(id);
        self.fleet.slots[decode].failures = 0;
        if let Some(entry) = self.jobs.get_mut(&id) {
            entry.phase = Phase::Decode {
                source,
                decode,
                streaming: true,
            };
        }
        self.dispatch(now)
    }

    /// An import or a stream has failed after `delivered` tokens of this stream.
    ///
    /// The job goes on at its offset with a new prefill that includes the delivered tokens.
    pub fn decode_failed(
        &mut self,
        now: Time,
        id: JobId,
        attempt: Attempt,
        failure: Failure,
        delivered: u32,
    ) -> Vec<Action> {
        let Some(Phase::Decode { source, decode, .. }) = self.current(id, attempt) else {
            return Vec::new();
        };
        let held = match failure {
            Failure::Full => Vec::new(),
            _ => self.cancel_on(id, &[source, decode]),
        };
        if failure == Failure::Full && self.back_to_ready(id) {
            self.blame(now, decode, failure);
            return self.dispatch(now);
        }
        self.vacate(now, id);
        self.blame(now, decode, failure);
        if let Some(entry) = self.jobs.get_mut(&id) {
            resume_at(entry, now, delivered);
        }
        let mut actions = held;
        actions.extend(self.again(now, id, failure));
        actions.extend(self.dispatch(now));
        actions
    }

    /// A stream has ended and its answer is complete.
    pub fn decode_finished(&mut self, now: Time, id: JobId, attempt: Attempt) -> Vec<Action> {
        if self.current(id, attempt).is_none() {
            return Vec::new();
        }
        if let Some(entry) = self.jobs.get(&id) {
            self.estimates.streamed(now.since(entry.since));
        }
        self.budget.record_success(now);
        self.vacate(now, id);
        self.forget(now, id);
        self.dispatch(now)
    }

    /// Returns the job's phase if `attempt` is its present one.
    fn current(&self, id: JobId, attempt: Attempt) -> Option<Phase> {
        let entry = self.jobs.get(&id)?;
        (entry.attempt == attempt).then_some(entry.phase)
    }

    /// Closes an engine that failed, or corrects its slot count after a refusal.
    fn blame(&mut self, now: Time, engine: usize, failure: Failure) {
        let slot = &mut self.fleet.slots[engine];
        match failure {
            Failure::Full => slot.full_until = now + super::recover::FULL_PAUSE,
            // An engine with a stalled transfer holds the fewest streams, so it would be the
            // first choice of every retry if it stayed open.
            Failure::Lost | Failure::Stalled => slot.failed(now),
            Failure::Evicted => {}
        }
    }

    /// Returns a job that found no slot to the finished prefills; its result still exists.
    fn back_to_ready(&mut self, id: JobId) -> bool {
        let Some(entry) = self.jobs.get_mut(&id) else {
            return false;
        };
        let Phase::Decode { source, decode, .. } = entry.phase else {
            return false;
        };
        let since = entry.since;
        entry.phase = Phase::Ready {
            source,
            decode,
            since,
        };
        self.fleet.slots[decode].used -= 1;
        self.fleet.slots[decode].reserved += 1;
        self.ready.insert((since, id));
        true
    }

    /// Takes the promise of link room back.
    fn imported(&mut self, id: JobId) {
        let Some(entry) = self.jobs.get(&id) else {
            return;
        };
        if let Some(source) = entry.phase.link_source() {
            let engine = &self.fleet.slots[source].engine;
            if engine.role != Role::Both {
                self.links.release(&engine.data_centre, id);
            }
        }
    }

    /// Takes a job off its engines in the scheduler's account.
    pub(super) fn vacate(&mut self, now: Time, id: JobId) {
        let Some(entry) = self.jobs.get(&id) else {
            return;
        };
        let (phase, class) = (entry.phase, entry.job.class as usize);
        self.imported(id);
        match phase {
            Phase::Waiting | Phase::Unpaid | Phase::Backoff { .. } => return,
            Phase::Prefill { prefill, decode } => {
                self.fleet.slots[prefill].prefill_ended(now, id);
                self.fleet.slots[decode].reserved -= 1;
            }
            Phase::Ready { decode, since, .. } => {
                self.ready.remove(&(since, id));
                self.fleet.slots[decode].reserved -= 1;
            }
            Phase::Decode { decode, .. } => {
                self.fleet.slots[decode].used -= 1;
                self.fleet.slots[decode].full_until = now;
            }
        }
        self.in_use[class] -= 1;
        if let Some(entry) = self.jobs.get_mut(&id) {
            entry.phase = Phase::Waiting;
            entry.since = now;
        }
    }

    /// Starts a failed job again if rules and budget allow it, or gives its final answer.
    pub(super) fn again(&mut self, now: Time, id: JobId, failure: Failure) -> Vec<Action> {
        let Some(entry) = self.jobs.get(&id) else {
            return Vec::new();
        };
        if failure == Failure::Full {
            self.enqueue(id);
            return Vec::new();
        }
        if entry.job.once {
            self.forget(now, id);
            return vec![self.refusal(id, Reason::Unknown, None)];
        }
        self.retry(now, id)
    }
}

/// Moves a job's prompt and output to where the failed stream has ended.
fn resume_at(entry: &mut Entry, now: Time, delivered: u32) {
    let job = &mut entry.job;
    job.offset += delivered;
    job.prompt_tokens += delivered;
    job.max_tokens = job.max_tokens.saturating_sub(delivered);
    if job.offset > 0 {
        entry.order = Time::ZERO;
    }
    entry.since = now;
}
