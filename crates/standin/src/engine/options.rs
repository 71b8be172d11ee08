//! Options at the start and fault switches at run time.

use std::time::Duration;

use serde::Deserialize;

/// What an engine may be used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Computes prompts only.
    Prefill,
    /// Generates output from an imported KV cache.
    Decode,
    /// Does both.
    Both,
}

/// Speeds and sizes of an engine.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Port on the loopback address; 0 chooses a free one.
    pub port: u16,
    /// What it may be used for at the start; an order can change it.
    pub role: Role,
    /// Decode requests that fit into its memory at once.
    pub slots: u32,
    /// Duration of one decode step.
    pub step: Duration,
    /// Added to a step for each other running decode.
    pub step_per_stream: Duration,
    /// Prompt tokens computed in one second; one prompt at a time.
    pub prefill_rate: u32,
    /// Prefills that wait at most; more are refused with 429.
    pub prefill_queue: usize,
    /// How long a prefill's result is kept for its import.
    pub prefill_ttl: Duration,
    /// Rate of its outgoing link in bytes per second; transfers share it.
    pub link_rate: u64,
    /// KV cache bytes of one token.
    pub token_bytes: u64,
    /// Tokens in one block of the prefix cache.
    pub block_tokens: u32,
    /// Blocks in the prefix cache; the least recently used is evicted.
    pub cache_blocks: usize,
    /// Tokens after which an answer ends by itself; `None` ends it at `max_tokens` only.
    pub answer_tokens: Option<u32>,
    /// Age of a load report at most; zero reports the current load.
    pub load_lag: Duration,
    /// True if it refuses an order with a fencing number below the highest one.
    pub honours_fence: bool,
    /// How long an ordered change takes until it is in force.
    pub order_time: Duration,
    /// True if a closed connection ends its request, as a cancel would.
    ///
    /// The default is false, the stricter case for a router: memory stays held until the work
    /// is done or cancelled.
    pub cancel_on_close: bool,
    /// After what time it comes back when a poison prompt has crashed it; `None`: never.
    pub restart_after: Option<Duration>,
    /// The first fault switches.
    pub fault: Fault,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            port: 0,
            role: Role::Both,
            slots: 20,
            step: Duration::from_millis(2),
            step_per_stream: Duration::ZERO,
            prefill_rate: 200_000,
            prefill_queue: 64,
            prefill_ttl: Duration::from_millis(800),
            link_rate: 25_000_000_000,
            token_bytes: 70_000,
            block_tokens: 1_000,
            cache_blocks: 200,
            answer_tokens: None,
            load_lag: Duration::ZERO,
            honours_fence: true,
            order_time: Duration::ZERO,
            cancel_on_close: false,
            restart_after: None,
            fault: Fault::default(),
        }
    }
}

/// Fault switches that can be changed while the engine runs.
#[derive(Clone, Debug, Default)]
pub struct Fault {
    /// Transfers from and to this engine make no progress.
    pub stall_transfers: bool,
    /// Decode streams send nothing more, and prefills do not end, while they hold their memory.
    pub stall_work: bool,
    /// Cache events become visible only after this time.
    pub event_delay: Duration,
    /// Drops each n-th cache event; 0 drops none.
    pub event_gap: u32,
    /// Overrides the age of load reports.
    pub load_lag: Option<Duration>,
    /// A prompt that contains this text crashes the engine when its work starts.
    pub poison: Option<String>,
    /// What is wrong with token streams.
    pub tokens: TokenFault,
    /// Ends a stream without its finish event after this many tokens.
    pub cut_after: Option<u32>,
    /// Refuses every prefill and decode with 429.
    pub full: bool,
}

/// A fault of token streams: each `n`-th token is affected.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TokenFault {
    /// None.
    #[default]
    None,
    /// Sends the token twice.
    Repeat(u32),
    /// Leaves the token out.
    Skip(u32),
    /// Sends the token after its successor.
    Swap(u32),
    /// Sends a token with another request's id before it.
    Interleave(u32),
}
