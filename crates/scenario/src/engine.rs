//! Fake upstreams: engines with slots, KV cache and cancels, and plain services.

use std::collections::BTreeMap;
use std::time::Duration;

use coord::name::{Service, Upstream, VmName};
use coord::sched::{Attempt, JobId, PrefillUsage};
use coord::time::Time;

use crate::ast::{Kind, Scenario};
use crate::names;
use crate::world::{HOP, World};

/// How long a cancelled id is remembered, against a cancel that overtakes its request.
const CANCEL_MEMORY: Duration = Duration::from_secs(10);

/// Names a call: engines know a request under a new id for each attempt.
pub type CallId = (JobId, Attempt);

/// A call of an engine or a plain service.
#[derive(Clone)]
pub struct Call {
    pub vm: usize,
    pub life: u32,
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
pub type Cancel = (Upstream, JobId, Option<Attempt>);

/// What an upstream answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    Prefilled(PrefillUsage),
    /// No room; no work was done.
    Full,
    /// The prefill's result is gone.
    Evicted,
    /// The connection broke after the request was sent.
    Broken,
    /// The connection could not be opened.
    Unreached,
    /// The id was cancelled by someone else.
    Cancelled,
    Token(u32, u64),
    Finish,
}

/// Work that an upstream accepted.
pub struct Work {
    pub at: Time,
    pub on: Upstream,
    pub request: String,
    pub key: Option<String>,
    /// A prefill or a plain call: it counts as a run of the request.
    pub run: bool,
}

pub struct Held {
    pub call: Call,
    /// The connection to the VM is silent.
    pub silent: bool,
    /// Where the KV cache is imported from, for a decode.
    pub source: Option<(Upstream, CallId)>,
}

/// Faults of an engine's output.
#[derive(Default)]
pub struct Output {
    /// Each token is sent twice.
    pub repeat: bool,
    /// The next token is left out.
    pub skip: bool,
}

pub struct Engine {
    pub service: Service,
    pub up: bool,
    pub life: u32,
    pub slots: usize,
    pub step: Duration,
    /// The time that a plain call takes.
    pub takes: Duration,
    pub prefills: BTreeMap<CallId, Held>,
    pub streams: BTreeMap<CallId, Held>,
    pub cancelled: BTreeMap<(JobId, Option<Attempt>), Time>,
    /// Imports make no progress.
    pub stalled: bool,
    /// The faults of its output.
    pub output: Output,
    pub delay: Duration,
    pub lose_cancels: u32,
}

impl Engine {
    pub fn all(scenario: &Scenario) -> BTreeMap<Upstream, Self> {
        let mut engines = BTreeMap::new();
        for service in &scenario.services {
            let (slots, step, takes) = match service.kind {
                Kind::Model { slots, step, .. } => (slots as usize, step, Duration::ZERO),
                Kind::Plain { takes, .. } => (0, Duration::ZERO, takes),
            };
            for name in names::upstreams(service) {
                let service = service.name.as_str().into();
                let engine = Self::new(service, slots, step, takes);
                engines.insert(name.as_str().into(), engine);
            }
        }
        engines
    }

    fn new(service: Service, slots: usize, step: Duration, takes: Duration) -> Self {
        Self {
            service,
            up: true,
            life: 0,
            slots,
            step,
            takes,
            prefills: BTreeMap::new(),
            streams: BTreeMap::new(),
            cancelled: BTreeMap::new(),
            stalled: false,
            delay: Duration::ZERO,
            lose_cancels: 0,
            output: Output::default(),
        }
    }

    /// Returns the jobs that hold memory.
    pub fn held(&self) -> Vec<JobId> {
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
        marks.any(|at| now.since(*at) < CANCEL_MEMORY)
    }

    /// Makes every open connection silent; new ones work.
    pub fn silence(&mut self) {
        for held in self.prefills.values_mut().chain(self.streams.values_mut()) {
            held.silent = true;
        }
    }
}

impl World {
    /// Orders an engine to free a job, or one attempt of it, until it acknowledges.
    pub fn cancel_on(&mut self, vm: usize, on: &Upstream, id: JobId, attempt: Option<Attempt>) {
        /// The first pause between two tries and the longest one.
        const PAUSES: [Duration; 2] = [Duration::from_millis(50), Duration::from_secs(2)];
        let life = self.vms[vm].life;
        if let Some(state) = &mut self.vms[vm].state
            && state.cancels.insert((on.clone(), id, attempt))
        {
            self.try_cancel((vm, life), &(on.clone(), id, attempt), PAUSES);
        }
    }

    fn try_cancel(
        &mut self,
        (vm, life): (usize, u32),
        cancel: &Cancel,
        [pause, most]: [Duration; 2],
    ) {
        let open = self.vms[vm]
            .state
            .as_ref()
            .is_some_and(|s| s.cancels.contains(cancel));
        if !open {
            return;
        }
        let (done, again, order) = (cancel.clone(), cancel.clone(), cancel.clone());
        let acked = move |world: &mut World| {
            world.on_vm(vm, life, move |world| {
                if let Some(state) = &mut world.vms[vm].state {
                    state.cancels.remove(&done);
                }
            });
        };
        let ack = acked.clone();
        let by = self.vms[vm].name.clone();
        let arrive = move |world: &mut World| {
            if world.cancel_arrives(&by, &order) {
                world.after(HOP, ack);
            }
        };
        self.call_engine(vm, &cancel.0, arrive, acked);
        self.after(pause, move |world| {
            world.on_vm(vm, life, move |world| {
                world.try_cancel((vm, life), &again, [(pause * 2).min(most), most]);
            });
        });
    }

    /// Frees what a cancel names; returns `false` if the cancel is lost.
    fn cancel_arrives(&mut self, by: &VmName, (on, id, attempt): &Cancel) -> bool {
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
            self.note(&format!("{by} frees {} on {on}", held.call.request));
        }
        for (_, held) in gone {
            if !held.silent {
                self.answer(&held.call, Reply::Cancelled);
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
        engine.life += 1;
        engine.cancelled.clear();
        let mut held = std::mem::take(&mut engine.prefills);
        held.append(&mut engine.streams);
        self.note(&format!("{name} dies"));
        for held in held.into_values().filter(|held| !held.silent) {
            self.answer(&held.call, Reply::Broken);
        }
        let entry = format!("{}{name}", crate::platform::UPSTREAMS);
        self.platform.change_list(self.now, |list| {
            list.upstreams.remove(entry.as_str());
        });
    }

    /// Starts an upstream, or sets its state on the list.
    pub fn list_engine(&mut self, name: &str, state: &str) {
        if let Some(engine) = self.engines.get_mut(&Upstream::from(name)) {
            engine.up = true;
        }
        let entry = format!("{}{name}", crate::platform::UPSTREAMS);
        self.platform.change_list(self.now, |list| {
            list.upstreams.insert(entry.as_str().into(), state.into());
        });
    }

    /// Asks every engine for its load.
    pub fn ask_load(&mut self, vm: usize) {
        let life = self.vms[vm].life;
        let engines = self.engines.iter().filter(|(_, engine)| engine.slots > 0);
        let names: Vec<Upstream> = engines.map(|(name, _)| name.clone()).collect();
        for name in names {
            let on = name.clone();
            let arrive = move |world: &mut World| {
                let Some(engine) = world.engines.get(&on) else {
                    return;
                };
                let (held, service) = (engine.held(), engine.service.clone());
                world.after(HOP, move |world| {
                    world.on_vm(vm, life, move |world| {
                        world.check_held(vm, &on, &service, &held);
                        world.load(vm, &on, &service, held);
                    });
                });
            };
            self.call_engine(vm, &name, arrive, |_| ());
        }
    }
}
