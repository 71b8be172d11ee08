//! Order and fair shares between classes, organisations and engines.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use common::{at, cell, decodes, job, patient, prefills};
use coord::sched::{
    Action, Attempt, CacheEvent, Job, JobId, PrefillUsage, Reason, SchedOptions, Scheduler,
};
use coord::time::Time;

/// Answers every engine call of a cell immediately and ends one stream per step.
struct Driver {
    sched: Scheduler,
    started: Vec<JobId>,
    refused: BTreeMap<JobId, Reason>,
    streams: Vec<(JobId, Attempt)>,
}

impl Driver {
    fn new(sched: Scheduler) -> Self {
        Self {
            sched,
            started: Vec::new(),
            refused: BTreeMap::new(),
            streams: Vec::new(),
        }
    }

    fn execute(&mut self, now: Time, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::StartPrefill { id, attempt, .. } => {
                    self.started.push(id);
                    let done = PrefillUsage::default();
                    let next = self.sched.prefill_done(now, id, attempt, done);
                    self.execute(now, next);
                }
                Action::StartDecode { id, attempt, .. } => {
                    self.streams.push((id, attempt));
                    let next = self.sched.decode_started(now, id, attempt);
                    self.execute(now, next);
                }
                Action::Refuse { id, reason, .. } => drop(self.refused.insert(id, reason)),
                Action::Cancel { .. } => {}
            }
        }
    }

    fn submit(&mut self, now: Time, job: Job) {
        let actions = self.sched.submit(now, job);
        self.execute(now, actions);
    }

    /// Ends the oldest stream and runs a tick.
    fn step(&mut self, now: Time) {
        if !self.streams.is_empty() {
            let (id, attempt) = self.streams.remove(0);
            let actions = self.sched.decode_finished(now, id, attempt);
            self.execute(now, actions);
        }
        let actions = self.sched.tick(now);
        self.execute(now, actions);
    }
}

/// Guards against an organisation that fills the queue and delays the jobs of others.
#[test]
fn a_full_queue_of_one_organisation_does_not_delay_another() {
    let mut driver = Driver::new(cell(1, 1, 1));
    for number in 0..200 {
        let large = Job {
            organisation: "flood".into(),
            prompt_tokens: 8_000,
            ..patient(at(0), number)
        };
        driver.submit(at(0), large);
    }
    let small = patient(at(1), 1_000);
    driver.submit(at(1), small.clone());

    for step in 0..8 {
        driver.step(at(100 + step * 100));
    }

    assert!(driver.started.contains(&small.id), "{:?}", driver.started);
}

/// Guards against organisations with long and short prompts getting equal numbers of jobs instead
/// of equal numbers of tokens.
#[test]
fn organisations_share_tokens_equally() {
    let mut driver = Driver::new(cell(1, 1, 1));
    for number in 0..400 {
        let (name, tokens) = [("large", 16_000), ("small", 4_000)][(number % 2) as usize];
        let new_job = Job {
            organisation: name.into(),
            prompt_tokens: tokens,
            deadline: at(3_600_000),
            ..patient(at(0), number)
        };
        driver.submit(at(0), new_job);
    }

    for step in 0..100 {
        driver.step(at(100 + step * 100));
    }

    let large = driver.started.iter().filter(|id| id.0 % 2 == 0).count();
    let small = driver.started.len() - large;
    assert!((3 * large..5 * large).contains(&small), "{small} / {large}");
}

/// Guards against patient jobs that never start while interactive jobs use the full capacity.
#[test]
fn patient_work_keeps_its_share_under_interactive_overload() {
    let mut driver = Driver::new(cell(4, 1, 20));
    for number in 0..10 {
        driver.submit(at(0), patient(at(0), number));
    }
    let mut number = 100;
    for step in 0..300 {
        for _ in 0..4 {
            driver.submit(at(step * 10), job(at(step * 10), number));
            number += 1;
        }
        driver.step(at(step * 10));
    }

    let early = (0..10).map(|number| patient(at(0), number).id);
    let started = early.filter(|id| driver.started.contains(id)).count();
    assert_eq!(started, 10);
}

/// Guards against patient jobs that occupy all slots, so that an interactive job has to wait.
#[test]
fn patient_work_leaves_a_reserve_for_interactive_work() {
    let mut driver = Driver::new(cell(4, 1, 20));
    driver.submit(at(0), job(at(0), 1));
    for number in 10..60 {
        driver.submit(at(1), patient(at(1), number));
    }

    let urgent = job(at(2), 2);
    driver.submit(at(2), urgent.clone());

    assert!(driver.started.contains(&urgent.id));
    assert!(driver.refused.is_empty());
}

/// Guards against a patient job that is refused for another reason than a full queue or its own
/// deadline, for example because there is no engine yet.
#[test]
fn a_patient_job_is_refused_only_for_the_queue_or_its_deadline() {
    let options = SchedOptions {
        queue_limit: 5,
        ..SchedOptions::default()
    };
    let mut driver = Driver::new(Scheduler::new(options, 1));
    for number in 0..6 {
        driver.submit(at(0), patient(at(0), number));
    }
    assert_eq!(driver.refused.len(), 1);
    assert!(driver.refused.values().all(|r| *r == Reason::QueueFull));

    driver.step(at(30_000));
    assert_eq!(driver.refused.len(), 1, "no engine yet, but time is left");

    driver.step(at(61_000));
    assert_eq!(driver.refused.len(), 6);
}

/// Guards against jobs of one organisation that start out of deadline order.
#[test]
fn the_earliest_deadline_starts_first() {
    let mut driver = Driver::new(cell(1, 1, 1));
    driver.submit(at(0), patient(at(0), 0));
    let late = patient(at(0), 1);
    let early = Job {
        deadline: at(20_000),
        ..patient(at(0), 2)
    };
    driver.submit(at(0), late.clone());
    driver.submit(at(0), early.clone());

    driver.step(at(100));
    driver.step(at(200));

    assert_eq!(driver.started[1..], [early.id, late.id]);
}

/// Guards against computing one prefix on several engines, which evicts other prefixes there.
#[test]
fn a_job_waits_for_the_engine_that_holds_its_prefix() {
    let mut sched = cell(3, 1, 20);
    let shared = |number| Job {
        prefix: (0..8).collect(),
        prompt_tokens: 8_000,
        ..job(at(0), number)
    };
    let first = prefills(&sched.submit(at(0), shared(1)));
    let done = PrefillUsage {
        prompt_tokens: 8_000,
        cached_tokens: 0,
    };
    sched.prefill_done(at(205), first[0].0, first[0].1, done);

    let second = prefills(&sched.submit(at(206), shared(2)));
    let third = prefills(&sched.submit(at(207), shared(3)));

    assert_eq!(second[0].2, first[0].2);
    assert!(third.iter().all(|(_, _, name)| *name == first[0].2));
}

/// Guards against a cache model that keeps blocks as cached after their eviction events were lost.
#[test]
fn a_prefill_report_corrects_a_stale_cache_model() {
    let mut sched = cell(2, 1, 20);
    let shared = |now, number| Job {
        prefix: (0..8).collect(),
        prompt_tokens: 8_000,
        ..job(now, number)
    };
    sched.cache_event(at(0), &"p1".into(), CacheEvent::Stored(0));
    for block in 1..8 {
        sched.cache_event(at(0), &"p1".into(), CacheEvent::Stored(block));
    }
    let first = prefills(&sched.submit(at(1), shared(at(1), 1)));
    assert_eq!(first[0].2, "p1");

    let done = PrefillUsage {
        prompt_tokens: 8_000,
        cached_tokens: 0,
    };
    let started = sched.prefill_done(at(220), first[0].0, first[0].1, done);

    assert_eq!(decodes(&started).len(), 1);
    let again = prefills(&sched.submit(at(230), shared(at(230), 2)));
    assert_eq!(again[0].2, "p1", "the prompt is cached there now");
}

/// Guards against prefills whose results cannot be transferred before their eviction.
#[test]
fn a_prefill_waits_until_the_link_has_room() {
    let options = SchedOptions {
        link_rate: 1_000_000_000,
        ..SchedOptions::default()
    };
    let mut sched = Scheduler::new(options, 1);
    for name in ["p0", "p1", "p2"] {
        sched.engine_up(at(0), common::engine(name, coord::sched::Role::Prefill, 0));
    }
    sched.engine_up(at(0), common::engine("d0", coord::sched::Role::Decode, 20));
    let large = |number| Job {
        prompt_tokens: 5_000,
        ..patient(at(0), number)
    };

    let first = prefills(&sched.submit(at(0), large(1)));
    let second = prefills(&sched.submit(at(0), large(2)));
    let done = sched.prefill_done(at(255), first[0].0, first[0].1, PrefillUsage::default());

    assert!(second.is_empty(), "350 MB twice do not leave within 560 ms");
    assert_eq!(
        prefills(&done).len(),
        1,
        "the first leaves while the second is computed"
    );
}

/// Guards against the refusal of a patient job that cannot meet its deadline, but whose retry time
/// is computed from a wrong instant and tells the caller to retry at once.
#[test]
fn a_refusal_names_a_time_after_which_to_retry() {
    let mut driver = cell(1, 1, 1);
    driver.submit(at(0), patient(at(0), 1));
    let mut last = None;
    for number in 2..400 {
        let actions = driver.submit(at(0), patient(at(0), number));
        last = actions.into_iter().next().or(last);
    }

    let Some(Action::Refuse { retry_after, .. }) = last else {
        panic!("the queue is longer than the deadline: {last:?}");
    };
    assert!(retry_after.is_some_and(|t| t >= Duration::from_millis(100)));
}

/// Guards against callers that are refused only at their deadline while the cell is overloaded.
#[test]
fn an_overloaded_cell_refuses_at_once() {
    let mut driver = Driver::new(cell(1, 1, 1));
    let mut at_once = 0;
    for number in 0..400 {
        let now = at(u64::try_from(number).unwrap() * 50);
        driver.submit(now, job(now, number));
        at_once += u32::from(driver.refused.contains_key(&job(now, number).id));
        if number % 10 == 0 {
            driver.step(now);
        }
    }

    let late = driver.refused.len() - at_once as usize;
    assert!(at_once > 300, "{at_once}");
    assert!(late < 40, "{late} refusals came later");
}
