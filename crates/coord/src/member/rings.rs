//! Selection of the two fixed neighbours that a VM probes in every period.

use std::collections::BTreeMap;

use crate::hash::hash64;
use crate::name::{DataCentre, VmName};

/// Returns the successor of `own` in the ring of its data centre and in the ring of the fleet.
///
/// In each ring every VM has exactly one predecessor that probes it, so the number of probes per VM
/// does not depend on the size of the fleet. Neighbours in the ring of the fleet are in different
/// data centres where possible, so that VMs elsewhere detect the loss of a whole data centre.
pub(super) fn neighbours(own: &VmName, members: &BTreeMap<&VmName, &DataCentre>) -> Vec<VmName> {
    let Some(zone) = members.get(own) else {
        return Vec::new();
    };
    let mut order: Vec<_> = members.iter().map(|(vm, zone)| (*zone, *vm)).collect();
    order.sort_by_cached_key(|(zone, vm)| (*zone, hash64(vm.as_str().as_bytes()), *vm));
    let local: Vec<_> = order
        .iter()
        .filter(|(z, _)| z == zone)
        .map(|(_, vm)| *vm)
        .collect();
    let mut ranks: BTreeMap<&DataCentre, usize> = BTreeMap::new();
    let mut fleet: Vec<_> = order
        .iter()
        .map(|(zone, vm)| {
            let rank = ranks.entry(zone).or_default();
            *rank += 1;
            (*rank, *zone, *vm)
        })
        .collect();
    fleet.sort();
    let fleet: Vec<_> = fleet.into_iter().map(|(_, _, vm)| vm).collect();
    let mut neighbours: Vec<VmName> = successor(own, &local, 1).into_iter().cloned().collect();
    let next = successor(own, &fleet, 1).filter(|vm| !neighbours.contains(vm));
    neighbours.extend(next.or_else(|| successor(own, &fleet, 2)).cloned());
    neighbours.dedup();
    neighbours
}

/// Returns the VM `steps` places after `own` in the ring, or `None` if that is `own` itself.
fn successor<'a>(own: &VmName, ring: &[&'a VmName], steps: usize) -> Option<&'a VmName> {
    let index = ring.iter().position(|vm| *vm == own)?;
    let next = ring[(index + steps) % ring.len()];
    (next != own).then_some(next)
}
