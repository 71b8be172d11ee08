//! Fixtures for the tests of the scheduler.
#![allow(dead_code)]

use std::time::Duration;

use coord::name::VmName;
use coord::sched::{Action, Attempt, Class, Engine, Job, JobId, Role, SchedOptions, Scheduler};
use coord::time::Time;

/// Returns the instant `ms` milliseconds after the origin of the virtual clock.
pub fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// Returns an interactive job with a prompt of 1,000 tokens and a deadline 1.5 s after `now`.
pub fn job(now: Time, number: u128) -> Job {
    let vm: VmName = "vm-1".into();
    Job {
        id: JobId::new(&vm, number),
        vm,
        organisation: "org".into(),
        service: "svc".into(),
        class: Class::Interactive,
        deadline: now + Duration::from_millis(1_500),
        token_target: Duration::from_millis(26),
        prompt_tokens: 1_000,
        max_tokens: 100,
        prefix: vec![],
        fingerprint: number,
        once: false,
        offset: 0,
        suspect: false,
    }
}

/// Returns a patient job with a prompt of 1,000 tokens and a deadline 60 s after `now`.
pub fn patient(now: Time, number: u128) -> Job {
    Job {
        class: Class::Patient,
        deadline: now + Duration::from_mins(1),
        ..job(now, number)
    }
}

/// Returns an engine with `slots` decode slots.
pub fn engine(name: &str, role: Role, slots: u32) -> Engine {
    Engine {
        name: name.into(),
        data_centre: "dc".into(),
        role,
        slots,
    }
}

/// Returns the scheduler of a cell with the prefill engines p0, p1, … and the decode engines d0,
/// d1, …, which have `slots` decode slots each.
pub fn cell(prefill: usize, decode: usize, slots: u32) -> Scheduler {
    let mut sched = Scheduler::new(SchedOptions::default(), 1);
    for i in 0..prefill {
        sched.engine_up(Time::ZERO, engine(&format!("p{i}"), Role::Prefill, 0));
    }
    for i in 0..decode {
        sched.engine_up(Time::ZERO, engine(&format!("d{i}"), Role::Decode, slots));
    }
    sched
}

/// Returns the started prefills with their attempt and prefill engine.
pub fn prefills(actions: &[Action]) -> Vec<(JobId, Attempt, String)> {
    let started = actions.iter().filter_map(|a| match a {
        Action::StartPrefill {
            id,
            attempt,
            prefill,
            ..
        } => Some((*id, *attempt, prefill.to_string())),
        _ => None,
    });
    started.collect()
}

/// Returns the started decodes with their attempt and decode engine.
pub fn decodes(actions: &[Action]) -> Vec<(JobId, Attempt, String)> {
    let started = actions.iter().filter_map(|a| match a {
        Action::StartDecode {
            id,
            attempt,
            decode,
            ..
        } => Some((*id, *attempt, decode.to_string())),
        _ => None,
    });
    started.collect()
}
