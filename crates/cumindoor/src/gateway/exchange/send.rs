//! One attempt at one upstream, up to the head of its answer.

use std::time::Duration;

use border::{Reply, Stamp, Step, Work};
use derive_more::Display;
use hyper::body::Incoming;
use hyper::header::CONTENT_ENCODING;
use hyper::http::response;
use hyper::{Request, StatusCode};

use super::Job;
use crate::gateway::health::Outcome;
use crate::gateway::place::Choice;
use crate::serve::engine::{Lease, SendError, full_body};

/// Connections that were idle for longer carry no request that may run only once: the upstream
/// may have closed them without notice, and then nobody knows whether it received the request.
const ONCE_IDLE: Duration = Duration::from_secs(1);
/// Connections that were idle for longer carry no request at all.
const ANY_IDLE: Duration = Duration::from_secs(8);

/// The head of an upstream's answer.
pub(super) struct Answer {
    pub(super) head: response::Parts,
    pub(super) reply: Reply,
    pub(super) body: Incoming,
    pub(super) lease: Lease,
}

/// Why an attempt brought no answer.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub(super) enum Failure {
    /// Nothing was sent.
    #[display("{_0}")]
    Unsent(String),
    /// Nothing listens at the address.
    #[display("{_0}")]
    Unlistened(String),
    /// The upstream promises that it did not run the request; it may state its load.
    #[display("refused with {_0}, work {_1:?}")]
    Refused(StatusCode, Option<Work>),
    /// Another upstream has the address.
    #[display("another upstream has the address")]
    Misdirected,
    /// The request may have run.
    #[display("{_0}")]
    Lost(String),
}

impl Failure {
    /// Returns whether the request has certainly not run.
    pub(super) fn unrun(&self) -> bool {
        !matches!(self, Self::Lost(_))
    }

    /// Returns whether the upstream has received the request.
    pub(super) fn arrived(&self) -> bool {
        !matches!(self, Self::Unsent(_) | Self::Unlistened(_))
    }

    fn outcome(&self) -> Outcome {
        match self {
            Self::Refused(..) => Outcome::Full,
            Self::Unlistened(_) | Self::Misdirected => Outcome::Gone,
            Self::Unsent(_) | Self::Lost(_) => Outcome::Lost,
        }
    }
}

/// Sends the request for one step.
pub(super) async fn send(
    job: &Job,
    choice: &Choice,
    step: Step,
    resume: Option<u64>,
) -> Result<Answer, Failure> {
    let prefill = step == Step::Prefill;
    let request = request(job, choice, step, resume)?;
    let ran_before = job.may_have_run();
    if !prefill {
        job.set_maybe_ran(true);
    }
    let idle = if job.kind().repeats() || prefill {
        ANY_IDLE
    } else {
        ONCE_IDLE
    };
    let sent = job
        .gate
        .pool
        .send_within(choice.address, request, idle)
        .await;
    let answered = match sent {
        Ok(connected) => {
            let (head, body) = connected.response.into_parts();
            let reply = job.gate.dialect.reply(head.status, &head.headers);
            let answer = Answer {
                head,
                reply,
                body,
                lease: connected.lease,
            };
            check(job, answer, prefill)
        }
        Err(SendError::Unsent(text)) => Err(Failure::Unsent(text)),
        Err(SendError::Refused(text)) => Err(Failure::Unlistened(text)),
        Err(SendError::Sent(text)) => Err(Failure::Lost(text)),
    };
    if let Err(failure) = &answered {
        failed(job, choice, failure);
        if !prefill && failure.unrun() {
            job.set_maybe_ran(ran_before);
        }
    }
    answered
}

/// Notes that a request was lost at an upstream.
pub(super) fn lost(job: &Job, choice: &Choice, text: &str) -> Failure {
    let failure = Failure::Lost(text.to_owned());
    failed(job, choice, &failure);
    failure
}

/// Notes a failed attempt.
pub(super) fn failed(job: &Job, choice: &Choice, failure: &Failure) {
    job.gate.telemetry.count("attempt.failed");
    job.gate.note(&choice.name, failure.outcome());
    let (id, upstream) = (&*job.ask.id, choice.name.as_str());
    let (failure, left_ms) = (failure.to_string(), super::millis(job.left()));
    let believed = job.gate.state().board.load(choice.key);
    log::info!(
        id, upstream, failure = failure.as_str(), left_ms, requests = believed.requests,
        memory = believed.memory;
        "attempt failed"
    );
}

fn request(
    job: &Job,
    choice: &Choice,
    step: Step,
    resume: Option<u64>,
) -> Result<Request<crate::serve::engine::OutBody>, Failure> {
    let path = job
        .parts
        .uri
        .path_and_query()
        .map_or("/", |path| path.as_str());
    let mut request = Request::builder()
        .method(job.parts.method.clone())
        .uri(path)
        .body(full_body(job.body.clone()))
        .map_err(|error| Failure::Unsent(error.to_string()))?;
    let stamp = Stamp {
        upstream: choice.name.clone(),
        left: Some(job.left()),
        step,
        resume,
    };
    let headers = request.headers_mut();
    headers.clone_from(&job.parts.headers);
    job.gate.dialect.stamp(headers, &stamp);
    Ok(request)
}

/// Accepts an answer that belongs to the request and bears what it must.
fn check(job: &Job, answer: Answer, prefill: bool) -> Result<Answer, Failure> {
    let (status, reply) = (answer.head.status, &answer.reply);
    let other = reply.id.as_ref().is_some_and(|id| *id != job.ask.id);
    if other {
        return Err(Failure::Lost(
            "the answer belongs to another request".to_owned(),
        ));
    }
    if reply.misdirected {
        return Err(Failure::Misdirected);
    }
    if reply.unrun {
        return Err(Failure::Refused(status, reply.work));
    }
    if prefill {
        return match status {
            StatusCode::OK => Ok(answer),
            _ => Err(Failure::Lost(format!("prefill answered {status}"))),
        };
    }
    if status.is_success() && !reply.signed {
        return Err(Failure::Lost("the answer is not signed".to_owned()));
    }
    // The caller asked for none, so these bytes are not what the upstream's service made.
    if answer.head.headers.contains_key(CONTENT_ENCODING) {
        return Err(Failure::Lost("the answer is encoded".to_owned()));
    }
    // To the caller these promise that the request did not run, and the upstream has not said so.
    let promises = matches!(status.as_u16(), 408 | 421 | 429 | 503);
    if promises {
        return Err(Failure::Lost(format!("{status} without a promise")));
    }
    Ok(answer)
}
