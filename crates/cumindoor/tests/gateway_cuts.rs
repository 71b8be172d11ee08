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

use fleet::{Crash, CrashingEngine, EngineOptions, Fleet};
use links::{Link, LinkState};
use rstest::rstest;
use support::{FakeStore, config, events};
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
        let fleet = Fleet::spawn_on((program, directory), gateways, (registry, stores), "");
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

    /// Returns how often the attempts that ran at most once are known to have reached engines.
    fn once_only_arrivals(&self) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        let arrivals = self.engines.iter().flat_map(CrashingEngine::arrivals);
        for arrival in arrivals.filter(|arrival| arrival.body.starts_with(b"Once")) {
            *counts.entry(arrival.id).or_default() += 1;
        }
        counts
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
#[case::forty_of_sixty_reset(60, 40, LinkState::Reset)]
#[case::forty_of_sixty_silent(60, 40, LinkState::Silent)]
#[tokio::test]
async fn callers_of_gateways_without_links_to_engines_are_served(
    #[case] gateways: u8,
    #[case] lost: usize,
    #[case] state: LinkState,
) {
    let fleet = LinkedFleet::start(gateways).await;

    fleet.set_links(0..lost, state);
    let played = fleet.play(STABLE_WINDOW * 2).await;

    assert_served(&played, &(0..lost));
    let twice = fleet.once_only_arrivals();
    let twice: Vec<_> = twice.iter().filter(|(_, count)| **count > 1).collect();
    assert!(twice.is_empty(), "sent more than once: {twice:?}");
}
