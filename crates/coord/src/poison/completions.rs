//! Requests that ran to their end.

use std::collections::{BTreeSet, VecDeque};

/// The latest requests that ran to their end without a crash of their upstream.
#[derive(Clone, Debug, Default)]
pub(super) struct Completions {
    known: BTreeSet<u128>,
    /// The same fingerprints, oldest first.
    order: VecDeque<u128>,
}

impl Completions {
    /// Adds a fingerprint, and drops the oldest one if there are more than `max`.
    pub(super) fn add(&mut self, fingerprint: u128, max: usize) {
        if !self.known.insert(fingerprint) {
            return;
        }
        self.order.push_back(fingerprint);
        if self.order.len() > max
            && let Some(oldest) = self.order.pop_front()
        {
            self.known.remove(&oldest);
        }
    }

    pub(super) fn contains(&self, fingerprint: u128) -> bool {
        self.known.contains(&fingerprint)
    }
}
