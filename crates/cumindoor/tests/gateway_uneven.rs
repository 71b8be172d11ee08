//! Placement on engines of different speeds whose machines are shared, in virtual time. An engine is its speed, the
//! times at which its machine is busy, and when it will have done what was placed on it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use border::{Change, Stage, UpstreamEntry};
use coord::limit::{LimitKey, SharedLimits};
use coord::name::{DataCentre, Service};
use coord::time::Time;
use cumindoor::gateway::admission::load_table::{Digest, Key, Load, LoadTable};
use cumindoor::gateway::admission::placement::{Demand, Placer};
use cumindoor::gateway::engines::directory::Directory;
use cumindoor::gateway::engines::speeds::{Observation, Work};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

/// Speeds of the engines, in turn.
const SPEEDS: [f64; 3] = [0.6, 1.0, 1.6];
const ENGINES: usize = 30;
/// Prompt tokens that an engine of speed 1 processes in a millisecond.
const RATE: f64 = 55.6;
/// Share of the time in which a machine is busy with other work, and how long work takes then.
const BUSY: (f64, f64) = (0.15, 2.5);
/// Time after which it is drawn anew whether a machine is busy.
const BUSY_MS: f64 = 600.0;
/// Length of a run in milliseconds, and the part at its start that is not counted.
const RUN_MS: (f64, f64) = (16_000.0, 4_000.0);
/// Longest time to the first event that is in time.
const TARGET_MS: f64 = 900.0;

/// Share of the prompts in percent whose first event has to be in time. Above it, single prompts decide.
const MIN_IN_TIME: f64 = 99.0;

/// What a rule knows of the speeds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Known {
    Nothing,
    /// What answers told, as old as the messages between gateways are.
    Answers,
    Everything,
}

/// Times from arrival to the end of the prefill in milliseconds, in order.
struct Outcome(Vec<f64>);

impl Outcome {
    fn percentile(&self, percent: usize) -> f64 {
        self.0[(self.0.len() - 1) * percent / 100]
    }

    fn in_time(&self) -> f64 {
        let served = self.0.partition_point(|time| *time <= TARGET_MS);
        100.0 * to_f64(served) / to_f64(self.0.len())
    }
}

fn to_f64(number: usize) -> f64 {
    f64::from(u32::try_from(number).unwrap())
}

fn time(ms: f64) -> Time {
    Time::ZERO + Duration::from_secs_f64(ms / 1_000.0)
}

struct Engine {
    key: Key,
    start: LimitKey,
    speed: f64,
    busy: Vec<bool>,
    /// When the first busy or idle span ends, so that machines do not change together.
    offset: f64,
    /// When it will have done all that was placed on it.
    free_at: f64,
}

impl Engine {
    fn slowdown(&self, at: f64) -> f64 {
        let past = self.busy.iter().zip(0_u32..);
        let mut left = past.filter(|(_, number)| at < self.span_end(*number));
        let busy = left.next().is_some_and(|(busy, _)| *busy);
        if busy { BUSY.1 } else { 1.0 }
    }

    fn span_end(&self, number: u32) -> f64 {
        self.offset + f64::from(number) * BUSY_MS
    }

    /// Places a prompt and returns when its prefill ends.
    fn prefill(&mut self, now: f64, tokens: f64) -> f64 {
        let mut left = tokens;
        let mut at = self.free_at.max(now);
        while left > 0.0 {
            let rate = RATE * self.speed / self.slowdown(at);
            let mut ends = (0..).map(|number| self.span_end(number));
            let change = ends.find(|end| *end > at).unwrap_or(f64::MAX);
            let ready = at + left / rate;
            left = if ready <= change {
                0.0
            } else {
                left - (change - at) * rate
            };
            at = ready.min(change);
        }
        self.free_at = at;
        at
    }
}

/// What the gateways hear, at the time when they do.
enum News {
    Placed(Key, u32),
    /// A prefill of this many tokens ended. The time of one that waited for no other is observed.
    Ended(usize, u32, Option<f64>),
}

struct Fleet {
    engines: Vec<Engine>,
    directory: Directory,
    loads: LoadTable,
    rng: ChaCha8Rng,
    known: Known,
    /// In microseconds and by number.
    news: BTreeMap<(u64, u64), News>,
    sent: u64,
}

impl Fleet {
    fn new(known: Known, gateways: u8) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(11);
        let mut directory = Directory::default();
        directory.speeds.activate(known != Known::Nothing);
        let mut engines = Vec::new();
        for number in 0..ENGINES {
            let name = format!("e{number}").into();
            let change = Change::Upstream(name, Ok(entry()));
            directory.apply(Time::ZERO, change);
            let endpoint = directory.get(&format!("e{number}").into()).unwrap();
            let speed = SPEEDS[number % SPEEDS.len()];
            engines.push(Engine {
                key: endpoint.key,
                start: endpoint.limit_key,
                speed,
                busy: (0..200).map(|_| rng.random_bool(BUSY.0)).collect(),
                offset: rng.random_range(0.0..BUSY_MS),
                free_at: 0.0,
            });
        }
        if known == Known::Everything {
            for engine in &engines {
                let told = Observation {
                    key: engine.start,
                    slowdown: 0,
                    ratio: percent(1.0 / engine.speed),
                };
                (0..200).for_each(|_| directory.speeds.merge(Time::ZERO, &[told]));
            }
        }
        let mut loads = LoadTable::default();
        for number in 1..gateways {
            let peer: SocketAddr = ([10, 0, 0, number], 7000).into();
            loads.apply_digest(Time::ZERO, peer, Digest::default());
        }
        Self {
            engines,
            directory,
            loads,
            rng,
            known,
            news: BTreeMap::new(),
            sent: 0,
        }
    }

    fn hear(&mut self, at: f64, news: News) {
        self.sent += 1;
        self.news.insert((time(at).as_micros(), self.sent), news);
    }

    /// Applies what the gateways have heard by now.
    fn catch_up(&mut self, now: f64) {
        let now_us = time(now).as_micros();
        let later = self.news.split_off(&(now_us + 1, 0));
        for ((at, _), news) in std::mem::replace(&mut self.news, later) {
            let load = |tokens| Load {
                requests: 1,
                unprefilled_tokens: tokens,
                kv_tokens: 0,
            };
            match news {
                News::Placed(key, tokens) => self.loads.reserve(key, load(tokens)),
                News::Ended(number, tokens, each) => {
                    let engine = &self.engines[number];
                    self.loads.release(engine.key, load(tokens));
                    let at = Time::from_micros(at);
                    let stated = percent(engine.slowdown(now)).into();
                    let speeds = &mut self.directory.speeds;
                    speeds.record_stated(at, engine.start, stated);
                    if let Some(each) = each {
                        speeds.record_time(at, engine.start, (0, Work::PromptToken), each);
                    }
                }
            }
        }
        if self.known == Known::Everything {
            for engine in &self.engines {
                let stated = percent(engine.slowdown(now)).into();
                let speeds = &mut self.directory.speeds;
                speeds.record_stated(time(now), engine.start, stated);
            }
        }
    }

    /// Returns the number of the engine that a gateway chooses.
    fn choose(&mut self, now: f64, tokens: u32) -> usize {
        let demand = Demand {
            prompt_tokens: tokens,
            kv_tokens: tokens,
        };
        let mut placer = Placer {
            directory: &self.directory,
            loads: &self.loads,
            limits: &SharedLimits::new(([10, 0, 0, 0], 7000).into()),
            patience: Some(Duration::ZERO),
            build: None,
            preferred: &DataCentre::from("z"),
            now: time(now),
            rng: &mut self.rng,
            rank: None,
            max_gap: None,
        };
        let service = Service::from("s");
        let chosen = placer.choose_prefill(&service, demand, 0, &[]).unwrap();
        let mut engines = self.engines.iter();
        engines.position(|e| e.key == chosen.key).unwrap()
    }
}

fn percent(ratio: f64) -> u16 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "ratios of the engines are small"
    )]
    let percent = (ratio * 100.0).round() as u16;
    percent
}

fn entry() -> UpstreamEntry {
    UpstreamEntry {
        service: "s".into(),
        version: "v1".into(),
        address: ([127, 0, 0, 1], 1).into(),
        data_centre: "z".into(),
        slots: 64,
        draining: false,
        warmup_left: Duration::ZERO,
        stage: Some(Stage::Prefill),
        start_ms: None,
    }
}

/// Sends prompts to the engines at this share of their capacity. What a gateway does is known to all others
/// `staleness` milliseconds later.
fn run(known: Known, load: f64, gateways: u8) -> Outcome {
    let staleness = 2.0 + 0.3 * f64::from(gateways);
    let mut fleet = Fleet::new(known, gateways);
    let usual: f64 = fleet.engines.iter().map(|engine| engine.speed * RATE).sum();
    let capacity = usual * (1.0 - BUSY.0 + BUSY.0 / BUSY.1);
    let pause = 5_000.0 / (load * capacity);
    let mut arrivals = ChaCha8Rng::seed_from_u64(23);
    let mut times = Vec::new();
    let mut now = 0.0;
    while now < RUN_MS.0 {
        now -= pause * (1.0 - arrivals.random::<f64>()).ln();
        let tokens = arrivals.random_range(1_000..9_000_u32);
        fleet.catch_up(now);
        let chosen = fleet.choose(now, tokens);
        let engine = &mut fleet.engines[chosen];
        let key = engine.key;
        let alone = engine.free_at <= now;
        let end = engine.prefill(now, tokens.into());
        let each = alone.then_some((end - now) / f64::from(tokens));
        fleet.hear(now + staleness, News::Placed(key, tokens));
        fleet.hear(end + staleness, News::Ended(chosen, tokens, each));
        if now >= RUN_MS.1 {
            times.push(end - now);
        }
    }
    times.sort_by(f64::total_cmp);
    Outcome(times)
}

/// Guards against placement that leaves prompts waiting at slow engines while faster ones could process them
/// sooner, at any load and fleet size.
#[rstest]
fn prompts_end_sooner_where_speeds_are_known(
    #[values(0.5, 0.8, 0.95)] load: f64,
    #[values(8, 60)] gateways: u8,
) {
    let rules = [Known::Nothing, Known::Answers, Known::Everything];

    let outcomes = rules.map(|known| run(known, load, gateways));

    for (known, outcome) in rules.iter().zip(&outcomes) {
        let [p50, p99] = [50, 99].map(|percent| outcome.percentile(percent));
        let in_time = outcome.in_time();
        println!(
            "{load:4} {gateways:2} gateways  {known:10?}  p50 {p50:5.0} ms  p99 {p99:5.0} ms  in time {in_time:5.1}%"
        );
    }
    let [before, learned, _] = outcomes;
    assert!(learned.percentile(99) < before.percentile(99));
    assert!(learned.in_time() >= before.in_time().min(MIN_IN_TIME));
}
