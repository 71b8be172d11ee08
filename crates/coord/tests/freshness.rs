//! Checks of copies in fleets of any size, in virtual time.

use std::time::Duration;

use coord::freshness::{Freshness, FreshnessReport, MAX_CHECK_DELAY, MIN_CHECK_DELAY, check_delay};
use coord::time::Time;
use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const STEP_MS: u64 = 5;
/// Time in which a change has to take effect everywhere, as the platform states it.
const APPLY_TIME: Duration = Duration::from_secs(2);
/// Time for which a report is on its way. On a slow link, a gateway takes tens of milliseconds to send one to all.
const REPORT_MS: std::ops::Range<u64> = 1..40;

struct Member {
    copy: Freshness,
    revision: u64,
    due: Time,
    /// The check for which `due` was chosen.
    verified: Time,
}

struct Datagram {
    arrives: Time,
    to: usize,
    report: FreshnessReport,
}

/// A fleet whose watches are all lost, so that checks alone show it a change.
struct Fleet {
    members: Vec<Member>,
    datagrams: Vec<Datagram>,
    rng: ChaCha8Rng,
    loss: f64,
    store: u64,
    now: Time,
    checks: usize,
}

impl Fleet {
    fn start(size: usize, loss: f64, seed: u64) -> Self {
        let member = |_| {
            let mut copy = Freshness::default();
            copy.record_read(Time::ZERO, 1);
            Member {
                copy,
                revision: 1,
                due: Time::ZERO + MAX_CHECK_DELAY,
                verified: Time::ZERO,
            }
        };
        Self {
            members: (0..size).map(member).collect(),
            datagrams: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            loss,
            store: 1,
            now: Time::ZERO,
            checks: 0,
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + Duration::from_millis(STEP_MS);
            self.deliver();
            for number in 0..self.members.len() {
                self.step(number);
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (arrived, pending): (Vec<_>, Vec<_>) = std::mem::take(&mut self.datagrams)
            .into_iter()
            .partition(|datagram| datagram.arrives <= now);
        self.datagrams = pending;
        for Datagram { to, report, .. } in arrived {
            self.members[to].copy.apply(now, &report);
        }
    }

    fn step(&mut self, number: usize) {
        let (now, size) = (self.now, self.members.len());
        let member = &mut self.members[number];
        let verified = member.copy.verified().unwrap();
        if verified > member.verified {
            member.verified = verified;
            member.due = verified + check_delay(size, self.rng.random_range(0.0..=1.0));
        }
        if now < member.due && !member.copy.is_behind() {
            return;
        }
        self.checks += 1;
        if member.revision < self.store {
            member.copy.record_changes(self.store, Some(self.store));
            member.revision = self.store;
        }
        member.copy.record_check(now, self.store);
        let report = member.copy.report(now).unwrap();
        for to in (0..size).filter(|to| *to != number) {
            if !self.rng.random_bool(self.loss) {
                let delay = Duration::from_millis(self.rng.random_range(REPORT_MS));
                let arrives = now + delay;
                self.datagrams.push(Datagram {
                    arrives,
                    to,
                    report,
                });
            }
        }
    }

    fn informed(&self) -> usize {
        let informed = |member: &&Member| member.revision == self.store;
        self.members.iter().filter(informed).count()
    }
}

/// Guards against a change that a fleet without watches learns too late, also if half of the reports are lost.
#[rstest]
fn a_fleet_without_watches_learns_a_change_in_time(
    #[values(1, 2, 8, 60, 300)] size: usize,
    #[values(0.0, 0.01, 0.5)] loss: f64,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut fleet = Fleet::start(size, loss, seed);
    fleet.run(Duration::from_millis(3_000 + 70 * seed));

    fleet.store += 1;
    fleet.run(MAX_CHECK_DELAY + Duration::from_millis(2 * STEP_MS));

    assert!(fleet.informed() > 0);
    // A lost report costs a member the time until its own next check.
    fleet.run(APPLY_TIME.saturating_sub(MAX_CHECK_DELAY));
    assert_eq!(fleet.informed(), size);
}

/// Guards against checks whose number grows with the fleet.
#[rstest]
fn the_checks_of_a_fleet_hardly_grow_with_its_size(#[values(1, 2, 8, 60, 300)] size: usize) {
    const SECONDS: u64 = 60;
    let mut fleet = Fleet::start(size, 0.01, 7);

    fleet.run(Duration::from_secs(SECONDS));

    let per_second = fleet.checks / usize::try_from(SECONDS).unwrap();
    assert!(per_second <= 8, "{per_second} checks a second");
}

/// Guards against a copy that counts as current because another one holds a deletion only by having been read later.
#[test]
fn a_copy_does_not_take_over_the_check_of_one_that_was_read_after_its_last_answer() {
    let (mut old, mut new) = (Freshness::default(), Freshness::default());
    old.record_read(Time::from_millis(0), 10);
    // Something was deleted at revision 15.
    new.record_read(Time::from_millis(900), 20);
    new.record_check(Time::from_millis(1_000), 20);

    let report = new.report(Time::from_millis(1_000)).unwrap();
    old.apply(Time::from_millis(1_000), &report);

    assert_eq!(old.verified(), Some(Time::from_millis(0)));
    assert!(old.is_behind());
}

/// Guards against a copy that stays behind for ever because the store has gone back to an earlier revision.
#[test]
fn a_reported_change_that_the_store_does_not_show_no_longer_counts() {
    let mut copy = Freshness::default();
    copy.record_read(Time::from_millis(0), 10);
    let report = FreshnessReport {
        last_change: 1_000,
        age_ms: 0,
    };
    copy.apply(Time::from_millis(1), &report);
    assert!(copy.is_behind());

    copy.record_check(Time::from_millis(2), 11);

    assert!(!copy.is_behind());
}

proptest! {
    /// Guards against a check that a fleet makes too late, and against one that comes before reports can arrive.
    #[test]
    fn checks_are_made_within_the_longest_delay(members: usize, draw in 0.0..=1.0) {
        let delay = check_delay(members, draw);
        prop_assert!(delay >= MIN_CHECK_DELAY && delay <= MAX_CHECK_DELAY);
    }

    /// Guards against arithmetic that overflows on figures that another member states.
    #[test]
    fn a_copy_is_never_verified_later_than_now(now: u64, last_change: u64, age_ms: u32) {
        let now = Time::from_micros(now);
        let mut copy = Freshness::default();
        copy.record_read(Time::ZERO, 10);

        copy.apply(now, &FreshnessReport { last_change, age_ms });

        prop_assert!(copy.verified().unwrap() <= now);
    }
}
