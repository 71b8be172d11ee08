//! Gateway processes and requests that crash the engines that run them.

#[path = "../../../platform/tests/support/mod.rs"]
#[expect(
    dead_code,
    reason = "the tests of the adapter use the other parts of this module"
)]
mod support;

#[path = "../../../platform/tests/support/fleet.rs"]
mod fleet;

use std::collections::BTreeSet;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use fleet::{Crash, CrashingEngine, EngineOptions, Fleet, arrivals_by_engine};
use rstest::rstest;
use support::wait_until;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

/// Time after the third crash from which retries count.
const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// Retries that may reach engines after that time.
const ALLOWED_RETRIES: usize = 3;
/// Crashes after which a request is known to crash engines.
const CRASHES: usize = 3;
/// Tries within which a poison request crashes that many engines if nothing stops it.
const TRIES: usize = 60;
const GATEWAYS: u8 = 8;
/// Body of the request that crashes engines, and the last part of its caller's address.
const POISON: (&str, u8) = ("poison 1", 7);

const PLAIN: EngineOptions = EngineOptions {
    service: "plain",
    stage: "",
    crash: Crash::Reset,
    vulnerable: true,
    work: Duration::from_millis(30),
    downtime: Duration::from_millis(900),
};
const PREFILL: EngineOptions = EngineOptions {
    service: "model",
    stage: "prefill",
    ..PLAIN
};
const DECODE: EngineOptions = EngineOptions {
    stage: "decode",
    work: Duration::from_millis(80),
    ..PREFILL
};

async fn start_fleet(count: u8) -> Fleet {
    let program = Path::new(env!("CARGO_BIN_EXE_cumindoor"));
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR"));
    Fleet::spawn(program, directory, count).await
}

async fn start_engines(fleet: &Fleet, kinds: &[(EngineOptions, usize)]) -> Vec<CrashingEngine> {
    let mut engines = Vec::new();
    for (options, count) in kinds {
        for _ in 0..*count {
            let engine = CrashingEngine::spawn(&fleet.store, engines.len(), *options).await;
            engines.push(engine);
        }
    }
    engines
}

/// Waits until a request is answered through each gateway, so that all know routes and engines.
async fn wait_until_ready(fleet: &Fleet) {
    for gateway in 0..fleet.gateways.len() {
        let served = async {
            let answered = |reply: Option<(u16, String)>| reply.is_some_and(|r| r.0 == 200);
            while !answered(fleet.call(gateway, 200, ("/safe/ready", "ready")).await) {
                sleep(Duration::from_millis(20)).await;
            }
        };
        served.await;
    }
}

fn crashes(engines: &[CrashingEngine]) -> Vec<Instant> {
    let mut all: Vec<Instant> = engines.iter().flat_map(CrashingEngine::crashes).collect();
    all.sort();
    all
}

async fn wait_until_up(engines: &[CrashingEngine]) {
    wait_until("the engines are back", || {
        engines.iter().all(CrashingEngine::is_up)
    })
    .await;
}

/// Returns the arrivals of the poison request that the rule on crashing requests counts.
fn counted_retries(engines: &[CrashingEngine]) -> usize {
    let crashes = crashes(engines);
    let Some(third) = crashes.get(CRASHES - 1) else {
        return 0;
    };
    let arrivals = engines.iter().flat_map(CrashingEngine::arrivals);
    let poison = arrivals.filter(|arrival| arrival.body == POISON.0);
    poison.filter(|a| a.at > *third + STABLE_WINDOW).count()
}

/// Returns the number of tries of the caller of the poison request and of failed attempts at engines
/// for them, as the gateways log them, for messages of failed tests.
fn logged_tries(fleet: &Fleet) -> (usize, usize) {
    let failed = fleet.events("attempt failed");
    let of_poison = |line: &&serde_json::Value| {
        let others = failed
            .iter()
            .filter(|other| other["content"] == line["content"]);
        others.count() >= CRASHES
    };
    let lines: Vec<&serde_json::Value> = failed.iter().filter(of_poison).collect();
    let ids: BTreeSet<String> = lines.iter().map(|line| line["id"].to_string()).collect();
    (ids.len(), lines.len())
}

/// Sends the poison request through the gateways in turn until it has crashed three engines.
async fn send_until_third_crash(fleet: &Fleet, engines: &[CrashingEngine], path: &str) {
    for number in 0..TRIES {
        if crashes(engines).len() >= CRASHES {
            break;
        }
        let gateway = number % fleet.gateways.len();
        fleet.call(gateway, POISON.1, (path, POISON.0)).await;
    }
}

/// Sends the poison request twice through each gateway while all engines are up.
async fn send_through_all(fleet: &Fleet, engines: &[CrashingEngine], path: &str) {
    for number in 0..2 * fleet.gateways.len() {
        wait_until_up(engines).await;
        let gateway = number % fleet.gateways.len();
        fleet.call(gateway, POISON.1, (path, POISON.0)).await;
    }
}

/// Checks that no more retries than allowed reached the engines.
fn assert_retries_allowed(fleet: &Fleet, engines: &[CrashingEngine]) {
    let sent = arrivals_by_engine(engines, POISON.0);
    let ended = crashes(engines).len();
    let (tries, attempts) = logged_tries(fleet);
    println!("arrivals {sent:?}, {ended} crashes, {tries} tries, {attempts} failed attempts");
    assert!(ended >= CRASHES, "{ended} crashes show nothing");
    let retries = counted_retries(engines);
    assert!(retries <= ALLOWED_RETRIES, "{retries} retries, {sent:?}");
}

/// Sends requests of innocent callers until `end`. Returns the responses of the gateways that
/// refuse them as poison.
async fn send_bystanders(fleet: Arc<Fleet>, path: &'static str, end: CancellationToken) -> u32 {
    let mut refused = 0;
    let mut number: u8 = 0;
    while !end.is_cancelled() {
        number = number.wrapping_add(1);
        let body = format!("innocent {}", number % 16);
        let gateway = usize::from(number) % fleet.gateways.len();
        let call = (&*format!("{path}{}", number % 16), &*body);
        let reply = fleet.call(gateway, 100 + number % 16, call).await;
        refused += u32::from(reply.is_some_and(|reply| reply.1 == "poison\n"));
        sleep(Duration::from_millis(15)).await;
    }
    refused
}

#[rstest]
#[case::plain_reset("/safe/x", Crash::Reset, &[(PLAIN, 4)])]
#[case::plain_dark("/safe/x", Crash::Dark, &[(PLAIN, 4)])]
#[case::plain_unlisted("/safe/x", Crash::Unlisted, &[(PLAIN, 4)])]
#[case::prefill_reset("/resume/x", Crash::Reset, &[(PLAIN, 1), (PREFILL, 4), (DECODE, 3)])]
#[case::prefill_dark("/resume/x", Crash::Dark, &[(PLAIN, 1), (PREFILL, 4), (DECODE, 3)])]
#[case::prefill_unlisted("/resume/x", Crash::Unlisted, &[(PLAIN, 1), (PREFILL, 4), (DECODE, 3)])]
#[case::decode_reset("/stream/x", Crash::Reset, &[(PLAIN, 1), (PREFILL, 3), (DECODE, 4)])]
#[case::decode_dark("/stream/x", Crash::Dark, &[(PLAIN, 1), (PREFILL, 3), (DECODE, 4)])]
#[case::decode_unlisted("/stream/x", Crash::Unlisted, &[(PLAIN, 1), (PREFILL, 3), (DECODE, 4)])]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_that_crashes_engines_is_not_sent_to_engines_again(
    #[case] path: &'static str,
    #[case] crash: Crash,
    #[case] kinds: &[(EngineOptions, usize)],
) {
    let target = match path {
        "/safe/x" => "",
        "/resume/x" => "prefill",
        _ => "decode",
    };
    let kinds: Vec<(EngineOptions, usize)> = kinds
        .iter()
        .map(|(options, count)| {
            let vulnerable = options.stage == target;
            (
                EngineOptions {
                    crash,
                    vulnerable,
                    ..*options
                },
                *count,
            )
        })
        .collect();
    let fleet = Arc::new(start_fleet(GATEWAYS).await);
    let engines = start_engines(&fleet, &kinds).await;
    wait_until_ready(&fleet).await;
    let end = CancellationToken::new();
    let bystanders = tokio::spawn(send_bystanders(Arc::clone(&fleet), path, end.clone()));

    send_until_third_crash(&fleet, &engines, path).await;
    sleep(STABLE_WINDOW).await;
    send_through_all(&fleet, &engines, path).await;
    end.cancel();

    assert_retries_allowed(&fleet, &engines);
    assert_eq!(
        bystanders.await.unwrap(),
        0,
        "innocent requests were refused"
    );
}

/// How gateways lose their memory of crashes.
#[derive(Clone, Copy, Debug)]
enum Restart {
    /// Each is killed and started anew while the others run.
    InTurn,
    /// All are killed and started anew at once.
    All,
}

#[rstest]
#[case::in_turn(Restart::InTurn)]
#[case::all(Restart::All)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn restarted_gateways_do_not_send_a_crashing_request_on_and_on(#[case] restart: Restart) {
    let mut fleet = start_fleet(GATEWAYS).await;
    let engines = start_engines(&fleet, &[(PLAIN, 4)]).await;
    wait_until_ready(&fleet).await;
    send_until_third_crash(&fleet, &engines, "/safe/x").await;
    sleep(STABLE_WINDOW).await;
    wait_until_up(&engines).await;

    for number in 0..GATEWAYS {
        fleet.restart(number);
        if matches!(restart, Restart::InTurn) {
            wait_until_ready(&fleet).await;
        }
    }
    wait_until_ready(&fleet).await;
    send_through_all(&fleet, &engines, "/safe/x").await;

    assert_retries_allowed(&fleet, &engines);
}
