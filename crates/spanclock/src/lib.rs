//! The clock of trace spans, based on the system's monotonic clock.
//!
//! This crate replaces `fastant`, which reads the processor's cycle counter, and has the same public
//! names. `fastant` calibrates the counter in a loop before `main`, until two measurements agree to
//! 1 in 100,000. On a VM with a fraction of a core they rarely agree, and the start of the process
//! takes seconds of CPU time. Spans are recorded in microseconds, for which the monotonic clock is
//! precise enough.
//!
//! ```
//! let anchor = fastant::Anchor::new();
//! let first = fastant::Instant::now();
//! let second = fastant::Instant::now();
//! assert!(first.as_unix_nanos(&anchor) <= second.as_unix_nanos(&anchor));
//! ```

use std::sync::LazyLock;
use std::time::{Duration, Instant as Monotonic, SystemTime, UNIX_EPOCH};

/// The time from which the instants of this process are counted.
static ORIGIN: LazyLock<Monotonic> = LazyLock::new(Monotonic::now);

/// A point in time, as the nanoseconds since the first use in this process plus one.
///
/// The added one keeps every measured instant apart from [`Instant::ZERO`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Instant(u64);

impl Instant {
    /// The placeholder for an instant that is not known yet.
    pub const ZERO: Self = Self(0);

    /// Returns the current instant of the monotonic clock.
    #[must_use]
    pub fn now() -> Self {
        Self(saturating_nanos(ORIGIN.elapsed()).saturating_add(1))
    }

    /// Returns the time since this instant, or zero if it is in the future.
    #[must_use]
    pub fn elapsed(&self) -> Duration {
        Duration::from_nanos(Self::now().0.saturating_sub(self.0))
    }

    /// Converts the instant to nanoseconds since the Unix epoch.
    ///
    /// The offset between the monotonic clock and the time of day is that of `anchor`.
    #[must_use]
    pub fn as_unix_nanos(&self, anchor: &Anchor) -> u64 {
        let later = self.0.saturating_sub(anchor.instant.0);
        let earlier = anchor.instant.0.saturating_sub(self.0);
        anchor
            .unix_nanos
            .saturating_add(later)
            .saturating_sub(earlier)
    }
}

/// A pair of an instant and the time of day at that instant, by which other instants are converted.
#[derive(Clone, Copy, Debug)]
pub struct Anchor {
    unix_nanos: u64,
    instant: Instant,
}

impl Anchor {
    /// Reads both clocks.
    #[must_use]
    pub fn new() -> Self {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            unix_nanos: since.map_or(0, saturating_nanos),
            instant: Instant::now(),
        }
    }
}

impl Default for Anchor {
    fn default() -> Self {
        Self::new()
    }
}

fn saturating_nanos(time: Duration) -> u64 {
    u64::try_from(time.as_nanos()).unwrap_or(u64::MAX)
}
