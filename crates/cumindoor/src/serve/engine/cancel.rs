//! Cancels of engine calls, retried until the engine acknowledges them.
//!
//! The pending cancels are kept outside the task that sends them, so a restart of that task loses
//! none.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use coord::name::Upstream;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use tokio::sync::Notify;

use super::{CallError, EngineClient};
use crate::serve::spec::jittered;

/// Delay before the first retry; it doubles with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// Upper bound of the delay between retries.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Cancels in flight at the same time; each one uses its own connection.
const MAX_CONCURRENT_CANCELS: usize = 256;

type Key = (SocketAddr, String);

#[derive(Debug)]
struct Pending {
    since: Instant,
    in_flight: bool,
}

#[derive(Debug, Default)]
struct Queue {
    pending: Mutex<BTreeMap<Key, Pending>>,
    changed: Notify,
}

/// Queue of cancels that engines have not acknowledged; clones share it.
#[derive(Clone, Debug, Default)]
pub struct Canceller {
    queue: Arc<Queue>,
}

impl Canceller {
    /// Returns an empty queue; [`Self::run`] sends what is added to it.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a cancel of `id` on the engine at `addr`; does nothing if it is already pending.
    pub fn cancel(&self, addr: SocketAddr, id: String) {
        let since = Instant::now();
        let in_flight = false;
        self.lock()
            .entry((addr, id))
            .or_insert(Pending { since, in_flight });
        self.queue.changed.notify_one();
    }

    /// Returns the number of cancels that are neither acknowledged nor given up.
    #[must_use]
    pub fn pending(&self) -> usize {
        self.lock().len()
    }

    /// Waits until every cancel is acknowledged or given up.
    pub async fn wait_until_empty(&self) {
        while self.pending() > 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// Sends cancels until the future is dropped.
    pub async fn run(&self, client: EngineClient) {
        self.reset_in_flight();
        let mut running = FuturesUnordered::new();
        loop {
            while running.len() < MAX_CONCURRENT_CANCELS {
                let Some((key, since)) = self.next() else {
                    break;
                };
                running.push(self.cancel_with_retries(&client, key, since));
            }
            tokio::select! {
                () = self.queue.changed.notified() => {}
                Some(()) = running.next(), if !running.is_empty() => {}
            }
        }
    }

    /// Makes cancels available again that were in flight when a previous run ended.
    fn reset_in_flight(&self) {
        for pending in self.lock().values_mut() {
            pending.in_flight = false;
        }
    }

    fn next(&self) -> Option<(Key, Instant)> {
        let mut pending = self.lock();
        let (key, entry) = pending.iter_mut().find(|(_, entry)| !entry.in_flight)?;
        entry.in_flight = true;
        Some((key.clone(), entry.since))
    }

    async fn cancel_with_retries(&self, client: &EngineClient, key: Key, since: Instant) {
        let (addr, id) = &key;
        let mut backoff = INITIAL_BACKOFF;
        while let Err(error) = client.cancel(*addr, id).await {
            // Nothing listens at the address: the engine process has ended and holds no memory.
            if matches!(error, CallError::Refused(_)) {
                break;
            }
            if since.elapsed() >= client.timeouts().cancel_total {
                log::warn!(engine = addr.to_string().as_str(), id = id.as_str(); "cancel was never acknowledged");
                break;
            }
            tokio::time::sleep(jittered(backoff)).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
        self.lock().remove(&key);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<Key, Pending>> {
        let pending = &self.queue.pending;
        pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[derive(Clone, Debug)]
struct EngineCall {
    upstream: Upstream,
    addr: SocketAddr,
    id: String,
}

/// The engine calls of one request that may still hold memory on their engines.
///
/// Dropping the list cancels the calls that are left in it, whether the request ended, its caller
/// disconnected or its task panicked.
#[derive(Debug)]
pub struct EngineCalls {
    canceller: Canceller,
    calls: Vec<EngineCall>,
}

impl EngineCalls {
    /// Returns an empty list whose cancels go to `canceller`.
    #[must_use]
    pub fn new(canceller: Canceller) -> Self {
        let calls = Vec::new();
        Self { canceller, calls }
    }

    /// Adds a call; must be called before the first byte of the call is sent.
    pub fn add(&mut self, upstream: Upstream, addr: SocketAddr, id: String) {
        self.calls.push(EngineCall { upstream, addr, id });
    }

    /// Removes a call that no longer holds memory on its engine.
    pub fn mark_released(&mut self, upstream: &Upstream, id: &str) {
        let matches = |call: &EngineCall| call.id == id && call.upstream == *upstream;
        self.calls.retain(|call| !matches(call));
    }

    /// Cancels one call and removes it from the list.
    pub fn cancel(&mut self, upstream: &Upstream, id: &str) {
        self.cancel_where(|call| call.id == id && call.upstream == *upstream);
    }

    /// Cancels and removes all calls to an engine.
    pub fn cancel_on(&mut self, upstream: &Upstream) {
        self.cancel_where(|call| call.upstream == *upstream);
    }

    /// Cancels and removes all calls.
    pub fn cancel_all(&mut self) {
        self.cancel_where(|_| true);
    }

    fn cancel_where(&mut self, selected: impl Fn(&EngineCall) -> bool) {
        for call in self.calls.extract_if(.., |call| selected(call)) {
            self.canceller.cancel(call.addr, call.id);
        }
    }
}

impl Drop for EngineCalls {
    fn drop(&mut self) {
        self.cancel_all();
    }
}
