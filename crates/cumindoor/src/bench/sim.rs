//! The driver: an event queue in virtual time between a policy and the fake engines.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use coord::name::Upstream;
use coord::sched::{Action, Attempt, CacheEvent, Engine, EngineReport, JobId, Reason, Role, Stage};
use coord::time::Time;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::arrivals::{Request, number};
use super::case::{Case, Fault, Load, SLOTS};
use super::fake::Fake;
use super::router::{Input, Router};

/// One-way latency between two data centres, and to a caller.
pub(super) const HOP: Duration = Duration::from_micros(500);
pub(super) const CALLER_HOP: Duration = Duration::from_millis(1);

const TICK: Duration = Duration::from_millis(10);
const REPORT_EVERY: Duration = Duration::from_millis(200);
const REPORT_LAG: Duration = Duration::from_millis(300);
const STALE_LAG: Duration = Duration::from_secs(5);

/// The published list names a dead engine this late.
pub(super) const LIST_LAG: Duration = Duration::from_secs(2);

/// Time from the death of a cell's owner to the first decision of the next one.
pub(super) const OWNER_GAP: Duration = Duration::from_secs(2);

/// Time after the last arrival in which answers still end.
const DRAIN: Duration = Duration::from_secs(30);

/// What happened to one request.
#[derive(Clone, Debug, Default)]
pub struct Track {
    /// When it was sent; later than planned in a closed loop.
    pub sent: Time,
    pub first: Option<Time>,
    pub end: Option<Time>,
    pub refused: Option<Reason>,
    /// True once the caller is gone, by itself or with its VM.
    pub gone: bool,
    /// True once the answer, a refusal or the caller's leaving has ended it.
    pub closed: bool,
    pub delivered: u32,
    /// Prompt tokens of finished prefills and how many of them were cached.
    pub prompt: u64,
    pub cached: u64,
    /// Tokens computed by prefills whose result is not used yet.
    pub pending: u64,
    pub used: u64,
    pub wasted: u64,
    pub prefills: u32,
    pub stage: Option<(Attempt, Stage)>,
}

/// An event at an instant.
#[derive(Debug)]
pub(super) enum Event {
    Arrive(usize),
    Leave(usize),
    Engine(Action),
    Router(usize, Input),
    PrefillEnd(usize, u32, JobId, Attempt),
    ImportEnd(usize, usize, u32, JobId, Attempt),
    ImportFail(usize, u32, JobId, Attempt),
    StreamEnd(usize, u32, JobId, Attempt),
    Evict(usize, u32, JobId, Time),
    Sample,
    Tick,
    Die(usize),
    Revive(usize),
    OwnerDies,
    NewOwner,
}

/// Creates the policy of one cell.
pub type Spawn<'a> = &'a dyn Fn(usize) -> Box<dyn Router>;

/// One run.
pub struct Sim<'a> {
    pub(super) case: &'a Case,
    pub(super) requests: &'a [Request],
    pub(super) now: Time,
    pub(super) events: BinaryHeap<Reverse<(Time, u64)>>,
    pub(super) payload: BTreeMap<u64, Event>,
    seq: u64,
    pub(super) routers: Vec<Box<dyn Router>>,
    pub(super) spawn: Spawn<'a>,
    pub(super) engines: Vec<Fake>,
    pub(super) names: BTreeMap<Upstream, usize>,
    pub(super) links: Vec<Time>,
    pub tracks: Vec<Track>,
    /// Messages kept for the next owner while a cell has none.
    pub(super) held: Option<Vec<(usize, Input)>>,
    /// True if the policy runs in one owner, which the fault `vm-dies` takes away.
    pub(super) owned: bool,
    next: usize,
    rng: ChaCha8Rng,
    end: Time,
}

impl<'a> Sim<'a> {
    /// Prepares a run.
    pub fn new(
        case: &'a Case,
        requests: &'a [Request],
        seed: u64,
        owned: bool,
        spawn: Spawn<'a>,
    ) -> Self {
        let mut sim = Self {
            case,
            requests,
            now: Time::ZERO,
            events: BinaryHeap::new(),
            payload: BTreeMap::new(),
            seq: 0,
            routers: (0..case.cells.len()).map(spawn).collect(),
            spawn,
            engines: Vec::new(),
            names: BTreeMap::new(),
            links: vec![Time::ZERO; case.centres.len()],
            tracks: vec![Track::default(); requests.len()],
            held: None,
            owned,
            next: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            end: Time::from_millis(case.seconds * 1_000) + DRAIN,
        };
        sim.add_engines();
        sim.plan();
        sim
    }

    fn add_engines(&mut self) {
        for (cell, spec) in self.case.cells.iter().enumerate() {
            let roles = spec
                .engines
                .iter()
                .flat_map(|(r, n)| std::iter::repeat_n(*r, *n));
            for (index, role) in roles.enumerate() {
                let centre = index % self.case.centres.len();
                let engine = Engine {
                    name: format!("{}-{index}", spec.kinds[0].name).into(),
                    data_centre: (&*self.case.centres[centre]).into(),
                    role,
                    slots: if role == Role::Prefill { 0 } else { SLOTS },
                };
                let options = &spec.options;
                let limits = (
                    options.cache_blocks,
                    options.decode_step,
                    options.prefill_rate,
                );
                self.names.insert(engine.name.clone(), self.engines.len());
                self.engines
                    .push(Fake::new(engine.clone(), cell, centre, limits));
                self.routers[cell].handle(Time::ZERO, Input::Up(engine));
            }
        }
    }

    /// Puts the first arrivals, the regular events and the fault into the queue.
    fn plan(&mut self) {
        match self.case.load {
            Load::Open(_) => {
                for index in 0..self.requests.len() {
                    self.at(self.requests[index].at, Event::Arrive(index));
                }
            }
            Load::Closed(callers) => (0..callers).for_each(|_| self.next_caller()),
        }
        self.after(TICK, Event::Tick);
        self.after(REPORT_EVERY, Event::Sample);
        for incident in self.incidents() {
            self.plan_incident(&incident);
        }
    }

    pub(super) fn at(&mut self, time: Time, event: Event) {
        self.seq += 1;
        self.events.push(Reverse((time, self.seq)));
        self.payload.insert(self.seq, event);
    }

    pub(super) fn after(&mut self, delay: Duration, event: Event) {
        self.at(self.now + delay, event);
    }

    /// Runs to the end and returns what happened to each request.
    pub fn run(mut self) -> Vec<Track> {
        while let Some(Reverse((time, seq))) = self.events.pop() {
            if time > self.end {
                break;
            }
            self.now = time;
            if let Some(event) = self.payload.remove(&seq) {
                self.handle(event);
            }
        }
        self.tracks
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(index) => self.arrive(index),
            Event::Leave(index) => self.leave(index),
            Event::Engine(action) => self.act(action),
            Event::Router(cell, input) => self.route(cell, input),
            Event::PrefillEnd(engine, life, id, attempt) => {
                self.prefill_end(engine, life, id, attempt);
            }
            Event::ImportEnd(source, engine, life, id, attempt) => {
                self.import_end(source, engine, life, id, attempt);
            }
            Event::ImportFail(engine, life, id, attempt) => {
                self.import_fail(engine, life, id, attempt);
            }
            Event::StreamEnd(engine, life, id, attempt) => {
                self.stream_end(engine, life, id, attempt);
            }
            Event::Evict(engine, life, id, expires) => self.evict(engine, life, id, expires),
            Event::Sample => self.sample(),
            Event::Tick => self.tick(),
            // A data centre may die with an upstream that is already dead.
            Event::Die(engine) if !self.engines[engine].alive => {}
            Event::Revive(engine) if self.engines[engine].alive => {}
            Event::Die(engine) => self.die(engine),
            Event::Revive(engine) => self.revive(engine),
            Event::OwnerDies => self.owner_dies(),
            Event::NewOwner => self.new_owner(),
        }
    }

    fn arrive(&mut self, index: usize) {
        let request = &self.requests[index];
        self.tracks[index].sent = self.now;
        if let Some(after) = request.leaves {
            self.after(after, Event::Leave(index));
        }
        let job = request.job(self.case, index, self.now);
        let cell = request.cell;
        self.after(CALLER_HOP + HOP, Event::Router(cell, Input::Submit(job)));
    }

    /// Lets a caller of the closed loop send its next request.
    pub(super) fn next_caller(&mut self) {
        let closing = self.now >= Time::from_millis(self.case.seconds * 1_000);
        if matches!(self.case.load, Load::Closed(_)) && !closing && self.next < self.requests.len()
        {
            self.next += 1;
            self.after(CALLER_HOP, Event::Arrive(self.next - 1));
        }
    }

    fn leave(&mut self, index: usize) {
        let track = &mut self.tracks[index];
        if track.closed {
            return;
        }
        track.gone = true;
        track.closed = true;
        let id = self.requests[index].job(self.case, index, self.now).id;
        self.after(
            HOP,
            Event::Router(self.requests[index].cell, Input::Cancel(id)),
        );
    }

    /// Delivers a message to the policy of a cell, or keeps it while the cell has no owner.
    pub(super) fn route(&mut self, cell: usize, input: Input) {
        if let Some(held) = &mut self.held {
            held.push((cell, input));
            return;
        }
        let actions = self.routers[cell].handle(self.now, input);
        self.carry_out(actions);
    }

    pub(super) fn carry_out(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Refuse { id, reason, .. } => self.refuse(number(id), reason),
                Action::StartPrefill {
                    id,
                    attempt,
                    ref prefill,
                    ref decode,
                } => {
                    let (prefill, decode) = (prefill.clone(), decode.clone());
                    self.tracks[number(id)].stage =
                        Some((attempt, Stage::Prefill { prefill, decode }));
                    self.after(HOP, Event::Engine(action));
                }
                Action::StartDecode {
                    id,
                    attempt,
                    ref decode,
                    ref source,
                } => {
                    let (decode, source) = (decode.clone(), source.clone());
                    self.tracks[number(id)].stage =
                        Some((attempt, Stage::Decode { source, decode }));
                    self.after(HOP, Event::Engine(action));
                }
                Action::Cancel { .. } => self.after(HOP, Event::Engine(action)),
            }
        }
    }

    fn refuse(&mut self, index: usize, reason: Reason) {
        let track = &mut self.tracks[index];
        if !track.closed {
            track.refused = Some(reason);
            track.end = Some(self.now + CALLER_HOP);
            track.closed = true;
            self.next_caller();
        }
    }

    fn tick(&mut self) {
        if self.held.is_none() {
            for cell in 0..self.routers.len() {
                self.route(cell, Input::Tick);
            }
        }
        self.after(TICK, Event::Tick);
    }

    /// Takes a load sample of every engine; it arrives late.
    fn sample(&mut self) {
        let stale = self.case.fault == Fault::StaleReports;
        let lag = if stale { STALE_LAG } else { REPORT_LAG };
        for index in 0..self.engines.len() {
            let engine = &self.engines[index];
            if engine.alive {
                let report: EngineReport = engine.report();
                let input = Input::Report(engine.spec.name.clone(), report);
                self.after(lag, Event::Router(engine.cell, input));
            }
        }
        self.after(REPORT_EVERY, Event::Sample);
    }

    /// Publishes cache events: late, and some are lost.
    pub(super) fn publish(&mut self, engine: usize, mut events: Vec<CacheEvent>) {
        let broken = self.case.fault == Fault::LostEvents;
        let (lost, lag) = if broken { (0.5, 3_000) } else { (0.05, 200) };
        events.retain(|_| !self.rng.random_bool(lost));
        let engine = &self.engines[engine];
        let input = Input::Cache(engine.spec.name.clone(), events);
        self.after(
            Duration::from_millis(lag),
            Event::Router(engine.cell, input),
        );
    }
}
