//! The state of a request at its entry VM, its admission and the connection of its caller.

use std::collections::BTreeSet;
use std::time::Duration;

use coord::claim::AttemptId;
use coord::hash::hash128;
use coord::name::{Service, Upstream, VmName};
use coord::sched::{Action, Attempt, Class, Job, JobId, Stage};
use coord::time::Time;
use rand::RngExt;

use crate::ast::{ServiceDef, ServiceKind};
use crate::caller::AnswerEnd;
use crate::registration::Progress;
use crate::simulation::{HOP_LATENCY, Simulation};

/// The time after which a request ends even if its steps make progress.
const MAX_REQUEST_TIME: Duration = Duration::from_mins(2);

/// What a request is waiting for.
#[derive(Clone, Debug, PartialEq)]
pub enum Phase {
    /// An order of the owner of the cell.
    Queued,
    /// The decision on its claim, before this order is executed; `None` for a plain call.
    Claim(Option<Action>),
    /// The answer of another attempt that holds the key.
    Attached(VmName, AttemptId),
    /// A prefill on this engine.
    Prefill(Upstream),
    /// The first token of a decode, which follows the import of KV cache into this engine.
    Import(Upstream),
    /// Further tokens of this engine.
    Stream(Upstream),
    /// The answer of a plain call to this upstream.
    Plain(Upstream),
}

/// A request that is running at its entry VM.
pub struct Run {
    /// The name of the request in the scenario.
    pub request: String,
    pub service: Service,
    pub once: bool,
    pub key: Option<String>,
    /// Identifies the request body; see [`crate::caller::Caller::body`].
    pub body: String,
    pub poison: bool,
    pub job: Job,
    pub phase: Phase,
    /// The time at which the request ends in any case.
    pub expires_at: Time,
    /// The time of the last progress of the current phase.
    pub last_progress: Time,
    pub attempt: Attempt,
    pub stage: Option<Stage>,
    /// The newest result of a step, which registrations repeat.
    pub report: Option<Progress>,
    /// The upstream whose connection broke during the current attempt.
    pub lost_upstream: Option<Upstream>,
    /// The owner that the request was last registered with.
    pub owner: Option<VmName>,
    /// The engine calls that may still hold memory.
    pub open_calls: BTreeSet<(Upstream, Attempt)>,
    /// The engine and attempt that hold the result of the prefill.
    pub prefill_result: Option<(Upstream, Attempt)>,
    /// Whether an upstream may have done some of the work. The second value is the state before the
    /// current call was sent.
    dispatched: [bool; 2],
    /// The token offset at which the current stream began.
    pub stream_offset: u32,
    /// The time of the first token that the caller did not read.
    pub unread_since: Option<Time>,
    /// The claim that was started for the idempotency key.
    pub claim: Option<AttemptId>,
    /// The tokens received so far.
    pub tokens: Vec<u64>,
}

/// Returns the scheduling class of a service and the time from admission to the deadline.
fn class_and_time_limit(def: &ServiceDef) -> (Class, Duration) {
    match def.kind {
        ServiceKind::Model { patient: true, .. } => (Class::Patient, Duration::from_secs(100)),
        _ => (Class::Interactive, Duration::from_millis(1_500)),
    }
}

impl Run {
    /// Returns whether an upstream may have done some of the work.
    pub fn dispatched(&self) -> bool {
        self.dispatched[0]
    }

    /// Returns the refusal to send if the request fails now.
    pub fn refusal_end(&self) -> AnswerEnd {
        if self.dispatched() {
            AnswerEnd::Unknown
        } else {
            AnswerEnd::NotRun
        }
    }

    /// Records that the open call did not reach its upstream or did no work there.
    pub fn undo_dispatch(&mut self) {
        self.dispatched[0] = self.dispatched[1];
    }

    /// Records that a call is about to be sent.
    pub fn mark_dispatched(&mut self, clock: Time) {
        self.dispatched = [true, self.dispatched[0]];
        self.last_progress = clock;
    }
}

impl Simulation {
    /// Handles a request that has reached its entry VM.
    pub fn admit(&mut self, vm: usize, request: &str) {
        let Some(caller) = self.callers.get(request) else {
            return;
        };
        let (spec, body) = (caller.spec.clone(), caller.body.clone());
        let mut services = self.scenario.services.iter();
        let def = services.find(|def| def.name == spec.service).cloned();
        let Some(def) = def.filter(|_| self.vms[vm].accepts_requests()) else {
            return self.end_answer(request, AnswerEnd::NotRun);
        };
        let clock = self.vms[vm].clock(self.now);
        let id = JobId::new(&self.vms[vm].name, self.rng.random());
        let (class, time_limit) = class_and_time_limit(&def);
        let job = Job {
            id,
            vm: self.vms[vm].name.clone(),
            organisation: "org".into(),
            service: def.name.as_str().into(),
            class,
            deadline: clock + time_limit,
            token_target: Duration::from_millis(26),
            prompt_tokens: spec.prompt,
            max_tokens: spec.tokens,
            prefix: Vec::new(),
            fingerprint: hash128(body.as_bytes()),
            once: def.once,
            offset: 0,
            suspect: false,
        };
        let run = Run {
            request: request.to_owned(),
            service: def.name.as_str().into(),
            once: def.once,
            key: spec.key,
            body,
            poison: spec.poison,
            job,
            phase: Phase::Queued,
            expires_at: clock + MAX_REQUEST_TIME,
            last_progress: clock,
            attempt: Attempt::default(),
            stage: None,
            report: None,
            lost_upstream: None,
            owner: None,
            open_calls: BTreeSet::new(),
            prefill_result: None,
            dispatched: [false; 2],
            stream_offset: 0,
            unread_since: None,
            claim: None,
            tokens: Vec::new(),
        };
        if let Some(state) = &mut self.vms[vm].state {
            state.runs.insert(id, run);
        }
        match def.kind {
            ServiceKind::Model { .. } => self.register_run(vm, id),
            ServiceKind::Plain { .. } => self.claim_and_start(vm, id, None),
        }
    }

    pub fn run_mut(&mut self, vm: usize, id: JobId) -> Option<&mut Run> {
        self.vms[vm].state.as_mut()?.runs.get_mut(&id)
    }

    /// Ends the request of a caller that closed its connection.
    pub fn on_disconnect(&mut self, vm: usize, request: &str) {
        let Some(state) = &self.vms[vm].state else {
            return;
        };
        let mut runs = state.runs.iter();
        let Some((id, run)) = runs.find(|(_, run)| run.request == request) else {
            return;
        };
        let (id, claim) = (*id, run.claim);
        // The request continues if another caller is attached to its answer.
        if !claim.is_some_and(|claim| state.followers.contains_key(&claim)) {
            self.finish(vm, id, None);
        }
    }

    /// Sends one token to a caller.
    pub fn send_token(&mut self, request: &str, token: u64) {
        let request = request.to_owned();
        self.schedule(HOP_LATENCY, move |sim| {
            if let Some(caller) = sim.callers.get_mut(&request).filter(|c| c.is_reading()) {
                caller.tokens.push(token);
            }
        });
    }

    /// Ends the response to a caller.
    pub fn end_answer(&mut self, request: &str, end: AnswerEnd) {
        self.add_trace(&format!("{request} ends: {end:?}"));
        let request = request.to_owned();
        self.schedule(HOP_LATENCY, move |sim| {
            if let Some(caller) = sim.callers.get_mut(&request).filter(|c| c.is_reading()) {
                caller.endings.push(end);
            }
        });
    }
}
