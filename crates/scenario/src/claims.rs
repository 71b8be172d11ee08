//! Once-only requests and plain calls at their entry VM.
//!
//! A once-only request with an idempotency key runs only after its entry VM has won the claim of
//! the key. If another attempt holds the key, the request attaches to it and receives its answer.

use std::collections::BTreeMap;

use coord::claim::{self, AttemptId, ClaimOptions, Claims, Key, Outcome, Start, VmList};
use coord::name::{Upstream, VmName};
use coord::sched::{Action, JobId};
use coord::time::Time;

use crate::caller::AnswerEnd;
use crate::engine::Reply;
use crate::platform::PublishedList;
use crate::request::{Phase, Run};
use crate::simulation::Simulation;
use crate::vm::PeerMessage;

/// The maximum number of attempts of a plain call that may be repeated.
const MAX_PLAIN_ATTEMPTS: u32 = 3;

/// The Unix time that corresponds to virtual time 0.
const ORIGIN_UNIX_MS: u64 = 1_800_000_000_000;

/// The reply of the holder of a key to a VM whose request attaches to its attempt.
#[derive(Clone, Debug)]
pub enum AttachReply {
    /// The attempt is still running.
    Running,
    /// The attempt lost its own claim to this other attempt and was never dispatched.
    Redirected(VmName, AttemptId),
    /// The attempt has ended with this result and these tokens.
    Done(AnswerEnd, Vec<u64>),
    /// The holder does not know the attempt, or has no answer of it.
    Unknown,
}

impl Simulation {
    /// Executes an order, or starts a plain call for `None`, after the claim of the request is won.
    ///
    /// A request that needs no claim starts immediately.
    pub fn claim_and_start(&mut self, vm: usize, id: JobId, order: Option<Action>) {
        let clock = self.vms[vm].clock(self.now);
        let Some(state) = &mut self.vms[vm].state else {
            return;
        };
        let Some(run) = state.runs.get_mut(&id) else {
            return;
        };
        let wanted = run.key.clone().filter(|_| run.once);
        let (Some(key), None) = (wanted, run.claim) else {
            if matches!(run.phase, Phase::Claim(_)) && run.claim.is_some() {
                run.phase = Phase::Claim(order);
                return;
            }
            return self.start_run(vm, id, order);
        };
        let Some(claims) = &mut state.claims else {
            return self.finish(vm, id, Some(AnswerEnd::NotRun));
        };
        let (attempt, actions) = claims.start(clock, Key::new(&"org".into(), &key));
        run.claim = Some(attempt);
        run.phase = Phase::Claim(order);
        self.apply_claim_actions(vm, actions);
    }

    fn start_run(&mut self, vm: usize, id: JobId, order: Option<Action>) {
        match order {
            Some(order) => self.start_prefill(vm, order),
            None => self.start_plain(vm, id),
        }
    }

    /// Executes the actions that the claims state machine returned.
    fn apply_claim_actions(&mut self, vm: usize, actions: Vec<claim::Action>) {
        for action in actions {
            match action {
                claim::Action::Send { to, message } => {
                    self.send_message(vm, &to, &PeerMessage::Claim(message));
                }
                claim::Action::Decided { attempt, outcome } => self.resolve(vm, attempt, outcome),
            }
        }
    }

    fn resolve(&mut self, vm: usize, attempt: AttemptId, outcome: Outcome) {
        let clock = self.vms[vm].clock(self.now);
        let Some(state) = &mut self.vms[vm].state else {
            return;
        };
        let mut runs = state.runs.iter_mut();
        let Some((id, run)) = runs.find(|(_, run)| run.claim == Some(attempt)) else {
            return;
        };
        let Phase::Claim(order) = run.phase.clone() else {
            return;
        };
        let id = *id;
        let checked = match (outcome, &mut state.claims) {
            (Outcome::Dispatch, Some(claims)) => claims.dispatch(clock, attempt).err(),
            (outcome, _) => Some(outcome),
        };
        let text = format!("{} claims {id}: {checked:?}", self.vms[vm].name);
        self.add_trace(&text);
        match checked {
            None => self.start_run(vm, id, order),
            Some(Outcome::Attach { holder }) => self.attach(vm, id, holder.vm, holder.attempt),
            Some(Outcome::NotRun { .. }) => self.finish(vm, id, Some(AnswerEnd::NotRun)),
            Some(_) => self.finish(vm, id, Some(AnswerEnd::Unknown)),
        }
    }

    fn attach(&mut self, vm: usize, id: JobId, holder: VmName, attempt: AttemptId) {
        let clock = self.vms[vm].clock(self.now);
        let Some(run) = self.run_mut(vm, id) else {
            return;
        };
        run.phase = Phase::Attached(holder, attempt);
        run.last_progress = clock;
        if let Some(owner) = run.owner.clone() {
            self.cancel_in_cell(vm, &owner, id);
        }
        self.request_answer(vm, id);
    }

    /// Asks the holder of a key for its answer; this is repeated until the answer arrives.
    pub fn request_answer(&mut self, vm: usize, id: JobId) {
        let Some(Phase::Attached(holder, attempt)) =
            self.run_mut(vm, id).map(|run| run.phase.clone())
        else {
            return;
        };
        self.send_message(vm, &holder, &PeerMessage::Attach(attempt, id));
    }

    /// Replies to a VM whose request attaches to an attempt of this VM.
    pub fn on_attach(&mut self, vm: usize, from: &VmName, attempt: AttemptId, id: JobId) {
        let Some(state) = &mut self.vms[vm].state else {
            return;
        };
        let mut runs = state.runs.values();
        let phase = runs
            .find(|run| run.claim == Some(attempt))
            .map(|run| &run.phase);
        let reply = match (state.answers.get(&attempt), phase) {
            (Some(reply), _) => reply.clone(),
            (None, Some(Phase::Attached(vm, other))) => AttachReply::Redirected(vm.clone(), *other),
            (None, Some(_)) => {
                let followers = state.followers.entry(attempt).or_default();
                followers.insert(id, from.clone());
                AttachReply::Running
            }
            (None, None) => AttachReply::Unknown,
        };
        self.send_message(vm, from, &PeerMessage::AttachReply(id, reply));
    }

    /// Handles the reply of the holder of a key.
    pub fn on_attach_reply(&mut self, vm: usize, id: JobId, reply: AttachReply) {
        let clock = self.vms[vm].clock(self.now);
        let Some(run) = self.run_mut(vm, id) else {
            return;
        };
        if !matches!(run.phase, Phase::Attached(..)) {
            return;
        }
        run.last_progress = clock;
        if let AttachReply::Done(_, tokens) = &reply {
            // The tokens are kept because a third attempt may have attached to this one.
            run.tokens.clone_from(tokens);
        }
        let request = run.request.clone();
        match reply {
            AttachReply::Running => {}
            // Two attempts that each lost their claim to the other would wait forever.
            AttachReply::Redirected(_, other) if run.claim == Some(other) => {
                self.finish(vm, id, Some(AnswerEnd::Unknown));
            }
            AttachReply::Redirected(holder, other) => {
                run.phase = Phase::Attached(holder, other);
                self.request_answer(vm, id);
            }
            AttachReply::Unknown => self.finish(vm, id, Some(AnswerEnd::Unknown)),
            AttachReply::Done(end, tokens) => {
                for token in tokens {
                    self.send_token(&request, token);
                }
                self.finish(vm, id, Some(end));
            }
        }
    }

    /// Stores the result of a claimed request for requests that attach to it, sends it to those
    /// that wait, and cancels the claim if the request was never dispatched.
    pub fn settle_claim(&mut self, vm: usize, run: &Run, end: Option<AnswerEnd>) {
        let clock = self.vms[vm].clock(self.now);
        let Some(state) = &mut self.vms[vm].state else {
            return;
        };
        let Some(attempt) = run.claim else {
            return;
        };
        if !run.dispatched()
            && let Some(claims) = &mut state.claims
        {
            claims.cancel(clock, attempt);
        }
        let reply = match end {
            Some(AnswerEnd::Complete) => AttachReply::Done(AnswerEnd::Complete, run.tokens.clone()),
            Some(end) => AttachReply::Done(end, Vec::new()),
            None => AttachReply::Unknown,
        };
        state.answers.insert(attempt, reply.clone());
        let followers: BTreeMap<JobId, VmName> =
            state.followers.remove(&attempt).unwrap_or_default();
        for (id, follower) in followers {
            self.send_message(vm, &follower, &PeerMessage::AttachReply(id, reply.clone()));
        }
    }

    /// Passes the published list of VMs to the claims; the first list creates them.
    pub fn update_claim_list(&mut self, vm: usize, list: &PublishedList) {
        let clock = self.vms[vm].clock(self.now);
        let name = self.vms[vm].name.clone();
        let unix_ms = ORIGIN_UNIX_MS + self.now.as_micros() / 1_000;
        let retention = self.scenario.retention;
        let Some(state) = &mut self.vms[vm].state else {
            return;
        };
        let vms = VmList::new(list.revision, list.vms.keys().cloned());
        let Some(claims) = &mut state.claims else {
            let start = Start {
                incarnation: state.members.incarnation(),
                boot: state.boot,
                unix_ms,
                seed: unix_ms ^ coord::hash::hash64(name.as_str().as_bytes()),
            };
            let options = ClaimOptions {
                retention,
                ..ClaimOptions::default()
            };
            state.claims = Some(Claims::new(name, start, options, vms));
            return;
        };
        let actions = claims.adopt(clock, vms);
        self.apply_claim_actions(vm, actions);
    }

    /// Calls the claims of a VM and executes the resulting actions.
    pub fn with_claims(
        &mut self,
        vm: usize,
        call: impl FnOnce(&mut Claims, Time) -> Vec<claim::Action>,
    ) {
        let clock = self.vms[vm].clock(self.now);
        let state = self.vms[vm].state.as_mut();
        if let Some(claims) = state.and_then(|state| state.claims.as_mut()) {
            let actions = call(claims, clock);
            self.apply_claim_actions(vm, actions);
        }
    }

    /// Starts an attempt of a plain call on the next upstream that is not leaving.
    pub fn start_plain(&mut self, vm: usize, id: JobId) {
        let clock = self.vms[vm].clock(self.now);
        let Some(state) = &mut self.vms[vm].state else {
            return;
        };
        let Some(run) = state.runs.get_mut(&id) else {
            return;
        };
        let prefix = format!("{}-", run.service);
        let named = state
            .upstreams
            .iter()
            .filter(|(name, _)| name.as_str().starts_with(&prefix));
        let live = named.filter(|(_, leaving)| !**leaving);
        let live: Vec<Upstream> = live.map(|(name, _)| name.clone()).collect();
        if live.is_empty() {
            let end = run.refusal_end();
            return self.finish(vm, id, Some(end));
        }
        let start = usize::try_from(id.0 % 64).unwrap_or(0);
        let to = live[(start + run.attempt.0 as usize) % live.len()].clone();
        run.attempt.0 += 1;
        run.phase = Phase::Plain(to.clone());
        run.mark_dispatched(clock);
        if let Some(call) = self.new_call(vm, id, to) {
            self.start_call(call, Simulation::start_plain_call);
        }
    }

    pub fn on_plain_reply(&mut self, vm: usize, id: JobId, reply: &Reply) {
        let Some(run) = self.run_mut(vm, id) else {
            return;
        };
        match reply {
            Reply::Token(_, token) => {
                run.tokens.push(*token);
                let request = run.request.clone();
                self.send_token(&request, *token);
            }
            Reply::Finish => self.finish(vm, id, Some(AnswerEnd::Complete)),
            Reply::Unreachable => self.plain_failed(vm, id, false),
            _ => self.plain_failed(vm, id, true),
        }
    }

    /// Retries or ends a plain call that failed; `sent` if the upstream may have received it.
    pub fn plain_failed(&mut self, vm: usize, id: JobId, sent: bool) {
        let Some(run) = self.run_mut(vm, id) else {
            return;
        };
        if !sent {
            run.undo_dispatch();
        }
        if run.attempt.0 >= MAX_PLAIN_ATTEMPTS || (run.once && run.dispatched()) {
            let end = run.refusal_end();
            return self.finish(vm, id, Some(end));
        }
        self.start_plain(vm, id);
    }
}
