//! How many repeated requests a gateway may send to a service.
//!
//! The bound holds over the whole fleet and in any window. Each gateway keeps to its share without
//! asking: the part that grows with requests is paid from its own requests, the fixed part is
//! divided by the gateways that it knows of.

use std::collections::VecDeque;
use std::time::Duration;

use coord::time::Time;

/// Parts into which a window is divided; the sum reaches back by one part more than the window.
const WINDOW_BUCKETS: usize = 10;
/// The share of the allowance that is used. Requests that arrive on another gateway or in another
/// window than their repeats make the fleet's sum uneven.
const USABLE_SHARE: f64 = 0.8;

/// The bound of one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimit {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats in addition.
    pub slack: f64,
    /// The window.
    pub window: Duration,
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    index: u64,
    requests: u32,
    retries: u32,
}

/// The requests and repeats of one service in the last window.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    buckets: VecDeque<Bucket>,
}

impl RetryBudget {
    /// Counts one request of a caller.
    pub fn count_request(&mut self, now: Time, limit: &RetryLimit) {
        self.bucket(now, limit).requests += 1;
    }

    /// Counts one repeat if the share of this gateway, one of `gateways`, allows it.
    pub fn try_retry(&mut self, now: Time, limit: &RetryLimit, gateways: usize) -> bool {
        self.bucket(now, limit);
        let sum = |of: fn(&Bucket) -> u32| self.buckets.iter().map(of).sum::<u32>();
        let requests = f64::from(sum(|bucket| bucket.requests));
        let retries = f64::from(sum(|bucket| bucket.retries));
        let gateways = u32::try_from(gateways.max(1)).unwrap_or(u32::MAX);
        let share = limit.slack / f64::from(gateways);
        // A share below one repeat is rounded up: the part of it that is left unused covers that.
        let allowed = (USABLE_SHARE * (limit.ratio * requests + share)).max(1.0);
        let granted = retries + 1.0 <= allowed;
        if granted {
            self.bucket(now, limit).retries += 1;
        }
        granted
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
