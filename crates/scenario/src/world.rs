//! The world of a scenario: an event queue in virtual time and a simulated network.

use std::collections::BTreeMap;
use std::time::Duration;

use coord::name::{Upstream, VmName};
use coord::time::Time;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::ast::{Events, Scenario};
use crate::caller::Caller;
use crate::engine::{Engine, Work};
use crate::platform::Platform;
use crate::vm::{Letter, Vm};

/// Something that happens at an instant.
pub type Event = Box<dyn FnOnce(&mut World)>;

/// The one-way latency between a caller and a VM, and between a VM and an upstream.
pub const HOP: Duration = Duration::from_millis(1);

/// The instant at which the first VM starts. Above zero, so that lags before it can be expressed.
const ORIGIN: Time = Time::from_millis(60_000);

/// Faults of the network between VMs.
#[derive(Default)]
pub struct Net {
    pub loss: f64,
    pub late: f64,
    pub double: f64,
    /// The sides of a partition; a process without a side reaches all.
    pub sides: BTreeMap<String, u8>,
}

impl Net {
    pub fn cut(&self, one: &str, other: &str) -> bool {
        match (self.sides.get(one), self.sides.get(other)) {
            (Some(one), Some(other)) => one != other,
            _ => false,
        }
    }
}

pub struct World {
    pub now: Time,
    pub rng: ChaCha8Rng,
    pub scenario: Scenario,
    pub net: Net,
    pub vms: Vec<Vm>,
    pub engines: BTreeMap<Upstream, Engine>,
    pub platform: Platform,
    pub callers: BTreeMap<String, Caller>,
    pub events: Events,
    /// Violations of what holds in every scenario.
    pub broken: Vec<String>,
    /// What upstreams accepted.
    pub works: Vec<Work>,
    pub trace: Vec<String>,
    queue: BTreeMap<(Time, u64), Event>,
    count: u64,
}

impl World {
    pub fn new(scenario: Scenario) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(scenario.seed);
        let vms = (0..scenario.vms).map(|i| Vm::new(i, &scenario.zones, &mut rng));
        let mut world = Self {
            now: ORIGIN,
            vms: vms.collect(),
            engines: Engine::all(&scenario),
            platform: Platform::new(&scenario),
            net: Net::default(),
            callers: BTreeMap::new(),
            events: Events::Well,
            broken: Vec::new(),
            works: Vec::new(),
            trace: Vec::new(),
            queue: BTreeMap::new(),
            count: 0,
            rng,
            scenario,
        };
        for vm in 0..world.vms.len() {
            let delay = Duration::from_micros(world.rng.random_range(0..100_000));
            world.after(delay, move |world| world.start_vm(vm));
        }
        world
    }

    /// Lets `event` happen after `delay`.
    pub fn after(&mut self, delay: Duration, event: impl FnOnce(&mut Self) + 'static) {
        self.count += 1;
        let at = (self.now + delay, self.count);
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
    pub fn note(&mut self, text: &str) {
        let ms = self.now.since(ORIGIN).as_micros();
        self.trace
            .push(format!("{}.{:03} ms {text}", ms / 1_000, ms % 1_000));
    }

    pub fn vm_number(&self, name: &VmName) -> Option<usize> {
        let number = name.as_str().strip_prefix("vm-")?.parse::<usize>().ok()?;
        number.checked_sub(1).filter(|vm| *vm < self.vms.len())
    }

    /// Lets something happen to a process: later if it is paused, never if it ended before.
    pub fn on_vm(&mut self, vm: usize, life: u32, event: impl FnOnce(&mut Self) + 'static) {
        if self.vms[vm].life != life || !self.vms[vm].up {
            return;
        }
        if self.vms[vm].paused {
            let event = move |world: &mut Self| world.on_vm(vm, life, event);
            self.vms[vm].held.push(Box::new(event));
            return;
        }
        event(self);
    }

    /// Sends a message from one VM to another, with the faults of the network.
    pub fn post(&mut self, from: usize, to: &VmName, letter: &Letter) {
        let Some(to) = self.vm_number(to) else {
            return;
        };
        let own = from == to;
        if !own && self.rng.random_bool(self.net.loss) {
            return;
        }
        let copies = 1 + u32::from(!own && self.rng.random_bool(self.net.double));
        for _ in 0..copies {
            let late = !own && self.rng.random_bool(self.net.late);
            let most = if late { 1_000_000 } else { 1_000 };
            let delay = Duration::from_micros(self.rng.random_range(300..=most));
            let letter = letter.clone();
            let sender = self.vms[from].name.clone();
            self.after(delay, move |world| world.deliver(&sender, to, letter));
        }
    }

    fn deliver(&mut self, from: &VmName, to: usize, letter: Letter) {
        if self.net.cut(from.as_str(), self.vms[to].name.as_str()) {
            return;
        }
        let (life, from) = (self.vms[to].life, from.clone());
        self.on_vm(to, life, move |world| world.receive(to, &from, letter));
    }

    /// Sends something to an upstream; `unreached` happens at the VM if no process answers there.
    pub fn call_engine(
        &mut self,
        vm: usize,
        name: &Upstream,
        arrive: impl FnOnce(&mut Self) + 'static,
        unreached: impl FnOnce(&mut Self) + 'static,
    ) {
        let (name, own) = (name.clone(), self.vms[vm].name.clone());
        self.after(HOP, move |world| {
            if world.net.cut(own.as_str(), name.as_str()) {
                return;
            }
            if world.engines.get(&name).is_some_and(|engine| engine.up) {
                arrive(world);
            } else {
                world.after(HOP, unreached);
            }
        });
    }
}
