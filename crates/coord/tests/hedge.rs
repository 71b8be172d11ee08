//! Copies of slow requests, in virtual time.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use coord::hash::hash64;
use coord::hedge::{Hedge, Situation, SizeClass};
use coord::time::Time;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const SMALL: usize = 300;

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn class() -> SizeClass {
    SizeClass::of_bytes(SMALL)
}

/// Returns a hedge that observed this many latencies of 1 ms, 2 ms and so on at a time.
fn observed(now: Time, count: u64) -> Hedge {
    let mut hedge = Hedge::default();
    for ms in 1..=count {
        hedge.record(now, class(), Duration::from_millis(ms));
    }
    hedge
}

fn millis(time: Option<Duration>) -> Option<u128> {
    time.map(|time| time.as_millis())
}

/// Guards against copies whose delay rests on a few requests.
#[test]
fn no_time_is_usual_before_fifty_observations() {
    assert_eq!(observed(at(0), 49).usual_time(at(0), class()), None);

    let usual = observed(at(0), 50).usual_time(at(0), class());

    assert!(matches!(millis(usual), Some(47..=49)), "{usual:?}");
}

/// Guards against a delay of yesterday's latencies, and against one that forgets those of the last seconds.
#[rstest]
#[case::recent(29_000, true)]
#[case::within_half(59_000, true)]
#[case::older_than_a_minute(91_000, false)]
fn observations_count_for_a_minute_at_most(#[case] later: u64, #[case] known: bool) {
    let mut hedge = observed(at(0), 100);
    // A service that is in use turns its histogram every half minute.
    for second in 1..later / 1_000 {
        hedge.usual_time(at(1_000 * second), class());
    }

    assert_eq!(hedge.usual_time(at(later), class()).is_some(), known);
}

/// Guards against a delay of short requests that is applied to long ones.
#[test]
fn classes_of_size_are_kept_apart() {
    let mut hedge = observed(at(0), 100);

    assert_eq!(hedge.usual_time(at(0), SizeClass::of_bytes(5_000)), None);
    assert_eq!(SizeClass::of_bytes(0), SizeClass::of_bytes(1_023));
    assert!(SizeClass::of_bytes(1_024) > SizeClass::of_bytes(1_023));
    assert_eq!(SizeClass::of_bytes(1 << 20), SizeClass::of_bytes(1 << 30));
}

/// Guards against a delay that falls with each copy, because the slow attempts that were cancelled are not seen.
#[test]
fn cancelled_attempts_do_not_shorten_the_delay() {
    let mut hedge = observed(at(0), 100);
    let usual = hedge.usual_time(at(0), class()).unwrap();

    for round in 1..20 {
        let now = at(1_000 * round);
        for ms in 1..=100 {
            let took = Duration::from_millis(ms);
            if took > usual {
                hedge.record_cancelled(now, class(), usual);
            } else {
                hedge.record(now, class(), took);
            }
        }
    }

    let after = hedge.usual_time(at(20_000), class());
    assert!(after >= Some(usual.mul_f64(0.98)), "{after:?}");
}

/// Guards against a copy that was cancelled early and counts as a fast answer.
#[test]
fn an_attempt_that_was_cancelled_early_tells_nothing() {
    let mut hedge = observed(at(0), 100);

    for _ in 0..1_000 {
        hedge.record_cancelled(at(0), class(), Duration::from_millis(3));
    }

    let usual = hedge.usual_time(at(1_000), class());
    assert!(matches!(millis(usual), Some(93..=97)), "{usual:?}");
}

/// Guards against more copies than operators allow, however they are asked for.
#[rstest]
fn copies_stay_within_their_share(
    #[values(0.0, 0.02, 0.1, 0.5)] share: f64,
    #[values(1, 3, 100, 5_000)] batch: u32,
) {
    let mut hedge = Hedge::default();
    let (mut requests, mut copies) = (0, 0);

    for _ in 0..20_000 / batch {
        for _ in 0..batch {
            hedge.count_request(share);
            requests += 1;
        }
        while hedge.try_copy(&Situation::default()) {
            copies += 1;
        }
        assert!(f64::from(copies) <= share * f64::from(requests));
    }
}

/// Guards against a burst of copies after a quiet hour.
#[test]
fn the_budget_holds_ten_copies() {
    let mut hedge = Hedge::default();
    for _ in 0..100_000 {
        hedge.count_request(0.5);
    }

    let copies = (0..100).filter(|_| hedge.try_copy(&Situation::default()));

    assert_eq!(copies.count(), 10);
}

/// Guards against copies that slow all requests of a busy service, or that run a request that crashes upstreams twice
/// at once.
#[rstest]
#[case::idle(Situation::default(), true)]
#[case::used(Situation { used: 0.7, ..Situation::default() }, true)]
#[case::busy(Situation { used: 0.71, ..Situation::default() }, false)]
#[case::waiting(Situation { waiting: true, ..Situation::default() }, false)]
#[case::suspect(Situation { suspect: true, ..Situation::default() }, false)]
fn copies_are_sent_only_if_they_harm_nobody(#[case] situation: Situation, #[case] sent: bool) {
    let mut hedge = Hedge::default();
    hedge.count_request(1.0);

    assert_eq!(hedge.try_copy(&situation), sent);
    // A copy that was not sent is not paid.
    assert_eq!(hedge.try_copy(&Situation::default()), !sent);
}

/// Engines of the driver, and requests that each of them runs at once.
const ENGINES: usize = 12;
const SLOTS: usize = 4;
/// Time of a request at an engine that is not slow: at least the first, and on average both together.
const LEAST_WORK: Duration = Duration::from_millis(30);
const MEAN_MORE_WORK: Duration = Duration::from_millis(30);
/// How much longer work takes on a slow engine, how often an engine is slow, and for how long.
const SLOWDOWN: f64 = 2.5;
const SLOW_SHARE: f64 = 0.15;
const SLOW_TIME: Duration = Duration::from_secs(1);
/// Share of the copies in the runs that have them.
const SHARE: f64 = 0.1;
const REQUESTS: usize = 100_000;
/// First requests that are not counted.
const WARMUP: usize = 5_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival(usize),
    /// A request has taken longer than usual.
    Late(usize),
    /// The attempt with this number ends.
    Done(usize),
}

struct Attempt {
    request: usize,
    engine: usize,
    sent: Time,
    /// Whether it waits, runs or was not cancelled yet.
    live: bool,
}

#[derive(Default)]
struct Engine {
    running: usize,
    waiting: VecDeque<usize>,
}

/// Requests to engines that are slow now and then, which all belong to one service.
struct Driver {
    share: f64,
    rng: ChaCha8Rng,
    hedge: Hedge,
    now: Time,
    events: BinaryHeap<Reverse<(Time, Event)>>,
    engines: Vec<Engine>,
    attempts: Vec<Attempt>,
    arrived: Vec<Time>,
    /// The attempts of each request.
    of_request: Vec<Vec<usize>>,
    took: Vec<Duration>,
    copies: usize,
}

impl Driver {
    /// Sends all requests at a share of the capacity of the engines.
    fn run(load: f64, share: f64) -> Self {
        let mut driver = Self {
            share,
            rng: ChaCha8Rng::seed_from_u64(7),
            hedge: Hedge::default(),
            now: Time::ZERO,
            events: BinaryHeap::new(),
            engines: (0..ENGINES).map(|_| Engine::default()).collect(),
            attempts: Vec::new(),
            arrived: Vec::new(),
            of_request: Vec::new(),
            took: vec![Duration::ZERO; REQUESTS],
            copies: 0,
        };
        let mean_work = (LEAST_WORK + MEAN_MORE_WORK).as_secs_f64();
        let mean_work = mean_work * (1.0 + SLOW_SHARE * (SLOWDOWN - 1.0));
        #[expect(clippy::cast_precision_loss, reason = "a small number of slots")]
        let rate = load * (ENGINES * SLOTS) as f64 / mean_work;
        driver.push(Duration::ZERO, Event::Arrival(0));
        while let Some(Reverse((now, event))) = driver.events.pop() {
            driver.now = now;
            match event {
                Event::Arrival(request) => driver.arrive(request, rate),
                Event::Late(request) => driver.copy(request),
                Event::Done(attempt) => driver.end(attempt),
            }
        }
        driver
    }

    fn push(&mut self, after: Duration, event: Event) {
        self.events.push(Reverse((self.now + after, event)));
    }

    /// Returns a random time with this mean, distributed exponentially.
    fn exponential(&mut self, mean: Duration) -> Duration {
        mean.mul_f64(-(1.0 - self.rng.random_range(0.0..1.0_f64)).ln())
    }

    fn arrive(&mut self, request: usize, rate: f64) {
        if request + 1 < REQUESTS {
            let pause = self.exponential(Duration::from_secs_f64(1.0 / rate));
            self.push(pause, Event::Arrival(request + 1));
        }
        self.arrived.push(self.now);
        self.of_request.push(Vec::new());
        self.send(request);
        if self.share > 0.0 {
            self.hedge.count_request(self.share);
            if let Some(usual) = self.hedge.usual_time(self.now, class()) {
                self.push(usual, Event::Late(request));
            }
        }
    }

    /// Sends the request to the engine with the lowest load that does not have it.
    fn send(&mut self, request: usize) {
        let has_it = |engine: &usize| {
            let mut attempts = self.of_request[request].iter();
            attempts.any(|attempt| self.attempts[*attempt].engine == *engine)
        };
        let load =
            |engine: &usize| self.engines[*engine].running + self.engines[*engine].waiting.len();
        let others: Vec<usize> = (0..ENGINES).filter(|engine| !has_it(engine)).collect();
        let least = others.iter().map(load).min().unwrap();
        let equal: Vec<usize> = others.into_iter().filter(|e| load(e) == least).collect();
        let engine = equal[self.rng.random_range(0..equal.len())];
        let number = self.attempts.len();
        self.of_request[request].push(number);
        self.attempts.push(Attempt {
            request,
            engine,
            sent: self.now,
            live: true,
        });
        self.engines[engine].waiting.push_back(number);
        self.begin_next(engine);
    }

    fn begin_next(&mut self, engine: usize) {
        if self.engines[engine].running == SLOTS {
            return;
        }
        let Some(attempt) = self.engines[engine].waiting.pop_front() else {
            return;
        };
        self.engines[engine].running += 1;
        let slice = self.now.as_micros() / u64::try_from(SLOW_TIME.as_micros()).unwrap();
        let drawn = hash64(format!("{engine} {slice}").as_bytes()) % 1_000;
        #[expect(clippy::cast_precision_loss, reason = "a number below 1000")]
        let slow = (drawn as f64) < 1_000.0 * SLOW_SHARE;
        let work = LEAST_WORK + self.exponential(MEAN_MORE_WORK);
        let work = work.mul_f64(if slow { SLOWDOWN } else { 1.0 });
        self.push(work, Event::Done(attempt));
    }

    fn copy(&mut self, request: usize) {
        if self.took[request] > Duration::ZERO {
            return;
        }
        let busy: usize = self
            .engines
            .iter()
            .map(|e| e.running + e.waiting.len())
            .sum();
        #[expect(clippy::cast_precision_loss, reason = "a small number of slots")]
        let used = busy as f64 / (ENGINES * SLOTS) as f64;
        let situation = Situation {
            used,
            ..Situation::default()
        };
        if self.hedge.try_copy(&situation) {
            self.copies += 1;
            self.send(request);
        }
    }

    fn end(&mut self, attempt: usize) {
        let Attempt {
            request,
            engine,
            sent,
            ..
        } = self.attempts[attempt];
        if !std::mem::take(&mut self.attempts[attempt].live) {
            return;
        }
        self.engines[engine].running -= 1;
        self.begin_next(engine);
        self.took[request] = self.now.since(self.arrived[request]);
        if self.share > 0.0 {
            let (now, took) = (self.now, self.now.since(sent));
            self.hedge.record(now, class(), took);
        }
        for other in self.of_request[request].clone() {
            if std::mem::take(&mut self.attempts[other].live) {
                self.cancel(other);
            }
        }
    }

    /// Takes a copy from its engine, which ends its work when the connection is closed.
    fn cancel(&mut self, attempt: usize) {
        let Attempt { engine, sent, .. } = self.attempts[attempt];
        let after = self.now.since(sent);
        self.hedge.record_cancelled(self.now, class(), after);
        let waiting = &mut self.engines[engine].waiting;
        if let Some(index) = waiting.iter().position(|other| *other == attempt) {
            waiting.remove(index);
        } else {
            self.engines[engine].running -= 1;
            self.begin_next(engine);
        }
    }

    /// Returns the latency that a share of the requests does not exceed.
    fn quantile(&self, share: f64) -> Duration {
        let mut took = self.took[WARMUP..].to_vec();
        took.sort_unstable();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_precision_loss,
            clippy::cast_sign_loss,
            reason = "an index into a list of requests"
        )]
        let index = (took.len() as f64 * share) as usize;
        took[index]
    }
}

/// Guards against copies beyond their share, and against copies that slow the requests which they are meant to shorten.
/// Prints the table of `docs/design/slow-answers.md`.
#[test]
fn copies_shorten_the_slowest_requests() {
    let mut table = Vec::new();
    for load in [0.3, 0.6, 0.9] {
        let without = Driver::run(load, 0.0);
        let with = Driver::run(load, SHARE);

        #[expect(clippy::cast_precision_loss, reason = "small numbers")]
        let share = with.copies as f64 / REQUESTS as f64;
        let row = [0.5, 0.99, 0.999].map(|q| {
            let [without, with] = [without.quantile(q), with.quantile(q)];
            format!("{} to {}", without.as_millis(), with.as_millis())
        });
        table.push(format!(
            "| {load} | {} | {:.1}% |",
            row.join(" | "),
            100.0 * share
        ));
        assert_eq!(without.copies, 0);
        assert!(share <= SHARE, "{share}");
        assert!(with.quantile(0.99) <= without.quantile(0.99), "{table:?}");
        assert!(with.quantile(0.999) <= without.quantile(0.999), "{table:?}");
    }
    println!("{}", table.join("\n"));
}
