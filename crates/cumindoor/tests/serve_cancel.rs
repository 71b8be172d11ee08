//! Callers that go away.

mod common;

use std::time::Duration;

use common::{Fleet, FleetOptions, chat_body, wait_until};
use standin::{Engine, EngineFaults};

/// Sends a chat, waits for `stage`, closes the connection and checks that nothing is left.
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

/// Guards against work in the queue for a caller that is gone.
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

/// Guards against a prefill that goes on for a caller that is gone.
#[tokio::test]
async fn frees_all_when_the_caller_leaves_during_the_prefill() {
    let fleet = FleetOptions::default().start().await;
    set_faults(&fleet.prefills, |fault| fault.stall_work = true);
    let computing = || fleet.prefills.iter().any(|e| !e.held_ids().is_empty());

    disconnect_at(&fleet, "a prefill runs", computing).await;
}

/// Guards against a slot that stays taken when the caller leaves during the transfer.
#[tokio::test]
async fn frees_all_when_the_caller_leaves_during_the_import() {
    let mut options = FleetOptions::default();
    options.serve.times.import = Duration::from_secs(30);
    let fleet = options.start().await;
    set_faults(&fleet.decodes, |fault| fault.stall_transfers = true);
    let importing = || fleet.decodes.iter().any(|e| e.slots_used() > 0);

    disconnect_at(&fleet, "an import runs", importing).await;
}

/// Guards against a stream that nobody reads.
#[tokio::test]
async fn frees_all_when_the_caller_leaves_during_the_stream() {
    let fleet = FleetOptions::default().start().await;
    let streaming = || fleet.decodes.iter().any(|e| e.counts().output_tokens > 20);

    disconnect_at(&fleet, "tokens arrive", streaming).await;
}

/// Guards against memory on an engine that got the request but did not answer before the caller
/// left: the cancel must be repeated until the engine acknowledges it.
#[tokio::test]
async fn cancels_on_an_engine_that_has_not_answered_yet() {
    let mut options = FleetOptions::default();
    options.serve.times.cancel = Duration::from_millis(100);
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

/// Guards against a caller that stays connected, reads nothing and keeps an engine busy.
#[tokio::test]
async fn a_caller_that_reads_nothing_counts_as_gone() {
    let mut options = FleetOptions::default();
    options.serve.limits.write_stall = Duration::from_millis(200);
    options.engine.step = Duration::ZERO;
    let fleet = options.start().await;
    let body = chat_body("Silent reader", 2_000_000, true);

    // The head is read, then nothing more.
    let answer = common::post(fleet.server.addr(), "/v1/chat/completions", &[], body).await;
    let gone = || fleet.counter("request.cancelled") == 1;
    wait_until("the caller counts as gone", gone).await;

    fleet.nothing_held().await;
    drop(answer);
}

/// Guards against engines that work on for a router that had to stop before the answer ended,
/// and against a cut answer that looks complete.
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

/// Guards against a request that no deadline ends.
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
