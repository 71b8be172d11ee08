//! Single scenarios of claims: each protection on its own, liveness and memory.

use std::collections::BTreeMap;
use std::time::Duration;

use coord::claim::{
    Action, AttemptId, ClaimOptions, Claims, Duplicates, Holder, Key, KeyHash, Message, NextStep,
    Outcome, OwnerLookup, RecordCopy, RecordStore, Start, VmList, WriteResult,
};
use coord::name::{Incarnation, Organisation, VmName};
use coord::time::Time;
use rstest::rstest;

/// Decides about one message and may change it; false loses it.
type Wire<'a> = &'a mut dyn FnMut(usize, usize, &mut Message) -> bool;

struct Bench {
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

fn perfect(_: usize, _: usize, _: &mut Message) -> bool {
    true
}

impl Bench {
    /// A fleet of 8 VMs, and `spares` more, that has been up for longer than the retention time.
    fn new(options: ClaimOptions, spares: usize) -> Self {
        let mut bench = Self {
            vms: Vec::new(),
            starts: 0,
            now: Time::ZERO,
            options,
            decided: BTreeMap::new(),
        };
        for node in 0..8 + spares {
            let vm = bench.boot(node);
            bench.vms.push(vm);
        }
        bench.now = Time::ZERO + Duration::from_secs(4_000);
        bench.wait(Duration::from_secs(3), &mut perfect);
        bench
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

    fn pump(&mut self, node: usize, actions: Vec<Action>, wire: Wire) {
        let mut open: Vec<(usize, Action)> = actions.into_iter().map(|a| (node, a)).collect();
        while let Some((from, action)) = open.pop() {
            match action {
                Action::Decided { attempt, outcome } => {
                    self.decided.insert(attempt, outcome);
                }
                Action::Send { to, mut message } => {
                    let to: usize = to.as_str()[3..].parse().unwrap();
                    if wire(from, to, &mut message) {
                        let done = self.vms[to].receive(self.now, &name(from), message);
                        open.extend(done.into_iter().map(|a| (to, a)));
                    }
                }
            }
        }
    }

    fn wait(&mut self, span: Duration, wire: Wire) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + Duration::from_millis(50);
            for node in 0..self.vms.len() {
                let actions = self.vms[node].tick(self.now);
                self.pump(node, actions, wire);
            }
        }
    }

    fn claim(&mut self, node: usize, key: Key, wire: Wire) -> AttemptId {
        let (attempt, actions) = self.vms[node].start(self.now, key);
        self.pump(node, actions, wire);
        attempt
    }

    fn adopt(&mut self, node: usize, list: &VmList, wire: Wire) {
        let actions = self.vms[node].adopt(self.now, list.clone());
        self.pump(node, actions, wire);
    }

    fn outcome(&self, attempt: AttemptId) -> Option<&Outcome> {
        self.decided.get(&attempt)
    }
}

/// Guards against a fleet that refuses although enough VMs are up.
#[rstest]
fn claims_succeed_with_up_to_three_vms_down(#[values(0, 1, 2, 3)] down: usize) {
    let mut bench = Bench::new(ClaimOptions::default(), 0);
    let mut wire = |from: usize, to: usize, _: &mut Message| from >= down && to >= down;

    for at in 0..50 {
        let attempt = bench.claim(7, key(&format!("k{at}")), &mut wire);

        assert_eq!(bench.outcome(attempt), Some(&Outcome::Dispatch));
    }
}

/// Guards against a restarted VM that never grants again.
#[test]
fn a_restarted_vm_is_ready_after_its_wait() {
    let mut bench = Bench::new(ClaimOptions::default(), 0);
    bench.restart(1);

    bench.wait(Duration::from_millis(1_900), &mut perfect);
    let early = bench.vms[1].ready();
    bench.wait(Duration::from_millis(400), &mut perfect);

    assert!(!early && bench.vms[1].ready());
}

/// Guards against a rolling replacement of the whole fleet that stops claims.
#[test]
fn claims_go_on_while_every_vm_is_replaced() {
    let mut bench = Bench::new(ClaimOptions::default(), 8);

    for step in 1..=8 {
        let nodes: Vec<usize> = (step..step + 8).collect();
        let lists = list(step as u64 + 1, &nodes);
        let mut wire = |from: usize, to: usize, _: &mut Message| from >= step && to >= step;
        bench.adopt(step, &lists, &mut wire);
        bench.wait(Duration::from_secs(4), &mut wire);
        let attempt = bench.claim(step, key(&format!("k{step}")), &mut wire);
        bench.wait(Duration::from_millis(200), &mut wire);

        assert_eq!(
            bench.outcome(attempt),
            Some(&Outcome::Dispatch),
            "step {step}"
        );
    }
}

/// Guards against a restarted VM that grants again while a round still counts its old grant.
#[rstest]
#[case::with_wait(Duration::from_secs(2), false)]
#[case::without_wait(Duration::ZERO, true)]
fn a_restarted_vm_waits_for_rounds(#[case] boot_wait: Duration, #[case] twice: bool) {
    let options = ClaimOptions {
        boot_wait,
        ..ClaimOptions::default()
    };
    let mut bench = Bench::new(options, 0);
    let first = bench.claim(0, key("k"), &mut |_, to, m| {
        to < 3 || !matches!(m, Message::Request { .. })
    });
    bench.restart(1);
    bench.restart(2);
    bench.wait(Duration::from_millis(300), &mut |from, to, _| {
        from != 0 && to != 0
    });

    bench.now = bench.now + Duration::from_millis(150);
    let actions = bench.vms[0].tick(bench.now);
    bench.pump(0, actions, &mut |_, to, _| to != 1 && to != 2 && to < 5);
    let second = bench.claim(5, key("k"), &mut perfect);

    assert_eq!(bench.outcome(first), Some(&Outcome::Dispatch));
    assert_eq!(bench.outcome(second) == Some(&Outcome::Dispatch), twice);
}

/// Guards against a dispatch after a pause: by then the records may have expired.
#[test]
fn a_late_claim_is_not_dispatched() {
    let mut bench = Bench::new(ClaimOptions::default(), 0);
    let attempt = bench.claim(0, key("k"), &mut perfect);
    let late = bench.now + Duration::from_millis(1_001);

    let result = bench.vms[0].dispatch(late, attempt);

    assert!(matches!(result, Err(Outcome::NotRun { .. })));
    let very_late = bench.vms[0].dispatch(late, attempt);
    assert!(matches!(very_late, Err(Outcome::Unknown { .. })));
}

/// Guards against a VM that missed a list in which keys were dispatched and then grants from
/// its old memory.
#[rstest]
#[case::with_history(true)]
#[case::without_history(false)]
fn a_skipped_list_is_read(#[case] history: bool) {
    let mut bench = Bench::new(ClaimOptions::default(), 3);
    let between = list(2, &[0, 1, 2, 3, 4, 8, 9, 10]);
    let mut away =
        |from: usize, to: usize, _: &mut Message| !(5..8).contains(&from) && !(5..8).contains(&to);
    for node in [0, 1, 2, 3, 4, 8, 9, 10] {
        bench.adopt(node, &between, &mut away);
    }
    // Five of the eight stay in contact, which is a quorum of the first list.
    bench.wait(Duration::from_secs(5), &mut away);
    let first = bench.claim(3, key("k"), &mut |from, to, m| {
        away(from, to, m) && (to > 2 || !matches!(m, Message::Request { .. }))
    });

    let back = list(3, &[0, 1, 2, 3, 4, 5, 6, 7]);
    let mut wire = |_: usize, _: usize, message: &mut Message| {
        if let (Message::Page(page), false) = (message, history) {
            page.history = vec![1, 3];
            page.floor = 0;
        }
        true
    };
    for node in 0..11 {
        bench.adopt(node, &back, &mut wire);
    }
    bench.wait(Duration::from_secs(5), &mut wire);
    let second = bench.claim(5, key("k"), &mut |_, to, _| to != 3 && to != 4);
    bench.wait(Duration::from_secs(2), &mut |_, to, _| to != 3 && to != 4);

    assert_eq!(bench.outcome(first), Some(&Outcome::Dispatch));
    let ran = bench.outcome(second) == Some(&Outcome::Dispatch);
    assert_eq!(ran, !history, "{:?}", bench.outcome(second));
}

/// Guards against grants of different lists that count together: their quorums need not meet.
#[rstest]
#[case::checked(true)]
#[case::unchecked(false)]
fn grants_of_two_lists_do_not_mix(#[case] checked: bool) {
    let mut bench = Bench::new(ClaimOptions::default(), 3);
    let newer = list(2, &[3, 4, 5, 6, 7, 8, 9, 10]);
    let mut right = |from: usize, to: usize, _: &mut Message| from > 2 && to > 2;
    (3..11).for_each(|node| bench.adopt(node, &newer, &mut right));
    bench.wait(Duration::from_secs(4), &mut right);

    let mut left = |_: usize, to: usize, message: &mut Message| {
        let here = if to < 3 { 1 } else { 2 };
        match message {
            Message::Request { revision, .. } | Message::Granted { revision, .. } if !checked => {
                *revision = here;
            }
            _ => {}
        }
        to < 5
    };
    let first = bench.claim(0, key("k"), &mut left);
    let second = bench.claim(9, key("k"), &mut |_, to, _| to > 4);

    assert_eq!(bench.outcome(second), Some(&Outcome::Dispatch));
    assert_eq!(bench.outcome(first) == Some(&Outcome::Dispatch), !checked);
}

/// Guards against an answer to an earlier start that makes an empty memory count as read.
#[rstest]
#[case::named(false)]
#[case::renamed(true)]
fn pages_for_an_earlier_start_do_not_count(#[case] renamed: bool) {
    let mut bench = Bench::new(ClaimOptions::default(), 0);
    let mut pages = Vec::new();
    bench.restart(1);
    bench.wait(Duration::from_secs(3), &mut |from, to, message| {
        if let (1, Message::Page(page)) = (to, &*message) {
            pages.push((from, page.clone()));
        }
        true
    });
    bench.restart(1);
    let now = bench.now;

    for (from, mut page) in pages {
        if renamed {
            page.requester = Incarnation(bench.starts);
        }
        bench.vms[1].receive(now, &name(from), Message::Page(page));
    }

    assert_eq!(bench.vms[1].ready(), renamed);
}

/// Guards against a version-7 key that was issued before the VMs lost their memory being granted.
#[rstest]
#[case::before_the_start(-1, false)]
#[case::within_the_clock_error(60, false)]
#[case::after_the_clock_error(70, true)]
fn empty_vms_grant_only_younger_keys(#[case] after: i64, #[case] granted: bool) {
    let mut bench = Bench::new(ClaimOptions::default(), 0);
    (0..8).for_each(|node| bench.restart(node));
    let issued = (bench.now.as_micros() / 1_000).saturating_add_signed(after * 1_000);
    bench.wait(Duration::from_secs(80), &mut perfect);
    let key = Key {
        issued_ms: Some(issued),
        ..key("k")
    };

    let attempt = bench.claim(0, key, &mut perfect);
    bench.wait(Duration::from_secs(2), &mut perfect);

    let ran = bench.outcome(attempt) == Some(&Outcome::Dispatch);
    assert_eq!(ran, granted);
    let not_run = matches!(bench.outcome(attempt), Some(Outcome::NotRun { .. }));
    assert!(!not_run, "nobody knows what ran before the restart");
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

/// Guards against split votes: a copy of the losing attempt's record must not help it to a
/// quorum.
#[test]
fn a_copied_record_grants_nobody() {
    let mut memory = RecordStore::new(Duration::from_secs(100), 10);
    memory.copy(Time::ZERO, &copied(1, false));

    let written = memory.write(Time::ZERO, KeyHash(1, 1), &name(1), AttemptId(1));

    assert!(matches!(written, WriteResult::Held(_)));
}

/// Guards against the release of one attempt that frees the key of another one.
#[rstest]
#[case::seen_here(false)]
#[case::seen_elsewhere(true)]
fn a_contested_key_is_not_released(#[case] elsewhere: bool) {
    let mut memory = RecordStore::new(Duration::from_secs(100), 10);
    memory.copy(Time::ZERO, &copied(1, elsewhere));
    if !elsewhere {
        memory.copy(Time::ZERO, &copied(2, false));
    }

    memory.release(KeyHash(1, 1), AttemptId(1));

    assert_eq!(memory.len(), 1);
}

/// Guards against a request that arrives after its own release and blocks the key.
#[test]
fn a_released_attempt_leaves_no_record() {
    let mut memory = RecordStore::new(Duration::from_secs(100), 10);
    memory.release(KeyHash(1, 1), AttemptId(1));

    let written = memory.write(Time::ZERO, KeyHash(1, 1), &name(1), AttemptId(1));

    assert_eq!(written, WriteResult::Released);
    assert!(memory.is_empty());
}

/// Guards against suppression that prevents an answer, and against work done twice for a key.
#[test]
fn duplicates_attach_but_never_wait_long() {
    let mut table = Duplicates::new(10);
    let (first, second) = (copied(1, false).holder, copied(2, false).holder);
    let hash = KeyHash(1, 1);
    assert_eq!(table.register(Time::ZERO, hash, first.clone()), None);

    let mut lookup = OwnerLookup::new(Time::ZERO);
    lookup.reply(table.register(Time::ZERO, hash, second.clone()));
    let silent = OwnerLookup::new(Time::ZERO);
    table.answered(Time::ZERO, hash, first.attempt);

    assert_eq!(lookup.next(Time::ZERO), NextStep::Attach(first));
    assert_eq!(silent.next(Time::from_millis(49)), NextStep::Wait);
    assert_eq!(silent.next(Time::from_millis(50)), NextStep::Run);
    assert_eq!(
        table.register(Time::from_millis(30_000), hash, second),
        None
    );
}
