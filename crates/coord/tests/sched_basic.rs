//! The way of a job through the scheduler without faults.

mod common;

use common::{at, cell, decodes, engine, job, prefills};
use coord::sched::{Action, Attempt, PrefillUsage, Role, SchedOptions, Scheduler};

const DONE: PrefillUsage = PrefillUsage {
    prompt_tokens: 1_000,
    cached_tokens: 0,
};

/// Guards against a job that loses its reserved slot between prefill and decode.
#[test]
fn a_job_uses_the_slot_reserved_for_it() {
    let mut sched = cell(1, 1, 1);
    let one = job(at(0), 1);

    let first = sched.submit(at(0), one.clone());
    let (_, attempt, _) = prefills(&first)[0].clone();
    let second = sched.submit(at(1), job(at(1), 2));
    let started = sched.prefill_done(at(30), one.id, attempt, DONE);

    assert!(prefills(&second).is_empty(), "no slot is free for it");
    assert_eq!(decodes(&started)[0].2, "d0");
    assert_eq!(sched.status(at(30)).engines[0].used, 1);
}

/// Guards against slots that stay taken after the answer, and against an idle queue behind them.
#[test]
fn an_ended_stream_frees_its_slot_for_the_next_job() {
    let mut sched = cell(1, 1, 1);
    let one = job(at(0), 1);
    let first = sched.submit(at(0), one.clone());
    sched.submit(at(0), job(at(0), 2));
    let started = sched.prefill_done(at(30), one.id, prefills(&first)[0].1, DONE);
    let attempt = decodes(&started)[0].1;

    sched.decode_started(at(40), one.id, attempt);
    let next = sched.decode_finished(at(300), one.id, attempt);

    assert_eq!(prefills(&next).len(), 1);
    assert_eq!(sched.status(at(300)).interactive, 0);
}

/// Guards against a cell without prefill engines that serves nothing.
#[test]
fn an_engine_of_both_roles_needs_no_transfer() {
    let mut sched = Scheduler::new(SchedOptions::default(), 1);
    sched.engine_up(at(0), engine("b0", Role::Both, 4));
    let one = job(at(0), 1);

    let first = sched.submit(at(0), one.clone());
    let second = sched.prefill_done(at(30), one.id, prefills(&first)[0].1, DONE);

    let expected = Action::StartDecode {
        id: one.id,
        attempt: Attempt(2),
        decode: "b0".into(),
        source: "b0".into(),
    };
    assert_eq!(second, vec![expected]);
}

/// Guards against engine memory held for a caller that is gone (H1).
#[test]
fn a_cancel_frees_every_engine_at_once() {
    let mut sched = cell(1, 1, 1);
    let one = job(at(0), 1);
    let first = sched.submit(at(0), one.clone());
    sched.prefill_done(at(30), one.id, prefills(&first)[0].1, DONE);

    let actions = sched.cancel(at(35), one.id);

    let cancel = |upstream: &str| Action::Cancel {
        id: one.id,
        upstream: upstream.into(),
    };
    assert_eq!(actions, vec![cancel("p0"), cancel("d0")]);
    assert_eq!(sched.status(at(35)).running, 0);
    assert_eq!(sched.status(at(35)).engines[0].used, 0);
}

/// Guards against a request that waits for its deadline only to be refused then.
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
