//! What an engine holds and counts.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::time::Duration;

use serde_json::Value;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::cache::Cache;
use super::line::Line;
use super::options::{EngineOptions, Fault, Role};
use super::wire::Load;
use crate::server::{WeakServer, lock};
use crate::text;

/// How long a cancelled id is remembered.
const CANCEL_MEMORY: Duration = Duration::from_secs(10);

/// Starts of one request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Runs {
    /// Prefills that were accepted.
    pub prefills: u32,
    /// Decodes that were accepted.
    pub decodes: u32,
}

/// Counters of an engine since its start; a crash does not reset them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Prefills that were accepted.
    pub prefills: u64,
    /// Prefills that were computed to their end.
    pub prefills_done: u64,
    /// Prompt tokens that were computed; cached ones are not counted.
    pub prefill_tokens: u64,
    /// Prefills whose result was never imported.
    pub wasted_prefills: u64,
    /// Prompt tokens that were computed for results that were never imported.
    pub wasted_tokens: u64,
    /// Decodes that were accepted.
    pub decodes: u64,
    /// Decodes that generated their answer to its end.
    pub decodes_done: u64,
    /// Output tokens that were generated.
    pub output_tokens: u64,
    /// Output tokens that were generated after the reader of the stream had gone.
    pub unread_tokens: u64,
    /// Prefills and decodes that were refused with 429.
    pub full: u64,
    /// Imports that were refused with 410.
    pub evicted: u64,
    /// Results sent to another engine.
    pub transfers: u64,
    /// Calls of `/v1/cancel`.
    pub cancels: u64,
    /// Crashes by a poison prompt.
    pub crashes: u64,
    /// Decode slots that were occupied at once at most.
    pub slots_peak: u32,
    /// Orders that were refused because of their fencing number.
    pub stale_orders: u64,
}

/// An accepted order.
#[derive(Clone, Debug, PartialEq)]
pub struct Order {
    /// Its fencing number.
    pub fence: u64,
    /// The wanted state.
    pub want: Value,
}

/// A prefill or decode that holds memory.
pub(super) struct Run {
    pub id: Arc<str>,
    pub cancelled: CancellationToken,
}

/// A prefill's result that waits for its import.
pub(super) struct Stored {
    pub id: Arc<str>,
    pub prompt: Arc<str>,
    pub computed: u32,
    pub expires: Instant,
    pub transfers: u32,
}

pub(super) struct State {
    pub fault: Fault,
    pub role: Role,
    pub prefills: BTreeMap<u64, Run>,
    pub stored: BTreeMap<Arc<str>, Stored>,
    pub decodes: BTreeMap<u64, Run>,
    pub cancelled: BTreeMap<Arc<str>, Instant>,
    pub cache: Cache,
    pub line: Line,
    pub link_free: Instant,
    pub counts: Counts,
    pub runs_by_id: BTreeMap<Arc<str>, Runs>,
    pub runs_by_prompt: BTreeMap<u64, Runs>,
    pub orders: Vec<Order>,
    pub fence: u64,
    pub have: Value,
    pub sample: Option<Load>,
    next: u64,
}

impl State {
    /// Returns a number that no other run or handle of this engine has.
    pub fn next(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    pub fn slots_used(&self) -> u32 {
        u32::try_from(self.decodes.len()).unwrap_or(u32::MAX)
    }

    pub fn held(&self) -> BTreeSet<Arc<str>> {
        let runs = self.prefills.values().chain(self.decodes.values());
        let running = runs.map(|run| run.id.clone());
        let waiting = self.stored.values().map(|stored| stored.id.clone());
        running.chain(waiting).collect()
    }

    /// Counts an accepted start of `id` in the table of ids and the table of prompts.
    pub fn count_run(&mut self, id: &Arc<str>, prompt: &str, count: impl Fn(&mut Runs)) {
        count(self.runs_by_id.entry(id.clone()).or_default());
        let key = text::answer_seed(prompt);
        count(self.runs_by_prompt.entry(key).or_default());
    }

    pub fn was_cancelled(&mut self, id: &str) -> bool {
        let now = Instant::now();
        self.cancelled
            .retain(|_, at| now.duration_since(*at) < CANCEL_MEMORY);
        self.cancelled.contains_key(id)
    }

    /// Frees everything that `id` holds and remembers the id.
    pub fn cancel(&mut self, id: &Arc<str>) {
        self.counts.cancels += 1;
        self.cancelled.insert(id.clone(), Instant::now());
        for runs in [&mut self.prefills, &mut self.decodes] {
            runs.retain(|_, run| {
                let hit = run.id == *id;
                if hit {
                    run.cancelled.cancel();
                }
                !hit
            });
        }
        let of_id = |stored: &Stored| stored.id == *id;
        let handles = self.stored.iter().filter(|(_, s)| of_id(s));
        let handles: Vec<_> = handles.map(|(handle, _)| handle.clone()).collect();
        for handle in handles {
            self.waste(&handle);
        }
    }

    /// Drops a result that was not imported.
    pub fn waste(&mut self, handle: &str) {
        if let Some(stored) = self.stored.remove(handle) {
            self.counts.wasted_prefills += 1;
            self.counts.wasted_tokens += u64::from(stored.computed);
        }
    }

    /// Loses everything but the counters, as a crash does.
    pub fn lose_memory(&mut self) {
        for stored in std::mem::take(&mut self.stored).into_values() {
            self.counts.wasted_prefills += 1;
            self.counts.wasted_tokens += u64::from(stored.computed);
        }
        self.prefills.clear();
        self.decodes.clear();
        self.cancelled.clear();
        self.cache.clear();
        self.line = Line::default();
        self.link_free = Instant::now();
        self.sample = None;
        self.have = Value::Null;
        self.fence = 0;
    }
}

/// An engine's options and state.
pub(super) struct Shared {
    pub options: EngineOptions,
    /// Notified when a fault switch changes.
    pub changed: Notify,
    state: Mutex<State>,
    server: OnceLock<WeakServer>,
}

impl Shared {
    pub fn new(options: EngineOptions) -> Self {
        let state = State {
            fault: options.fault.clone(),
            role: options.role,
            prefills: BTreeMap::new(),
            stored: BTreeMap::new(),
            decodes: BTreeMap::new(),
            cancelled: BTreeMap::new(),
            cache: Cache::new(options.cache_blocks),
            line: Line::default(),
            link_free: Instant::now(),
            counts: Counts::default(),
            runs_by_id: BTreeMap::new(),
            runs_by_prompt: BTreeMap::new(),
            orders: Vec::new(),
            fence: 0,
            have: Value::Null,
            sample: None,
            next: 0,
        };
        Self {
            options,
            changed: Notify::new(),
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

    /// Returns the address as other engines name it.
    pub fn addr(&self) -> Option<String> {
        self.server.get().map(|server| server.addr().to_string())
    }

    /// Dies if `prompt` contains the poison; returns whether it does.
    pub fn crash_on_poison(self: &Arc<Self>, prompt: &str) -> bool {
        {
            let mut state = self.lock();
            let poison = state.fault.poison.as_deref();
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
            server.die().await;
            shared.lock().lose_memory();
            if let Some(after) = shared.options.restart_after {
                tokio::time::sleep(after).await;
                let _ = server.revive().await;
            }
        });
        true
    }

    /// Waits while `stalled` holds for the fault switches.
    pub async fn wait_while(&self, stalled: impl Fn(&Fault) -> bool) {
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if !stalled(&self.lock().fault) {
                return;
            }
            changed.await;
        }
    }
}
