//! Speeds of upstreams and placement by them, without a network and in virtual time.

use std::net::SocketAddr;
use std::time::Duration;

use border::{Change, Model, Stage, UpstreamEntry};
use coord::limit::{LimitKey, SharedLimits};
use coord::name::{DataCentre, Service};
use coord::time::Time;
use cumindoor::gateway::admission::load_table::{Digest, Load, LoadTable, service_key};
use cumindoor::gateway::admission::placement::{Demand, Placer};
use cumindoor::gateway::engines::directory::Directory;
use cumindoor::gateway::engines::speeds::{MAX_TOLD, Observation, Speeds, Work};
use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

/// Observations that make a learned ratio follow the last ones alone.
const MANY: usize = 80;

fn ms(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn active() -> Speeds {
    let mut speeds = Speeds::default();
    speeds.activate(true);
    speeds
}

fn ratio(key: LimitKey, percent: u16) -> Observation {
    Observation {
        key,
        slowdown: 0,
        ratio: percent,
    }
}

/// Records calls of upstreams that take as many milliseconds as stated here, in turn.
fn record_calls(speeds: &mut Speeds, times: &[(LimitKey, f64)]) {
    for _ in 0..MANY {
        for (key, ms) in times {
            speeds.record_time(Time::ZERO, *key, (0, Work::Call), *ms);
        }
    }
}

/// Guards against a fast and a slow machine that count alike, and against times of different kinds of work that are
/// compared.
#[test]
fn the_ratio_of_two_upstreams_is_learned() {
    let mut speeds = active();
    record_calls(&mut speeds, &[(1, 40.0), (2, 100.0)]);
    for _ in 0..MANY {
        speeds.record_time(Time::ZERO, 3, (0, Work::Event), 4.0);
    }

    let ratio = speeds.factor(ms(1), 2) / speeds.factor(ms(1), 1);

    assert!((2.2..2.8).contains(&ratio), "{ratio}");
    assert!((0.9..1.1).contains(&speeds.factor(ms(1), 3)));
    assert_eq!(speeds.factor(ms(1), 4).to_bits(), 1.0_f64.to_bits());
}

/// Guards against a statement that is believed long after the machine has changed.
#[rstest]
#[case::fresh(0, 2.5)]
#[case::aged(600, 1.551_82)]
#[case::old(60_000, 1.0)]
fn a_stated_slowdown_loses_weight_with_its_age(#[case] age: u64, #[case] expected: f64) {
    let mut speeds = active();
    speeds.record_stated(ms(1_000), 1, 250);

    let factor = speeds.factor(ms(1_000 + age), 1);

    assert!((factor - expected).abs() < 1e-4, "{factor}");
}

/// Guards against an engine that is avoided for a whole stream because of a slowdown of a moment.
#[test]
fn a_stated_slowdown_holds_for_the_first_part_of_long_work() {
    let mut speeds = active();
    speeds.record_stated(ms(1), 1, 250);

    let over = speeds.factor_over(ms(1), 1, Duration::from_secs(6));

    assert!((1.1..1.2).contains(&over), "{over}");
}

/// Guards against an upstream that counts as slow for good because its machine was busy while it was observed.
#[test]
fn the_stated_slowdown_is_not_learned_as_the_upstreams_own() {
    let mut speeds = active();
    for _ in 0..MANY {
        speeds.record_time(ms(1), 1, (0, Work::Call), 40.0);
        speeds.record_stated(ms(1), 2, 250);
        speeds.record_time(ms(1), 2, (0, Work::Call), 100.0);
    }

    let later = ms(60_000);
    let ratio = speeds.factor(later, 2) / speeds.factor(later, 1);

    assert!((0.95..1.05).contains(&ratio), "{ratio}");
}

/// Guards against figures of a past start, which another machine may have run, and figures that are kept for ever.
#[test]
fn an_upstream_that_starts_anew_has_the_usual_speed() {
    let mut directory = directory(None, &[1.0, 1.0]);
    learn(&mut directory, &[3.0, 1.0]);
    let old = directory.get(&"u0".into()).unwrap().limit_key;
    let restarted = UpstreamEntry {
        start_ms: Some(5),
        ..entry(None)
    };

    directory.apply(ms(1), Change::Upstream("u0".into(), Ok(restarted)));
    let new = directory.get(&"u0".into()).unwrap().limit_key;
    directory.expire(ms(100_000));
    directory.expire(ms(200_000));

    assert_eq!(
        directory.speeds.factor(ms(2), new).to_bits(),
        1.0_f64.to_bits()
    );
    assert_eq!(
        directory.speeds.factor(ms(2), old).to_bits(),
        1.0_f64.to_bits()
    );
}

/// Guards against observations that are told again and again, none, or at a high cost in bytes.
#[test]
fn each_observation_is_told_once_in_few_bytes() {
    let mut speeds = active();
    let key = u64::MAX / 3;
    for _ in 0..MANY {
        speeds.record_time(ms(1), key, (0, Work::Call), 40.0);
    }
    speeds.take_untold();
    speeds.record_stated(ms(1), key, 250);
    speeds.record_time(ms(1), key, (0, Work::Call), 100.0);

    let told = speeds.take_untold();
    let bytes = rmp_serde::to_vec(&told[0]).unwrap().len();

    assert_eq!(told.len(), 1);
    assert_eq!((told[0].key, told[0].slowdown), (key, 250));
    assert!((80..=120).contains(&told[0].ratio), "{told:?}");
    assert!(bytes <= 15, "{bytes}");
    assert_eq!(speeds.take_untold(), Vec::new());
}

/// Guards against gateways that learn only from their own answers, of which there are few in a large fleet.
#[test]
fn a_peer_learns_from_what_it_is_told() {
    let (mut own, mut peer) = (active(), active());
    record_calls(&mut own, &[(1, 40.0), (2, 100.0)]);
    own.record_stated(ms(1), 1, 250);

    for observation in own.take_untold() {
        for _ in 0..MANY {
            peer.merge(ms(9), &[observation]);
        }
    }

    assert!(peer.factor(ms(9), 1) > peer.factor(ms(60_000), 1) * 2.0);
    assert!(peer.factor(ms(60_000), 2) > 1.2);
    assert_eq!(peer.take_untold(), Vec::new());
}

/// Guards against an unbounded digest after a time without peers.
#[test]
fn the_number_of_told_observations_is_bounded() {
    let mut speeds = active();
    for key in 0..1_000 {
        speeds.record_stated(ms(1), key, 120);
    }

    assert_eq!(speeds.take_untold().len(), MAX_TOLD);
}

/// Guards against digests of gateways of an older build that cannot be read.
#[test]
fn a_digest_without_observations_is_read() {
    let digest = Digest {
        sequence: 7,
        observed: vec![ratio(1, 120)],
        ..Digest::default()
    };
    let bytes = rmp_serde::to_vec(&digest).unwrap();
    assert_eq!(rmp_serde::from_slice::<Digest>(&bytes).unwrap(), digest);
    let before = Digest {
        observed: Vec::new(),
        ..digest
    };
    let mut bytes = rmp_serde::to_vec(&before).unwrap();
    // The last field is an empty list, and the first byte is the number of fields.
    assert_eq!(bytes.pop(), Some(0x90));
    bytes[0] -= 1;

    assert_eq!(rmp_serde::from_slice::<Digest>(&bytes).unwrap(), before);
}

/// Guards against speeds that are learned and told though the settings do not ask for it.
#[test]
fn nothing_is_learned_unless_it_is_activated() {
    let mut speeds = Speeds::default();
    speeds.record_stated(ms(1), 1, 250);
    speeds.merge(ms(1), &[ratio(1, 300)]);
    record_calls(&mut speeds, &[(1, 40.0), (2, 100.0)]);

    assert_eq!(speeds.factor(ms(1), 1).to_bits(), 1.0_f64.to_bits());
    assert_eq!(speeds.take_untold(), Vec::new());

    let mut speeds = active();
    speeds.record_stated(ms(1), 1, 250);
    speeds.activate(false);
    assert_eq!(speeds.factor(ms(1), 1).to_bits(), 1.0_f64.to_bits());
}

proptest! {
    /// Guards against figures of other gateways or upstreams that make placement useless: a ratio of zero, infinity
    /// or no number at all, or a table that grows without bound.
    #[test]
    fn odd_figures_do_no_harm(
        told in prop::collection::vec((0..4_u64, any::<u16>(), any::<u16>()), 0..200),
        stated in prop::collection::vec(any::<u32>(), 0..20),
        times in prop::collection::vec(any::<f64>(), 0..50),
        now in any::<u32>(),
    ) {
        let mut speeds = active();
        let told = told.into_iter().map(|(key, slowdown, ratio)| Observation { key, slowdown, ratio });
        let told: Vec<_> = told.collect();
        speeds.merge(ms(1), &told);
        for percent in stated {
            speeds.record_stated(ms(2), 0, percent);
        }
        for time in times {
            speeds.record_time(ms(3), 0, (0, Work::Call), time);
        }

        for key in 0..4 {
            let factor = speeds.factor(ms(now.into()), key);
            prop_assert!((0.1..=10.0).contains(&factor), "{}", factor);
        }
    }
}

fn entry(stage: Option<Stage>) -> UpstreamEntry {
    UpstreamEntry {
        service: "s".into(),
        version: "v1".into(),
        address: ([127, 0, 0, 1], 1).into(),
        data_centre: "z".into(),
        slots: 64,
        draining: false,
        warmup_left: Duration::ZERO,
        stage,
        start_ms: None,
    }
}

/// Returns a directory of upstreams `u0`, `u1` and so on whose work takes this many times as long as usual.
fn directory(stage: Option<Stage>, factors: &[f64]) -> Directory {
    let mut directory = Directory::default();
    for number in 0..factors.len() {
        let name = format!("u{number}").into();
        directory.apply(Time::ZERO, Change::Upstream(name, Ok(entry(stage))));
    }
    learn(&mut directory, factors);
    directory
}

fn learn(directory: &mut Directory, factors: &[f64]) {
    directory.speeds.activate(true);
    for (number, factor) in factors.iter().enumerate() {
        let key = directory
            .get(&format!("u{number}").into())
            .unwrap()
            .limit_key;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "factors of the tests are small"
        )]
        let told = ratio(key, (factor * 100.0) as u16);
        for _ in 0..MANY {
            directory.speeds.merge(Time::ZERO, &[told]);
        }
    }
}

/// A gateway that places requests and releases none.
struct Gateway {
    directory: Directory,
    loads: LoadTable,
    limits: SharedLimits<SocketAddr>,
    rng: ChaCha8Rng,
    max_gap: Option<Duration>,
}

impl Gateway {
    fn new(stage: Option<Stage>, factors: &[f64]) -> Self {
        Self {
            directory: directory(stage, factors),
            loads: LoadTable::default(),
            limits: SharedLimits::new(([10, 0, 0, 1], 7000).into()),
            rng: ChaCha8Rng::seed_from_u64(1),
            max_gap: None,
        }
    }

    /// Places a request of this many tokens and returns the number of its upstream.
    fn place(&mut self, stage: Option<Stage>, tokens: u32) -> Option<usize> {
        let preferred = DataCentre::from("z");
        let service = Service::from("s");
        let model = Model {
            kv_capacity: 60_000,
            kv_hold: Duration::from_millis(500),
        };
        let demand = Demand {
            prompt_tokens: tokens,
            kv_tokens: tokens,
        };
        let mut placer = Placer {
            directory: &self.directory,
            loads: &self.loads,
            limits: &self.limits,
            patience: Some(Duration::ZERO),
            build: None,
            preferred: &preferred,
            now: ms(60_000),
            rng: &mut self.rng,
            rank: None,
            max_gap: self.max_gap,
        };
        let chosen = match stage {
            None => placer.choose_plain(&service, &[]),
            Some(Stage::Prefill) => placer.choose_prefill(&service, demand, 0, &[]),
            Some(Stage::Decode) => placer.choose_decode(&service, &model, demand, &[]),
        }?;
        let load = Load {
            requests: 1,
            unprefilled_tokens: if stage == Some(Stage::Prefill) {
                tokens
            } else {
                0
            },
            kv_tokens: if stage == Some(Stage::Decode) {
                tokens
            } else {
                0
            },
        };
        self.loads.reserve(chosen.key, load);
        chosen.name.as_str()[1..].parse().ok()
    }

    fn place_many(&mut self, stage: Option<Stage>, number: usize) -> Vec<usize> {
        let places = |_| self.place(stage, 3_000);
        (0..number).filter_map(places).collect()
    }
}

/// Guards against slow upstreams that get as much work as fast ones.
#[rstest]
#[case::prefill(Some(Stage::Prefill))]
#[case::decode(Some(Stage::Decode))]
#[case::plain(None)]
fn a_slow_upstream_gets_less_work(#[case] stage: Option<Stage>) {
    let mut gateway = Gateway::new(stage, &[0.625, 1.667, 0.625, 1.667]);

    let placed = gateway.place_many(stage, 24);
    let slow = placed.iter().filter(|number| *number % 2 == 1).count();

    // With work in inverse proportion to its time, the slow ones get 27% of it.
    assert_eq!(placed.len(), 24);
    assert!((1..=8).contains(&slow), "{placed:?}");
}

/// Guards against placement that differs from that by load alone if all upstreams are alike.
#[rstest]
#[case::prefill(Some(Stage::Prefill))]
#[case::decode(Some(Stage::Decode))]
#[case::plain(None)]
fn equal_speeds_change_no_choice(#[case] stage: Option<Stage>) {
    let sequence = |learns: bool| {
        let mut gateway = Gateway::new(stage, &[1.0; 8]);
        for endpoint in directory(stage, &[1.0; 8]).all() {
            let speeds = &mut gateway.directory.speeds;
            speeds.record_stated(ms(59_900), endpoint.limit_key, 100);
        }
        gateway.directory.speeds.activate(learns);
        let mut sizes = ChaCha8Rng::seed_from_u64(7);
        let mut place = |_| gateway.place(stage, sizes.random_range(1..6_000));
        (0..200).map(&mut place).collect::<Vec<_>>()
    };

    assert_eq!(sequence(true), sequence(false));
}

/// Guards against streams on an engine whose events come later than the route allows, though others have room, and
/// against capacity that is left unused when they have none.
#[test]
fn an_engine_that_misses_the_gap_is_the_last_choice() {
    let stage = Some(Stage::Decode);
    let mut gateway = Gateway::new(stage, &[4.0, 1.0]);
    gateway.max_gap = Some(Duration::from_millis(300));
    let kind = (service_key(&"s".into()), Work::Event);
    for _ in 0..MANY {
        let speeds = &mut gateway.directory.speeds;
        speeds.record_time(ms(1), 99, kind, 100.0);
    }

    let placed = gateway.place_many(stage, 25);

    // 19 requests of 3,000 tokens fit the memory that placements may fill.
    assert_eq!(placed, [vec![1; 19], vec![0; 6]].concat());
}
