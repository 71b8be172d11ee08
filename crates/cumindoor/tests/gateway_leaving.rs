//! Gateway processes and engines that state that they are leaving, or that they take nothing for a while.

#[path = "../../../platform/tests/support/mod.rs"]
#[expect(
    dead_code,
    reason = "the tests of the adapter use the other parts of this module"
)]
mod support;

#[path = "../../../platform/tests/support/fleet.rs"]
#[expect(
    dead_code,
    reason = "the tests of crashing requests use the other parts of this module"
)]
mod fleet;

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use fleet::{Answering, Crash, CrashingEngine, EngineOptions, Fleet};
use rstest::rstest;
use support::wait_until;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

/// Time between two requests of the load.
const PAUSE: Duration = Duration::from_millis(10);
/// Length of the load before and after an engine is known to have stated something.
const LOAD_TIME: Duration = Duration::from_secs(1);
/// Time after which requests count that reach an engine which is leaving.
const DRAIN_TIME: Duration = Duration::from_secs(2);
/// Time after which requests count that reach an engine which takes nothing.
const PAUSE_SLACK: Duration = Duration::from_millis(500);
/// Requests of one gateway that may reach such an engine later than that.
const ALLOWED_LATER: usize = 2;

const PLAIN: EngineOptions = EngineOptions {
    service: "plain",
    stage: "",
    crash: Crash::Reset,
    vulnerable: false,
    work: Duration::from_millis(30),
    downtime: Duration::from_millis(900),
};

/// Starts gateways and three plain engines, and waits until all gateways know them.
async fn start(gateways: u8) -> (Arc<Fleet>, Vec<CrashingEngine>) {
    let program = Path::new(env!("CARGO_BIN_EXE_cumindoor"));
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let fleet = Fleet::spawn(program, directory, gateways).await;
    let engines = fleet.start_engines(&[(PLAIN, 3)]).await;
    for gateway in 0..fleet.gateways.len() {
        let ready = async || fleet.call(gateway, 200, ("/safe/ready", "ready")).await;
        while ready().await.is_none_or(|reply| reply.0 != 200) {
            sleep(Duration::from_millis(20)).await;
        }
    }
    (Arc::new(fleet), engines)
}

/// Sends requests through the gateways in turn for a time. Returns the statuses, or 0 where there was none.
async fn send_load(fleet: &Arc<Fleet>, time: Duration) -> Vec<u16> {
    let mut calls = JoinSet::new();
    let end = Instant::now() + time;
    let mut number = 0;
    while Instant::now() < end {
        let (fleet, gateway) = (Arc::clone(fleet), number % fleet.gateways.len());
        calls.spawn(async move {
            let reply = fleet.call(gateway, 100, ("/safe/x", "sound")).await;
            reply.map_or(0, |reply| reply.0)
        });
        number += 1;
        sleep(PAUSE).await;
    }
    calls.join_all().await
}

fn arrivals_since(engine: &CrashingEngine, since: Instant) -> usize {
    let arrivals = engine.arrivals();
    arrivals.iter().filter(|arrival| arrival.at > since).count()
}

#[rstest]
#[case::three_gateways(3)]
#[case::eight_gateways(8)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_gateway_sends_requests_to_an_engine_that_told_one_of_them_that_it_leaves(
    #[case] gateways: u8,
) {
    let (fleet, engines) = start(gateways).await;
    engines[0].add_header("server-leaving", "1");
    while fleet.events("leaving stated").is_empty() {
        send_load(&fleet, LOAD_TIME / 10).await;
    }
    sleep(DRAIN_TIME).await;
    let since = Instant::now();

    let statuses = send_load(&fleet, 2 * LOAD_TIME).await;

    assert_eq!(arrivals_since(&engines[0], since), 0);
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
}

#[rstest]
#[case::one_engine(&[0])]
#[case::all_engines(&[0, 1, 2])]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn engines_that_take_nothing_for_a_while_are_left_alone(#[case] refusing: &[usize]) {
    let (fleet, engines) = start(4).await;
    for engine in refusing {
        engines[*engine].answer_with(Answering::Refused);
        engines[*engine].add_header("retry-after", "60");
    }
    let events = refusing.len() * fleet.gateways.len();
    while fleet.events("pause stated").len() < events {
        send_load(&fleet, LOAD_TIME / 10).await;
    }
    sleep(PAUSE_SLACK).await;
    let since = Instant::now();

    let statuses = send_load(&fleet, 2 * LOAD_TIME).await;

    let expected = if refusing.len() == engines.len() {
        503
    } else {
        200
    };
    assert!(
        statuses.iter().all(|status| *status == expected),
        "{statuses:?}"
    );
    for engine in refusing {
        let later = arrivals_since(&engines[*engine], since);
        assert!(
            later <= ALLOWED_LATER * fleet.gateways.len(),
            "{later} requests"
        );
    }
    wait_until("the refusals are logged", || {
        expected == 200 || !fleet.events("pause refused").is_empty()
    })
    .await;
}
