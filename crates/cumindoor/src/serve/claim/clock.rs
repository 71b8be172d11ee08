//! The clock of claims.

use std::time::Duration;

use coord::time::Time;
use rustix::time::{ClockId, clock_gettime};

/// A clock that goes on while the machine is suspended, which [`std::time::Instant`] does not: a
/// VM that resumes late must not take its grants for fresh.
#[derive(Clone, Copy, Debug)]
pub(super) struct BootClock {
    up: Duration,
    origin: Duration,
}

impl BootClock {
    /// Returns a clock that shows `up` now.
    pub(super) fn with_uptime(up: Duration) -> Self {
        Self { up, origin: read() }
    }

    pub(super) fn now(self) -> Time {
        Time::ZERO + self.up + read().saturating_sub(self.origin)
    }
}

fn read() -> Duration {
    let now = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(now.tv_sec).unwrap_or(0);
    Duration::from_secs(seconds) + Duration::from_nanos(u64::try_from(now.tv_nsec).unwrap_or(0))
}
