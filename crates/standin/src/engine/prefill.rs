//! `POST /v1/prefill`: computes the KV cache of a prompt and keeps it for its import.

use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::options::Role;
use super::state::{ActiveRun, Shared, State, StoredPrefill};
use super::wire::{Prefill, PrefillResponse};
use crate::http::{
    self, Body, ConnectionClosed, ErrorResponse, HandlerResult, error_response, json_response,
};
use crate::text;

pub(super) async fn handle(
    shared: Arc<Shared>,
    shutdown: CancellationToken,
    request: Request<Incoming>,
) -> HandlerResult {
    let call: Prefill = match http::read_json(request).await {
        Ok(call) => call,
        Err(error) => return Ok(error.response()),
    };
    let (number, cancelled) = match admit(&shared, &call) {
        Ok(admitted) => admitted,
        Err(error) => return Ok(error.response()),
    };
    if shared.crash_on_poison(&call.prompt) {
        return std::future::pending().await;
    }
    let guard = shared
        .options
        .cancel_on_close
        .then(|| cancelled.clone().drop_guard());
    let (sender, receiver) = oneshot::channel();
    // The work runs in its own task, so that closing the connection does not end it unless
    // `cancel_on_close` is set.
    let work = async move {
        let response = tokio::select! {
            response = compute(&shared, &call) => response,
            () = cancelled.cancelled() => {
                error_response(StatusCode::CONFLICT, "cancelled")
            }
        };
        shared.lock().prefills.remove(&number);
        let _ = sender.send(response);
    };
    tokio::spawn(shutdown.run_until_cancelled_owned(work));
    let response = receiver.await.map_err(|_| ConnectionClosed);
    if let Some(guard) = guard {
        guard.disarm();
    }
    response
}

fn admit(shared: &Shared, call: &Prefill) -> Result<(u64, CancellationToken), ErrorResponse> {
    let mut state = shared.lock();
    if state.role == Role::Decode {
        return Err(ErrorResponse::new(StatusCode::MISDIRECTED_REQUEST, "role"));
    }
    if state.was_cancelled(&call.id) {
        return Err(ErrorResponse::new(StatusCode::CONFLICT, "cancelled"));
    }
    let waiting = state.queue.waiting();
    if state.faults.reject_all || waiting >= shared.options.prefill_queue {
        state.counts.rejected += 1;
        return Err(ErrorResponse::new(StatusCode::TOO_MANY_REQUESTS, "full"));
    }
    state.counts.prefills += 1;
    state.count_run(&call.id, &call.prompt, |runs| runs.prefills += 1);
    let cancelled = CancellationToken::new();
    let number = state.next_number();
    let run = ActiveRun {
        id: call.id.clone(),
        cancelled: cancelled.clone(),
    };
    state.prefills.insert(number, run);
    Ok((number, cancelled))
}

async fn compute(shared: &Arc<Shared>, call: &Prefill) -> Response<Body> {
    let queue = shared.lock().queue.clone();
    let permit = queue.acquire(call.priority).await;
    let prefixes = text::prefix_hashes(&call.prompt, shared.options.block_tokens);
    let prompt_tokens = text::prompt_tokens(&call.prompt);
    let cached_blocks = shared.lock().cache.cached_blocks(&prefixes);
    let cached_tokens = u32::try_from(cached_blocks)
        .unwrap_or(u32::MAX)
        .saturating_mul(shared.options.block_tokens)
        .min(prompt_tokens);
    let mut usage = ComputeUsage {
        shared,
        tokens: prompt_tokens - cached_tokens,
        start: Instant::now(),
        done: false,
    };
    tokio::time::sleep(usage.duration()).await;
    shared.wait_while(|faults| faults.stall_work).await;
    usage.done = true;
    drop(usage);
    drop(permit);
    let handle = store_result(shared, call, &prefixes, prompt_tokens - cached_tokens);
    let ttl = shared.options.prefill_ttl;
    json_response(
        StatusCode::OK,
        &PrefillResponse {
            handle,
            prompt_tokens,
            cached_tokens,
            expires_ms: u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX),
        },
    )
}

/// Counts the computed tokens when it is dropped, also if the prefill is cancelled before its end.
struct ComputeUsage<'a> {
    shared: &'a Shared,
    tokens: u32,
    start: Instant,
    done: bool,
}

impl ComputeUsage<'_> {
    fn duration(&self) -> Duration {
        Duration::from_secs(1) * self.tokens / self.shared.options.prefill_rate.max(1)
    }

    fn record(&self, state: &mut State) {
        if self.done {
            state.counts.prefills_done += 1;
            state.counts.prefill_tokens += u64::from(self.tokens);
            return;
        }
        let elapsed = self.start.elapsed().as_micros();
        let rate = u128::from(self.shared.options.prefill_rate);
        let computed = u64::try_from(elapsed * rate / 1_000_000).unwrap_or(u64::MAX);
        let computed = computed.min(u64::from(self.tokens));
        state.counts.prefill_tokens += computed;
        state.counts.wasted_prefills += 1;
        state.counts.wasted_tokens += computed;
    }
}

impl Drop for ComputeUsage<'_> {
    fn drop(&mut self) {
        self.record(&mut self.shared.lock());
    }
}

fn store_result(
    shared: &Arc<Shared>,
    call: &Prefill,
    prefixes: &[u64],
    computed_tokens: u32,
) -> Arc<str> {
    let mut state = shared.lock();
    let gap = state.faults.event_gap;
    state.cache.store(prefixes, gap);
    let handle: Arc<str> = format!("kv-{}", state.next_number()).into();
    let expires = Instant::now() + shared.options.prefill_ttl;
    let stored = StoredPrefill {
        id: call.id.clone(),
        prompt: call.prompt.clone(),
        computed_tokens,
        expires,
        open_transfers: 0,
    };
    state.stored.insert(handle.clone(), stored);
    tokio::spawn(evict(shared.clone(), handle.clone(), expires));
    handle
}

/// Evicts a stored KV cache when it expires.
///
/// If it is being transferred at that time, the end of the transfer removes it.
async fn evict(shared: Arc<Shared>, handle: Arc<str>, expires: Instant) {
    tokio::time::sleep_until(expires).await;
    let mut state = shared.lock();
    let is_idle = |stored: &StoredPrefill| stored.open_transfers == 0;
    if state.stored.get(&handle).is_some_and(is_idle) {
        state.discard_unused(&handle);
    }
}
