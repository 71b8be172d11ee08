//! The periodic reads of a VM: the published list of VMs and upstreams, and the load of engines.

use std::sync::Arc;
use std::time::Duration;

use coord::member;
use rand::RngExt;

use crate::platform::UPSTREAMS;
use crate::simulation::Simulation;

/// The mean time between two reads of the published list and of the load of engines.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

impl Simulation {
    /// Reads the list and the load of engines, and schedules the next read.
    pub fn poll_lists(&mut self, vm: usize, generation: u32) {
        if self.vms[vm].generation != generation {
            return;
        }
        if !self.vms[vm].paused {
            self.read_list(vm);
            self.poll_load(vm);
        }
        let interval = POLL_INTERVAL.mul_f64(self.rng.random_range(0.9..1.1));
        self.schedule(interval, move |sim| sim.poll_lists(vm, generation));
    }

    fn read_list(&mut self, vm: usize) {
        let unreachable = self
            .net
            .is_partitioned(self.vms[vm].name.as_str(), "platform");
        let lag = self.vms[vm].list_lag;
        let Some(list) = self.platform.list(self.now, lag).filter(|_| !unreachable) else {
            return;
        };
        let vms = &self.vms;
        let listed = list.vms.iter().filter_map(|(name, leaving)| {
            let vm = vms.iter().find(|vm| vm.name == *name)?;
            let local_vm = vm.local_vm(0);
            let (name, zone, addr) = (local_vm.name, local_vm.zone, local_vm.addr);
            Some(member::ListedVm {
                name,
                zone,
                addr,
                leaving: *leaving,
            })
        });
        let listed: Vec<_> = listed.collect();
        self.update_claim_list(vm, &list);
        self.run_state_machines(vm, move |state, now| {
            state.listed = list.vms.keys().cloned().collect();
            state.known.extend(list.vms.keys().cloned());
            let member = state.members.apply_list(now, list.revision, &listed);
            let config = &mut state.config;
            (
                member,
                config.apply_snapshot(now, UPSTREAMS, list.revision, &list.upstreams),
            )
        });
    }

    /// Updates the known upstreams of a VM from the documents that are in force.
    pub fn refresh_upstreams(&mut self, vm: usize) {
        let Some(state) = &mut self.vms[vm].state else {
            return;
        };
        let entries = state.config.store().iter();
        let upstreams = entries.filter_map(|(name, _, text)| {
            let name = name.strip_prefix(UPSTREAMS)?;
            Some((name.into(), **text == *"leaving"))
        });
        state.upstreams = upstreams.collect();
    }

    /// Records a violation if a document in force has a lower revision than earlier in the same
    /// process.
    pub fn check_revisions(&mut self, vm: usize) {
        let vm = &mut self.vms[vm];
        let Some(state) = &vm.state else {
            return;
        };
        for (name, revision, _) in state.config.store().iter() {
            let highest = vm.seen_revisions.entry(Arc::clone(name)).or_insert(0);
            if revision < *highest {
                let place = format!("H8: {} went from revision {highest} of {name}", vm.name);
                self.violations.push(format!("{place} back to {revision}"));
            }
            *highest = revision;
        }
    }
}
