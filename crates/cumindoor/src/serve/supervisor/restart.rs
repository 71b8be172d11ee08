//! When a failed child is started again, and when it is not.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use crate::serve::spec::jittered;

/// The limits on restarts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Restarts {
    /// Pause before the first restart; it doubles with each failure in the window.
    pub first_pause: Duration,
    /// The longest pause.
    pub longest_pause: Duration,
    /// Failures within the window after which the group fails.
    pub limit: usize,
    /// The time over which failures are counted.
    pub window: Duration,
}

impl Default for Restarts {
    fn default() -> Self {
        Self {
            first_pause: Duration::from_millis(10),
            longest_pause: Duration::from_secs(5),
            limit: 10,
            window: Duration::from_mins(1),
        }
    }
}

/// The recent failures of one child.
#[derive(Debug, Default)]
pub struct Window {
    failures: VecDeque<Instant>,
}

impl Window {
    /// Notes a failure; returns the pause before the restart, or `None` if there is none.
    pub fn failed(&mut self, restarts: &Restarts) -> Option<Duration> {
        let now = Instant::now();
        self.failures
            .retain(|at| now.duration_since(*at) < restarts.window);
        self.failures.push_back(now);
        let count = self.failures.len();
        if count > restarts.limit {
            return None;
        }
        let doublings = u32::try_from(count - 1).unwrap_or(u32::MAX).min(16);
        let pause = restarts.first_pause * (1 << doublings);
        Some(jittered(pause.min(restarts.longest_pause)))
    }
}
