//! Limits on the number of upstreams that one poison request crashes.

use std::time::Duration;

use coord::poison::{CrashRecord, PoisonOptions, Suspects, UpstreamStart, Verdict, fingerprint};
use coord::time::Time;
use proptest::prelude::*;

const BAD: u128 = 17;
const AT_ONCE: Duration = Duration::ZERO;

fn suspects() -> Suspects {
    suspects_of("vm-1", PoisonOptions::default())
}

fn suspects_of(vm: &str, options: PoisonOptions) -> Suspects {
    Suspects::new(vm.into(), options)
}

fn crashed(upstream: &str) -> UpstreamStart {
    UpstreamStart::new(upstream.into(), 0)
}

/// Sends the poison request once. Returns whether it crashed an upstream.
fn send(owner: &mut Suspects, now: Time) -> bool {
    let runs = matches!(owner.admit(now, BAD), Verdict::Run | Verdict::Isolate);
    if runs {
        let start = UpstreamStart::new("e".into(), now.as_micros());
        owner.upstream_crashed(now, &start, AT_ONCE, &[BAD]);
    }
    runs
}

fn sync(owners: &mut [Suspects; 2], from: usize, now: Time) {
    let records = owners[from].next_update(now);
    owners[1 - from].merge(now, &records);
}

proptest! {
    /// Guards against a poison request that its caller repeats for ever and that crashes more than
    /// 2 upstreams if the records reach the next owner of the cell before the retry, or more than
    /// 4 if they do not because the VMs are partitioned into two groups.
    #[test]
    fn at_most_two_upstreams_per_owner(
        steps in prop::collection::vec((0_usize..2, any::<bool>()), 0..60),
        connected: bool,
    ) {
        let mut owners = ["vm-1", "vm-2"].map(|vm| suspects_of(vm, PoisonOptions::default()));
        let mut crashed = 0;

        for (at, (owner, healed)) in steps.into_iter().enumerate() {
            let now = Time::from_millis(at as u64 * 1_000);
            crashed += u32::from(send(&mut owners[owner], now));
            if connected || healed {
                sync(&mut owners, owner, now);
            }
        }

        prop_assert!(crashed <= if connected { 2 } else { 4 }, "{crashed} upstreams");
    }

    /// Guards against more than one additional crash for each owner that dies together with the
    /// upstream before it has sent its records.
    #[test]
    fn each_owner_that_dies_before_sending_its_records_costs_one_more(deaths in 0_u32..5, first in 0_u32..2) {
        let mut owner = suspects();
        let mut crashed = 0;

        for _ in 0..deaths {
            crashed += u32::from(send(&mut owner, Time::ZERO));
            owner = suspects();
        }
        for try_number in 0..10 + first {
            let now = Time::from_millis(try_number.into());
            crashed += u32::from(send(&mut owner, now));
        }

        prop_assert_eq!(crashed, deaths + 2);
    }
}

/// Guards against a harmless request that is refused because it ran on the same engine as a poison
/// request.
#[test]
fn a_harmless_request_is_cleared_by_an_isolated_run() {
    let mut owner = suspects();
    owner.upstream_crashed(Time::ZERO, &crashed("e-1"), AT_ONCE, &[BAD, 1, 1]);

    let first = owner.admit(Time::ZERO, 1);
    let other = owner.admit(Time::ZERO, BAD);
    owner.completed(Time::ZERO, 1);
    let second = owner.admit(Time::ZERO, 1);

    assert_eq!(
        (first, other, second),
        (Verdict::Isolate, Verdict::Wait, Verdict::Run)
    );
}

/// Guards against a refusal that does not expire, or whose retry time is wrong.
#[test]
fn a_refusal_expires() {
    let mut owner = suspects();
    let early = Time::from_millis(60_000);
    owner.upstream_crashed(Time::ZERO, &crashed("e-1"), AT_ONCE, &[BAD]);
    owner.upstream_crashed(Time::ZERO, &crashed("e-2"), AT_ONCE, &[BAD]);

    let refused = owner.admit(early, BAD);
    let late = owner.admit(early + Duration::from_mins(9), BAD);

    let retry_after = Duration::from_mins(9);
    assert_eq!(refused, Verdict::Refuse { retry_after });
    assert_eq!(late, Verdict::Run);
}

/// Guards against messages and tables that grow without limit with the number of crashed requests.
#[test]
fn messages_and_memory_are_bounded() {
    let options = PoisonOptions {
        max_entries: 100,
        ..PoisonOptions::default()
    };
    let mut owner = suspects_of("vm-1", options);
    let many: Vec<u128> = (0..1_000).collect();

    owner.upstream_crashed(Time::ZERO, &crashed("e-1"), AT_ONCE, &many);

    assert_eq!(owner.len(), 100);
    assert!(owner.next_update(Time::ZERO).len() <= 32);
}

/// Guards against two requests with the same fingerprint because their names are concatenated
/// without a separator.
#[test]
fn fingerprints_separate_their_parts() {
    let of = |parts: [&str; 3]| fingerprint(&parts.map(str::as_bytes));

    assert_ne!(of(["ab", "c", "x"]), of(["a", "bc", "x"]));
    assert_ne!(of(["a", "bc", "x"]), of(["a", "b", "cx"]));
}

/// Guards against crashes that do not add up because different VMs saw them, and against one crash
/// that counts twice because several VMs reported it.
#[test]
fn crashes_that_different_vms_saw_add_up_once() {
    let mut vms = ["vm-1", "vm-2", "vm-3"].map(|vm| suspects_of(vm, PoisonOptions::default()));
    let now = Time::from_millis(5_000);
    vms[0].upstream_crashed(now, &crashed("e-1"), AT_ONCE, &[BAD]);
    vms[1].upstream_crashed(now, &crashed("e-1"), AT_ONCE, &[BAD]);
    vms[1].upstream_crashed(now, &crashed("e-2"), AT_ONCE, &[BAD]);

    let updates: Vec<Vec<CrashRecord>> = vms.iter_mut().map(|vm| vm.next_update(now)).collect();
    for update in updates.iter().chain(&updates) {
        vms[2].merge(now, update);
    }

    assert_eq!(vms[2].crash_count(now, &[BAD]), 2);
    let seen = vms[2].sightings(now, &[BAD]);
    let seen: Vec<&str> = seen.iter().map(|s| s.crashed.upstream.as_str()).collect();
    assert_eq!(seen, ["e-1", "e-2"]);
}

/// Guards against a VM that starts anew and takes old crashes for recent ones, or forgets their
/// order, because its clock began after them.
#[test]
fn a_vm_that_started_after_a_crash_knows_its_age() {
    let mut old = suspects_of("vm-1", PoisonOptions::default());
    let mut new = suspects_of("vm-2", PoisonOptions::default());
    let minute = Time::from_millis(60_000);
    old.upstream_crashed(minute, &crashed("e-1"), AT_ONCE, &[BAD]);
    old.upstream_crashed(minute, &crashed("e-2"), AT_ONCE, &[BAD]);
    let later = minute + Duration::from_secs(30);

    new.merge(Time::from_millis(10), &old.next_update(later));

    let ages: Vec<Duration> = new
        .sightings(Time::from_millis(10), &[BAD])
        .iter()
        .map(|s| s.age)
        .collect();
    assert_eq!(ages, [Duration::from_secs(30); 2]);
    assert_eq!(
        new.refusal(Time::from_millis(10), &[BAD]),
        old.refusal(later, &[BAD])
    );
}

/// Guards against a harmless request that stays suspect at other VMs, or becomes suspect again by an
/// old record that arrives late.
#[test]
fn a_completed_run_clears_a_request_at_all_vms() {
    let mut vms = ["vm-1", "vm-2"].map(|vm| suspects_of(vm, PoisonOptions::default()));
    let now = Time::from_millis(5_000);
    vms[0].upstream_crashed(now, &crashed("e-1"), AT_ONCE, &[1]);
    let accusation = vms[0].next_update(now);
    vms[1].merge(now, &accusation);
    let ran = now + Duration::from_millis(300);

    vms[1].completed(ran, 1);
    let clearance = vms[1].next_update(ran);
    vms[0].merge(ran, &clearance);
    vms[0].merge(ran, &accusation);
    vms[1].merge(ran + Duration::from_millis(50), &accusation);

    assert_eq!(vms[0].crash_count(ran, &[1]), 0);
    assert_eq!(vms[1].crash_count(ran, &[1]), 0);
}

/// Guards against a caller that runs a crashing request again each time its refusal ends, and
/// against a harmless one that is refused for ever.
#[test]
fn each_crash_beyond_the_limit_lengthens_the_refusal() {
    let options = PoisonOptions {
        max_crashes: 3,
        hold: Duration::from_mins(2),
        retention: Duration::from_hours(24),
        ..PoisonOptions::default()
    };
    let mut vm = suspects_of("vm-1", options);
    let mut now = Time::ZERO;
    let mut crashes = 0;

    for second in 0..3_600_u64 {
        now = Time::from_millis(second * 1_000);
        if vm.refusal(now, &[BAD]).is_none() {
            let start = UpstreamStart::new("e".into(), second);
            vm.upstream_crashed(now, &start, AT_ONCE, &[BAD]);
            crashes += 1;
        }
    }

    // Refused for 2 min, 8 min and 32 min in the first hour.
    assert_eq!(crashes, 3 + 3);
    assert!(vm.refusal(now, &[BAD]).is_some());
}

/// Guards against a VM that never learns of a crash because the one update about it was lost.
#[test]
fn pages_name_every_record_in_turn() {
    let options = PoisonOptions {
        max_batch: 8,
        ..PoisonOptions::default()
    };
    let mut vms = ["vm-1", "vm-2"].map(|vm| suspects_of(vm, options.clone()));
    let innocent: Vec<u128> = (100..140).collect();
    vms[0].upstream_crashed(Time::ZERO, &crashed("e-1"), AT_ONCE, &innocent);
    vms[0].upstream_crashed(Time::ZERO, &crashed("e-2"), AT_ONCE, &[BAD]);
    vms[0].upstream_crashed(Time::ZERO, &crashed("e-3"), AT_ONCE, &[BAD]);
    while vms[0].has_updates() {
        vms[0].next_update(Time::ZERO);
    }

    let first = vms[0].next_page(Time::ZERO);
    vms[1].merge(Time::ZERO, &first);
    assert_eq!(vms[1].crash_count(Time::ZERO, &[BAD]), 2);
    for _ in 0..10 {
        let page = vms[0].next_page(Time::ZERO);
        assert!(page.len() <= 8);
        vms[1].merge(Time::ZERO, &page);
    }

    assert_eq!(vms[1].len(), 41);
}

/// Guards against a harmless request that is refused because its caller had sent three copies of it
/// when a data centre failed, and against a table that has no room for later crashes after that.
#[test]
fn copies_that_are_lost_at_the_same_time_count_once() {
    let mut vm = suspects();
    let ran = Duration::from_millis(200);
    for number in 0..10 {
        let now = Time::from_millis(1_000 + number);
        vm.upstream_crashed(now, &crashed(&format!("e-{number}")), ran, &[BAD]);
    }
    let now = Time::from_millis(1_100);
    assert_eq!(vm.crash_count(now, &[BAD]), 1);

    for number in 10..13 {
        let now = Time::from_millis(number * 1_000);
        vm.upstream_crashed(now, &crashed(&format!("e-{number}")), ran, &[BAD]);
    }

    assert_eq!(vm.crash_count(Time::from_millis(13_000), &[BAD]), 4);
}

/// Returns suspects of which two crashes may be excused.
fn lenient() -> Suspects {
    let options = PoisonOptions {
        max_crashes: 3,
        max_excused: 2,
        coincidence: Duration::from_secs(1),
        ..PoisonOptions::default()
    };
    Suspects::new("vm-1".into(), options)
}

/// Guards against a request that is excused because it crashed two upstreams in a row itself.
#[test]
fn a_request_that_crashes_upstreams_at_once_is_not_excused() {
    let mut suspects = lenient();
    for number in 1..=3 {
        let now = Time::from_millis(200 * number);
        let crashed = UpstreamStart::new("e-1".into(), number);
        suspects.upstream_crashed(now, &crashed, Duration::ZERO, &[17]);
    }

    assert!(suspects.refusal(Time::from_millis(600), &[17]).is_some());
}

/// Plays crashes 10 s apart of the upstreams on which a request runs, beside a crash of another
/// upstream each time if `common`. Returns the number of crashes after which it is refused.
fn crashes_to_refusal(common: bool) -> usize {
    let mut suspects = lenient();
    for number in 1..10 {
        let now = Time::from_millis(10_000 * number);
        let crashed = UpstreamStart::new("e-1".into(), number);
        suspects.upstream_crashed(now, &crashed, Duration::ZERO, &[17]);
        if common {
            let other = UpstreamStart::new("e-2".into(), number);
            let later = now + Duration::from_millis(400);
            suspects.upstream_crashed(later, &other, Duration::ZERO, &[18 + u128::from(number)]);
        }
        if suspects.refusal(now, &[17]).is_some() {
            return usize::try_from(number).unwrap();
        }
    }
    panic!("it is never refused");
}

/// Guards against refusals of requests that are lost when many upstreams crash for another reason, and
/// against a request that is never refused because others crash upstreams as well.
#[test]
fn simultaneous_crashes_are_excused_twice() {
    assert_eq!(
        (crashes_to_refusal(false), crashes_to_refusal(true)),
        (3, 5)
    );
}

/// Options of a table that allows for crashes which were forgotten with all tables before it.
fn forgetful() -> PoisonOptions {
    PoisonOptions {
        max_crashes: 3,
        max_excused: 2,
        coincidence: Duration::from_secs(1),
        hold: Duration::from_mins(2),
        retention: Duration::from_hours(24),
        unknown_past: Duration::from_mins(2),
        ..PoisonOptions::default()
    }
}

/// Sends a request every 4 s from `from` on, and returns how often it crashed an upstream.
fn crashes_of(suspects: &mut Suspects, from: Time, times: u64) -> u64 {
    let mut crashes = 0;
    for number in 0..times {
        let now = from + Duration::from_secs(4 * number);
        if suspects.refusal(now, &[BAD]).is_none() {
            let start = UpstreamStart::new("e".into(), now.as_micros());
            suspects.upstream_crashed(now, &start, AT_ONCE, &[BAD]);
            crashes += 1;
        }
    }
    crashes
}

/// Guards against a request that crashes three more upstreams after each loss of all VMs, which forget what it did.
#[test]
fn a_request_crashes_one_more_upstream_after_each_loss_of_all_tables() {
    let mut first = suspects_of("vm-1", forgetful());
    first.remember_all();
    let crashes = [
        crashes_of(&mut first, Time::ZERO, 20),
        crashes_of(&mut suspects_of("vm-1", forgetful()), Time::ZERO, 20),
        crashes_of(&mut suspects_of("vm-1", forgetful()), Time::ZERO, 20),
    ];

    assert_eq!(crashes, [3, 1, 1]);
}

/// Guards against requests that are refused for one crash although nothing was forgotten.
#[test]
fn a_table_that_knows_the_past_allows_three_crashes() {
    let old = Time::ZERO + Duration::from_mins(2);
    let mut aged = suspects_of("vm-1", forgetful());
    let mut told = suspects_of("vm-2", forgetful());
    told.learn_memory(Time::ZERO, Duration::from_mins(3));

    let crashes = [
        crashes_of(&mut aged, old, 20),
        crashes_of(&mut told, Time::ZERO, 20),
    ];

    assert_eq!(crashes, [3, 3]);
}

/// Guards against a VM that takes the short memory of another one for a long one, or a long one for endless.
#[test]
fn the_longest_memory_that_was_told_counts() {
    let mut suspects = suspects_of("vm-1", forgetful());
    let now = Time::from_millis(1_000);

    let own = suspects.memory(now);
    suspects.learn_memory(now, Duration::from_mins(1));
    suspects.learn_memory(now, Duration::from_secs(20));
    let told = suspects.memory(now);
    suspects.learn_memory(now, Duration::MAX);
    let longest = suspects.memory(now);

    assert_eq!(own, Duration::from_secs(1));
    assert_eq!(told, Duration::from_mins(1));
    assert_eq!(longest, Duration::from_hours(24));
}

/// Guards against a request of many callers that is refused because its upstream crashed once after a loss of all VMs,
/// although it ran to its end since.
#[test]
fn a_request_that_ran_to_its_end_since_the_start_is_not_refused_for_one_crash() {
    let mut suspects = suspects_of("vm-1", forgetful());
    suspects.completed(Time::from_millis(500), BAD);

    let crashes = crashes_of(&mut suspects, Time::from_millis(1_000), 20);

    assert_eq!(crashes, 3);
}

/// Guards against requests that are refused after a loss of all VMs because an upstream that they did not run on
/// crashed for the same reason as theirs.
#[test]
fn simultaneous_crashes_are_excused_after_a_loss_of_all_tables() {
    let mut suspects = suspects_of("vm-1", forgetful());
    let now = Time::from_millis(1_000);

    suspects.upstream_crashed(now, &crashed("e-1"), AT_ONCE, &[BAD]);
    suspects.upstream_crashed(now, &crashed("e-2"), AT_ONCE, &[18]);

    assert_eq!(suspects.refusal(now, &[BAD]), None);
}

/// Guards against a refusal that ends early, because the crashes that were assumed are no longer when the table has
/// become old.
#[test]
fn crashes_that_were_assumed_stay_assumed() {
    let mut suspects = suspects_of("vm-1", forgetful());
    let last = Time::ZERO + Duration::from_secs(119);
    suspects.upstream_crashed(last, &crashed("e-1"), AT_ONCE, &[BAD]);

    let refused = |after| suspects.refusal(last + Duration::from_secs(after), &[BAD]);

    assert!(refused(119).is_some());
    assert_eq!(refused(120), None);
}
