//! Admission control and expiry: refuses jobs that cannot meet their deadline as early as possible.

use std::time::Duration;

use rand::RngExt;

use super::Scheduler;
use super::estimate::to_f64;
use super::job::Entry;
use super::table::EngineState;
use super::types::{Action, Class, Failure, JobId, Reason, Role};
use crate::time::Time;

/// Limits of the time after which a refused caller may retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
const MAX_RETRY_AFTER: Duration = Duration::from_mins(1);

/// Time for which an interrupted stream waits for a new engine before it ends with an error.
const RESUME_TIMEOUT: Duration = Duration::from_secs(10);

/// A prefill without an answer is abandoned when it is overdue by this time plus
/// [`OVERDUE_FACTOR`] times the expected duration of the engine's prefills. That is later than the
/// entry VM abandons it (`docs/design.md`, section 7).
const OVERDUE_GRACE: Duration = Duration::from_secs(3);
/// See [`OVERDUE_GRACE`].
const OVERDUE_FACTOR: u32 = 5;

/// Maximum number of jobs of one queue that are checked for expiry in one tick. The others are
/// checked in the next ticks.
const EXPIRY_BATCH_JOBS: usize = 16;

impl Scheduler {
    /// Returns a refusal if the queue is full, if no engine can run the job, or if its first token
    /// is expected after its deadline.
    pub(super) fn admit(&mut self, now: Time, entry: &Entry) -> Option<Action> {
        if entry.resumed() {
            return None;
        }
        let id = entry.job.id;
        let waiting = self.queues.iter().map(super::Queue::len).sum::<usize>();
        if waiting >= self.options.queue_limit {
            let wait = self.expected_wait(now, entry);
            return Some(self.refusal(id, Reason::QueueFull, Some(wait)));
        }
        let patient = entry.job.class == Class::Patient;
        let usable = |s: &EngineState| s.can_prefill() && s.is_live();
        if !patient && !self.engines.states.iter().any(usable) {
            return Some(self.refusal(id, Reason::NoUpstream, Some(RESUME_TIMEOUT)));
        }
        let first = now + self.expected_wait(now, entry) + entry.min_ttft;
        let late = first.since(entry.job.deadline);
        (!late.is_zero()).then(|| self.refusal(id, Reason::Deadline, Some(late)))
    }

    /// Returns the expected time from the start of a job on idle engines to its first token.
    pub(super) fn min_ttft(&self, entry: &Entry) -> Duration {
        let matches = self.prefixes.matches(&entry.job.prefix);
        let best = u32::from(matches.iter().copied().max().unwrap_or(0));
        let cached = best * self.options.block_tokens;
        let uncached_tokens = entry.job.prompt_tokens.saturating_sub(cached);
        self.estimates.prefill(uncached_tokens) + self.transfer_time(entry)
    }

    /// Returns the expected time of the transfer of the job's KV cache, which is zero if all
    /// engines have both roles.
    fn transfer_time(&self, entry: &Entry) -> Duration {
        let prefill_only = |s: &EngineState| s.engine.role == Role::Prefill;
        if self.engines.states.iter().any(prefill_only) {
            self.estimates.transfer(self.bytes(entry))
        } else {
            Duration::ZERO
        }
    }

    /// Returns the size of the job's KV cache in bytes.
    pub(super) fn bytes(&self, entry: &Entry) -> u64 {
        u64::from(entry.job.prompt_tokens) * self.options.token_bytes
    }

    /// Returns the expected time until a new job starts.
    fn expected_wait(&self, now: Time, entry: &Entry) -> Duration {
        let class = entry.job.class as usize;
        let queue = &self.queues[class];
        let mut tokens = queue.tokens_ahead(&entry.job.organisation, entry.job.prompt_tokens);
        let own = queue.jobs_for_tokens(tokens);
        let mut jobs = own;
        if entry.job.class == Class::Patient {
            let other = &self.queues[Class::Interactive as usize];
            tokens += other.tokens();
            jobs += to_f64(other.len() as u64);
        }
        let live = || self.engines.states.iter().filter(|s| s.is_live());
        let engines = live().filter(|s| s.can_prefill()).count();
        let slots = live()
            .filter(|s| s.can_decode())
            .map(|s| s.engine.slots)
            .sum::<u32>();
        let free = live()
            .filter(|s| s.can_decode())
            .map(EngineState::free_slots)
            .sum::<u32>();
        let for_prefill = self.estimates.queue_time(tokens, engines) + self.min_prefill_wait(now);
        let for_slot = self
            .estimates
            .slot_wait(jobs + 1.0 - f64::from(free), slots);
        let at_start_rate = queue.wait_at_start_rate(now, &entry.job.organisation, own);
        for_prefill.max(for_slot).max(at_start_rate)
    }

    /// Returns the expected time until the first prefill engine is available and idle.
    fn min_prefill_wait(&self, now: Time) -> Duration {
        let states = self.engines.states.iter();
        let live = states.filter(|s| s.is_live() && s.can_prefill());
        // After a change of the owner, an engine is paused only until its first load report,
        // which arrives soon, so this pause is not counted.
        let paused_until = |s: &EngineState| if s.failures > 0 { s.paused_until } else { now };
        let wait = |s: &EngineState| s.backlog(now).max(paused_until(s).since(now));
        live.map(wait).min().unwrap_or_default()
    }

    /// Refuses waiting jobs that can no longer meet their deadline, and restarts or refuses jobs
    /// whose prefill result was evicted or whose prefill is overdue.
    pub(super) fn refuse_expired(&mut self, now: Time) -> Vec<Action> {
        let waiting = self
            .queues
            .iter()
            .flat_map(|q| q.earliest(EXPIRY_BATCH_JOBS));
        let delayed = self.backoffs.iter().map(|(_, id)| *id);
        let awaiting_budget = self.awaiting_budget.iter().take(EXPIRY_BATCH_JOBS).copied();
        let all = waiting
            .chain(delayed)
            .chain(awaiting_budget)
            .chain(self.suspects.iter().copied());
        let ids: Vec<JobId> = all.collect();
        let refusals = ids
            .into_iter()
            .filter_map(|id| self.refuse_if_expired(now, id));
        let mut actions: Vec<Action> = refusals.collect();
        actions.extend(self.restart_evicted(now));
        actions.extend(self.abandon_overdue_prefills(now));
        actions
    }

    /// Restarts or refuses jobs whose prefill result was evicted while they waited for a decode
    /// slot.
    fn restart_evicted(&mut self, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some((since, id)) = self.ready.first().copied() {
            if now.since(since) < self.options.prefill_ttl {
                break;
            }
            self.release_engines(now, id);
            actions.extend(self.restart_or_refuse(now, id, Failure::Evicted));
        }
        actions
    }

    /// Abandons overdue prefills and restarts or refuses their jobs.
    ///
    /// Usually the entry VM abandons the call first and reports it. If that report is lost, the
    /// engine would otherwise accept no further prompts.
    fn abandon_overdue_prefills(&mut self, now: Time) -> Vec<Action> {
        let late = |s: &EngineState| {
            let expected = s.prefills.iter().map(|(_, time)| *time).sum::<Duration>();
            now.since(s.busy_until) > OVERDUE_GRACE + expected * OVERDUE_FACTOR
        };
        let states = self.engines.states.iter().filter(|s| late(s));
        let ids: Vec<JobId> = states.flat_map(|s| &s.prefills).map(|p| p.0).collect();
        let mut actions = Vec::new();
        for id in ids {
            let held = self
                .jobs
                .get(&id)
                .map_or_else(Vec::new, Entry::held_engines);
            actions.extend(self.cancel_on(id, &held));
            for index in held {
                self.engines.states[index].record_failure(now);
            }
            self.release_engines(now, id);
            actions.extend(self.restart_or_refuse(now, id, Failure::Lost));
        }
        actions
    }

    fn refuse_if_expired(&mut self, now: Time, id: JobId) -> Option<Action> {
        let entry = self.jobs.get(&id)?;
        let (limit, reason) = if entry.resumed() {
            (entry.since + RESUME_TIMEOUT, Reason::NoUpstream)
        } else {
            (entry.job.deadline - entry.min_ttft, Reason::Deadline)
        };
        if now <= limit {
            return None;
        }
        let wait = self.expected_wait(now, entry);
        self.remove_from_queues(id);
        self.remove_job(now, id);
        Some(self.refusal(id, reason, Some(wait)))
    }

    /// Builds a refusal. The retry time has jitter, so that refused callers do not retry at the
    /// same time.
    pub(super) fn refusal(&mut self, id: JobId, reason: Reason, wait: Option<Duration>) -> Action {
        let jitter = self.rng.random_range(1.0..1.5);
        let retry_after = wait.map(|w| w.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER).mul_f64(jitter));
        Action::Refuse {
            id,
            reason,
            retry_after,
        }
    }
}
