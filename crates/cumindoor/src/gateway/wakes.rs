//! When news of other gateways wakes the requests that wait.

use std::time::Duration;

use tokio::time::Instant;

/// The shortest time between two wake-ups of waiting requests by digests: in a large fleet digests
/// come by thousands a second, and each wake-up makes all waiting requests look for room.
pub const WAKE_SPACING: Duration = Duration::from_millis(5);

/// When waiting requests are woken by digests.
#[derive(Clone, Copy, Debug, Default)]
pub struct Wakes {
    asked: bool,
    last: Option<Instant>,
}

impl Wakes {
    /// Asks for a wake-up; those asked for in a short time are one.
    pub fn ask(&mut self) {
        self.asked = true;
    }

    /// Returns when the wake-up that was asked for is due.
    #[must_use]
    pub fn due(&self) -> Option<Instant> {
        let next = self
            .last
            .map_or_else(Instant::now, |last| last + WAKE_SPACING);
        self.asked.then_some(next)
    }

    /// Notes that waiting requests were woken.
    pub fn done(&mut self, now: Instant) {
        self.asked = false;
        self.last = Some(now);
    }
}
