//! Anti-entropy between two VMs: delivers updates that gossip missed and merges the views after a
//! network partition.

use std::time::Duration;

use rand::RngExt;

use super::Members;
use super::table::UpdateSource;
use super::types::{Action, BUCKETS, Body, MAX_STATE_ENTRIES, Update};
use crate::time::Time;

/// The delay before the next comparison if a message was filled with entries, so that more may
/// differ.
const RESYNC_DELAY: Duration = Duration::from_millis(200);

impl Members {
    /// Starts comparisons with a random live member and, more often, with a random dead one, which
    /// may be reachable again after a network partition.
    pub(super) fn start_comparisons(&mut self, now: Time, out: &mut Vec<Action>) {
        if now >= self.next_sync {
            self.next_sync = now + self.jitter(self.options.sync_interval);
            let target = self.sample(1, |_| true).pop();
            self.send_digest(target, out);
        }
        if now >= self.next_reconnect {
            self.next_reconnect = now + self.jitter(self.options.reconnect_interval);
            let count = self.table.dead().count();
            let index = self.rng.random_range(0..count.max(1));
            let target = self.table.dead().nth(index).cloned();
            self.send_digest(target, out);
        }
    }

    fn send_digest(&mut self, target: Option<Update>, out: &mut Vec<Action>) {
        let Some(target) = target else { return };
        let buckets = self.table.digest();
        self.send(&target, Body::Sync { buckets }, out);
    }

    /// Handles a digest from a peer; answers with the entries of the buckets that differ, if any.
    pub(super) fn answer_digest(&mut self, from: &Update, buckets: &[u64], out: &mut Vec<Action>) {
        let own = self.table.digest();
        let Some(differ) = difference(&own, buckets) else {
            return;
        };
        let entries = self.sample_entries(&differ);
        self.send(
            from,
            Body::State {
                buckets: own,
                entries,
            },
            out,
        );
    }

    /// Merges the entries of a peer and answers with the entries that still differ, if any.
    pub(super) fn merge(
        &mut self,
        now: Time,
        from: &Update,
        buckets: &[u64],
        entries: &[Update],
        out: &mut Vec<Action>,
    ) {
        for update in entries.iter().take(MAX_STATE_ENTRIES) {
            self.apply_update(now, update, UpdateSource::Sync);
        }
        if entries.len() >= MAX_STATE_ENTRIES {
            self.next_sync = self.next_sync.min(now + RESYNC_DELAY);
        }
        let Some(differ) = difference(&self.table.digest(), buckets) else {
            return;
        };
        let entries = self.sample_entries(&differ);
        self.send(
            from,
            Body::State {
                buckets: Vec::new(),
                entries,
            },
            out,
        );
    }

    /// Returns a random sample of the entries in buckets that differ, limited to one message.
    fn sample_entries(&mut self, differ: &[bool]) -> Vec<Update> {
        let mut entries = self.table.entries(differ);
        for index in 0..MAX_STATE_ENTRIES.min(entries.len()) {
            let other = self.rng.random_range(index..entries.len());
            entries.swap(index, other);
        }
        entries.truncate(MAX_STATE_ENTRIES);
        entries
    }

    /// Returns `span` changed randomly by up to a quarter, so that the VMs do not synchronise.
    fn jitter(&mut self, span: Duration) -> Duration {
        span.mul_f64(self.rng.random_range(0.75..1.25))
    }
}

/// Returns which buckets differ, or `None` if none differs or `other` has the wrong length.
fn difference(own: &[u64], other: &[u64]) -> Option<Vec<bool>> {
    if other.len() != BUCKETS || own == other {
        return None;
    }
    Some(own.iter().zip(other).map(|(a, b)| a != b).collect())
}
