//! Whether an upstream is worth another request, judged by what became of the last ones.
//!
//! Health answers are not asked for: they cost a slot, and they may be wrong in either direction.

use std::time::Duration;

use coord::time::Time;

/// The share of the newest outcome in the failure rate.
const SAMPLE_WEIGHT: f64 = 0.15;
/// The same for a request that was lost: a sound upstream loses none.
const LOST_SAMPLE_WEIGHT: f64 = 0.4;
/// The time over which a failure is forgotten: an upstream that is avoided for its failures gets no
/// request that could show that it has recovered.
const FAILURE_DECAY_TIME: Duration = Duration::from_secs(4);
/// How long an answer outweighs what other gateways report.
const ANSWER_TRUST_TIME: Duration = Duration::from_secs(1);
/// The failures in a row after which an upstream is left out.
const LOSSES_TO_EJECT: u32 = 2;
/// How long an upstream is left out at first; doubled with each further failure.
const BASE_EJECTION_TIME: Duration = Duration::from_millis(500);
/// The longest time for which an upstream is left out without another try.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(4);

/// How long an upstream that had no room is left out at first; doubled with each further refusal.
const BASE_FULL_BACKOFF: Duration = Duration::from_millis(100);
/// The longest time for which an upstream that had no room is left out.
const MAX_FULL_BACKOFF: Duration = Duration::from_millis(1_600);

/// How a request ended at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was answered.
    Answered,
    /// It was answered with a failure of the upstream itself.
    Failed,
    /// The upstream had no room; that says nothing about its health.
    Full,
    /// The upstream could not be reached, fell silent, broke off or sent nonsense.
    Lost,
    /// Nothing listens at the upstream's address, or another upstream does.
    Unreachable,
}

/// What the last requests say about one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    /// Moving average of failures, 0 to 1.
    average: f64,
    /// When the rate was last updated.
    updated_at: Time,
    loss_streak: u32,
    ejected_until: Time,
    full_at: Time,
    /// Refusals for lack of room in a row.
    full_streak: u32,
    /// When the last request was answered; `None` if it failed.
    answered_at: Option<Time>,
}

impl Health {
    /// Takes the outcome of one request.
    pub fn record(&mut self, now: Time, outcome: Outcome) {
        let failure = match outcome {
            Outcome::Answered => 0.0,
            Outcome::Failed | Outcome::Lost | Outcome::Unreachable => 1.0,
            Outcome::Full => {
                self.full_at = now;
                self.full_streak += 1;
                return;
            }
        };
        self.full_streak = 0;
        self.answered_at = (outcome == Outcome::Answered).then_some(now);
        let weight = match outcome {
            Outcome::Unreachable => 1.0,
            Outcome::Lost => LOST_SAMPLE_WEIGHT,
            Outcome::Answered | Outcome::Failed | Outcome::Full => SAMPLE_WEIGHT,
        };
        let rate = self.failure_rate(now);
        self.average = rate + (failure - rate) * weight;
        self.updated_at = now;
        match outcome {
            Outcome::Lost => self.loss_streak += 1,
            Outcome::Unreachable => self.loss_streak += LOSSES_TO_EJECT,
            Outcome::Answered | Outcome::Failed | Outcome::Full => {
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

    /// Returns whether the upstream is left out at present.
    #[must_use]
    pub fn is_ejected(&self, now: Time) -> bool {
        now < self.ejected_until
    }

    /// Returns whether the last request was answered, a short time ago: then the upstream is sound
    /// for this gateway, whatever others say.
    #[must_use]
    pub fn recently_answered(&self, now: Time) -> bool {
        self.answered_at
            .is_some_and(|at| now.since(at) < ANSWER_TRUST_TIME)
    }

    /// Returns when the upstream may be tried again.
    #[must_use]
    pub fn ejected_until(&self) -> Time {
        self.ejected_until
    }

    /// Returns whether the upstream refused for lack of room a short time ago.
    ///
    /// An engine that changes its stage refuses like a full one, so the time grows with each refusal
    /// in a row.
    #[must_use]
    pub fn is_full(&self, now: Time) -> bool {
        let factor = 1 << self.full_streak.saturating_sub(1).min(8);
        let backoff = (BASE_FULL_BACKOFF * factor).min(MAX_FULL_BACKOFF);
        self.full_streak > 0 && now.since(self.full_at) < backoff
    }

    /// Returns the share of recent requests that failed, 0 to 1.
    #[must_use]
    pub fn failure_rate(&self, now: Time) -> f64 {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.average * (-elapsed / FAILURE_DECAY_TIME.as_secs_f64()).exp()
    }
}
