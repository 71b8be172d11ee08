//! JSON messages of the engine protocol (see `docs/design.md`, section 4).

use hyper::header::CONTENT_TYPE;
use hyper::{Method, Request};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::{BoxedBody, CallError, full_body};

/// The body of `POST /v1/prefill`.
#[derive(Clone, Debug, Serialize)]
pub struct PrefillCall {
    /// The id of the attempt, see [`super::engine_id`].
    pub id: String,
    /// The prompt, followed by the output tokens that were already delivered to the caller.
    pub prompt: String,
    /// A higher value is more urgent.
    pub priority: u8,
}

/// The response to a prefill.
#[derive(Clone, Debug, Deserialize)]
pub struct Prefilled {
    /// Identifies the KV cache on the engine.
    pub handle: String,
    /// Number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the prompt that were in the prefix cache.
    #[serde(default)]
    pub cached_tokens: u32,
    /// Milliseconds until the engine evicts the KV cache.
    #[serde(default)]
    pub expires_ms: u64,
}

/// The body of `POST /v1/decode`.
#[derive(Clone, Debug, Serialize)]
pub struct DecodeCall {
    /// The id of the attempt, see [`super::engine_id`].
    pub id: String,
    /// Address of the prefill engine that holds the KV cache.
    pub source: String,
    /// Identifies the KV cache on that engine.
    pub handle: String,
    /// The prompt as the caller sent it.
    pub prompt: String,
    /// Index of the first output token to send.
    pub offset: u32,
    /// Limit on the number of output tokens, including those before `offset`.
    pub max_tokens: u32,
    /// A higher value is more urgent.
    pub priority: u8,
}

#[derive(Debug, Serialize)]
pub(super) struct CancelCall<'a> {
    pub id: &'a str,
}

/// The load of an engine, which may be slightly out of date.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Load {
    /// Decode requests that the engine can run at the same time.
    #[serde(default)]
    pub slots: u32,
    /// Decode requests that are running.
    #[serde(default)]
    pub used: u32,
    /// Ids of the calls that hold memory.
    #[serde(default)]
    pub held: Vec<String>,
    /// Requests in the queue of the engine.
    #[serde(default)]
    pub queue: u32,
}

pub(super) fn post(path: &str, body: &impl Serialize, trace: Option<&str>) -> Request<BoxedBody> {
    // Serialising strings and numbers to memory cannot fail.
    let text = serde_json::to_vec(body).unwrap_or_default();
    let mut request = Request::new(full_body(text));
    *request.method_mut() = Method::POST;
    if let Ok(uri) = path.parse() {
        *request.uri_mut() = uri;
    }
    let headers = request.headers_mut();
    let json = hyper::header::HeaderValue::from_static("application/json");
    headers.insert(CONTENT_TYPE, json);
    if let Some(value) = trace.and_then(|trace| trace.parse().ok()) {
        headers.insert("traceparent", value);
    }
    request
}

pub(super) fn parse<T: DeserializeOwned>(answer: &[u8]) -> Result<T, CallError> {
    let parsed = serde_json::from_slice(answer);
    parsed.map_err(|error| CallError::Lost(format!("malformed answer: {error}")))
}

/// One change of an engine's prefix cache.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct CacheChange {
    /// Sequence number of the change; a gap means that changes were lost.
    pub seq: u64,
    /// Whether the block was stored or evicted.
    pub kind: CacheKind,
    /// Hash of the prompt prefix that ends with the block.
    pub prefix: u64,
}

/// What happened to a block of an engine's prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CacheKind {
    /// The block was stored.
    Stored,
    /// The block was evicted.
    Evicted,
}

#[derive(Debug, Deserialize)]
pub(super) struct CacheChanges {
    pub events: Vec<CacheChange>,
}

pub(super) fn get(path: &str) -> Request<BoxedBody> {
    let mut request = Request::new(full_body(""));
    if let Ok(uri) = path.parse() {
        *request.uri_mut() = uri;
    }
    request
}
