//! What all requests of a VM share.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

use coord::name::{Organisation, Service};
use tokio_util::task::TaskTracker;

use crate::serve::cell::{Cell, Clock};
use crate::serve::engine::EngineClient;
use crate::serve::engine::cancel::Canceller;
use crate::serve::plain::Balance;
use crate::serve::spec::{ServeOptions, ServiceSpec, Table};

/// What all requests of a VM share.
pub struct Context {
    /// The VM's options.
    pub options: ServeOptions,
    /// Services and upstreams.
    pub table: Table,
    /// Where requests wait for engines.
    pub cell: Arc<dyn Cell>,
    /// The clock that deadlines are given in.
    pub clock: Clock,
    /// Client of the engines.
    pub engines: EngineClient,
    /// Cancels that have to reach engines.
    pub canceller: Canceller,
    /// Running requests.
    pub runs: TaskTracker,
    /// Open requests of each organisation.
    pub open: Open,
    /// Open calls of plain services' upstreams.
    pub balance: Balance,
}

impl Context {
    /// Returns a context without requests.
    #[must_use]
    pub fn new(options: ServeOptions, table: Table, cell: Arc<dyn Cell>, clock: Clock) -> Self {
        let engines = EngineClient::new(options.times.clone());
        Self {
            options,
            table,
            cell,
            clock,
            engines,
            canceller: Canceller::new(),
            runs: TaskTracker::new(),
            open: Open::default(),
            balance: Balance::default(),
        }
    }
}

type Key = (Organisation, Service);

/// Counts open requests of each organisation and service; clones share the counts.
#[derive(Clone, Debug, Default)]
pub struct Open {
    counts: Arc<Mutex<BTreeMap<Key, usize>>>,
}

impl Open {
    /// Counts one more request, or returns `None` if the limit is reached.
    #[must_use]
    pub fn enter(&self, spec: &ServiceSpec) -> Option<OpenGuard> {
        let key = (spec.organisation.clone(), spec.name.clone());
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        let count = counts.entry(key.clone()).or_default();
        if *count >= spec.open_limit {
            return None;
        }
        *count += 1;
        let open = self.clone();
        Some(OpenGuard { open, key })
    }

    /// Returns the number of open requests.
    #[must_use]
    pub fn total(&self) -> usize {
        let counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        counts.values().sum()
    }

    fn leave(&self, key: &Key) {
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(count) = counts.get_mut(key) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            counts.remove(key);
        }
    }
}

/// Counts one open request until it is dropped.
#[derive(Debug)]
pub struct OpenGuard {
    open: Open,
    key: Key,
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.open.leave(&self.key);
    }
}
