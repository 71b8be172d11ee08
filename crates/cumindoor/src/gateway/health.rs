//! Whether an upstream is worth another request, judged by what became of the last ones.
//!
//! Health answers are not asked for: they cost a slot, and they may be wrong in either direction.

use std::time::Duration;

use coord::time::Time;

/// The share of the newest outcome in the failure rate.
const NEWEST: f64 = 0.15;
/// The same for a request that was lost: a sound upstream loses none.
const NEWEST_LOST: f64 = 0.4;
/// The time over which a failure is forgotten: an upstream that is avoided for its failures gets no
/// request that could show that it has recovered.
const FORGET: Duration = Duration::from_secs(4);
/// How long an answer outweighs what other gateways report.
const TRUST: Duration = Duration::from_secs(1);
/// The failures in a row after which an upstream is left out.
const STREAK: u32 = 2;
/// How long an upstream is left out at first; doubled with each further failure.
const FIRST_PAUSE: Duration = Duration::from_millis(500);
/// The longest time for which an upstream is left out without another try.
const LONGEST_PAUSE: Duration = Duration::from_secs(4);

/// How long an upstream that had no room is left out at first; doubled with each further refusal.
const FULL_PAUSE: Duration = Duration::from_millis(100);
/// The longest time for which an upstream that had no room is left out.
const LONGEST_FULL: Duration = Duration::from_millis(1_600);

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
    Gone,
}

/// What the last requests say about one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    /// Moving average of failures, 0 to 1.
    rate: f64,
    /// When the rate was last updated.
    updated: Time,
    streak: u32,
    until: Time,
    full: Time,
    /// Refusals for lack of room in a row.
    refusals: u32,
    /// When the last request was answered; `None` if it failed.
    answered: Option<Time>,
}

impl Health {
    /// Takes the outcome of one request.
    pub fn note(&mut self, now: Time, outcome: Outcome) {
        let failure = match outcome {
            Outcome::Answered => 0.0,
            Outcome::Failed | Outcome::Lost | Outcome::Gone => 1.0,
            Outcome::Full => {
                self.full = now;
                self.refusals += 1;
                return;
            }
        };
        self.refusals = 0;
        self.answered = (outcome == Outcome::Answered).then_some(now);
        let newest = match outcome {
            Outcome::Gone => 1.0,
            Outcome::Lost => NEWEST_LOST,
            Outcome::Answered | Outcome::Failed | Outcome::Full => NEWEST,
        };
        let rate = self.failure_rate(now);
        self.rate = rate + (failure - rate) * newest;
        self.updated = now;
        match outcome {
            Outcome::Lost => self.streak += 1,
            Outcome::Gone => self.streak += STREAK,
            Outcome::Answered | Outcome::Failed | Outcome::Full => {
                self.streak = 0;
                self.until = Time::ZERO;
                return;
            }
        }
        if self.streak >= STREAK {
            let doubled = 1 << (self.streak - STREAK).min(8);
            self.until = now + (FIRST_PAUSE * doubled).min(LONGEST_PAUSE);
        }
    }

    /// Returns whether the upstream is left out at present.
    #[must_use]
    pub fn ejected(&self, now: Time) -> bool {
        now < self.until
    }

    /// Returns whether the last request was answered, a short time ago: then the upstream is sound
    /// for this gateway, whatever others say.
    #[must_use]
    pub fn answered(&self, now: Time) -> bool {
        self.answered.is_some_and(|at| now.since(at) < TRUST)
    }

    /// Returns when the upstream may be tried again.
    #[must_use]
    pub fn until(&self) -> Time {
        self.until
    }

    /// Returns whether the upstream refused for lack of room a short time ago.
    ///
    /// An engine that changes its stage refuses like a full one, so the time grows with each refusal
    /// in a row.
    #[must_use]
    pub fn is_full(&self, now: Time) -> bool {
        let doubled = 1 << self.refusals.saturating_sub(1).min(8);
        let pause = (FULL_PAUSE * doubled).min(LONGEST_FULL);
        self.refusals > 0 && now.since(self.full) < pause
    }

    /// Returns the share of recent requests that failed, 0 to 1.
    #[must_use]
    pub fn failure_rate(&self, now: Time) -> f64 {
        let passed = now.since(self.updated).as_secs_f64();
        self.rate * (-passed / FORGET.as_secs_f64()).exp()
    }
}
