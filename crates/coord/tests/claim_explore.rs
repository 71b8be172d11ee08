//! Seeded simulation of claims under combinations of faults.

mod common {
    pub mod claims;
    mod world;
    pub use world::*;
}

use std::time::Duration;

use common::claims::{Disabled, Fleet, Options, Results};
use rstest::rstest;

const RUN_TIME: Duration = Duration::from_secs(12);

fn explore(seed: u64, disabled: Disabled) -> Results {
    explore_fleet(seed, Options::new(seed, disabled))
}

fn explore_fleet(seed: u64, options: Options) -> Results {
    let mut fleet = Fleet::new(seed, options);
    fleet.explore(RUN_TIME, seed % 4);
    fleet.results
}

/// Guards against a key that runs twice and a `NotRun` for a key that has run, under any mix of
/// lost, late, duplicated and reordered messages, pauses, partitions, restarts, stale lists and
/// clock errors.
#[rstest]
fn a_key_runs_at_most_once(#[values(0, 1, 2, 3, 4, 5, 6, 7)] part: u64) {
    let mut dispatched = 0;
    for seed in part * 40..(part + 1) * 40 {
        let results = explore(seed, Disabled::Nothing);

        assert!(
            results.violations.is_empty(),
            "seed {seed}: {:?}",
            results.violations
        );
        dispatched += results.dispatched;
    }
    assert!(
        dispatched > 100,
        "only {dispatched} dispatches, too few for a meaningful test"
    );
}

/// Guards against the same failures in a fleet in which the keys have different claim sets.
#[rstest]
fn keys_with_different_sets_run_at_most_once(#[values(0, 1, 2, 3)] part: u64) {
    for seed in part * 15..(part + 1) * 15 {
        let options = Options {
            list_size: 12,
            ..Options::new(seed, Disabled::Nothing)
        };

        let results = explore_fleet(seed, options);

        assert!(
            results.violations.is_empty(),
            "seed {seed}: {:?}",
            results.violations
        );
    }
}

/// Guards against checks that pass without a safety rule: the same simulation must fail when the
/// rule is disabled. Rules for rarer faults are tested in `claim.rs`.
#[rstest]
fn each_protection_is_needed(
    #[values(
        Disabled::Ready,
        Disabled::RecordSync,
        Disabled::NotRunProof,
        Disabled::Retention
    )]
    disabled: Disabled,
) {
    let failing = (0..300).find(|seed| !explore(*seed, disabled).violations.is_empty());

    println!("without {disabled:?}: seed {failing:?} fails");
    assert!(failing.is_some());
}
