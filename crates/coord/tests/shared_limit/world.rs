//! A fleet of gateways, and engines that name rate limits, in virtual time.

use std::collections::VecDeque;
use std::time::Duration;

use coord::limit::{Claim, FleetSize, Grant, LimitKey, LimitReport, Rate, SharedLimits, Sighting};
use coord::time::Time;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Length of one step in milliseconds.
pub const STEP_MS: u64 = 2;
pub const HEARTBEAT_MS: u64 = 500;
/// Time without a report after which a gateway no longer hears another one.
pub const SILENCE_MS: u64 = 3_000;
/// Time after an engine first named a limit, and after a disturbance, from which the limit is checked.
pub const STABLE_WINDOW_MS: u64 = 3_000;
/// Time from an answer that names a limit until the gateway counts.
pub const TOLD_MS: u64 = 500;
pub const COUNTED_WINDOW_MS: u64 = 4_000;
/// Time for which a request waits for a token.
pub const PATIENCE_MS: u64 = 75;
/// Time from a request to its answer.
pub const WORK_MS: u64 = 20;
/// Longest time that a report travels.
pub const MAX_TRANSIT_MS: u64 = 6;

/// A request on its way to a token.
pub struct Pending {
    pub arrived: u64,
    pub engine: usize,
    pub claim: Claim,
}

pub struct Gateway {
    pub limits: SharedLimits<usize>,
    pub fleet: FleetSize,
    /// When each other gateway was last heard, on the clock of the simulation.
    pub heard: Vec<Option<u64>>,
    /// When another one last listed each gateway as heard.
    pub listed: Vec<Option<u64>>,
    /// Start of the process, on the clock of the simulation.
    pub started: u64,
    pub sequence: u64,
    pub next_report: u64,
    pub pending: Vec<Pending>,
    /// Answers on their way: when they arrive, when the request was sent, and the engine.
    pub answers: VecDeque<(u64, u64, usize)>,
    /// When an engine first told it a limit.
    pub told: Vec<Option<u64>>,
    pub cut_until: u64,
    pub frozen_until: u64,
    /// End of the last disturbance.
    pub disturbed: u64,
}

impl Gateway {
    pub fn new(number: usize, count: usize, engines: usize, at: u64) -> Self {
        Self {
            limits: SharedLimits::new(number),
            fleet: FleetSize::default(),
            heard: vec![None; count],
            listed: vec![None; count],
            started: at,
            sequence: 0,
            next_report: at,
            pending: Vec::new(),
            answers: VecDeque::new(),
            told: vec![None; engines],
            cut_until: 0,
            frozen_until: 0,
            disturbed: at,
        }
    }

    pub fn now(&self, at: u64) -> Time {
        Time::from_millis(at - self.started)
    }

    /// Returns the gateways that are heard at present.
    pub fn heard_at(&self, at: u64) -> Vec<usize> {
        let all = 0..self.heard.len();
        all.filter(|n| is_recent(self.heard[*n], at)).collect()
    }

    /// Updates the share of the limits that this gateway and those that it hears may use.
    pub fn update_share(&mut self, at: u64, own: usize) {
        let now = self.now(at);
        let heard = self.heard_at(at);
        let hearsay = (0..self.listed.len())
            .filter(|n| *n != own && !heard.contains(n) && is_recent(self.listed[*n], at));
        let sighting = Sighting {
            heard: 1 + heard.len(),
            hearsay: hearsay.count(),
        };
        self.fleet.record(now, sighting);
        let share = self.fleet.share(now, true);
        self.limits.set_share(now, share);
    }
}

pub fn is_recent(seen: Option<u64>, at: u64) -> bool {
    seen.is_some_and(|seen| at - seen < SILENCE_MS)
}

/// A report between gateways with what else a digest tells.
#[derive(Clone)]
pub struct Digest {
    pub report: LimitReport<usize>,
    /// The gateways that the sender hears.
    pub heard: Vec<usize>,
}

/// A request that reached an engine.
pub struct Arrival {
    pub at: u64,
    /// Whether the gateway counts: it was told, and not disturbed lately.
    pub counts: bool,
}

#[derive(Default)]
pub struct Engine {
    pub limit: Option<f64>,
    /// The limits with the times from which they hold.
    pub history: Vec<(u64, Option<f64>)>,
    pub named_at: Option<u64>,
    pub arrivals: Vec<Arrival>,
}

impl Engine {
    pub fn name_limit(&mut self, at: u64, limit: Option<f64>) {
        self.limit = limit;
        self.history.push((at, limit));
    }

    /// Returns the number of requests that a window allows, or `None` if some of it had no limit.
    pub fn allowed(&self, from: u64) -> Option<f64> {
        let to = from + COUNTED_WINDOW_MS;
        let ends = self.history.iter().skip(1).map(|(at, _)| *at);
        let mut allowed = 5.0;
        for ((start, limit), end) in self.history.iter().zip(ends.chain([u64::MAX])) {
            let overlap = end.min(to).saturating_sub(from.max(*start));
            if overlap > 0 {
                allowed += 1.5 * (*limit)? * overlap as f64 / 1_000.0;
            }
        }
        Some(allowed)
    }

    /// Returns the window in which the most requests came for what it allows, of gateways that count:
    /// its number of requests and the number that is allowed.
    pub fn worst_window(&self) -> (usize, f64) {
        let from = self
            .named_at
            .map_or(u64::MAX, |named| named + STABLE_WINDOW_MS);
        let counted = self.arrivals.iter().filter(|a| a.counts && a.at >= from);
        let times: Vec<u64> = counted.map(|arrival| arrival.at).collect();
        let within = |(n, start): (usize, &u64)| {
            let end = start + COUNTED_WINDOW_MS;
            let count = times[n..].iter().take_while(|at| **at < end).count();
            self.allowed(*start).map(|allowed| (count, allowed))
        };
        let windows = times.iter().enumerate().filter_map(within);
        let excess = |(count, allowed): &(usize, f64)| *count as f64 / allowed;
        windows
            .max_by(|a, b| excess(a).total_cmp(&excess(b)))
            .unwrap_or((0, 5.0))
    }
}

/// Who hears whom.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Hearing {
    All,
    /// Nobody hears anybody before this time.
    From(u64),
    /// Each hears only the half of the fleet that follows it before this time.
    HalfUntil(u64),
}

pub struct World {
    pub rng: ChaCha8Rng,
    pub at: u64,
    pub gateways: Vec<Gateway>,
    pub engines: Vec<Engine>,
    pub hearing: Hearing,
    pub loss: f64,
    /// Reports on their way: arrival, sender, receiver, content.
    pub reports: Vec<(u64, usize, usize, Digest)>,
    pub refused: u64,
    pub served: u64,
}

impl World {
    pub fn new(count: usize, engines: usize, seed: u64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            at: 0,
            gateways: (0..count)
                .map(|n| Gateway::new(n, count, engines, 0))
                .collect(),
            engines: (0..engines).map(|_| Engine::default()).collect(),
            hearing: Hearing::All,
            loss: 0.0,
            reports: Vec::new(),
            refused: 0,
            served: 0,
        }
    }

    pub fn name_limits(&mut self, limit: Option<f64>) {
        let at = self.at;
        for engine in &mut self.engines {
            engine.name_limit(at, limit);
        }
    }

    /// Plays for some time with this many requests a second, at gateways for which `busy` holds.
    pub fn run(&mut self, ms: u64, demand: f64, busy: impl Fn(usize) -> bool) {
        let end = self.at + ms;
        let busy: Vec<usize> = (0..self.gateways.len()).filter(|n| busy(*n)).collect();
        while self.at < end {
            self.at += STEP_MS;
            self.deliver_reports();
            for number in 0..self.gateways.len() {
                if self.gateways[number].frozen_until <= self.at {
                    self.receive_answers(number);
                    self.continue_pending(number);
                    self.send_report(number);
                }
            }
            let chance = demand * f64::from(u32::try_from(STEP_MS).unwrap()) / 1_000.0;
            let whole = chance.floor();
            let extra = self.rng.random_bool(chance - whole);
            for _ in 0..(whole as u64 + u64::from(extra)) {
                let number = busy[self.rng.random_range(0..busy.len())];
                if self.gateways[number].frozen_until <= self.at {
                    self.arrive(number);
                }
            }
        }
    }

    pub fn arrive(&mut self, number: usize) {
        let at = self.at;
        let gateway = &mut self.gateways[number];
        let now = gateway.now(at);
        let first = self.rng.random_range(0..self.engines.len());
        let order = (0..self.engines.len()).map(|n| (first + n) % self.engines.len());
        let best = order.min_by_key(|n| gateway.limits.wait(now, key(*n)).unwrap_or_default());
        let engine = best.unwrap();
        let Some(wait) = gateway.limits.wait(now, key(engine)) else {
            self.send(number, engine);
            return;
        };
        if wait > Duration::from_millis(PATIENCE_MS) {
            self.refused += 1;
            let told = gateway
                .limits
                .book(now, key(engine), Duration::from_secs(1))
                .unwrap();
            assert!(told >= wait, "{told:?} is before a token after {wait:?}");
            return;
        }
        let count = u64::try_from(gateway.heard.iter().flatten().count()).unwrap() + 1;
        let notice = Duration::from_micros(15_000 + 900 * count);
        let random = (self.rng.next_u32() >> 16) as u16;
        let claim = gateway.limits.claim(now, key(engine), notice, random);
        let claim = claim.unwrap();
        gateway.pending.push(Pending {
            arrived: at,
            engine,
            claim,
        });
    }

    pub fn continue_pending(&mut self, number: usize) {
        let at = self.at;
        let mut granted = Vec::new();
        let gateway = &mut self.gateways[number];
        let now = gateway.now(at);
        for pending in std::mem::take(&mut gateway.pending) {
            match gateway.limits.try_take(now, pending.claim) {
                Grant::Granted => granted.push(pending.engine),
                Grant::Wait(_) if at >= pending.arrived + PATIENCE_MS + 70 => {
                    gateway.limits.withdraw(pending.claim);
                    self.refused += 1;
                }
                Grant::Wait(_) => gateway.pending.push(pending),
            }
        }
        for engine in granted {
            self.send(number, engine);
        }
    }

    pub fn send(&mut self, number: usize, engine: usize) {
        let at = self.at;
        let gateway = &mut self.gateways[number];
        let told = gateway.told[engine].is_some_and(|told| at >= told + TOLD_MS);
        let in_touch = at >= gateway.disturbed + STABLE_WINDOW_MS;
        let arrival = Arrival {
            at,
            counts: told && in_touch,
        };
        self.engines[engine].arrivals.push(arrival);
        gateway.answers.push_back((at + WORK_MS, at, engine));
        self.served += 1;
    }

    pub fn receive_answers(&mut self, number: usize) {
        let at = self.at;
        let gateway = &mut self.gateways[number];
        while gateway.answers.front().is_some_and(|answer| answer.0 <= at) {
            let (_, asked, n) = gateway.answers.pop_front().unwrap();
            let (now, asked) = (gateway.now(at), gateway.now(asked.max(gateway.started)));
            let engine = &mut self.engines[n];
            match engine.limit {
                Some(limit) => {
                    engine.named_at.get_or_insert(at);
                    gateway.told[n].get_or_insert(at);
                    let rate = Rate::per_second(limit).unwrap();
                    gateway.limits.record_named(now, key(n), rate);
                }
                None => {
                    gateway.limits.record_unnamed(now, key(n), asked);
                }
            }
        }
    }

    pub fn send_report(&mut self, number: usize) {
        let at = self.at;
        let count = self.gateways.len();
        let phase = HEARTBEAT_MS * number as u64 / count as u64;
        let heartbeat = (at + phase - (at + phase) % STEP_MS).is_multiple_of(HEARTBEAT_MS);
        let gateway = &mut self.gateways[number];
        let due = at >= gateway.next_report && gateway.limits.has_updates();
        if !heartbeat && !due {
            return;
        }
        gateway.update_share(at, number);
        let now = gateway.now(at);
        gateway.sequence += 1;
        gateway.next_report = at + 3 * count as u64 / 10;
        let report = LimitReport {
            start: gateway.started + 1,
            sequence: gateway.sequence,
            gateways: gateway
                .fleet
                .reported(now)
                .map(|size| u32::try_from(size).unwrap()),
            limits: gateway.limits.next_records(now, heartbeat),
            retries: Vec::new(),
            allowances: Vec::new(),
        };
        let digest = Digest {
            report,
            heard: gateway.heard_at(at),
        };
        for to in (0..count).filter(|to| *to != number) {
            if self.rng.random_bool(self.loss) || !self.hears(to, number) {
                continue;
            }
            let arrival = at + self.rng.random_range(1..=MAX_TRANSIT_MS);
            self.reports.push((arrival, number, to, digest.clone()));
        }
    }

    pub fn hears(&self, to: usize, from: usize) -> bool {
        let cut = |n: usize| self.gateways[n].cut_until > self.at;
        let count = self.gateways.len();
        let connected = match self.hearing {
            Hearing::All => true,
            Hearing::From(time) => self.at >= time,
            Hearing::HalfUntil(time) => self.at >= time || (from + count - to) % count <= count / 2,
        };
        connected && !cut(to) && !cut(from)
    }

    pub fn deliver_reports(&mut self) {
        let at = self.at;
        let (due, later) = std::mem::take(&mut self.reports)
            .into_iter()
            .partition(|report| report.0 <= at && self.gateways[report.2].frozen_until <= at);
        self.reports = later;
        let due: Vec<_> = due;
        for (_, from, to, digest) in due {
            let gateway = &mut self.gateways[to];
            let now = gateway.now(at);
            gateway.heard[from] = Some(at);
            for listed in digest.heard {
                gateway.listed[listed] = Some(at);
            }
            if let Some(size) = digest.report.gateways {
                gateway.fleet.record_reported(now, size as usize);
            }
            gateway.update_share(at, to);
            let report = digest.report;
            let version = (report.start, report.sequence);
            gateway.limits.apply(now, (&from, version), report.limits);
        }
    }

    pub fn restart(&mut self, number: usize) {
        let (count, engines) = (self.gateways.len(), self.engines.len());
        self.gateways[number] = Gateway::new(number, count, engines, self.at);
    }

    pub fn cut(&mut self, number: usize, ms: u64) {
        self.gateways[number].cut_until = self.at + ms;
        self.gateways[number].disturbed = self.at + ms;
    }

    pub fn freeze(&mut self, number: usize, ms: u64) {
        self.gateways[number].frozen_until = self.at + ms;
        self.gateways[number].disturbed = self.at + ms;
    }

    pub fn assert_limit_kept(&self) {
        for engine in &self.engines {
            let (most, allowed) = engine.worst_window();
            assert!(most as f64 <= allowed, "{most} requests, {allowed} allowed");
        }
    }

    /// Returns the share of the limit that the engines got since `from`.
    pub fn used_share(&self, limit: f64, from: u64) -> f64 {
        let got = |engine: &Engine| engine.arrivals.iter().filter(|a| a.at >= from).count();
        let all: usize = self.engines.iter().map(got).sum();
        let seconds = (self.at - from) as f64 / 1_000.0;
        all as f64 / (limit * seconds * self.engines.len() as f64)
    }
}

pub fn key(engine: usize) -> LimitKey {
    engine as LimitKey + 100
}
