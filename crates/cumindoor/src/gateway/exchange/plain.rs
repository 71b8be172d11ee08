//! Requests to plain services.

use std::time::Duration;

use border::Step;
use bytes::Bytes;
use coord::name::Upstream;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::Response;
use tokio::time::timeout;

use super::send::{self, Answer, Failure};
use super::{Job, millis, relay, wait};
use crate::gateway::answer::{Reason, Refusal};
use crate::gateway::board::Load;
use crate::gateway::health::Outcome;
use crate::gateway::place::Choice;
use crate::serve::engine::{OutBody, full_body};
use crate::serve::headers;

/// Answers up to this size are read whole before the caller gets their first byte, so that a
/// broken one can be asked for again.
const WHOLE_BYTES: usize = 256 * 1024;
/// The share of the target that one attempt may take while another one can follow.
const ATTEMPT_SHARE: f64 = 1.2;
/// Upstreams beyond the allowed runs that may refuse a request before it is given up.
const REFUSALS: u32 = 2;
/// After what time a caller whose request was refused by the upstreams may come back.
const REFUSED_RETRY: Duration = Duration::from_millis(250);

/// What an attempt brought.
enum Tried {
    /// An answer for the caller.
    Answered(Response<OutBody>),
    /// A failure of the upstream, which the caller gets if no other attempt does better.
    Failed(Response<OutBody>),
}

/// Runs a request at one upstream after the other.
pub(super) async fn run(job: &Job) -> Result<Response<OutBody>, Refusal> {
    let mut tried: Vec<Upstream> = Vec::new();
    let mut runs = 0;
    let mut refusals = 0;
    let mut fallback = None;
    loop {
        let waited = wait::for_plain(job, &tried).await;
        let (choice, hold) = match (waited, fallback.take()) {
            (Ok(chosen), kept) => {
                fallback = kept;
                chosen
            }
            (Err(_), Some(kept)) => return Ok(kept),
            (Err(refusal), None) => return Err(job.truthful(refusal)),
        };
        tried.push(choice.name.clone());
        runs += 1;
        let repeats = job.kind().repeats() && runs < job.route.attempts;
        let attempt = attempt(job, &choice);
        let limit = job.route.target.mul_f64(ATTEMPT_SHARE);
        let outcome = if repeats {
            let late = |_| send::lost(job, &choice, "no answer in time");
            timeout(limit, attempt)
                .await
                .map_err(late)
                .and_then(|tried| tried)
        } else {
            attempt.await
        };
        drop(hold);
        let again = match outcome {
            Ok(Tried::Answered(response)) => return Ok(response),
            Ok(Tried::Failed(response)) => {
                fallback = Some(response);
                repeats
            }
            Err(failure) => {
                if failure.unrun() {
                    runs -= 1;
                    refusals += 1;
                    refusals <= REFUSALS
                } else {
                    repeats
                }
            }
        };
        if !again || !job.gate.try_repeat(&job.service) {
            let refusal = job.refusal(Reason::Refused, Reason::Broken, REFUSED_RETRY);
            return fallback.ok_or(refusal);
        }
    }
}

async fn attempt(job: &Job, choice: &Choice) -> Result<Tried, Failure> {
    let answer = send::send(job, choice, Step::Whole, None).await?;
    let status = answer.head.status;
    let response = whole(job, choice, answer).await?;
    let ms = millis(job.started.elapsed());
    let (id, upstream) = (&*job.ask.id, choice.name.as_str());
    log::info!(id, upstream, status = status.as_u16(), ms; "request answered");
    if status.is_server_error() {
        job.gate.note(&choice.name, Outcome::Failed);
        job.gate.telemetry.count("answer.failed");
        return Ok(Tried::Failed(response));
    }
    job.gate.note(&choice.name, Outcome::Answered);
    job.gate.telemetry.count("answer.delivered");
    job.gate
        .telemetry
        .time("answer.time", job.started.elapsed());
    Ok(Tried::Answered(response))
}

/// Reads the answer whole if it is small, so that a broken one never reaches the caller.
pub(super) async fn whole(
    job: &Job,
    choice: &Choice,
    answer: Answer,
) -> Result<Response<OutBody>, Failure> {
    let Answer {
        mut head,
        body,
        lease,
        ..
    } = answer;
    let announced = hyper::body::Body::size_hint(&body).lower();
    headers::strip(&mut head.headers);
    if announced > WHOLE_BYTES as u64 {
        let body = relay::passing(body, lease, job.deadline);
        return Ok(Response::from_parts(head, body));
    }
    match Limited::new(body, WHOLE_BYTES).collect().await {
        Ok(whole) => {
            lease.release();
            let body: Bytes = whole.to_bytes();
            Ok(Response::from_parts(head, full_body(body)))
        }
        Err(error) => {
            let text = if error.is::<LengthLimitError>() {
                "the answer without a length is too large"
            } else {
                "the answer broke off"
            };
            Err(send::lost(job, choice, text))
        }
    }
}

/// What one plain request adds to the load of its upstream.
pub(super) const LOAD: Load = Load {
    requests: 1,
    unread: 0,
    memory: 0,
};
