//! The dispatch of requests to their handlers, and the handlers that do not have a module of their
//! own.

use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde_json::{Value, json};
use tokio_util::sync::CancellationToken;

use super::options::Role;
use super::state::{Order, Shared, State};
use super::wire::{Cancel, LoadReport, OrderCall};
use super::{decode, prefill, transfer};
use crate::http::{self, Body, HandlerResult, error_response, json_response};

/// The shortest interval between two samples of the load.
const MIN_SAMPLE_INTERVAL: Duration = Duration::from_millis(10);

pub(super) async fn dispatch(
    shared: Arc<Shared>,
    shutdown: CancellationToken,
    request: Request<Incoming>,
) -> HandlerResult {
    let path = request.uri().path().to_owned();
    let response = match (request.method(), path.as_str()) {
        (&Method::POST, "/v1/prefill") => return prefill::handle(shared, shutdown, request).await,
        (&Method::POST, "/v1/decode") => return decode::handle(shared, shutdown, request).await,
        (&Method::POST, "/v1/cancel") => cancel(&shared, request).await,
        (&Method::GET, "/v1/load") => load(&shared),
        (&Method::GET, "/v1/events") => events(&shared, &request),
        (&Method::POST, "/v1/order") => order(shared, shutdown, request).await,
        (&Method::GET, path) if path.starts_with("/v1/kv/") => {
            transfer::export(&shared, &request).await
        }
        _ => error_response(StatusCode::NOT_FOUND, "no such call"),
    };
    Ok(response)
}

async fn cancel(shared: &Shared, request: Request<Incoming>) -> Response<Body> {
    let call: Cancel = match http::read_json(request).await {
        Ok(call) => call,
        Err(error) => return error.response(),
    };
    shared.lock().cancel(&call.id);
    json_response(StatusCode::OK, &json!({}))
}

fn load(shared: &Shared) -> Response<Body> {
    let state = shared.lock();
    let lag = state.faults.load_lag.unwrap_or(shared.options.load_lag);
    let sample = state.load_sample.clone().filter(|_| !lag.is_zero());
    let load = sample.unwrap_or_else(|| current_load(shared, &state));
    json_response(StatusCode::OK, &load)
}

fn current_load(shared: &Shared, state: &State) -> LoadReport {
    let options = &shared.options;
    let block_bytes = u64::from(options.block_tokens) * options.token_bytes;
    LoadReport {
        slots: options.slots,
        used: state.slots_used(),
        held: state.held_ids().into_iter().collect(),
        queue: u32::try_from(state.queue.waiting()).unwrap_or(u32::MAX),
        kv_used: state.cache.blocks() as u64 * block_bytes,
        kv_total: options.cache_blocks as u64 * block_bytes,
        fence: state.highest_fence,
        have: state.applied_order.clone(),
    }
}

/// Samples the load now, so that a lagging report exists before the first interval ends.
pub(super) fn sample_first(shared: &Shared) {
    let mut state = shared.lock();
    state.load_sample = Some(current_load(shared, &state));
}

/// Samples the load once per `load_lag`, so that the age of a report is between zero and that lag.
pub(super) async fn sample_load(shared: Arc<Shared>) {
    loop {
        let lag = {
            let mut state = shared.lock();
            state.load_sample = Some(current_load(&shared, &state));
            state.faults.load_lag.unwrap_or(shared.options.load_lag)
        };
        tokio::time::sleep(lag.max(MIN_SAMPLE_INTERVAL)).await;
    }
}

fn events(shared: &Shared, request: &Request<Incoming>) -> Response<Body> {
    let since = http::number_param(&http::query_params(request), "since");
    let state = shared.lock();
    let events = state.cache.events(since, state.faults.event_delay);
    json_response(StatusCode::OK, &json!({ "events": events }))
}

async fn order(
    shared: Arc<Shared>,
    shutdown: CancellationToken,
    request: Request<Incoming>,
) -> Response<Body> {
    let call: OrderCall = match http::read_json(request).await {
        Ok(call) => call,
        Err(error) => return error.response(),
    };
    let highest_fence = {
        let mut state = shared.lock();
        if shared.options.enforces_fencing && call.fence < state.highest_fence {
            state.counts.stale_orders += 1;
            let body = json!({ "error": "old fencing number", "fence": state.highest_fence });
            return json_response(StatusCode::CONFLICT, &body);
        }
        state.highest_fence = state.highest_fence.max(call.fence);
        state.orders.push(Order {
            fencing_token: call.fence,
            target_state: call.want.clone(),
        });
        state.highest_fence
    };
    let order_count = shared.lock().orders.len();
    let apply = async move {
        tokio::time::sleep(shared.options.order_delay).await;
        apply_order(&shared, order_count, call.want);
    };
    tokio::spawn(shutdown.run_until_cancelled_owned(apply));
    json_response(StatusCode::OK, &json!({ "fence": highest_fence }))
}

/// Applies an order unless a later one was accepted after it.
fn apply_order(shared: &Shared, order_count: usize, target_state: Value) {
    let mut state = shared.lock();
    if state.orders.len() != order_count {
        return;
    }
    let role = target_state.get("role").cloned();
    if let Some(Ok(role)) = role.map(serde_json::from_value::<Role>) {
        state.role = role;
    }
    state.applied_order = target_state;
}
