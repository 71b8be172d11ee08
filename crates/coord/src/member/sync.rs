//! Comparison of views: repairs what gossip missed and joins the halves of a healed partition.

use std::time::Duration;

use rand::RngExt;

use super::Members;
use super::table::Origin;
use super::types::{Action, BUCKETS, Body, MAX_STATE_ENTRIES, Update};
use crate::time::Time;

/// The pause before the next comparison when the last one had more entries than fit.
const CONTINUE: Duration = Duration::from_millis(200);

impl Members {
    /// Compares views with a random live member and, more often, with a random dead one: it may
    /// be behind a partition that has healed.
    pub(super) fn synchronise(&mut self, now: Time, out: &mut Vec<Action>) {
        if now >= self.next_sync {
            self.next_sync = now + self.jitter(self.options.sync_interval);
            let target = self.sample(1, |_| true).pop();
            self.offer(target, out);
        }
        if now >= self.next_reconnect {
            self.next_reconnect = now + self.jitter(self.options.reconnect_interval);
            let count = self.table.dead().count();
            let place = self.rng.random_range(0..count.max(1));
            let target = self.table.dead().nth(place).cloned();
            self.offer(target, out);
        }
    }

    fn offer(&mut self, target: Option<Update>, out: &mut Vec<Action>) {
        let Some(target) = target else { return };
        let buckets = self.table.digest();
        self.send(&target, Body::Sync { buckets }, out);
    }

    /// Answers an offer when the views differ.
    pub(super) fn compare(&mut self, from: &Update, buckets: &[u64], out: &mut Vec<Action>) {
        let own = self.table.digest();
        let Some(differ) = difference(&own, buckets) else {
            return;
        };
        let entries = self.entries(&differ);
        self.send(
            from,
            Body::State {
                buckets: own,
                entries,
            },
            out,
        );
    }

    pub(super) fn merge(
        &mut self,
        now: Time,
        from: &Update,
        buckets: &[u64],
        entries: &[Update],
        out: &mut Vec<Action>,
    ) {
        for update in entries.iter().take(MAX_STATE_ENTRIES) {
            self.learn(now, update, Origin::Sync);
        }
        if entries.len() >= MAX_STATE_ENTRIES {
            self.next_sync = self.next_sync.min(now + CONTINUE);
        }
        let Some(differ) = difference(&self.table.digest(), buckets) else {
            return;
        };
        let entries = self.entries(&differ);
        self.send(
            from,
            Body::State {
                buckets: Vec::new(),
                entries,
            },
            out,
        );
    }

    /// Returns a random choice of the entries that differ, as many as fit into one message.
    fn entries(&mut self, differ: &[bool]) -> Vec<Update> {
        let mut entries = self.table.entries(differ);
        for place in 0..MAX_STATE_ENTRIES.min(entries.len()) {
            let other = self.rng.random_range(place..entries.len());
            entries.swap(place, other);
        }
        entries.truncate(MAX_STATE_ENTRIES);
        entries
    }

    /// Returns `span` changed by up to a quarter, so that VMs do not fall into step.
    fn jitter(&mut self, span: Duration) -> Duration {
        span.mul_f64(self.rng.random_range(0.75..1.25))
    }
}

/// Returns the buckets that differ, or `None` if none does or the digest has the wrong length.
fn difference(own: &[u64], other: &[u64]) -> Option<Vec<bool>> {
    if other.len() != BUCKETS || own == other {
        return None;
    }
    Some(own.iter().zip(other).map(|(a, b)| a != b).collect())
}
