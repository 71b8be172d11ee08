//! Second copies of plain requests that take longer than usual.
//!
//! [`coord::hedge`] decides. See `docs/design/slow-answers.md`.

use std::pin::{Pin, pin};

use border::RouteKind;
use coord::hedge::{Hedge, Situation, SizeClass};
use coord::name::Upstream;
use hyper::Response;
use tokio::time::{Instant, sleep};

use super::plain::{self, AttemptResult, Attempted, PLAIN_LOAD};
use super::silence::{self, Patience, Place, Successor, Watched};
use super::{CallerRequest, millis, wait};
use crate::gateway::admission::load_table::service_key;
use crate::gateway::admission::placement::{Choice, believed_slots, usual_slots};
use crate::gateway::context::{Reservation, State};
use crate::gateway::crash_watch::{self, Standing};
use crate::serve::engine::BoxedBody;

/// Share of the retry budget that copies may use. The rest is kept for requests that failed.
const RETRY_SHARE: f64 = 0.75;

/// How an attempt and its copy, if there was one, ended.
pub(super) struct Ended {
    /// The upstream of the copy, if the outcome is that of the copy.
    pub(super) copy: Option<Choice>,
    pub(super) outcome: Watched<Attempted>,
    /// A server error of one of the two, if the outcome is that of the other.
    pub(super) failed: Option<Response<BoxedBody>>,
}

/// What was done for a request so far.
pub(super) struct Course<'a> {
    pub(super) tried: &'a mut Vec<Upstream>,
    pub(super) attempts: &'a mut u32,
}

impl Course<'_> {
    fn may_retry(&self, req: &CallerRequest) -> bool {
        req.kind().is_retryable() && *self.attempts < req.route.max_attempts
    }

    fn patience(&self, req: &CallerRequest) -> Patience<'_> {
        let may_retry = self.may_retry(req);
        let successor = may_retry.then_some(Successor::Plain(self.tried));
        Patience::plain(req, successor).repeatable(may_retry)
    }
}

/// Counts a request, of which a share may be copied.
pub(super) fn count(req: &CallerRequest) {
    let share = share(req);
    if share > 0.0 {
        with_hedge(req, |hedge| hedge.count_request(share));
    }
}

fn share(req: &CallerRequest) -> f64 {
    req.ctx.settings().copies.share.0
}

fn with_hedge<T>(req: &CallerRequest, change: impl FnOnce(&mut Hedge) -> T) -> T {
    let mut state = req.ctx.state();
    change(state.copies.entry(req.service.clone()).or_default())
}

/// Returns whether the request may be at two upstreams at once.
fn is_copied(req: &CallerRequest) -> bool {
    req.kind() == RouteKind::Idempotent && share(req) > 0.0
}

fn class(req: &CallerRequest) -> SizeClass {
    SizeClass::of_bytes(req.body.len())
}

/// Makes an attempt, and a copy of it if it takes longer than usual.
pub(super) async fn attempt(
    req: &CallerRequest,
    (choice, reservation): (&Choice, &mut Reservation),
    course: Course<'_>,
) -> Ended {
    let sent = Instant::now();
    let executed = req.may_have_executed();
    let mut first = pin!(plain::attempt(req, (choice, reservation)));
    let alone = {
        let watched = silence::watch(req, choice, course.patience(req), first.as_mut());
        tokio::select! {
            biased;
            outcome = watched => Err(outcome),
            place = late(req, &course) => Ok(place),
        }
    };
    match alone {
        Ok(place) => {
            // Few requests are copied, so that the state of a copy is not kept for each of them.
            Box::pin(race(req, (choice, first, sent), place, course, executed)).await
        }
        Err(outcome) => {
            record(req, &outcome, sent);
            Ended {
                copy: None,
                outcome,
                failed: None,
            }
        }
    }
}

/// Returns a place for a copy once the attempt has taken longer than usual. Never returns if no copy may be sent.
async fn late(req: &CallerRequest, course: &Course<'_>) -> Place {
    let usual = (is_copied(req) && course.may_retry(req))
        .then(|| with_hedge(req, |hedge| hedge.usual_time(req.ctx.now(), class(req))));
    if let Some(usual) = usual.flatten() {
        sleep(usual).await;
        if let Some(place) = take_place(req, course.tried) {
            return place;
        }
        req.ctx.telemetry.count("copy.denied");
    }
    std::future::pending().await
}

/// Takes a place for a copy at an upstream that has one at hand, and pays for it.
fn take_place(req: &CallerRequest, tried: &[Upstream]) -> Option<Place> {
    let ctx = &req.ctx;
    let suspect = req.standing() > Standing::Clear;
    // The time at another gateway says nothing of the upstream.
    if req.is_forwarded() {
        return None;
    }
    let choice = {
        let mut state = ctx.state();
        let choice = wait::placer(req, &mut state, None).choose_plain(&req.service, tried)?;
        // If no upstream is healthy, the one to be tried again was chosen.
        let endpoint = state.directory.get(&choice.name)?;
        if endpoint.health.is_doubtful() {
            return None;
        }
        let situation = Situation {
            used: used(req, &state),
            waiting: has_waiting(req, &state),
            suspect,
        };
        let hedge = state.copies.entry(req.service.clone()).or_default();
        hedge.try_copy(&situation).then_some(choice)?
    };
    let is_paid = ctx.has_retry_of(&req.service, RETRY_SHARE) && req.may_send();
    if !is_paid {
        with_hedge(req, Hedge::return_copy);
        return None;
    }
    let reservation = ctx.reserve(choice.key, PLAIN_LOAD);
    Some((choice, reservation))
}

/// Returns the share of the places at the upstreams of the service that is taken.
fn used(req: &CallerRequest, state: &State) -> f64 {
    let usual = usual_slots(&state.directory, &req.service);
    let upstreams = state.directory.usable(&req.service, None, None);
    let (taken, places) = upstreams.fold((0.0, 0.0), |(taken, places), endpoint| {
        let requests = state.loads.load(endpoint.key).requests;
        let slots = believed_slots(endpoint.entry.slots, usual);
        (taken + f64::from(requests), places + f64::from(slots))
    });
    taken / f64::max(places, 1.0)
}

fn has_waiting(req: &CallerRequest, state: &State) -> bool {
    let here = state.queues.get(&req.service);
    let here = here.map(|queue| queue.waiting(req.ctx.now()).requests);
    let elsewhere = state.loads.waiting_at_peers(service_key(&req.service));
    here.unwrap_or_default() + elsewhere.requests > 0
}

/// Waits for the first answer of an attempt and its copy. A failure of one ends nothing while the other one goes on,
/// as the retry that it is.
async fn race(
    req: &CallerRequest,
    (choice, mut first, first_sent): (&Choice, Pin<&mut impl Future<Output = Attempted>>, Instant),
    (copy, mut reservation): Place,
    course: Course<'_>,
    executed: bool,
) -> Ended {
    let sent = Instant::now();
    course.tried.push(copy.name.clone());
    *course.attempts += 1;
    log_copy(req, (choice, &copy), first_sent);
    let mut second = pin!(plain::attempt(req, (&copy, &mut reservation)));
    // None of the two is replaced by a third while both run.
    let patience = Patience::plain(req, None).repeatable(false);
    let (is_copy, outcome) = {
        let one = silence::watch(req, choice, patience, first.as_mut());
        let other = silence::watch(req, &copy, patience, second.as_mut());
        tokio::select! {
            biased;
            outcome = one => (false, outcome),
            outcome = other => (true, outcome),
        }
    };
    if is_answer(&outcome) {
        let ([loser, _], [lost, won]) = if is_copy {
            ([choice, &copy], [first_sent, sent])
        } else {
            ([&copy, choice], [sent, first_sent])
        };
        // It is cancelled when its future is dropped, which is no sign of a crash.
        crash_watch::withdraw(&req.ctx, &req.meta.id, &loser.name);
        record(req, &outcome, won);
        let (now, class) = (req.ctx.now(), class(req));
        with_hedge(req, |hedge| {
            hedge.record_cancelled(now, class, lost.elapsed());
        });
        return end(req, is_copy.then(|| copy.clone()), outcome, None);
    }
    let mut failed = None;
    let mut may_have_run = executed;
    match outcome {
        Watched::Answered(Err(failure)) if failure.not_executed() => *course.attempts -= 1,
        Watched::Answered(Ok(AttemptResult::Failed(response))) => {
            failed = Some(response);
            may_have_run = true;
        }
        _ => may_have_run = true,
    }
    // The failed one may have taken back that the request may run.
    req.set_maybe_executed(true);
    let (left, left_sent) = if is_copy {
        (choice, first_sent)
    } else {
        (&copy, sent)
    };
    course.tried.retain(|name| *name != left.name);
    course.tried.push(left.name.clone());
    let patience = course.patience(req);
    let outcome = if is_copy {
        silence::watch(req, choice, patience, first).await
    } else {
        silence::watch(req, &copy, patience, second).await
    };
    record(req, &outcome, left_sent);
    if let Watched::Answered(Err(failure)) = &outcome
        && failure.not_executed()
    {
        req.set_maybe_executed(may_have_run);
    }
    end(req, (!is_copy).then(|| copy.clone()), outcome, failed)
}

fn end(
    req: &CallerRequest,
    copy: Option<Choice>,
    outcome: Watched<Attempted>,
    failed: Option<Response<BoxedBody>>,
) -> Ended {
    if copy.is_some() && is_answer(&outcome) {
        req.ctx.telemetry.count("copy.won");
    }
    Ended {
        copy,
        outcome,
        failed,
    }
}

fn is_answer(outcome: &Watched<Attempted>) -> bool {
    matches!(outcome, Watched::Answered(Ok(AttemptResult::Answered(_))))
}

/// Records the latency of an attempt that was answered.
fn record(req: &CallerRequest, outcome: &Watched<Attempted>, sent: Instant) {
    if is_copied(req) && is_answer(outcome) {
        let (now, took) = (req.ctx.now(), sent.elapsed());
        with_hedge(req, |hedge| hedge.record(now, class(req), took));
    }
}

fn log_copy(req: &CallerRequest, (choice, copy): (&Choice, &Choice), first_sent: Instant) {
    req.ctx.telemetry.count("copy.sent");
    let (id, slow, upstream) = (&*req.meta.id, choice.name.as_str(), copy.name.as_str());
    let after_ms = millis(first_sent.elapsed());
    log::info!(id, slow, upstream, after_ms; "copy sent");
}
