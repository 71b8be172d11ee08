//! The queue of prefills: one runs at a time, and the others wait in the order of their priority.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use tokio::sync::oneshot;

use crate::server::lock;

/// Sorts waiting prefills by descending priority, then by arrival.
type Rank = (Reverse<i64>, u64);

#[derive(Default)]
struct QueueState {
    busy: bool,
    next_arrival: u64,
    waiting: BTreeMap<Rank, oneshot::Sender<Permit>>,
}

/// The prefill queue of one engine; clones share it.
#[derive(Clone, Default)]
pub(super) struct PrefillQueue(Arc<Mutex<QueueState>>);

/// The permit to compute a prefill; dropping it passes it to the next prefill in the queue.
pub(super) struct Permit(Option<PrefillQueue>);

impl PrefillQueue {
    /// Returns the number of waiting prefills, without those that were abandoned.
    pub(super) fn waiting(&self) -> usize {
        let queue = lock(&self.0);
        queue
            .waiting
            .values()
            .filter(|waiter| !waiter.is_closed())
            .count()
    }

    /// Waits for the permit; a higher `priority` gets it first.
    pub(super) async fn acquire(&self, priority: i64) -> Permit {
        let receiver = {
            let mut queue = lock(&self.0);
            if !queue.busy {
                queue.busy = true;
                return Permit(Some(self.clone()));
            }
            let (sender, receiver) = oneshot::channel();
            let rank = (Reverse(priority), queue.next_arrival);
            queue.next_arrival += 1;
            queue.waiting.insert(rank, sender);
            receiver
        };
        match receiver.await {
            Ok(permit) => permit,
            Err(_) => std::future::pending().await,
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let Some(prefill_queue) = self.0.take() else {
            return;
        };
        loop {
            let next = {
                let mut queue = lock(&prefill_queue.0);
                let next = queue.waiting.pop_first();
                queue.busy = next.is_some();
                next
            };
            let Some((_, sender)) = next else { return };
            // If the waiter was dropped, `send` returns the permit. The permit is emptied, so that
            // dropping it does not call this function recursively.
            match sender.send(Permit(Some(prefill_queue.clone()))) {
                Ok(()) => return,
                Err(mut permit) => permit.0 = None,
            }
        }
    }
}
