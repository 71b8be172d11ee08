//! One request, from its head to its final answer.

mod model;
mod plain;
mod relay;
mod send;
mod wait;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use border::{Ask, Kind, Route, Routing, ServiceDef};
use bytes::Bytes;
use coord::name::Service;
use coord::time::Time;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, CONTENT_LENGTH, HOST, HeaderMap, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Request, Response};
use rand::RngExt;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::{Instant, timeout_at};

use super::answer::{Reason, Refusal};
use super::gate::Gate;
use crate::serve::engine::OutBody;
use crate::serve::headers;

/// How long a caller of an unready gateway waits before it comes back: a booting gateway reads its
/// routes within that time.
const UNREADY_RETRY: Duration = Duration::from_millis(300);
/// How long the store may be silent before an unknown route is no proof that there is none.
const STALE_ROUTING: Duration = Duration::from_secs(6);
/// How long a caller waits for memory for its body.
const BUSY_RETRY: Duration = Duration::from_millis(500);
/// Memory reserved for a body of unknown size.
const UNKNOWN_BODY: u64 = 64 * 1024;

/// Callers of streams give up without an event for the longest of this time, ...
const PATIENCE: Duration = Duration::from_secs(2);
/// ... this many targets, ...
const PATIENCE_TARGETS: u32 = 4;
/// ... and this many of the longest pauses of their route.
const PATIENCE_PAUSES: u32 = 8;

/// Notes a caller that leaves before its answer is complete: the server then drops the request.
struct CallerWatch {
    id: Arc<str>,
    started: Instant,
    done: bool,
}

impl CallerWatch {
    fn new(id: Arc<str>, started: Instant) -> Self {
        Self {
            id,
            started,
            done: false,
        }
    }

    fn done(&mut self) {
        self.done = true;
    }
}

impl Drop for CallerWatch {
    fn drop(&mut self) {
        if !self.done {
            let ms = millis(self.started.elapsed());
            log::info!(id = &*self.id, ms; "caller left");
        }
    }
}

/// One request of a caller.
pub(super) struct Job {
    gate: Arc<Gate>,
    route: Arc<Route>,
    service: Service,
    def: ServiceDef,
    ask: Ask,
    /// The head as it goes to upstreams, but for what each of them is told.
    parts: Parts,
    body: Bytes,
    arrived: Time,
    started: Instant,
    /// When the caller gets the final answer at the latest.
    deadline: Instant,
    /// Whether the request may have run somewhere.
    maybe_ran: AtomicBool,
    _memory: OwnedSemaphorePermit,
}

impl Job {
    /// Returns the time that is left.
    fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns whether the caller of a stream has given it up before its first event, so that an
    /// engine would work for nobody; its connection may not have been seen to close yet.
    fn is_abandoned(&self) -> bool {
        let pause = self.route.pause.unwrap_or_default();
        let patience = (self.route.target * PATIENCE_TARGETS).max(pause * PATIENCE_PAUSES);
        self.started.elapsed() > patience.max(PATIENCE)
    }

    fn may_have_run(&self) -> bool {
        self.maybe_ran.load(Ordering::Relaxed)
    }

    /// Notes that the request may run now, or that it is proved that it did not.
    fn set_maybe_ran(&self, ran: bool) {
        self.maybe_ran.store(ran, Ordering::Relaxed);
    }

    fn kind(&self) -> Kind {
        self.route.kind
    }

    /// Replaces a refusal that promises too much.
    fn truthful(&self, refusal: Refusal) -> Refusal {
        if self.may_have_run() {
            return Refusal::new(Reason::Broken);
        }
        refusal
    }

    /// Returns the refusal that is true of a request that was given up.
    fn refusal(&self, unrun: Reason, ran: Reason, retry: Duration) -> Refusal {
        if self.may_have_run() {
            Refusal::new(ran)
        } else {
            Refusal::after(unrun, retry)
        }
    }
}

/// Answers one request of a caller.
pub(super) async fn handle(gate: Arc<Gate>, request: Request<Incoming>) -> Response<OutBody> {
    let arrived = gate.now();
    let started = Instant::now();
    gate.telemetry.count("request.received");
    let (parts, body) = request.into_parts();
    let ask = gate.dialect.ask(&parts.headers).ok();
    let id = ask
        .as_ref()
        .map_or_else(Default::default, |ask| ask.id.clone());
    let mut watch = CallerWatch::new(id, started);
    let answered = match accept(&gate, parts, body, (arrived, started)).await {
        Ok(job) => run(Arc::new(job)).await,
        Err(refusal) => Err(refusal),
    };
    watch.done();
    let mut response = answered.unwrap_or_else(|refusal| {
        note_refusal(&gate, ask.as_ref(), refusal, started);
        refusal.response(&*gate.dialect, ask.as_ref())
    });
    if gate.stopping.is_cancelled() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

fn note_refusal(gate: &Gate, ask: Option<&Ask>, refusal: Refusal, started: Instant) {
    let reason = refusal.reason.to_string();
    gate.telemetry.count(&format!("refusal.{reason}"));
    let id = ask.map_or("", |ask| &*ask.id);
    let ms = millis(started.elapsed());
    let retry_ms = refusal.retry.map_or(0, millis);
    log::info!(id, reason = reason.as_str(), retry_ms, ms; "request refused");
}

/// Returns whole milliseconds, for log lines.
fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Finds the route of a request and reads it whole.
async fn accept(
    gate: &Arc<Gate>,
    mut parts: Parts,
    body: Incoming,
    (arrived, started): (Time, Instant),
) -> Result<Job, Refusal> {
    let routing = gate.state().routing.clone();
    let routing = routing.ok_or(Refusal::after(Reason::Unready, UNREADY_RETRY))?;
    let route = find_route(gate, &routing, &parts)?;
    let ask = gate.dialect.ask(&parts.headers).map_err(|error| {
        let error = error.to_string();
        log::info!(error = error.as_str(); "head rejected");
        Refusal::new(Reason::Malformed)
    })?;
    let patience = ask.patience.unwrap_or(route.timeout).min(route.timeout);
    let deadline = started + patience;
    let (body, memory) = read_body(gate, &routing, body, deadline).await?;
    let service = pick_service(gate, &route)?;
    let def = routing.services.get(&service).cloned();
    let def = def.ok_or(Refusal::after(Reason::NoUpstream, UNREADY_RETRY))?;
    gate.count_request(&service);
    headers::strip(&mut parts.headers);
    gate.dialect.scrub(&mut parts.headers);
    // The connection to the upstream sets its own.
    parts.headers.remove(CONTENT_LENGTH);
    Ok(Job {
        gate: Arc::clone(gate),
        route,
        service,
        def,
        ask,
        parts,
        body,
        arrived,
        started,
        deadline,
        maybe_ran: AtomicBool::new(false),
        _memory: memory,
    })
}

fn find_route(gate: &Gate, routing: &Routing, parts: &Parts) -> Result<Arc<Route>, Refusal> {
    let host = host(&parts.headers).or_else(|| parts.uri.host());
    let found = host.and_then(|host| routing.route(host, parts.uri.path()));
    if let Some(route) = found {
        return Ok(Arc::clone(route));
    }
    let silent = gate.now().since(gate.state().contact);
    if silent > STALE_ROUTING {
        return Err(Refusal::after(Reason::Unready, UNREADY_RETRY));
    }
    Err(Refusal::new(Reason::NoRoute))
}

/// Returns the host without its port.
fn host(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(HOST)?.to_str().ok()?;
    value.split(':').next()
}

async fn read_body(
    gate: &Gate,
    routing: &Routing,
    body: Incoming,
    deadline: Instant,
) -> Result<(Bytes, OwnedSemaphorePermit), Refusal> {
    let limit = routing.limits.body;
    let hint = body.size_hint();
    if hint.lower() > limit as u64 {
        return Err(Refusal::new(Reason::TooLarge));
    }
    let size = hint.exact().unwrap_or(UNKNOWN_BODY);
    let permits = u32::try_from(size).unwrap_or(u32::MAX);
    let memory = Arc::clone(&gate.bodies).try_acquire_many_owned(permits);
    let memory = memory.map_err(|_| Refusal::after(Reason::Busy, BUSY_RETRY))?;
    let whole = timeout_at(deadline, Limited::new(body, limit).collect()).await;
    let whole = whole.map_err(|_| Refusal::new(Reason::SlowBody))?;
    match whole {
        Ok(whole) => Ok((whole.to_bytes(), memory)),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => {
            Err(Refusal::new(Reason::TooLarge))
        }
        // The caller broke off; nobody reads the answer.
        Err(_) => Err(Refusal::new(Reason::Malformed)),
    }
}

/// Chooses among the services of a route by their weights.
fn pick_service(gate: &Gate, route: &Route) -> Result<Service, Refusal> {
    let total: u32 = route.targets.iter().map(|(_, weight)| weight).sum();
    if total == 0 {
        return Err(Refusal::after(Reason::NoUpstream, UNREADY_RETRY));
    }
    let mut point = match &route.targets[..] {
        [_] => 0,
        _ => gate.state().rng.random_range(0..total),
    };
    for (service, weight) in &route.targets {
        if point < *weight {
            return Ok(service.clone());
        }
        point -= weight;
    }
    Err(Refusal::after(Reason::NoUpstream, UNREADY_RETRY))
}

/// Runs a request; at its deadline it gets the answer that is true then.
async fn run(job: Arc<Job>) -> Result<Response<OutBody>, Refusal> {
    let running = async {
        if job.def.model.is_some() && job.ask.prompt.is_some() {
            model::run(&job).await
        } else {
            plain::run(&job).await
        }
    };
    match timeout_at(job.deadline, running).await {
        Ok(answered) => answered,
        Err(_) => Err(job.refusal(Reason::Late, Reason::TimedOut, BUSY_RETRY)),
    }
}
