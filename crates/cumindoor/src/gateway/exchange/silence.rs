//! What becomes of a request whose upstream is silent.
//!
//! Silence alone ends no attempt, because a sound upstream may fall silent and go on. An attempt ends
//! before its answer only if a place at another upstream and a retry are both at hand, earlier if the
//! upstream accepts no connections any longer. See `docs/design.md`, section 6.10.

use std::time::Duration;

use border::Model;
use coord::name::Upstream;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

use super::{CallerRequest, millis, wait};
use crate::gateway::admission::placement::{Choice, Demand};
use crate::gateway::callers::answer::Refusal;
use crate::gateway::context::Reservation;
use crate::gateway::engines::health::Outcome;
use crate::gateway::engines::liveness;

/// An engine is probed after a silence of this many times the longest gap of the route.
const PROBE_GAPS: u32 = 4;
/// Shortest silence after which an engine is probed. Probes are charged for, and short pauses are usual.
const MIN_PROBE_SILENCE: Duration = Duration::from_millis(1_200);
/// Share of the time after which callers abandon a silent stream from which another engine is looked for.
/// The rest is needed to read the prompt there.
const REPLACE_SHARE: f64 = 2.0 / 3.0;
/// Share of that time after which no other engine is looked for any more, because it would not answer in time.
const LAST_REPLACE_SHARE: f64 = 0.85;
/// Shortest silence after which another engine is looked for. Sound engines pause for a second or so.
const MIN_REPLACE_SILENCE: Duration = Duration::from_millis(1_800);
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
    /// Whether the request may be sent again, so that it need not stay with an upstream that is gone.
    repeatable: bool,
    /// When another one is looked for, from and until when, and among which. A move that begins later
    /// would only end an answer.
    replace: Option<([Instant; 2], Successor<'a>)>,
}

impl<'a> Patience<'a> {
    /// Returns the patience with an engine that streams, or is about to. `since` is when the caller got
    /// its last event, or sent the request.
    pub(super) fn stream(
        req: &CallerRequest,
        since: Instant,
        successor: Option<Successor<'a>>,
    ) -> Self {
        let gaps = req.route.max_gap.map(|gap| gap * PROBE_GAPS);
        let abandoned = req.abandon_time();
        let first = abandoned.mul_f64(REPLACE_SHARE).max(MIN_REPLACE_SILENCE);
        let last = abandoned.mul_f64(LAST_REPLACE_SHARE);
        Self {
            probe: gaps.unwrap_or_default().max(MIN_PROBE_SILENCE),
            repeatable: req.kind().is_retryable(),
            replace: successor.map(|successor| ([since + first, since + last], successor)),
        }
    }

    /// Keeps the request with its upstream to the end if it may not be sent again.
    pub(super) fn repeatable(self, repeatable: bool) -> Self {
        Self {
            repeatable: self.repeatable && repeatable,
            ..self
        }
    }

    /// Returns the patience with an engine that prefills a prompt, which it should do within `limit`.
    pub(super) fn prefill(limit: Duration) -> Self {
        Self {
            probe: limit,
            repeatable: true,
            replace: None,
        }
    }

    /// Returns the patience with a plain upstream.
    pub(super) fn plain(req: &CallerRequest, successor: Option<Successor<'a>>) -> Self {
        let limit = req.route.target_latency.mul_f64(PLAIN_ATTEMPT_TARGETS);
        Self {
            probe: limit,
            repeatable: req.kind().is_retryable(),
            replace: successor.map(|successor| ([Instant::now() + limit, req.deadline], successor)),
        }
    }
}

/// Result of waiting for an upstream.
pub(super) enum Watched<T> {
    Answered(T),
    /// The upstream accepts no connections any longer, and the retry for another one is paid.
    Gone,
    /// The upstream was silent for long, and another one has a place. The retry is paid.
    Replaced(Box<Place>),
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
        place = silent => place.map_or(Watched::Gone, |place| Watched::Replaced(Box::new(place))),
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
    // The refusal of a search concerns another attempt, and this one may still be answered.
    let search = async |successor| match next_place(req, successor).await {
        Ok(place) => place,
        Err(_) => std::future::pending().await,
    };
    let replaced = async {
        if let Some(([first, last], successor)) = patience.replace {
            sleep_until(first).await;
            if let Ok(place) = timeout_at(last, search(successor)).await {
                return Some(place);
            }
        }
        std::future::pending().await
    };
    let gone = async {
        if req.is_forwarded() {
            // A new connection from here would show nothing of the upstream.
            std::future::pending::<()>().await;
        }
        if !liveness::until_gone(&req.ctx, upstream).await {
            req.ctx.record_outcome(&upstream.name, Outcome::Unreachable);
        }
        match patience.replace {
            // An upstream that refuses connections may still finish what it has begun.
            _ if !patience.repeatable => std::future::pending().await,
            Some((_, successor)) => Some(search(successor).await),
            None => {
                next_retry(req).await;
                None
            }
        }
    };
    tokio::select! {
        place = gone => place,
        place = replaced => place,
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
            Ok(place) => {
                drop(place);
                sleep(RETRY_INTERVAL).await;
            }
            Err(_) => sleep(PLACE_INTERVAL).await,
        }
    }
}
