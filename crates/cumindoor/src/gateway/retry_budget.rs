//! The number of retries that a gateway may send to a service.
//!
//! The limit holds for the whole fleet and for any window. Each gateway stays within its share
//! without coordination: the part that is proportional to requests is computed from its own
//! requests, and the fixed part is divided by the number of gateways that it knows of. A gateway has
//! its whole share of the fixed part only after it has run for a window: it may have replaced one that
//! was killed, and does not know what that one used.

use std::collections::VecDeque;
use std::time::Duration;

use coord::time::Time;

/// Number of buckets in a window. The sum covers up to one bucket more than the window.
const WINDOW_BUCKETS: usize = 10;
/// Share of the allowance that is used. The rest keeps the fleet within the limit if requests
/// arrive at a different gateway or in a different window from their retries.
const USABLE_SHARE: f64 = 0.8;

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

/// Share of the part proportional to requests that a starting gateway uses. The one that it replaced
/// may have used its own in the same window.
const STARTING_REQUEST_SHARE: f64 = 0.25;
/// Share of the fixed part that all starting gateways use together. With the other shares, the fleet
/// stays within the limit if all gateways are killed three times in one window.
const STARTING_FIXED_SHARE: f64 = 0.06;

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    index: u64,
    requests: u32,
    retries: u32,
}

/// The requests and retries of one service in the current window.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    buckets: VecDeque<Bucket>,
    rounding: f64,
}

impl RetryBudget {
    /// Creates an empty budget. `rounding` is a random number from 0 to 1 that decides whether this
    /// gateway is one of those that round the share of a starting gateway up: it is often less than one
    /// retry.
    #[must_use]
    pub fn new(rounding: f64) -> Self {
        Self {
            buckets: VecDeque::new(),
            rounding,
        }
    }

    /// Counts one request from a caller.
    pub fn count_request(&mut self, now: Time, limit: &RetryLimit) {
        self.bucket(now, limit).requests += 1;
    }

    /// Counts one retry if the share of this gateway, one of `gateways`, allows it. `now` is the time
    /// since the start of the process.
    pub fn try_retry(&mut self, now: Time, limit: &RetryLimit, gateways: usize) -> bool {
        self.bucket(now, limit);
        let (requests, retries) = self.counted();
        let (requests, retries) = (f64::from(requests), f64::from(retries));
        let gateways = u32::try_from(gateways.max(1)).unwrap_or(u32::MAX);
        let share = limit.slack / f64::from(gateways);
        let allowed = if now.since(Time::ZERO) < limit.window {
            let earned = STARTING_REQUEST_SHARE * limit.ratio * requests;
            earned + STARTING_FIXED_SHARE * share + self.rounding
        } else {
            // A share below one retry is rounded up; the unused part of the allowance covers the
            // excess.
            (USABLE_SHARE * (limit.ratio * requests + share)).max(1.0)
        };
        let granted = retries + 1.0 <= allowed;
        if granted {
            self.bucket(now, limit).retries += 1;
        }
        granted
    }

    /// Returns the requests and retries that count at present, for log events.
    #[must_use]
    pub fn counted(&self) -> (u32, u32) {
        let sum = |of: fn(&Bucket) -> u32| self.buckets.iter().map(of).sum();
        (sum(|bucket| bucket.requests), sum(|bucket| bucket.retries))
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
