//! Tests of the engine's protocol and of the faults that it injects.

mod support;

use std::time::Duration;

use hyper::body::Body;
use serde_json::{Value, json};
use standin::{Engine, EngineOptions, Role, TokenFault, answer};
use support::{call, connect, decode_body, engines, events, prefill, send, text};

/// Prefills a prompt, decodes it from `offset` and returns the events.
async fn generate(source: &Engine, engine: &Engine, id: &str, offset: u32) -> Vec<Value> {
    let handle = prefill(source, id, "the prompt").await;
    let body = decode_body(source, &handle, id, "the prompt", offset).to_string();
    let mut sender = connect(engine.addr()).await.unwrap();
    let stream = send(&mut sender, "POST", "/v1/decode", &body)
        .await
        .unwrap();
    assert_eq!(stream.status(), 200);
    events(stream).await
}

/// Guards against a resumed stream that does not continue the text of the first one.
#[tokio::test]
async fn resumed_stream_continues_the_same_text() {
    let (source, first) = engines().await;
    let second = Engine::spawn(EngineOptions::default()).await.unwrap();

    let whole = generate(&source, &first, "a", 0).await;
    let rest = generate(&source, &second, "a", 5).await;

    assert_eq!(text(&whole), answer("the prompt", 12));
    assert_eq!(
        format!("{}{}", answer("the prompt", 5), text(&rest)),
        text(&whole)
    );
    assert_eq!(rest.last().unwrap()["output_tokens"], 12);
    assert_eq!(source.counts().transfers, 2);
    assert_eq!(first.runs("a").decodes, 1);
    assert_eq!(source.runs_of_prompt("the prompt").prefills, 2);
}

/// Guards against KV caches that are never imported and stay in memory, or are not counted as
/// wasted.
#[tokio::test]
async fn result_without_import_is_evicted_and_counted() {
    let options = EngineOptions {
        prefill_ttl: Duration::ZERO,
        ..EngineOptions::default()
    };
    let source = Engine::spawn(options).await.unwrap();
    let prompt = "x".repeat(4_000);
    let handle = prefill(&source, "a", &prompt).await;
    while source.counts().wasted_tokens < 1_000 {
        tokio::task::yield_now().await;
    }

    let body = decode_body(&source, &handle, "a", &prompt, 0);
    let (status, _) = call(source.addr(), "POST", "/v1/decode", body).await;

    assert_eq!(status, 410);
    assert_eq!(source.counts().wasted_prefills, 1);
    assert!(source.held_ids().is_empty());
}

/// Guards against an engine that accepts more decodes than it has slots.
#[tokio::test]
async fn decode_without_free_slot_is_refused() {
    let (source, engine) = engines().await;
    engine.update_faults(|faults| faults.stall_work = true);
    let mut streams = Vec::new();
    for id in ["a", "b"] {
        let handle = prefill(&source, id, "p").await;
        let body = decode_body(&source, &handle, id, "p", 0).to_string();
        let mut sender = connect(engine.addr()).await.unwrap();
        streams.push(
            send(&mut sender, "POST", "/v1/decode", &body)
                .await
                .unwrap(),
        );
    }

    let handle = prefill(&source, "c", "p").await;
    let body = decode_body(&source, &handle, "c", "p", 0);
    let (status, _) = call(engine.addr(), "POST", "/v1/decode", body).await;

    assert_eq!(status, 429);
    assert_eq!(engine.slots_used(), 2);
    let (_, load) = call(engine.addr(), "GET", "/v1/load", Value::Null).await;
    assert_eq!(load["held"], json!(["a", "b"]));
}

/// Guards against a cancel that does not free all memory, or has no effect when it arrives before
/// its request.
#[tokio::test]
async fn cancel_frees_everything_and_is_remembered() {
    let (source, engine) = engines().await;
    engine.update_faults(|faults| faults.stall_work = true);
    let handle = prefill(&source, "a", "p").await;
    let body = decode_body(&source, &handle, "a", "p", 0).to_string();
    let mut sender = connect(engine.addr()).await.unwrap();
    let stream = send(&mut sender, "POST", "/v1/decode", &body)
        .await
        .unwrap();

    let (status, _) = call(engine.addr(), "POST", "/v1/cancel", json!({ "id": "a" })).await;
    let last = events(stream).await;
    let late_prefill = json!({ "id": "a", "prompt": "p" });
    call(source.addr(), "POST", "/v1/cancel", json!({ "id": "a" })).await;
    let (refused, _) = call(source.addr(), "POST", "/v1/prefill", late_prefill).await;

    assert_eq!(status, 200);
    assert_eq!(last.last().unwrap()["finish"], "cancelled");
    assert_eq!(engine.slots_used(), 0);
    assert_eq!(refused, 409);
}

/// Guards against a closed connection that frees memory, because tests would then not notice a
/// router that sends no cancel.
#[tokio::test]
async fn closed_connection_keeps_the_slot_until_the_work_ends() {
    let (source, engine) = engines().await;
    engine.update_faults(|faults| faults.stall_work = true);
    let handle = prefill(&source, "a", "p").await;
    let body = decode_body(&source, &handle, "a", "p", 0).to_string();
    let mut sender = connect(engine.addr()).await.unwrap();
    let stream = send(&mut sender, "POST", "/v1/decode", &body)
        .await
        .unwrap();

    drop(stream);
    drop(sender);
    let (_, load) = call(engine.addr(), "GET", "/v1/load", Value::Null).await;
    engine.update_faults(|faults| faults.stall_work = false);
    while engine.counts().decodes_done == 0 {
        tokio::task::yield_now().await;
    }

    assert_eq!(load["used"], 1);
    assert!(engine.counts().unread_tokens > 0);
}

/// Guards against a crash that leaves connections open or accepts new ones, and a restart with old
/// state.
#[tokio::test]
async fn dead_engine_refuses_and_comes_back_empty() {
    let (source, engine) = engines().await;
    engine.update_faults(|faults| faults.stall_work = true);
    let handle = prefill(&source, "a", "p").await;
    let body = decode_body(&source, &handle, "a", "p", 0).to_string();
    let mut sender = connect(engine.addr()).await.unwrap();
    let stream = send(&mut sender, "POST", "/v1/decode", &body)
        .await
        .unwrap();

    engine.crash().await;
    let received = http_body_util::BodyExt::collect(stream.into_body()).await;
    let refused = connect(engine.addr()).await;
    engine.restart().await.unwrap();
    let (status, load) = call(engine.addr(), "GET", "/v1/load", Value::Null).await;

    assert!(received.is_err());
    assert!(refused.is_err());
    assert_eq!((status, &load["used"]), (200, &json!(0)));
}

/// Guards against a crash that completes some of many streams. It happens if a stream's producer
/// ends before its connection does and the end of the producer ends the body.
#[tokio::test(flavor = "multi_thread")]
async fn no_stream_of_a_dead_engine_looks_complete() {
    for _ in 0..20 {
        let options = EngineOptions {
            slots: 32,
            ..EngineOptions::default()
        };
        let engine = Engine::spawn(options).await.unwrap();
        let mut handles = Vec::new();
        for number in 0..32 {
            let id = format!("r-{number}");
            let handle = prefill(&engine, &id, "p").await;
            handles.push((id, handle));
        }
        engine.update_faults(|faults| faults.stall_work = true);
        let mut streams = Vec::new();
        for (id, handle) in handles {
            let body = decode_body(&engine, &handle, &id, "p", 0).to_string();
            let mut sender = connect(engine.addr()).await.unwrap();
            let response = send(&mut sender, "POST", "/v1/decode", &body)
                .await
                .unwrap();
            streams.push((sender, response));
        }

        engine.crash().await;

        for (_sender, stream) in streams {
            let received = http_body_util::BodyExt::collect(stream.into_body()).await;
            assert!(received.is_err());
        }
    }
}

/// Guards against a poison prompt that does not crash the engine, or whose crash is not counted.
#[tokio::test]
async fn poison_prompt_crashes_the_engine() {
    let engine = Engine::spawn(EngineOptions::default()).await.unwrap();
    engine.update_faults(|faults| faults.poison = Some("POISON".into()));
    let mut sender = connect(engine.addr()).await.unwrap();
    let body = json!({ "id": "a", "prompt": "a POISON b" }).to_string();

    let outcome = send(&mut sender, "POST", "/v1/prefill", &body).await;

    assert!(outcome.is_err());
    assert!(connect(engine.addr()).await.is_err());
    assert_eq!(engine.counts().crashes, 1);
}

/// Guards against frozen connections that still respond, or new connections that are frozen too.
#[tokio::test]
async fn frozen_connections_are_silent_while_new_ones_work() {
    let engine = Engine::spawn(EngineOptions::default()).await.unwrap();
    let mut old = connect(engine.addr()).await.unwrap();
    send(&mut old, "GET", "/v1/load", "").await.unwrap();

    engine.freeze_open_connections();
    let (status, _) = call(engine.addr(), "GET", "/v1/load", Value::Null).await;
    let mut silent = Box::pin(send(&mut old, "GET", "/v1/load", ""));
    assert!(futures::poll!(&mut silent).is_pending());
    let (again, _) = call(engine.addr(), "GET", "/v1/load", Value::Null).await;
    let polled = futures::poll!(&mut silent);

    assert_eq!((status, again), (200, 200));
    assert!(polled.is_pending());
}

/// Guards against a stalled transfer that makes progress, or does not continue after the fault.
#[tokio::test]
async fn stalled_transfer_waits_for_the_switch() {
    let (source, engine) = engines().await;
    let handle = prefill(&source, "a", "p").await;
    source.update_faults(|faults| faults.stall_transfers = true);
    let body = decode_body(&source, &handle, "a", "p", 0).to_string();
    let mut sender = connect(engine.addr()).await.unwrap();
    let mut stream = Box::pin(send(&mut sender, "POST", "/v1/decode", &body));
    while engine.slots_used() == 0 {
        assert!(futures::poll!(&mut stream).is_pending());
        tokio::task::yield_now().await;
    }

    let stalled = futures::poll!(&mut stream).is_pending();
    source.update_faults(|faults| faults.stall_transfers = false);
    let stream = stream.await.unwrap();

    assert!(stalled);
    assert_eq!(text(&events(stream).await), answer("p", 12));
}

/// Guards against token faults that leave the stream correct.
#[rstest::rstest]
#[case::repeat(TokenFault::Repeat(5), vec![0, 1, 2, 3, 4, 4, 5, 6, 7, 8, 9, 9, 10, 11])]
#[case::skip(TokenFault::Skip(5), vec![0, 1, 2, 3, 5, 6, 7, 8, 10, 11])]
#[case::swap(TokenFault::Swap(5), vec![0, 1, 2, 3, 5, 4, 6, 7, 8, 10, 9, 11])]
#[tokio::test]
async fn token_faults_change_the_indexes(#[case] fault: TokenFault, #[case] expected: Vec<u64>) {
    let (source, engine) = engines().await;
    engine.update_faults(|faults| faults.token_fault = fault);

    let events = generate(&source, &engine, "a", 0).await;

    let indexes: Vec<_> = events.iter().filter_map(|e| e["index"].as_u64()).collect();
    assert_eq!(indexes, expected);
}

/// Guards against an interleaved token that has the id of the stream's own request.
#[tokio::test]
async fn interleaved_token_has_another_id() {
    let (source, engine) = engines().await;
    engine.update_faults(|faults| faults.token_fault = TokenFault::Interleave(6));

    let events = generate(&source, &engine, "a", 0).await;

    let strays = events.iter().filter(|event| event["id"] != "a").count();
    assert_eq!(strays, 2);
}

/// Guards against a truncated stream that has a finish event.
#[tokio::test]
async fn cut_stream_has_no_finish() {
    let (source, engine) = engines().await;
    engine.update_faults(|faults| faults.cut_after = Some(3));

    let events = generate(&source, &engine, "a", 0).await;

    assert_eq!(events.len(), 3);
    assert!(events.iter().all(|event| event["finish"].is_null()));
    assert_eq!(engine.slots_used(), 0);
}

/// Guards against a decode that imports the KV cache of another prompt.
#[tokio::test]
async fn handle_of_another_prompt_is_refused() {
    let (source, engine) = engines().await;
    let handle = prefill(&source, "a", "one prompt").await;
    let body = decode_body(&source, &handle, "a", "another prompt", 0);

    let (status, _) = call(engine.addr(), "POST", "/v1/decode", body).await;

    assert_eq!(status, 400);
    assert_eq!(engine.slots_used(), 0);
}

/// Guards against cache events without the configured delay or gaps, or without evictions.
#[tokio::test]
async fn cache_events_are_delayed_and_have_gaps() {
    let options = EngineOptions {
        cache_blocks: 2,
        ..EngineOptions::default()
    };
    let engine = Engine::spawn(options).await.unwrap();
    engine.update_faults(|faults| faults.event_gap = 3);
    let prompt = "y".repeat(12_000);
    let chain = standin::prefix_hashes(&prompt, 1_000);

    prefill(&engine, "a", &prompt).await;
    engine.update_faults(|faults| faults.event_delay = Duration::from_hours(1));
    let (_, delayed) = call(engine.addr(), "GET", "/v1/events?since=0", Value::Null).await;
    engine.update_faults(|faults| faults.event_delay = Duration::ZERO);
    let (_, visible) = call(engine.addr(), "GET", "/v1/events?since=1", Value::Null).await;

    assert_eq!(delayed["events"], json!([]));
    assert_eq!(
        visible["events"],
        json!([
            { "seq": 2, "kind": "stored", "prefix": chain[1] },
            { "seq": 4, "kind": "evicted", "prefix": chain[2] },
        ])
    );
}

/// Guards against an engine that accepts an order with an old fencing token, or one without fencing
/// that refuses it.
#[rstest::rstest]
#[case::with_fencing(true, 409, json!({ "role": "decode" }))]
#[case::without_fencing(false, 200, json!({ "role": "prefill" }))]
#[tokio::test]
async fn order_with_old_fence(#[case] fencing: bool, #[case] status: u16, #[case] have: Value) {
    let options = EngineOptions {
        enforces_fencing: fencing,
        role: Role::Both,
        ..EngineOptions::default()
    };
    let engine = Engine::spawn(options).await.unwrap();
    let newer = json!({ "fence": 9, "want": { "role": "decode" } });
    let older = json!({ "fence": 8, "want": { "role": "prefill" } });

    call(engine.addr(), "POST", "/v1/order", newer).await;
    let (second, answer) = call(engine.addr(), "POST", "/v1/order", older).await;
    while call(engine.addr(), "GET", "/v1/load", Value::Null).await.1["have"] != have {
        tokio::task::yield_now().await;
    }

    assert_eq!((second, &answer["fence"]), (status, &json!(9)));
}

/// Guards against load reports that ignore the configured lag.
#[tokio::test]
async fn load_report_lags() {
    let (source, _) = engines().await;
    let options = EngineOptions {
        load_lag: Duration::from_hours(1),
        ..EngineOptions::default()
    };
    let engine = Engine::spawn(options).await.unwrap();
    engine.update_faults(|faults| faults.stall_work = true);
    let handle = prefill(&source, "a", "p").await;
    let body = decode_body(&source, &handle, "a", "p", 0).to_string();
    let mut sender = connect(engine.addr()).await.unwrap();
    let stream = send(&mut sender, "POST", "/v1/decode", &body)
        .await
        .unwrap();

    let (_, load) = call(engine.addr(), "GET", "/v1/load", Value::Null).await;

    assert_eq!(load["used"], 0);
    assert_eq!(engine.slots_used(), 1);
    assert!(!stream.body().is_end_stream());
}
