//! Gateway processes and requests that crash the engines that run them.

#[path = "../../../platform/tests/support/mod.rs"]
#[expect(
    dead_code,
    reason = "the tests of the adapter use the other parts of this module"
)]
mod support;

#[path = "../../../platform/tests/support/fleet.rs"]
#[expect(
    dead_code,
    reason = "the tests of rate limits use the other parts of this module"
)]
mod fleet;

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use fleet::{Crash, CrashingEngine, EngineOptions, Fleet, arrivals_by_engine};
use hyper::body::Bytes;
use rstest::rstest;
use support::wait_until;
use tokio::task::JoinHandle;
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

/// Requests run long enough to be lost in crashes for which they are not to blame.
const SLOW: EngineOptions = EngineOptions {
    work: Duration::from_millis(100),
    ..PLAIN
};

async fn start_fleet(count: u8) -> Fleet {
    let program = Path::new(env!("CARGO_BIN_EXE_cumindoor"));
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR"));
    Fleet::spawn(program, directory, count).await
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

/// Returns these kinds of engines, of which poison requests crash those at one stage, and how.
fn with_target(
    kinds: &[(EngineOptions, usize)],
    target: &str,
    crash: Crash,
) -> Vec<(EngineOptions, usize)> {
    let adapt = |options: &EngineOptions| EngineOptions {
        crash,
        vulnerable: options.stage == target,
        ..*options
    };
    let adapted = kinds
        .iter()
        .map(|(options, count)| (adapt(options), *count));
    adapted.collect()
}

/// Returns when requests with this body crashed engines, in order.
fn crashes(engines: &[CrashingEngine], body: &str) -> Vec<Instant> {
    let all = engines.iter().flat_map(CrashingEngine::crashes);
    let mut all: Vec<Instant> = all.filter(|c| c.body == body).map(|c| c.at).collect();
    all.sort();
    all
}

async fn wait_until_up(engines: &[CrashingEngine]) {
    wait_until("the engines are back", || {
        engines.iter().all(CrashingEngine::is_up)
    })
    .await;
}

/// Returns the arrivals of a request that the rule on crashing requests counts.
fn counted_retries(engines: &[CrashingEngine], body: &str) -> usize {
    let crashes = crashes(engines, body);
    let Some(third) = crashes.get(CRASHES - 1) else {
        return 0;
    };
    let arrivals = engines.iter().flat_map(CrashingEngine::arrivals);
    let of_body = arrivals.filter(|arrival| arrival.body == body);
    of_body.filter(|a| a.at > *third + STABLE_WINDOW).count()
}

/// Returns the arrivals that the rule counts, without the first prefill of each attempt that also reached a decode engine:
/// the two are one retry.
fn counted_runs(engines: &[CrashingEngine], body: &str) -> usize {
    let crashes = crashes(engines, body);
    let Some(third) = crashes.get(CRASHES - 1) else {
        return 0;
    };
    let mut attempts: BTreeMap<String, (usize, bool)> = BTreeMap::new();
    for arrival in engines.iter().flat_map(CrashingEngine::arrivals) {
        if arrival.body == body && arrival.at > *third + STABLE_WINDOW {
            let (arrivals, prefilled) = attempts.entry(arrival.id).or_default();
            *arrivals += 1;
            *prefilled |= arrival.prefilled;
        }
    }
    let runs = attempts.values().map(|(arrivals, prefilled)| {
        let free = *prefilled && *arrivals > 1;
        arrivals - usize::from(free)
    });
    runs.sum()
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

/// Who sends the poison request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Callers {
    One,
    /// One in three data centres.
    Three,
    /// Another one for each try.
    Many,
}

impl Callers {
    /// Returns the last part of the address of the caller that makes a try.
    fn of(self, number: usize) -> u8 {
        let callers = match self {
            Self::One => 1,
            Self::Three => 3,
            Self::Many => TRIES,
        };
        POISON.1 + u8::try_from(number % callers).unwrap()
    }
}

/// Sends the poison request through the gateways in turn until it has crashed three engines.
async fn send_until_third_crash(
    fleet: &Fleet,
    engines: &[CrashingEngine],
    (path, callers): (&str, Callers),
) {
    for number in 0..TRIES {
        if crashes(engines, POISON.0).len() >= CRASHES {
            break;
        }
        let gateway = number % fleet.gateways.len();
        let caller = callers.of(number);
        fleet.call(gateway, caller, (path, POISON.0)).await;
    }
}

/// Sends the poison request twice through each gateway while all engines are up.
async fn send_through_all(
    fleet: &Fleet,
    engines: &[CrashingEngine],
    (path, callers): (&str, Callers),
) {
    for number in 0..2 * fleet.gateways.len() {
        wait_until_up(engines).await;
        let gateway = number % fleet.gateways.len();
        let caller = callers.of(TRIES / 2 + number);
        fleet.call(gateway, caller, (path, POISON.0)).await;
    }
}

/// Checks that no more retries than allowed reached the engines.
fn assert_retries_allowed(fleet: &Fleet, engines: &[CrashingEngine]) {
    let sent = arrivals_by_engine(engines, POISON.0);
    let ended = crashes(engines, POISON.0).len();
    let (tries, attempts) = logged_tries(fleet);
    println!("arrivals {sent:?}, {ended} crashes, {tries} tries, {attempts} failed attempts");
    assert!(ended >= CRASHES, "{ended} crashes show nothing");
    let retries = counted_retries(engines, POISON.0);
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
    let kinds = with_target(kinds, target, crash);
    let fleet = Arc::new(start_fleet(GATEWAYS).await);
    let engines = fleet.start_engines(&kinds).await;
    wait_until_ready(&fleet).await;
    let end = CancellationToken::new();
    let bystanders = tokio::spawn(send_bystanders(Arc::clone(&fleet), path, end.clone()));

    send_until_third_crash(&fleet, &engines, (path, Callers::One)).await;
    sleep(STABLE_WINDOW).await;
    send_through_all(&fleet, &engines, (path, Callers::One)).await;
    end.cancel();

    assert_retries_allowed(&fleet, &engines);
    assert_eq!(
        bystanders.await.unwrap(),
        0,
        "innocent requests were refused"
    );
}

/// Guards against crashes that are counted for each caller of one request apart.
#[rstest]
#[case::plain("/safe/x", Callers::Three, &[(PLAIN, 3)])]
#[case::plain_many("/safe/x", Callers::Many, &[(PLAIN, 3)])]
#[case::once("/once/x", Callers::Three, &[(PLAIN, 3)])]
#[case::prefill("/resume/x", Callers::Three, &[(PLAIN, 1), (PREFILL, 3), (DECODE, 3)])]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_of_several_callers_that_crashes_engines_is_not_sent_again(
    #[case] path: &str,
    #[case] callers: Callers,
    #[case] kinds: &[(EngineOptions, usize)],
) {
    let fleet = start_fleet(GATEWAYS).await;
    let is_target = |options: &EngineOptions| (options.stage == "prefill") == (path == "/resume/x");
    let kinds: Vec<(EngineOptions, usize)> = kinds
        .iter()
        .map(|(options, count)| {
            let vulnerable = is_target(options);
            (
                EngineOptions {
                    vulnerable,
                    ..*options
                },
                *count,
            )
        })
        .collect();
    let engines = fleet.start_engines(&kinds).await;
    wait_until_ready(&fleet).await;

    send_until_third_crash(&fleet, &engines, (path, callers)).await;
    sleep(STABLE_WINDOW).await;
    send_through_all(&fleet, &engines, (path, callers)).await;

    assert_retries_allowed(&fleet, &engines);
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
    let engines = fleet.start_engines(&[(PLAIN, 4)]).await;
    wait_until_ready(&fleet).await;
    send_until_third_crash(&fleet, &engines, ("/safe/x", Callers::One)).await;
    sleep(STABLE_WINDOW).await;
    wait_until_up(&engines).await;

    for number in 0..GATEWAYS {
        fleet.restart(number);
        if matches!(restart, Restart::InTurn) {
            wait_until_ready(&fleet).await;
        }
    }
    wait_until_ready(&fleet).await;
    send_through_all(&fleet, &engines, ("/safe/x", Callers::One)).await;

    assert_retries_allowed(&fleet, &engines);
}

/// Guards against a request that crashes three more engines after each loss of all gateways, because they forget what it
/// did.
#[rstest]
#[case::plain_reset("/safe/x", Crash::Reset, &[(PLAIN, 6)])]
#[case::plain_dark("/safe/x", Crash::Dark, &[(PLAIN, 6)])]
#[case::once_reset("/once/x", Crash::Reset, &[(PLAIN, 6)])]
#[case::once_dark("/once/x", Crash::Dark, &[(PLAIN, 6)])]
#[case::prefill_reset("/resume/x", Crash::Reset, &[(PLAIN, 1), (PREFILL, 6), (DECODE, 3)])]
#[case::prefill_dark("/resume/x", Crash::Dark, &[(PLAIN, 1), (PREFILL, 6), (DECODE, 3)])]
#[case::decode_reset("/stream/x", Crash::Reset, &[(PLAIN, 1), (PREFILL, 3), (DECODE, 6)])]
#[case::decode_dark("/stream/x", Crash::Dark, &[(PLAIN, 1), (PREFILL, 3), (DECODE, 6)])]
#[case::resumed_reset("/resume/x", Crash::Reset, &[(PLAIN, 1), (PREFILL, 3), (DECODE, 6)])]
#[case::resumed_dark("/resume/x", Crash::Dark, &[(PLAIN, 1), (PREFILL, 3), (DECODE, 6)])]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn losses_of_all_gateways_do_not_let_a_crashing_request_run_on_and_on(
    #[case] path: &str,
    #[case] crash: Crash,
    #[case] kinds: &[(EngineOptions, usize)],
) {
    const LOSSES: usize = 3;
    // The kind of which there are most crashes.
    let target = kinds.iter().max_by_key(|(_, count)| count);
    let target = target.unwrap().0.stage;
    let kinds = with_target(kinds, target, crash);
    let mut fleet = start_fleet(GATEWAYS).await;
    let engines = fleet.start_engines(&kinds).await;
    wait_until_ready(&fleet).await;
    send_until_third_crash(&fleet, &engines, (path, Callers::One)).await;
    sleep(STABLE_WINDOW).await;

    for _ in 0..LOSSES {
        fleet.restart_all();
        wait_until_ready(&fleet).await;
        // The gateways are in touch again.
        sleep(STABLE_WINDOW).await;
        send_through_all(&fleet, &engines, (path, Callers::One)).await;
    }

    let ended = crashes(&engines, POISON.0).len();
    let retries = counted_runs(&engines, POISON.0);
    println!("{ended} crashes, {retries} retries");
    assert!(ended >= CRASHES, "{ended} crashes show nothing");
    assert!(retries <= ALLOWED_RETRIES, "{retries} retries");
}

/// Guards against a gateway that starts beside others and refuses a request for one crash, although the others know the
/// past.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_gateway_that_starts_beside_others_learns_the_past() {
    let mut fleet = start_fleet(GATEWAYS).await;
    let engines = fleet.start_engines(&[(PLAIN, 4)]).await;
    wait_until_ready(&fleet).await;

    fleet.restart(0);
    wait_until("the past is known", || {
        !fleet.events("crashes learned").is_empty()
    })
    .await;
    wait_until_ready(&fleet).await;
    fleet.call(0, POISON.1, ("/once/x", POISON.0)).await;
    wait_until("the crash is known", || {
        !fleet.events("request suspected").is_empty()
    })
    .await;
    fleet.call(0, POISON.1, ("/once/x", POISON.0)).await;

    assert!(fleet.events("poison refused").is_empty());
    assert_eq!(crashes(&engines, POISON.0).len(), 2);
}

/// Guards against a request of many callers that is refused after a loss of all gateways, because engines crashed once
/// while they ran it.
#[rstest]
#[case::reset(Crash::Reset)]
#[case::dark(Crash::Dark)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_that_all_callers_send_is_not_refused_after_a_loss_of_all_gateways(
    #[case] crash: Crash,
) {
    let mut fleet = start_fleet(GATEWAYS).await;
    let engines = fleet
        .start_engines(&[(EngineOptions { crash, ..SLOW }, 4)])
        .await;
    wait_until_ready(&fleet).await;
    fleet.restart_all();
    wait_until_ready(&fleet).await;

    let [served, refused] = send_alike(Arc::new(fleet), &engines).await;

    assert!(served > 0, "none was served");
    assert_eq!(refused, 0, "innocent requests were refused");
}

/// Sends a crashing request on and on, each time at once after the response.
async fn retry_at_once(fleet: Arc<Fleet>, (body, caller): (String, u8), end: CancellationToken) {
    let mut number = usize::from(caller);
    while !end.is_cancelled() {
        let gateway = number % fleet.gateways.len();
        number += 3;
        fleet.call(gateway, caller, ("/safe/x", &body)).await;
        sleep(Duration::from_millis(5)).await;
    }
}

/// Sends innocent requests of several kinds from many callers until `end`.
fn spawn_bystanders(fleet: &Arc<Fleet>, end: &CancellationToken) -> Vec<JoinHandle<u32>> {
    let paths = ["/safe/a", "/safe/b", "/once/c"];
    let four_of_each = paths.into_iter().cycle().take(12);
    let send = |path| send_bystanders(Arc::clone(fleet), path, end.clone());
    four_of_each.map(|path| tokio::spawn(send(path))).collect()
}

async fn count_refused(bystanders: Vec<JoinHandle<u32>>) -> u32 {
    let mut refused = 0;
    for task in bystanders {
        refused += task.await.unwrap();
    }
    refused
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn many_crashing_requests_at_once_do_not_accuse_innocent_ones() {
    const POISONS: u8 = 10;
    let fleet = Arc::new(start_fleet(GATEWAYS).await);
    let engines = fleet.start_engines(&[(SLOW, 6)]).await;
    wait_until_ready(&fleet).await;
    let end = CancellationToken::new();
    let bystanders = spawn_bystanders(&fleet, &end);
    let bodies: Vec<String> = (0..POISONS).map(|n| format!("poison {n}")).collect();
    for (number, body) in (0..).zip(&bodies) {
        let sender = retry_at_once(Arc::clone(&fleet), (body.clone(), number + 1), end.clone());
        tokio::spawn(sender);
    }

    sleep(3 * STABLE_WINDOW).await;
    end.cancel();
    let refused = count_refused(bystanders).await;

    let ended = bodies.iter().map(|body| crashes(&engines, body).len());
    let retries: Vec<usize> = bodies
        .iter()
        .map(|body| counted_retries(&engines, body))
        .collect();
    println!(
        "crashes {:?}, retries {retries:?}",
        ended.collect::<Vec<_>>()
    );
    assert!(retries.iter().all(|count| *count <= ALLOWED_RETRIES));
    assert_eq!(refused, 0, "innocent requests were refused");
}

#[rstest]
#[case::reset_once(Crash::Reset, 1)]
#[case::dark_once(Crash::Dark, 1)]
#[case::reset_repeated(Crash::Reset, 5)]
#[case::dark_repeated(Crash::Dark, 5)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crashes_of_other_causes_refuse_no_request(#[case] crash: Crash, #[case] waves: usize) {
    let fleet = Arc::new(start_fleet(GATEWAYS).await);
    let engines = fleet
        .start_engines(&[(EngineOptions { crash, ..SLOW }, 6)])
        .await;
    wait_until_ready(&fleet).await;
    let end = CancellationToken::new();
    let bystanders = spawn_bystanders(&fleet, &end);

    for wave in 0..waves {
        wait_until_up(&engines).await;
        sleep(SLOW.work).await;
        for engine in engines.iter().skip(wave % 2).step_by(2) {
            engine.crash(Bytes::new());
        }
        // A second group follows while requests of the first one are sent again.
        sleep(SLOW.work / 2).await;
        engines[(wave + 1) % 2].crash(Bytes::new());
    }
    wait_until_up(&engines).await;
    end.cancel();
    let refused = count_refused(bystanders).await;

    // Connections to a dark engine may end only when it is back.
    wait_until("a lost request is suspected", || {
        !fleet.events("request suspected").is_empty()
    })
    .await;
    for line in &fleet.events("request suspected") {
        println!(
            "{} {} at {} with {} crashes",
            line["at"], line["content"], line["upstream"], line["crashes"]
        );
    }
    assert_eq!(refused, 0, "innocent requests were refused");
}

/// Guards against a refusal of what many callers send alike, and which was lost when engines crashed.
#[rstest]
#[case::reset(Crash::Reset)]
#[case::dark(Crash::Dark)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_that_all_callers_send_is_not_refused_for_other_crashes(#[case] crash: Crash) {
    let fleet = Arc::new(start_fleet(GATEWAYS).await);
    let engines = fleet
        .start_engines(&[(EngineOptions { crash, ..SLOW }, 4)])
        .await;
    wait_until_ready(&fleet).await;

    let [served, refused] = send_alike(fleet, &engines).await;

    assert!(served > 0, "none was served");
    assert_eq!(refused, 0, "innocent requests were refused");
}

/// Sends one request from many callers while engines crash one after the other. Returns how many were served, and how many
/// refused as poison.
async fn send_alike(fleet: Arc<Fleet>, engines: &[CrashingEngine]) -> [u32; 2] {
    const CALLERS: u8 = 12;
    let end = CancellationToken::new();
    let bystanders = (0..CALLERS).map(|caller| {
        let (fleet, end) = (Arc::clone(&fleet), end.clone());
        tokio::spawn(async move {
            let mut replies = [0_u32; 2];
            let mut gateway = usize::from(caller);
            while !end.is_cancelled() {
                gateway = (gateway + 1) % fleet.gateways.len();
                let call = ("/safe/same", "same");
                let reply = fleet.call(gateway, 100 + caller, call).await;
                replies[0] += u32::from(reply.as_ref().is_some_and(|reply| reply.0 == 200));
                replies[1] += u32::from(reply.is_some_and(|reply| reply.1 == "poison\n"));
                sleep(Duration::from_millis(15)).await;
            }
            replies
        })
    });
    let bystanders: Vec<JoinHandle<[u32; 2]>> = bystanders.collect();

    for wave in 0..4 {
        wait_until_up(engines).await;
        sleep(3 * SLOW.work).await;
        engines[wave % 4].crash(Bytes::new());
        sleep(SLOW.work).await;
        engines[(wave + 1) % 4].crash(Bytes::new());
    }
    wait_until_up(engines).await;
    sleep(STABLE_WINDOW / 3).await;
    end.cancel();
    let mut sum = [0, 0];
    for task in bystanders {
        let replies = task.await.unwrap();
        sum = [sum[0] + replies[0], sum[1] + replies[1]];
    }

    println!("served and refused as poison: {sum:?}");
    sum
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_refusal_names_what_is_believed_and_when_to_return() {
    let fleet = start_fleet(3).await;
    let engines = fleet.start_engines(&[(PLAIN, 4)]).await;
    wait_until_ready(&fleet).await;
    send_until_third_crash(&fleet, &engines, ("/safe/x", Callers::One)).await;
    sleep(STABLE_WINDOW).await;
    let before = engines
        .iter()
        .map(|engine| engine.arrivals().len())
        .sum::<usize>();

    let replies = [0, 1, 2].map(|gateway| fleet.call(gateway, POISON.1, ("/safe/x", POISON.0)));
    let replies = futures::future::join_all(replies).await;

    let after = engines
        .iter()
        .map(|engine| engine.arrivals().len())
        .sum::<usize>();
    assert_eq!(before, after, "a refused request was sent");
    let refused = Some((503, "poison\n".to_owned()));
    assert_eq!(replies, vec![refused; 3]);
    wait_until("the refusals are logged", || {
        fleet.events("poison refused").len() >= 3
    })
    .await;
    for line in fleet.events("poison refused") {
        let believed = line["believed"].as_str().unwrap();
        let seen = believed.matches(" seen by vm-").count();
        assert_eq!(line["crashes"].as_u64(), Some(seen as u64), "{line}");
        assert!(seen >= CRASHES && believed.contains(" ms ago"), "{line}");
        assert!(line["retry_ms"].as_u64().unwrap() > 60_000, "{line}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn sixty_gateways_do_not_send_a_crashing_request_on_and_on() {
    let fleet = start_fleet(60).await;
    let engines = fleet.start_engines(&[(PLAIN, 6)]).await;
    wait_until_ready(&fleet).await;

    send_until_third_crash(&fleet, &engines, ("/safe/x", Callers::One)).await;
    sleep(STABLE_WINDOW).await;
    send_through_all(&fleet, &engines, ("/safe/x", Callers::One)).await;

    assert_retries_allowed(&fleet, &engines);
}
