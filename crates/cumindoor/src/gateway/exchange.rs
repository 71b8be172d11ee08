//! Handling of one request, from its head to its final response.

mod classes;
mod copies;
pub mod events;
mod likeness;
mod model;
mod origin;
mod pace;
mod place;
mod plain;
mod relay;
mod repeats;
mod send;
mod silence;
mod wait;

pub(super) use relay::pass_through;

use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use border::{OrganisationDef, RequestMeta, Route, RouteKind, Routing, ServiceDef};
use bytes::Bytes;
use coord::name::Service;
use coord::origin::BuildKey;
use coord::share::Urgency;
use coord::time::Time;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, CONTENT_LENGTH, HOST, HeaderMap, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Request, Response};
use rand::RngExt;
use tokio::time::{Instant, timeout, timeout_at};
use tokio_util::sync::CancellationToken;

use self::repeats::Repeats;
use crate::gateway::callers::answer::{Reason, Refusal};
use crate::gateway::callers::body::{self, Keeping, ReadError};
use crate::gateway::callers::connections::Connection;
use crate::gateway::callers::content::Content;
use crate::gateway::callers::memory::ledger::{Cause, Kind};
use crate::gateway::callers::memory::{AnswerMemory, Buffer};
use crate::gateway::context::Context;
use crate::gateway::crash_watch::{self, Standing};
use crate::gateway::engines::directory::Directory;
use crate::gateway::organisations::allowances::{self, Charge};
use crate::gateway::organisations::keys::KeyTable;
use crate::serve::engine::BoxedBody;
use crate::serve::headers;

/// Retry time sent to callers of a gateway that is not ready. A gateway that starts reads its
/// routes within that time.
const UNREADY_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Retry time sent to callers when memory for request bodies is exhausted.
const BUSY_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Retry time sent to callers if no gateway forwards their request. They may reach another gateway then.
const NO_PATH_RETRY_AFTER: Duration = Duration::from_millis(250);
/// Time after which a caller may retry that reached a stopping gateway; new connections go to others at once.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Largest body that is read of a request that is refused.
const MAX_DISCARDED_BYTES: usize = 4 * 1024 * 1024;
/// Time limit for that. The rest of a body arrives within milliseconds of its head.
const DISCARD_TIME: Duration = Duration::from_secs(1);
/// Shortest time without a first event after which the caller of a stream is assumed to have given
/// up. The longest of this time and the two multiples below applies.
const STREAM_ABANDON_TIME: Duration = Duration::from_secs(2);
/// That time as a multiple of the route's target latency.
const STREAM_ABANDON_TARGETS: u32 = 4;
/// That time as a multiple of the route's longest gap between events.
const STREAM_ABANDON_GAPS: u32 = 8;

/// Logs that a caller disconnected before its response was complete, in which case the server drops
/// the request.
struct CallerGuard {
    id: Arc<str>,
    started: Instant,
    done: bool,
}

impl CallerGuard {
    fn new(id: Arc<str>, started: Instant) -> Self {
        Self {
            id,
            started,
            done: false,
        }
    }

    fn disarm(&mut self) {
        self.done = true;
    }
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        if !self.done {
            let ms = millis(self.started.elapsed());
            log::info!(id = &*self.id, ms; "caller left");
        }
    }
}

/// A request of a caller while it is handled.
pub(super) struct CallerRequest {
    ctx: Arc<Context>,
    route: Arc<Route>,
    service: Service,
    def: ServiceDef,
    /// The organisation for which the request is sent, if it has a key.
    organisation: Option<Arc<OrganisationDef>>,
    meta: RequestMeta,
    /// The head sent to upstreams, without the headers added for each attempt.
    parts: Parts,
    body: Bytes,
    content: Content,
    /// The build that wrote the first event of the stream, once the caller has that event.
    build: OnceLock<BuildKey>,
    /// Number of attempts at upstreams so far.
    attempts: AtomicU32,
    repeats: Repeats,
    arrived: Time,
    started: Instant,
    /// Latest time of the final response.
    deadline: Instant,
    /// Whether the request may have been executed.
    maybe_executed: AtomicBool,
    /// Whether the current attempt goes through another gateway.
    forwarded: AtomicBool,
    /// Memory of the answer.
    memory: AnswerMemory,
    /// The units that it takes from its organisation's allowance, if there is one.
    charge: Option<Charge>,
}

impl CallerRequest {
    /// Returns the time until the deadline.
    fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns whether the caller takes up a stream that an earlier attempt of it began.
    fn resumes(&self) -> bool {
        resumes(&self.route, &self.meta)
    }

    /// Returns the urgency, which orders requests for a service.
    fn urgency(&self) -> Urgency {
        let own = self.organisation.as_ref().and_then(|def| def.priority);
        Urgency::new(own, self.route.priority)
    }

    /// Returns the build to which the stream is bound, or `None` if it is free to begin at any.
    fn build(&self) -> Option<BuildKey> {
        self.build.get().copied()
    }

    /// Returns whether an upstream that is not leaving has the build to which the stream is bound, at any
    /// stage.
    fn has_upstream_of_build(&self, directory: &Directory) -> bool {
        let mut all = directory.not_draining(&self.service);
        all.any(|endpoint| Some(endpoint.build) == self.build())
    }

    /// Returns the time without an event after which the caller of a stream gives up.
    fn abandon_time(&self) -> Duration {
        let gap = self.route.max_gap.unwrap_or_default();
        let silence =
            (self.route.target_latency * STREAM_ABANDON_TARGETS).max(gap * STREAM_ABANDON_GAPS);
        silence.max(STREAM_ABANDON_TIME)
    }

    /// Returns whether the caller of a stream is assumed to have given up before the first event.
    /// Its closed connection may not have been detected yet, and an engine would generate output
    /// that nobody reads.
    fn is_abandoned(&self) -> bool {
        self.started.elapsed() > self.abandon_time()
    }

    /// Returns whether the request may be sent to an upstream, and takes a token of the retry budget if that
    /// would be a retry. A token that is not used serves for the next one.
    fn may_send(&self) -> bool {
        if !self.repeats.needs_token() {
            return true;
        }
        let granted = self.ctx.try_retry(&self.service);
        if granted {
            self.repeats.add_token();
        }
        granted
    }

    /// Returns whether the current attempt goes through another gateway.
    fn is_forwarded(&self) -> bool {
        self.forwarded.load(Ordering::Relaxed)
    }

    /// Records that an upstream sent something, if it came over this gateway's own links.
    fn record_heard(&self) {
        if !self.is_forwarded() {
            let now = self.ctx.now();
            self.ctx.state().links.record_heard(now, &self.service);
        }
    }

    fn may_have_executed(&self) -> bool {
        self.maybe_executed.load(Ordering::Relaxed)
    }

    /// Records whether the request may have been executed.
    fn set_maybe_executed(&self, maybe_executed: bool) {
        self.maybe_executed.store(maybe_executed, Ordering::Relaxed);
    }

    /// Refuses a request while it is known to crash upstreams. Call it before each attempt, because
    /// other gateways or the previous attempt may have seen another crash.
    fn refuse_poison(&self) -> Result<(), Refusal> {
        let Some(retry_after) = crash_watch::refusal(&self.ctx, &self.content) else {
            return Ok(());
        };
        crash_watch::log_refusal(&self.ctx, &self.meta.id, &self.content, retry_after);
        Err(self.broken_if_executed(Refusal::until(Reason::Poison, retry_after)))
    }

    /// Returns how the request is treated because of upstreams that crashed while they ran it.
    fn standing(&self) -> Standing {
        crash_watch::standing(&self.ctx, &self.content)
    }

    /// Returns whether a part of its prompt is suspected to crash upstreams.
    fn has_suspected_part(&self) -> bool {
        crash_watch::standing_by_parts(&self.ctx, &self.content) > Standing::Clear
    }

    fn kind(&self) -> RouteKind {
        self.route.kind
    }

    /// Replaces a refusal by `Broken` if the request may have been executed, because other refusals
    /// state that it was not.
    fn broken_if_executed(&self, refusal: Refusal) -> Refusal {
        if self.may_have_executed() {
            return Refusal::new(Reason::Broken);
        }
        refusal
    }

    /// Returns the refusal for a request that no gateway forwards.
    fn no_path(&self) -> Refusal {
        self.refusal(Reason::NoPath, Reason::Broken, NO_PATH_RETRY_AFTER)
    }

    /// Returns the refusal for a request that is given up, depending on whether it may have been
    /// executed.
    fn refusal(&self, not_executed: Reason, executed: Reason, retry: Duration) -> Refusal {
        if self.may_have_executed() {
            Refusal::new(executed)
        } else {
            Refusal::with_retry(not_executed, retry)
        }
    }
}

/// Returns whether a request takes up a stream that an earlier attempt of its caller began.
fn resumes(route: &Route, meta: &RequestMeta) -> bool {
    let named = meta.last_event_id.is_some() || meta.resumes.is_some();
    route.kind.is_stream() && named
}

/// Handles one request of a caller.
pub(super) async fn handle(
    ctx: Arc<Context>,
    connection: Connection,
    request: Request<Incoming>,
) -> Response<BoxedBody> {
    let arrived = ctx.now();
    let started = Instant::now();
    ctx.telemetry.count("request.received");
    ctx.record_arrival();
    let (parts, body) = request.into_parts();
    let meta = ctx.dialect.parse_request(&parts.headers).ok();
    let id = meta
        .as_ref()
        .map_or_else(Default::default, |meta| meta.id.clone());
    let mut caller_guard = CallerGuard::new(id, started);
    let mut content = None;
    let mut serving = None;
    let read = read_request(&ctx, &connection, (parts, body), (arrived, started)).await;
    let answered = match read {
        Ok(req) => {
            content = Some(req.content.clone());
            serving = Some(connection.serve());
            run(req).await
        }
        Err(refusal) => Err(refusal),
    };
    caller_guard.disarm();
    let mut response = answered
        .unwrap_or_else(|refusal| {
            log_refusal(&ctx, (meta.as_ref(), content), refusal, started);
            refusal.response(&*ctx.dialect, meta.as_ref())
        })
        .map(|body| Keeping::boxed(body, serving));
    if ctx.stopping.is_cancelled() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

fn log_refusal(
    ctx: &Context,
    (meta, content): (Option<&RequestMeta>, Option<Content>),
    refusal: Refusal,
    started: Instant,
) {
    let reason = refusal.reason.to_string();
    ctx.telemetry.count(&format!("refusal.{reason}"));
    let id = meta.map_or("", |meta| &*meta.id);
    let ms = millis(started.elapsed());
    let retry_ms = refusal.retry_after.map_or(0, millis);
    let content = content.map_or_else(String::new, |content| content.to_string());
    log::info!(id, content = content.as_str(), reason = reason.as_str(), retry_ms, ms; "request refused");
}

/// Converts to whole milliseconds for log fields.
fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Finds the route of a request and reads its body.
async fn read_request(
    ctx: &Arc<Context>,
    connection: &Connection,
    (mut parts, body): (Parts, Incoming),
    (arrived, started): (Time, Instant),
) -> Result<CallerRequest, Refusal> {
    let (routing, route, organisation, meta) = match read_head(ctx, &parts) {
        Ok(read) => read,
        Err(refusal) => {
            discard(ctx, body).await;
            return Err(refusal);
        }
    };
    let timeout = meta.timeout.unwrap_or(route.timeout).min(route.timeout);
    let deadline = started + timeout;
    let body = read_body(ctx, &routing, body, deadline).await?;
    let patience = routing.limits.head_timeout;
    let memory = AnswerMemory::new(&ctx.memory, patience, connection.close.clone());
    // The rest of a slow request may arrive long after callers were accepted.
    if !ctx.outlives(deadline) {
        return Err(Refusal::with_retry(Reason::Stopping, STOPPING_RETRY_AFTER));
    }
    let service = pick_service(ctx, &route)?;
    let def = routing.services.get(&service).cloned();
    let def = def.ok_or(Refusal::with_retry(Reason::NoUpstream, UNREADY_RETRY_AFTER))?;
    // The attempt that began the stream has been charged.
    let charged = organisation.as_ref().filter(|_| !resumes(&route, &meta));
    let charge = charged.map(|def| allowances::charge(ctx, def, meta.prompt));
    let charge = charge.transpose()?.flatten();
    ctx.count_request(&service);
    let host = host(&parts.headers).or_else(|| parts.uri.host());
    let shared = shared_parts(ctx, &meta);
    let caller = (connection.caller, host.unwrap_or_default());
    let content = Content::new(caller, &parts, &body, shared);
    headers::strip(&mut parts.headers);
    ctx.dialect.remove_reserved_headers(&mut parts.headers);
    // The HTTP client sets the length of the request to the upstream.
    parts.headers.remove(CONTENT_LENGTH);
    Ok(CallerRequest {
        ctx: Arc::clone(ctx),
        route,
        service,
        def,
        organisation,
        meta,
        parts,
        body,
        content,
        build: OnceLock::new(),
        attempts: AtomicU32::new(0),
        repeats: Repeats::default(),
        arrived,
        started,
        deadline,
        maybe_executed: AtomicBool::new(false),
        forwarded: AtomicBool::new(false),
        memory,
        charge,
    })
}

/// Returns the ids of the shared parts of a prompt. A request whose parts cannot be read is handled as
/// one without parts.
pub(super) fn shared_parts<'a>(ctx: &Context, meta: &'a RequestMeta) -> &'a [Arc<str>] {
    match &meta.shared_parts {
        None => &[],
        Some(Ok(parts)) => parts,
        Some(Err(error)) => {
            ctx.telemetry.count("parts.unreadable");
            let (id, error) = (&*meta.id, error.to_string());
            log::info!(id, error = error.as_str(); "parts unreadable");
            &[]
        }
    }
}

/// What the head of a request says.
type Head = (
    Arc<Routing>,
    Arc<Route>,
    Option<Arc<OrganisationDef>>,
    RequestMeta,
);

/// Finds the route and the organisation of a request and parses its headers.
fn read_head(ctx: &Context, parts: &Parts) -> Result<Head, Refusal> {
    let (routing, keys) = {
        let state = ctx.state();
        (state.routing.clone(), Arc::clone(&state.keys))
    };
    let routing = routing.ok_or(Refusal::with_retry(Reason::Unready, UNREADY_RETRY_AFTER))?;
    let route = find_route(ctx, &routing, parts)?;
    let meta = ctx.dialect.parse_request(&parts.headers).map_err(|error| {
        let error = error.to_string();
        log::info!(error = error.as_str(); "head rejected");
        Refusal::new(Reason::Malformed)
    })?;
    let organisation = find_organisation(ctx, (&routing, &route), &keys, &meta)?;
    Ok((routing, route, organisation, meta))
}

/// Finds the organisation for which a request is sent.
fn find_organisation(
    ctx: &Context,
    (routing, route): (&Routing, &Route),
    keys: &KeyTable,
    meta: &RequestMeta,
) -> Result<Option<Arc<OrganisationDef>>, Refusal> {
    if routing.organisations.is_none() {
        return Ok(None);
    }
    let key = meta.key.as_ref().and_then(|key| key.as_ref().ok());
    let holder = key.and_then(|key| keys.holder(key));
    if holder.is_some() || route.allows_anonymous {
        return Ok(holder.cloned());
    }
    // The key may have been added by a version that was not read yet.
    if ctx.may_lack_routing() {
        return Err(Refusal::with_retry(Reason::Unready, UNREADY_RETRY_AFTER));
    }
    Err(Refusal::new(Reason::UnknownKey))
}

/// Reads the body of a request that is refused. If the connection were closed before the body has
/// arrived, the caller would fail to write it and might never read the refusal.
async fn discard(ctx: &Context, mut body: Incoming) {
    let Ok(_permit) = ctx.discards.try_acquire() else {
        return;
    };
    let discarded = async {
        let mut bytes = 0;
        while let Some(Ok(frame)) = body.frame().await {
            bytes += frame.data_ref().map_or(0, Bytes::len);
            if bytes > MAX_DISCARDED_BYTES {
                return;
            }
        }
    };
    // A caller that sends no more is refused all the same.
    let _ = timeout(DISCARD_TIME, discarded).await;
}

fn find_route(ctx: &Context, routing: &Routing, parts: &Parts) -> Result<Arc<Route>, Refusal> {
    let host = host(&parts.headers).or_else(|| parts.uri.host());
    let found = host.and_then(|host| routing.route(host, parts.uri.path()));
    if let Some(route) = found {
        return Ok(Arc::clone(route));
    }
    if ctx.may_lack_routing() {
        return Err(Refusal::with_retry(Reason::Unready, UNREADY_RETRY_AFTER));
    }
    Err(Refusal::new(Reason::NoRoute))
}

/// Returns the host without its port.
fn host(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(HOST)?.to_str().ok()?;
    value.split(':').next()
}

/// Reads the body of a request into memory of the account.
async fn read_body(
    ctx: &Context,
    routing: &Routing,
    mut body: Incoming,
    deadline: Instant,
) -> Result<Bytes, Refusal> {
    let limit = routing.limits.body_bytes;
    let hint = body.size_hint();
    if hint.lower() > limit as u64 {
        return Err(Refusal::new(Reason::TooLarge));
    }
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let eviction = CancellationToken::new();
    let patience = routing.limits.head_timeout;
    let hold = ctx.memory.open(Kind::Body, patience, eviction);
    let length = hint.exact().and_then(|length| usize::try_from(length).ok());
    let mut buffer = Buffer::new(hold, length, limit);
    let read = timeout_at(deadline, body::read(&mut body, &mut buffer, limit)).await;
    let read = read.map_err(|_| Refusal::new(Reason::SlowBody))?;
    match read.and_then(|()| buffer.finish(Kind::Request).map_err(ReadError::Evicted)) {
        Ok(bytes) => Ok(bytes),
        Err(ReadError::TooLarge) => Err(Refusal::new(Reason::TooLarge)),
        // The caller disconnected, so nobody reads the response.
        Err(ReadError::Broken(_)) => Err(Refusal::new(Reason::Malformed)),
        Err(ReadError::Evicted(Cause::Slow)) => Err(Refusal::new(Reason::SlowBody)),
        Err(ReadError::Evicted(Cause::Busy)) => {
            discard(ctx, body).await;
            Err(Refusal::with_retry(Reason::Busy, BUSY_RETRY_AFTER))
        }
    }
}

/// Chooses among the services of a route by their weights.
fn pick_service(ctx: &Context, route: &Route) -> Result<Service, Refusal> {
    let weights = route.targets.iter().map(|(_, weight)| u64::from(*weight));
    let total: u64 = weights.sum();
    if total == 0 {
        return Err(Refusal::with_retry(Reason::NoUpstream, UNREADY_RETRY_AFTER));
    }
    let mut point = match &route.targets[..] {
        [_] => 0,
        _ => ctx.state().rng.random_range(0..total),
    };
    for (service, weight) in &route.targets {
        let weight = u64::from(*weight);
        if point < weight {
            return Ok(service.clone());
        }
        point -= weight;
    }
    Err(Refusal::with_retry(Reason::NoUpstream, UNREADY_RETRY_AFTER))
}

/// Sends a request to its upstreams, until the deadline.
async fn run(mut req: CallerRequest) -> Result<Response<BoxedBody>, Refusal> {
    let late = req.refusal(Reason::Late, Reason::TimedOut, BUSY_RETRY_AFTER);
    let found = timeout_at(req.deadline, origin::find(&mut req)).await;
    found.unwrap_or(Err(late))?;
    let req = Arc::new(req);
    let running = async {
        req.refuse_poison()?;
        if req.def.model.is_some() && req.meta.prompt.is_some() {
            model::run(&req).await
        } else {
            plain::run(&req).await
        }
    };
    match timeout_at(req.deadline, running).await {
        Ok(answered) => answered.map_err(|refusal| place::outlast_pause(&req, refusal)),
        Err(_) => Err(req.refusal(Reason::Late, Reason::TimedOut, BUSY_RETRY_AFTER)),
    }
}
