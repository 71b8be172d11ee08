//! What becomes of a request whose upstream is silent.
//!
//! Silence alone ends no attempt, because a sound upstream may fall silent and go on. An attempt ends
//! before its answer only if the upstream accepts no connections any longer, or if a place at another
//! upstream and a retry are both at hand. See `docs/design.md`, section 6.10.

use std::time::Duration;

use border::Model;
use coord::name::Upstream;
use tokio::time::{Instant, sleep, sleep_until};

use super::{CallerRequest, millis, wait};
use crate::gateway::answer::Refusal;
use crate::gateway::context::Reservation;
use crate::gateway::health::Outcome;
use crate::gateway::liveness;
use crate::gateway::placement::{Choice, Demand};

/// An engine is probed after a silence of this many times the longest gap of the route.
const PROBE_GAPS: u32 = 4;
/// Silence after which an engine is probed if the route states no gap.
const DEFAULT_PROBE_SILENCE: Duration = Duration::from_millis(1_200);
/// Share of the time after which callers abandon a silent stream from which another engine is looked for.
/// The rest is needed to read the prompt there.
const REPLACE_SHARE: f64 = 2.0 / 3.0;
/// Time limit of an attempt at a plain upstream that may be followed by another one, as a multiple of
/// the target latency.
const PLAIN_ATTEMPT_TARGETS: f64 = 1.2;
/// Interval at which the retry budget is asked again.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which another upstream is looked for again after none had room.
const PLACE_INTERVAL: Duration = Duration::from_millis(200);

/// A place at an upstream.
pub(super) type Place = (Choice, Reservation);

/// The upstreams that may take a request over.
#[derive(Clone, Copy)]
pub(super) enum Successor<'a> {
    /// Plain upstreams except those that were tried.
    Plain(&'a [Upstream]),
    /// Decode engines except those that were tried.
    Decode(&'a Model, Demand, &'a [Upstream]),
}

/// How long an upstream may be silent.
#[derive(Clone, Copy)]
pub(super) struct Patience<'a> {
    /// Silence after which it is probed.
    probe: Duration,
    /// Silence after which another one is looked for, and among which.
    replace: Option<(Duration, Successor<'a>)>,
}

impl<'a> Patience<'a> {
    /// Returns the patience with an engine that streams, or is about to.
    pub(super) fn stream(req: &CallerRequest, successor: Option<Successor<'a>>) -> Self {
        let gaps = req.route.max_gap.map(|gap| gap * PROBE_GAPS);
        let replace = req.abandon_time().mul_f64(REPLACE_SHARE);
        Self {
            probe: gaps.unwrap_or(DEFAULT_PROBE_SILENCE),
            replace: successor.map(|successor| (replace, successor)),
        }
    }

    /// Returns the patience with an engine that prefills a prompt, which it should do within `limit`.
    pub(super) fn prefill(limit: Duration) -> Self {
        Self {
            probe: limit,
            replace: None,
        }
    }

    /// Returns the patience with a plain upstream.
    pub(super) fn plain(req: &CallerRequest, successor: Option<Successor<'a>>) -> Self {
        let limit = req.route.target_latency.mul_f64(PLAIN_ATTEMPT_TARGETS);
        Self {
            probe: limit,
            replace: successor.map(|successor| (limit, successor)),
        }
    }
}

/// Result of waiting for an upstream.
pub(super) enum Watched<T> {
    Answered(T),
    /// The upstream accepts no connections any longer.
    Gone,
    /// The upstream was silent for long, and another one has a place. The retry is paid.
    Replaced(Place),
}

/// Text of the failure of an upstream that is gone.
pub(super) const GONE: &str = "silent, and it accepts no connections";
/// Text of the failure of an upstream that is replaced.
pub(super) const REPLACED: &str = "silent";

/// Waits for the answer of an upstream, or the next part of it.
pub(super) async fn watch<T>(
    req: &CallerRequest,
    upstream: &Choice,
    patience: Patience<'_>,
    answer: impl Future<Output = T>,
) -> Watched<T> {
    let began = Instant::now();
    let silent = async {
        sleep(patience.probe).await;
        // Few answers get here, so that the state of the search is not kept for each of them.
        Box::pin(stalled(req, upstream, patience, began)).await
    };
    tokio::select! {
        // An answer that is there counts, even if another upstream was found at the same moment.
        biased;
        answered = answer => Watched::Answered(answered),
        place = silent => place.map_or(Watched::Gone, Watched::Replaced),
    }
}

/// Returns a place at another upstream, or `None` once the upstream is gone.
async fn stalled(
    req: &CallerRequest,
    upstream: &Choice,
    patience: Patience<'_>,
    began: Instant,
) -> Option<Place> {
    let (id, name) = (&*req.meta.id, upstream.name.as_str());
    let silent_ms = millis(began.elapsed());
    let replaceable = patience.replace.is_some();
    log::info!(id, upstream = name, silent_ms, replaceable; "upstream silent");
    let replaced = async {
        let Some((after, successor)) = patience.replace else {
            return std::future::pending().await;
        };
        sleep_until(began + after).await;
        match next_place(req, successor).await {
            Ok(place) => place,
            // The refusal concerns another attempt, and this one may still be answered.
            Err(_) => std::future::pending().await,
        }
    };
    tokio::select! {
        () = liveness::until_gone(&req.ctx, upstream) => {
            req.ctx.record_outcome(&upstream.name, Outcome::Unreachable);
            None
        }
        place = replaced => Some(place),
    }
}

/// Waits until the request may be sent once more, and takes a retry if it needs one.
pub(super) async fn next_retry(req: &CallerRequest) {
    while !req.may_send() {
        retry_at_hand(req).await;
    }
}

/// Waits until the budget has a retry for the request, without taking it.
async fn retry_at_hand(req: &CallerRequest) {
    let mut awaited = false;
    // Asking the budget to grant a retry would log each denial.
    while req.repeats.needs_token() && !req.ctx.has_retry(&req.service) {
        if !std::mem::replace(&mut awaited, true) {
            let service = req.service.as_str();
            log::info!(id = &*req.meta.id, service; "retry awaited");
        }
        sleep(RETRY_INTERVAL).await;
    }
}

/// Waits until a place at another upstream and a retry for it are both at hand. Refuses only a request
/// that is known to crash upstreams.
pub(super) async fn next_place(
    req: &CallerRequest,
    successor: Successor<'_>,
) -> Result<Place, Refusal> {
    loop {
        retry_at_hand(req).await;
        req.refuse_poison()?;
        let taken = match successor {
            Successor::Plain(tried) => wait::for_plain(req, tried).await,
            Successor::Decode(model, demand, tried) => {
                wait::for_resume(req, model, demand, tried).await
            }
        };
        match taken {
            // Another request may have taken the last retry meanwhile.
            Ok(place) if req.may_send() => return Ok(place),
            Ok(_) => sleep(RETRY_INTERVAL).await,
            Err(_) => sleep(PLACE_INTERVAL).await,
        }
    }
}
