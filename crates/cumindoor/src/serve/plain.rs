//! Client of plain services, which proxies calls with streamed bodies.
//!
//! A call is retried on another upstream only if no byte of it was sent to the first one, or if
//! its service allows repeats and its body is buffered.

mod answers;
mod balance;
mod bodies;

use std::sync::Arc;

use bytes::Bytes;
use coord::hash::hash64;
use coord::name::Upstream;
use fastrace::Span;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::HOST;
use hyper::http::request::Parts;
use hyper::{HeaderMap, Request, Response, StatusCode, Uri};
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout_at};

pub use balance::LoadBalancer;

use crate::serve::engine::{BoxedBody, PooledResponse, SendError, full_body};
use crate::serve::headers;
use crate::serve::refusal::Refusal;
use crate::serve::route::{self, Claim, Context, OpenGuard, Start};
use crate::serve::spec::{ServiceSpec, UpstreamSpec};
use crate::serve::telemetry;
use bodies::BodyFailure;

/// Largest body that is buffered, so that a repeatable call can be retried.
const MAX_BUFFERED_BYTES: u64 = 64 * 1024;
/// Upstreams that are tried for one call at most.
const MAX_ATTEMPTS: usize = 3;

/// Capacity of the channel through which a response is recorded, in pieces.
const RECORD_CHANNEL_CAPACITY: usize = 16;

/// The header that carries the W3C trace context.
const TRACE_HEADER: &str = "traceparent";

/// The body of a call, buffered for a retry or streamed.
enum Payload {
    Buffered(Bytes),
    Streamed(BoxedBody, BodyFailure),
}

/// Proxies a call to one of the upstreams of the service.
///
/// # Errors
///
/// Returns a [`Refusal`] if no upstream responded; its kind is `unknown` if bytes of the call were
/// sent.
pub async fn call(
    context: &Arc<Context>,
    spec: &Arc<ServiceSpec>,
    request: Request<Incoming>,
    guard: OpenGuard,
) -> Result<Response<BoxedBody>, Refusal> {
    let (mut parts, body) = request.into_parts();
    parts.uri = upstream_uri(&parts.uri)?;
    let once = spec.is_once(parts.uri.path());
    let content_hash = hash64(format!("{} {}", parts.method, parts.uri).as_bytes());
    match route::start_or_attach(context, spec, once, &parts.headers, content_hash).await? {
        Start::Attached(pieces) => answers::respond(pieces, guard).await,
        Start::Run(claim, None) => {
            let call = forward(context, spec, (parts, body), claim).await?;
            Ok(call.map(|body| attach_guard(body, guard)))
        }
        Start::Run(claim, Some(recorder)) => {
            let (sender, pieces) = mpsc::channel(RECORD_CHANNEL_CAPACITY);
            let (context, spec) = (Arc::clone(context), Arc::clone(spec));
            let runs = context.tasks.clone();
            runs.spawn(async move {
                let call = forward(&context, &spec, (parts, body), claim);
                answers::record_call(call, sender).await;
            });
            // The effects of an at-most-once call cannot be undone, so its response is recorded even
            // if the caller disconnects: the caller may request it again with the same key.
            answers::respond(recorder.record(pieces, once), guard).await
        }
    }
}

/// Returns the body with `guard`, which is dropped together with it.
fn attach_guard(body: BoxedBody, guard: OpenGuard) -> BoxedBody {
    let hold_guard = move |frame| {
        let _guard = &guard;
        frame
    };
    body.map_frame(hold_guard).boxed_unsync()
}

async fn forward(
    context: &Arc<Context>,
    spec: &Arc<ServiceSpec>,
    request: (Parts, Incoming),
    mut claim: Claim,
) -> Result<Response<BoxedBody>, Refusal> {
    let deadline = Instant::now() + spec.request_limit;
    let (mut parts, body) = request;
    headers::strip(&mut parts.headers);
    // The connection sets `Host` to the address of the upstream.
    parts.headers.remove(HOST);
    let (span, trace) = start_span(&parts.headers);
    if let Ok(trace) = trace.parse() {
        parts.headers.insert(TRACE_HEADER, trace);
    }
    let once = spec.is_once(parts.uri.path());
    let mut payload = match read_payload(context, once, body).await {
        Ok(payload) => payload,
        Err(refusal) => return Err(claim.prove_not_run(refusal).await),
    };
    let mut tried: Vec<Upstream> = Vec::new();
    let mut last_refusal = None;
    while tried.len() < MAX_ATTEMPTS {
        let upstreams = context.table.upstreams(&spec.group);
        let Some(upstream) = context.balance.choose(&upstreams, &tried) else {
            break;
        };
        tried.push(upstream.name.clone());
        let result = attempt(context, &upstream, &parts, payload, &mut claim, deadline).await;
        match result {
            Ok(connected) => {
                let load_guard = context.balance.track(&upstream.name);
                return Ok(bodies::relay_response(
                    connected,
                    deadline,
                    (load_guard, span),
                ));
            }
            Err(failed) => {
                context.telemetry.count("plain.failed");
                claim.set_dispatched(failed.sent);
                if failed.upstream_failed {
                    context.balance.mark_failed(&upstream.name);
                }
                let repeat = !once || !failed.sent;
                last_refusal = Some(failed.refusal);
                match failed.payload {
                    Some(buffered) if repeat => payload = buffered,
                    _ => break,
                }
            }
        }
    }
    Err(claim
        .prove_not_run(last_refusal.unwrap_or_else(no_upstream))
        .await)
}

fn start_span(headers: &HeaderMap) -> (Span, String) {
    let trace = headers
        .get(TRACE_HEADER)
        .and_then(|value| value.to_str().ok());
    telemetry::hop("plain", trace)
}

fn no_upstream() -> Refusal {
    let status = StatusCode::SERVICE_UNAVAILABLE;
    Refusal::not_run(status, "no-upstream", "no upstream is available")
}

/// Returns the URI for the upstream: the path of the call without the name of the service.
pub(super) fn upstream_uri(uri: &Uri) -> Result<Uri, Refusal> {
    let full = uri.path_and_query().map_or("/", |p| p.as_str());
    let below = full.trim_start_matches('/');
    let start = below.find(['/', '?']).unwrap_or(below.len());
    let rest = &below[start..];
    let text = if rest.starts_with('/') {
        rest.to_owned()
    } else {
        format!("/{rest}")
    };
    let parsed: Result<Uri, _> = text.parse();
    parsed.map_err(|error| {
        let message = format!("the path is not valid: {error}");
        Refusal::not_run(StatusCode::BAD_REQUEST, "malformed", message)
    })
}

async fn read_payload(context: &Context, once: bool, body: Incoming) -> Result<Payload, Refusal> {
    let limits = &context.options.limits;
    let hint = body.size_hint();
    if hint.lower() > limits.plain_bytes {
        return Err(bodies::too_large(limits));
    }
    let small = hint
        .exact()
        .is_some_and(|bytes| bytes <= MAX_BUFFERED_BYTES);
    if body.is_end_stream() || (small && !once) {
        let bytes = bodies::read(body, limits).await?;
        return Ok(Payload::Buffered(bytes));
    }
    let failure = BodyFailure::default();
    let body = bodies::limited(body, limits, failure.clone());
    Ok(Payload::Streamed(body, failure))
}

/// An attempt that got no response from its upstream.
struct FailedAttempt {
    /// True if bytes of the call may have reached the upstream.
    sent: bool,
    refusal: Refusal,
    /// The body, if it was buffered and the call may be retried.
    payload: Option<Payload>,
    /// True if the upstream failed; false if the call must not be sent to any upstream.
    upstream_failed: bool,
}

async fn attempt(
    context: &Context,
    upstream: &UpstreamSpec,
    parts: &Parts,
    payload: Payload,
    claim: &mut Claim,
    deadline: Instant,
) -> Result<PooledResponse, FailedAttempt> {
    let pool = context.engines.pool();
    // Each call uses a new connection: the upstream may close an idle one while the call is
    // written, and then it is unknown whether the call ran.
    let connection = match pool.connect(upstream.address).await {
        Ok(connection) => connection,
        Err(error) => return Err(not_sent(error.to_string(), Some(payload))),
    };
    let (body, failure, buffered) = match payload {
        Payload::Buffered(bytes) => (full_body(bytes.clone()), None, Some(bytes)),
        Payload::Streamed(body, failure) => (body, Some(failure), None),
    };
    let request = Request::from_parts(parts.clone(), body);
    if let Err(refusal) = claim.confirm().await {
        return Err(FailedAttempt {
            sent: false,
            refusal,
            payload: None,
            upstream_failed: false,
        });
    }
    // The caller may disconnect while bytes are in flight, so the claim is marked as dispatched
    // before they are sent.
    claim.set_dispatched(true);
    let deadline = deadline.min(Instant::now() + context.options.timeouts.plain);
    let answered = timeout_at(deadline, connection.send(request)).await;
    let error = match answered {
        Ok(Ok(connected)) => return Ok(connected),
        Ok(Err(SendError::Unsent(text) | SendError::TimedOut(text) | SendError::Refused(text))) => {
            return Err(not_sent(text, buffered.map(Payload::Buffered)));
        }
        Ok(Err(SendError::Sent(text))) => text,
        Err(_) => "no answer in time".to_owned(),
    };
    let message = format!("the upstream failed after the call was sent: {error}");
    let unknown = Refusal::unknown("upstream-failed", message);
    let refusal = failure
        .and_then(|failure| failure.take())
        .unwrap_or(unknown);
    Err(FailedAttempt {
        sent: true,
        refusal,
        payload: buffered.map(Payload::Buffered),
        upstream_failed: true,
    })
}

fn not_sent(text: String, payload: Option<Payload>) -> FailedAttempt {
    let status = StatusCode::SERVICE_UNAVAILABLE;
    FailedAttempt {
        sent: false,
        refusal: Refusal::not_run(status, "no-upstream", text),
        payload,
        upstream_failed: true,
    }
}
