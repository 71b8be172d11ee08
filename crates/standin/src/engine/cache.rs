//! The prefix cache and its events.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use super::wire::{Event, EventKind};

/// Events kept for readers; older ones are a gap.
const EVENTS_KEPT: usize = 10_000;

/// Blocks of prompts, the least recently used evicted first.
#[derive(Default)]
pub(super) struct Cache {
    capacity: usize,
    // Prefix to the number of its last use.
    blocks: BTreeMap<u64, u64>,
    uses: BTreeMap<u64, u64>,
    next_use: u64,
    events: BTreeMap<u64, (Instant, Event)>,
    next_event: u64,
}

impl Cache {
    pub(super) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            ..Self::default()
        }
    }

    /// Returns how many blocks at the start of `chain` are in the cache.
    pub(super) fn cached(&self, chain: &[u64]) -> usize {
        let in_cache = |prefix: &&u64| self.blocks.contains_key(*prefix);
        chain.iter().take_while(in_cache).count()
    }

    /// Stores the blocks of `chain` and drops each `gap`-th event (0: none).
    pub(super) fn store(&mut self, chain: &[u64], gap: u32) {
        // Last block first, so that the shorter prefixes are the most recently used.
        for prefix in chain.iter().rev() {
            let last = self.blocks.insert(*prefix, self.next_use);
            self.uses.insert(self.next_use, *prefix);
            self.next_use += 1;
            match last {
                Some(last) => {
                    self.uses.remove(&last);
                }
                None => self.record(EventKind::Stored, *prefix, gap),
            }
        }
        while self.blocks.len() > self.capacity {
            let Some((_, prefix)) = self.uses.pop_first() else {
                return;
            };
            self.blocks.remove(&prefix);
            self.record(EventKind::Evicted, prefix, gap);
        }
    }

    /// Forgets all blocks without an event, as a crash does.
    pub(super) fn clear(&mut self) {
        self.blocks.clear();
        self.uses.clear();
        self.events.clear();
    }

    pub(super) fn blocks(&self) -> usize {
        self.blocks.len()
    }

    /// Returns the events after `since` that are at least `delay` old.
    pub(super) fn events(&self, since: u64, delay: Duration) -> Vec<Event> {
        let now = Instant::now();
        let visible = |at: Instant| now.duration_since(at) >= delay;
        let after = self.events.range(since.saturating_add(1)..);
        after
            .filter(|(_, (at, _))| visible(*at))
            .map(|(_, (_, event))| *event)
            .collect()
    }

    fn record(&mut self, kind: EventKind, prefix: u64, gap: u32) {
        self.next_event += 1;
        let seq = self.next_event;
        if gap > 0 && seq.is_multiple_of(u64::from(gap)) {
            return;
        }
        let event = Event { seq, kind, prefix };
        self.events.insert(seq, (Instant::now(), event));
        while self.events.len() > EVENTS_KEPT {
            self.events.pop_first();
        }
    }
}
