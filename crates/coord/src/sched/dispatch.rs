//! Starts waiting jobs on engines with free capacity.

use std::time::Duration;

use super::Scheduler;
use super::job::{Entry, Phase};
use super::place::{Candidates, Choice};
use super::types::{Action, Class, JobId, Role};
use crate::time::Time;

/// Number of waiting jobs that one pass considers. It is large enough to start jobs behind others
/// that wait for a busy engine with their prefix, and small enough for the time limit of a
/// scheduling decision.
const DISPATCH_WINDOW_JOBS: usize = 8;

/// One in this many slots, but at least one slot, is guaranteed to patient jobs even while
/// interactive jobs wait.
const PATIENT_SHARE_DIVISOR: u32 = 10;

/// Share of the slots that patient jobs leave free for interactive jobs.
const INTERACTIVE_RESERVE_PERCENT: u32 = 10;

/// Time after the last interactive job for which slots are kept free.
const RESERVE_RETENTION: Duration = Duration::from_mins(1);

/// The engines that are kept for one suspect, a job that must run alone.
#[derive(Clone, Copy, Debug)]
pub(super) struct Isolation {
    pub(super) id: JobId,
    pub(super) prefill: usize,
    pub(super) decode: usize,
}

impl Scheduler {
    /// Starts all jobs that can start now.
    pub(super) fn dispatch(&mut self, now: Time) -> Vec<Action> {
        let mut actions = self.start_ready(now);
        self.requeue_due(now);
        self.start_suspect(now, &mut actions);
        while self.any_engine_accepts_prompt(now) && self.start_batch(now, &mut actions) {}
        actions
    }

    /// Makes one pass over the first jobs of the queues. Returns true if it started a job.
    fn start_batch(&mut self, now: Time, out: &mut Vec<Action>) -> bool {
        let mut started = false;
        let mut engines = self.available_engines(now);
        for id in self.candidates() {
            let Some((choice, slot)) = self.choose(now, id, &engines) else {
                continue;
            };
            if let Some(decode) = slot {
                out.push(self.start(now, id, choice, decode));
                started = true;
            }
            Self::mark_taken(&mut engines, &choice);
            if !engines.iter().any(super::place::Candidate::is_available) {
                break;
            }
        }
        started
    }

    /// Returns the prefill engine for a waiting job, and the engine with its decode slot if prefill
    /// engine, decode slot and link have free capacity now.
    fn choose(
        &self,
        now: Time,
        id: JobId,
        engines: &Candidates,
    ) -> Option<(Choice, Option<usize>)> {
        let entry = self.jobs.get(&id)?;
        let choice = self.place(now, entry, engines)?;
        let room = choice.available && self.link_fits(now, entry, &choice);
        let decode = room
            .then(|| self.reservable_slot(now, entry, &choice))
            .flatten();
        Some((choice, decode))
    }

    /// Returns the first waiting jobs of both classes in the order in which they may start: patient
    /// jobs up to their guaranteed share, then interactive jobs, then other patient jobs.
    fn candidates(&self) -> Vec<JobId> {
        let [interactive, patient] = &self.queues;
        let guaranteed = (self.engines.total_slots() / PATIENT_SHARE_DIVISOR).max(1);
        let missing =
            guaranteed.saturating_sub(self.started_jobs[Class::Patient as usize]) as usize;
        let mut ids = patient.next_jobs(missing.min(DISPATCH_WINDOW_JOBS / 2));
        let ahead = ids.len();
        ids.extend(interactive.next_jobs(DISPATCH_WINDOW_JOBS - ahead));
        let rest = patient.next_jobs(DISPATCH_WINDOW_JOBS);
        ids.extend(rest.into_iter().skip(ahead));
        ids.truncate(DISPATCH_WINDOW_JOBS);
        ids
    }

    /// Returns the number of slots that a job of `class` must leave free.
    pub(super) fn reserve(&self, now: Time, class: Class) -> u32 {
        let recent = self
            .last_interactive
            .is_some_and(|at| now.since(at) < RESERVE_RETENTION);
        if class == Class::Interactive || !recent {
            return 0;
        }
        let total = self.engines.total_slots();
        if self.started_jobs[Class::Patient as usize] < (total / PATIENT_SHARE_DIVISOR).max(1) {
            return 0;
        }
        total * INTERACTIVE_RESERVE_PERCENT / 100
    }

    /// Starts the prefill of a job and reserves its decode slot and link capacity.
    pub(super) fn start(&mut self, now: Time, id: JobId, choice: Choice, decode: usize) -> Action {
        self.dequeue(id, Some(now));
        let time = Duration::from_micros(choice.prefill_us);
        self.engines.states[choice.prefill].prefill_started(now, id, time);
        if let Some(entry) = self.jobs.get(&id) {
            let bytes = self.bytes(entry);
            self.affinity
                .record_use(now, &entry.job.prefix, choice.prefill);
            self.reserve_link(id, bytes, choice.prefill);
        }
        self.engines.states[decode].reserved_slots += 1;
        let mut attempt = super::Attempt::default();
        if let Some(entry) = self.jobs.get_mut(&id) {
            self.started_jobs[entry.job.class as usize] += 1;
            entry.attempt.0 += 1;
            entry.since = now;
            entry.uncached_tokens = choice.uncached_tokens;
            entry.phase = Phase::Prefill {
                prefill: choice.prefill,
                decode,
            };
            attempt = entry.attempt;
        }
        Action::StartPrefill {
            id,
            attempt,
            prefill: self.engines.name(choice.prefill),
            decode: self.engines.name(decode),
        }
    }

    /// Reserves link capacity for the prefill that was started last on the engine `source`.
    pub(super) fn reserve_link(&mut self, id: JobId, bytes: u64, source: usize) {
        let state = &self.engines.states[source];
        let ready = state.busy_until;
        if state.engine.role != Role::Both {
            self.links
                .reserve(&state.engine.data_centre, id, ready, bytes);
        }
    }

    /// Starts the decodes of finished prefills that have a free slot, oldest first, because their
    /// results are evicted first.
    fn start_ready(&mut self, now: Time) -> Vec<Action> {
        let ids: Vec<JobId> = self.ready.iter().map(|(_, id)| *id).collect();
        ids.into_iter()
            .filter_map(|id| self.start_decode(now, id))
            .collect()
    }

    /// Starts the decode of a finished prefill if a decode slot is free.
    pub(super) fn start_decode(&mut self, now: Time, id: JobId) -> Option<Action> {
        let phase = self.jobs.get(&id)?.phase;
        let Phase::Ready {
            source,
            decode: reserved,
            since,
        } = phase
        else {
            return None;
        };
        let is_suspect = self.jobs.get(&id)?.job.suspect;
        let decode = self.free_slot_for(now, source, reserved)?;
        if is_suspect && decode != reserved {
            return None;
        }
        self.ready.remove(&(since, id));
        self.engines.states[reserved].reserved_slots -= 1;
        self.engines.states[decode].used_slots += 1;
        let entry = self.jobs.get_mut(&id)?;
        entry.attempt.0 += 1;
        entry.since = now;
        entry.phase = Phase::Decode {
            source,
            decode,
            streaming: false,
        };
        let attempt = entry.attempt;
        Some(Action::StartDecode {
            id,
            attempt,
            decode: self.engines.name(decode),
            source: self.engines.name(source),
        })
    }

    /// Starts the isolated suspect when its engines are idle, or chooses engines for the next one.
    fn start_suspect(&mut self, now: Time, out: &mut Vec<Action>) {
        let usable = |i: usize| self.engines.states[i].accepts_reserved(now);
        let unusable = |i: &Isolation| !usable(i.prefill) || !usable(i.decode);
        if self.isolation.as_ref().is_some_and(unusable) && self.isolated_job_waits() {
            self.end_isolation();
        }
        if self.isolation.is_none() {
            self.begin_isolation(now);
        }
        let Some(isolation) = self.isolation else {
            return;
        };
        let ready = [isolation.prefill, isolation.decode]
            .iter()
            .all(|i| self.engines.states[*i].is_idle());
        if !ready || !self.suspects.contains(&isolation.id) {
            return;
        }
        if let Some(entry) = self.jobs.get(&isolation.id) {
            let choice = self.isolated_choice(entry, isolation.prefill);
            out.push(self.start(now, isolation.id, choice, isolation.decode));
        }
    }

    /// Returns true if the isolated suspect waits for its start.
    fn isolated_job_waits(&self) -> bool {
        let isolation = self.isolation.as_ref();
        isolation.is_some_and(|i| self.suspects.contains(&i.id))
    }

    /// Keeps the least loaded engines for the first suspect, so that they finish their jobs and
    /// become idle.
    fn begin_isolation(&mut self, now: Time) {
        let Some(id) = self.suspects.first().copied() else {
            return;
        };
        let available = || {
            self.engines
                .states
                .iter()
                .enumerate()
                .filter(|(_, s)| s.is_available(now))
        };
        let key =
            |s: &super::table::EngineState| (s.prefills.len(), s.used_slots + s.reserved_slots);
        let prefill = available().filter(|(_, s)| s.can_prefill());
        let Some((prefill, source)) = prefill.min_by_key(|(_, s)| key(s)) else {
            return;
        };
        let both = source.engine.role == Role::Both;
        let decode = available()
            .filter(|(i, s)| s.engine.slots > 0 && s.can_decode() && (!both || *i == prefill));
        let Some((decode, _)) = decode.min_by_key(|(_, s)| key(s)) else {
            return;
        };
        self.engines.states[prefill].isolated = true;
        self.engines.states[decode].isolated = true;
        self.isolation = Some(Isolation {
            id,
            prefill,
            decode,
        });
    }

    /// Makes the engines of the isolated suspect available to other jobs again.
    pub(super) fn end_isolation(&mut self) {
        if let Some(isolation) = self.isolation.take() {
            self.engines.states[isolation.prefill].isolated = false;
            self.engines.states[isolation.decode].isolated = false;
        }
    }

    fn isolated_choice(&self, entry: &Entry, prefill: usize) -> Choice {
        let uncached_tokens = entry.job.prompt_tokens;
        Choice {
            prefill,
            uncached_tokens,
            prefill_us: self.estimates.prefill_micros(uncached_tokens),
            available: true,
        }
    }
}
