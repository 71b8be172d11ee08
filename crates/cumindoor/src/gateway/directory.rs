//! The upstreams as this gateway believes them to be.

use std::collections::BTreeMap;
use std::time::Duration;

use border::{Change, Stage, UpstreamEntry};
use coord::name::{Service, Upstream};
use coord::time::Time;
use derive_more::Display;

use super::health::Health;
use super::load_table::{Key, upstream_key};

/// One upstream.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Its name.
    pub name: Upstream,
    /// Its key on the [`Board`](super::board::Board).
    pub key: Key,
    /// What it published.
    pub entry: UpstreamEntry,
    /// What became of the last requests.
    pub health: Health,
    /// Until when it changes its stage by an order.
    switching: Time,
    /// Whether this gateway gave that order; only then it tells others.
    ordered: bool,
    /// When its entry was lost during an outage of the store.
    missing: Option<Time>,
}

/// What became known, for log lines.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum UpstreamChange {
    /// An upstream appeared.
    #[display("new")]
    New,
    /// It started again under the same name, or moved.
    #[display("restarted")]
    Restarted,
    /// It leaves.
    #[display("leaving")]
    Leaving,
    /// It is gone.
    #[display("gone")]
    Gone,
    /// Its entry is gone, but may come back after the outage.
    #[display("missing")]
    Missing,
    /// Its entry cannot be read, so it names no upstream.
    #[display("malformed")]
    Malformed,
    /// Something else of it changed.
    #[display("changed")]
    Changed,
}

/// All upstreams.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    upstreams: BTreeMap<Upstream, Endpoint>,
    /// Until then, entries that vanish may come back.
    grace_until: Time,
    complete: bool,
}

impl Endpoint {
    /// Returns whether it changes its stage at present.
    #[must_use]
    pub fn is_switching(&self, now: Time) -> bool {
        now < self.switching
    }
}

impl Directory {
    /// Returns whether the list has been read as a whole once.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Notes that the store answers again after an outage: entries may have lapsed meanwhile.
    pub fn begin_grace(&mut self, now: Time, grace: Duration) {
        self.grace_until = now + grace;
    }

    /// Takes one published change.
    pub fn apply(&mut self, now: Time, change: Change) -> Option<(Upstream, UpstreamChange)> {
        match change {
            Change::Upstream(name, Ok(entry)) => {
                let applied = self.insert(&name, entry)?;
                Some((name, applied))
            }
            Change::Upstream(name, Err(_)) => {
                self.upstreams.remove(&name);
                Some((name, UpstreamChange::Malformed))
            }
            Change::Deleted(name) => {
                let applied = self.remove(now, &name)?;
                Some((name, applied))
            }
            Change::Routing(_) | Change::Other => None,
        }
    }

    /// Takes the whole list.
    pub fn replace(&mut self, now: Time, changes: Vec<Change>) -> Vec<(Upstream, UpstreamChange)> {
        let listed: Vec<Upstream> = changes
            .iter()
            .filter_map(|change| match change {
                Change::Upstream(name, _) => Some(name.clone()),
                _ => None,
            })
            .collect();
        let vanished = self.upstreams.keys().filter(|name| !listed.contains(name));
        let vanished: Vec<Upstream> = vanished.cloned().collect();
        let mut applied = Vec::new();
        for name in vanished {
            if let Some(change) = self.remove(now, &name) {
                applied.push((name, change));
            }
        }
        for change in changes {
            applied.extend(self.apply(now, change));
        }
        self.complete = true;
        applied
    }

    /// Drops entries that did not come back in time.
    pub fn expire(&mut self, now: Time) -> Vec<Upstream> {
        if now < self.grace_until {
            return Vec::new();
        }
        let expired = self
            .upstreams
            .values()
            .filter(|endpoint| endpoint.missing.is_some());
        let expired: Vec<Upstream> = expired.map(|endpoint| endpoint.name.clone()).collect();
        for name in &expired {
            self.upstreams.remove(name);
        }
        expired
    }

    /// Returns an upstream.
    #[must_use]
    pub fn get(&self, name: &Upstream) -> Option<&Endpoint> {
        self.upstreams.get(name)
    }

    /// Returns an upstream, to note what became of a request.
    pub fn get_mut(&mut self, name: &Upstream) -> Option<&mut Endpoint> {
        self.upstreams.get_mut(name)
    }

    /// Returns the upstreams of a service that take new requests for a stage.
    pub fn usable<'a, 's>(
        &'a self,
        service: &'s Service,
        stage: Option<Stage>,
    ) -> impl Iterator<Item = &'a Endpoint> + use<'a, 's> {
        let fits = move |endpoint: &&Endpoint| {
            let entry = &endpoint.entry;
            entry.service == *service && entry.stage == stage && !entry.draining
        };
        self.upstreams.values().filter(fits)
    }

    /// Returns the upstreams of a service that do not leave, whatever their stage.
    pub fn not_draining<'a>(&'a self, service: &'a Service) -> impl Iterator<Item = &'a Endpoint> {
        let fits = move |e: &&Endpoint| e.entry.service == *service && !e.entry.draining;
        self.upstreams.values().filter(fits)
    }

    /// Notes that an upstream changes its stage until `until` by an order of this gateway.
    pub fn set_switching(&mut self, name: &Upstream, until: Time) {
        if let Some(endpoint) = self.upstreams.get_mut(name) {
            endpoint.switching = until;
            endpoint.ordered = true;
        }
    }

    /// As [`Self::switching`], by the key that other gateways use.
    pub fn set_switching_by_key(&mut self, key: Key, until: Time) {
        let mut all = self.upstreams.values_mut();
        if let Some(endpoint) = all.find(|endpoint| endpoint.key == key) {
            endpoint.switching = until;
            endpoint.ordered = false;
        }
    }

    /// Returns the upstreams that change their stage, with the milliseconds that are left.
    #[must_use]
    pub fn ordered_switches(&self, now: Time) -> Vec<(Key, u32)> {
        let switching = self
            .upstreams
            .values()
            .filter(|endpoint| endpoint.ordered && endpoint.is_switching(now));
        let left = |endpoint: &Endpoint| endpoint.switching.since(now).as_millis();
        switching
            .map(|e| (e.key, u32::try_from(left(e)).unwrap_or(u32::MAX)))
            .collect()
    }

    /// Returns the upstreams whose requests failed lately, with the share in hundredths.
    #[must_use]
    pub fn failing(&self, now: Time) -> Vec<(Key, u8)> {
        /// Shares below this say more about single requests than about the upstream.
        const MIN_REPORTED_RATE: f64 = 0.2;
        let all = self.upstreams.values();
        let all = all.map(|endpoint| (endpoint.key, endpoint.health.failure_rate(now)));
        let failing = all.filter(|(_, rate)| *rate >= MIN_REPORTED_RATE);
        failing.map(|(key, rate)| (key, percent(rate))).collect()
    }

    /// Returns all upstreams.
    pub fn all(&self) -> impl Iterator<Item = &Endpoint> {
        self.upstreams.values()
    }

    fn insert(&mut self, name: &Upstream, entry: UpstreamEntry) -> Option<UpstreamChange> {
        let Some(endpoint) = self.upstreams.get_mut(name) else {
            let endpoint = Endpoint {
                key: upstream_key(name),
                name: name.clone(),
                entry,
                health: Health::default(),
                switching: Time::ZERO,
                ordered: false,
                missing: None,
            };
            self.upstreams.insert(name.clone(), endpoint);
            return Some(UpstreamChange::New);
        };
        endpoint.missing = None;
        if endpoint.entry == entry {
            return None;
        }
        let old = std::mem::replace(&mut endpoint.entry, entry);
        let new = &endpoint.entry;
        if old.stage != new.stage {
            endpoint.switching = Time::ZERO;
        }
        if (old.start_ms, old.address) != (new.start_ms, new.address) {
            endpoint.health = Health::default();
            return Some(UpstreamChange::Restarted);
        }
        if new.draining && !old.draining {
            return Some(UpstreamChange::Leaving);
        }
        Some(UpstreamChange::Changed)
    }

    fn remove(&mut self, now: Time, name: &Upstream) -> Option<UpstreamChange> {
        let endpoint = self.upstreams.get_mut(name)?;
        if now < self.grace_until && !endpoint.entry.draining {
            endpoint.missing.get_or_insert(now);
            return Some(UpstreamChange::Missing);
        }
        self.upstreams.remove(name);
        Some(UpstreamChange::Gone)
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a share is between 0 and 1"
)]
fn percent(share: f64) -> u8 {
    (share * 100.0).round().clamp(0.0, 100.0) as u8
}
