//! The core of the simulation: an event queue in virtual time and the network between processes.

use std::collections::BTreeMap;
use std::time::Duration;

use coord::name::{Upstream, VmName};
use coord::time::Time;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::ast::{CacheEventMode, Scenario};
use crate::caller::Caller;
use crate::engine::{AcceptedWork, Engine};
use crate::platform::Platform;
use crate::vm::{PeerMessage, Vm};

/// A function that the event queue calls at the time of an event.
pub type Event = Box<dyn FnOnce(&mut Simulation)>;

/// The one-way latency between a caller and a VM, and between a VM and an upstream.
pub const HOP_LATENCY: Duration = Duration::from_millis(1);

/// The time at which the simulation starts. It is above zero so that the lag of the published list
/// can be subtracted from it.
const ORIGIN: Time = Time::from_millis(60_000);

/// The injected faults of the network.
///
/// Loss, delay and duplication affect only messages between VMs.
#[derive(Default)]
pub struct Network {
    pub loss_probability: f64,
    pub late_probability: f64,
    pub duplicate_probability: f64,
    /// The side of a partition that each process is on; a process without a side reaches all.
    pub sides: BTreeMap<String, u8>,
}

impl Network {
    /// Returns whether the partition separates two processes.
    pub fn is_partitioned(&self, one: &str, other: &str) -> bool {
        match (self.sides.get(one), self.sides.get(other)) {
            (Some(one), Some(other)) => one != other,
            _ => false,
        }
    }
}

/// The state of all simulated processes, the network and the event queue.
pub struct Simulation {
    pub now: Time,
    pub rng: ChaCha8Rng,
    pub scenario: Scenario,
    pub net: Network,
    pub vms: Vec<Vm>,
    pub engines: BTreeMap<Upstream, Engine>,
    pub platform: Platform,
    pub callers: BTreeMap<String, Caller>,
    pub event_mode: CacheEventMode,
    /// Violations of requirements that hold in every scenario.
    pub violations: Vec<String>,
    /// The work that upstreams have accepted, in order of time.
    pub accepted_work: Vec<AcceptedWork>,
    pub trace: Vec<String>,
    queue: BTreeMap<(Time, u64), Event>,
    sequence: u64,
}

impl Simulation {
    pub fn new(scenario: Scenario) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(scenario.seed);
        let vms = (0..scenario.vms).map(|i| Vm::new(i, &scenario.zones, &mut rng));
        let mut sim = Self {
            now: ORIGIN,
            vms: vms.collect(),
            engines: Engine::from_scenario(&scenario),
            platform: Platform::new(&scenario),
            net: Network::default(),
            callers: BTreeMap::new(),
            event_mode: CacheEventMode::Well,
            violations: Vec::new(),
            accepted_work: Vec::new(),
            trace: Vec::new(),
            queue: BTreeMap::new(),
            sequence: 0,
            rng,
            scenario,
        };
        for vm in 0..sim.vms.len() {
            let delay = Duration::from_micros(sim.rng.random_range(0..100_000));
            sim.schedule(delay, move |sim| sim.start_vm(vm));
        }
        sim
    }

    /// Schedules an event; events of the same time run in the order in which they were scheduled.
    pub fn schedule(&mut self, delay: Duration, event: impl FnOnce(&mut Self) + 'static) {
        self.sequence += 1;
        let at = (self.now + delay, self.sequence);
        self.queue.insert(at, Box::new(event));
    }

    /// Runs the events up to and including `end`.
    pub fn run_until(&mut self, end: Time) {
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), event) = entry.remove_entry();
            self.now = at;
            event(self);
        }
        self.now = end;
    }

    /// Adds a line with the current time to the trace.
    pub fn add_trace(&mut self, text: &str) {
        let ms = self.now.since(ORIGIN).as_micros();
        self.trace
            .push(format!("{}.{:03} ms {text}", ms / 1_000, ms % 1_000));
    }

    pub fn vm_index(&self, name: &VmName) -> Option<usize> {
        let number = name.as_str().strip_prefix("vm-")?.parse::<usize>().ok()?;
        number.checked_sub(1).filter(|vm| *vm < self.vms.len())
    }

    /// Runs an event on a process.
    ///
    /// The event is deferred while the process is paused, and dropped if the process has ended.
    pub fn run_on_vm(
        &mut self,
        vm: usize,
        generation: u32,
        event: impl FnOnce(&mut Self) + 'static,
    ) {
        if self.vms[vm].generation != generation || !self.vms[vm].up {
            return;
        }
        if self.vms[vm].paused {
            let event = move |sim: &mut Self| sim.run_on_vm(vm, generation, event);
            self.vms[vm].deferred.push(Box::new(event));
            return;
        }
        event(self);
    }

    /// Sends a message from one VM to another, subject to the faults of the network.
    ///
    /// Messages of a VM to itself are neither lost, duplicated nor late.
    pub fn send_message(&mut self, from: usize, to: &VmName, message: &PeerMessage) {
        let Some(to) = self.vm_index(to) else {
            return;
        };
        let own = from == to;
        if !own && self.rng.random_bool(self.net.loss_probability) {
            return;
        }
        let copies = 1 + u32::from(!own && self.rng.random_bool(self.net.duplicate_probability));
        for _ in 0..copies {
            let late = !own && self.rng.random_bool(self.net.late_probability);
            let most = if late { 1_000_000 } else { 1_000 };
            let delay = Duration::from_micros(self.rng.random_range(300..=most));
            let message = message.clone();
            let sender = self.vms[from].name.clone();
            self.schedule(delay, move |sim| sim.deliver(&sender, to, message));
        }
    }

    fn deliver(&mut self, from: &VmName, to: usize, message: PeerMessage) {
        if self
            .net
            .is_partitioned(from.as_str(), self.vms[to].name.as_str())
        {
            return;
        }
        let (generation, from) = (self.vms[to].generation, from.clone());
        self.run_on_vm(to, generation, move |sim| sim.receive(to, &from, message));
    }

    /// Sends a message to an upstream.
    ///
    /// `on_arrival` runs at the upstream, or `on_unreachable` at the VM if the upstream is down.
    /// Neither runs if a partition separates the two.
    pub fn call_engine(
        &mut self,
        vm: usize,
        name: &Upstream,
        on_arrival: impl FnOnce(&mut Self) + 'static,
        on_unreachable: impl FnOnce(&mut Self) + 'static,
    ) {
        let (name, own) = (name.clone(), self.vms[vm].name.clone());
        self.schedule(HOP_LATENCY, move |sim| {
            if sim.net.is_partitioned(own.as_str(), name.as_str()) {
                return;
            }
            if sim.engines.get(&name).is_some_and(|engine| engine.up) {
                on_arrival(sim);
            } else {
                sim.schedule(HOP_LATENCY, on_unreachable);
            }
        });
    }
}
