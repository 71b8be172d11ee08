//! Fake upstreams: engines with slots, KV cache and cancels, and plain services.

use std::collections::BTreeMap;
use std::time::Duration;

use coord::name::{Service, Upstream, VmName};
use coord::sched::{Attempt, JobId, PrefillUsage};
use coord::time::Time;

use crate::ast::{Scenario, ServiceKind};
use crate::names;
use crate::simulation::{HOP_LATENCY, Simulation};

/// How long a cancelled id is remembered, against a cancel that overtakes its request.
const CANCEL_RETENTION: Duration = Duration::from_secs(10);

/// Names a call: engines know a request under a new id for each attempt.
pub type CallId = (JobId, Attempt);

/// A call of an engine or a plain service.
#[derive(Clone)]
pub struct Call {
    pub vm: usize,
    pub generation: u32,
    pub id: CallId,
    pub to: Upstream,
    pub request: String,
    pub body: String,
    pub key: Option<String>,
    pub poison: bool,
    pub prompt: u32,
    pub offset: u32,
    pub tokens: u32,
}

/// An order to free a job, or one attempt of it, on an upstream.
pub type CancelOrder = (Upstream, JobId, Option<Attempt>);

/// What an upstream answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    Prefilled(PrefillUsage),
    /// No room; no work was done.
    Full,
    /// The prefill's result is gone.
    Evicted,
    /// The connection broke after the request was sent.
    ConnectionLost,
    /// The connection could not be opened.
    Unreachable,
    /// The id was cancelled by someone else.
    Cancelled,
    Token(u32, u64),
    Finish,
}

/// Work that an upstream accepted.
pub struct AcceptedWork {
    pub time: Time,
    pub upstream: Upstream,
    pub request: String,
    pub key: Option<String>,
    /// A prefill or a plain call: it counts as a run of the request.
    pub is_run: bool,
}

pub struct HeldCall {
    pub call: Call,
    /// The connection to the VM is silent.
    pub silent: bool,
    /// Where the KV cache is imported from, for a decode.
    pub source: Option<(Upstream, CallId)>,
}

/// Faults of an engine's output.
#[derive(Default)]
pub struct OutputFaults {
    /// Each token is sent twice.
    pub repeat_tokens: bool,
    /// The next token is left out.
    pub skip_next: bool,
}

pub struct Engine {
    pub service: Service,
    pub up: bool,
    pub generation: u32,
    pub slots: usize,
    pub step: Duration,
    /// The time that a plain call takes.
    pub call_time: Duration,
    pub prefills: BTreeMap<CallId, HeldCall>,
    pub streams: BTreeMap<CallId, HeldCall>,
    pub cancelled: BTreeMap<(JobId, Option<Attempt>), Time>,
    /// Imports make no progress.
    pub stalled: bool,
    /// The faults of its output.
    pub output_faults: OutputFaults,
    pub delay: Duration,
    pub lose_cancels: u32,
}

impl Engine {
    pub fn from_scenario(scenario: &Scenario) -> BTreeMap<Upstream, Self> {
        let mut engines = BTreeMap::new();
        for service in &scenario.services {
            let (slots, step, call_time) = match service.kind {
                ServiceKind::Model { slots, step, .. } => (slots as usize, step, Duration::ZERO),
                ServiceKind::Plain { call_time, .. } => (0, Duration::ZERO, call_time),
            };
            for name in names::upstreams(service) {
                let service = service.name.as_str().into();
                let engine = Self::new(service, slots, step, call_time);
                engines.insert(name.as_str().into(), engine);
            }
        }
        engines
    }

    fn new(service: Service, slots: usize, step: Duration, call_time: Duration) -> Self {
        Self {
            service,
            up: true,
            generation: 0,
            slots,
            step,
            call_time,
            prefills: BTreeMap::new(),
            streams: BTreeMap::new(),
            cancelled: BTreeMap::new(),
            stalled: false,
            delay: Duration::ZERO,
            lose_cancels: 0,
            output_faults: OutputFaults::default(),
        }
    }

    /// Returns the jobs that hold memory.
    pub fn held_jobs(&self) -> Vec<JobId> {
        let calls = self.prefills.keys().chain(self.streams.keys());
        let mut ids: Vec<JobId> = calls.map(|(id, _)| *id).collect();
        ids.sort_unstable();
        ids.dedup();
        ids
    }

    pub fn is_cancelled(&self, now: Time, id: CallId) -> bool {
        let since = |attempt| self.cancelled.get(&(id.0, attempt));
        let marks = [since(None), since(Some(id.1))];
        let mut marks = marks.into_iter().flatten();
        marks.any(|at| now.since(*at) < CANCEL_RETENTION)
    }

    /// Makes every open connection silent; new ones work.
    pub fn silence(&mut self) {
        for held in self.prefills.values_mut().chain(self.streams.values_mut()) {
            held.silent = true;
        }
    }
}

impl Simulation {
    /// Orders an engine to free a job, or one attempt of it, until it acknowledges.
    pub fn cancel_on(&mut self, vm: usize, on: &Upstream, id: JobId, attempt: Option<Attempt>) {
        /// The first pause between two tries and the longest one.
        const RETRY_DELAYS: [Duration; 2] = [Duration::from_millis(50), Duration::from_secs(2)];
        let generation = self.vms[vm].generation;
        if let Some(state) = &mut self.vms[vm].state
            && state.pending_cancels.insert((on.clone(), id, attempt))
        {
            self.try_cancel((vm, generation), &(on.clone(), id, attempt), RETRY_DELAYS);
        }
    }

    fn try_cancel(
        &mut self,
        (vm, generation): (usize, u32),
        cancel: &CancelOrder,
        [delay, max_delay]: [Duration; 2],
    ) {
        let open = self.vms[vm]
            .state
            .as_ref()
            .is_some_and(|s| s.pending_cancels.contains(cancel));
        if !open {
            return;
        }
        let (done, again, order) = (cancel.clone(), cancel.clone(), cancel.clone());
        let acked = move |sim: &mut Simulation| {
            sim.run_on_vm(vm, generation, move |sim| {
                if let Some(state) = &mut sim.vms[vm].state {
                    state.pending_cancels.remove(&done);
                }
            });
        };
        let ack = acked.clone();
        let by = self.vms[vm].name.clone();
        let arrive = move |sim: &mut Simulation| {
            if sim.handle_cancel(&by, &order) {
                sim.schedule(HOP_LATENCY, ack);
            }
        };
        self.call_engine(vm, &cancel.0, arrive, acked);
        self.schedule(delay, move |sim| {
            sim.run_on_vm(vm, generation, move |sim| {
                sim.try_cancel(
                    (vm, generation),
                    &again,
                    [(delay * 2).min(max_delay), max_delay],
                );
            });
        });
    }

    /// Frees what a cancel names; returns `false` if the cancel is lost.
    fn handle_cancel(&mut self, by: &VmName, (on, id, attempt): &CancelOrder) -> bool {
        let now = self.now;
        let Some(engine) = self.engines.get_mut(on) else {
            return true;
        };
        if engine.lose_cancels > 0 {
            engine.lose_cancels -= 1;
            return false;
        }
        engine.cancelled.insert((*id, *attempt), now);
        let named = |call: &CallId| call.0 == *id && attempt.is_none_or(|a| a == call.1);
        let results = engine.prefills.extract_if(.., |call, _| named(call));
        let results: Vec<_> = results.collect();
        let gone: Vec<_> = engine
            .streams
            .extract_if(.., |call, _| named(call))
            .collect();
        for (_, held) in results.iter().chain(&gone) {
            self.add_trace(&format!("{by} frees {} on {on}", held.call.request));
        }
        for (_, held) in gone {
            if !held.silent {
                self.reply(&held.call, Reply::Cancelled);
            }
        }
        true
    }

    /// Ends an upstream: its memory is lost and its connections break.
    pub fn kill_engine(&mut self, name: &Upstream) {
        let Some(engine) = self.engines.get_mut(name).filter(|engine| engine.up) else {
            return;
        };
        engine.up = false;
        engine.generation += 1;
        engine.cancelled.clear();
        let mut held = std::mem::take(&mut engine.prefills);
        held.append(&mut engine.streams);
        self.add_trace(&format!("{name} dies"));
        for held in held.into_values().filter(|held| !held.silent) {
            self.reply(&held.call, Reply::ConnectionLost);
        }
        let entry = format!("{}{name}", crate::platform::UPSTREAMS);
        self.platform.change_list(self.now, |list| {
            list.upstreams.remove(entry.as_str());
        });
    }

    /// Starts an upstream, or sets its state on the list.
    pub fn set_listed_state(&mut self, name: &str, state: &str) {
        if let Some(engine) = self.engines.get_mut(&Upstream::from(name)) {
            engine.up = true;
        }
        let entry = format!("{}{name}", crate::platform::UPSTREAMS);
        self.platform.change_list(self.now, |list| {
            list.upstreams.insert(entry.as_str().into(), state.into());
        });
    }

    /// Asks every engine for its load.
    pub fn poll_load(&mut self, vm: usize) {
        let generation = self.vms[vm].generation;
        let engines = self.engines.iter().filter(|(_, engine)| engine.slots > 0);
        let names: Vec<Upstream> = engines.map(|(name, _)| name.clone()).collect();
        for name in names {
            let on = name.clone();
            let arrive = move |sim: &mut Simulation| {
                let Some(engine) = sim.engines.get(&on) else {
                    return;
                };
                let (held, service) = (engine.held_jobs(), engine.service.clone());
                sim.schedule(HOP_LATENCY, move |sim| {
                    sim.run_on_vm(vm, generation, move |sim| {
                        sim.check_held(vm, &on, &service, &held);
                        sim.handle_load(vm, &on, &service, held);
                    });
                });
            };
            self.call_engine(vm, &name, arrive, |_| ());
        }
    }
}
