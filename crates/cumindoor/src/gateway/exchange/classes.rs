//! What a request may take of the KV cache for which classes of urgency compete.
//!
//! See `docs/design/contention.md`.

use std::time::Duration;

use border::{Model, Stage};
use coord::name::Service;
use coord::share::{Shares, Urgency};
use coord::time::Time;

use crate::gateway::admission::load_table::service_key;
use crate::gateway::admission::placement::{Demand, usable_tokens};
use crate::gateway::admission::queue::KvPool;
use crate::gateway::context::State;

/// What the requests of a service ask for and hold at all gateways, by urgency.
pub(super) struct Classes {
    shares: Shares,
    /// Tokens that placements may fill at all engines.
    capacity: u64,
    /// Time for which a request holds its tokens.
    residence: Duration,
}

impl Classes {
    /// Sums the figures of this gateway and of those that it hears. Returns `None` if the requests of the service
    /// all have one urgency.
    pub(super) fn new(state: &State, now: Time, service: &Service, model: &Model) -> Option<Self> {
        if !state.urgencies.has_several(service) {
            return None;
        }
        let own = state.shares.get(service).map(|shares| shares.figures(now));
        let key = service_key(service);
        let others = state.loads.class_figures_at_peers(key);
        let shares: Shares = own.into_iter().flatten().chain(others).collect();
        let shares = shares.scaled(state.loads.unheard_factor(now));
        let engines = state.directory.usable(service, Some(Stage::Decode), None);
        let serving = engines.filter(|e| !e.health.is_ejected(now) && !e.is_switching(now));
        let engines = u64::try_from(serving.count()).unwrap_or(u64::MAX);
        let times = state.service_times.get(service).copied();
        Some(Self {
            shares,
            capacity: engines.saturating_mul(usable_tokens(model).into()),
            residence: times.unwrap_or_default().residence(),
        })
    }

    /// Returns whether a request of this urgency may take KV cache. One that may take some may take as much as it
    /// needs, so that large prompts are not refused more often than small ones.
    pub(super) fn has_room(&self, urgency: Urgency) -> bool {
        let room = self.shares.room(urgency, self.capacity, self.residence);
        room.is_none_or(|room| room > 0)
    }

    /// Estimates how long a request waits until its class has room.
    pub(super) fn estimate_wait(&self, urgency: Urgency, demand: Demand) -> Duration {
        let Some(part) = self.shares.part(urgency, self.capacity, self.residence) else {
            return Duration::ZERO;
        };
        let held = self.shares.held(urgency);
        let excess = held.saturating_sub(part);
        let (_, own) = self.shares.waiting(urgency);
        let pool = KvPool {
            free: part.saturating_sub(held),
            used: held,
            // On average, half of the waiting requests of the class are served first.
            ahead: (own / 2).saturating_add(excess),
        };
        pool.estimate_wait(demand, self.residence)
    }

    /// Returns the tokens of waiting requests that are served before one of this urgency: all of more urgent
    /// ones and, on average, half of its own class.
    pub(super) fn waiting_ahead(&self, urgency: Urgency) -> u64 {
        let (more_urgent, own) = self.shares.waiting(urgency);
        more_urgent.saturating_add(own / 2)
    }
}
