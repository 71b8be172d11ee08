//! The transfer of a prefill's KV cache from one engine to another.

use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use super::state::Shared;
use super::wire::{Decode, Kv};
use crate::http::{self, Body, error_response, json_response};
use crate::text;

/// Why an import did not succeed.
pub(super) enum ImportError {
    /// The source does not have the KV cache any more.
    Evicted,
    /// The handle belongs to another prompt.
    WrongPrompt,
    /// The source could not be reached, closed the connection or sent an unexpected response.
    Source(String),
}

/// Imports the KV cache that `call` refers to, which takes the time of its transfer.
pub(super) async fn import(shared: &Arc<Shared>, call: &Decode) -> Result<(), ImportError> {
    if shared.addr().as_deref() == Some(call.source.as_str()) {
        return import_local(shared, call);
    }
    shared.wait_while(|faults| faults.stall_transfers).await;
    let prompt_bytes = call.prompt.len();
    let path = format!("/v1/kv/{}?prefix_bytes={prompt_bytes}", call.handle);
    let response = http::get_json(&call.source, &path).await;
    let (status, value) = response.map_err(|error| ImportError::Source(error.to_string()))?;
    // The fault may have been set during the transfer.
    shared.wait_while(|faults| faults.stall_transfers).await;
    match status {
        StatusCode::OK => {}
        StatusCode::GONE => return Err(ImportError::Evicted),
        other => return Err(ImportError::Source(format!("status {other}"))),
    }
    let kv: Kv =
        serde_json::from_value(value).map_err(|error| ImportError::Source(error.to_string()))?;
    check_prompt(kv.prefix, &call.prompt)
}

fn import_local(shared: &Shared, call: &Decode) -> Result<(), ImportError> {
    let mut state = shared.lock();
    let stored = state.stored.get(&call.handle).ok_or(ImportError::Evicted)?;
    check_prompt(prefix_hash(&stored.prompt, call.prompt.len()), &call.prompt)?;
    state.stored.remove(&call.handle);
    Ok(())
}

/// Checks that `prefix` is the hash of the whole `prompt`.
fn check_prompt(prefix: Option<u64>, prompt: &str) -> Result<(), ImportError> {
    if prefix == Some(xxh3_64(prompt.as_bytes())) {
        return Ok(());
    }
    Err(ImportError::WrongPrompt)
}

/// Returns the hash of the first `bytes` bytes of `prompt`, if it has as many.
fn prefix_hash(prompt: &str, bytes: usize) -> Option<u64> {
    prompt.as_bytes().get(..bytes).map(xxh3_64)
}

/// `GET /v1/kv/{handle}`: sends a KV cache to the decode engine that requests it.
///
/// Only the time of the transfer is simulated; the response has no cache content.
pub(super) async fn export(shared: &Arc<Shared>, request: &Request<Incoming>) -> Response<Body> {
    let path = request.uri().path();
    let handle: Arc<str> = path.trim_start_matches("/v1/kv/").into();
    let prefix_bytes = http::number_param(&http::query_params(request), "prefix_bytes");
    let Some((transfer, kv, duration)) = start_transfer(shared, &handle, prefix_bytes) else {
        return error_response(StatusCode::GONE, "evicted");
    };
    shared.wait_while(|faults| faults.stall_transfers).await;
    tokio::time::sleep(duration).await;
    shared.wait_while(|faults| faults.stall_transfers).await;
    transfer.finish();
    json_response(StatusCode::OK, &kv)
}

fn start_transfer(
    shared: &Arc<Shared>,
    handle: &Arc<str>,
    prefix_bytes: u64,
) -> Option<(TransferGuard, Kv, Duration)> {
    let mut state = shared.lock();
    let now = Instant::now();
    let stored = state.stored.get_mut(handle)?;
    stored.open_transfers += 1;
    let prompt_tokens = text::prompt_tokens(&stored.prompt);
    let prefix_bytes = usize::try_from(prefix_bytes).unwrap_or(usize::MAX);
    let kv = Kv {
        prompt_tokens,
        prefix: prefix_hash(&stored.prompt, prefix_bytes),
    };
    // Transfers share the link: each one starts when the earlier ones are complete.
    let duration_us = u64::from(prompt_tokens)
        .saturating_mul(shared.options.token_bytes)
        .saturating_mul(1_000_000)
        / shared.options.link_rate.max(1);
    state.link_free = state.link_free.max(now) + Duration::from_micros(duration_us);
    let duration = state.link_free.duration_since(now);
    let transfer = TransferGuard {
        shared: shared.clone(),
        handle: handle.clone(),
        done: false,
    };
    Some((transfer, kv, duration))
}

/// A running transfer. Finishing it removes the KV cache; dropping it unfinished leaves the cache
/// until it expires.
struct TransferGuard {
    shared: Arc<Shared>,
    handle: Arc<str>,
    done: bool,
}

impl TransferGuard {
    fn finish(mut self) {
        self.done = true;
    }
}

impl Drop for TransferGuard {
    fn drop(&mut self) {
        let mut state = self.shared.lock();
        let Some(stored) = state.stored.get_mut(&self.handle) else {
            return;
        };
        stored.open_transfers -= 1;
        let expired = stored.open_transfers == 0 && stored.expires <= Instant::now();
        if self.done {
            state.stored.remove(&self.handle);
            state.counts.transfers += 1;
        } else if expired {
            state.discard_unused(&self.handle);
        }
    }
}
