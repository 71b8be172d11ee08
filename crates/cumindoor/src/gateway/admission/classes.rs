//! The classes of a service: its requests of equal urgency.
//!
//! See `docs/design/contention.md`. A service whose requests all have one urgency has no classes.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use border::Routing;
use coord::name::Service;
use coord::share::Urgency;
use coord::time::Time;

use crate::gateway::admission::load_table::{ClassReport, Key, service_key};
use crate::gateway::context::{Context, State};

/// The last priority that upstreams know.
const LAST_LEVEL: u8 = 9;

/// The urgencies of the requests that a configuration allows, for services that have several.
#[derive(Clone, Debug, Default)]
pub struct Urgencies(BTreeMap<Service, Vec<Urgency>>);

impl Urgencies {
    /// Finds the urgencies that requests of each service may have.
    #[must_use]
    pub fn new(routing: &Routing) -> Self {
        let organisations = routing.organisations.as_deref();
        let own: BTreeSet<Option<u8>> = organisations
            .into_iter()
            .flatten()
            .map(|def| def.priority)
            .collect();
        let mut all: BTreeMap<Service, BTreeSet<Urgency>> = BTreeMap::new();
        for route in &routing.routes {
            let without_key = organisations.is_none() || route.allows_anonymous;
            let anonymous = without_key.then_some(None);
            for (service, _) in &route.targets {
                let priorities = own.iter().copied().chain(anonymous);
                let found = priorities.map(|priority| Urgency::new(priority, route.priority));
                all.entry(service.clone()).or_default().extend(found);
            }
        }
        let several = all.into_iter().filter(|(_, found)| found.len() > 1);
        Self(
            several
                .map(|(service, found)| (service, found.into_iter().collect()))
                .collect(),
        )
    }

    /// Returns whether the requests of a service have several urgencies.
    #[must_use]
    pub fn has_several(&self, service: &Service) -> bool {
        self.0.contains_key(service)
    }

    /// Returns the priority at the upstreams of a service, or `None` if its requests all have one urgency.
    #[must_use]
    pub fn level(&self, service: &Service, urgency: Urgency) -> Option<u8> {
        let all = self.0.get(service)?;
        let before = all.partition_point(|other| *other < urgency);
        Some(u8::try_from(before).unwrap_or(u8::MAX).min(LAST_LEVEL))
    }
}

/// Tokens that a request of some urgency holds; dropping it releases them.
pub struct ClassHold {
    ctx: Arc<Context>,
    service: Service,
    urgency: Urgency,
    tokens: u32,
}

impl ClassHold {
    /// Counts the tokens of a request, or returns `None` if the requests of its service all have one urgency.
    #[must_use]
    pub fn new(
        ctx: &Arc<Context>,
        service: &Service,
        urgency: Urgency,
        tokens: u32,
    ) -> Option<Self> {
        let mut state = ctx.state();
        state.class_shares(service)?.hold(urgency, tokens);
        Some(Self {
            ctx: Arc::clone(ctx),
            service: service.clone(),
            urgency,
            tokens,
        })
    }
}

impl Drop for ClassHold {
    fn drop(&mut self) {
        let mut state = self.ctx.state();
        if let Some(shares) = state.shares.get_mut(&self.service) {
            shares.release(self.urgency, self.tokens);
        }
    }
}

/// Returns what a digest says of the classes of each service that has several.
#[must_use]
pub(in crate::gateway) fn reports(state: &State, now: Time) -> Vec<(Key, ClassReport)> {
    let several = state
        .shares
        .iter()
        .filter(|(service, _)| state.urgencies.has_several(service));
    let reports = several.map(|(service, shares)| {
        let queue = state.queues.get(service);
        let report = ClassReport {
            first: queue.and_then(|queue| queue.first_urgency(now)),
            figures: shares.figures(now),
        };
        (service_key(service), report)
    });
    reports
        .filter(|(_, report)| *report != ClassReport::default())
        .collect()
}
