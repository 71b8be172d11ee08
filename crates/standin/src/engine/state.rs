//! The state and the counters of an engine.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::time::Duration;

use serde_json::Value;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::cache::PrefixCache;
use super::options::{EngineFaults, EngineOptions, Role};
use super::queue::PrefillQueue;
use super::wire::LoadReport;
use crate::server::{WeakServer, lock};
use crate::text;

/// How long requests with a cancelled id are refused.
const CANCELLED_ID_TTL: Duration = Duration::from_secs(10);

/// How often one request was accepted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Runs {
    /// The number of accepted prefills.
    pub prefills: u32,
    /// The number of accepted decodes.
    pub decodes: u32,
}

/// The counters of an engine since its start, which a crash does not reset.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// The number of accepted prefills.
    pub prefills: u64,
    /// The number of completed prefills.
    pub prefills_done: u64,
    /// The number of computed prompt tokens, without those found in the prefix cache.
    pub prefill_tokens: u64,
    /// The number of prefills whose KV cache was never imported.
    pub wasted_prefills: u64,
    /// The number of prompt tokens computed for prefills whose KV cache was never imported.
    pub wasted_tokens: u64,
    /// The number of accepted decodes.
    pub decodes: u64,
    /// The number of decodes that generated all their tokens.
    pub decodes_done: u64,
    /// The number of generated tokens.
    pub output_tokens: u64,
    /// The number of tokens generated after the client of the stream disconnected.
    pub unread_tokens: u64,
    /// The number of prefills and decodes that were refused with 429.
    pub rejected: u64,
    /// The number of decodes that were refused with 410 because the KV cache was evicted.
    pub evicted_imports: u64,
    /// The number of KV caches sent to another engine.
    pub transfers: u64,
    /// The number of requests of `/v1/cancel`.
    pub cancels: u64,
    /// The number of crashes by a poison prompt.
    pub crashes: u64,
    /// The highest number of decode slots that were in use at the same time.
    pub slots_peak: u32,
    /// The number of orders that were refused because of an old fencing token.
    pub stale_orders: u64,
}

/// An accepted order.
#[derive(Clone, Debug, PartialEq)]
pub struct Order {
    /// The fencing token of the lease under which it was given.
    pub fencing_token: u64,
    /// The state that the order requests.
    pub target_state: Value,
}

/// A prefill or decode that was accepted and is not finished.
pub(super) struct ActiveRun {
    pub id: Arc<str>,
    pub cancelled: CancellationToken,
}

/// The KV cache of a finished prefill, which is kept until it is imported or expires.
pub(super) struct StoredPrefill {
    pub id: Arc<str>,
    pub prompt: Arc<str>,
    pub computed_tokens: u32,
    pub expires: Instant,
    pub open_transfers: u32,
}

pub(super) struct State {
    pub faults: EngineFaults,
    pub role: Role,
    pub prefills: BTreeMap<u64, ActiveRun>,
    /// The stored KV caches by their handles.
    pub stored: BTreeMap<Arc<str>, StoredPrefill>,
    pub decodes: BTreeMap<u64, ActiveRun>,
    /// The cancelled ids and the times of their cancellation.
    pub cancelled: BTreeMap<Arc<str>, Instant>,
    pub cache: PrefixCache,
    pub queue: PrefillQueue,
    /// The time at which all transfers of the outgoing link are complete.
    pub link_free: Instant,
    pub counts: Counts,
    pub runs_by_id: BTreeMap<Arc<str>, Runs>,
    /// The runs by the hash of their prompt.
    pub runs_by_prompt: BTreeMap<u64, Runs>,
    pub orders: Vec<Order>,
    pub highest_fence: u64,
    /// The target state of the last order that took effect.
    pub applied_order: Value,
    pub load_sample: Option<LoadReport>,
    last_number: u64,
}

impl State {
    /// Returns a number that is unique among the runs and handles of this engine.
    pub fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    pub fn slots_used(&self) -> u32 {
        u32::try_from(self.decodes.len()).unwrap_or(u32::MAX)
    }

    /// Returns the ids of the requests that hold memory.
    pub fn held_ids(&self) -> BTreeSet<Arc<str>> {
        let runs = self.prefills.values().chain(self.decodes.values());
        let running = runs.map(|run| run.id.clone());
        let stored = self.stored.values().map(|stored| stored.id.clone());
        running.chain(stored).collect()
    }

    /// Counts an accepted run under its id and under its prompt.
    pub fn count_run(&mut self, id: &Arc<str>, prompt: &str, count: impl Fn(&mut Runs)) {
        count(self.runs_by_id.entry(id.clone()).or_default());
        let key = text::answer_seed(prompt);
        count(self.runs_by_prompt.entry(key).or_default());
    }

    /// Returns whether `id` was cancelled within [`CANCELLED_ID_TTL`], and drops older ids.
    pub fn was_cancelled(&mut self, id: &str) -> bool {
        let now = Instant::now();
        self.cancelled
            .retain(|_, at| now.duration_since(*at) < CANCELLED_ID_TTL);
        self.cancelled.contains_key(id)
    }

    /// Cancels the runs of `id`, frees its stored KV caches and refuses the id for
    /// [`CANCELLED_ID_TTL`].
    ///
    /// The id is refused because a cancel may arrive before the request that it cancels.
    pub fn cancel(&mut self, id: &Arc<str>) {
        self.counts.cancels += 1;
        self.cancelled.insert(id.clone(), Instant::now());
        for runs in [&mut self.prefills, &mut self.decodes] {
            runs.retain(|_, run| {
                let matches = run.id == *id;
                if matches {
                    run.cancelled.cancel();
                }
                !matches
            });
        }
        let has_id = |stored: &StoredPrefill| stored.id == *id;
        let handles = self.stored.iter().filter(|(_, stored)| has_id(stored));
        let handles: Vec<_> = handles.map(|(handle, _)| handle.clone()).collect();
        for handle in handles {
            self.discard_unused(&handle);
        }
    }

    /// Drops a stored KV cache and counts it as wasted.
    pub fn discard_unused(&mut self, handle: &str) {
        if let Some(stored) = self.stored.remove(handle) {
            self.counts.wasted_prefills += 1;
            self.counts.wasted_tokens += u64::from(stored.computed_tokens);
        }
    }

    /// Clears everything that a crash loses.
    ///
    /// The role, the faults, the counters and the list of orders stay.
    pub fn reset_memory(&mut self) {
        for stored in std::mem::take(&mut self.stored).into_values() {
            self.counts.wasted_prefills += 1;
            self.counts.wasted_tokens += u64::from(stored.computed_tokens);
        }
        self.prefills.clear();
        self.decodes.clear();
        self.cancelled.clear();
        self.cache.clear();
        self.queue = PrefillQueue::default();
        self.link_free = Instant::now();
        self.load_sample = None;
        self.applied_order = Value::Null;
        self.highest_fence = 0;
    }
}

/// An engine's options and state.
pub(super) struct Shared {
    pub options: EngineOptions,
    /// Notified when the injected faults change.
    pub faults_changed: Notify,
    state: Mutex<State>,
    server: OnceLock<WeakServer>,
}

impl Shared {
    pub fn new(options: EngineOptions) -> Self {
        let state = State {
            faults: options.faults.clone(),
            role: options.role,
            prefills: BTreeMap::new(),
            stored: BTreeMap::new(),
            decodes: BTreeMap::new(),
            cancelled: BTreeMap::new(),
            cache: PrefixCache::new(options.cache_blocks),
            queue: PrefillQueue::default(),
            link_free: Instant::now(),
            counts: Counts::default(),
            runs_by_id: BTreeMap::new(),
            runs_by_prompt: BTreeMap::new(),
            orders: Vec::new(),
            highest_fence: 0,
            applied_order: Value::Null,
            load_sample: None,
            last_number: 0,
        };
        Self {
            options,
            faults_changed: Notify::new(),
            state: Mutex::new(state),
            server: OnceLock::new(),
        }
    }

    pub fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    pub fn set_server(&self, server: WeakServer) {
        let _ = self.server.set(server);
    }

    /// Returns the address by which other engines refer to this one.
    pub fn addr(&self) -> Option<String> {
        self.server.get().map(|server| server.addr().to_string())
    }

    /// Crashes the engine if `prompt` contains the poison text; returns whether it does.
    pub fn crash_on_poison(self: &Arc<Self>, prompt: &str) -> bool {
        {
            let mut state = self.lock();
            let poison = state.faults.poison.as_deref();
            if !poison.is_some_and(|poison| prompt.contains(poison)) {
                return false;
            }
            state.counts.crashes += 1;
        }
        let shared = self.clone();
        tokio::spawn(async move {
            let server = shared.server.get().and_then(WeakServer::upgrade);
            let Some(server) = server else {
                return;
            };
            server.crash().await;
            shared.lock().reset_memory();
            if let Some(after) = shared.options.restart_after {
                tokio::time::sleep(after).await;
                let _ = server.restart().await;
            }
        });
        true
    }

    /// Waits while `stalled` holds for the injected faults.
    pub async fn wait_while(&self, stalled: impl Fn(&EngineFaults) -> bool) {
        loop {
            let changed = self.faults_changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if !stalled(&self.lock().faults) {
                return;
            }
            changed.await;
        }
    }
}
