//! Requests to models: a prefill engine reads the prompt, a decode engine generates.
//!
//! The place at the decode engine is reserved first, because a prefill's result is kept for less
//! time than a place may take to become free.

use std::sync::Arc;
use std::time::Duration;

use border::{Model, Source, Step};
use coord::name::{DataCentre, Upstream};
use coord::time::Time;
use http_body_util::{BodyExt, Limited};
use hyper::Response;
use tokio::time::{sleep, timeout};

use super::relay::{self, Run};
use super::send::{self, Failure};
use super::{Job, millis, wait};
use crate::gateway::answer::{Reason, Refusal};
use crate::gateway::board::Load;
use crate::gateway::fetch::fetch;
use crate::gateway::gate::Gate;
use crate::gateway::health::Outcome;
use crate::gateway::place::{Choice, Demand};
use crate::serve::engine::OutBody;

/// Prefills that one request may try.
const PREFILLS: u32 = 3;
/// Decode engines that may refuse a request before it is given up.
const REFUSALS: u32 = 4;
/// Decode engines that may refuse one result before it is taken for lapsed.
const IMPORTS: u32 = 2;
/// The share of its lifetime in which a result is offered to another engine.
const FRESH: f64 = 0.7;
/// Bytes of a prefill's answer at most.
const HANDLE_BYTES: usize = 64 * 1024;
/// Time to free a prefill's result that is not used; after that it lapses by itself.
const FREE_TIME: Duration = Duration::from_secs(1);
/// How much longer than expected a prefill may take before another engine is tried.
const PREFILL_FACTOR: f64 = 3.0;
/// Time that a prefill may take in addition.
const PREFILL_EXTRA: Duration = Duration::from_millis(400);
/// Prompt tokens that an engine reads in a millisecond at least, when nothing is known of it.
const PREFILL_RATE: f64 = 20.0;
/// After what time a caller whose request was refused by the engines may come back.
const REFUSED_RETRY: Duration = Duration::from_millis(500);
/// Pause before a refused request looks for another place, so that engines' states can change.
const REFUSED_PAUSE: Duration = Duration::from_millis(3);

/// Runs a request at the two stages of engines.
pub(super) async fn run(job: &Arc<Job>) -> Result<Response<OutBody>, Refusal> {
    let (Some(model), Some(prompt)) = (job.def.model.clone(), job.ask.prompt) else {
        return Err(Refusal::new(Reason::Malformed));
    };
    let demand = Demand::new(&prompt, &model);
    let mut reader = Reader::new(job, demand);
    let mut tried: Vec<Upstream> = Vec::new();
    let mut refusals = 0;
    let mut placed_at = None;
    loop {
        let placed = if reader.kept.is_some() {
            wait::for_read(job, &model, demand, &tried).await
        } else {
            wait::for_decode(job, &model, demand, &tried).await
        };
        let (mut decode, mut hold) = placed.map_err(|refusal| job.truthful(refusal))?;
        let placed = *placed_at.get_or_insert_with(|| job.gate.now());
        // The result is moved within a data centre if possible.
        let kept = reader.read(&decode.data_centre).await;
        // Other gateways may have placed requests there while the prompt was read.
        if let Some(other) = wait::elsewhere(job, &model, demand, (&decode, &tried)) {
            (decode, hold) = other;
        }
        if job.is_abandoned() {
            return Err(job.refusal(Reason::Late, Reason::TimedOut, REFUSED_RETRY));
        }
        let step = match &kept {
            Some(kept) => Step::Decode(kept.source.clone()),
            None => Step::Whole,
        };
        let sent = send::send(job, &decode, step, job.ask.resume).await;
        let failure = match sent {
            Ok(answer) => {
                if let Some(kept) = kept {
                    kept.used();
                }
                let run = Run {
                    choice: decode,
                    placed,
                    _hold: hold,
                    demand,
                };
                return relay::respond(job, run, answer).await;
            }
            Err(failure) => failure,
        };
        drop(hold);
        match &failure {
            Failure::Unsent(_) | Failure::Unlistened(_) | Failure::Misdirected => {
                tried.push(decode.name.clone());
                reader.kept = kept;
            }
            Failure::Refused(..) => {
                tried.push(decode.name.clone());
                reader.refused(kept, &model);
            }
            Failure::Lost(_) => {
                tried.push(decode.name.clone());
                if !job.kind().repeats() || job.route.attempts <= 1 {
                    return Err(Refusal::new(Reason::Broken));
                }
            }
        }
        let free = !failure.arrived();
        refusals += u32::from(!free);
        if refusals > REFUSALS || !(free || job.gate.try_repeat(&job.service)) {
            return Err(job.refusal(Reason::Refused, Reason::Broken, REFUSED_RETRY));
        }
        sleep(REFUSED_PAUSE).await;
    }
}

/// A prefill's result at an engine; it is freed unless it is used.
struct Kept {
    gate: Arc<Gate>,
    source: Source,
    engine: Upstream,
    since: Time,
    /// Decode engines that refused to import it.
    refusals: u32,
    armed: bool,
}

impl Kept {
    /// Notes that a decode engine imported the result.
    fn used(mut self) {
        self.armed = false;
    }
}

impl Drop for Kept {
    fn drop(&mut self) {
        if !self.armed {
            return;
        }
        let (gate, source) = (Arc::clone(&self.gate), self.source.clone());
        self.gate.tasks.spawn(async move {
            let (method, path) = gate.dialect.free(&source.handle);
            gate.telemetry.count("prefill.freed");
            let freed = fetch(&gate.pool, source.address, (method, &path), FREE_TIME).await;
            if let Err(error) = freed {
                let error = error.to_string();
                log::info!(error = error.as_str(); "prefill not freed");
            }
        });
    }
}

/// Has the prompt read.
struct Reader<'a> {
    job: &'a Job,
    demand: Demand,
    tried: Vec<Upstream>,
    tries: u32,
    /// A result that an earlier attempt left unused.
    kept: Option<Kept>,
}

impl<'a> Reader<'a> {
    fn new(job: &'a Job, demand: Demand) -> Self {
        Self {
            job,
            demand,
            tried: Vec::new(),
            tries: 0,
            kept: None,
        }
    }

    /// Notes that a decode engine refused to import a result. That engine may have no room, so
    /// another one is tried with the result while it is fresh; or the result has lapsed.
    fn refused(&mut self, kept: Option<Kept>, model: &Model) {
        let Some(mut kept) = kept else { return };
        kept.refusals += 1;
        let fresh = self.job.gate.now().since(kept.since) < model.kept.mul_f64(FRESH);
        if fresh && kept.refusals <= IMPORTS {
            self.kept = Some(kept);
            return;
        }
        if fresh {
            self.job.gate.note(&kept.engine, Outcome::Failed);
            self.tried.push(kept.engine.clone());
        }
    }

    /// Returns where the prompt's result lies, or `None` if no prefill engine brought one.
    async fn read(&mut self, near: &DataCentre) -> Option<Kept> {
        if let Some(kept) = self.kept.take() {
            return Some(kept);
        }
        while self.tries < PREFILLS {
            if self.tries > 0 && !self.job.gate.try_repeat(&self.job.service) {
                return None;
            }
            self.tries += 1;
            match self.attempt(near).await? {
                Ok(kept) => return Some(kept),
                Err(failure) if failure.arrived() => {}
                Err(_) => self.tries -= 1,
            }
        }
        None
    }

    /// Tries one engine; returns `None` if there is none left.
    async fn attempt(&mut self, near: &DataCentre) -> Option<Result<Kept, Failure>> {
        let gate = &self.job.gate;
        let service = &self.job.service;
        let chosen = {
            let mut state = gate.state();
            let mut choosing = wait::choosing(gate, &mut state);
            choosing.near = near;
            choosing.prefill(service, &self.tried)
        };
        let choice = chosen?;
        let load = Load {
            requests: 1,
            unread: self.demand.prompt,
            memory: 0,
        };
        let hold = gate.hold(choice.key, load);
        let queued = gate.state().board.load(choice.key).unread;
        let expected = f64::from(queued) / PREFILL_RATE;
        let expected = Duration::from_secs_f64(expected / 1_000.0);
        let limit = expected.mul_f64(PREFILL_FACTOR) + PREFILL_EXTRA;
        let call = self.call(&choice);
        let late = |_| send::lost(self.job, &choice, "no prefill in time");
        let called = timeout(limit, call).await.map_err(late).and_then(|r| r);
        drop(hold);
        self.tried.push(choice.name.clone());
        if called.is_ok() {
            gate.note(&choice.name, Outcome::Answered);
        }
        Some(called)
    }

    async fn call(&self, choice: &Choice) -> Result<Kept, Failure> {
        let gate = &self.job.gate;
        let started = gate.now();
        let answer = send::send(self.job, choice, Step::Prefill, None).await?;
        let lost = |text: String| send::lost(self.job, choice, &text);
        let whole = Limited::new(answer.body, HANDLE_BYTES).collect().await;
        let whole = whole.map_err(|error| lost(error.to_string()))?;
        answer.lease.release();
        let prefilled = gate.dialect.prefilled(&whole.to_bytes());
        let prefilled = prefilled.map_err(|error| lost(error.to_string()))?;
        let spent = gate.now().since(started);
        gate.telemetry.time("prefill.time", spent);
        let (id, upstream) = (&*self.job.ask.id, choice.name.as_str());
        log::debug!(id, upstream, tokens = prefilled.tokens, ms = millis(spent); "prefilled");
        Ok(Kept {
            gate: Arc::clone(gate),
            source: Source {
                address: choice.address,
                handle: prefilled.handle,
            },
            engine: choice.name.clone(),
            since: gate.now(),
            refusals: 0,
            armed: true,
        })
    }
}
