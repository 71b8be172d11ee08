//! The engines of the cell and what the scheduler has placed on them.

use std::collections::BTreeMap;
use std::time::Duration;

use super::types::{Engine, EngineStatus, JobId, Role};
use crate::name::Upstream;
use crate::time::Time;

/// The closure after the first failure of an engine.
///
/// The published list names a dead engine only seconds later; without the closure, every job
/// would try it first.
const FIRST_CLOSURE: Duration = Duration::from_millis(200);

/// Doublings of the closure, up to 6.4 s.
const MAX_DOUBLINGS: u32 = 5;

/// Whether an engine takes work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Health {
    /// Takes new work.
    Live,
    /// Finishes its work and takes no new work.
    Leaving,
    /// Gone; its place may be taken by another engine.
    Down,
}

/// An engine with the scheduler's own account of its use.
#[derive(Debug)]
pub(super) struct Slot {
    pub(super) engine: Engine,
    pub(super) health: Health,
    /// Decode slots that streams occupy.
    pub(super) used: u32,
    /// Decode slots reserved for running prefills.
    pub(super) reserved: u32,
    /// Slots held by ids that the scheduler does not know.
    pub(super) foreign: u32,
    /// Prefills that were started and have not ended, with their expected durations.
    pub(super) prefills: Vec<(JobId, Duration)>,
    /// When the started prefills are expected to end.
    pub(super) busy_until: Time,
    /// No new work before this instant, because the engine refused or failed.
    pub(super) closed_until: Time,
    /// No slot of this engine is tried before this instant, because it reported to be full.
    pub(super) full_until: Time,
    /// Failures in a row, for the length of the next closure.
    pub(super) failures: u32,
    /// True while the engine is kept for one suspect.
    pub(super) isolated: bool,
}

impl Slot {
    fn new(now: Time, engine: Engine) -> Self {
        Self {
            engine,
            health: Health::Live,
            used: 0,
            reserved: 0,
            foreign: 0,
            prefills: Vec::new(),
            busy_until: now,
            closed_until: now,
            full_until: now,
            failures: 0,
            isolated: false,
        }
    }

    /// Returns true if the engine is gone and nothing refers to it.
    fn vacant(&self) -> bool {
        self.health == Health::Down && self.idle()
    }

    /// Returns true if no job of this scheduler is on the engine.
    pub(super) fn idle(&self) -> bool {
        self.used == 0 && self.reserved == 0 && self.prefills.is_empty()
    }

    /// Returns the expected time until the started prefills end.
    ///
    /// An overdue prefill is expected to take as long again, so that a stuck engine is avoided
    /// more and more.
    pub(super) fn busy(&self, now: Time) -> Duration {
        if self.prefills.is_empty() {
            return Duration::ZERO;
        }
        self.busy_until.since(now) + now.since(self.busy_until)
    }

    /// Adds a prefill that is expected to take `time`.
    pub(super) fn prefill_started(&mut self, now: Time, id: JobId, time: Duration) {
        self.busy_until = self.busy_until.max(now) + time;
        self.prefills.push((id, time));
    }

    /// Removes a prefill and expects the end of the others from their own durations.
    pub(super) fn prefill_ended(&mut self, now: Time, id: JobId) {
        self.prefills.retain(|(other, _)| *other != id);
        let rest = self
            .prefills
            .iter()
            .map(|(_, time)| *time)
            .sum::<Duration>();
        self.busy_until = now + rest;
    }

    /// Closes the engine for a time that doubles with each failure in a row.
    pub(super) fn failed(&mut self, now: Time) {
        let pause = FIRST_CLOSURE * (1 << self.failures.min(MAX_DOUBLINGS));
        self.failures += 1;
        self.closed_until = self.closed_until.max(now + pause);
    }

    /// Returns true if the engine takes new work, now or after a closure.
    pub(super) fn live(&self) -> bool {
        self.health == Health::Live
    }

    /// Returns true if new work may be placed here.
    pub(super) fn open(&self, now: Time) -> bool {
        self.health == Health::Live && self.closed_until <= now && !self.isolated
    }

    /// Returns true if a job that has reserved a slot may use it.
    ///
    /// A failure counts until its closure is over, not until the next success: an engine that is
    /// kept for one suspect has no other job that could succeed.
    pub(super) fn takes_reserved(&self, now: Time) -> bool {
        self.live() && (self.failures == 0 || self.closed_until <= now)
    }

    /// Returns the slots that are neither used nor reserved.
    pub(super) fn free(&self) -> u32 {
        let taken = self.used + self.reserved + self.foreign;
        self.engine.slots.saturating_sub(taken)
    }

    /// Returns true if the engine can compute prompts.
    pub(super) fn prefills_prompts(&self) -> bool {
        self.engine.role != Role::Decode
    }

    /// Returns true if the engine can import and generate.
    pub(super) fn decodes(&self) -> bool {
        self.engine.role != Role::Prefill
    }
}

/// The cell's engines by index and name.
#[derive(Debug, Default)]
pub(super) struct Fleet {
    pub(super) slots: Vec<Slot>,
    names: BTreeMap<Upstream, usize>,
}

impl Fleet {
    /// Adds an engine, or opens a known one again; returns its index.
    ///
    /// The account of a known engine is kept: its jobs leave when their failure is reported.
    pub(super) fn up(&mut self, now: Time, engine: Engine) -> usize {
        if let Some(index) = self.index(&engine.name) {
            let slot = &mut self.slots[index];
            if slot.health != Health::Live {
                slot.closed_until = now;
                slot.failures = 0;
            }
            slot.health = Health::Live;
            slot.engine = engine;
            return index;
        }
        let name = engine.name.clone();
        let slot = Slot::new(now, engine);
        let index = self.vacant().unwrap_or(self.slots.len());
        if index < self.slots.len() {
            self.names.remove(&self.slots[index].engine.name);
            self.slots[index] = slot;
        } else {
            self.slots.push(slot);
        }
        self.names.insert(name, index);
        index
    }

    /// Returns the index of an engine, adding a closed one if the list has not named it yet.
    pub(super) fn expect(&mut self, now: Time, name: &Upstream) -> usize {
        if let Some(index) = self.index(name) {
            return index;
        }
        let engine = Engine {
            name: name.clone(),
            data_centre: "".into(),
            role: Role::Both,
            slots: 0,
        };
        let index = self.up(now, engine);
        self.slots[index].health = Health::Leaving;
        index
    }

    fn vacant(&self) -> Option<usize> {
        self.slots.iter().position(Slot::vacant)
    }

    /// Returns the index of an engine that is known by name.
    pub(super) fn index(&self, name: &Upstream) -> Option<usize> {
        self.names.get(name).copied()
    }

    /// Returns the decode slots of all engines that are not down.
    pub(super) fn total_slots(&self) -> u32 {
        let there = self.slots.iter().filter(|s| s.health != Health::Down);
        there.map(|s| s.engine.slots).sum()
    }

    /// Returns an engine's name.
    pub(super) fn name(&self, index: usize) -> Upstream {
        self.slots[index].engine.name.clone()
    }

    /// Returns the engines that are not down, for the status page.
    pub(super) fn status(&self, now: Time) -> Vec<EngineStatus> {
        let known = self.names.values().map(|i| &self.slots[*i]);
        known
            .filter(|s| s.health != Health::Down)
            .map(|s| EngineStatus {
                name: s.engine.name.clone(),
                role: s.engine.role,
                open: s.open(now),
                slots: s.engine.slots,
                used: s.used + s.reserved + s.foreign,
                prefills: u32::try_from(s.prefills.len()).unwrap_or(u32::MAX),
            })
            .collect()
    }
}
