//! A single attempt at one upstream, up to the head of its answer.

use std::sync::atomic::Ordering;
use std::time::Duration;

use border::{AttemptMeta, Reply, Step, Work};
use coord::time::Time;
use derive_more::Display;
use hyper::body::Incoming;
use hyper::header::CONTENT_ENCODING;
use hyper::http::response;
use hyper::{Request, StatusCode};
use tokio::time::sleep;

use super::{CallerRequest, pace};
use crate::gateway::admission::placement::Choice;
use crate::gateway::admission::rate_limits::{self, Permit};
use crate::gateway::context::Reservation;
use crate::gateway::crash_watch::{AttemptGuard, Standing};
use crate::gateway::engines::health::Outcome;
use crate::gateway::engines::links;
use crate::gateway::engines::statements;
use crate::gateway::fleet::forward;
use crate::serve::engine::{BoxedBody, Lease, PooledResponse, full_body};

/// Longest idle time after which a connection still carries a request that may be executed only
/// once. The upstream may have closed a connection that was idle for longer, and it would then be
/// unknown whether it received the request.
const MAX_IDLE_AT_MOST_ONCE: Duration = Duration::from_secs(1);
/// Longest idle time after which a connection still carries any other request.
const MAX_IDLE: Duration = Duration::from_secs(8);
/// Time without an answer, or anything else from the upstreams of the service, after which the links to them
/// are checked.
const QUIET_TIME: Duration = Duration::from_millis(600);

/// Head and body of an upstream's answer.
pub(super) struct Answer {
    pub(super) head: response::Parts,
    pub(super) reply: Reply,
    pub(super) body: Incoming,
    pub(super) lease: Lease,
    pub(super) guard: AttemptGuard,
}

/// Why an attempt failed.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub(super) enum Failure {
    /// Nothing was sent.
    #[display("{_0}")]
    Unsent(String),
    /// Nothing was sent, because the upstream is leaving or gone, or is another one by now.
    #[display("the upstream is no longer there")]
    Withdrawn,
    /// Nothing was sent, because the upstream's rate limit leaves no room or the upstream takes nothing for
    /// a while.
    #[display("the upstream takes no more requests at present")]
    Limited,
    /// Nothing was sent, because the retry budget is spent.
    #[display("the retry budget is spent")]
    Unpaid,
    /// Nothing was sent, because the request became a suspect after its place was chosen.
    #[display("the request has to be tried alone")]
    Suspected,
    /// Nothing was sent, because this gateway has lost its links and no other one forwards the request.
    #[display("no gateway forwards the request")]
    NoPath,
    /// Nothing listens at the address.
    #[display("{_0}")]
    ConnectionRefused(String),
    /// The upstream states that it did not execute the request, and may report its load.
    #[display("refused with {_0}, work {_1:?}")]
    Refused(StatusCode, Option<Work>),
    /// Another upstream has the address.
    #[display("another upstream listens at the address")]
    Misdirected,
    /// The request may have been executed.
    #[display("{_0}")]
    Lost(String),
}

impl Failure {
    /// Returns whether the request was certainly not executed.
    pub(super) fn not_executed(&self) -> bool {
        !matches!(self, Self::Lost(_))
    }

    /// Returns whether the upstream received the request.
    pub(super) fn reached_upstream(&self) -> bool {
        !matches!(
            self,
            Self::Unsent(_)
                | Self::Withdrawn
                | Self::Limited
                | Self::Unpaid
                | Self::Suspected
                | Self::NoPath
                | Self::ConnectionRefused(_)
        )
    }

    /// Returns what the failure says about the upstream, or `None` if it says nothing.
    fn outcome(&self) -> Option<Outcome> {
        match self {
            Self::Refused(..) => Some(Outcome::AtCapacity),
            Self::ConnectionRefused(_) | Self::Misdirected => Some(Outcome::Unreachable),
            Self::Unsent(_) | Self::Lost(_) => Some(Outcome::Lost),
            Self::Limited | Self::Withdrawn | Self::Unpaid | Self::Suspected | Self::NoPath => None,
        }
    }
}

/// Sends the request for one step and validates the head of the answer.
pub(super) async fn send(
    req: &CallerRequest,
    (choice, reservation): (&Choice, &mut Reservation),
    step: Step,
    last_event_id: Option<u64>,
) -> Result<Answer, Failure> {
    let prefill = step == Step::Prefill;
    links::settled(&req.ctx, &req.service).await;
    let forwarded = req.ctx.state().links.is_lost(&req.service);
    req.forwarded.store(forwarded, Ordering::Relaxed);
    let build = || build_request(req, choice, &step, last_event_id);
    let request = build()?;
    let mut permit = recheck(req, choice, reservation, prefill)
        .inspect_err(|failure| record_failure(req, choice, failure))?;
    let content = req.content.clone();
    let fingerprint = if prefill {
        content.prefill
    } else {
        content.run
    };
    req.repeats.add_arrival();
    if let Some(charge) = &req.charge {
        charge.keep();
    }
    let attempt = 1 + req.attempts.fetch_add(1, Ordering::Relaxed);
    rate_limits::log_use(&req.ctx, &req.meta.id, choice, attempt);
    let asked = req.ctx.now();
    permit.spend();
    let mut guard = AttemptGuard::new(
        &req.ctx,
        (&req.meta.id, content),
        fingerprint,
        choice,
        reservation.is_on_trial(),
    );
    let executed_before = req.may_have_executed();
    if !prefill {
        req.set_maybe_executed(true);
    }
    let idle = if req.kind().is_retryable() || prefill {
        MAX_IDLE
    } else {
        MAX_IDLE_AT_MOST_ONCE
    };
    let way = Way {
        forwarded,
        idle,
        prefill,
        on_trial: reservation.is_on_trial(),
    };
    let crashed = guard.crashed();
    let sent = tokio::select! {
        sent = dispatch(req, choice, way, (request, &build)) => sent,
        () = crashed.cancelled() => {
            Err(forward::Failure::Lost("the upstream crashed".to_owned()))
        }
        () = watch_links(req, asked), if !forwarded => unreachable!("links are watched to the end"),
    };
    let answered = match sent {
        Ok((connected, ticket)) => {
            guard.keep_ticket(ticket);
            req.record_heard();
            let (head, body) = connected.response.into_parts();
            let reply = req.ctx.dialect.parse_reply(head.status, &head.headers);
            if !is_foreign(req, &reply) {
                statements::record(&req.ctx, choice, &reply.statement);
                pace::record_stated(req, choice, &reply);
                let served = head.status.is_success() && (reply.signed || prefill);
                if served {
                    guard.record_success();
                }
                let genuine = served || reply.not_executed;
                rate_limits::record_reply(&req.ctx, choice, (&reply, asked), genuine);
            }
            let answer = Answer {
                head,
                reply,
                body,
                lease: connected.lease,
                guard,
            };
            validate(req, answer, prefill)
        }
        Err(forward::Failure::Lost(text)) => Err(Failure::Lost(text)),
        Err(unsent) => {
            permit.unspend();
            guard.not_executed();
            req.repeats.remove_arrival();
            Err(unsent_failure(req, choice, unsent))
        }
    };
    if prefill && answered.is_ok() {
        req.repeats.record_prefilled();
    }
    if let Err(failure) = &answered {
        record_failure(req, choice, failure);
        if !prefill && failure.not_executed() {
            req.set_maybe_executed(executed_before);
        }
    }
    answered
}

/// Checks what was true when the upstream was chosen, since the request may have waited for seconds: for a
/// place, a prefill, a trial or a token. Takes a token of the retry budget if the request was sent before,
/// and returns that of the upstream's rate limit.
fn recheck(
    req: &CallerRequest,
    choice: &Choice,
    reservation: &mut Reservation,
    prefill: bool,
) -> Result<Permit, Failure> {
    // A prefill writes no answer, so no part of the prompt crashes its engine.
    if !prefill && !reservation.is_on_trial() && req.standing() > Standing::Clear {
        return Err(Failure::Suspected);
    }
    let now = req.ctx.now();
    let paused = {
        let directory = &req.ctx.state().directory;
        // The stream may have been bound to a build after the upstream was chosen.
        let is_fitting = req.build().is_none_or(|build| choice.build == build);
        if !is_fitting || !directory.is_current(choice) {
            return Err(Failure::Withdrawn);
        }
        directory.statements.pause_left(now, choice.limit_key)
    };
    if paused.is_some() {
        return Err(Failure::Limited);
    }
    let permit = reservation.take_permit(choice);
    let permit = permit.ok_or(Failure::Limited)?;
    if !req.may_send() {
        return Err(Failure::Unpaid);
    }
    Ok(permit)
}

/// How an attempt gets to its upstream.
#[derive(Clone, Copy)]
struct Way {
    /// Whether it goes through another gateway.
    forwarded: bool,
    /// Longest idle time of a connection that carries it.
    idle: Duration,
    prefill: bool,
    on_trial: bool,
}

/// Sends a request and waits for the head of its answer. `build` makes it anew for each gateway that may forward
/// it.
async fn dispatch(
    req: &CallerRequest,
    choice: &Choice,
    way: Way,
    (request, build): (
        Request<BoxedBody>,
        &impl Fn() -> Result<Request<BoxedBody>, Failure>,
    ),
) -> Result<(PooledResponse, Option<forward::Ticket>), forward::Failure> {
    if way.forwarded {
        let times = [req.time_left(), way.idle];
        let attempt = forward::Attempt::new(choice, times, way.prefill, way.on_trial);
        let build = || build().ok();
        let sent = forward::send(&req.ctx, &req.service, &attempt, build).await;
        return sent.map(|(connected, ticket)| (connected, Some(ticket)));
    }
    let pool = &req.ctx.pool;
    // An upstream may have crashed unnoticed while its connection was idle. A new connection shows
    // that it runs when a suspect is sent, so that its crash can be told from an earlier one.
    let sent = if req.standing() > Standing::Clear {
        pool.send_fresh(choice.address, request).await
    } else {
        pool.send_with_max_idle(choice.address, request, way.idle)
            .await
    };
    Ok((sent?, None))
}

/// Starts a check of the links if nothing arrives from any upstream of the service for a while. Never returns.
async fn watch_links(req: &CallerRequest, asked: Time) {
    sleep(QUIET_TIME).await;
    if !req.ctx.state().links.has_heard_since(&req.service, asked) {
        links::suspect(&req.ctx, &req.service);
    }
    std::future::pending::<()>().await;
}

/// Translates why the upstream got nothing.
fn unsent_failure(req: &CallerRequest, choice: &Choice, unsent: forward::Failure) -> Failure {
    match unsent {
        forward::Failure::Unsent(text) => Failure::Unsent(text),
        forward::Failure::Refused(text) => Failure::ConnectionRefused(text),
        forward::Failure::Lost(text) => Failure::Lost(text),
        forward::Failure::Withdrawn => Failure::Withdrawn,
        forward::Failure::NoPath => Failure::NoPath,
        forward::Failure::Paused(ms) => {
            // The upstream said so to the other gateway. It is left alone from here as well, since the next request
            // could come by the same way.
            let (now, left) = (req.ctx.now(), Duration::from_millis(ms));
            let mut state = req.ctx.state();
            let statements = &mut state.directory.statements;
            statements.record_pause(now, choice.limit_key, left);
            Failure::Limited
        }
    }
}

/// Records that a request was lost at an upstream.
pub(super) fn record_lost(req: &CallerRequest, choice: &Choice, text: &str) -> Failure {
    let failure = Failure::Lost(text.to_owned());
    record_failure(req, choice, &failure);
    failure
}

/// Records and logs a failed attempt.
pub(super) fn record_failure(req: &CallerRequest, choice: &Choice, failure: &Failure) {
    req.ctx.telemetry.count("attempt.failed");
    let unanswered = matches!(
        failure,
        Failure::Unsent(_) | Failure::ConnectionRefused(_) | Failure::Lost(_)
    );
    if unanswered && !req.is_forwarded() {
        links::suspect(&req.ctx, &req.service);
    }
    if let Some(outcome) = failure.outcome() {
        req.ctx.record_outcome(&choice.name, outcome);
    }
    let (id, upstream) = (&*req.meta.id, choice.name.as_str());
    let (failure, left_ms) = (failure.to_string(), super::millis(req.time_left()));
    let load = req.ctx.state().loads.load(choice.key);
    let (content, attempt) = (
        req.content.to_string(),
        req.attempts.load(Ordering::Relaxed),
    );
    log::info!(
        id, content = content.as_str(), attempt, upstream, failure = failure.as_str(), left_ms,
        requests = load.requests, memory = load.kv_tokens;
        "attempt failed"
    );
}

fn build_request(
    req: &CallerRequest,
    choice: &Choice,
    step: &Step,
    last_event_id: Option<u64>,
) -> Result<Request<BoxedBody>, Failure> {
    let path = req
        .parts
        .uri
        .path_and_query()
        .map_or("/", |path| path.as_str());
    let mut request = Request::builder()
        .method(req.parts.method.clone())
        .uri(path)
        .body(full_body(req.body.clone()))
        .map_err(|error| Failure::Unsent(error.to_string()))?;
    let attempt = AttemptMeta {
        upstream: choice.name.clone(),
        time_left: Some(req.time_left()),
        step: step.clone(),
        last_event_id,
        organisation: req.organisation.as_ref().map(|def| def.name.clone()),
        priority: req.ctx.urgency_level(&req.service, req.urgency()),
    };
    let headers = request.headers_mut();
    headers.clone_from(&req.parts.headers);
    req.ctx.dialect.write_attempt(headers, &attempt);
    Ok(request)
}

fn answers_another(req: &CallerRequest, reply: &Reply) -> bool {
    reply.id.as_ref().is_some_and(|id| *id != req.meta.id)
}

/// Returns whether an answer says nothing about the upstream to which the request was sent.
fn is_foreign(req: &CallerRequest, reply: &Reply) -> bool {
    reply.misdirected || answers_another(req, reply)
}

/// Accepts an answer that belongs to the request and has the required headers.
fn validate(req: &CallerRequest, answer: Answer, prefill: bool) -> Result<Answer, Failure> {
    let (status, reply) = (answer.head.status, &answer.reply);
    if answers_another(req, reply) {
        return Err(Failure::Lost(
            "the answer belongs to another request".to_owned(),
        ));
    }
    if reply.misdirected {
        answer.guard.not_executed();
        return Err(Failure::Misdirected);
    }
    if reply.not_executed {
        let work = reply.work;
        answer.guard.not_executed();
        return Err(Failure::Refused(status, work));
    }
    if prefill {
        return match status {
            StatusCode::OK => Ok(answer),
            _ => Err(Failure::Lost(format!(
                "the prefill was answered with {status} instead of 200"
            ))),
        };
    }
    if status.is_success() && !reply.signed {
        return Err(Failure::Lost(
            "the answer has no engine signature".to_owned(),
        ));
    }
    // Callers request no encoding, so encoded bytes are not the output of the upstream's service.
    if answer.head.headers.contains_key(CONTENT_ENCODING) {
        return Err(Failure::Lost(
            "the answer has a content-encoding, but none was requested".to_owned(),
        ));
    }
    // These statuses would tell the caller that the request was not executed, although the upstream
    // did not state that.
    let implies_not_executed = matches!(status.as_u16(), 408 | 421 | 429 | 503);
    if implies_not_executed {
        return Err(Failure::Lost(format!(
            "status {status} without a statement that the request was not executed"
        )));
    }
    Ok(answer)
}
