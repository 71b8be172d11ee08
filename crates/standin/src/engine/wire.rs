//! The JSON of the engine protocol.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_json::Value;

#[derive(Deserialize)]
pub(super) struct Prefill {
    pub id: Arc<str>,
    pub prompt: Arc<str>,
    #[serde(default)]
    pub priority: i64,
}

#[derive(Serialize)]
pub(super) struct Prefilled {
    pub handle: Arc<str>,
    pub prompt_tokens: u32,
    pub cached_tokens: u32,
    pub expires_ms: u64,
}

#[derive(Deserialize)]
pub(super) struct Decode {
    pub id: Arc<str>,
    pub source: String,
    pub handle: Arc<str>,
    /// The caller's prompt, without the tokens that a resumed stream already delivered.
    pub prompt: Arc<str>,
    /// Index of the first token to send.
    #[serde(default)]
    pub offset: u32,
    /// Tokens of the whole answer at most, counted from index 0.
    pub max_tokens: u32,
}

#[derive(Serialize)]
pub(super) struct Token<'a> {
    pub id: &'a str,
    pub index: u32,
    #[serde(rename = "token")]
    pub text: &'a str,
}

#[derive(Serialize)]
pub(super) struct Finish<'a> {
    pub id: &'a str,
    #[serde(rename = "finish")]
    pub reason: &'a str,
    pub prompt_tokens: u32,
    pub output_tokens: u32,
}

#[derive(Deserialize)]
pub(super) struct Cancel {
    pub id: Arc<str>,
}

#[derive(Clone, Debug, Serialize)]
pub(super) struct Load {
    pub slots: u32,
    pub used: u32,
    pub held: Vec<Arc<str>>,
    pub queue: u32,
    pub kv_used: u64,
    pub kv_total: u64,
    /// The highest fencing number that it has seen.
    pub fence: u64,
    /// The ordered state that is in force.
    pub have: Value,
}

#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "lowercase")]
pub(super) enum EventKind {
    Stored,
    Evicted,
}

#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct Event {
    pub seq: u64,
    pub kind: EventKind,
    pub prefix: u64,
}

#[derive(Deserialize)]
pub(super) struct OrderCall {
    pub fence: u64,
    pub want: Value,
}

/// The answer of `GET /v1/kv/{handle}`: what an import transfers.
#[derive(Deserialize, Serialize)]
pub(super) struct Kv {
    pub prompt_tokens: u32,
    /// 64-bit xxh3 of the first `prefix_bytes` bytes of the prefilled prompt, to check that the
    /// handle belongs to the decode's prompt.
    pub prefix: Option<u64>,
}
