//! Faults of engines while requests run on them.

mod common;

use std::time::Duration;

use common::{Fleet, FleetOptions, expected, wait_until, with_timeout};
use rstest::rstest;
use standin::TokenFault;

/// Returns options with short time-outs, so that silence is detected quickly. No assertion depends
/// on their length.
fn options_with_short_timeouts() -> FleetOptions {
    let mut options = FleetOptions::default();
    options.serve.timeouts.probe_after = Duration::from_millis(100);
    options.serve.timeouts.probe = Duration::from_millis(500);
    options
}

async fn assert_complete(
    fleet: &Fleet,
    reading: tokio::task::JoinHandle<common::Events>,
    text: &str,
) {
    let events = with_timeout("the answer", reading).await.unwrap();

    assert_eq!(events.error, None);
    assert_eq!(events.text, expected(text, 60));
    assert_eq!(events.usage.unwrap()["completion_tokens"], 60);
    assert!(events.done);
    fleet.nothing_held().await;
}

/// Guards against lost or repeated text when the decode engine crashes in the middle of a stream.
#[tokio::test]
async fn resumes_after_the_decode_engine_died() {
    let fleet = options_with_short_timeouts().start().await;
    let (reading, busy) = fleet.stalled_chat("Kill it", 60).await;
    busy.update_faults(|fault| fault.cut_after = Some(25));

    fleet.resume_decodes();
    let cut = || fleet.counter("decode.failed.lost") > 0;
    wait_until("the stream is cut", cut).await;
    busy.crash().await;

    assert_complete(&fleet, reading, "Kill it").await;
}

/// Guards against a request that never ends because its decode engine crashes before the first
/// token.
#[tokio::test]
async fn resumes_after_the_process_died_before_its_first_token() {
    let fleet = options_with_short_timeouts().start().await;
    let (reading, busy) = fleet.stalled_chat("Die early", 60).await;

    busy.crash().await;
    fleet.resume_decodes();

    assert_complete(&fleet, reading, "Die early").await;
    assert_eq!(fleet.counter("decode.failed.lost"), 1);
}

/// Guards against repeated tokens, tokens of other requests and gaps in a caller's text.
#[rstest]
#[case::repeated(TokenFault::Repeat(3), 0)]
#[case::crossed(TokenFault::Interleave(4), 0)]
#[case::skipped(TokenFault::Skip(7), 1)]
#[case::swapped(TokenFault::Swap(9), 1)]
#[tokio::test]
async fn puts_tokens_in_order(#[case] tokens: TokenFault, #[case] cuts: u64) {
    let fleet = options_with_short_timeouts().start().await;
    let (reading, busy) = fleet.stalled_chat("Order", 60).await;
    busy.update_faults(|fault| fault.token_fault = tokens);

    fleet.resume_decodes();

    assert_complete(&fleet, reading, "Order").await;
    assert_eq!(fleet.counter("decode.failed.lost"), cuts);
}

/// Guards against a caller that waits forever on an engine connection that has become silent.
#[tokio::test]
async fn replaces_a_silent_connection() {
    let fleet = options_with_short_timeouts().start().await;
    let (reading, busy) = fleet.stalled_chat("Silence", 60).await;

    busy.freeze_open_connections();
    fleet.resume_decodes();

    assert_complete(&fleet, reading, "Silence").await;
    // If the silence begins before the head of the answer, it counts as a stalled import.
    let failed = fleet.counter("decode.failed.lost") + fleet.counter("decode.failed.stalled");
    assert_eq!(failed, 1);
}

/// Guards against a caller that waits forever for an engine that accepts connections and never
/// answers.
#[tokio::test]
async fn replaces_a_silent_engine() {
    let fleet = options_with_short_timeouts().start().await;
    let (reading, busy) = fleet.stalled_chat("Deaf", 60).await;

    busy.set_silent(true);
    fleet.resume_decodes();
    let lost = || fleet.counter("decode.failed.lost") > 0;
    wait_until("the silence is noticed", lost).await;
    busy.set_silent(false);

    assert_complete(&fleet, reading, "Deaf").await;
}

/// Guards against a request that fails because its KV cache was evicted before the import.
#[tokio::test]
async fn prefills_again_after_an_eviction() {
    let mut options = options_with_short_timeouts();
    options.serve.timeouts.import = Duration::from_secs(30);
    let fleet = options.start().await;
    for engine in &fleet.decodes {
        engine.update_faults(|fault| fault.stall_transfers = true);
    }
    let chat = async { fleet.chat("Evicted", 60, true).await.events().await };
    let evict = async {
        fleet.busy_decode().await;
        for engine in &fleet.prefills {
            for id in engine.held_ids() {
                let body = serde_json::json!({ "id": &*id }).to_string();
                common::post(engine.addr(), "/v1/cancel", &[], body).await;
            }
        }
        for engine in &fleet.decodes {
            engine.update_faults(|fault| fault.stall_transfers = false);
        }
    };

    let (events, ()) = tokio::join!(chat, evict);

    assert_eq!(events.text, expected("Evicted", 60));
    assert!(events.done);
    assert_eq!(fleet.counter("decode.failed.evicted"), 1);
    fleet.nothing_held().await;
}

/// Guards against a request that waits forever for a KV cache transfer without progress.
#[tokio::test]
async fn replaces_a_stalled_transfer() {
    let mut options = options_with_short_timeouts();
    options.serve.timeouts.import = Duration::from_millis(300);
    let fleet = options.start().await;
    for engine in &fleet.decodes {
        engine.update_faults(|fault| fault.stall_transfers = true);
    }
    let chat = async { fleet.chat("Stalled", 60, true).await.events().await };
    let recover = async {
        let stalled = || fleet.counter("decode.failed.stalled") > 0;
        wait_until("the stall is noticed", stalled).await;
        for engine in &fleet.decodes {
            engine.update_faults(|fault| fault.stall_transfers = false);
        }
    };

    let (events, ()) = tokio::join!(chat, recover);

    assert_eq!(events.text, expected("Stalled", 60));
    assert!(events.done);
    fleet.nothing_held().await;
}

/// Guards against a full engine that is treated as failed or makes the router refuse a request.
#[tokio::test]
async fn waits_for_a_full_engine() {
    let fleet = options_with_short_timeouts().start().await;
    for engine in fleet.engines() {
        engine.update_faults(|fault| fault.reject_all = true);
    }
    let chat = async { fleet.chat("Full", 60, true).await.events().await };
    let recover = async {
        let refused = || fleet.engines().map(|e| e.counts().rejected).sum::<u64>() > 0;
        wait_until("an engine answers 429", refused).await;
        for engine in fleet.engines() {
            engine.update_faults(|fault| fault.reject_all = false);
        }
    };

    let (events, ()) = tokio::join!(chat, recover);

    assert_eq!(events.text, expected("Full", 60));
    assert!(events.done);
}

/// Guards against a refusal of kind `unknown` although every engine answered that it did not run
/// the request.
#[tokio::test]
async fn refuses_with_not_run_when_all_engines_stay_full() {
    let mut options = options_with_short_timeouts();
    options.services[0].ttft_target = Duration::from_millis(500);
    let fleet = options.start().await;
    for engine in fleet.engines() {
        engine.update_faults(|fault| fault.reject_all = true);
    }

    let answer = fleet.chat("Full for good", 5, true).await;
    let status = answer.status;
    let error = answer.json().await["error"].clone();

    assert_eq!(status, 503);
    assert_eq!(error["kind"], "not-run");
    assert!(error["retry_after_ms"].as_u64().is_some(), "{error}");
    assert!(fleet.engines().all(|e| e.counts().prefills == 0));
}

/// Guards against an at-most-once request that runs a second time, or is refused as `not-run` after
/// an engine received it.
#[tokio::test]
async fn a_once_only_stream_is_not_resumed() {
    let mut options = options_with_short_timeouts();
    options.services[0].once = true;
    options.services[0].require_key = false;
    let fleet = options.start().await;
    let (reading, busy) = fleet.stalled_chat("Once", 60).await;
    busy.update_faults(|fault| fault.cut_after = Some(10));

    fleet.resume_decodes();
    let events = with_timeout("the answer", reading).await.unwrap();

    assert_eq!(events.tokens, 10);
    assert_eq!(events.error.unwrap()["kind"], "unknown");
    assert!(!events.done);
    let decodes: u64 = fleet.decodes.iter().map(|e| e.counts().decodes).sum();
    assert_eq!(decodes, 1);
    fleet.nothing_held().await;
}

/// Guards against size or time limits that refuse a prompt of tens of thousands of tokens.
#[tokio::test]
async fn serves_a_prompt_of_tens_of_thousands_of_tokens() {
    let fleet = FleetOptions::default().start().await;
    let text = "long prompt ".repeat(20_000);

    let events = fleet.chat(&text, 30, true).await.events().await;

    assert_eq!(events.text, expected(&text, 30));
    let prompt = events.usage.unwrap()["prompt_tokens"].as_u64().unwrap();
    assert!(prompt > 50_000, "{prompt}");
}
