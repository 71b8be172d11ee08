//! Client of plain services: calls are passed through with streaming bodies.
//!
//! A call is sent to another upstream only if nothing of it was sent to the first one, or if
//! its service allows repeats and its body was kept.

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

pub use balance::Balance;

use crate::serve::engine::{Connected, OutBody, SendError, full_body};
use crate::serve::headers;
use crate::serve::refusal::Refusal;
use crate::serve::route::{self, Claim, Context, OpenGuard, Start};
use crate::serve::spec::{ServiceSpec, UpstreamSpec};
use crate::serve::telemetry;
use bodies::Fault;

/// Bodies up to this size are kept, so that a repeatable call can be sent again.
const KEPT_BYTES: u64 = 64 * 1024;
/// Upstreams that one call is sent to at most.
const TRIES: usize = 3;

/// Pieces of an answer on their way to where it is kept.
const PIECES: usize = 16;

/// The header with the trace context.
const TRACE: &str = "traceparent";

/// The body of a call.
enum Payload {
    Kept(Bytes),
    Streamed(OutBody, Fault),
}

/// Passes a call through to one of the service's upstreams.
///
/// # Errors
///
/// Returns a [`Refusal`] if no upstream answered; its kind is `unknown` once bytes of a call
/// were sent.
pub async fn call(
    context: &Arc<Context>,
    spec: &Arc<ServiceSpec>,
    request: Request<Incoming>,
    guard: OpenGuard,
) -> Result<Response<OutBody>, Refusal> {
    let (mut parts, body) = request.into_parts();
    parts.uri = inner_uri(&parts.uri)?;
    let once = spec.is_once(parts.uri.path());
    let tag = hash64(format!("{} {}", parts.method, parts.uri).as_bytes());
    match route::start_or_attach(context, spec, once, &parts.headers, tag).await? {
        Start::Attached(pieces) => answers::respond(pieces, guard).await,
        Start::Run(claim, None) => {
            let call = forward(context, spec, (parts, body), claim).await?;
            Ok(call.map(|body| hold(body, guard)))
        }
        Start::Run(claim, Some(recorder)) => {
            let (sender, pieces) = mpsc::channel(PIECES);
            let (context, spec) = (Arc::clone(context), Arc::clone(spec));
            let runs = context.tasks.clone();
            runs.spawn(async move {
                let call = forward(&context, &spec, (parts, body), claim);
                answers::produce(call, sender).await;
            });
            // What a once-only call has done cannot be undone, so its answer is read although its
            // caller is gone: the caller may ask for it again.
            answers::respond(recorder.record(pieces, once), guard).await
        }
    }
}

/// Keeps `guard` as long as a body.
fn hold(body: OutBody, guard: OpenGuard) -> OutBody {
    let keep = move |frame| {
        let _open = &guard;
        frame
    };
    body.map_frame(keep).boxed_unsync()
}

async fn forward(
    context: &Arc<Context>,
    spec: &Arc<ServiceSpec>,
    request: (Parts, Incoming),
    mut claim: Claim,
) -> Result<Response<OutBody>, Refusal> {
    let until = Instant::now() + spec.request_limit;
    let (mut parts, body) = request;
    headers::strip(&mut parts.headers);
    // The connection sets its own.
    parts.headers.remove(HOST);
    let (span, trace) = hop(&parts.headers);
    if let Ok(trace) = trace.parse() {
        parts.headers.insert(TRACE, trace);
    }
    let once = spec.is_once(parts.uri.path());
    let mut payload = match payload(context, once, body).await {
        Ok(payload) => payload,
        Err(refusal) => return Err(claim.prove_not_run(refusal).await),
    };
    let mut tried: Vec<Upstream> = Vec::new();
    let mut last = None;
    while tried.len() < TRIES {
        let upstreams = context.table.upstreams(&spec.group);
        let Some(upstream) = context.balance.choose(&upstreams, &tried) else {
            break;
        };
        tried.push(upstream.name.clone());
        let sent = attempt(context, &upstream, &parts, payload, &mut claim, until).await;
        match sent {
            Ok(connected) => {
                let load = context.balance.enter(&upstream.name);
                return Ok(bodies::answer(connected, until, (load, span)));
            }
            Err(failed) => {
                context.telemetry.count("plain.failed");
                claim.set_dispatched(failed.sent);
                if failed.at_upstream {
                    context.balance.failed(&upstream.name);
                }
                let repeat = !once || !failed.sent;
                last = Some(failed.refusal);
                match failed.payload {
                    Some(kept) if repeat => payload = kept,
                    _ => break,
                }
            }
        }
    }
    Err(claim.prove_not_run(last.unwrap_or_else(no_upstream)).await)
}

fn hop(headers: &HeaderMap) -> (Span, String) {
    let trace = headers.get(TRACE).and_then(|value| value.to_str().ok());
    telemetry::hop("plain", trace)
}

fn no_upstream() -> Refusal {
    let status = StatusCode::SERVICE_UNAVAILABLE;
    Refusal::not_run(status, "no-upstream", "no upstream is available")
}

/// Returns the path below the service's name.
pub(super) fn inner_uri(uri: &Uri) -> Result<Uri, Refusal> {
    let whole = uri.path_and_query().map_or("/", |p| p.as_str());
    let below = whole.trim_start_matches('/');
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

async fn payload(context: &Context, once: bool, body: Incoming) -> Result<Payload, Refusal> {
    let limits = &context.options.limits;
    let hint = body.size_hint();
    if hint.lower() > limits.plain_bytes {
        return Err(bodies::too_large(limits));
    }
    let small = hint.exact().is_some_and(|bytes| bytes <= KEPT_BYTES);
    if body.is_end_stream() || (small && !once) {
        let bytes = bodies::read(body, limits).await?;
        return Ok(Payload::Kept(bytes));
    }
    let fault = Fault::default();
    let body = bodies::limited(body, limits, fault.clone());
    Ok(Payload::Streamed(body, fault))
}

/// A call that was not answered.
struct Failed {
    /// True if bytes of the call may have reached the upstream.
    sent: bool,
    refusal: Refusal,
    /// The body, if the call can be sent again.
    payload: Option<Payload>,
    /// True if the upstream has failed, false if the call must not be sent to any.
    at_upstream: bool,
}

async fn attempt(
    context: &Context,
    upstream: &UpstreamSpec,
    parts: &Parts,
    payload: Payload,
    claim: &mut Claim,
    until: Instant,
) -> Result<Connected, Failed> {
    let pool = context.engines.pool();
    // A new connection for each call: an idle one may have been closed by the upstream while
    // the call was written, and then nobody knows whether it ran.
    let connection = match pool.connect(upstream.address).await {
        Ok(connection) => connection,
        Err(error) => return Err(unsent(error.to_string(), Some(payload))),
    };
    let (body, fault, kept) = match payload {
        Payload::Kept(bytes) => (full_body(bytes.clone()), None, Some(bytes)),
        Payload::Streamed(body, fault) => (body, Some(fault), None),
    };
    let request = Request::from_parts(parts.clone(), body);
    if let Err(refusal) = claim.confirm().await {
        return Err(Failed {
            sent: false,
            refusal,
            payload: None,
            at_upstream: false,
        });
    }
    // From here on the caller may go away while bytes are on their way.
    claim.set_dispatched(true);
    let until = until.min(Instant::now() + context.options.times.plain);
    let answered = timeout_at(until, connection.send(request)).await;
    let error = match answered {
        Ok(Ok(connected)) => return Ok(connected),
        Ok(Err(SendError::Unsent(text) | SendError::Refused(text))) => {
            return Err(unsent(text, kept.map(Payload::Kept)));
        }
        Ok(Err(SendError::Sent(text))) => text,
        Err(_) => "no answer in time".to_owned(),
    };
    let message = format!("the upstream failed after the call was sent: {error}");
    let unknown = Refusal::unknown("upstream-failed", message);
    let refusal = fault.and_then(|fault| fault.take()).unwrap_or(unknown);
    Err(Failed {
        sent: true,
        refusal,
        payload: kept.map(Payload::Kept),
        at_upstream: true,
    })
}

fn unsent(text: String, payload: Option<Payload>) -> Failed {
    let status = StatusCode::SERVICE_UNAVAILABLE;
    Failed {
        sent: false,
        refusal: Refusal::not_run(status, "no-upstream", text),
        payload,
        at_upstream: true,
    }
}
