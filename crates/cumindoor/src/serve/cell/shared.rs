//! Cells that several VMs share: each one is scheduled by the VM that owns it.
//!
//! The entry VM of a request registers it with the owner of its cell (section 5 of the design),
//! which is rendezvous hashing over the live VMs. When the owner changes, the entry VM submits
//! requests that wait and registers those that run; streams go on meanwhile. An owner drops the
//! requests of an entry VM that it has not heard for [`LEASE_TTL`].

mod core;
mod entry;
mod host;
mod owner;
mod place;
mod post;
mod status;
mod strays;
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

pub use place::{CELL_ENGINES, CellKey, Cells, cell_of, split};
pub use status::{CellStatus, CellsStatus};
pub(crate) use wire::CellPart;
use wire::{Batch, Receipt};

use self::core::Core;
use super::{Cell, Clock, Input, Inputs, Order, Orphan, Progress};
use crate::serve::peer::{Handler, Peers};
use crate::serve::spec::Table;
use crate::serve::supervisor::{Spec, Strategy};
use crate::serve::view::View;

/// How long an entry VM keeps its slots without a sign of life (section 6.5).
pub const LEASE_TTL: Duration = Duration::from_secs(3);
/// How often an entry VM renews its leases.
const RENEWAL: Duration = Duration::from_secs(1);
/// How often the schedulers look at the time.
const TICK: Duration = Duration::from_millis(10);
/// How long one batch may take.
const BATCH_LIMIT: Duration = Duration::from_secs(1);

/// Scheduler options of each group of upstreams.
pub type Options = BTreeMap<Service, SchedOptions>;

/// The cells of all services, as one VM sees them.
pub struct SharedCells {
    own: VmName,
    clock: Clock,
    core: Mutex<Core>,
    peers: Peers,
    options: watch::Sender<Options>,
    orphans: mpsc::UnboundedSender<Orphan>,
    changed: Notify,
    taken_over: Arc<Notify>,
}

impl SharedCells {
    /// Returns cells without engines, and the cancels that no request of this process obeys.
    #[must_use]
    pub fn new(
        own: VmName,
        clock: Clock,
        peers: Peers,
    ) -> (Arc<Self>, mpsc::UnboundedReceiver<Orphan>) {
        let (orphans, receiver) = mpsc::unbounded_channel();
        let cells = Self {
            core: Mutex::new(Core::new(own.clone())),
            own,
            clock,
            peers,
            options: watch::Sender::default(),
            orphans,
            changed: Notify::new(),
            taken_over: Arc::default(),
        };
        (Arc::new(cells), receiver)
    }

    /// Puts scheduler options in force.
    pub fn set_options(&self, options: Options) {
        self.options.send_if_modified(|current| {
            let changed = *current != options;
            *current = options;
            changed
        });
    }

    /// Returns the supervised tasks that follow the view and the lists, and that send messages.
    #[must_use]
    pub fn tasks(self: &Arc<Self>, table: &Table, view: &watch::Receiver<Arc<View>>) -> Spec {
        let (cells, table) = (Arc::clone(self), table.clone());
        let lists = Spec::task("cell-lists", move || {
            follow_lists(Arc::clone(&cells), table.clone())
        });
        let (cells, view) = (Arc::clone(self), view.clone());
        let members = Spec::task("cell-owners", move || {
            follow_view(Arc::clone(&cells), view.clone())
        });
        let cells = Arc::clone(self);
        let ticks = Spec::task("cell-ticks", move || tick(Arc::clone(&cells)));
        let cells = Arc::clone(self);
        let post = Spec::task("cell-messages", move || post(Arc::clone(&cells)));
        let tasks = vec![lists, members, ticks, post];
        Spec::group("cells", Strategy::OneForOne, tasks)
    }

    /// Owns nothing from now on and tells the other VMs.
    pub fn leave(&self) {
        self.with(Core::leave);
    }

    /// Waits until no other VM's request is registered here and all messages have arrived.
    pub async fn drained(&self) {
        while !self.lock().is_drained() {
            tokio::time::sleep(TICK).await;
        }
    }

    /// Returns the state for the status page.
    #[must_use]
    pub fn status(&self) -> CellsStatus {
        self.with(|core, now| status::of(core, now))
    }

    /// Changes the state and sends what follows from it.
    fn with<T>(&self, change: impl FnOnce(&mut Core, coord::time::Time) -> T) -> T {
        let mut core = self.lock();
        let result = change(&mut core, self.clock.now());
        for orphan in core.take_orphans() {
            let _ = self.orphans.send(orphan);
        }
        if core.take_over() {
            self.taken_over.notify_one();
        }
        drop(core);
        self.changed.notify_one();
        result
    }

    /// Locks the state; it is replaced if a panic may have left it half changed.
    fn lock(&self) -> MutexGuard<'_, Core> {
        self.core.lock().unwrap_or_else(|poisoned| {
            self.core.clear_poison();
            let mut core = poisoned.into_inner();
            log::error!(vm = self.own.as_str(); "the state of the cells is replaced after a panic");
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

impl Inputs for SharedCells {
    fn input(&self, group: &Service, input: Input) {
        self.with(|core, now| core.input(now, group, &input));
    }

    fn wants(&self, group: &Service) -> bool {
        self.with(|core, _| core.owner.owns_engine_of(group))
    }

    fn hurry(&self) -> Arc<Notify> {
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
        let engines = split(&table.engines());
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
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        cells.with(Core::tick);
    }
}

/// Sends the batches that are due, one at a time to each VM.
async fn post(cells: Arc<SharedCells>) -> eyre::Result<()> {
    cells.lock().posts.restart();
    let mut flying = FuturesUnordered::new();
    loop {
        for (vm, batch) in due(&cells) {
            flying.push(send(&cells, vm, batch));
        }
        tokio::select! {
            () = cells.changed.notified() => {}
            Some(()) = flying.next(), if !flying.is_empty() => {}
        }
    }
}

fn due(cells: &SharedCells) -> Vec<(VmName, Batch)> {
    let mut core = cells.lock();
    let core = &mut *core;
    let now = cells.clock.now();
    core.posts.due(now, RENEWAL, |vm| core.entry.uses(vm))
}

async fn send(cells: &SharedCells, vm: VmName, batch: Batch) {
    let sent = (batch.session, batch.messages.len());
    let answer = cells.peers.call::<CellPart>(&vm, &batch, BATCH_LIMIT).await;
    cells.with(|core, now| core.answered(now, &vm, sent, answer.as_ref().ok()));
}

#[cfg(test)]
mod tests;
