//! The preferred engine of each prefix.
//!
//! A prefix keeps its engine after its blocks were evicted. Otherwise it would be computed on any
//! idle engine and would evict other prefixes there. A new prefix is placed preferably on an engine
//! whose number of prefixes is below a bound (bounded-load hashing). Hashing alone distributes a
//! small number of prefixes so unevenly that some caches overflow while others have room.

use std::collections::BTreeMap;
use std::time::Duration;

use super::estimate::to_f64;
use crate::time::Time;

/// Maximum number of prefixes of one engine, as a multiple of the mean over all engines.
const MAX_LOAD_FACTOR: f64 = 1.25;

/// Number of prefixes up to which none is removed because of its age.
const MIN_TRACKED_PREFIXES: usize = 4_096;

/// If there are more than [`MIN_TRACKED_PREFIXES`], those that were not used for this time are
/// removed.
const PREFIX_RETENTION: Duration = Duration::from_mins(1);

/// The preferred engines, by the hash of the first block of the prompt.
#[derive(Debug, Default)]
pub(super) struct PrefixAffinity {
    preferred_engines: BTreeMap<u64, (usize, Time)>,
    prefix_counts: Vec<usize>,
}

impl PrefixAffinity {
    /// Returns the preferred engine of a prefix, or `None` if the prefix is new.
    pub(super) fn preferred(&self, prefix: &[u64]) -> Option<usize> {
        self.preferred_engines
            .get(prefix.first()?)
            .map(|(engine, _)| *engine)
    }

    /// Returns true if a new prefix would exceed the bound of `engine`, where `engines` is the
    /// number of engines.
    pub(super) fn exceeds_prefix_bound(&self, engine: usize, engines: usize) -> bool {
        let own = self.prefix_counts.get(engine).copied().unwrap_or(0);
        let mean = to_f64(self.preferred_engines.len() as u64 + 1) / to_f64(engines.max(1) as u64);
        to_f64(own as u64 + 1) > (mean * MAX_LOAD_FACTOR).ceil()
    }

    /// Records that a prompt runs on `engine`, which becomes the preferred engine of a new prefix.
    pub(super) fn record_use(&mut self, now: Time, prefix: &[u64], engine: usize) {
        let Some(key) = prefix.first() else {
            return;
        };
        if let Some((_, used)) = self.preferred_engines.get_mut(key) {
            *used = now;
            return;
        }
        self.preferred_engines.insert(*key, (engine, now));
        if self.prefix_counts.len() <= engine {
            self.prefix_counts.resize(engine + 1, 0);
        }
        self.prefix_counts[engine] += 1;
    }

    /// Removes the prefixes of an engine that is down.
    pub(super) fn clear(&mut self, engine: usize) {
        self.preferred_engines
            .retain(|_, (preferred, _)| *preferred != engine);
        if let Some(count) = self.prefix_counts.get_mut(engine) {
            *count = 0;
        }
    }

    /// Removes prefixes that were not used recently if there are too many.
    pub(super) fn expire(&mut self, now: Time) {
        if self.preferred_engines.len() <= MIN_TRACKED_PREFIXES {
            return;
        }
        let prefix_counts = &mut self.prefix_counts;
        self.preferred_engines.retain(|_, (preferred, used)| {
            let keep = now.since(*used) < PREFIX_RETENTION;
            prefix_counts[*preferred] -= usize::from(!keep);
            keep
        });
    }
}
