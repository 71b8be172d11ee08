//! Placement of requests, without a network and in virtual time.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use border::{Change, Model, Prompt, Stage, UpstreamEntry};
use coord::limit::{Rate, SharedLimits};
use coord::name::{DataCentre, Service, Upstream};
use coord::origin::{BuildKey, build_key};
use coord::time::Time;
use cumindoor::gateway::admission::balance::sparable;
use cumindoor::gateway::admission::load_table::{
    Digest, Key, Load, LoadTable, Waiting, service_key, upstream_key,
};
use cumindoor::gateway::admission::placement::{Choice, Demand, Placer, usable_tokens};
use cumindoor::gateway::engines::directory::{Directory, UpstreamChange};
use cumindoor::gateway::engines::health::Outcome;
use cumindoor::gateway::fleet::peer_list::PeerList;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

fn ms(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn model() -> Model {
    Model {
        kv_capacity: 60_000,
        kv_hold: Duration::from_millis(500),
    }
}

fn entry(stage: Option<Stage>, zone: &str) -> UpstreamEntry {
    UpstreamEntry {
        service: "s".into(),
        version: "v1".into(),
        address: ([127, 0, 0, 1], 1).into(),
        data_centre: zone.into(),
        slots: 64,
        draining: false,
        warmup_left: Duration::ZERO,
        stage,
        start_ms: None,
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

fn kv_load(tokens: u32) -> Load {
    Load {
        requests: 1,
        unprefilled_tokens: 0,
        kv_tokens: tokens,
    }
}

fn digest(number: u64, loads: &[(Key, Load)]) -> Digest {
    Digest {
        start: 1,
        sequence: number,
        loads: loads.to_vec(),
        ..Digest::default()
    }
}

struct Fixture {
    directory: Directory,
    loads: LoadTable,
    limits: SharedLimits<SocketAddr>,
    rng: ChaCha8Rng,
    build: Option<BuildKey>,
    rank: Option<usize>,
}

impl Fixture {
    fn new(names: &[&str], stage: Option<Stage>) -> Self {
        Self {
            directory: directory(names, stage),
            loads: LoadTable::default(),
            limits: SharedLimits::new(peer(1)),
            rng: ChaCha8Rng::seed_from_u64(1),
            build: None,
            rank: None,
        }
    }

    fn placer<'a>(&'a mut self, preferred: &'a DataCentre, now: Time) -> Placer<'a, ChaCha8Rng> {
        Placer {
            directory: &self.directory,
            loads: &self.loads,
            limits: &self.limits,
            patience: Some(Duration::ZERO),
            build: self.build,
            preferred,
            now,
            rng: &mut self.rng,
            rank: self.rank,
            max_gap: None,
        }
    }

    fn decode(&mut self, tokens: u32, now: Time) -> Option<Upstream> {
        let demand = Demand {
            prompt_tokens: tokens,
            kv_tokens: tokens,
        };
        let preferred = DataCentre::from("z");
        let chosen = self
            .placer(&preferred, now)
            .choose_decode(&"s".into(), &model(), demand, &[]);
        chosen.map(|choice| choice.name)
    }
}

/// Guards against placements that exceed an engine's KV cache, which makes the engine preempt
/// streams.
#[test]
fn placements_never_overfill_an_engine() {
    let mut fixture = Fixture::new(&["a", "b"], Some(Stage::Decode));
    let mut placed = 0;
    while let Some(name) = fixture.decode(6_000, ms(1)) {
        fixture.loads.reserve(upstream_key(&name), kv_load(6_000));
        placed += 1;
        assert!(placed < 100);
    }

    for name in ["a", "b"] {
        let load = fixture.loads.load(upstream_key(&name.into()));
        assert!(load.kv_tokens <= usable_tokens(&model()));
    }
    assert_eq!(placed, 18);
}

/// Guards against a gateway that uses capacity which another gateway has already taken.
#[test]
fn placements_of_other_gateways_count() {
    let mut fixture = Fixture::new(&["a"], Some(Stage::Decode));
    let load = (upstream_key(&"a".into()), kv_load(55_000));
    fixture
        .loads
        .apply_digest(ms(1), peer(2), digest(1, &[load]));

    let chosen = fixture.decode(6_000, ms(2));

    assert_eq!(chosen, None);
}

/// Guards against load that remains in the table after its gateway went silent or stopped.
#[test]
fn load_of_silent_gateways_is_dropped() {
    let key = upstream_key(&"a".into());
    let mut loads = LoadTable::default();
    loads.apply_digest(ms(1), peer(2), digest(1, &[(key, kv_load(10))]));
    loads.apply_digest(ms(1), peer(3), digest(1, &[(key, kv_load(20))]));
    let stopped = Digest {
        stopping: true,
        ..digest(2, &[])
    };

    loads.apply_digest(ms(2_000), peer(3), stopped);
    let gone = loads.expire(ms(3_500));

    assert_eq!(gone, [peer(2)]);
    assert_eq!(loads.load(key), Load::default());
    assert_eq!(loads.gateway_count(), 1);
}

/// Guards against a reordered datagram that replaces a newer one, and against a restarted gateway
/// that is ignored because its sequence numbers start again.
#[test]
fn only_newer_digests_are_applied() {
    let key = upstream_key(&"a".into());
    let mut loads = LoadTable::default();
    loads.apply_digest(ms(1), peer(2), digest(5, &[(key, kv_load(10))]));

    let late = loads.apply_digest(ms(2), peer(2), digest(4, &[(key, kv_load(99))]));
    let restarted = Digest {
        start: 2,
        ..digest(1, &[(key, kv_load(7))])
    };
    let heard = loads.apply_digest(ms(3), peer(2), restarted);

    assert!(!late);
    assert!(heard);
    assert_eq!(loads.load(key).kv_tokens, 7);
}

/// Guards against several gateways that all take the same capacity. The one whose request has
/// waited longest goes first, and requests that can still meet their target go before those that
/// are late.
#[rstest]
#[case::older(false, 300, 1)]
#[case::younger(false, 100, 0)]
#[case::late(true, 900, 0)]
fn the_longest_wait_goes_first(#[case] late: bool, #[case] waited: u32, #[case] ahead: u32) {
    let service = service_key(&Service::from("s"));
    let mut loads = LoadTable::default();
    let waiting = Waiting {
        requests: 1,
        kv_tokens: 1,
        late,
        waited_ms: waited,
    };
    let digest = Digest {
        waiting: vec![(service, waiting)],
        ..digest(1, &[])
    };
    loads.apply_digest(ms(1_000), peer(2), digest);

    let counted = loads.gateways_ahead(ms(1_000), service, false, Duration::from_millis(200));

    assert_eq!(counted, ahead);
}

/// Guards against a demand that no engine can meet, and against an estimate above the output limit.
#[test]
fn a_demand_fits_one_engine() {
    let prompt = Prompt {
        tokens: 90_000,
        output_limit: 1_870,
        output_estimate: Some(9_000),
    };

    let demand = Demand::new(&prompt, &model());

    assert_eq!(demand.kv_tokens, usable_tokens(&model()));
    let small = Demand::new(
        &Prompt {
            tokens: 1_000,
            ..prompt
        },
        &model(),
    );
    assert_eq!(small.kv_tokens, 2_870);
}

/// Guards against the choice of upstreams that are gone, are draining, serve another stage or have
/// failed.
#[test]
fn only_healthy_upstreams_are_chosen() {
    let mut fixture = Fixture::new(&["a", "b", "c"], Some(Stage::Decode));
    let leaving = UpstreamEntry {
        draining: true,
        ..entry(Some(Stage::Decode), "z")
    };
    fixture
        .directory
        .apply(ms(1), Change::Upstream("a".into(), Ok(leaving)));
    let other = entry(Some(Stage::Prefill), "z");
    fixture
        .directory
        .apply(ms(1), Change::Upstream("b".into(), Ok(other)));
    fixture.directory.apply(
        ms(1),
        Change::Upstream("d".into(), Ok(entry(Some(Stage::Decode), "z"))),
    );
    for _ in 0..2 {
        let failed = fixture.directory.get_mut(&"d".into()).unwrap();
        failed.health.record(ms(2), Outcome::Lost);
    }

    assert_eq!(fixture.decode(1_000, ms(3)), Some("c".into()));
    fixture.directory.apply(ms(4), Change::Deleted("c".into()));
    // If only an ejected upstream is left, it is tried again.
    assert_eq!(fixture.decode(1_000, ms(5)), Some("d".into()));
}

/// Guards against a failed engine that each gateway has to detect by itself.
#[test]
fn failures_reported_by_other_gateways_count() {
    let mut fixture = Fixture::new(&["a", "b"], Some(Stage::Decode));
    let failing = Digest {
        failing: vec![(upstream_key(&"a".into()), 100)],
        ..digest(1, &[])
    };
    fixture.loads.apply_digest(ms(1), peer(2), failing);

    for number in 0..20 {
        assert_eq!(fixture.decode(1_000, ms(2 + number)), Some("b".into()));
    }
}

fn report_failures(fixture: &mut Fixture, number: u8, percent: u8, names: &[&str]) {
    let failing = names.iter().map(|name| upstream_key(&(*name).into()));
    let failing = Digest {
        failing: failing.map(|key| (key, percent)).collect(),
        ..digest(1, &[])
    };
    fixture.loads.apply_digest(ms(1), peer(number), failing);
}

/// Guards against an engine that loses one or two requests of each gateway of a large fleet before
/// all have ejected it, and against one that is skipped because of single failures that it
/// answered.
#[rstest]
#[case(40, true)]
#[case(25, false)]
fn lost_requests_of_several_gateways_add_up(#[case] percent: u8, #[case] skipped: bool) {
    let mut fixture = Fixture::new(&["a", "b", "c", "d", "e", "f"], Some(Stage::Decode));
    // Only the suspected engine has capacity.
    for name in ["b", "c", "d", "e", "f"] {
        fixture
            .loads
            .reserve(upstream_key(&name.into()), kv_load(60_000));
    }

    for number in 2..5 {
        report_failures(&mut fixture, number, percent, &["a"]);
    }

    assert_eq!(fixture.decode(1_000, ms(2)).is_none(), skipped);
}

/// Guards against a gateway that is cut off from the engines and makes the other gateways skip all
/// of them.
#[test]
fn reports_of_a_gateway_at_which_most_upstreams_fail_are_ignored() {
    let mut fixture = Fixture::new(&["a", "b", "c"], Some(Stage::Decode));

    report_failures(&mut fixture, 2, 100, &["a", "b"]);

    let chosen: BTreeSet<_> = (0..50)
        .filter_map(|_| fixture.decode(1_000, ms(2)))
        .collect();
    assert_eq!(chosen.len(), 3);
}

/// Guards against failure reports of peers that outweigh an answer which the engine has just given
/// to this gateway.
#[test]
fn a_recent_answer_outweighs_reports_of_other_gateways() {
    let mut fixture = Fixture::new(&["a"], Some(Stage::Decode));
    report_failures(&mut fixture, 2, 100, &["a"]);
    let known = fixture.directory.get_mut(&"a".into()).unwrap();
    known.health.record(ms(1), Outcome::Answered);
    fixture.directory.apply(
        ms(1),
        Change::Upstream("b".into(), Ok(entry(Some(Stage::Decode), "z"))),
    );

    let chosen: BTreeSet<_> = (0..50)
        .filter_map(|_| fixture.decode(1_000, ms(2)))
        .collect();
    assert_eq!(chosen.len(), 2);
}

/// Guards against waiting requests of several gateways that all take the one engine with capacity.
/// Each takes the candidate of its rank, and none if there are fewer candidates.
#[test]
fn waiting_requests_take_the_candidates_of_their_ranks() {
    let choose_at = |rank| {
        let mut fixture = Fixture::new(&["a", "b", "c"], Some(Stage::Decode));
        // Two of the three engines have capacity.
        fixture
            .loads
            .reserve(upstream_key(&"b".into()), kv_load(60_000));
        fixture.rank = Some(rank);
        fixture.decode(1_000, ms(1))
    };

    let chosen = [choose_at(0), choose_at(1), choose_at(2)];

    let distinct: BTreeSet<_> = chosen[..2].iter().flatten().collect();
    assert_eq!(distinct.len(), 2);
    assert_eq!(chosen[2], None);
}

/// Guards against an engine that gets requests while it switches its stage.
#[test]
fn an_engine_that_switches_its_stage_gets_no_requests() {
    let mut fixture = Fixture::new(&["a"], Some(Stage::Decode));
    fixture.directory.set_switching(&"a".into(), ms(100));

    assert_eq!(
        fixture.directory.ordered_switches(ms(40)),
        [(upstream_key(&"a".into()), 60)]
    );
    assert!(
        fixture
            .directory
            .get(&"a".into())
            .unwrap()
            .is_switching(ms(40))
    );
    assert_eq!(fixture.decode(1_000, ms(101)), Some("a".into()));
}

/// Guards against entries that are dropped although the store was unavailable, and against entries
/// that are kept after the grace period.
#[test]
fn entries_that_were_lost_in_an_outage_have_time_to_return() {
    let mut directory = directory(&["a", "b"], None);
    directory.begin_outage(ms(200));
    directory.end_outage(ms(1_000), Duration::from_secs(2));

    let changes = directory.replace(ms(1_000), Vec::new());
    let back = Change::Upstream("b".into(), Ok(entry(None, "z")));
    directory.apply(ms(2_000), back);
    let early = directory.expire(ms(2_900));
    let gone = directory.expire(ms(3_000));

    assert_eq!(changes.len(), 2);
    assert_eq!(changes[0].1, UpstreamChange::Missing);
    assert_eq!(early, []);
    assert_eq!(gone, [Upstream::from("a")]);
    assert!(directory.get(&"b".into()).is_some());
}

/// Guards against an entry that is kept for ever because the store is lost again and again.
#[test]
fn a_missing_entry_gets_no_more_time_from_later_outages() {
    let mut directory = directory(&["a"], None);
    let grace = Duration::from_secs(2);
    directory.begin_outage(ms(0));
    directory.end_outage(ms(1_000), grace);
    directory.replace(ms(1_000), Vec::new());

    // The store is available for 500 ms in each second.
    for second in 1..4 {
        directory.begin_outage(ms(1_000 * second + 500));
        directory.end_outage(ms(1_000 * second + 1_000), grace);
    }
    let early = directory.expire(ms(4_400));
    let gone = directory.expire(ms(4_500));

    assert_eq!(early, []);
    assert_eq!(gone, [Upstream::from("a")]);
}

/// Guards against an entry that is dropped while it cannot return, because the store is unavailable.
#[test]
fn a_missing_entry_is_not_dropped_during_an_outage() {
    let mut directory = directory(&["a"], None);
    directory.begin_outage(ms(0));
    directory.end_outage(ms(1_000), Duration::from_secs(2));
    directory.replace(ms(1_000), Vec::new());

    directory.begin_outage(ms(2_000));
    let during = directory.expire(ms(9_000));
    directory.end_outage(ms(9_000), Duration::from_secs(2));
    let after = directory.expire(ms(9_900));
    let gone = directory.expire(ms(10_000));

    assert_eq!(during, []);
    assert_eq!(after, []);
    assert_eq!(gone, [Upstream::from("a")]);
}

/// Guards against a deletion that is delayed although there was no outage of the store.
#[test]
fn entries_that_are_deleted_are_removed_at_once() {
    let mut directory = directory(&["a"], None);

    let changes = directory.apply(ms(1), Change::Deleted("a".into()));

    assert_eq!(changes, Some(("a".into(), UpstreamChange::Removed)));
    assert!(directory.get(&"a".into()).is_none());
}

/// Guards against health that is carried over to an engine that restarted under the same name.
#[test]
fn a_restarted_engine_starts_with_fresh_health() {
    let mut directory = directory(&["a"], None);
    for _ in 0..3 {
        directory
            .get_mut(&"a".into())
            .unwrap()
            .health
            .record(ms(1), Outcome::Lost);
    }
    let again = UpstreamEntry {
        start_ms: Some(5),
        ..entry(None, "z")
    };

    let changes = directory.apply(ms(2), Change::Upstream("a".into(), Ok(again)));

    assert_eq!(changes, Some(("a".into(), UpstreamChange::Restarted)));
    assert!(!directory.get(&"a".into()).unwrap().health.is_ejected(ms(2)));
}

/// Guards against a gateway that uses the quota of the whole fleet because it has just started, or was
/// cut off from the others when it did.
#[test]
fn a_starting_gateway_assumes_other_gateways() {
    let mut loads = LoadTable::default();

    loads.record_fleet(ms(100), 0);
    assert!(loads.fleet().size(ms(100), true) > 8);
    assert!(loads.fleet().size(ms(60_000), true) > 8);
    assert_eq!(loads.fleet().size(ms(100), false), 1);
    loads.apply_digest(ms(1_000), peer(2), Digest::default());
    loads.record_fleet(ms(1_000), 0);
    assert!(loads.fleet().size(ms(2_000), true) > 8);
    assert_eq!(loads.fleet().size(ms(6_000), true), 2);
}

/// Guards against a gateway that divides limits among those that it hears, while others exist that only
/// they hear.
#[test]
fn a_gateway_counts_those_that_others_hear() {
    let now = ms(9_000);
    let mut peer_list = PeerList::new(peer(1));
    let digest = Digest {
        peers: vec![peer(1), peer(2), peer(3), peer(4)],
        ..Digest::default()
    };

    peer_list.record_digest(now, peer(2), &digest);

    assert_eq!(peer_list.hearsay(now), 2);
    assert_eq!(peer_list.hearsay(ms(20_000)), 0);
}

/// Names a limit of the upstream so long ago that one request may be sent there.
fn limit(fixture: &mut Fixture, name: &str, now: Time) {
    let endpoint = fixture.directory.get(&name.into()).unwrap();
    let rate = Rate::per_second(1.0).unwrap();
    fixture.limits.record_named(now, endpoint.limit_key, rate);
}

/// Guards against requests to an upstream that names a limit while others have room.
#[test]
fn upstreams_without_a_limit_are_used_first() {
    let (preferred, service) = (DataCentre::from("z"), Service::from("s"));
    let mut fixture = Fixture::new(&["a", "b"], None);
    limit(&mut fixture, "a", ms(9_000));

    for _ in 0..20 {
        let now = ms(10_500);
        let chosen = fixture.placer(&preferred, now).choose_plain(&service, &[]);
        let chosen = chosen.expect("one has room");
        assert_eq!(chosen.name, "b".into());
    }
    let stale = fixture.placer(&preferred, ms(12_000));
    assert!(stale.limited_out(&service, None, &[]).is_none());
}

/// Guards against requests that wait although the limits of all upstreams leave no room in time, and
/// against more requests than a limit allows.
#[test]
fn no_upstream_is_chosen_if_the_limits_of_all_leave_no_room() {
    let (preferred, service) = (DataCentre::from("z"), Service::from("s"));
    let mut fixture = Fixture::new(&["a", "b"], None);
    limit(&mut fixture, "a", ms(9_000));
    limit(&mut fixture, "b", ms(9_100));

    let now = ms(9_500);
    let mut placer = fixture.placer(&preferred, now);
    let chosen = placer.choose_plain(&service, &[]);
    let next = placer.limited_out(&service, None, &[]);

    assert!(chosen.is_none());
    assert_eq!(next.map(|endpoint| &endpoint.name), Some(&"a".into()));
    let mut patient = fixture.placer(&preferred, now);
    patient.patience = Some(Duration::from_millis(550));
    let chosen = patient.choose_plain(&service, &[]);
    assert_eq!(chosen.map(|choice| choice.name), Some("a".into()));
}

/// Returns a directory with upstreams of these versions, named `a`, `b` and so on.
fn versions(versions: &[&str], stage: Option<Stage>) -> Directory {
    let mut directory = Directory::default();
    for (name, version) in ["a", "b", "c", "d"].iter().zip(versions) {
        let entry = UpstreamEntry {
            version: (*version).into(),
            ..entry(stage, "z")
        };
        directory.apply(Time::ZERO, Change::Upstream((*name).into(), Ok(entry)));
    }
    directory
}

/// Guards against a stream that is placed at another version, at any stage and however empty that is.
#[rstest]
#[case::decode(Some(Stage::Decode))]
#[case::prefill(Some(Stage::Prefill))]
#[case::plain(None)]
fn a_stream_that_has_begun_is_placed_at_its_version(#[case] stage: Option<Stage>) {
    let mut fixture = Fixture::new(&[], stage);
    fixture.directory = versions(&["v1", "v2", "v2"], stage);
    fixture.build = Some(build_key("s", "v1"));
    fixture
        .loads
        .reserve(upstream_key(&"a".into()), kv_load(40_000));
    let demand = Demand {
        prompt_tokens: 100,
        kv_tokens: 100,
    };
    let preferred = DataCentre::from("z");
    let service = Service::from("s");

    for _ in 0..20 {
        let mut placer = fixture.placer(&preferred, ms(1));
        let chosen = match stage {
            None => placer.choose_plain(&service, &[]),
            Some(Stage::Prefill) => {
                placer.choose_prefill(&service, demand, build_key("s", "v2"), &[])
            }
            Some(Stage::Decode) => placer.choose_decode(&service, &model(), demand, &[]),
        };
        assert_eq!(chosen.map(|choice| choice.name), Some("a".into()));
        let tried = ["a".into()];
        assert_eq!(placer.choose_plain(&service, &tried), None);
    }
}

/// Guards against prefill results of another version while engines of the same one are as free.
#[test]
fn a_prefill_engine_of_the_version_that_decodes_is_preferred() {
    let mut fixture = Fixture::new(&[], None);
    fixture.directory = versions(&["v1", "v2"], Some(Stage::Prefill));
    let preferred = DataCentre::from("z");
    let service = Service::from("s");
    let demand = Demand {
        prompt_tokens: 100,
        kv_tokens: 100,
    };
    let prefill = |fixture: &mut Fixture| {
        let mut placer = fixture.placer(&preferred, ms(1));
        let chosen = placer.choose_prefill(&service, demand, build_key("s", "v2"), &[]);
        chosen.unwrap().name
    };

    assert_eq!(prefill(&mut fixture), "b".into());
    let queued = Load {
        requests: 1,
        unprefilled_tokens: 8_000,
        kv_tokens: 0,
    };
    fixture.loads.reserve(upstream_key(&"b".into()), queued);
    assert_eq!(prefill(&mut fixture), "a".into());
}

/// Guards against a version that is taken for that of the engine's start before.
#[test]
fn an_entry_with_another_version_is_another_start() {
    let mut directory = versions(&["v1"], None);
    let before = Choice::from(directory.get(&"a".into()).unwrap());
    let next = UpstreamEntry {
        version: "v2".into(),
        ..entry(None, "z")
    };

    let change = directory.apply(ms(1), Change::Upstream("a".into(), Ok(next)));

    assert_eq!(change, Some(("a".into(), UpstreamChange::Restarted)));
    assert!(!directory.is_current(&before));
    assert!(directory.has_other_build(&before));
}

/// Guards against an order that takes the last decode engine of a version, at which its streams go on.
#[rstest]
#[case::one_version(&[1, 1, 1], &[1, 1])]
#[case::last_of_each(&[1, 2, 3], &[])]
#[case::newest_is_idle(&[2, 1, 1, 1], &[1, 1])]
fn the_last_engine_of_a_version_keeps_its_stage(#[case] idle: &[u64], #[case] expected: &[u64]) {
    let spare = sparable(idle.to_vec(), idle, |build| *build);

    assert_eq!(spare, expected);
}

/// Guards against origins that are told to nobody while a gateway ends its last streams.
#[test]
fn a_gateway_that_stops_knows_the_others_although_they_fall_silent() {
    let mut loads = LoadTable::default();
    for number in [2, 3] {
        loads.apply_digest(ms(0), peer(number), digest(1, &[]));
    }

    loads.begin_stop();
    loads.expire(ms(10_000));

    assert!(!loads.is_live(peer(2)));
    assert_eq!(loads.others(), [peer(2), peer(3)]);
}

fn place_plain(fixture: &mut Fixture, held: usize) -> Vec<Upstream> {
    let preferred = DataCentre::from("z");
    let mut placed = Vec::new();
    for _ in 0..held {
        let chosen = fixture
            .placer(&preferred, ms(1))
            .choose_plain(&"s".into(), &[]);
        if let Some(choice) = chosen {
            let load = Load {
                requests: 1,
                ..Load::default()
            };
            fixture.loads.reserve(choice.key, load);
            placed.push(choice.name);
        }
    }
    placed
}

/// Guards against an entry that states absurd room and takes all requests of its service, or none, or ends them
/// without an answer.
#[rstest]
#[case::half(2_147_483_648)]
#[case::above_half(3_000_000_000)]
#[case::highest(u32::MAX)]
#[case::thousands(5_000)]
fn absurd_room_in_an_entry_draws_no_load(#[case] slots: u32) {
    let mut fixture = Fixture::new(&["a", "b", "odd"], None);
    let absurd = UpstreamEntry {
        slots,
        ..entry(None, "z")
    };
    let change = Change::Upstream("odd".into(), Ok(absurd));
    fixture.directory.apply(Time::ZERO, change);

    let placed = place_plain(&mut fixture, 90);

    let odd = placed.iter().filter(|name| name.as_str() == "odd").count();
    assert_eq!(placed.len(), 90);
    assert!((20..=40).contains(&odd), "{odd} of 90 at the odd one");
}

/// Guards against a service whose only upstream states absurd room and gets no requests.
#[test]
fn absurd_room_of_a_single_upstream_is_used() {
    let mut fixture = Fixture::new(&[], None);
    let absurd = UpstreamEntry {
        slots: u32::MAX,
        ..entry(None, "z")
    };
    let change = Change::Upstream("odd".into(), Ok(absurd));
    fixture.directory.apply(Time::ZERO, change);

    assert_eq!(place_plain(&mut fixture, 20).len(), 20);
}

/// Guards against sums of loads that other gateways state and that end the process or wrap around.
#[test]
fn absurd_loads_of_other_gateways_end_nothing() {
    let mut fixture = Fixture::new(&["a", "b"], Some(Stage::Decode));
    let key = upstream_key(&"a".into());
    let highest = Load {
        requests: u32::MAX,
        unprefilled_tokens: u32::MAX,
        kv_tokens: u32::MAX,
    };
    let waiting = Waiting {
        requests: u32::MAX,
        kv_tokens: u32::MAX,
        ..Waiting::default()
    };
    for number in 1..=3 {
        let told = Digest {
            waiting: vec![(service_key(&"s".into()), waiting)],
            ..digest(1, &[(key, highest)])
        };
        fixture.loads.apply_digest(ms(1), peer(number), told);
    }
    fixture.loads.reserve(key, kv_load(5));

    let loaded = fixture.loads.load(key);
    let chosen = fixture.decode(6_000, ms(2));
    fixture.loads.expire(ms(60_000));

    assert_eq!(loaded, highest);
    assert_eq!(chosen, Some("b".into()));
    assert_eq!(fixture.loads.load(key), kv_load(5));
}

/// Guards against gateways that choose the same engine at the same moment and all keep it, or all give it up.
#[test]
fn one_of_several_gateways_keeps_an_engine_that_all_chose_at_once() {
    let key = upstream_key(&"a".into());
    let mut tables: Vec<LoadTable> = (0..5).map(|_| LoadTable::default()).collect();
    for table in &mut tables {
        table.reserve(key, kv_load(30_000));
    }
    let since = ms(100);
    for (to, table) in (1..).zip(&mut tables) {
        for from in (1..=5).filter(|from| *from != to) {
            table.apply_digest(ms(105), peer(from), digest(1, &[(key, kv_load(30_000))]));
        }
    }

    let outbid: Vec<bool> = (1..)
        .zip(&tables)
        .map(|(own, table)| table.is_outbid(key, since, peer(own)))
        .collect();

    let kept = outbid.iter().filter(|outbid| !**outbid).count();
    assert_eq!(kept, 1, "{outbid:?}");
}

/// Guards against a gateway that gives up a place because of load that it knew when it chose, or that did not grow.
#[test]
fn load_that_was_known_before_outbids_nobody() {
    let key = upstream_key(&"a".into());
    let mut table = LoadTable::default();
    for from in 1..=5 {
        table.apply_digest(ms(95), peer(from), digest(1, &[(key, kv_load(9_000))]));
        table.apply_digest(ms(105), peer(from), digest(2, &[(key, kv_load(9_000))]));
    }

    let outbid = (1..=6).any(|own| table.is_outbid(key, ms(100), peer(own)));

    assert!(!outbid);
}
