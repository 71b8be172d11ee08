//! The estimated contents of each engine's prefix cache.
//!
//! The estimate follows the prompts that the scheduler sends to each engine, with a model of a
//! least-recently-used cache. It is corrected by cache events and by the number of cached tokens
//! that each prefill reports. The latter also corrects it when events are late or lost.

use std::collections::{BTreeMap, HashMap};
use std::hash::{BuildHasherDefault, Hasher};
use std::time::Duration;

use crate::hash::hash64;
use crate::time::Time;

/// Maximum number of engines in the index, as each has one bit of a 64-bit mask.
pub(super) const MAX_ENGINES: usize = 64;

/// Assumed capacity of a cache in blocks if it is unknown.
const DEFAULT_CACHE_BLOCKS: usize = 4_096;

/// Maximum delay of a cache event. An eviction event for a block that was used more recently is
/// ignored, because it may have been sent before that use.
const MAX_EVENT_LAG: Duration = Duration::from_secs(2);

/// Hasher that returns the key itself, because blocks are already identified by hashes.
#[derive(Debug, Default)]
struct IdentityHasher(u64);

impl Hasher for IdentityHasher {
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

type BlockMap<V> = HashMap<u64, V, BuildHasherDefault<IdentityHasher>>;

/// Model of one engine's least-recently-used cache.
#[derive(Debug, Default)]
struct CacheModel {
    /// Sequence number and time of the last use of each block.
    blocks: BlockMap<(u64, Time)>,
    /// The blocks by the sequence number of their last use.
    order: BTreeMap<u64, u64>,
    seq: u64,
}

/// The estimated contents of all engines' caches.
#[derive(Debug, Default)]
pub(super) struct PrefixIndex {
    /// Bit mask of the engines that hold each block.
    holders: BlockMap<u64>,
    /// The model of each engine's cache, by the index of the engine.
    models: Vec<CacheModel>,
    /// Capacity of each cache in blocks.
    capacity: usize,
}

/// Number of leading blocks of one prompt that each engine holds, by the index of the engine.
pub(super) type Matches = [u16; MAX_ENGINES];

impl PrefixIndex {
    /// Creates an empty index for caches of `capacity` blocks, where 0 means unknown.
    pub(super) fn new(capacity: usize) -> Self {
        Self {
            capacity: if capacity == 0 {
                DEFAULT_CACHE_BLOCKS
            } else {
                capacity
            },
            ..Self::default()
        }
    }

    /// Returns the number of leading blocks of `prefix` that each engine holds.
    pub(super) fn matches(&self, prefix: &[u64]) -> Matches {
        let mut found = [0; MAX_ENGINES];
        let mut remaining = u64::MAX;
        for (depth, block) in prefix.iter().enumerate() {
            let holders = self.holders.get(block).copied().unwrap_or(0) & remaining;
            set_depth(&mut found, remaining & !holders, depth);
            remaining = holders;
            if remaining == 0 {
                return found;
            }
        }
        set_depth(&mut found, remaining, prefix.len());
        found
    }

    /// Records that `engine` computed or used all blocks of `prefix`.
    pub(super) fn record_use(&mut self, now: Time, engine: usize, prefix: &[u64]) {
        if engine >= MAX_ENGINES {
            return;
        }
        for block in prefix.iter().rev() {
            self.touch(now, engine, *block);
        }
        let capacity = self.capacity;
        while let Some(model) = self.models.get_mut(engine) {
            if model.order.len() <= capacity {
                return;
            }
            if let Some((_, block)) = model.order.pop_first() {
                self.remove_block(engine, block);
            }
        }
    }

    /// Removes the blocks of `prefix` after the first `cached` ones, which a prefill did not find
    /// in the cache.
    pub(super) fn truncate(&mut self, engine: usize, prefix: &[u64], cached: usize) {
        for block in prefix.iter().skip(cached) {
            self.remove_block(engine, *block);
        }
    }

    /// Applies an eviction event, unless the event may have been sent before the last use of the
    /// block.
    pub(super) fn handle_eviction(&mut self, now: Time, engine: usize, block: u64) {
        let used = self.models.get(engine).and_then(|m| m.blocks.get(&block));
        if used.is_some_and(|(_, at)| now.since(*at) >= MAX_EVENT_LAG) {
            self.remove_block(engine, block);
        }
    }

    /// Removes all blocks of an engine that is down.
    pub(super) fn clear(&mut self, engine: usize) {
        let Some(model) = self.models.get_mut(engine) else {
            return;
        };
        let blocks: Vec<u64> = model.order.values().copied().collect();
        for block in blocks {
            self.remove_block(engine, block);
        }
    }

    /// Returns true if the cache of an engine is at least 90 % full, so that new blocks are assumed
    /// to evict others.
    pub(super) fn is_full(&self, engine: usize) -> bool {
        let model = self.models.get(engine);
        model.is_some_and(|m| m.order.len() * 10 >= self.capacity * 9)
    }

    fn touch(&mut self, now: Time, engine: usize, block: u64) {
        if self.models.len() <= engine {
            self.models.resize_with(engine + 1, CacheModel::default);
        }
        let model = &mut self.models[engine];
        model.seq += 1;
        if let Some((seq, _)) = model.blocks.insert(block, (model.seq, now)) {
            model.order.remove(&seq);
        }
        model.order.insert(model.seq, block);
        *self.holders.entry(block).or_default() |= 1 << engine;
    }

    fn remove_block(&mut self, engine: usize, block: u64) {
        let Some(model) = self.models.get_mut(engine) else {
            return;
        };
        if let Some((seq, _)) = model.blocks.remove(&block) {
            model.order.remove(&seq);
        }
        if let Some(mask) = self.holders.get_mut(&block) {
            *mask &= !(1 << engine);
            if *mask == 0 {
                self.holders.remove(&block);
            }
        }
    }
}

/// Sets the number of leading blocks to `depth` for every engine in `mask`.
fn set_depth(found: &mut Matches, mut mask: u64, depth: usize) {
    let depth = u16::try_from(depth).unwrap_or(u16::MAX);
    while mask != 0 {
        found[mask.trailing_zeros() as usize] = depth;
        mask &= mask - 1;
    }
}
