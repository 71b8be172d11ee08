//! Passes requests on for other gateways.

use std::convert::Infallible;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use border::Reply;
use coord::name::{Service, Upstream};
use coord::time::Time;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Bytes, Incoming};
use hyper::header::{CONTENT_LENGTH, HOST, HeaderValue};
use hyper::http::request::Parts;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpStream;
use tokio::task::yield_now;
use tokio::time::{Instant, sleep, timeout, timeout_at};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::{ATTEMPT, Attempt, DATA_CENTRE, FAILURE, Failure, SERVICE, note};
use crate::gateway::admission::placement::Choice;
use crate::gateway::callers::content::Content;
use crate::gateway::callers::listeners::{bind_tcp, keep_alive, serve_until_closing};
use crate::gateway::callers::memory::Hold;
use crate::gateway::callers::memory::ledger::Kind;
use crate::gateway::context::Context;
use crate::gateway::crash_watch::{self, AttemptGuard, Standing};
use crate::gateway::engines::health::Outcome;
use crate::gateway::engines::links;
use crate::gateway::engines::statements;
use crate::gateway::exchange::{pass_through, shared_parts};
use crate::serve::engine::{BoxedBody, PooledResponse, SendError, full_body};
use crate::serve::headers;

/// Longest wait for a check of the own links. A check that finds an upstream ends within ms.
const CHECK_WAIT: Duration = Duration::from_millis(100);
/// Delay after a failed accept or bind.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// Time for which a connection of another gateway may be idle.
const IDLE_TIME: Duration = Duration::from_mins(1);
/// Largest head: that of a caller's request, and the note of the other gateway.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Maximum number of header fields of a request, several times what callers send.
const MAX_HEADERS: usize = 200;
/// Largest body before the configured limits are known.
const DEFAULT_MAX_BODY_BYTES: usize = 1024 * 1024;

/// Accepts requests of other gateways.
pub struct ForwardListener {
    ctx: Arc<Context>,
    connections: TaskTracker,
}

impl ForwardListener {
    /// Creates the listener of a gateway, which [`Self::run`] binds.
    #[must_use]
    pub fn new(ctx: &Arc<Context>, connections: TaskTracker) -> Self {
        Self {
            ctx: Arc::clone(ctx),
            connections,
        }
    }

    /// Accepts connections for as long as the process runs. A gateway whose port is taken serves its own callers
    /// all the same.
    ///
    /// # Errors
    ///
    /// Never returns.
    pub async fn run(self: Arc<Self>) -> eyre::Result<()> {
        let addr = self.ctx.own_address();
        let mut reported = false;
        let listener = loop {
            match bind_tcp(addr).await {
                Ok(listener) => break listener,
                Err(error) => {
                    if !std::mem::replace(&mut reported, true) {
                        let error = format!("{error:#}");
                        log::error!(error = error.as_str(); "no requests forwarded");
                    }
                }
            }
            sleep(RETRY_DELAY).await;
        };
        loop {
            let Ok((stream, peer)) = listener.accept().await else {
                sleep(RETRY_DELAY).await;
                continue;
            };
            if self.is_peer(peer.ip()) {
                let ctx = Arc::clone(&self.ctx);
                self.connections.spawn(serve(ctx, stream));
            } else {
                self.ctx.telemetry.count("forward.foreign");
            }
        }
    }

    /// Returns whether an address is that of another gateway, by the digests heard or by the settings.
    fn is_peer(&self, addr: IpAddr) -> bool {
        let settings = self.ctx.settings();
        let mut seeds = settings.fleet.seeds.iter().map(|seed| seed.0.ip());
        seeds.any(|seed| seed == addr) || self.ctx.state().loads.peers().any(|p| p.ip() == addr)
    }
}

async fn serve(ctx: Arc<Context>, stream: TcpStream) {
    if keep_alive(&stream).is_err() {
        return;
    }
    let Ok(peer) = stream.peer_addr() else {
        return;
    };
    let handler_ctx = Arc::clone(&ctx);
    let service = service_fn(move |request| {
        let ctx = Arc::clone(&handler_ctx);
        async move { Ok::<_, Infallible>(handle(ctx, peer, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE_TIME)
        .max_headers(MAX_HEADERS)
        .max_header_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    serve_until_closing(&ctx, connection).await;
}

async fn handle(
    ctx: Arc<Context>,
    peer: SocketAddr,
    request: Request<Incoming>,
) -> Response<BoxedBody> {
    if let Some(service) = note::<String>(request.headers(), &SERVICE) {
        return answer_question(&ctx, &Service::from(service.as_str())).await;
    }
    let (parts, body) = request.into_parts();
    let Some(attempt) = note::<Attempt>(&parts.headers, &ATTEMPT) else {
        let mut response = Response::new(full_body("a forwarded request names its upstream\n"));
        *response.status_mut() = StatusCode::BAD_REQUEST;
        return response;
    };
    let forwarded = forward(&ctx, peer, &attempt, (parts, body)).await;
    forwarded.unwrap_or_else(|failure| failure_response(&failure))
}

/// Answers whether upstreams of a service are reached over own links.
async fn answer_question(ctx: &Arc<Context>, service: &Service) -> Response<BoxedBody> {
    let now = ctx.now();
    let known = {
        let state = ctx.state();
        let known = state.links.known(now, service);
        let has_some = state.directory.not_draining(service).next().is_some();
        known.or((!has_some).then_some(false))
    };
    let reached = match known {
        Some(known) => known,
        None => links::is_reached(ctx, service).await,
    };
    let mut response = Response::new(full_body(""));
    let place = serde_json::to_string(ctx.data_centre().as_str());
    if let Some(place) = place
        .ok()
        .and_then(|text| HeaderValue::from_str(&text).ok())
    {
        response.headers_mut().insert(DATA_CENTRE, place);
    }
    if !reached {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}

fn failure_response(failure: &Failure) -> Response<BoxedBody> {
    let mut response = Response::new(full_body(""));
    *response.status_mut() = StatusCode::BAD_GATEWAY;
    let text = serde_json::to_string(failure).unwrap_or_default();
    // A text that fits into no header says nothing of what was sent, so the worst is assumed.
    let value = HeaderValue::from_str(&text)
        .unwrap_or_else(|_| HeaderValue::from_static(r#"{"Lost":"unreadable failure"}"#));
    response.headers_mut().insert(FAILURE, value);
    response
}

/// Passes a request on to its upstream, and the answer back.
async fn forward(
    ctx: &Arc<Context>,
    peer: SocketAddr,
    attempt: &Attempt,
    (mut parts, body): (Parts, Incoming),
) -> Result<Response<BoxedBody>, Failure> {
    let deadline = Instant::now() + Duration::from_millis(attempt.left_ms);
    ctx.record_arrival();
    let Ok(slot) = Arc::clone(&ctx.forwards).try_acquire_owned() else {
        return Err(Failure::NoPath);
    };
    let Some(memory) = reserve_memory(ctx, &body) else {
        return Err(Failure::NoPath);
    };
    let body = read_body(ctx, body, deadline).await?;
    parts.headers.remove(ATTEMPT);
    parts.headers.remove(CONTENT_LENGTH);
    headers::strip(&mut parts.headers);
    let meta = ctx.dialect.parse_request(&parts.headers);
    let meta = meta.map_err(|error| Failure::Unsent(error.to_string()))?;
    // The connection reports meanwhile if the other gateway has given up, for example because this one was frozen.
    // The request is then dropped here.
    for _ in 0..2 {
        yield_now().await;
    }
    let service = check_upstream(ctx, attempt)?.service;
    let settled = timeout(CHECK_WAIT, links::settled(ctx, &service)).await;
    if settled.is_err() || ctx.state().links.is_unreachable(&service) {
        return Err(Failure::NoPath);
    }
    let choice = check_upstream(ctx, attempt)?;
    let host = parts.headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = host.map(str::to_owned).unwrap_or_default();
    let content = Content::new((peer.ip(), &host), &parts, &body, shared_parts(ctx, &meta));
    let fingerprint = if attempt.prefill {
        content.prefill
    } else {
        content.run
    };
    let suspect = crash_watch::standing(ctx, &content) > Standing::Clear;
    let guard = AttemptGuard::new(
        ctx,
        (&meta.id, content),
        fingerprint,
        &choice,
        attempt.on_trial,
    );
    let (id, upstream) = (&*meta.id, choice.name.as_str());
    let from = peer.ip().to_string();
    log::info!(id, upstream, peer = from.as_str(); "request forwarded");
    ctx.telemetry.count("forward.passed");
    let request = Request::from_parts(parts, full_body(body));
    let idle = Duration::from_millis(attempt.idle_ms);
    let sending = async {
        if suspect {
            ctx.pool.send_fresh(choice.address, request).await
        } else {
            let pool = &ctx.pool;
            pool.send_with_max_idle(choice.address, request, idle).await
        }
    };
    let crashed = guard.crashed();
    let sent = tokio::select! {
        sent = timeout_at(deadline, sending) => {
            sent.unwrap_or(Err(SendError::Sent("the deadline has passed".to_owned())))
        }
        () = crashed.cancelled() => Err(SendError::Sent("the upstream crashed".to_owned())),
    };
    match sent {
        Ok(connected) => {
            let answer = pass_back(ctx, &choice, attempt, (connected, guard), deadline);
            // The slot is taken until the answer is through.
            Ok(answer.map(|body| {
                body.map_frame(move |frame| {
                    let _ = (&slot, &memory);
                    frame
                })
                .boxed_unsync()
            }))
        }
        Err(error) => {
            let outcome = match &error {
                SendError::Refused(_) => Outcome::Unreachable,
                _ => Outcome::Lost,
            };
            ctx.record_outcome(&choice.name, outcome);
            links::suspect(ctx, &choice.service);
            if !matches!(error, SendError::Sent(_)) {
                guard.not_executed();
            }
            Err(error.into())
        }
    }
}

/// Reserves memory for a body, or returns `None` if there is none left or the size is not stated.
fn reserve_memory(ctx: &Context, body: &Incoming) -> Option<Hold> {
    let size = usize::try_from(body.size_hint().exact()?).ok()?;
    let eviction = CancellationToken::new();
    let mut memory = ctx.memory.open(Kind::Request, Duration::MAX, eviction);
    memory.try_grow(size).then_some(memory)
}

async fn read_body(ctx: &Context, body: Incoming, deadline: Instant) -> Result<Bytes, Failure> {
    let limits = ctx.state().routing.as_ref().map(|routing| routing.limits);
    let limit = limits.map_or(DEFAULT_MAX_BODY_BYTES, |limits| limits.body_bytes);
    let collected = timeout_at(deadline, Limited::new(body, limit).collect()).await;
    match collected {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) => Err(Failure::Unsent(error.to_string())),
        Err(_) => Err(Failure::Unsent(
            "the body did not arrive in time".to_owned(),
        )),
    }
}

/// Returns the upstream as this gateway knows it, if the request may be sent there from here.
fn check_upstream(ctx: &Context, attempt: &Attempt) -> Result<Choice, Failure> {
    if ctx.stopping.is_cancelled() {
        return Err(Failure::NoPath);
    }
    let now: Time = ctx.now();
    let state = ctx.state();
    let directory = &state.directory;
    let name = Upstream::from(attempt.upstream.as_str());
    let endpoint = directory.get(&name).ok_or(Failure::Withdrawn)?;
    if endpoint.build != attempt.build || directory.is_leaving(endpoint) {
        return Err(Failure::Withdrawn);
    }
    match directory.statements.pause_left(now, endpoint.limit_key) {
        Some(left) => Err(Failure::Paused(
            u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
        )),
        None => Ok(Choice::from(endpoint)),
    }
}

fn pass_back(
    ctx: &Arc<Context>,
    choice: &Choice,
    attempt: &Attempt,
    (connected, mut guard): (PooledResponse, AttemptGuard),
    deadline: Instant,
) -> Response<BoxedBody> {
    let now = ctx.now();
    ctx.state().links.record_heard(now, &choice.service);
    let (mut head, body) = connected.response.into_parts();
    let reply: Reply = ctx.dialect.parse_reply(head.status, &head.headers);
    if !reply.misdirected {
        statements::record(ctx, choice, &reply.statement);
    }
    if reply.misdirected || reply.not_executed {
        guard.dismiss();
    } else if head.status.is_success() && (reply.signed || attempt.prefill) {
        guard.record_success();
    }
    headers::strip(&mut head.headers);
    head.headers.remove(FAILURE);
    // An upstream may write a refusal once more, in the place of the answer to the next request on the connection.
    let ran = !(reply.misdirected || reply.not_executed);
    let lease = Some(connected.lease).filter(|_| ran);
    let body = pass_through(body, (lease, guard), deadline, None);
    Response::from_parts(head, body)
}
