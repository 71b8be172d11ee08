//! Cells of a deployment with several VMs: each cell is scheduled by one VM, its owner.
//!
//! The entry VM of a request, which holds the connection of the caller, registers the request
//! with the owner of its cell (section 5 of the design). The owner is chosen by rendezvous
//! hashing over the live VMs. When it changes, the entry VM submits its waiting requests to the
//! new owner and registers its running ones there; streams continue meanwhile. Each entry VM
//! holds a lease at the owner, and the owner drops the requests of an entry VM that has not
//! renewed its lease for [`LEASE_TTL`].

mod core;
mod entry;
mod mailbox;
mod orphan_scan;
mod owned_cell;
mod owner;
mod sharding;
mod status;
mod wire;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use coord::name::{Service, VmName};
use coord::sched::{Attempt, Job, JobId, SchedOptions};
use futures::StreamExt;
use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;
use tokio::sync::{Notify, mpsc, watch};
use tokio::time::{MissedTickBehavior, interval};

pub use sharding::{CellKey, Cells, MAX_CELL_ENGINES, cell_of, shard_engines};
pub use status::{CellStatus, CellsStatus};
pub(crate) use wire::CellPart;
use wire::{Batch, Receipt};

use self::core::CellState;
use super::{Cell, Clock, EngineUpdate, EngineUpdates, Order, Orphan, Progress};
use crate::serve::peer::{Handler, Peers};
use crate::serve::spec::Table;
use crate::serve::supervisor::{Spec, Strategy};
use crate::serve::view::View;

/// Time without a message after which the lease of an entry VM ends (section 6.5 of the design).
/// The owner then frees the engine slots of its requests.
pub const LEASE_TTL: Duration = Duration::from_secs(3);
/// The interval in which an entry VM renews its leases; any batch of messages renews them too.
const LEASE_RENEWAL: Duration = Duration::from_secs(1);
/// The interval of the schedulers' timer.
const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// Time-out of the call that delivers one batch of messages.
const BATCH_TIMEOUT: Duration = Duration::from_secs(1);

/// Scheduler options of each group of upstreams.
pub type Options = BTreeMap<Service, SchedOptions>;

/// One VM's part in the cells of all services: its own requests as entry VM, and the cells
/// that it owns.
pub struct SharedCells {
    own_vm: VmName,
    clock: Clock,
    core: Mutex<CellState>,
    peers: Peers,
    options: watch::Sender<Options>,
    orphans: mpsc::UnboundedSender<Orphan>,
    changed: Notify,
    taken_over: Arc<Notify>,
}

impl SharedCells {
    /// Returns cells without engines, and the channel of the cancels whose request is unknown to
    /// the schedulers of this VM.
    #[must_use]
    pub fn new(
        own_vm: VmName,
        clock: Clock,
        peers: Peers,
    ) -> (Arc<Self>, mpsc::UnboundedReceiver<Orphan>) {
        let (orphans, receiver) = mpsc::unbounded_channel();
        let cells = Self {
            core: Mutex::new(CellState::new(own_vm.clone())),
            own_vm,
            clock,
            peers,
            options: watch::Sender::default(),
            orphans,
            changed: Notify::new(),
            taken_over: Arc::default(),
        };
        (Arc::new(cells), receiver)
    }

    /// Replaces the scheduler options; the schedulers of changed groups are replaced.
    pub fn set_options(&self, options: Options) {
        self.options.send_if_modified(|current| {
            let changed = *current != options;
            *current = options;
            changed
        });
    }

    /// Returns the supervised tasks that apply changes of the membership view and of the engine
    /// lists, run the timers and send messages.
    #[must_use]
    pub fn tasks(self: &Arc<Self>, table: &Table, view: &watch::Receiver<Arc<View>>) -> Spec {
        let (cells, table) = (Arc::clone(self), table.clone());
        let lists = Spec::task("cell-lists", move || {
            follow_lists(Arc::clone(&cells), table.clone())
        });
        let (cells, view) = (Arc::clone(self), view.clone());
        let owners = Spec::task("cell-owners", move || {
            follow_view(Arc::clone(&cells), view.clone())
        });
        let cells = Arc::clone(self);
        let ticks = Spec::task("cell-ticks", move || tick(Arc::clone(&cells)));
        let cells = Arc::clone(self);
        let messages = Spec::task("cell-messages", move || send_messages(Arc::clone(&cells)));
        let tasks = vec![lists, owners, ticks, messages];
        Spec::group("cells", Strategy::OneForOne, tasks)
    }

    /// Tells the other VMs that this VM is stopping, so that they choose other owners at once.
    pub fn leave(&self) {
        self.with(CellState::announce_leave);
    }

    /// Waits until no request of another VM is registered here and all messages to VMs that stay
    /// are acknowledged.
    pub async fn drained(&self) {
        while !self.lock().is_drained() {
            tokio::time::sleep(TICK_INTERVAL).await;
        }
    }

    /// Returns the owners, leases and schedulers for the status page.
    #[must_use]
    pub fn status(&self) -> CellsStatus {
        self.with(|core, now| status::cells_status(core, now))
    }

    /// Applies `change` to the state, then forwards the orphans found and wakes the task that sends
    /// the resulting messages.
    fn with<T>(&self, change: impl FnOnce(&mut CellState, coord::time::Time) -> T) -> T {
        let mut core = self.lock();
        let result = change(&mut core, self.clock.now());
        for orphan in core.take_orphans() {
            let _ = self.orphans.send(orphan);
        }
        if core.take_takeover() {
            self.taken_over.notify_one();
        }
        drop(core);
        self.changed.notify_one();
        result
    }

    /// Locks the state. If a panic poisoned the lock, the state may be inconsistent, so it is
    /// replaced by an empty one.
    fn lock(&self) -> MutexGuard<'_, CellState> {
        self.core.lock().unwrap_or_else(|poisoned| {
            self.core.clear_poison();
            let mut core = poisoned.into_inner();
            log::error!(
                vm = self.own_vm.as_str();
                "the state of the cells is replaced after a panic"
            );
            core.reset();
            core
        })
    }
}

impl Cell for SharedCells {
    fn submit(&self, job: Job) -> mpsc::UnboundedReceiver<Order> {
        let (orders, receiver) = mpsc::unbounded_channel();
        self.with(|core, now| core.submit(now, job, orders));
        receiver
    }

    fn report(&self, id: JobId, attempt: Attempt, progress: Progress) {
        self.with(|core, now| core.report(now, id, attempt, progress));
    }
}

impl EngineUpdates for SharedCells {
    fn engine_update(&self, group: &Service, update: EngineUpdate) {
        self.with(|core, now| core.engine_update(now, group, &update));
    }

    fn needs_updates(&self, group: &Service) -> bool {
        self.with(|core, _| core.owner.owns_cell_of(group))
    }

    fn poll_signal(&self) -> Arc<Notify> {
        Arc::clone(&self.taken_over)
    }
}

impl Handler<CellPart> for SharedCells {
    fn handle(&self, from: VmName, call: Batch) -> BoxFuture<'_, Receipt> {
        let receipt = self.with(|core, now| core.receive(now, &from, call));
        Box::pin(std::future::ready(receipt))
    }
}

async fn follow_lists(cells: Arc<SharedCells>, table: Table) -> eyre::Result<()> {
    let mut changes = table.changes();
    let mut options = cells.options.subscribe();
    loop {
        let engines = shard_engines(&table.engines());
        let current = options.borrow_and_update().clone();
        cells.with(|core, now| core.set_cells(now, engines, current));
        tokio::select! {
            () = changes.next() => {}
            _ = options.changed() => {}
        }
    }
}

async fn follow_view(
    cells: Arc<SharedCells>,
    mut view: watch::Receiver<Arc<View>>,
) -> eyre::Result<()> {
    loop {
        let current = Arc::clone(&view.borrow_and_update());
        cells.with(|core, now| core.set_view(now, current));
        if view.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

async fn tick(cells: Arc<SharedCells>) -> eyre::Result<()> {
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        cells.with(CellState::tick);
    }
}

/// Sends the batches that are due, at most one at a time to each VM.
async fn send_messages(cells: Arc<SharedCells>) -> eyre::Result<()> {
    cells.lock().mailboxes.reset_in_flight();
    let mut in_flight = FuturesUnordered::new();
    loop {
        for (vm, batch) in due_batches(&cells) {
            in_flight.push(send_batch(&cells, vm, batch));
        }
        tokio::select! {
            () = cells.changed.notified() => {}
            Some(()) = in_flight.next(), if !in_flight.is_empty() => {}
        }
    }
}

fn due_batches(cells: &SharedCells) -> Vec<(VmName, Batch)> {
    let mut core = cells.lock();
    let core = &mut *core;
    let now = cells.clock.now();
    core.mailboxes
        .due_batches(now, LEASE_RENEWAL, |vm| core.entry.needs_lease(vm))
}

async fn send_batch(cells: &SharedCells, vm: VmName, batch: Batch) {
    let sent = (batch.session, batch.messages.len());
    let answer = cells
        .peers
        .call::<CellPart>(&vm, &batch, BATCH_TIMEOUT)
        .await;
    cells.with(|core, now| core.batch_answered(now, &vm, sent, answer.as_ref().ok()));
}

#[cfg(test)]
mod tests;
