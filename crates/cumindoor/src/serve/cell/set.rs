//! The cells of a deployment with a single VM: one scheduler for each service.

use std::collections::BTreeMap;
use std::sync::{Arc, PoisonError, RwLock};

use coord::name::Service;
use coord::sched::{Attempt, Job, JobId, SchedOptions};
use tokio::sync::mpsc;

use super::{Cell, Clock, EngineUpdate, EngineUpdates, LocalCell, Order, Orphan, Progress};
use crate::serve::spec::Table;
use crate::serve::supervisor::{Spec, Strategy};

/// The local cells of all services that have model engines.
pub struct CellSet {
    options: SchedOptions,
    clock: Clock,
    cells: RwLock<BTreeMap<Service, Arc<LocalCell>>>,
    orphans: mpsc::UnboundedSender<Orphan>,
    /// Notified when a cell is added, so that its scheduler is started.
    added: tokio::sync::Notify,
    poll_signal: Arc<tokio::sync::Notify>,
}

impl CellSet {
    /// Returns a set without cells, and the channel of the cancels whose request is unknown to
    /// the schedulers.
    #[must_use]
    pub fn new(
        options: SchedOptions,
        clock: Clock,
    ) -> (Arc<Self>, mpsc::UnboundedReceiver<Orphan>) {
        let (orphans, receiver) = mpsc::unbounded_channel();
        let set = Self {
            options,
            clock,
            cells: RwLock::default(),
            orphans,
            added: tokio::sync::Notify::new(),
            poll_signal: Arc::default(),
        };
        (Arc::new(set), receiver)
    }

    /// Returns the supervised tasks that run the schedulers and update their lists of engines.
    #[must_use]
    pub fn tasks(self: &Arc<Self>, table: &Table) -> Spec {
        let (set, table) = (Arc::clone(self), table.clone());
        let follow = Spec::task("engine-list", move || {
            follow_engine_list(Arc::clone(&set), table.clone())
        });
        let set = Arc::clone(self);
        let run = Spec::task("schedulers", move || run_schedulers(Arc::clone(&set)));
        Spec::group("cells", Strategy::OneForAll, vec![follow, run])
    }

    /// Returns the cell of a service, or `None` if the service has never had an engine.
    #[must_use]
    pub fn get(&self, service: &Service) -> Option<Arc<LocalCell>> {
        let cells = self.cells.read().unwrap_or_else(PoisonError::into_inner);
        cells.get(service).cloned()
    }

    fn all(&self) -> Vec<Arc<LocalCell>> {
        let cells = self.cells.read().unwrap_or_else(PoisonError::into_inner);
        cells.values().cloned().collect()
    }

    fn update(&self, table: &Table) {
        let mut engines: BTreeMap<Service, Vec<_>> = BTreeMap::new();
        for upstream in table.engines() {
            if let Some(engine) = upstream.engine() {
                let service_engines = engines.entry(upstream.service.clone()).or_default();
                service_engines.push((engine, upstream.leaving));
            }
        }
        let mut cells = self.cells.write().unwrap_or_else(PoisonError::into_inner);
        for service in engines.keys() {
            cells.entry(service.clone()).or_insert_with(|| {
                self.added.notify_one();
                let options = self.options.clone();
                LocalCell::new(options, self.clock, self.orphans.clone())
            });
        }
        for (service, cell) in cells.iter() {
            cell.set_engines(engines.remove(service).unwrap_or_default());
        }
    }
}

impl Cell for CellSet {
    fn submit(&self, job: Job) -> mpsc::UnboundedReceiver<Order> {
        let (orders, receiver) = mpsc::unbounded_channel();
        match self.get(&job.service) {
            Some(cell) => return cell.submit(job),
            None => drop(orders.send(Order::Refuse {
                reason: coord::sched::Reason::NoUpstream,
                retry_after: Some(super::NO_UPSTREAM_RETRY_AFTER),
            })),
        }
        receiver
    }

    fn report(&self, id: JobId, attempt: Attempt, progress: Progress) {
        // The id does not name the service. Each cell ignores unknown ids, and there are few cells.
        for cell in self.all() {
            cell.report(id, attempt, progress);
        }
    }
}

impl EngineUpdates for CellSet {
    fn engine_update(&self, group: &Service, update: EngineUpdate) {
        if let Some(cell) = self.get(group) {
            cell.engine_update(update);
        }
    }

    fn needs_updates(&self, _group: &Service) -> bool {
        true
    }

    fn poll_signal(&self) -> Arc<tokio::sync::Notify> {
        Arc::clone(&self.poll_signal)
    }
}

async fn follow_engine_list(set: Arc<CellSet>, table: Table) -> eyre::Result<()> {
    let mut changes = table.changes();
    loop {
        set.update(&table);
        changes.next().await;
    }
}

/// Runs the schedulers of all cells. If one fails, all of them are stopped, and the supervisor
/// restarts this task; adding a cell restarts them as well.
async fn run_schedulers(set: Arc<CellSet>) -> eyre::Result<()> {
    let mut running = tokio::task::JoinSet::new();
    let mut started = 0;
    loop {
        let cells = set.all();
        if cells.len() != started {
            running.shutdown().await;
            started = cells.len();
            for cell in cells {
                running.spawn(cell.run());
            }
        }
        tokio::select! {
            () = set.added.notified() => {}
            Some(ended) = running.join_next() => ended??,
        }
    }
}
