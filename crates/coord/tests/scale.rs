//! Times and costs at 8 VMs (today) and 340 VMs (the target of `docs/design.md`, section 2), in
//! virtual time. Run with `--success-output immediate` to see the figures.

mod world;

use std::time::Duration;

use coord::member::MemberStatus;
use rand::RngExt;
use rstest::rstest;
use world::World;

/// The target for a failed VM to be noticed and for a change to be in force.
const NOTICED: Duration = Duration::from_secs(2);
const IN_FORCE: Duration = Duration::from_secs(3);

/// The bound for views after a partition; two failed attempts to reconnect of 1.25 s and one
/// failure detection, rounded up.
const HEALED: Duration = Duration::from_secs(5);

/// The target for all control traffic of one VM.
const BYTES_PER_SECOND: f64 = 22_000.0;

/// The service serves 2,000 reads a second; 16 watchers may use a tenth of them, whatever happens.
const READS_PER_SECOND: f64 = 200.0;

/// Returns a fleet that has booted completely.
fn booted(seed: u64, vms: usize, zones: usize) -> World {
    let mut world = World::new(seed, vms, zones, 12);
    let limit = Duration::from_secs(30);
    let done = world.until(limit, |world| {
        world.up().len() == vms && world.stale().is_none() && world.views_converged()
    });
    let done = done.unwrap_or_else(|| panic!("{vms} VMs did not boot: {:?}", world.stale()));
    println!("{vms} VMs: the whole fleet rebooted in {done:?}");
    world.run(Duration::from_secs(2));
    world
}

/// Guards against failed VMs that keep work for longer than 2 s, also when a data centre fails.
#[rstest]
#[case::today(8, 3, 1, 20)]
#[case::pair(8, 4, 2, 20)]
#[case::target(340, 8, 1, 2)]
#[case::data_centre(340, 8, 43, 1)]
fn failures_are_noticed(
    #[case] vms: usize,
    #[case] zones: usize,
    #[case] lost: usize,
    #[case] repeats: u64,
) {
    let mut worst = Duration::ZERO;
    for seed in 0..repeats {
        let mut world = booted(seed, vms, zones);
        let phase = Duration::from_millis(world.rng.random_range(0..500));
        world.run(phase);

        for vm in (0..vms).step_by(zones).take(lost) {
            world.kill(vm);
        }
        let noticed = world.until(NOTICED, World::views_converged);

        worst = worst.max(noticed.unwrap_or_else(|| panic!("seed {seed}: not noticed")));
    }
    println!("{vms} VMs, {lost} failed: noticed by all within {worst:?}");
}

/// Guards against live VMs that are suspected or declared dead for a pause under 500 ms.
#[rstest]
#[case::today(8, 3, 200)]
#[case::target(340, 8, 20)]
fn short_pauses_raise_no_suspicion(
    #[case] vms: usize,
    #[case] zones: usize,
    #[case] pauses: usize,
) {
    let mut world = booted(1, vms, zones);

    for _ in 0..pauses {
        let vm = world.rng.random_range(0..vms);
        world.pause(vm, Duration::from_millis(499));
        for _ in 0..70 {
            world.run(Duration::from_millis(10));
            for node in &world.nodes {
                let view = node.members().view();
                let live = view
                    .members
                    .values()
                    .filter(|m| m.status == MemberStatus::Live)
                    .count();
                assert_eq!(live, vms, "{} lost a paused VM at {}", node.name, world.now);
            }
        }
    }
}

/// Guards against a VM that loses its ownership for a pause that ends before it can be declared
/// dead: 600 ms until the suspicion and 600 ms to refute it.
#[test]
fn a_pause_of_a_second_is_refuted() {
    let mut world = booted(6, 8, 3);

    for vm in 0..8 {
        world.pause(vm, Duration::from_secs(1));
        for _ in 0..300 {
            world.run(Duration::from_millis(10));
            for node in &world.nodes {
                let held = node.members().view().members.len();
                assert_eq!(
                    held, 8,
                    "{} at {}: {vm} was declared dead",
                    node.name, world.now
                );
            }
        }
        assert!(world.views_converged(), "{vm} is still suspected");
    }
}

/// Guards against a live VM that is suspected because one other VM cannot reach it.
#[test]
fn a_broken_link_raises_no_suspicion() {
    let mut world = booted(5, 8, 3);

    for other in 1..8 {
        world.net.broken = Some((0, other));
        for _ in 0..300 {
            world.run(Duration::from_millis(10));
            assert!(world.views_converged(), "0 and {other} at {}", world.now);
        }
    }
}

/// Guards against halves of a partition that do not find each other again, or keep different
/// documents.
#[rstest]
#[case::today(8, 3)]
#[case::target(340, 8)]
fn a_healed_partition_becomes_one_fleet(#[case] vms: usize, #[case] zones: usize) {
    let mut world = booted(4, vms, zones);
    world.net.side = (0..vms).map(|vm| u8::from(vm % 2 == 0)).collect();
    world.run(Duration::from_secs(10));
    let apart = world
        .nodes
        .iter()
        .all(|node| node.members().view().members.len() == vms / 2);

    world.net.side.fill(0);
    world.change();
    let config = world.until(IN_FORCE, |world| world.stale().is_none());
    let views = world.until(HEALED, World::views_converged);

    println!("{vms} VMs: healed after {config:?} and {views:?}");
    assert!(apart, "the halves still saw each other");
    assert!(config.is_some(), "{:?}", world.stale());
    assert!(views.is_some(), "the views differ");
}

/// Guards against control traffic that grows with the fleet or breaks the target of 22 KB/s, and
/// against changes that are not in force within 3 s. The load is the target's: 6,600 changes and
/// 780 restarts a day.
#[rstest]
#[case::today(8, 3)]
#[case::target(340, 8)]
fn traffic_and_distribution(#[case] vms: usize, #[case] zones: usize) {
    let mut world = booted(2, vms, zones);
    world.measure = true;
    let reads = world.service.reads;
    let start = world.now;
    let mut worst = Duration::ZERO;

    for change in 0..6 {
        world.change();
        let done = world.until(IN_FORCE, |world| world.stale().is_none());
        worst = worst.max(done.unwrap_or_else(|| panic!("{:?}", world.stale())));
        world.run(Duration::from_secs(13));
        if change == 2 {
            world.kill(0);
            world.schedule(Duration::from_secs(4), world::Event::Start(0));
        }
    }

    let seconds = world.now.since(start).as_secs_f64() * f64::from(u32::try_from(vms).unwrap());
    let rate = |count: u64| f64::from(u32::try_from(count).unwrap()) / seconds;
    let traffic = &world.traffic;
    // Each message costs its sender and its receiver.
    let bytes = 2.0 * rate(traffic.bytes);
    let reads = rate(world.service.reads - reads) * f64::from(u32::try_from(vms).unwrap());
    println!(
        "{vms} VMs: {bytes:.0} bytes/s ({:.0} membership, {:.0} configuration) and {:.1} messages/s \
         sent and received per VM, {:.2} new connections/s; {reads:.1} reads/s on the service; \
         changes in force within {worst:?}",
        2.0 * rate(traffic.member),
        2.0 * rate(traffic.config),
        2.0 * rate(traffic.messages),
        rate(traffic.connects),
    );
    assert!(bytes < BYTES_PER_SECOND, "{bytes} bytes/s per VM");
    assert!(reads < READS_PER_SECOND, "{reads} reads/s");
}

/// Guards against reads that grow during a burst of changes or while the service fails.
#[rstest]
#[case::well(world::service::Mode::Well)]
#[case::down(world::service::Mode::Down)]
#[case::flapping(world::service::Mode::Flapping(1))]
fn reads_are_bounded(#[case] mode: world::service::Mode) {
    let mut world = booted(3, 340, 8);
    world.service.mode = mode;
    let before = world.service.reads;

    for _ in 0..300 {
        world.change();
        world.run(Duration::from_millis(10));
    }

    let reads = f64::from(u32::try_from(world.service.reads - before).unwrap()) / 3.0;
    println!("{mode:?}: {reads:.1} reads/s during 100 changes/s");
    assert!(reads < READS_PER_SECOND, "{reads} reads/s");
}
