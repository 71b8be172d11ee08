//! Seeded exploration of claims under faults in pairs.

mod common {
    pub mod claims;
    mod world;
    pub use world::*;
}

use std::time::Duration;

use common::claims::{Fleet, Off, Options, Seen};
use rstest::rstest;

const SPAN: Duration = Duration::from_secs(12);

fn explore(seed: u64, off: Off) -> Seen {
    explore_fleet(seed, Options::new(seed, off))
}

fn explore_fleet(seed: u64, options: Options) -> Seen {
    let mut fleet = Fleet::new(seed, options);
    fleet.explore(SPAN, seed % 4);
    fleet.seen
}

/// Guards against a key that runs twice and a `NotRun` that is not true, under any mix of lost,
/// late, doubled and reordered messages, pauses, partitions, restarts, stale lists and clock
/// errors.
#[rstest]
fn a_key_runs_at_most_once(#[values(0, 1, 2, 3, 4, 5, 6, 7)] part: u64) {
    let mut dispatched = 0;
    for seed in part * 40..(part + 1) * 40 {
        let seen = explore(seed, Off::Nothing);

        assert!(
            seen.violations.is_empty(),
            "seed {seed}: {:?}",
            seen.violations
        );
        dispatched += seen.dispatched;
    }
    assert!(
        dispatched > 100,
        "only {dispatched} dispatches: the runs test nothing"
    );
}

/// Guards against the same where each key has a claim set of its own.
#[rstest]
fn keys_with_different_sets_run_at_most_once(#[values(0, 1, 2, 3)] part: u64) {
    for seed in part * 15..(part + 1) * 15 {
        let options = Options {
            listed: 12,
            ..Options::new(seed, Off::Nothing)
        };

        let seen = explore_fleet(seed, options);

        assert!(
            seen.violations.is_empty(),
            "seed {seed}: {:?}",
            seen.violations
        );
    }
}

/// Guards against a protection that no check depends on: without it, the same exploration has to
/// fail. Protections against rarer faults have their own scenarios in `claim.rs`.
#[rstest]
fn each_protection_is_needed(
    #[values(Off::Ready, Off::Fill, Off::Proof, Off::Retention)] off: Off,
) {
    let failing = (0..300).find(|seed| !explore(*seed, off).violations.is_empty());

    println!("without {off:?}: seed {failing:?} fails");
    assert!(failing.is_some());
}
