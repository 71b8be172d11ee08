//! The state of one VM as an entry VM and as an owner of cells.
//!
//! Both parts are under one lock, so that the messages between them keep their order. The state
//! machine does no I/O: it queues messages in its mailboxes.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use coord::name::{Incarnation, Service, VmName};
use coord::owner::Owners;
use coord::sched::{Attempt, Job, JobId, SchedOptions};
use coord::time::Time;
use tokio::sync::mpsc;

use super::entry::{EntryState, Outgoing};
use super::mailbox::Mailboxes;
use super::owner::{OwnerState, random_id};
use super::sharding::{CellKey, Cells, cell_of};
use super::wire::{Batch, Message, Receipt};
use crate::serve::cell::{EngineUpdate, Order, Orphan, Progress};
use crate::serve::view::View;

/// The longest time between two ticks in normal operation. A longer one means that the process
/// was paused (section 6.1 of the design).
const MAX_TICK_GAP: Duration = Duration::from_millis(600);

/// The state of this VM as an entry VM and as an owner of cells.
pub(super) struct CellState {
    vm: VmName,
    pub(super) entry: EntryState,
    pub(super) owner: OwnerState,
    pub(super) mailboxes: Mailboxes,
    view: Arc<View>,
    owners: Owners,
    /// VMs that announced that they are stopping, with the incarnation that did so.
    leaving: BTreeMap<VmName, Option<Incarnation>>,
    cells: Cells,
    options: BTreeMap<Service, SchedOptions>,
    last_tick: Time,
    /// True after a cell was taken over, until its engines are asked for their load.
    taken_over: bool,
}

impl CellState {
    pub(super) fn new(vm: VmName) -> Self {
        Self {
            vm,
            entry: EntryState::default(),
            owner: OwnerState::default(),
            mailboxes: Mailboxes::new(),
            view: Arc::default(),
            owners: Owners::default(),
            leaving: BTreeMap::new(),
            cells: Cells::new(),
            options: BTreeMap::new(),
            last_tick: Time::ZERO,
            taken_over: false,
        }
    }

    pub(super) fn cells(&self) -> &Cells {
        &self.cells
    }

    pub(super) fn owner_of(&self, cell: &CellKey) -> Option<&VmName> {
        let owner = self.owners.owner(cell.hash())?;
        // A VM that does not trust its view must not schedule: another VM may own its cells.
        (self.view.trusted || *owner != self.vm).then_some(owner)
    }

    pub(super) fn submit(&mut self, now: Time, job: Job, orders: mpsc::UnboundedSender<Order>) {
        let Some(cell) = cell_of(&self.cells, &job.service, job.id) else {
            let _ = orders.send(Order::Refuse {
                reason: coord::sched::Reason::NoUpstream,
                retry_after: Some(crate::serve::cell::NO_UPSTREAM_RETRY_AFTER),
            });
            return;
        };
        let owner = self.owner_of(&cell).cloned();
        let mut out = Outgoing::new();
        let id = self.entry.add(job, cell, orders);
        self.entry.assign_owner(now, id, owner, &mut out);
        self.route_messages(now, out);
    }

    pub(super) fn report(&mut self, now: Time, id: JobId, attempt: Attempt, progress: Progress) {
        let mut out = Outgoing::new();
        self.entry.report(now, (id, attempt), progress, &mut out);
        self.route_messages(now, out);
    }

    pub(super) fn engine_update(&mut self, now: Time, group: &Service, update: &EngineUpdate) {
        let mut out = Outgoing::new();
        self.owner.engine_update(now, group, update, &mut out);
        self.route_messages(now, out);
    }

    pub(super) fn set_cells(
        &mut self,
        now: Time,
        cells: Cells,
        options: BTreeMap<Service, SchedOptions>,
    ) {
        if self.cells == cells && self.options == options {
            return;
        }
        self.cells = cells;
        self.options = options;
        let cells = &self.cells;
        let mut out = Outgoing::new();
        let moved = |job: &Job, cell: &CellKey| {
            let exists = cells.contains_key(cell);
            (!exists)
                .then(|| cell_of(cells, &job.service, job.id))
                .flatten()
        };
        self.entry.reassign_cells(moved, &mut out);
        self.route_messages(now, out);
        self.update_owners(now);
    }

    pub(super) fn set_view(&mut self, now: Time, view: Arc<View>) {
        let mut out = Outgoing::new();
        let former = std::mem::replace(&mut self.view, view);
        let removed = former
            .vms
            .keys()
            .filter(|vm| !self.view.vms.contains_key(*vm));
        for vm in removed.filter(|vm| **vm != self.vm) {
            self.mailboxes.remove(vm);
            self.owner.vm_lost(vm);
        }
        let vms = &self.view.vms;
        self.owner.set_live_vms(vms.keys());
        self.owner.set_majority(now, self.view.majority, &mut out);
        self.leaving.retain(|vm, incarnation| {
            let current = vms.get(vm);
            current.is_some_and(|c| c.leaving || Some(c.incarnation) == *incarnation)
        });
        self.route_messages(now, out);
        self.update_owners(now);
    }

    /// Tells the other VMs that this VM is stopping, so that its cells move to other owners at
    /// once.
    pub(super) fn announce_leave(&mut self, now: Time) {
        let others: Vec<VmName> = self.view.vms.keys().cloned().collect();
        let out = others.into_iter().map(|vm| (vm, Message::Leaving));
        self.route_messages(now, out.collect());
    }

    /// Recomputes the owners of all cells from the current view. Opens the schedulers of cells that
    /// this VM now owns and registers its requests with their owners.
    fn update_owners(&mut self, now: Time) {
        let leaving: BTreeSet<VmName> = self.leaving.keys().cloned().collect();
        self.owners = self.view.owners(&leaving);
        let mut out = Outgoing::new();
        if !self.view.trusted {
            self.owner.drop_all();
        }
        let owned =
            |cell: &CellKey| self.view.trusted && self.owners.owner(cell.hash()) == Some(&self.vm);
        let added = self
            .owner
            .set_cells(now, &self.cells, &self.options, owned, &mut out);
        self.taken_over |= added;
        let (owners, own_vm, trusted) = (&self.owners, &self.vm, self.view.trusted);
        let owner_of = |cell: &CellKey| {
            let vm = owners.owner(cell.hash())?;
            (trusted || vm != own_vm).then(|| vm.clone())
        };
        self.entry.assign_owners(now, owner_of, &mut out);
        self.route_messages(now, out);
        self.renew_own_lease(now);
    }

    /// Renews the lease of this VM at its own schedulers. If these were replaced, the requests of
    /// this VM are registered with them again.
    fn renew_own_lease(&mut self, now: Time) {
        if !self.view.trusted {
            return;
        }
        let mut out = Outgoing::new();
        let token = self
            .owner
            .renew_lease(now, &self.vm, self.mailboxes.boot, &mut out);
        let own_vm = self.vm.clone();
        self.entry
            .token_received(now, &own_vm, (token, false), &mut out);
        self.route_messages(now, out);
    }

    pub(super) fn tick(&mut self, now: Time) {
        if now.since(self.last_tick) > MAX_TICK_GAP {
            // Leases appear to have expired only because this process did not run. Other VMs may
            // have taken over its cells in the meantime, so it drops their state.
            self.owner.drop_all();
            self.update_owners(now);
        }
        self.last_tick = now;
        self.renew_own_lease(now);
        let mut out = Outgoing::new();
        self.owner.tick(now, &mut out);
        self.route_messages(now, out);
    }

    /// Handles a batch from another VM. It is not accepted after a pause or while the view is not
    /// trusted, because this VM may no longer own the cells.
    pub(super) fn receive(&mut self, now: Time, from: &VmName, batch: Batch) -> Receipt {
        if !self.view.trusted || now.since(self.last_tick) > MAX_TICK_GAP {
            return Receipt {
                accepted: false,
                token: 0,
            };
        }
        let mut out = Outgoing::new();
        let token = self.owner.renew_lease(now, from, batch.boot, &mut out);
        self.route_messages(now, out);
        for message in self.mailboxes.receive(now, from, batch) {
            self.handle(now, from, message);
        }
        Receipt {
            accepted: true,
            token,
        }
    }

    fn handle(&mut self, now: Time, from: &VmName, message: Message) {
        let mut out = Outgoing::new();
        self.apply(now, from, message, &mut out);
        self.route_messages(now, out);
    }

    fn apply(&mut self, now: Time, from: &VmName, message: Message, out: &mut Outgoing) {
        match message {
            Message::Order { epoch, id, order } => self.entry.order(from, id, epoch, order),
            Message::Leaving => {
                let incarnation = self.view.vms.get(from).map(|member| member.incarnation);
                self.leaving.insert(from.clone(), incarnation);
                self.update_owners(now);
            }
            message => self.taken_over |= self.owner.handle(now, from, message, out),
        }
    }

    /// Handles the answer to a batch; `None` means that the call failed.
    pub(super) fn batch_answered(
        &mut self,
        now: Time,
        vm: &VmName,
        batch: (u64, usize),
        receipt: Option<&Receipt>,
    ) {
        let accepted = receipt.filter(|receipt| receipt.accepted);
        let retried = self
            .mailboxes
            .batch_answered(now, vm, batch, accepted.is_some());
        if let Some(receipt) = accepted {
            let mut out = Outgoing::new();
            let answer = (receipt.token, retried);
            self.entry.token_received(now, vm, answer, &mut out);
            self.route_messages(now, out);
        }
    }

    /// Handles the messages to this VM and queues those to other VMs, in the order of `out`.
    fn route_messages(&mut self, now: Time, out: Outgoing) {
        let mut queue = VecDeque::from(out);
        while let Some((to, message)) = queue.pop_front() {
            if to != self.vm {
                self.mailboxes.push(to, message);
                continue;
            }
            let mut more = Outgoing::new();
            let own_vm = self.vm.clone();
            self.apply(now, &own_vm, message, &mut more);
            queue.extend(more);
        }
    }

    pub(super) fn take_orphans(&mut self) -> Vec<Orphan> {
        self.owner.take_orphans()
    }

    /// Returns true if a cell was taken over since the last call.
    pub(super) fn take_takeover(&mut self) -> bool {
        std::mem::take(&mut self.taken_over)
    }

    /// Returns true if no request of another VM is registered here and all messages to VMs that
    /// stay are acknowledged. Messages to a VM that is stopping do not count, because it may have
    /// exited already.
    pub(super) fn is_drained(&self) -> bool {
        let stays = |vm: &VmName| {
            let member = self.view.vms.get(vm);
            member.is_some_and(|m| !m.leaving) && !self.leaving.contains_key(vm)
        };
        !self.owner.serves_others(&self.vm) && self.mailboxes.is_empty(stays)
    }

    /// Replaces the state after a panic. The order channels of all requests close, so that the
    /// requests submit themselves again.
    pub(super) fn reset(&mut self) {
        let mut fresh = Self::new(self.vm.clone());
        fresh.view = Arc::clone(&self.view);
        fresh.cells = std::mem::take(&mut self.cells);
        fresh.options = std::mem::take(&mut self.options);
        fresh.mailboxes.boot = random_id();
        *self = fresh;
    }
}
