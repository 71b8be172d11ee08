//! Tests of single lease scenarios.

use std::time::Duration;

use coord::lease::{
    Cancel, HolderAction, LeaseHolder, LeaseOptions, LeaseTable, Renewal, Slot, belongs_to, job_id,
    slots_digest,
};
use coord::name::{Incarnation, Service, Upstream, VmName};
use coord::time::Time;
use proptest::prelude::*;

fn slot(vm: &VmName, at: u128) -> Slot {
    Slot {
        job: job_id(vm, at),
        upstream: Upstream::from("decode-1"),
    }
}

fn renew(incarnation: u64, sequence: u64, slots: &[Slot]) -> Renewal {
    Renewal {
        incarnation: Incarnation(incarnation),
        sequence,
        digest: slots_digest(slots),
        slots: Some(slots.to_vec()),
    }
}

proptest! {
    /// Guards against a job id from which its entry VM cannot be recognised.
    #[test]
    fn ids_name_their_vm(random: u128, text in "[a-z]{1,20}") {
        let vm = VmName::from(text);

        prop_assert!(belongs_to(job_id(&vm, random), &vm));
    }
}

/// Guards against a new owner that grants slots that jobs of other VMs occupy.
#[test]
fn a_new_owner_waits_for_registrations() {
    let vm = VmName::from("vm-1");
    let engine = Upstream::from("decode-1");
    let mut leases = LeaseTable::new(Time::ZERO, LeaseOptions::default());
    let held = [slot(&vm, 1).job, slot(&vm, 2).job];

    let before_report = leases.grantable(Time::ZERO, &engine, 20);
    leases.report(Time::ZERO, &engine, (&held, 20), std::slice::from_ref(&vm));
    let reported = leases.grantable(Time::ZERO, &engine, 20);
    leases.renew(Time::ZERO, &vm, renew(1, 1, &[slot(&vm, 1)]));
    let after_registration = leases.grantable(Time::from_millis(3_060), &engine, 20);

    assert_eq!((before_report, reported, after_registration), (0, 18, 19));
}

/// Guards against an overtaken renewal that restores leases which have ended.
#[test]
fn a_late_renewal_is_ignored() {
    let vm = VmName::from("vm-1");
    let mut leases = LeaseTable::new(Time::ZERO, LeaseOptions::default());
    leases.renew(Time::ZERO, &vm, renew(1, 2, &[]));

    let (answer, _) = leases.renew(Time::ZERO, &vm, renew(1, 1, &[slot(&vm, 1)]));

    assert_eq!(answer, None);
    assert!(leases.vm_down(Time::ZERO, &vm).is_empty());
}

/// Guards against an owner whose table differs from the slots of the VM, and against renewals that
/// list all slots each time.
#[test]
fn slots_are_named_only_when_they_differ() {
    let (vm, owner) = (VmName::from("vm-1"), VmName::from("vm-0"));
    let cell = Service::from("s");
    let slot = slot(&vm, 1);
    let mut holder = LeaseHolder::new(vm.clone(), Incarnation(1), LeaseOptions::default());
    holder.set_owner(&cell, Some(owner.clone()));
    let mut leases = LeaseTable::new(Time::ZERO, LeaseOptions::default());
    let mut named = Vec::new();

    for step in 0..6 {
        let now = Time::from_millis(step * 1_000);
        if step == 3 {
            holder.job_started(&cell, slot.job, slot.upstream.clone());
        }
        while let Some(HolderAction::Renew { renewal, .. }) = holder.tick(now).pop() {
            named.push((step, renewal.slots.as_ref().map(Vec::len)));
            let (answer, _) = leases.renew(now, &vm, renewal);
            holder.handle_reply(&cell, &owner, answer.expect("a new message"));
        }
    }

    let expected = [
        (0, Some(0)),
        (1, None),
        (2, None),
        (3, None),
        (3, Some(1)),
        (4, None),
        (5, None),
    ];
    assert_eq!(named, expected);
}

/// Guards against slots of a VM's earlier start that stay occupied after a restart.
#[test]
fn a_restart_frees_the_slots_of_the_earlier_process() {
    let vm = VmName::from("vm-1");
    let Slot { job, upstream } = slot(&vm, 1);
    let mut leases = LeaseTable::new(Time::ZERO, LeaseOptions::default());
    leases.renew(Time::ZERO, &vm, renew(1, 9, &[slot(&vm, 1)]));

    let (_, cancels) = leases.renew(Time::ZERO, &vm, renew(2, 1, &[]));

    assert_eq!(cancels, [Cancel { job, upstream }]);
}

/// Guards against a VM that resumes after a pause and does not learn which of its jobs were
/// cancelled.
#[test]
fn a_paused_vm_is_told_what_ended() {
    let (vm, owner, cell) = (
        VmName::from("vm-1"),
        VmName::from("vm-0"),
        Service::from("s"),
    );
    let slot = slot(&vm, 1);
    let mut holder = LeaseHolder::new(vm.clone(), Incarnation(1), LeaseOptions::default());
    holder.job_started(&cell, slot.job, slot.upstream.clone());
    holder.set_owner(&cell, Some(owner.clone()));
    let mut leases = LeaseTable::new(Time::ZERO, LeaseOptions::default());
    let mut exchange = |at: Time| {
        let mut ended = Vec::new();
        while let Some(HolderAction::Renew { renewal, .. }) = holder.tick(at).pop() {
            let (answer, _) = leases.renew(at, &vm, renewal);
            ended.extend(holder.handle_reply(&cell, &owner, answer.expect("a new message")));
        }
        let late = at + Duration::from_millis(3_001);
        (ended, leases.tick(late).len())
    };

    let before = exchange(Time::ZERO);
    let after = exchange(Time::from_millis(6_000));

    assert_eq!(before, (Vec::new(), 1));
    assert_eq!(after.0, [HolderAction::Ended { slot }]);
}

/// Guards against a VM that cancels its own known jobs or those of another VM.
#[test]
fn only_unknown_ids_of_the_own_hash_are_cancelled() {
    let (me, other) = (VmName::from("vm-1"), VmName::from("vm-2"));
    let mine = slot(&me, 1);
    let mut holder = LeaseHolder::new(me.clone(), Incarnation(1), LeaseOptions::default());
    holder.job_started(&Service::from("s"), mine.job, mine.upstream.clone());
    let (stray, foreign) = (slot(&me, 2), slot(&other, 2));

    let cancels = holder.check_held(&mine.upstream, &[mine.job, stray.job, foreign.job]);

    let Slot { job, upstream } = stray;
    assert_eq!(cancels, [Cancel { job, upstream }]);
}
