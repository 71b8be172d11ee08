//! Simulation of three VMs in virtual time. Their messages are lost, delayed, duplicated and
//! reordered.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use coord::name::{Incarnation, VmName};
use coord::sched::{
    Action, Attempt, Class, Engine, EngineReport, Failure, Job, JobId, PrefillUsage, Role,
    SchedOptions,
};
use coord::time::Time;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use tokio::sync::mpsc;

use super::core::CellState;
use super::owned_cell::OwnedCell;
use super::sharding::{CellKey, Cells};
use super::wire::{Batch, Receipt};
use crate::serve::cell::{EngineUpdate, Order, Progress};
use crate::serve::view::{Member, View};

const STEP_DURATION: Duration = Duration::from_millis(5);

enum Event {
    /// A batch arrives: the number of the call, its sender, its receiver and the batch.
    Batch(u64, VmName, VmName, Batch),
    /// An answer arrives: the number of the call, the VMs as above, the session and size of the
    /// batch, and the receipt or `None` for a timeout.
    Answer(u64, VmName, VmName, (u64, usize), Option<Receipt>),
    Report(JobId, Attempt, Progress),
    View(VmName, Arc<View>),
}

/// A request, simulated in place of the request path.
struct RunningRequest {
    vm: VmName,
    orders: mpsc::UnboundedReceiver<Order>,
    attempt: Attempt,
    engines: BTreeSet<String>,
}

struct Simulation {
    now: Time,
    rng: ChaCha8Rng,
    cores: BTreeMap<VmName, CellState>,
    events: BTreeMap<(Time, u64), Event>,
    runs: BTreeMap<JobId, RunningRequest>,
    number: u64,
    /// Calls that have neither been answered nor timed out.
    calls: BTreeSet<u64>,
    faults: bool,
    ended: usize,
}

fn vm_names() -> [VmName; 3] {
    ["vm-1", "vm-2", "vm-3"].map(VmName::from)
}

fn view(live: &[VmName], trusted: bool) -> Arc<View> {
    let member = |vm: &VmName| {
        Member {
            data_centre: "dc".into(),
            incarnation: Incarnation(1),
            address: ([127, 0, 0, 1], 1).into(),
            leaving: false,
        }
        .pair(vm)
    };
    let vms = live.iter().map(member).collect();
    Arc::new(View {
        trusted,
        majority: true,
        vms,
    })
}

impl Member {
    fn pair(self, vm: &VmName) -> (VmName, Self) {
        (vm.clone(), self)
    }
}

fn cells() -> Cells {
    let engine = |name: &str, role| {
        let name = name.into();
        let data_centre = "dc".into();
        let slots = 4;
        (
            Engine {
                name,
                data_centre,
                role,
                slots,
            },
            false,
        )
    };
    let engines = vec![
        engine("p-1", Role::Prefill),
        engine("p-2", Role::Prefill),
        engine("d-1", Role::Decode),
        engine("d-2", Role::Decode),
    ];
    let group = "chat".into();
    Cells::from([(CellKey { group, shard: 0 }, engines)])
}

fn core(now: Time, vm: &VmName) -> CellState {
    let mut core = CellState::new(vm.clone());
    core.set_view(now, view(&vm_names(), true));
    let options = SchedOptions {
        prefill_ttl: Duration::from_mins(1),
        ..SchedOptions::default()
    };
    core.set_cells(now, cells(), BTreeMap::from([("chat".into(), options)]));
    core.tick(now);
    core
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let now = Time::from_millis(1);
        Self {
            now,
            rng: ChaCha8Rng::seed_from_u64(seed),
            cores: vm_names().map(|vm| (vm.clone(), core(now, &vm))).into(),
            events: BTreeMap::new(),
            runs: BTreeMap::new(),
            number: 0,
            calls: BTreeSet::new(),
            faults: true,
            ended: 0,
        }
    }

    fn one_chance_in(&mut self, one_in: u32) -> bool {
        self.rng.random_range(0..one_in) == 0
    }

    fn schedule(&mut self, ms: u64, event: Event) {
        self.number += 1;
        let at = self.now + Duration::from_millis(ms);
        self.events.insert((at, self.number), event);
    }

    fn delay(&mut self) -> u64 {
        let late = self.faults && self.one_chance_in(20);
        self.rng.random_range(1..if late { 2_000 } else { 20 })
    }

    fn step(&mut self) {
        self.now = self.now + STEP_DURATION;
        for vm in vm_names() {
            self.run_core(&vm);
        }
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let event = entry.remove();
            self.handle_event(event);
        }
        let ids: Vec<JobId> = self.runs.keys().copied().collect();
        for id in ids {
            self.execute_order(id);
        }
    }

    fn run_core(&mut self, vm: &VmName) {
        let report = self.now.as_micros() % 500_000 < 5_000;
        let held = |engine: &str| {
            let here = self
                .runs
                .iter()
                .filter(|(_, run)| run.engines.contains(engine));
            here.map(|(id, _)| *id).collect()
        };
        let reports = ["p-1", "p-2", "d-1", "d-2"].map(|e| (e, held(e)));
        let core = self.cores.get_mut(vm).expect("a core");
        core.tick(self.now);
        core.take_orphans();
        if report || core.take_takeover() {
            for (engine, held) in reports {
                let report = EngineReport { held, queue: 0 };
                core.engine_update(
                    self.now,
                    &"chat".into(),
                    &EngineUpdate::Load(engine.into(), report),
                );
            }
        }
        let entry = &core.entry;
        let due = core
            .mailboxes
            .due_batches(self.now, super::LEASE_RENEWAL, |to| entry.needs_lease(to));
        for (to, batch) in due {
            self.send(vm, &to, &batch);
        }
    }

    /// Delivers a batch zero, one or two times. The call times out after 200 ms without an answer.
    fn send(&mut self, from: &VmName, to: &VmName, batch: &Batch) {
        self.number += 1;
        let call = self.number;
        self.calls.insert(call);
        let mut copies = 1;
        if self.faults && self.one_chance_in(8) {
            copies = if self.one_chance_in(2) { 0 } else { 2 };
        }
        for _ in 0..copies {
            let delay = self.delay();
            self.schedule(
                delay,
                Event::Batch(call, from.clone(), to.clone(), batch.clone()),
            );
        }
        let sent = (batch.session, batch.messages.len());
        let lost = Event::Answer(call, from.clone(), to.clone(), sent, None);
        self.schedule(200, lost);
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Batch(call, from, to, batch) => {
                let sent = (batch.session, batch.messages.len());
                let core = self.cores.get_mut(&to).expect("a core");
                let receipt = core.receive(self.now, &from, batch);
                if !(self.faults && self.one_chance_in(10)) {
                    let delay = self.delay().min(190);
                    self.schedule(delay, Event::Answer(call, from, to, sent, Some(receipt)));
                }
            }
            Event::Answer(call, vm, to, sent, receipt) => {
                if !self.calls.remove(&call) {
                    return;
                }
                let core = self.cores.get_mut(&vm).expect("a core");
                core.batch_answered(self.now, &to, sent, receipt.as_ref());
            }
            Event::View(vm, view) => {
                let core = self.cores.get_mut(&vm).expect("a core");
                core.set_view(self.now, view);
            }
            Event::Report(id, attempt, progress) => self.report(id, attempt, progress),
        }
    }

    fn report(&mut self, id: JobId, attempt: Attempt, progress: Progress) {
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        // The request path abandons an attempt when it receives a new order.
        if run.attempt != attempt {
            return;
        }
        let vm = run.vm.clone();
        match progress {
            Progress::PrefillDone(_) | Progress::DecodeStarted => {}
            _ => run.engines.clear(),
        }
        if progress == Progress::Finished {
            self.runs.remove(&id);
            self.ended += 1;
        }
        let core = self.cores.get_mut(&vm).expect("a core");
        core.report(self.now, id, attempt, progress);
    }

    fn execute_order(&mut self, id: JobId) {
        let Some(order) = self
            .runs
            .get_mut(&id)
            .and_then(|run| run.orders.try_recv().ok())
        else {
            return;
        };
        let run = self.runs.get_mut(&id).expect("a run");
        let (attempt, engine, done) = match order {
            Order::Prefill {
                attempt, prefill, ..
            } => {
                let done = Progress::PrefillDone(PrefillUsage::default());
                (attempt, prefill, done)
            }
            Order::Decode {
                attempt, decode, ..
            } => (attempt, decode, Progress::Finished),
            Order::Refuse { .. } => {
                self.runs.remove(&id);
                self.ended += 1;
                return;
            }
            Order::Cancel { .. } => return,
        };
        assert!(attempt > run.attempt, "{id} received order {attempt} twice");
        run.attempt = attempt;
        run.engines = BTreeSet::from([engine.to_string()]);
        let ms = self.rng.random_range(10..300);
        if done == Progress::Finished {
            self.schedule(5, Event::Report(id, attempt, Progress::DecodeStarted));
        }
        let full = Progress::DecodeFailed {
            failure: Failure::Full,
            delivered: 0,
        };
        let refused = done == Progress::Finished && self.one_chance_in(20);
        let event = if refused { full } else { done };
        self.schedule(
            if refused { 1 } else { ms },
            Event::Report(id, attempt, event),
        );
    }

    fn submit(&mut self) {
        let vm = vm_names()[self.rng.random_range(0..3)].clone();
        self.number += 1;
        let job = job(self.now, &vm, self.number);
        let id = job.id;
        let (sender, orders) = mpsc::unbounded_channel();
        let core = self.cores.get_mut(&vm).expect("a core");
        core.submit(self.now, job, sender);
        let (attempt, engines) = (Attempt(0), BTreeSet::new());
        let run = RunningRequest {
            vm,
            orders,
            attempt,
            engines,
        };
        self.runs.insert(id, run);
    }

    /// Restarts a VM, makes it distrust its view, or isolates it from the others. The views of the
    /// VMs change after random delays and then return to normal.
    fn inject_fault(&mut self) {
        let vm = vm_names()[self.rng.random_range(0..3)].clone();
        let rest: Vec<VmName> = vm_names().into_iter().filter(|name| *name != vm).collect();
        match self.rng.random_range(0..3) {
            0 => {
                self.cores.insert(vm.clone(), core(self.now, &vm));
                let before = self.runs.len();
                self.runs.retain(|_, run| run.vm != vm);
                self.ended += before - self.runs.len();
            }
            1 => self.schedule(1, Event::View(vm.clone(), view(&vm_names(), false))),
            _ => self.schedule(
                1,
                Event::View(vm.clone(), view(std::slice::from_ref(&vm), true)),
            ),
        }
        for name in vm_names() {
            let lost = self.rng.random_range(1..1_000);
            if name != vm {
                self.schedule(lost, Event::View(name.clone(), view(&rest, true)));
            }
            let back = self.rng.random_range(1_500..4_000);
            self.schedule(back, Event::View(name, view(&vm_names(), true)));
        }
    }
}

/// Guards against requests that never end, receive an order twice or stay registered with an owner
/// when messages are lost, delayed, duplicated and reordered while owners change.
#[rstest]
fn every_request_ends_once(#[values(1, 2, 3, 4, 5, 6, 7, 8, 9, 10)] seed: u64) {
    let mut simulation = Simulation::new(seed);

    for step in 0..6_000 {
        if step % 20 == 0 {
            simulation.submit();
        }
        if step % 1_000 == 500 {
            simulation.inject_fault();
        }
        simulation.step();
    }
    simulation.faults = false;
    for _ in 0..12_000 {
        simulation.step();
    }

    assert_eq!(simulation.runs.len(), 0, "requests without an end");
    assert_eq!(simulation.ended, 300);
    for (vm, core) in &simulation.cores {
        assert!(
            core.entry.requests_by_owner().is_empty(),
            "{vm} keeps requests"
        );
        for cell in core.owner.owned().values() {
            let state = cell.status(simulation.now);
            assert!(cell.is_empty(), "{vm} keeps registrations");
            assert_eq!((state.running, state.interactive, state.patient), (0, 0, 0));
        }
    }
}

fn job(now: Time, vm: &VmName, number: u64) -> Job {
    Job {
        id: JobId::new(vm, u128::from(number)),
        vm: vm.clone(),
        organisation: "org".into(),
        service: "chat".into(),
        class: Class::Patient,
        deadline: now + Duration::from_hours(1),
        token_target: Duration::from_millis(26),
        prompt_tokens: 1_000,
        max_tokens: 100,
        prefix: Vec::new(),
        fingerprint: u128::from(number),
        once: false,
        offset: 0,
        suspect: false,
    }
}

/// Guards against an owner that has just started and refuses requests, because they arrive before
/// the list of engines. The failure was seen once in the test `eight_processes_survive_signals`.
#[test]
fn a_new_owner_waits_for_its_engines() {
    let [own_vm, ..] = vm_names();
    let now = Time::from_millis(1);
    let mut cell = OwnedCell::new(now, SchedOptions::default(), 1);
    let chat = Job {
        class: Class::Interactive,
        ..job(now, &own_vm, 1)
    };

    let submitted = cell.submit(now, chat, 1);
    let waiting = cell.tick(now + Duration::from_millis(1_500));
    let _ = cell.set_engines(now, &cells().into_values().next().expect("a cell"));
    let started = cell.tick(now + Duration::from_millis(3_500));

    assert_eq!((submitted, waiting), (Vec::new(), Vec::new()));
    let prefill = |action: &Action| matches!(action, Action::StartPrefill { .. });
    assert!(started.iter().any(prefill), "{started:?}");
}

/// Guards against a VM that is partitioned from the others and cancels their requests on engines.
#[test]
fn only_a_majority_cancels_the_work_of_lost_vms() {
    let [own_vm, other, _] = vm_names();
    let id = JobId::new(&other, 1);
    let mut now = Time::from_millis(1);
    let mut core = core(now, &own_vm);
    let minority = View {
        majority: false,
        ..(*view(std::slice::from_ref(&own_vm), true)).clone()
    };

    core.set_view(now, Arc::new(minority));
    let cut_off = report_held(&mut core, &mut now, id);
    core.set_view(now, view(&[own_vm], true));
    let majority = report_held(&mut core, &mut now, id);

    assert_eq!(cut_off, Vec::new());
    assert_eq!(majority, [id]);
}

/// Reports for ten simulated seconds that an engine holds `id`; returns the cancelled ids.
fn report_held(core: &mut CellState, now: &mut Time, id: JobId) -> Vec<JobId> {
    let mut cancelled = Vec::new();
    for _ in 0..20 {
        *now = *now + Duration::from_millis(500);
        let report = EngineReport {
            held: vec![id],
            queue: 0,
        };
        core.engine_update(
            *now,
            &"chat".into(),
            &EngineUpdate::Load("d-1".into(), report.clone()),
        );
        core.tick(*now);
        cancelled.extend(core.take_orphans().into_iter().map(|orphan| orphan.id));
    }
    cancelled
}
