//! Choice of a plain service's upstream: the one with the fewest open calls.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use coord::name::Upstream;

use crate::serve::spec::UpstreamSpec;

/// How long an upstream is the last choice after a failure.
const AVOID: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug, Default)]
struct Load {
    open: usize,
    failed: Option<Instant>,
    /// Counts choices, so that equal upstreams take turns.
    chosen: u64,
}

/// Open calls of each upstream as this VM sees them; clones share the counts.
#[derive(Clone, Debug, Default)]
pub struct LoadBalancer {
    loads: Arc<Mutex<BTreeMap<Upstream, Load>>>,
}

impl LoadBalancer {
    /// Returns the best upstream that is not in `tried`.
    #[must_use]
    pub fn choose(&self, upstreams: &[UpstreamSpec], tried: &[Upstream]) -> Option<UpstreamSpec> {
        let mut loads = self.lock();
        let fresh = upstreams
            .iter()
            .filter(|spec| spec.role.is_none() && !tried.contains(&spec.name));
        let best = fresh.min_by_key(|spec| {
            let load = loads.get(&spec.name).copied().unwrap_or_default();
            let avoid = load.failed.is_some_and(|at| at.elapsed() < AVOID);
            (spec.leaving, avoid, load.open, load.chosen)
        })?;
        // An upstream that is leaving gets no new work, even if it is the only one.
        if best.leaving {
            return None;
        }
        loads.entry(best.name.clone()).or_default().chosen += 1;
        Some(best.clone())
    }

    /// Counts an open call until the guard is dropped.
    #[must_use]
    pub fn track(&self, upstream: &Upstream) -> LoadGuard {
        let mut loads = self.lock();
        let load = loads.entry(upstream.clone()).or_default();
        load.open += 1;
        load.failed = None;
        LoadGuard {
            balance: self.clone(),
            upstream: upstream.clone(),
        }
    }

    /// Makes an upstream the last choice for a while.
    pub fn mark_failed(&self, upstream: &Upstream) {
        self.lock().entry(upstream.clone()).or_default().failed = Some(Instant::now());
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<Upstream, Load>> {
        self.loads.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Counts one open call until it is dropped.
#[derive(Debug)]
pub struct LoadGuard {
    balance: LoadBalancer,
    upstream: Upstream,
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        if let Some(load) = self.balance.lock().get_mut(&self.upstream) {
            load.open = load.open.saturating_sub(1);
        }
    }
}
