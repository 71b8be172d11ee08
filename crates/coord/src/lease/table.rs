//! The cell owner's table of leases.

use std::collections::{BTreeMap, BTreeSet};

use crate::lease::{Cancel, LeaseOptions, Renewal, RenewalReply, Slot, belongs_to, slots_digest};
use crate::name::{Incarnation, Upstream, VmName};
use crate::sched::JobId;
use crate::time::Time;

#[derive(Clone, Debug)]
struct Entry {
    incarnation: Incarnation,
    sequence: u64,
    renewed: Time,
    slots: BTreeSet<Slot>,
    /// Slots granted since, that the VM's next list may lack because it was sent before.
    fresh: BTreeMap<Slot, Time>,
}

/// The leases of one cell, at its owner.
#[derive(Clone, Debug)]
pub struct LeaseTable {
    options: LeaseOptions,
    since: Time,
    vms: BTreeMap<VmName, Entry>,
    ended: BTreeMap<Slot, Time>,
    free: BTreeMap<Upstream, u32>,
    /// First report that shows a slot without a lease.
    strays: BTreeMap<Slot, Time>,
}

impl LeaseTable {
    /// Starts the table of a VM that has just become the owner.
    #[must_use]
    pub const fn new(now: Time, options: LeaseOptions) -> Self {
        Self {
            options,
            since: now,
            vms: BTreeMap::new(),
            ended: BTreeMap::new(),
            free: BTreeMap::new(),
            strays: BTreeMap::new(),
        }
    }

    /// Grants a slot when the scheduler starts a job on an engine.
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
        let entry = self.vms.entry(vm.clone()).or_insert_with(|| Entry {
            incarnation,
            sequence: 0,
            renewed: now,
            slots: BTreeSet::new(),
            fresh: BTreeMap::new(),
        });
        if entry.incarnation == incarnation {
            entry.slots.insert(slot.clone());
            entry.fresh.insert(slot, now);
        }
    }

    /// Ends a lease whose job has left the engine.
    pub fn end(&mut self, vm: &VmName, job: JobId, upstream: &Upstream) {
        let upstream = upstream.clone();
        let slot = Slot { job, upstream };
        if let Some(entry) = self.vms.get_mut(vm) {
            entry.slots.remove(&slot);
            entry.fresh.remove(&slot);
        }
    }

    /// Handles a renewal or registration; returns the answer and what it makes superfluous.
    pub fn renew(
        &mut self,
        now: Time,
        vm: &VmName,
        renewal: Renewal,
    ) -> (Option<RenewalReply>, Vec<Cancel>) {
        let entry = self.vms.get(vm);
        let old = entry.is_some_and(|e| {
            (renewal.incarnation, renewal.sequence) <= (e.incarnation, e.sequence)
        });
        if old {
            return (None, Vec::new());
        }
        let mut cancels = Vec::new();
        if entry.is_some_and(|entry| entry.incarnation < renewal.incarnation) {
            cancels = self.drop_vm(now, vm);
        }
        let (incarnation, sequence) = (renewal.incarnation, renewal.sequence);
        let (ended, slots_unknown) = match renewal.slots {
            Some(slots) => (
                self.register(now, vm, (incarnation, sequence), slots),
                false,
            ),
            None => (Vec::new(), !self.confirm(now, vm, sequence, renewal.digest)),
        };
        let answer = RenewalReply {
            incarnation,
            sequence,
            slots_unknown,
            ended,
        };
        (Some(answer), cancels)
    }

    /// Renews what is known of a VM; returns whether its slots are those of the table.
    fn confirm(&mut self, now: Time, vm: &VmName, sequence: u64, wanted: u64) -> bool {
        let Some(entry) = self.vms.get_mut(vm) else {
            return false;
        };
        (entry.sequence, entry.renewed) = (sequence, now);
        let same = slots_digest(&entry.slots) == wanted;
        if same {
            entry.fresh.clear();
        }
        same
    }

    /// Puts a VM's list of slots in place of the table's; returns those that have ended.
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
        let mut fresh = BTreeMap::new();
        if let Some(entry) = self.vms.remove(vm) {
            fresh = entry.fresh;
            // A slot that the VM has not heard of within one TTL was never used by it.
            fresh.retain(|slot, at| !slots.contains(slot) && now.since(*at) < self.options.ttl);
        }
        slots.extend(fresh.keys().cloned());
        let entry = Entry {
            incarnation,
            sequence,
            renewed: now,
            slots,
            fresh,
        };
        self.vms.insert(vm.clone(), entry);
        ended
    }

    /// Cancels the work of a VM that membership declared dead.
    pub fn vm_down(&mut self, now: Time, vm: &VmName) -> Vec<Cancel> {
        self.drop_vm(now, vm)
    }

    /// Cancels the work of VMs whose leases have ended.
    pub fn tick(&mut self, now: Time) -> Vec<Cancel> {
        let (ttl, ended_retention) = (self.options.ttl, self.options.ended_retention);
        self.ended.retain(|_, at| now.since(*at) < ended_retention);
        let late = |entry: &Entry| now.since(entry.renewed) > ttl;
        let expired = self.vms.iter().filter(|(_, entry)| late(entry));
        let expired: Vec<VmName> = expired.map(|(vm, _)| vm.clone()).collect();
        expired
            .iter()
            .flat_map(|vm| self.drop_vm(now, vm))
            .collect()
    }

    /// Handles an engine's list of the jobs that hold its memory; `live` are the VMs that
    /// membership considers alive. A VM that has just started must have taken over another VM's
    /// view before it acts as owner; otherwise it detects a death anew and frees slots up to 2 s
    /// later than 5 s after the death.
    ///
    /// A slot without a lease is cancelled at once if its VM is dead, also when the lease was with
    /// an earlier owner; if its lease had ended here, because that cancellation was lost; and
    /// otherwise when its VM has renewed without it for a whole TTL.
    pub fn report(
        &mut self,
        now: Time,
        upstream: &Upstream,
        (held, total): (&[JobId], u32),
        live: &[VmName],
    ) -> Vec<Cancel> {
        let used = u32::try_from(held.len()).unwrap_or(u32::MAX);
        self.free
            .insert(upstream.clone(), total.saturating_sub(used));
        let slot = |job: &JobId| Slot {
            job: *job,
            upstream: upstream.clone(),
        };
        self.strays
            .retain(|stray, _| stray.upstream != *upstream || held.contains(&stray.job));
        let mut cancels = Vec::new();
        for slot in held.iter().map(slot) {
            if self.vms.values().any(|entry| entry.slots.contains(&slot)) {
                self.strays.remove(&slot);
                continue;
            }
            let dead = !live.iter().any(|vm| belongs_to(slot.job, vm));
            let first = *self.strays.entry(slot.clone()).or_insert(now);
            let old = now.since(first) >= self.options.ttl && self.registration_over(now);
            if dead || old || self.ended.contains_key(&slot) {
                let Slot { job, upstream } = slot;
                cancels.push(Cancel { job, upstream });
            }
        }
        cancels
    }

    /// Returns the slots without a lease whose ids belong to `vm`, for [`LeaseHolder::check_held`] there: only
    /// the VM itself knows whether they are its own or those of its predecessor.
    ///
    /// [`LeaseHolder::check_held`]: crate::lease::LeaseHolder::check_held
    #[must_use]
    pub fn unleased_slots(&self, vm: &VmName) -> Vec<Slot> {
        let strays = self.strays.keys();
        strays
            .filter(|slot| belongs_to(slot.job, vm))
            .cloned()
            .collect()
    }

    /// Returns whether the VMs have had time to register with this owner: one TTL, plus twice the
    /// clock-rate error of 1%.
    #[must_use]
    pub fn registration_over(&self, now: Time) -> bool {
        now.since(self.since) >= self.options.ttl * 102 / 100
    }

    /// Returns how many of an engine's `total` slots may be granted.
    ///
    /// Until the VMs have registered, only the slots that the engine itself reported as free.
    #[must_use]
    pub fn grantable(&self, now: Time, upstream: &Upstream, total: u32) -> u32 {
        let all = self.vms.values().flat_map(|entry| &entry.slots);
        let leased = all.filter(|slot| slot.upstream == *upstream).count();
        let free = total.saturating_sub(u32::try_from(leased).unwrap_or(u32::MAX));
        if self.registration_over(now) {
            return free;
        }
        free.min(self.free.get(upstream).copied().unwrap_or(0))
    }

    fn drop_vm(&mut self, now: Time, vm: &VmName) -> Vec<Cancel> {
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
