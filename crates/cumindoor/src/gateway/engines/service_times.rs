//! Service times of model services as observed by this gateway.

use std::time::Duration;

/// Time for which a request is assumed to hold its KV cache before any was observed.
const DEFAULT_RESIDENCE: Duration = Duration::from_secs(2);
/// Time from placement to the first event that is assumed before any was observed. The prefill of a
/// few thousand tokens takes about 100 ms, and the result is then transferred.
const DEFAULT_LEAD_TIME: Duration = Duration::from_millis(250);
/// Weight of the newest request in an average, the same as for round-trip times in RFC 6298.
const SAMPLE_WEIGHT: f64 = 0.125;
/// Number of mean deviations added to the mean lead time, so that most requests stay within it.
const LEAD_TIME_DEVIATIONS: f64 = 2.0;

/// Moving averages of the service times of one service.
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
    /// Records how long a request held its KV cache.
    pub fn record_residence(&mut self, held: Duration) {
        self.residence = average(self.residence, held);
    }

    /// Records the time from a request's placement to its first event.
    pub fn record_lead_time(&mut self, took: Duration) {
        let deviation = took.abs_diff(self.lead_time);
        self.deviation = average(self.deviation, deviation);
        self.lead_time = average(self.lead_time, took);
    }

    /// Returns the average time for which a request holds its KV cache.
    #[must_use]
    pub fn residence(&self) -> Duration {
        self.residence
    }

    /// Returns how long before its target a request has to be placed to meet it.
    #[must_use]
    pub fn lead_time(&self) -> Duration {
        self.lead_time + self.deviation.mul_f64(LEAD_TIME_DEVIATIONS)
    }
}

fn average(before: Duration, newest: Duration) -> Duration {
    before.mul_f64(1.0 - SAMPLE_WEIGHT) + newest.mul_f64(SAMPLE_WEIGHT)
}
