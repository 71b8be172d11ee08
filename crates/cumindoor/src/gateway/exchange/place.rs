//! Places for requests at upstreams, with suspects kept apart from each other.

use std::time::Duration;

use border::{Model, Stage};
use coord::name::Upstream;
use coord::origin::BuildKey;
use tokio::time::{Instant, sleep_until};

use super::{CallerRequest, wait};
use crate::gateway::admission::placement::{Choice, Demand};
use crate::gateway::admission::rate_limits;
use crate::gateway::admission::trials::Terms;
use crate::gateway::callers::answer::{Reason, Refusal};
use crate::gateway::context::Reservation;
use crate::gateway::crash_watch::{self, Standing};
use crate::gateway::engines::directory::Endpoint;

/// Longest wait for a token of an upstream that names a rate limit, as a share of the target latency. The
/// rest is needed to be on time.
const LIMIT_WAIT_SHARE: f64 = 0.5;
/// Shortest time in which a step may wait for a token, however late it begins, such as a prefill or a resumed
/// stream. Twice the time to agree with the other gateways applies if that is longer.
const MIN_LIMIT_WAIT: Duration = Duration::from_millis(100);

/// Where a request needs a place.
#[derive(Clone, Copy)]
pub(super) enum Place<'a> {
    Plain,
    Prefill {
        demand: Demand,
        /// The decode engine that imports the result.
        decode: &'a Choice,
    },
    /// KV cache at a decode engine, to be had by `until`.
    Decode {
        model: &'a Model,
        demand: Demand,
        until: Instant,
        /// Whether the prompt is prefilled, so that the request goes ahead of the queue.
        prefilled: bool,
    },
}

/// Which upstreams a request may go to.
#[derive(Clone, Copy)]
pub(super) struct Search<'a> {
    /// Those that it must not go to.
    pub(super) tried: &'a [Upstream],
    /// Until when it waits for a token of an upstream that names a rate limit.
    pub(super) limit_until: Instant,
    /// The build that it must go to, if it resumes a stream.
    pub(super) build: Option<BuildKey>,
}

impl Search<'_> {
    /// Returns the longest time until a limited upstream takes the request.
    pub(super) fn patience(self, gateways: usize) -> Option<Duration> {
        let left = self.limit_until.saturating_duration_since(Instant::now());
        (left >= rate_limits::claim_notice(gateways)).then_some(left)
    }
}

impl Place<'_> {
    fn stage(self) -> Option<Stage> {
        match self {
            Self::Plain => None,
            Self::Prefill { .. } => Some(Stage::Prefill),
            Self::Decode { .. } => Some(Stage::Decode),
        }
    }

    /// Returns the fingerprints that are on trial with the step. A request keeps its place at a decode engine
    /// during its prefill, so the two steps are not in each other's way.
    fn fingerprints(self, req: &CallerRequest) -> Vec<u128> {
        match self {
            Self::Prefill { .. } => vec![req.content.prefill],
            Self::Plain | Self::Decode { .. } => crash_watch::tried_prints(&req.ctx, &req.content),
        }
    }

    /// Returns how the request is treated here. A prefill writes no answer, so no part of the prompt
    /// crashes its engine.
    fn standing(self, req: &CallerRequest) -> Standing {
        match self {
            Self::Prefill { .. } => crash_watch::standing_alone(&req.ctx, &req.content),
            Self::Plain | Self::Decode { .. } => req.standing(),
        }
    }

    /// Returns how a suspect is tried. Requests with a bad part arrive at several gateways at once, so each of
    /// their trials is agreed on.
    fn terms(self, req: &CallerRequest, standing: Standing) -> Terms {
        if standing == Standing::OnTrial {
            Terms::Exclusive
        } else if self.standing(req) > crash_watch::standing_alone(&req.ctx, &req.content) {
            Terms::Agreed
        } else {
            Terms::AtOnce
        }
    }

    /// Takes a place at an upstream that was not tried, and waits for it if need be.
    async fn take(
        self,
        req: &CallerRequest,
        search: Search<'_>,
    ) -> Result<(Choice, Reservation), Refusal> {
        match self {
            Self::Plain => wait::wait_for_plain(req, search).await,
            Self::Prefill { demand, decode } => wait::take_prefill(req, demand, decode, search),
            Self::Decode {
                model,
                demand,
                until,
                prefilled,
            } => {
                if prefilled && let Some(taken) = wait::take_prefilled(req, model, demand, search) {
                    return Ok(taken);
                }
                let demand = (demand, prefilled);
                wait::wait_for_decode_until(req, model, demand, search, until).await
            }
        }
    }
}

/// Takes a place for a request, on trial if it is a suspect. Refuses the request while it is known to
/// crash upstreams.
pub(super) async fn take_place(
    req: &CallerRequest,
    place: Place<'_>,
    tried: &[Upstream],
) -> Result<(Choice, Reservation), Refusal> {
    let until = wait::wait_limit(req);
    let limit_until = limit_until(req);
    let build = req.build();
    let search = Search {
        tried,
        limit_until,
        build,
    };
    loop {
        let freed = req.ctx.capacity_freed.notified();
        let mut freed = std::pin::pin!(freed);
        freed.as_mut().enable();
        req.refuse_poison()?;
        let standing = place.standing(req);
        if standing == Standing::Clear {
            let (choice, mut reservation) = place.take(req, search).await?;
            if !reservation.obtain_permit(&choice, limit_until).await {
                continue;
            }
            // Other gateways may have seen crashes while the request waited.
            req.refuse_poison()?;
            return Ok((choice, reservation));
        }
        if let Some(avoided) = avoided(req, standing, place, tried) {
            let search = Search {
                tried: &avoided,
                ..search
            };
            let (choice, mut reservation) = place.take(req, search).await?;
            let terms = place.terms(req, standing);
            let fingerprints = place.fingerprints(req);
            if reservation.obtain_permit(&choice, limit_until).await
                && reservation.begin_trial(&fingerprints, terms).await
            {
                // Another gateway may have seen a crash meanwhile.
                req.refuse_poison()?;
                return Ok((choice, reservation));
            }
        }
        if Instant::now() >= until {
            return Err(Refusal::with_retry(
                Reason::Overloaded,
                req.route.target_latency,
            ));
        }
        tokio::select! {
            () = freed => {}
            () = sleep_until((Instant::now() + wait::RECHECK_INTERVAL).min(until)) => {}
        }
    }
}

/// Returns until when a request waits for a token of an upstream that names a rate limit.
fn limit_until(req: &CallerRequest) -> Instant {
    let limit = req.started + req.route.target_latency.mul_f64(LIMIT_WAIT_SHARE);
    let gateways = req.ctx.state().loads.gateway_count();
    let least = MIN_LIMIT_WAIT.max(2 * rate_limits::claim_notice(gateways));
    limit.max(Instant::now() + least).min(req.deadline)
}

/// Returns the time until the first upstream takes requests again, if all that were not tried have stated
/// that they take none for a while.
pub(super) fn pause_left(
    req: &CallerRequest,
    stage: Option<Stage>,
    tried: &[Upstream],
) -> Option<(Upstream, Duration)> {
    let mut known = req.ctx.state();
    let placer = wait::placer(req, &mut known, None);
    let (first, left) = placer.paused_out(&req.service, stage, tried)?;
    Some((first.name.clone(), left))
}

/// Delays the return of a refused caller until an upstream takes requests again, if all of them have stated
/// that they take none for a while.
pub(super) fn outlast_pause(req: &CallerRequest, refusal: Refusal) -> Refusal {
    if !matches!(refusal.reason, Reason::NoUpstream | Reason::Refused) {
        return refusal;
    }
    let is_model = req.def.model.is_some() && req.meta.prompt.is_some();
    let stage = is_model.then_some(Stage::Decode);
    match pause_left(req, stage, &[]) {
        Some((_, left)) => Refusal::until(refusal.reason, left),
        None => refusal,
    }
}

/// Refuses a request if no upstream that could take it does so in time, because of rate limits or because
/// all of them have stated that they take none for a while.
pub(super) fn refuse_limited(
    req: &CallerRequest,
    stage: Option<Stage>,
    search: Search<'_>,
) -> Result<(), Refusal> {
    let patience = search.limit_until.saturating_duration_since(Instant::now());
    let paused = pause_left(req, stage, search.tried);
    if let Some((first, left)) = paused.filter(|(_, left)| *left > patience) {
        let (id, upstream) = (&*req.meta.id, first.as_str());
        let retry_ms = super::millis(left);
        log::info!(id, upstream, retry_ms; "pause refused");
        return Err(Refusal::until(Reason::Paused, left));
    }
    let next = {
        let mut known = req.ctx.state();
        let placer = wait::placer(req, &mut known, Some(search));
        let next = placer.limited_out(&req.service, stage, search.tried);
        next.map(Choice::from)
    };
    let Some(next) = next else { return Ok(()) };
    let retry = rate_limits::refuse(&req.ctx, &req.meta.id, &next, req.time_left());
    Err(Refusal::until(Reason::Limited, retry))
}

/// Returns the upstreams that a suspect must not run on: those that it was sent to already, and those
/// on which another suspect is on trial. Returns `None` if it has to wait for the end of a trial.
fn avoided(
    req: &CallerRequest,
    standing: Standing,
    place: Place<'_>,
    tried: &[Upstream],
) -> Option<Vec<Upstream>> {
    let now = req.ctx.now();
    let fingerprints = place.fingerprints(req);
    let known = req.ctx.state();
    if fingerprints
        .iter()
        .any(|f| known.trials.is_on_trial(now, *f))
    {
        return None;
    }
    let directory = &known.directory;
    let untried = directory.usable(&req.service, place.stage(), req.build());
    let untried: Vec<_> = untried.filter(|e| !tried.contains(&e.name)).collect();
    let is_taken = |endpoint: &&&Endpoint| known.trials.is_taken(now, endpoint.key);
    let is_used = |endpoint: &&&Endpoint| known.trials.is_used(now, endpoint.key);
    let mut avoided: Vec<_> = untried.iter().filter(is_taken).collect();
    if !avoided.is_empty() && avoided.len() == untried.len() {
        return None;
    }
    let used: Vec<_> = untried.iter().filter(is_used).collect();
    if standing == Standing::OnTrial && used.len() < untried.len() {
        avoided = used;
    }
    let avoided = avoided.into_iter().map(|endpoint| endpoint.name.clone());
    Some(tried.iter().cloned().chain(avoided).collect())
}
