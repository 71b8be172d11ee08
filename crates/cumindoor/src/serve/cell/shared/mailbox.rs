//! Ordered delivery of messages between two VMs.
//!
//! At most one batch is in flight to each peer. It is sent again until it is acknowledged. The
//! receiver skips messages that it has already received, so lost, delayed, duplicated and
//! reordered batches are harmless.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use coord::name::VmName;
use coord::time::Time;

use super::owner::random_id;
use super::wire::{Batch, Message};

/// The most messages in one batch. With the prefix hashes of the longest prompts, a batch of this
/// size fits into one frame.
const MAX_BATCH_MESSAGES: usize = 64;
/// Delay before an unacknowledged batch is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// How long the sequence number of a sender's session is kept after its last batch.
const INBOX_RETENTION: Duration = Duration::from_mins(10);

/// The queue of messages to one VM.
struct Outbox {
    session: u64,
    /// The sequence number of the first queued message.
    first: u64,
    queue: VecDeque<Message>,
    in_flight: bool,
    /// True if the last batch was not acknowledged, so that the next one repeats it.
    retrying: bool,
    /// The next batch is not sent before this instant.
    not_before: Time,
    /// When the last batch was sent.
    last_sent: Time,
}

/// The messages to and from all other VMs.
pub(super) struct Mailboxes {
    pub(super) boot: u64,
    outboxes: BTreeMap<VmName, Outbox>,
    /// By sender and session: the next expected sequence number, and when the last batch arrived.
    inboxes: BTreeMap<(VmName, u64), (u64, Time)>,
}

impl Mailboxes {
    pub(super) fn new() -> Self {
        Self {
            boot: random_id(),
            outboxes: BTreeMap::new(),
            inboxes: BTreeMap::new(),
        }
    }

    pub(super) fn push(&mut self, to: VmName, message: Message) {
        self.outbox(to).queue.push_back(message);
    }

    fn outbox(&mut self, to: VmName) -> &mut Outbox {
        self.outboxes.entry(to).or_insert_with(|| Outbox {
            session: random_id(),
            first: 0,
            queue: VecDeque::new(),
            in_flight: false,
            retrying: false,
            not_before: Time::ZERO,
            last_sent: Time::ZERO,
        })
    }

    /// Drops the queued messages to a VM that left the view.
    pub(super) fn remove(&mut self, vm: &VmName) {
        self.outboxes.remove(vm);
    }

    /// Marks no batch as in flight, so that those of a failed sending task are sent again.
    pub(super) fn reset_in_flight(&mut self) {
        self.outboxes.values_mut().for_each(|o| o.in_flight = false);
    }

    /// Returns the batches to send now. `renew` returns true for a VM at which this VM holds a
    /// lease; it gets an empty batch if none was sent for the `renewal` interval.
    pub(super) fn due_batches(
        &mut self,
        now: Time,
        renewal: Duration,
        renew: impl Fn(&VmName) -> bool,
    ) -> Vec<(VmName, Batch)> {
        let mut due = Vec::new();
        for (vm, outbox) in &mut self.outboxes {
            let renewal_due = now.since(outbox.last_sent) >= renewal;
            let wanted = !outbox.queue.is_empty() || (renewal_due && renew(vm));
            if outbox.in_flight || now < outbox.not_before || !wanted {
                continue;
            }
            outbox.in_flight = true;
            outbox.last_sent = now;
            let batch = Batch {
                boot: self.boot,
                session: outbox.session,
                first: outbox.first,
                messages: outbox
                    .queue
                    .iter()
                    .take(MAX_BATCH_MESSAGES)
                    .cloned()
                    .collect(),
            };
            due.push((vm.clone(), batch));
        }
        due
    }

    /// Records whether a batch was acknowledged. Returns true if an earlier try of it was not.
    pub(super) fn batch_answered(
        &mut self,
        now: Time,
        vm: &VmName,
        (session, count): (u64, usize),
        accepted: bool,
    ) -> bool {
        let outbox = self.outboxes.get_mut(vm);
        let Some(outbox) = outbox.filter(|o| o.session == session) else {
            return false;
        };
        outbox.in_flight = false;
        let retried = std::mem::replace(&mut outbox.retrying, !accepted);
        if accepted {
            outbox.first += count as u64;
            outbox.queue.drain(..count);
        } else {
            outbox.not_before = now + RETRY_DELAY;
        }
        retried
    }

    /// Returns the messages of a batch that were not received before, in their order.
    pub(super) fn receive(&mut self, now: Time, from: &VmName, batch: Batch) -> Vec<Message> {
        self.inboxes
            .retain(|_, (_, last_received)| now.since(*last_received) < INBOX_RETENTION);
        let key = (from.clone(), batch.session);
        let (next, last_received) = self.inboxes.entry(key).or_insert((batch.first, now));
        *last_received = now;
        let received = usize::try_from(next.saturating_sub(batch.first)).unwrap_or(usize::MAX);
        *next = (*next).max(batch.first + batch.messages.len() as u64);
        batch.messages.into_iter().skip(received).collect()
    }

    /// Returns true if no message is queued for a VM for which `included` returns true.
    pub(super) fn is_empty(&self, included: impl Fn(&VmName) -> bool) -> bool {
        let mut all = self.outboxes.iter();
        all.all(|(vm, outbox)| outbox.queue.is_empty() || !included(vm))
    }

    /// Returns the number of messages queued for each VM.
    pub(super) fn queued(&self) -> BTreeMap<String, usize> {
        let all = self.outboxes.iter();
        all.map(|(vm, outbox)| (vm.to_string(), outbox.queue.len()))
            .collect()
    }
}
