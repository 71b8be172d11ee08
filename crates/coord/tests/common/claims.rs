//! VMs that claim keys in the faulty world, and the checks of what callers were told.

use std::collections::BTreeMap;
use std::time::Duration;

use coord::claim::{Action, AttemptId, ClaimOptions, Claims, Key, Message, Outcome, Start, VmList};
use coord::name::{Incarnation, Organisation};
use coord::time::Time;
use rand::RngExt;
use uuid::{NoContext, Timestamp, Uuid};

use crate::common::{Event, World, name, number};

const TICK: u64 = 0;
const TICK_EVERY: Duration = Duration::from_millis(50);

/// A protection that a run switches off, to show that the checks depend on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Off {
    Nothing,
    /// A VM that is not ready answers questions as if it were.
    Ready,
    /// A VM whose memory is empty grants.
    Fill,
    /// A refusal says `NotRun` without proof.
    Proof,
    /// Records end before the retention time.
    Retention,
}

pub struct Options {
    pub off: Off,
    /// What the checks go by, whatever the VMs are told.
    pub retention: Duration,
    pub claim: ClaimOptions,
    /// VMs on a list; more than 9 have claim sets of 9 that differ between keys.
    pub listed: usize,
}

impl Options {
    /// Half of the seeds let records expire during the run.
    pub fn new(seed: u64, off: Off) -> Self {
        let seconds = if seed % 8 < 4 { 30 } else { 8 };
        let mut claim = ClaimOptions {
            retention: Duration::from_secs(seconds),
            clock_skew: Duration::from_secs(3),
            page_size: 3,
            ..ClaimOptions::default()
        };
        if off == Off::Retention {
            claim.retention /= 3;
        }
        Self {
            off,
            retention: Duration::from_secs(seconds),
            claim,
            listed: 8,
        }
    }
}

struct Open {
    key: usize,
    started: Time,
}

/// What a run has shown.
#[derive(Default)]
pub struct Seen {
    pub dispatched: usize,
    pub not_run: usize,
    pub attached: usize,
    pub unknown: usize,
    pub violations: Vec<String>,
}

pub struct Fleet {
    pub world: World<Message>,
    pub options: Options,
    vms: Vec<Claims>,
    lists: Vec<VmList>,
    keys: Vec<Key>,
    open: BTreeMap<AttemptId, Open>,
    steps: BTreeMap<u64, AttemptId>,
    runs: BTreeMap<usize, Vec<Time>>,
    pub seen: Seen,
}

impl Fleet {
    /// Starts VMs that have been up for longer than the retention time.
    pub fn new(seed: u64, options: Options) -> Self {
        let world = World::new(seed, options.listed + 4);
        let list = VmList::new(1, (0..options.listed).map(name));
        let mut fleet = Self {
            vms: Vec::new(),
            lists: vec![list],
            keys: Vec::new(),
            open: BTreeMap::new(),
            steps: BTreeMap::new(),
            runs: BTreeMap::new(),
            seen: Seen::default(),
            world,
            options,
        };
        for node in 0..fleet.world.nodes.len() {
            let vm = fleet.boot(node);
            fleet.vms.push(vm);
        }
        fleet.world.now = Time::ZERO + Duration::from_secs(40);
        for node in 0..fleet.world.nodes.len() {
            if node >= fleet.options.listed {
                fleet.world.kill(node);
            } else {
                fleet.world.schedule_step(node, Duration::ZERO, TICK);
            }
        }
        fleet.run(Duration::from_secs(3));
        fleet
    }

    fn boot(&mut self, node: usize) -> Claims {
        let newest = self.lists.len() - 1;
        // A stale replica may answer an older list.
        let lag = if self.world.random_bool(0.3) {
            self.world.rng.random_range(0..3)
        } else {
            0
        };
        let list = self.lists[newest.saturating_sub(lag)].clone();
        let start = Start {
            incarnation: Incarnation(self.world.nodes[node].starts),
            boot: self.world.local_time(node),
            unix_ms: self.wall(),
            seed: self.world.rng.random(),
        };
        Claims::new(name(node), start, self.options.claim.clone(), list)
    }

    /// A wall clock that is wrong by up to 1.4 s.
    fn wall(&mut self) -> u64 {
        let error = self.world.rng.random_range(0..2_800);
        1_000_000_000 + self.world.now.as_micros() / 1_000 + error - 1_400
    }

    fn new_key(&mut self, at: usize) -> Key {
        let text = if self.world.random_bool(0.5) {
            let wall = self.wall();
            let time = Timestamp::from_unix(NoContext, wall / 1_000, 0);
            Uuid::new_v7(time).to_string()
        } else {
            format!("key-{at}")
        };
        Key::new(&Organisation::from("souk"), &text)
    }

    pub fn run(&mut self, span: Duration) {
        let end = self.world.now + span;
        while let Some(event) = self.world.next(end) {
            match event {
                Event::Deliver { from, to, message } => {
                    let message = self.weaken(message);
                    let now = self.world.local_time(to);
                    let actions = self.vms[to].receive(now, &name(from), message);
                    self.act(to, actions);
                }
                Event::Step {
                    node, step: TICK, ..
                } => {
                    let now = self.world.local_time(node);
                    let actions = self.vms[node].tick(now);
                    self.act(node, actions);
                    self.world.schedule_step(node, TICK_EVERY, TICK);
                }
                Event::Step { node, step, .. } => self.dispatch(node, step),
            }
        }
    }

    /// Changes a message as if the receiver or the sender lacked a protection.
    fn weaken(&self, message: Message) -> Message {
        let mut message = message;
        match (self.options.off, &mut message) {
            (Off::Ready, Message::Page(page)) => (page.ready, page.complete) = (true, true),
            (Off::Fill, Message::Page(page)) => {
                page.records.clear();
                page.next = None;
            }
            _ => {}
        }
        message
    }

    fn act(&mut self, node: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, message } => self.world.send(node, number(&to), message),
                Action::Decided { attempt, outcome } => self.decided(node, attempt, outcome),
            }
        }
    }

    fn decided(&mut self, node: usize, attempt: AttemptId, outcome: Outcome) {
        if outcome == Outcome::Dispatch {
            let step = self.steps.len() as u64 + 1;
            self.steps.insert(step, attempt);
            let delay = self.world.random_duration(0, 5);
            return self.world.schedule_step(node, delay, step);
        }
        self.refused(attempt, outcome);
    }

    fn dispatch(&mut self, node: usize, step: u64) {
        let attempt = self.steps[&step];
        // Longer pauses between the quorum and the dispatch than the general ones.
        if self.world.random_bool(0.05) {
            let span = self.world.random_duration(100, 8_000);
            self.world.pause(node, span);
            return self.world.schedule_step(node, Duration::ZERO, step);
        }
        let now = self.world.local_time(node);
        match self.vms[node].dispatch(now, attempt) {
            Ok(()) => self.ran(attempt),
            Err(outcome) => self.refused(attempt, outcome),
        }
    }

    fn ran(&mut self, attempt: AttemptId) {
        let open = self.open.remove(&attempt).expect("an attempt ends once");
        let now = self.world.now;
        let runs = self.runs.entry(open.key).or_default();
        let within = self.options.retention;
        if let Some(earlier) = runs.iter().find(|run| now.since(**run) < within) {
            let text = format!("key {} ran at {earlier} and at {now}", open.key);
            self.seen.violations.push(text);
        }
        runs.push(now);
        self.seen.dispatched += 1;
    }

    fn refused(&mut self, attempt: AttemptId, outcome: Outcome) {
        let Some(open) = self.open.remove(&attempt) else {
            return;
        };
        let outcome = match outcome {
            Outcome::Unknown { retry_after } if self.options.off == Off::Proof => {
                Outcome::NotRun { retry_after }
            }
            other => other,
        };
        match outcome {
            Outcome::NotRun { .. } => self.seen.not_run += 1,
            Outcome::Attach { .. } => self.seen.attached += 1,
            _ => self.seen.unknown += 1,
        }
        let runs = self.runs.get(&open.key).into_iter().flatten();
        let within = self.options.retention;
        let mut earlier =
            runs.filter(|run| **run < open.started && open.started.since(**run) < within);
        if let (Outcome::NotRun { .. }, Some(run)) = (outcome, earlier.next()) {
            let text = format!(
                "key {} ran at {run} but a claim of {} got NotRun",
                open.key, open.started
            );
            self.seen.violations.push(text);
        }
    }

    /// Starts a claim on a key that was used lately, or on a new one.
    pub fn claim(&mut self) {
        let node = self.world.random_node();
        if !self.world.is_running(node) {
            return;
        }
        if self.keys.is_empty() || self.world.random_bool(0.1) {
            let key = self.new_key(self.keys.len());
            self.keys.push(key);
        }
        let oldest = self.keys.len().saturating_sub(6);
        let key = self.world.rng.random_range(oldest..self.keys.len());
        self.claim_at(node, key);
        // Rivals for the same key at the same instant split the votes.
        while self.world.random_bool(0.3) {
            let rival = self.world.random_node();
            if self.world.is_running(rival) {
                self.claim_at(rival, key);
            }
        }
    }

    fn claim_at(&mut self, node: usize, key: usize) {
        let (now, started) = (self.world.local_time(node), self.world.now);
        let (attempt, actions) = self.vms[node].start(now, self.keys[key]);
        self.open.insert(attempt, Open { key, started });
        self.act(node, actions);
    }

    /// Lets one to three faults happen at this instant. The seed's profile decides which kinds
    /// are frequent, because a fleet that meets all of them hardly dispatches anything.
    fn fault(&mut self, profile: u64) -> Duration {
        let kinds: &[u32] = match profile {
            0 | 1 => &[0, 1, 2, 3, 4, 5],
            2 => &[0],
            _ => &[3, 5, 5, 5, 2],
        };
        let most = if profile == 2 { 6 } else { 3 };
        for _ in 0..self.world.rng.random_range(1..=most) {
            match kinds[self.world.rng.random_range(0..kinds.len())] {
                0 => {
                    let node = self.world.random_node();
                    self.restart(node);
                }
                1 => {
                    let (node, span) = (
                        self.world.random_node(),
                        self.world.random_duration(100, 6_000),
                    );
                    self.world.pause(node, span);
                }
                2 => {
                    let span = self.world.random_duration(500, 8_000);
                    self.world.split(span);
                }
                3 => self.change_list(),
                4 => self.world.randomize_network(),
                _ => self.hear_list(),
            }
        }
        match profile {
            0 => self.world.random_duration(100, 2_500),
            2 => self.world.random_duration(1_500, 5_000),
            _ => self.world.random_duration(1_000, 8_000),
        }
    }

    /// Restarts a VM if it is listed, otherwise stops or starts it.
    fn restart(&mut self, node: usize) {
        let listed = self.lists.last().expect("a list").contains(&name(node));
        let was_up = self.world.nodes[node].up;
        self.world.kill(node);
        if listed || !was_up {
            self.world.start(node);
            self.vms[node] = self.boot(node);
            self.world.schedule_step(node, TICK_EVERY, TICK);
        }
    }

    /// Publishes a list in which one to three VMs were replaced.
    fn change_list(&mut self) {
        let last = self.lists.last().expect("a list").clone();
        let mut listed: Vec<usize> = last.vms.iter().map(number).collect();
        for _ in 0..self.world.rng.random_range(1..=3) {
            listed.remove(self.world.rng.random_range(0..listed.len()));
        }
        let size = if self.world.random_bool(0.15) {
            self.options.listed - 2
        } else {
            self.options.listed
        };
        while listed.len() < size {
            let node = self.world.random_node();
            if !listed.contains(&node) {
                listed.push(node);
            }
        }
        let names = listed.iter().map(|n| name(*n));
        self.lists.push(VmList::new(last.revision + 1, names));
        for node in listed {
            if !self.world.nodes[node].up {
                self.restart(node);
            }
        }
    }

    /// Lets a few VMs hear of the newest list from the platform.
    fn hear_list(&mut self) {
        for _ in 0..3 {
            let node = self.world.random_node();
            let list = self.lists.last().expect("a list").clone();
            if self.world.is_running(node) {
                let now = self.world.local_time(node);
                let actions = self.vms[node].adopt(now, list);
                self.act(node, actions);
            }
        }
    }

    /// Runs claims and faults for `span`.
    pub fn explore(&mut self, span: Duration, profile: u64) {
        let end = self.world.now + span;
        let mut next_fault = self.world.now;
        while self.world.now < end {
            if self.world.now >= next_fault {
                next_fault = self.world.now + self.fault(profile);
            }
            self.claim();
            let pause = self.world.random_duration(10, 150);
            self.run(pause);
        }
    }
}
