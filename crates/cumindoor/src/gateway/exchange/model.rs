//! Requests to models: a prefill engine reads the prompt, a decode engine generates.
//!
//! The place at the decode engine is reserved first, because a prefill's result is kept for less
//! time than a place may take to become free.

use std::sync::Arc;
use std::time::Duration;

use border::{KvSource, Model, Step};
use coord::name::{DataCentre, Upstream};
use coord::time::Time;
use http_body_util::{BodyExt, Limited};
use hyper::Response;
use tokio::time::{sleep, timeout};

use super::relay::{self, DecodeRun};
use super::send::{self, Failure};
use super::{CallerRequest, millis, wait};
use crate::gateway::answer::{Reason, Refusal};
use crate::gateway::context::Context;
use crate::gateway::fetch::fetch;
use crate::gateway::health::Outcome;
use crate::gateway::load_table::Load;
use crate::gateway::placement::{Choice, Demand};
use crate::serve::engine::OutBody;

/// Prefills that one request may try.
const MAX_PREFILL_ATTEMPTS: u32 = 3;
/// Decode engines that may refuse a request before it is given up.
const MAX_REFUSALS: u32 = 4;
/// Decode engines that may refuse one result before it is taken for lapsed.
const MAX_IMPORT_REFUSALS: u32 = 2;
/// The share of its lifetime in which a result is offered to another engine.
const FRESH_SHARE: f64 = 0.7;
/// Bytes of a prefill's answer at most.
const MAX_PREFILL_ANSWER_BYTES: usize = 64 * 1024;
/// Time to free a prefill's result that is not used; after that it lapses by itself.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(1);
/// How much longer than expected a prefill may take before another engine is tried.
const PREFILL_TIMEOUT_FACTOR: f64 = 3.0;
/// Time that a prefill may take in addition.
const PREFILL_TIMEOUT_MARGIN: Duration = Duration::from_millis(400);
/// Prompt tokens that an engine reads in a millisecond at least, when nothing is known of it.
const MIN_PREFILL_TOKENS_PER_MS: f64 = 20.0;
/// After what time a caller whose request was refused by the engines may come back.
const REFUSED_RETRY: Duration = Duration::from_millis(500);
/// Pause before a refused request looks for another place, so that engines' states can change.
const REFUSED_RETRY_DELAY: Duration = Duration::from_millis(3);

/// Runs a request at the two stages of engines.
pub(super) async fn run(req: &Arc<CallerRequest>) -> Result<Response<OutBody>, Refusal> {
    let (Some(model), Some(prompt)) = (req.def.model.clone(), req.meta.prompt) else {
        return Err(Refusal::new(Reason::Malformed));
    };
    let demand = Demand::new(&prompt, &model);
    let mut prefiller = PrefillRunner::new(req, demand);
    let mut tried: Vec<Upstream> = Vec::new();
    let mut refusals = 0;
    let mut first_placed = None;
    loop {
        let placed = if prefiller.held.is_some() {
            wait::for_prefilled(req, &model, demand, &tried).await
        } else {
            wait::for_decode(req, &model, demand, &tried).await
        };
        let (mut decode, mut reservation) =
            placed.map_err(|refusal| req.broken_if_executed(refusal))?;
        let placed = *first_placed.get_or_insert_with(|| req.ctx.now());
        // The result is moved within a data centre if possible.
        let held = prefiller.prefill(&decode.data_centre).await;
        // Other gateways may have placed requests there while the prompt was read.
        if let Some(other) = wait::move_if_overfull(req, &model, demand, (&decode, &tried)) {
            (decode, reservation) = other;
        }
        if req.is_abandoned() {
            return Err(req.refusal(Reason::Late, Reason::TimedOut, REFUSED_RETRY));
        }
        let step = match &held {
            Some(held) => Step::Decode(held.source.clone()),
            None => Step::EndToEnd,
        };
        let sent = send::send(req, &decode, step, req.meta.last_event_id).await;
        let failure = match sent {
            Ok(answer) => {
                if let Some(held) = held {
                    held.mark_imported();
                }
                let run = DecodeRun {
                    choice: decode,
                    placed,
                    _reservation: reservation,
                    demand,
                };
                return relay::respond(req, run, answer).await;
            }
            Err(failure) => failure,
        };
        drop(reservation);
        match &failure {
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
                if !req.kind().is_repeatable() || req.route.max_attempts <= 1 {
                    return Err(Refusal::new(Reason::Broken));
                }
            }
        }
        let unreached = !failure.reached_upstream();
        refusals += u32::from(!unreached);
        if refusals > MAX_REFUSALS || !(unreached || req.ctx.try_retry(&req.service)) {
            return Err(req.refusal(Reason::Refused, Reason::Broken, REFUSED_RETRY));
        }
        sleep(REFUSED_RETRY_DELAY).await;
    }
}

/// A prefill's result at an engine; it is freed unless it is used.
struct HeldPrefill {
    ctx: Arc<Context>,
    source: KvSource,
    engine: Upstream,
    created: Time,
    /// Decode engines that refused to import it.
    refusals: u32,
    armed: bool,
}

impl HeldPrefill {
    /// Notes that a decode engine imported the result.
    fn mark_imported(mut self) {
        self.armed = false;
    }
}

impl Drop for HeldPrefill {
    fn drop(&mut self) {
        if !self.armed {
            return;
        }
        let (ctx, source) = (Arc::clone(&self.ctx), self.source.clone());
        self.ctx.tasks.spawn(async move {
            let (method, path) = ctx.dialect.release_call(&source.handle);
            ctx.telemetry.count("prefill.freed");
            let released = fetch(&ctx.pool, source.address, (method, &path), RELEASE_TIMEOUT).await;
            if let Err(error) = released {
                let error = error.to_string();
                log::info!(error = error.as_str(); "prefill not freed");
            }
        });
    }
}

/// Has the prompt read.
struct PrefillRunner<'a> {
    req: &'a CallerRequest,
    demand: Demand,
    tried: Vec<Upstream>,
    attempts: u32,
    /// A result that an earlier attempt left unused.
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

    /// Notes that a decode engine refused to import a result. That engine may have no room, so
    /// another one is tried with the result while it is fresh; or the result has lapsed.
    fn import_refused(&mut self, held: Option<HeldPrefill>, model: &Model) {
        let Some(mut held) = held else { return };
        held.refusals += 1;
        let fresh = self.req.ctx.now().since(held.created) < model.kv_hold.mul_f64(FRESH_SHARE);
        if fresh && held.refusals <= MAX_IMPORT_REFUSALS {
            self.held = Some(held);
            return;
        }
        if fresh {
            self.req.ctx.record_outcome(&held.engine, Outcome::Failed);
            self.tried.push(held.engine.clone());
        }
    }

    /// Returns where the prompt's result lies, or `None` if no prefill engine brought one.
    async fn prefill(&mut self, preferred: &DataCentre) -> Option<HeldPrefill> {
        if let Some(held) = self.held.take() {
            return Some(held);
        }
        while self.attempts < MAX_PREFILL_ATTEMPTS {
            if self.attempts > 0 && !self.req.ctx.try_retry(&self.req.service) {
                return None;
            }
            self.attempts += 1;
            match self.attempt(preferred).await? {
                Ok(held) => return Some(held),
                Err(failure) if failure.reached_upstream() => {}
                Err(_) => self.attempts -= 1,
            }
        }
        None
    }

    /// Tries one engine; returns `None` if there is none left.
    async fn attempt(&mut self, preferred: &DataCentre) -> Option<Result<HeldPrefill, Failure>> {
        let ctx = &self.req.ctx;
        let service = &self.req.service;
        let chosen = {
            let mut state = ctx.state();
            let mut placer = wait::placer(ctx, &mut state);
            placer.preferred = preferred;
            placer.choose_prefill(service, &self.tried)
        };
        let choice = chosen?;
        let load = Load {
            requests: 1,
            unread: self.demand.prompt_tokens,
            memory: 0,
        };
        let reservation = ctx.reserve(choice.key, load);
        let queued_tokens = ctx.state().loads.load(choice.key).unread;
        let estimate = f64::from(queued_tokens) / MIN_PREFILL_TOKENS_PER_MS;
        let estimate = Duration::from_secs_f64(estimate / 1_000.0);
        let limit = estimate.mul_f64(PREFILL_TIMEOUT_FACTOR) + PREFILL_TIMEOUT_MARGIN;
        let call = self.call(&choice);
        let late = |_| send::record_lost(self.req, &choice, "the prefill timed out");
        let called = timeout(limit, call).await.map_err(late).and_then(|r| r);
        drop(reservation);
        self.tried.push(choice.name.clone());
        if called.is_ok() {
            ctx.record_outcome(&choice.name, Outcome::Answered);
        }
        Some(called)
    }

    async fn call(&self, choice: &Choice) -> Result<HeldPrefill, Failure> {
        let ctx = &self.req.ctx;
        let started = ctx.now();
        let answer = send::send(self.req, choice, Step::Prefill, None).await?;
        let lost = |text: String| send::record_lost(self.req, choice, &text);
        let whole = Limited::new(answer.body, MAX_PREFILL_ANSWER_BYTES)
            .collect()
            .await;
        let whole = whole.map_err(|error| lost(error.to_string()))?;
        answer.lease.release();
        let prefilled = ctx.dialect.parse_prefill(&whole.to_bytes());
        let prefilled = prefilled.map_err(|error| lost(error.to_string()))?;
        let spent = ctx.now().since(started);
        ctx.telemetry.time("prefill.time", spent);
        let (id, upstream) = (&*self.req.meta.id, choice.name.as_str());
        log::debug!(id, upstream, tokens = prefilled.tokens, ms = millis(spent); "prefilled");
        Ok(HeldPrefill {
            ctx: Arc::clone(ctx),
            source: KvSource {
                address: choice.address,
                handle: prefilled.handle,
            },
            engine: choice.name.clone(),
            created: ctx.now(),
            refusals: 0,
            armed: true,
        })
    }
}
