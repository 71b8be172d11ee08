//! The preferred engine of each prefix.
//!
//! A prefix keeps its engine after its blocks were evicted. Otherwise it would be computed
//! wherever an engine is idle and would evict the prefixes of that engine. New prefixes go to
//! engines within a bound on the number of prefixes, because hashing alone spreads few prefixes
//! so unevenly that some caches overflow while others have room.

use std::collections::BTreeMap;
use std::time::Duration;

use super::estimate::real;
use crate::time::Time;

/// An engine takes a new prefix below this share of the mean number of prefixes.
const LOAD_BOUND: f64 = 1.25;

/// Prefixes that are remembered whatever their age.
const REMEMBERED: usize = 4_096;

/// Beyond that number, prefixes that were not used for this long are forgotten.
const FORGET_AFTER: Duration = Duration::from_mins(1);

/// Preferred engines by the hash of the prompt's first block.
#[derive(Debug, Default)]
pub(super) struct Homes {
    homes: BTreeMap<u64, (usize, Time)>,
    counts: Vec<usize>,
}

impl Homes {
    /// Returns the engine of a prefix that was seen before.
    pub(super) fn of(&self, prefix: &[u64]) -> Option<usize> {
        self.homes.get(prefix.first()?).map(|(engine, _)| *engine)
    }

    /// Returns true if `engine`, one of `engines`, has more than its share of the prefixes.
    pub(super) fn crowded(&self, engine: usize, engines: usize) -> bool {
        let own = self.counts.get(engine).copied().unwrap_or(0);
        let mean = real(self.homes.len() as u64 + 1) / real(engines.max(1) as u64);
        real(own as u64 + 1) > (mean * LOAD_BOUND).ceil()
    }

    /// Records that a prompt runs on `engine`, which becomes its home if it has none.
    pub(super) fn used(&mut self, now: Time, prefix: &[u64], engine: usize) {
        let Some(key) = prefix.first() else {
            return;
        };
        if let Some((_, used)) = self.homes.get_mut(key) {
            *used = now;
            return;
        }
        self.homes.insert(*key, (engine, now));
        if self.counts.len() <= engine {
            self.counts.resize(engine + 1, 0);
        }
        self.counts[engine] += 1;
    }

    /// Forgets the prefixes of an engine that went down.
    pub(super) fn clear(&mut self, engine: usize) {
        self.homes.retain(|_, (home, _)| *home != engine);
        if let Some(count) = self.counts.get_mut(engine) {
            *count = 0;
        }
    }

    /// Forgets old prefixes when there are many.
    pub(super) fn tidy(&mut self, now: Time) {
        if self.homes.len() <= REMEMBERED {
            return;
        }
        let counts = &mut self.counts;
        self.homes.retain(|_, (home, used)| {
            let keep = now.since(*used) < FORGET_AFTER;
            counts[*home] -= usize::from(!keep);
            keep
        });
    }
}
