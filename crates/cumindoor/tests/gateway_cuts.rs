//! Gateway processes that lose their links to all engines, while callers and other gateways reach them.

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

#[path = "../../../platform/tests/support/links.rs"]
mod links;

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use fleet::pause::Pause;
use fleet::{Answering, Crash, CrashingEngine, EngineOptions, Fleet};
use links::{Link, LinkState};
use rstest::rstest;
use support::{FakeStore, config, events, wait_until};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

/// Time after the beginning of a cut from which callers have to be served.
const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// Time between two requests in the whole fleet. The engines and links of a test share one thread.
const PACE: Duration = Duration::from_millis(12);
/// First tries that may fail at gateways without links, and one more for each 50 of all.
const ALLOWED_FAILURES: usize = 10;
/// Contents that come again, so that one that is accused of a crash is refused at other gateways.
const CONTENTS: usize = 6;

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

/// A fleet whose gateways have a link of their own to each engine.
struct LinkedFleet {
    fleet: Fleet,
    engines: Vec<CrashingEngine>,
    /// The links by gateway.
    links: Vec<Vec<Link>>,
}

impl LinkedFleet {
    /// Starts gateways and nine engines, and waits until each gateway has served a request of each kind.
    async fn start(gateways: u8) -> Arc<Self> {
        Self::start_with(gateways, "").await
    }

    /// Does the same as [`Self::start`] with further sections of the settings.
    async fn start_with(gateways: u8, settings: &str) -> Arc<Self> {
        let registry = FakeStore::default();
        let mut engines = Vec::new();
        for (options, count) in [(PLAIN, 3), (PREFILL, 2), (DECODE, 4)] {
            for _ in 0..count {
                let engine = CrashingEngine::spawn(&registry, engines.len(), options).await;
                engines.push(engine);
            }
        }
        let (mut links, mut stores) = (Vec::new(), Vec::new());
        for _ in 0..gateways {
            let store = FakeStore::default();
            store.put("op/config", &config(1));
            let mut own = Vec::new();
            for engine in &engines {
                let link = Link::spawn(engine.addr()).await;
                let (key, entry) = engine.registration();
                let (from, to) = (engine.addr().to_string(), link.addr.to_string());
                store.put(&key, &entry.replace(&from, &to));
                own.push(link);
            }
            links.push(own);
            stores.push(store.spawn().await);
        }
        let program = Path::new(env!("CARGO_BIN_EXE_cumindoor"));
        let directory = Path::new(env!("CARGO_TARGET_TMPDIR"));
        let fleet = Fleet::spawn_on((program, directory), gateways, (registry, stores), settings);
        let started = Arc::new(Self {
            fleet,
            engines,
            links,
        });
        started.wait_until_ready().await;
        started
    }

    async fn wait_until_ready(self: &Arc<Self>) {
        let mut waiting = JoinSet::new();
        for gateway in 0..self.links.len() {
            let fleet = Arc::clone(self);
            waiting.spawn(async move {
                for kind in Kind::ALL {
                    while !fleet.is_served(gateway, kind, "ready").await {
                        sleep(Duration::from_millis(50)).await;
                    }
                }
            });
        }
        waiting.join_all().await;
    }

    fn set_links(&self, gateways: std::ops::Range<usize>, state: LinkState) {
        for link in self.links[gateways].iter().flatten() {
            link.set(state);
        }
    }

    async fn is_served(&self, gateway: usize, kind: Kind, content: &str) -> bool {
        let (path, body) = (
            format!("/{}/x", kind.route()),
            format!("{kind:?} {content}"),
        );
        let reply = self.fleet.ask(gateway, 7, (&path, &body)).await;
        let expected = if kind.is_stream() { events(1, 5) } else { body };
        reply.is_some_and(|reply| reply.status == 200 && reply.body == expected)
    }

    /// Sends requests of all kinds to each gateway for a time. Returns when each was sent, where, and whether it
    /// was served.
    async fn play(self: &Arc<Self>, time: Duration) -> Vec<(Duration, usize, bool)> {
        let began = Instant::now();
        let mut asked = JoinSet::new();
        let mut round = 0;
        while began.elapsed() < time {
            for gateway in 0..self.links.len() {
                let kind = Kind::ALL[(round + gateway) % Kind::ALL.len()];
                let content = format!("{}", (round + gateway) % CONTENTS);
                let fleet = Arc::clone(self);
                asked.spawn(async move {
                    let sent = began.elapsed();
                    (
                        sent,
                        gateway,
                        fleet.is_served(gateway, kind, &content).await,
                    )
                });
                sleep(PACE).await;
            }
            round += 1;
        }
        asked.join_all().await
    }

    /// Asserts that no attempt that may run only once reached engines more often, apart from its prefill.
    fn assert_run_once(&self) {
        let mut counts: BTreeMap<String, usize> = BTreeMap::new();
        let engines = self.engines.iter().filter(|engine| !engine.is_prefill());
        for arrival in engines.flat_map(CrashingEngine::arrivals) {
            let once = [Kind::Once, Kind::Stream].map(|kind| format!("{kind:?} "));
            if once
                .iter()
                .any(|kind| arrival.body.starts_with(kind.as_bytes()))
            {
                *counts.entry(arrival.id).or_default() += 1;
            }
        }
        counts.retain(|_, count| *count > 1);
        assert!(counts.is_empty(), "sent more than once: {counts:?}");
    }

    /// Returns how many log lines with this event each gateway has.
    fn events(&self, event: &str) -> Vec<usize> {
        let gateways = self.fleet.gateways.iter();
        let has_event = |line: &&String| line.contains(&format!(r#""event":"{event}""#));
        gateways
            .map(|gateway| gateway.log.lock().unwrap().iter().filter(has_event).count())
            .collect()
    }
}

/// The kinds of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Safe,
    Once,
    Stream,
    Resumable,
}

impl Kind {
    const ALL: [Self; 4] = [Self::Safe, Self::Once, Self::Stream, Self::Resumable];

    fn route(self) -> &'static str {
        match self {
            Self::Safe => "safe",
            Self::Once => "once",
            Self::Stream => "stream",
            Self::Resumable => "resume",
        }
    }

    fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::Resumable)
    }
}

/// Served and all first tries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Tries {
    served: usize,
    all: usize,
}

impl Tries {
    fn count<'a>(tries: impl Iterator<Item = &'a (Duration, usize, bool)>) -> Self {
        tries.fold(Self::default(), |sum, (_, _, served)| Self {
            served: sum.served + usize::from(*served),
            all: sum.all + 1,
        })
    }
}

/// Asserts that first tries at gateways without links were served two thirds as often as at others, unless only a
/// few failed, and that nearly all were at the others.
fn assert_served(played: &[(Duration, usize, bool)], cut: &std::ops::Range<usize>) {
    let late = || played.iter().filter(|(sent, _, _)| *sent >= STABLE_WINDOW);
    let there = Tries::count(late().filter(|(_, gateway, _)| cut.contains(gateway)));
    let others = Tries::count(late().filter(|(_, gateway, _)| !cut.contains(gateway)));
    let failed = there.all - there.served;
    let few = failed <= ALLOWED_FAILURES + (there.all + others.all) / 50;
    let alike = there.served * others.all * 3 >= others.served * there.all * 2;
    let told = format!("cut {there:?}, others {others:?}");
    assert!(few || alike, "callers were not served: {told}");
    assert!(
        others.served * 20 >= others.all * 19,
        "the other gateways failed: {told}"
    );
}

/// Guards against gateways that lost their links to all engines and fail their callers, although other gateways
/// have such links.
#[rstest]
#[case::one_refused(8, 1, LinkState::Refused)]
#[case::most_refused(8, 5, LinkState::Refused)]
#[case::most_reset(8, 5, LinkState::Reset)]
#[case::most_silent(8, 5, LinkState::Silent)]
#[case::most_live(8, 5, LinkState::Live)]
#[case::most_deaf(8, 5, LinkState::Deaf)]
#[case::most_mute(8, 5, LinkState::Mute)]
#[case::all_but_one_refused(8, 7, LinkState::Refused)]
#[case::all_but_one_silent(8, 7, LinkState::Silent)]
#[case::two_of_three_reset(3, 2, LinkState::Reset)]
#[case::two_of_three_silent(3, 2, LinkState::Silent)]
#[case::most_lossy(8, 5, LinkState::Lossy)]
#[case::all_of_three_refused_but_one(3, 2, LinkState::Refused)]
#[case::forty_of_sixty_reset(60, 40, LinkState::Reset)]
#[case::forty_of_sixty_silent(60, 40, LinkState::Silent)]
#[case::ten_of_sixteen_reset(16, 10, LinkState::Reset)]
#[case::ten_of_sixteen_silent(16, 10, LinkState::Silent)]
#[tokio::test]
async fn callers_of_gateways_without_links_to_engines_are_served(
    #[case] gateways: u8,
    #[case] lost: usize,
    #[case] state: LinkState,
) {
    // Without a narrow link, the digests of 60 processes take all processors.
    let narrow = "\n[resources]\nlink = 5\n";
    let settings = if gateways > 16 { narrow } else { "" };
    let fleet = LinkedFleet::start_with(gateways, settings).await;

    fleet.set_links(0..lost, state);
    let played = fleet.play(STABLE_WINDOW * 2).await;

    assert_served(&played, &(0..lost));
    fleet.assert_run_once();
}

/// Guards against once-only requests that end with an unknown outcome long after links were lost, at the gateways that
/// lost them or at others.
#[rstest]
#[case::busy(Duration::ZERO)]
#[case::quiet(STABLE_WINDOW)]
#[tokio::test]
async fn once_only_requests_do_not_end_unknown_while_links_are_lost(#[case] quiet: Duration) {
    let fleet = LinkedFleet::start(8).await;
    fleet.set_links(0..5, LinkState::Reset);

    let began = Instant::now();
    sleep(quiet).await;
    let mut asked = JoinSet::new();
    let mut number = 0;
    while began.elapsed() < STABLE_WINDOW * 3 {
        let fleet = Arc::clone(&fleet);
        asked.spawn(async move {
            let (sent, gateway) = (began.elapsed(), number % 8);
            let body = format!("Once {}", number % CONTENTS);
            let reply = fleet.fleet.ask(gateway, 7, ("/once/x", &body)).await;
            (sent, gateway, reply.map_or(0, |reply| reply.status))
        });
        number += 1;
        sleep(PACE).await;
    }
    let replies = asked.join_all().await;

    let is_unknown = |(sent, _, status): &&(Duration, usize, u16)| {
        *sent >= STABLE_WINDOW && ![200, 503].contains(status)
    };
    let unknown: Vec<_> = replies.iter().filter(is_unknown).collect();
    let failures = fleet.fleet.events("attempt failed");
    assert!(unknown.is_empty(), "{unknown:?}, {failures:#?}");
    fleet.assert_run_once();
}

/// Guards against a gateway that learns of lost links by a request of its own only, which may be a once-only one, although
/// other gateways told it that they lost theirs.
#[tokio::test]
async fn gateways_without_requests_notice_lost_links_by_the_word_of_another() {
    let fleet = LinkedFleet::start(8).await;
    // All gateways have heard each other by then.
    sleep(STABLE_WINDOW).await;
    fleet.set_links(0..5, LinkState::Reset);

    fleet.is_served(0, Kind::Safe, "first").await;

    wait_until("all five notice", || {
        let lost = fleet.events("links lost");
        lost[..5].iter().all(|count| *count > 0)
    })
    .await;
    for gateway in 0..8 {
        assert!(fleet.is_served(gateway, Kind::Once, "later").await);
    }
    assert_eq!(fleet.events("links lost")[5..], [0; 3]);
    fleet.assert_run_once();
}

/// Guards against links that are not used again after their return, that flap, or that are not missed when they are
/// lost a second time.
#[rstest]
#[case::reset(LinkState::Reset)]
#[case::silent(LinkState::Silent)]
#[case::refused(LinkState::Refused)]
#[tokio::test]
async fn links_that_return_are_used_again(#[case] state: LinkState) {
    let fleet = LinkedFleet::start(8).await;

    for round in 1..=2 {
        fleet.set_links(0..5, state);
        let played = fleet.play(STABLE_WINDOW + STABLE_WINDOW / 2).await;
        assert_served(&played, &(0..5));
        fleet.set_links(0..5, LinkState::Open);
        wait_until("the links are used again", || {
            fleet.events("links returned")[..5]
                .iter()
                .all(|count| *count == 2 * round)
        })
        .await;
        let forwarded = fleet.events("request forwarded");
        let played = fleet.play(Duration::from_secs(1)).await;

        assert_eq!(Tries::count(played.iter()).served, played.len());
        assert_eq!(fleet.events("request forwarded"), forwarded);
        let lost = fleet.events("links lost");
        // There are two services.
        assert_eq!(
            lost,
            [2, 2, 2, 2, 2, 0, 0, 0].map(|count: usize| count * round)
        );
    }
    fleet.assert_run_once();
}

/// Guards against gateways that take a pause of sound engines for the loss of their links.
#[rstest]
#[case::one_engine(1)]
#[case::all_engines(usize::MAX)]
#[tokio::test]
async fn a_pause_of_engines_is_no_loss_of_links(#[case] engines: usize) {
    let fleet = LinkedFleet::start(4).await;

    let playing = tokio::spawn({
        let fleet = Arc::clone(&fleet);
        async move { fleet.play(Duration::from_secs(5)).await }
    });
    for _ in 0..3 {
        sleep(Duration::from_millis(400)).await;
        for own in &fleet.links {
            own.iter()
                .take(engines)
                .for_each(|link| link.set(LinkState::Silent));
        }
        sleep(Duration::from_secs(1)).await;
        fleet.set_links(0..4, LinkState::Open);
    }
    playing.await.unwrap();

    assert_eq!(fleet.events("links lost"), [0; 4]);
    fleet.assert_run_once();
}

/// Guards against gateways that go on relying on others that died, stop or were frozen while they forwarded, and
/// against once-only requests that run again because of that.
#[rstest]
#[case::killed("KILL")]
#[case::stopped("TERM")]
#[case::frozen("STOP")]
#[tokio::test]
async fn the_loss_of_gateways_that_forward_costs_only_what_they_had(#[case] signal: &str) {
    let fleet = LinkedFleet::start(8).await;

    fleet.set_links(0..5, LinkState::Reset);
    let playing = tokio::spawn({
        let fleet = Arc::clone(&fleet);
        async move { fleet.play(STABLE_WINDOW * 2).await }
    });
    sleep(STABLE_WINDOW + Duration::from_millis(300)).await;
    for helper in [5, 6] {
        fleet.fleet.signal(helper, signal);
    }
    sleep(Duration::from_millis(1_500)).await;
    if signal == "STOP" {
        for helper in [5, 6] {
            fleet.fleet.signal(helper, "CONT");
        }
    }
    let mut played = playing.await.unwrap();

    played.retain(|(_, gateway, _)| ![5, 6].contains(gateway));
    assert_served(&played, &(0..5));
    fleet.assert_run_once();
}

/// Guards against streams in progress that end when the links are lost, although they may go on at another engine, and
/// that are accused of having crashed theirs.
#[rstest]
#[case::reset(LinkState::Reset)]
#[case::silent(LinkState::Silent)]
#[case::refused(LinkState::Refused)]
#[tokio::test]
async fn streams_in_progress_go_on_when_links_are_lost(#[case] state: LinkState) {
    // A new fleet's retry budget has room for a few of these streams only.
    let fleet = LinkedFleet::start_with(8, "\n[repeats]\nslack = 4000\n").await;
    for engine in fleet.engines.iter().filter(|engine| engine.is_decode()) {
        engine.answer_with(Answering::Paused(
            Pause::Spread,
            Duration::from_millis(1_600),
        ));
    }

    let mut streams = JoinSet::new();
    for gateway in 0..5 {
        for number in 0..4 {
            let fleet = Arc::clone(&fleet);
            streams.spawn(async move {
                let body = format!("Resumable {gateway} {number}");
                let reply = fleet.fleet.exchange(gateway, 7, ("/resume/x", &body)).await;
                reply.is_some_and(|reply| reply.body == events(1, 5))
            });
        }
    }
    sleep(Duration::from_millis(800)).await;
    fleet.set_links(0..5, state);

    let whole = streams.join_all().await;
    let cut = fleet.fleet.events("stream not resumed");
    assert_eq!(whole, [true; 20], "{cut:?}");
    assert_eq!(fleet.events("request suspected"), [0; 8]);
    fleet.assert_run_once();
}

/// Guards against the search for lost links that keeps a gateway from ending.
#[tokio::test]
async fn a_gateway_without_links_stops_when_its_requests_have_ended() {
    let fleet = LinkedFleet::start(3).await;
    fleet.set_links(0..1, LinkState::Refused);
    fleet.play(STABLE_WINDOW).await;
    assert_eq!(fleet.events("links lost")[0], 2);

    fleet.fleet.signal(0, "TERM");
    wait_until("the gateway stops", || fleet.events("stopped")[0] == 1).await;

    assert_eq!(fleet.fleet.events("stopped")[0]["complete"], true);
}

/// Guards against a gateway that keeps an engine's rest for its own requests and forwards those of others.
#[tokio::test]
async fn an_engine_at_rest_gets_nothing_for_other_gateways() {
    const REST: Duration = Duration::from_secs(3);
    let fleet = LinkedFleet::start(3).await;
    fleet.set_links(0..2, LinkState::Refused);
    fleet.play(STABLE_WINDOW).await;

    let plain = || fleet.engines.iter().filter(|engine| engine.is_plain());
    for engine in plain() {
        engine.answer_with(Answering::Refused);
        engine.add_header("retry-after", "3");
    }
    let began = Instant::now();
    fleet.play(REST).await;

    for engine in plain() {
        let arrivals: Vec<_> = engine.arrivals().iter().map(|a| a.at).collect();
        let asked = arrivals.iter().copied().find(|at| *at > began).unwrap();
        let rest = asked + Duration::from_millis(500)..asked + REST;
        let arrived = arrivals.iter().filter(|at| rest.contains(at)).count();
        assert!(arrived <= 2, "{arrived} requests reached an engine at rest");
    }
}

/// Guards against a port that sends requests to engines for anybody who connects.
#[tokio::test]
async fn requests_of_strangers_are_not_forwarded() {
    let fleet = LinkedFleet::start(3).await;
    let arrivals = || -> usize { fleet.engines.iter().map(|e| e.arrivals().len()).sum() };
    let before = arrivals();

    let mut stranger = TcpStream::connect(fleet.fleet.peer_address(0))
        .await
        .unwrap();
    let attempt = r#"{"upstream":"i-0-1","build":0,"left_ms":5000,"idle_ms":0,"prefill":false,"on_trial":false}"#;
    let request = format!(
        "POST /safe/x HTTP/1.1\r\nhost: h.example\r\nx-cumindoor-request-id: s\r\nforward-attempt: {attempt}\r\n\r\n"
    );
    let mut answer = Vec::new();
    // The connection may be closed before the request is written.
    let _ = stranger.write_all(request.as_bytes()).await;
    let _ = stranger.read_to_end(&mut answer).await;

    assert!(answer.is_empty(), "{}", String::from_utf8_lossy(&answer));
    assert_eq!(arrivals(), before);
}
