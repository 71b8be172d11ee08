//! Health of an upstream, derived from the results of recent requests.
//!
//! There are no active health checks: a check occupies a slot of the upstream, and its result can
//! be wrong in either direction.

use std::time::Duration;

use coord::time::Time;

/// Weight of the newest result in the moving average of failures.
const SAMPLE_WEIGHT: f64 = 0.15;
/// Weight of a lost request in that average. It is higher because healthy upstreams lose no
/// requests.
const LOST_SAMPLE_WEIGHT: f64 = 0.4;
/// Time constant with which the failure rate decays. An upstream that is avoided because of its
/// failures gets no requests that could show its recovery, so its rate has to fall by itself.
const FAILURE_DECAY_TIME: Duration = Duration::from_secs(4);
/// Time after a successful answer during which failure reports of other gateways are ignored.
const ANSWER_TRUST_TIME: Duration = Duration::from_secs(1);
/// Consecutive lost requests after which an upstream is ejected. An unreachable upstream counts as
/// this many losses, so it is ejected at once.
const LOSSES_TO_EJECT: u32 = 2;
/// Duration of the first ejection; it doubles with each further loss.
const BASE_EJECTION_TIME: Duration = Duration::from_millis(500);
/// Upper bound on the duration of an ejection.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(4);

/// Time for which an upstream is skipped after it first refused for lack of capacity; it doubles
/// with each further refusal.
const BASE_FULL_BACKOFF: Duration = Duration::from_millis(100);
/// Upper bound on the time for which an upstream without capacity is skipped.
const MAX_FULL_BACKOFF: Duration = Duration::from_millis(1_600);

/// The result of a request at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The upstream answered.
    Answered,
    /// The upstream answered with a server error.
    Failed,
    /// The upstream refused for lack of capacity, which says nothing about its health.
    AtCapacity,
    /// The upstream could not be reached, timed out, broke off its answer or sent an invalid one.
    Lost,
    /// Nothing listens at the upstream's address, or a different upstream does.
    Unreachable,
}

/// Health of one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    /// Moving average of failures, from 0 to 1, at the time of the last update.
    average: f64,
    /// When the average was last updated.
    updated_at: Time,
    loss_streak: u32,
    ejected_until: Time,
    refused_at: Time,
    /// Consecutive refusals for lack of capacity.
    refusal_streak: u32,
    /// When the most recent request was answered; `None` if it failed or there was none yet.
    answered_at: Option<Time>,
}

impl Health {
    /// Records the result of one request.
    pub fn record(&mut self, now: Time, outcome: Outcome) {
        let failure = match outcome {
            Outcome::Answered => 0.0,
            Outcome::Failed | Outcome::Lost | Outcome::Unreachable => 1.0,
            Outcome::AtCapacity => {
                self.refused_at = now;
                self.refusal_streak += 1;
                return;
            }
        };
        self.refusal_streak = 0;
        self.answered_at = (outcome == Outcome::Answered).then_some(now);
        let weight = match outcome {
            Outcome::Unreachable => 1.0,
            Outcome::Lost => LOST_SAMPLE_WEIGHT,
            Outcome::Answered | Outcome::Failed | Outcome::AtCapacity => SAMPLE_WEIGHT,
        };
        let rate = self.failure_rate(now);
        self.average = rate + (failure - rate) * weight;
        self.updated_at = now;
        match outcome {
            Outcome::Lost => self.loss_streak += 1,
            Outcome::Unreachable => self.loss_streak += LOSSES_TO_EJECT,
            Outcome::Answered | Outcome::Failed | Outcome::AtCapacity => {
                self.loss_streak = 0;
                self.ejected_until = Time::ZERO;
                return;
            }
        }
        if self.loss_streak >= LOSSES_TO_EJECT {
            let factor = 1 << (self.loss_streak - LOSSES_TO_EJECT).min(8);
            self.ejected_until = now + (BASE_EJECTION_TIME * factor).min(MAX_EJECTION_TIME);
        }
    }

    /// Returns whether the upstream is ejected.
    #[must_use]
    pub fn is_ejected(&self, now: Time) -> bool {
        now < self.ejected_until
    }

    /// Returns whether the most recent request was answered a short time ago. Such an upstream is
    /// healthy for this gateway, whatever other gateways report.
    #[must_use]
    pub fn recently_answered(&self, now: Time) -> bool {
        self.answered_at
            .is_some_and(|at| now.since(at) < ANSWER_TRUST_TIME)
    }

    /// Returns whether the upstream refused or lost its most recent request.
    #[must_use]
    pub fn is_doubtful(&self) -> bool {
        self.refusal_streak > 0 || self.loss_streak > 0
    }

    /// Returns when the ejection ends.
    #[must_use]
    pub fn ejected_until(&self) -> Time {
        self.ejected_until
    }

    /// Returns whether the upstream refused for lack of capacity a short time ago.
    ///
    /// An engine that is switching its stage refuses requests like a full one, so the time for
    /// which it is skipped grows with each consecutive refusal.
    #[must_use]
    pub fn is_full(&self, now: Time) -> bool {
        let factor = 1 << self.refusal_streak.saturating_sub(1).min(8);
        let backoff = (BASE_FULL_BACKOFF * factor).min(MAX_FULL_BACKOFF);
        self.refusal_streak > 0 && now.since(self.refused_at) < backoff
    }

    /// Returns the failure rate, from 0 to 1, decayed to `now`.
    #[must_use]
    pub fn failure_rate(&self, now: Time) -> f64 {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.average * (-elapsed / FAILURE_DECAY_TIME.as_secs_f64()).exp()
    }
}
