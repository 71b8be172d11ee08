//! The client side: a pool with a limited number of persistent connections to peers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use coord::name::VmName;
use fastrace::prelude::SpanContext;
use tarpc::context::Context;
use tarpc::trace::{self, SamplingDecision, SpanId, TraceId};

use super::PeerError;
use super::link::Link;
use super::router::Part;
use super::wire::{Envelope, MAX_FRAME_BYTES};

/// The bytes of a frame that are reserved for the [`Envelope`] around a call.
const ENVELOPE_RESERVE_BYTES: usize = 1_024;

/// The limits of [`Peers`].
#[derive(Clone, Debug)]
pub struct PeersOptions {
    /// The maximum number of persistent connections. When it is reached, a new connection replaces
    /// the least recently used one.
    pub max_connections: usize,
    /// The time within which a connection must be established and upgraded.
    pub connect_timeout: Duration,
}

impl Default for PeersOptions {
    /// The limit on connections allows for data centres of 43 VMs; the remaining connections are
    /// for peers in other data centres.
    fn default() -> Self {
        Self {
            max_connections: 64,
            connect_timeout: Duration::from_millis(500),
        }
    }
}

/// A client for calls to other VMs. Clones share the connections.
#[derive(Clone)]
pub struct Peers {
    shared: Arc<Shared>,
}

struct Shared {
    local_vm: VmName,
    options: PeersOptions,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    directory: BTreeMap<VmName, SocketAddr>,
    entries: BTreeMap<SocketAddr, PoolEntry>,
}

struct PoolEntry {
    link: Arc<tokio::sync::Mutex<Option<Arc<Link>>>>,
    last_used: Instant,
}

impl Peers {
    /// Returns a client without connections, which names `local_vm` as the caller.
    #[must_use]
    pub fn new(local_vm: VmName, options: PeersOptions) -> Self {
        let state = Mutex::new(State::default());
        Self {
            shared: Arc::new(Shared {
                local_vm,
                options,
                state,
            }),
        }
    }

    /// Replaces the addresses of all VMs. Connections to addresses that are not in `directory` are
    /// closed once their calls have ended.
    pub fn set_directory(&self, directory: BTreeMap<VmName, SocketAddr>) {
        let mut state = self.state();
        let kept: std::collections::BTreeSet<_> = directory.values().copied().collect();
        state.entries.retain(|addr, _| kept.contains(addr));
        state.directory = directory;
    }

    /// Returns the address of a VM, or `None` if the directory does not contain it.
    #[must_use]
    pub fn address(&self, vm: &VmName) -> Option<SocketAddr> {
        self.state().directory.get(vm).copied()
    }

    /// Returns the number of connections that are open or being opened.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.state().entries.len()
    }

    /// Calls the part `P` on the VM `to` and waits up to `limit` for the reply.
    ///
    /// # Errors
    ///
    /// See [`PeerError`]; [`PeerError::not_run`] tells whether the call may have run.
    pub async fn call<P: Part>(
        &self,
        to: &VmName,
        call: &P::Call,
        limit: Duration,
    ) -> Result<P::Reply, PeerError> {
        let addr = self
            .address(to)
            .ok_or_else(|| PeerError::UnknownVm(to.to_string()))?;
        self.call_at::<P>(addr, call, limit).await
    }

    /// Calls the part `P` at the address `to`, for VMs whose name is not known yet.
    ///
    /// # Errors
    ///
    /// As [`call`](Self::call).
    pub async fn call_at<P: Part>(
        &self,
        to: SocketAddr,
        call: &P::Call,
        limit: Duration,
    ) -> Result<P::Reply, PeerError> {
        let deadline = Instant::now() + limit;
        let body = rmp_serde::to_vec(call).map_err(|e| PeerError::Encode(e.to_string()))?;
        if body.len() + ENVELOPE_RESERVE_BYTES > MAX_FRAME_BYTES {
            let text = format!(
                "{} bytes are over the limit of {MAX_FRAME_BYTES}",
                body.len()
            );
            return Err(PeerError::Encode(text));
        }
        let (context, envelope) = self.envelope(P::NAME, body, deadline);
        let link = tokio::time::timeout(limit, self.link(to));
        let link = link
            .await
            .map_err(|_| connect_error(to, "the deadline passed"))??;
        let result = link.call(context, envelope).await;
        let body = result?.map_err(PeerError::Refused)?;
        rmp_serde::from_slice(&body).map_err(|e| PeerError::Decode(e.to_string()))
    }

    fn envelope(&self, part: &str, body: Vec<u8>, deadline: Instant) -> (Context, Envelope) {
        let local = SpanContext::current_local_parent();
        let mut context = tarpc::context::current();
        context.deadline = deadline;
        if let Some(parent) = local {
            context.trace_context = trace::Context {
                trace_id: TraceId::from(parent.trace_id.0),
                span_id: SpanId::from(parent.span_id.0),
                sampling_decision: SamplingDecision::Sampled,
            };
        }
        let envelope = Envelope {
            from: self.shared.local_vm.to_string(),
            part: part.to_owned(),
            span: local.map_or(0, |parent| parent.span_id.0),
            body: Bytes::from(body),
        };
        (context, envelope)
    }

    /// Returns the open connection to `to`, or opens one. All calls to an address share it.
    async fn link(&self, to: SocketAddr) -> Result<Arc<Link>, PeerError> {
        let entry = self.entry(to);
        let mut entry = entry.lock().await;
        if let Some(link) = entry.as_ref().filter(|link| !link.is_closed()) {
            return Ok(Arc::clone(link));
        }
        *entry = None;
        let opening = tokio::time::timeout(self.shared.options.connect_timeout, Link::open(to));
        let link = match opening.await {
            Ok(Ok(link)) => Arc::new(link),
            Ok(Err(error)) => return Err(connect_error(to, &error.to_string())),
            Err(_) => return Err(connect_error(to, "the connection was not open in time")),
        };
        *entry = Some(Arc::clone(&link));
        Ok(link)
    }

    fn entry(&self, to: SocketAddr) -> Arc<tokio::sync::Mutex<Option<Arc<Link>>>> {
        let mut state = self.state();
        let full = state.entries.len() >= self.shared.options.max_connections;
        if full && !state.entries.contains_key(&to) {
            let oldest = state
                .entries
                .iter()
                .min_by_key(|(_, entry)| entry.last_used);
            let oldest = oldest.map(|(addr, _)| *addr);
            oldest.and_then(|addr| state.entries.remove(&addr));
        }
        let entry = state.entries.entry(to).or_insert_with(|| PoolEntry {
            link: Arc::default(),
            last_used: Instant::now(),
        });
        entry.last_used = Instant::now();
        Arc::clone(&entry.link)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.shared
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

fn connect_error(to: SocketAddr, text: &str) -> PeerError {
    PeerError::Connect {
        to: to.to_string(),
        text: text.to_owned(),
    }
}
