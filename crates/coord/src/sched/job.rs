//! The state of one job in the scheduler.

use std::time::Duration;

use super::types::{Attempt, Job};
use crate::time::Time;

/// Where a job is; engines are named by their index in the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// In the queue of its class.
    Waiting,
    /// Out of the queue until the retry budget has credit.
    Unpaid,
    /// Out of the queue until the backoff of a retry ends.
    Backoff { until: Time },
    /// The prefill runs, with a decode slot and link room reserved.
    Prefill { prefill: usize, decode: usize },
    /// The prefill's result waits for a decode slot.
    Ready {
        source: usize,
        decode: usize,
        since: Time,
    },
    /// The result is imported, or output is generated.
    Decode {
        source: usize,
        decode: usize,
        streaming: bool,
    },
}

impl Phase {
    /// Returns the engine from which the result still has to be moved.
    pub(super) fn link_source(self) -> Option<usize> {
        match self {
            Self::Prefill {
                prefill: source, ..
            }
            | Self::Ready { source, .. }
            | Self::Decode {
                source,
                streaming: false,
                ..
            } => Some(source),
            _ => None,
        }
    }
}

/// A job and its progress.
#[derive(Debug)]
pub(super) struct Entry {
    pub(super) job: Job,
    pub(super) phase: Phase,
    pub(super) attempt: Attempt,
    /// Starts after the first one.
    pub(super) retries: u32,
    /// The position in the queue; a resumed job is ahead of new ones.
    pub(super) order: Time,
    /// When the present phase began.
    pub(super) since: Time,
    /// Prompt tokens that the prefill has to compute, as estimated at its start.
    pub(super) work: u32,
    /// Time from its start on idle engines to the first token, as estimated at submission.
    pub(super) least: Duration,
}

impl Entry {
    /// Creates the state of a new job.
    pub(super) fn new(now: Time, job: Job) -> Self {
        Self {
            order: job.deadline,
            job,
            phase: Phase::Waiting,
            attempt: Attempt(0),
            retries: 0,
            since: now,
            work: 0,
            least: Duration::ZERO,
        }
    }

    /// Returns true if the caller has received output, so the first token has no deadline.
    pub(super) fn resumed(&self) -> bool {
        self.job.offset > 0
    }

    /// Returns the engines on which the job holds something.
    pub(super) fn holds(&self) -> Vec<usize> {
        match self.phase {
            Phase::Waiting | Phase::Unpaid | Phase::Backoff { .. } => Vec::new(),
            Phase::Prefill { prefill, .. } => vec![prefill],
            Phase::Ready { source, .. } => vec![source],
            Phase::Decode {
                source,
                decode,
                streaming,
            } => match (streaming, source == decode) {
                (false, false) => vec![source, decode],
                _ => vec![decode],
            },
        }
    }
}
