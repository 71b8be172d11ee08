//! Starts waiting jobs on engines that have room.

use std::time::Duration;

use super::Scheduler;
use super::job::{Entry, Phase};
use super::place::{Candidates, Choice};
use super::types::{Action, Class, JobId, Role};
use crate::time::Time;

/// Waiting jobs that one decision looks at: enough to pass jobs that wait for a busy engine
/// with their prefix, few enough for the time limit of a decision.
const WINDOW: usize = 8;

/// Share of the slots that patient work gets before interactive work.
const PATIENT_SHARE: u32 = 10;

/// Share of the slots that patient work leaves free, in percent.
const INTERACTIVE_RESERVE: u32 = 10;

/// The reserve is kept this long after the last interactive job.
const RESERVE_TIME: Duration = Duration::from_mins(1);

/// Engines that are kept for one suspect.
#[derive(Clone, Copy, Debug)]
pub(super) struct Isolation {
    pub(super) id: JobId,
    pub(super) prefill: usize,
    pub(super) decode: usize,
}

impl Scheduler {
    /// Starts everything that can start now.
    pub(super) fn dispatch(&mut self, now: Time) -> Vec<Action> {
        let mut actions = self.start_ready(now);
        self.requeue_due(now);
        self.start_suspect(now, &mut actions);
        while self.any_prefill(now) && self.start_some(now, &mut actions) {}
        actions
    }

    /// Looks at the first jobs in order; returns true if one of them was started.
    fn start_some(&mut self, now: Time, out: &mut Vec<Action>) -> bool {
        let mut started = false;
        let mut engines = self.survey(now);
        for id in self.candidates() {
            let Some((choice, slot)) = self.choose(now, id, &engines) else {
                continue;
            };
            if let Some(decode) = slot {
                out.push(self.start(now, id, choice, decode));
                started = true;
            }
            Self::plan(&mut engines, &choice);
            if !engines.iter().any(super::place::Candidate::free) {
                break;
            }
        }
        started
    }

    /// Returns the engine of a waiting job, with its slot if engine, slot and link have room.
    fn choose(
        &self,
        now: Time,
        id: JobId,
        engines: &Candidates,
    ) -> Option<(Choice, Option<usize>)> {
        let entry = self.jobs.get(&id)?;
        let choice = self.place(now, entry, engines)?;
        let room = choice.free && self.link_fits(now, entry, &choice);
        let decode = room.then(|| self.slot_for(now, entry, &choice)).flatten();
        Some((choice, decode))
    }

    /// Returns the first waiting jobs of both classes in the order in which they may start.
    fn candidates(&self) -> Vec<JobId> {
        let [interactive, patient] = &self.queues;
        let guaranteed = (self.fleet.total_slots() / PATIENT_SHARE).max(1);
        let owed = guaranteed.saturating_sub(self.in_use[Class::Patient as usize]) as usize;
        let mut ids = patient.first(owed.min(WINDOW / 2));
        let ahead = ids.len();
        ids.extend(interactive.first(WINDOW - ahead));
        let rest = patient.first(WINDOW);
        ids.extend(rest.into_iter().skip(ahead));
        ids.truncate(WINDOW);
        ids
    }

    /// Returns the slots that a job of `class` must leave free.
    pub(super) fn reserve(&self, now: Time, class: Class) -> u32 {
        let recent = self
            .interactive_at
            .is_some_and(|at| now.since(at) < RESERVE_TIME);
        if class == Class::Interactive || !recent {
            return 0;
        }
        let total = self.fleet.total_slots();
        if self.in_use[Class::Patient as usize] < (total / PATIENT_SHARE).max(1) {
            return 0;
        }
        total * INTERACTIVE_RESERVE / 100
    }

    /// Starts a job's prefill and reserves its slot and its link room.
    pub(super) fn start(&mut self, now: Time, id: JobId, choice: Choice, decode: usize) -> Action {
        self.dequeue(id, Some(now));
        let time = Duration::from_micros(choice.time);
        self.fleet.slots[choice.prefill].prefill_started(now, id, time);
        if let Some(entry) = self.jobs.get(&id) {
            let bytes = self.bytes(entry);
            self.homes.used(now, &entry.job.prefix, choice.prefill);
            self.promise(id, bytes, choice.prefill);
        }
        self.fleet.slots[decode].reserved += 1;
        let mut attempt = super::Attempt::default();
        if let Some(entry) = self.jobs.get_mut(&id) {
            self.in_use[entry.job.class as usize] += 1;
            entry.attempt.0 += 1;
            entry.since = now;
            entry.work = choice.work;
            entry.phase = Phase::Prefill {
                prefill: choice.prefill,
                decode,
            };
            attempt = entry.attempt;
        }
        Action::StartPrefill {
            id,
            attempt,
            prefill: self.fleet.name(choice.prefill),
            decode: self.fleet.name(decode),
        }
    }

    /// Reserves link room for the last prefill that was started on the engine `source`.
    pub(super) fn promise(&mut self, id: JobId, bytes: u64, source: usize) {
        let slot = &self.fleet.slots[source];
        let ready = slot.busy_until;
        if slot.engine.role != Role::Both {
            self.links
                .reserve(&slot.engine.data_centre, id, ready, bytes);
        }
    }

    /// Gives free slots to finished prefills, oldest first: they are evicted first.
    fn start_ready(&mut self, now: Time) -> Vec<Action> {
        let ids: Vec<JobId> = self.ready.iter().map(|(_, id)| *id).collect();
        ids.into_iter()
            .filter_map(|id| self.start_decode(now, id))
            .collect()
    }

    /// Starts the decode of a finished prefill if a slot is free.
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
        let alone = self.jobs.get(&id)?.job.suspect;
        let decode = self.slot_now(now, source, reserved)?;
        if alone && decode != reserved {
            return None;
        }
        self.ready.remove(&(since, id));
        self.fleet.slots[reserved].reserved -= 1;
        self.fleet.slots[decode].used += 1;
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
            decode: self.fleet.name(decode),
            source: self.fleet.name(source),
        })
    }

    /// Starts the isolated suspect when its engines are empty, or chooses engines for one.
    fn start_suspect(&mut self, now: Time, out: &mut Vec<Action>) {
        let kept = |i: usize| self.fleet.slots[i].takes_reserved(now);
        let lost = |i: &Isolation| !kept(i.prefill) || !kept(i.decode);
        if self.isolation.as_ref().is_some_and(lost) && self.suspects_wait() {
            self.end_isolation();
        }
        if self.isolation.is_none() {
            self.begin_isolation(now);
        }
        let Some(kept) = self.isolation else {
            return;
        };
        let ready = [kept.prefill, kept.decode]
            .iter()
            .all(|i| self.fleet.slots[*i].idle());
        if !ready || !self.suspects.contains(&kept.id) {
            return;
        }
        if let Some(entry) = self.jobs.get(&kept.id) {
            let choice = self.alone(entry, kept.prefill);
            out.push(self.start(now, kept.id, choice, kept.decode));
        }
    }

    /// Returns true if the isolated suspect has not been started.
    fn suspects_wait(&self) -> bool {
        let kept = self.isolation.as_ref();
        kept.is_some_and(|i| self.suspects.contains(&i.id))
    }

    /// Keeps the least used engines for the first suspect, so that they run empty.
    fn begin_isolation(&mut self, now: Time) {
        let Some(id) = self.suspects.first().copied() else {
            return;
        };
        let open = || {
            self.fleet
                .slots
                .iter()
                .enumerate()
                .filter(|(_, s)| s.open(now))
        };
        let load = |s: &super::fleet::Slot| (s.prefills.len(), s.used + s.reserved);
        let prefill = open().filter(|(_, s)| s.prefills_prompts());
        let Some((prefill, source)) = prefill.min_by_key(|(_, s)| load(s)) else {
            return;
        };
        let both = source.engine.role == Role::Both;
        let decode =
            open().filter(|(i, s)| s.engine.slots > 0 && s.decodes() && (!both || *i == prefill));
        let Some((decode, _)) = decode.min_by_key(|(_, s)| load(s)) else {
            return;
        };
        self.fleet.slots[prefill].isolated = true;
        self.fleet.slots[decode].isolated = true;
        self.isolation = Some(Isolation {
            id,
            prefill,
            decode,
        });
    }

    /// Opens the engines of the isolated suspect again.
    pub(super) fn end_isolation(&mut self) {
        if let Some(kept) = self.isolation.take() {
            self.fleet.slots[kept.prefill].isolated = false;
            self.fleet.slots[kept.decode].isolated = false;
        }
    }

    fn alone(&self, entry: &Entry, prefill: usize) -> Choice {
        let work = entry.job.prompt_tokens;
        Choice {
            prefill,
            work,
            time: self.estimates.prefill_micros(work),
            free: true,
        }
    }
}
