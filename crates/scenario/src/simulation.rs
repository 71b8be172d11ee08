//! The world of a scenario: an event queue in virtual time and a simulated network.

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

/// Something that happens at an instant.
pub type Event = Box<dyn FnOnce(&mut Simulation)>;

/// The one-way latency between a caller and a VM, and between a VM and an upstream.
pub const HOP_LATENCY: Duration = Duration::from_millis(1);

/// The instant at which the first VM starts. Above zero, so that lags before it can be expressed.
const ORIGIN: Time = Time::from_millis(60_000);

/// Faults of the network between VMs.
#[derive(Default)]
pub struct Network {
    pub loss_probability: f64,
    pub late_probability: f64,
    pub duplicate_probability: f64,
    /// The sides of a partition; a process without a side reaches all.
    pub sides: BTreeMap<String, u8>,
}

impl Network {
    pub fn is_partitioned(&self, one: &str, other: &str) -> bool {
        match (self.sides.get(one), self.sides.get(other)) {
            (Some(one), Some(other)) => one != other,
            _ => false,
        }
    }
}

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
    /// Violations of what holds in every scenario.
    pub violations: Vec<String>,
    /// What upstreams accepted.
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

    /// Lets `event` happen after `delay`.
    pub fn schedule(&mut self, delay: Duration, event: impl FnOnce(&mut Self) + 'static) {
        self.sequence += 1;
        let at = (self.now + delay, self.sequence);
        self.queue.insert(at, Box::new(event));
    }

    /// Runs until `end`.
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

    /// Adds a line to the trace, which is shown when an expectation is not met.
    pub fn add_trace(&mut self, text: &str) {
        let ms = self.now.since(ORIGIN).as_micros();
        self.trace
            .push(format!("{}.{:03} ms {text}", ms / 1_000, ms % 1_000));
    }

    pub fn vm_index(&self, name: &VmName) -> Option<usize> {
        let number = name.as_str().strip_prefix("vm-")?.parse::<usize>().ok()?;
        number.checked_sub(1).filter(|vm| *vm < self.vms.len())
    }

    /// Lets something happen to a process: later if it is paused, never if it ended before.
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

    /// Sends a message from one VM to another, with the faults of the network.
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

    /// Sends something to an upstream; `unreached` happens at the VM if no process answers there.
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
