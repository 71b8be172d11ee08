//! Retry budgets and backoff.
//!
//! Each retry uses credit of a budget that successful requests fill, so that retries cannot
//! multiply the load on the remaining engines when many engines fail.

use std::time::Duration;

use rand::{Rng, RngExt};

use crate::time::Time;

/// Settings of a [`Budget`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetOptions {
    /// Number of retries that each success adds to the credit.
    pub retry_ratio: f64,
    /// Retries per second that are allowed without successes, so that a service with little
    /// traffic can retry at all.
    pub min_rate: f64,
    /// Time constant of the exponential decay of unused credit. The credit of the minimum rate
    /// is limited to what it gives in this time.
    pub window: Duration,
}

impl Default for BudgetOptions {
    fn default() -> Self {
        Self {
            retry_ratio: 0.1,
            min_rate: 0.5,
            window: Duration::from_secs(30),
        }
    }
}

/// Retry credit of one service.
///
/// # Example
///
/// ```
/// use coord::retry::{Budget, BudgetOptions};
/// use coord::time::Time;
///
/// let now = Time::from_millis(5);
/// let mut budget = Budget::new(BudgetOptions::default(), now);
/// for _ in 0..10 {
///     budget.record_success(now);
/// }
/// assert!(budget.try_spend(now));
/// ```
#[derive(Clone, Debug)]
pub struct Budget {
    options: BudgetOptions,
    credit: f64,
    updated: Time,
}

impl Budget {
    /// Creates a budget with the credit that the minimum rate gives in two seconds.
    #[must_use]
    pub fn new(options: BudgetOptions, now: Time) -> Self {
        Self {
            options,
            credit: options.min_rate * 2.0,
            updated: now,
        }
    }

    /// Adds the credit for one successful request.
    pub fn record_success(&mut self, now: Time) {
        self.refresh(now);
        self.credit += self.options.retry_ratio;
    }

    /// Takes the credit for one retry. Returns false, and takes nothing, if there is not enough.
    pub fn try_spend(&mut self, now: Time) -> bool {
        self.refresh(now);
        let paid = self.credit >= 1.0;
        if paid {
            self.credit -= 1.0;
        }
        paid
    }

    /// Takes the credit for one mandatory retry, even if there is not enough.
    ///
    /// Negative credit blocks other retries until it is refilled or has decayed.
    pub fn force_spend(&mut self, now: Time) {
        self.refresh(now);
        self.credit -= 1.0;
    }

    /// Applies the decay since the last update and adds the credit of the minimum rate.
    fn refresh(&mut self, now: Time) {
        let elapsed = now.since(self.updated).as_secs_f64();
        let window = self.options.window.as_secs_f64();
        self.updated = self.updated.max(now);
        self.credit *= (-elapsed / window).exp();
        let limit = (self.options.min_rate * window).max(self.credit);
        self.credit = (self.credit + self.options.min_rate * elapsed).min(limit);
    }
}

/// Exponential backoff with jitter: each delay is between half of its nominal value and all of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    /// Nominal delay before the first retry, which doubles with each further retry.
    pub initial: Duration,
    /// Upper limit of the nominal delay.
    pub max: Duration,
}

impl Default for Backoff {
    fn default() -> Self {
        Self {
            initial: Duration::from_millis(10),
            max: Duration::from_secs(2),
        }
    }
}

impl Backoff {
    /// Returns the random delay before retry number `retry`, counted from 0.
    pub fn delay(&self, retry: u32, rng: &mut impl Rng) -> Duration {
        let nominal = self.initial * (1 << retry.min(16));
        nominal.min(self.max).mul_f64(rng.random_range(0.5..=1.0))
    }
}
