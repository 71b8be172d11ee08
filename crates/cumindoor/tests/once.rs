//! At-most-once requests through several VMs: each runs at most once, and a refusal states
//! correctly whether the request may have run.

mod common;

use std::time::Duration;

use common::once::{ClaimFleet, document};
use common::{wait_until, with_timeout};
use coord::claim::ClaimOptions;
use cumindoor::serve::route::{ClaimKey, Claims, Decision};

/// Two VMs receive a request with the same key at the same time. The request must run only once,
/// and both callers must receive the answer.
#[tokio::test]
async fn a_key_sent_through_two_vms_runs_once() {
    let fleet = ClaimFleet::start(3).await;

    for number in 0..8 {
        let key = format!("order-{number}");
        let (first, second) = tokio::join!(
            fleet.call_until_decided("vm-1", &key),
            fleet.call_until_decided("vm-2", &key)
        );

        assert_eq!((first.0, second.0), (200, 200), "{first:?} {second:?}");
        assert_eq!(first.1, second.1);
        assert_eq!(fleet.desk.runs(&key), 1);
    }
}

/// A VM crashes in the middle of a call. The call must not run again when its caller repeats it
/// with the same key on another VM.
#[tokio::test]
async fn a_key_runs_once_when_its_vm_ends() {
    let mut fleet = ClaimFleet::start(3).await;
    fleet.desk.update_faults(|fault| fault.silent_after = true);
    let first = {
        let addr = fleet.vms["vm-1"].node.addr();
        let headers = [("idempotency-key", "lost")];
        let request = common::request("/desk/orders", &headers, "{}".to_owned());
        tokio::spawn(async move { common::send(addr, request).await.map(|a| a.status) })
    };
    wait_until("the call runs", || fleet.desk.runs("lost") == 1).await;

    fleet.crash("vm-1");
    let _ = first.await.unwrap();
    fleet.desk.update_faults(|fault| fault.silent_after = false);
    let again = fleet.call_desk("vm-2", "lost").await;
    let error = again.json().await["error"].clone();

    assert_eq!(error["kind"], "unknown");
    assert_eq!(fleet.desk.runs("lost"), 1);
}

/// A restart loses the records of granted keys, so a restarted VM must not grant them again. Here
/// two of three VMs restart after a call ran, and their new grants would be a majority.
#[tokio::test]
async fn a_restarted_vm_does_not_grant() {
    let mut fleet = ClaimFleet::start(3).await;
    assert_eq!(fleet.call_until_decided("vm-1", "kept").await.0, 200);

    for name in ["vm-2", "vm-3"] {
        fleet.crash(name);
        fleet.boot(name, Duration::ZERO).await;
    }
    fleet.crash("vm-1");
    fleet.set_reachability(|_, _| true).await;
    let served = |name| !fleet.vms[name].node.in_force().is_empty();
    wait_until("the document is in force", || served("vm-2")).await;
    let again = fleet.call_desk("vm-2", "kept").await;
    let error = again.json().await["error"].clone();

    assert!(!fleet.vms["vm-2"].claims.ready());
    assert_eq!(error["kind"], "unknown");
    assert_eq!(fleet.desk.runs("kept"), 1);
}

/// The minority side of a network partition must not run a call without a quorum, and must not
/// answer `not-run` for a call that the other side ran.
#[tokio::test]
async fn a_minority_side_refuses_truly() {
    let fleet = ClaimFleet::start(5).await;
    assert_eq!(fleet.call_until_decided("vm-1", "before").await.0, 200);
    let minority = |name: &str| name > "vm-3";
    fleet
        .set_reachability(|from, to| minority(from) == minority(to))
        .await;

    let repeated = fleet.call_desk("vm-4", "before").await.json().await["error"].clone();
    let fresh = fleet.call_desk("vm-5", "during").await.json().await["error"].clone();
    let majority = fleet.call_until_decided("vm-2", "during").await.0;

    assert_eq!(repeated["kind"], "unknown");
    assert_eq!(fleet.desk.runs("before"), 1);
    // Two grants of five do not exclude that the three VMs of the other side ran the call.
    assert_eq!(fresh["kind"], "unknown");
    assert!(fresh["retry_after_ms"].as_u64().is_some(), "{fresh}");
    assert_eq!(majority, 200);
    assert_eq!(fleet.desk.runs("during"), 1);
}

/// Two of four VMs cannot run a call, but their grants prove that the other two did not run it
/// either. The refusal must then be `not-run` and not `unknown`, and the call must run only after
/// its caller sends it again.
#[tokio::test]
async fn half_a_fleet_proves_that_a_key_did_not_run() {
    let fleet = ClaimFleet::start(4).await;
    let half = |name: &str| name > "vm-2";
    fleet
        .set_reachability(|from, to| half(from) == half(to))
        .await;

    // A slow machine may need several rounds, because an expired grant proves nothing.
    let refusal = async {
        loop {
            let answer = fleet.call_desk("vm-1", "halved").await;
            assert_ne!(answer.status, 200);
            let refused = answer.json().await["error"].clone();
            if refused["kind"] == "not-run" {
                return refused;
            }
        }
    };
    let refused = with_timeout("a proof", refusal).await;
    let runs = fleet.desk.runs("halved");
    fleet.set_reachability(|_, _| true).await;
    let healed = fleet.call_until_decided("vm-3", "halved").await.0;

    assert_eq!(refused["reason"], "claim-undecided");
    assert_eq!(runs, 0);
    assert_eq!(healed, 200);
    assert_eq!(fleet.desk.runs("halved"), 1);
}

/// The same key must be independent for each service. An at-most-once call without a key must be
/// refused, because nothing would prevent a second run.
#[tokio::test]
async fn keys_are_required_and_belong_to_their_service() {
    let fleet = ClaimFleet::start(1).await;
    let addr = fleet.vms["vm-1"].node.addr();
    let chat = common::chat_body("Buy", 5, false).replace("\"chat\"", "\"buy\"");
    let headers = [("idempotency-key", "shared")];

    let unkeyed = common::post(addr, "/desk/orders", &[], "{}".to_owned()).await;
    let status = unkeyed.status;
    let error = unkeyed.json().await["error"].clone();
    let call = fleet.call_desk("vm-1", "shared").await.status;
    let model = common::post(addr, "/v1/chat/completions", &headers, chat).await;

    assert_eq!(status, 400);
    assert_eq!(error["kind"], "not-run");
    assert_eq!(error["reason"], "key-required");
    assert_eq!(fleet.desk.runs(""), 0);
    assert_eq!((call.as_u16(), model.status.as_u16()), (200, 200));
}

/// A call without a key must not be refused if the document allows it.
#[tokio::test]
async fn a_document_can_allow_calls_without_a_key() {
    let fleet = ClaimFleet::with(1, &document("require-key = no\n")).await;
    let addr = fleet.vms["vm-1"].node.addr();

    let answer = common::post(addr, "/desk/orders", &[], "{}".to_owned()).await;

    assert_eq!(answer.status, 200);
}

/// An at-most-once model request must not run again when it is repeated on another VM.
#[tokio::test]
async fn a_model_request_runs_once() {
    let fleet = ClaimFleet::start(3).await;

    let first = fleet.request_model("vm-1", "model", "Buy").await.unwrap();
    let events = first.events().await;
    let second = fleet.request_model("vm-2", "model", "Buy").await.unwrap();
    second.text().await;

    assert_eq!(events.text, common::expected("Buy", 5));
    assert!(events.done);
    assert_eq!(fleet.prefill.counts().prefills, 1);
}

/// The claim of a request expires while the request waits for the only slot of the engine. The
/// request must be neither sent with the expired claim nor refused; the claim must be renewed.
///
/// The short `prefill-ttl` keeps the second prefill from starting while the slot is taken, because
/// its result could expire before the slot is free.
#[tokio::test]
async fn a_claim_that_lapsed_in_the_queue_is_made_again() {
    let short = document("").replace("prefill-ttl = 10 s", "prefill-ttl = 500 ms");
    let fleet = ClaimFleet::with(3, &short).await;
    fleet.decode.update_faults(|fault| fault.stall_work = true);
    let running = fleet.request_model("vm-1", "running", "First");
    wait_until("the slot is taken", || fleet.decode.slots_used() == 1).await;
    let waiting = fleet.request_model("vm-2", "waiting", "Second");
    // This exceeds a claim round, so the first claim has certainly expired.
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert_eq!(fleet.prefill.counts().prefills, 1);

    fleet.decode.update_faults(|fault| fault.stall_work = false);
    for (answer, text) in [(running, "First"), (waiting, "Second")] {
        let answer = answer.await.unwrap();
        assert_eq!(answer.status, 200, "{text}");
        let events = answer.events().await;
        assert_eq!(events.text, common::expected(text, 5));
        assert!(events.done);
    }

    assert_eq!(fleet.prefill.counts().prefills, 2);
}

/// A dispatch with a grant that is older than a claim round must be refused, because a VM that was
/// restarted may have granted the key to another request in the meantime.
#[tokio::test]
async fn an_old_grant_does_not_allow_a_dispatch() {
    let fleet = ClaimFleet::start(3).await;
    let key = ClaimKey {
        organisation: "celeste".into(),
        service: "desk".into(),
        key: "old".to_owned(),
    };
    let claims = fleet.vms["vm-1"].claims.clone();
    let mut grant = loop {
        if let Ok(Decision::Run(grant)) = claims.claim(&key, None).await {
            break grant;
        }
    };

    tokio::time::sleep(ClaimOptions::default().round_limit * 3 / 2).await;
    let dispatch = grant.dispatch();
    grant.end(false);

    assert!(dispatch.is_err());
    assert_eq!(fleet.call_until_decided("vm-2", "old").await.0, 200);
}
