//! Requests to models: a prefill engine processes the prompt, and a decode engine generates the
//! output.
//!
//! KV cache at the decode engine is reserved first, because the wait for a reservation may exceed
//! the time for which a prefill result is held.

use std::sync::Arc;
use std::time::Duration;

use border::{KvSource, Model, Step};
use coord::name::Upstream;
use coord::time::Time;
use http_body_util::{BodyExt, Limited};
use hyper::Response;
use tokio::time::sleep;

use super::relay::{self, DecodeRun};
use super::send::{self, Failure};
use super::silence::{self, Patience, Watched};
use super::{CallerRequest, millis, pace, wait};
use crate::gateway::admission::placement::{Choice, Demand};
use crate::gateway::callers::answer::{Reason, Refusal};
use crate::gateway::context::{Context, Reservation};
use crate::gateway::crash_watch;
use crate::gateway::engines::health::Outcome;
use crate::gateway::engines::statements;
use crate::gateway::store::fetch::fetch;
use crate::serve::engine::BoxedBody;

#[cfg(test)]
mod tests;

/// Maximum number of prefill attempts for one request. Attempts that did not reach an engine are
/// not counted.
const MAX_PREFILL_ATTEMPTS: u32 = 3;
/// Maximum number of failed decode attempts after which a request is tried again. Attempts that did
/// not reach an engine are not counted.
const MAX_FAILED_ATTEMPTS: u32 = 4;
/// Maximum number of decode engines that may refuse to import a prefill result before it is
/// considered lost.
const MAX_IMPORT_REFUSALS: u32 = 2;
/// Share of its lifetime during which a prefill result is offered to another engine.
const MAX_AGE_SHARE: f64 = 0.7;
/// Largest answer to a prefill in bytes.
const MAX_PREFILL_ANSWER_BYTES: usize = 64 * 1024;
/// Time limit for releasing an unused prefill result; it expires on its own otherwise.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(1);
/// Multiple of the estimated prefill time after which another engine is tried.
const PREFILL_TIMEOUT_FACTOR: f64 = 3.0;
/// Time added to that multiple.
const PREFILL_TIMEOUT_MARGIN: Duration = Duration::from_millis(400);
/// Lowest prefill rate that is assumed of an engine, in prompt tokens per millisecond.
const MIN_PREFILL_TOKENS_PER_MS: f64 = 20.0;
/// Retry time sent to callers whose request the engines refused.
const REFUSED_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Delay before a refused request is placed again, so that the engines' state can change.
const REFUSED_RETRY_DELAY: Duration = Duration::from_millis(3);

/// Runs a request through prefill and decode.
pub(super) async fn run(req: &Arc<CallerRequest>) -> Result<Response<BoxedBody>, Refusal> {
    let (Some(model), Some(prompt)) = (req.def.model.clone(), req.meta.prompt) else {
        return Err(Refusal::new(Reason::Malformed));
    };
    let demand = Demand::new(&prompt, &model);
    record_arrival(req, demand);
    let mut prefiller = PrefillRunner::new(req, demand);
    let mut tried: Vec<Upstream> = Vec::new();
    let mut refusals = 0;
    let mut first_placed = None;
    loop {
        let placed = place(req, &model, &prefiller, &tried).await;
        let (mut decode, mut reservation) =
            placed.map_err(|refusal| req.broken_if_executed(refusal))?;
        let placed = *first_placed.get_or_insert_with(|| req.ctx.now());
        // Each engine that a suspect reaches may crash, so its decode engine does the prefill as well.
        let held = if prefiller.held.is_none() && req.has_suspected_part() {
            None
        } else {
            prefiller.prefill(&decode).await
        };
        // Other gateways may have placed load on the engine during the prefill.
        if let Some(other) = wait::rereserve_if_overloaded(req, &model, demand, (&decode, &tried)) {
            (decode, reservation) = other;
        }
        req.refuse_poison()?;
        if req.is_abandoned() {
            return Err(req.refusal(Reason::Late, Reason::TimedOut, REFUSED_RETRY_AFTER));
        }
        let step = match &held {
            Some(held) => Step::Decode(held.source.clone()),
            None => Step::EndToEnd,
        };
        let place = (&decode, &mut reservation);
        let sending = send::send(req, place, step, req.meta.last_event_id);
        let patience =
            Patience::stream(req, req.started, None).repeatable(req.route.max_attempts > 1);
        let sent = match silence::watch(req, &decode, patience, sending).await {
            Watched::Answered(sent) => sent,
            Watched::Gone | Watched::Replaced(_) => {
                Err(send::record_lost(req, &decode, silence::GONE))
            }
        };
        let failure = match sent {
            Ok(answer) => {
                if let Some(held) = held {
                    held.mark_imported();
                }
                let run = DecodeRun {
                    choice: decode,
                    placed,
                    reservation,
                    demand,
                };
                return relay::respond(req, run, answer).await;
            }
            Err(failure) => failure,
        };
        if !matches!(failure, Failure::Lost(_)) {
            drop(reservation);
        }
        match &failure {
            Failure::Withdrawn => {
                tried.push(decode.name.clone());
                prefiller.held = held;
                continue;
            }
            Failure::Limited | Failure::Suspected => {
                prefiller.held = held;
                continue;
            }
            Failure::NoPath => return Err(req.no_path()),
            Failure::Unpaid => {
                return Err(req.refusal(Reason::Refused, Reason::Broken, REFUSED_RETRY_AFTER));
            }
            Failure::Unsent(_) | Failure::ConnectionRefused(_) | Failure::Misdirected => {
                tried.push(decode.name.clone());
                prefiller.held = held;
            }
            Failure::Refused(..) => {
                tried.push(decode.name.clone());
                prefiller.import_refused(held, &model);
            }
            Failure::Lost(_) => {
                tried.push(decode.name.clone());
                if !req.kind().is_retryable() || req.route.max_attempts <= 1 {
                    return Err(Refusal::new(Reason::Broken));
                }
                crash_watch::settle(&req.ctx, &req.content, &decode.name).await;
            }
        }
        let unreached = !failure.reached_upstream();
        refusals += u32::from(!unreached);
        if refusals > MAX_FAILED_ATTEMPTS || !(unreached || req.may_send()) {
            return Err(req.refusal(Reason::Refused, Reason::Broken, REFUSED_RETRY_AFTER));
        }
        sleep(REFUSED_RETRY_DELAY).await;
    }
}

/// Counts what the class of the request asks for.
fn record_arrival(req: &CallerRequest, demand: Demand) {
    let now = req.ctx.now();
    let mut state = req.ctx.state();
    if let Some(shares) = state.class_shares(&req.service) {
        shares.record_arrival(now, req.urgency(), demand.kv_tokens);
    }
}

/// Takes a place at a decode engine that holds for a prompt still to be prefilled, or one for a prompt that is.
async fn place(
    req: &CallerRequest,
    model: &Model,
    prefiller: &PrefillRunner<'_>,
    tried: &[Upstream],
) -> Result<(Choice, Reservation), Refusal> {
    let demand = prefiller.demand;
    if prefiller.held.is_some() {
        return wait::for_prefilled(req, model, demand, tried).await;
    }
    loop {
        let (decode, reservation) = wait::for_decode(req, model, demand, tried).await?;
        if wait::holds(req, model, demand, &decode).await {
            return Ok((decode, reservation));
        }
        req.ctx.telemetry.count("place.yielded");
    }
}

/// A prefill result held by an engine. Dropping it releases the result unless it was imported.
struct HeldPrefill {
    ctx: Arc<Context>,
    source: KvSource,
    engine: Choice,
    created: Time,
    /// Number of decode engines that refused to import the result.
    refusals: u32,
    release_on_drop: bool,
}

impl HeldPrefill {
    /// Records that a decode engine imported the result.
    fn mark_imported(mut self) {
        self.release_on_drop = false;
    }
}

impl Drop for HeldPrefill {
    fn drop(&mut self) {
        if !self.release_on_drop {
            return;
        }
        let (ctx, source) = (Arc::clone(&self.ctx), self.source.clone());
        let engine = self.engine.clone();
        self.ctx.tasks.spawn(async move {
            if !may_release(&ctx, &engine) {
                return;
            }
            let (method, path) = ctx.dialect.release_call(&source.handle);
            ctx.telemetry.count("prefill.freed");
            let released = fetch(&ctx.pool, source.address, (method, &path), RELEASE_TIMEOUT).await;
            match released {
                Ok((head, _)) => {
                    let reply = ctx.dialect.parse_reply(head.status, &head.headers);
                    statements::record(&ctx, &engine, &reply.statement);
                }
                Err(error) => {
                    let error = error.to_string();
                    log::info!(error = error.as_str(); "prefill not freed");
                }
            }
        });
    }
}

/// Returns whether an engine may be told to release a result, which lapses by itself soon: not while it takes nothing
/// from this gateway, or cannot be reached.
fn may_release(ctx: &Context, engine: &Choice) -> bool {
    let now = ctx.now();
    let state = ctx.state();
    let statements = &state.directory.statements;
    let paused = statements.pause_left(now, engine.limit_key).is_some();
    !paused && !state.links.is_lost(&engine.service)
}

/// Returns the time limit of a prefill at an engine with this many queued tokens, on which work takes `factor` times as
/// long as usual. One that is known to be slow still does its work, and a fast one may become slow.
fn prefill_limit(queued_tokens: u32, factor: f64) -> Duration {
    let estimate = f64::from(queued_tokens) / MIN_PREFILL_TOKENS_PER_MS * factor.max(1.0);
    let estimate = Duration::from_secs_f64(estimate / 1_000.0);
    estimate.mul_f64(PREFILL_TIMEOUT_FACTOR) + PREFILL_TIMEOUT_MARGIN
}

/// Runs the prefill of a request.
struct PrefillRunner<'a> {
    req: &'a CallerRequest,
    demand: Demand,
    tried: Vec<Upstream>,
    attempts: u32,
    /// A prefill result that an earlier attempt left unused.
    held: Option<HeldPrefill>,
}

impl<'a> PrefillRunner<'a> {
    fn new(req: &'a CallerRequest, demand: Demand) -> Self {
        Self {
            req,
            demand,
            tried: Vec::new(),
            attempts: 0,
            held: None,
        }
    }

    /// Records that a decode engine refused to import a result. That engine may have no capacity,
    /// so the result is offered to another one while it is fresh. If a fresh result is refused
    /// repeatedly, its prefill engine is assumed to have lost it, and a failure is recorded for
    /// that engine.
    fn import_refused(&mut self, held: Option<HeldPrefill>, model: &Model) {
        let Some(mut held) = held else { return };
        held.refusals += 1;
        let fresh = self.req.ctx.now().since(held.created) < model.kv_hold.mul_f64(MAX_AGE_SHARE);
        if fresh && held.refusals <= MAX_IMPORT_REFUSALS {
            self.held = Some(held);
            return;
        }
        if fresh {
            self.req
                .ctx
                .record_outcome(&held.engine.name, Outcome::Failed);
            self.tried.push(held.engine.name.clone());
        }
    }

    /// Returns a prefill result, or `None` if no prefill engine produced one.
    async fn prefill(&mut self, decode: &Choice) -> Option<HeldPrefill> {
        if let Some(held) = self.held.take() {
            return Some(held);
        }
        let (ctx, content) = (&self.req.ctx, &self.req.content);
        let may_run = || crash_watch::refusal(ctx, content).is_none();
        while self.attempts < MAX_PREFILL_ATTEMPTS && may_run() {
            if !self.req.may_send() {
                return None;
            }
            self.attempts += 1;
            match self.attempt(decode).await? {
                Ok(held) => return Some(held),
                Err(Failure::NoPath) => return None,
                Err(failure) if failure.reached_upstream() => {
                    let last = self.tried.last();
                    if let Some(last) = last.filter(|_| !failure.not_executed()) {
                        crash_watch::settle(&self.req.ctx, &self.req.content, last).await;
                    }
                }
                Err(_) => self.attempts -= 1,
            }
        }
        None
    }

    /// Tries one engine; returns `None` if there is none left.
    async fn attempt(&mut self, decode: &Choice) -> Option<Result<HeldPrefill, Failure>> {
        let ctx = &self.req.ctx;
        let placed = wait::for_prefill(self.req, self.demand, decode, &self.tried).await;
        let (choice, mut reservation) = placed.ok()?;
        if self.is_risky(&choice) {
            return None;
        }
        let (queued_tokens, factor) = {
            let (now, state) = (ctx.now(), ctx.state());
            let queued = state.loads.load(choice.key).unprefilled_tokens;
            (queued, state.directory.speeds.factor(now, choice.limit_key))
        };
        let limit = prefill_limit(queued_tokens, factor);
        let call = self.call(&choice, &mut reservation, queued_tokens);
        let late = async {
            sleep(limit).await;
            // Without a retry, the request could go nowhere else.
            silence::next_retry(self.req).await;
        };
        let called = tokio::select! {
            biased;
            watched = silence::watch(self.req, &choice, Patience::prefill(limit), call) => {
                match watched {
                    Watched::Answered(called) => called,
                    Watched::Gone | Watched::Replaced(_) => {
                        Err(send::record_lost(self.req, &choice, silence::GONE))
                    }
                }
            }
            () = late => Err(send::record_lost(self.req, &choice, "the prefill timed out")),
        };
        drop(reservation);
        self.tried.push(choice.name.clone());
        if called.is_ok() {
            ctx.record_outcome(&choice.name, Outcome::Answered);
        }
        Some(called)
    }

    /// Returns whether the prefill is likely to fail and no retry is left with which the request could still go
    /// to a decode engine. That engine can do the prefill itself, which takes no retry.
    fn is_risky(&self, choice: &Choice) -> bool {
        let ctx = &self.req.ctx;
        let doubtful = {
            let state = ctx.state();
            let endpoint = state.directory.get(&choice.name);
            endpoint.is_some_and(|endpoint| endpoint.health.is_doubtful())
        };
        doubtful && !ctx.has_retry(&self.req.service)
    }

    async fn call(
        &self,
        choice: &Choice,
        reservation: &mut Reservation,
        queued_tokens: u32,
    ) -> Result<HeldPrefill, Failure> {
        let ctx = &self.req.ctx;
        let started = ctx.now();
        let place = (choice, reservation);
        let answer = send::send(self.req, place, Step::Prefill, None).await?;
        let lost = |text: String| send::record_lost(self.req, choice, &text);
        let whole = Limited::new(answer.body, MAX_PREFILL_ANSWER_BYTES)
            .collect()
            .await;
        let whole = whole.map_err(|error| lost(error.to_string()))?;
        answer.lease.release();
        answer.guard.completed();
        let prefilled = ctx.dialect.parse_prefill(&whole.to_bytes());
        let prefilled = prefilled.map_err(|error| lost(error.to_string()))?;
        let spent = ctx.now().since(started);
        ctx.telemetry.time("prefill.time", spent);
        let tokens = (self.demand.prompt_tokens, queued_tokens);
        pace::record_prefill(self.req, choice, tokens, spent);
        let (id, upstream) = (&*self.req.meta.id, choice.name.as_str());
        log::debug!(id, upstream, tokens = prefilled.tokens, ms = millis(spent); "prefilled");
        Ok(HeldPrefill {
            ctx: Arc::clone(ctx),
            source: KvSource {
                address: choice.address,
                handle: prefilled.handle,
            },
            engine: choice.clone(),
            created: ctx.now(),
            refusals: 0,
            release_on_drop: true,
        })
    }
}
