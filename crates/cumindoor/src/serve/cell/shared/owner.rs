//! The owner's side: the cells of this VM and the leases of entry VMs.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use coord::name::{Service, VmName};
use coord::sched::{Action, JobId, SchedOptions};
use coord::time::Time;

use super::LEASE_TTL;
use super::entry::Out;
use super::host::Host;
use super::place::{CellKey, Cells};
use super::wire::Message;
use crate::serve::cell::{EngineUpdate, Orphan};

/// A VM that has requests here.
struct Lease {
    /// Drawn when the lease begins.
    token: u64,
    /// The process that holds it.
    boot: u64,
    heard: Time,
}

/// The cells that this VM schedules.
#[derive(Default)]
pub(super) struct Owner {
    hosts: BTreeMap<CellKey, Host>,
    leases: BTreeMap<VmName, Lease>,
    orphans: Vec<Orphan>,
    options: BTreeMap<Service, SchedOptions>,
    cells: Cells,
    /// Tags in the ids of all VMs of the view.
    live: BTreeSet<u32>,
    /// Whether the view has the majority of the listed VMs.
    majority: bool,
    /// VMs that left the view and whose requests have not been dropped.
    lost: BTreeSet<VmName>,
}

impl Owner {
    /// Notes a sign of life of an entry VM and returns its token.
    ///
    /// The requests of a predecessor of its process are dropped.
    pub(super) fn hear(&mut self, now: Time, vm: &VmName, boot: u64, out: &mut Out) -> u64 {
        if self.leases.get(vm).is_some_and(|lease| lease.boot != boot) {
            self.drop_vm(now, vm, out);
        }
        let lease = self.leases.entry(vm.clone()).or_insert_with(|| Lease {
            token: draw(),
            boot,
            heard: now,
        });
        lease.heard = now;
        lease.token
    }

    /// Notes that a VM is not in the view any more.
    pub(super) fn lose_vm(&mut self, vm: &VmName) {
        self.lost.insert(vm.clone());
    }

    /// Notes whether the view has the majority of the listed VMs; with it, the requests of lost
    /// VMs are dropped.
    pub(super) fn set_majority(&mut self, now: Time, majority: bool, out: &mut Out) {
        if majority && !self.majority {
            self.hosts
                .values_mut()
                .for_each(|host| host.look_for_strays(now));
        }
        self.majority = majority;
        if !majority {
            return;
        }
        for vm in std::mem::take(&mut self.lost) {
            if !self.live.contains(&JobId::vm_tag_of(&vm)) {
                self.drop_vm(now, &vm, out);
            }
        }
    }

    /// Drops the requests of a VM that is gone and frees what they hold.
    pub(super) fn drop_vm(&mut self, now: Time, vm: &VmName, out: &mut Out) {
        if self.leases.remove(vm).is_none() {
            return;
        }
        self.each(out, |host| host.vm_down(now, vm));
    }

    /// Drops all schedulers, because another VM may own the cells by now.
    pub(super) fn clear(&mut self) {
        self.hosts.clear();
        self.leases.clear();
    }

    /// Returns true if requests of other VMs are registered here.
    pub(super) fn serves_others(&self, own: &VmName) -> bool {
        let mut hosts = self.hosts.values();
        hosts.any(|host| host.vms().keys().any(|vm| *vm != own))
    }

    pub(super) fn owns_engine_of(&self, group: &Service) -> bool {
        self.hosts.keys().any(|cell| cell.group == *group)
    }

    /// Notes which VMs are in the view.
    pub(super) fn set_live<'a>(&mut self, vms: impl Iterator<Item = &'a VmName>) {
        self.live = vms.map(JobId::vm_tag_of).collect();
    }

    /// Puts cells and options in force; returns true if a cell was taken over.
    pub(super) fn set_cells(
        &mut self,
        now: Time,
        cells: &Cells,
        options: &BTreeMap<Service, SchedOptions>,
        owned: impl Fn(&CellKey) -> bool,
        out: &mut Out,
    ) -> bool {
        self.cells.clone_from(cells);
        self.options.clone_from(options);
        self.hosts
            .retain(|cell, host| owned(cell) || !host.is_empty());
        let changed = |cell: &CellKey, host: &Host| {
            let wanted = options.get(&cell.group).cloned().unwrap_or_default();
            host.options != wanted
        };
        if self.hosts.iter().any(|(cell, host)| changed(cell, host)) {
            // A scheduler keeps its options, so it is replaced and the requests register again.
            self.hosts.retain(|cell, host| !changed(cell, host));
            self.leases
                .values_mut()
                .for_each(|lease| lease.token = draw());
        }
        let mut added = false;
        for cell in cells.keys().filter(|cell| owned(cell)) {
            added |= self.open(now, cell);
        }
        let cells = std::mem::take(&mut self.cells);
        for (cell, host) in &mut self.hosts {
            let engines = cells.get(cell).map_or(&[][..], Vec::as_slice);
            let actions = host.set_engines(now, engines);
            host.deliver(actions, out, &mut self.orphans);
        }
        self.cells = cells;
        added
    }

    /// Makes sure that a cell has a scheduler; returns true if it had none.
    fn open(&mut self, now: Time, cell: &CellKey) -> bool {
        if self.hosts.contains_key(cell) {
            return false;
        }
        let options = self.options.get(&cell.group).cloned().unwrap_or_default();
        let mut host = Host::new(now, options, cell.hash() ^ now.as_micros());
        if let Some(engines) = self.cells.get(cell) {
            // Nothing is registered yet, so there is nothing to be told.
            let _ = host.set_engines(now, engines);
        }
        self.hosts.insert(cell.clone(), host);
        true
    }

    /// Handles a message of an entry VM; returns true if a cell was taken over.
    pub(super) fn handle(
        &mut self,
        now: Time,
        from: &VmName,
        message: Message,
        out: &mut Out,
    ) -> bool {
        match message {
            Message::Submit { cell, epoch, job } => {
                let opened = self.open(now, &cell);
                let job = job.into_job(now, from.clone());
                self.on(&cell, out, |host| host.submit(now, job, epoch));
                opened
            }
            Message::Register {
                cell,
                epoch,
                job,
                attempt,
                stage,
            } => {
                let opened = self.open(now, &cell);
                let job = job.into_job(now, from.clone());
                self.on(&cell, out, |host| {
                    host.register(now, job, epoch, attempt, &stage)
                });
                opened
            }
            Message::Report {
                cell,
                epoch,
                id,
                attempt,
                progress,
            } => {
                self.on(&cell, out, |host| {
                    host.report(now, (id, epoch), attempt, progress)
                });
                false
            }
            Message::Release { cell, id } => {
                self.on(&cell, out, |host| host.release(now, id));
                false
            }
            Message::Order { .. } | Message::Leaving => false,
        }
    }

    pub(super) fn engine_update(
        &mut self,
        now: Time,
        group: &Service,
        input: &EngineUpdate,
        out: &mut Out,
    ) {
        for (_, host) in self
            .hosts
            .iter_mut()
            .filter(|(cell, _)| cell.group == *group)
        {
            let live = self.majority.then_some(&self.live);
            let actions = host.engine_update(now, input, live, &mut self.orphans);
            host.deliver(actions, out, &mut self.orphans);
        }
    }

    /// Lets time pass: expired leases end, and the schedulers look at their queues.
    pub(super) fn tick(&mut self, now: Time, out: &mut Out) {
        let majority = self.majority;
        let expired = |lease: &Lease| majority && now.since(lease.heard) > LEASE_TTL;
        let all = self.leases.iter();
        let gone: Vec<VmName> = all
            .filter(|(_, lease)| expired(lease))
            .map(|(vm, _)| vm.clone())
            .collect();
        for vm in gone {
            log::info!(vm = vm.as_str(); "the lease of an entry VM ended");
            self.drop_vm(now, &vm, out);
        }
        self.each(out, |host| host.tick(now));
    }

    /// Returns the cancels that no request obeys.
    pub(super) fn take_orphans(&mut self) -> Vec<Orphan> {
        std::mem::take(&mut self.orphans)
    }

    pub(super) fn hosts(&self) -> &BTreeMap<CellKey, Host> {
        &self.hosts
    }

    /// Returns the time since each entry VM was heard.
    pub(super) fn leases(&self, now: Time) -> BTreeMap<String, Duration> {
        let all = self.leases.iter();
        all.map(|(vm, lease)| (vm.to_string(), now.since(lease.heard)))
            .collect()
    }

    fn on(&mut self, cell: &CellKey, out: &mut Out, change: impl FnOnce(&mut Host) -> Vec<Action>) {
        if let Some(host) = self.hosts.get_mut(cell) {
            let actions = change(host);
            host.deliver(actions, out, &mut self.orphans);
        }
    }

    fn each(&mut self, out: &mut Out, mut change: impl FnMut(&mut Host) -> Vec<Action>) {
        for host in self.hosts.values_mut() {
            let actions = change(host);
            host.deliver(actions, out, &mut self.orphans);
        }
    }
}

/// Draws a number that tells two lifetimes apart.
pub(super) fn draw() -> u64 {
    uuid::Uuid::new_v4().as_u64_pair().0
}
