//! Rate limits that gateways keep together, in virtual time.

#![expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the numbers are small and positive"
)]

mod world;

use std::time::Duration;

use coord::limit::{LimitReport, Rate, SharedLimits};
use coord::time::Time;
use rand::RngExt;
use rstest::rstest;
use world::{Hearing, World};

/// Share of a limit that has to be used while there is enough demand.
const USED_SHARE: f64 = 0.7;

/// Demand that exceeds what engines of this limit take.
fn ample(limit: f64, engines: usize) -> f64 {
    (10.0 * limit * engines as f64).max(20.0)
}

#[rstest]
fn a_fleet_keeps_a_limit_and_uses_it(
    #[values(3, 8, 60)] count: usize,
    #[values(0.0, 0.3)] loss: f64,
    #[values(0.3, 1.5, 2.8, 40.0)] limit: f64,
) {
    for seed in 0..3 {
        let mut world = World::new(count, 2, seed);
        world.loss = loss;
        world.run(6_000, 10.0, |_| true);
        world.name_limits(Some(limit));

        world.run(4_000, ample(limit, 2), |_| true);
        let stable = world.at;
        world.run(20_000, ample(limit, 2), |_| true);

        world.assert_limit_kept();
        let used = world.used_share(limit, stable);
        println!("{count} gateways, seed {seed}: {used:.2} used");
        assert!(used >= USED_SHARE, "seed {seed}: {used:.2} used");
    }
}

/// Guards against gateways that all take a token at once because they have not heard of each other's use.
#[rstest]
fn requests_that_reach_all_gateways_at_once_keep_a_limit(
    #[values(3, 8, 60)] count: usize,
    #[values(0.0, 0.1)] loss: f64,
    #[values(0.3, 1.5, 2.8)] limit: f64,
) {
    for seed in 0..3 {
        let mut world = World::new(count, 2, seed);
        world.loss = loss;
        world.run(6_000, 10.0, |_| true);
        world.name_limits(Some(limit));
        world.run(4_000, 10.0, |_| true);

        for _ in 0..40 {
            world.run(500, 0.0, |_| true);
            (0..count).for_each(|number| world.arrive(number));
        }

        world.assert_limit_kept();
    }
}

#[rstest]
fn the_gateways_that_have_the_demand_use_the_whole_limit(
    #[values(8, 60)] count: usize,
    #[values(0.3, 2.8, 40.0)] limit: f64,
) {
    let mut world = World::new(count, 2, 1);
    world.run(6_000, 10.0, |_| true);
    world.name_limits(Some(limit));
    world.run(4_000, ample(limit, 2), |_| true);
    let stable = world.at;

    world.run(20_000, ample(limit, 2), |number| number < 2);

    world.assert_limit_kept();
    let used = world.used_share(limit, stable);
    assert!(used >= USED_SHARE, "{used:.2} used");
}

#[rstest]
fn a_limit_is_kept_by_gateways_that_know_of_each_other_late_or_in_part(
    #[values(3, 8, 60)] count: usize,
    #[values(Hearing::From(9_000), Hearing::HalfUntil(9_000))] hearing: Hearing,
    #[values(0.3, 2.8, 40.0)] limit: f64,
) {
    for seed in 0..3 {
        let mut world = World::new(count, 2, seed);
        world.hearing = hearing;
        world.name_limits(Some(limit));

        world.run(20_000, ample(limit, 2), |_| true);

        world.assert_limit_kept();
    }
}

/// What happens to gateways while a limit holds.
#[derive(Clone, Copy, Debug)]
enum Trouble {
    RestartInSeries,
    RestartAll,
    Freeze,
    Cut,
    /// Any of these, at random.
    Mixed,
}

fn disturb(world: &mut World, trouble: Trouble, round: usize) {
    let count = world.gateways.len();
    let number = world.rng.random_range(0..count);
    match trouble {
        Trouble::RestartInSeries => world.restart(round % count),
        Trouble::RestartAll if round.is_multiple_of(8) => {
            (0..count).for_each(|number| world.restart(number));
        }
        Trouble::RestartAll => {}
        Trouble::Freeze => world.freeze(number, 2_500),
        Trouble::Cut => world.cut(number, 5_000),
        Trouble::Mixed => {
            let kinds = [Trouble::RestartInSeries, Trouble::Freeze, Trouble::Cut];
            let kind = kinds[world.rng.random_range(0..kinds.len())];
            disturb(world, kind, number);
        }
    }
}

#[rstest]
#[case::restart_in_series(Trouble::RestartInSeries)]
#[case::restart_all(Trouble::RestartAll)]
#[case::freeze(Trouble::Freeze)]
#[case::cut(Trouble::Cut)]
#[case::mixed(Trouble::Mixed)]
fn a_limit_is_kept_while_gateways_are_disturbed(
    #[case] trouble: Trouble,
    #[values(3, 8, 60)] count: usize,
    #[values(0.3, 2.8, 40.0)] limit: f64,
) {
    for seed in 0..3 {
        let mut world = World::new(count, 2, seed);
        world.loss = 0.1;
        world.run(6_000, 10.0, |_| true);
        world.name_limits(Some(limit));

        for round in 0..20 {
            world.run(1_200, ample(limit, 2), |_| true);
            disturb(&mut world, trouble, round);
        }
        world.run(6_000, ample(limit, 2), |_| true);

        world.assert_limit_kept();
    }
}

#[rstest]
fn a_limit_that_changes_is_followed(
    #[values(3, 8, 60)] count: usize,
    #[values([6.0, 1.5, 6.0, 0.0], [0.3, 40.0, 0.3, 2.8])] limits: [f64; 4],
) {
    for seed in 0..3 {
        let mut world = World::new(count, 2, seed);
        world.run(6_000, 10.0, |_| true);

        for limit in limits {
            world.name_limits(Some(limit));
            world.run(10_000, ample(limit, 2), |_| true);
        }

        world.assert_limit_kept();
    }
}

#[rstest]
fn all_is_served_after_a_limit_has_ended(#[values(3, 8, 60)] count: usize) {
    let mut world = World::new(count, 2, 1);
    world.run(6_000, 10.0, |_| true);
    world.name_limits(Some(0.5));
    world.run(8_000, 30.0, |_| true);

    world.name_limits(None);
    // The next request that the limit allows shows that it has ended.
    world.run(6_000, 30.0, |_| true);
    let refused = world.refused;
    world.run(6_000, 30.0, |_| true);

    assert_eq!(world.refused, refused);
}

/// Guards against an end that an answer to an earlier request seems to tell.
#[test]
fn an_answer_to_a_request_sent_before_a_limit_was_named_does_not_end_it() {
    let mut limits = SharedLimits::new(1);
    let named = Time::from_millis(9_000);
    limits.record_named(named, 7, Rate::per_second(2.0).unwrap());

    let early = limits.record_unnamed(Time::from_millis(9_500), 7, Time::from_millis(8_990));
    let late = limits.record_unnamed(Time::from_millis(9_500), 7, Time::from_millis(9_100));

    assert_eq!((early, late), (false, true));
}

/// Guards against a table or a report that grows with the number of upstreams, claims or callers.
#[test]
fn what_is_kept_and_reported_is_bounded() {
    const MAX_DATAGRAM_BYTES: usize = 16 * 1024;
    let mut limits = SharedLimits::new("front-boa-viagem-10".to_owned());
    let mut now = Time::from_millis(9_000);
    for key in 0..5_000 {
        limits.record_named(now, u64::MAX - key, Rate::per_second(1e9).unwrap());
    }
    for key in 0..100 {
        for _ in 0..200 {
            if limits
                .wait(now, u64::MAX - key)
                .is_some_and(|wait| wait < Duration::MAX)
            {
                limits.claim(now, u64::MAX - key, Duration::from_secs(9), u16::MAX);
            }
            limits.book(now, u64::MAX - key, Duration::MAX);
        }
    }
    assert!(limits.len() <= 1_024);

    let mut claims = 0;
    for _ in 0..8 {
        now = now + Duration::from_millis(500);
        let report = LimitReport {
            start: u64::MAX,
            sequence: u64::MAX,
            gateways: Some(u32::MAX),
            limits: limits.next_records(now, true),
            retries: Vec::new(),
            allowances: Vec::new(),
        };
        let bytes = rmp_serde::to_vec(&report).unwrap().len();
        claims += report.limits.iter().map(|l| l.claims.len()).sum::<usize>();
        println!("{bytes} bytes for {} records", report.limits.len());
        assert!(bytes < MAX_DATAGRAM_BYTES, "{bytes} bytes");
    }
    assert!(claims >= 3_200, "{claims} claims in eight reports");
}
