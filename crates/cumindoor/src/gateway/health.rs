//! Whether an upstream is worth another request, judged by what became of the last ones.
//!
//! Health answers are not asked for: they cost a slot, and they may be wrong in either direction.

use std::time::Duration;

use coord::time::Time;

/// The share of the newest outcome in the failure rate.
const NEWEST: f64 = 0.15;
/// The failures in a row after which an upstream is left out.
const STREAK: u32 = 2;
/// How long an upstream is left out at first; doubled with each further failure.
const FIRST_PAUSE: Duration = Duration::from_millis(500);
/// The longest time for which an upstream is left out without another try.
const LONGEST_PAUSE: Duration = Duration::from_secs(4);

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
}

/// What the last requests say about one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    /// Moving average of failures, 0 to 1.
    rate: f64,
    streak: u32,
    until: Time,
    full: Time,
}

impl Health {
    /// Takes the outcome of one request.
    pub fn note(&mut self, now: Time, outcome: Outcome) {
        let failure = match outcome {
            Outcome::Answered => 0.0,
            Outcome::Failed | Outcome::Lost => 1.0,
            Outcome::Full => {
                self.full = now;
                return;
            }
        };
        self.rate += (failure - self.rate) * NEWEST;
        if outcome != Outcome::Lost {
            self.streak = 0;
            self.until = Time::ZERO;
            return;
        }
        self.streak += 1;
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

    /// Returns when the upstream may be tried again.
    #[must_use]
    pub fn until(&self) -> Time {
        self.until
    }

    /// Returns whether the upstream refused for lack of room within `recent`.
    #[must_use]
    pub fn was_full(&self, now: Time, recent: Duration) -> bool {
        self.full > Time::ZERO && now.since(self.full) < recent
    }

    /// Returns the share of recent requests that failed, 0 to 1.
    #[must_use]
    pub fn failure_rate(&self) -> f64 {
        self.rate
    }
}
