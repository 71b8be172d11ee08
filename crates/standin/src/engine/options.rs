//! The options of an engine and the faults that it injects.

use std::time::Duration;

use serde::Deserialize;

/// Which stages of a request an engine accepts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// The engine runs prefills only.
    Prefill,
    /// The engine runs decodes only, from a KV cache that it imports.
    Decode,
    /// The engine runs prefills and decodes.
    Both,
}

/// The capacity, speed and protocol behaviour of an engine.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// The port on the loopback address; 0 chooses a free one.
    pub port: u16,
    /// The role at the start; an order can change it.
    pub role: Role,
    /// The number of decodes that can run at once.
    pub slots: u32,
    /// The duration of one decode step, which generates a token of each stream.
    pub step: Duration,
    /// The time added to a step for each other running decode.
    pub step_per_stream: Duration,
    /// The number of prompt tokens computed per second; one prompt is computed at a time.
    pub prefill_rate: u32,
    /// The length of the queue of waiting prefills; further ones are refused with 429.
    pub prefill_queue: usize,
    /// How long the KV cache of a prefill is kept for its import.
    pub prefill_ttl: Duration,
    /// The bandwidth of the outgoing link in bytes per second, which transfers share.
    pub link_rate: u64,
    /// The size of the KV cache of one token.
    pub token_bytes: u64,
    /// The number of tokens in one block of the prefix cache.
    pub block_tokens: u32,
    /// The capacity of the prefix cache in blocks; the least recently used block is evicted.
    pub cache_blocks: usize,
    /// The number of tokens after which an answer ends; `None` ends it at `max_tokens` only.
    pub answer_tokens: Option<u32>,
    /// The maximum age of a load report; zero reports the current load.
    pub load_lag: Duration,
    /// Whether an order is refused if its fencing token is lower than the highest one seen.
    pub enforces_fencing: bool,
    /// The time from the acceptance of an order until it takes effect.
    pub order_delay: Duration,
    /// Whether closing the connection cancels its request.
    ///
    /// The default is false, which is the harder case for a router: the request holds memory until
    /// it completes or is cancelled.
    pub cancel_on_close: bool,
    /// The time from a crash by a poison prompt to the restart; `None` disables the restart.
    pub restart_after: Option<Duration>,
    /// The faults at the start.
    pub faults: EngineFaults,
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
            enforces_fencing: true,
            order_delay: Duration::ZERO,
            cancel_on_close: false,
            restart_after: None,
            faults: EngineFaults::default(),
        }
    }
}

/// The faults that an engine injects, which can be changed while it runs.
#[derive(Clone, Debug, Default)]
pub struct EngineFaults {
    /// Transfers from and to this engine make no progress.
    pub stall_transfers: bool,
    /// Decodes send no further tokens and prefills do not complete; both keep their memory.
    pub stall_work: bool,
    /// The delay after which cache events become visible.
    pub event_delay: Duration,
    /// Drops every n-th cache event; 0 drops none.
    pub event_gap: u32,
    /// Overrides [`EngineOptions::load_lag`].
    pub load_lag: Option<Duration>,
    /// A prompt that contains this text crashes the engine when its prefill or decode starts.
    pub poison: Option<String>,
    /// The fault of token streams.
    pub token_fault: TokenFault,
    /// Ends a stream after this many tokens, without the finish event.
    pub cut_after: Option<u32>,
    /// Refuses every prefill and decode with 429.
    pub reject_all: bool,
}

/// A fault of token streams that affects every n-th token.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TokenFault {
    /// Tokens are sent correctly.
    #[default]
    None,
    /// Sends the token twice.
    Repeat(u32),
    /// Omits the token.
    Skip(u32),
    /// Sends the token after the next one.
    Swap(u32),
    /// Sends an extra token with the id of another request before the token.
    Interleave(u32),
}
