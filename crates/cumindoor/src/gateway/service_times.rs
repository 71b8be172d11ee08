//! How fast a model service serves, as seen by this gateway.

use std::time::Duration;

/// How long requests hold memory while nothing is known about it.
const DEFAULT_RESIDENCE: Duration = Duration::from_secs(2);
/// The time from a place at an engine to the first event while nothing is known about it: a prompt
/// of some thousand tokens is read in about 100 ms, and the result is moved.
const DEFAULT_LEAD_TIME: Duration = Duration::from_millis(250);
/// The share of the newest request in an average, as RFC 6298 has it for round trips.
const SAMPLE_WEIGHT: f64 = 0.125;
/// Mean deviations that are added to the mean lead, so that most requests keep within it.
const LEAD_TIME_DEVIATIONS: f64 = 2.0;

/// Moving averages of the times of a service's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceTimes {
    residence: Duration,
    lead_time: Duration,
    deviation: Duration,
}

impl Default for ServiceTimes {
    fn default() -> Self {
        Self {
            residence: DEFAULT_RESIDENCE,
            lead_time: DEFAULT_LEAD_TIME,
            deviation: Duration::ZERO,
        }
    }
}

impl ServiceTimes {
    /// Notes how long a request held its memory.
    pub fn record_residence(&mut self, held: Duration) {
        self.residence = average(self.residence, held);
    }

    /// Notes how long a request with a place took to its first event.
    pub fn record_lead_time(&mut self, took: Duration) {
        let deviation = took.abs_diff(self.lead_time);
        self.deviation = average(self.deviation, deviation);
        self.lead_time = average(self.lead_time, took);
    }

    /// Returns how long a request holds its memory.
    #[must_use]
    pub fn residence(&self) -> Duration {
        self.residence
    }

    /// Returns how long before its target a request needs a place to be on time.
    #[must_use]
    pub fn lead_time(&self) -> Duration {
        self.lead_time + self.deviation.mul_f64(LEAD_TIME_DEVIATIONS)
    }
}

fn average(before: Duration, newest: Duration) -> Duration {
    before.mul_f64(1.0 - SAMPLE_WEIGHT) + newest.mul_f64(SAMPLE_WEIGHT)
}
