//! The cells of all services of a single VM.

use std::collections::BTreeMap;
use std::sync::{Arc, PoisonError, RwLock};

use coord::name::Service;
use coord::sched::{Attempt, Job, JobId, SchedOptions};
use tokio::sync::mpsc;

use super::{Cell, Clock, Input, Inputs, LocalCell, Order, Orphan, Progress};
use crate::serve::spec::Table;
use crate::serve::supervisor::{Spec, Strategy};

/// One local cell for each service that has model engines.
pub struct CellSet {
    options: SchedOptions,
    clock: Clock,
    cells: RwLock<BTreeMap<Service, Arc<LocalCell>>>,
    orphans: mpsc::UnboundedSender<Orphan>,
    /// Tells that a cell was added and has to be run.
    added: tokio::sync::Notify,
    hurry: Arc<tokio::sync::Notify>,
}

impl CellSet {
    /// Returns a set without cells, and the cancels that no request of this process obeys.
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
            hurry: Arc::default(),
        };
        (Arc::new(set), receiver)
    }

    /// Returns the supervised tasks that run the cells and keep their engines current.
    #[must_use]
    pub fn tasks(self: &Arc<Self>, table: &Table) -> Spec {
        let (set, table) = (Arc::clone(self), table.clone());
        let follow = Spec::task("engine-list", move || {
            follow(Arc::clone(&set), table.clone())
        });
        let set = Arc::clone(self);
        let run = Spec::task("schedulers", move || run(Arc::clone(&set)));
        Spec::group("cells", Strategy::OneForAll, vec![follow, run])
    }

    /// Returns a service's cell.
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
                let of_service = engines.entry(upstream.service.clone()).or_default();
                of_service.push((engine, upstream.leaving));
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
                retry_after: Some(super::NO_CELL_RETRY),
            })),
        }
        receiver
    }

    fn report(&self, id: JobId, attempt: Attempt, progress: Progress) {
        // A cell ignores ids that it does not know, and there are few cells.
        for cell in self.all() {
            cell.report(id, attempt, progress);
        }
    }
}

impl Inputs for CellSet {
    fn input(&self, group: &Service, input: Input) {
        if let Some(cell) = self.get(group) {
            cell.input(input);
        }
    }

    fn wants(&self, _group: &Service) -> bool {
        true
    }

    fn hurry(&self) -> Arc<tokio::sync::Notify> {
        Arc::clone(&self.hurry)
    }
}

async fn follow(set: Arc<CellSet>, table: Table) -> eyre::Result<()> {
    let mut changes = table.changes();
    loop {
        set.update(&table);
        changes.next().await;
    }
}

/// Runs the scheduler of every cell; one that fails takes the others with it.
async fn run(set: Arc<CellSet>) -> eyre::Result<()> {
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
