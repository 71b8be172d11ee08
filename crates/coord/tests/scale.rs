//! Detection times, traffic and load in virtual time, with 8 VMs (the current size) and 340 VMs
//! (the target of `docs/design.md`, section 2). `--success-output immediate` prints the figures.

mod world;

use std::time::Duration;

use coord::member::MemberStatus;
use rand::RngExt;
use rstest::rstest;
use world::World;

/// The maximum time until all other VMs have removed a failed VM from their views.
const DETECTION_LIMIT: Duration = Duration::from_secs(2);
/// The maximum time until a change is in force on all VMs.
const CONFIG_LIMIT: Duration = Duration::from_secs(3);

/// The maximum time until all views agree after a partition: two failed attempts to reconnect (1.25
/// s each) and one failure detection, rounded up.
const HEAL_LIMIT: Duration = Duration::from_secs(5);

/// The maximum control traffic of one VM, sent and received.
const MAX_BYTES_PER_SECOND: f64 = 22_000.0;

/// The maximum load on the service. It serves 2,000 reads per second, of which the 16 watchers may
/// use a tenth at any time.
const MAX_READS_PER_SECOND: f64 = 200.0;

/// Returns a fleet whose VMs are all ready and have the same view.
fn booted(seed: u64, vms: usize, zones: usize) -> World {
    let mut world = World::new(seed, vms, zones, 12);
    let limit = Duration::from_secs(30);
    let elapsed = world.run_until(limit, |world| {
        world.running_vms().len() == vms && world.staleness().is_none() && world.views_converged()
    });
    let elapsed =
        elapsed.unwrap_or_else(|| panic!("{vms} VMs did not boot: {:?}", world.staleness()));
    println!("{vms} VMs: the whole fleet rebooted in {elapsed:?}");
    world.run(Duration::from_secs(2));
    world
}

/// Guards against failed VMs that remain in the views for more than 2 s, including the failure of a
/// whole data centre.
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
        let noticed = world.run_until(DETECTION_LIMIT, World::views_converged);

        worst = worst.max(noticed.unwrap_or_else(|| panic!("seed {seed}: not noticed")));
    }
    println!("{vms} VMs, {lost} failed: noticed by all within {worst:?}");
}

/// Guards against live VMs that are suspected or declared dead after a pause of less than 500 ms.
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

/// Guards against a VM that is declared dead because of a pause below 1,200 ms, which is the sum of
/// 600 ms until the suspicion and 600 ms to refute it.
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

/// Guards against a live VM that is suspected because a single other VM cannot reach it.
#[test]
fn a_broken_link_raises_no_suspicion() {
    let mut world = booted(5, 8, 3);

    for other in 1..8 {
        world.net.broken_link = Some((0, other));
        for _ in 0..300 {
            world.run(Duration::from_millis(10));
            assert!(world.views_converged(), "0 and {other} at {}", world.now);
        }
    }
}

/// Guards against sides of a partition that remain separate, or keep different documents, after the
/// partition has ended.
#[rstest]
#[case::today(8, 3)]
#[case::target(340, 8)]
fn a_healed_partition_becomes_one_fleet(#[case] vms: usize, #[case] zones: usize) {
    let mut world = booted(4, vms, zones);
    world.net.partition = (0..vms).map(|vm| u8::from(vm % 2 == 0)).collect();
    world.run(Duration::from_secs(10));
    let apart = world
        .nodes
        .iter()
        .all(|node| node.members().view().members.len() == vms / 2);

    world.net.partition.fill(0);
    world.change_document();
    let config = world.run_until(CONFIG_LIMIT, |world| world.staleness().is_none());
    let views = world.run_until(HEAL_LIMIT, World::views_converged);

    println!("{vms} VMs: healed after {config:?} and {views:?}");
    assert!(apart, "the halves still saw each other");
    assert!(config.is_some(), "{:?}", world.staleness());
    assert!(views.is_some(), "the views differ");
}

/// Guards against control traffic that grows with the fleet or exceeds 22 KB/s per VM, and against
/// changes that are not in force within 3 s. The load is that of the target: 6,600 changes and 780
/// restarts per day.
#[rstest]
#[case::today(8, 3)]
#[case::target(340, 8)]
fn traffic_and_distribution(#[case] vms: usize, #[case] zones: usize) {
    let mut world = booted(2, vms, zones);
    world.count_traffic = true;
    let reads = world.service.reads;
    let start = world.now;
    let mut worst = Duration::ZERO;

    for change in 0..6 {
        world.change_document();
        let elapsed = world.run_until(CONFIG_LIMIT, |world| world.staleness().is_none());
        worst = worst.max(elapsed.unwrap_or_else(|| panic!("{:?}", world.staleness())));
        world.run(Duration::from_secs(13));
        if change == 2 {
            world.kill(0);
            world.schedule(Duration::from_secs(4), world::Event::Start(0));
        }
    }

    let seconds = world.now.since(start).as_secs_f64() * f64::from(u32::try_from(vms).unwrap());
    let rate = |count: u64| f64::from(u32::try_from(count).unwrap()) / seconds;
    let traffic = &world.traffic;
    // Each message counts for its sender and its receiver.
    let bytes = 2.0 * rate(traffic.bytes);
    let reads = rate(world.service.reads - reads) * f64::from(u32::try_from(vms).unwrap());
    println!(
        "{vms} VMs: {bytes:.0} bytes/s ({:.0} membership, {:.0} configuration) and {:.1} messages/s \
         sent and received per VM, {:.2} new connections/s; {reads:.1} reads/s on the service; \
         changes in force within {worst:?}",
        2.0 * rate(traffic.member_bytes),
        2.0 * rate(traffic.config_bytes),
        2.0 * rate(traffic.messages),
        rate(traffic.connections),
    );
    assert!(bytes < MAX_BYTES_PER_SECOND, "{bytes} bytes/s per VM");
    assert!(reads < MAX_READS_PER_SECOND, "{reads} reads/s");
}

/// Guards against a read rate that grows during a burst of changes or while the service fails.
#[rstest]
#[case::well(world::service::Mode::Healthy)]
#[case::down(world::service::Mode::Down)]
#[case::flapping(world::service::Mode::Flapping(1))]
fn reads_are_bounded(#[case] mode: world::service::Mode) {
    let mut world = booted(3, 340, 8);
    world.service.mode = mode;
    let before = world.service.reads;

    for _ in 0..300 {
        world.change_document();
        world.run(Duration::from_millis(10));
    }

    let reads = f64::from(u32::try_from(world.service.reads - before).unwrap()) / 3.0;
    println!("{mode:?}: {reads:.1} reads/s during 100 changes/s");
    assert!(reads < MAX_READS_PER_SECOND, "{reads} reads/s");
}
