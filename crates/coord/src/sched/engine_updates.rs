//! Updates about engines: changes of the published list, load reports and cache events.

use super::Scheduler;
use super::job::Phase;
use super::table::Health;
use super::types::{Action, CacheEvent, Engine, EngineReport, Failure, JobId, Role};
use crate::name::Upstream;
use crate::time::Time;

impl Scheduler {
    /// Adds an engine, or updates a known one and makes it live again.
    pub fn engine_up(&mut self, now: Time, engine: Engine) -> Vec<Action> {
        let index = self.engines.insert_or_update(now, engine);
        if now < self.confirm_until {
            self.engines.states[index].paused_until = self.confirm_until;
        }
        self.dispatch(now)
    }

    /// Starts no new jobs on an engine, while its running jobs continue.
    pub fn engine_draining(&mut self, now: Time, name: &Upstream) -> Vec<Action> {
        let Some(index) = self.engines.index(name) else {
            return Vec::new();
        };
        self.engines.states[index].health = Health::Draining;
        self.dispatch(now)
    }

    /// Marks an engine as down and restarts its prefills on other engines, or refuses them.
    ///
    /// Its streams are kept until their entry VM reports their failure with the number of
    /// delivered tokens.
    pub fn engine_down(&mut self, now: Time, name: &Upstream) -> Vec<Action> {
        let Some(index) = self.engines.index(name) else {
            return Vec::new();
        };
        self.engines.states[index].health = Health::Down;
        self.engines.states[index].untracked_slots = 0;
        self.prefixes.clear(index);
        self.affinity.clear(index);
        let mut actions = Vec::new();
        for id in self.prefills_on(index) {
            self.release_engines(now, id);
            actions.extend(self.restart_or_refuse(now, id, Failure::Lost));
        }
        actions.extend(self.dispatch(now));
        actions
    }

    /// Returns the jobs whose prefill runs on an engine or whose result waits there.
    fn prefills_on(&self, index: usize) -> Vec<JobId> {
        let here = self.jobs.values().filter(|e| match e.phase {
            Phase::Prefill { prefill, .. } => prefill == index,
            Phase::Ready { source, .. } => source == index,
            _ => false,
        });
        here.map(|e| e.job.id).collect()
    }

    /// Compares the jobs that an engine reports with those of the scheduler.
    ///
    /// Unknown jobs are counted as used slots, and cancelled if their entry VM is dead. Reports
    /// lag, so jobs that ended recently are not counted, and a job that the report does not list
    /// yet keeps its slot.
    pub fn load_report(
        &mut self,
        now: Time,
        name: &Upstream,
        report: &EngineReport,
    ) -> Vec<Action> {
        let Some(index) = self.engines.index(name) else {
            return Vec::new();
        };
        let unknown = |id: &&JobId| !self.jobs.contains_key(id) && !self.ended.contains(id);
        let unknown_jobs: Vec<JobId> = report.held.iter().filter(unknown).copied().collect();
        let dead = unknown_jobs
            .iter()
            .filter(|id| self.dead_vms.contains_key(&id.vm_tag()));
        let mut actions: Vec<Action> = dead.flat_map(|id| self.cancel_on(*id, &[index])).collect();
        let state = &mut self.engines.states[index];
        if state.engine.role != Role::Prefill {
            state.untracked_slots = u32::try_from(unknown_jobs.len()).unwrap_or(u32::MAX);
        }
        if now < self.confirm_until && state.failures == 0 {
            state.paused_until = now;
        }
        actions.extend(self.dispatch(now));
        actions
    }

    /// Updates the estimated contents of an engine's prefix cache.
    pub fn cache_event(&mut self, now: Time, name: &Upstream, event: CacheEvent) -> Vec<Action> {
        let Some(index) = self.engines.index(name) else {
            return Vec::new();
        };
        match event {
            CacheEvent::Stored(block) => self.prefixes.record_use(now, index, &[block]),
            CacheEvent::Evicted(block) => self.prefixes.handle_eviction(now, index, block),
            // Each prefill reports how much was cached, which corrects the estimate.
            CacheEvent::Gap => {}
        }
        Vec::new()
    }
}
