//! Gateway processes and sound engines that fall silent within an answer and go on.

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

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use fleet::pause::Pause;
use fleet::{Answering, Crash, CrashingEngine, EngineOptions, Fleet};
use rstest::rstest;
use serde_json::{Value, json};
use support::{events, wait_until};
use tokio::task::JoinSet;
use tokio::time::sleep;

const GATEWAYS: u8 = 4;
/// Number of callers at a time, many more than there are retries.
const CALLERS: usize = 120;
/// Longer than a sound engine takes, shorter than the time after which callers give up.
const SILENCE: Duration = Duration::from_millis(1_600);

const PLAIN: EngineOptions = EngineOptions {
    service: "plain",
    stage: "",
    crash: Crash::Reset,
    vulnerable: false,
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
    ..PREFILL
};

/// A change of the configuration or of an engine's entry.
#[derive(Clone, Copy, Debug)]
enum Change {
    TimeoutsShortened,
    TimeoutsLengthened,
    IdleLimitsShortened,
    RoutesMoved,
    RoutesRemoved,
    ServicesRemoved,
    EntriesLapse,
    EnginesDrain,
}

/// Returns a configuration in which the callers of a stream give up after 3.6 s.
fn base_config() -> Value {
    let route = |name: &str, kind: &str, service: &str| {
        json!({
            "name": name, "host": "h.example", "prefix": format!("/{name}/"), "kind": kind,
            "timeout-ms": 6000, "target-latency-ms": 900, "priority": 1, "service": service,
            "max-attempts": 2
        })
    };
    let mut resumable = route("resume", "stream", "model");
    resumable["resumable"] = true.into();
    resumable["gap-aim-ms"] = 300.into();
    let engine = json!({
        "slots": 64, "kv-capacity-tokens": 200_000, "stride": 1, "kv-hold-s": 0.5
    });
    json!({
        "version": 2,
        "routes": [
            route("safe", "safe", "plain"),
            route("once", "unsafe", "plain"),
            route("stream", "stream", "model"),
            resumable
        ],
        "services": [
            {"name": "plain", "max-connections": 200},
            {"name": "model", "max-connections": 200, "engine": engine},
            {"name": "other", "max-connections": 200}
        ],
        "limits": {
            "max-header-bytes": 16384, "max-body-bytes": 100_000, "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000
        }
    })
}

fn changed_config(change: Change) -> Value {
    let mut config = base_config();
    config["version"] = 3.into();
    let for_each_route = |config: &mut Value, key: &str, value: Value| {
        for route in config["routes"].as_array_mut().unwrap() {
            route[key] = value.clone();
        }
    };
    match change {
        Change::TimeoutsShortened => for_each_route(&mut config, "timeout-ms", 1_000.into()),
        Change::TimeoutsLengthened => for_each_route(&mut config, "timeout-ms", 30_000.into()),
        Change::RoutesMoved => for_each_route(&mut config, "service", "other".into()),
        Change::IdleLimitsShortened => {
            config["limits"]["idle-timeout-ms"] = 200.into();
            config["limits"]["header-timeout-ms"] = 100.into();
        }
        Change::RoutesRemoved => config["routes"] = json!([]),
        Change::ServicesRemoved => {
            config["routes"] = json!([]);
            config["services"] = json!([]);
        }
        Change::EntriesLapse | Change::EnginesDrain => {}
    }
    config
}

fn change(fleet: &Fleet, engines: &[CrashingEngine], change: Change) {
    match change {
        Change::EntriesLapse => engines.iter().for_each(CrashingEngine::lapse),
        Change::EnginesDrain => engines.iter().for_each(CrashingEngine::drain),
        _ => {
            let config = changed_config(change).to_string();
            fleet.store.put("op/config", &config);
        }
    }
}

/// Starts gateways and engines, and waits until all gateways know them.
async fn start() -> (Arc<Fleet>, Vec<CrashingEngine>) {
    let program = Path::new(env!("CARGO_BIN_EXE_cumindoor"));
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let fleet = Fleet::spawn(program, directory, GATEWAYS).await;
    fleet.store.put("op/config", &base_config().to_string());
    let kinds = [(PLAIN, 3), (PREFILL, 2), (DECODE, 4)];
    let engines = fleet.start_engines(&kinds).await;
    for gateway in 0..fleet.gateways.len() {
        for path in ["/safe/", "/once/", "/stream/", "/resume/"] {
            while fleet
                .call(gateway, 200, (path, "ready"))
                .await
                .is_none_or(|r| r.0 != 200)
            {
                sleep(Duration::from_millis(20)).await;
            }
        }
    }
    (Arc::new(fleet), engines)
}

/// Sends requests of many callers at once.
fn send_all(fleet: &Arc<Fleet>, path: &'static str, callers: usize) -> JoinSet<String> {
    let mut calls = JoinSet::new();
    for number in 0..callers {
        let fleet = Arc::clone(fleet);
        calls.spawn(async move {
            let gateway = number % fleet.gateways.len();
            let body = format!("{path} {number}").replace('/', "");
            let reply = fleet.exchange(gateway, 100, (path, &body)).await;
            match reply {
                None => "no whole answer".to_owned(),
                Some(reply) if reply.status == 200 && reply.body == events(1, 5) => {
                    "whole".to_owned()
                }
                Some(reply) => format!("{}: {}", reply.status, reply.body),
            }
        });
    }
    calls
}

async fn assert_all_whole(fleet: &Fleet, calls: JoinSet<String>) {
    let mut results: BTreeMap<String, usize> = BTreeMap::new();
    for result in calls.join_all().await {
        *results.entry(result).or_default() += 1;
    }
    let whole = results.keys().all(|result| result == "whole");
    let lost: Vec<Value> = ["stream not resumed", "stream cut", "request refused"]
        .into_iter()
        .flat_map(|event| fleet.events(event).into_iter().take(3))
        .collect();
    assert!(whole, "{results:?} {lost:#?}");
}

/// Guards against an answer that is lost because its engine is silent while no retry is left.
#[rstest]
#[case::resumable_before_head("/resume/", Pause::BeforeHead)]
#[case::resumable_after_head("/resume/", Pause::AfterHead)]
#[case::resumable_between_events("/resume/", Pause::BetweenEvents)]
#[case::resumable_within_event("/resume/", Pause::WithinEvent)]
#[case::once_only_between_events("/stream/", Pause::BetweenEvents)]
#[case::safe_before_head("/safe/", Pause::BeforeHead)]
#[case::safe_within_answer("/safe/", Pause::BetweenEvents)]
#[case::unsafe_before_head("/once/", Pause::BeforeHead)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_sound_engine_that_falls_silent_loses_no_answer(
    #[case] path: &'static str,
    #[case] pause: Pause,
) {
    let (fleet, engines) = start().await;
    for engine in engines.iter().filter(|engine| !engine.is_prefill()) {
        engine.answer_with(Answering::Paused(pause, SILENCE));
    }

    let calls = send_all(&fleet, path, CALLERS);

    assert_all_whole(&fleet, calls).await;
}

/// Guards against an answer that is lost because the prefill takes longer than expected.
#[rstest]
#[case::resumable("/resume/")]
#[case::once_only("/stream/")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_silent_prefill_engine_loses_no_answer(#[case] path: &'static str) {
    let (fleet, engines) = start().await;
    for engine in engines.iter().filter(|engine| engine.is_prefill()) {
        engine.answer_with(Answering::Paused(Pause::BeforeHead, SILENCE));
    }

    let calls = send_all(&fleet, path, CALLERS / 2);

    assert_all_whole(&fleet, calls).await;
}

/// Guards against a change that ends answers which engines are still working on.
#[rstest]
#[case::timeouts_shortened(Change::TimeoutsShortened)]
#[case::timeouts_lengthened(Change::TimeoutsLengthened)]
#[case::idle_limits_shortened(Change::IdleLimitsShortened)]
#[case::routes_moved(Change::RoutesMoved)]
#[case::routes_removed(Change::RoutesRemoved)]
#[case::services_removed(Change::ServicesRemoved)]
#[case::entries_lapse(Change::EntriesLapse)]
#[case::engines_drain(Change::EnginesDrain)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_change_ends_no_answer(
    #[case] kind: Change,
    #[values(Pause::Spread, Pause::BetweenEvents)] pause: Pause,
) {
    let (fleet, engines) = start().await;
    for engine in engines.iter().filter(|engine| !engine.is_prefill()) {
        engine.answer_with(Answering::Paused(pause, SILENCE));
    }
    let arrived = || -> usize {
        let runs = engines.iter().filter(|engine| !engine.is_prefill());
        runs.map(|engine| engine.arrivals().len()).sum()
    };
    let before = arrived();
    let mut calls = send_all(&fleet, "/resume/", CALLERS / 2);
    for path in ["/stream/", "/once/"] {
        let mut others = send_all(&fleet, path, CALLERS / 4);
        calls.spawn(async move {
            let mut all = Vec::new();
            while let Some(result) = others.join_next().await {
                all.push(result.unwrap());
            }
            let other = all.into_iter().find(|result| result != "whole");
            other.unwrap_or_else(|| "whole".to_owned())
        });
    }
    wait_until("all requests run", || arrived() >= before + CALLERS).await;

    change(&fleet, &engines, kind);

    assert_all_whole(&fleet, calls).await;
}

/// Guards against a planned stop or a reload that ends answers whose engines are silent.
#[rstest]
#[case::stop("TERM")]
#[case::reload("HUP")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_signal_ends_no_answer(
    #[case] signal: &'static str,
    #[values("/resume/", "/stream/")] path: &'static str,
) {
    let (fleet, engines) = start().await;
    for engine in engines.iter().filter(|engine| !engine.is_prefill()) {
        engine.answer_with(Answering::Paused(Pause::BetweenEvents, SILENCE));
    }
    let decoding = || -> usize { engines.iter().map(|engine| engine.arrivals().len()).sum() };
    let before = decoding();
    let calls = send_all(&fleet, path, CALLERS / 2);
    wait_until("all requests run", || decoding() >= before + CALLERS).await;

    fleet.signal(0, signal);

    assert_all_whole(&fleet, calls).await;
}
