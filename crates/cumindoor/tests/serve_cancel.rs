//! Requests that are cancelled: the caller disconnects, or a limit passes.

mod common;

use std::time::Duration;

use common::{Fleet, FleetOptions, chat_body, wait_until};
use standin::{Engine, EngineFaults};

/// Sends a chat, waits until `stage` is true, closes the connection and checks that neither the
/// engines nor the router keep the request.
async fn disconnect_at(fleet: &Fleet, what: &str, stage: impl FnMut() -> bool) {
    let addr = fleet.server.addr();
    let body = chat_body("Bye", 500, true);
    let caller = tokio::spawn(async move {
        let answer = common::post(addr, "/v1/chat/completions", &[], body).await;
        answer.events().await
    });
    wait_until(what, stage).await;

    caller.abort();

    fleet.nothing_held().await;
    wait_until("the router is idle", || fleet.router_idle()).await;
}

fn set_faults(engines: &[std::sync::Arc<Engine>], change: impl Fn(&mut EngineFaults)) {
    for engine in engines {
        engine.update_faults(&change);
    }
}

/// Guards against a queued request that is dispatched after its caller disconnected.
#[tokio::test]
async fn frees_all_when_the_caller_leaves_the_queue() {
    let fleet = FleetOptions::default().start().await;
    fleet
        .engines()
        .for_each(|e| e.update_faults(|fault| fault.reject_all = true));
    let refused = || fleet.engines().any(|e| e.counts().rejected > 0);

    disconnect_at(&fleet, "the request waits", refused).await;

    assert!(fleet.engines().all(|e| e.counts().prefills == 0));
}

/// Guards against a prefill that continues after its caller disconnected.
#[tokio::test]
async fn frees_all_when_the_caller_leaves_during_the_prefill() {
    let fleet = FleetOptions::default().start().await;
    set_faults(&fleet.prefills, |fault| fault.stall_work = true);
    let computing = || fleet.prefills.iter().any(|e| !e.held_ids().is_empty());

    disconnect_at(&fleet, "a prefill runs", computing).await;
}

/// Guards against a slot that stays in use when the caller disconnects during the KV cache
/// transfer.
#[tokio::test]
async fn frees_all_when_the_caller_leaves_during_the_import() {
    let mut options = FleetOptions::default();
    options.serve.timeouts.import = Duration::from_secs(30);
    let fleet = options.start().await;
    set_faults(&fleet.decodes, |fault| fault.stall_transfers = true);
    let importing = || fleet.decodes.iter().any(|e| e.slots_used() > 0);

    disconnect_at(&fleet, "an import runs", importing).await;
}

/// Guards against a decode that continues after its caller disconnected.
#[tokio::test]
async fn frees_all_when_the_caller_leaves_during_the_stream() {
    let fleet = FleetOptions::default().start().await;
    let streaming = || fleet.decodes.iter().any(|e| e.counts().output_tokens > 20);

    disconnect_at(&fleet, "tokens arrive", streaming).await;
}

/// Guards against memory that stays in use on an engine that received the request but did not
/// answer before the caller disconnected. The cancel must be repeated until it is acknowledged.
#[tokio::test]
async fn cancels_on_an_engine_that_has_not_answered_yet() {
    let mut options = FleetOptions::default();
    options.serve.timeouts.cancel = Duration::from_millis(100);
    let fleet = options.start().await;
    fleet.prefills.iter().for_each(|e| e.set_silent(true));
    let addr = fleet.server.addr();
    let caller = tokio::spawn(async move {
        let body = chat_body("Silent", 50, true);
        common::post(addr, "/v1/chat/completions", &[], body).await
    });
    let context = fleet.server.context();
    wait_until("the request runs", || context.live.len() == 1).await;

    caller.abort();
    wait_until("a cancel waits", || context.canceller.pending() > 0).await;
    fleet.prefills.iter().for_each(|e| e.set_silent(false));

    wait_until("the router is idle", || fleet.router_idle()).await;
    let cancels: u64 = fleet.prefills.iter().map(|e| e.counts().cancels).sum();
    assert!(cancels > 0);
    fleet.nothing_held().await;
}

/// Guards against an engine that stays busy for a caller that is connected but does not read.
#[tokio::test]
async fn a_caller_that_reads_nothing_counts_as_gone() {
    let mut options = FleetOptions::default();
    options.serve.limits.write_stall = Duration::from_millis(200);
    options.engine.step = Duration::ZERO;
    let fleet = options.start().await;
    let body = chat_body("Silent reader", 2_000_000, true);

    // Only the head of the answer is read.
    let answer = common::post(fleet.server.addr(), "/v1/chat/completions", &[], body).await;
    let gone = || fleet.counter("request.cancelled") == 1;
    wait_until("the caller counts as disconnected", gone).await;

    fleet.nothing_held().await;
    drop(answer);
}

/// Guards against engines that continue after the router's stop limit has passed, and against a
/// truncated answer that looks complete.
#[tokio::test]
async fn frees_all_when_the_stop_limit_passes() {
    let mut options = FleetOptions::default();
    options.serve.stop_limit = Duration::from_millis(100);
    let fleet = options.start().await;
    let (reading, _) = fleet.stalled_chat("Too late", 60).await;

    let complete = fleet.server.stop().await;
    let events = common::with_timeout("the last event", reading)
        .await
        .unwrap();

    assert!(!complete);
    assert_eq!(events.error.unwrap()["reason"], "stopping");
    assert!(!events.done);
    fleet.nothing_held().await;
}

/// Guards against a request that continues after its time limit.
#[tokio::test]
async fn frees_all_when_the_request_limit_passes() {
    let mut options = FleetOptions::default();
    options.services[0].request_limit = Duration::from_millis(500);
    let fleet = options.start().await;
    set_faults(&fleet.decodes, |fault| fault.stall_work = true);

    let events = fleet.chat("Too long", 60, true).await.events().await;

    let error = events.error.unwrap();
    assert_eq!(error["reason"], "request-limit");
    assert_eq!(error["kind"], "unknown");
    fleet.nothing_held().await;
    wait_until("the router is idle", || fleet.router_idle()).await;
}
