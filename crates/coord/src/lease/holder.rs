//! The entry VM's side of leases.

use std::collections::{BTreeMap, BTreeSet};

use crate::lease::{
    Cancel, LeaseOptions, Renewal, RenewalReply, Slot, belongs_to, slots_digest, vm_hash,
};
use crate::name::{Incarnation, Service, Upstream, VmName};
use crate::sched::JobId;
use crate::time::Time;

/// What an entry VM has to do for its leases.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HolderAction {
    /// Send the slots of one cell to its owner.
    Renew {
        /// The cell's owner.
        to: VmName,
        /// The cell.
        cell: Service,
        /// The slots.
        renewal: Renewal,
    },
    /// The owner cancelled the job on this engine: resume it, or end it as `unknown` if it is
    /// once-only.
    Ended {
        /// What the job held.
        slot: Slot,
    },
}

#[derive(Clone, Debug)]
struct Cell {
    owner: Option<VmName>,
    slots: BTreeSet<Slot>,
    sent: Option<Time>,
    sequence: u64,
    confirmed: u64,
    /// The next renewal names the slots.
    full: bool,
}

/// The leases of one entry VM.
#[derive(Clone, Debug)]
pub struct LeaseHolder {
    me: VmName,
    incarnation: Incarnation,
    options: LeaseOptions,
    cells: BTreeMap<Service, Cell>,
    sequence: u64,
    shared: bool,
}

impl LeaseHolder {
    /// Creates the leases of a VM that has just started.
    #[must_use]
    pub const fn new(me: VmName, incarnation: Incarnation, options: LeaseOptions) -> Self {
        Self {
            me,
            incarnation,
            options,
            cells: BTreeMap::new(),
            sequence: 0,
            shared: false,
        }
    }

    /// Notes the names of the published list. If one of them has the same hash, this VM does not
    /// cancel unknown ids: they may be the other VM's.
    pub fn set_peers<'a>(&mut self, mut peers: impl Iterator<Item = &'a VmName>) {
        let mine = vm_hash(&self.me);
        self.shared = peers.any(|vm| *vm != self.me && vm_hash(vm) == mine);
    }

    /// Notes that a job occupies a slot; call it before the first byte goes to the engine.
    pub fn job_started(&mut self, cell: &Service, job: JobId, upstream: Upstream) {
        self.cell(cell).slots.insert(Slot { job, upstream });
    }

    /// Notes that a job has left an engine.
    pub fn job_ended(&mut self, cell: &Service, job: JobId, upstream: &Upstream) {
        let upstream = upstream.clone();
        self.cell(cell).slots.remove(&Slot { job, upstream });
    }

    /// Notes who owns a cell, or that nobody is known to; a new owner gets a registration at the
    /// next tick. Running streams are not touched.
    pub fn set_owner(&mut self, cell: &Service, owner: Option<VmName>) {
        let cell = self.cell(cell);
        if cell.owner != owner {
            cell.owner = owner;
            cell.sent = None;
            cell.full = true;
        }
    }

    /// Returns the renewals that are due. Due every 100 ms.
    pub fn tick(&mut self, now: Time) -> Vec<HolderAction> {
        let mut actions = Vec::new();
        self.cells
            .retain(|_, cell| cell.owner.is_some() || !cell.slots.is_empty());
        for (name, cell) in &mut self.cells {
            let answered = cell.confirmed == cell.sequence;
            let pause = if answered {
                self.options.renew_interval
            } else {
                self.options.retry_interval
            };
            let due = cell.sent.is_none_or(|sent| now.since(sent) >= pause);
            let Some(owner) = cell.owner.clone().filter(|_| due) else {
                continue;
            };
            self.sequence += 1;
            cell.sequence = self.sequence;
            cell.sent = Some(now);
            let renewal = Renewal {
                incarnation: self.incarnation,
                sequence: self.sequence,
                digest: slots_digest(&cell.slots),
                slots: cell.full.then(|| cell.slots.iter().cloned().collect()),
            };
            let (to, cell) = (owner, name.clone());
            actions.push(HolderAction::Renew { to, cell, renewal });
        }
        actions
    }

    /// Handles the owner's answer.
    pub fn handle_reply(
        &mut self,
        cell: &Service,
        from: &VmName,
        renewed: RenewalReply,
    ) -> Vec<HolderAction> {
        let Some(cell) = self.cells.get_mut(cell) else {
            return Vec::new();
        };
        if renewed.incarnation != self.incarnation || cell.owner.as_ref() != Some(from) {
            return Vec::new();
        }
        if renewed.sequence != cell.sequence {
            return Vec::new();
        }
        cell.confirmed = renewed.sequence;
        cell.full = renewed.slots_unknown;
        if renewed.slots_unknown {
            cell.sent = None;
        }
        let mut actions = Vec::new();
        for slot in renewed.ended {
            if cell.slots.remove(&slot) {
                actions.push(HolderAction::Ended { slot });
            }
        }
        actions
    }

    /// Handles an engine's list of held jobs: ids of this VM that it does not know are those of
    /// its predecessor, or a cancellation was lost.
    #[must_use]
    pub fn check_held(&self, upstream: &Upstream, held: &[JobId]) -> Vec<Cancel> {
        if self.shared {
            return Vec::new();
        }
        let mine = held.iter().filter(|job| belongs_to(**job, &self.me));
        let stray = mine.filter(|job| !self.knows(**job, upstream));
        let cancel = |job: &JobId| Cancel {
            job: *job,
            upstream: upstream.clone(),
        };
        stray.map(cancel).collect()
    }

    fn knows(&self, job: JobId, upstream: &Upstream) -> bool {
        let upstream = upstream.clone();
        let slot = Slot { job, upstream };
        self.cells.values().any(|cell| cell.slots.contains(&slot))
    }

    fn cell(&mut self, cell: &Service) -> &mut Cell {
        self.cells.entry(cell.clone()).or_insert_with(|| Cell {
            owner: None,
            slots: BTreeSet::new(),
            sent: None,
            sequence: 0,
            confirmed: 0,
            full: true,
        })
    }
}
