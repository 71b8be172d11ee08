//! The calls of the protocol and the short answers among them.

use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde_json::{Value, json};
use tokio_util::sync::CancellationToken;

use super::options::Role;
use super::state::{Order, Shared, State};
use super::wire::{Cancel, Load, OrderCall};
use super::{decode, prefill, transfer};
use crate::http::{self, Answer, Body, error_answer, json_answer};

/// How often the load is sampled if reports are current.
const SAMPLE_PERIOD: Duration = Duration::from_millis(10);

/// Answers one request.
pub(super) async fn dispatch(
    shared: Arc<Shared>,
    life: CancellationToken,
    request: Request<Incoming>,
) -> Answer {
    let path = request.uri().path().to_owned();
    let answer = match (request.method(), path.as_str()) {
        (&Method::POST, "/v1/prefill") => return prefill::call(shared, life, request).await,
        (&Method::POST, "/v1/decode") => return decode::call(shared, life, request).await,
        (&Method::POST, "/v1/cancel") => cancel(&shared, request).await,
        (&Method::GET, "/v1/load") => load(&shared),
        (&Method::GET, "/v1/events") => events(&shared, &request),
        (&Method::POST, "/v1/order") => order(shared, life, request).await,
        (&Method::GET, path) if path.starts_with("/v1/kv/") => {
            transfer::export(&shared, &request).await
        }
        _ => error_answer(StatusCode::NOT_FOUND, "no such call"),
    };
    Ok(answer)
}

async fn cancel(shared: &Shared, request: Request<Incoming>) -> Response<Body> {
    let call: Cancel = match http::read_json(request).await {
        Ok(call) => call,
        Err(refusal) => return refusal.answer(),
    };
    shared.lock().cancel(&call.id);
    json_answer(StatusCode::OK, &json!({}))
}

fn load(shared: &Shared) -> Response<Body> {
    let state = shared.lock();
    let lag = state.fault.load_lag.unwrap_or(shared.options.load_lag);
    let sample = state.sample.clone().filter(|_| !lag.is_zero());
    let load = sample.unwrap_or_else(|| current_load(shared, &state));
    json_answer(StatusCode::OK, &load)
}

fn current_load(shared: &Shared, state: &State) -> Load {
    let options = &shared.options;
    let block_bytes = u64::from(options.block_tokens) * options.token_bytes;
    Load {
        slots: options.slots,
        used: state.slots_used(),
        held: state.held().into_iter().collect(),
        queue: u32::try_from(state.line.waiting()).unwrap_or(u32::MAX),
        kv_used: state.cache.blocks() as u64 * block_bytes,
        kv_total: options.cache_blocks as u64 * block_bytes,
        fence: state.fence,
        have: state.have.clone(),
    }
}

/// Samples the load now, so that the first report already has a lag.
pub(super) fn sample_first(shared: &Shared) {
    let mut state = shared.lock();
    state.sample = Some(current_load(shared, &state));
}

/// Samples the load once in each lag, so that a report is between zero and one lag old.
pub(super) async fn sample_load(shared: Arc<Shared>) {
    loop {
        let lag = {
            let mut state = shared.lock();
            state.sample = Some(current_load(&shared, &state));
            state.fault.load_lag.unwrap_or(shared.options.load_lag)
        };
        tokio::time::sleep(lag.max(SAMPLE_PERIOD)).await;
    }
}

fn events(shared: &Shared, request: &Request<Incoming>) -> Response<Body> {
    let since = http::number(&http::query(request), "since");
    let state = shared.lock();
    let events = state.cache.events(since, state.fault.event_delay);
    json_answer(StatusCode::OK, &json!({ "events": events }))
}

async fn order(
    shared: Arc<Shared>,
    life: CancellationToken,
    request: Request<Incoming>,
) -> Response<Body> {
    let call: OrderCall = match http::read_json(request).await {
        Ok(call) => call,
        Err(refusal) => return refusal.answer(),
    };
    let highest = {
        let mut state = shared.lock();
        if shared.options.honours_fence && call.fence < state.fence {
            state.counts.stale_orders += 1;
            let body = json!({ "error": "old fencing number", "fence": state.fence });
            return json_answer(StatusCode::CONFLICT, &body);
        }
        state.fence = state.fence.max(call.fence);
        state.orders.push(Order {
            fence: call.fence,
            want: call.want.clone(),
        });
        state.fence
    };
    let number = shared.lock().orders.len();
    let apply = async move {
        tokio::time::sleep(shared.options.order_time).await;
        apply_order(&shared, number, call.want);
    };
    tokio::spawn(life.run_until_cancelled_owned(apply));
    json_answer(StatusCode::OK, &json!({ "fence": highest }))
}

/// Puts an order in force unless a later one was accepted meanwhile.
fn apply_order(shared: &Shared, number: usize, want: Value) {
    let mut state = shared.lock();
    if state.orders.len() != number {
        return;
    }
    let role = want.get("role").cloned();
    if let Some(Ok(role)) = role.map(serde_json::from_value::<Role>) {
        state.role = role;
    }
    state.have = want;
}
