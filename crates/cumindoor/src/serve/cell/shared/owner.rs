//! The cells that a VM owns, and the leases that entry VMs hold there.

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

/// The lease of an entry VM, which keeps its requests registered.
struct Lease {
    /// Random number of this lease. It changes when the requests of the entry VM were dropped.
    token: u64,
    /// Random number of the entry VM's process.
    boot: u64,
    renewed: Time,
}

/// The cells that this VM schedules.
#[derive(Default)]
pub(super) struct OwnerState {
    owned: BTreeMap<CellKey, OwnedCell>,
    leases: BTreeMap<VmName, Lease>,
    orphans: Vec<Orphan>,
    options: BTreeMap<Service, SchedOptions>,
    cells: Cells,
    /// The tags of all VMs in the view, as their request ids contain them.
    live_tags: BTreeSet<u32>,
    /// True if the view has a majority of the listed VMs.
    majority: bool,
    /// VMs that left the view and whose requests have not been dropped.
    lost: BTreeSet<VmName>,
}

impl OwnerState {
    /// Renews the lease of an entry VM, or starts one, and returns its token.
    ///
    /// If the VM's process was restarted, the requests of the former process are dropped.
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

    /// Records that a VM left the view; [`Self::set_majority`] drops its requests.
    pub(super) fn vm_lost(&mut self, vm: &VmName) {
        self.lost.insert(vm.clone());
    }

    /// Sets whether the view has a majority of the listed VMs. Only with a majority are the
    /// requests of lost VMs dropped: a VM in a minority may itself be the isolated one.
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

    /// Drops the requests of a lost VM and cancels them on their engines.
    pub(super) fn drop_vm(&mut self, now: Time, vm: &VmName, out: &mut Outgoing) {
        if self.leases.remove(vm).is_none() {
            return;
        }
        self.for_each_cell(out, |owned_cell| owned_cell.vm_down(now, vm));
    }

    /// Drops all schedulers and leases without cancelling requests, because another VM may own the
    /// cells now.
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

    /// Sets the VMs that are in the view.
    pub(super) fn set_live_vms<'a>(&mut self, vms: impl Iterator<Item = &'a VmName>) {
        self.live_tags = vms.map(JobId::vm_tag_of).collect();
    }

    /// Applies new cells, options and owners; returns true if this VM took over a cell.
    ///
    /// A cell that moved to another owner is kept until its last request is released.
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
            // The options of a scheduler are fixed, so it is replaced. The new tokens make the
            // entry VMs register their requests again.
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

    /// Creates the scheduler of a cell if there is none; returns true if it was created.
    fn ensure_cell(&mut self, now: Time, cell: &CellKey) -> bool {
        if self.owned.contains_key(cell) {
            return false;
        }
        let options = self.options.get(&cell.group).cloned().unwrap_or_default();
        let mut owned_cell = OwnedCell::new(now, options, cell.hash() ^ now.as_micros());
        if let Some(engines) = self.cells.get(cell) {
            // No request is registered yet, so no action needs to be delivered.
            let _ = owned_cell.set_engines(now, engines);
        }
        self.owned.insert(cell.clone(), owned_cell);
        true
    }

    /// Handles a message from an entry VM; returns true if this VM took over a cell.
    ///
    /// An entry VM may see a new owner before the owner itself does, so a request for a cell
    /// without a scheduler creates the scheduler.
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

    /// Ends expired leases and runs the timers of the schedulers.
    pub(super) fn tick(&mut self, now: Time, out: &mut Outgoing) {
        let majority = self.majority;
        let expired = |lease: &Lease| majority && now.since(lease.renewed) > LEASE_TTL;
        let all = self.leases.iter();
        let expired_vms: Vec<VmName> = all
            .filter(|(_, lease)| expired(lease))
            .map(|(vm, _)| vm.clone())
            .collect();
        for vm in expired_vms {
            log::info!(vm = vm.as_str(); "the lease of an entry VM ended");
            self.drop_vm(now, &vm, out);
        }
        self.for_each_cell(out, |owned_cell| owned_cell.tick(now));
    }

    /// Returns the cancels of requests that are not registered, and removes them.
    pub(super) fn take_orphans(&mut self) -> Vec<Orphan> {
        std::mem::take(&mut self.orphans)
    }

    pub(super) fn owned(&self) -> &BTreeMap<CellKey, OwnedCell> {
        &self.owned
    }

    /// Returns the time since the last renewal of each entry VM's lease.
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

/// Returns a random number that identifies a process, session or lease.
pub(super) fn random_id() -> u64 {
    uuid::Uuid::new_v4().as_u64_pair().0
}
