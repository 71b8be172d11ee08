//! Load balancing of plain services: the upstream with the fewest open calls is chosen.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use coord::name::Upstream;

use crate::serve::spec::UpstreamSpec;

/// How long after a failure an upstream is chosen only if no other one is available.
const FAILURE_PENALTY: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug, Default)]
struct Load {
    open: usize,
    failed_at: Option<Instant>,
    /// Times that the upstream was chosen; among equal upstreams the least used one is next.
    chosen: u64,
}

/// Open calls from this VM to each upstream; clones share the counts.
#[derive(Clone, Debug, Default)]
pub struct LoadBalancer {
    loads: Arc<Mutex<BTreeMap<Upstream, Load>>>,
}

impl LoadBalancer {
    /// Returns the least loaded upstream that is not in `tried`, or `None` if there is none.
    #[must_use]
    pub fn choose(&self, upstreams: &[UpstreamSpec], tried: &[Upstream]) -> Option<UpstreamSpec> {
        let mut loads = self.lock();
        let untried = upstreams
            .iter()
            .filter(|spec| spec.role.is_none() && !tried.contains(&spec.name));
        let best = untried.min_by_key(|spec| {
            let load = loads.get(&spec.name).copied().unwrap_or_default();
            let recently_failed = load
                .failed_at
                .is_some_and(|at| at.elapsed() < FAILURE_PENALTY);
            (spec.leaving, recently_failed, load.open, load.chosen)
        })?;
        // An upstream that is leaving receives no new calls, even if it is the only one.
        if best.leaving {
            return None;
        }
        loads.entry(best.name.clone()).or_default().chosen += 1;
        Some(best.clone())
    }

    /// Counts a call as open until the returned guard is dropped, and clears the last failure.
    #[must_use]
    pub fn track(&self, upstream: &Upstream) -> LoadGuard {
        let mut loads = self.lock();
        let load = loads.entry(upstream.clone()).or_default();
        load.open += 1;
        load.failed_at = None;
        LoadGuard {
            balance: self.clone(),
            upstream: upstream.clone(),
        }
    }

    /// Records a failure of an upstream, which is then chosen last for a second.
    pub fn mark_failed(&self, upstream: &Upstream) {
        self.lock().entry(upstream.clone()).or_default().failed_at = Some(Instant::now());
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<Upstream, Load>> {
        self.loads.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Guard that counts a call as open until it is dropped.
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
