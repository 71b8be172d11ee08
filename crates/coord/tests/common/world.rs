//! A simulation in virtual time of VMs with clocks of their own and a network that loses, delays,
//! duplicates and reorders messages. Runs with the same seed are identical.

use std::collections::BTreeMap;
use std::time::Duration;

use coord::name::VmName;
use coord::time::Time;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Maximum delay of a late message.
const MAX_DELAY_MS: u64 = 4_000;

/// The state of one VM in the simulation. Both simulated instants and instants on the VM's own
/// clock are [`Time`] values.
pub struct Node {
    /// Error of the clock rate in millionths, at most 1% in either direction.
    drift_ppm: i64,
    offset: Duration,
    /// Number of starts of the VM, which is used as its incarnation.
    pub starts: u64,
    /// Whether the VM's process exists. It may be paused.
    pub up: bool,
    /// The VM is paused until this instant.
    pub paused: Time,
    side: u8,
}

impl Node {
    /// Converts a simulated instant to the VM's own clock, which also advances during pauses.
    pub fn local_time(&self, now: Time) -> Time {
        let parts = u64::try_from(1_000_000 + self.drift_ppm).expect("rate above -100%");
        Time::from_micros(now.as_micros() / 1_000 * parts / 1_000) + self.offset
    }
}

/// A scheduled event.
#[allow(dead_code, reason = "each test file uses a part of the simulation")]
pub enum Event<M> {
    /// A message arrives.
    Deliver { from: usize, to: usize, message: M },
    /// A step of a VM that the test scheduled.
    Step { node: usize, starts: u64, step: u64 },
}

/// The simulated VMs, their network and the scheduled events.
pub struct World<M> {
    pub rng: ChaCha8Rng,
    pub now: Time,
    pub nodes: Vec<Node>,
    events: BTreeMap<(Time, u64), Event<M>>,
    sequence: u64,
    /// Shares of messages that are lost, duplicated and delayed.
    pub loss_rate: f64,
    pub duplicate_rate: f64,
    pub delay_rate: f64,
    partition_end: Time,
}

impl<M: Clone> World<M> {
    /// Creates `size` VMs whose clocks differ in offset and by up to 1% in rate.
    pub fn new(seed: u64, size: usize) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let node = |rng: &mut ChaCha8Rng| Node {
            drift_ppm: rng.random_range(-10_000..=10_000),
            offset: Duration::from_millis(rng.random_range(0..1_000_000)),
            starts: 1,
            up: true,
            paused: Time::ZERO,
            side: 0,
        };
        Self {
            nodes: (0..size).map(|_| node(&mut rng)).collect(),
            rng,
            now: Time::ZERO,
            events: BTreeMap::new(),
            sequence: 0,
            loss_rate: 0.0,
            duplicate_rate: 0.0,
            delay_rate: 0.0,
            partition_end: Time::ZERO,
        }
    }

    /// Draws a duration between two numbers of milliseconds.
    pub fn random_duration(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_micros(self.rng.random_range(from * 1_000..=to * 1_000))
    }

    /// Draws true with probability `p`.
    pub fn random_bool(&mut self, p: f64) -> bool {
        self.rng.random_bool(p)
    }

    /// Draws a VM at random.
    #[allow(dead_code, reason = "each test file uses a part of the simulation")]
    pub fn random_node(&mut self) -> usize {
        self.rng.random_range(0..self.nodes.len())
    }

    /// Returns the present time on a VM's own clock.
    pub fn local_time(&self, node: usize) -> Time {
        self.nodes[node].local_time(self.now)
    }

    /// Returns whether the VM is neither stopped nor paused.
    #[allow(dead_code, reason = "each test file uses a part of the simulation")]
    pub fn is_running(&self, node: usize) -> bool {
        self.nodes[node].up && self.nodes[node].paused <= self.now
    }

    fn push(&mut self, at: Time, event: Event<M>) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), event);
    }

    /// Schedules a step of a VM, which is dropped if the VM is restarted before.
    pub fn schedule_step(&mut self, node: usize, after: Duration, step: u64) {
        let starts = self.nodes[node].starts;
        self.push(self.now + after, Event::Step { node, starts, step });
    }

    /// Returns whether a partition currently separates two VMs.
    pub fn is_partitioned(&self, from: usize, to: usize) -> bool {
        self.now < self.partition_end && self.nodes[from].side != self.nodes[to].side
    }

    /// Sends a message that arrives within the given number of milliseconds, regardless of
    /// partitions and message loss.
    #[allow(dead_code, reason = "each test file uses a part of the simulation")]
    pub fn send_reliably(&mut self, from: usize, to: usize, message: M, within: u64) {
        let at = self.now + self.random_duration(0, within);
        self.push(at, Event::Deliver { from, to, message });
    }

    /// Sends a message over the network, which may lose, duplicate or delay it.
    pub fn send(&mut self, from: usize, to: usize, message: M) {
        if self.is_partitioned(from, to) || self.random_bool(self.loss_rate) {
            return;
        }
        let copies = if self.random_bool(self.duplicate_rate) {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let mut delay = self.random_duration(0, 3);
            if self.random_bool(self.delay_rate) {
                let most = if self.random_bool(0.5) {
                    MAX_DELAY_MS
                } else {
                    MAX_DELAY_MS / 8
                };
                delay = self.random_duration(1, most);
            }
            let message = message.clone();
            self.push(self.now + delay, Event::Deliver { from, to, message });
        }
    }

    /// Advances to the next event and returns it, or returns `None` when `end` is reached.
    ///
    /// Events of a paused VM are postponed until it resumes. Events of a stopped VM and steps of an
    /// earlier start are dropped.
    pub fn next(&mut self, end: Time) -> Option<Event<M>> {
        loop {
            let entry = self.events.first_entry()?;
            let (at, _) = *entry.key();
            if at > end {
                self.now = end;
                return None;
            }
            let event = entry.remove();
            self.now = at;
            let node = match &event {
                Event::Deliver { to, .. } => *to,
                Event::Step { node, .. } => *node,
            };
            let starts = self.nodes[node].starts;
            let old = matches!(&event, Event::Step { starts: s, .. } if *s != starts);
            if !self.nodes[node].up || old {
                continue;
            }
            let paused = self.nodes[node].paused;
            if paused > self.now {
                self.push(paused, event);
                continue;
            }
            return Some(event);
        }
    }

    /// Stops a VM's process.
    pub fn kill(&mut self, node: usize) {
        self.nodes[node].up = false;
    }

    /// Starts a VM's process again.
    pub fn start(&mut self, node: usize) {
        let vm = &mut self.nodes[node];
        vm.up = true;
        vm.starts += 1;
        vm.paused = self.now;
    }

    /// Pauses a VM's process.
    pub fn pause(&mut self, node: usize, span: Duration) {
        self.nodes[node].paused = self.now + span;
    }

    /// Partitions the VMs at random into two groups that cannot reach each other for `span`.
    pub fn split(&mut self, span: Duration) {
        for node in 0..self.nodes.len() {
            self.nodes[node].side = self.rng.random_range(0..2);
        }
        self.partition_end = self.now + span;
    }

    /// Draws a rate of up to 30 % at which messages are lost, duplicated and delayed.
    pub fn randomize_network(&mut self) {
        let bad = self.rng.random_range(0.0..0.3);
        (self.loss_rate, self.duplicate_rate, self.delay_rate) = (bad, bad, bad);
    }
}

/// Returns the name of the VM with this number.
pub fn name(node: usize) -> VmName {
    VmName::from(format!("vm-{node:02}"))
}

/// Returns the number of the VM with this name.
pub fn number(name: &VmName) -> usize {
    name.as_str()[3..]
        .parse()
        .expect("a name of a simulated VM")
}
