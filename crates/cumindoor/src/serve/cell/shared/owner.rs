//! The owner's side: the cells of this VM and the leases of entry VMs.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use coord::name::{Service, VmName};
use coord::sched::{Action, JobId, SchedOptions};
use coord::time::Time;

use super::LEASE_TTL;
use super::entry::Outgoing;
use super::owned_cell::OwnedCell;
use super::sharding::{CellKey, Cells};
use super::wire::Message;
use crate::serve::cell::{EngineUpdate, Orphan};

/// A VM that has requests here.
struct Lease {
    /// Drawn when the lease begins.
    token: u64,
    /// The process that holds it.
    boot: u64,
    renewed: Time,
}

/// The cells that this VM schedules.
#[derive(Default)]
pub(super) struct Owner {
    owned: BTreeMap<CellKey, OwnedCell>,
    leases: BTreeMap<VmName, Lease>,
    orphans: Vec<Orphan>,
    options: BTreeMap<Service, SchedOptions>,
    cells: Cells,
    /// Tags in the ids of all VMs of the view.
    live_tags: BTreeSet<u32>,
    /// Whether the view has the majority of the listed VMs.
    majority: bool,
    /// VMs that left the view and whose requests have not been dropped.
    lost: BTreeSet<VmName>,
}

impl Owner {
    /// Notes a sign of life of an entry VM and returns its token.
    ///
    /// The requests of a predecessor of its process are dropped.
    pub(super) fn renew_lease(
        &mut self,
        now: Time,
        vm: &VmName,
        boot: u64,
        out: &mut Outgoing,
    ) -> u64 {
        if self.leases.get(vm).is_some_and(|lease| lease.boot != boot) {
            self.drop_vm(now, vm, out);
        }
        let lease = self.leases.entry(vm.clone()).or_insert_with(|| Lease {
            token: random_id(),
            boot,
            renewed: now,
        });
        lease.renewed = now;
        lease.token
    }

    /// Notes that a VM is not in the view any more.
    pub(super) fn vm_lost(&mut self, vm: &VmName) {
        self.lost.insert(vm.clone());
    }

    /// Notes whether the view has the majority of the listed VMs; with it, the requests of lost
    /// VMs are dropped.
    pub(super) fn set_majority(&mut self, now: Time, majority: bool, out: &mut Outgoing) {
        if majority && !self.majority {
            self.owned
                .values_mut()
                .for_each(|owned_cell| owned_cell.restart_orphan_scan(now));
        }
        self.majority = majority;
        if !majority {
            return;
        }
        for vm in std::mem::take(&mut self.lost) {
            if !self.live_tags.contains(&JobId::vm_tag_of(&vm)) {
                self.drop_vm(now, &vm, out);
            }
        }
    }

    /// Drops the requests of a VM that is gone and frees what they hold.
    pub(super) fn drop_vm(&mut self, now: Time, vm: &VmName, out: &mut Outgoing) {
        if self.leases.remove(vm).is_none() {
            return;
        }
        self.for_each_cell(out, |owned_cell| owned_cell.vm_down(now, vm));
    }

    /// Drops all schedulers, because another VM may own the cells by now.
    pub(super) fn drop_all(&mut self) {
        self.owned.clear();
        self.leases.clear();
    }

    /// Returns true if requests of other VMs are registered here.
    pub(super) fn serves_others(&self, own_vm: &VmName) -> bool {
        let mut owned = self.owned.values();
        owned.any(|owned_cell| owned_cell.requests_by_vm().keys().any(|vm| *vm != own_vm))
    }

    pub(super) fn owns_cell_of(&self, group: &Service) -> bool {
        self.owned.keys().any(|cell| cell.group == *group)
    }

    /// Notes which VMs are in the view.
    pub(super) fn set_live_vms<'a>(&mut self, vms: impl Iterator<Item = &'a VmName>) {
        self.live_tags = vms.map(JobId::vm_tag_of).collect();
    }

    /// Puts cells and options in force; returns true if a cell was taken over.
    pub(super) fn set_cells(
        &mut self,
        now: Time,
        cells: &Cells,
        options: &BTreeMap<Service, SchedOptions>,
        owned: impl Fn(&CellKey) -> bool,
        out: &mut Outgoing,
    ) -> bool {
        self.cells.clone_from(cells);
        self.options.clone_from(options);
        self.owned
            .retain(|cell, owned_cell| owned(cell) || !owned_cell.is_empty());
        let changed = |cell: &CellKey, owned_cell: &OwnedCell| {
            let wanted = options.get(&cell.group).cloned().unwrap_or_default();
            owned_cell.options != wanted
        };
        if self
            .owned
            .iter()
            .any(|(cell, owned_cell)| changed(cell, owned_cell))
        {
            // A scheduler keeps its options, so it is replaced and the requests register again.
            self.owned
                .retain(|cell, owned_cell| !changed(cell, owned_cell));
            self.leases
                .values_mut()
                .for_each(|lease| lease.token = random_id());
        }
        let mut added = false;
        for cell in cells.keys().filter(|cell| owned(cell)) {
            added |= self.ensure_cell(now, cell);
        }
        let cells = std::mem::take(&mut self.cells);
        for (cell, owned_cell) in &mut self.owned {
            let engines = cells.get(cell).map_or(&[][..], Vec::as_slice);
            let actions = owned_cell.set_engines(now, engines);
            owned_cell.deliver(actions, out, &mut self.orphans);
        }
        self.cells = cells;
        added
    }

    /// Makes sure that a cell has a scheduler; returns true if it had none.
    fn ensure_cell(&mut self, now: Time, cell: &CellKey) -> bool {
        if self.owned.contains_key(cell) {
            return false;
        }
        let options = self.options.get(&cell.group).cloned().unwrap_or_default();
        let mut owned_cell = OwnedCell::new(now, options, cell.hash() ^ now.as_micros());
        if let Some(engines) = self.cells.get(cell) {
            // Nothing is registered yet, so there is nothing to be told.
            let _ = owned_cell.set_engines(now, engines);
        }
        self.owned.insert(cell.clone(), owned_cell);
        true
    }

    /// Handles a message of an entry VM; returns true if a cell was taken over.
    pub(super) fn handle(
        &mut self,
        now: Time,
        from: &VmName,
        message: Message,
        out: &mut Outgoing,
    ) -> bool {
        match message {
            Message::Submit { cell, epoch, job } => {
                let taken_over = self.ensure_cell(now, &cell);
                let job = job.into_job(now, from.clone());
                self.with_cell(&cell, out, |owned_cell| owned_cell.submit(now, job, epoch));
                taken_over
            }
            Message::Register {
                cell,
                epoch,
                job,
                attempt,
                stage,
            } => {
                let taken_over = self.ensure_cell(now, &cell);
                let job = job.into_job(now, from.clone());
                self.with_cell(&cell, out, |owned_cell| {
                    owned_cell.register(now, job, epoch, attempt, &stage)
                });
                taken_over
            }
            Message::Report {
                cell,
                epoch,
                id,
                attempt,
                progress,
            } => {
                self.with_cell(&cell, out, |owned_cell| {
                    owned_cell.report(now, (id, epoch), attempt, progress)
                });
                false
            }
            Message::Release { cell, id } => {
                self.with_cell(&cell, out, |owned_cell| owned_cell.release(now, id));
                false
            }
            Message::Order { .. } | Message::Leaving => false,
        }
    }

    pub(super) fn engine_update(
        &mut self,
        now: Time,
        group: &Service,
        update: &EngineUpdate,
        out: &mut Outgoing,
    ) {
        for (_, owned_cell) in self
            .owned
            .iter_mut()
            .filter(|(cell, _)| cell.group == *group)
        {
            let live_tags = self.majority.then_some(&self.live_tags);
            let actions = owned_cell.engine_update(now, update, live_tags, &mut self.orphans);
            owned_cell.deliver(actions, out, &mut self.orphans);
        }
    }

    /// Lets time pass: expired leases end, and the schedulers look at their queues.
    pub(super) fn tick(&mut self, now: Time, out: &mut Outgoing) {
        let majority = self.majority;
        let expired = |lease: &Lease| majority && now.since(lease.renewed) > LEASE_TTL;
        let all = self.leases.iter();
        let gone: Vec<VmName> = all
            .filter(|(_, lease)| expired(lease))
            .map(|(vm, _)| vm.clone())
            .collect();
        for vm in gone {
            log::info!(vm = vm.as_str(); "the lease of an entry VM ended");
            self.drop_vm(now, &vm, out);
        }
        self.for_each_cell(out, |owned_cell| owned_cell.tick(now));
    }

    /// Returns the cancels that no request obeys.
    pub(super) fn take_orphans(&mut self) -> Vec<Orphan> {
        std::mem::take(&mut self.orphans)
    }

    pub(super) fn owned(&self) -> &BTreeMap<CellKey, OwnedCell> {
        &self.owned
    }

    /// Returns the time since each entry VM was renewed.
    pub(super) fn lease_ages(&self, now: Time) -> BTreeMap<String, Duration> {
        let all = self.leases.iter();
        all.map(|(vm, lease)| (vm.to_string(), now.since(lease.renewed)))
            .collect()
    }

    fn with_cell(
        &mut self,
        cell: &CellKey,
        out: &mut Outgoing,
        change: impl FnOnce(&mut OwnedCell) -> Vec<Action>,
    ) {
        if let Some(owned_cell) = self.owned.get_mut(cell) {
            let actions = change(owned_cell);
            owned_cell.deliver(actions, out, &mut self.orphans);
        }
    }

    fn for_each_cell(
        &mut self,
        out: &mut Outgoing,
        mut change: impl FnMut(&mut OwnedCell) -> Vec<Action>,
    ) {
        for owned_cell in self.owned.values_mut() {
            let actions = change(owned_cell);
            owned_cell.deliver(actions, out, &mut self.orphans);
        }
    }
}

/// Draws a number that tells two lifetimes apart.
pub(super) fn random_id() -> u64 {
    uuid::Uuid::new_v4().as_u64_pair().0
}
