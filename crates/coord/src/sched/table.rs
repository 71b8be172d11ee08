//! The engines of the cell, with the slots and prefills that the scheduler has assigned to them.

use std::collections::BTreeMap;
use std::time::Duration;

use super::types::{Engine, EngineStatus, JobId, Role};
use crate::name::Upstream;
use crate::time::Time;

/// Time for which an engine gets no new jobs after its first failure.
///
/// The published list shows the death of an engine only seconds later. Without the pause, every
/// job would be tried on the dead engine first.
const BASE_PAUSE: Duration = Duration::from_millis(200);

/// Maximum number of doublings of the pause, which is then 6.4 s.
const MAX_PAUSE_DOUBLINGS: u32 = 5;

/// Whether an engine accepts jobs, as given by the published list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Health {
    /// Accepts new jobs.
    Live,
    /// Finishes its jobs and accepts no new ones.
    Draining,
    /// Is dead. Its index is reused for another engine when no job refers to it.
    Down,
}

/// An engine with the load that the scheduler has assigned to it.
#[derive(Debug)]
pub(super) struct EngineState {
    pub(super) engine: Engine,
    pub(super) health: Health,
    /// Number of decode slots that imports and streams occupy.
    pub(super) used_slots: u32,
    /// Number of decode slots reserved for prefills that are running or wait for their import.
    pub(super) reserved_slots: u32,
    /// Number of decode slots held by jobs that the scheduler does not know, as last reported.
    pub(super) untracked_slots: u32,
    /// Prefills that have not ended, with their expected durations.
    pub(super) prefills: Vec<(JobId, Duration)>,
    /// When the last of these prefills is expected to end.
    pub(super) busy_until: Time,
    /// The engine gets no new jobs before this instant, because it failed or has not reported its
    /// load to a new owner yet.
    pub(super) paused_until: Time,
    /// The engine gets no new prefills and imports before this instant, because it reported that
    /// it is full.
    pub(super) full_until: Time,
    /// Number of consecutive failures, which determines the next pause.
    pub(super) failures: u32,
    /// True while the engine is kept for a suspect that must run alone.
    pub(super) isolated: bool,
}

impl EngineState {
    fn new(now: Time, engine: Engine) -> Self {
        Self {
            engine,
            health: Health::Live,
            used_slots: 0,
            reserved_slots: 0,
            untracked_slots: 0,
            prefills: Vec::new(),
            busy_until: now,
            paused_until: now,
            full_until: now,
            failures: 0,
            isolated: false,
        }
    }

    /// Returns true if the engine is down and no job refers to it, so its index can be reused.
    fn is_vacant(&self) -> bool {
        self.health == Health::Down && self.is_idle()
    }

    /// Returns true if no job of this scheduler runs on the engine or has a slot reserved.
    pub(super) fn is_idle(&self) -> bool {
        self.used_slots == 0 && self.reserved_slots == 0 && self.prefills.is_empty()
    }

    /// Returns the expected time until the started prefills end.
    ///
    /// If they are overdue, the time by which they are overdue is returned, so that an engine that
    /// makes no progress becomes less and less attractive.
    pub(super) fn backlog(&self, now: Time) -> Duration {
        if self.prefills.is_empty() {
            return Duration::ZERO;
        }
        self.busy_until.since(now) + now.since(self.busy_until)
    }

    /// Adds a prefill with its expected duration.
    pub(super) fn prefill_started(&mut self, now: Time, id: JobId, duration: Duration) {
        self.busy_until = self.busy_until.max(now) + duration;
        self.prefills.push((id, duration));
    }

    /// Removes a prefill and computes the expected end of the others from their durations.
    pub(super) fn prefill_ended(&mut self, now: Time, id: JobId) {
        self.prefills.retain(|(other, _)| *other != id);
        let rest = self
            .prefills
            .iter()
            .map(|(_, duration)| *duration)
            .sum::<Duration>();
        self.busy_until = now + rest;
    }

    /// Pauses the engine for a time that doubles with each consecutive failure.
    pub(super) fn record_failure(&mut self, now: Time) {
        let pause = BASE_PAUSE * (1 << self.failures.min(MAX_PAUSE_DOUBLINGS));
        self.failures += 1;
        self.paused_until = self.paused_until.max(now + pause);
    }

    /// Returns true if the engine accepts new jobs, now or after a pause.
    pub(super) fn is_live(&self) -> bool {
        self.health == Health::Live
    }

    /// Returns true if new jobs may be started on the engine now.
    pub(super) fn is_available(&self, now: Time) -> bool {
        self.health == Health::Live && self.paused_until <= now && !self.isolated
    }

    /// Returns true if a job that has reserved a slot may use it.
    ///
    /// A failure counts only until its pause is over, not until the next success, because an
    /// engine that is kept for one suspect runs no other job that could succeed.
    pub(super) fn accepts_reserved(&self, now: Time) -> bool {
        self.is_live() && (self.failures == 0 || self.paused_until <= now)
    }

    /// Returns the number of decode slots that are neither used nor reserved.
    pub(super) fn free_slots(&self) -> u32 {
        let taken = self.used_slots + self.reserved_slots + self.untracked_slots;
        self.engine.slots.saturating_sub(taken)
    }

    /// Returns true if the role of the engine includes prefill.
    pub(super) fn can_prefill(&self) -> bool {
        self.engine.role != Role::Decode
    }

    /// Returns true if the role of the engine includes decode.
    pub(super) fn can_decode(&self) -> bool {
        self.engine.role != Role::Prefill
    }
}

/// The engines of the cell. An engine keeps its index until it is down and unused.
#[derive(Debug, Default)]
pub(super) struct EngineTable {
    pub(super) states: Vec<EngineState>,
    indices: BTreeMap<Upstream, usize>,
}

impl EngineTable {
    /// Adds an engine, or updates a known one and makes it live. Returns its index.
    ///
    /// The load of a known engine is kept, because its jobs are removed when their failures are
    /// reported.
    pub(super) fn insert_or_update(&mut self, now: Time, engine: Engine) -> usize {
        if let Some(index) = self.index(&engine.name) {
            let state = &mut self.states[index];
            if state.health != Health::Live {
                state.paused_until = now;
                state.failures = 0;
            }
            state.health = Health::Live;
            state.engine = engine;
            return index;
        }
        let name = engine.name.clone();
        let state = EngineState::new(now, engine);
        let index = self.first_vacant().unwrap_or(self.states.len());
        if index < self.states.len() {
            self.indices.remove(&self.states[index].engine.name);
            self.states[index] = state;
        } else {
            self.states.push(state);
        }
        self.indices.insert(name, index);
        index
    }

    /// Returns the index of an engine. If the published list has not contained it yet, it is added
    /// as a draining engine without slots.
    pub(super) fn get_or_insert(&mut self, now: Time, name: &Upstream) -> usize {
        if let Some(index) = self.index(name) {
            return index;
        }
        let engine = Engine {
            name: name.clone(),
            data_centre: "".into(),
            role: Role::Both,
            slots: 0,
        };
        let index = self.insert_or_update(now, engine);
        self.states[index].health = Health::Draining;
        index
    }

    fn first_vacant(&self) -> Option<usize> {
        self.states.iter().position(EngineState::is_vacant)
    }

    /// Returns the index of a known engine.
    pub(super) fn index(&self, name: &Upstream) -> Option<usize> {
        self.indices.get(name).copied()
    }

    /// Returns the number of decode slots of all engines that are not down.
    pub(super) fn total_slots(&self) -> u32 {
        let present = self.states.iter().filter(|s| s.health != Health::Down);
        present.map(|s| s.engine.slots).sum()
    }

    /// Returns an engine's name.
    pub(super) fn name(&self, index: usize) -> Upstream {
        self.states[index].engine.name.clone()
    }

    /// Returns the engines that are not down, for the status page.
    pub(super) fn status(&self, now: Time) -> Vec<EngineStatus> {
        let known = self.indices.values().map(|i| &self.states[*i]);
        known
            .filter(|s| s.health != Health::Down)
            .map(|s| EngineStatus {
                name: s.engine.name.clone(),
                role: s.engine.role,
                accepts_jobs: s.is_available(now),
                slots: s.engine.slots,
                used: s.used_slots + s.reserved_slots + s.untracked_slots,
                prefills: u32::try_from(s.prefills.len()).unwrap_or(u32::MAX),
            })
            .collect()
    }
}
