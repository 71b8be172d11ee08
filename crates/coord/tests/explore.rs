//! Random faults on 8 VMs in virtual time. See `docs/decisions/membership.md`.
//!
//! A failure prints its seed; `SEED=n cargo test -p cumindoor-coord --test explore one_seed` runs
//! that seed alone.

mod world;

use std::time::Duration;

use rand::RngExt;
use rstest::rstest;
use world::World;

/// The maximum time until a change is in force on all VMs (`docs/design.md`, section 2).
const CONFIG_LIMIT: Duration = Duration::from_secs(3);

/// The maximum time until all views agree: two failed attempts to reconnect (1.25 s each) and one
/// failure detection (2 s), rounded up.
const VIEW_LIMIT: Duration = Duration::from_secs(5);

fn explore(seed: u64) -> (Duration, Duration) {
    let mut world = World::new(seed, 8, [2, 3, 4][usize::try_from(seed % 3).unwrap()], 12);
    let warm = Duration::from_millis(world.rng.random_range(0..6_000));
    world.run(warm);
    for _ in 0..world.rng.random_range(2..25) {
        world.inject_faults();
    }
    world.end_faults();
    world.change_document();

    let config = world.run_until(CONFIG_LIMIT, |world| world.staleness().is_none());
    let config = config.unwrap_or_else(|| panic!("seed {seed}: {:?}", world.staleness()));
    let views = world.run_until(VIEW_LIMIT.saturating_sub(config), World::views_converged);
    let views = views.unwrap_or_else(|| panic!("seed {seed}: views differ"));
    (config, config + views)
}

/// Guards against documents that return to an older revision, VMs that become ready with older
/// documents than their peers, views or documents that do not converge, and paused VMs that trust
/// stale views.
#[rstest]
fn random_faults_leave_no_trace(#[values(0, 1, 2, 3, 4, 5, 6, 7, 8, 9)] block: u64) {
    let results: Vec<_> = (block * 60..(block + 1) * 60).map(explore).collect();

    let config = results.iter().map(|r| r.0).max().unwrap();
    let views = results.iter().map(|r| r.1).max().unwrap();
    println!(
        "seeds {}..{}: config {config:?}, views {views:?}",
        block * 60,
        (block + 1) * 60
    );
}

/// Runs the seed or the range of seeds in the environment variable `SEED`, to reproduce a failure
/// or to search longer.
#[test]
fn one_seed() {
    let seeds = std::env::var("SEED").unwrap_or_else(|_| "0".to_owned());
    let number = |text: &str| {
        text.parse::<u64>()
            .expect("SEED is a number or `first..end`")
    };
    let seeds = match seeds.split_once("..") {
        Some((first, end)) => number(first)..number(end),
        None => number(&seeds)..number(&seeds) + 1,
    };

    let worst = seeds.map(explore).max();

    println!("worst: {worst:?}");
}
