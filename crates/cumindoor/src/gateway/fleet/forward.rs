//! Requests that other gateways pass on to upstreams, for a gateway that has lost its links to them.
//!
//! The gateway that the caller reached stays in charge: it chooses the upstream, keeps all limits, and
//! decides on retries. The other one sends the request over its own links, once, and passes the answer
//! back. See `docs/design.md`, section 6.13.

mod listener;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use coord::name::Service;
use coord::origin::BuildKey;
use coord::time::Time;
use http_body_util::{BodyExt, Limited};
use hyper::header::{HeaderName, HeaderValue};
use hyper::{Request, StatusCode};
pub use listener::ForwardListener;
use rand::RngExt;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::time::timeout;

use crate::gateway::admission::load_table::service_key;
use crate::gateway::admission::placement::Choice;
use crate::gateway::context::Context;
use crate::serve::engine::{BoxedBody, PooledResponse, SendError, full_body};

/// What the other gateway has to know of a forwarded request.
const ATTEMPT: HeaderName = HeaderName::from_static("forward-attempt");
/// Why the other gateway has no answer of the upstream.
const FAILURE: HeaderName = HeaderName::from_static("forward-failure");
/// Name of the service in the question whether its upstreams are reached.
const SERVICE: HeaderName = HeaderName::from_static("forward-service");
/// Data centre of the gateway that answers this question.
const DATA_CENTRE: HeaderName = HeaderName::from_static("forward-data-centre");

/// Gateways that are tried for one attempt. Nothing was sent to the upstream by those before the last.
const MAX_HELPERS: usize = 3;
/// Requests that a gateway of the own data centre has on their way more than another one before that one is used.
/// Bytes between data centres are charged for.
const REMOTE_REQUESTS: u32 = 2;
/// Time for which a gateway that did not forward a request is not asked again.
const AVOIDANCE: Duration = Duration::from_secs(1);
/// Time for which the word of a gateway counts that it reaches upstreams. Those that have lost their links at the
/// same moment have found out by then and say so in their digests.
const CONFIRMATION: Duration = Duration::from_secs(2);
/// Time limit for the answer to the question whether upstreams are reached: the time for their answers, and a
/// margin.
const ASK_TIME: Duration = Duration::from_millis(550);
/// Largest answer to read before a connection is used again.
const MAX_NOTE_BYTES: usize = 1_024;

/// An attempt as the other gateway has to treat it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attempt {
    /// Name of the upstream. Its address is the one that the other gateway knows.
    upstream: String,
    /// Version of the upstream's software at its choice.
    build: BuildKey,
    /// Milliseconds until the answer must be complete.
    left_ms: u64,
    /// Longest idle time in milliseconds of a connection that carries the request.
    idle_ms: u64,
    /// Whether the request is a prefill.
    prefill: bool,
    /// Whether the request is a suspect on trial.
    on_trial: bool,
}

impl Attempt {
    /// Describes an attempt at an upstream.
    #[must_use]
    pub fn new(
        choice: &Choice,
        [left, idle]: [Duration; 2],
        prefill: bool,
        on_trial: bool,
    ) -> Self {
        let millis = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        Self {
            upstream: choice.name.as_str().to_owned(),
            build: choice.build,
            left_ms: millis(left),
            idle_ms: millis(idle),
            prefill,
            on_trial,
        }
    }
}

/// Why there is no answer of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Failure {
    /// No gateway that could forward the request was found. The upstream got nothing.
    NoPath,
    /// No connection to the upstream was established in time.
    Unsent(String),
    /// The upstream refuses connections.
    Refused(String),
    /// The upstream may have run the request.
    Lost(String),
    /// The upstream is leaving, gone or another one by now.
    Withdrawn,
    /// The upstream has stated to the other gateway that it takes nothing for this many milliseconds.
    Paused(u64),
}

impl From<SendError> for Failure {
    fn from(error: SendError) -> Self {
        match error {
            SendError::Unsent(text) | SendError::TimedOut(text) => Self::Unsent(text),
            SendError::Refused(text) => Self::Refused(text),
            SendError::Sent(text) => Self::Lost(text),
        }
    }
}

/// The other gateways as they are used for forwarded requests.
#[derive(Clone, Debug, Default)]
pub struct Helpers {
    /// Requests on their way, by gateway.
    open: BTreeMap<SocketAddr, u32>,
    /// Until when gateways are not used.
    avoided: BTreeMap<SocketAddr, Time>,
    /// When gateways last said that they reach upstreams.
    confirmed: BTreeMap<SocketAddr, Time>,
    /// The gateways that said that they are in another data centre.
    remote: BTreeSet<SocketAddr>,
}

impl Helpers {
    /// Returns the gateway with the fewest requests on their way, rather one of the own data centre, of those that said a short time ago that they
    /// reach upstreams if there are any: others may have lost their links at the same moment and not know it
    /// yet. `tie` from 0 to 1 decides among equals.
    #[must_use]
    pub fn choose(&self, now: Time, fit: &[SocketAddr], tie: f64) -> Option<SocketAddr> {
        let is_open = |addr: &&SocketAddr| self.avoided.get(addr).is_none_or(|until| now >= *until);
        let open = |addr: &SocketAddr| {
            let open = self.open.get(addr).copied().unwrap_or_default();
            open + u32::from(self.remote.contains(addr)) * REMOTE_REQUESTS
        };
        let mut fit: Vec<&SocketAddr> = fit.iter().filter(is_open).collect();
        let is_confirmed = |addr: &SocketAddr| {
            let confirmed = self.confirmed.get(addr);
            confirmed.is_some_and(|at| now.since(*at) < CONFIRMATION)
        };
        if fit.iter().any(|addr| is_confirmed(addr)) {
            fit.retain(|addr| is_confirmed(addr));
        }
        let least = fit.iter().map(|addr| open(addr)).min()?;
        let equal: Vec<&SocketAddr> = fit.into_iter().filter(|a| open(a) == least).collect();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            clippy::cast_precision_loss,
            reason = "an index into a list of gateways"
        )]
        let index = (tie * equal.len() as f64) as usize;
        equal.get(index).or(equal.last()).map(|addr| **addr)
    }

    /// Records that a gateway said that it reaches upstreams, and whether it is in another data centre.
    pub fn confirm(&mut self, now: Time, addr: SocketAddr, remote: bool) {
        self.confirmed.retain(|_, at| now.since(*at) < CONFIRMATION);
        self.confirmed.insert(addr, now);
        if remote {
            self.remote.insert(addr);
        } else {
            self.remote.remove(&addr);
        }
    }

    /// Records that a gateway did not forward a request.
    pub fn avoid(&mut self, now: Time, addr: SocketAddr) {
        self.avoided.retain(|_, until| now < *until);
        self.avoided.insert(addr, now + AVOIDANCE);
    }

    /// Records that a request goes through a gateway.
    pub fn begin(&mut self, addr: SocketAddr) {
        *self.open.entry(addr).or_default() += 1;
    }

    /// Records that such a request has ended.
    pub fn end(&mut self, addr: SocketAddr) {
        if let Some(open) = self.open.get_mut(&addr) {
            *open -= 1;
            if *open == 0 {
                self.open.remove(&addr);
            }
        }
    }
}

/// A request on its way through another gateway; dropping it ends that.
pub struct Ticket {
    ctx: Arc<Context>,
    addr: SocketAddr,
}

impl Ticket {
    fn begin(ctx: &Arc<Context>, addr: SocketAddr) -> Self {
        ctx.state().helpers.begin(addr);
        Self {
            ctx: Arc::clone(ctx),
            addr,
        }
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.ctx.state().helpers.end(self.addr);
    }
}

/// Sends an attempt through another gateway. `build` makes the request, which is made anew for each gateway
/// that is tried.
///
/// # Errors
///
/// Returns [`Failure`], which tells whether the upstream may have run the request.
pub async fn send(
    ctx: &Arc<Context>,
    service: &Service,
    attempt: &Attempt,
    build: impl Fn() -> Option<Request<BoxedBody>>,
) -> Result<(PooledResponse, Ticket), Failure> {
    let idle = Duration::from_millis(attempt.idle_ms);
    for _ in 0..MAX_HELPERS {
        let Some(helper) = choose(ctx, service) else {
            break;
        };
        let Some(request) = build().and_then(|request| with_note(request, ATTEMPT, attempt)) else {
            break;
        };
        let ticket = Ticket::begin(ctx, helper);
        let sent = ctx
            .peer_pool
            .send_with_max_idle(helper, request, idle)
            .await;
        let failure = match sent {
            Ok(answer) if !answer.response.headers().contains_key(FAILURE) => {
                ctx.telemetry.count("forward.answered");
                return Ok((answer, ticket));
            }
            Ok(answer) => {
                let failure = note(answer.response.headers(), &FAILURE);
                release(answer).await;
                failure.unwrap_or_else(|| Failure::Lost("unreadable failure".to_owned()))
            }
            Err(SendError::Sent(text)) => {
                avoid(ctx, helper, &text);
                return Err(Failure::Lost(format!("the gateway at {helper}: {text}")));
            }
            Err(error) => {
                avoid(ctx, helper, &error.to_string());
                continue;
            }
        };
        if failure != Failure::NoPath {
            ctx.telemetry.count("forward.failed");
            return Err(failure);
        }
        avoid(ctx, helper, "it forwards nothing at present");
    }
    ctx.telemetry.count("forward.no-path");
    Err(Failure::NoPath)
}

fn choose(ctx: &Context, service: &Service) -> Option<SocketAddr> {
    let now = ctx.now();
    let mut state = ctx.state();
    let fit = state.loads.helpers(now, service_key(service));
    let tie = state.rng.random_range(0.0..1.0);
    state.helpers.choose(now, &fit, tie)
}

fn avoid(ctx: &Context, helper: SocketAddr, why: &str) {
    let now = ctx.now();
    ctx.state().helpers.avoid(now, helper);
    let peer = helper.to_string();
    log::info!(peer = peer.as_str(), why; "peer does not forward");
}

/// Asks another gateway whether it reaches upstreams of a service over its own links.
pub async fn ask(ctx: &Context, peer: SocketAddr, service: &Service) -> bool {
    let request = Request::new(full_body(""));
    let Some(request) = with_note(request, SERVICE, &service.as_str()) else {
        return false;
    };
    let asked = async {
        let answer = ctx.peer_pool.send(peer, request).await.ok()?;
        let reached = answer.response.status() == StatusCode::OK;
        let place = note::<String>(answer.response.headers(), &DATA_CENTRE);
        release(answer).await;
        reached.then_some(place)
    };
    let Ok(Some(place)) = timeout(ASK_TIME, asked).await else {
        return false;
    };
    let remote = place.is_some_and(|place| place != ctx.data_centre().as_str());
    let now = ctx.now();
    ctx.state().helpers.confirm(now, peer, remote);
    true
}

/// Reads the rest of a short answer, so that its connection can be used again.
async fn release(answer: PooledResponse) {
    let body = Limited::new(answer.response.into_body(), MAX_NOTE_BYTES);
    if body.collect().await.is_ok() {
        answer.lease.release();
    }
}

/// Adds a note to the head of a message; returns `None` if it does not fit into a header.
fn with_note(
    mut request: Request<BoxedBody>,
    name: HeaderName,
    note: &impl Serialize,
) -> Option<Request<BoxedBody>> {
    let value = serde_json::to_string(note).ok()?;
    let value = HeaderValue::from_str(&value).ok()?;
    request.headers_mut().insert(name, value);
    Some(request)
}

/// Reads a note from the head of a message.
fn note<T: DeserializeOwned>(headers: &hyper::HeaderMap, name: &HeaderName) -> Option<T> {
    serde_json::from_slice(headers.get(name)?.as_bytes()).ok()
}
