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
use tokio::task::yield_now;
use tokio::time::{Instant, sleep, timeout_at};

use super::likeness::Likeness;
use super::pace::Pace;
use super::send::{self, Answer, Failure};
use super::silence::{self, Patience, Place, Successor, Watched};
use super::{CallerGuard, CallerRequest, millis, origin, plain};
use crate::gateway::admission::placement::{Choice, Demand};
use crate::gateway::callers::answer::{Reason, Refusal};
use crate::gateway::callers::memory::AnswerMemory;
use crate::gateway::context::Reservation;
use crate::gateway::crash_watch::{self, AttemptGuard};
use crate::gateway::engines::health::Outcome;
use crate::gateway::exchange::events::EventBuffer;
use crate::gateway::fleet::origins::RunningStream;
use crate::serve::engine::pool::error_chain;
use crate::serve::engine::{BodyError, BoxedBody, Lease};
use crate::serve::headers;

/// Time before a stream is sent to another engine after one did not take it.
const RESUME_DELAY: Duration = Duration::from_millis(20);

/// Text of the failure of an engine that started anew under its name.
pub(super) const RESTARTED: &str = "the engine started anew with another version";

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
    let likeness = Likeness::of(head.status, &head.headers);
    headers::strip(&mut head.headers);
    // Events that the caller already has are left out, so the length may differ.
    head.headers.remove(CONTENT_LENGTH);
    lease.begin_part();
    let relay = Relay {
        req: Arc::clone(req),
        engine_started: req.ctx.now(),
        run: Some(run),
        source: Some((body, lease, guard)),
        likeness,
        events: EventBuffer::after(req.meta.last_event_id),
        dispute: Dispute::Absent,
        origin: None,
        attempts: 1,
        awaiting_first: true,
        last_event: req.started,
        ended: false,
        caller_guard: CallerGuard::new(req.meta.id.clone(), req.started),
        pace: Pace::default(),
    };
    let frames = stream::unfold(relay, |mut relay| async move {
        let frame = relay.next().await?;
        Some((frame, relay))
    });
    let body = StreamBody::new(frames).boxed_unsync();
    Ok(Response::from_parts(head, body))
}

/// Returns a body that relays bytes as they arrive, until `deadline`. The connection is used again afterwards if its
/// lease is given.
pub(in crate::gateway) fn pass_through(
    body: Incoming,
    (lease, guard): (Option<Lease>, AttemptGuard),
    deadline: Instant,
    memory: Option<AnswerMemory>,
) -> BoxedBody {
    let memory = memory.map(Arc::new);
    let frames = stream::unfold(Some((body, lease, guard)), move |source| {
        let memory = memory.clone();
        async move {
            let (mut body, lease, mut guard) = source?;
            let read = async {
                let frame = body.frame().await;
                match (frame, &memory) {
                    (Some(Ok(frame)), Some(memory)) => Some(Ok(memory.hold_frame(frame).await)),
                    (frame, _) => frame,
                }
            };
            match timeout_at(deadline, read).await {
                Ok(Some(Ok(frame))) => {
                    guard.record_output();
                    Some((Ok(frame), Some((body, lease, guard))))
                }
                Ok(Some(Err(error))) => {
                    // The head is written first. Without it, the receiver could not tell an answer that breaks off from a
                    // gateway that ends.
                    yield_now().await;
                    Some((Err(error.into()), None))
                }
                Ok(None) => {
                    if let Some(lease) = lease {
                        lease.release();
                    }
                    guard.completed();
                    None
                }
                Err(_) => Some((Err("the request's deadline has passed".into()), None)),
            }
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
    /// What an answer that goes on with the stream has to look like.
    likeness: Likeness,
    events: EventBuffer,
    dispute: Dispute,
    /// The stream as other gateways know it, from its first event on.
    origin: Option<RunningStream>,
    attempts: u32,
    awaiting_first: bool,
    /// When the caller took the last event, or when it sent the request.
    last_event: Instant,
    ended: bool,
    caller_guard: CallerGuard,
    pace: Pace,
}

/// Whether the engine has another version by now, so that nobody can tell which one wrote the events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Dispute {
    Absent,
    /// Other gateways still have to be told.
    Open,
    Settled,
}

/// Result of a read from the engine's connection.
enum Received {
    Events(Bytes),
    End,
    Broken(String),
    /// The engine was silent for long, and another one has a place.
    Replaced(Place),
    TimedOut,
}

impl Relay {
    /// Returns the next frame, or `None` at the end of the stream.
    async fn next(&mut self) -> Option<Result<Frame<Bytes>, BodyError>> {
        if !self.awaiting_first {
            self.last_event = Instant::now();
        }
        while !self.ended {
            let received = self.receive().await;
            if let Err(error) = self.settle_dispute().await {
                return Some(Err(error));
            }
            match received {
                Received::Events(bytes) if bytes.is_empty() => {}
                Received::Events(bytes) => {
                    self.record_first_event().await;
                    return Some(Ok(Frame::data(bytes)));
                }
                Received::End => {
                    self.complete();
                    return None;
                }
                Received::Broken(text) => {
                    if let Err(error) = self.change_engine(&text, None).await {
                        return Some(Err(error));
                    }
                }
                Received::Replaced(place) => {
                    let changed = self.change_engine(silence::REPLACED, Some(place)).await;
                    if let Err(error) = changed {
                        return Some(Err(error));
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
        let (Some((body, lease, guard)), Some(run)) = (&mut self.source, &self.run) else {
            return Received::Broken("no engine is connected".to_owned());
        };
        let req = &*self.req;
        let may_change = req.kind().is_retryable()
            && self.attempts < req.route.max_attempts
            && self.dispute == Dispute::Absent;
        let tried = std::slice::from_ref(&run.choice.name);
        let model = req.def.model.as_ref().filter(|_| may_change);
        let successor = model.map(|model| Successor::Decode(model, run.demand, tried));
        let patience = Patience::stream(req, self.last_event, successor).repeatable(may_change);
        let watched = silence::watch(req, &run.choice, patience, body.frame());
        let frame = match timeout_at(req.deadline, watched).await {
            Ok(Watched::Answered(frame)) => frame,
            Ok(Watched::Gone) => return Received::Broken(silence::GONE.to_owned()),
            Ok(Watched::Replaced(place)) => return Received::Replaced(*place),
            Err(_) => return Received::TimedOut,
        };
        match frame {
            Some(Ok(frame)) => match frame.into_data() {
                Ok(data) => {
                    let nothing_relayed = self.awaiting_first || !guard.has_output();
                    if req.ctx.state().directory.has_other_build(&run.choice) {
                        if nothing_relayed {
                            return Received::Broken(RESTARTED.to_owned());
                        }
                        if self.dispute == Dispute::Absent {
                            self.dispute = Dispute::Open;
                        }
                    }
                    guard.record_output();
                    req.record_heard();
                    let ended = self.events.ended();
                    let pushed = self.events.push(&data);
                    if self.events.ended() > ended {
                        lease.begin_part();
                        self.pace.record(req, &run.choice, self.events.ended());
                    }
                    match pushed {
                        Ok(ready) => Received::Events(ready),
                        Err(error) => Received::Broken(error.to_string()),
                    }
                }
                Err(_) => Received::Events(Bytes::new()),
            },
            Some(Err(error)) => Received::Broken(error_chain(&error)),
            None if self.events.is_at_boundary() => Received::End,
            None => Received::Broken("the stream ended in the middle of an event".to_owned()),
        }
    }

    /// Tells other gateways that the origin of the stream is unknown, once it is disputed. One engine may go on alone, because its
    /// connection belongs to one start; events that other engines wrote before may be of another version, so
    /// such a stream ends with the error that is returned.
    async fn settle_dispute(&mut self) -> Result<(), BodyError> {
        if self.dispute != Dispute::Open {
            return Ok(());
        }
        self.dispute = Dispute::Settled;
        if let Some(origin) = self.origin.take() {
            origin.dispute().await;
        }
        if self.attempts > 1 || self.req.resumes() {
            return Err(self.abort("disputed", RESTARTED));
        }
        Ok(())
    }

    async fn record_first_event(&mut self) {
        if !std::mem::replace(&mut self.awaiting_first, false) {
            return;
        }
        if let Some(run) = &self.run {
            self.origin = origin::bind(&self.req, &run.choice).await;
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
        let version = self
            .req
            .build()
            .and_then(|build| origin::version(&self.req, build));
        let version = version.as_deref().unwrap_or("");
        log::info!(id = &*self.req.meta.id, upstream, version, ms = millis(waited), on_time; "stream started");
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
            crash_watch::settle(&self.req.ctx, &self.req.content, &run.choice.name).await;
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

    /// Gives the engine up and goes on at another one. Returns the error that ends the stream if that is
    /// not possible.
    async fn change_engine(&mut self, cause: &str, place: Option<Place>) -> Result<(), BodyError> {
        self.disconnect_engine(cause).await;
        let deadline = self.req.deadline;
        let until = match place {
            // The first engine may have gone on, so the move must not end the answer.
            Some(_) => deadline,
            // Nobody reads the events of an engine that is found later.
            None => deadline.min(self.last_event + self.req.abandon_time()),
        };
        let resumed = timeout_at(deadline, self.resume(place, until)).await;
        let resumed = resumed.unwrap_or(Err("no other engine took it in time"));
        resumed.map_err(|why| {
            let (id, silent_ms) = (&*self.req.meta.id, millis(self.last_event.elapsed()));
            log::info!(id, cause, why, attempts = self.attempts, silent_ms; "stream not resumed");
            self.abort("broken", cause)
        })
    }

    /// Resumes the stream after the last event that was sent to the caller, at the engine that has a
    /// place, or at others that are found by `until`. An engine that certainly did not run it is no reason to end the stream.
    /// Returns why it is not resumed if the route does not allow that.
    async fn resume(
        &mut self,
        mut place: Option<Place>,
        until: Instant,
    ) -> Result<(), &'static str> {
        let req = Arc::clone(&self.req);
        let (Some(model), Some(prompt)) = (&req.def.model, req.meta.prompt) else {
            return Err("the request states no prompt");
        };
        if !req.kind().is_retryable() {
            return Err("the route allows no resumption");
        }
        if self.dispute != Dispute::Absent {
            return Err("nobody knows the stream's version");
        }
        let demand = Demand::new(&prompt, model);
        let successor = Successor::Decode(model, demand, &[]);
        while self.attempts < req.route.max_attempts {
            if req.build().is_some() && !req.has_upstream_of_build(&req.ctx.state().directory) {
                return Err("no engine of the stream's version is left");
            }
            let taken = match place.take() {
                Some(taken) => taken,
                None => timeout_at(until, silence::next_place(&req, successor))
                    .await
                    .map_err(|_| "no other engine took it in time")?
                    .map_err(|_| "the request crashes upstreams")?,
            };
            if req.refuse_poison().is_err() {
                return Err("the request crashes upstreams");
            }
            match self.send(taken, demand).await {
                Ok(()) => return Ok(()),
                Err(failure) => {
                    self.attempts += u32::from(!failure.not_executed());
                }
            }
            sleep(RESUME_DELAY).await;
        }
        Err("the route allows no further attempt")
    }

    /// Returns whether an answer goes on with the stream. One that only succeeds may be of another kind, such as one without
    /// a body, which would end the stream as if it were complete.
    fn goes_on_with(&self, answer: &Answer) -> bool {
        Likeness::of(answer.head.status, &answer.head.headers) == self.likeness
    }

    /// Sends the rest of the stream's request to an engine and waits for the head of its answer.
    async fn send(
        &mut self,
        (choice, mut reservation): Place,
        demand: Demand,
    ) -> Result<(), Failure> {
        let req = Arc::clone(&self.req);
        let last = self.events.last_id();
        let sending = send::send(&req, (&choice, &mut reservation), Step::EndToEnd, last);
        let is_last = self.attempts + 1 >= req.route.max_attempts;
        let patience = Patience::stream(&req, self.last_event, None).repeatable(!is_last);
        let answer = match silence::watch(&req, &choice, patience, sending).await {
            Watched::Answered(sent) => sent,
            Watched::Gone | Watched::Replaced(_) => {
                Err(send::record_lost(&req, &choice, silence::GONE))
            }
        };
        let answer = match answer {
            Ok(answer) if self.goes_on_with(&answer) => answer,
            Ok(answer) => {
                let status = answer.head.status;
                drop(answer);
                req.ctx.record_outcome(&choice.name, Outcome::Failed);
                let (upstream, status) = (choice.name.as_str(), status.as_u16());
                log::info!(id = &*req.meta.id, upstream, status; "stream answered otherwise");
                return Err(Failure::Lost(format!("answered with {status}")));
            }
            Err(failure) => {
                if !failure.not_executed() {
                    crash_watch::settle(&req.ctx, &req.content, &choice.name).await;
                }
                return Err(failure);
            }
        };
        let (upstream, last) = (choice.name.as_str(), last.unwrap_or_default());
        log::info!(id = &*req.meta.id, upstream, last, memory = demand.kv_tokens; "stream resumed");
        req.ctx.telemetry.count("stream.resumed");
        self.attempts += 1;
        self.engine_started = req.ctx.now();
        answer.lease.begin_part();
        self.run = Some(DecodeRun {
            choice,
            placed: req.ctx.now(),
            reservation,
            demand,
        });
        self.source = Some((answer.body, answer.lease, answer.guard));
        self.pace = Pace::default();
        Ok(())
    }
}
