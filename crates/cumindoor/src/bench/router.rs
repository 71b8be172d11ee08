//! The interface between the simulation and a scheduling policy.

use std::time::Duration;

use coord::name::{Upstream, VmName};
use coord::sched::{
    Action, Attempt, CacheEvent, Engine, EngineReport, Failure, Job, JobId, PrefillUsage,
    Scheduler, Stage,
};
use coord::time::Time;

/// Time for which a new owner treats engines that have not reported yet as full.
const LEASE_TTL: Duration = Duration::from_secs(3);

/// Message from the simulation to a policy.
#[derive(Clone, Debug)]
pub enum Input {
    Submit(Job),
    Cancel(JobId),
    PrefillDone(JobId, Attempt, PrefillUsage),
    PrefillFailed(JobId, Attempt, Failure),
    DecodeStarted(JobId, Attempt),
    DecodeFailed(JobId, Attempt, Failure, u32),
    Finished(JobId, Attempt),
    EngineUp(Engine),
    EngineDown(Upstream),
    LoadReport(Upstream, EngineReport),
    CacheEvents(Upstream, Vec<CacheEvent>),
    VmDown(VmName),
    Resume(Job, Attempt, Stage),
    /// A new owner takes over the cell. It learns the state of the engines from their next reports.
    TakeOver,
    Tick,
}

impl Input {
    /// Returns the job if this message reports the result of an engine call.
    pub fn ended_call(&self) -> Option<JobId> {
        match self {
            Self::PrefillDone(id, ..)
            | Self::PrefillFailed(id, ..)
            | Self::DecodeStarted(id, ..)
            | Self::DecodeFailed(id, ..) => Some(*id),
            _ => None,
        }
    }
}

/// Scheduling policy of one cell.
pub trait Router {
    /// Handles one message and returns the actions that the entry VMs carry out.
    fn handle(&mut self, now: Time, input: Input) -> Vec<Action>;
}

impl Router for Scheduler {
    fn handle(&mut self, now: Time, input: Input) -> Vec<Action> {
        match input {
            Input::Submit(job) => self.submit(now, job),
            Input::Cancel(id) => self.cancel(now, id),
            Input::PrefillDone(id, attempt, done) => self.prefill_done(now, id, attempt, done),
            Input::PrefillFailed(id, attempt, err) => self.prefill_failed(now, id, attempt, err),
            Input::DecodeStarted(id, attempt) => self.decode_started(now, id, attempt),
            Input::DecodeFailed(id, attempt, err, delivered) => {
                self.decode_failed(now, id, attempt, err, delivered)
            }
            Input::Finished(id, attempt) => self.decode_finished(now, id, attempt),
            Input::EngineUp(engine) => self.engine_up(now, engine),
            Input::EngineDown(name) => self.engine_down(now, &name),
            Input::LoadReport(name, report) => self.load_report(now, &name, &report),
            Input::CacheEvents(name, events) => events
                .into_iter()
                .flat_map(|event| self.cache_event(now, &name, event))
                .collect(),
            Input::VmDown(vm) => self.vm_down(now, &vm),
            Input::Resume(job, attempt, stage) => self.register_running(now, job, attempt, &stage),
            Input::TakeOver => {
                self.take_over(now, LEASE_TTL);
                Vec::new()
            }
            Input::Tick => self.tick(now),
        }
    }
}
