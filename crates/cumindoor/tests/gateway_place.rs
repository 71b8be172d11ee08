//! Where a gateway places requests, without a network and in virtual time.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use border::{Change, Model, Prompt, Stage, UpstreamEntry};
use coord::name::{DataCentre, Service, Upstream};
use coord::time::Time;
use cumindoor::gateway::board::{Board, Digest, Key, Load, Waiting, service_key, upstream_key};
use cumindoor::gateway::directory::{Directory, News};
use cumindoor::gateway::health::Outcome;
use cumindoor::gateway::place::{Choosing, Demand, limit};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

fn ms(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn model() -> Model {
    Model {
        memory: 60_000,
        kept: Duration::from_millis(500),
    }
}

fn entry(stage: Option<Stage>, zone: &str) -> UpstreamEntry {
    UpstreamEntry {
        service: "s".into(),
        address: ([127, 0, 0, 1], 1).into(),
        data_centre: zone.into(),
        slots: 64,
        leaving: false,
        cold: Duration::ZERO,
        stage,
        start: None,
    }
}

fn directory(names: &[&str], stage: Option<Stage>) -> Directory {
    let mut directory = Directory::default();
    for name in names {
        let change = Change::Upstream((*name).into(), Ok(entry(stage, "z")));
        directory.apply(Time::ZERO, change);
    }
    directory
}

fn peer(number: u8) -> SocketAddr {
    ([10, 0, 0, number], 7000).into()
}

fn memory(tokens: u32) -> Load {
    Load {
        requests: 1,
        unread: 0,
        memory: tokens,
    }
}

fn digest(number: u64, loads: &[(Key, Load)]) -> Digest {
    Digest {
        start: 1,
        number,
        loads: loads.to_vec(),
        ..Digest::default()
    }
}

struct World {
    directory: Directory,
    board: Board,
    rng: ChaCha8Rng,
    rank: Option<usize>,
}

impl World {
    fn new(names: &[&str], stage: Option<Stage>) -> Self {
        Self {
            directory: directory(names, stage),
            board: Board::default(),
            rng: ChaCha8Rng::seed_from_u64(1),
            rank: None,
        }
    }

    fn choosing<'a>(&'a mut self, near: &'a DataCentre, now: Time) -> Choosing<'a, ChaCha8Rng> {
        Choosing {
            directory: &self.directory,
            board: &self.board,
            near,
            now,
            rng: &mut self.rng,
            rank: self.rank,
        }
    }

    fn decode(&mut self, tokens: u32, now: Time) -> Option<Upstream> {
        let demand = Demand {
            prompt: tokens,
            memory: tokens,
        };
        let near = DataCentre::from("z");
        let chosen = self
            .choosing(&near, now)
            .decode(&"s".into(), &model(), demand, &[]);
        chosen.map(|choice| choice.name)
    }
}

/// Guards against placements that overfill an engine's memory, which preempts streams.
#[test]
fn placements_never_overfill_an_engine() {
    let mut world = World::new(&["a", "b"], Some(Stage::Decode));
    let mut placed = 0;
    while let Some(name) = world.decode(6_000, ms(1)) {
        world.board.place(upstream_key(&name), memory(6_000));
        placed += 1;
        assert!(placed < 100);
    }

    for name in ["a", "b"] {
        let load = world.board.load(upstream_key(&name.into()));
        assert!(load.memory <= limit(&model()));
    }
    assert_eq!(placed, 18);
}

/// Guards against room that a gateway sees although another one has taken it.
#[test]
fn placements_of_other_gateways_count() {
    let mut world = World::new(&["a"], Some(Stage::Decode));
    let load = (upstream_key(&"a".into()), memory(55_000));
    world.board.hear(ms(1), peer(2), digest(1, &[load]));

    let chosen = world.decode(6_000, ms(2));

    assert_eq!(chosen, None);
}

/// Guards against work that stays on the board after its gateway fell silent or stopped.
#[test]
fn work_of_silent_gateways_is_dropped() {
    let key = upstream_key(&"a".into());
    let mut board = Board::default();
    board.hear(ms(1), peer(2), digest(1, &[(key, memory(10))]));
    board.hear(ms(1), peer(3), digest(1, &[(key, memory(20))]));
    let stopped = Digest {
        leaving: true,
        ..digest(2, &[])
    };

    board.hear(ms(2_000), peer(3), stopped);
    let gone = board.expire(ms(3_500));

    assert_eq!(gone, [peer(2)]);
    assert_eq!(board.load(key), Load::default());
    assert_eq!(board.gateways(), 1);
}

/// Guards against a late datagram that replaces a newer one, and a restarted gateway that is not
/// heard because its numbers begin again.
#[test]
fn only_newer_digests_count() {
    let key = upstream_key(&"a".into());
    let mut board = Board::default();
    board.hear(ms(1), peer(2), digest(5, &[(key, memory(10))]));

    let late = board.hear(ms(2), peer(2), digest(4, &[(key, memory(99))]));
    let restarted = Digest {
        start: 2,
        ..digest(1, &[(key, memory(7))])
    };
    let heard = board.hear(ms(3), peer(2), restarted);

    assert!(!late);
    assert!(heard);
    assert_eq!(board.load(key).memory, 7);
}

/// Guards against gateways that all take the same room: the one whose request waits longest goes
/// first, and requests that can be on time go before those that are late.
#[rstest]
#[case::older(false, 300, 1)]
#[case::younger(false, 100, 0)]
#[case::late(true, 900, 0)]
fn the_longest_wait_goes_first(#[case] late: bool, #[case] waited: u32, #[case] ahead: u32) {
    let service = service_key(&Service::from("s"));
    let mut board = Board::default();
    let waiting = Waiting {
        requests: 1,
        memory: 1,
        late,
        waited_ms: waited,
    };
    let digest = Digest {
        waiting: vec![(service, waiting)],
        ..digest(1, &[])
    };
    board.hear(ms(1_000), peer(2), digest);

    let counted = board.gateways_ahead(ms(1_000), service, false, Duration::from_millis(200));

    assert_eq!(counted, ahead);
}

/// Guards against a demand that no engine can meet, and an estimate above the limit.
#[test]
fn a_demand_fits_one_engine() {
    let prompt = Prompt {
        tokens: 90_000,
        output: 1_870,
        estimate: Some(9_000),
    };

    let demand = Demand::new(&prompt, &model());

    assert_eq!(demand.memory, limit(&model()));
    let small = Demand::new(
        &Prompt {
            tokens: 1_000,
            ..prompt
        },
        &model(),
    );
    assert_eq!(small.memory, 2_870);
}

/// Guards against upstreams that are gone, leave, belong to another stage or have failed.
#[test]
fn only_sound_upstreams_are_chosen() {
    let mut world = World::new(&["a", "b", "c"], Some(Stage::Decode));
    let leaving = UpstreamEntry {
        leaving: true,
        ..entry(Some(Stage::Decode), "z")
    };
    world
        .directory
        .apply(ms(1), Change::Upstream("a".into(), Ok(leaving)));
    let other = entry(Some(Stage::Prefill), "z");
    world
        .directory
        .apply(ms(1), Change::Upstream("b".into(), Ok(other)));
    world.directory.apply(
        ms(1),
        Change::Upstream("d".into(), Ok(entry(Some(Stage::Decode), "z"))),
    );
    for _ in 0..2 {
        let failed = world.directory.get_mut(&"d".into()).unwrap();
        failed.health.note(ms(2), Outcome::Lost);
    }

    assert_eq!(world.decode(1_000, ms(3)), Some("c".into()));
    world.directory.apply(ms(4), Change::Gone("c".into()));
    // The last one that is left is tried again although it failed.
    assert_eq!(world.decode(1_000, ms(5)), Some("d".into()));
}

/// Guards against a failed engine that each gateway has to find by itself.
#[test]
fn failures_that_others_saw_count() {
    let mut world = World::new(&["a", "b"], Some(Stage::Decode));
    let failing = Digest {
        failing: vec![(upstream_key(&"a".into()), 100)],
        ..digest(1, &[])
    };
    world.board.hear(ms(1), peer(2), failing);

    for number in 0..20 {
        assert_eq!(world.decode(1_000, ms(2 + number)), Some("b".into()));
    }
}

fn report(world: &mut World, number: u8, percent: u8, names: &[&str]) {
    let failing = names.iter().map(|name| upstream_key(&(*name).into()));
    let failing = Digest {
        failing: failing.map(|key| (key, percent)).collect(),
        ..digest(1, &[])
    };
    world.board.hear(ms(1), peer(number), failing);
}

/// Guards against an engine that loses requests of each gateway of a large fleet once or twice
/// before all have left it out, and against one that is left out for single failures it answered.
#[rstest]
#[case(40, true)]
#[case(25, false)]
fn lost_requests_of_several_gateways_add_up(#[case] percent: u8, #[case] out: bool) {
    let mut world = World::new(&["a", "b", "c", "d", "e", "f"], Some(Stage::Decode));
    // Only the suspect has room.
    for name in ["b", "c", "d", "e", "f"] {
        world
            .board
            .place(upstream_key(&name.into()), memory(60_000));
    }

    for number in 2..5 {
        report(&mut world, number, percent, &["a"]);
    }

    assert_eq!(world.decode(1_000, ms(2)).is_none(), out);
}

/// Guards against a gateway that is cut off from the engines and makes the others leave all out.
#[test]
fn a_gateway_at_which_most_upstreams_fail_is_not_believed() {
    let mut world = World::new(&["a", "b", "c"], Some(Stage::Decode));

    report(&mut world, 2, 100, &["a", "b"]);

    let chosen: BTreeSet<_> = (0..50).filter_map(|_| world.decode(1_000, ms(2))).collect();
    assert_eq!(chosen.len(), 3);
}

/// Guards against others' reports that outweigh an answer that the engine has just given here.
#[test]
fn an_answer_outweighs_reports_of_others() {
    let mut world = World::new(&["a"], Some(Stage::Decode));
    report(&mut world, 2, 100, &["a"]);
    let known = world.directory.get_mut(&"a".into()).unwrap();
    known.health.note(ms(1), Outcome::Answered);
    world.directory.apply(
        ms(1),
        Change::Upstream("b".into(), Ok(entry(Some(Stage::Decode), "z"))),
    );

    let chosen: BTreeSet<_> = (0..50).filter_map(|_| world.decode(1_000, ms(2))).collect();
    assert_eq!(chosen.len(), 2);
}

/// Guards against waiting requests of several gateways that all take the one place that became
/// free: each takes the place of its rank, and none if there are fewer places.
#[test]
fn waiting_requests_take_the_places_of_their_ranks() {
    let places = |rank| {
        let mut world = World::new(&["a", "b", "c"], Some(Stage::Decode));
        // Two of the three have room.
        world.board.place(upstream_key(&"b".into()), memory(60_000));
        world.rank = Some(rank);
        world.decode(1_000, ms(1))
    };

    let taken = [places(0), places(1), places(2)];

    let distinct: BTreeSet<_> = taken[..2].iter().flatten().collect();
    assert_eq!(distinct.len(), 2);
    assert_eq!(taken[2], None);
}

/// Guards against an engine that gets work while it changes its stage.
#[test]
fn an_engine_that_changes_its_stage_gets_no_work() {
    let mut world = World::new(&["a"], Some(Stage::Decode));
    world.directory.switching(&"a".into(), ms(100));

    assert_eq!(
        world.directory.switches(ms(40)),
        [(upstream_key(&"a".into()), 60)]
    );
    assert!(
        world
            .directory
            .get(&"a".into())
            .unwrap()
            .is_switching(ms(40))
    );
    assert_eq!(world.decode(1_000, ms(101)), Some("a".into()));
}

/// Guards against entries that are taken for gone although the store was away, and against ones
/// that stay after they should have come back.
#[test]
fn entries_that_lapsed_in_an_outage_have_time_to_return() {
    let mut directory = directory(&["a", "b"], None);
    directory.regained(ms(1_000), Duration::from_secs(2));

    let news = directory.replace(ms(1_000), Vec::new());
    let back = Change::Upstream("b".into(), Ok(entry(None, "z")));
    directory.apply(ms(2_000), back);
    let early = directory.expire(ms(2_900));
    let gone = directory.expire(ms(3_000));

    assert_eq!(news.len(), 2);
    assert_eq!(news[0].1, News::Missing);
    assert_eq!(early, []);
    assert_eq!(gone, [Upstream::from("a")]);
    assert!(directory.get(&"b".into()).is_some());
}

/// Guards against a deletion that waits although the store was there all the time.
#[test]
fn entries_that_are_deleted_are_gone_at_once() {
    let mut directory = directory(&["a"], None);

    let news = directory.apply(ms(1), Change::Gone("a".into()));

    assert_eq!(news, Some(("a".into(), News::Gone)));
    assert!(directory.get(&"a".into()).is_none());
}

/// Guards against what is remembered of an engine that started again under its name.
#[test]
fn a_restarted_engine_starts_with_a_clean_record() {
    let mut directory = directory(&["a"], None);
    for _ in 0..3 {
        directory
            .get_mut(&"a".into())
            .unwrap()
            .health
            .note(ms(1), Outcome::Lost);
    }
    let again = UpstreamEntry {
        start: Some(5),
        ..entry(None, "z")
    };

    let news = directory.apply(ms(2), Change::Upstream("a".into(), Ok(again)));

    assert_eq!(news, Some(("a".into(), News::Restarted)));
    assert!(!directory.get(&"a".into()).unwrap().health.ejected(ms(2)));
}

/// Guards against a gateway that has just started and uses the whole fleet's allowance.
#[test]
fn a_starting_gateway_assumes_others() {
    let board = Board::default();

    assert!(board.sharers(ms(100)) > 8);
    assert_eq!(board.sharers(ms(6_000)), 1);
}
