//! Failures of engines, transfers and VMs in the scheduler. The requirements are those of
//! docs/design.md.

mod common;

use std::collections::BTreeSet;
use std::time::Duration;

use common::{at, cell, decodes, engine, job, patient, prefills};
use coord::sched::{
    Action, Attempt, EngineReport, Failure, Job, JobId, PrefillUsage, Reason, Role, SchedOptions,
    Scheduler, Stage,
};

const UNCACHED: PrefillUsage = PrefillUsage {
    prompt_tokens: 1_000,
    cached_tokens: 0,
};

/// Runs a job until its first token. Returns the attempt of the stream.
fn stream(sched: &mut Scheduler, new_job: &Job) -> Attempt {
    let first = sched.submit(at(0), new_job.clone());
    let started = sched.prefill_done(at(30), new_job.id, prefills(&first)[0].1, UNCACHED);
    let attempt = decodes(&started)[0].1;
    sched.decode_started(at(40), new_job.id, attempt);
    attempt
}

fn refusal(actions: &[Action]) -> Option<Reason> {
    actions.iter().find_map(|a| match a {
        Action::Refuse { reason, .. } => Some(*reason),
        _ => None,
    })
}

/// Guards against an interrupted stream that restarts from its beginning, or that is refused
/// because of the deadline of a first token that was already delivered.
#[test]
fn an_interrupted_stream_continues_with_the_delivered_tokens_in_its_prompt() {
    let mut sched = cell(1, 2, 4);
    let new_job = job(at(0), 1);
    let attempt = stream(&mut sched, &new_job);

    sched.decode_failed(at(5_000), new_job.id, attempt, Failure::Lost, 60);
    let again = sched.tick(at(5_100));

    assert_eq!(prefills(&again).len(), 1);
    assert_eq!(refusal(&again), None);
}

/// Guards against a request that is sent to the same decode engine after each stalled transfer
/// until its deadline has passed, while another engine has free slots.
#[test]
fn an_engine_whose_transfer_stalled_is_avoided() {
    let mut sched = cell(1, 2, 4);
    let new_job = patient(at(0), 1);
    let first = sched.submit(at(0), new_job.clone());
    let started = sched.prefill_done(at(30), new_job.id, prefills(&first)[0].1, UNCACHED);
    let (_, attempt, stalled) = decodes(&started)[0].clone();

    sched.decode_failed(at(1_030), new_job.id, attempt, Failure::Stalled, 0);
    let again = sched.tick(at(1_100));
    let second = sched.prefill_done(at(1_130), new_job.id, prefills(&again)[0].1, UNCACHED);

    assert_ne!(decodes(&second)[0].2, stalled);
}

/// Guards against a second run of a request that must run at most once (requirement H5).
#[test]
fn a_once_only_job_is_not_started_again_after_its_dispatch() {
    let mut sched = cell(2, 2, 4);
    let new_job = Job {
        once: true,
        ..job(at(0), 1)
    };
    let first = sched.submit(at(0), new_job.clone());

    let failed = sched.prefill_failed(at(10), new_job.id, prefills(&first)[0].1, Failure::Lost);

    assert_eq!(refusal(&failed), Some(Reason::Unknown));
    assert!(prefills(&sched.tick(at(1_000))).is_empty());
}

/// Guards against refusing a request that must run at most once with an unknown outcome although
/// the engine did not start it.
#[test]
fn a_full_engine_does_not_end_a_once_only_job() {
    let mut sched = cell(1, 1, 4);
    let new_job = Job {
        once: true,
        ..job(at(0), 1)
    };
    let first = sched.submit(at(0), new_job.clone());

    let failed = sched.prefill_failed(at(10), new_job.id, prefills(&first)[0].1, Failure::Full);
    let again = sched.tick(at(100));

    assert_eq!(refusal(&failed), None);
    assert_eq!(prefills(&again).len(), 1);
}

/// Guards against a late result of an abandoned attempt that starts a second stream (requirement
/// H2).
#[test]
fn a_result_of_an_earlier_attempt_is_ignored() {
    let mut sched = cell(2, 1, 4);
    let new_job = job(at(0), 1);
    let first = sched.submit(at(0), new_job.clone());
    let old = prefills(&first)[0].1;
    sched.prefill_failed(at(10), new_job.id, old, Failure::Lost);
    let again = sched.tick(at(100));
    assert_eq!(prefills(&again).len(), 1);

    let late = sched.prefill_done(at(110), new_job.id, old, UNCACHED);

    assert!(decodes(&late).is_empty());
}

/// Guards against every job being sent to a dead engine until the published list marks it.
#[test]
fn an_engine_that_failed_is_paused() {
    let mut sched = cell(2, 1, 20);
    let new_job = job(at(0), 1);
    let first = sched.submit(at(0), new_job.clone());
    let (_, attempt, dead) = prefills(&first)[0].clone();

    sched.prefill_failed(at(1), new_job.id, attempt, Failure::Lost);
    let next = sched.submit(at(2), job(at(2), 2));

    assert_ne!(prefills(&next)[0].2, dead);
}

/// Guards against prefills that wait for an engine that the published list marks as dead.
#[test]
fn prefills_of_a_dead_engine_start_again_elsewhere() {
    let mut sched = cell(2, 1, 20);
    let new_job = job(at(0), 1);
    let first = sched.submit(at(0), new_job.clone());
    let dead = prefills(&first)[0].2.clone();

    sched.engine_down(at(5), &dead.as_str().into());
    let again = sched.tick(at(100));

    assert_eq!(prefills(&again).len(), 1);
    assert_ne!(prefills(&again)[0].2, dead);
}

/// Guards against new jobs on an engine that is leaving (requirement H6), and against the
/// interruption of its running jobs (requirement H7).
#[test]
fn a_leaving_engine_finishes_its_work_and_gets_no_more() {
    let mut sched = cell(1, 1, 4);
    let new_job = job(at(0), 1);
    let first = sched.submit(at(0), new_job.clone());

    sched.engine_draining(at(10), &"p0".into());
    let started = sched.prefill_done(at(30), new_job.id, prefills(&first)[0].1, UNCACHED);
    let second = sched.submit(at(31), job(at(31), 2));

    assert_eq!(decodes(&started).len(), 1);
    assert_eq!(refusal(&second), Some(Reason::NoUpstream));
}

/// Guards against retries that multiply the load when many engines fail. Interactive jobs are
/// refused when the retry budget is exhausted.
#[test]
fn interactive_retries_stop_at_the_budget() {
    let mut sched = cell(8, 8, 20);
    let mut refused = 0;
    for number in 0..8 {
        let new_job = job(at(0), number);
        let first = sched.submit(at(0), new_job.clone());
        let attempt = prefills(&first)[0].1;
        let failed = sched.prefill_failed(at(1), new_job.id, attempt, Failure::Stalled);
        refused += u32::from(refusal(&failed) == Some(Reason::RetryBudget));
    }

    assert_eq!(
        refused, 7,
        "without successes the minimum rate allows one retry"
    );
}

/// Guards against a patient job that is refused because the retry budget is exhausted.
#[test]
fn a_patient_job_waits_for_the_budget() {
    let mut sched = cell(8, 8, 20);
    let mut started = BTreeSet::new();
    for number in 0..4 {
        let new_job = patient(at(0), number);
        let first = sched.submit(at(0), new_job.clone());
        let attempt = prefills(&first)[0].1;
        let failed = sched.prefill_failed(at(1), new_job.id, attempt, Failure::Stalled);
        assert_eq!(refusal(&failed), None);
    }
    for second in 1..30 {
        let actions = sched.tick(at(second * 1_000));
        started.extend(prefills(&actions).into_iter().map(|(id, _, _)| id));
    }

    assert_eq!(started.len(), 4);
}

/// Guards against engine memory that stays allocated for requests of a dead VM (requirement H1),
/// including requests that the owner of the cell does not know.
#[test]
fn jobs_of_a_dead_vm_are_cancelled_on_every_engine_that_reports_them() {
    let mut sched = cell(1, 1, 4);
    let new_job = job(at(0), 1);
    stream(&mut sched, &new_job);
    let unknown = JobId::new(&"vm-1".into(), 99);
    let other = JobId::new(&"vm-2".into(), 99);

    let known = sched.vm_down(at(100), &"vm-1".into());
    let report = EngineReport {
        held: vec![unknown, other],
        queue: 0,
    };
    let shown = sched.load_report(at(200), &"d0".into(), &report);

    let cancel = |id| Action::Cancel {
        id,
        upstream: "d0".into(),
    };
    assert_eq!(known, vec![cancel(new_job.id)]);
    assert_eq!(shown, vec![cancel(unknown)]);
}

/// Guards against slots that are assigned twice because the jobs of another owner are not counted.
#[test]
fn slots_held_by_unknown_jobs_are_not_assigned() {
    let mut sched = cell(1, 1, 1);
    let report = EngineReport {
        held: vec![JobId::new(&"vm-2".into(), 5)],
        queue: 0,
    };
    sched.load_report(at(0), &"d0".into(), &report);

    let waiting = sched.submit(at(1), job(at(1), 1));
    let freed = sched.load_report(at(500), &"d0".into(), &EngineReport::default());

    assert!(prefills(&waiting).is_empty());
    assert_eq!(prefills(&freed).len(), 1);
}

/// Guards against a delayed load report that makes the slot of an ended job look occupied.
#[test]
fn a_stale_report_does_not_bring_an_ended_job_back() {
    let mut sched = cell(1, 1, 1);
    let new_job = job(at(0), 1);
    let attempt = stream(&mut sched, &new_job);
    sched.decode_finished(at(300), new_job.id, attempt);

    let report = EngineReport {
        held: vec![new_job.id],
        queue: 0,
    };
    sched.load_report(at(400), &"d0".into(), &report);
    let next = sched.submit(at(401), job(at(401), 2));

    assert_eq!(prefills(&next).len(), 1);
}

/// Guards against a new owner that assigns slots of running streams to other jobs, or that
/// interrupts these streams.
#[test]
fn a_new_owner_counts_registered_streams_and_waits_for_reports() {
    let mut sched = Scheduler::new(SchedOptions::default(), 1);
    sched.take_over(at(0), Duration::from_secs(3));
    sched.engine_up(at(0), engine("p0", Role::Prefill, 0));
    sched.engine_up(at(0), engine("d0", Role::Decode, 1));
    let running = job(at(0), 1);
    let stage = Stage::Decode {
        source: "p0".into(),
        decode: "d0".into(),
    };

    sched.register_running(at(1), running.clone(), Attempt(2), &stage);
    let early = sched.submit(at(2), job(at(2), 2));
    let ended = sched.decode_finished(at(500), running.id, Attempt(2));
    sched.load_report(at(600), &"p0".into(), &EngineReport::default());
    let confirmed = sched.load_report(at(600), &"d0".into(), &EngineReport::default());

    assert!(early.is_empty(), "neither started nor refused: {early:?}");
    assert!(ended.is_empty());
    assert_eq!(prefills(&confirmed).len(), 1);
}

/// Guards against a suspect that shares its engines with other requests, which fail with it if it
/// crashes an engine.
#[test]
fn a_suspect_runs_alone() {
    let mut sched = cell(2, 2, 4);
    let first = sched.submit(at(0), job(at(0), 1));
    assert_eq!(prefills(&first).len(), 1);
    let suspect = Job {
        suspect: true,
        ..patient(at(1), 2)
    };

    let started = prefills(&sched.submit(at(1), suspect.clone()));
    let beside = prefills(&sched.submit(at(2), job(at(2), 3)));
    let second = Job {
        suspect: true,
        ..patient(at(3), 4)
    };
    let other = sched.submit(at(3), second);

    assert_eq!(started.len(), 1, "one pair of engines is idle");
    assert!(beside.iter().all(|(_, _, name)| *name != started[0].2));
    assert!(
        prefills(&other).is_empty(),
        "only one suspect runs at a time"
    );
}

/// Guards against a suspect whose prefill is repeated for ever because the engine that is kept for
/// it has failed before. No other job runs there, so no success can clear the failure.
#[test]
fn a_suspect_uses_its_engine_again_after_a_failure() {
    let mut sched = cell(1, 1, 4);
    let suspect = Job {
        suspect: true,
        ..patient(at(0), 1)
    };
    let first = sched.submit(at(0), suspect.clone());
    let started = sched.prefill_done(at(30), suspect.id, prefills(&first)[0].1, UNCACHED);
    let attempt = decodes(&started)[0].1;

    sched.decode_failed(at(2_000), suspect.id, attempt, Failure::Lost, 0);
    let closed = sched.tick(at(2_100));
    let again = sched.tick(at(2_500));
    let second = sched.prefill_done(at(2_530), suspect.id, prefills(&again)[0].1, UNCACHED);

    assert!(prefills(&closed).is_empty(), "its decode engine is closed");
    assert_eq!(decodes(&second).len(), 1);
}

/// Guards against a suspect that waits for a failed engine while others are available.
#[test]
fn a_suspect_gets_other_engines_when_its_own_are_gone() {
    let mut sched = cell(2, 1, 4);
    let suspect = Job {
        suspect: true,
        ..patient(at(0), 1)
    };
    let first = prefills(&sched.submit(at(0), suspect.clone()));

    sched.prefill_failed(at(10), suspect.id, first[0].1, Failure::Lost);
    let again = prefills(&sched.tick(at(100)));

    assert_eq!(again.len(), 1);
    assert_ne!(again[0].2, first[0].2);
}

/// Guards against a poison request that stays in the queue after its second crash.
#[test]
fn a_poison_fingerprint_is_refused() {
    let mut sched = cell(1, 1, 1);
    sched.submit(at(0), patient(at(0), 1));
    let waiting = patient(at(0), 2);
    sched.submit(at(0), waiting.clone());

    let actions = sched.refuse(at(1), waiting.fingerprint, Duration::from_mins(10));

    assert_eq!(refusal(&actions), Some(Reason::Poison));
    assert_eq!(sched.status(at(1)).patient, 0);
}

/// Guards against the import of a prefill result that was evicted while it waited for a decode
/// slot. The prefill has to be repeated.
#[test]
fn a_result_that_waited_too_long_is_computed_again() {
    let mut sched = cell(1, 1, 1);
    let new_job = patient(at(0), 1);
    let first = sched.submit(at(0), new_job.clone());
    let foreign = EngineReport {
        held: vec![JobId::new(&"vm-2".into(), 5)],
        queue: 0,
    };
    sched.load_report(at(10), &"d0".into(), &foreign);
    let done = sched.prefill_done(at(30), new_job.id, prefills(&first)[0].1, UNCACHED);
    assert!(decodes(&done).is_empty());

    sched.tick(at(900));
    sched.load_report(at(1_000), &"d0".into(), &EngineReport::default());
    let again = sched.tick(at(1_100));

    assert_eq!(sched.status(at(1_100)).retries, 1);
    assert!(prefills(&again).len() + sched.status(at(1_100)).running >= 1);
}

/// Guards against a job that runs without a caller because its cancel arrived first.
#[test]
fn a_cancel_before_the_job_keeps_it_from_running() {
    let mut sched = cell(1, 1, 4);
    let new_job = job(at(0), 1);

    sched.cancel(at(0), new_job.id);
    let actions = sched.submit(at(1), new_job);

    assert!(actions.is_empty(), "{actions:?}");
}

/// Guards against an engine that gets no more prompts because the answer to a prefill was lost.
#[test]
fn a_prefill_without_an_answer_is_abandoned() {
    let mut sched = cell(2, 1, 4);
    let new_job = patient(at(0), 1);
    let first = prefills(&sched.submit(at(0), new_job.clone()));

    let early = sched.tick(at(2_000));
    let late = sched.tick(at(4_000));
    let again = prefills(&sched.tick(at(4_100)));

    let cancel = Action::Cancel {
        id: new_job.id,
        upstream: first[0].2.as_str().into(),
    };
    assert!(early.is_empty());
    assert_eq!(late, vec![cancel]);
    assert_ne!(again[0].2, first[0].2);
}
