//! What a VM knows about the other VMs.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use coord::name::{DataCentre, Incarnation, VmName};
use coord::owner::Owners;

/// A live VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Tells it from its predecessor under the same name.
    pub incarnation: Incarnation,
    /// Where other VMs connect.
    pub address: SocketAddr,
    /// True once it is about to stop: it gets no new ownership.
    pub leaving: bool,
}

/// The live VMs, the own one included.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// False after a pause of this process, until peers have answered again.
    pub trusted: bool,
    /// True if the view has the majority of the listed VMs. Without it, VMs that are not in the
    /// view may serve on, on the other side of a partition, and their work is not cancelled.
    pub majority: bool,
    /// The VMs by name.
    pub vms: BTreeMap<VmName, Member>,
}

impl View {
    /// Returns the VMs that can own cells; `leaving` names VMs that have announced their stop.
    ///
    /// When all VMs are leaving, all of them can, because running requests still need an owner.
    #[must_use]
    pub fn owners(&self, leaving: &BTreeSet<VmName>) -> Owners {
        let staying =
            |(name, member): &(&VmName, &Member)| !member.leaving && !leaving.contains(*name);
        let some: Owners = self.vms.iter().filter(staying).map(pair).collect();
        if some.is_empty() {
            return self.vms.iter().map(pair).collect();
        }
        some
    }

    /// Returns the addresses of all VMs.
    #[must_use]
    pub fn addresses(&self) -> BTreeMap<VmName, SocketAddr> {
        let pairs = self.vms.iter();
        pairs.map(|(name, vm)| (name.clone(), vm.address)).collect()
    }
}

fn pair((name, member): (&VmName, &Member)) -> (VmName, DataCentre) {
    (name.clone(), member.data_centre.clone())
}
