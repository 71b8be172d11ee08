//! Leases of engine slots, on both sides.

use coord::lease::{Cancel, HolderAction, Renewal, RenewalReply};
use coord::member;
use coord::name::{Incarnation, Service, Upstream, VmName};
use coord::sched::{Action, Attempt, JobId};

use crate::vm::Letter;
use crate::world::World;

impl World {
    /// Notes a call before its first byte goes to an engine.
    pub fn add_call(&mut self, vm: usize, id: JobId, on: &Upstream, attempt: Attempt) {
        let Some(state) = &mut self.vms[vm].state else {
            return;
        };
        if let Some(run) = state.runs.get_mut(&id) {
            run.asked.insert((on.clone(), attempt));
            state.holder.job_started(&run.service, id, on.clone());
        }
    }

    /// Notes that an engine holds nothing of a call any more, or is being told to free it.
    pub fn drop_call(&mut self, vm: usize, id: JobId, on: &Upstream, attempt: Attempt) {
        let Some(state) = &mut self.vms[vm].state else {
            return;
        };
        if let Some(run) = state.runs.get_mut(&id) {
            run.asked.remove(&(on.clone(), attempt));
            if run.asked.iter().all(|(upstream, _)| upstream != on) {
                state.holder.job_ended(&run.service, id, on);
            }
        }
    }

    /// Renews the leases that are due.
    pub fn tick_leases(&mut self, vm: usize) {
        let clock = self.vms[vm].clock(self.now);
        for service in self.model_services() {
            let owner = self.vms[vm].owner(&service);
            if let Some(state) = &mut self.vms[vm].state {
                state.holder.set_owner(&service, owner);
            }
        }
        let Some(state) = &mut self.vms[vm].state else {
            return;
        };
        let actions = state.holder.tick(clock);
        self.held_actions(vm, actions);
    }

    fn held_actions(&mut self, vm: usize, actions: Vec<HolderAction>) {
        for action in actions {
            match action {
                HolderAction::Renew { to, cell, renewal } => {
                    self.post(vm, &to, &Letter::Renew(cell, renewal));
                }
                HolderAction::Ended { slot } => {
                    let run = self.run(vm, slot.job);
                    if run.is_some_and(|run| run.asked.iter().any(|c| c.0 == slot.upstream)) {
                        self.note(&format!(
                            "the lease of {} on {} ended",
                            slot.job, slot.upstream
                        ));
                        self.rename(vm, slot.job);
                    }
                }
            }
        }
    }

    /// Takes a renewal at the owner of a cell.
    pub fn renew(&mut self, vm: usize, from: &VmName, service: Service, renew: Renewal) {
        let clock = self.vms[vm].clock(self.now);
        let Some(cell) = self.owned(vm, &service) else {
            return;
        };
        let (answer, cancels) = cell.leases.renew(clock, from, renew);
        if let Some(answer) = answer {
            self.post(vm, from, &Letter::Renewed(service, answer));
        }
        self.free(vm, cancels);
    }

    /// Takes the owner's answer at an entry VM.
    pub fn renewed(&mut self, vm: usize, from: &VmName, service: &Service, renewed: RenewalReply) {
        if let Some(state) = &mut self.vms[vm].state {
            let actions = state.holder.handle_reply(service, from, renewed);
            self.held_actions(vm, actions);
        }
    }

    /// Frees slots whose leases have ended.
    pub fn free(&mut self, vm: usize, cancels: Vec<Cancel>) {
        for Cancel { job, upstream } in cancels {
            self.cancel_on(vm, &upstream, job, None);
        }
    }

    /// Ends the leases that were not renewed in time, with their jobs.
    pub fn expire_leases(&mut self, vm: usize, service: &Service) {
        let clock = self.vms[vm].clock(self.now);
        if !self.has_majority(vm) {
            return;
        }
        let Some(cell) = self.owned(vm, service) else {
            return;
        };
        let expired = cell.leases.tick(clock);
        let jobs: Vec<JobId> = expired.iter().map(|cancel| cancel.job).collect();
        self.free(vm, expired);
        for job in jobs {
            self.cell(vm, service, |cell, now| cell.cancel(now, job));
        }
    }

    /// Returns true if the VM may cancel the work of VMs that it takes for dead.
    fn has_majority(&self, vm: usize) -> bool {
        let state = self.vms[vm].state.as_ref();
        state.is_some_and(|state| state.view.has_majority(&state.listed))
    }

    /// Takes an engine's list of held jobs into the leases of its cell and of its entry VM.
    pub fn check_held(&mut self, vm: usize, on: &Upstream, service: &Service, held: &[JobId]) {
        let clock = self.vms[vm].clock(self.now);
        let total = self.engines.get(on).map_or(0, |engine| engine.slots);
        let Some(state) = &mut self.vms[vm].state else {
            return;
        };
        let mut cancels = state.holder.check_held(on, held);
        let live: Vec<VmName> = state.view.members.keys().cloned().collect();
        if !state.view.has_majority(&state.listed) {
            self.free(vm, cancels);
            return;
        }
        if let Some(cell) = self.owned(vm, service) {
            let total = u32::try_from(total).unwrap_or(u32::MAX);
            cancels.extend(cell.leases.report(clock, on, (held, total), &live));
        }
        self.free(vm, cancels);
    }

    /// Grants the slots of an order that is about to be sent.
    pub fn grant(&mut self, vm: usize, service: &Service, id: JobId, order: &Action) {
        let on = match order {
            Action::StartPrefill { prefill, .. } => prefill.clone(),
            Action::StartDecode { decode, .. } => decode.clone(),
            _ => return,
        };
        let clock = self.vms[vm].clock(self.now);
        let cell = self.owned(vm, service);
        let Some(entry) = cell.and_then(|cell| cell.entry_vm(id).cloned()) else {
            return;
        };
        let Some(start) = self.start_of(vm, &entry) else {
            return;
        };
        if let Some(cell) = self.owned(vm, service) {
            cell.leases.grant(clock, &entry, start, id, on);
        }
    }

    /// Returns the start of a VM as its leases name it.
    fn start_of(&self, vm: usize, other: &VmName) -> Option<Incarnation> {
        let state = self.vms[vm].state.as_ref()?;
        let member = state.view.members.get(other)?;
        Some(member::incarnation(member::boot(member.incarnation)))
    }
}
