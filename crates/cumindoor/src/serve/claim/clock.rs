//! The clock that measures the age of claims.

use std::time::Duration;

use coord::time::Time;
use rustix::time::{ClockId, clock_gettime};

/// A monotonic clock that includes the time for which the machine was suspended, which
/// [`std::time::Instant`] leaves out. Without that time, a VM that resumes after a suspension would
/// treat expired grants as fresh.
#[derive(Clone, Copy, Debug)]
pub(super) struct BootClock {
    /// The reading of this clock at `origin`.
    uptime: Duration,
    /// The reading of the machine's boot-time clock when this value was created.
    origin: Duration,
}

impl BootClock {
    /// Returns a clock whose reading is now `uptime`.
    pub(super) fn with_uptime(uptime: Duration) -> Self {
        Self {
            uptime,
            origin: read_boot_clock(),
        }
    }

    pub(super) fn now(self) -> Time {
        Time::ZERO + self.uptime + read_boot_clock().saturating_sub(self.origin)
    }
}

fn read_boot_clock() -> Duration {
    let now = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(now.tv_sec).unwrap_or(0);
    Duration::from_secs(seconds) + Duration::from_nanos(u64::try_from(now.tv_nsec).unwrap_or(0))
}
