//! Entry and owner side of one VM behind one lock, so that messages keep their order.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use coord::name::{Incarnation, Service, VmName};
use coord::owner::Owners;
use coord::sched::{Attempt, Job, JobId, SchedOptions};
use coord::time::Time;
use tokio::sync::mpsc;

use super::entry::{Entry, Outgoing};
use super::mailbox::Mailboxes;
use super::owner::{Owner, random_id};
use super::sharding::{CellKey, Cells, cell_of};
use super::wire::{Batch, Message, Receipt};
use crate::serve::cell::{EngineUpdate, Order, Orphan, Progress};
use crate::serve::view::View;

/// A longer time between two ticks means that the process was paused (section 6.1).
const MAX_TICK_GAP: Duration = Duration::from_millis(600);

pub(super) struct Core {
    own_vm: VmName,
    pub(super) entry: Entry,
    pub(super) owner: Owner,
    pub(super) mailboxes: Mailboxes,
    view: Arc<View>,
    owners: Owners,
    /// VMs that announced their stop, by the process that did so.
    leaving: BTreeMap<VmName, Option<Incarnation>>,
    cells: Cells,
    options: BTreeMap<Service, SchedOptions>,
    last_tick: Time,
    /// True if a cell was taken over, so that its engines are to be asked for their load.
    taken_over: bool,
}

impl Core {
    pub(super) fn new(own_vm: VmName) -> Self {
        Self {
            own_vm,
            entry: Entry::default(),
            owner: Owner::default(),
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
        // A VM that does not trust its view must not schedule.
        (self.view.trusted || *owner != self.own_vm).then_some(owner)
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
        let gone = former
            .vms
            .keys()
            .filter(|vm| !self.view.vms.contains_key(*vm));
        for vm in gone.filter(|vm| **vm != self.own_vm) {
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

    /// Stops owning cells; the others are told, so that they move at once.
    pub(super) fn announce_leave(&mut self, now: Time) {
        let others: Vec<VmName> = self.view.vms.keys().cloned().collect();
        let out = others.into_iter().map(|vm| (vm, Message::Leaving));
        self.route_messages(now, out.collect());
    }

    /// Registers all requests with the owners that the present view gives.
    fn update_owners(&mut self, now: Time) {
        let leaving: BTreeSet<VmName> = self.leaving.keys().cloned().collect();
        self.owners = self.view.owners(&leaving);
        let mut out = Outgoing::new();
        if !self.view.trusted {
            self.owner.drop_all();
        }
        let owned = |cell: &CellKey| {
            self.view.trusted && self.owners.owner(cell.hash()) == Some(&self.own_vm)
        };
        let added = self
            .owner
            .set_cells(now, &self.cells, &self.options, owned, &mut out);
        self.taken_over |= added;
        let (owners, own_vm, trusted) = (&self.owners, &self.own_vm, self.view.trusted);
        let owner_of = |cell: &CellKey| {
            let vm = owners.owner(cell.hash())?;
            (trusted || vm != own_vm).then(|| vm.clone())
        };
        self.entry.assign_owners(now, owner_of, &mut out);
        self.route_messages(now, out);
        self.renew_own_lease(now);
    }

    /// Registers this VM's requests again if its own schedulers were dropped.
    fn renew_own_lease(&mut self, now: Time) {
        if !self.view.trusted {
            return;
        }
        let mut out = Outgoing::new();
        let token = self
            .owner
            .renew_lease(now, &self.own_vm, self.mailboxes.boot, &mut out);
        let own_vm = self.own_vm.clone();
        self.entry
            .token_received(now, &own_vm, (token, false), &mut out);
        self.route_messages(now, out);
    }

    pub(super) fn tick(&mut self, now: Time) {
        if now.since(self.last_tick) > MAX_TICK_GAP {
            // Leases seem to have ended only because this process did not run, and another VM
            // may have taken its cells over.
            self.owner.drop_all();
            self.update_owners(now);
        }
        self.last_tick = now;
        self.renew_own_lease(now);
        let mut out = Outgoing::new();
        self.owner.tick(now, &mut out);
        self.route_messages(now, out);
    }

    /// Handles a batch of another VM.
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

    /// Notes the answer to a batch.
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

    /// Handles messages to this VM and queues those to others, in their order.
    fn route_messages(&mut self, now: Time, out: Outgoing) {
        let mut queue = VecDeque::from(out);
        while let Some((to, message)) = queue.pop_front() {
            if to != self.own_vm {
                self.mailboxes.push(to, message);
                continue;
            }
            let mut more = Outgoing::new();
            let own_vm = self.own_vm.clone();
            self.apply(now, &own_vm, message, &mut more);
            queue.extend(more);
        }
    }

    pub(super) fn take_orphans(&mut self) -> Vec<Orphan> {
        self.owner.take_orphans()
    }

    /// Returns true once after each take-over of a cell.
    pub(super) fn take_takeover(&mut self) -> bool {
        std::mem::take(&mut self.taken_over)
    }

    /// Returns true if no other VM's request is registered here and those that stay have all
    /// messages. A VM that stops as well may have ended already.
    pub(super) fn is_drained(&self) -> bool {
        let stays = |vm: &VmName| {
            let member = self.view.vms.get(vm);
            member.is_some_and(|m| !m.leaving) && !self.leaving.contains_key(vm)
        };
        !self.owner.serves_others(&self.own_vm) && self.mailboxes.is_empty(stays)
    }

    /// Replaces the state after a panic; the requests see their channels close.
    pub(super) fn reset(&mut self) {
        let mut fresh = Self::new(self.own_vm.clone());
        fresh.view = Arc::clone(&self.view);
        fresh.cells = std::mem::take(&mut self.cells);
        fresh.options = std::mem::take(&mut self.options);
        fresh.mailboxes.boot = random_id();
        *self = fresh;
    }
}
