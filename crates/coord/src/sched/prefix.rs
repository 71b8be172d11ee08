//! What each engine's prefix cache is believed to hold.
//!
//! The belief comes from the scheduler's own routing, kept in a mirror of each engine's
//! least-recently-used order, and is corrected by cache events and by the cached tokens that
//! each prefill reports. The last source repairs the belief when events are late or lost.

use std::collections::{BTreeMap, HashMap};
use std::hash::{BuildHasherDefault, Hasher};
use std::time::Duration;

use crate::hash::hash64;
use crate::time::Time;

/// Engines that the index can tell apart: one bit of a mask each.
pub(super) const MAX_ENGINES: usize = 64;

/// Blocks kept per engine when the size of its cache is unknown.
const DEFAULT_BLOCKS: usize = 4_096;

/// An eviction event for a block that was used later than this ago is ignored as late.
const EVENT_LAG: Duration = Duration::from_secs(2);

/// Blocks are named by hashes already, so the tables use them as they are.
#[derive(Debug, Default)]
struct Plain(u64);

impl Hasher for Plain {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        self.0 = hash64(bytes);
    }

    fn write_u64(&mut self, value: u64) {
        self.0 = value;
    }
}

type Table<V> = HashMap<u64, V, BuildHasherDefault<Plain>>;

#[derive(Debug, Default)]
struct Mirror {
    blocks: Table<(u64, Time)>,
    order: BTreeMap<u64, u64>,
    seq: u64,
}

/// The believed contents of all engines' caches.
#[derive(Debug, Default)]
pub(super) struct PrefixIndex {
    holders: Table<u64>,
    mirrors: Vec<Mirror>,
    limit: usize,
}

/// Blocks of one prompt that each engine is believed to hold.
pub(super) type Matches = [u16; MAX_ENGINES];

impl PrefixIndex {
    /// Creates an empty index for caches of `limit` blocks; 0 means unknown.
    pub(super) fn new(limit: usize) -> Self {
        Self {
            limit: if limit == 0 { DEFAULT_BLOCKS } else { limit },
            ..Self::default()
        }
    }

    /// Returns how many leading blocks of `prefix` each engine holds.
    pub(super) fn matches(&self, prefix: &[u64]) -> Matches {
        let mut found = [0; MAX_ENGINES];
        let mut alive = u64::MAX;
        for (depth, block) in prefix.iter().enumerate() {
            let holders = self.holders.get(block).copied().unwrap_or(0) & alive;
            set(&mut found, alive & !holders, depth);
            alive = holders;
            if alive == 0 {
                return found;
            }
        }
        set(&mut found, alive, prefix.len());
        found
    }

    /// Records that `engine` computed or used the whole `prefix`.
    pub(super) fn used(&mut self, now: Time, engine: usize, prefix: &[u64]) {
        if engine >= MAX_ENGINES {
            return;
        }
        for block in prefix.iter().rev() {
            self.touch(now, engine, *block);
        }
        let limit = self.limit;
        while let Some(mirror) = self.mirrors.get_mut(engine) {
            if mirror.order.len() <= limit {
                return;
            }
            if let Some((_, block)) = mirror.order.pop_first() {
                self.forget(engine, block);
            }
        }
    }

    /// Corrects the belief after a prefill reported that only `cached` blocks were present.
    pub(super) fn corrected(&mut self, engine: usize, prefix: &[u64], cached: usize) {
        for block in prefix.iter().skip(cached) {
            self.forget(engine, *block);
        }
    }

    /// Applies an eviction event unless the block was used since it can have been sent.
    pub(super) fn evicted(&mut self, now: Time, engine: usize, block: u64) {
        let used = self.mirrors.get(engine).and_then(|m| m.blocks.get(&block));
        if used.is_some_and(|(_, at)| now.since(*at) >= EVENT_LAG) {
            self.forget(engine, block);
        }
    }

    /// Forgets everything about an engine that went down.
    pub(super) fn clear(&mut self, engine: usize) {
        let Some(mirror) = self.mirrors.get_mut(engine) else {
            return;
        };
        let blocks: Vec<u64> = mirror.order.values().copied().collect();
        for block in blocks {
            self.forget(engine, block);
        }
    }

    /// Returns true if the next new block evicts another one of this engine.
    pub(super) fn full(&self, engine: usize) -> bool {
        let mirror = self.mirrors.get(engine);
        mirror.is_some_and(|m| m.order.len() * 10 >= self.limit * 9)
    }

    fn touch(&mut self, now: Time, engine: usize, block: u64) {
        if self.mirrors.len() <= engine {
            self.mirrors.resize_with(engine + 1, Mirror::default);
        }
        let mirror = &mut self.mirrors[engine];
        mirror.seq += 1;
        if let Some((seq, _)) = mirror.blocks.insert(block, (mirror.seq, now)) {
            mirror.order.remove(&seq);
        }
        mirror.order.insert(mirror.seq, block);
        *self.holders.entry(block).or_default() |= 1 << engine;
    }

    fn forget(&mut self, engine: usize, block: u64) {
        let Some(mirror) = self.mirrors.get_mut(engine) else {
            return;
        };
        if let Some((seq, _)) = mirror.blocks.remove(&block) {
            mirror.order.remove(&seq);
        }
        if let Some(mask) = self.holders.get_mut(&block) {
            *mask &= !(1 << engine);
            if *mask == 0 {
                self.holders.remove(&block);
            }
        }
    }
}

/// Writes `depth` for every engine in `mask`.
fn set(found: &mut Matches, mut mask: u64, depth: usize) {
    let depth = u16::try_from(depth).unwrap_or(u16::MAX);
    while mask != 0 {
        found[mask.trailing_zeros() as usize] = depth;
        mask &= mask - 1;
    }
}
