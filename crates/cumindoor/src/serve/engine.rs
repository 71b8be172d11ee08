//! Client of model engines: prefill, decode stream, cancel and load.
//!
//! Every call has a deadline. If a call receives no bytes for a while, the engine is probed over a
//! new connection, because an established connection may stop delivering while new ones work.

pub mod cancel;
mod head;
pub mod poll;
pub mod pool;
mod receive;
mod stream;
mod wire;

use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use coord::sched::{Attempt, Failure, JobId};
use derive_more::Display;
use http_body_util::{BodyExt, Limited};
use hyper::{Response, StatusCode};
use serde::de::DeserializeOwned;
use tokio::time::timeout;

pub use pool::{
    BodyError, BoxedBody, Connection, Lease, Pool, PooledResponse, SendError, full_body,
};
pub use stream::{StreamEvent, TokenStream};
pub use wire::{CacheChange, CacheKind, DecodeCall, Load, PrefillCall, Prefilled};

use crate::serve::spec::UpstreamTimeouts;

/// Largest body of a non-streamed engine response.
const MAX_RESPONSE_BYTES: usize = 1024 * 1024;

/// How long to wait for a response after a probe no longer lists its request.
///
/// The engine sends the response before it answers the probe, but on another connection, so this
/// bounds the difference in delay between two connections on one network path.
const LATE_RESPONSE_TIMEOUT: Duration = Duration::from_millis(250);

/// Returns the id that an attempt of a request has on an engine.
///
/// Each attempt has its own id, so that a cancel of one attempt does not cancel the next attempt on
/// the same engine, and a late response to an abandoned attempt is not taken for the current one.
#[must_use]
pub fn engine_id(id: JobId, attempt: Attempt) -> String {
    format!("{id}-{attempt}")
}

/// Parses an id that [`engine_id`] made; returns `None` for an id of another form.
#[must_use]
pub fn parse_engine_id(text: &str) -> Option<(JobId, Attempt)> {
    let (id, attempt) = text.split_once('-')?;
    let id = u128::from_str_radix(id, 16).ok()?;
    Some((JobId(id), Attempt(attempt.parse().ok()?)))
}

/// Why a call to an engine failed.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum CallError {
    /// Nothing was sent.
    #[display("not sent: {_0}")]
    Unsent(String),
    /// The connection was refused: nothing listens at the address.
    #[display("not sent: {_0}")]
    Refused(String),
    /// The engine had no capacity and did no work.
    #[display("engine full")]
    Full,
    /// The engine no longer holds the KV cache of the prefill.
    #[display("prefill result evicted")]
    Evicted,
    /// The connection or the engine failed; the work may have happened.
    #[display("engine lost: {_0}")]
    Lost(String),
    /// The engine still lists the request but made no progress in time.
    #[display("no progress")]
    Stalled,
}

impl CallError {
    /// Returns the failure class that the scheduler acts on.
    #[must_use]
    pub fn failure(&self) -> Failure {
        match self {
            Self::Full => Failure::Full,
            Self::Evicted => Failure::Evicted,
            Self::Unsent(_) | Self::Refused(_) | Self::Lost(_) => Failure::Lost,
            Self::Stalled => Failure::Stalled,
        }
    }

    /// Returns true if it is certain that the engine did no work.
    #[must_use]
    pub fn not_run(&self) -> bool {
        matches!(self, Self::Unsent(_) | Self::Refused(_) | Self::Full)
    }
}

impl From<SendError> for CallError {
    fn from(error: SendError) -> Self {
        match error {
            SendError::Unsent(text) | SendError::TimedOut(text) => Self::Unsent(text),
            SendError::Refused(text) => Self::Refused(text),
            SendError::Sent(text) => Self::Lost(text),
        }
    }
}

/// Client of all model engines; clones share the connections.
#[derive(Clone, Debug)]
pub struct EngineClient {
    pool: Pool,
    timeouts: Arc<UpstreamTimeouts>,
}

impl EngineClient {
    /// Returns a client with an empty pool.
    #[must_use]
    pub fn new(timeouts: UpstreamTimeouts) -> Self {
        Self {
            pool: Pool::new(timeouts.connect),
            timeouts: Arc::new(timeouts),
        }
    }

    /// Returns the connection pool.
    #[must_use]
    pub fn pool(&self) -> &Pool {
        &self.pool
    }

    /// Returns the timeouts of calls to upstreams.
    #[must_use]
    pub fn timeouts(&self) -> &UpstreamTimeouts {
        &self.timeouts
    }

    /// Computes the KV cache of a prompt.
    ///
    /// Uses `to.1` if it is an open connection, otherwise one from the pool. `limit` bounds the
    /// call even while the engine still lists the request.
    ///
    /// # Errors
    ///
    /// Returns [`CallError`] when the engine is full, lost or makes no progress.
    pub async fn prefill(
        &self,
        to: (SocketAddr, Option<Connection>),
        call: &PrefillCall,
        trace: Option<&str>,
        limit: Duration,
    ) -> Result<Prefilled, CallError> {
        let (addr, connection) = to;
        let request = wire::post("/v1/prefill", call, trace);
        let exchange = async {
            let connected = match connection {
                Some(connection) => connection.send(request).await?,
                None => self.pool.send(addr, request).await?,
            };
            read_json(connected).await
        };
        self.wait_with_probes(addr, &call.id, limit, exchange)
            .await?
    }

    /// Has the engine import the KV cache of a prefill, and starts the output stream.
    ///
    /// # Errors
    ///
    /// Returns [`CallError`] when the engine has no free slot, the KV cache was evicted, its
    /// transfer stalls or the engine is lost.
    pub async fn decode(
        &self,
        addr: SocketAddr,
        call: &DecodeCall,
        trace: Option<&str>,
    ) -> Result<TokenStream, CallError> {
        let request = wire::post("/v1/decode", call, trace);
        let exchange = async {
            let connected = self.pool.send(addr, request).await?;
            let status = connected.response.status();
            if status == StatusCode::OK {
                return Ok(connected);
            }
            let (status, answer) = read_response(connected).await?;
            check_status(status, &answer)?;
            Err(CallError::Lost(format!("unexpected status {status}")))
        };
        let connected = match timeout(self.timeouts.import, exchange).await {
            Ok(answered) => answered?,
            Err(_) => return Err(self.classify_timeout(addr, &call.id).await),
        };
        Ok(TokenStream::new(
            connected,
            self.clone(),
            addr,
            call.id.clone(),
            call.offset,
        ))
    }

    /// Cancels `id` on an engine, which frees its memory there.
    ///
    /// # Errors
    ///
    /// Returns [`CallError`] if the engine did not acknowledge.
    pub async fn cancel(&self, addr: SocketAddr, id: &str) -> Result<(), CallError> {
        let request = wire::post("/v1/cancel", &wire::CancelCall { id }, None);
        let exchange = async {
            // A pooled connection may have failed without the failure being detected yet.
            let connected = self.pool.send_fresh(addr, request).await?;
            let (status, _) = read_response(connected).await?;
            if status.is_success() {
                return Ok(());
            }
            Err(CallError::Lost(format!("cancel answered {status}")))
        };
        let answered = timeout(self.timeouts.cancel, exchange).await;
        answered.map_err(|_| CallError::Stalled)?
    }

    /// Fetches the load of an engine over a new connection.
    ///
    /// # Errors
    ///
    /// Returns [`CallError`] if there is no valid answer in time.
    pub async fn load(&self, addr: SocketAddr) -> Result<Load, CallError> {
        let request = wire::get("/v1/load");
        let exchange = async {
            let connected = self.pool.send_fresh(addr, request).await?;
            read_json(connected).await
        };
        let answered = timeout(self.timeouts.probe, exchange).await;
        answered.map_err(|_| CallError::Stalled)?
    }

    /// Fetches the changes of the prefix cache of an engine after sequence number `since`.
    ///
    /// # Errors
    ///
    /// Returns [`CallError`] if there is no valid answer in time.
    pub async fn cache_changes(
        &self,
        addr: SocketAddr,
        since: u64,
    ) -> Result<Vec<CacheChange>, CallError> {
        let request = wire::get(&format!("/v1/events?since={since}"));
        let exchange = async {
            let connected = self.pool.send(addr, request).await?;
            let changes: wire::CacheChanges = read_json(connected).await?;
            Ok(changes.events)
        };
        let answered = timeout(self.timeouts.probe, exchange).await;
        answered.map_err(|_| CallError::Stalled)?
    }

    /// Waits for `future` and probes the engine whenever `probe_after` passes without a result.
    ///
    /// Fails when the engine no longer lists `id`, or after `limit`.
    pub(crate) async fn wait_with_probes<T>(
        &self,
        addr: SocketAddr,
        id: &str,
        limit: Duration,
        future: impl Future<Output = T>,
    ) -> Result<T, CallError> {
        let mut future = pin!(future);
        let mut idle_time = Duration::ZERO;
        loop {
            if let Ok(done) = timeout(self.timeouts.probe_after, &mut future).await {
                return Ok(done);
            }
            idle_time += self.timeouts.probe_after;
            if idle_time >= limit {
                return Err(CallError::Stalled);
            }
            // The response may arrive while the probe is in flight.
            let probed = tokio::select! {
                done = &mut future => return Ok(done),
                // Boxed because probes are rare; inline, every stream would hold their state.
                probed = Box::pin(self.check_listed(addr, id)) => probed,
            };
            if let Err(text) = probed {
                // The request may have ended during the probe. The engine then sent the response
                // before it answered the probe, but over another connection.
                if let Ok(done) = timeout(LATE_RESPONSE_TIMEOUT, &mut future).await {
                    return Ok(done);
                }
                self.pool.close_idle(addr);
                return Err(CallError::Lost(text));
            }
        }
    }

    /// Probes the engine after a timeout to tell a stalled transfer from a lost engine.
    async fn classify_timeout(&self, addr: SocketAddr, id: &str) -> CallError {
        match self.check_listed(addr, id).await {
            Ok(()) => CallError::Stalled,
            Err(text) => {
                self.pool.close_idle(addr);
                CallError::Lost(text)
            }
        }
    }

    async fn check_listed(&self, addr: SocketAddr, id: &str) -> Result<(), String> {
        let load = self.load(addr).await;
        let load = load.map_err(|error| format!("silent, and no answer to a probe: {error}"))?;
        if load.held.iter().any(|held| held == id) {
            return Ok(());
        }
        Err("silent, and the engine does not list the request".to_owned())
    }
}

async fn read_response(connected: PooledResponse) -> Result<(StatusCode, Vec<u8>), CallError> {
    let PooledResponse { response, lease } = connected;
    let (parts, body) = Response::into_parts(response);
    let collected = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
    let collected = collected.map_err(|error| CallError::Lost(error.to_string()))?;
    lease.release();
    Ok((parts.status, collected.to_bytes().to_vec()))
}

async fn read_json<T: DeserializeOwned>(connected: PooledResponse) -> Result<T, CallError> {
    let (status, answer) = read_response(connected).await?;
    check_status(status, &answer)?;
    wire::parse(&answer)
}

fn check_status(status: StatusCode, answer: &[u8]) -> Result<(), CallError> {
    match status {
        StatusCode::OK => Ok(()),
        StatusCode::TOO_MANY_REQUESTS => Err(CallError::Full),
        StatusCode::GONE => Err(CallError::Evicted),
        _ => {
            let text = String::from_utf8_lossy(answer);
            Err(CallError::Lost(format!("status {status}: {}", text.trim())))
        }
    }
}
