//! Cells: where a request waits for its engines.
//!
//! A cell is the scheduler of one service's engines. It may be in this process
//! ([`LocalCell`]) or on another VM; the request path sees only this trait.

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

/// After what time a request to a service without engines may be sent again.
const NO_UPSTREAM_RETRY_AFTER: Duration = Duration::from_secs(1);

/// What a cell orders a request to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// Start the prefill.
    Prefill {
        /// The attempt that the report must name.
        attempt: Attempt,
        /// The engine that computes the prompt.
        prefill: Upstream,
        /// The engine whose slot is reserved.
        decode: Upstream,
    },
    /// Import the prefill's result and stream the output.
    Decode {
        /// The attempt that the report must name.
        attempt: Attempt,
        /// The engine that generates the output.
        decode: Upstream,
        /// The engine that holds the prefill's result.
        source: Upstream,
    },
    /// Give the caller its final answer.
    Refuse {
        /// Why.
        reason: Reason,
        /// After what time a new request has a chance.
        retry_after: Option<Duration>,
    },
    /// Free everything that the request holds on an engine.
    Cancel {
        /// The engine.
        upstream: Upstream,
    },
}

/// What a request tells its cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// The prefill is complete and its result waits for import.
    PrefillDone(PrefillUsage),
    /// The prefill failed.
    PrefillFailed(Failure),
    /// The decode engine imported the result and streams.
    DecodeStarted,
    /// The decode failed after `delivered` tokens of its stream.
    DecodeFailed {
        /// What happened.
        failure: Failure,
        /// Output tokens that were delivered since the decode was ordered.
        delivered: u32,
    },
    /// The answer is complete.
    Finished,
    /// The caller is gone or was refused; nothing more will be reported.
    Cancelled,
}

/// The scheduler of one or more services, in this process or on another VM.
pub trait Cell: Send + Sync {
    /// Hands a request over and returns the orders for it.
    ///
    /// The channel closes without a [`Order::Refuse`] when the cell is lost; the request may
    /// then be submitted again.
    fn submit(&self, job: Job) -> mpsc::UnboundedReceiver<Order>;

    /// Reports the progress of one attempt; unknown requests are ignored.
    fn report(&self, id: JobId, attempt: Attempt, progress: Progress);
}

/// Takes what engines report.
pub trait EngineUpdates: Send + Sync {
    /// Passes on what an engine of a group reported.
    fn engine_update(&self, group: &Service, update: EngineUpdate);

    /// Returns true if reports of the group's engines are used here.
    fn needs_updates(&self, group: &Service) -> bool;

    /// Tells when reports are wanted at once.
    fn poll_signal(&self) -> Arc<Notify>;
}

/// The monotonic clock of this process in the unit of the state machines.
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
