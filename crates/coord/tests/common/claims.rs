//! A simulated fleet of VMs that claim keys under faults, with checks of the outcomes that callers
//! get.

use std::collections::BTreeMap;
use std::time::Duration;

use coord::claim::{Action, AttemptId, ClaimOptions, Claims, Key, Message, Outcome, Start, VmList};
use coord::name::{Incarnation, Organisation};
use coord::time::Time;
use rand::RngExt;
use uuid::{NoContext, Timestamp, Uuid};

use crate::common::{Event, World, name, number};

const TICK_STEP: u64 = 0;
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// A safety rule that a run disables, to show that the checks depend on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disabled {
    Nothing,
    /// A VM that is not ready reports itself as ready in its pages.
    Ready,
    /// A VM copies no records from the other VMs before it grants.
    RecordSync,
    /// An `Unknown` outcome is reported as `NotRun`.
    NotRunProof,
    /// Records expire before the retention time.
    Retention,
}

pub struct Options {
    pub disabled: Disabled,
    /// The retention time that the checks use, whatever the VMs are configured with.
    pub retention: Duration,
    pub claim: ClaimOptions,
    /// Number of VMs on a list. With more than 9, the claim sets have 9 VMs and differ between
    /// keys.
    pub list_size: usize,
}

impl Options {
    /// Creates the options of a run. In half of the seeds, records expire during the run.
    pub fn new(seed: u64, disabled: Disabled) -> Self {
        let seconds = if seed % 8 < 4 { 30 } else { 8 };
        let mut claim = ClaimOptions {
            retention: Duration::from_secs(seconds),
            clock_skew: Duration::from_secs(3),
            page_size: 3,
            ..ClaimOptions::default()
        };
        if disabled == Disabled::Retention {
            claim.retention /= 3;
        }
        Self {
            disabled,
            retention: Duration::from_secs(seconds),
            claim,
            list_size: 8,
        }
    }
}

struct OpenClaim {
    key: usize,
    started: Time,
}

/// The outcomes of a run, and the violations that the checks found.
#[derive(Default)]
pub struct Results {
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
    open_claims: BTreeMap<AttemptId, OpenClaim>,
    dispatch_steps: BTreeMap<u64, AttemptId>,
    runs: BTreeMap<usize, Vec<Time>>,
    pub results: Results,
}

impl Fleet {
    /// Creates a fleet whose VMs have been running for longer than the retention time.
    pub fn new(seed: u64, options: Options) -> Self {
        let world = World::new(seed, options.list_size + 4);
        let list = VmList::new(1, (0..options.list_size).map(name));
        let mut fleet = Self {
            vms: Vec::new(),
            lists: vec![list],
            keys: Vec::new(),
            open_claims: BTreeMap::new(),
            dispatch_steps: BTreeMap::new(),
            runs: BTreeMap::new(),
            results: Results::default(),
            world,
            options,
        };
        for node in 0..fleet.world.nodes.len() {
            let vm = fleet.boot(node);
            fleet.vms.push(vm);
        }
        fleet.world.now = Time::ZERO + Duration::from_secs(40);
        for node in 0..fleet.world.nodes.len() {
            if node >= fleet.options.list_size {
                fleet.world.kill(node);
            } else {
                fleet.world.schedule_step(node, Duration::ZERO, TICK_STEP);
            }
        }
        fleet.run(Duration::from_secs(3));
        fleet
    }

    fn boot(&mut self, node: usize) -> Claims {
        let newest = self.lists.len() - 1;
        // A stale replica of the published list may answer with an older revision.
        let lag = if self.world.random_bool(0.3) {
            self.world.rng.random_range(0..3)
        } else {
            0
        };
        let list = self.lists[newest.saturating_sub(lag)].clone();
        let start = Start {
            incarnation: Incarnation(self.world.nodes[node].starts),
            boot: self.world.local_time(node),
            unix_ms: self.unix_ms(),
            seed: self.world.rng.random(),
        };
        Claims::new(name(node), start, self.options.claim.clone(), list)
    }

    /// Reads a wall clock that is wrong by up to 1.4 s.
    fn unix_ms(&mut self) -> u64 {
        let error = self.world.rng.random_range(0..2_800);
        1_000_000_000 + self.world.now.as_micros() / 1_000 + error - 1_400
    }

    fn new_key(&mut self, at: usize) -> Key {
        let text = if self.world.random_bool(0.5) {
            let unix_ms = self.unix_ms();
            let time = Timestamp::from_unix(NoContext, unix_ms / 1_000, 0);
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
                    let message = self.apply_disabled(message);
                    let now = self.world.local_time(to);
                    let actions = self.vms[to].receive(now, &name(from), message);
                    self.run_actions(to, actions);
                }
                Event::Step {
                    node,
                    step: TICK_STEP,
                    ..
                } => {
                    let now = self.world.local_time(node);
                    let actions = self.vms[node].tick(now);
                    self.run_actions(node, actions);
                    self.world.schedule_step(node, TICK_INTERVAL, TICK_STEP);
                }
                Event::Step { node, step, .. } => self.dispatch(node, step),
            }
        }
    }

    /// Changes a message as if the receiver or the sender did not have the disabled safety rule.
    fn apply_disabled(&self, message: Message) -> Message {
        let mut message = message;
        match (self.options.disabled, &mut message) {
            (Disabled::Ready, Message::Page(page)) => (page.ready, page.complete) = (true, true),
            (Disabled::RecordSync, Message::Page(page)) => {
                page.records.clear();
                page.next = None;
            }
            _ => {}
        }
        message
    }

    fn run_actions(&mut self, node: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, message } => self.world.send(node, number(&to), message),
                Action::Decided { attempt, outcome } => self.handle_outcome(node, attempt, outcome),
            }
        }
    }

    fn handle_outcome(&mut self, node: usize, attempt: AttemptId, outcome: Outcome) {
        if outcome == Outcome::Dispatch {
            let step = self.dispatch_steps.len() as u64 + 1;
            self.dispatch_steps.insert(step, attempt);
            let delay = self.world.random_duration(0, 5);
            return self.world.schedule_step(node, delay, step);
        }
        self.record_refusal(attempt, outcome);
    }

    fn dispatch(&mut self, node: usize, step: u64) {
        let attempt = self.dispatch_steps[&step];
        // A pause between the quorum and the dispatch, in addition to the general pauses of VMs.
        if self.world.random_bool(0.05) {
            let span = self.world.random_duration(100, 8_000);
            self.world.pause(node, span);
            return self.world.schedule_step(node, Duration::ZERO, step);
        }
        let now = self.world.local_time(node);
        match self.vms[node].dispatch(now, attempt) {
            Ok(()) => self.record_run(attempt),
            Err(outcome) => self.record_refusal(attempt, outcome),
        }
    }

    fn record_run(&mut self, attempt: AttemptId) {
        let open = self
            .open_claims
            .remove(&attempt)
            .expect("an attempt ends once");
        let now = self.world.now;
        let runs = self.runs.entry(open.key).or_default();
        let within = self.options.retention;
        if let Some(earlier) = runs.iter().find(|run| now.since(**run) < within) {
            let text = format!("key {} ran at {earlier} and at {now}", open.key);
            self.results.violations.push(text);
        }
        runs.push(now);
        self.results.dispatched += 1;
    }

    fn record_refusal(&mut self, attempt: AttemptId, outcome: Outcome) {
        let Some(open) = self.open_claims.remove(&attempt) else {
            return;
        };
        let outcome = match outcome {
            Outcome::Unknown { retry_after } if self.options.disabled == Disabled::NotRunProof => {
                Outcome::NotRun { retry_after }
            }
            other => other,
        };
        match outcome {
            Outcome::NotRun { .. } => self.results.not_run += 1,
            Outcome::Attach { .. } => self.results.attached += 1,
            _ => self.results.unknown += 1,
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
            self.results.violations.push(text);
        }
    }

    /// Starts a claim on a recently used or new key.
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
        // Concurrent claims on the same key can divide the grants so that none has a quorum.
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
        self.open_claims.insert(attempt, OpenClaim { key, started });
        self.run_actions(node, actions);
    }

    /// Injects one to three faults, or up to six in profile 2, and returns the time until the next
    /// faults. The seed's profile selects the kinds of faults, because a fleet under all kinds at
    /// once dispatches hardly any claims.
    fn inject_faults(&mut self, profile: u64) -> Duration {
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
                _ => self.deliver_newest_list(),
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
            self.world.schedule_step(node, TICK_INTERVAL, TICK_STEP);
        }
    }

    /// Publishes a list in which one to three VMs are replaced.
    fn change_list(&mut self) {
        let last = self.lists.last().expect("a list").clone();
        let mut listed: Vec<usize> = last.vms.iter().map(number).collect();
        for _ in 0..self.world.rng.random_range(1..=3) {
            listed.remove(self.world.rng.random_range(0..listed.len()));
        }
        let size = if self.world.random_bool(0.15) {
            self.options.list_size - 2
        } else {
            self.options.list_size
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

    /// Delivers the newest list to up to three VMs.
    fn deliver_newest_list(&mut self) {
        for _ in 0..3 {
            let node = self.world.random_node();
            let list = self.lists.last().expect("a list").clone();
            if self.world.is_running(node) {
                let now = self.world.local_time(node);
                let actions = self.vms[node].adopt(now, list);
                self.run_actions(node, actions);
            }
        }
    }

    /// Runs claims under faults for `span`.
    pub fn explore(&mut self, span: Duration, profile: u64) {
        let end = self.world.now + span;
        let mut next_fault = self.world.now;
        while self.world.now < end {
            if self.world.now >= next_fault {
                next_fault = self.world.now + self.inject_faults(profile);
            }
            self.claim();
            let pause = self.world.random_duration(10, 150);
            self.run(pause);
        }
    }
}
