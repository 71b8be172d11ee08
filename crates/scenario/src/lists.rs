//! What a VM reads: the published list, and the list of upstreams between VMs.

use std::sync::Arc;
use std::time::Duration;

use coord::member;
use rand::RngExt;

use crate::platform::UPSTREAMS;
use crate::world::World;

/// The time between two readings of the list and of the engines' load.
const POLL: Duration = Duration::from_millis(500);

impl World {
    pub fn poll(&mut self, vm: usize, life: u32) {
        if self.vms[vm].life != life {
            return;
        }
        if !self.vms[vm].paused {
            self.read_list(vm);
            self.ask_load(vm);
        }
        let pace = POLL.mul_f64(self.rng.random_range(0.9..1.1));
        self.after(pace, move |world| world.poll(vm, life));
    }

    fn read_list(&mut self, vm: usize) {
        let platform_cut = self.net.cut(self.vms[vm].name.as_str(), "platform");
        let lag = self.vms[vm].list_lag;
        let Some(list) = self.platform.list(self.now, lag).filter(|_| !platform_cut) else {
            return;
        };
        let vms = &self.vms;
        let listed = list.vms.iter().filter_map(|(name, leaving)| {
            let vm = vms.iter().find(|vm| vm.name == *name)?;
            let me = vm.me(0);
            let (name, zone, addr) = (me.name, me.zone, me.addr);
            Some(member::ListedVm {
                name,
                zone,
                addr,
                leaving: *leaving,
            })
        });
        let listed: Vec<_> = listed.collect();
        self.claim_list(vm, &list);
        self.drive(vm, move |state, now| {
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

    pub fn read_table(&mut self, vm: usize) {
        let Some(state) = &mut self.vms[vm].state else {
            return;
        };
        let entries = state.config.store().iter();
        let upstreams = entries.filter_map(|(name, _, text)| {
            let name = name.strip_prefix(UPSTREAMS)?;
            Some((name.into(), **text == *"leaving"))
        });
        state.table = upstreams.collect();
    }

    /// Checks that no document in force goes back within the life of a process.
    pub fn check_force(&mut self, vm: usize) {
        let vm = &mut self.vms[vm];
        let Some(state) = &vm.state else {
            return;
        };
        for (name, revision, _) in state.config.store().iter() {
            let before = vm.watch.entry(Arc::clone(name)).or_insert(0);
            if revision < *before {
                let place = format!("H8: {} went from revision {before} of {name}", vm.name);
                self.broken.push(format!("{place} back to {revision}"));
            }
            *before = revision;
        }
    }
}
