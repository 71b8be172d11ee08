//! Jobs in the scheduler without failures.

mod common;

use common::{at, cell, decodes, engine, job, prefills};
use coord::sched::{Action, Attempt, PrefillUsage, Role, SchedOptions, Scheduler};

const UNCACHED: PrefillUsage = PrefillUsage {
    prompt_tokens: 1_000,
    cached_tokens: 0,
};

/// Guards against the reserved slot of a job being given to another job during its prefill.
#[test]
fn a_job_uses_the_slot_reserved_for_it() {
    let mut sched = cell(1, 1, 1);
    let new_job = job(at(0), 1);

    let first = sched.submit(at(0), new_job.clone());
    let (_, attempt, _) = prefills(&first)[0].clone();
    let second = sched.submit(at(1), job(at(1), 2));
    let started = sched.prefill_done(at(30), new_job.id, attempt, UNCACHED);

    assert!(prefills(&second).is_empty(), "no slot is free for it");
    assert_eq!(decodes(&started)[0].2, "d0");
    assert_eq!(sched.status(at(30)).engines[0].used, 1);
}

/// Guards against slots that stay occupied after the answer, and against waiting jobs that are not
/// started when a slot becomes free.
#[test]
fn an_ended_stream_frees_its_slot_for_the_next_job() {
    let mut sched = cell(1, 1, 1);
    let new_job = job(at(0), 1);
    let first = sched.submit(at(0), new_job.clone());
    sched.submit(at(0), job(at(0), 2));
    let started = sched.prefill_done(at(30), new_job.id, prefills(&first)[0].1, UNCACHED);
    let attempt = decodes(&started)[0].1;

    sched.decode_started(at(40), new_job.id, attempt);
    let next = sched.decode_finished(at(300), new_job.id, attempt);

    assert_eq!(prefills(&next).len(), 1);
    assert_eq!(sched.status(at(300)).interactive, 0);
}

/// Guards against a cell that consists of engines with both roles and starts no job.
#[test]
fn an_engine_of_both_roles_needs_no_transfer() {
    let mut sched = Scheduler::new(SchedOptions::default(), 1);
    sched.engine_up(at(0), engine("b0", Role::Both, 4));
    let new_job = job(at(0), 1);

    let first = sched.submit(at(0), new_job.clone());
    let second = sched.prefill_done(at(30), new_job.id, prefills(&first)[0].1, UNCACHED);

    let expected = Action::StartDecode {
        id: new_job.id,
        attempt: Attempt(2),
        decode: "b0".into(),
        source: "b0".into(),
    };
    assert_eq!(second, vec![expected]);
}

/// Guards against engine memory that stays allocated after its caller has disconnected (requirement
/// H1 of docs/design.md).
#[test]
fn a_cancel_frees_every_engine_at_once() {
    let mut sched = cell(1, 1, 1);
    let new_job = job(at(0), 1);
    let first = sched.submit(at(0), new_job.clone());
    sched.prefill_done(at(30), new_job.id, prefills(&first)[0].1, UNCACHED);

    let actions = sched.cancel(at(35), new_job.id);

    let cancel = |upstream: &str| Action::Cancel {
        id: new_job.id,
        upstream: upstream.into(),
    };
    assert_eq!(actions, vec![cancel("p0"), cancel("d0")]);
    assert_eq!(sched.status(at(35)).running, 0);
    assert_eq!(sched.status(at(35)).engines[0].used, 0);
}

/// Guards against a request that is refused only at its deadline although it could never have met
/// it.
#[test]
fn a_job_that_cannot_start_in_time_is_refused_at_once() {
    let mut sched = cell(1, 1, 20);
    let mut large = job(at(0), 1);
    large.prompt_tokens = 100_000;

    let actions = sched.submit(at(0), large);

    assert!(matches!(
        actions[0],
        Action::Refuse {
            retry_after: Some(_),
            ..
        }
    ));
}
