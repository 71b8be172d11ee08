//! Requests that wait for room, and the order in which they get it.
//!
//! The order answers a load above the engines' memory. There, first come first served makes every
//! request late once the queue is as long as the target. So requests that can still be on time go
//! first, oldest first, and those that are late already get what is left. A request that gets a
//! place just before its target is late as well, because its prompt is yet to be read; so what
//! counts is whether a place now is still in time.

use std::collections::BTreeMap;
use std::time::Duration;

use coord::time::Time;

use super::load_table::Waiting;
use super::placement::Demand;

/// The share of its target for which the first request in a queue lets others pass.
const BYPASS_SHARE: f64 = 0.4;

/// One waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// When the request arrived.
    pub arrived: Time,
    /// Until when it needs a place to be on time: the target less the time from a place to the
    /// first event.
    pub due: Time,
    /// The rank; 0 goes first.
    pub priority: u8,
    /// What it needs.
    pub demand: Demand,
}

impl Ticket {
    /// Returns the ticket of a request that is on time if its first event comes within `target`;
    /// a request with a place takes `lead` to that event.
    #[must_use]
    pub fn new(arrived: Time, (target, lead_time): (Duration, Duration), demand: Demand) -> Self {
        Self {
            arrived,
            due: arrived + target.saturating_sub(lead_time),
            priority: 0,
            demand,
        }
    }

    /// Returns the ticket with another rank.
    #[must_use]
    pub fn with_priority(self, priority: u8) -> Self {
        Self { priority, ..self }
    }
}

/// The waiting requests of one service.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    waiting: BTreeMap<u64, Ticket>,
    next: u64,
}

impl Queue {
    /// Adds a request and returns its number.
    pub fn enter(&mut self, ticket: Ticket) -> u64 {
        let number = self.next;
        self.next += 1;
        self.waiting.insert(number, ticket);
        number
    }

    /// Removes a request that got room or gave up.
    pub fn leave(&mut self, number: u64) {
        self.waiting.remove(&number);
    }

    /// Returns the number of the request that goes next.
    #[must_use]
    pub fn head(&self, now: Time) -> Option<u64> {
        let rank = |(number, ticket): &(&u64, &Ticket)| {
            let late = ticket.due < now;
            (ticket.priority, late, ticket.arrived, **number)
        };
        let first = self.waiting.iter().min_by_key(rank);
        first.map(|(number, _)| *number)
    }

    /// Returns whether a request may take room that it finds.
    ///
    /// The head may. While the head has not waited long, others may as well: a large prompt that
    /// fits nowhere yet would otherwise keep small ones from memory that it cannot use.
    #[must_use]
    pub fn may_proceed(&self, now: Time, number: u64) -> bool {
        let Some(head) = self.head(now) else {
            return false;
        };
        let Some(first) = self.waiting.get(&head) else {
            return false;
        };
        let target = first.due.since(first.arrived);
        head == number || now.since(first.arrived) < target.mul_f64(BYPASS_SHARE)
    }

    /// Returns what waits, for other gateways.
    #[must_use]
    pub fn waiting(&self, now: Time) -> Waiting {
        let tickets = || self.waiting.values();
        let first = self.head(now).and_then(|number| self.waiting.get(&number));
        let waited = first.map_or(Duration::ZERO, |ticket| now.since(ticket.arrived));
        Waiting {
            requests: u32::try_from(tickets().len()).unwrap_or(u32::MAX),
            memory: tickets().map(|ticket| ticket.demand.kv_tokens).sum(),
            late: first.is_some_and(|ticket| ticket.due < now),
            waited_ms: u32::try_from(waited.as_millis()).unwrap_or(u32::MAX),
        }
    }
}

/// Memory of a service's engines, for the estimate of a wait.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct KvPool {
    /// Tokens that are free.
    pub free: u64,
    /// Tokens that requests hold.
    pub used: u64,
    /// Tokens that waiting requests need first.
    pub ahead: u64,
}

impl KvPool {
    /// Estimates how long a request waits for room, if a request holds its memory for `residence`.
    ///
    /// Memory comes back at the rate at which all of it is used once.
    #[must_use]
    #[expect(
        clippy::cast_precision_loss,
        reason = "sums of tokens are far below 2^52"
    )]
    pub fn estimate_wait(&self, demand: Demand, residence: Duration) -> Duration {
        let needed = self.ahead + u64::from(demand.kv_tokens);
        let lacking = needed.saturating_sub(self.free);
        if lacking == 0 {
            return Duration::ZERO;
        }
        if self.used == 0 {
            return residence;
        }
        residence.mul_f64(lacking as f64 / self.used as f64)
    }
}
