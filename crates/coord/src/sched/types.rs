//! The messages of the scheduler: what it is told and what it answers.

use std::time::Duration;

use derive_more::{Display, From};
use serde::{Deserialize, Serialize};

use crate::hash::hash64;
use crate::name::{DataCentre, Organisation, Service, Upstream, VmName};
use crate::time::Time;

/// Names one request over all VMs.
///
/// The upper 32 bits are a hash of the entry VM's name, so that engines' `held` lists show whose
/// work they hold; the entry VM draws the lower bits at random.
#[derive(
    Clone, Copy, Debug, Display, From, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0:032x}")]
pub struct JobId(pub u128);

impl JobId {
    /// Returns the id with `low` as its lower 96 bits for a request that reached `vm`.
    #[must_use]
    pub fn new(vm: &VmName, low: u128) -> Self {
        Self((u128::from(Self::vm_tag_of(vm)) << 96) | (low & (u128::MAX >> 32)))
    }

    /// Returns the tag of the VM that the request reached.
    #[must_use]
    pub fn vm_tag(self) -> u32 {
        (self.0 >> 96) as u32
    }

    /// Returns the tag in the upper 32 bits of the ids that `vm` draws.
    #[must_use]
    pub fn vm_tag_of(vm: &VmName) -> u32 {
        (hash64(vm.as_str().as_bytes()) >> 32) as u32
    }
}

/// Counts the engine calls of one job, so that a late result of an abandoned attempt is told
/// apart from the current one.
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

/// How a service's requests are ordered against others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Class {
    /// A person waits: the time to first token has a target.
    Interactive,
    /// The work may be delayed up to its deadline, but must not be lost.
    Patient,
}

/// One request as the scheduler sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// The request's id over all VMs.
    pub id: JobId,
    /// The VM that the caller reached.
    pub vm: VmName,
    /// The organisation that is charged.
    pub organisation: Organisation,
    /// The service that the caller named.
    pub service: Service,
    /// The service's class.
    pub class: Class,
    /// The instant by which the first token is wanted.
    pub deadline: Time,
    /// The wanted time between two output tokens.
    pub token_target: Duration,
    /// Prompt length in tokens, tokens already delivered included when a stream is resumed.
    pub prompt_tokens: u32,
    /// Output tokens that are still expected at most.
    pub max_tokens: u32,
    /// Hashes of the prompt's prefixes, one for each whole block, shortest first.
    pub prefix: Vec<u64>,
    /// Hash of organisation, service and body, for poison detection.
    pub fingerprint: u128,
    /// True if the request must run at most once: it is not retried after dispatch.
    pub once: bool,
    /// Output tokens that the caller has already received.
    pub offset: u32,
    /// True if the request must run alone because an upstream failed while it ran before.
    pub suspect: bool,
}

/// What an engine may be used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Role {
    /// Computes prompts only.
    Prefill,
    /// Generates output from an imported KV cache.
    Decode,
    /// Does both.
    Both,
}

/// An engine of the cell.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// The engine's name in the published list.
    pub name: Upstream,
    /// The engine's data centre.
    pub data_centre: DataCentre,
    /// What it may be used for.
    pub role: Role,
    /// Decode requests that fit into its memory at once.
    pub slots: u32,
}

/// An engine's own view of its load, sampled with a lag.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineReport {
    /// Ids of the jobs that hold memory on the engine.
    pub held: Vec<JobId>,
    /// Requests that wait inside the engine.
    pub queue: u32,
}

/// What an engine answers to a prefill.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefillUsage {
    /// Prompt length in tokens, as the engine counts it.
    pub prompt_tokens: u32,
    /// Prompt tokens that were in the engine's prefix cache.
    pub cached_tokens: u32,
}

/// A change of an engine's prefix cache; events may be late and some are lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CacheEvent {
    /// The engine stored the prefix that ends with this block.
    Stored(u64),
    /// The engine evicted the block with this prefix hash.
    Evicted(u64),
    /// Events were lost between the last one and the next one.
    Gap,
}

/// What a job that is registered again was doing.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Stage {
    /// Its prefill runs or has finished without an import.
    Prefill {
        /// The engine that computes the prompt.
        prefill: Upstream,
        /// The engine whose slot is reserved.
        decode: Upstream,
    },
    /// It imports or generates output.
    Decode {
        /// The engine that holds the prefill's result.
        source: Upstream,
        /// The engine that generates the output.
        decode: Upstream,
    },
}

/// One engine on the status page.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// The engine's name.
    pub name: Upstream,
    /// What it may be used for.
    pub role: Role,
    /// True if it takes new work.
    pub open: bool,
    /// Decode requests that fit into its memory at once.
    pub slots: u32,
    /// Slots in use or reserved.
    pub used: u32,
    /// Prefills that were started and have not ended.
    pub prefills: u32,
}

/// The scheduler's state for the status page.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SchedStatus {
    /// Interactive jobs that wait.
    pub interactive: usize,
    /// Patient jobs that wait.
    pub patient: usize,
    /// Jobs that hold engine memory or are about to.
    pub running: usize,
    /// Jobs that were started again after a failure.
    pub retries: u64,
    /// The engines in the order of their names.
    pub engines: Vec<EngineStatus>,
}

/// Why an engine call did not succeed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Failure {
    /// The engine was full and did no work.
    #[display("engine full")]
    Full,
    /// The prefill's result was evicted before its import.
    #[display("prefill result evicted")]
    Evicted,
    /// The engine or the connection to it failed; the work may have happened.
    #[display("engine lost")]
    Lost,
    /// The transfer made no progress.
    #[display("transfer stalled")]
    Stalled,
}

/// Why a job was refused.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Reason {
    /// The estimated start lies past the deadline.
    #[display("the deadline cannot be met")]
    Deadline,
    /// The cell's queue is full.
    #[display("the queue is full")]
    QueueFull,
    /// No engine of the service is available.
    #[display("no upstream is available")]
    NoUpstream,
    /// The service's retry budget is spent.
    #[display("the retry budget is spent")]
    RetryBudget,
    /// The request has brought upstreams down.
    #[display("the request is refused because upstreams failed while they ran it")]
    Poison,
    /// A once-only request failed after its dispatch: its outcome is unknown.
    #[display("the outcome is unknown")]
    Unknown,
}

/// What the owner of the cell has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start the prefill of a job; a decode slot and the link are reserved.
    StartPrefill {
        /// The job.
        id: JobId,
        /// The attempt that the result must name.
        attempt: Attempt,
        /// The engine that computes the prompt.
        prefill: Upstream,
        /// The engine whose slot is reserved.
        decode: Upstream,
    },
    /// Import the finished prefill and stream the output.
    StartDecode {
        /// The job.
        id: JobId,
        /// The attempt that the result must name.
        attempt: Attempt,
        /// The engine that generates the output; equal to `source` if nothing is transferred.
        decode: Upstream,
        /// The engine that holds the prefill's result.
        source: Upstream,
    },
    /// Give the caller its final answer.
    Refuse {
        /// The job.
        id: JobId,
        /// Why.
        reason: Reason,
        /// After what time a new request has a chance; `None` if it never has.
        retry_after: Option<Duration>,
    },
    /// Free everything that the job holds on an engine.
    Cancel {
        /// The job.
        id: JobId,
        /// The engine.
        upstream: Upstream,
    },
}

/// Settings of one cell's scheduler.
#[derive(Clone, Debug, PartialEq)]
pub struct SchedOptions {
    /// Tokens in one block of the prefix cache.
    pub block_tokens: u32,
    /// How long a prefill's result is kept before it is evicted.
    pub prefill_ttl: Duration,
    /// Expected duration of one decode step.
    pub decode_step: Duration,
    /// Prompt tokens that a prefill engine computes in one second.
    pub prefill_rate: u32,
    /// Rate of one link in bytes per second.
    pub link_rate: u64,
    /// KV cache bytes of one token.
    pub token_bytes: u64,
    /// Waiting jobs at which new ones are refused.
    pub queue_limit: usize,
    /// Blocks that an engine's prefix cache holds; 0 if unknown.
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
