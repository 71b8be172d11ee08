//! Instants of trace spans, on the system's monotonic clock.
//!
//! The crate that this one replaces reads the processor's cycle counter. It calibrates the counter
//! in a loop before `main`, until two measurements agree to 1 in 100,000. On a VM with a part of a
//! core they rarely do, and a start then takes seconds of processor time. Spans are timed in
//! microseconds here, for which the monotonic clock is enough.
//!
//! ```
//! let anchor = fastant::Anchor::new();
//! let first = fastant::Instant::now();
//! let second = fastant::Instant::now();
//! assert!(first.as_unix_nanos(&anchor) <= second.as_unix_nanos(&anchor));
//! ```

use std::sync::LazyLock;
use std::time::{Duration, Instant as Monotonic, SystemTime, UNIX_EPOCH};

/// The origin of all instants of this process.
static ORIGIN: LazyLock<Monotonic> = LazyLock::new(Monotonic::now);

/// Nanoseconds since the first use in this process, plus one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Instant(u64);

impl Instant {
    /// Stands for an instant that is not known yet.
    pub const ZERO: Self = Self(0);

    /// Returns the current instant.
    #[must_use]
    pub fn now() -> Self {
        Self(nanos(ORIGIN.elapsed()).saturating_add(1))
    }

    /// Returns the time since this instant.
    #[must_use]
    pub fn elapsed(&self) -> Duration {
        Duration::from_nanos(Self::now().0.saturating_sub(self.0))
    }

    /// Returns the nanoseconds since the Unix epoch, by the clocks that `anchor` compared.
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

/// The time of day at one instant.
#[derive(Clone, Copy, Debug)]
pub struct Anchor {
    unix_nanos: u64,
    instant: Instant,
}

impl Anchor {
    /// Compares the two clocks now.
    #[must_use]
    pub fn new() -> Self {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            unix_nanos: since.map_or(0, nanos),
            instant: Instant::now(),
        }
    }
}

impl Default for Anchor {
    fn default() -> Self {
        Self::new()
    }
}

fn nanos(time: Duration) -> u64 {
    u64::try_from(time.as_nanos()).unwrap_or(u64::MAX)
}
