//! Callers that repeat a key receive the answer of the one run of its request.

mod common;

use common::once::{ClaimFleet, model_body};
use common::{Answer, expected, wait_until};

/// Waits until `count` attached callers read answers that `vm` holds. The callers that started the
/// requests are not counted.
async fn wait_for_readers(fleet: &ClaimFleet, vm: &str, count: usize) {
    let answers = &fleet.vms[vm].node.server().context().answers;
    wait_until("callers are attached", || answers.readers() == count).await;
}

async fn assert_complete(answer: Answer, text: &str) {
    let events = answer.events().await;
    assert_eq!(events.error, None);
    assert_eq!(events.text, expected(text, 5));
    assert!(events.done);
}

/// Callers attach to a stream on the same VM and on another one, while it runs and after its end.
/// None of them may miss the beginning, receive a part twice or start a second run.
#[tokio::test]
async fn an_attached_caller_gets_the_whole_stream() {
    let fleet = ClaimFleet::start(3).await;
    fleet.decode.update_faults(|fault| fault.stall_work = true);
    let first = fleet.request_model("vm-1", "stream", "Tell me");
    wait_until("the stream runs", || fleet.decode.slots_used() == 1).await;
    let other_vm = fleet.request_model("vm-2", "stream", "Tell me");
    let same_vm = fleet.request_model("vm-1", "stream", "Tell me");
    wait_for_readers(&fleet, "vm-1", 2).await;

    fleet.decode.update_faults(|fault| fault.stall_work = false);
    for answer in [first, other_vm, same_vm] {
        assert_complete(answer.await.unwrap(), "Tell me").await;
    }
    let late = fleet
        .request_model("vm-3", "stream", "Tell me")
        .await
        .unwrap();
    assert_complete(late, "Tell me").await;

    assert_eq!(fleet.prefill.counts().prefills, 1);
    assert_eq!(fleet.decode.counts().decodes, 1);
}

/// When the first caller disconnects, the work must continue for an attached caller. When the only
/// caller disconnects, the engines must free the memory of the request.
#[tokio::test]
async fn work_goes_on_for_the_new_caller() {
    let fleet = ClaimFleet::start(3).await;
    fleet.decode.update_faults(|fault| fault.stall_work = true);
    let first = fleet.request_model("vm-1", "left", "Go on");
    wait_until("the stream runs", || fleet.decode.slots_used() == 1).await;
    let second = fleet.request_model("vm-2", "left", "Go on");
    wait_for_readers(&fleet, "vm-1", 1).await;

    first.abort();
    let server = fleet.vms["vm-1"].node.server();
    wait_until("the first caller is gone", || server.connections() == 0).await;
    fleet.decode.update_faults(|fault| fault.stall_work = false);
    assert_complete(second.await.unwrap(), "Go on").await;

    fleet.decode.update_faults(|fault| fault.stall_work = true);
    let only = fleet.request_model("vm-1", "alone", "Stop");
    wait_until("the stream runs", || fleet.decode.slots_used() == 1).await;
    only.abort();
    let empty = || fleet.decode.held_ids().is_empty() && fleet.prefill.held_ids().is_empty();
    wait_until("engines hold nothing", empty).await;
    assert_eq!(fleet.decode.counts().decodes, 2);
}

/// When the VM that holds the answer crashes, an attached caller must receive a failure. It must
/// neither treat the partial answer as complete nor wait forever.
#[tokio::test]
async fn the_outcome_is_unknown_when_the_holder_ends() {
    let mut fleet = ClaimFleet::start(3).await;
    fleet.decode.update_faults(|fault| fault.stall_work = true);
    let first = fleet.request_model("vm-1", "cut", "Lost");
    wait_until("the stream runs", || fleet.decode.slots_used() == 1).await;
    let second = fleet.request_model("vm-2", "cut", "Lost");
    wait_for_readers(&fleet, "vm-1", 1).await;

    fleet.crash("vm-1");
    let error = second.await.unwrap().json().await["error"].clone();
    let addr = fleet.vms["vm-3"].node.addr();
    let headers = [("idempotency-key", "cut")];
    let again = common::post(addr, "/v1/chat/completions", &headers, model_body("Lost")).await;
    let again = again.json().await["error"].clone();

    assert_eq!(error["kind"], "unknown");
    assert_eq!(error["reason"], "holder-lost");
    assert_eq!(again["kind"], "unknown");
    assert_eq!(fleet.prefill.counts().prefills, 1);
    first.abort();
}

/// A caller that reuses a key for another request must not receive the answer to the first one.
#[tokio::test]
async fn a_reused_key_gets_no_answer() {
    let fleet = ClaimFleet::start(2).await;
    assert_complete(
        fleet.request_model("vm-1", "reused", "One").await.unwrap(),
        "One",
    )
    .await;

    for vm in ["vm-1", "vm-2"] {
        let answer = fleet.request_model(vm, "reused", "Another").await.unwrap();
        assert_eq!(answer.status, 422);
        assert_eq!(answer.json().await["error"]["reason"], "key-reused");
    }

    assert_eq!(fleet.prefill.counts().prefills, 1);
}

/// When the caller of a plain service disconnects, the call still runs. Its answer must be kept for
/// a caller that repeats the key.
#[tokio::test]
async fn a_call_is_answered_after_its_caller_left() {
    let fleet = ClaimFleet::start(3).await;
    fleet.desk.set_delay(std::time::Duration::from_millis(200));
    let addr = fleet.vms["vm-1"].node.addr();
    let headers = [("idempotency-key", "gone")];
    let request = common::request("/desk/orders", &headers, "{}".to_owned());
    let first = tokio::spawn(async move { common::send(addr, request).await.map(|a| a.status) });
    let server = fleet.vms["vm-1"].node.server();
    wait_until("the call is kept", || !server.context().answers.is_empty()).await;

    first.abort();
    let (status, text) = fleet.call_until_decided("vm-2", "gone").await;

    assert_eq!(status, 200, "{text}");
    assert_eq!(fleet.desk.runs("gone"), 1);
}
