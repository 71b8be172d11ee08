//! The cell owner's table of leases.

use std::collections::{BTreeMap, BTreeSet};

use crate::lease::{Cancel, LeaseOptions, Renewal, RenewalReply, Slot, belongs_to, slots_digest};
use crate::name::{Incarnation, Upstream, VmName};
use crate::sched::JobId;
use crate::time::Time;

#[derive(Clone, Debug)]
struct VmLeases {
    incarnation: Incarnation,
    sequence: u64,
    renewed_at: Time,
    slots: BTreeSet<Slot>,
    /// Slots granted recently, with the time of the grant. A registration from the VM may lack
    /// them, because it may have been sent before the grant arrived.
    unconfirmed: BTreeMap<Slot, Time>,
}

/// The leases of one cell, at its owner.
#[derive(Clone, Debug)]
pub struct LeaseTable {
    options: LeaseOptions,
    owner_since: Time,
    vms: BTreeMap<VmName, VmLeases>,
    ended: BTreeMap<Slot, Time>,
    reported_free: BTreeMap<Upstream, u32>,
    /// Slots without a lease, with the time of the first engine report that showed them.
    unleased: BTreeMap<Slot, Time>,
}

impl LeaseTable {
    /// Creates the table of a VM that has just become the owner of the cell.
    #[must_use]
    pub const fn new(now: Time, options: LeaseOptions) -> Self {
        Self {
            options,
            owner_since: now,
            vms: BTreeMap::new(),
            ended: BTreeMap::new(),
            reported_free: BTreeMap::new(),
            unleased: BTreeMap::new(),
        }
    }

    /// Grants a lease to the entry VM of a job that the scheduler starts on an engine.
    pub fn grant(
        &mut self,
        now: Time,
        vm: &VmName,
        incarnation: Incarnation,
        job: JobId,
        upstream: Upstream,
    ) {
        let slot = Slot { job, upstream };
        self.ended.remove(&slot);
        let entry = self.vms.entry(vm.clone()).or_insert_with(|| VmLeases {
            incarnation,
            sequence: 0,
            renewed_at: now,
            slots: BTreeSet::new(),
            unconfirmed: BTreeMap::new(),
        });
        if entry.incarnation == incarnation {
            entry.slots.insert(slot.clone());
            entry.unconfirmed.insert(slot, now);
        }
    }

    /// Ends the lease of a job that no longer occupies a slot of the engine.
    pub fn end(&mut self, vm: &VmName, job: JobId, upstream: &Upstream) {
        let upstream = upstream.clone();
        let slot = Slot { job, upstream };
        if let Some(entry) = self.vms.get_mut(vm) {
            entry.slots.remove(&slot);
            entry.unconfirmed.remove(&slot);
        }
    }

    /// Handles a renewal or registration. Returns the reply, and the cancellations of the jobs of
    /// the VM's earlier start. A message that a later one has overtaken gets no reply.
    pub fn renew(
        &mut self,
        now: Time,
        vm: &VmName,
        msg: Renewal,
    ) -> (Option<RenewalReply>, Vec<Cancel>) {
        let entry = self.vms.get(vm);
        let stale =
            entry.is_some_and(|e| (msg.incarnation, msg.sequence) <= (e.incarnation, e.sequence));
        if stale {
            return (None, Vec::new());
        }
        let mut cancels = Vec::new();
        if entry.is_some_and(|entry| entry.incarnation < msg.incarnation) {
            cancels = self.end_vm_leases(now, vm);
        }
        let (incarnation, sequence) = (msg.incarnation, msg.sequence);
        let (ended, slots_unknown) = match msg.slots {
            Some(slots) => (
                self.register(now, vm, (incarnation, sequence), slots),
                false,
            ),
            None => (Vec::new(), !self.confirm(now, vm, sequence, msg.digest)),
        };
        let answer = RenewalReply {
            incarnation,
            sequence,
            slots_unknown,
            ended,
        };
        (Some(answer), cancels)
    }

    /// Renews the leases of a VM. Returns whether its slots are those of the table.
    fn confirm(&mut self, now: Time, vm: &VmName, sequence: u64, expected: u64) -> bool {
        let Some(entry) = self.vms.get_mut(vm) else {
            return false;
        };
        (entry.sequence, entry.renewed_at) = (sequence, now);
        let same = slots_digest(&entry.slots) == expected;
        if same {
            entry.unconfirmed.clear();
        }
        same
    }

    /// Replaces a VM's slots by those that it listed. Returns the listed slots whose leases have
    /// ended.
    fn register(
        &mut self,
        now: Time,
        vm: &VmName,
        (incarnation, sequence): (Incarnation, u64),
        slots: Vec<Slot>,
    ) -> Vec<Slot> {
        let is_ended = |slot: &Slot| self.ended.contains_key(slot);
        let (ended, live): (Vec<Slot>, Vec<Slot>) = slots.into_iter().partition(is_ended);
        let mut slots: BTreeSet<Slot> = live.into_iter().collect();
        let mut unconfirmed = BTreeMap::new();
        if let Some(entry) = self.vms.remove(vm) {
            unconfirmed = entry.unconfirmed;
            // A slot that the VM has not listed within one TTL of the grant was never used, because
            // the grant did not reach the VM.
            unconfirmed
                .retain(|slot, at| !slots.contains(slot) && now.since(*at) < self.options.ttl);
        }
        slots.extend(unconfirmed.keys().cloned());
        let entry = VmLeases {
            incarnation,
            sequence,
            renewed_at: now,
            slots,
            unconfirmed,
        };
        self.vms.insert(vm.clone(), entry);
        ended
    }

    /// Ends the leases of a VM that the membership has declared dead, and returns the cancellations
    /// of its jobs.
    pub fn vm_down(&mut self, now: Time, vm: &VmName) -> Vec<Cancel> {
        self.end_vm_leases(now, vm)
    }

    /// Ends the leases that have expired, and returns the cancellations of their jobs.
    pub fn tick(&mut self, now: Time) -> Vec<Cancel> {
        let (ttl, ended_retention) = (self.options.ttl, self.options.ended_retention);
        self.ended.retain(|_, at| now.since(*at) < ended_retention);
        let is_expired = |entry: &VmLeases| now.since(entry.renewed_at) > ttl;
        let expired = self.vms.iter().filter(|(_, entry)| is_expired(entry));
        let expired: Vec<VmName> = expired.map(|(vm, _)| vm.clone()).collect();
        expired
            .iter()
            .flat_map(|vm| self.end_vm_leases(now, vm))
            .collect()
    }

    /// Handles an engine's list of the jobs that hold its memory, and returns the cancellations.
    /// `live` are the VMs that the membership considers alive. A VM that has just started must copy
    /// the membership view of another VM before it acts as owner. Otherwise it has to detect each
    /// death itself, which frees slots up to 2 s later than the usual 5 s after the death.
    ///
    /// A job without a lease is cancelled immediately if its VM is dead, also if an earlier owner
    /// had granted the lease. It is cancelled immediately if this owner had ended its lease,
    /// because the first cancellation was lost. Otherwise it is cancelled once engine reports have
    /// shown it without a lease for one TTL and the VMs have had time to register.
    pub fn report(
        &mut self,
        now: Time,
        upstream: &Upstream,
        (held, total): (&[JobId], u32),
        live: &[VmName],
    ) -> Vec<Cancel> {
        let used = u32::try_from(held.len()).unwrap_or(u32::MAX);
        self.reported_free
            .insert(upstream.clone(), total.saturating_sub(used));
        let slot = |job: &JobId| Slot {
            job: *job,
            upstream: upstream.clone(),
        };
        self.unleased
            .retain(|slot, _| slot.upstream != *upstream || held.contains(&slot.job));
        let mut cancels = Vec::new();
        for slot in held.iter().map(slot) {
            if self.vms.values().any(|entry| entry.slots.contains(&slot)) {
                self.unleased.remove(&slot);
                continue;
            }
            let dead = !live.iter().any(|vm| belongs_to(slot.job, vm));
            let first_seen = *self.unleased.entry(slot.clone()).or_insert(now);
            let overdue = now.since(first_seen) >= self.options.ttl && self.registration_over(now);
            if dead || overdue || self.ended.contains_key(&slot) {
                let Slot { job, upstream } = slot;
                cancels.push(Cancel { job, upstream });
            }
        }
        cancels
    }

    /// Returns the slots without a lease whose job ids belong to `vm`, which checks them with
    /// [`LeaseHolder::check_held`]. Only the VM itself knows whether they belong to its current
    /// start.
    ///
    /// [`LeaseHolder::check_held`]: crate::lease::LeaseHolder::check_held
    #[must_use]
    pub fn unleased_slots(&self, vm: &VmName) -> Vec<Slot> {
        let unleased = self.unleased.keys();
        unleased
            .filter(|slot| belongs_to(slot.job, vm))
            .cloned()
            .collect()
    }

    /// Returns whether the VMs have had time to register with this owner, which is one TTL plus
    /// twice the maximum clock-rate error of 1%.
    #[must_use]
    pub fn registration_over(&self, now: Time) -> bool {
        now.since(self.owner_since) >= self.options.ttl * 102 / 100
    }

    /// Returns how many of an engine's `total` slots may be granted.
    ///
    /// Until the VMs have had time to register, this is at most the number of slots that the engine
    /// itself reported as free.
    #[must_use]
    pub fn grantable(&self, now: Time, upstream: &Upstream, total: u32) -> u32 {
        let slots = self.vms.values().flat_map(|entry| &entry.slots);
        let leased = slots.filter(|slot| slot.upstream == *upstream).count();
        let free = total.saturating_sub(u32::try_from(leased).unwrap_or(u32::MAX));
        if self.registration_over(now) {
            return free;
        }
        free.min(self.reported_free.get(upstream).copied().unwrap_or(0))
    }

    fn end_vm_leases(&mut self, now: Time, vm: &VmName) -> Vec<Cancel> {
        let Some(entry) = self.vms.remove(vm) else {
            return Vec::new();
        };
        let cancel = |Slot { job, upstream }| Cancel { job, upstream };
        for slot in &entry.slots {
            self.ended.insert(slot.clone(), now);
        }
        entry.slots.into_iter().map(cancel).collect()
    }
}
