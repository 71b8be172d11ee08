//! Boots of 8 VMs in virtual time while the service is stale or down.

mod world;

use std::time::Duration;

use rstest::rstest;
use world::service::Mode;
use world::{Event, World};

const BOOT_LIMIT: Duration = Duration::from_secs(10);

fn fleet(seed: u64) -> World {
    let mut world = World::new(seed, 8, 3, 12);
    let done = world.run_until(BOOT_LIMIT, |world| {
        world.running_vms().len() == 8 && world.staleness().is_none()
    });
    assert!(done.is_some(), "{:?}", world.staleness());
    // Comparisons advance the cursors to the last response of the service.
    world.run(Duration::from_secs(3));
    world
}

/// Guards against a rebooted VM that serves the documents of a stale service although its peers
/// hold newer ones, and against one that cannot boot while the service is down.
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
    let ready = world.run_until(BOOT_LIMIT, |world| {
        world.nodes[vm].up && world.nodes[vm].config().is_ready()
    });

    assert!(ready.is_some(), "the VM did not become ready");
    assert_eq!(world.nodes[vm].config().cursor(), newest);
    assert_eq!(world.staleness(), None);
}

/// Guards against a rebooted VM that uses the response of a stale service because it arrives before
/// the answers of its peers.
#[rstest]
fn a_rebooted_vm_waits_for_slow_peers(#[values(0, 1, 2, 3, 4, 5, 6, 7)] vm: usize) {
    let mut world = fleet(9);
    let newest = world.service.revision;
    world.service.mode = Mode::Stale(1);
    world.kill(vm);
    world.run(Duration::from_secs(3));

    // A round trip between VMs takes up to 400 ms; the service answers in milliseconds.
    world.net.late_share = 1.0;
    world.net.max_delay_us = 200_000;
    world.schedule(Duration::ZERO, Event::Start(vm));
    let ready = world.run_until(BOOT_LIMIT, |world| {
        world.nodes[vm].up && world.nodes[vm].config().is_ready()
    });

    assert!(ready.is_some(), "the VM did not become ready");
    assert_eq!(world.nodes[vm].config().cursor(), newest);
}

/// Guards against a fleet that cannot boot after all VMs rebooted, and against one that keeps the
/// stale documents after the service has recovered.
#[test]
fn a_rebooted_fleet_takes_the_answer_of_the_service_and_follows_it() {
    let mut world = fleet(8);
    let newest = world.service.revision;
    world.service.mode = Mode::Stale(5);

    for vm in 0..8 {
        world.kill(vm);
        world.schedule(Duration::from_millis(100), Event::Start(vm));
    }
    let ready = world.run_until(BOOT_LIMIT, |world| {
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
    world.service.mode = Mode::Healthy;
    let fresh = world.run_until(Duration::from_secs(3), |world| world.staleness().is_none());

    assert!(
        ready.is_some() && cursors.iter().all(|cursor| *cursor < newest),
        "{cursors:?}"
    );
    assert!(fresh.is_some(), "{:?}", world.staleness());
}
