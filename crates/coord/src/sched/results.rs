//! Results of engine calls, as reported by the entry VMs.

use super::Scheduler;
use super::job::{Entry, Phase};
use super::types::{Action, Attempt, Failure, JobId, PrefillUsage, Reason, Role};
use crate::time::Time;

impl Scheduler {
    /// Handles a finished prefill. Its decode starts when a slot is free, preferably on the engine
    /// with the reserved slot.
    pub fn prefill_done(
        &mut self,
        now: Time,
        id: JobId,
        attempt: Attempt,
        usage: PrefillUsage,
    ) -> Vec<Action> {
        let Some(Phase::Prefill { prefill, decode }) = self.current_phase(id, attempt) else {
            return Vec::new();
        };
        self.engines.states[prefill].prefill_ended(now, id);
        self.engines.states[prefill].failures = 0;
        let from = &self.engines.states[prefill].engine.data_centre;
        self.links.set_ready(now, from, id);
        self.update_estimates(now, id, prefill, usage);
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

    /// Updates the estimates and the cache model with the token counts of a finished prefill.
    fn update_estimates(&mut self, now: Time, id: JobId, prefill: usize, usage: PrefillUsage) {
        let Some(entry) = self.jobs.get(&id) else {
            return;
        };
        let uncached_tokens = usage.prompt_tokens.saturating_sub(usage.cached_tokens);
        let elapsed = now.since(entry.since);
        self.estimates
            .record_prefill(usage.prompt_tokens, uncached_tokens, elapsed);
        let cached = usage.cached_tokens / self.options.block_tokens.max(1);
        self.prefixes
            .truncate(prefill, &entry.job.prefix, cached as usize);
        self.prefixes.record_use(now, prefill, &entry.job.prefix);
    }

    /// Handles a prefill that failed or that the engine rejected.
    pub fn prefill_failed(
        &mut self,
        now: Time,
        id: JobId,
        attempt: Attempt,
        failure: Failure,
    ) -> Vec<Action> {
        let Some(Phase::Prefill { prefill, .. }) = self.current_phase(id, attempt) else {
            return Vec::new();
        };
        self.release_engines(now, id);
        self.handle_failure(now, prefill, failure);
        let mut actions = self.restart_or_refuse(now, id, failure);
        actions.extend(self.dispatch(now));
        actions
    }

    /// Handles the first token of a job. Its import has finished, so the prefill engine and the
    /// link are released.
    pub fn decode_started(&mut self, now: Time, id: JobId, attempt: Attempt) -> Vec<Action> {
        let Some(Phase::Decode { source, decode, .. }) = self.current_phase(id, attempt) else {
            return Vec::new();
        };
        self.release_link(id);
        self.engines.states[decode].failures = 0;
        if let Some(entry) = self.jobs.get_mut(&id) {
            entry.phase = Phase::Decode {
                source,
                decode,
                streaming: true,
            };
        }
        self.dispatch(now)
    }

    /// Handles an import or a stream that failed after `delivered` tokens of this stream.
    ///
    /// If the engine was full, the result of the prefill waits for a slot again. Otherwise, the job
    /// is refused, or retried with a new prefill that includes the delivered tokens.
    pub fn decode_failed(
        &mut self,
        now: Time,
        id: JobId,
        attempt: Attempt,
        failure: Failure,
        delivered: u32,
    ) -> Vec<Action> {
        let Some(Phase::Decode { source, decode, .. }) = self.current_phase(id, attempt) else {
            return Vec::new();
        };
        let cancels = match failure {
            Failure::Full => Vec::new(),
            _ => self.cancel_on(id, &[source, decode]),
        };
        if failure == Failure::Full && self.return_to_ready(id) {
            self.handle_failure(now, decode, failure);
            return self.dispatch(now);
        }
        self.release_engines(now, id);
        self.handle_failure(now, decode, failure);
        if let Some(entry) = self.jobs.get_mut(&id) {
            continue_at(entry, now, delivered);
        }
        let mut actions = cancels;
        actions.extend(self.restart_or_refuse(now, id, failure));
        actions.extend(self.dispatch(now));
        actions
    }

    /// Handles the end of a stream with a complete answer.
    pub fn decode_finished(&mut self, now: Time, id: JobId, attempt: Attempt) -> Vec<Action> {
        if self.current_phase(id, attempt).is_none() {
            return Vec::new();
        }
        if let Some(entry) = self.jobs.get(&id) {
            self.estimates.record_stream(now.since(entry.since));
        }
        self.budget.record_success(now);
        self.release_engines(now, id);
        self.remove_job(now, id);
        self.dispatch(now)
    }

    /// Returns the phase of a job if `attempt` is its current attempt.
    fn current_phase(&self, id: JobId, attempt: Attempt) -> Option<Phase> {
        let entry = self.jobs.get(&id)?;
        (entry.attempt == attempt).then_some(entry.phase)
    }

    /// Pauses an engine that failed, or that reported that it is full.
    fn handle_failure(&mut self, now: Time, engine: usize, failure: Failure) {
        let state = &mut self.engines.states[engine];
        match failure {
            Failure::Full => state.full_until = now + super::recover::FULL_ENGINE_PAUSE,
            // An engine with a stalled transfer has the fewest streams, so every retry would choose
            // it if it were not paused.
            Failure::Lost | Failure::Stalled => state.record_failure(now),
            Failure::Evicted => {}
        }
    }

    /// Moves a job whose decode engine was full back to the finished prefills, as the result of its
    /// prefill still exists. Returns false if the job is not in the decode phase.
    fn return_to_ready(&mut self, id: JobId) -> bool {
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
        self.engines.states[decode].used_slots -= 1;
        self.engines.states[decode].reserved_slots += 1;
        self.ready.insert((since, id));
        true
    }

    /// Removes the link reservation of a job.
    fn release_link(&mut self, id: JobId) {
        let Some(entry) = self.jobs.get(&id) else {
            return;
        };
        if let Some(source) = entry.phase.link_source() {
            let engine = &self.engines.states[source].engine;
            if engine.role != Role::Both {
                self.links.release(&engine.data_centre, id);
            }
        }
    }

    /// Releases the engines, slots and link capacity of a job in the state of the scheduler.
    pub(super) fn release_engines(&mut self, now: Time, id: JobId) {
        let Some(entry) = self.jobs.get(&id) else {
            return;
        };
        let (phase, class) = (entry.phase, entry.job.class as usize);
        self.release_link(id);
        match phase {
            Phase::Waiting | Phase::AwaitingBudget | Phase::Backoff { .. } => return,
            Phase::Prefill { prefill, decode } => {
                self.engines.states[prefill].prefill_ended(now, id);
                self.engines.states[decode].reserved_slots -= 1;
            }
            Phase::Ready { decode, since, .. } => {
                self.ready.remove(&(since, id));
                self.engines.states[decode].reserved_slots -= 1;
            }
            Phase::Decode { decode, .. } => {
                self.engines.states[decode].used_slots -= 1;
                self.engines.states[decode].full_until = now;
            }
        }
        self.started_jobs[class] -= 1;
        if let Some(entry) = self.jobs.get_mut(&id) {
            entry.phase = Phase::Waiting;
            entry.since = now;
        }
    }

    /// Queues a failed job for a retry, or refuses it if it must run at most once or if the retry
    /// budget is exhausted.
    pub(super) fn restart_or_refuse(
        &mut self,
        now: Time,
        id: JobId,
        failure: Failure,
    ) -> Vec<Action> {
        let Some(entry) = self.jobs.get(&id) else {
            return Vec::new();
        };
        if failure == Failure::Full {
            self.enqueue(id);
            return Vec::new();
        }
        if entry.job.once {
            self.remove_job(now, id);
            return vec![self.refusal(id, Reason::Unknown, None)];
        }
        self.retry(now, id)
    }
}

/// Adds the delivered tokens to the prompt of a job, so that its output continues after them.
fn continue_at(entry: &mut Entry, now: Time, delivered: u32) {
    let job = &mut entry.job;
    job.offset += delivered;
    job.prompt_tokens += delivered;
    job.max_tokens = job.max_tokens.saturating_sub(delivered);
    if job.offset > 0 {
        entry.queue_deadline = Time::ZERO;
    }
    entry.since = now;
}
