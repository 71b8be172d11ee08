//! Streams from a decode engine to the caller.
//!
//! A stream that breaks goes on at another engine where its route allows that; otherwise it ends
//! without its last chunk, so that the caller never takes a part for the whole.

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

use super::send::{self, Answer};
use super::{CallerWatch, Job, millis, plain, wait};
use crate::gateway::answer::{Reason, Refusal};
use crate::gateway::events::Events;
use crate::gateway::gate::Hold;
use crate::gateway::health::Outcome;
use crate::gateway::place::{Choice, Demand};
use crate::serve::engine::{BodyError, Lease, OutBody};
use crate::serve::headers;

/// The longest pauses for which a resumable stream may be silent before another engine goes on.
const SILENT_PAUSES: u32 = 4;
/// Such a time, if the route names no pause.
const SILENT_TIME: Duration = Duration::from_secs(2);

/// A request at a decode engine.
pub(super) struct Run {
    pub(super) choice: Choice,
    /// When the request got its first place.
    pub(super) placed: Time,
    pub(super) _hold: Hold,
    pub(super) demand: Demand,
}

/// Returns the answer to the caller, whose body relays the engine's.
pub(super) async fn respond(
    job: &Arc<Job>,
    run: Run,
    answer: Answer,
) -> Result<Response<OutBody>, Refusal> {
    if !answer.head.status.is_success() {
        let status = answer.head.status.as_u16();
        let passed = plain::whole(job, &run.choice, answer).await;
        job.gate.note(&run.choice.name, Outcome::Failed);
        log::info!(id = &*job.ask.id, status; "engine failure passed on");
        return passed.map_err(|_| Refusal::new(Reason::Broken));
    }
    let Answer {
        mut head,
        body,
        lease,
        ..
    } = answer;
    headers::strip(&mut head.headers);
    // Events that were seen before are left out, so the length may differ.
    head.headers.remove(CONTENT_LENGTH);
    let relay = Relay {
        job: Arc::clone(job),
        since: job.gate.now(),
        run: Some(run),
        source: Some((body, lease)),
        events: Events::after(job.ask.resume),
        runs: 1,
        first: true,
        ended: false,
        watch: CallerWatch::new(job.ask.id.clone(), job.started),
    };
    let frames = stream::unfold(relay, |mut relay| async move {
        let frame = relay.next().await?;
        Some((frame, relay))
    });
    let body = StreamBody::new(frames).boxed_unsync();
    Ok(Response::from_parts(head, body))
}

/// Returns a body that passes bytes on as they arrive, until `deadline`.
pub(super) fn passing(body: Incoming, lease: Lease, deadline: Instant) -> OutBody {
    let frames = stream::unfold(Some((body, lease)), move |source| async move {
        let (mut body, lease) = source?;
        match timeout_at(deadline, body.frame()).await {
            Ok(Some(Ok(frame))) => Some((Ok(frame), Some((body, lease)))),
            Ok(Some(Err(error))) => Some((Err(error.into()), None)),
            Ok(None) => {
                lease.release();
                None
            }
            Err(_) => Some((Err("the route's time is over".into()), None)),
        }
    });
    StreamBody::new(frames).boxed_unsync()
}

struct Relay {
    job: Arc<Job>,
    /// When the present engine began.
    since: Time,
    run: Option<Run>,
    source: Option<(Incoming, Lease)>,
    events: Events,
    runs: u32,
    first: bool,
    ended: bool,
    watch: CallerWatch,
}

/// What the engine's connection brought.
enum Heard {
    Events(Bytes),
    End,
    Broken(String),
    TimeOver,
}

impl Relay {
    /// Returns the next frame, or `None` at the whole stream's end.
    async fn next(&mut self) -> Option<Result<Frame<Bytes>, BodyError>> {
        while !self.ended {
            match self.hear().await {
                Heard::Events(bytes) if bytes.is_empty() => {}
                Heard::Events(bytes) => {
                    self.note_first();
                    return Some(Ok(Frame::data(bytes)));
                }
                Heard::End => {
                    self.complete();
                    return None;
                }
                Heard::Broken(text) => {
                    self.lose(&text);
                    if !self.resume().await {
                        return Some(Err(self.cut("broken", &text)));
                    }
                }
                Heard::TimeOver => {
                    return Some(Err(self.cut("timed-out", "the route's time is over")));
                }
            }
        }
        None
    }

    async fn hear(&mut self) -> Heard {
        let Some((body, _)) = &mut self.source else {
            return Heard::Broken("no engine".to_owned());
        };
        let deadline = self.job.deadline;
        let silent = Instant::now() + silence(&self.job);
        let resumable = self.job.kind().repeats() && self.runs < self.job.route.attempts;
        let until = if resumable {
            silent.min(deadline)
        } else {
            deadline
        };
        match timeout_at(until, body.frame()).await {
            Ok(Some(Ok(frame))) => match frame.into_data() {
                Ok(data) => match self.events.push(&data) {
                    Some(ready) => Heard::Events(ready),
                    None => Heard::Broken("an event is too large".to_owned()),
                },
                Err(_) => Heard::Events(Bytes::new()),
            },
            Ok(Some(Err(error))) => Heard::Broken(error.to_string()),
            Ok(None) if self.events.is_whole() => Heard::End,
            Ok(None) => Heard::Broken("the stream ended within an event".to_owned()),
            Err(_) if until < deadline => Heard::Broken("silent".to_owned()),
            Err(_) => Heard::TimeOver,
        }
    }

    fn note_first(&mut self) {
        if !std::mem::replace(&mut self.first, false) {
            return;
        }
        let gate = &self.job.gate;
        if let Some(run) = &self.run {
            let took = gate.now().since(run.placed);
            gate.pace(&self.job.service, |pace| pace.note_lead(took));
        }
        let waited = self.job.started.elapsed();
        self.job.gate.telemetry.time("stream.first", waited);
        let upstream = self.run.as_ref().map(|run| run.choice.name.clone());
        let upstream = upstream.as_ref().map_or("", |name| name.as_str());
        let on_time = waited <= self.job.route.target;
        log::info!(id = &*self.job.ask.id, upstream, ms = millis(waited), on_time; "stream started");
    }

    fn complete(&mut self) {
        self.ended = true;
        self.watch.done();
        let gate = &self.job.gate;
        if let Some((_, lease)) = self.source.take() {
            lease.release();
        }
        if let Some(run) = self.run.take() {
            gate.note(&run.choice.name, Outcome::Answered);
        }
        let held = gate.now().since(self.since);
        gate.pace(&self.job.service, |pace| pace.note_residence(held));
        gate.telemetry.count("stream.complete");
        gate.telemetry
            .time("stream.time", self.job.started.elapsed());
        let ms = millis(self.job.started.elapsed());
        let last = self.events.last().unwrap_or_default();
        let prompt = self.job.ask.prompt.unwrap_or_default();
        let (tokens, limit) = (prompt.tokens, prompt.output);
        let estimate = prompt.estimate.unwrap_or_default();
        log::info!(
            id = &*self.job.ask.id, tokens, limit, estimate, last, ms, runs = self.runs;
            "stream complete"
        );
    }

    /// Gives up the present engine; its connection is closed, so it stops work.
    fn lose(&mut self, text: &str) {
        self.source = None;
        self.events.restart();
        if let Some(run) = self.run.take() {
            send::lost(&self.job, &run.choice, text);
        }
    }

    fn cut(&mut self, reason: &str, text: &str) -> BodyError {
        self.ended = true;
        self.watch.done();
        self.source = None;
        self.run = None;
        self.job.gate.telemetry.count(&format!("stream.{reason}"));
        let ms = millis(self.job.started.elapsed());
        let last = self.events.last().unwrap_or_default();
        log::info!(id = &*self.job.ask.id, reason, last, ms; "stream cut");
        text.to_owned().into()
    }

    /// Goes on at another engine after the last event that the caller got.
    async fn resume(&mut self) -> bool {
        let job = Arc::clone(&self.job);
        let allowed = job.kind().repeats() && self.runs < job.route.attempts;
        let (Some(model), Some(prompt)) = (job.def.model.clone(), job.ask.prompt) else {
            return false;
        };
        if !allowed || !job.gate.try_repeat(&job.service) {
            return false;
        }
        self.runs += 1;
        let demand = Demand::new(&prompt, &model);
        let going_on = async {
            let (choice, hold) = wait::for_resume(&job, &model, demand).await.ok()?;
            let last = self.events.last();
            let sent = send::send(&job, &choice, Step::Whole, last).await;
            let answer = sent.ok().filter(|a| a.head.status.is_success())?;
            let run = Run {
                choice,
                placed: job.gate.now(),
                _hold: hold,
                demand,
            };
            Some((run, answer))
        };
        let Ok(Some((run, answer))) = timeout_at(job.deadline, going_on).await else {
            return false;
        };
        let upstream = run.choice.name.as_str();
        let last = self.events.last().unwrap_or_default();
        log::info!(id = &*job.ask.id, upstream, last, memory = run.demand.memory; "stream resumed");
        job.gate.telemetry.count("stream.resumed");
        self.since = job.gate.now();
        self.run = Some(run);
        self.source = Some((answer.body, answer.lease));
        true
    }
}

fn silence(job: &Job) -> Duration {
    let pauses = job.route.pause.map(|pause| pause * SILENT_PAUSES);
    pauses.unwrap_or(SILENT_TIME)
}
