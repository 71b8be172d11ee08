//! Single scenarios of authorities and orders.

use std::collections::BTreeSet;
use std::time::Duration;

use coord::fence::{Authority, FenceOptions, FencingToken, Orders, VmInstance, Voter};
use coord::name::{Incarnation, Service, Upstream, VmName};
use coord::time::Time;
use proptest::prelude::*;
use rstest::rstest;

fn authority(vm: &VmName) -> Authority {
    let owner = VmInstance {
        vm: vm.clone(),
        incarnation: Incarnation(1),
    };
    Authority::new(Service::from("s"), owner, FenceOptions::default())
}

fn acquire(authority: &mut Authority, now: Time, vm: &VmName) {
    let vote = authority.tick(now, &BTreeSet::from([vm.clone()]));
    authority.record_vote(now, vm, &vote.expect("a round is due"));
}

proptest! {
    /// Guards against a token that is not higher than the highest one known to the engine.
    #[test]
    fn the_next_number_is_higher(highest in 0_u64..u64::MAX / 2, text in "[a-z]{1,9}") {
        let next = FencingToken::successor(FencingToken(highest), &VmName::from(text));

        prop_assert!(next > FencingToken(highest));
    }

    /// Guards against two quorums without a common VM, for lists of equal size that differ in 3
    /// VMs, or in 1 VM if they have fewer than 8.
    #[test]
    fn quorums_meet(size in 4_usize..=9) {
        let replaced = if size >= 8 { 3 } else { 1 };

        prop_assert!(2 * Authority::quorum(size) > size + replaced);
    }
}

/// Guards against two owners in a partition that draw ever higher tokens against each other.
#[test]
fn a_refused_owner_without_authority_sends_no_higher_token() {
    let (me, engine) = (VmName::from("vm-1"), Upstream::from("e"));
    let mut authority = authority(&me);
    let mut orders = Orders::new(me.clone(), FenceOptions::default());
    orders.set_desired(&engine, true, "v1");
    let first = orders.tick(Time::ZERO, &authority);
    let higher = FencingToken::successor(first[0].token, &VmName::from("vm-2"));
    orders.record_refusal(&engine, higher);

    let without = orders.tick(Time::from_millis(100), &authority);
    acquire(&mut authority, Time::from_millis(200), &me);
    let with = orders.tick(Time::from_millis(200), &authority);

    assert!(without.is_empty());
    assert!(with[0].token > higher);
}

/// Guards against an engine that keeps an outdated state after a restart or a change of the owner.
#[test]
fn the_whole_state_is_sent_again() {
    let (me, engine) = (VmName::from("vm-1"), Upstream::from("e"));
    let mut authority = authority(&me);
    let mut orders = Orders::new(me.clone(), FenceOptions::default());
    orders.set_desired(&engine, false, "v1");
    let mut sent = Vec::new();

    for second in 0..25 {
        let now = Time::ZERO + Duration::from_secs(second);
        acquire(&mut authority, now, &me);
        sent.extend(orders.tick(now, &authority).iter().map(|_| second));
    }

    assert_eq!(sent, [2, 12, 22]);
}

/// Guards against an owner that continues to send orders after its votes have expired.
#[test]
fn authority_ends_by_itself() {
    let me = VmName::from("vm-1");
    let mut authority = authority(&me);

    acquire(&mut authority, Time::ZERO, &me);

    assert!(authority.is_held(Time::from_millis(2_999)));
    assert!(!authority.is_held(Time::from_millis(3_000)));
}

/// Guards against voters that lose their votes in a restart and grant a second owner the authority
/// while the first one still has it. The second case shows that both have it if restarted voters
/// grant votes immediately.
#[rstest]
#[case::with_wait(true)]
#[case::without_wait(false)]
fn restarted_voters_wait(#[case] wait: bool) {
    let start = Time::from_millis(10_000);
    let later = Time::from_millis(11_000);
    let names: Vec<VmName> = (0..8).map(|n| VmName::from(format!("vm-{n}"))).collect();
    let all: BTreeSet<VmName> = names.iter().cloned().collect();
    let options = FenceOptions::default();
    let mut voters = vec![Voter::new(Time::ZERO, options.clone()); 8];
    let (mut first, mut second) = (authority(&names[0]), authority(&names[7]));
    let ask = |authority: &mut Authority, now: Time, from: &[usize], voters: &mut [Voter]| {
        let vote = authority.tick(now, &all).expect("a round is due");
        for voter in from {
            if voters[*voter].handle_request(now, &vote) {
                authority.record_vote(now, &names[*voter], &vote);
            }
        }
    };
    ask(&mut first, start, &[0, 1, 2, 3, 4, 5], &mut voters);

    for voter in &mut voters[2..6] {
        let boot = if wait { later } else { Time::ZERO };
        *voter = Voter::new(boot, options.clone());
    }
    ask(&mut second, later, &[2, 3, 4, 5, 6, 7], &mut voters);

    assert!(first.is_held(later));
    assert_eq!(second.is_held(later), !wait);
}
