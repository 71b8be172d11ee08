//! Which connections of callers are open, and which one gives way when there are too many.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use coord::time::Time;
use tokio_util::sync::CancellationToken;

use crate::serve::cell::Clock;

/// Shortest time for which a connection has waited for its caller when it gives way to a new one. A new connection
/// gets its first request within that time.
pub const MIN_WAITING: Duration = Duration::from_millis(500);

/// Number of a connection.
type ConnectionId = u64;

struct Open {
    /// Since when the gateway waits for the caller; `None` while the caller waits for the gateway.
    waiting: Option<Time>,
    close: CancellationToken,
}

/// The open connections of callers.
#[derive(Default)]
pub struct Connections {
    next: ConnectionId,
    open: BTreeMap<ConnectionId, Open>,
}

impl Connections {
    /// Adds a connection, which `close` ends.
    pub fn add(&mut self, now: Time, close: CancellationToken) -> ConnectionId {
        let id = self.next;
        self.next += 1;
        let waiting = Some(now);
        self.open.insert(id, Open { waiting, close });
        id
    }

    /// Removes a connection that has ended.
    pub fn remove(&mut self, id: ConnectionId) {
        self.open.remove(&id);
    }

    /// Records whether the gateway waits for the caller from now on.
    pub fn set_waiting(&mut self, now: Time, id: ConnectionId, waiting: bool) {
        if let Some(open) = self.open.get_mut(&id) {
            open.waiting = waiting.then_some(now);
        }
    }

    /// Closes the connection that has waited for its caller for longest, so that a new one can be accepted. Returns
    /// false if none has waited for [`MIN_WAITING`].
    pub fn close_one(&mut self, now: Time) -> bool {
        let waiting = self.open.iter().filter(|(_, o)| !o.close.is_cancelled());
        let waiting = waiting.filter_map(|(id, open)| Some((open.waiting?, *id)));
        let longest = waiting
            .min()
            .filter(|(since, _)| now.since(*since) >= MIN_WAITING);
        let closed = longest.and_then(|(_, id)| self.open.get(&id));
        closed.inspect(|open| open.close.cancel()).is_some()
    }
}

/// The open connections, which all tasks share.
#[derive(Clone, Default)]
pub struct ConnectionTable(Arc<Mutex<Connections>>);

impl ConnectionTable {
    /// Locks the table.
    pub fn lock(&self) -> MutexGuard<'_, Connections> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// One connection as its requests see it.
#[derive(Clone)]
pub struct Connection {
    table: ConnectionTable,
    id: ConnectionId,
    clock: Clock,
    /// Ends the connection.
    pub close: CancellationToken,
    /// Address of the caller.
    pub caller: IpAddr,
}

impl Connection {
    /// Adds a connection to the table, from which [`Self::remove`] removes it.
    #[must_use]
    pub fn open(table: &ConnectionTable, clock: Clock, caller: IpAddr) -> Self {
        let close = CancellationToken::new();
        let id = table.lock().add(clock.now(), close.clone());
        Self {
            table: table.clone(),
            id,
            clock,
            close,
            caller,
        }
    }

    /// Removes the connection from the table.
    pub fn remove(&self) {
        self.table.lock().remove(self.id);
    }

    /// Records that the caller waits for the gateway until the guard is dropped.
    #[must_use]
    pub fn serve(&self) -> Serving {
        let now = self.clock.now();
        self.table.lock().set_waiting(now, self.id, false);
        Serving(self.clone())
    }
}

/// A complete request of a connection, until its answer is handed to the connection.
pub struct Serving(Connection);

impl Drop for Serving {
    fn drop(&mut self) {
        let Connection {
            table, id, clock, ..
        } = &self.0;
        table.lock().set_waiting(clock.now(), *id, true);
    }
}
