//! The decisions of the account of memory, the table of connections, and their shares of a machine.

use std::time::Duration;

use coord::time::Time;
use cumindoor::gateway::Settings;
use cumindoor::gateway::callers::connections::Connections;
use cumindoor::gateway::callers::memory::ledger::{
    Cause, Growth, HolderId, Kind, Ledger, MAX_WAIT, SMALL_BYTES, STALL_TIME,
};
use cumindoor::gateway::callers::shares::{Shares, limit_to_machine};
use rstest::rstest;
use tokio_util::sync::CancellationToken;

const KB: usize = 1_000;
const MB: usize = 1_000 * KB;
const SIZE: usize = 8 * MB;
const PATIENCE: Duration = Duration::from_secs(3);
const MS: Duration = Duration::from_millis(1);

fn at(time: Duration) -> Time {
    Time::ZERO + time
}

/// Adds a body that holds `bytes` since `time`.
fn body(ledger: &mut Ledger, time: Duration, bytes: usize) -> HolderId {
    let id = ledger.open(at(time), Kind::Body, PATIENCE);
    assert_eq!(ledger.grow(at(time), id, bytes, at(time)), Growth::Granted);
    id
}

/// Guards against a small or recent body that gives way instead of the one that has held most for longest.
#[test]
fn the_body_that_held_most_for_longest_gives_way() {
    let mut ledger = Ledger::new(SIZE);
    let old = body(&mut ledger, Duration::ZERO, MB);
    let large = body(&mut ledger, 10 * MS, 4 * MB);
    let recent = body(&mut ledger, 500 * MS, 2 * MB);
    let now = 600 * MS;

    let asking = ledger.open(at(now), Kind::Body, PATIENCE);
    let growth = ledger.grow(at(now), asking, 2 * MB, at(now));

    assert_eq!(growth, Growth::Evict(large));
    assert_eq!(ledger.eviction(large), Some(Cause::Busy));
    let others = [old, recent, asking].map(|id| ledger.eviction(id));
    assert_eq!(others, [None; 3]);
}

/// Guards against more evictions than are needed, and against memory that an evicted body never returns.
#[test]
fn memory_of_an_evicted_body_is_waited_for() {
    let mut ledger = Ledger::new(SIZE);
    let first = body(&mut ledger, Duration::ZERO, 3 * MB);
    let second = body(&mut ledger, MS, 3 * MB);
    let now = at(STALL_TIME + 10 * MS);
    let asking = ledger.open(now, Kind::Body, PATIENCE);
    assert_eq!(ledger.grow(now, asking, 2 * MB, now), Growth::Evict(first));

    assert_eq!(ledger.grow(now, asking, 2 * MB, now), Growth::Wait(None));
    ledger.close(first);

    assert_eq!(ledger.grow(now, asking, 2 * MB, now), Growth::Granted);
    assert_eq!(ledger.eviction(second), None);
}

/// Guards against a body in progress that gives way to a newer one.
#[test]
fn the_newest_is_refused_while_all_make_progress() {
    let mut ledger = Ledger::new(SIZE);
    let old = body(&mut ledger, Duration::ZERO, 6 * MB);
    let newest = ledger.open(at(MS), Kind::Body, PATIENCE);
    let now = at(MS + MAX_WAIT);
    ledger.touch(now, old);

    let waits = ledger.grow(now, newest, 2 * MB, now);
    let refused = ledger.grow(now, newest, 2 * MB, at(MS));

    assert_eq!(waits, Growth::Wait(Some(now + STALL_TIME)));
    assert_eq!(refused, Growth::Refused);
    assert_eq!(ledger.eviction(old), None);
}

/// Guards against a complete request, which may have been sent to an upstream, and an answer in progress that give
/// way.
#[rstest]
#[case(Kind::Request)]
#[case(Kind::Answer)]
fn what_has_reached_an_upstream_never_gives_way(#[case] kind: Kind) {
    let mut ledger = Ledger::new(SIZE);
    let sent = body(&mut ledger, Duration::ZERO, 6 * MB);
    assert!(ledger.convert(Time::ZERO, sent, kind));
    let asked = at(10 * PATIENCE);
    let asking = ledger.open(asked, Kind::Body, PATIENCE);

    let growth = ledger.grow(asked + MAX_WAIT, asking, 2 * MB, asked);

    assert_eq!(growth, Growth::Refused);
    assert_eq!(ledger.eviction(sent), None);
}

/// Guards against a body that is sent to an upstream after its memory was promised to another one.
#[test]
fn an_evicted_body_is_not_sent() {
    let mut ledger = Ledger::new(SIZE);
    let evicted = body(&mut ledger, Duration::ZERO, 6 * MB);
    let now = at(PATIENCE);
    let asking = ledger.open(now, Kind::Body, PATIENCE);
    assert_eq!(
        ledger.grow(now, asking, 2 * MB, now),
        Growth::Evict(evicted)
    );

    assert!(!ledger.convert(now, evicted, Kind::Request));
    assert_eq!(ledger.eviction(evicted), Some(Cause::Slow));
}

/// Guards against large bodies and relayed answers that take the part kept for small ones.
#[rstest]
#[case::body(Kind::Body, 2 * MB)]
#[case::relayed(Kind::Relayed, SMALL_BYTES)]
fn a_part_is_kept_for_small_bodies(#[case] kind: Kind, #[case] bytes: usize) {
    let mut ledger = Ledger::new(SIZE);
    while ledger.held(kind) + bytes <= SIZE - SIZE / 8 {
        let id = ledger.open(Time::ZERO, kind, PATIENCE);
        let growth = ledger.grow(Time::ZERO, id, bytes, Time::ZERO);
        assert_eq!(growth, Growth::Granted);
    }

    let large = ledger.open(Time::ZERO, kind, PATIENCE);
    let small = ledger.open(Time::ZERO, Kind::Body, PATIENCE);

    let growth = ledger.grow(Time::ZERO, large, bytes, Time::ZERO);
    assert!(matches!(growth, Growth::Wait(Some(_))), "{growth:?}");
    let growth = ledger.grow(Time::ZERO, small, SMALL_BYTES, Time::ZERO);
    assert_eq!(growth, Growth::Granted);
}

/// Guards against an answer that nobody takes and that holds memory for ever, and one that gives way before its caller
/// had the configured time.
#[test]
fn an_untaken_answer_gives_way_after_the_configured_time() {
    let mut ledger = Ledger::new(SIZE);
    let unread = body(&mut ledger, Duration::ZERO, 6 * MB);
    assert!(ledger.convert(Time::ZERO, unread, Kind::Unread));
    let asking = ledger.open(Time::ZERO, Kind::Answer, PATIENCE);

    let before = at(MS * 2_999);
    let growth = ledger.grow(before, asking, 2 * MB, Time::ZERO);
    assert_eq!(growth, Growth::Wait(Some(at(PATIENCE))));
    let growth = ledger.grow(at(PATIENCE), asking, 2 * MB, Time::ZERO);
    assert_eq!(growth, Growth::Evict(unread));
}

/// Guards against a new connection that is kept out by idle ones, and against the end of one whose caller waits for
/// its answer.
#[test]
fn the_connection_that_waits_longest_for_its_caller_gives_way() {
    let mut connections = Connections::default();
    let closing = [(); 3].map(|()| CancellationToken::new());
    let ids = [0, 1, 2].map(|n| connections.add(at(n * MS), closing[n as usize].clone()));
    connections.set_waiting(at(3 * MS), ids[0], false);
    let closed = || closing.clone().map(|token| token.is_cancelled());

    assert!(!connections.close_one(at(100 * MS)));
    assert_eq!(closed(), [false; 3]);
    assert!(connections.close_one(at(1_000 * MS)));
    assert_eq!(closed(), [false, true, false]);
    assert!(connections.close_one(at(1_000 * MS)));
    assert!(!connections.close_one(at(9_000 * MS)));
    assert_eq!(closed(), [false, true, true]);
}

fn shares(resources: &str) -> Shares {
    Shares::new(&settings(resources).resources)
}

fn settings(resources: &str) -> Settings {
    let text = format!(
        "[gateway]\nname = vm-1\ndata-centre = suape\n[listen]\ncallers = 127.0.0.1:0\n\
         ready = 127.0.0.1:0\n[fleet]\naddress = 127.0.0.1:1\nseeds = 127.0.0.1:1\n\
         [store]\naddress = 127.0.0.1:1\n[resources]\n{resources}"
    );
    Settings::parse("test", &text).unwrap()
}

/// Guards against settings without the memory of the machine that change what callers may take, and against a
/// configured value that is not kept.
#[rstest]
#[case::nothing("", 32 * MB, 3_000)]
#[case::own("bodies = 10 MB\nconnections = 90\nmemory = 512 MB\n", 10 * MB, 90)]
#[case::descriptors("descriptors = 1700\n", 32 * MB, 500)]
fn shares_follow_the_settings(
    #[case] resources: &str,
    #[case] account: usize,
    #[case] connections: usize,
) {
    let expected = Shares {
        account,
        connections,
    };

    assert_eq!(shares(resources), expected);
}

/// Guards against a small machine whose settings state no memory and whose callers may take more than it has, and against
/// bounds on a large one or against the settings.
#[rstest]
#[case::small("", 88 * MB, "memory = 88 MB\n")]
#[case::large("", 4_000 * MB, "")]
#[case::stated("memory = 512 MB\n", 88 * MB, "memory = 512 MB\n")]
fn the_memory_of_a_small_machine_counts(
    #[case] stated: &str,
    #[case] machine: usize,
    #[case] like: &str,
) {
    let mut resources = settings(stated).resources;

    limit_to_machine(&mut resources, machine.try_into().unwrap());

    assert_eq!(Shares::new(&resources), shares(like));
}

/// Guards against an account in which the largest body (4 MB) does not fit while it moves to a larger buffer, and
/// against shares that leave a small VM too little for the process itself.
#[test]
fn shares_fit_into_a_small_vm() {
    let shares = shares("memory = 88 MB\n");

    let large = shares.account - shares.account / 8;
    assert!(large >= 6 * MB, "{shares:?}");
    assert!(
        shares.account + shares.connections * 48 * KB + 28 * MB <= 88 * MB,
        "{shares:?}"
    );
}
