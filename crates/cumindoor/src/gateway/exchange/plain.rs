//! Requests to plain services.

use std::time::Duration;

use border::Step;
use coord::name::Upstream;
use hyper::Response;

use super::copies::{self, Course};
use super::send::{self, Answer, Failure};
use super::silence::{self, Successor, Watched};
use super::{CallerRequest, millis, origin, pace, relay, wait};
use crate::gateway::admission::load_table::Load;
use crate::gateway::admission::placement::Choice;
use crate::gateway::callers::answer::{Reason, Refusal};
use crate::gateway::callers::body::{self, ReadError};
use crate::gateway::callers::memory::ledger::Kind;
use crate::gateway::context::Reservation;
use crate::gateway::crash_watch;
use crate::gateway::engines::health::Outcome;
use crate::serve::engine::{BoxedBody, full_body};
use crate::serve::headers;

/// Answers up to this size are buffered before their first byte is sent to the caller, so that the
/// request can be retried if the answer breaks off.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;
/// Maximum number of attempts without execution, such as refusals, after which a request is sent to
/// another upstream. They do not count towards the route's maximum number of attempts.
const MAX_REFUSALS: u32 = 2;
/// Retry time sent to callers whose request the upstreams refused.
const REFUSED_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Result of an attempt that was answered.
pub(super) enum AttemptResult {
    /// An answer for the caller.
    Answered(Response<BoxedBody>),
    /// A server error, which is sent to the caller if no later attempt is answered.
    Failed(Response<BoxedBody>),
}

/// Result of an attempt.
pub(super) type Attempted = Result<AttemptResult, Failure>;

/// Sends a request to one upstream after the other.
pub(super) async fn run(req: &CallerRequest) -> Result<Response<BoxedBody>, Refusal> {
    let mut tried: Vec<Upstream> = Vec::new();
    let mut attempts = 0;
    let mut refusals = 0;
    let mut fallback = None;
    let mut next = None;
    // Whether an upstream that may have answered was given up. What others lack is then waited for.
    let mut moved = false;
    copies::count(req);
    loop {
        let waited = match next.take() {
            Some(place) => Ok(place),
            None => wait::for_plain(req, &tried).await,
        };
        let (choice, mut reservation) = match (waited, fallback.take()) {
            (Ok(chosen), kept) => {
                fallback = kept;
                chosen
            }
            (Err(_), Some(kept)) => return Ok(kept),
            (Err(refusal), None) => return Err(req.broken_if_executed(refusal)),
        };
        tried.push(choice.name.clone());
        attempts += 1;
        let course = Course {
            tried: &mut tried,
            attempts: &mut attempts,
        };
        let ended = copies::attempt(req, (&choice, &mut reservation), course).await;
        let choice = ended.copy.unwrap_or(choice);
        fallback = ended.failed.or(fallback);
        let may_retry = req.kind().is_retryable() && attempts < req.route.max_attempts;
        let outcome = match ended.outcome {
            Watched::Answered(outcome) => outcome,
            Watched::Gone => Err(send::record_lost(req, &choice, silence::GONE)),
            Watched::Replaced(place) => {
                next = Some(*place);
                moved = true;
                Err(send::record_lost(req, &choice, silence::REPLACED))
            }
        };
        let retry = match outcome {
            Ok(AttemptResult::Answered(response)) => return Ok(response),
            Ok(AttemptResult::Failed(response)) => {
                fallback = Some(response);
                may_retry
            }
            Err(Failure::NoPath) => return fallback.ok_or(req.no_path()),
            Err(Failure::Withdrawn) => {
                attempts -= 1;
                if !moved {
                    continue;
                }
                true
            }
            // Others may have room, and this one later.
            Err(Failure::Limited | Failure::Suspected) => {
                tried.pop();
                attempts -= 1;
                if !moved {
                    continue;
                }
                true
            }
            Err(failure) => {
                if may_retry && !failure.not_executed() {
                    crash_watch::settle(&req.ctx, &req.content, &choice.name).await;
                }
                if failure.not_executed() {
                    attempts -= 1;
                    refusals += 1;
                    if moved {
                        tried.pop();
                    }
                    moved || refusals <= MAX_REFUSALS
                } else {
                    may_retry
                }
            }
        };
        if retry && moved && next.is_none() && fallback.is_none() {
            let successor = Successor::Plain(&tried);
            next = Some(silence::next_place(req, successor).await?);
        }
        if next.is_some() {
            // The retry is paid. The upstream may have crashed.
            req.refuse_poison()?;
            continue;
        }
        if !retry || !req.may_send() {
            let refusal = req.refusal(Reason::Refused, Reason::Broken, REFUSED_RETRY_AFTER);
            return fallback.ok_or(refusal);
        }
    }
}

/// Sends a request to one upstream and reads its answer.
pub(super) async fn attempt(
    req: &CallerRequest,
    (choice, reservation): (&Choice, &mut Reservation),
) -> Attempted {
    let asked = req.ctx.now();
    let answer = send::send(req, (choice, reservation), Step::EndToEnd, None).await?;
    let status = answer.head.status;
    let response = buffer_small(req, choice, answer).await?;
    if status.is_success() && !req.kind().is_stream() {
        pace::record_call(req, choice, req.ctx.now().since(asked));
    }
    if req.kind().is_stream() && status.is_success() {
        let has_other_build = req.ctx.state().directory.has_other_build(choice);
        if has_other_build && req.build().is_some() {
            return Err(send::record_lost(req, choice, relay::RESTARTED));
        }
        if !has_other_build {
            // The answer is there, so its origin need not be told again.
            drop(origin::bind(req, choice).await);
        }
    }
    let ms = millis(req.started.elapsed());
    let (id, upstream) = (&*req.meta.id, choice.name.as_str());
    log::info!(id, upstream, status = status.as_u16(), ms; "request answered");
    if status.is_server_error() {
        req.ctx.record_outcome(&choice.name, Outcome::Failed);
        req.ctx.telemetry.count("answer.failed");
        return Ok(AttemptResult::Failed(response));
    }
    req.ctx.record_outcome(&choice.name, Outcome::Answered);
    req.ctx.telemetry.count("answer.delivered");
    req.ctx.telemetry.time("answer.time", req.started.elapsed());
    Ok(AttemptResult::Answered(response))
}

/// Buffers a small answer, so that one that breaks off never reaches the caller; a large one is
/// relayed.
pub(super) async fn buffer_small(
    req: &CallerRequest,
    choice: &Choice,
    answer: Answer,
) -> Result<Response<BoxedBody>, Failure> {
    let Answer {
        mut head,
        mut body,
        lease,
        guard,
        ..
    } = answer;
    let hint = hyper::body::Body::size_hint(&body);
    let announced = hint.lower();
    headers::strip(&mut head.headers);
    if announced > MAX_BUFFERED_BYTES as u64 {
        let body = relay::pass_through(
            body,
            (Some(lease), guard),
            req.deadline,
            Some(req.memory.clone()),
        );
        return Ok(Response::from_parts(head, body));
    }
    let length = hint.exact().and_then(|length| usize::try_from(length).ok());
    let mut buffer = req.memory.buffer(length, MAX_BUFFERED_BYTES);
    let read = body::read(&mut body, &mut buffer, MAX_BUFFERED_BYTES).await;
    match read.and_then(|()| buffer.finish(Kind::Unread).map_err(ReadError::Evicted)) {
        Ok(body) => {
            lease.release();
            guard.completed();
            Ok(Response::from_parts(head, full_body(body)))
        }
        Err(error) => {
            let text = match error {
                ReadError::TooLarge => {
                    "an answer without a content-length exceeds the buffer limit"
                }
                ReadError::Broken(_) => "the connection broke off within the answer",
                ReadError::Evicted(_) => "no memory is left for the answer",
            };
            Err(send::record_lost(req, choice, text))
        }
    }
}

/// Load of one plain request.
pub(super) const PLAIN_LOAD: Load = Load {
    requests: 1,
    unprefilled_tokens: 0,
    kv_tokens: 0,
};
