//! Boots of 8 VMs in virtual time while the service is stale or down.

mod world;

use std::time::Duration;

use rstest::rstest;
use world::service::Mode;
use world::{Event, World};

const LIMIT: Duration = Duration::from_secs(10);

fn fleet(seed: u64) -> World {
    let mut world = World::new(seed, 8, 3, 12);
    let done = world.until(LIMIT, |world| {
        world.up().len() == 8 && world.stale().is_none()
    });
    assert!(done.is_some(), "{:?}", world.stale());
    // The cursors follow the last answer of the service by comparison.
    world.run(Duration::from_secs(3));
    world
}

/// Guards against a rebooted VM that serves what a stale service answers although its peers have
/// newer documents, and against one that cannot boot without the service.
#[rstest]
fn a_rebooted_vm_follows_its_peers(
    #[values(Mode::Stale(1), Mode::Down)] mode: Mode,
    #[values(0, 1, 2, 3, 4, 5, 6, 7)] vm: usize,
) {
    let mut world = fleet(7);
    let newest = world.service.revision;
    world.service.mode = mode;

    world.kill(vm);
    world.run(Duration::from_secs(3));
    world.schedule(Duration::ZERO, Event::Start(vm));
    let ready = world.until(LIMIT, |world| {
        world.nodes[vm].up && world.nodes[vm].config().is_ready()
    });

    assert!(ready.is_some(), "the VM did not become ready");
    assert_eq!(world.nodes[vm].config().cursor(), newest);
    assert_eq!(world.stale(), None);
}

/// Guards against a rebooted VM that takes the answer of a stale service because it comes before
/// those of its peers.
#[rstest]
fn a_rebooted_vm_waits_for_slow_peers(#[values(0, 1, 2, 3, 4, 5, 6, 7)] vm: usize) {
    let mut world = fleet(9);
    let newest = world.service.revision;
    world.service.mode = Mode::Stale(1);
    world.kill(vm);
    world.run(Duration::from_secs(3));

    // A round trip between VMs takes up to 400 ms; the service answers in milliseconds.
    world.net.late = 1.0;
    world.net.delay = 200_000;
    world.schedule(Duration::ZERO, Event::Start(vm));
    let ready = world.until(LIMIT, |world| {
        world.nodes[vm].up && world.nodes[vm].config().is_ready()
    });

    assert!(ready.is_some(), "the VM did not become ready");
    assert_eq!(world.nodes[vm].config().cursor(), newest);
}

/// Guards against a fleet that cannot boot when every VM rebooted, and one that stays at a stale
/// answer when the service is fresh again.
#[test]
fn a_rebooted_fleet_takes_the_answer_of_the_service_and_follows_it() {
    let mut world = fleet(8);
    let newest = world.service.revision;
    world.service.mode = Mode::Stale(5);

    for vm in 0..8 {
        world.kill(vm);
        world.schedule(Duration::from_millis(100), Event::Start(vm));
    }
    let ready = world.until(LIMIT, |world| {
        world
            .nodes
            .iter()
            .all(|node| node.up && node.config().is_ready())
    });
    let cursors: Vec<_> = world
        .nodes
        .iter()
        .map(|node| node.config().cursor())
        .collect();
    world.service.mode = Mode::Well;
    let fresh = world.until(Duration::from_secs(3), |world| world.stale().is_none());

    assert!(
        ready.is_some() && cursors.iter().all(|cursor| *cursor < newest),
        "{cursors:?}"
    );
    assert!(fresh.is_some(), "{:?}", world.stale());
}
