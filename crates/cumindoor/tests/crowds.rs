//! Clients that nobody controls: many that stop short of the end of their messages, or do not read.

#[path = "../../../platform/tests/support/mod.rs"]
#[expect(
    dead_code,
    reason = "the tests of the adapter use the other parts of this module"
)]
mod support;

#[path = "../../../platform/tests/support/fleet.rs"]
#[expect(
    dead_code,
    reason = "the tests of crashing requests use the other parts of this module"
)]
mod fleet;

#[path = "../../../platform/tests/support/crowd.rs"]
mod crowd;

use std::path::Path;

use crowd::{Habit, MAX_BODY, System};
use rstest::rstest;

const KB: usize = 1_000;
const MB: usize = 1_000 * KB;
/// Connections of callers that the gateway of the tests accepts at a time.
const CONNECTIONS: usize = 160;
/// Memory that its callers may take: four bodies of the largest size.
const ACCOUNT: usize = 8 * MB;
/// Memory of one connection outside of the account: a read buffer of the largest head (16 KB) and the one that
/// the frame before was cut from, a write buffer (8 KB), the state of its request, and the read buffer (64 KB)
/// of the connection to the engine.
const BUFFERS: usize = 128 * KB;
/// Memory of the code that runs for the first time, and of what the allocator keeps.
const OTHER: usize = 6 * MB;
/// Descriptors besides those of callers, each of whom may hold one to the engine as well.
const OTHER_DESCRIPTORS: usize = 16;

async fn start() -> System {
    let program = Path::new(env!("CARGO_BIN_EXE_cumindoor"));
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let settings = format!("\n[resources]\nconnections = {CONNECTIONS}\nbodies = 8 MB\n");
    System::start(program, directory, &settings).await
}

/// Guards against a process that ends, takes memory or descriptors without a bound, or serves nobody else while
/// clients hold connections, unfinished bodies and unread answers. The bound on memory is that of an idle process, the
/// account, and the buffers of all connections.
#[rstest]
#[case::chunks_of_60_kb(Habit::Chunks(MAX_BODY, 60 * KB), 60, 20)]
#[case::chunks_of_a_byte(Habit::Chunks(30 * KB, 1), 60, 20)]
#[case::whole(Habit::Whole(MAX_BODY), 60, 20)]
#[case::pieces(Habit::Pieces(MAX_BODY, 16 * KB), 60, 20)]
#[case::small(Habit::Whole(60 * KB), 150, 0)]
#[case::small_chunks(Habit::Chunks(60 * KB, KB), 150, 0)]
#[case::more_idle_than_accepted(Habit::Whole(MAX_BODY), 20, 300)]
#[case::large_unread(Habit::Unread(MB), 120, 20)]
#[case::small_unread(Habit::Unread(250 * KB), 120, 20)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_crowd_leaves_the_gateway_alive_and_serving(
    #[case] habit: Habit,
    #[case] clients: usize,
    #[case] idle: usize,
) {
    let system = start().await;
    let base = system.memory("VmRSS");
    let descriptors = system.descriptors();
    let bound = base + ACCOUNT + CONNECTIONS * BUFFERS + OTHER;

    let crowd = system.connect(habit, clients).await;
    let idle = system.connect(Habit::Idle, idle).await;
    system.wait_until_handled().await;
    let beside = system.ask("beside the crowd").await;
    let open = system.descriptors();
    let connected = crowd.len() + idle.len();
    drop((crowd, idle));
    system.wait_until_served(&"x".repeat(MAX_BODY)).await;
    let peak = system.memory("VmHWM");

    println!(
        "{connected} connections, base {base} B, peak {peak} B of {bound} B, {open} descriptors, {beside:?}"
    );
    assert!(peak <= bound, "{peak} B exceed {bound} B");
    let most = descriptors + 2 * CONNECTIONS + OTHER_DESCRIPTORS;
    assert!(open <= most, "{open} descriptors exceed {most}");
    assert_eq!(beside, Some(200), "an ordinary request beside the crowd");
}
