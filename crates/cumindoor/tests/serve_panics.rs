//! Panics of supervised tasks while a request runs.

mod common;

use common::{FleetOptions, expected, wait_until, with_timeout};
use rstest::rstest;

/// Guards against a router that stops serving or interrupts running streams after a task panics.
#[rstest]
#[case("callers")]
#[case("cancels")]
#[case("idle-connections")]
#[case("metrics")]
#[case("engine-list")]
#[case("schedulers")]
#[case("engine-load")]
#[case("orphans")]
#[tokio::test]
async fn serves_on_after_a_panic(#[case] task: &'static str) {
    let fleet = FleetOptions::default().start().await;
    let (running, _) = fleet.stalled_chat("Running", 60).await;
    let restarted = format!("supervisor.{task}.restarted");

    fleet.server.supervisor().inject_panic(task);
    wait_until("the restart", || fleet.counter(&restarted) == 1).await;
    fleet.resume_decodes();
    let next = fleet.chat("Next", 60, true).await.events().await;
    let running = with_timeout("the running stream", running).await.unwrap();

    assert_eq!(next.text, expected("Next", 60));
    assert!(next.done);
    assert_eq!(running.text, expected("Running", 60));
    assert!(running.done);
    fleet.nothing_held().await;
}

/// Guards against requests that wait forever because their scheduler panicked.
#[tokio::test]
async fn waiting_requests_survive_the_scheduler() {
    let fleet = FleetOptions::default().start().await;
    fleet
        .engines()
        .for_each(|e| e.update_faults(|fault| fault.reject_all = true));
    let chat = async { fleet.chat("Waiting", 60, true).await.events().await };
    let fail = async {
        let context = fleet.server.context();
        wait_until("the request waits", || context.live.len() == 1).await;
        fleet.server.supervisor().inject_panic("schedulers");
        let restarted = || fleet.counter("supervisor.schedulers.restarted") == 1;
        wait_until("the restart", restarted).await;
        fleet
            .engines()
            .for_each(|e| e.update_faults(|fault| fault.reject_all = false));
    };

    let (events, ()) = tokio::join!(chat, fail);

    assert_eq!(events.text, expected("Waiting", 60));
    assert!(events.done);
}
