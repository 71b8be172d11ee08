//! Cells: the schedulers that assign requests to engines.
//!
//! A cell schedules the requests of one group of engines. Its scheduler runs in this process
//! ([`LocalCell`]) or on another VM ([`shared::SharedCells`]); the request path uses only the
//! [`Cell`] trait.

mod local;
mod set;
pub mod shared;

use std::sync::Arc;
use std::time::{Duration, Instant};

use coord::name::{Service, Upstream};
use coord::sched::{Attempt, Failure, Job, JobId, PrefillUsage, Reason};
use coord::time::Time;
use tokio::sync::{Notify, mpsc};

pub use local::{EngineUpdate, LocalCell, Orphan};
pub use set::CellSet;

/// The `retry_after` of the refusal of a request to a service without engines.
const NO_UPSTREAM_RETRY_AFTER: Duration = Duration::from_secs(1);

/// An instruction from a cell to the task of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// Start the prefill.
    Prefill {
        /// The attempt to name in progress reports.
        attempt: Attempt,
        /// The engine that computes the KV cache of the prompt.
        prefill: Upstream,
        /// The decode engine on which a slot is reserved.
        decode: Upstream,
    },
    /// Import the prefill's result and stream the output.
    Decode {
        /// The attempt to name in progress reports.
        attempt: Attempt,
        /// The engine that generates the output.
        decode: Upstream,
        /// The engine that holds the prefill's result.
        source: Upstream,
    },
    /// Answer the caller with a refusal; no further order follows.
    Refuse {
        /// The reason for the refusal.
        reason: Reason,
        /// The time after which a new request may succeed, if it is known.
        retry_after: Option<Duration>,
    },
    /// Cancel the request's calls on an engine, which frees the slots and KV cache they hold.
    Cancel {
        /// The engine that holds the calls.
        upstream: Upstream,
    },
}

/// A progress report from the task of a request to its cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// The prefill is complete and a decode engine can import its KV cache.
    PrefillDone(PrefillUsage),
    /// The prefill failed.
    PrefillFailed(Failure),
    /// The decode engine imported the KV cache and streams the output.
    DecodeStarted,
    /// The decode failed after `delivered` tokens of its stream.
    DecodeFailed {
        /// The kind of failure.
        failure: Failure,
        /// Output tokens that were delivered to the caller since the decode was ordered.
        delivered: u32,
    },
    /// The caller received the complete answer.
    Finished,
    /// The caller disconnected or was refused; no further report follows.
    Cancelled,
}

/// The scheduler of one or more services, in this process or on another VM.
pub trait Cell: Send + Sync {
    /// Submits a request and returns the channel on which its orders arrive.
    ///
    /// If the scheduler fails, the channel closes without an [`Order::Refuse`]. The request may
    /// then be submitted again.
    fn submit(&self, job: Job) -> mpsc::UnboundedReceiver<Order>;

    /// Reports the progress of one attempt. Reports on unknown requests are ignored.
    fn report(&self, id: JobId, attempt: Attempt, progress: Progress);
}

/// Receives the load reports and cache events of engines.
pub trait EngineUpdates: Send + Sync {
    /// Passes an update from an engine of `group` to the scheduler of that engine.
    fn engine_update(&self, group: &Service, update: EngineUpdate);

    /// Returns true if a scheduler of this process uses the updates of the group's engines.
    fn needs_updates(&self, group: &Service) -> bool;

    /// Returns the signal that asks for a round of polls before the next regular one.
    fn poll_signal(&self) -> Arc<Notify>;
}

/// The monotonic clock of this process, as the [`Time`] that the schedulers use.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Returns a clock whose origin is now.
    #[must_use]
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// Returns the current instant.
    #[must_use]
    pub fn now(&self) -> Time {
        Time::ZERO + self.origin.elapsed()
    }
}
