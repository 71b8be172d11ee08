//! The JSON requests and responses of the engine protocol.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// The request of `POST /v1/prefill`.
#[derive(Deserialize)]
pub(super) struct Prefill {
    pub id: Arc<str>,
    pub prompt: Arc<str>,
    #[serde(default)]
    pub priority: i64,
}

/// The response of `POST /v1/prefill`.
#[derive(Serialize)]
pub(super) struct PrefillResponse {
    pub handle: Arc<str>,
    pub prompt_tokens: u32,
    pub cached_tokens: u32,
    pub expires_ms: u64,
}

/// The request of `POST /v1/decode`.
#[derive(Deserialize)]
pub(super) struct Decode {
    pub id: Arc<str>,
    /// The address of the engine that holds the prefill's KV cache.
    pub source: String,
    pub handle: Arc<str>,
    /// The caller's prompt, without the output tokens that a resumed stream already delivered.
    pub prompt: Arc<str>,
    /// The index of the first token to send.
    #[serde(default)]
    pub offset: u32,
    /// The maximum number of tokens of the whole answer, counted from index 0.
    pub max_tokens: u32,
}

/// The event of one output token.
#[derive(Serialize)]
pub(super) struct TokenEvent<'a> {
    pub id: &'a str,
    pub index: u32,
    #[serde(rename = "token")]
    pub text: &'a str,
}

/// The last event of a stream that is complete or was cancelled.
#[derive(Serialize)]
pub(super) struct FinishEvent<'a> {
    pub id: &'a str,
    #[serde(rename = "finish")]
    pub reason: &'a str,
    pub prompt_tokens: u32,
    pub output_tokens: u32,
}

/// The request of `POST /v1/cancel`.
#[derive(Deserialize)]
pub(super) struct Cancel {
    pub id: Arc<str>,
}

/// The response of `GET /v1/load`.
#[derive(Clone, Debug, Serialize)]
pub(super) struct LoadReport {
    pub slots: u32,
    /// The number of decode slots in use.
    pub used: u32,
    /// The ids of the requests that hold memory.
    pub held: Vec<Arc<str>>,
    /// The number of waiting prefills.
    pub queue: u32,
    /// The size of the prefix cache in bytes.
    pub kv_used: u64,
    /// The capacity of the prefix cache in bytes.
    pub kv_total: u64,
    /// The highest fencing token that the engine has accepted.
    pub fence: u64,
    /// The target state of the last order that took effect, or `Null`.
    pub have: Value,
}

#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "lowercase")]
pub(super) enum CacheEventKind {
    Stored,
    Evicted,
}

/// One change of the prefix cache, in the response of `GET /v1/events`.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct CacheEvent {
    pub seq: u64,
    pub kind: CacheEventKind,
    /// The hash of the prefix that ends with the block.
    pub prefix: u64,
}

/// The request of `POST /v1/order`.
#[derive(Deserialize)]
pub(super) struct OrderCall {
    /// The fencing token of the lease under which the order is given.
    pub fence: u64,
    /// The state that the order requests.
    pub want: Value,
}

/// The response of `GET /v1/kv/{handle}`, which stands for the transferred KV cache.
#[derive(Deserialize, Serialize)]
pub(super) struct Kv {
    pub prompt_tokens: u32,
    /// The 64-bit xxh3 hash of the first `prefix_bytes` bytes of the prefilled prompt, by which the
    /// decode engine checks that the handle belongs to the prompt of its request.
    pub prefix: Option<u64>,
}
