//! Leases of engine slots, at the entry VMs that hold them and the cell owners that grant them.

use coord::lease::{Cancel, HolderAction, Renewal, RenewalReply};
use coord::member;
use coord::name::{Incarnation, Service, Upstream, VmName};
use coord::sched::{Action, Attempt, JobId};

use crate::simulation::Simulation;
use crate::vm::PeerMessage;

impl Simulation {
    /// Records a call before it is sent to an engine.
    pub fn add_call(&mut self, vm: usize, id: JobId, on: &Upstream, attempt: Attempt) {
        let Some(state) = &mut self.vms[vm].state else {
            return;
        };
        if let Some(run) = state.runs.get_mut(&id) {
            run.open_calls.insert((on.clone(), attempt));
            state.lease_holder.job_started(&run.service, id, on.clone());
        }
    }

    /// Removes a call that holds nothing on its engine any more, or that is being cancelled there.
    pub fn drop_call(&mut self, vm: usize, id: JobId, on: &Upstream, attempt: Attempt) {
        let Some(state) = &mut self.vms[vm].state else {
            return;
        };
        if let Some(run) = state.runs.get_mut(&id) {
            run.open_calls.remove(&(on.clone(), attempt));
            if run.open_calls.iter().all(|(upstream, _)| upstream != on) {
                state.lease_holder.job_ended(&run.service, id, on);
            }
        }
    }

    /// Renews the leases of an entry VM that are due.
    pub fn tick_leases(&mut self, vm: usize) {
        let clock = self.vms[vm].clock(self.now);
        for service in self.model_services() {
            let owner = self.vms[vm].owner(&service);
            if let Some(state) = &mut self.vms[vm].state {
                state.lease_holder.set_owner(&service, owner);
            }
        }
        let Some(state) = &mut self.vms[vm].state else {
            return;
        };
        let actions = state.lease_holder.tick(clock);
        self.apply_lease_actions(vm, actions);
    }

    fn apply_lease_actions(&mut self, vm: usize, actions: Vec<HolderAction>) {
        for action in actions {
            match action {
                HolderAction::Renew { to, cell, renewal } => {
                    self.send_message(vm, &to, &PeerMessage::Renewal(cell, renewal));
                }
                HolderAction::Ended { slot } => {
                    let run = self.run_mut(vm, slot.job);
                    if run.is_some_and(|run| run.open_calls.iter().any(|c| c.0 == slot.upstream)) {
                        self.add_trace(&format!(
                            "the lease of {} on {} ended",
                            slot.job, slot.upstream
                        ));
                        self.restart_as_new_job(vm, slot.job);
                    }
                }
            }
        }
    }

    /// Handles a renewal at the owner of a cell.
    pub fn on_renewal(&mut self, vm: usize, from: &VmName, service: Service, renewal: Renewal) {
        let clock = self.vms[vm].clock(self.now);
        let Some(cell) = self.owned_cell(vm, &service) else {
            return;
        };
        let (answer, cancels) = cell.leases.renew(clock, from, renewal);
        if let Some(answer) = answer {
            self.send_message(vm, from, &PeerMessage::Renewed(service, answer));
        }
        self.free_slots(vm, cancels);
    }

    /// Handles the owner's reply to a renewal at an entry VM.
    pub fn on_renewed(&mut self, vm: usize, from: &VmName, service: &Service, reply: RenewalReply) {
        if let Some(state) = &mut self.vms[vm].state {
            let actions = state.lease_holder.handle_reply(service, from, reply);
            self.apply_lease_actions(vm, actions);
        }
    }

    /// Cancels the jobs on slots whose leases have ended.
    pub fn free_slots(&mut self, vm: usize, cancels: Vec<Cancel>) {
        for Cancel { job, upstream } in cancels {
            self.cancel_on(vm, &upstream, job, None);
        }
    }

    /// Ends the leases that were not renewed in time and cancels their jobs.
    pub fn expire_leases(&mut self, vm: usize, service: &Service) {
        let clock = self.vms[vm].clock(self.now);
        if !self.has_majority(vm) {
            return;
        }
        let Some(cell) = self.owned_cell(vm, service) else {
            return;
        };
        let expired = cell.leases.tick(clock);
        let jobs: Vec<JobId> = expired.iter().map(|cancel| cancel.job).collect();
        self.free_slots(vm, expired);
        for job in jobs {
            self.with_cell(vm, service, |cell, now| cell.cancel(now, job));
        }
    }

    /// Returns whether the VM sees a majority of the listed VMs. Only then may it cancel the work
    /// of VMs that it considers dead.
    fn has_majority(&self, vm: usize) -> bool {
        let state = self.vms[vm].state.as_ref();
        state.is_some_and(|state| state.view.has_majority(&state.listed))
    }

    /// Compares the jobs that an engine holds with the leases of this VM and, at the owner, with
    /// those of the cell, and cancels jobs without a lease.
    pub fn check_held(&mut self, vm: usize, on: &Upstream, service: &Service, held: &[JobId]) {
        let clock = self.vms[vm].clock(self.now);
        let total = self.engines.get(on).map_or(0, |engine| engine.slots);
        let Some(state) = &mut self.vms[vm].state else {
            return;
        };
        let mut cancels = state.lease_holder.check_held(on, held);
        let live: Vec<VmName> = state.view.members.keys().cloned().collect();
        if !state.view.has_majority(&state.listed) {
            self.free_slots(vm, cancels);
            return;
        }
        if let Some(cell) = self.owned_cell(vm, service) {
            let total = u32::try_from(total).unwrap_or(u32::MAX);
            cancels.extend(cell.leases.report(clock, on, (held, total), &live));
        }
        self.free_slots(vm, cancels);
    }

    /// Grants the lease of the slot that an order uses, before the order is sent.
    pub fn grant_lease(&mut self, vm: usize, service: &Service, id: JobId, order: &Action) {
        let on = match order {
            Action::StartPrefill { prefill, .. } => prefill.clone(),
            Action::StartDecode { decode, .. } => decode.clone(),
            _ => return,
        };
        let clock = self.vms[vm].clock(self.now);
        let cell = self.owned_cell(vm, service);
        let Some(entry) = cell.and_then(|cell| cell.entry_vm(id).cloned()) else {
            return;
        };
        let Some(start) = self.incarnation_of(vm, &entry) else {
            return;
        };
        if let Some(cell) = self.owned_cell(vm, service) {
            cell.leases.grant(clock, &entry, start, id, on);
        }
    }

    /// Returns the incarnation by which leases identify the current process of a VM.
    fn incarnation_of(&self, vm: usize, other: &VmName) -> Option<Incarnation> {
        let state = self.vms[vm].state.as_ref()?;
        let member = state.view.members.get(other)?;
        Some(member::incarnation(member::boot(member.incarnation)))
    }
}
