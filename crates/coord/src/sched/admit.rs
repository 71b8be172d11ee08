//! Early refusal: a job that cannot be served in time gets its answer at once.

use std::time::Duration;

use rand::RngExt;

use super::Scheduler;
use super::estimate::real;
use super::fleet::Slot;
use super::job::Entry;
use super::types::{Action, Class, Failure, JobId, Reason, Role};
use crate::time::Time;

/// Bounds of the time after which a refused caller may try again.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
const MAX_RETRY_AFTER: Duration = Duration::from_mins(1);

/// How long a cut stream waits for a new engine before it ends with an error.
const RESUME_LIMIT: Duration = Duration::from_secs(10);

/// A prefill without an answer is given up this long, and this many expected durations, after
/// its expected end: later than the entry VM gives up (design, section 7).
const ANSWER_LIMIT: Duration = Duration::from_secs(3);
const ANSWER_FACTOR: u32 = 5;

/// Jobs examined for expiry in one tick; the rest follow in the next ones.
const EXPIRY_BATCH: usize = 16;

impl Scheduler {
    /// Returns a refusal if the job's first token cannot be expected before its deadline.
    pub(super) fn admit(&mut self, now: Time, entry: &Entry) -> Option<Action> {
        if entry.resumed() {
            return None;
        }
        let id = entry.job.id;
        let waiting = self.queues.iter().map(super::Queue::len).sum::<usize>();
        if waiting >= self.options.queue_limit {
            let wait = self.wait(now, entry);
            return Some(self.refusal(id, Reason::QueueFull, Some(wait)));
        }
        let patient = entry.job.class == Class::Patient;
        let there = |s: &Slot| s.prefills_prompts() && s.live();
        if !patient && !self.fleet.slots.iter().any(there) {
            return Some(self.refusal(id, Reason::NoUpstream, Some(RESUME_LIMIT)));
        }
        let first = now + self.wait(now, entry) + entry.least;
        let late = first.since(entry.job.deadline);
        (!late.is_zero()).then(|| self.refusal(id, Reason::Deadline, Some(late)))
    }

    /// Returns the time from the start of a job to its first token on idle engines.
    pub(super) fn least(&self, entry: &Entry) -> Duration {
        let matches = self.prefixes.matches(&entry.job.prefix);
        let best = u32::from(matches.iter().copied().max().unwrap_or(0));
        let cached = best * self.options.block_tokens;
        let work = entry.job.prompt_tokens.saturating_sub(cached);
        self.estimates.prefill(work) + self.moving(entry)
    }

    /// Returns the time of the job's transfer; none if all engines have both roles.
    fn moving(&self, entry: &Entry) -> Duration {
        let moved = |s: &Slot| s.engine.role == Role::Prefill;
        if self.fleet.slots.iter().any(moved) {
            self.estimates.transfer(self.bytes(entry))
        } else {
            Duration::ZERO
        }
    }

    /// Returns the bytes of the job's KV cache.
    pub(super) fn bytes(&self, entry: &Entry) -> u64 {
        u64::from(entry.job.prompt_tokens) * self.options.token_bytes
    }

    /// Returns the expected time until the start of a new job.
    fn wait(&self, now: Time, entry: &Entry) -> Duration {
        let class = entry.job.class as usize;
        let queue = &self.queues[class];
        let mut tokens = queue.tokens_ahead(&entry.job.organisation, entry.job.prompt_tokens);
        let own = queue.share_of(tokens);
        let mut jobs = own;
        if entry.job.class == Class::Patient {
            let other = &self.queues[Class::Interactive as usize];
            tokens += other.tokens();
            jobs += real(other.len() as u64);
        }
        let live = || self.fleet.slots.iter().filter(|s| s.live());
        let engines = live().filter(|s| s.prefills_prompts()).count();
        let slots = live()
            .filter(|s| s.decodes())
            .map(|s| s.engine.slots)
            .sum::<u32>();
        let free = live().filter(|s| s.decodes()).map(Slot::free).sum::<u32>();
        let for_prefill = self.estimates.backlog(tokens, engines) + self.soonest(now);
        let for_slot = self
            .estimates
            .slot_wait(jobs + 1.0 - f64::from(free), slots);
        let at_pace = queue.wait_at_pace(now, &entry.job.organisation, own);
        for_prefill.max(for_slot).max(at_pace)
    }

    /// Returns the time until the first prefill engine is expected to be open and idle.
    fn soonest(&self, now: Time) -> Duration {
        let slots = self.fleet.slots.iter();
        let live = slots.filter(|s| s.live() && s.prefills_prompts());
        // An unconfirmed engine of a new owner opens with its first report, which is soon.
        let closed = |s: &Slot| if s.failures > 0 { s.closed_until } else { now };
        let wait = |s: &Slot| s.busy(now).max(closed(s).since(now));
        live.map(wait).min().unwrap_or_default()
    }

    /// Refuses waiting jobs whose deadline can no longer be met.
    pub(super) fn expire(&mut self, now: Time) -> Vec<Action> {
        let waiting = self.queues.iter().flat_map(|q| q.earliest(EXPIRY_BATCH));
        let delayed = self.backoffs.iter().map(|(_, id)| *id);
        let unpaid = self.unpaid.iter().take(EXPIRY_BATCH).copied();
        let all = waiting
            .chain(delayed)
            .chain(unpaid)
            .chain(self.suspects.iter().copied());
        let ids: Vec<JobId> = all.collect();
        let refusals = ids.into_iter().filter_map(|id| self.expire_one(now, id));
        let mut actions: Vec<Action> = refusals.collect();
        actions.extend(self.evict_ready(now));
        actions.extend(self.give_up_prefills(now));
        actions
    }

    /// Starts jobs again whose prefill result was evicted while they waited for a slot.
    fn evict_ready(&mut self, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some((since, id)) = self.ready.first().copied() {
            if now.since(since) < self.options.prefill_ttl {
                break;
            }
            self.vacate(now, id);
            actions.extend(self.again(now, id, Failure::Evicted));
        }
        actions
    }

    /// Starts prefills again for which no answer came.
    ///
    /// The entry VM gives up first and reports it; this covers a report that was lost, which
    /// would keep the engine closed to other prompts.
    fn give_up_prefills(&mut self, now: Time) -> Vec<Action> {
        let late = |s: &Slot| {
            let expected = s.prefills.iter().map(|(_, time)| *time).sum::<Duration>();
            now.since(s.busy_until) > ANSWER_LIMIT + expected * ANSWER_FACTOR
        };
        let slots = self.fleet.slots.iter().filter(|s| late(s));
        let ids: Vec<JobId> = slots.flat_map(|s| &s.prefills).map(|p| p.0).collect();
        let mut actions = Vec::new();
        for id in ids {
            let held = self.jobs.get(&id).map_or_else(Vec::new, Entry::holds);
            actions.extend(self.cancel_on(id, &held));
            for index in held {
                self.fleet.slots[index].failed(now);
            }
            self.vacate(now, id);
            actions.extend(self.again(now, id, Failure::Lost));
        }
        actions
    }

    fn expire_one(&mut self, now: Time, id: JobId) -> Option<Action> {
        let entry = self.jobs.get(&id)?;
        let (limit, reason) = if entry.resumed() {
            (entry.since + RESUME_LIMIT, Reason::NoUpstream)
        } else {
            (entry.job.deadline - entry.least, Reason::Deadline)
        };
        if now <= limit {
            return None;
        }
        let wait = self.wait(now, entry);
        self.withdraw(id);
        self.forget(now, id);
        Some(self.refusal(id, reason, Some(wait)))
    }

    /// Builds a refusal with a jittered time, so that refused callers do not return together.
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
