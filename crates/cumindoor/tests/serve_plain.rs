//! Calls to plain services.

mod common;

use std::time::Duration;

use common::{Answer, Fleet, FleetOptions, wait_until};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

async fn start(once: bool, plains: usize) -> Fleet {
    let mut plan = FleetOptions::default();
    plan.services[1].once = once;
    plan.plains = plains;
    plan.prefills = 0;
    plan.decodes = 0;
    plan.serve.timeouts.plain = Duration::from_millis(500);
    plan.start().await
}

async fn call(fleet: &Fleet, key: &str) -> Answer {
    let headers = [("idempotency-key", key)];
    let body = r#"{"item":"saffron"}"#.to_owned();
    common::post(fleet.server.addr(), "/stock/orders?day=2", &headers, body).await
}

fn runs(fleet: &Fleet, key: &str) -> u32 {
    fleet.plains.iter().map(|plain| plain.runs(key)).sum()
}

/// Guards against calls that reach the upstream with another body or path.
#[tokio::test]
async fn passes_a_call_through() {
    let fleet = start(false, 1).await;

    let answer = call(&fleet, "k1").await;
    let status = answer.status;
    let text = answer.text().await;

    assert_eq!(status, 200);
    assert!(text.contains("saffron"), "{text}");
    assert!(text.contains("/orders"), "{text}");
    assert_eq!(runs(&fleet, "k1"), 1);
}

/// Guards against an at-most-once call that is sent again after its upstream failed.
#[tokio::test]
async fn a_once_only_call_is_not_repeated_after_its_dispatch() {
    for after_run in [false, true] {
        let fleet = start(true, 2).await;
        for plain in &fleet.plains {
            plain.update_faults(|fault| {
                fault.fail_before = !after_run;
                fault.fail_after = after_run;
            });
        }

        let answer = call(&fleet, "once").await;
        let status = answer.status;
        let error = answer.json().await["error"].clone();

        assert_eq!(status, 503);
        assert_eq!(error["kind"], "unknown");
        assert_eq!(runs(&fleet, "once"), u32::from(after_run));
    }
}

/// Guards against an at-most-once call that hangs or is sent again when its response is lost.
#[tokio::test]
async fn a_once_only_call_without_an_answer_is_unknown() {
    let fleet = start(true, 2).await;
    for plain in &fleet.plains {
        plain.update_faults(|fault| fault.silent_after = true);
    }

    let error = call(&fleet, "lost").await.json().await["error"].clone();

    assert_eq!(error["kind"], "unknown");
    assert_eq!(runs(&fleet, "lost"), 1);
    wait_until("the router is idle", || fleet.router_idle()).await;
}

/// Guards against an at-most-once call that fails before its dispatch although another upstream is
/// available.
#[tokio::test]
async fn a_once_only_call_goes_elsewhere_before_its_dispatch() {
    let fleet = start(true, 2).await;
    fleet.plains[0].crash().await;

    for number in 0..4 {
        let key = format!("key-{number}");
        let answer = call(&fleet, &key).await;
        assert_eq!(answer.status, 200);
        assert_eq!(runs(&fleet, &key), 1);
    }
}

/// Guards against a refusal of kind `unknown` for a call that was never sent.
#[tokio::test]
async fn a_call_without_an_upstream_did_not_run() {
    let fleet = start(true, 2).await;
    for plain in &fleet.plains {
        plain.crash().await;
    }

    let answer = call(&fleet, "none").await;
    let status = answer.status;
    let error = answer.json().await["error"].clone();

    assert_eq!(status, 503);
    assert_eq!(error["kind"], "not-run");
    assert_eq!(runs(&fleet, "none"), 0);
}

/// Guards against a repeatable call that fails although another upstream is working.
#[tokio::test]
async fn a_repeatable_call_is_sent_to_another_upstream() {
    let fleet = start(false, 2).await;
    fleet.plains[0].update_faults(|fault| fault.fail_before = true);

    for number in 0..4 {
        let answer = call(&fleet, &format!("again-{number}")).await;
        assert_eq!(answer.status, 200);
    }
}

/// Guards against an at-most-once call that runs again when its caller resends it with the same key,
/// and against a second response that differs from the first.
#[tokio::test]
async fn a_repeated_key_runs_once() {
    let fleet = start(true, 2).await;

    let first = call(&fleet, "same").await;
    let second = call(&fleet, "same").await;
    let (first_status, second_status) = (first.status, second.status);
    let (first, second) = (first.text().await, second.text().await);

    assert_eq!(first_status, 200);
    assert_eq!(second_status, 200);
    assert_eq!(first, second);
    assert_eq!(runs(&fleet, "same"), 1);
}

/// Guards against a key that stays in use although its call was never sent.
#[tokio::test]
async fn a_key_is_free_again_if_nothing_was_sent() {
    let fleet = start(true, 1).await;
    fleet.plains[0].crash().await;
    let first = call(&fleet, "free").await.status;
    fleet.plains[0].restart().await.unwrap();

    let second = call(&fleet, "free").await.status;

    assert_eq!(first, 503);
    assert_eq!(second, 200);
    assert_eq!(runs(&fleet, "free"), 1);
}

/// Guards against a call of an at-most-once path that is sent again because its service allows
/// repeats.
#[tokio::test]
async fn a_once_only_path_is_not_repeated() {
    let mut plan = FleetOptions::default();
    plan.services[1].once_paths = vec![cumindoor::ini::PathPrefix("/orders".into())];
    plan.plains = 2;
    let fleet = plan.start().await;
    for plain in &fleet.plains {
        plain.update_faults(|fault| fault.fail_after = true);
    }

    let error = call(&fleet, "path").await.json().await["error"].clone();

    assert_eq!(error["kind"], "unknown");
    assert_eq!(runs(&fleet, "path"), 1);
}

/// Guards against large bodies that are buffered as a whole or arrive changed.
#[tokio::test]
async fn streams_large_bodies() {
    let fleet = start(true, 1).await;
    let body = "saffron ".repeat(200_000);

    let key = [("idempotency-key", "bulk")];
    let answer = common::post(fleet.server.addr(), "/stock/bulk", &key, body.clone()).await;
    let json = answer.json().await;

    assert_eq!(json["body"], body);
}

/// Guards against a truncated response of an upstream that looks complete to the caller.
#[tokio::test]
async fn a_truncated_response_is_not_complete() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let raw = common::upstream("raw", "stock", None, listener.local_addr().unwrap());
    let fleet = FleetOptions::default().start().await;
    let stock = common::service("stock", cumindoor::serve::ServiceKind::Plain);
    fleet.table.replace(vec![stock], vec![raw]);
    let truncate = async {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut head = vec![0; 4096];
        let _ = stream.read(&mut head).await.unwrap();
        let start = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n";
        stream.write_all(start).await.unwrap();
    };

    let call = common::post(fleet.server.addr(), "/stock/x", &[], String::new());
    let (answer, ()) = tokio::join!(call, truncate);

    assert_eq!(answer.status, 200);
    assert!(answer.try_text().await.is_err());
}
