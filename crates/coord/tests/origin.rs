//! Origins of streams among gateways that lose messages and each other, in virtual time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use coord::name::{DataCentre, VmName};
use coord::origin::{
    BuildKey, COPIES, ContentKey, LOOKUP_LIMIT, OriginMessage, OriginRecord, Origins, Step,
    StreamKey, build_key, caller_key, keepers, stream_key,
};
use coord::owner::Owners;
use coord::time::Time;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const RETENTION: Duration = Duration::from_secs(24);
/// Time between two times that origins are told.
const RETELL_MS: u64 = 500;
/// Share of the streams that are taken up which must go on.
const LEAST_SHARE: f64 = 0.5;

/// What happens to the gateway that relayed the first event, in the millisecond after it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Loss {
    Nothing,
    /// It is killed, and the others still count it as live.
    Killed,
    /// It and this many others of eight are killed.
    KilledWith(usize),
    /// All are killed and start anew.
    AllRestarted,
    /// It stands still; messages wait for it.
    Frozen,
    /// No message leaves it or reaches it, from just before the event on.
    CutOff,
}

#[derive(Clone, Copy, Debug)]
struct Case {
    gateways: usize,
    builds: usize,
    /// Share of the messages that are lost.
    loss: f64,
    /// Share of the directed links that carry nothing.
    one_way: f64,
    lost: Loss,
    /// Milliseconds until the callers are back.
    back_ms: u64,
    streams: usize,
}

const CALM: Case = Case {
    gateways: 8,
    builds: 2,
    loss: 0.0,
    one_way: 0.0,
    lost: Loss::Nothing,
    back_ms: 3,
    streams: 40,
};

#[derive(Debug, Default)]
struct Outcome {
    right: usize,
    wrong: usize,
    unknown: usize,
    /// Messages on the way until all lookups ended.
    messages: usize,
}

impl Outcome {
    fn share(&self) -> f64 {
        let [right, all] = [self.right, self.right + self.wrong + self.unknown]
            .map(|n| f64::from(u32::try_from(n).unwrap()));
        right / all
    }
}

struct Gateway {
    origins: Origins,
    others: Owners,
    up: bool,
    frozen: bool,
}

struct World {
    case: Case,
    rng: ChaCha8Rng,
    at: u64,
    gateways: Vec<Gateway>,
    blocked: BTreeSet<(usize, usize)>,
    /// Messages on the way, by time of arrival.
    sent: BTreeMap<(u64, u64), (usize, usize, OriginMessage)>,
    messages: u64,
}

fn name(number: usize) -> VmName {
    format!("10.0.0.{number}:7000").into()
}

fn number(vm: &VmName) -> usize {
    let text = vm.as_str().strip_prefix("10.0.0.").unwrap();
    text.strip_suffix(":7000").unwrap().parse().unwrap()
}

impl World {
    fn new(case: Case, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let all = 0..case.gateways;
        let pairs = all
            .clone()
            .flat_map(|from| all.clone().map(move |to| (from, to)));
        let blocked: BTreeSet<_> = pairs
            .filter(|(from, to)| from != to && rng.random_bool(case.one_way))
            .collect();
        let fleet = DataCentre::from("fleet");
        let gateways = all.clone().map(|own| {
            // A gateway counts those as live that it hears.
            let heard = all
                .clone()
                .filter(|n| *n != own && !blocked.contains(&(*n, own)));
            Gateway {
                origins: Origins::default(),
                others: heard.map(|n| (name(n), fleet.clone())).collect(),
                up: true,
                frozen: false,
            }
        });
        Self {
            gateways: gateways.collect(),
            case,
            rng,
            at: 0,
            blocked,
            sent: BTreeMap::new(),
            messages: 0,
        }
    }

    fn now(&self) -> Time {
        Time::from_millis(1_000 + self.at)
    }

    fn send(&mut self, from: usize, to: usize, message: OriginMessage) {
        self.messages += 1;
        let lost = self.rng.random_bool(self.case.loss);
        if lost || self.blocked.contains(&(from, to)) {
            return;
        }
        let arrives = self.at + self.rng.random_range(1..4);
        self.sent
            .insert((arrives, self.messages), (from, to, message));
    }

    /// Begins a stream at a gateway, as it does before the first event leaves.
    fn begin(
        &mut self,
        gateway: usize,
        (stream, content): (StreamKey, ContentKey),
        build: BuildKey,
    ) {
        let now = self.now();
        let own = &mut self.gateways[gateway];
        let origins = &mut own.origins;
        let record = origins.begin(now, (stream, content), build, RETENTION);
        for keeper in keepers(&own.others, content) {
            let told = OriginMessage::Told(vec![record]);
            self.send(gateway, number(&keeper), told);
        }
    }

    fn lose(&mut self, gateway: usize) {
        let all: Vec<usize> = (0..self.case.gateways).collect();
        match self.case.lost {
            Loss::Nothing => {}
            Loss::Killed => self.gateways[gateway].up = false,
            Loss::KilledWith(others) => {
                let others = all.into_iter().filter(|n| *n != gateway).take(others);
                for number in others.chain([gateway]) {
                    self.gateways[number].up = false;
                }
            }
            Loss::AllRestarted => {
                for gateway in &mut self.gateways {
                    gateway.origins = Origins::default();
                }
                self.sent.clear();
            }
            Loss::Frozen => self.gateways[gateway].frozen = true,
            Loss::CutOff => {
                for other in all {
                    self.blocked.extend([(gateway, other), (other, gateway)]);
                }
            }
        }
    }

    fn step(&mut self) {
        self.at += 1;
        while let Some(entry) = self.sent.first_entry() {
            if entry.key().0 > self.at {
                break;
            }
            let (from, to, message) = entry.remove();
            let now = self.now();
            let gateway = &mut self.gateways[to];
            if !gateway.up || gateway.frozen {
                continue;
            }
            if let Some(answer) = gateway.origins.receive(now, &name(from), message) {
                self.send(to, from, answer);
            }
        }
        if self.at.is_multiple_of(RETELL_MS) {
            for own in 0..self.gateways.len() {
                let gateway = &self.gateways[own];
                if !gateway.up || gateway.frozen {
                    continue;
                }
                for (keeper, records) in gateway.origins.retold(self.now(), &gateway.others) {
                    self.send(own, number(&keeper), OriginMessage::Told(records));
                }
            }
        }
    }

    /// Advances a lookup, and carries out what it asks for.
    fn look(&mut self, gateway: usize, stream: StreamKey) -> Step {
        let now = self.now();
        let own = &mut self.gateways[gateway];
        let step = own.origins.next_step(now, stream, &own.others, true);
        if let Step::Ask { round, targets, .. } = &step {
            for target in targets {
                let streams = vec![stream];
                let round = *round;
                let question = OriginMessage::Asked { round, streams };
                self.send(gateway, number(target), question);
            }
        }
        step
    }
}

/// Begins streams at one gateway, loses it, and takes the streams up at the others that are left.
fn play(case: Case, seed: u64) -> Outcome {
    let mut world = World::new(case, seed);
    let first = 0;
    if case.lost == Loss::CutOff {
        world.lose(first);
    }
    let streams: Vec<((StreamKey, ContentKey), BuildKey)> = (0..case.streams)
        .map(|n| {
            let version = format!("v{}", world.rng.random_range(0..case.builds));
            let content = u128::try_from(n).unwrap();
            let stream = (stream_key("attempt", content), content);
            (stream, build_key("s", &version))
        })
        .collect();
    for (stream, build) in &streams {
        world.begin(first, *stream, *build);
    }
    if case.lost != Loss::CutOff {
        world.lose(first);
    }
    for _ in 0..case.back_ms {
        world.step();
    }
    let left: Vec<usize> = (1..case.gateways)
        .filter(|n| world.gateways[*n].up && !world.gateways[*n].frozen)
        .collect();
    let mut open: Vec<(usize, StreamKey, BuildKey)> = Vec::new();
    for (stream, build) in streams {
        let at = left[world.rng.random_range(0..left.len())];
        let now = world.now();
        world.gateways[at].origins.begin_lookup(now, stream);
        open.push((at, stream.0, build));
    }
    let mut outcome = Outcome::default();
    let until = world.at + u64::try_from(LOOKUP_LIMIT.as_millis()).unwrap() + 1;
    while !open.is_empty() {
        assert!(world.at <= until, "a lookup does not end");
        let mut still = Vec::new();
        for (at, stream, build) in open {
            let step = world.look(at, stream);
            if matches!(step, Step::Ask { .. } | Step::Wait { .. }) {
                still.push((at, stream, build));
                continue;
            }
            world.gateways[at].origins.end_lookup(stream);
            match step {
                Step::Known(found) if found == build => outcome.right += 1,
                Step::Known(_) => outcome.wrong += 1,
                _ => outcome.unknown += 1,
            }
        }
        open = still;
        world.step();
    }
    outcome.messages = usize::try_from(world.messages).unwrap();
    outcome
}

/// Plays a case with several seeds, checks that no origin was wrong, and returns the sums.
fn play_seeds(case: Case) -> Outcome {
    let mut sum = Outcome::default();
    for seed in 0..8 {
        let outcome = play(case, seed);
        sum.right += outcome.right;
        sum.wrong += outcome.wrong;
        sum.unknown += outcome.unknown;
        sum.messages += outcome.messages;
    }
    println!("{case:?}: {sum:?}, share {:.2}", sum.share());
    assert_eq!(
        sum.wrong, 0,
        "{case:?}: a stream would go on at another build"
    );
    sum
}

/// Guards against origins that are lost with messages or with the gateway that relayed the stream.
#[rstest]
fn an_origin_is_found_whatever_becomes_of_its_gateway(
    #[values(3, 8, 60)] gateways: usize,
    #[values(0.0, 0.3)] loss: f64,
    #[values(0.0, 0.2)] one_way: f64,
    #[values(Loss::Nothing, Loss::Killed, Loss::Frozen)] lost: Loss,
    #[values(0, 30)] back_ms: u64,
) {
    let case = Case {
        gateways,
        builds: 4,
        loss,
        one_way,
        lost,
        back_ms,
        ..CALM
    };

    let outcome = play_seeds(case);

    assert!(outcome.share() >= LEAST_SHARE, "{outcome:?}");
}

/// Guards against origins that are lost when half of the fleet is.
#[rstest]
#[case::eight(8, 3)]
#[case::sixty(60, 29)]
fn an_origin_survives_the_loss_of_half_of_the_gateways(
    #[case] gateways: usize,
    #[case] others: usize,
) {
    let case = Case {
        gateways,
        lost: Loss::KilledWith(others),
        loss: 0.1,
        ..CALM
    };

    let outcome = play_seeds(case);

    assert!(outcome.share() >= LEAST_SHARE, "{outcome:?}");
}

/// Guards against a guess of what nobody can know.
#[rstest]
fn an_origin_that_nobody_can_know_is_unknown(
    #[values(3, 8, 60)] gateways: usize,
    #[values(0.0, 0.3)] loss: f64,
    #[values(Loss::AllRestarted, Loss::CutOff)] lost: Loss,
) {
    let case = Case {
        gateways,
        loss,
        lost,
        ..CALM
    };

    let outcome = play_seeds(case);

    assert_eq!(outcome.right, 0, "{outcome:?}");
}

/// Guards against a cost that grows with the fleet.
#[test]
fn the_messages_for_a_stream_do_not_grow_with_the_fleet() {
    for gateways in [8, 60, 240] {
        let outcome = play_seeds(Case { gateways, ..CALM });

        // The keepers are told, asked, and answer.
        assert!(
            outcome.messages <= outcome.right * 3 * COPIES,
            "{outcome:?}"
        );
    }
}

/// Guards against origins that vanish while their stream runs, because its keepers were replaced.
#[test]
fn keepers_that_start_anew_are_told_again() {
    let mut world = World::new(CALM, 1);
    let (stream, build) = (stream_key("attempt", 1), build_key("s", "v1"));
    world.begin(0, (stream, 1), build);
    for gateway in &mut world.gateways[1..] {
        gateway.origins = Origins::default();
    }

    for _ in 0..2 * RETELL_MS {
        world.step();
    }

    let now = world.now();
    let known = world.gateways[1..]
        .iter()
        .filter(|g| g.origins.get(now, stream).is_some());
    assert_eq!(known.count(), COPIES);
}

/// Guards against an origin that is told on and on after its stream has ended.
#[test]
fn a_stream_that_ended_is_not_told_again() {
    let mut world = World::new(CALM, 1);
    let stream = stream_key("attempt", 1);
    world.begin(0, (stream, 1), build_key("s", "v1"));
    world.begin(0, (stream, 1), build_key("s", "v1"));

    let told = |world: &World| {
        world.gateways[0]
            .origins
            .retold(world.now(), &world.gateways[0].others)
    };
    world.gateways[0].origins.end(stream);
    assert!(!told(&world).is_empty(), "another attempt still relays it");
    world.gateways[0].origins.end(stream);

    assert!(told(&world).is_empty());
    assert!(world.gateways[0].origins.get(world.now(), stream).is_some());
}

/// Guards against a doubtful origin that is told as certain to VMs that missed the doubt.
#[test]
fn an_origin_that_is_in_doubt_is_told_again_as_such() {
    let mut world = World::new(CALM, 1);
    let stream = (stream_key("attempt", 1), 1);
    world.begin(0, stream, build_key("s", "v1"));

    let now = world.now();
    let origins = &mut world.gateways[0].origins;
    let second = origins.begin(now, stream, build_key("s", "v2"), RETENTION);
    let gateway = &world.gateways[0];
    let told = gateway.origins.retold(world.now(), &gateway.others);

    let builds: BTreeSet<_> = told.values().flatten().map(|r| r.build).collect();
    assert_eq!(second.build, None);
    assert_eq!(builds, BTreeSet::from([None]));
}

#[test]
fn two_origins_of_one_stream_are_both_not_believed() {
    let mut origins = Origins::default();
    let stream = stream_key("attempt", 1);
    for version in ["v1", "v2", "v1"] {
        let record = OriginRecord::new(stream, Some(build_key("s", version)), RETENTION);
        origins.record(Time::ZERO, &record);
    }
    origins.begin_lookup(Time::ZERO, (stream, 1));

    let step = origins.next_step(Time::ZERO, stream, &Owners::default(), true);

    assert_eq!(step, Step::Unknown);
}

#[test]
fn an_origin_expires_after_the_longest_time_that_was_told() {
    let mut origins = Origins::default();
    let stream = stream_key("attempt", 1);
    for seconds in [5, 20, 5] {
        let retention = Duration::from_secs(seconds);
        let record = OriginRecord::new(stream, Some(1), retention);
        origins.record(Time::ZERO, &record);
    }

    let known = |at| origins.get(Time::from_millis(at), stream).is_some();
    assert_eq!([known(19_999), known(20_000)], [true, false]);
}

/// Guards against a table that grows with the streams of callers.
#[test]
fn the_table_is_bounded_and_drops_what_expires_first() {
    const STREAMS: u32 = 40_000;
    let mut origins = Origins::default();
    for number in 0..STREAMS {
        let retention = Duration::from_secs(20) + Duration::from_millis(number.into());
        let record = OriginRecord::new(number.into(), Some(1), retention);
        origins.record(Time::ZERO, &record);
    }

    assert_eq!(origins.len(), 32_768);
    assert!(origins.get(Time::ZERO, (STREAMS - 1).into()).is_some());
    assert!(origins.get(Time::ZERO, 0).is_none());
}

/// Guards against answers to questions that were not asked, which would fill the table.
#[test]
fn an_answer_that_was_not_asked_for_is_not_stored() {
    let mut origins = Origins::default();
    let record = OriginRecord::new(7, Some(1), RETENTION);
    let answer = OriginMessage::Answered {
        round: 0,
        known: vec![record],
        unknown: Vec::new(),
    };

    origins.receive(Time::ZERO, &name(1), answer);

    assert!(origins.is_empty());
}

/// Guards against a record that takes more than the page on the design says.
#[test]
fn a_record_takes_few_bytes() {
    let record = OriginRecord::new(u128::MAX, Some(u64::MAX), RETENTION);
    let one = rmp_serde::to_vec(&OriginMessage::Told(vec![record])).unwrap();
    let many = rmp_serde::to_vec(&OriginMessage::Told(vec![record; 256])).unwrap();

    println!("{} and {} bytes", one.len(), many.len());
    assert!(one.len() <= 48, "{} bytes", one.len());
    assert!(many.len() <= 10_240, "{} bytes", many.len());
}

/// Guards against an id of one stream that leads to another one.
#[test]
fn keys_differ_by_attempt_content_service_and_version() {
    let streams = [
        stream_key("a", 1),
        stream_key("a", 2),
        stream_key("b", 1),
        caller_key("a", 1),
    ];
    let builds = [
        build_key("s", "v1"),
        build_key("s", "v2"),
        build_key("s1", "v1"),
    ];

    assert_eq!(BTreeSet::from(streams).len(), 4);
    assert_eq!(BTreeSet::from(builds).len(), 3);
    assert_ne!(build_key("a|b", "c"), build_key("a", "b|c"));
}

/// What the keepers answer to a gateway that relayed an earlier stream of the same caller and content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Answering {
    /// All are cut off from it.
    Silent,
    /// They know the same stream.
    Same,
    /// One of them was told of a stream that began at another version since.
    OneOther,
    /// They have started anew.
    Forgotten,
}

/// Guards against a gateway that was out of step and takes its own memory for the last stream of a caller who
/// names none.
#[rstest]
#[case::cut_off(Answering::Silent, Step::Unknown)]
#[case::agreed(Answering::Same, Step::Known(1))]
#[case::other_elsewhere(Answering::OneOther, Step::Unknown)]
#[case::forgotten_elsewhere(Answering::Forgotten, Step::Known(1))]
fn an_own_record_of_an_unnamed_stream_needs_the_keepers(
    #[case] answering: Answering,
    #[case] expected: Step,
) {
    let others: Owners = (1..16).map(|n| (name(n), DataCentre::from("z"))).collect();
    let (stream, content) = (caller_key("caller", 5), 5);
    let mut origins = Origins::default();
    let mut now = Time::from_millis(10_000);
    origins.begin(now, (stream, content), 1, RETENTION);
    origins.end(stream);
    origins.begin_unnamed_lookup(now, (stream, content));

    let mut step = origins.next_step(now, stream, &others, true);
    while let Step::Ask { .. } | Step::Wait { .. } = step {
        if let Step::Ask { round, targets, .. } = &step {
            for (place, keeper) in targets.iter().enumerate() {
                let build = match answering {
                    Answering::Silent => continue,
                    Answering::OneOther if place == 4 => Some(2),
                    Answering::Same | Answering::OneOther => Some(1),
                    Answering::Forgotten => None,
                };
                let record = build.map(|build| OriginRecord::new(stream, Some(build), RETENTION));
                let answer = OriginMessage::Answered {
                    round: *round,
                    known: record.into_iter().collect(),
                    unknown: build.is_none().then_some(stream).into_iter().collect(),
                };
                origins.receive(now, keeper, answer);
            }
        }
        now = now + Duration::from_millis(1);
        step = origins.next_step(now, stream, &others, true);
    }

    assert_eq!(step, expected);
    assert!(now.since(Time::from_millis(10_000)) <= LOOKUP_LIMIT);
}
