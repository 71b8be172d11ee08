//! Changes of cell ownership and of the engines of owned cells.

use std::collections::{BTreeMap, BTreeSet};

use coord::name::{Service, Upstream, VmName};
use coord::sched::{Engine, Role};
use rand::RngExt;

use crate::ast::ServiceKind;
use crate::cell::Cell;
use crate::simulation::Simulation;

impl Simulation {
    /// Takes over and releases cells, and updates the engines and dead VMs of owned cells, after
    /// the membership view or the list of upstreams has changed.
    pub fn update_cells(&mut self, vm: usize) {
        let clock = self.vms[vm].clock(self.now);
        let services = self.scenario.services.clone();
        for def in services {
            let ServiceKind::Model {
                slots,
                prefill,
                step,
                ..
            } = def.kind
            else {
                continue;
            };
            let service = Service::from(def.name.as_str());
            let owns = self.vms[vm].owner(&service) == Some(self.vms[vm].name.clone());
            let seed = self.rng.random();
            let Some(state) = &mut self.vms[vm].state else {
                return;
            };
            if !owns || !state.members.trusted(clock) {
                state.cells.remove(&service);
                continue;
            }
            let new_cell = || Cell::new(clock, step, seed);
            let cell = state.cells.entry(service.clone()).or_insert_with(new_cell);
            let engine = |name: &Upstream, number: u32| Engine {
                name: name.clone(),
                // All engines are placed in one data centre.
                data_centre: "links".into(),
                role: if number <= prefill {
                    Role::Prefill
                } else {
                    Role::Decode
                },
                slots,
            };
            let engines = state.upstreams.iter().filter_map(|(name, leaving)| {
                let number = name.as_str().strip_prefix(&format!("{service}-"))?;
                Some((name.clone(), (engine(name, number.parse().ok()?), *leaving)))
            });
            let engines: BTreeMap<_, _> = engines.collect();
            let majority = state.view.has_majority(&state.listed);
            let dead = state
                .known
                .iter()
                .filter(|vm| majority && !state.view.members.contains_key(*vm));
            let dead: BTreeSet<VmName> = dead.cloned().collect();
            let newly_dead = dead.iter().filter(|vm| !cell.is_dead(vm));
            let newly_dead: Vec<VmName> = newly_dead.cloned().collect();
            let leases = &mut cell.leases;
            let freed = newly_dead.iter().flat_map(|vm| leases.vm_down(clock, vm));
            let freed: Vec<_> = freed.collect();
            let mut actions = cell.set_engines(clock, &engines);
            actions.extend(cell.set_dead(clock, &dead));
            for action in actions {
                self.send_order(vm, &service, action);
            }
            self.free_slots(vm, freed);
        }
    }
}
