//! The number of retries that the gateways send to a service together.
//!
//! The limit holds for the whole fleet and for any window. Each gateway counts its own requests and
//! retries and those that the others report, and uses what is left. Gateways that do not hear all others
//! use their share of the fixed part ([`FleetSize::share`](super::FleetSize::share)).
//!
//! # Bound on the error
//!
//! A report is sent with the digest that a retry causes anyway, and only once: counts are cumulative, so the next one
//! makes up for one that was lost. Between two reports, a gateway uses no more than its share of what is left, and some round it up. The part
//! of the limit that is never used covers that, and requests that arrive at a different gateway or in a
//! different window from their retries.
//!
//! A gateway that has run for less than a window does not know what the one that it replaced used. It
//! uses little until another gateway tells what it counted in the window.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::time::Time;

/// Number of buckets in a window. The sum covers up to one bucket more than the window.
const WINDOW_BUCKETS: usize = 10;
/// Share of the allowance that is used. Gateways that are killed forget what they used, and what starting ones
/// use comes on top.
const USABLE_SHARE: f64 = 0.7;
/// Share of the part proportional to requests that a starting gateway uses. The one that it replaced
/// may have used its own in the same window.
const STARTING_REQUEST_SHARE: f64 = 0.25;
/// Share of the fixed part that all starting gateways use together. With the other shares, the fleet
/// stays within the limit if all gateways are killed three times in one window.
const STARTING_FIXED_SHARE: f64 = 0.06;

/// The limit on retries for one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimit {
    /// Retries allowed for each request.
    pub ratio: f64,
    /// Retries allowed in addition in each window, over the whole fleet.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

/// The gateways among which a limit is divided.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Division {
    /// Number of gateways.
    pub gateways: usize,
    /// Share of the limit that those which hear each other may use.
    pub share: f64,
}

/// What one gateway reports of its retries to a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetryRecord {
    /// A hash that stands for the service.
    pub service: u64,
    /// Requests of callers since the start of the sender.
    pub requests: u64,
    /// Retries since then.
    pub retries: u64,
    /// How many of these were in the current window.
    pub recent: (u32, u32),
    /// Retries of all gateways in the window, if the sender has seen all of it.
    pub in_window: Option<u32>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    index: u64,
    requests: u64,
    retries: u64,
    /// Requests and retries of this gateway among them.
    own: (u64, u64),
}

/// What another gateway reported last.
#[derive(Clone, Copy, Debug)]
struct PeerCounts {
    version: (u64, u64),
    requests: u64,
    retries: u64,
}

/// The requests and retries of one service in the current window, as known to one gateway.
#[derive(Clone, Debug)]
pub struct RetryBudget<P> {
    buckets: VecDeque<Bucket>,
    /// Own requests and retries since the start.
    own: (u64, u64),
    peers: BTreeMap<P, PeerCounts>,
    /// Whether another gateway told what it counted in the window before the start.
    informed: bool,
    /// Own retries since the last report.
    unreported: u32,
    rounding: f64,
}

impl<P> Default for RetryBudget<P> {
    fn default() -> Self {
        Self::new(0.0)
    }
}

impl<P> RetryBudget<P> {
    /// Creates an empty budget. `rounding` is a random number from 0 to 1 that decides whether this
    /// gateway is one of those that round their share up: it is often less than one retry.
    #[must_use]
    pub fn new(rounding: f64) -> Self {
        Self {
            buckets: VecDeque::new(),
            own: (0, 0),
            peers: BTreeMap::new(),
            informed: false,
            unreported: 0,
            rounding,
        }
    }

    /// Counts one request from a caller.
    pub fn count_request(&mut self, now: Time, limit: &RetryLimit) {
        self.own.0 += 1;
        let bucket = self.bucket(now, limit);
        bucket.requests = bucket.requests.saturating_add(1);
        bucket.own.0 += 1;
    }

    /// Counts one retry if the limit allows it. `now` is the time since the start of the process.
    pub fn try_retry(&mut self, now: Time, limit: &RetryLimit, division: Division) -> bool {
        let granted = self.has_retry(now, limit, division);
        if granted {
            self.own.1 += 1;
            let bucket = self.bucket(now, limit);
            bucket.retries = bucket.retries.saturating_add(1);
            bucket.own.1 += 1;
            self.unreported += 1;
        }
        granted
    }

    /// Returns whether the limit allows a retry, without counting one.
    pub fn has_retry(&mut self, now: Time, limit: &RetryLimit, division: Division) -> bool {
        self.bucket(now, limit);
        self.retries_left(now, limit, division) >= 1.0
    }

    /// Returns the retries that this gateway may send before its next report.
    fn retries_left(&self, now: Time, limit: &RetryLimit, division: Division) -> f64 {
        let gateways = f64::from(u32::try_from(division.gateways.max(1)).unwrap_or(u32::MAX));
        if now.since(Time::ZERO) < limit.window && !self.informed {
            let [requests, retries] = [self.own.0, self.own.1].map(to_f64);
            let earned = STARTING_REQUEST_SHARE * limit.ratio * requests;
            let fixed = STARTING_FIXED_SHARE * limit.slack / gateways;
            return earned + fixed + self.rounding - retries;
        }
        let (requests, retries) = self.counted();
        let [requests, retries] = [requests, retries].map(to_f64);
        let allowed = USABLE_SHARE * (limit.ratio * requests + limit.slack * division.share);
        if division.share < 1.0 {
            // A share below one retry is rounded up; the unused part of the allowance covers the
            // excess.
            return allowed.max(1.0) - retries;
        }
        let left = allowed - retries;
        let own_part = left / gateways + self.rounding - f64::from(self.unreported);
        left.min(own_part)
    }

    /// Returns the requests and retries that count at present, for log events.
    #[must_use]
    pub fn counted(&self) -> (u64, u64) {
        let all = |of: fn(&Bucket) -> u64| self.buckets.iter().map(of);
        let sum = |of| all(of).fold(0, u64::saturating_add);
        (sum(|bucket| bucket.requests), sum(|bucket| bucket.retries))
    }

    /// Returns whether a change has to be reported.
    #[must_use]
    pub fn has_updates(&self) -> bool {
        self.unreported > 0
    }

    /// Returns the record for the next report.
    pub fn record(&mut self, now: Time, limit: &RetryLimit, service: u64) -> RetryRecord {
        self.bucket(now, limit);
        self.unreported = 0;
        let settled = now.since(Time::ZERO) >= limit.window || self.informed;
        let count = |count: u64| u32::try_from(count).unwrap_or(u32::MAX);
        let sum = |of: fn(&Bucket) -> u64| {
            count(self.buckets.iter().map(of).fold(0, u64::saturating_add))
        };
        let recent = (sum(|bucket| bucket.own.0), sum(|bucket| bucket.own.1));
        let in_window = count(self.counted().1);
        RetryRecord {
            service,
            requests: self.own.0,
            retries: self.own.1,
            recent,
            in_window: settled.then_some(in_window),
        }
    }

    fn bucket(&mut self, now: Time, limit: &RetryLimit) -> &mut Bucket {
        let length = (limit.window / u32::try_from(WINDOW_BUCKETS).unwrap_or(1))
            .max(Duration::from_millis(1));
        let index = now.as_micros() / u64::try_from(length.as_micros()).unwrap_or(u64::MAX);
        let oldest = index.saturating_sub(WINDOW_BUCKETS as u64);
        while self
            .buckets
            .front()
            .is_some_and(|bucket| bucket.index < oldest)
        {
            self.buckets.pop_front();
        }
        if self
            .buckets
            .back()
            .is_none_or(|bucket| bucket.index < index)
        {
            self.buckets.push_back(Bucket {
                index,
                ..Bucket::default()
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}

impl<P: Clone + Ord> RetryBudget<P> {
    /// Applies a record of another gateway. `version` is the start of the sender and the sequence number
    /// of its report.
    pub fn apply(
        &mut self,
        now: Time,
        limit: &RetryLimit,
        (from, version): (&P, (u64, u64)),
        record: RetryRecord,
    ) {
        let known = self.peers.get(from).copied();
        if known.is_some_and(|known| version <= known.version) {
            return;
        }
        let counted = match known {
            Some(known) if known.version.0 == version.0 => (known.requests, known.retries),
            Some(_) => (0, 0),
            None => (
                record.requests.saturating_sub(record.recent.0.into()),
                record.retries.saturating_sub(record.recent.1.into()),
            ),
        };
        let bucket = self.bucket(now, limit);
        // Other gateways state the counts, so that any number may arrive.
        let [requests, retries] = [
            record.requests.saturating_sub(counted.0),
            record.retries.saturating_sub(counted.1),
        ];
        bucket.requests = bucket.requests.saturating_add(requests);
        bucket.retries = bucket.retries.saturating_add(retries);
        let starting = now.since(Time::ZERO) < limit.window;
        if let Some(told) = record.in_window.filter(|_| starting) {
            let missed = u64::from(told).saturating_sub(self.counted().1);
            let bucket = self.bucket(now, limit);
            bucket.retries = bucket.retries.saturating_add(missed);
            self.informed = true;
        }
        let counts = PeerCounts {
            version,
            requests: record.requests,
            retries: record.retries,
        };
        self.peers.insert(from.clone(), counts);
    }

    /// Forgets a gateway that has gone silent. What it used stays in the window.
    pub fn forget(&mut self, peer: &P) {
        self.peers.remove(peer);
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "counts of a window are far below 2^52"
)]
fn to_f64(count: u64) -> f64 {
    count as f64
}
