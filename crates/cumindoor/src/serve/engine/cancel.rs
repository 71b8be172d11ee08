//! Cancels on engines, tried until they are acknowledged.
//!
//! What is still to be cancelled is kept outside the task that works on it, so nothing is lost
//! when that task is restarted.

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

/// First pause between two tries.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// Longest pause between two tries.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);
/// Cancels on their way at once; each one uses a connection of its own.
const AT_ONCE: usize = 256;

type Key = (SocketAddr, String);

#[derive(Debug)]
struct Pending {
    since: Instant,
    running: bool,
}

#[derive(Debug, Default)]
struct Queue {
    pending: Mutex<BTreeMap<Key, Pending>>,
    changed: Notify,
}

/// Cancels that have to reach engines; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Canceller {
    queue: Arc<Queue>,
}

impl Canceller {
    /// Returns a canceller without work; [`Self::run`] does the work.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Orders to free everything that `id` holds on the engine at `addr`.
    pub fn cancel(&self, addr: SocketAddr, id: String) {
        let since = Instant::now();
        let running = false;
        self.lock()
            .entry((addr, id))
            .or_insert(Pending { since, running });
        self.queue.changed.notify_one();
    }

    /// Returns the number of cancels that are not acknowledged yet.
    #[must_use]
    pub fn pending(&self) -> usize {
        self.lock().len()
    }

    /// Waits until every cancel was acknowledged or given up.
    pub async fn wait_until_empty(&self) {
        while self.pending() > 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// Works on cancels until the future is dropped.
    pub async fn run(&self, client: EngineClient) {
        self.take_over();
        let mut running = FuturesUnordered::new();
        loop {
            while running.len() < AT_ONCE {
                let Some((key, since)) = self.next() else {
                    break;
                };
                running.push(self.work(&client, key, since));
            }
            tokio::select! {
                () = self.queue.changed.notified() => {}
                Some(()) = running.next(), if !running.is_empty() => {}
            }
        }
    }

    /// Makes cancels of a predecessor that ended in the middle available again.
    fn take_over(&self) {
        for pending in self.lock().values_mut() {
            pending.running = false;
        }
    }

    fn next(&self) -> Option<(Key, Instant)> {
        let mut pending = self.lock();
        let (key, entry) = pending.iter_mut().find(|(_, entry)| !entry.running)?;
        entry.running = true;
        Some((key.clone(), entry.since))
    }

    async fn work(&self, client: &EngineClient, key: Key, since: Instant) {
        let (addr, id) = &key;
        let mut pause = FIRST_PAUSE;
        while let Err(error) = client.cancel(*addr, id).await {
            // Nothing listens there: the engine has ended, and its memory with it.
            if matches!(error, CallError::Refused(_)) {
                break;
            }
            if since.elapsed() >= client.timeouts().cancel_total {
                log::warn!(engine = addr.to_string().as_str(), id = id.as_str(); "cancel was never acknowledged");
                break;
            }
            tokio::time::sleep(jittered(pause)).await;
            pause = (pause * 2).min(LONGEST_PAUSE);
        }
        self.lock().remove(&key);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<Key, Pending>> {
        let pending = &self.queue.pending;
        pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[derive(Clone, Debug)]
struct Call {
    upstream: Upstream,
    addr: SocketAddr,
    id: String,
}

/// The engine calls of one request that may still hold memory.
///
/// Whatever is not settled when it is dropped is cancelled, whether the request ended, its
/// caller went away or its task panicked.
#[derive(Debug)]
pub struct EngineCalls {
    canceller: Canceller,
    calls: Vec<Call>,
}

impl EngineCalls {
    /// Returns a list without calls.
    #[must_use]
    pub fn new(canceller: Canceller) -> Self {
        let calls = Vec::new();
        Self { canceller, calls }
    }

    /// Notes a call before its first byte is sent.
    pub fn add(&mut self, upstream: Upstream, addr: SocketAddr, id: String) {
        self.calls.push(Call { upstream, addr, id });
    }

    /// Notes that a call holds nothing any more.
    pub fn mark_released(&mut self, upstream: &Upstream, id: &str) {
        let is_it = |call: &Call| call.id == id && call.upstream == *upstream;
        self.calls.retain(|call| !is_it(call));
    }

    /// Cancels one call.
    pub fn cancel(&mut self, upstream: &Upstream, id: &str) {
        self.cancel_where(|call| call.id == id && call.upstream == *upstream);
    }

    /// Cancels all calls to an engine.
    pub fn cancel_on(&mut self, upstream: &Upstream) {
        self.cancel_where(|call| call.upstream == *upstream);
    }

    /// Cancels all calls.
    pub fn cancel_all(&mut self) {
        self.cancel_where(|_| true);
    }

    fn cancel_where(&mut self, chosen: impl Fn(&Call) -> bool) {
        for call in self.calls.extract_if(.., |call| chosen(call)) {
            self.canceller.cancel(call.addr, call.id);
        }
    }
}

impl Drop for EngineCalls {
    fn drop(&mut self) {
        self.cancel_all();
    }
}
