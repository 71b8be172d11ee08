//! Simulated upstreams: engines with slots, KV cache and cancels, and plain services.

use std::collections::BTreeMap;
use std::time::Duration;

use coord::name::{Service, Upstream, VmName};
use coord::sched::{Attempt, JobId, PrefillUsage};
use coord::time::Time;

use crate::ast::{Scenario, ServiceKind};
use crate::names;
use crate::simulation::{HOP_LATENCY, Simulation};

/// How long an engine refuses a cancelled id, because a cancel may arrive before its request.
const CANCEL_RETENTION: Duration = Duration::from_secs(10);

/// Identifies a call at an engine; each attempt of a request has its own id.
pub type CallId = (JobId, Attempt);

/// A call that a VM makes to an engine or a plain service.
#[derive(Clone)]
pub struct Call {
    /// The index of the VM and the generation of its process.
    pub vm: usize,
    pub generation: u32,
    pub id: CallId,
    pub to: Upstream,
    /// The name of the request in the scenario.
    pub request: String,
    /// Identifies the request body, from which the tokens of the response are derived.
    pub body: String,
    pub key: Option<String>,
    pub poison: bool,
    /// Prompt length in tokens, including output that was generated before.
    pub prompt: u32,
    /// The index of the first token to generate.
    pub offset: u32,
    /// The total output length in tokens.
    pub tokens: u32,
}

/// An order to an upstream to free a job, or only one attempt of it.
pub type CancelOrder = (Upstream, JobId, Option<Attempt>);

/// The reply of an upstream to a call, or the failure of the connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    Prefilled(PrefillUsage),
    /// The upstream has no free slot and did no work.
    Full,
    /// The prefill result to import no longer exists.
    Evicted,
    /// The connection broke after the request was sent.
    ConnectionLost,
    /// The connection could not be opened.
    Unreachable,
    /// The id was cancelled, possibly by another VM.
    Cancelled,
    Token(u32, u64),
    Finish,
}

/// A prefill, decode or plain call that an upstream has accepted.
pub struct AcceptedWork {
    pub time: Time,
    pub upstream: Upstream,
    pub request: String,
    pub key: Option<String>,
    /// Whether it counts as a run of the request, as prefills and plain calls do.
    pub is_run: bool,
}

/// A call that holds memory on an upstream.
pub struct HeldCall {
    pub call: Call,
    /// Whether the connection to the VM is open but delivers nothing.
    pub silent: bool,
    /// The prefill call whose KV cache a decode imports, until the import is complete.
    pub source: Option<(Upstream, CallId)>,
}

/// The injected faults in the output of an engine.
#[derive(Default)]
pub struct OutputFaults {
    /// Whether each token is sent twice.
    pub repeat_tokens: bool,
    /// Whether the next token is omitted.
    pub skip_next: bool,
}

/// A simulated upstream: an engine, or a server of a plain service, which has no slots.
pub struct Engine {
    pub service: Service,
    pub up: bool,
    /// Increases with each crash, so that events of an earlier process are ignored.
    pub generation: u32,
    pub slots: usize,
    pub step: Duration,
    /// The time from the start of a plain call to its answer.
    pub call_time: Duration,
    /// Running prefills and their results.
    pub prefills: BTreeMap<CallId, HeldCall>,
    /// Running decodes or plain calls.
    pub streams: BTreeMap<CallId, HeldCall>,
    /// Cancelled jobs or attempts, with the time of the cancel.
    pub cancelled: BTreeMap<(JobId, Option<Attempt>), Time>,
    /// Whether imports of KV cache make no progress.
    pub stalled: bool,
    /// The injected faults in the output.
    pub faults: OutputFaults,
    /// The additional latency of new calls.
    pub delay: Duration,
    /// The number of cancels that will still be lost.
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
            faults: OutputFaults::default(),
        }
    }

    /// Returns the jobs that hold memory on the engine, sorted and without duplicates.
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

    /// Makes every open connection silent; new connections work.
    pub fn silence(&mut self) {
        for held in self.prefills.values_mut().chain(self.streams.values_mut()) {
            held.silent = true;
        }
    }
}

impl Simulation {
    /// Orders an upstream to free a job, or one attempt of it, and repeats the order until it is
    /// acknowledged.
    pub fn cancel_on(&mut self, vm: usize, on: &Upstream, id: JobId, attempt: Option<Attempt>) {
        /// The first and the longest delay before the order is repeated.
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
            if sim.on_cancel(&by, &order) {
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

    /// Frees the calls that a cancel names; returns `false` if the scenario loses the cancel.
    fn on_cancel(&mut self, by: &VmName, (on, id, attempt): &CancelOrder) -> bool {
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

    /// Ends an upstream: it loses its memory and its connections break.
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

    /// Starts an upstream if it is down, and sets its state on the published list.
    pub fn set_listed_state(&mut self, name: &str, state: &str) {
        if let Some(engine) = self.engines.get_mut(&Upstream::from(name)) {
            engine.up = true;
        }
        let entry = format!("{}{name}", crate::platform::UPSTREAMS);
        self.platform.change_list(self.now, |list| {
            list.upstreams.insert(entry.as_str().into(), state.into());
        });
    }

    /// Requests the load of every engine on behalf of a VM.
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
                        sim.on_load(vm, &on, &service, held);
                    });
                });
            };
            self.call_engine(vm, &name, arrive, |_| ());
        }
    }
}
