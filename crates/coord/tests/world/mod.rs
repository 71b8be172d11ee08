//! A simulated fleet in virtual time: VMs with membership and configuration, a network and the
//! configuration service.
#![allow(dead_code, reason = "each test file uses some of these items")]

pub mod check;
pub mod faults;
pub mod node;
pub mod service;

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};
use std::time::Duration;

use coord::config::{self, ReadResponse};
use coord::member::{self, Packet};
use coord::name::VmName;
use coord::time::Time;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use node::Node;
use service::Service;

pub const TICK: Duration = Duration::from_millis(50);

#[derive(Clone, Debug)]
pub enum Message {
    Member(Packet),
    Config(VmName, config::Message),
}

impl Message {
    fn from(&self) -> VmName {
        match self {
            Self::Member(packet) => packet.from.name.clone(),
            Self::Config(from, _) => from.clone(),
        }
    }
}

#[derive(Clone, Debug)]
pub enum Event {
    Tick(usize, u32),
    Deliver(usize, Message),
    /// A read arrives at the service: the VM, its generation, the revision and the maximum wait.
    Read(usize, u32, u64, Duration),
    /// A response, or `None` for a failure, arrives at a VM.
    Answer(usize, u32, Option<ReadResponse>),
    /// The maximum wait of a pending read at the service has passed.
    ReadTimeout(u64),
    Resume(usize),
    Start(usize),
    PollList(usize, u32),
}

/// The current faults of the network; the shares are between 0 and 1.
#[derive(Clone, Debug, Default)]
pub struct NetworkFaults {
    pub loss: f64,
    pub duplication: f64,
    /// The share of messages that are late by up to `max_delay_us`.
    pub late_share: f64,
    /// The maximum delay of late messages in microseconds.
    pub max_delay_us: u64,
    /// The partition of each VM; messages between partitions are lost.
    pub partition: Vec<u8>,
    /// Two VMs that cannot reach each other.
    pub broken_link: Option<(usize, usize)>,
}

/// The traffic that all VMs sent while it was counted.
#[derive(Clone, Debug, Default)]
pub struct Traffic {
    pub messages: u64,
    pub bytes: u64,
    pub connections: u64,
    /// The bytes of membership messages.
    pub member_bytes: u64,
    /// The bytes of configuration messages.
    pub config_bytes: u64,
}

pub struct World {
    pub now: Time,
    pub seed: u64,
    pub rng: ChaCha8Rng,
    pub nodes: Vec<Node>,
    pub service: Service,
    pub net: NetworkFaults,
    pub traffic: Traffic,
    pub count_traffic: bool,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    events: std::collections::BTreeMap<u64, Event>,
    last_event: u64,
}

impl World {
    /// Creates a fleet whose VMs boot within the first 100 ms.
    pub fn new(seed: u64, vms: usize, zones: usize, documents: usize) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let nodes: Vec<_> = (0..vms).map(|i| Node::new(i, zones, &mut rng)).collect();
        let mut world = Self {
            now: Time::from_millis(60_000),
            seed,
            rng,
            service: Service::new(documents, nodes.iter().map(Node::to_listed).collect()),
            nodes,
            net: NetworkFaults {
                partition: vec![0; vms],
                max_delay_us: 1_000_000,
                ..NetworkFaults::default()
            },
            traffic: Traffic::default(),
            count_traffic: false,
            queue: BinaryHeap::new(),
            events: std::collections::BTreeMap::new(),
            last_event: 0,
        };
        for vm in 0..vms {
            let delay = Duration::from_micros(world.rng.random_range(0..100_000));
            world.schedule(delay, Event::Start(vm));
        }
        world
    }

    pub fn schedule(&mut self, delay: Duration, event: Event) {
        self.last_event += 1;
        self.queue
            .push(Reverse((self.now + delay, self.last_event)));
        self.events.insert(self.last_event, event);
    }

    /// Handles all events of the next `span`.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(Reverse((at, id))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            let event = self
                .events
                .remove(&id)
                .expect("each queued event is stored");
            self.handle(event);
        }
        self.now = end;
    }

    /// Runs until `done` returns `true` and returns the time taken, or `None` after `limit`.
    pub fn run_until(&mut self, limit: Duration, done: impl Fn(&Self) -> bool) -> Option<Duration> {
        let start = self.now;
        while self.now.since(start) <= limit {
            if done(self) {
                return Some(self.now.since(start));
            }
            self.run(Duration::from_millis(10));
        }
        None
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Start(vm) => self.start(vm),
            Event::Resume(vm) => self.resume(vm),
            Event::Read(vm, generation, since, wait) => self.read(vm, generation, since, wait),
            Event::ReadTimeout(id) => self.time_out_read(id),
            Event::Tick(vm, generation) if self.nodes[vm].generation == generation => {
                if !self.nodes[vm].paused {
                    self.act(vm, Node::tick);
                }
                self.schedule(TICK, Event::Tick(vm, generation));
            }
            Event::PollList(vm, generation) if self.nodes[vm].generation == generation => {
                self.poll_list(vm);
                let pace = Duration::from_millis(self.rng.random_range(900..1_100));
                self.schedule(pace, Event::PollList(vm, generation));
            }
            Event::Deliver(vm, _) | Event::Answer(vm, ..) if self.nodes[vm].paused => {
                self.nodes[vm].deferred.push(event);
            }
            Event::Deliver(vm, message) if self.nodes[vm].up => {
                let from = message.from();
                self.run_node(vm, Some(&from), |node, now| node.deliver(now, message));
            }
            Event::Answer(vm, generation, answer) if self.nodes[vm].generation == generation => {
                self.act(vm, |node, now| node.answer(now, answer));
            }
            Event::Tick(..) | Event::PollList(..) | Event::Deliver(..) | Event::Answer(..) => {}
        }
    }

    fn start(&mut self, vm: usize) {
        let seed = self.rng.random();
        let boot = self.now.as_micros() / 1_000;
        let now = self.now;
        self.nodes[vm].start(now, boot, seed);
        let generation = self.nodes[vm].generation;
        self.schedule(TICK, Event::Tick(vm, generation));
        self.poll_list(vm);
        self.schedule(Duration::from_secs(1), Event::PollList(vm, generation));
    }

    /// Ends the process of a VM, which loses its state.
    pub fn kill(&mut self, vm: usize) {
        self.nodes[vm].kill();
    }

    pub fn pause(&mut self, vm: usize, span: Duration) {
        if self.nodes[vm].up && !self.nodes[vm].paused {
            self.nodes[vm].paused = true;
            self.schedule(span, Event::Resume(vm));
        }
    }

    fn resume(&mut self, vm: usize) {
        if !self.nodes[vm].paused {
            return;
        }
        let now = self.now;
        self.nodes[vm].resume(now);
        for event in std::mem::take(&mut self.nodes[vm].deferred) {
            self.schedule(Duration::ZERO, event);
        }
    }

    fn poll_list(&mut self, vm: usize) {
        if self.nodes[vm].paused {
            return;
        }
        let Some((revision, list)) = self.service.list(self.now, &mut self.rng) else {
            return;
        };
        self.act(vm, |node, now| node.list(now, revision, &list));
    }

    fn act(&mut self, vm: usize, act: impl FnOnce(&mut Node, Time) -> node::Actions) {
        self.run_node(vm, None, act);
    }

    /// Calls a VM and carries out its actions. Messages to `caller` are counted as part of the
    /// reply to its call.
    fn run_node(
        &mut self,
        vm: usize,
        caller: Option<&VmName>,
        act: impl FnOnce(&mut Node, Time) -> node::Actions,
    ) {
        let now = self.now;
        let actions = act(&mut self.nodes[vm], now);
        for action in actions.member {
            if let member::Action::Send { to, packet, .. } = action {
                self.send(vm, &to, caller, &Message::Member(packet));
            }
        }
        for action in actions.config {
            match action {
                config::Action::Send { to, message } => {
                    let from = self.nodes[vm].name.clone();
                    self.send(vm, &to, caller, &Message::Config(from, message));
                }
                config::Action::Read { since, wait } => {
                    let event = Event::Read(vm, self.nodes[vm].generation, since, wait);
                    self.schedule(Duration::from_millis(2), event);
                }
                _ => {}
            }
        }
        self.check_vm(vm);
    }

    fn send(&mut self, from: usize, to: &VmName, caller: Option<&VmName>, message: &Message) {
        let reply = caller == Some(to);
        let to: usize = to.as_str()[3..].parse().expect("names end with the number");
        if self.count_traffic {
            self.record_traffic(from, to, reply, message);
        }
        let broken = self
            .net
            .broken_link
            .is_some_and(|(a, b)| (from, to) == (a, b) || (to, from) == (a, b));
        let cut = broken || self.net.partition[from] != self.net.partition[to];
        if cut || self.rng.random_bool(self.net.loss) {
            return;
        }
        let copies = if self.rng.random_bool(self.net.duplication) {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let is_late = self.rng.random_bool(self.net.late_share);
            let max_delay = if is_late {
                self.net.max_delay_us
            } else {
                1_000
            };
            let delay = Duration::from_micros(self.rng.random_range(300..=max_delay));
            self.schedule(delay, Event::Deliver(to, message.clone()));
        }
    }

    fn record_traffic(&mut self, from: usize, to: usize, reply: bool, message: &Message) {
        /// The overhead of a message: TCP/IP headers of the call, its reply and their
        /// acknowledgements, the frame, the envelope and the fields of the RPC.
        const OVERHEAD_BYTES: u64 = 200;
        /// The cost of a new connection: the handshake and the HTTP upgrade.
        const CONNECT_BYTES: u64 = 700;
        let body = match message {
            Message::Member(packet) => rmp_serde::to_vec(packet),
            Message::Config(_, message) => rmp_serde::to_vec(message),
        };
        let bytes = body.expect("messages can be encoded").len() as u64 + OVERHEAD_BYTES;
        let new = !reply && !self.nodes[from].use_connection(to);
        self.traffic.messages += 1;
        self.traffic.bytes += bytes + if new { CONNECT_BYTES } else { 0 };
        self.traffic.connections += u64::from(new);
        match message {
            Message::Member(_) => self.traffic.member_bytes += bytes,
            Message::Config(..) => self.traffic.config_bytes += bytes,
        }
    }

    pub fn running_vms(&self) -> BTreeSet<VmName> {
        let up = self.nodes.iter().filter(|node| node.up);
        up.map(|node| node.name.clone()).collect()
    }
}
