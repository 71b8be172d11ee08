//! The number of retries that a gateway may send to a service.
//!
//! The limit holds for the whole fleet and for any window. Each gateway stays within its share
//! without coordination: the part that is proportional to requests is computed from its own
//! requests, and the fixed part is divided by the number of gateways that it knows of.

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
}

impl RetryBudget {
    /// Counts one request from a caller.
    pub fn count_request(&mut self, now: Time, limit: &RetryLimit) {
        self.bucket(now, limit).requests += 1;
    }

    /// Counts one retry if the share of this gateway, one of `gateways`, allows it.
    pub fn try_retry(&mut self, now: Time, limit: &RetryLimit, gateways: usize) -> bool {
        self.bucket(now, limit);
        let (requests, retries) = self.counted();
        let (requests, retries) = (f64::from(requests), f64::from(retries));
        let gateways = u32::try_from(gateways.max(1)).unwrap_or(u32::MAX);
        let share = limit.slack / f64::from(gateways);
        // A share below one retry is rounded up; the unused part of the allowance covers the
        // excess.
        let allowed = (USABLE_SHARE * (limit.ratio * requests + share)).max(1.0);
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
