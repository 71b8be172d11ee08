//! Poison requests at the owner of a cell: charges, isolation, refusal and copies at peers.

use coord::name::{Service, Upstream, VmName};
use coord::poison::{CrashRecord, Suspects, Verdict};
use coord::sched::{Action, JobId, Reason};

use crate::simulation::Simulation;
use crate::vm::PeerMessage;

/// The VMs that a VM sends new charges to: the next ones in order of ownership, which take over
/// first, and for charges that it heard the next ones in order of names, so that all VMs hear.
const CHARGE_COPIES: usize = 2;

impl Simulation {
    fn suspects(&mut self, vm: usize, service: &Service) -> Option<&mut Suspects> {
        let state = self.vms[vm].state.as_mut()?;
        let new = || Suspects::new(coord::poison::PoisonOptions::default());
        Some(state.suspects.entry(service.clone()).or_insert_with(new))
    }

    /// An entry VM saw the connection to an upstream break: charges what ran there, once for each
    /// attempt.
    pub fn charge_crash(&mut self, vm: usize, service: &Service, on: &Upstream) {
        let clock = self.vms[vm].clock(self.now);
        let Some(cell) = self.owned_cell(vm, service) else {
            return;
        };
        let running = cell.uncharged_jobs(on);
        let Some(suspects) = self.suspects(vm, service) else {
            return;
        };
        let charged = suspects.upstream_crashed(clock, &running);
        for fingerprint in charged {
            self.isolate(vm, service, fingerprint);
        }
        let mut peers = self.next_owners(vm, service);
        peers.extend(self.next_peers(vm));
        self.send_charges(vm, service, &peers);
    }

    fn isolate(&mut self, vm: usize, service: &Service, fingerprint: u128) {
        let clock = self.vms[vm].clock(self.now);
        let Some(suspects) = self.suspects(vm, service) else {
            return;
        };
        let verdict = suspects.admit(clock, fingerprint);
        // It does not run yet: the scheduler chooses the moment.
        suspects.aborted(fingerprint);
        self.add_trace(&format!("{fingerprint:x} is charged: {verdict}"));
        self.with_cell(vm, service, |cell, now| match verdict {
            Verdict::Refuse { retry_after } => cell.scheduler.refuse(now, fingerprint, retry_after),
            Verdict::Run => Vec::new(),
            Verdict::Isolate | Verdict::Wait => cell.scheduler.isolate(now, fingerprint),
        });
    }

    fn send_charges(&mut self, vm: usize, service: &Service, peers: &[VmName]) {
        let clock = self.vms[vm].clock(self.now);
        let Some(suspects) = self.suspects(vm, service) else {
            return;
        };
        let charges = suspects.next_update(clock);
        if charges.is_empty() {
            return;
        }
        for peer in peers {
            self.send_message(
                vm,
                peer,
                &PeerMessage::Charges(service.clone(), charges.clone()),
            );
        }
    }

    fn next_owners(&self, vm: usize, service: &Service) -> Vec<VmName> {
        let key = coord::hash::hash64(service.as_str().as_bytes());
        let own = &self.vms[vm].name;
        let owners = self.vms[vm].state.as_ref().map(|state| state.view.owners());
        let owners = owners.unwrap_or_default();
        let peers = owners.owners(key, CHARGE_COPIES + 1).into_iter();
        let peers = peers.filter(|peer| *peer != own);
        peers.take(CHARGE_COPIES).cloned().collect()
    }

    fn next_peers(&self, vm: usize) -> Vec<VmName> {
        let own = &self.vms[vm].name;
        let Some(state) = &self.vms[vm].state else {
            return Vec::new();
        };
        let names = || state.view.members.keys();
        let after = names().filter(|name| *name > own);
        let before = names().filter(|name| *name < own);
        after.chain(before).take(CHARGE_COPIES).cloned().collect()
    }

    /// Keeps the charges of a peer and passes on what is new.
    pub fn receive_charges(&mut self, vm: usize, service: &Service, charges: &[CrashRecord]) {
        let clock = self.vms[vm].clock(self.now);
        if let Some(suspects) = self.suspects(vm, service) {
            suspects.merge(clock, charges);
        }
        let peers = self.next_peers(vm);
        self.send_charges(vm, service, &peers);
    }

    /// Returns how a request may run that is about to be submitted or started.
    pub fn verdict(&mut self, vm: usize, service: &Service, fingerprint: u128) -> Verdict {
        let clock = self.vms[vm].clock(self.now);
        let suspects = self.suspects(vm, service);
        suspects.map_or(Verdict::Run, |suspects| suspects.admit(clock, fingerprint))
    }

    /// Notes that a request ended, with its whole answer or otherwise.
    pub fn record_end(&mut self, vm: usize, service: &Service, fingerprint: u128, whole: bool) {
        if let Some(suspects) = self.suspects(vm, service) {
            if whole {
                suspects.completed(fingerprint);
            } else {
                suspects.aborted(fingerprint);
            }
        }
    }

    /// Returns the order to send instead of `order` if its request is refused as poison.
    pub fn screen_order(
        &mut self,
        vm: usize,
        service: &Service,
        id: JobId,
        order: Action,
    ) -> Action {
        let Action::StartPrefill { .. } = order else {
            return order;
        };
        let cell = self.owned_cell(vm, service);
        let Some(fingerprint) = cell.and_then(|cell| cell.fingerprint(id)) else {
            return order;
        };
        let Verdict::Refuse { retry_after } = self.verdict(vm, service, fingerprint) else {
            return order;
        };
        self.with_cell(vm, service, |cell, now| cell.scheduler.cancel(now, id));
        Action::Refuse {
            id,
            reason: Reason::Poison,
            retry_after: Some(retry_after),
        }
    }
}
