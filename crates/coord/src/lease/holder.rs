//! The entry VM's side of leases.

use std::collections::{BTreeMap, BTreeSet};

use crate::lease::{
    Cancel, LeaseOptions, Renewal, RenewalReply, Slot, belongs_to, slots_digest, vm_hash,
};
use crate::name::{Incarnation, Service, Upstream, VmName};
use crate::sched::JobId;
use crate::time::Time;

/// An action that an entry VM has to carry out for its leases.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HolderAction {
    /// Send a renewal of the leases of one cell to its owner.
    Renew {
        /// The owner of the cell, which receives the message.
        to: VmName,
        /// The service whose cell the leases belong to.
        cell: Service,
        /// The message to send.
        renewal: Renewal,
    },
    /// The owner cancelled the job on this engine. The VM resumes the job, or ends it as `unknown`
    /// if it must run at most once.
    Ended {
        /// The slot that the job held.
        slot: Slot,
    },
}

#[derive(Clone, Debug)]
struct CellLeases {
    owner: Option<VmName>,
    slots: BTreeSet<Slot>,
    sent_at: Option<Time>,
    /// The sequence number of the last renewal sent.
    sequence: u64,
    /// The sequence number of the last renewal that the owner answered.
    confirmed: u64,
    /// Whether the next renewal lists the slots.
    send_slots: bool,
}

/// The leases of one entry VM.
#[derive(Clone, Debug)]
pub struct LeaseHolder {
    local_vm: VmName,
    incarnation: Incarnation,
    options: LeaseOptions,
    cells: BTreeMap<Service, CellLeases>,
    sequence: u64,
    hash_collision: bool,
}

impl LeaseHolder {
    /// Creates the holder of a VM that has just started and has no leases.
    #[must_use]
    pub const fn new(local_vm: VmName, incarnation: Incarnation, options: LeaseOptions) -> Self {
        Self {
            local_vm,
            incarnation,
            options,
            cells: BTreeMap::new(),
            sequence: 0,
            hash_collision: false,
        }
    }

    /// Sets the names of the published list of VMs. If another VM has the same hash as this one,
    /// this VM does not cancel unknown jobs, which may be those of the other VM.
    pub fn set_peers<'a>(&mut self, mut peers: impl Iterator<Item = &'a VmName>) {
        let own_hash = vm_hash(&self.local_vm);
        self.hash_collision = peers.any(|vm| *vm != self.local_vm && vm_hash(vm) == own_hash);
    }

    /// Records that a job occupies a slot. Must be called before the first byte goes to the engine.
    pub fn job_started(&mut self, cell: &Service, job: JobId, upstream: Upstream) {
        self.cell_mut(cell).slots.insert(Slot { job, upstream });
    }

    /// Records that a job no longer occupies a slot of an engine.
    pub fn job_ended(&mut self, cell: &Service, job: JobId, upstream: &Upstream) {
        let upstream = upstream.clone();
        self.cell_mut(cell).slots.remove(&Slot { job, upstream });
    }

    /// Sets the owner of a cell, or `None` if no owner is known. A new owner gets a registration at
    /// the next tick. Running streams are not affected.
    pub fn set_owner(&mut self, cell: &Service, owner: Option<VmName>) {
        let cell = self.cell_mut(cell);
        if cell.owner != owner {
            cell.owner = owner;
            cell.sent_at = None;
            cell.send_slots = true;
        }
    }

    /// Returns the renewals that are due. Must be called every 100 ms.
    pub fn tick(&mut self, now: Time) -> Vec<HolderAction> {
        let mut actions = Vec::new();
        self.cells
            .retain(|_, cell| cell.owner.is_some() || !cell.slots.is_empty());
        for (name, cell) in &mut self.cells {
            let answered = cell.confirmed == cell.sequence;
            let interval = if answered {
                self.options.renew_interval
            } else {
                self.options.retry_interval
            };
            let due = cell.sent_at.is_none_or(|at| now.since(at) >= interval);
            let Some(owner) = cell.owner.clone().filter(|_| due) else {
                continue;
            };
            self.sequence += 1;
            cell.sequence = self.sequence;
            cell.sent_at = Some(now);
            let renewal = Renewal {
                incarnation: self.incarnation,
                sequence: self.sequence,
                digest: slots_digest(&cell.slots),
                slots: cell
                    .send_slots
                    .then(|| cell.slots.iter().cloned().collect()),
            };
            let (to, cell) = (owner, name.clone());
            actions.push(HolderAction::Renew { to, cell, renewal });
        }
        actions
    }

    /// Handles the owner's reply to a renewal.
    pub fn handle_reply(
        &mut self,
        cell: &Service,
        from: &VmName,
        reply: RenewalReply,
    ) -> Vec<HolderAction> {
        let Some(cell) = self.cells.get_mut(cell) else {
            return Vec::new();
        };
        if reply.incarnation != self.incarnation || cell.owner.as_ref() != Some(from) {
            return Vec::new();
        }
        if reply.sequence != cell.sequence {
            return Vec::new();
        }
        cell.confirmed = reply.sequence;
        cell.send_slots = reply.slots_unknown;
        if reply.slots_unknown {
            cell.sent_at = None;
        }
        let mut actions = Vec::new();
        for slot in reply.ended {
            if cell.slots.remove(&slot) {
                actions.push(HolderAction::Ended { slot });
            }
        }
        actions
    }

    /// Compares an engine's list of held jobs with the slots of this VM and returns the
    /// cancellations of those that it does not know. Such a job belongs to an earlier start of this
    /// VM, or its cancellation was lost.
    #[must_use]
    pub fn check_held(&self, upstream: &Upstream, held: &[JobId]) -> Vec<Cancel> {
        if self.hash_collision {
            return Vec::new();
        }
        let own_jobs = held.iter().filter(|job| belongs_to(**job, &self.local_vm));
        let unknown = own_jobs.filter(|job| !self.holds(**job, upstream));
        let cancel = |job: &JobId| Cancel {
            job: *job,
            upstream: upstream.clone(),
        };
        unknown.map(cancel).collect()
    }

    fn holds(&self, job: JobId, upstream: &Upstream) -> bool {
        let upstream = upstream.clone();
        let slot = Slot { job, upstream };
        self.cells.values().any(|cell| cell.slots.contains(&slot))
    }

    fn cell_mut(&mut self, cell: &Service) -> &mut CellLeases {
        self.cells
            .entry(cell.clone())
            .or_insert_with(|| CellLeases {
                owner: None,
                slots: BTreeSet::new(),
                sent_at: None,
                sequence: 0,
                confirmed: 0,
                send_slots: true,
            })
    }
}
