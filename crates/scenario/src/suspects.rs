//! Poison requests at the owner of a cell.
//!
//! When an engine crashes, one crash is counted for each request that ran on it, which is called a
//! charge. Requests with charges are isolated or refused, and the charges are copied to other VMs.

use std::time::Duration;

use coord::name::{Service, Upstream, VmName};
use coord::poison::{CrashRecord, Suspects, UpstreamStart, Verdict};
use coord::sched::{Action, JobId, Reason};

use crate::simulation::Simulation;
use crate::vm::PeerMessage;

/// The number of VMs of each kind that new charges are sent to.
///
/// The owner sends them to the next VMs in order of ownership, which would take over the cell, and
/// to the next ones in order of names. Each receiver passes new charges on to the next VMs in order
/// of names, so that all VMs receive them.
const CRASH_RECORD_COPIES: usize = 2;

impl Simulation {
    /// Returns the charges of a cell, which are created on first use.
    fn suspects(&mut self, vm: usize, service: &Service) -> Option<&mut Suspects> {
        let name = self.vms[vm].name.clone();
        let state = self.vms[vm].state.as_mut()?;
        let new = || Suspects::new(name, coord::poison::PoisonOptions::default());
        Some(state.suspects.entry(service.clone()).or_insert_with(new))
    }

    /// Handles the report of an entry VM that the connection to an upstream broke: counts a crash
    /// for the requests that ran there, once per attempt.
    pub fn record_crash(&mut self, vm: usize, service: &Service, on: &Upstream) {
        let clock = self.vms[vm].clock(self.now);
        let Some(cell) = self.owned_cell(vm, service) else {
            return;
        };
        let running = cell.uncounted_jobs(on);
        // An upstream keeps its name when it starts again, and no job is counted twice for a crash.
        let crashed = UpstreamStart::new(on.clone(), clock.as_micros());
        let Some(suspects) = self.suspects(vm, service) else {
            return;
        };
        let fingerprints = suspects.upstream_crashed(clock, &crashed, Duration::ZERO, &running);
        for fingerprint in fingerprints {
            self.isolate(vm, service, fingerprint);
        }
        let mut peers = self.next_owners(vm, service);
        peers.extend(self.next_peers(vm));
        self.send_charges(vm, service, &peers);
    }

    /// Applies the new verdict on a charged request to its waiting jobs.
    fn isolate(&mut self, vm: usize, service: &Service, fingerprint: u128) {
        let clock = self.vms[vm].clock(self.now);
        let Some(suspects) = self.suspects(vm, service) else {
            return;
        };
        let verdict = suspects.admit(clock, fingerprint);
        // `admit` may have marked the request as the one that runs in isolation. It does not run
        // yet, because the scheduler decides when to start it.
        suspects.aborted(fingerprint);
        self.add_trace(&format!("{fingerprint:x} is charged: {verdict}"));
        self.with_cell(vm, service, |cell, now| match verdict {
            Verdict::Refuse { retry_after } => cell.scheduler.refuse(now, fingerprint, retry_after),
            Verdict::Run => Vec::new(),
            Verdict::Isolate | Verdict::Wait => cell.scheduler.isolate(now, fingerprint),
        });
    }

    /// Sends the charges that have not been sent yet.
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

    /// Returns the VMs that would own the cell next.
    fn next_owners(&self, vm: usize, service: &Service) -> Vec<VmName> {
        let key = coord::hash::hash64(service.as_str().as_bytes());
        let own = &self.vms[vm].name;
        let owners = self.vms[vm].state.as_ref().map(|state| state.view.owners());
        let owners = owners.unwrap_or_default();
        let peers = owners.owners(key, CRASH_RECORD_COPIES + 1).into_iter();
        let peers = peers.filter(|peer| *peer != own);
        peers.take(CRASH_RECORD_COPIES).cloned().collect()
    }

    /// Returns the VMs that follow this one in order of names.
    fn next_peers(&self, vm: usize) -> Vec<VmName> {
        let own = &self.vms[vm].name;
        let Some(state) = &self.vms[vm].state else {
            return Vec::new();
        };
        let names = || state.view.members.keys();
        let after = names().filter(|name| *name > own);
        let before = names().filter(|name| *name < own);
        after
            .chain(before)
            .take(CRASH_RECORD_COPIES)
            .cloned()
            .collect()
    }

    /// Merges the charges of a peer and passes on the new ones.
    pub fn receive_charges(&mut self, vm: usize, service: &Service, charges: &[CrashRecord]) {
        let clock = self.vms[vm].clock(self.now);
        if let Some(suspects) = self.suspects(vm, service) {
            let changed = suspects.merge(clock, charges);
            suspects.announce(&changed);
        }
        let peers = self.next_peers(vm);
        self.send_charges(vm, service, &peers);
    }

    /// Returns whether and how a request may run that is about to be submitted or started.
    pub fn verdict(&mut self, vm: usize, service: &Service, fingerprint: u128) -> Verdict {
        let clock = self.vms[vm].clock(self.now);
        let suspects = self.suspects(vm, service);
        suspects.map_or(Verdict::Run, |suspects| suspects.admit(clock, fingerprint))
    }

    /// Records that a request ended; `complete` if its response was sent completely.
    pub fn record_end(&mut self, vm: usize, service: &Service, fingerprint: u128, complete: bool) {
        let clock = self.vms[vm].clock(self.now);
        if let Some(suspects) = self.suspects(vm, service) {
            if complete {
                suspects.completed(clock, fingerprint);
            } else {
                suspects.aborted(fingerprint);
            }
        }
    }

    /// Returns `order`, or a refusal if it starts a request that is refused as poison.
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
