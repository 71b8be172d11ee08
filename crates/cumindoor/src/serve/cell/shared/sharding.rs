//! Assignment of engines and requests to cells.

use std::collections::BTreeMap;

use coord::hash::{hash64, rendezvous_score};
use coord::name::Service;
use coord::sched::{Engine, JobId};
use serde::{Deserialize, Serialize};

use crate::serve::spec::UpstreamSpec;

/// The most engines in one cell. It limits the message load of an owner (section 6.4 of the
/// design).
pub const MAX_CELL_ENGINES: usize = 64;

/// Identifies a cell on all VMs.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CellKey {
    /// The group of upstreams whose engines are divided into cells.
    pub group: Service,
    /// The number of the cell within the group.
    pub shard: u16,
}

impl CellKey {
    /// Returns the key under which rendezvous hashing chooses the cell's owner.
    #[must_use]
    pub fn hash(&self) -> u64 {
        hash64(format!("{}/{}", self.group, self.shard).as_bytes())
    }
}

/// The engines of each cell. The flag is true for an engine that is being drained.
pub type Cells = BTreeMap<CellKey, Vec<(Engine, bool)>>;

/// Divides the engines of the published list into cells.
///
/// All VMs with the same list compute the same cells. The engines of each role are spread evenly,
/// so that every cell can both prefill and decode. With rendezvous hashing, few engines change
/// their cell when an engine is added or removed.
#[must_use]
pub fn shard_engines(upstreams: &[UpstreamSpec]) -> Cells {
    let mut groups: BTreeMap<&Service, Vec<(Engine, bool)>> = BTreeMap::new();
    for upstream in upstreams {
        if let Some(engine) = upstream.engine() {
            let group = groups.entry(&upstream.service).or_default();
            group.push((engine, upstream.leaving));
        }
    }
    let mut cells = Cells::new();
    for (group, engines) in groups {
        shard_group(group, engines, &mut cells);
    }
    cells
}

fn shard_group(group: &Service, mut engines: Vec<(Engine, bool)>, cells: &mut Cells) {
    // Each of the three roles is rounded up, which adds at most two engines to a cell.
    let shards = engines.len().div_ceil(MAX_CELL_ENGINES - 2);
    engines.sort_by(|(a, _), (b, _)| a.name.cmp(&b.name));
    let mut capacity = BTreeMap::new();
    for (engine, _) in &engines {
        *capacity.entry(engine.role).or_insert(0usize) += 1;
    }
    for count in capacity.values_mut() {
        *count = count.div_ceil(shards);
    }
    let mut used = BTreeMap::new();
    for (engine, leaving) in engines {
        let key = hash64(engine.name.as_str().as_bytes());
        let has_room = |shard: &usize| {
            used.get(&(engine.role, *shard)).copied().unwrap_or(0) < capacity[&engine.role]
        };
        let score = |shard: &usize| rendezvous_score(key, &shard.to_string());
        let Some(shard) = (0..shards).filter(has_room).max_by_key(score) else {
            continue;
        };
        *used.entry((engine.role, shard)).or_insert(0) += 1;
        let cell = CellKey {
            group: group.clone(),
            shard: u16::try_from(shard).unwrap_or(u16::MAX),
        };
        cells.entry(cell).or_default().push((engine, leaving));
    }
}

/// Returns the cell that serves a request, or `None` if the group has no engine.
///
/// Requests are spread by their id, not by their prefix: a prefix that many requests share would
/// load a single cell. Within a cell, the scheduler keeps a prefix on few engines.
#[must_use]
pub fn cell_of(cells: &Cells, group: &Service, id: JobId) -> Option<CellKey> {
    let first = CellKey {
        group: group.clone(),
        shard: 0,
    };
    let keys = cells.range(first..).map(|(key, _)| key);
    let keys = keys.take_while(|key| key.group == *group);
    let score =
        |key: &&CellKey| rendezvous_score(hash64(&id.0.to_le_bytes()), &key.shard.to_string());
    keys.max_by_key(score).cloned()
}
