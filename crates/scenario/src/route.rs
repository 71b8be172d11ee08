//! The execution of a request at its entry VM, as `serve::route` of the router does it.

use std::time::Duration;

use coord::name::{Upstream, VmName};
use coord::sched::{Action, Attempt, Failure, JobId, Reason, Stage};
use rand::RngExt;

use crate::caller::AnswerEnd;
use crate::engine::{Call, Reply};
use crate::registration::Progress;
use crate::request::Phase;
use crate::simulation::Simulation;

/// The time after which a caller that reads nothing is considered gone.
const CALLER_SILENCE_LIMIT: Duration = Duration::from_secs(30);

/// The time that a prefill may take in addition to four times its expected duration.
const PREFILL_SLACK: Duration = Duration::from_secs(2);

/// The time that an import of KV cache may take.
const IMPORT_LIMIT: Duration = Duration::from_secs(1);

/// The time without progress after which a stream, a plain call or an attached answer is considered
/// lost.
const STREAM_LIMIT: Duration = Duration::from_secs(2);

impl Simulation {
    /// Fails a step that exceeds its time limit, and ends a request that exceeds its own or whose
    /// caller has stopped reading.
    pub fn check_limits(&mut self, vm: usize, id: JobId) {
        let clock = self.vms[vm].clock(self.now);
        let Some(run) = self.run_mut(vm, id) else {
            return;
        };
        let waited = clock.since(run.last_progress);
        let expected = Duration::from_secs_f64(f64::from(run.job.prompt_tokens) / 40_000.0);
        if clock >= run.expires_at {
            let end = run.refusal_end();
            return self.finish(vm, id, Some(end));
        }
        if run
            .unread_since
            .is_some_and(|at| clock.since(at) > CALLER_SILENCE_LIMIT)
        {
            return self.finish(vm, id, None);
        }
        match run.phase.clone() {
            Phase::Prefill(on) if waited > PREFILL_SLACK + expected * 4 => {
                self.fail(vm, id, &on, Failure::Lost);
            }
            Phase::Import(on) if waited > IMPORT_LIMIT => {
                self.fail(vm, id, &on, Failure::Stalled);
            }
            Phase::Stream(on) if waited > STREAM_LIMIT => self.fail(vm, id, &on, Failure::Lost),
            Phase::Plain(_) if waited > STREAM_LIMIT => self.plain_failed(vm, id, true),
            Phase::Attached(..) if waited > STREAM_LIMIT => {
                self.finish(vm, id, Some(AnswerEnd::Unknown));
            }
            _ => {}
        }
    }

    /// Executes an order of the owner of a cell.
    pub fn execute_order(&mut self, vm: usize, from: &VmName, action: Action) {
        let (id, attempt) = match &action {
            Action::StartPrefill { id, attempt, .. } | Action::StartDecode { id, attempt, .. } => {
                (*id, Some(*attempt))
            }
            Action::Refuse { id, .. } | Action::Cancel { id, .. } => (*id, None),
        };
        let Some(run) = self.run_mut(vm, id) else {
            return self.cancel_in_cell(vm, from, id);
        };
        // Late and duplicate orders, and those of a former owner, are ignored.
        let late = attempt.is_some_and(|attempt| attempt <= run.attempt);
        if late || run.owner.as_ref() != Some(from) {
            return;
        }
        match action {
            Action::StartPrefill { .. } => self.claim_and_start(vm, id, Some(action)),
            Action::StartDecode { .. } => self.start_decode(vm, action),
            Action::Refuse { reason, .. } => {
                let unknown = run.dispatched() || reason == Reason::Unknown;
                let end = if unknown {
                    AnswerEnd::Unknown
                } else {
                    AnswerEnd::NotRun
                };
                self.add_trace(&format!("{id} is refused: {reason}"));
                self.finish(vm, id, Some(end));
            }
            Action::Cancel { upstream, .. } => self.cancel_calls(vm, id, Some(&upstream)),
        }
    }

    fn cancel_calls(&mut self, vm: usize, id: JobId, on: Option<&Upstream>) {
        let Some(run) = self.run_mut(vm, id) else {
            return;
        };
        let named = |call: &&(Upstream, Attempt)| on.is_none_or(|on| *on == call.0);
        let calls: Vec<_> = run.open_calls.iter().filter(named).cloned().collect();
        for (upstream, attempt) in calls {
            self.drop_call(vm, id, &upstream, attempt);
            self.cancel_on(vm, &upstream, id, Some(attempt));
        }
    }

    /// Executes an order to start a prefill. If the request needs a claim, it has been won already.
    pub fn start_prefill(&mut self, vm: usize, action: Action) {
        let Action::StartPrefill {
            id,
            attempt,
            prefill,
            decode,
        } = action
        else {
            return;
        };
        self.cancel_calls(vm, id, None);
        let clock = self.vms[vm].clock(self.now);
        let Some(run) = self.run_mut(vm, id) else {
            return;
        };
        run.attempt = attempt;
        run.stage = Some(Stage::Prefill {
            prefill: prefill.clone(),
            decode,
        });
        run.report = None;
        run.lost_upstream = None;
        run.prefill_result = None;
        run.phase = Phase::Prefill(prefill.clone());
        run.mark_dispatched(clock);

        self.add_call(vm, id, &prefill, attempt);
        if let Some(call) = self.new_call(vm, id, prefill) {
            self.start_call(call, Simulation::prefill);
        }
    }

    fn start_decode(&mut self, vm: usize, action: Action) {
        let Action::StartDecode {
            id,
            attempt,
            decode,
            source,
        } = action
        else {
            return;
        };
        let clock = self.vms[vm].clock(self.now);
        let Some(run) = self.run_mut(vm, id) else {
            return;
        };
        run.attempt = attempt;
        let (from, to) = (source.clone(), decode.clone());
        run.stage = Some(Stage::Decode {
            source: from,
            decode: to,
        });
        let ready = run
            .prefill_result
            .clone()
            .filter(|(from, _)| *from == source);
        let Some((from, prefilled)) = ready else {
            return self.report(vm, id, Progress::DecodeFailed(Failure::Evicted, 0));
        };
        run.report = None;
        run.lost_upstream = None;
        run.phase = Phase::Import(decode.clone());
        run.mark_dispatched(clock);
        run.stream_offset = run.job.offset;

        self.add_call(vm, id, &decode, attempt);
        if let Some(call) = self.new_call(vm, id, decode) {
            let source = (from, (id, prefilled));
            self.start_call(call, move |sim, call| sim.decode(call, source));
        }
    }

    pub fn new_call(&mut self, vm: usize, id: JobId, to: Upstream) -> Option<Call> {
        let generation = self.vms[vm].generation;
        self.run_mut(vm, id).map(|run| Call {
            vm,
            generation,
            id: (id, run.attempt),
            to,
            request: run.request.clone(),
            body: run.body.clone(),
            key: run.key.clone(),
            poison: run.poison,
            prompt: run.job.prompt_tokens,
            offset: run.job.offset,
            tokens: run.job.offset + run.job.max_tokens,
        })
    }

    fn report(&mut self, vm: usize, id: JobId, progress: Progress) {
        if let Some(run) = self.run_mut(vm, id) {
            run.report = Some(progress);
            self.register_run(vm, id);
        }
    }

    /// Handles a reply of an upstream.
    pub fn on_reply(&mut self, vm: usize, call: &Call, reply: &Reply) {
        let id = call.id.0;
        let clock = self.vms[vm].clock(self.now);
        let Some(run) = self.run_mut(vm, id) else {
            return;
        };
        let current = match &run.phase {
            Phase::Prefill(on) | Phase::Import(on) | Phase::Stream(on) | Phase::Plain(on) => {
                *on == call.to && run.attempt == call.id.1
            }
            _ => false,
        };
        // Late replies to an abandoned attempt are ignored.
        if !current {
            return;
        }
        run.last_progress = clock;
        if matches!(run.phase, Phase::Plain(_)) {
            return self.on_plain_reply(vm, id, reply);
        }
        let tokens_missing = run.job.max_tokens > 0;
        if matches!(reply, Reply::Full | Reply::Unreachable) {
            run.undo_dispatch();
            self.drop_call(vm, id, &call.to, call.id.1);
        }
        match reply {
            Reply::Prefilled(done) => {
                if let Some(run) = self.run_mut(vm, id) {
                    run.prefill_result = Some((call.to.clone(), call.id.1));
                    run.phase = Phase::Queued;
                }
                self.report(vm, id, Progress::PrefillDone(*done));
            }
            Reply::Token(index, token) => self.on_token(vm, id, &call.to, *index, *token),
            Reply::Finish if tokens_missing => {
                // The stream ended before all tokens were received.
                self.fail(vm, id, &call.to, Failure::Lost);
            }
            Reply::Finish => self.finish(vm, id, Some(AnswerEnd::Complete)),
            Reply::Full => self.fail(vm, id, &call.to, Failure::Full),
            Reply::Evicted => self.fail(vm, id, &call.to, Failure::Evicted),
            Reply::ConnectionLost => {
                if let Some(run) = self.run_mut(vm, id) {
                    run.lost_upstream = Some(call.to.clone());
                }
                self.fail(vm, id, &call.to, Failure::Lost);
            }
            Reply::Unreachable => self.fail(vm, id, &call.to, Failure::Lost),
            Reply::Cancelled => self.restart_as_new_job(vm, id),
        }
    }

    fn on_token(&mut self, vm: usize, id: JobId, on: &Upstream, index: u32, token: u64) {
        let clock = self.vms[vm].clock(self.now);
        let Some(run) = self.run_mut(vm, id) else {
            return;
        };
        if index < run.job.offset {
            return;
        }
        if index > run.job.offset {
            return self.fail(vm, id, on, Failure::Lost);
        }
        run.tokens.push(token);
        run.job.offset += 1;
        run.job.prompt_tokens += 1;
        run.job.max_tokens = run.job.max_tokens.saturating_sub(1);
        let request = run.request.clone();
        let first = matches!(run.phase, Phase::Import(_));
        if first {
            run.phase = Phase::Stream(on.clone());
            if let Some((source, attempt)) = run.prefill_result.take() {
                self.drop_call(vm, id, &source, attempt);
            }
        }
        let silent = self
            .callers
            .get(&request)
            .is_some_and(|caller| caller.silent);
        if let Some(run) = self.run_mut(vm, id).filter(|_| silent) {
            run.unread_since.get_or_insert(clock);
        }
        if first {
            self.report(vm, id, Progress::DecodeStarted);
        }
        self.send_token(&request, token);
    }

    /// Handles the failure of a step on an engine: the owner of the cell decides whether to retry.
    ///
    /// A once-only request that may have run ends instead, unless the engine was full.
    fn fail(&mut self, vm: usize, id: JobId, on: &Upstream, failure: Failure) {
        self.add_trace(&format!("{id} failed on {on}: {failure}"));
        let full = failure == Failure::Full;
        if !full {
            self.cancel_calls(vm, id, None);
        }
        let Some(run) = self.run_mut(vm, id) else {
            return;
        };
        if run.once && run.dispatched() && !full {
            return self.finish(vm, id, Some(AnswerEnd::Unknown));
        }
        let count = run.job.offset - run.stream_offset;
        let progress = match run.phase {
            Phase::Prefill(_) => Progress::PrefillFailed(failure),
            _ => Progress::DecodeFailed(failure, count),
        };
        run.stream_offset = run.job.offset;
        run.phase = Phase::Queued;
        if !full {
            run.prefill_result = None;
        }
        self.report(vm, id, progress);
    }

    /// Restarts a request under a new job id, because engines refuse the old one as cancelled or
    /// because the owner of the cell cannot continue it.
    pub fn restart_as_new_job(&mut self, vm: usize, id: JobId) {
        self.cancel_calls(vm, id, None);
        let new = JobId::new(&self.vms[vm].name, self.rng.random());
        let clock = self.vms[vm].clock(self.now);
        let Some(run) = self.run_mut(vm, id) else {
            return;
        };
        if run.once && run.dispatched() {
            return self.finish(vm, id, Some(AnswerEnd::Unknown));
        }
        if let Some(owner) = run.owner.take() {
            self.cancel_in_cell(vm, &owner, id);
        }
        if let Some(state) = &mut self.vms[vm].state
            && let Some(mut run) = state.runs.remove(&id)
        {
            run.job.id = new;
            run.attempt = Attempt::default();
            run.stage = None;
            run.report = None;
            run.lost_upstream = None;
            run.prefill_result = None;
            run.stream_offset = run.job.offset;
            run.phase = Phase::Queued;
            run.last_progress = clock;
            state.runs.insert(new, run);
        }
        self.register_run(vm, new);
    }

    /// Ends a request and frees what it holds; `end` is `None` if its caller is gone.
    pub fn finish(&mut self, vm: usize, id: JobId, end: Option<AnswerEnd>) {
        let Some(run) = self.run_mut(vm, id) else {
            return;
        };
        if end == Some(AnswerEnd::Complete) {
            let calls = run.open_calls.clone();
            for (upstream, attempt) in calls {
                self.drop_call(vm, id, &upstream, attempt);
            }
            self.report(vm, id, Progress::Finished);
        } else {
            self.cancel_calls(vm, id, None);
            if let Some(owner) = self.run_mut(vm, id).and_then(|run| run.owner.clone()) {
                self.cancel_in_cell(vm, &owner, id);
            }
        }
        let now = self.now;
        let removed = self.vms[vm].state.as_mut().and_then(|state| {
            state.idle_since = Some(now);
            state.runs.remove(&id)
        });
        let Some(run) = removed else {
            return;
        };
        self.settle_claim(vm, &run, end);
        if let Some(end) = end {
            self.end_answer(&run.request, end);
        }
    }
}
