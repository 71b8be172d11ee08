//! Gateway processes that keep the limit on retries together, counted at engines.

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

use std::collections::BTreeSet;
use std::path::Path;
use std::sync::RwLock;
use std::time::Duration;

use fleet::{Answering, Crash, CrashingEngine, EngineOptions, Fleet};
use hyper::body::Bytes;
use rstest::rstest;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

/// Window in which the rule counts.
const WINDOW: Duration = Duration::from_secs(10);
/// Retries that the rule allows for each request.
const RATIO: f64 = 0.2;
/// Retries that it allows in addition in each window.
const SLACK: f64 = 56.0;
const GATEWAYS: u8 = 8;
/// Time between two requests of the load.
const PAUSE: Duration = Duration::from_millis(25);
/// Time for which the load lasts.
const LOAD_TIME: Duration = Duration::from_secs(8);

const PLAIN: EngineOptions = EngineOptions {
    service: "plain",
    stage: "",
    crash: Crash::Reset,
    vulnerable: false,
    work: Duration::from_millis(30),
    downtime: Duration::from_millis(400),
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

const PLAIN_ONLY: &[(EngineOptions, usize)] = &[(PLAIN, 4)];
const STAGED: &[(EngineOptions, usize)] = &[(PREFILL, 4), (DECODE, 5)];
const UNSTAGED: &[(EngineOptions, usize)] = &[(DECODE, 9)];

/// What happens to the gateways while the load lasts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trouble {
    Nothing,
    /// All are killed and started anew, three times within a window.
    AllKilled,
    /// One after the other is killed and started anew.
    KilledInTurn,
    /// One after the other is stopped for two seconds and goes on.
    Frozen,
}

/// The requests of the load.
struct Load {
    /// When each was sent.
    sent: Vec<Instant>,
    /// Number of those that were answered with success.
    served: usize,
}

async fn start_fleet() -> Fleet {
    let program = Path::new(env!("CARGO_BIN_EXE_cumindoor"));
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR"));
    Fleet::spawn(program, directory, GATEWAYS).await
}

/// Waits until a request is answered through each gateway, so that all know routes and engines.
async fn wait_until_ready(fleet: &Fleet, path: &str) {
    for gateway in 0..fleet.gateways.len() {
        let answered = |reply: Option<(u16, String)>| reply.is_some_and(|r| r.0 == 200);
        while !answered(fleet.call(gateway, 200, (path, "ready")).await) {
            sleep(Duration::from_millis(20)).await;
        }
    }
}

/// Sends requests, each with a body of its own, through the gateways in turn for a time.
async fn send_load(fleet: &RwLock<Fleet>, path: &'static str) -> Load {
    let mut calls = JoinSet::new();
    let until = Instant::now() + LOAD_TIME;
    let mut sent = Vec::new();
    while Instant::now() < until {
        let number = sent.len();
        let addr = fleet.read().unwrap().gateways[number % usize::from(GATEWAYS)].callers;
        calls.spawn(async move {
            let body = format!("request {number}");
            Fleet::ask_at(addr, 100, &format!("load-{number}"), (path, &body)).await
        });
        sent.push(Instant::now());
        sleep(PAUSE).await;
    }
    let replies = calls.join_all().await;
    let served = replies.iter().flatten().filter(|r| r.status == 200).count();
    println!("{} requests, {served} served", sent.len());
    Load { sent, served }
}

async fn disturb(fleet: &RwLock<Fleet>, trouble: Trouble) {
    match trouble {
        Trouble::Nothing => {}
        Trouble::AllKilled => {
            for _ in 0..3 {
                sleep(Duration::from_millis(1_500)).await;
                fleet.write().unwrap().restart_all();
            }
        }
        Trouble::KilledInTurn => {
            for number in 0..GATEWAYS {
                sleep(LOAD_TIME / 10).await;
                fleet.write().unwrap().restart(number);
            }
        }
        Trouble::Frozen => {
            for number in [0, 3, 6] {
                fleet.read().unwrap().signal(number, "STOP");
                sleep(Duration::from_secs(2)).await;
                fleet.read().unwrap().signal(number, "CONT");
                sleep(Duration::from_millis(500)).await;
            }
        }
    }
}

/// Returns when requests reached engines beyond the first time, in order. The first prefill of a request
/// that an engine accepts does not count.
fn extra_arrivals(engines: &[CrashingEngine]) -> Vec<Instant> {
    let mut arrivals: Vec<_> = engines.iter().flat_map(CrashingEngine::arrivals).collect();
    arrivals.retain(|arrival| arrival.body.starts_with(b"request"));
    arrivals.sort_by_key(|arrival| arrival.at);
    let (mut prefilled, mut arrived) = (BTreeSet::new(), BTreeSet::new());
    let mut is_extra = |arrival: &fleet::Arrival| {
        let free = arrival.prefilled && prefilled.insert(arrival.body.clone());
        !free && !arrived.insert(arrival.body.clone())
    };
    let extra = arrivals.iter().filter(|arrival| is_extra(arrival));
    extra.map(|arrival| arrival.at).collect()
}

/// Checks each window that begins or ends with an extra arrival.
#[expect(clippy::cast_precision_loss, reason = "the numbers are small")]
fn assert_limit_kept(engines: &[CrashingEngine], sent: &[Instant]) {
    let extra = extra_arrivals(engines);
    let count = |times: &[Instant], start: Instant| {
        let window = start..start + WINDOW;
        times.iter().filter(|at| window.contains(at)).count() as f64
    };
    let starts = extra.iter().copied();
    let starts = starts.chain(
        extra
            .iter()
            .map(|at| *at + Duration::from_micros(1) - WINDOW),
    );
    let mut worst = (f64::MIN, 0.0, 0.0);
    for start in starts {
        let offsets = [Duration::ZERO, WINDOW / 2, WINDOW];
        let requests = offsets.map(|offset| count(sent, start - offset));
        let allowed = RATIO * requests.into_iter().fold(0.0, f64::max) + SLACK;
        let found = count(&extra, start);
        if found - allowed > worst.0 {
            worst = (found - allowed, found, allowed);
        }
    }
    println!(
        "{} extra; worst window {} of {:.1}",
        extra.len(),
        worst.1,
        worst.2
    );
    assert!(
        worst.0 <= 0.0,
        "{} retries, {:.1} allowed",
        worst.1,
        worst.2
    );
}

/// Guards against requests that are sent to engines again without a token of the retry budget, and against
/// gateways that forget what was used or do not hear of it.
#[rstest]
#[case::plain_refused("/safe/x", PLAIN_ONLY, ("", Answering::Refused), Trouble::Nothing)]
#[case::plain_cut("/safe/x", PLAIN_ONLY, ("", Answering::Cut), Trouble::Nothing)]
#[case::once_refused("/once/x", PLAIN_ONLY, ("", Answering::Refused), Trouble::Nothing)]
#[case::prefill_refused("/resume/x", STAGED, ("prefill", Answering::Refused), Trouble::Nothing)]
#[case::prefill_failed("/resume/x", STAGED, ("prefill", Answering::Failed), Trouble::Nothing)]
#[case::decode_refused("/resume/x", STAGED, ("decode", Answering::Refused), Trouble::Nothing)]
#[case::decode_cut("/resume/x", STAGED, ("decode", Answering::Cut), Trouble::Nothing)]
#[case::unstaged_refused("/resume/x", UNSTAGED, ("decode", Answering::Refused), Trouble::Nothing)]
#[case::all_killed("/safe/x", PLAIN_ONLY, ("", Answering::Failed), Trouble::AllKilled)]
#[case::killed_in_turn("/safe/x", PLAIN_ONLY, ("", Answering::Failed), Trouble::KilledInTurn)]
#[case::frozen("/safe/x", PLAIN_ONLY, ("", Answering::Failed), Trouble::Frozen)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn gateways_stay_within_the_retry_limit_together(
    #[case] path: &'static str,
    #[case] kinds: &[(EngineOptions, usize)],
    #[case] (stage, answering): (&str, Answering),
    #[case] trouble: Trouble,
) {
    let fleet = start_fleet().await;
    let engines = fleet.start_engines(kinds).await;
    wait_until_ready(&fleet, path).await;
    if trouble != Trouble::Nothing {
        // Gateways that have run for less than a window use little.
        sleep(WINDOW).await;
    }
    let stages = kinds
        .iter()
        .flat_map(|(kind, count)| vec![kind.stage; *count]);
    for (engine, of) in engines.iter().zip(stages) {
        if of == stage {
            engine.answer_with(answering);
        }
    }

    let fleet = RwLock::new(fleet);
    let loading = send_load(&fleet, path);
    let (load, ()) = tokio::join!(loading, disturb(&fleet, trouble));

    assert_limit_kept(&engines, &load.sent);
    if stage == "prefill" {
        // Decode engines run requests without a prefill, so most are served within the limit.
        assert!(2 * load.served > load.sent.len(), "{} served", load.served);
    }
}

/// Guards against engines that crash in turn, which lose the requests that they run.
#[rstest]
#[case::plain("/safe/x", PLAIN_ONLY)]
#[case::model("/resume/x", STAGED)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn gateways_stay_within_the_retry_limit_while_engines_crash(
    #[case] path: &'static str,
    #[case] kinds: &[(EngineOptions, usize)],
) {
    let fleet = start_fleet().await;
    let engines = fleet.start_engines(kinds).await;
    wait_until_ready(&fleet, path).await;
    let fleet = RwLock::new(fleet);
    let crash_in_turn = async {
        let until = Instant::now() + LOAD_TIME;
        for engine in engines.iter().cycle() {
            if Instant::now() > until {
                break;
            }
            engine.crash(Bytes::new());
            sleep(PLAIN.downtime / 4).await;
        }
    };

    let (load, ()) = tokio::join!(send_load(&fleet, path), crash_in_turn);

    assert_limit_kept(&engines, &load.sent);
}
