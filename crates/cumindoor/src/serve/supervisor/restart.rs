//! Backoff between restarts and the limit on their number.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use crate::serve::spec::jittered;

/// The limits on restarts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RestartPolicy {
    /// The delay before the first restart. It doubles with each further failure in the window.
    pub initial_delay: Duration,
    /// The maximum delay, before jitter.
    pub max_delay: Duration,
    /// The number of failures within the window that are tolerated. The next one fails the group.
    pub max_failures: usize,
    /// The period over which failures are counted.
    pub window: Duration,
}

impl Default for RestartPolicy {
    fn default() -> Self {
        Self {
            initial_delay: Duration::from_millis(10),
            max_delay: Duration::from_secs(5),
            max_failures: 10,
            window: Duration::from_mins(1),
        }
    }
}

/// The recent failures of one child.
#[derive(Debug, Default)]
pub struct FailureWindow {
    failures: VecDeque<Instant>,
}

impl FailureWindow {
    /// Records a failure. Returns the delay before the restart, or `None` if the limit is exceeded.
    pub fn record_failure(&mut self, policy: &RestartPolicy) -> Option<Duration> {
        let now = Instant::now();
        self.failures
            .retain(|at| now.duration_since(*at) < policy.window);
        self.failures.push_back(now);
        let count = self.failures.len();
        if count > policy.max_failures {
            return None;
        }
        let doublings = u32::try_from(count - 1).unwrap_or(u32::MAX).min(16);
        let delay = policy.initial_delay * (1 << doublings);
        Some(jittered(delay.min(policy.max_delay)))
    }
}
