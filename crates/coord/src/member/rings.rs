//! The two fixed neighbours that a VM probes in every period.

use std::collections::BTreeMap;

use crate::hash::hash64;
use crate::name::{DataCentre, VmName};

/// Returns the successor of `own` in the ring of its data centre and in the ring of the fleet.
///
/// Both are permutations, so every VM has one prober of each ring and each VM sends the same
/// number of probes whatever the fleet's size. The fleet's ring goes from one data centre to the
/// next, so that the loss of a whole data centre is noticed by the others.
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
    let mut taken: BTreeMap<&DataCentre, usize> = BTreeMap::new();
    let mut mixed: Vec<_> = order
        .iter()
        .map(|(zone, vm)| {
            let rank = taken.entry(zone).or_default();
            *rank += 1;
            (*rank, *zone, *vm)
        })
        .collect();
    mixed.sort();
    let mixed: Vec<_> = mixed.into_iter().map(|(_, _, vm)| vm).collect();
    let mut found: Vec<VmName> = after(own, &local, 1).into_iter().cloned().collect();
    let next = after(own, &mixed, 1).filter(|vm| !found.contains(vm));
    found.extend(next.or_else(|| after(own, &mixed, 2)).cloned());
    found.dedup();
    found
}

fn after<'a>(own: &VmName, ring: &[&'a VmName], steps: usize) -> Option<&'a VmName> {
    let place = ring.iter().position(|vm| *vm == own)?;
    let next = ring[(place + steps) % ring.len()];
    (next != own).then_some(next)
}
