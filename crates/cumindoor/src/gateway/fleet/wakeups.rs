//! Rate limit on wake-ups of waiting requests by digests.

use std::time::Duration;

use tokio::time::Instant;

/// Shortest time between two wake-ups by digests. A large fleet sends thousands of digests a
/// second, and each wake-up makes every waiting request look for capacity.
pub const MIN_WAKE_INTERVAL: Duration = Duration::from_millis(5);

/// Combines wake-ups that are requested in quick succession.
#[derive(Clone, Copy, Debug, Default)]
pub struct WakeupThrottle {
    requested: bool,
    last_wake: Option<Instant>,
}

impl WakeupThrottle {
    /// Requests a wake-up. Requests within the minimum interval are combined into one.
    pub fn request(&mut self) {
        self.requested = true;
    }

    /// Returns when the requested wake-up is due, or `None` if none was requested.
    #[must_use]
    pub fn due(&self) -> Option<Instant> {
        let next = self
            .last_wake
            .map_or_else(Instant::now, |last_wake| last_wake + MIN_WAKE_INTERVAL);
        self.requested.then_some(next)
    }

    /// Records that the waiting requests were woken.
    pub fn record(&mut self, now: Instant) {
        self.requested = false;
        self.last_wake = Some(now);
    }
}
