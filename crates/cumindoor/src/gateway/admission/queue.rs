//! Requests that wait for capacity, and the order in which they get it.
//!
//! The order is designed for a load above the capacity of the engines. First come, first served
//! would then make every request late as soon as the wait reaches the latency target. Within a
//! priority, requests that can still meet their target go first, oldest first, and requests that
//! are already late get the remaining capacity. A request that is placed just before its target is
//! late as well, because its prompt is yet to be prefilled, so a request counts as late once the
//! time left is shorter than the expected time from placement to the first event.

use std::collections::BTreeMap;
use std::time::Duration;

use coord::share::Urgency;
use coord::time::Time;

use crate::gateway::admission::load_table::Waiting;
use crate::gateway::admission::placement::Demand;

/// Share of the time from its arrival to [`Ticket::due`] during which the request at the head of
/// the queue lets others take capacity.
const BYPASS_SHARE: f64 = 0.4;

/// A waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// When the request arrived.
    pub arrived: Time,
    /// Latest time of a placement that meets the target: the arrival plus the target, less the
    /// expected time from placement to the first event.
    pub due: Time,
    /// Priority; 0 goes first.
    pub priority: u8,
    /// KV cache that the request needs.
    pub demand: Demand,
    /// Whether the request resumes a stream, which only upstreams of its build may continue. It takes a
    /// place there whenever there is one, and keeps nobody from others.
    pub resumes: bool,
    /// Priority of the route, which counts among requests of equal priority.
    pub route_priority: u8,
}

impl Ticket {
    /// Returns the ticket of a request that meets its target if its first event is sent within
    /// `target`, where `lead_time` is the expected time from placement to that event.
    #[must_use]
    pub fn new(arrived: Time, (target, lead_time): (Duration, Duration), demand: Demand) -> Self {
        Self {
            arrived,
            due: arrived + target.saturating_sub(lead_time),
            priority: 0,
            demand,
            resumes: false,
            route_priority: 0,
        }
    }

    /// Returns the ticket of a request that resumes a stream, or of one that does not.
    #[must_use]
    pub fn resuming(self, resumes: bool) -> Self {
        Self { resumes, ..self }
    }

    /// Returns the ticket with another priority.
    #[must_use]
    pub fn with_priority(self, priority: u8) -> Self {
        Self { priority, ..self }
    }

    /// Returns the ticket of a request with this urgency.
    #[must_use]
    pub fn with_urgency(self, urgency: Urgency) -> Self {
        Self {
            priority: urgency.priority(),
            route_priority: urgency.route(),
            ..self
        }
    }

    /// Returns the urgency of the request.
    #[must_use]
    pub fn urgency(&self) -> Urgency {
        Urgency::new(Some(self.priority), self.route_priority)
    }
}

/// The waiting requests of one service.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    waiting: BTreeMap<u64, Ticket>,
    next: u64,
}

impl Queue {
    /// Adds a request and returns its number in the queue.
    pub fn enter(&mut self, ticket: Ticket) -> u64 {
        let number = self.next;
        self.next += 1;
        self.waiting.insert(number, ticket);
        number
    }

    /// Removes a request that was placed or gave up.
    pub fn leave(&mut self, number: u64) {
        self.waiting.remove(&number);
    }

    /// Returns the number of the request at the head of the queue. Requests that resume streams are not in
    /// line.
    #[must_use]
    pub fn head(&self, now: Time) -> Option<u64> {
        self.head_among(now, |_| true)
    }

    /// Returns the number of the request at the head of those whose urgency is eligible.
    fn head_among(&self, now: Time, is_eligible: impl Fn(Urgency) -> bool) -> Option<u64> {
        let rank = |(number, ticket): &(&u64, &Ticket)| {
            let late = ticket.due < now;
            (ticket.urgency(), late, ticket.arrived, **number)
        };
        let in_line = self
            .waiting
            .iter()
            .filter(|(_, ticket)| !ticket.resumes && is_eligible(ticket.urgency()));
        let first = in_line.min_by_key(rank);
        first.map(|(number, _)| *number)
    }

    /// Returns whether a request may take capacity that it finds.
    ///
    /// The request at the head may always do so. As long as the head has not waited long, others of
    /// its urgency may as well: otherwise a large prompt that fits nowhere yet would keep smaller ones
    /// from capacity that it cannot use itself.
    #[must_use]
    pub fn may_proceed(&self, now: Time, number: u64) -> bool {
        self.may_proceed_among(now, number, |_| true)
    }

    /// Returns whether a request may take capacity that it finds, where requests of an urgency that is not
    /// eligible take none and therefore keep no others from it.
    #[must_use]
    pub fn may_proceed_among(
        &self,
        now: Time,
        number: u64,
        is_eligible: impl Fn(Urgency) -> bool,
    ) -> bool {
        let Some(ticket) = self.waiting.get(&number) else {
            return false;
        };
        if ticket.resumes {
            return true;
        }
        let head = self.head_among(now, is_eligible);
        let Some((head, first)) = head.and_then(|head| Some((head, self.waiting.get(&head)?)))
        else {
            return false;
        };
        let target = first.due.since(first.arrived);
        let is_early = now.since(first.arrived) < target.mul_f64(BYPASS_SHARE);
        head == number || (is_early && ticket.urgency() == first.urgency())
    }

    /// Returns the urgency of the request at the head of the queue.
    #[must_use]
    pub fn first_urgency(&self, now: Time) -> Option<Urgency> {
        let head = self.head(now)?;
        self.waiting.get(&head).map(Ticket::urgency)
    }

    /// Returns the tokens that waiting requests of each urgency need.
    #[must_use]
    pub fn waiting_tokens(&self) -> BTreeMap<Urgency, u64> {
        let mut sums: BTreeMap<Urgency, u64> = BTreeMap::new();
        for ticket in self.waiting.values() {
            *sums.entry(ticket.urgency()).or_default() += u64::from(ticket.demand.kv_tokens);
        }
        sums
    }

    /// Returns a summary of the queue for other gateways.
    #[must_use]
    pub fn waiting(&self, now: Time) -> Waiting {
        let tickets = || self.waiting.values();
        let first = self.head(now).and_then(|number| self.waiting.get(&number));
        let waited = first.map_or(Duration::ZERO, |ticket| now.since(ticket.arrived));
        Waiting {
            requests: u32::try_from(tickets().len()).unwrap_or(u32::MAX),
            kv_tokens: tickets().fold(0, |sum, ticket| sum.saturating_add(ticket.demand.kv_tokens)),
            late: first.is_some_and(|ticket| ticket.due < now),
            waited_ms: u32::try_from(waited.as_millis()).unwrap_or(u32::MAX),
        }
    }
}

/// The KV cache of all engines of a service, for wait estimates.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct KvPool {
    /// Free tokens.
    pub free: u64,
    /// Tokens held by requests.
    pub used: u64,
    /// Tokens needed by waiting requests that are served first.
    pub ahead: u64,
}

impl KvPool {
    /// Estimates how long a request waits for capacity if a request holds its KV cache for
    /// `residence`.
    ///
    /// Assumes that the tokens in use are released evenly over one residence time.
    #[must_use]
    #[expect(
        clippy::cast_precision_loss,
        reason = "sums of tokens are far below 2^52"
    )]
    pub fn estimate_wait(&self, demand: Demand, residence: Duration) -> Duration {
        let needed = self.ahead.saturating_add(demand.kv_tokens.into());
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
