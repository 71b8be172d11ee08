//! Callers that send a key again get the answer of its only run.

mod common;

use common::once::{Once, buy_body};
use common::{Answer, expected, wait_until};

/// Waits until `count` callers read answers that `vm` holds, besides the first ones.
async fn readers(once: &Once, vm: &str, count: usize) {
    let answers = &once.vms[vm].node.server().context().answers;
    wait_until("callers are attached", || answers.readers() == count).await;
}

async fn whole(answer: Answer, text: &str) {
    let events = answer.events().await;
    assert_eq!(events.error, None);
    assert_eq!(events.text, expected(text, 5));
    assert!(events.done);
}

/// Guards against an attached caller that misses the beginning of a stream, gets parts of it
/// twice, or starts a second run; also after the end of the stream.
#[tokio::test]
async fn an_attached_caller_gets_the_whole_stream() {
    let once = Once::start(3).await;
    once.decode.update_faults(|fault| fault.stall_work = true);
    let first = once.buy("vm-1", "stream", "Tell me");
    wait_until("the stream runs", || once.decode.slots_used() == 1).await;
    let other_vm = once.buy("vm-2", "stream", "Tell me");
    let same_vm = once.buy("vm-1", "stream", "Tell me");
    readers(&once, "vm-1", 2).await;

    once.decode.update_faults(|fault| fault.stall_work = false);
    for answer in [first, other_vm, same_vm] {
        whole(answer.await.unwrap(), "Tell me").await;
    }
    let late = once.buy("vm-3", "stream", "Tell me").await.unwrap();
    whole(late, "Tell me").await;

    assert_eq!(once.prefill.counts().prefills, 1);
    assert_eq!(once.decode.counts().decodes, 1);
}

/// Guards against work that is cancelled although another caller waits for it, and against
/// engine memory that is held once the last caller is gone.
#[tokio::test]
async fn work_goes_on_for_the_new_caller() {
    let once = Once::start(3).await;
    once.decode.update_faults(|fault| fault.stall_work = true);
    let first = once.buy("vm-1", "left", "Go on");
    wait_until("the stream runs", || once.decode.slots_used() == 1).await;
    let second = once.buy("vm-2", "left", "Go on");
    readers(&once, "vm-1", 1).await;

    first.abort();
    let server = once.vms["vm-1"].node.server();
    wait_until("the first caller is gone", || server.connections() == 0).await;
    once.decode.update_faults(|fault| fault.stall_work = false);
    whole(second.await.unwrap(), "Go on").await;

    once.decode.update_faults(|fault| fault.stall_work = true);
    let only = once.buy("vm-1", "alone", "Stop");
    wait_until("the stream runs", || once.decode.slots_used() == 1).await;
    only.abort();
    let empty = || once.decode.held_ids().is_empty() && once.prefill.held_ids().is_empty();
    wait_until("engines hold nothing", empty).await;
    assert_eq!(once.decode.counts().decodes, 2);
}

/// Guards against an attached caller that takes a partial answer for a complete one, or waits
/// for ever, when the VM that holds the answer ends.
#[tokio::test]
async fn the_outcome_is_unknown_when_the_holder_ends() {
    let mut once = Once::start(3).await;
    once.decode.update_faults(|fault| fault.stall_work = true);
    let first = once.buy("vm-1", "cut", "Lost");
    wait_until("the stream runs", || once.decode.slots_used() == 1).await;
    let second = once.buy("vm-2", "cut", "Lost");
    readers(&once, "vm-1", 1).await;

    once.crash("vm-1");
    let error = second.await.unwrap().json().await["error"].clone();
    let addr = once.vms["vm-3"].node.addr();
    let headers = [("idempotency-key", "cut")];
    let again = common::post(addr, "/v1/chat/completions", &headers, buy_body("Lost")).await;
    let again = again.json().await["error"].clone();

    assert_eq!(error["kind"], "unknown");
    assert_eq!(error["reason"], "holder-lost");
    assert_eq!(again["kind"], "unknown");
    assert_eq!(once.prefill.counts().prefills, 1);
    first.abort();
}

/// Guards against a caller that gets the answer to another request because it reused its key.
#[tokio::test]
async fn a_reused_key_gets_no_answer() {
    let once = Once::start(2).await;
    whole(once.buy("vm-1", "reused", "One").await.unwrap(), "One").await;

    for vm in ["vm-1", "vm-2"] {
        let answer = once.buy(vm, "reused", "Another").await.unwrap();
        assert_eq!(answer.status, 422);
        assert_eq!(answer.json().await["error"]["reason"], "key-reused");
    }

    assert_eq!(once.prefill.counts().prefills, 1);
}

/// Guards against a plain call whose answer is lost with its caller: the work is done, so the
/// answer is kept for a caller that sends the key again.
#[tokio::test]
async fn a_call_is_answered_after_its_caller_left() {
    let once = Once::start(3).await;
    once.desk.set_delay(std::time::Duration::from_millis(200));
    let addr = once.vms["vm-1"].node.addr();
    let headers = [("idempotency-key", "gone")];
    let request = common::request("/desk/orders", &headers, "{}".to_owned());
    let first = tokio::spawn(async move { common::send(addr, request).await.map(|a| a.status) });
    let server = once.vms["vm-1"].node.server();
    wait_until("the call is kept", || !server.context().answers.is_empty()).await;

    first.abort();
    let (status, text) = once.decided("vm-2", "gone").await;

    assert_eq!(status, 200, "{text}");
    assert_eq!(once.desk.runs("gone"), 1);
}
