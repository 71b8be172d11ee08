//! A simulated fleet of gateways and engines, and callers that send requests with bad parts.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use coord::poison::{CrashRecord, PartStanding, PartSuspects, UpstreamStart, part_fingerprint};
use coord::time::Time;
use cumindoor::gateway::admission::trials::{Start, Terms, Trials};
use cumindoor::gateway::crash_watch::new_part_suspects;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const STEP_MS: u64 = 10;
const HEARTBEAT_MS: u64 = 500;
/// Peers that get a page in each heartbeat.
const PAGE_TARGETS: usize = 2;
/// `stable-window-ms` of the platform.
const STABLE_WINDOW_MS: u64 = 3_000;
/// Time before the first bad request.
const QUIET_MS: u64 = 6_000;
const END_MS: u64 = 36_000;
const ALL_RESTART_MS: u64 = 18_000;
/// Time after which a crashed engine is back.
const RESTART_MS: std::ops::Range<u64> = 2_500..4_000;
const SLOTS: usize = 8;
/// Longest wait for a trial.
const MAX_WAIT_MS: u64 = 3_300;
/// Output after which a run vouches for its parts and is not accused.
const PROBATION_MS: u64 = 1_000;
const MAX_TRIAL_WAITS: u32 = 20;
const ROUTES: u64 = 3;
const MIDDLE_PARTS: u64 = 8;

/// Where the bad part is among the shared parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Site {
    First,
    Middle,
    /// After a part that sound requests have too.
    LastShared,
    /// Beside parts of any route.
    AnyRoute,
    /// Always after the same two parts, which sound requests have as well.
    Paired,
}

/// What becomes of an engine that crashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    Resets,
    /// Its streams fall silent.
    Dark,
    /// It sends the head and part of the answer before.
    BreaksOff,
}

/// What happens besides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Beside {
    Nothing,
    /// Engines crash for other causes too.
    OtherCrashes,
    /// Single gateways are killed or cut off now and then.
    Restarts,
    /// All gateways are killed once.
    AllRestart,
}

/// One kind of disturbance.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    pub gateways: usize,
    pub engines: usize,
    /// Share of the datagrams that are lost.
    pub loss: f64,
    /// Requests a second with a bad part.
    pub bad_rate: u32,
    pub sound_rate: u32,
    pub bad_parts: usize,
    pub site: Site,
    pub ending: Ending,
    pub staged: bool,
    /// Whether sound requests run before the first bad one.
    pub warm: bool,
    pub beside: Beside,
    pub protected: bool,
}

impl Default for Case {
    fn default() -> Self {
        Self {
            gateways: 8,
            engines: 12,
            loss: 0.0,
            bad_rate: 4,
            sound_rate: 20,
            bad_parts: 1,
            site: Site::Middle,
            ending: Ending::Resets,
            staged: true,
            warm: true,
            beside: Beside::Nothing,
            protected: true,
        }
    }
}

/// What happened, as the rules count it.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Engines that crashed under bad requests.
    pub crashes: usize,
    /// For each bad part, arrivals at engines later than 3 s after the fifth crash, from gateways in touch.
    pub late_arrivals: Vec<usize>,
    /// For each first part, the share of the sound requests that began, by that of quiet times.
    pub shares: Vec<f64>,
    /// Sound requests that were refused because of a part.
    pub sound_refusals: usize,
    /// Sound requests that waited in vain for a trial.
    pub sound_timeouts: usize,
}

struct Gateway {
    parts: PartSuspects,
    trials: Trials,
    started: u64,
    cut_until: u64,
    disturbed: u64,
    version: u64,
}

impl Gateway {
    fn new(number: usize, at: u64) -> Self {
        Self {
            parts: new_part_suspects(format!("vm-{number}").as_str().into()),
            trials: Trials::default(),
            started: at,
            cut_until: 0,
            disturbed: 0,
            version: 0,
        }
    }

    fn now(&self, at: u64) -> Time {
        Time::from_millis(at - self.started)
    }
}

#[derive(Clone, Copy, Debug)]
struct Engine {
    /// Number of this start, unique in the fleet.
    life: u64,
    back_at: u64,
    running: usize,
}

#[derive(Clone, Copy, Debug)]
enum State {
    Waiting,
    Announced {
        life: u64,
        trial: u64,
        start_at: u64,
        waits: u32,
    },
    Prefilling {
        life: u64,
        until: u64,
    },
    Running {
        life: u64,
        began: u64,
        write_at: u64,
        end_at: u64,
        trial: Option<u64>,
        vouched: bool,
    },
    /// The gateway notices at `noticed_at` that the engine is gone.
    Lost {
        life: u64,
        began: u64,
        lost_at: u64,
        noticed_at: u64,
        trial: Option<u64>,
        proven: bool,
    },
    Done,
}

struct Request {
    gateway: usize,
    arrived: u64,
    waiting_since: u64,
    parts: Vec<u128>,
    /// Index of the bad part.
    bad: Option<usize>,
    route: usize,
    tries: u32,
    began: bool,
    /// Whether its gateway was killed.
    void: bool,
    state: State,
}

struct Fleet<'a> {
    case: &'a Case,
    rng: ChaCha8Rng,
    at: u64,
    gateways: Vec<Gateway>,
    engines: Vec<Engine>,
    next_life: u64,
    requests: Vec<Request>,
    active: BTreeSet<usize>,
    bad_crashes: Vec<Vec<u64>>,
    late_arrivals: Vec<Vec<u64>>,
    sound_refusals: usize,
    sound_timeouts: usize,
}

/// Plays one case.
pub fn play(case: &Case, seed: u64) -> Outcome {
    let mut fleet = Fleet {
        case,
        rng: ChaCha8Rng::seed_from_u64(seed),
        at: 0,
        gateways: (0..case.gateways).map(|n| Gateway::new(n, 0)).collect(),
        engines: (0..case.engines as u64)
            .map(|life| Engine {
                life,
                back_at: 0,
                running: 0,
            })
            .collect(),
        next_life: case.engines as u64,
        requests: Vec::new(),
        active: BTreeSet::new(),
        bad_crashes: vec![Vec::new(); case.bad_parts],
        late_arrivals: vec![Vec::new(); case.bad_parts],
        sound_refusals: 0,
        sound_timeouts: 0,
    };
    for step in 0..END_MS / STEP_MS {
        fleet.at = step * STEP_MS;
        fleet.arrivals();
        fleet.disturb();
        for number in fleet.active.clone() {
            fleet.advance(number);
        }
        let requests = &fleet.requests;
        fleet
            .active
            .retain(|n| !matches!(requests[*n].state, State::Done));
        fleet.exchange();
    }
    fleet.outcome()
}

impl Fleet<'_> {
    fn arrivals(&mut self) {
        let bad_time = self.at >= QUIET_MS;
        let chance = |rate: u32| f64::from(rate) * Duration::from_millis(STEP_MS).as_secs_f64();
        if (self.case.warm || bad_time)
            && self.rng.random_bool(chance(self.case.sound_rate).min(1.0))
        {
            let (route, mut parts) = self.sound_parts();
            parts.truncate(self.rng.random_range(1..=3));
            self.arrive(route, parts, None);
        }
        if bad_time && self.rng.random_bool(chance(self.case.bad_rate)) {
            let bad = self.rng.random_range(0..self.case.bad_parts);
            let id = part_fingerprint(format!("bad-{bad}").as_bytes());
            let (mut route, mut parts) = self.sound_parts();
            if self.case.site != Site::AnyRoute {
                parts[0] = first_part(0);
                route = 0;
            }
            match self.case.site {
                Site::First => parts[0] = id,
                Site::Middle | Site::AnyRoute => parts.insert(1, id),
                Site::LastShared => parts.push(id),
                Site::Paired => parts = vec![first_part(0), part_fingerprint(b"m-0-0"), id],
            }
            self.arrive(route, parts, Some(bad));
        }
    }

    fn sound_parts(&mut self) -> (usize, Vec<u128>) {
        let route = self.rng.random_range(0..ROUTES);
        let middle = self.rng.random_range(0..MIDDLE_PARTS);
        let rare = self.rng.random_range(0..500_u32);
        let ids = [format!("m-{route}-{middle}"), format!("r-{rare}")];
        let ids = ids.iter().map(|id| part_fingerprint(id.as_bytes()));
        let parts = std::iter::once(first_part(route)).chain(ids);
        (usize::try_from(route).unwrap(), parts.collect())
    }

    fn arrive(&mut self, route: usize, parts: Vec<u128>, bad: Option<usize>) {
        self.active.insert(self.requests.len());
        let gateway = self.rng.random_range(0..self.case.gateways);
        self.requests.push(Request {
            gateway,
            arrived: self.at,
            waiting_since: self.at,
            parts,
            bad,
            route,
            tries: 0,
            began: false,
            void: false,
            state: State::Waiting,
        });
    }

    fn disturb(&mut self) {
        let at = self.at;
        if self.case.beside == Beside::OtherCrashes && at.is_multiple_of(2_000) {
            let up: Vec<u64> = self.up().map(|engine| engine.life).collect();
            if up.len() > 2 {
                let count = self.rng.random_range(1..3);
                for _ in 0..count {
                    let life = up[self.rng.random_range(0..up.len())];
                    self.crash(life);
                }
            }
        }
        let killed: Vec<usize> = if self.case.beside == Beside::AllRestart && at == ALL_RESTART_MS {
            (0..self.case.gateways).collect()
        } else if self.case.beside == Beside::Restarts && self.rng.random_bool(0.005) {
            let number = self.rng.random_range(0..self.case.gateways);
            if self.rng.random_bool(0.5) {
                self.gateways[number].cut_until = at + 2_000;
                self.gateways[number].disturbed = at + 2_000;
                Vec::new()
            } else {
                vec![number]
            }
        } else {
            Vec::new()
        };
        for number in killed {
            self.gateways[number] = Gateway::new(number, at);
            self.gateways[number].disturbed = at;
            for n in self.active.clone() {
                if self.requests[n].gateway == number {
                    if let State::Running { life, .. } | State::Prefilling { life, .. } =
                        self.requests[n].state
                    {
                        self.leave(life);
                    }
                    self.requests[n].void = true;
                    self.requests[n].state = State::Done;
                }
            }
        }
    }

    fn up(&self) -> impl Iterator<Item = &Engine> {
        self.engines
            .iter()
            .filter(|engine| engine.back_at <= self.at)
    }

    fn engine(&mut self, life: u64) -> Option<&mut Engine> {
        let at = self.at;
        self.engines
            .iter_mut()
            .find(|e| e.life == life && e.back_at <= at)
    }

    fn leave(&mut self, life: u64) {
        if let Some(engine) = self.engine(life) {
            engine.running -= 1;
        }
    }

    /// Crashes an engine with all that runs on it.
    fn crash(&mut self, crashed: u64) {
        let (at, life) = (self.at, self.next_life);
        let back_at = at + self.rng.random_range(RESTART_MS);
        let Some(engine) = self.engine(crashed) else {
            return;
        };
        *engine = Engine {
            life,
            back_at,
            running: 0,
        };
        self.next_life += 1;
        for number in self.active.clone() {
            let State::Running {
                life,
                began,
                write_at,
                trial,
                ..
            } = self.requests[number].state
            else {
                continue;
            };
            if life != crashed {
                continue;
            }
            let delay = match self.case.ending {
                Ending::Dark => self.rng.random_range(300..1_500),
                Ending::Resets | Ending::BreaksOff => 2 * STEP_MS,
            };
            let proven = at >= write_at + PROBATION_MS;
            let noticed_at = at + delay;
            self.requests[number].state = State::Lost {
                life,
                began,
                lost_at: at,
                noticed_at,
                trial,
                proven,
            };
        }
    }

    fn standing(&self, request: &Request) -> PartStanding {
        let gateway = &self.gateways[request.gateway];
        if self.case.protected {
            gateway.parts.standing(gateway.now(self.at), &request.parts)
        } else {
            PartStanding::Clear
        }
    }

    fn advance(&mut self, number: usize) {
        let at = self.at;
        match self.requests[number].state {
            State::Waiting => self.place(number),
            State::Announced {
                life,
                trial,
                start_at,
                waits,
            } if at >= start_at => {
                self.start_trial(number, (life, trial), waits);
            }
            State::Prefilling { life, until } if at >= until => {
                if self.standing(&self.requests[number]) == PartStanding::Clear
                    && self.engine(life).is_some()
                {
                    self.send(number, life, None, true);
                } else {
                    self.leave(life);
                    self.requests[number].state = State::Waiting;
                }
            }
            State::Running {
                life,
                began,
                write_at,
                end_at,
                trial,
                vouched,
            } => {
                if at < write_at {
                    return;
                }
                if self.requests[number].bad.is_some() {
                    let bad = self.requests[number].bad.unwrap_or(0);
                    self.bad_crashes[bad].push(at);
                    self.crash(life);
                    return;
                }
                self.requests[number].began |= self.requests[number].tries == 1;
                if let Some(trial) = trial {
                    let gateway = self.requests[number].gateway;
                    self.gateways[gateway].trials.end(trial);
                }
                let proven = at >= write_at + PROBATION_MS || at >= end_at;
                if proven && !vouched {
                    let gateway = &mut self.gateways[self.requests[number].gateway];
                    let now = gateway.now(at);
                    gateway.parts.vouch(now, &self.requests[number].parts);
                }
                self.requests[number].state = if at >= end_at {
                    self.leave(life);
                    State::Done
                } else {
                    State::Running {
                        life,
                        began,
                        write_at,
                        end_at,
                        trial: None,
                        vouched: proven,
                    }
                };
            }
            State::Lost {
                life,
                began,
                lost_at,
                noticed_at,
                trial,
                proven,
            } if at >= noticed_at => {
                let request = &self.requests[number];
                let gateway = &mut self.gateways[request.gateway];
                let (now, ran) = (gateway.now(at), Duration::from_millis(at - began));
                let crashed = UpstreamStart::new(format!("i-{life}").as_str().into(), 0);
                if !proven {
                    gateway
                        .parts
                        .upstream_crashed(now, &crashed, ran, &request.parts);
                }
                if let Some(trial) = trial {
                    gateway.trials.end(trial);
                }
                let _ = lost_at;
                let request = &mut self.requests[number];
                request.waiting_since = at;
                // A stream that had begun is resumed, and one that had not is sent again.
                request.state = if request.tries < 2 {
                    State::Waiting
                } else {
                    State::Done
                };
            }
            _ => {}
        }
    }

    fn place(&mut self, number: usize) {
        let at = self.at;
        let standing = self.standing(&self.requests[number]);
        let sound = self.requests[number].bad.is_none();
        if let PartStanding::Refused { .. } = standing {
            self.sound_refusals += usize::from(sound);
            self.requests[number].state = State::Done;
            return;
        }
        if at > self.requests[number].waiting_since + MAX_WAIT_MS {
            self.sound_timeouts += usize::from(sound);
            self.requests[number].state = State::Done;
            return;
        }
        let gateway = &self.gateways[self.requests[number].gateway];
        let now = gateway.now(at);
        let free: Vec<u64> = self
            .up()
            .filter(|e| e.running < SLOTS)
            .map(|e| e.life)
            .collect();
        if standing == PartStanding::Clear {
            if !free.is_empty() {
                let life = free[self.rng.random_range(0..free.len())];
                if let Some(engine) = self.engine(life) {
                    engine.running += 1;
                }
                if self.case.staged && self.requests[number].tries == 0 {
                    self.count_arrival(number);
                    let until = at + self.rng.random_range(50..300);
                    self.requests[number].state = State::Prefilling { life, until };
                } else {
                    self.send(number, life, None, false);
                }
            }
            return;
        }
        let tried = gateway.parts.accused(&self.requests[number].parts);
        if tried
            .iter()
            .any(|part| gateway.trials.is_on_trial(now, *part))
        {
            return;
        }
        let mut open: Vec<u64> = free;
        open.retain(|life| !gateway.trials.is_taken(now, *life));
        let unused: Vec<u64> = open
            .iter()
            .copied()
            .filter(|life| !gateway.trials.is_used(now, *life))
            .collect();
        let exclusive = standing == PartStanding::OnTrial;
        if exclusive && !unused.is_empty() {
            open = unused;
        }
        if open.is_empty() {
            return;
        }
        let life = open[self.rng.random_range(0..open.len())];
        let gateway = &mut self.gateways[self.requests[number].gateway];
        let terms = if exclusive {
            Terms::Exclusive
        } else {
            Terms::Agreed
        };
        let Some(trial) = gateway.trials.announce(now, (life, &tried), terms) else {
            return;
        };
        let start_at = at + self.trial_delay();
        self.requests[number].state = State::Announced {
            life,
            trial,
            start_at,
            waits: 1,
        };
    }

    fn trial_delay(&self) -> u64 {
        15 + 6 * self.case.gateways as u64 / 10
    }

    fn start_trial(&mut self, number: usize, (life, trial): (u64, u64), waits: u32) {
        let (at, delay) = (self.at, self.trial_delay());
        let index = self.requests[number].gateway;
        let now = self.gateways[index].now(at);
        let start = self.gateways[index]
            .trials
            .start(now, address(index), trial);
        let refused = matches!(
            self.standing(&self.requests[number]),
            PartStanding::Refused { .. }
        );
        let open = self
            .engine(life)
            .is_some_and(|engine| engine.running < SLOTS);
        match start {
            Start::Started if open && !refused => {
                if let Some(engine) = self.engine(life) {
                    engine.running += 1;
                }
                self.send(number, life, Some(trial), false);
            }
            Start::Blocked if waits < MAX_TRIAL_WAITS => {
                let start_at = at + delay;
                self.requests[number].state = State::Announced {
                    life,
                    trial,
                    start_at,
                    waits: waits + 1,
                };
            }
            _ => {
                self.gateways[index].trials.end(trial);
                self.requests[number].state = State::Waiting;
            }
        }
    }

    /// Sends a request to an engine on which it has a slot.
    fn send(&mut self, number: usize, life: u64, trial: Option<u64>, prefilled: bool) {
        let began = self.at;
        self.count_arrival(number);
        let prefill = if prefilled {
            0
        } else {
            self.rng.random_range(50..300)
        };
        let write_at = began + prefill + self.rng.random_range(30..100);
        let end_at = write_at + self.rng.random_range(300..4_000);
        let request = &mut self.requests[number];
        request.tries += 1;
        request.state = State::Running {
            life,
            began,
            write_at,
            end_at,
            trial,
            vouched: false,
        };
    }

    fn count_arrival(&mut self, number: usize) {
        let request = &self.requests[number];
        let Some(bad) = request.bad else { return };
        let in_touch = self.at >= self.gateways[request.gateway].disturbed + STABLE_WINDOW_MS;
        if in_touch {
            self.late_arrivals[bad].push(self.at);
        }
    }

    fn exchange(&mut self) {
        let count = self.gateways.len();
        for from in 0..count {
            let now = self.gateways[from].now(self.at);
            if self.gateways[from].parts.has_updates() {
                let update = self.gateways[from].parts.next_update(now);
                for to in 0..count {
                    self.deliver(from, to, &update);
                }
            }
            let changed = self.gateways[from].trials.take_changed();
            let own = self.gateways[from].trials.own();
            if changed || !own.is_empty() {
                self.gateways[from].version += 1;
                let version = (self.gateways[from].started, self.gateways[from].version);
                for to in 0..count {
                    if self.arrives(from, to) {
                        let now = self.gateways[to].now(self.at);
                        self.gateways[to]
                            .trials
                            .apply(now, address(from), version, &own);
                    }
                }
            }
            if (self.at + STEP_MS * from as u64).is_multiple_of(HEARTBEAT_MS) {
                let page = self.gateways[from].parts.next_page(now);
                for _ in 0..PAGE_TARGETS {
                    let to = self.rng.random_range(0..count);
                    self.deliver(from, to, &page);
                }
            }
        }
    }

    fn arrives(&mut self, from: usize, to: usize) -> bool {
        let cut = |n: usize| self.gateways[n].cut_until > self.at;
        let lost = from == to || cut(from) || cut(to);
        !lost && !self.rng.random_bool(self.case.loss)
    }

    fn deliver(&mut self, from: usize, to: usize, records: &[CrashRecord]) {
        if !records.is_empty() && self.arrives(from, to) {
            let now = self.gateways[to].now(self.at);
            self.gateways[to].parts.merge(now, records);
        }
    }

    fn outcome(&self) -> Outcome {
        // Earlier than the fifth crash, from which the rule counts, because that one may be the trial at
        // the end of a refusal, and the second one as well if crashes of another part added to this one's.
        let second = |crashes: &Vec<u64>| {
            let early = crashes.iter().filter(|at| **at < QUIET_MS + 10_000);
            early.take(2).last().copied()
        };
        let late = self
            .late_arrivals
            .iter()
            .zip(&self.bad_crashes)
            .map(|(arrivals, crashes)| {
                let from = crashes.get(4).map_or(u64::MAX, |at| at + STABLE_WINDOW_MS);
                arrivals.iter().filter(|at| **at > from).count()
            });
        let from = self
            .bad_crashes
            .iter()
            .filter_map(second)
            .max()
            .unwrap_or(QUIET_MS);
        let from = from + 2 * STABLE_WINDOW_MS;
        let restart = ALL_RESTART_MS..ALL_RESTART_MS + 2 * STABLE_WINDOW_MS;
        let mut shares: BTreeMap<usize, (f64, f64)> = BTreeMap::new();
        for request in self.requests.iter().filter(|r| r.bad.is_none() && !r.void) {
            let disturbed =
                self.case.beside == Beside::AllRestart && restart.contains(&request.arrived);
            if request.arrived >= from && request.arrived + 5_000 < END_MS && !disturbed {
                let share = shares.entry(request.route).or_default();
                share.0 += f64::from(u8::from(request.began));
                share.1 += 1.0;
            }
        }
        Outcome {
            crashes: self.bad_crashes.iter().map(Vec::len).sum(),
            late_arrivals: late.collect(),
            shares: shares.values().map(|(began, all)| began / all).collect(),
            sound_refusals: self.sound_refusals,
            sound_timeouts: self.sound_timeouts,
        }
    }
}

fn first_part(route: u64) -> u128 {
    part_fingerprint(format!("f-{route}").as_bytes())
}

fn address(number: usize) -> std::net::SocketAddr {
    let [high, low] = u16::try_from(number).unwrap().to_be_bytes();
    std::net::SocketAddr::from(([10, 0, high, low], 7000))
}
