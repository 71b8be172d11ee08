//! `POST /v1/prefill`: computes a prompt.

use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::options::Role;
use super::state::{Run, Shared, State, Stored};
use super::wire::{Prefill, Prefilled};
use crate::http::{self, Answer, Body, Closed, Refusal, error_answer, json_answer};
use crate::text;

pub(super) async fn call(
    shared: Arc<Shared>,
    life: CancellationToken,
    request: Request<Incoming>,
) -> Answer {
    let call: Prefill = match http::read_json(request).await {
        Ok(call) => call,
        Err(refusal) => return Ok(refusal.answer()),
    };
    let (number, cancelled) = match admit(&shared, &call) {
        Ok(admitted) => admitted,
        Err(refusal) => return Ok(refusal.answer()),
    };
    if shared.crash_on_poison(&call.prompt) {
        return std::future::pending().await;
    }
    let guard = shared
        .options
        .cancel_on_close
        .then(|| cancelled.clone().drop_guard());
    let (sender, receiver) = oneshot::channel();
    // A task of its own: a closed connection does not end the work unless the options say so.
    let work = async move {
        let answer = tokio::select! {
            answer = run(&shared, &call) => answer,
            () = cancelled.cancelled() => {
                error_answer(StatusCode::CONFLICT, "cancelled")
            }
        };
        shared.lock().prefills.remove(&number);
        let _ = sender.send(answer);
    };
    tokio::spawn(life.run_until_cancelled_owned(work));
    let answer = receiver.await.map_err(|_| Closed);
    if let Some(guard) = guard {
        guard.disarm();
    }
    answer
}

fn admit(shared: &Shared, call: &Prefill) -> Result<(u64, CancellationToken), Refusal> {
    let mut state = shared.lock();
    if state.role == Role::Decode {
        return Err(Refusal::new(StatusCode::MISDIRECTED_REQUEST, "role"));
    }
    if state.was_cancelled(&call.id) {
        return Err(Refusal::new(StatusCode::CONFLICT, "cancelled"));
    }
    let waiting = state.line.waiting();
    if state.fault.full || waiting >= shared.options.prefill_queue {
        state.counts.full += 1;
        return Err(Refusal::new(StatusCode::TOO_MANY_REQUESTS, "full"));
    }
    state.counts.prefills += 1;
    state.count_run(&call.id, &call.prompt, |runs| runs.prefills += 1);
    let cancelled = CancellationToken::new();
    let number = state.next();
    let run = Run {
        id: call.id.clone(),
        cancelled: cancelled.clone(),
    };
    state.prefills.insert(number, run);
    Ok((number, cancelled))
}

async fn run(shared: &Arc<Shared>, call: &Prefill) -> Response<Body> {
    let line = shared.lock().line.clone();
    let turn = line.turn(call.priority).await;
    let chain = text::prefix_hashes(&call.prompt, shared.options.block_tokens);
    let prompt_tokens = text::prompt_tokens(&call.prompt);
    let blocks = shared.lock().cache.cached(&chain);
    let cached = u32::try_from(blocks)
        .unwrap_or(u32::MAX)
        .saturating_mul(shared.options.block_tokens)
        .min(prompt_tokens);
    let mut charge = Charge {
        shared,
        tokens: prompt_tokens - cached,
        start: Instant::now(),
        done: false,
    };
    tokio::time::sleep(charge.duration()).await;
    shared.wait_while(|fault| fault.stall_work).await;
    charge.done = true;
    drop(charge);
    drop(turn);
    let handle = store(shared, call, &chain, prompt_tokens - cached);
    let expires = shared.options.prefill_ttl;
    json_answer(
        StatusCode::OK,
        &Prefilled {
            handle,
            prompt_tokens,
            cached_tokens: cached,
            expires_ms: u64::try_from(expires.as_millis()).unwrap_or(u64::MAX),
        },
    )
}

/// Counts the computed tokens, also those of a prefill that is cancelled on the way.
struct Charge<'a> {
    shared: &'a Shared,
    tokens: u32,
    start: Instant,
    done: bool,
}

impl Charge<'_> {
    fn duration(&self) -> Duration {
        Duration::from_secs(1) * self.tokens / self.shared.options.prefill_rate.max(1)
    }

    fn count(&self, state: &mut State) {
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

impl Drop for Charge<'_> {
    fn drop(&mut self) {
        self.count(&mut self.shared.lock());
    }
}

fn store(shared: &Arc<Shared>, call: &Prefill, chain: &[u64], computed: u32) -> Arc<str> {
    let mut state = shared.lock();
    let gap = state.fault.event_gap;
    state.cache.store(chain, gap);
    let handle: Arc<str> = format!("kv-{}", state.next()).into();
    let expires = Instant::now() + shared.options.prefill_ttl;
    let stored = Stored {
        id: call.id.clone(),
        prompt: call.prompt.clone(),
        computed,
        expires,
        transfers: 0,
    };
    state.stored.insert(handle.clone(), stored);
    tokio::spawn(evict(shared.clone(), handle.clone(), expires));
    handle
}

/// Evicts a result at its expiry, or after the transfer that was running then.
async fn evict(shared: Arc<Shared>, handle: Arc<str>, expires: Instant) {
    tokio::time::sleep_until(expires).await;
    let mut state = shared.lock();
    let idle = |stored: &Stored| stored.transfers == 0;
    if state.stored.get(&handle).is_some_and(idle) {
        state.waste(&handle);
    }
}
