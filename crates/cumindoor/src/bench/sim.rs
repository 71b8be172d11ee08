//! Discrete-event simulation of a policy and its engines in virtual time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use coord::name::Upstream;
use coord::sched::{Action, Attempt, CacheEvent, Engine, EngineReport, JobId, Reason, Role, Stage};
use coord::time::Time;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::arrivals::{Request, request_index};
use super::case::{Case, ENGINE_SLOTS, Fault, Load};
use super::fake_engine::FakeEngine;
use super::router::{Input, Router};

/// One-way latency of a message between VMs and to an engine.
pub(super) const VM_LATENCY: Duration = Duration::from_micros(500);
/// One-way latency between a caller and its entry VM.
pub(super) const CALLER_LATENCY: Duration = Duration::from_millis(1);

const TICK_INTERVAL: Duration = Duration::from_millis(10);
const REPORT_INTERVAL: Duration = Duration::from_millis(200);
const REPORT_DELAY: Duration = Duration::from_millis(300);
const STALE_REPORT_DELAY: Duration = Duration::from_secs(5);

/// Delay until the published engine list reflects that an engine has failed or returned.
pub(super) const ENGINE_LIST_DELAY: Duration = Duration::from_secs(2);

/// Time from the failure of a cell's owner to the first decision of its successor.
pub(super) const FAILOVER_TIME: Duration = Duration::from_secs(2);

/// Time after the end of the arrivals in which answers may still complete.
const DRAIN_TIME: Duration = Duration::from_secs(30);

/// State and measurements of one request.
#[derive(Clone, Debug, Default)]
pub struct RequestRecord {
    /// Time at which the caller sent the request. In a closed loop this differs from its
    /// generated arrival time.
    pub sent: Time,
    /// Time at which the caller received the first token.
    pub first_token: Option<Time>,
    /// Time at which the caller received the end of the answer or the refusal.
    pub end: Option<Time>,
    pub refused: Option<Reason>,
    /// True if the caller has disconnected or its entry VM has failed.
    pub abandoned: bool,
    /// True if the request is answered, refused or abandoned.
    pub closed: bool,
    /// Output tokens of the streams that have ended.
    pub delivered_tokens: u32,
    /// Prompt tokens of finished prefills.
    pub prompt_tokens: u64,
    /// Prompt tokens of finished prefills that were found in the prefix cache.
    pub cached_tokens: u64,
    /// Tokens computed by a finished prefill whose result is not imported yet.
    pub pending_tokens: u64,
    /// Tokens computed by prefills whose results were imported.
    pub used_tokens: u64,
    /// Tokens computed by prefills that were aborted or whose results were never imported.
    pub wasted_tokens: u64,
    pub prefills: u32,
    /// The latest engine call that the policy ordered.
    pub stage: Option<(Attempt, Stage)>,
}

/// Event in the queue. Engines and cells are given by their index; the `u32` is the epoch
/// of the engine.
#[derive(Debug)]
pub(super) enum Event {
    Arrive(usize),
    CallerLeaves(usize),
    EngineCall(Action),
    RouterInput(usize, Input),
    PrefillEnd(usize, u32, JobId, Attempt),
    ImportEnd(usize, usize, u32, JobId, Attempt),
    ImportFail(usize, u32, JobId, Attempt),
    StreamEnd(usize, u32, JobId, Attempt),
    Evict(usize, u32, JobId, Time),
    LoadSample,
    Tick,
    EngineDies(usize),
    EngineReturns(usize),
    OwnerDies,
    NewOwner,
}

/// Creates the policy instance of a cell.
pub type RouterFactory<'a> = &'a dyn Fn(usize) -> Box<dyn Router>;

/// A run of one policy on one case.
pub struct Sim<'a> {
    pub(super) case: &'a Case,
    pub(super) requests: &'a [Request],
    pub(super) now: Time,
    /// Event queue: time and sequence number of each event. `payloads` holds the events by
    /// sequence number.
    pub(super) events: BinaryHeap<Reverse<(Time, u64)>>,
    pub(super) payloads: BTreeMap<u64, Event>,
    seq: u64,
    pub(super) routers: Vec<Box<dyn Router>>,
    pub(super) new_router: RouterFactory<'a>,
    pub(super) engines: Vec<FakeEngine>,
    pub(super) engine_indices: BTreeMap<Upstream, usize>,
    /// Time from which the outgoing link of each data centre is free.
    pub(super) link_free: Vec<Time>,
    pub records: Vec<RequestRecord>,
    /// Messages to the cells that wait for the next owner; `None` while there is an owner.
    pub(super) deferred: Option<Vec<(usize, Input)>>,
    /// True if a single VM runs the policy, so that the fault `vm-dies` interrupts it.
    pub(super) single_owner: bool,
    /// Index of the next request that a caller in a closed loop sends.
    next_request: usize,
    rng: ChaCha8Rng,
    end: Time,
}

impl<'a> Sim<'a> {
    /// Creates the engines and schedules the first events of a run.
    pub fn new(
        case: &'a Case,
        requests: &'a [Request],
        seed: u64,
        single_owner: bool,
        new_router: RouterFactory<'a>,
    ) -> Self {
        let mut sim = Self {
            case,
            requests,
            now: Time::ZERO,
            events: BinaryHeap::new(),
            payloads: BTreeMap::new(),
            seq: 0,
            routers: (0..case.cells.len()).map(new_router).collect(),
            new_router,
            engines: Vec::new(),
            engine_indices: BTreeMap::new(),
            link_free: vec![Time::ZERO; case.centres.len()],
            records: vec![RequestRecord::default(); requests.len()],
            deferred: None,
            single_owner,
            next_request: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            end: Time::from_millis(case.seconds * 1_000) + DRAIN_TIME,
        };
        sim.add_engines();
        sim.schedule_initial_events();
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
                    name: format!("{}-{index}", spec.mix[0].name).into(),
                    data_centre: (&*self.case.centres[centre]).into(),
                    role,
                    slots: if role == Role::Prefill {
                        0
                    } else {
                        ENGINE_SLOTS
                    },
                };
                let options = &spec.options;
                let limits = (
                    options.cache_blocks,
                    options.decode_step,
                    options.prefill_rate,
                );
                self.engine_indices
                    .insert(engine.name.clone(), self.engines.len());
                self.engines
                    .push(FakeEngine::new(engine.clone(), cell, centre, limits));
                self.routers[cell].handle(Time::ZERO, Input::EngineUp(engine));
            }
        }
    }

    /// Schedules the first arrivals, the periodic events and the incidents.
    fn schedule_initial_events(&mut self) {
        match self.case.load {
            Load::OpenLoop(_) => {
                for index in 0..self.requests.len() {
                    self.schedule_at(self.requests[index].at, Event::Arrive(index));
                }
            }
            Load::ClosedLoop(callers) => (0..callers).for_each(|_| self.send_next_request()),
        }
        self.schedule_after(TICK_INTERVAL, Event::Tick);
        self.schedule_after(REPORT_INTERVAL, Event::LoadSample);
        for incident in self.incidents() {
            self.schedule_incident(&incident);
        }
    }

    pub(super) fn schedule_at(&mut self, time: Time, event: Event) {
        self.seq += 1;
        self.events.push(Reverse((time, self.seq)));
        self.payloads.insert(self.seq, event);
    }

    pub(super) fn schedule_after(&mut self, delay: Duration, event: Event) {
        self.schedule_at(self.now + delay, event);
    }

    /// Processes the events up to the end of the drain time and returns the record of each request.
    pub fn run(mut self) -> Vec<RequestRecord> {
        while let Some(Reverse((time, seq))) = self.events.pop() {
            if time > self.end {
                break;
            }
            self.now = time;
            if let Some(event) = self.payloads.remove(&seq) {
                self.handle(event);
            }
        }
        self.records
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(index) => self.arrive(index),
            Event::CallerLeaves(index) => self.caller_leaves(index),
            Event::EngineCall(action) => self.call_engine(action),
            Event::RouterInput(cell, input) => self.deliver(cell, input),
            Event::PrefillEnd(engine, epoch, id, attempt) => {
                self.prefill_end(engine, epoch, id, attempt);
            }
            Event::ImportEnd(source, engine, epoch, id, attempt) => {
                self.import_end(source, engine, epoch, id, attempt);
            }
            Event::ImportFail(engine, epoch, id, attempt) => {
                self.import_fail(engine, epoch, id, attempt);
            }
            Event::StreamEnd(engine, epoch, id, attempt) => {
                self.stream_end(engine, epoch, id, attempt);
            }
            Event::Evict(engine, epoch, id, expires) => self.evict(engine, epoch, id, expires),
            Event::LoadSample => self.sample_loads(),
            Event::Tick => self.tick(),
            // A data centre may fail or return while one of its engines already has.
            Event::EngineDies(engine) if !self.engines[engine].alive => {}
            Event::EngineReturns(engine) if self.engines[engine].alive => {}
            Event::EngineDies(engine) => self.engine_dies(engine),
            Event::EngineReturns(engine) => self.engine_returns(engine),
            Event::OwnerDies => self.owner_dies(),
            Event::NewOwner => self.new_owner(),
        }
    }

    fn arrive(&mut self, index: usize) {
        let request = &self.requests[index];
        self.records[index].sent = self.now;
        if let Some(delay) = request.cancel_after {
            self.schedule_after(delay, Event::CallerLeaves(index));
        }
        let job = request.job(self.case, index, self.now);
        let cell = request.cell;
        self.schedule_after(
            CALLER_LATENCY + VM_LATENCY,
            Event::RouterInput(cell, Input::Submit(job)),
        );
    }

    /// Schedules the next request of a caller in a closed loop; does nothing in an open loop.
    pub(super) fn send_next_request(&mut self) {
        let ended = self.now >= Time::from_millis(self.case.seconds * 1_000);
        if matches!(self.case.load, Load::ClosedLoop(_))
            && !ended
            && self.next_request < self.requests.len()
        {
            self.next_request += 1;
            self.schedule_after(CALLER_LATENCY, Event::Arrive(self.next_request - 1));
        }
    }

    fn caller_leaves(&mut self, index: usize) {
        let record = &mut self.records[index];
        if record.closed {
            return;
        }
        record.abandoned = true;
        record.closed = true;
        let id = self.requests[index].job(self.case, index, self.now).id;
        self.schedule_after(
            VM_LATENCY,
            Event::RouterInput(self.requests[index].cell, Input::Cancel(id)),
        );
    }

    /// Delivers a message to the policy of a cell, or defers it while the cell has no owner.
    pub(super) fn deliver(&mut self, cell: usize, input: Input) {
        if let Some(deferred) = &mut self.deferred {
            deferred.push((cell, input));
            return;
        }
        let actions = self.routers[cell].handle(self.now, input);
        self.dispatch(actions);
    }

    pub(super) fn dispatch(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Refuse { id, reason, .. } => self.refuse(request_index(id), reason),
                Action::StartPrefill {
                    id,
                    attempt,
                    ref prefill,
                    ref decode,
                } => {
                    let (prefill, decode) = (prefill.clone(), decode.clone());
                    self.records[request_index(id)].stage =
                        Some((attempt, Stage::Prefill { prefill, decode }));
                    self.schedule_after(VM_LATENCY, Event::EngineCall(action));
                }
                Action::StartDecode {
                    id,
                    attempt,
                    ref decode,
                    ref source,
                } => {
                    let (decode, source) = (decode.clone(), source.clone());
                    self.records[request_index(id)].stage =
                        Some((attempt, Stage::Decode { source, decode }));
                    self.schedule_after(VM_LATENCY, Event::EngineCall(action));
                }
                Action::Cancel { .. } => self.schedule_after(VM_LATENCY, Event::EngineCall(action)),
            }
        }
    }

    fn refuse(&mut self, index: usize, reason: Reason) {
        let record = &mut self.records[index];
        if !record.closed {
            record.refused = Some(reason);
            record.end = Some(self.now + CALLER_LATENCY);
            record.closed = true;
            self.send_next_request();
        }
    }

    fn tick(&mut self) {
        if self.deferred.is_none() {
            for cell in 0..self.routers.len() {
                self.deliver(cell, Input::Tick);
            }
        }
        self.schedule_after(TICK_INTERVAL, Event::Tick);
    }

    /// Takes a load report of every engine and delivers it after the reporting delay.
    fn sample_loads(&mut self) {
        let stale = self.case.fault == Fault::StaleReports;
        let delay = if stale {
            STALE_REPORT_DELAY
        } else {
            REPORT_DELAY
        };
        for index in 0..self.engines.len() {
            let engine = &self.engines[index];
            if engine.alive {
                let report: EngineReport = engine.report();
                let input = Input::LoadReport(engine.spec.name.clone(), report);
                self.schedule_after(delay, Event::RouterInput(engine.cell, input));
            }
        }
        self.schedule_after(REPORT_INTERVAL, Event::LoadSample);
    }

    /// Publishes cache events with a delay and drops some of them at random.
    pub(super) fn publish(&mut self, engine: usize, mut events: Vec<CacheEvent>) {
        let lossy = self.case.fault == Fault::LostEvents;
        let (loss_rate, delay) = if lossy { (0.5, 3_000) } else { (0.05, 200) };
        events.retain(|_| !self.rng.random_bool(loss_rate));
        let engine = &self.engines[engine];
        let input = Input::CacheEvents(engine.spec.name.clone(), events);
        self.schedule_after(
            Duration::from_millis(delay),
            Event::RouterInput(engine.cell, input),
        );
    }
}
