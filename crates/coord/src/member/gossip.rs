//! The queue of membership updates that are still to be sent to other members.

use std::collections::BTreeMap;
use std::time::Duration;

use super::table::Table;
use super::types::{Health, MAX_GOSSIP_UPDATES, MAX_UPDATE_BYTES, Update};
use crate::name::VmName;
use crate::time::Time;

/// Each update is sent this many times the binary logarithm of the number of members.
///
/// SWIM needs a factor of 3 to reach all members with high probability. Urgent messages and
/// comparisons make 1 sufficient, which sends a third of the messages when the whole fleet reboots.
const RETRANSMIT_FACTOR: u32 = 1;

#[derive(Debug, Default)]
pub(super) struct Gossip {
    /// The number of times that the current update about each member was sent.
    queue: BTreeMap<VmName, u32>,
    urgent: bool,
    sent: Time,
}

impl Gossip {
    /// Queues the current update about a member; it replaces an older one.
    pub(super) fn push(&mut self, name: VmName, urgent: bool) {
        self.queue.insert(name, 0);
        self.urgent |= urgent;
    }

    /// Returns `true` if urgent updates must be sent now, at most once per `interval`.
    pub(super) fn take_due(&mut self, now: Time, interval: Duration) -> bool {
        // `sent` is 0 at the start; a delay of one interval is harmless then.
        if !self.urgent || now.since(self.sent) < interval {
            return false;
        }
        self.sent = now;
        let fresh = self.queue.values().filter(|sent| **sent == 0).count();
        self.urgent = fresh > MAX_GOSSIP_UPDATES;
        true
    }

    /// Returns the updates for one message to `to`, those that were sent least often first.
    pub(super) fn select_updates(
        &mut self,
        table: &Table,
        to: &VmName,
        max_updates: usize,
    ) -> Vec<Update> {
        let mut chosen = Vec::new();
        let mut remaining_bytes = MAX_UPDATE_BYTES;
        // A receiver that is suspected or declared dead must be told, however often the update was
        // sent, so that it can refute it.
        if let Some(update) = table
            .get(to)
            .filter(|update| update.health != Health::Alive)
        {
            remaining_bytes = remaining_bytes.saturating_sub(update.size());
            chosen.push(update.clone());
        }
        if self.queue.is_empty() {
            return chosen;
        }
        let members = u32::try_from(table.live().count() + 2).unwrap_or(u32::MAX);
        let max_sends = RETRANSMIT_FACTOR * (members.ilog2() + 1);
        for name in self.least_sent(max_updates) {
            let Some(update) = table.get(&name) else {
                self.queue.remove(&name);
                continue;
            };
            // Every message carries the update about its sender in a separate field.
            let known = name == *to || name == table.own.name;
            if chosen.len() >= max_updates || update.size() > remaining_bytes {
                break;
            }
            if !known {
                remaining_bytes -= update.size();
                chosen.push(update.clone());
            }
            self.count_transmission(&name, max_sends);
        }
        chosen
    }

    fn least_sent(&self, max_updates: usize) -> Vec<VmName> {
        let mut order: Vec<_> = self
            .queue
            .iter()
            .map(|(name, sent)| (*sent, name))
            .collect();
        if order.len() > max_updates {
            order.select_nth_unstable(max_updates);
            order.truncate(max_updates);
        }
        order.sort_unstable();
        order.into_iter().map(|(_, name)| name.clone()).collect()
    }

    fn count_transmission(&mut self, name: &VmName, max_sends: u32) {
        let sent = self.queue.entry(name.clone()).or_default();
        *sent += 1;
        if *sent >= max_sends {
            self.queue.remove(name);
        }
    }
}
