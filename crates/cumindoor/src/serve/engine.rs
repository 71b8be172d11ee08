//! Client of model engines: prefill, decode stream, cancel and load.
//!
//! Every call has a deadline. A call without bytes for a while is checked by a question over a
//! fresh connection, because an open connection may go silent for good while new ones work.

pub mod cancel;
pub mod poll;
pub mod pool;
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

/// Bytes of a short answer from an engine that are read at most.
const ANSWER_LIMIT: usize = 1024 * 1024;

/// By how much the last bytes of an answer may arrive after a list without its request; both are
/// sent at the same time, so this bounds the difference of two connections on one path.
const LAST_BYTES_LIMIT: Duration = Duration::from_millis(250);

/// Returns the id by which an engine knows one attempt of a request.
///
/// Each attempt has its own id, so that a cancelled one does not hit its successor on the same
/// engine, and a late answer of an abandoned one cannot be taken for the current one.
#[must_use]
pub fn engine_id(id: JobId, attempt: Attempt) -> String {
    format!("{id}-{attempt}")
}

/// Returns the request of an id from an engine's list, or `None` if the id is not ours.
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
    /// The engine was full and did no work.
    #[display("engine full")]
    Full,
    /// The prefill's result is gone.
    #[display("prefill result evicted")]
    Evicted,
    /// The connection or the engine failed; the work may have happened.
    #[display("engine lost: {_0}")]
    Lost(String),
    /// The engine lists the request but makes no progress.
    #[display("no progress")]
    Stalled,
}

impl CallError {
    /// Returns the scheduler's word for the failure.
    #[must_use]
    pub fn failure(&self) -> Failure {
        match self {
            Self::Full => Failure::Full,
            Self::Evicted => Failure::Evicted,
            Self::Unsent(_) | Self::Refused(_) | Self::Lost(_) => Failure::Lost,
            Self::Stalled => Failure::Stalled,
        }
    }

    /// Returns true if the engine certainly did no work.
    #[must_use]
    pub fn not_run(&self) -> bool {
        matches!(self, Self::Unsent(_) | Self::Refused(_) | Self::Full)
    }
}

impl From<SendError> for CallError {
    fn from(error: SendError) -> Self {
        match error {
            SendError::Unsent(text) => Self::Unsent(text),
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

    /// Returns the connections, for the sweeper of idle ones.
    #[must_use]
    pub fn pool(&self) -> &Pool {
        &self.pool
    }

    /// Returns the deadlines.
    #[must_use]
    pub fn timeouts(&self) -> &UpstreamTimeouts {
        &self.timeouts
    }

    /// Computes the KV cache of a prompt.
    ///
    /// Without an open connection, one from the pool is used. `limit` is the longest that the
    /// engine may take although it lists the request.
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

    /// Imports a prefill's result and starts the output stream.
    ///
    /// # Errors
    ///
    /// Returns [`CallError`] when the engine has no slot, the result was evicted, the transfer
    /// stalls or the engine is lost.
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
            let (status, answer) = read_answer(connected).await?;
            check_status(status, &answer)?;
            Err(CallError::Lost(format!("unexpected status {status}")))
        };
        let connected = match timeout(self.timeouts.import, exchange).await {
            Ok(answered) => answered?,
            Err(_) => return Err(self.stalled_or_lost(addr, &call.id).await),
        };
        Ok(TokenStream::new(
            connected,
            self.clone(),
            addr,
            call.id.clone(),
            call.offset,
        ))
    }

    /// Frees everything that `id` holds on an engine.
    ///
    /// # Errors
    ///
    /// Returns [`CallError`] if the engine did not acknowledge.
    pub async fn cancel(&self, addr: SocketAddr, id: &str) -> Result<(), CallError> {
        let request = wire::post("/v1/cancel", &wire::CancelCall { id }, None);
        let exchange = async {
            // A connection from the pool may be one that went silent.
            let connected = self.pool.send_fresh(addr, request).await?;
            let (status, _) = read_answer(connected).await?;
            if status.is_success() {
                return Ok(());
            }
            Err(CallError::Lost(format!("cancel answered {status}")))
        };
        let answered = timeout(self.timeouts.cancel, exchange).await;
        answered.map_err(|_| CallError::Stalled)?
    }

    /// Asks an engine over a fresh connection for its load.
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

    /// Asks an engine for the changes of its prefix cache after `since`.
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

    /// Waits for `future`; while nothing happens, asks the engine whether it lists `id`.
    pub(crate) async fn wait_with_probes<T>(
        &self,
        addr: SocketAddr,
        id: &str,
        limit: Duration,
        future: impl Future<Output = T>,
    ) -> Result<T, CallError> {
        let mut future = pin!(future);
        let mut waited = Duration::ZERO;
        loop {
            if let Ok(done) = timeout(self.timeouts.probe_after, &mut future).await {
                return Ok(done);
            }
            waited += self.timeouts.probe_after;
            if waited >= limit {
                return Err(CallError::Stalled);
            }
            // The answer may arrive while the question is on its way.
            let listed = tokio::select! {
                done = &mut future => return Ok(done),
                // Boxed: it is rare, and its room would be part of every stream.
                listed = Box::pin(self.probe_request(addr, id)) => listed,
            };
            if let Err(text) = listed {
                // The request may have ended while it was asked about: its answer was then sent
                // before the engine's list, over another connection.
                if let Ok(done) = timeout(LAST_BYTES_LIMIT, &mut future).await {
                    return Ok(done);
                }
                self.pool.close_idle(addr);
                return Err(CallError::Lost(text));
            }
        }
    }

    /// Tells a transfer without progress from an engine or a connection that is silent.
    async fn stalled_or_lost(&self, addr: SocketAddr, id: &str) -> CallError {
        match self.probe_request(addr, id).await {
            Ok(()) => CallError::Stalled,
            Err(text) => {
                self.pool.close_idle(addr);
                CallError::Lost(text)
            }
        }
    }

    async fn probe_request(&self, addr: SocketAddr, id: &str) -> Result<(), String> {
        let load = self.load(addr).await;
        let load = load.map_err(|error| format!("silent, and no answer to a probe: {error}"))?;
        if load.held.iter().any(|held| held == id) {
            return Ok(());
        }
        Err("silent, and the engine does not list the request".to_owned())
    }
}

async fn read_answer(connected: PooledResponse) -> Result<(StatusCode, Vec<u8>), CallError> {
    let PooledResponse { response, lease } = connected;
    let (parts, body) = Response::into_parts(response);
    let collected = Limited::new(body, ANSWER_LIMIT).collect().await;
    let collected = collected.map_err(|error| CallError::Lost(error.to_string()))?;
    lease.release();
    Ok((parts.status, collected.to_bytes().to_vec()))
}

async fn read_json<T: DeserializeOwned>(connected: PooledResponse) -> Result<T, CallError> {
    let (status, answer) = read_answer(connected).await?;
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
