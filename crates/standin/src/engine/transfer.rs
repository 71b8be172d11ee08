//! The transfer of a prefill's result between two engines.

use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use super::state::Shared;
use super::wire::{Decode, Kv};
use crate::http::{self, Body, error_answer, json_answer};
use crate::text;

/// Why an import did not succeed.
pub(super) enum ImportError {
    /// The source does not hold the result.
    Evicted,
    /// The handle belongs to another prompt.
    WrongPrompt,
    /// The source could not be reached or broke off.
    Source(String),
}

/// Imports the result that `call` names; takes the time of the transfer.
pub(super) async fn import(shared: &Arc<Shared>, call: &Decode) -> Result<(), ImportError> {
    if shared.addr().as_deref() == Some(call.source.as_str()) {
        return import_local(shared, call);
    }
    shared.wait_while(|fault| fault.stall_transfers).await;
    let wanted = call.prompt.len();
    let path = format!("/v1/kv/{}?prefix_bytes={wanted}", call.handle);
    let answer = http::get(&call.source, &path).await;
    let (status, value) = answer.map_err(|error| ImportError::Source(error.to_string()))?;
    // The stall may have begun during the transfer.
    shared.wait_while(|fault| fault.stall_transfers).await;
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

fn check_prompt(prefix: Option<u64>, prompt: &str) -> Result<(), ImportError> {
    if prefix == Some(xxh3_64(prompt.as_bytes())) {
        return Ok(());
    }
    Err(ImportError::WrongPrompt)
}

fn prefix_hash(prompt: &str, bytes: usize) -> Option<u64> {
    prompt.as_bytes().get(..bytes).map(xxh3_64)
}

/// `GET /v1/kv/{handle}`: sends a result to the decode engine that asks for it.
pub(super) async fn export(shared: &Arc<Shared>, request: &Request<Incoming>) -> Response<Body> {
    let path = request.uri().path();
    let handle: Arc<str> = path.trim_start_matches("/v1/kv/").into();
    let bytes = http::number(&http::query(request), "prefix_bytes");
    let Some((transfer, kv, duration)) = begin(shared, &handle, bytes) else {
        return error_answer(StatusCode::GONE, "evicted");
    };
    shared.wait_while(|fault| fault.stall_transfers).await;
    tokio::time::sleep(duration).await;
    shared.wait_while(|fault| fault.stall_transfers).await;
    transfer.finish();
    json_answer(StatusCode::OK, &kv)
}

fn begin(shared: &Arc<Shared>, handle: &Arc<str>, bytes: u64) -> Option<(Transfer, Kv, Duration)> {
    let mut state = shared.lock();
    let now = Instant::now();
    let stored = state.stored.get_mut(handle)?;
    stored.transfers += 1;
    let tokens = text::prompt_tokens(&stored.prompt);
    let bytes = usize::try_from(bytes).unwrap_or(usize::MAX);
    let kv = Kv {
        prompt_tokens: tokens,
        prefix: prefix_hash(&stored.prompt, bytes),
    };
    // Transfers share the link: each one starts when the ones before it are through.
    let micros = u64::from(tokens)
        .saturating_mul(shared.options.token_bytes)
        .saturating_mul(1_000_000)
        / shared.options.link_rate.max(1);
    state.link_free = state.link_free.max(now) + Duration::from_micros(micros);
    let duration = state.link_free.duration_since(now);
    let transfer = Transfer {
        shared: shared.clone(),
        handle: handle.clone(),
        done: false,
    };
    Some((transfer, kv, duration))
}

/// A transfer on its way; dropping it unfinished leaves the result to its expiry.
struct Transfer {
    shared: Arc<Shared>,
    handle: Arc<str>,
    done: bool,
}

impl Transfer {
    fn finish(mut self) {
        self.done = true;
    }
}

impl Drop for Transfer {
    fn drop(&mut self) {
        let mut state = self.shared.lock();
        let Some(stored) = state.stored.get_mut(&self.handle) else {
            return;
        };
        stored.transfers -= 1;
        let expired = stored.transfers == 0 && stored.expires <= Instant::now();
        if self.done {
            state.stored.remove(&self.handle);
            state.counts.transfers += 1;
        } else if expired {
            state.waste(&self.handle);
        }
    }
}
