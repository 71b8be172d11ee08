//! Exchange of crash records and announcements of trials between gateways, in virtual time.

use std::net::SocketAddr;
use std::time::Duration;

use coord::poison::{Suspects, UpstreamStart, part_fingerprint};
use coord::time::Time;
use cumindoor::gateway::admission::load_table::CrashReport;
use cumindoor::gateway::admission::trials::{Start, Terms, Trials};
use cumindoor::gateway::crash_watch::{new_part_suspects, new_suspects};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const CONTENT: u128 = 17;
/// Time after a disturbance from which a gateway counts again, and after the third crash.
const STABLE_WINDOW: Duration = Duration::from_secs(3);
const CRASHES: usize = 3;
const ALLOWED_RETRIES: usize = 3;
const STEP_MS: u64 = 10;
const HEARTBEAT_MS: u64 = 500;
/// Peers that get a page in each heartbeat.
const PAGE_TARGETS: usize = 2;

/// A gateway as far as crashes are concerned.
struct Gateway {
    suspects: Suspects,
    /// Start of the process, on the clock of the simulation.
    started: u64,
    /// Time until which no datagram reaches it or leaves it.
    cut_until: u64,
    /// Time of the last disturbance.
    disturbed: u64,
}

impl Gateway {
    fn now(&self, at: u64) -> Time {
        Time::from_millis(at - self.started)
    }
}

struct Simulation {
    gateways: Vec<Gateway>,
    rng: ChaCha8Rng,
    loss: f64,
    at: u64,
}

impl Simulation {
    fn new(count: usize, seed: u64, loss: f64) -> Self {
        let gateways = (0..count).map(|n| {
            let mut suspects = new_suspects(format!("vm-{n}").as_str().into());
            suspects.remember_all();
            Gateway {
                suspects,
                started: 0,
                cut_until: 0,
                disturbed: 0,
            }
        });
        Self {
            gateways: gateways.collect(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            loss,
            at: 0,
        }
    }

    fn exchange(&mut self) {
        let count = self.gateways.len();
        for from in 0..count {
            let now = self.gateways[from].now(self.at);
            if self.gateways[from].suspects.has_updates() {
                let update = self.gateways[from].suspects.next_update(now);
                for to in 0..count {
                    self.deliver(from, to, &update);
                }
            }
            let heartbeat = (self.at + STEP_MS * from as u64).is_multiple_of(HEARTBEAT_MS);
            if heartbeat {
                let page = self.gateways[from].suspects.next_page(now);
                for _ in 0..PAGE_TARGETS {
                    let to = self.rng.random_range(0..count);
                    self.deliver(from, to, &page);
                }
            }
        }
    }

    fn deliver(&mut self, from: usize, to: usize, records: &[coord::poison::CrashRecord]) {
        let cut = |n: usize| self.gateways[n].cut_until > self.at;
        let lost = from == to || cut(from) || cut(to) || self.rng.random_bool(self.loss);
        if lost || records.is_empty() {
            return;
        }
        let now = self.gateways[to].now(self.at);
        self.gateways[to].suspects.merge(now, records);
    }

    /// Disturbs some gateway now and then.
    fn disturb(&mut self) {
        let count = self.gateways.len();
        if !self.rng.random_bool(0.01) {
            return;
        }
        let number = self.rng.random_range(0..count);
        let gateway = &mut self.gateways[number];
        if self.rng.random_bool(0.5) {
            gateway.suspects = new_suspects(format!("vm-{number}").as_str().into());
            gateway.started = self.at;
            gateway.disturbed = self.at;
        } else {
            gateway.cut_until = self.at + 2_000;
            gateway.disturbed = gateway.cut_until;
        }
    }
}

/// Sends a request that crashes each upstream through random gateways for half a minute, with
/// restarts and cuts of single gateways meanwhile. Returns the numbers of crashes and of retries
/// that the rule counts.
fn play(count: usize, seed: u64, loss: f64) -> (usize, usize) {
    let mut simulation = Simulation::new(count, seed, loss);
    let (mut crashes, mut third, mut retries) = (0, None, 0);
    let pause = simulation.rng.random_range(1..80_u64) * STEP_MS;
    for step in 0..3_000 {
        simulation.at = step * STEP_MS;
        let at = simulation.at;
        simulation.disturb();
        if at.is_multiple_of(pause) {
            let number = simulation.rng.random_range(0..count);
            let gateway = &mut simulation.gateways[number];
            let now = gateway.now(at);
            if gateway.suspects.refusal(now, &[CONTENT]).is_none() {
                let start = UpstreamStart::new("e".into(), at);
                gateway
                    .suspects
                    .upstream_crashed(now, &start, Duration::ZERO, &[CONTENT]);
                crashes += 1;
                if crashes == CRASHES {
                    third = Some(at);
                }
                let window = u64::try_from(STABLE_WINDOW.as_millis()).unwrap();
                let in_touch = at >= gateway.disturbed + window;
                let counts = third.is_some_and(|third| at > third + window);
                retries += usize::from(in_touch && counts);
            }
        }
        simulation.exchange();
    }
    (crashes, retries)
}

#[rstest]
#[case::eight(8, 0.0)]
#[case::eight_lossy(8, 0.3)]
#[case::sixty(60, 0.0)]
#[case::sixty_lossy(60, 0.3)]
fn a_fleet_stops_a_crashing_request_despite_lost_reports(#[case] count: usize, #[case] loss: f64) {
    let seeds = if count > 8 { 10 } else { 50 };
    for seed in 0..seeds {
        let (crashes, retries) = play(count, seed, loss);

        assert!(crashes >= CRASHES, "seed {seed}: {crashes} crashes");
        assert!(retries <= ALLOWED_RETRIES, "seed {seed}: {retries} retries");
    }
}

/// Guards against a table or a datagram that grows with the number of requests that crash engines.
#[test]
fn records_of_crashes_are_bounded() {
    const MAX_DATAGRAM_BYTES: usize = 16 * 1024;
    let mut suspects = new_suspects("front-boa-viagem-10".into());
    for engine in 0..8_u64 {
        let now = Time::from_millis(engine * 1_000);
        let crashed = UpstreamStart::new("i-7f3a91c2d4".into(), u64::MAX - engine);
        let many: Vec<u128> = (0..10_000).map(|n| u128::MAX - n).collect();
        suspects.upstream_crashed(now, &crashed, Duration::ZERO, &many);
    }
    assert!(suspects.len() <= 4_096);

    let now = Time::from_millis(9_000);
    let report = CrashReport {
        records: suspects.next_page(now),
        ..CrashReport::default()
    };
    let bytes = rmp_serde::to_vec(&report).unwrap().len();

    println!("{bytes} bytes for {} records", report.records.len());
    assert!(bytes < MAX_DATAGRAM_BYTES, "{bytes} bytes");
}

/// Guards against a datagram of records of parts and of trials that exceeds the receiver's buffer.
#[test]
fn records_of_parts_are_bounded() {
    const MAX_DATAGRAM_BYTES: usize = 16 * 1024;
    let mut parts = new_part_suspects("front-boa-viagem-10".into());
    let many: Vec<u128> = (0..10_000_u64)
        .map(|n| part_fingerprint(&n.to_be_bytes()))
        .collect();
    for engine in 0..60_u64 {
        let now = Time::from_millis(engine * 1_000);
        let crashed = UpstreamStart::new("i-7f3a91c2d4".into(), u64::MAX - engine);
        parts.upstream_crashed(now, &crashed, Duration::from_millis(123), &many[..500]);
    }
    let now = Time::from_millis(61_000);
    parts.upstream_crashed(
        now,
        &UpstreamStart::new("i-7f3a91c2d4".into(), 1),
        Duration::ZERO,
        &many,
    );
    assert!(parts.len() <= 4_096);
    let mut trials = Trials::default();
    for engine in 0..1_000 {
        let tried = &many[3 * engine..3 * engine + 3];
        trials.announce(now, (u64::MAX - engine as u64, tried), Terms::Agreed);
    }

    let report = CrashReport {
        start: u64::MAX,
        sequence: u64::MAX,
        trials: trials.own(),
        records: parts.next_page(now),
    };
    let bytes = rmp_serde::to_vec(&report).unwrap().len();

    let (records, trials) = (report.records.len(), report.trials.len());
    println!("{bytes} bytes for {records} records and {trials} trials");
    assert!(bytes < MAX_DATAGRAM_BYTES, "{bytes} bytes");
}

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7000))
}

/// Guards against two suspects on one upstream, and against one that runs at two gateways, if both
/// gateways decide before they hear of each other.
#[rstest]
#[case::one_upstream((1, 17), (1, 18))]
#[case::one_request((1, 17), (2, 17))]
fn one_of_two_conflicting_trials_starts(#[case] first: (u64, u128), #[case] second: (u64, u128)) {
    let now = Time::from_millis(1_000);
    let mut gateways = [Trials::default(), Trials::default()];
    let first = gateways[0]
        .announce(now, (first.0, &[first.1]), Terms::Exclusive)
        .unwrap();
    let second = gateways[1]
        .announce(now, (second.0, &[second.1]), Terms::Exclusive)
        .unwrap();
    let announced = [gateways[0].own(), gateways[1].own()];
    gateways[0].apply(now, address(2), (1, 1), &announced[1]);
    gateways[1].apply(now, address(1), (1, 1), &announced[0]);

    let starts = [
        gateways[0].start(now, address(1), first),
        gateways[1].start(now, address(2), second),
    ];

    assert_eq!(starts, [Start::Started, Start::Lost]);
}

/// Guards against a trial that shares its upstream with a suspect that was sent there before, and
/// against one that waits for ever for a gateway that died.
#[test]
fn a_trial_waits_for_suspects_on_its_upstream() {
    let now = Time::from_millis(1_000);
    let mut other = Trials::default();
    other.announce(now, (1, &[18]), Terms::AtOnce).unwrap();
    let mut trials = Trials::default();
    trials.apply(now, address(2), (1, 1), &other.own());
    let trial = trials.announce(now, (1, &[17]), Terms::Exclusive).unwrap();

    let blocked = trials.start(now, address(1), trial);
    let silent = now + Duration::from_secs(2);
    let started = trials.start(silent, address(1), trial);

    assert_eq!((blocked, started), (Start::Blocked, Start::Started));
    assert_eq!(trials.announce(silent, (1, &[19]), Terms::AtOnce), None);
    trials.end(trial);
    assert!(trials.announce(silent, (1, &[19]), Terms::AtOnce).is_some());
}
