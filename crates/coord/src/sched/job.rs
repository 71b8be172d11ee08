//! The state of one job.

use std::time::Duration;

use super::types::{Attempt, Job};
use crate::time::Time;

/// The phase of a job. Engines are given by their index in the engine table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// The job waits in the queue of its class or among the waiting suspects.
    Waiting,
    /// The job is not queued until the retry budget has credit for it.
    AwaitingBudget,
    /// The job is not queued until the backoff of its retry ends.
    Backoff { until: Time },
    /// The prefill is running, with a decode slot and link capacity reserved.
    Prefill { prefill: usize, decode: usize },
    /// The prefill has finished, and its result waits for a free decode slot.
    Ready {
        source: usize,
        decode: usize,
        since: Time,
    },
    /// The result is being imported, or output is being generated.
    Decode {
        source: usize,
        decode: usize,
        streaming: bool,
    },
}

impl Phase {
    /// Returns the engine from which the result still has to be transferred.
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

/// A job with its progress.
#[derive(Debug)]
pub(super) struct Entry {
    pub(super) job: Job,
    pub(super) phase: Phase,
    pub(super) attempt: Attempt,
    /// Number of retries.
    pub(super) retries: u32,
    /// Deadline by which the queue orders the job. It is zero for a resumed job, which is thus
    /// ahead of new ones.
    pub(super) queue_deadline: Time,
    /// When the current phase began.
    pub(super) since: Time,
    /// Estimated number of prompt tokens that the prefill has to compute, set at its start.
    pub(super) uncached_tokens: u32,
    /// Estimated time from the start of the job on idle engines to its first token, set at
    /// submission.
    pub(super) min_ttft: Duration,
}

impl Entry {
    /// Creates the state of a job that waits in the queue.
    pub(super) fn new(now: Time, job: Job) -> Self {
        Self {
            queue_deadline: job.deadline,
            job,
            phase: Phase::Waiting,
            attempt: Attempt(0),
            retries: 0,
            since: now,
            uncached_tokens: 0,
            min_ttft: Duration::ZERO,
        }
    }

    /// Returns true if the caller has received output, so that the deadline of the first token no
    /// longer applies.
    pub(super) fn resumed(&self) -> bool {
        self.job.offset > 0
    }

    /// Returns the engines on which the job holds memory.
    pub(super) fn held_engines(&self) -> Vec<usize> {
        match self.phase {
            Phase::Waiting | Phase::AwaitingBudget | Phase::Backoff { .. } => Vec::new(),
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
