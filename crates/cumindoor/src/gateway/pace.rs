//! How fast a model service serves, as seen by this gateway.

use std::time::Duration;

/// How long requests hold memory while nothing is known about it.
const RESIDENCE: Duration = Duration::from_secs(2);
/// The time from a place at an engine to the first event while nothing is known about it: a prompt
/// of some thousand tokens is read in about 100 ms, and the result is moved.
const LEAD: Duration = Duration::from_millis(250);
/// The share of the newest request in an average, as RFC 6298 has it for round trips.
const NEWEST: f64 = 0.125;
/// Mean deviations that are added to the mean lead, so that most requests keep within it.
const DEVIATIONS: f64 = 2.0;

/// Moving averages of the times of a service's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pace {
    residence: Duration,
    lead: Duration,
    deviation: Duration,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            residence: RESIDENCE,
            lead: LEAD,
            deviation: Duration::ZERO,
        }
    }
}

impl Pace {
    /// Notes how long a request held its memory.
    pub fn note_residence(&mut self, held: Duration) {
        self.residence = average(self.residence, held);
    }

    /// Notes how long a request with a place took to its first event.
    pub fn note_lead(&mut self, took: Duration) {
        let deviation = took.abs_diff(self.lead);
        self.deviation = average(self.deviation, deviation);
        self.lead = average(self.lead, took);
    }

    /// Returns how long a request holds its memory.
    #[must_use]
    pub fn residence(&self) -> Duration {
        self.residence
    }

    /// Returns how long before its target a request needs a place to be on time.
    #[must_use]
    pub fn lead(&self) -> Duration {
        self.lead + self.deviation.mul_f64(DEVIATIONS)
    }
}

fn average(before: Duration, newest: Duration) -> Duration {
    before.mul_f64(1.0 - NEWEST) + newest.mul_f64(NEWEST)
}
