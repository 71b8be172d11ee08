//! Tests of single claim scenarios: each safety rule on its own, liveness, the record store and the
//! duplicate table.

use std::collections::BTreeMap;
use std::time::Duration;

use coord::claim::{
    Action, AttemptId, ClaimOptions, Claims, Duplicates, Holder, Key, KeyHash, Message, NextStep,
    Outcome, OwnerLookup, RecordCopy, RecordStore, Start, VmList, WriteResult,
};
use coord::name::{Incarnation, Organisation, VmName};
use coord::time::Time;
use rstest::rstest;

/// Called with the sender, the receiver and each message, which it may change. The message is lost
/// if it returns false.
type MessageFilter<'a> = &'a mut dyn FnMut(usize, usize, &mut Message) -> bool;

struct Fleet {
    vms: Vec<Claims>,
    starts: u64,
    now: Time,
    options: ClaimOptions,
    decided: BTreeMap<AttemptId, Outcome>,
}

fn name(node: usize) -> VmName {
    VmName::from(format!("vm-{node:02}"))
}

fn list(revision: u64, nodes: &[usize]) -> VmList {
    VmList::new(revision, nodes.iter().map(|n| name(*n)))
}

fn key(text: &str) -> Key {
    Key::new(&Organisation::from("souk"), text)
}

fn deliver_all(_: usize, _: usize, _: &mut Message) -> bool {
    true
}

impl Fleet {
    /// Creates a fleet of 8 listed VMs and `spares` others, which have been running for longer than
    /// the retention time.
    fn new(options: ClaimOptions, spares: usize) -> Self {
        let mut fleet = Self {
            vms: Vec::new(),
            starts: 0,
            now: Time::ZERO,
            options,
            decided: BTreeMap::new(),
        };
        for node in 0..8 + spares {
            let vm = fleet.boot(node);
            fleet.vms.push(vm);
        }
        fleet.now = Time::ZERO + Duration::from_secs(4_000);
        fleet.advance(Duration::from_secs(3), &mut deliver_all);
        fleet
    }

    fn boot(&mut self, node: usize) -> Claims {
        self.starts += 1;
        let start = Start {
            incarnation: Incarnation(self.starts),
            boot: self.now,
            unix_ms: self.now.as_micros() / 1_000,
            seed: self.starts,
        };
        let all: Vec<usize> = (0..8).collect();
        Claims::new(name(node), start, self.options.clone(), list(1, &all))
    }

    fn restart(&mut self, node: usize) {
        self.vms[node] = self.boot(node);
    }

    fn run_actions(&mut self, node: usize, actions: Vec<Action>, filter: MessageFilter) {
        let mut queue: Vec<(usize, Action)> = actions.into_iter().map(|a| (node, a)).collect();
        while let Some((from, action)) = queue.pop() {
            match action {
                Action::Decided { attempt, outcome } => {
                    self.decided.insert(attempt, outcome);
                }
                Action::Send { to, mut message } => {
                    let to: usize = to.as_str()[3..].parse().unwrap();
                    if filter(from, to, &mut message) {
                        let done = self.vms[to].receive(self.now, &name(from), message);
                        queue.extend(done.into_iter().map(|a| (to, a)));
                    }
                }
            }
        }
    }

    fn advance(&mut self, span: Duration, filter: MessageFilter) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + Duration::from_millis(50);
            for node in 0..self.vms.len() {
                let actions = self.vms[node].tick(self.now);
                self.run_actions(node, actions, filter);
            }
        }
    }

    fn claim(&mut self, node: usize, key: Key, filter: MessageFilter) -> AttemptId {
        let (attempt, actions) = self.vms[node].start(self.now, key);
        self.run_actions(node, actions, filter);
        attempt
    }

    fn adopt(&mut self, node: usize, list: &VmList, filter: MessageFilter) {
        let actions = self.vms[node].adopt(self.now, list.clone());
        self.run_actions(node, actions, filter);
    }

    fn outcome(&self, attempt: AttemptId) -> Option<&Outcome> {
        self.decided.get(&attempt)
    }
}

/// Guards against a fleet that refuses claims although a quorum of VMs is running.
#[rstest]
fn claims_succeed_with_up_to_three_vms_down(#[values(0, 1, 2, 3)] down: usize) {
    let mut fleet = Fleet::new(ClaimOptions::default(), 0);
    let mut filter = |from: usize, to: usize, _: &mut Message| from >= down && to >= down;

    for at in 0..50 {
        let attempt = fleet.claim(7, key(&format!("k{at}")), &mut filter);

        assert_eq!(fleet.outcome(attempt), Some(&Outcome::Dispatch));
    }
}

/// Guards against a restarted VM that never becomes ready to grant again, or before its boot wait
/// is over.
#[test]
fn a_restarted_vm_is_ready_after_its_wait() {
    let mut fleet = Fleet::new(ClaimOptions::default(), 0);
    fleet.restart(1);

    fleet.advance(Duration::from_millis(1_900), &mut deliver_all);
    let early = fleet.vms[1].ready();
    fleet.advance(Duration::from_millis(400), &mut deliver_all);

    assert!(!early && fleet.vms[1].ready());
}

/// Guards against claims that fail during a rolling replacement of the whole fleet.
#[test]
fn claims_go_on_while_every_vm_is_replaced() {
    let mut fleet = Fleet::new(ClaimOptions::default(), 8);

    for step in 1..=8 {
        let nodes: Vec<usize> = (step..step + 8).collect();
        let newer = list(step as u64 + 1, &nodes);
        let mut filter = |from: usize, to: usize, _: &mut Message| from >= step && to >= step;
        fleet.adopt(step, &newer, &mut filter);
        fleet.advance(Duration::from_secs(4), &mut filter);
        let attempt = fleet.claim(step, key(&format!("k{step}")), &mut filter);
        fleet.advance(Duration::from_millis(200), &mut filter);

        assert_eq!(
            fleet.outcome(attempt),
            Some(&Outcome::Dispatch),
            "step {step}"
        );
    }
}

/// Guards against a restarted VM that grants a key while a claim round still counts the grant that
/// it lost in the restart.
#[rstest]
#[case::with_wait(Duration::from_secs(2), false)]
#[case::without_wait(Duration::ZERO, true)]
fn a_restarted_vm_waits_for_rounds(#[case] boot_wait: Duration, #[case] twice: bool) {
    let options = ClaimOptions {
        boot_wait,
        ..ClaimOptions::default()
    };
    let mut fleet = Fleet::new(options, 0);
    let first = fleet.claim(0, key("k"), &mut |_, to, m| {
        to < 3 || !matches!(m, Message::Request { .. })
    });
    fleet.restart(1);
    fleet.restart(2);
    fleet.advance(Duration::from_millis(300), &mut |from, to, _| {
        from != 0 && to != 0
    });

    fleet.now = fleet.now + Duration::from_millis(150);
    let actions = fleet.vms[0].tick(fleet.now);
    fleet.run_actions(0, actions, &mut |_, to, _| to != 1 && to != 2 && to < 5);
    let second = fleet.claim(5, key("k"), &mut deliver_all);

    assert_eq!(fleet.outcome(first), Some(&Outcome::Dispatch));
    assert_eq!(fleet.outcome(second) == Some(&Outcome::Dispatch), twice);
}

/// Guards against a dispatch after a long pause of the process, when the records may have expired.
#[test]
fn a_late_claim_is_not_dispatched() {
    let mut fleet = Fleet::new(ClaimOptions::default(), 0);
    let attempt = fleet.claim(0, key("k"), &mut deliver_all);
    let late = fleet.now + Duration::from_millis(1_001);

    let result = fleet.vms[0].dispatch(late, attempt);

    assert!(matches!(result, Err(Outcome::NotRun { .. })));
    let repeated = fleet.vms[0].dispatch(late, attempt);
    assert!(matches!(repeated, Err(Outcome::Unknown { .. })));
}

/// Guards against a VM that missed a list under which keys were dispatched, and then grants by the
/// records that it had before.
#[rstest]
#[case::with_history(true)]
#[case::without_history(false)]
fn a_skipped_list_is_read(#[case] history: bool) {
    let mut fleet = Fleet::new(ClaimOptions::default(), 3);
    let middle = list(2, &[0, 1, 2, 3, 4, 8, 9, 10]);
    let mut without_5_to_7 =
        |from: usize, to: usize, _: &mut Message| !(5..8).contains(&from) && !(5..8).contains(&to);
    for node in [0, 1, 2, 3, 4, 8, 9, 10] {
        fleet.adopt(node, &middle, &mut without_5_to_7);
    }
    // Five of the eight VMs of the first list remain connected, which is a quorum of it.
    fleet.advance(Duration::from_secs(5), &mut without_5_to_7);
    let first = fleet.claim(3, key("k"), &mut |from, to, m| {
        without_5_to_7(from, to, m) && (to > 2 || !matches!(m, Message::Request { .. }))
    });

    let newest = list(3, &[0, 1, 2, 3, 4, 5, 6, 7]);
    let mut filter = |_: usize, _: usize, message: &mut Message| {
        if let (Message::Page(page), false) = (message, history) {
            page.history = vec![1, 3];
            page.floor = 0;
        }
        true
    };
    for node in 0..11 {
        fleet.adopt(node, &newest, &mut filter);
    }
    fleet.advance(Duration::from_secs(5), &mut filter);
    let second = fleet.claim(5, key("k"), &mut |_, to, _| to != 3 && to != 4);
    fleet.advance(Duration::from_secs(2), &mut |_, to, _| to != 3 && to != 4);

    assert_eq!(fleet.outcome(first), Some(&Outcome::Dispatch));
    let dispatched = fleet.outcome(second) == Some(&Outcome::Dispatch);
    assert_eq!(dispatched, !history, "{:?}", fleet.outcome(second));
}

/// Guards against grants of different lists that are counted together, as quorums of two lists need
/// not share a VM.
#[rstest]
#[case::checked(true)]
#[case::unchecked(false)]
fn grants_of_two_lists_do_not_mix(#[case] checked: bool) {
    let mut fleet = Fleet::new(ClaimOptions::default(), 3);
    let newer = list(2, &[3, 4, 5, 6, 7, 8, 9, 10]);
    let mut right_side = |from: usize, to: usize, _: &mut Message| from > 2 && to > 2;
    (3..11).for_each(|node| fleet.adopt(node, &newer, &mut right_side));
    fleet.advance(Duration::from_secs(4), &mut right_side);

    let mut left_side = |_: usize, to: usize, message: &mut Message| {
        let here = if to < 3 { 1 } else { 2 };
        match message {
            Message::Request { revision, .. } | Message::Granted { revision, .. } if !checked => {
                *revision = here;
            }
            _ => {}
        }
        to < 5
    };
    let first = fleet.claim(0, key("k"), &mut left_side);
    let second = fleet.claim(9, key("k"), &mut |_, to, _| to > 4);

    assert_eq!(fleet.outcome(second), Some(&Outcome::Dispatch));
    assert_eq!(fleet.outcome(first) == Some(&Outcome::Dispatch), !checked);
}

/// Guards against a page for an earlier start of a VM that makes the empty record store of the new
/// start count as complete.
#[rstest]
#[case::named(false)]
#[case::renamed(true)]
fn pages_for_an_earlier_start_do_not_count(#[case] renamed: bool) {
    let mut fleet = Fleet::new(ClaimOptions::default(), 0);
    let mut pages = Vec::new();
    fleet.restart(1);
    fleet.advance(Duration::from_secs(3), &mut |from, to, message| {
        if let (1, Message::Page(page)) = (to, &*message) {
            pages.push((from, page.clone()));
        }
        true
    });
    fleet.restart(1);
    let now = fleet.now;

    for (from, mut page) in pages {
        if renamed {
            page.requester = Incarnation(fleet.starts);
        }
        fleet.vms[1].receive(now, &name(from), Message::Page(page));
    }

    assert_eq!(fleet.vms[1].ready(), renamed);
}

/// Guards against a grant of a version-7 key that was issued before the VMs lost their records.
#[rstest]
#[case::before_the_start(-1, false)]
#[case::within_the_clock_error(60, false)]
#[case::after_the_clock_error(70, true)]
fn empty_vms_grant_only_younger_keys(#[case] after: i64, #[case] granted: bool) {
    let mut fleet = Fleet::new(ClaimOptions::default(), 0);
    (0..8).for_each(|node| fleet.restart(node));
    let issued = (fleet.now.as_micros() / 1_000).saturating_add_signed(after * 1_000);
    fleet.advance(Duration::from_secs(80), &mut deliver_all);
    let key = Key {
        issued_ms: Some(issued),
        ..key("k")
    };

    let attempt = fleet.claim(0, key, &mut deliver_all);
    fleet.advance(Duration::from_secs(2), &mut deliver_all);

    let dispatched = fleet.outcome(attempt) == Some(&Outcome::Dispatch);
    assert_eq!(dispatched, granted);
    let not_run = matches!(fleet.outcome(attempt), Some(Outcome::NotRun { .. }));
    assert!(
        !not_run,
        "NotRun without the records of what ran before the restart"
    );
}

fn copied(attempt: u64, contested: bool) -> RecordCopy {
    let (vm, attempt) = (name(1), AttemptId(attempt));
    RecordCopy {
        key: KeyHash(1, 1),
        holder: Holder { vm, attempt },
        age: Duration::ZERO,
        contested,
    }
}

/// Guards against a copied record that counts as a grant of its attempt, which may not have had a
/// quorum.
#[test]
fn a_copied_record_grants_nobody() {
    let mut store = RecordStore::new(Duration::from_secs(100), 10);
    store.import(Time::ZERO, &copied(1, false));

    let written = store.write(Time::ZERO, KeyHash(1, 1), &name(1), AttemptId(1));

    assert!(matches!(written, WriteResult::Held(_)));
}

/// Guards against a release of one attempt that frees a key for which another attempt has grants.
#[rstest]
#[case::seen_here(false)]
#[case::seen_elsewhere(true)]
fn a_contested_key_is_not_released(#[case] elsewhere: bool) {
    let mut store = RecordStore::new(Duration::from_secs(100), 10);
    store.import(Time::ZERO, &copied(1, elsewhere));
    if !elsewhere {
        store.import(Time::ZERO, &copied(2, false));
    }

    store.release(KeyHash(1, 1), AttemptId(1));

    assert_eq!(store.len(), 1);
}

/// Guards against a request that arrives after its own release and leaves a record that blocks the
/// key.
#[test]
fn a_released_attempt_leaves_no_record() {
    let mut store = RecordStore::new(Duration::from_secs(100), 10);
    store.release(KeyHash(1, 1), AttemptId(1));

    let written = store.write(Time::ZERO, KeyHash(1, 1), &name(1), AttemptId(1));

    assert_eq!(written, WriteResult::Released);
    assert!(store.is_empty());
}

/// Guards against a duplicate that runs although its owner knows the first attempt, and against an
/// owner that does not reply and delays the request.
#[test]
fn duplicates_attach_but_never_wait_long() {
    let mut duplicates = Duplicates::new(10);
    let (first, second) = (copied(1, false).holder, copied(2, false).holder);
    let hash = KeyHash(1, 1);
    assert_eq!(duplicates.register(Time::ZERO, hash, first.clone()), None);

    let mut lookup = OwnerLookup::new(Time::ZERO);
    lookup.handle_reply(duplicates.register(Time::ZERO, hash, second.clone()));
    let unanswered = OwnerLookup::new(Time::ZERO);
    duplicates.mark_answered(Time::ZERO, hash, first.attempt);

    assert_eq!(lookup.next(Time::ZERO), NextStep::Attach(first));
    assert_eq!(unanswered.next(Time::from_millis(49)), NextStep::Wait);
    assert_eq!(unanswered.next(Time::from_millis(50)), NextStep::Run);
    assert_eq!(
        duplicates.register(Time::from_millis(30_000), hash, second),
        None
    );
}
