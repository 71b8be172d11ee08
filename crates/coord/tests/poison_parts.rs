//! Which parts of prompts are accused, cleared, tried and refused after crashes.

use std::time::Duration;

use coord::poison::{
    CrashRecord, PartOptions, PartStanding, PartSuspects, UpstreamStart, is_part, part_fingerprint,
};
use coord::time::Time;
use proptest::prelude::*;

const AT_ONCE: Duration = Duration::ZERO;

fn part(name: &str) -> u128 {
    part_fingerprint(name.as_bytes())
}

fn parts(names: &str) -> Vec<u128> {
    names.split_whitespace().map(part).collect()
}

fn vm(name: &str) -> PartSuspects {
    PartSuspects::new(name.into(), PartOptions::default())
}

fn second(number: u64) -> Time {
    Time::from_millis(number * 1_000)
}

/// Crashes one engine each second, under requests with the parts in `crashes`.
fn crash(vm: &mut PartSuspects, first: u64, crashes: &[&str]) {
    for (number, names) in (first..).zip(crashes) {
        let event = UpstreamStart::new("e".into(), number);
        vm.upstream_crashed(second(number), &event, AT_ONCE, &parts(names));
    }
}

fn is_refused(vm: &PartSuspects, at: u64, names: &str) -> bool {
    let standing = vm.standing(second(at), &parts(names));
    matches!(standing, PartStanding::Refused { .. })
}

fn sync(from: &mut PartSuspects, to: &mut PartSuspects, now: Time) {
    while from.has_updates() {
        let records = from.next_update(now);
        to.merge(now, &records);
    }
}

/// Guards against a part that is never recognised because no two requests with it are alike.
#[test]
fn a_part_is_refused_after_three_crashes_whatever_is_beside_it() {
    let mut vm = vm("vm-1");
    let one = ["a bad x"];
    let two = ["b bad"];

    crash(&mut vm, 0, &one);
    let after_one = vm.standing(second(0), &parts("bad c"));
    crash(&mut vm, 1, &two);
    let after_two = vm.standing(second(1), &parts("bad c"));
    crash(&mut vm, 2, &["bad y"]);

    assert_eq!(
        (after_one, after_two),
        (PartStanding::Suspect, PartStanding::OnTrial)
    );
    assert!(is_refused(&vm, 2, "c bad"));
    assert_eq!(vm.standing(second(2), &parts("c")), PartStanding::Clear);
}

/// Guards against a sound part that is refused because it was beside a bad one at each crash.
#[test]
fn a_request_without_a_companion_is_tried() {
    let mut vm = vm("vm-1");
    crash(&mut vm, 0, &["first bad", "first bad", "first bad"]);

    assert!(is_refused(&vm, 2, "first bad"));
    assert_eq!(
        vm.standing(second(2), &parts("first other")),
        PartStanding::OnTrial
    );
    let cleared = vm.vouch(second(3), &parts("first other"));

    assert_eq!(cleared, parts("first"));
    assert!(is_refused(&vm, 3, "bad"));
    assert_eq!(vm.standing(second(3), &parts("first")), PartStanding::Clear);
}

/// Guards against a first part that is refused because two bad parts come after it.
#[test]
fn two_bad_parts_explain_the_crashes_of_their_first_part() {
    let mut vm = vm("vm-1");
    crash(
        &mut vm,
        0,
        &[
            "first b1", "first b2", "first b1", "first b2", "first b1", "first b2",
        ],
    );

    assert!(is_refused(&vm, 5, "first b1"));
    assert!(is_refused(&vm, 5, "first b2"));
    assert_eq!(
        vm.standing(second(5), &parts("first")),
        PartStanding::OnTrial
    );
}

/// Guards against a first part that crashes engines for ever because rarer parts seem to explain it.
#[test]
fn a_bad_first_part_is_convicted_soon() {
    let mut vm = vm("vm-1");
    crash(
        &mut vm,
        0,
        &[
            "bad x", "bad y", "bad x", "bad y", "bad x", "bad y", "bad z", "bad w", "bad v",
        ],
    );

    assert!(is_refused(&vm, 8, "bad new"));
}

/// Guards against a part that popular requests clear at one gateway and that another one accuses again.
#[test]
fn a_part_that_ran_is_cleared_at_all_vms_and_not_accused_again() {
    let (mut one, mut two, mut late) = (vm("vm-1"), vm("vm-2"), vm("vm-3"));
    two.vouch(second(1), &parts("sound"));
    crash(&mut one, 2, &["sound bad", "sound bad", "sound bad"]);
    crash(&mut late, 2, &["sound bad"]);

    sync(&mut one, &mut two, second(5));
    sync(&mut two, &mut one, second(5));
    sync(&mut late, &mut one, second(5));
    crash(&mut one, 6, &["sound bad"]);

    assert_eq!(one.accused(&parts("sound bad")), parts("bad"));
    assert!(is_refused(&two, 6, "sound bad"));
}

/// Guards against a part that is never suspected again because it ran once.
#[test]
fn a_clearance_ages() {
    let mut vm = vm("vm-1");
    vm.vouch(second(0), &parts("turned"));

    crash(&mut vm, 700, &["turned"; 3]);

    assert!(is_refused(&vm, 702, "turned"));
}

/// Guards against copies of a part on several engines that are lost together and count as several crashes.
#[test]
fn runs_that_overlap_count_once() {
    let mut vm = vm("vm-1");
    for number in 0..4 {
        let now = Time::from_millis(1_000 + number);
        let crashed = UpstreamStart::new("e".into(), number);
        vm.upstream_crashed(now, &crashed, Duration::from_millis(200), &parts("a"));
    }

    assert_eq!(vm.standing(second(2), &parts("a")), PartStanding::Suspect);
}

/// Guards against a fleet that needs two more crashes after all of its engines went down at once.
#[test]
fn many_crashes_at_once_need_one_trial() {
    let mut vm = vm("vm-1");
    for number in 0..6 {
        let now = Time::from_millis(1_000 + number);
        let crashed = UpstreamStart::new("e".into(), number);
        vm.upstream_crashed(now, &crashed, Duration::from_millis(200), &parts("bad"));
    }
    let before = vm.standing(second(2), &parts("bad"));

    crash(&mut vm, 8, &["bad"]);

    assert_eq!(before, PartStanding::OnTrial);
    assert!(is_refused(&vm, 8, "bad"));
}

/// Guards against a bad part that is tried again and again, and against a sound one that is refused for
/// long.
#[test]
fn each_crash_beyond_the_third_lengthens_the_refusal() {
    let mut vm = vm("vm-1");
    let mut crashes = Vec::new();
    for at in 0..600 {
        if !is_refused(&vm, at, "bad") {
            crash(&mut vm, at, &["bad"]);
            crashes.push(at);
        }
    }

    assert_eq!(crashes, [0, 1, 2, 22, 102, 422]);
}

/// Guards against crashes that do not add up because different gateways saw them, or that count twice.
#[test]
fn crashes_of_several_vms_add_up_once() {
    let (mut one, mut two) = (vm("vm-1"), vm("vm-2"));
    crash(&mut one, 0, &["bad", "bad"]);
    crash(&mut two, 1, &["bad", "bad"]);

    sync(&mut one, &mut two, second(3));
    sync(&mut two, &mut one, second(3));

    for vm in [&one, &two] {
        assert_eq!(vm.sightings(second(3), part("bad")).len(), 3);
        assert!(is_refused(vm, 3, "bad"));
    }
}

/// Guards against tables and messages that grow with the number of parts and crashes.
#[test]
fn memory_and_messages_are_bounded() {
    let mut vm = vm("vm-1");
    let many: Vec<u128> = (0..6_000).map(|n| part(&n.to_string())).collect();
    for number in 0..40 {
        let crashed = UpstreamStart::new("e".into(), number);
        vm.upstream_crashed(second(number), &crashed, AT_ONCE, &many[..200]);
    }
    crash(&mut vm, 50, &["bad"]);
    vm.upstream_crashed(
        second(51),
        &UpstreamStart::new("e".into(), 51),
        AT_ONCE,
        &many,
    );
    let page = vm.next_page(second(52));
    for chunk in many.chunks(32) {
        vm.vouch(second(60), chunk);
    }

    assert!(vm.len() <= 4_096, "{} parts", vm.len());
    assert!(vm.vouched_count() <= 4_096, "{} parts", vm.vouched_count());
    let sightings: usize = page.iter().map(|record| record.sightings.len()).sum();
    assert!(
        page.len() <= 16 && sightings <= 128,
        "{sightings} sightings"
    );
}

/// Guards against a gateway that never learns of a part because an update was lost.
#[test]
fn pages_name_every_part_in_turn() {
    let (mut one, mut two) = (vm("vm-1"), vm("vm-2"));
    let many: Vec<u128> = (0..100).map(|n| part(&n.to_string())).collect();
    one.upstream_crashed(
        second(0),
        &UpstreamStart::new("e".into(), 0),
        AT_ONCE,
        &many,
    );
    crash(&mut one, 1, &["bad", "bad", "bad"]);

    two.merge(second(4), &one.next_page(second(4)));
    let at_once = is_refused(&two, 4, "bad");
    for _ in 0..10 {
        two.merge(second(4), &one.next_page(second(4)));
    }

    assert!(at_once);
    assert_eq!(two.len(), 101);
}

proptest! {
    /// Guards against records that panic a gateway or are taken for those of requests.
    #[test]
    fn any_order_of_reports_leads_to_the_same_belief(
        crashes in prop::collection::vec((0_u64..12, prop::collection::vec(0_u8..5, 1..4)), 1..20),
        order: prop::sample::Index,
    ) {
        let mut source = vm("vm-1");
        let mut all: Vec<CrashRecord> = Vec::new();
        for (start, names) in crashes {
            let names: Vec<u128> = names.iter().map(|n| part(&n.to_string())).collect();
            source.upstream_crashed(second(start), &UpstreamStart::new("e".into(), start), AT_ONCE, &names);
            let update = source.next_update(second(start));
            all.extend(update);
        }
        let turn = order.index(all.len().max(1));
        let mut target = vm("vm-2");
        // Ages are relative to the time of the report, so one page tells the final state.
        let page = source.next_page(second(20));
        target.merge(second(20), &page);

        prop_assert!(all[turn..].iter().all(|record| is_part(record.fingerprint)));
        for name in 0..5 {
            let one = [part(&name.to_string())];
            prop_assert_eq!(source.standing(second(20), &one), target.standing(second(20), &one));
        }
    }
}
