//! What the driver sends to a policy, and the policies behind one interface.

use std::time::Duration;

use coord::name::{Upstream, VmName};
use coord::sched::{
    Action, Attempt, CacheEvent, Engine, EngineReport, Failure, Job, JobId, PrefillUsage,
    Scheduler, Stage,
};
use coord::time::Time;

/// Time in which a new owner takes unreported engines for full.
const LEASE_TTL: Duration = Duration::from_secs(3);

/// One message to a policy.
#[derive(Clone, Debug)]
pub enum Input {
    Submit(Job),
    Cancel(JobId),
    PrefillDone(JobId, Attempt, PrefillUsage),
    PrefillFailed(JobId, Attempt, Failure),
    DecodeStarted(JobId, Attempt),
    DecodeFailed(JobId, Attempt, Failure, u32),
    Finished(JobId, Attempt),
    Up(Engine),
    Down(Upstream),
    Report(Upstream, EngineReport),
    Cache(Upstream, Vec<CacheEvent>),
    VmDown(VmName),
    Resume(Job, Attempt, Stage),
    /// A new owner begins; engines are confirmed by their reports.
    TakeOver,
    Tick,
}

impl Input {
    /// Returns the job whose engine call this message ends.
    pub fn result_of(&self) -> Option<JobId> {
        match self {
            Self::PrefillDone(id, ..)
            | Self::PrefillFailed(id, ..)
            | Self::DecodeStarted(id, ..)
            | Self::DecodeFailed(id, ..) => Some(*id),
            _ => None,
        }
    }
}

/// A policy under test.
pub trait Router {
    /// Handles one message and returns what the entry VMs have to do.
    fn handle(&mut self, now: Time, input: Input) -> Vec<Action>;
}

impl Router for Scheduler {
    fn handle(&mut self, now: Time, input: Input) -> Vec<Action> {
        match input {
            Input::Submit(job) => self.submit(now, job),
            Input::Cancel(id) => self.cancel(now, id),
            Input::PrefillDone(id, attempt, done) => self.prefill_done(now, id, attempt, done),
            Input::PrefillFailed(id, attempt, why) => self.prefill_failed(now, id, attempt, why),
            Input::DecodeStarted(id, attempt) => self.decode_started(now, id, attempt),
            Input::DecodeFailed(id, attempt, why, delivered) => {
                self.decode_failed(now, id, attempt, why, delivered)
            }
            Input::Finished(id, attempt) => self.decode_finished(now, id, attempt),
            Input::Up(engine) => self.engine_up(now, engine),
            Input::Down(name) => self.engine_down(now, &name),
            Input::Report(name, report) => self.load_report(now, &name, &report),
            Input::Cache(name, events) => events
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
