//! A fleet in virtual time: VMs with membership and configuration, a network and a service.
#![allow(dead_code, reason = "each test file uses a part of the world")]

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
pub enum Letter {
    Member(Packet),
    Config(VmName, config::Message),
}

impl Letter {
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
    Deliver(usize, Letter),
    /// A read arrives at the service.
    Read(usize, u32, u64, Duration),
    /// An answer, or `None` for a failure, arrives at a VM.
    Answer(usize, u32, Option<ReadResponse>),
    /// The end of a waiting read at the service.
    Due(u64),
    Resume(usize),
    Start(usize),
    Poll(usize, u32),
}

/// Faults of the network.
#[derive(Clone, Debug, Default)]
pub struct Net {
    pub loss: f64,
    pub double: f64,
    /// The share of messages that are late by up to `delay`.
    pub late: f64,
    /// The longest delay of late messages in microseconds.
    pub delay: u64,
    /// The side of each VM; messages between sides are lost.
    pub side: Vec<u8>,
    /// Two VMs that cannot reach each other.
    pub broken: Option<(usize, usize)>,
}

/// What the VMs sent.
#[derive(Clone, Debug, Default)]
pub struct Traffic {
    pub messages: u64,
    pub bytes: u64,
    pub connects: u64,
    /// Messages by kind, for the printed tables.
    pub member: u64,
    pub config: u64,
}

pub struct World {
    pub now: Time,
    pub seed: u64,
    pub rng: ChaCha8Rng,
    pub nodes: Vec<Node>,
    pub service: Service,
    pub net: Net,
    pub traffic: Traffic,
    pub measure: bool,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    events: std::collections::BTreeMap<u64, Event>,
    count: u64,
}

impl World {
    /// Returns a fleet whose VMs all boot within the first 100 ms.
    pub fn new(seed: u64, vms: usize, zones: usize, documents: usize) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let nodes: Vec<_> = (0..vms).map(|i| Node::new(i, zones, &mut rng)).collect();
        let mut world = Self {
            now: Time::from_millis(60_000),
            seed,
            rng,
            service: Service::new(documents, nodes.iter().map(Node::listed).collect()),
            nodes,
            net: Net {
                side: vec![0; vms],
                delay: 1_000_000,
                ..Net::default()
            },
            traffic: Traffic::default(),
            measure: false,
            queue: BinaryHeap::new(),
            events: std::collections::BTreeMap::new(),
            count: 0,
        };
        for vm in 0..vms {
            let delay = Duration::from_micros(world.rng.random_range(0..100_000));
            world.schedule(delay, Event::Start(vm));
        }
        world
    }

    pub fn schedule(&mut self, delay: Duration, event: Event) {
        self.count += 1;
        self.queue.push(Reverse((self.now + delay, self.count)));
        self.events.insert(self.count, event);
    }

    /// Runs until `span` has passed.
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

    /// Runs until `done` holds, at most `limit`; returns the time taken.
    pub fn until(&mut self, limit: Duration, done: impl Fn(&Self) -> bool) -> Option<Duration> {
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
            Event::Read(vm, life, since, wait) => self.read(vm, life, since, wait),
            Event::Due(id) => self.read_due(id),
            Event::Tick(vm, life) if self.nodes[vm].life == life => {
                if !self.nodes[vm].paused {
                    self.act(vm, Node::tick);
                }
                self.schedule(TICK, Event::Tick(vm, life));
            }
            Event::Poll(vm, life) if self.nodes[vm].life == life => {
                self.poll_list(vm);
                let pace = Duration::from_millis(self.rng.random_range(900..1_100));
                self.schedule(pace, Event::Poll(vm, life));
            }
            Event::Deliver(vm, _) | Event::Answer(vm, ..) if self.nodes[vm].paused => {
                self.nodes[vm].held.push(event);
            }
            Event::Deliver(vm, letter) if self.nodes[vm].up => {
                let from = letter.from();
                self.act_on(vm, Some(&from), |node, now| node.deliver(now, letter));
            }
            Event::Answer(vm, life, answer) if self.nodes[vm].life == life => {
                self.act(vm, |node, now| node.answer(now, answer));
            }
            Event::Tick(..) | Event::Poll(..) | Event::Deliver(..) | Event::Answer(..) => {}
        }
    }

    fn start(&mut self, vm: usize) {
        let seed = self.rng.random();
        let boot = self.now.as_micros() / 1_000;
        let now = self.now;
        self.nodes[vm].start(now, boot, seed);
        let life = self.nodes[vm].life;
        self.schedule(TICK, Event::Tick(vm, life));
        self.poll_list(vm);
        self.schedule(Duration::from_secs(1), Event::Poll(vm, life));
    }

    /// Ends a process; its memory is lost.
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
        for event in std::mem::take(&mut self.nodes[vm].held) {
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
        self.act_on(vm, None, act);
    }

    /// Lets a VM act and sends what it wants sent. Messages to `caller` travel in the reply.
    fn act_on(
        &mut self,
        vm: usize,
        caller: Option<&VmName>,
        act: impl FnOnce(&mut Node, Time) -> node::Actions,
    ) {
        let now = self.now;
        let actions = act(&mut self.nodes[vm], now);
        for action in actions.member {
            if let member::Action::Send { to, packet, .. } = action {
                self.send(vm, &to, caller, &Letter::Member(packet));
            }
        }
        for action in actions.config {
            match action {
                config::Action::Send { to, message } => {
                    let from = self.nodes[vm].name.clone();
                    self.send(vm, &to, caller, &Letter::Config(from, message));
                }
                config::Action::Read { since, wait } => {
                    let event = Event::Read(vm, self.nodes[vm].life, since, wait);
                    self.schedule(Duration::from_millis(2), event);
                }
                _ => {}
            }
        }
        self.check(vm);
    }

    fn send(&mut self, from: usize, to: &VmName, caller: Option<&VmName>, letter: &Letter) {
        let reply = caller == Some(to);
        let to: usize = to.as_str()[3..].parse().expect("names end with the number");
        if self.measure {
            self.count_traffic(from, to, reply, letter);
        }
        let broken = self
            .net
            .broken
            .is_some_and(|(a, b)| (from, to) == (a, b) || (to, from) == (a, b));
        let cut = broken || self.net.side[from] != self.net.side[to];
        if cut || self.rng.random_bool(self.net.loss) {
            return;
        }
        let copies = if self.rng.random_bool(self.net.double) {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let late = self.rng.random_bool(self.net.late);
            let most = if late { self.net.delay } else { 1_000 };
            let delay = Duration::from_micros(self.rng.random_range(300..=most));
            self.schedule(delay, Event::Deliver(to, letter.clone()));
        }
    }

    fn count_traffic(&mut self, from: usize, to: usize, reply: bool, letter: &Letter) {
        /// TCP/IP headers of the call, its reply and their acknowledgements, the frame, the
        /// envelope and the RPC's own fields, per message.
        const OVERHEAD: u64 = 200;
        /// The handshake and the HTTP upgrade of a new connection.
        const CONNECT: u64 = 700;
        let body = match letter {
            Letter::Member(packet) => rmp_serde::to_vec(packet),
            Letter::Config(_, message) => rmp_serde::to_vec(message),
        };
        let bytes = body.expect("messages can be encoded").len() as u64 + OVERHEAD;
        let new = !reply && !self.nodes[from].connected(to);
        self.traffic.messages += 1;
        self.traffic.bytes += bytes + if new { CONNECT } else { 0 };
        self.traffic.connects += u64::from(new);
        match letter {
            Letter::Member(_) => self.traffic.member += bytes,
            Letter::Config(..) => self.traffic.config += bytes,
        }
    }

    pub fn up(&self) -> BTreeSet<VmName> {
        let up = self.nodes.iter().filter(|node| node.up);
        up.map(|node| node.name.clone()).collect()
    }
}
