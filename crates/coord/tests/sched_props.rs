//! Invariants of the scheduler under random failures.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::{at, engine, job, patient};
use coord::name::Upstream;
use coord::sched::{
    Action, Attempt, EngineReport, Failure, Job, JobId, PrefillUsage, Role, SchedOptions, Scheduler,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// One random step. An index selects one of the current jobs, calls or engines.
#[derive(Clone, Copy, Debug)]
enum Step {
    Submit(bool, bool, bool),
    Cancel(usize),
    Answer(usize, u8),
    Down(usize),
    Draining(usize),
    Up(usize),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (any::<bool>(), prop::bool::weighted(0.1), prop::bool::weighted(0.1))
            .prop_map(|(patient, once, suspect)| Step::Submit(patient, once, suspect)),
        1 => any::<usize>().prop_map(Step::Cancel),
        12 => (any::<usize>(), any::<u8>()).prop_map(|(i, k)| Step::Answer(i, k)),
        1 => (0..5_usize).prop_map(Step::Down),
        1 => (0..5_usize).prop_map(Step::Draining),
        2 => (0..5_usize).prop_map(Step::Up),
        3 => (1..400_u64).prop_map(Step::Wait),
    ]
}

#[derive(Clone, Copy, Debug)]
enum Call {
    Prefill,
    Decode,
    Stream,
}

/// The scheduler with a model of its callers and engines.
struct World {
    sched: Scheduler,
    ms: u64,
    last_number: u128,
    unanswered: BTreeSet<JobId>,
    /// Jobs that must run at most once.
    once: BTreeSet<JobId>,
    /// Jobs of `once` that failed after an engine may have started them. They must not run again.
    started_once: BTreeSet<JobId>,
    calls: Vec<(JobId, Attempt, Call)>,
    /// The engine of each stream.
    streams: BTreeMap<JobId, Upstream>,
    unavailable: BTreeSet<String>,
}

/// Number of decode slots of an engine.
const SLOTS: u32 = 3;

const ENGINES: [(&str, Role); 5] = [
    ("p0", Role::Prefill),
    ("p1", Role::Prefill),
    ("d0", Role::Decode),
    ("d1", Role::Decode),
    ("b0", Role::Both),
];

impl World {
    fn new() -> Self {
        let mut world = Self {
            sched: Scheduler::new(SchedOptions::default(), 1),
            ms: 0,
            last_number: 0,
            unanswered: BTreeSet::new(),
            once: BTreeSet::new(),
            started_once: BTreeSet::new(),
            calls: Vec::new(),
            streams: BTreeMap::new(),
            unavailable: BTreeSet::new(),
        };
        (0..5).for_each(|i| world.run(Step::Up(i)));
        world
    }

    fn run(&mut self, step: Step) {
        let now = at(self.ms);
        let actions = match step {
            Step::Submit(is_patient, once, suspect) => {
                self.last_number += 1;
                let make = if is_patient { patient } else { job };
                let new = Job {
                    once,
                    suspect,
                    ..make(now, self.last_number)
                };
                self.unanswered.insert(new.id);
                if once {
                    self.once.insert(new.id);
                }
                self.sched.submit(now, new)
            }
            Step::Cancel(index) => {
                let Some(id) = self
                    .unanswered
                    .iter()
                    .nth(index % self.unanswered.len().max(1))
                    .copied()
                else {
                    return;
                };
                self.unanswered.remove(&id);
                self.streams.remove(&id);
                self.sched.cancel(now, id)
            }
            Step::Answer(index, kind) if !self.calls.is_empty() => {
                let call = self.calls.remove(index % self.calls.len());
                self.answer(call, kind)
            }
            Step::Answer(..) => Vec::new(),
            Step::Down(index) => {
                self.unavailable.insert(ENGINES[index].0.into());
                self.sched.engine_down(now, &ENGINES[index].0.into())
            }
            Step::Draining(index) => {
                self.unavailable.insert(ENGINES[index].0.into());
                self.sched.engine_draining(now, &ENGINES[index].0.into())
            }
            Step::Up(index) => {
                let (name, role) = ENGINES[index];
                self.unavailable.remove(name);
                let slots = if role == Role::Prefill { 0 } else { SLOTS };
                self.sched.engine_up(now, engine(name, role, slots))
            }
            Step::Wait(ms) => {
                self.ms += ms;
                self.sched.tick(at(self.ms))
            }
        };
        self.execute(actions);
    }

    fn answer(&mut self, (id, attempt, call): (JobId, Attempt, Call), kind: u8) -> Vec<Action> {
        let now = at(self.ms);
        let failure = match kind % 16 {
            0 => Some(Failure::Full),
            1 => Some(Failure::Lost),
            2 => Some(Failure::Stalled),
            3 => Some(Failure::Evicted),
            _ => None,
        };
        let ran = !matches!(failure, None | Some(Failure::Full));
        if ran && self.once.contains(&id) {
            self.started_once.insert(id);
        }
        match (call, failure) {
            (Call::Prefill, Some(why)) => self.sched.prefill_failed(now, id, attempt, why),
            (Call::Prefill, None) => {
                let done = PrefillUsage::default();
                self.sched.prefill_done(now, id, attempt, done)
            }
            (Call::Decode, Some(why)) if self.streams.remove(&id).is_some() => {
                self.sched.decode_failed(now, id, attempt, why, 0)
            }
            (Call::Decode, None) => {
                self.calls.push((id, attempt, Call::Stream));
                self.sched.decode_started(now, id, attempt)
            }
            (Call::Decode, Some(_)) => Vec::new(),
            (Call::Stream, Some(Failure::Lost)) => {
                self.streams.remove(&id);
                let why = Failure::Lost;
                self.sched.decode_failed(now, id, attempt, why, 5)
            }
            (Call::Stream, _) => {
                self.streams.remove(&id);
                let actions = self.sched.decode_finished(now, id, attempt);
                self.unanswered.remove(&id);
                actions
            }
        }
    }

    fn execute(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::StartPrefill {
                    id,
                    attempt,
                    prefill,
                    decode,
                } => {
                    assert!(self.unanswered.contains(&id), "{id} started after its end");
                    assert!(
                        !self.unavailable.contains(prefill.as_str()),
                        "{prefill} is unavailable"
                    );
                    assert!(
                        !self.unavailable.contains(decode.as_str()),
                        "{decode} is unavailable"
                    );
                    assert!(!self.started_once.contains(&id), "{id} ran twice");
                    self.calls.push((id, attempt, Call::Prefill));
                }
                Action::StartDecode {
                    id,
                    attempt,
                    decode,
                    ..
                } => {
                    assert!(self.unanswered.contains(&id), "{id} decodes after its end");
                    let others = self.streams.values().filter(|d| **d == decode).count();
                    assert!(others < SLOTS as usize, "{decode} has no slot");
                    self.streams.insert(id, decode);
                    self.calls.push((id, attempt, Call::Decode));
                }
                Action::Refuse { id, .. } => {
                    assert!(self.unanswered.remove(&id), "{id} was answered twice");
                    self.streams.remove(&id);
                }
                Action::Cancel { .. } => {}
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// Guards against jobs that are answered twice (requirement H2), that run twice although they
    /// must run at most once (requirement H5), that run after their end (requirement H1) or on
    /// engines that accept no jobs (requirement H6), and against slots that are never released, in
    /// any order of failures. The requirements are those of docs/design.md.
    #[test]
    fn every_job_ends_once_and_leaves_nothing_behind(steps in prop::collection::vec(step(), 1..200)) {
        let mut world = World::new();
        for step in steps {
            world.run(step);
        }
        (0..5).for_each(|i| world.run(Step::Up(i)));
        for _ in 0..5_000 {
            if world.unanswered.is_empty() && world.calls.is_empty() {
                break;
            }
            world.run(Step::Answer(0, 15));
            world.run(Step::Wait(20));
        }

        prop_assert!(world.unanswered.is_empty(), "unanswered: {:?}", world.unanswered);
        let status = world.sched.status(at(world.ms));
        prop_assert_eq!((status.running, status.interactive, status.patient), (0, 0, 0));
        for engine in status.engines {
            prop_assert_eq!((engine.used, engine.prefills), (0, 0));
        }
    }
}

/// Guards against a load report that lists only known jobs but changes the number of used slots.
#[test]
fn a_report_of_known_work_changes_nothing() {
    let mut world = World::new();
    (0..4).for_each(|_| world.run(Step::Submit(true, false, false)));
    let before = world.sched.status(at(0));

    let held = world.unanswered.iter().copied().collect();
    let report = EngineReport { held, queue: 0 };
    world.sched.load_report(at(0), &"d0".into(), &report);

    assert_eq!(world.sched.status(at(0)), before);
}
