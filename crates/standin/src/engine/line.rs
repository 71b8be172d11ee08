//! The line of prefills: one runs, the others wait by priority.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use tokio::sync::oneshot;

use crate::server::lock;

type Rank = (Reverse<i64>, u64);

#[derive(Default)]
struct Queue {
    busy: bool,
    next: u64,
    waiting: BTreeMap<Rank, oneshot::Sender<Turn>>,
}

/// The line of one engine.
#[derive(Clone, Default)]
pub(super) struct Line(Arc<Mutex<Queue>>);

/// The right to compute; dropping it gives the turn to the next in line.
pub(super) struct Turn(Option<Line>);

impl Line {
    /// Returns how many wait.
    pub(super) fn waiting(&self) -> usize {
        let queue = lock(&self.0);
        queue.waiting.values().filter(|w| !w.is_closed()).count()
    }

    /// Waits for the turn; a higher priority goes first.
    pub(super) async fn turn(&self, priority: i64) -> Turn {
        let receiver = {
            let mut queue = lock(&self.0);
            if !queue.busy {
                queue.busy = true;
                return Turn(Some(self.clone()));
            }
            let (sender, receiver) = oneshot::channel();
            let rank = (Reverse(priority), queue.next);
            queue.next += 1;
            queue.waiting.insert(rank, sender);
            receiver
        };
        match receiver.await {
            Ok(turn) => turn,
            Err(_) => std::future::pending().await,
        }
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        let Some(line) = self.0.take() else { return };
        loop {
            let next = {
                let mut queue = lock(&line.0);
                let next = queue.waiting.pop_first();
                queue.busy = next.is_some();
                next
            };
            let Some((_, sender)) = next else { return };
            // A waiter that has gone returns its turn; disarmed, it does not recurse here.
            match sender.send(Turn(Some(line.clone()))) {
                Ok(()) => return,
                Err(mut turn) => turn.0 = None,
            }
        }
    }
}
