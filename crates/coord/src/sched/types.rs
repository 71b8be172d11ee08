//! Input and output types of the scheduler.

use std::time::Duration;

use derive_more::{Display, From};
use serde::{Deserialize, Serialize};

use crate::hash::hash64;
use crate::name::{DataCentre, Organisation, Service, Upstream, VmName};
use crate::time::Time;

/// Id of one request, unique over all VMs.
///
/// The upper 32 bits are the tag of the entry VM, a hash of its name, so that the `held` list of
/// an engine's load report shows to which VM each job belongs. The entry VM draws the lower
/// 96 bits at random.
#[derive(
    Clone, Copy, Debug, Display, From, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0:032x}")]
pub struct JobId(pub u128);

impl JobId {
    /// Returns the id of a request that entered at `vm`, with the lower 96 bits of `low`.
    #[must_use]
    pub fn new(vm: &VmName, low: u128) -> Self {
        Self((u128::from(Self::vm_tag_of(vm)) << 96) | (low & (u128::MAX >> 32)))
    }

    /// Returns the tag of the entry VM.
    #[must_use]
    pub fn vm_tag(self) -> u32 {
        (self.0 >> 96) as u32
    }

    /// Returns the tag of `vm`, which is the upper 32 bits of the ids that it creates.
    #[must_use]
    pub fn vm_tag_of(vm: &VmName) -> u32 {
        (hash64(vm.as_str().as_bytes()) >> 32) as u32
    }
}

/// Number of an engine call among those of one job. It distinguishes a late result of an
/// abandoned call from the result of the current one.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
pub struct Attempt(pub u32);

/// Scheduling class of a service's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Class {
    /// A user waits for the answer, so the time to first token has a target.
    Interactive,
    /// The request may be delayed up to its deadline, but must not be lost.
    Patient,
}

/// One request with the properties that the scheduler uses.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// The request's id, unique over all VMs.
    pub id: JobId,
    /// The entry VM, to which the caller is connected.
    pub vm: VmName,
    /// The organisation whose share of the cell the job uses.
    pub organisation: Organisation,
    /// The service that the caller requested.
    pub service: Service,
    /// The scheduling class of the service.
    pub class: Class,
    /// The instant by which the first token must be sent.
    pub deadline: Time,
    /// The target time between two output tokens.
    pub token_target: Duration,
    /// Prompt length in tokens. When a stream is resumed, it includes the output tokens that have
    /// been delivered.
    pub prompt_tokens: u32,
    /// Maximum number of output tokens that are still to be generated.
    pub max_tokens: u32,
    /// Hashes of the prompt's prefixes, one for each full block, shortest first.
    pub prefix: Vec<u64>,
    /// Hash of organisation, service and body, by which repeated requests that crash upstreams
    /// are recognised. See [`fingerprint`](crate::poison::fingerprint).
    pub fingerprint: u128,
    /// True if the request must run at most once. It is then not retried after an engine may have
    /// started it.
    pub once: bool,
    /// Output tokens that the caller has already received.
    pub offset: u32,
    /// True if the request must run alone on its engines, because an upstream crashed while it
    /// ran the same request before.
    pub suspect: bool,
}

/// Stages of a request that an engine runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Role {
    /// Computes prompts only.
    Prefill,
    /// Generates output only, from an imported KV cache.
    Decode,
    /// Computes prompts and generates output from them without a transfer.
    Both,
}

/// An engine of the cell.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// The engine's name in the published list of upstreams.
    pub name: Upstream,
    /// The engine's data centre.
    pub data_centre: DataCentre,
    /// The stages that it runs.
    pub role: Role,
    /// Maximum number of concurrent decode requests that fit into its memory.
    pub slots: u32,
}

/// The load that an engine reports about itself. It arrives with a delay.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineReport {
    /// Ids of the jobs that hold memory on the engine.
    pub held: Vec<JobId>,
    /// Number of requests that wait inside the engine.
    pub queue: u32,
}

/// Token counts that an engine reports when a prefill has finished.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefillUsage {
    /// Prompt length in tokens, as the engine counts it.
    pub prompt_tokens: u32,
    /// Number of prompt tokens that were in the engine's prefix cache.
    pub cached_tokens: u32,
}

/// A change of an engine's prefix cache. Events may arrive late or be lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CacheEvent {
    /// The engine stored the prefix that ends with this block.
    Stored(u64),
    /// The engine evicted the block with this prefix hash.
    Evicted(u64),
    /// Events were lost between the previous event and the next one.
    Gap,
}

/// The stage of a running job that is registered with the new owner of its cell.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Stage {
    /// The prefill is running, or it has finished and its result is not imported yet.
    Prefill {
        /// The engine that computes the prompt.
        prefill: Upstream,
        /// The engine on which a decode slot is reserved.
        decode: Upstream,
    },
    /// The decode engine imports the result of the prefill or generates output.
    Decode {
        /// The engine that holds the prefill's result.
        source: Upstream,
        /// The engine that generates the output.
        decode: Upstream,
    },
}

/// State of one engine for the status page.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// The engine's name.
    pub name: Upstream,
    /// The stages that it runs.
    pub role: Role,
    /// True if it accepts new jobs.
    #[serde(rename = "open")]
    pub accepts_jobs: bool,
    /// Maximum number of concurrent decode requests that fit into its memory.
    pub slots: u32,
    /// Number of decode slots in use or reserved.
    pub used: u32,
    /// Number of prefills that were started and have not ended.
    pub prefills: u32,
}

/// The scheduler's state for the status page.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SchedStatus {
    /// Number of interactive jobs in the queue.
    pub interactive: usize,
    /// Number of patient jobs in the queue.
    pub patient: usize,
    /// Number of jobs whose prefill or decode has been started on an engine.
    pub running: usize,
    /// Number of retries after failures since the scheduler was created.
    pub retries: u64,
    /// The engines in the order of their names.
    pub engines: Vec<EngineStatus>,
}

/// Why an engine call did not succeed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Failure {
    /// The engine was full and did not start the request.
    #[display("engine full")]
    Full,
    /// The prefill's result was evicted before its import.
    #[display("prefill result evicted")]
    Evicted,
    /// The engine or the connection to it failed. The request may have run.
    #[display("engine lost")]
    Lost,
    /// The transfer of the KV cache made no progress.
    #[display("transfer stalled")]
    Stalled,
}

/// Why a job was refused.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Reason {
    /// The estimated time of the first token is after the deadline.
    #[display("the deadline cannot be met")]
    Deadline,
    /// The cell's queue is full.
    #[display("the queue is full")]
    QueueFull,
    /// No engine of the service is available.
    #[display("no upstream is available")]
    NoUpstream,
    /// The retry budget of the service has no credit left.
    #[display("the retry budget is spent")]
    RetryBudget,
    /// The request has crashed upstreams repeatedly.
    #[display("the request is refused because upstreams failed while they ran it")]
    Poison,
    /// A request that must run at most once failed after its dispatch, so it may or may not have
    /// run.
    #[display("the outcome is unknown")]
    Unknown,
}

/// An instruction to the owner of the cell.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start the prefill of a job, for which a decode slot and link capacity are reserved.
    StartPrefill {
        /// The job.
        id: JobId,
        /// The attempt that must be reported with the result.
        attempt: Attempt,
        /// The engine that computes the prompt.
        prefill: Upstream,
        /// The engine on which a decode slot is reserved.
        decode: Upstream,
    },
    /// Import the result of the prefill into the decode engine and stream its output.
    StartDecode {
        /// The job.
        id: JobId,
        /// The attempt that must be reported with the result.
        attempt: Attempt,
        /// The engine that generates the output. It equals `source` if nothing is transferred.
        decode: Upstream,
        /// The engine that holds the prefill's result.
        source: Upstream,
    },
    /// Answer the caller with a refusal, which ends the job.
    Refuse {
        /// The job.
        id: JobId,
        /// Why the job is refused.
        reason: Reason,
        /// Time after which a new request may be accepted, or `None` if it never will be.
        retry_after: Option<Duration>,
    },
    /// Release everything that the job holds on an engine.
    Cancel {
        /// The job.
        id: JobId,
        /// The engine on which the job is cancelled.
        upstream: Upstream,
    },
}

/// Settings of one cell's scheduler.
#[derive(Clone, Debug, PartialEq)]
pub struct SchedOptions {
    /// Number of tokens in one block of the prefix cache.
    pub block_tokens: u32,
    /// Time for which the prefill engine keeps the result of a prefill before it evicts it.
    pub prefill_ttl: Duration,
    /// Expected duration of one decode step.
    pub decode_step: Duration,
    /// Number of prompt tokens that a prefill engine computes per second.
    pub prefill_rate: u32,
    /// Bandwidth of one link in bytes per second.
    pub link_rate: u64,
    /// Size of the KV cache of one token in bytes.
    pub token_bytes: u64,
    /// Number of waiting jobs from which new jobs are refused.
    pub queue_limit: usize,
    /// Capacity of an engine's prefix cache in blocks, or 0 if it is unknown.
    pub cache_blocks: usize,
}

impl Default for SchedOptions {
    fn default() -> Self {
        Self {
            block_tokens: 1_000,
            prefill_ttl: Duration::from_millis(800),
            decode_step: Duration::from_millis(5),
            prefill_rate: 40_000,
            link_rate: 10_000_000_000,
            token_bytes: 70_000,
            queue_limit: 10_000,
            cache_blocks: 0,
        }
    }
}
