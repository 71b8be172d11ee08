//! The state of the cells, as the status page shows it.

use std::collections::BTreeMap;

use coord::sched::SchedStatus;
use coord::time::Time;
use serde::Serialize;

use super::core::CellState;

/// The cells as one VM sees them.
#[derive(Clone, Debug, Serialize)]
pub struct CellsStatus {
    /// All cells with their owners.
    pub owners: Vec<CellOwner>,
    /// The cells that this VM schedules.
    pub scheduled: Vec<CellStatus>,
    /// Milliseconds since each entry VM last renewed its lease.
    pub leases: BTreeMap<String, u64>,
    /// The number of this VM's requests by the owner with which they are registered.
    pub registered: BTreeMap<String, usize>,
    /// The number of messages queued for each VM.
    pub messages: BTreeMap<String, usize>,
}

/// The owner of one cell.
#[derive(Clone, Debug, Serialize)]
pub struct CellOwner {
    /// Group and number of the cell.
    pub cell: String,
    /// The number of engines in the cell.
    pub engines: usize,
    /// The owning VM, or `None` if no owner is known; this VM is not shown as the owner while it
    /// does not trust its view.
    pub owner: Option<String>,
}

/// A cell that this VM schedules.
#[derive(Clone, Debug, Serialize)]
pub struct CellStatus {
    /// Group and number of the cell.
    pub cell: String,
    /// The number of registered requests of each entry VM.
    pub vms: BTreeMap<String, usize>,
    /// The state of the scheduler.
    pub state: SchedStatus,
}

pub(super) fn cells_status(core: &CellState, now: Time) -> CellsStatus {
    let owners = core.cells().iter().map(|(cell, engines)| CellOwner {
        cell: format!("{}/{}", cell.group, cell.shard),
        engines: engines.len(),
        owner: core.owner_of(cell).map(ToString::to_string),
    });
    let scheduled = core.owner.owned().iter().map(|(cell, owned_cell)| {
        let vms = owned_cell.requests_by_vm().into_iter();
        CellStatus {
            cell: format!("{}/{}", cell.group, cell.shard),
            vms: vms.map(|(vm, n)| (vm.to_string(), n)).collect(),
            state: owned_cell.status(now),
        }
    });
    let leases = core.owner.lease_ages(now).into_iter();
    CellsStatus {
        owners: owners.collect(),
        scheduled: scheduled.collect(),
        leases: leases
            .map(|(vm, age)| (vm, u64::try_from(age.as_millis()).unwrap_or(u64::MAX)))
            .collect(),
        registered: core.entry.requests_by_owner(),
        messages: core.mailboxes.queued(),
    }
}
