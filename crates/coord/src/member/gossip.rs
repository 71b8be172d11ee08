//! News that is still to be spread.

use std::collections::BTreeMap;
use std::time::Duration;

use super::table::Table;
use super::types::{Health, MAX_GOSSIP_UPDATES, MAX_UPDATE_BYTES, Update};
use crate::name::VmName;
use crate::time::Time;

/// Each update is sent this many times the binary logarithm of the fleet's size. Without urgent
/// messages and comparisons, SWIM needs 3 to reach all members with high probability; with them,
/// 1 does, and a reboot of the whole fleet leaves a third of the messages.
const SPREAD: u32 = 1;

#[derive(Debug, Default)]
pub(super) struct Gossip {
    /// How often the current statement about each member was sent.
    queue: BTreeMap<VmName, u32>,
    urgent: bool,
    sent: Time,
}

impl Gossip {
    /// Queues the current statement about a member in the place of an older one.
    pub(super) fn push(&mut self, name: VmName, urgent: bool) {
        self.queue.insert(name, 0);
        self.urgent |= urgent;
    }

    /// Returns `true` if a message with urgent news is to be sent now, at most once in `pace`.
    pub(super) fn due(&mut self, now: Time, pace: Duration) -> bool {
        // `sent` is 0 at the start, when waiting for one pace does no harm.
        if !self.urgent || now.since(self.sent) < pace {
            return false;
        }
        self.sent = now;
        let fresh = self.queue.values().filter(|sent| **sent == 0).count();
        self.urgent = fresh > MAX_GOSSIP_UPDATES;
        true
    }

    /// Returns the updates for one message to `to`, the least sent ones first.
    pub(super) fn choose(&mut self, table: &Table, to: &VmName, most: usize) -> Vec<Update> {
        let mut chosen = Vec::new();
        let mut room = MAX_UPDATE_BYTES;
        // A suspected or dead receiver must learn of it to refute it, however often it was sent.
        if let Some(update) = table
            .get(to)
            .filter(|update| update.health != Health::Alive)
        {
            room = room.saturating_sub(update.size());
            chosen.push(update.clone());
        }
        if self.queue.is_empty() {
            return chosen;
        }
        let members = u32::try_from(table.live().count() + 2).unwrap_or(u32::MAX);
        let limit = SPREAD * (members.ilog2() + 1);
        for name in self.least_sent(most) {
            let Some(update) = table.get(&name) else {
                self.queue.remove(&name);
                continue;
            };
            // The sender's own statement is in every message.
            let known = name == *to || name == table.own.name;
            if chosen.len() >= most || update.size() > room {
                break;
            }
            if !known {
                room -= update.size();
                chosen.push(update.clone());
            }
            self.count(&name, limit);
        }
        chosen
    }

    fn least_sent(&self, most: usize) -> Vec<VmName> {
        let mut order: Vec<_> = self
            .queue
            .iter()
            .map(|(name, sent)| (*sent, name))
            .collect();
        if order.len() > most {
            order.select_nth_unstable(most);
            order.truncate(most);
        }
        order.sort_unstable();
        order.into_iter().map(|(_, name)| name.clone()).collect()
    }

    fn count(&mut self, name: &VmName, limit: u32) {
        let sent = self.queue.entry(name.clone()).or_default();
        *sent += 1;
        if *sent >= limit {
            self.queue.remove(name);
        }
    }
}
