//! A request at its entry VM: its state, its admission and its caller.

use std::collections::BTreeSet;
use std::time::Duration;

use coord::claim::AttemptId;
use coord::hash::hash128;
use coord::name::{Service, Upstream, VmName};
use coord::sched::{Action, Attempt, Class, Job, JobId, Stage};
use coord::time::Time;
use rand::RngExt;

use crate::ast::{Kind, ServiceDef};
use crate::caller::Last;
use crate::register::Progress;
use crate::world::{HOP, World};

/// The longest time of a request.
const REQUEST_LIMIT: Duration = Duration::from_mins(2);

/// What a request waits for.
#[derive(Clone, Debug, PartialEq)]
pub enum Phase {
    /// The owner of the cell.
    Cell,
    /// The quorum of a claim, before this order is obeyed; `None` for a plain call.
    Claim(Option<Action>),
    /// The answer of another attempt that holds the key.
    Attached(VmName, AttemptId),
    Prefill(Upstream),
    Import(Upstream),
    Stream(Upstream),
    Plain(Upstream),
}

pub struct Run {
    pub request: String,
    pub service: Service,
    pub once: bool,
    pub key: Option<String>,
    pub body: String,
    pub poison: bool,
    pub job: Job,
    pub phase: Phase,
    pub until: Time,
    /// The last sign of progress.
    pub since: Time,
    pub attempt: Attempt,
    pub stage: Option<Stage>,
    pub report: Option<Progress>,
    /// The upstream whose connection broke under the present attempt.
    pub broken: Option<Upstream>,
    pub owner: Option<VmName>,
    pub asked: BTreeSet<(Upstream, Attempt)>,
    pub prefilled: Option<(Upstream, Attempt)>,
    /// Whether an upstream may have done some of the work, now and before the open call.
    dispatched: [bool; 2],
    /// The offset at which the present stream began.
    pub first: u32,
    pub unread: Option<Time>,
    /// The claim that was started for the key.
    pub claim: Option<AttemptId>,
    pub tokens: Vec<u64>,
}

fn class(def: &ServiceDef) -> (Class, Duration) {
    match def.kind {
        Kind::Model { patient: true, .. } => (Class::Patient, Duration::from_secs(100)),
        _ => (Class::Interactive, Duration::from_millis(1_500)),
    }
}

impl Run {
    /// Returns whether an upstream may have done some of the work.
    pub fn dispatched(&self) -> bool {
        self.dispatched[0]
    }

    /// Returns the kind of a refusal at this moment.
    pub fn refusal(&self) -> Last {
        if self.dispatched() {
            Last::Unknown
        } else {
            Last::NotRun
        }
    }

    /// Notes that the open call did not reach its upstream, or that it did no work there.
    pub fn undo(&mut self) {
        self.dispatched[0] = self.dispatched[1];
    }

    /// Notes that a call is about to be sent.
    pub fn dispatch(&mut self, clock: Time) {
        self.dispatched = [true, self.dispatched[0]];
        self.since = clock;
    }
}

impl World {
    /// A request reaches its VM.
    pub fn admit(&mut self, vm: usize, request: &str) {
        let Some(caller) = self.callers.get(request) else {
            return;
        };
        let (send, body) = (caller.send.clone(), caller.body.clone());
        let mut services = self.scenario.services.iter();
        let def = services.find(|def| def.name == send.service).cloned();
        let Some(def) = def.filter(|_| self.vms[vm].serving()) else {
            return self.tell(request, Last::NotRun);
        };
        let clock = self.vms[vm].clock(self.now);
        let id = JobId::new(&self.vms[vm].name, self.rng.random());
        let (class, wanted) = class(&def);
        let job = Job {
            id,
            vm: self.vms[vm].name.clone(),
            organisation: "org".into(),
            service: def.name.as_str().into(),
            class,
            deadline: clock + wanted,
            token_target: Duration::from_millis(26),
            prompt_tokens: send.prompt,
            max_tokens: send.tokens,
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
            key: send.key,
            body,
            poison: send.poison,
            job,
            phase: Phase::Cell,
            until: clock + REQUEST_LIMIT,
            since: clock,
            attempt: Attempt::default(),
            stage: None,
            report: None,
            broken: None,
            owner: None,
            asked: BTreeSet::new(),
            prefilled: None,
            dispatched: [false; 2],
            first: 0,
            unread: None,
            claim: None,
            tokens: Vec::new(),
        };
        if let Some(state) = &mut self.vms[vm].state {
            state.runs.insert(id, run);
        }
        match def.kind {
            Kind::Model { .. } => self.ask(vm, id),
            Kind::Plain { .. } => self.claim_first(vm, id, None),
        }
    }

    pub fn run(&mut self, vm: usize, id: JobId) -> Option<&mut Run> {
        self.vms[vm].state.as_mut()?.runs.get_mut(&id)
    }

    /// A caller closed its connection.
    pub fn caller_gone(&mut self, vm: usize, request: &str) {
        let Some(state) = &self.vms[vm].state else {
            return;
        };
        let mut runs = state.runs.iter();
        let Some((id, run)) = runs.find(|(_, run)| run.request == request) else {
            return;
        };
        let (id, claim) = (*id, run.claim);
        // An attached caller still waits for the answer.
        if !claim.is_some_and(|claim| state.followers.contains_key(&claim)) {
            self.finish(vm, id, None);
        }
    }

    /// Sends one token to a caller.
    pub fn tell_token(&mut self, request: &str, token: u64) {
        let request = request.to_owned();
        self.after(HOP, move |world| {
            if let Some(caller) = world.callers.get_mut(&request).filter(|c| c.reads()) {
                caller.tokens.push(token);
            }
        });
    }

    /// Sends the last event of a request to its caller.
    pub fn tell(&mut self, request: &str, last: Last) {
        self.note(&format!("{request} ends: {last:?}"));
        let request = request.to_owned();
        self.after(HOP, move |world| {
            if let Some(caller) = world.callers.get_mut(&request).filter(|c| c.reads()) {
                caller.last.push(last);
            }
        });
    }
}
