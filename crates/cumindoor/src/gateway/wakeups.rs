//! When news of other gateways wakes the requests that wait.

use std::time::Duration;

use tokio::time::Instant;

/// The shortest time between two wake-ups of waiting requests by digests: in a large fleet digests
/// come by thousands a second, and each wake-up makes all waiting requests look for room.
pub const MIN_WAKE_INTERVAL: Duration = Duration::from_millis(5);

/// When waiting requests are woken by digests.
#[derive(Clone, Copy, Debug, Default)]
pub struct WakeupThrottle {
    requested: bool,
    last_wake: Option<Instant>,
}

impl WakeupThrottle {
    /// Asks for a wake-up; those asked for in a short time are one.
    pub fn request(&mut self) {
        self.requested = true;
    }

    /// Returns when the wake-up that was asked for is due.
    #[must_use]
    pub fn due(&self) -> Option<Instant> {
        let next = self
            .last_wake
            .map_or_else(Instant::now, |last_wake| last_wake + MIN_WAKE_INTERVAL);
        self.requested.then_some(next)
    }

    /// Notes that waiting requests were woken.
    pub fn record(&mut self, now: Instant) {
        self.requested = false;
        self.last_wake = Some(now);
    }
}
