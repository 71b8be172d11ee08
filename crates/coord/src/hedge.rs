//! When a request that takes longer than usual gets a second copy at another upstream.
//!
//! The first answer wins, and the other copy is cancelled. The usual time is a quantile of the latencies that were
//! observed, so it follows the load. Copies are extra work, so their number is a bounded share of the requests, and
//! none are sent while the upstreams are busy. See `docs/design/slow-answers.md`.
//!
//! # Example
//!
//! ```
//! use std::time::Duration;
//!
//! use coord::hedge::{Hedge, Situation, SizeClass};
//! use coord::time::Time;
//!
//! let (now, class) = (Time::from_millis(1), SizeClass::of_bytes(300));
//! let mut hedge = Hedge::default();
//! for _ in 0..60 {
//!     hedge.count_request(0.125);
//!     hedge.record(now, class, Duration::from_millis(20));
//! }
//! let usual = hedge.usual_time(now, class).expect("enough observations");
//! assert!((19..=21).contains(&usual.as_millis()));
//!
//! // Sixty requests have earned seven copies.
//! let copies = (0..60).filter(|_| hedge.try_copy(&Situation::default()));
//! assert_eq!(copies.count(), 7);
//! ```

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;

use crate::time::Time;

/// Quantile of the latencies after which a request has taken longer than usual.
const QUANTILE: f64 = 0.95;
/// Number of observations below which a quantile says little.
const MIN_OBSERVATIONS: u64 = 50;
/// Time after which an observation no longer counts at the latest. Half of it is the least for which one counts.
const RETENTION: Duration = Duration::from_mins(1);
/// Time for which a computed quantile is used again, since computing it reads the whole histogram.
const QUANTILE_LIFETIME: Duration = Duration::from_millis(250);
/// Largest number of copies that the budget holds, so that a quiet time does not pay for a burst of copies.
const MAX_CREDIT: f64 = 10.0;
/// Share of the places of a service above which copies would slow all of its requests.
const MAX_USED: f64 = 0.7;
/// Unit of the histograms in microseconds.
const UNIT_MICROS: u128 = 100;
/// Longest latency that the histograms tell apart, in their unit: one minute.
const MAX_UNITS: u64 = 600_000;
/// Significant decimal digits of a latency. With two, a histogram takes 7 KB.
const DIGITS: u8 = 2;
/// Size from which on requests are of the second class. Each further class begins at four times the size.
const SECOND_CLASS_BYTES: usize = 1_024;
/// Number of the last class, which bounds the memory of a service to 90 KB.
const LAST_CLASS: u8 = 5;

/// Requests whose sizes are alike, and whose latencies can be compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SizeClass(u8);

impl SizeClass {
    /// Returns the class of a request with a body of `bytes`.
    #[must_use]
    pub fn of_bytes(bytes: usize) -> Self {
        let bounds = (0..LAST_CLASS).map(|class| SECOND_CLASS_BYTES << (2 * class));
        let passed = bounds.filter(|bound| bytes >= *bound).count();
        Self(u8::try_from(passed).unwrap_or(LAST_CLASS))
    }
}

/// What speaks against a copy of a request at this moment.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Situation {
    /// Share of the places at the upstreams of the service that is taken.
    pub used: f64,
    /// Whether requests of the service wait for a place.
    pub waiting: bool,
    /// Whether the request may have crashed an upstream.
    pub suspect: bool,
}

/// The latencies of one class within the last minute.
#[derive(Clone, Debug)]
struct Latencies {
    /// Observations since half of the retention before `turned`.
    current: Histogram<u32>,
    /// Those since `turned`.
    next: Histogram<u32>,
    turned: Time,
    /// The quantile, and when it was computed.
    quantile: Option<(Time, Duration)>,
}

impl Latencies {
    fn new(now: Time) -> Self {
        Self {
            current: histogram(),
            next: histogram(),
            turned: now,
            quantile: None,
        }
    }

    /// Drops the observations that are too old.
    fn turn(&mut self, now: Time) {
        let age = now.since(self.turned);
        if age < RETENTION / 2 {
            return;
        }
        self.current.clear();
        if age < RETENTION {
            std::mem::swap(&mut self.current, &mut self.next);
        } else {
            self.next.clear();
        }
        self.turned = now;
        self.quantile = None;
    }

    fn record(&mut self, now: Time, took: Duration) {
        self.turn(now);
        let units = u64::try_from(took.as_micros() / UNIT_MICROS).unwrap_or(MAX_UNITS);
        self.current.saturating_record(units);
        self.next.saturating_record(units);
    }

    fn quantile(&mut self, now: Time) -> Option<Duration> {
        self.turn(now);
        if self.current.len() < MIN_OBSERVATIONS {
            return None;
        }
        let fresh = |(at, _): &(Time, Duration)| now.since(*at) < QUANTILE_LIFETIME;
        if let Some((_, quantile)) = self.quantile.filter(fresh) {
            return Some(quantile);
        }
        let units = self.current.value_at_quantile(QUANTILE);
        let micros = u128::from(units) * UNIT_MICROS;
        let quantile = Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX));
        self.quantile = Some((now, quantile));
        Some(quantile)
    }
}

fn histogram() -> Histogram<u32> {
    Histogram::new_with_bounds(1, MAX_UNITS, DIGITS).expect("the bounds are in order")
}

/// Decides on the copies of the requests of one service.
#[derive(Clone, Debug, Default)]
pub struct Hedge {
    latencies: BTreeMap<SizeClass, Latencies>,
    /// Copies that may be sent.
    credit: f64,
}

impl Hedge {
    /// Counts a request, which earns `share` of a copy.
    pub fn count_request(&mut self, share: f64) {
        self.credit = (self.credit + share).min(MAX_CREDIT);
    }

    /// Records the latency of an attempt that was answered.
    pub fn record(&mut self, now: Time, class: SizeClass, took: Duration) {
        let latencies = self.latencies.entry(class);
        let latencies = latencies.or_insert_with(|| Latencies::new(now));
        latencies.record(now, took);
    }

    /// Records that an attempt was cancelled after a time, because its copy was answered.
    ///
    /// Its latency is at least that time. If that is above the quantile, the observation counts, since otherwise the
    /// quantile would fall with each copy. If not, nothing is known of it.
    pub fn record_cancelled(&mut self, now: Time, class: SizeClass, after: Duration) {
        if self
            .usual_time(now, class)
            .is_some_and(|usual| after >= usual)
        {
            self.record(now, class, after);
        }
    }

    /// Returns the time after which an attempt has taken longer than usual, or `None` if too little is known.
    pub fn usual_time(&mut self, now: Time, class: SizeClass) -> Option<Duration> {
        self.latencies.get_mut(&class)?.quantile(now)
    }

    /// Takes a copy from the budget. Returns false, and takes nothing, if none may be sent.
    pub fn try_copy(&mut self, situation: &Situation) -> bool {
        let is_fit = !situation.suspect && !situation.waiting && situation.used <= MAX_USED;
        let granted = is_fit && self.credit >= 1.0;
        if granted {
            self.credit -= 1.0;
        }
        granted
    }

    /// Gives a copy back that was not sent.
    pub fn return_copy(&mut self) {
        self.count_request(1.0);
    }
}
