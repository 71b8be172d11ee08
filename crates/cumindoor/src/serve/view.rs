//! The live VMs of the cluster as one VM sees them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use coord::name::{DataCentre, Incarnation, VmName};
use coord::owner::Owners;

/// A live VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The data centre of the VM.
    pub data_centre: DataCentre,
    /// Distinguishes this process from an earlier one of the same VM name.
    pub incarnation: Incarnation,
    /// The address that other VMs connect to.
    pub address: SocketAddr,
    /// True if the VM is about to stop; it is then given no more cells.
    pub leaving: bool,
}

/// The live VMs, including this one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// False after this process was suspended, until peers have responded again.
    pub trusted: bool,
    /// True if the view has the majority of the listed VMs. Without a majority, VMs missing from the
    /// view may still be serving on the other side of a partition, so their work is not cancelled.
    pub majority: bool,
    /// The live VMs by name.
    pub vms: BTreeMap<VmName, Member>,
}

impl View {
    /// Returns the VMs that can own cells; `leaving` lists VMs that have announced their stop.
    ///
    /// VMs that are leaving are included only if all of them are, because running requests still
    /// need an owner.
    #[must_use]
    pub fn owners(&self, leaving: &BTreeSet<VmName>) -> Owners {
        let staying =
            |(name, member): &(&VmName, &Member)| !member.leaving && !leaving.contains(*name);
        let owners: Owners = self.vms.iter().filter(staying).map(pair).collect();
        if owners.is_empty() {
            return self.vms.iter().map(pair).collect();
        }
        owners
    }

    /// Returns the addresses of all live VMs.
    #[must_use]
    pub fn addresses(&self) -> BTreeMap<VmName, SocketAddr> {
        let pairs = self.vms.iter();
        pairs.map(|(name, vm)| (name.clone(), vm.address)).collect()
    }
}

fn pair((name, member): (&VmName, &Member)) -> (VmName, DataCentre) {
    (name.clone(), member.data_centre.clone())
}
