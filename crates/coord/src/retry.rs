//! Retry budgets and backoff.
//!
//! Retries are paid from a budget that successes fill, so a failure of many engines cannot
//! multiply the load on the others.

use std::time::Duration;

use rand::{Rng, RngExt};

use crate::time::Time;

/// Settings of a [`Budget`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetOptions {
    /// Retries that one success pays for.
    pub share: f64,
    /// Retries a second that are allowed without successes, so that a service with little
    /// traffic can retry at all.
    pub floor: f64,
    /// Time over which credit is kept; older credit decays.
    pub window: Duration,
}

impl Default for BudgetOptions {
    fn default() -> Self {
        Self {
            share: 0.1,
            floor: 0.5,
            window: Duration::from_secs(30),
        }
    }
}

/// Credit for retries of one service.
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
///     budget.success(now);
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
    /// Creates a budget with the credit of two seconds of its floor.
    #[must_use]
    pub fn new(options: BudgetOptions, now: Time) -> Self {
        Self {
            options,
            credit: options.floor * 2.0,
            updated: now,
        }
    }

    /// Adds the credit of one successful request.
    pub fn success(&mut self, now: Time) {
        self.settle(now);
        self.credit += self.options.share;
    }

    /// Takes the credit of one retry; returns false if there is not enough.
    pub fn try_spend(&mut self, now: Time) -> bool {
        self.settle(now);
        let paid = self.credit >= 1.0;
        if paid {
            self.credit -= 1.0;
        }
        paid
    }

    /// Takes the credit of one retry that cannot be left out, even if there is not enough.
    ///
    /// The debt holds back other retries until it is paid or has decayed.
    pub fn spend(&mut self, now: Time) {
        self.settle(now);
        self.credit -= 1.0;
    }

    /// Lets old credit decay and adds the floor's.
    fn settle(&mut self, now: Time) {
        let passed = now.since(self.updated).as_secs_f64();
        let window = self.options.window.as_secs_f64();
        self.updated = self.updated.max(now);
        self.credit *= (-passed / window).exp();
        let limit = (self.options.floor * window).max(self.credit);
        self.credit = (self.credit + self.options.floor * passed).min(limit);
    }
}

/// Exponential backoff with jitter: half of each pause is random.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    /// The longest pause before the first retry.
    pub first: Duration,
    /// The longest pause before any retry.
    pub limit: Duration,
}

impl Default for Backoff {
    fn default() -> Self {
        Self {
            first: Duration::from_millis(10),
            limit: Duration::from_secs(2),
        }
    }
}

impl Backoff {
    /// Returns the pause before retry number `retry`, counted from 0.
    pub fn pause(&self, retry: u32, rng: &mut impl Rng) -> Duration {
        let full = self.first * (1 << retry.min(16));
        full.min(self.limit).mul_f64(rng.random_range(0.5..=1.0))
    }
}
