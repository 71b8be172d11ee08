//! The messages between entry VMs and owners of cells.

use std::time::Duration;

use coord::name::{Organisation, Service, Upstream, VmName};
use coord::sched::{self, Attempt, Class, Failure, JobId, PrefillUsage, Reason, Stage};
use coord::time::Time;
use serde::{Deserialize, Serialize};

use super::sharding::CellKey;
use crate::serve::cell::{self, Progress};
use crate::serve::peer::Part;

/// The protocol of cells in calls between VMs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CellPart;

impl Part for CellPart {
    const NAME: &'static str = "cell/1";
    type Call = Batch;
    type Reply = Receipt;
}

/// Consecutive messages from one VM to another.
///
/// A batch is sent again until it is acknowledged. From `first`, the receiver computes which of the
/// messages it has already received, and skips them.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Batch {
    /// Random number of the sending process.
    pub(crate) boot: u64,
    /// Random number of the sender's message queue. Sequence numbers start at 0 in each queue.
    pub(crate) session: u64,
    /// The sequence number of the first message.
    pub(crate) first: u64,
    /// The messages. An empty batch only renews the sender's lease.
    pub(crate) messages: Vec<Message>,
}

/// The answer to a batch.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Receipt {
    /// False if the receiver did not handle the batch, so that it must be sent again.
    pub(crate) accepted: bool,
    /// Token of the sender's lease. It changes when the receiver has dropped the sender's requests,
    /// which must then be registered again.
    pub(crate) token: u64,
}

/// A message between the entry VM of a request and the owner of its cell.
///
/// `epoch` counts the registrations of a request by its entry VM. It distinguishes messages about
/// an earlier registration from those about the current one.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Message {
    /// To the owner: a request that waits for engines.
    Submit { cell: CellKey, epoch: u32, job: Job },
    /// To the owner: a request that engines already work on.
    Register {
        cell: CellKey,
        epoch: u32,
        job: Job,
        attempt: Attempt,
        stage: Stage,
    },
    /// To the owner: progress of an attempt.
    Report {
        cell: CellKey,
        epoch: u32,
        id: JobId,
        attempt: Attempt,
        progress: WireProgress,
    },
    /// To a former owner: the request is no longer registered there.
    Release { cell: CellKey, id: JobId },
    /// To the entry VM: an order for a request.
    Order { epoch: u32, id: JobId, order: Order },
    /// To all VMs: the sender is stopping and no longer owns cells.
    Leaving,
}

/// The encoding of a [`sched::Job`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Job {
    id: JobId,
    organisation: Organisation,
    service: Service,
    class: Class,
    /// Time left until the deadline. The clocks of two VMs cannot be compared, so no absolute time
    /// is sent.
    left_us: u64,
    token_target_us: u64,
    prompt_tokens: u32,
    max_tokens: u32,
    prefix: Vec<u64>,
    fingerprint: u128,
    once: bool,
    offset: u32,
    suspect: bool,
}

impl Job {
    pub(super) fn new(now: Time, job: &sched::Job) -> Self {
        Self {
            id: job.id,
            organisation: job.organisation.clone(),
            service: job.service.clone(),
            class: job.class,
            left_us: micros(job.deadline.since(now)),
            token_target_us: micros(job.token_target),
            prompt_tokens: job.prompt_tokens,
            max_tokens: job.max_tokens,
            prefix: job.prefix.clone(),
            fingerprint: job.fingerprint,
            once: job.once,
            offset: job.offset,
            suspect: job.suspect,
        }
    }

    pub(super) fn into_job(self, now: Time, vm: VmName) -> sched::Job {
        sched::Job {
            id: self.id,
            vm,
            organisation: self.organisation,
            service: self.service,
            class: self.class,
            deadline: now + Duration::from_micros(self.left_us),
            token_target: Duration::from_micros(self.token_target_us),
            prompt_tokens: self.prompt_tokens,
            max_tokens: self.max_tokens,
            prefix: self.prefix,
            fingerprint: self.fingerprint,
            once: self.once,
            offset: self.offset,
            suspect: self.suspect,
        }
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

/// The encoding of a [`Progress`].
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) enum WireProgress {
    PrefillDone(PrefillUsage),
    PrefillFailed(Failure),
    DecodeStarted,
    DecodeFailed { failure: Failure, delivered: u32 },
    Finished,
    Cancelled,
}

impl From<Progress> for WireProgress {
    fn from(progress: Progress) -> Self {
        match progress {
            Progress::PrefillDone(done) => Self::PrefillDone(done),
            Progress::PrefillFailed(failure) => Self::PrefillFailed(failure),
            Progress::DecodeStarted => Self::DecodeStarted,
            Progress::DecodeFailed { failure, delivered } => {
                Self::DecodeFailed { failure, delivered }
            }
            Progress::Finished => Self::Finished,
            Progress::Cancelled => Self::Cancelled,
        }
    }
}

/// The encoding of a [`cell::Order`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Order {
    Prefill {
        attempt: Attempt,
        prefill: Upstream,
        decode: Upstream,
    },
    Decode {
        attempt: Attempt,
        decode: Upstream,
        source: Upstream,
    },
    Refuse {
        reason: Reason,
        retry_after: Option<Duration>,
    },
    Cancel {
        upstream: Upstream,
    },
}

impl From<cell::Order> for Order {
    fn from(order: cell::Order) -> Self {
        match order {
            cell::Order::Prefill {
                attempt,
                prefill,
                decode,
            } => Self::Prefill {
                attempt,
                prefill,
                decode,
            },
            cell::Order::Decode {
                attempt,
                decode,
                source,
            } => Self::Decode {
                attempt,
                decode,
                source,
            },
            cell::Order::Refuse {
                reason,
                retry_after,
            } => Self::Refuse {
                reason,
                retry_after,
            },
            cell::Order::Cancel { upstream } => Self::Cancel { upstream },
        }
    }
}
