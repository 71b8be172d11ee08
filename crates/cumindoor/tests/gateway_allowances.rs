//! Gateway processes that keep the allowance of an organisation together.

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

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use coord::limit::{AllowanceRecord, LimitRecord, LimitReport, RetryRecord};
use coord::origin::OriginMessage;
use cumindoor::gateway::admission::load_table::{CrashReport, Digest};
use fleet::{Crash, CrashingEngine, EngineOptions, Fleet};
use http_body_util::Empty;
use hyper::Request;
use hyper::body::Bytes;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

const GATEWAYS: u8 = 8;
/// Time after its start in which a gateway may not know the others yet.
const DISCOVERY_TIME: Duration = Duration::from_secs(5);
const WINDOW: Duration = Duration::from_secs(8);
/// Tokens of a request, of which its prompt has 5,000.
const REQUEST_TOKENS: f64 = 5_070.0;
/// Tokens a second that the organisation may use, and its burst.
const RATE: f64 = 47_000.0;
/// How far an allowance may be exceeded in a window.
const TOLERANCE: f64 = 1.25;
const SLACK: f64 = 190_000.0;
/// Share of an allowance that is used if there is enough demand.
const USED_SHARE: f64 = 0.85;
/// Time between two requests that together ask for five times the rate.
const PAUSE: Duration = Duration::from_millis(21);

const ENGINE: EngineOptions = EngineOptions {
    service: "plain",
    stage: "",
    crash: Crash::Reset,
    vulnerable: false,
    work: Duration::from_millis(30),
    downtime: Duration::from_millis(900),
};

/// Starts a fleet whose configuration has an organisation with this allowance.
async fn start_fleet(allowance: &str) -> (Fleet, Vec<CrashingEngine>) {
    let program = Path::new(env!("CARGO_BIN_EXE_cumindoor"));
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let fleet = Fleet::spawn(program, directory, GATEWAYS).await;
    let organisation = format!(
        r#"{{"name":"celeste","api-keys":["key-1"],"unit":"tokens","plain-tokens":200{allowance}}}"#
    );
    let config = support::config(2);
    let body = config.strip_suffix('}').expect("an object");
    let config = format!(r#"{body},"tenants":[{organisation}]}}"#);
    fleet.store.put("op/config", &config);
    let engines = fleet.start_engines(&[(ENGINE, 3)]).await;
    sleep(DISCOVERY_TIME).await;
    (fleet, engines)
}

/// Sends a request and returns its status and when to return.
async fn send(addr: SocketAddr, number: usize) -> Option<(u16, Option<f64>)> {
    let stream = TcpStream::connect(addr).await.ok()?;
    let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream));
    let (mut sender, connection) = handshake.await.ok()?;
    tokio::spawn(connection);
    let request = Request::post("/safe/x")
        .header("host", "h.example")
        .header("x-cumindoor-request-id", format!("r-{number}"))
        .header("x-cumindoor-deadline-ms", "5000")
        .header("x-cumindoor-token-usage", "5000,70")
        .header("x-cumindoor-key", "key-1")
        .body(Empty::<Bytes>::new());
    let response = sender.send_request(request.ok()?).await.ok()?;
    let time = response.headers().get("retry-after");
    let time = time.and_then(|value| value.to_str().ok()?.parse().ok());
    Some((response.status().as_u16(), time))
}

/// Sends requests through the gateways in turn at a fixed rate, whatever becomes of them.
async fn send_load(fleet: &Fleet, time: Duration) -> Vec<(u16, Option<f64>)> {
    let mut calls = JoinSet::new();
    let until = Instant::now() + time;
    let mut number = 0;
    while Instant::now() < until {
        let gateway = &fleet.gateways[number % fleet.gateways.len()];
        calls.spawn(send(gateway.callers, number));
        number += 1;
        sleep(PAUSE).await;
    }
    let replies = calls.join_all().await;
    replies.into_iter().flatten().collect()
}

/// Returns when requests arrived at any engine, in order.
fn arrivals(engines: &[CrashingEngine]) -> Vec<Instant> {
    let all = engines.iter().flat_map(CrashingEngine::arrivals);
    let mut times: Vec<_> = all.map(|arrival| arrival.at).collect();
    times.sort();
    times
}

/// Guards against gateways that each admit what the allowance grants to all of them, and against an allowance of which
/// they leave a large part unused.
#[expect(clippy::cast_precision_loss, reason = "the numbers are small")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn gateways_keep_an_allowance_together_and_use_it() {
    let (fleet, engines) = start_fleet(r#","rate-per-s":47000,"burst":47000"#).await;

    let begin = Instant::now();
    let replies = send_load(&fleet, 2 * WINDOW).await;
    let took = begin.elapsed();

    let times = arrivals(&engines);
    let within = |start: Instant| {
        let window = start..start + WINDOW;
        times.iter().filter(|at| window.contains(at)).count()
    };
    let most = times.iter().map(|start| within(*start)).max();
    let most = most.unwrap_or_default() as f64 * REQUEST_TOKENS;
    let allowed = (RATE * WINDOW.as_secs_f64() + RATE) * TOLERANCE + SLACK;
    let used = times.len() as f64 * REQUEST_TOKENS / (RATE * took.as_secs_f64());
    println!(
        "{} requests: {most:.0} tokens in a window, {allowed:.0} allowed; {used:.2} used",
        replies.len()
    );
    assert!(most <= allowed, "{most:.0} tokens, {allowed:.0} allowed");
    assert!(used >= USED_SHARE, "{used:.2} of the allowance");
    let refused = replies.iter().filter(|(status, _)| *status == 429);
    assert!(refused.clone().count() > 0);
    assert!(
        refused
            .clone()
            .all(|(_, time)| time.is_some_and(|time| time > 0.0))
    );
    let others = replies
        .iter()
        .filter(|(status, _)| !matches!(status, 200 | 429));
    assert_eq!(others.count(), 0, "{replies:?}");
    let lines = fleet.events("organisation limited");
    assert!(!lines.is_empty());
    assert!(lines.iter().all(|line| line["organisation"] == "celeste"));
}

/// Guards against refusals to organisations without an allowance.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_organisation_without_an_allowance_is_served() {
    let (fleet, _engines) = start_fleet("").await;

    let replies = send_load(&fleet, Duration::from_secs(2)).await;

    assert!(replies.len() > 20);
    assert!(
        replies.iter().all(|(status, _)| *status == 200),
        "{replies:?}"
    );
    assert!(fleet.events("organisation limited").is_empty());
}

/// Guards against a report with allowances that is taken for another message, and against reports of older builds that
/// cannot be read.
#[test]
fn reports_with_allowances_are_told_from_other_messages() {
    type Report = LimitReport<SocketAddr>;
    let record = AllowanceRecord {
        organisation: 1,
        asked: 2,
        admitted: 3,
        recent: (4, 5),
    };
    let report = Report {
        start: 1,
        sequence: 2,
        gateways: None,
        limits: Vec::new(),
        retries: Vec::new(),
        allowances: vec![record],
    };
    let older: (
        u64,
        u64,
        Option<u32>,
        Vec<LimitRecord<SocketAddr>>,
        Vec<RetryRecord>,
    ) = (1, 2, None, Vec::new(), Vec::new());
    let bytes = rmp_serde::to_vec(&report).expect("a report");
    let older = rmp_serde::to_vec(&older).expect("a report");

    assert!(rmp_serde::from_slice::<Digest>(&bytes).is_err());
    assert!(rmp_serde::from_slice::<CrashReport>(&bytes).is_err());
    assert!(rmp_serde::from_slice::<OriginMessage>(&bytes).is_err());
    assert_eq!(rmp_serde::from_slice::<Report>(&bytes).ok(), Some(report));
    let read = rmp_serde::from_slice::<Report>(&older);
    assert!(read.is_ok_and(|report| report.allowances.is_empty()));
}
