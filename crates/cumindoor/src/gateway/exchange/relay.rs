//! Relays streams from a decode engine to the caller.
//!
//! A broken stream is resumed at another engine if its route allows that. Otherwise the response
//! ends without its last chunk, so that the caller cannot take a partial stream for a complete one.

use std::sync::Arc;
use std::time::Duration;

use border::Step;
use bytes::Bytes;
use coord::time::Time;
use futures::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::Response;
use hyper::body::{Frame, Incoming};
use hyper::header::CONTENT_LENGTH;
use tokio::time::{Instant, timeout_at};

use super::send::{self, Answer, Failure};
use super::{CallerGuard, CallerRequest, millis, plain, wait};
use crate::gateway::answer::{Reason, Refusal};
use crate::gateway::context::Reservation;
use crate::gateway::crash_watch::{self, AttemptGuard};
use crate::gateway::events::EventBuffer;
use crate::gateway::health::Outcome;
use crate::gateway::placement::{Choice, Demand};
use crate::serve::engine::pool::error_chain;
use crate::serve::engine::{BodyError, BoxedBody, Lease};
use crate::serve::headers;

/// A resumable stream is moved to another engine after a silence of this many times the route's
/// longest gap.
const MAX_SILENT_GAPS: u32 = 4;
/// Silence after which a resumable stream is moved if its route states no gap.
const DEFAULT_MAX_SILENCE: Duration = Duration::from_secs(2);

/// A request that was accepted by a decode engine.
pub(super) struct DecodeRun {
    pub(super) choice: Choice,
    /// When the request was first placed or, after a resume, when the engine accepted it.
    pub(super) placed: Time,
    pub(super) reservation: Reservation,
    pub(super) demand: Demand,
}

/// Returns the response to the caller, whose body relays the engine's stream.
pub(super) async fn respond(
    req: &Arc<CallerRequest>,
    run: DecodeRun,
    answer: Answer,
) -> Result<Response<BoxedBody>, Refusal> {
    if !answer.head.status.is_success() {
        let status = answer.head.status.as_u16();
        let passed = plain::buffer_small(req, &run.choice, answer).await;
        req.ctx.record_outcome(&run.choice.name, Outcome::Failed);
        log::info!(id = &*req.meta.id, status; "engine failure passed on");
        return passed.map_err(|_| Refusal::new(Reason::Broken));
    }
    let Answer {
        mut head,
        body,
        lease,
        guard,
        ..
    } = answer;
    headers::strip(&mut head.headers);
    // Events that the caller already has are left out, so the length may differ.
    head.headers.remove(CONTENT_LENGTH);
    lease.begin_part();
    let relay = Relay {
        req: Arc::clone(req),
        engine_started: req.ctx.now(),
        run: Some(run),
        source: Some((body, lease, guard)),
        events: EventBuffer::after(req.meta.last_event_id),
        attempts: 1,
        awaiting_first: true,
        ended: false,
        caller_guard: CallerGuard::new(req.meta.id.clone(), req.started),
    };
    let frames = stream::unfold(relay, |mut relay| async move {
        let frame = relay.next().await?;
        Some((frame, relay))
    });
    let body = StreamBody::new(frames).boxed_unsync();
    Ok(Response::from_parts(head, body))
}

/// Returns a body that relays bytes as they arrive, until `deadline`.
pub(super) fn pass_through(
    body: Incoming,
    (lease, guard): (Lease, AttemptGuard),
    deadline: Instant,
) -> BoxedBody {
    let frames = stream::unfold(Some((body, lease, guard)), move |source| async move {
        let (mut body, lease, mut guard) = source?;
        match timeout_at(deadline, body.frame()).await {
            Ok(Some(Ok(frame))) => {
                guard.record_output();
                Some((Ok(frame), Some((body, lease, guard))))
            }
            Ok(Some(Err(error))) => Some((Err(error.into()), None)),
            Ok(None) => {
                lease.release();
                guard.completed();
                None
            }
            Err(_) => Some((Err("the request's deadline has passed".into()), None)),
        }
    });
    StreamBody::new(frames).boxed_unsync()
}

struct Relay {
    req: Arc<CallerRequest>,
    /// When the current engine accepted the request.
    engine_started: Time,
    run: Option<DecodeRun>,
    source: Option<(Incoming, Lease, AttemptGuard)>,
    events: EventBuffer,
    attempts: u32,
    awaiting_first: bool,
    ended: bool,
    caller_guard: CallerGuard,
}

/// Result of a read from the engine's connection.
enum Received {
    Events(Bytes),
    End,
    Broken(String),
    TimedOut,
}

impl Relay {
    /// Returns the next frame, or `None` at the end of the stream.
    async fn next(&mut self) -> Option<Result<Frame<Bytes>, BodyError>> {
        while !self.ended {
            match self.receive().await {
                Received::Events(bytes) if bytes.is_empty() => {}
                Received::Events(bytes) => {
                    self.record_first_event();
                    return Some(Ok(Frame::data(bytes)));
                }
                Received::End => {
                    self.complete();
                    return None;
                }
                Received::Broken(text) => {
                    self.disconnect_engine(&text).await;
                    if !self.resume().await {
                        return Some(Err(self.abort("broken", &text)));
                    }
                }
                Received::TimedOut => {
                    return Some(Err(
                        self.abort("timed-out", "the request's deadline has passed")
                    ));
                }
            }
        }
        None
    }

    async fn receive(&mut self) -> Received {
        let Some((body, lease, guard)) = &mut self.source else {
            return Received::Broken("no engine is connected".to_owned());
        };
        let deadline = self.req.deadline;
        let silent_until = Instant::now() + max_silence(&self.req);
        let resumable =
            self.req.kind().is_retryable() && self.attempts < self.req.route.max_attempts;
        let until = if resumable {
            silent_until.min(deadline)
        } else {
            deadline
        };
        match timeout_at(until, body.frame()).await {
            Ok(Some(Ok(frame))) => match frame.into_data() {
                Ok(data) => {
                    guard.record_output();
                    let ended = self.events.ended();
                    let pushed = self.events.push(&data);
                    if self.events.ended() > ended {
                        lease.begin_part();
                    }
                    match pushed {
                        Ok(ready) => Received::Events(ready),
                        Err(error) => Received::Broken(error.to_string()),
                    }
                }
                Err(_) => Received::Events(Bytes::new()),
            },
            Ok(Some(Err(error))) => Received::Broken(error_chain(&error)),
            Ok(None) if self.events.is_at_boundary() => Received::End,
            Ok(None) => Received::Broken("the stream ended in the middle of an event".to_owned()),
            Err(_) if until < deadline => Received::Broken("silent".to_owned()),
            Err(_) => Received::TimedOut,
        }
    }

    fn record_first_event(&mut self) {
        if !std::mem::replace(&mut self.awaiting_first, false) {
            return;
        }
        let ctx = &self.req.ctx;
        if let Some(run) = &mut self.run {
            run.reservation.end_trial();
            let took = ctx.now().since(run.placed);
            ctx.update_times(&self.req.service, |times| times.record_lead_time(took));
        }
        let waited = self.req.started.elapsed();
        self.req.ctx.telemetry.time("stream.first", waited);
        let upstream = self.run.as_ref().map(|run| run.choice.name.clone());
        let upstream = upstream.as_ref().map_or("", |name| name.as_str());
        let on_time = waited <= self.req.route.target_latency;
        log::info!(id = &*self.req.meta.id, upstream, ms = millis(waited), on_time; "stream started");
    }

    fn complete(&mut self) {
        self.ended = true;
        self.caller_guard.disarm();
        let ctx = &self.req.ctx;
        if let Some((_, lease, guard)) = self.source.take() {
            lease.release();
            guard.completed();
        }
        if let Some(run) = self.run.take() {
            ctx.record_outcome(&run.choice.name, Outcome::Answered);
        }
        let held = ctx.now().since(self.engine_started);
        ctx.update_times(&self.req.service, |times| times.record_residence(held));
        ctx.telemetry.count("stream.complete");
        ctx.telemetry
            .time("stream.time", self.req.started.elapsed());
        let ms = millis(self.req.started.elapsed());
        let last = self.events.last_id().unwrap_or_default();
        let prompt = self.req.meta.prompt.unwrap_or_default();
        let (tokens, limit) = (prompt.tokens, prompt.output_limit);
        let estimate = prompt.output_estimate.unwrap_or_default();
        log::info!(
            id = &*self.req.meta.id, tokens, limit, estimate, last, ms, runs = self.attempts;
            "stream complete"
        );
    }

    /// Closes the connection to the current engine, which makes it stop generating, and records the
    /// request as lost there.
    async fn disconnect_engine(&mut self, text: &str) {
        self.source = None;
        self.events.discard_partial();
        if let Some(run) = self.run.take() {
            send::record_lost(&self.req, &run.choice, text);
            crash_watch::settle(&self.req.ctx, self.req.content, &run.choice.name).await;
        }
    }

    fn abort(&mut self, reason: &str, text: &str) -> BodyError {
        self.ended = true;
        self.caller_guard.disarm();
        self.source = None;
        self.run = None;
        self.req.ctx.telemetry.count(&format!("stream.{reason}"));
        let ms = millis(self.req.started.elapsed());
        let last = self.events.last_id().unwrap_or_default();
        log::info!(id = &*self.req.meta.id, reason, last, ms; "stream cut");
        text.to_owned().into()
    }

    /// Resumes the stream at another engine after the last event that was sent to the caller.
    /// Returns false if the route or the retry budget does not allow that, or if the attempt fails.
    async fn resume(&mut self) -> bool {
        let req = Arc::clone(&self.req);
        let allowed = req.kind().is_retryable() && self.attempts < req.route.max_attempts;
        let (Some(model), Some(prompt)) = (req.def.model.clone(), req.meta.prompt) else {
            return false;
        };
        if !allowed || req.refuse_poison().is_err() || !req.ctx.try_retry(&req.service) {
            return false;
        }
        self.attempts += 1;
        let demand = Demand::new(&prompt, &model);
        let last = self.events.last_id();
        let resuming = async {
            loop {
                let (choice, mut reservation) =
                    wait::for_resume(&req, &model, demand).await.ok()?;
                let place = (&choice, &mut reservation);
                let sent = send::send(&req, place, Step::EndToEnd, last).await;
                if matches!(sent, Err(Failure::Withdrawn | Failure::Limited)) {
                    continue;
                }
                let answer = sent.ok().filter(|a| a.head.status.is_success())?;
                let run = DecodeRun {
                    choice,
                    placed: req.ctx.now(),
                    reservation,
                    demand,
                };
                return Some((run, answer));
            }
        };
        let Ok(Some((run, answer))) = timeout_at(req.deadline, resuming).await else {
            return false;
        };
        let upstream = run.choice.name.as_str();
        let last = self.events.last_id().unwrap_or_default();
        log::info!(id = &*req.meta.id, upstream, last, memory = run.demand.kv_tokens; "stream resumed");
        req.ctx.telemetry.count("stream.resumed");
        self.engine_started = req.ctx.now();
        answer.lease.begin_part();
        self.run = Some(run);
        self.source = Some((answer.body, answer.lease, answer.guard));
        true
    }
}

fn max_silence(req: &CallerRequest) -> Duration {
    let gaps = req.route.max_gap.map(|gap| gap * MAX_SILENT_GAPS);
    gaps.unwrap_or(DEFAULT_MAX_SILENCE)
}
