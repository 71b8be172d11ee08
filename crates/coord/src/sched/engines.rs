//! What is learnt about engines: the published list, load reports and cache events.

use super::Scheduler;
use super::fleet::Health;
use super::job::Phase;
use super::types::{Action, CacheEvent, Engine, EngineReport, Failure, JobId, Role};
use crate::name::Upstream;
use crate::time::Time;

impl Scheduler {
    /// Adds an engine, or opens one again that had left.
    pub fn engine_up(&mut self, now: Time, engine: Engine) -> Vec<Action> {
        let index = self.fleet.up(now, engine);
        if now < self.confirm_until {
            self.fleet.slots[index].closed_until = self.confirm_until;
        }
        self.dispatch(now)
    }

    /// Gives an engine no new work; what runs there goes on.
    pub fn engine_draining(&mut self, now: Time, name: &Upstream) -> Vec<Action> {
        let Some(index) = self.fleet.index(name) else {
            return Vec::new();
        };
        self.fleet.slots[index].health = Health::Leaving;
        self.dispatch(now)
    }

    /// Starts the prefills of a dead engine again elsewhere.
    ///
    /// Streams are left to their entry VM, which reports how many tokens were delivered.
    pub fn engine_down(&mut self, now: Time, name: &Upstream) -> Vec<Action> {
        let Some(index) = self.fleet.index(name) else {
            return Vec::new();
        };
        self.fleet.slots[index].health = Health::Down;
        self.fleet.slots[index].foreign = 0;
        self.prefixes.clear(index);
        self.homes.clear(index);
        let mut actions = Vec::new();
        for id in self.computing_on(index) {
            self.vacate(now, id);
            actions.extend(self.again(now, id, Failure::Lost));
        }
        actions.extend(self.dispatch(now));
        actions
    }

    /// Returns the jobs whose prefill result is, or will be, on an engine.
    fn computing_on(&self, index: usize) -> Vec<JobId> {
        let here = self.jobs.values().filter(|e| match e.phase {
            Phase::Prefill { prefill, .. } => prefill == index,
            Phase::Ready { source, .. } => source == index,
            _ => false,
        });
        here.map(|e| e.job.id).collect()
    }

    /// Compares an engine's own account with the scheduler's.
    ///
    /// Reports lag, so an id that ended lately is not held against the engine, and a job that the
    /// report does not name yet keeps its slot.
    pub fn load_report(
        &mut self,
        now: Time,
        name: &Upstream,
        report: &EngineReport,
    ) -> Vec<Action> {
        let Some(index) = self.fleet.index(name) else {
            return Vec::new();
        };
        let unknown = |id: &&JobId| !self.jobs.contains_key(id) && !self.ended.contains(id);
        let foreign: Vec<JobId> = report.held.iter().filter(unknown).copied().collect();
        let dead = foreign
            .iter()
            .filter(|id| self.dead.contains_key(&id.vm_tag()));
        let mut actions: Vec<Action> = dead.flat_map(|id| self.cancel_on(*id, &[index])).collect();
        let slot = &mut self.fleet.slots[index];
        if slot.engine.role != Role::Prefill {
            slot.foreign = u32::try_from(foreign.len()).unwrap_or(u32::MAX);
        }
        if now < self.confirm_until && slot.failures == 0 {
            slot.closed_until = now;
        }
        actions.extend(self.dispatch(now));
        actions
    }

    /// Corrects what is believed about an engine's prefix cache.
    pub fn cache_event(&mut self, now: Time, name: &Upstream, event: CacheEvent) -> Vec<Action> {
        let Some(index) = self.fleet.index(name) else {
            return Vec::new();
        };
        match event {
            CacheEvent::Stored(block) => self.prefixes.used(now, index, &[block]),
            CacheEvent::Evicted(block) => self.prefixes.evicted(now, index, block),
            // Each prefill reports what was cached, which repairs the belief.
            CacheEvent::Gap => {}
        }
        Vec::new()
    }
}
