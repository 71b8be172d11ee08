//! State that all requests of a VM share.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use coord::name::{Organisation, Service};
use coord::sched::JobId;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::claims::{Claims, LocalClaims};
use crate::serve::cell::{Cell, Clock};
use crate::serve::claim::AnswerStore;
use crate::serve::engine::EngineClient;
use crate::serve::engine::cancel::Canceller;
use crate::serve::plain::LoadBalancer;
use crate::serve::spec::{ServeOptions, ServiceSpec, Table};
use crate::serve::telemetry::Telemetry;

/// State that all requests of a VM share.
pub struct Context {
    /// The VM's options.
    pub options: ServeOptions,
    /// Services and upstreams.
    pub table: Table,
    /// The schedulers that assign requests to engines.
    pub cell: Arc<dyn Cell>,
    /// The clock on which the deadlines of requests are based.
    pub clock: Clock,
    /// HTTP client of the engines.
    pub engines: EngineClient,
    /// Cancels that engines have not acknowledged yet.
    pub canceller: Canceller,
    /// Tracks the tasks of running requests, so that a shutdown can wait for them.
    pub tasks: TaskTracker,
    /// Cancelled when the stop limit has passed during a shutdown; running requests then end with a
    /// refusal.
    pub abort: CancellationToken,
    /// The number of open requests of each organisation and service.
    pub open: OpenRequests,
    /// The number of open calls to each upstream of a plain service.
    pub balance: LoadBalancer,
    /// The ids of the model requests that run on this VM.
    pub live: LiveRequests,
    /// Claims on idempotency keys of once-only requests; [`LocalClaims`] unless replaced.
    pub claims: Arc<dyn Claims>,
    /// Recorded answers of requests with an idempotency key.
    pub answers: AnswerStore,
    /// Counters and timers.
    pub telemetry: Telemetry,
}

impl Context {
    /// Returns a context without requests.
    #[must_use]
    pub fn new(
        options: ServeOptions,
        table: Table,
        cell: Arc<dyn Cell>,
        clock: Clock,
        telemetry: Telemetry,
    ) -> Self {
        let engines = EngineClient::new(options.timeouts.clone());
        let tasks = TaskTracker::new();
        let claims = LocalClaims::new(options.vm.clone(), options.once_retention);
        Self {
            options,
            table,
            cell,
            clock,
            engines,
            canceller: Canceller::new(),
            answers: AnswerStore::new(tasks.clone()),
            tasks,
            abort: CancellationToken::new(),
            open: OpenRequests::default(),
            balance: LoadBalancer::default(),
            live: LiveRequests::default(),
            claims: Arc::new(claims),
            telemetry,
        }
    }
}

/// The ids of the requests that run on this VM; clones share them.
#[derive(Clone, Debug, Default)]
pub struct LiveRequests {
    ids: Arc<Mutex<BTreeSet<JobId>>>,
}

impl LiveRequests {
    /// Adds an id. This has to happen before the id is sent to any engine: ids that engines hold
    /// and that are not in this set are cancelled.
    pub fn add(&self, id: JobId) {
        self.lock().insert(id);
    }

    /// Removes the id of a request that has ended or changed its id.
    pub fn remove(&self, id: JobId) {
        self.lock().remove(&id);
    }

    /// Returns true if a request with this id is running.
    #[must_use]
    pub fn contains(&self, id: JobId) -> bool {
        self.lock().contains(&id)
    }

    /// Returns the number of running requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Returns true if no request is running.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeSet<JobId>> {
        self.ids.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

type ServiceKey = (Organisation, Service);

/// Counts open requests of each organisation and service; clones share the counts.
#[derive(Clone, Debug, Default)]
pub struct OpenRequests {
    counts: Arc<Mutex<BTreeMap<ServiceKey, usize>>>,
}

impl OpenRequests {
    /// Counts one more open request, or returns `None` if the service's limit is reached.
    #[must_use]
    pub fn acquire(&self, spec: &ServiceSpec) -> Option<OpenGuard> {
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

    /// Returns the number of open requests of all organisations and services.
    #[must_use]
    pub fn total(&self) -> usize {
        let counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        counts.values().sum()
    }

    fn release(&self, key: &ServiceKey) {
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

/// Keeps one open request counted until it is dropped.
#[derive(Debug)]
pub struct OpenGuard {
    open: OpenRequests,
    key: ServiceKey,
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.open.release(&self.key);
    }
}
