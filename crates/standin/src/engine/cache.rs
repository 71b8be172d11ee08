//! The prefix cache and the events about its content.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use super::wire::{CacheEvent, CacheEventKind};

/// The maximum number of events that are kept. Beyond it the oldest ones are dropped, and readers
/// that have not read them see a gap.
const MAX_EVENTS: usize = 10_000;

/// A least-recently-used cache of prompt blocks.
///
/// A block is identified by the hash of the prompt prefix that ends with it.
#[derive(Default)]
pub(super) struct PrefixCache {
    capacity: usize,
    // Maps a prefix to the sequence number of its last use.
    blocks: BTreeMap<u64, u64>,
    // The inverse of `blocks`.
    uses: BTreeMap<u64, u64>,
    next_use: u64,
    events: BTreeMap<u64, (Instant, CacheEvent)>,
    next_event: u64,
}

impl PrefixCache {
    pub(super) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            ..Self::default()
        }
    }

    /// Returns how many of the first blocks of `prefixes` are cached without a gap.
    pub(super) fn cached_blocks(&self, prefixes: &[u64]) -> usize {
        let is_cached = |prefix: &&u64| self.blocks.contains_key(*prefix);
        prefixes.iter().take_while(is_cached).count()
    }

    /// Stores the blocks of `prefixes`.
    ///
    /// Every `gap`-th event is dropped; 0 drops none.
    pub(super) fn store(&mut self, prefixes: &[u64], gap: u32) {
        // The last block comes first, so that the shorter prefixes count as more recently used.
        for prefix in prefixes.iter().rev() {
            let last_use = self.blocks.insert(*prefix, self.next_use);
            self.uses.insert(self.next_use, *prefix);
            self.next_use += 1;
            match last_use {
                Some(last_use) => {
                    self.uses.remove(&last_use);
                }
                None => self.record(CacheEventKind::Stored, *prefix, gap),
            }
        }
        while self.blocks.len() > self.capacity {
            let Some((_, prefix)) = self.uses.pop_first() else {
                return;
            };
            self.blocks.remove(&prefix);
            self.record(CacheEventKind::Evicted, prefix, gap);
        }
    }

    /// Drops all blocks and events without recording an eviction, as a crash does.
    pub(super) fn clear(&mut self) {
        self.blocks.clear();
        self.uses.clear();
        self.events.clear();
    }

    pub(super) fn blocks(&self) -> usize {
        self.blocks.len()
    }

    /// Returns the events after `since` that are at least `delay` old.
    pub(super) fn events(&self, since: u64, delay: Duration) -> Vec<CacheEvent> {
        let now = Instant::now();
        let is_visible = |at: Instant| now.duration_since(at) >= delay;
        let later = self.events.range(since.saturating_add(1)..);
        later
            .filter(|(_, (at, _))| is_visible(*at))
            .map(|(_, (_, event))| *event)
            .collect()
    }

    fn record(&mut self, kind: CacheEventKind, prefix: u64, gap: u32) {
        self.next_event += 1;
        let seq = self.next_event;
        if gap > 0 && seq.is_multiple_of(u64::from(gap)) {
            return;
        }
        let event = CacheEvent { seq, kind, prefix };
        self.events.insert(seq, (Instant::now(), event));
        while self.events.len() > MAX_EVENTS {
            self.events.pop_first();
        }
    }
}
