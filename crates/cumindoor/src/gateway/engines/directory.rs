//! The upstreams known to this gateway.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use border::{Change, Stage, UpstreamEntry};
use coord::hash::hash64;
use coord::limit::LimitKey;
use coord::name::{Service, Upstream};
use coord::origin::{BuildKey, build_key};
use coord::time::Time;
use derive_more::Display;

use crate::gateway::admission::load_table::{Key, service_key, upstream_key};
use crate::gateway::admission::placement::Choice;
use crate::gateway::engines::health::Health;
use crate::gateway::engines::speeds::Speeds;
use crate::gateway::engines::statements::Statements;

/// An upstream as this gateway sees it: its published entry and the results of recent requests.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Name under which the upstream registered.
    pub name: Upstream,
    /// Key of the upstream in the [`LoadTable`](crate::gateway::admission::load_table::LoadTable).
    pub key: Key,
    /// Key of this start of the upstream in the table of rate limits. One that starts anew, or an upstream at
    /// a used address, has named nothing yet.
    pub limit_key: LimitKey,
    /// Key of the version of its software, which belongs to this start as well.
    pub build: BuildKey,
    /// Entry that the upstream published in the store.
    pub entry: UpstreamEntry,
    /// Health derived from the results of recent requests.
    pub health: Health,
    /// Time until which the engine is expected to be switching its stage.
    switching_until: Time,
    /// Whether this gateway ordered the switch. Only the gateway that gave the order reports the
    /// switch to its peers.
    ordered_here: bool,
    /// Until when an entry may return that disappeared during the grace period after a store outage.
    missing_until: Option<Time>,
}

/// The effect of a store change on an upstream, for log events.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum UpstreamChange {
    /// The upstream is new.
    #[display("new")]
    New,
    /// The upstream restarted under the same name or changed its address.
    #[display("restarted")]
    Restarted,
    /// The upstream started to drain.
    #[display("leaving")]
    Draining,
    /// The upstream was removed.
    #[display("gone")]
    Removed,
    /// The entry disappeared during the grace period after a store outage and may return.
    #[display("missing")]
    Missing,
    /// The entry cannot be parsed, so the upstream was removed.
    #[display("malformed")]
    Malformed,
    /// Another field of the entry changed.
    #[display("changed")]
    Changed,
}

/// All upstreams known to this gateway.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    upstreams: BTreeMap<Upstream, Endpoint>,
    /// What upstreams state about themselves in their answers.
    pub statements: Statements,
    /// End of the grace period during which entries that disappear are kept, except those of
    /// draining upstreams.
    grace_until: Time,
    /// When the outage of the store began that still lasts.
    outage_since: Option<Time>,
    complete: bool,
    /// How long work takes at each upstream.
    pub speeds: Speeds,
}

impl Endpoint {
    /// Returns whether the engine is switching its stage.
    #[must_use]
    pub fn is_switching(&self, now: Time) -> bool {
        now < self.switching_until
    }
}

impl Directory {
    /// Returns whether the full list has been read from the store at least once.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Records that the store became unavailable. Entries that are missing cannot return meanwhile.
    pub fn begin_outage(&mut self, now: Time) {
        self.outage_since.get_or_insert(now);
    }

    /// Records that the store is available again, and starts a grace period, since entries may have expired without
    /// their upstreams being gone. Entries that were missing before get no more than the rest of theirs, so that none
    /// is kept for ever by a store that is lost again and again.
    pub fn end_outage(&mut self, now: Time, grace: Duration) {
        self.grace_until = now + grace;
        let Some(since) = self.outage_since.take() else {
            return;
        };
        let lost = now.since(since);
        let missing = self.upstreams.values_mut();
        for until in missing.filter_map(|endpoint| endpoint.missing_until.as_mut()) {
            *until = *until + lost;
        }
    }

    /// Applies one change from the store.
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

    /// Replaces the directory with a full listing from the store.
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

    /// Removes entries that did not return within the grace period, and returns their names.
    pub fn expire(&mut self, now: Time) -> Vec<Upstream> {
        let upstreams = &self.upstreams;
        let is_listed = |key| upstreams.values().any(|endpoint| endpoint.limit_key == key);
        self.statements.expire(now, is_listed);
        self.speeds.expire(now, is_listed);
        if self.outage_since.is_some() {
            return Vec::new();
        }
        let is_over =
            |endpoint: &&Endpoint| endpoint.missing_until.is_some_and(|until| now >= until);
        let expired = self.upstreams.values().filter(is_over);
        let expired: Vec<Upstream> = expired.map(|endpoint| endpoint.name.clone()).collect();
        for name in &expired {
            self.upstreams.remove(name);
        }
        expired
    }

    /// Returns the upstream with this name.
    #[must_use]
    pub fn get(&self, name: &Upstream) -> Option<&Endpoint> {
        self.upstreams.get(name)
    }

    /// Returns whether a choice that was made earlier still holds: the upstream has not started anew, moved,
    /// changed its service or stage, begun to leave or disappeared.
    #[must_use]
    pub fn is_current(&self, choice: &Choice) -> bool {
        self.upstreams.get(&choice.name).is_some_and(|endpoint| {
            let entry = &endpoint.entry;
            let same = endpoint.limit_key == choice.limit_key && entry.service == choice.service;
            same && entry.stage == choice.stage && !self.is_leaving(endpoint)
        })
    }

    /// Returns whether the upstream is known to have started anew with another version of its software since
    /// a choice. One that has disappeared has not.
    #[must_use]
    pub fn has_other_build(&self, choice: &Choice) -> bool {
        let endpoint = self.upstreams.get(&choice.name);
        endpoint.is_some_and(|endpoint| endpoint.build != choice.build)
    }

    /// Returns whether an upstream is leaving, by its entry or by its own statement.
    #[must_use]
    pub fn is_leaving(&self, endpoint: &Endpoint) -> bool {
        endpoint.entry.draining || self.statements.is_leaving(endpoint.limit_key)
    }

    /// Returns the upstream with this name for an update of its health.
    pub fn get_mut(&mut self, name: &Upstream) -> Option<&mut Endpoint> {
        self.upstreams.get_mut(name)
    }

    /// Returns the upstreams of a service at a stage that are not leaving, of one build or of any.
    /// Upstreams of plain services have no stage.
    pub fn usable<'a, 's>(
        &'a self,
        service: &'s Service,
        stage: Option<Stage>,
        build: Option<BuildKey>,
    ) -> impl Iterator<Item = &'a Endpoint> + use<'a, 's> {
        let fits = move |endpoint: &&Endpoint| {
            let entry = &endpoint.entry;
            let is_of_build = build.is_none_or(|build| endpoint.build == build);
            let serves = entry.service == *service && entry.stage == stage && is_of_build;
            serves && !self.is_leaving(endpoint)
        };
        self.upstreams.values().filter(fits)
    }

    /// Returns the upstreams of a service that are not leaving, at any stage.
    pub fn not_draining<'a>(&'a self, service: &'a Service) -> impl Iterator<Item = &'a Endpoint> {
        let fits = move |e: &&Endpoint| e.entry.service == *service && !self.is_leaving(e);
        self.upstreams.values().filter(fits)
    }

    /// Records that an engine switches its stage until `until` by an order of this gateway.
    pub fn set_switching(&mut self, name: &Upstream, until: Time) {
        if let Some(endpoint) = self.upstreams.get_mut(name) {
            endpoint.switching_until = until;
            endpoint.ordered_here = true;
        }
    }

    /// Records a switch that another gateway ordered, with the engine given by its key.
    pub fn set_switching_by_key(&mut self, key: Key, until: Time) {
        let mut all = self.upstreams.values_mut();
        if let Some(endpoint) = all.find(|endpoint| endpoint.key == key) {
            endpoint.switching_until = until;
            endpoint.ordered_here = false;
        }
    }

    /// Returns the engines that are switching by an order of this gateway, each with the
    /// milliseconds that remain.
    #[must_use]
    pub fn ordered_switches(&self, now: Time) -> Vec<(Key, u32)> {
        let switching = self
            .upstreams
            .values()
            .filter(|endpoint| endpoint.ordered_here && endpoint.is_switching(now));
        let left = |endpoint: &Endpoint| endpoint.switching_until.since(now).as_millis();
        switching
            .map(|e| (e.key, u32::try_from(left(e)).unwrap_or(u32::MAX)))
            .collect()
    }

    /// Returns the upstreams with recent failures, each with its failure rate in percent.
    #[must_use]
    pub fn failing(&self, now: Time) -> Vec<(Key, u8)> {
        /// Failure rate below which an upstream is not reported to peers, because such a rate says
        /// more about single requests than about the upstream.
        const MIN_REPORTED_RATE: f64 = 0.2;
        let all = self.upstreams.values();
        let all = all.map(|endpoint| (endpoint.key, endpoint.health.failure_rate(now)));
        let failing = all.filter(|(_, rate)| *rate >= MIN_REPORTED_RATE);
        failing.map(|(key, rate)| (key, percent(rate))).collect()
    }

    /// Forgets the failures of a service's upstreams, because they were this gateway's own.
    pub fn clear_health(&mut self, service: &Service) {
        let mut all = self.upstreams.values_mut();
        while let Some(endpoint) = all.find(|endpoint| endpoint.entry.service == *service) {
            endpoint.health = Health::default();
        }
    }

    /// Returns the services with these keys that have upstreams.
    #[must_use]
    pub fn services(&self, keys: &[Key]) -> BTreeSet<Service> {
        if keys.is_empty() {
            return BTreeSet::new();
        }
        let services = self.upstreams.values().map(|e| &e.entry.service);
        let named = services.filter(|service| keys.contains(&service_key(service)));
        named.cloned().collect()
    }

    /// Returns the upstreams whose entries disappeared and may return.
    pub fn missing(&self) -> impl Iterator<Item = &Endpoint> {
        let all = self.upstreams.values();
        all.filter(|endpoint| endpoint.missing_until.is_some())
    }

    /// Returns all upstreams.
    pub fn all(&self) -> impl Iterator<Item = &Endpoint> {
        self.upstreams.values()
    }

    fn insert(&mut self, name: &Upstream, mut entry: UpstreamEntry) -> Option<UpstreamChange> {
        let Some(endpoint) = self.upstreams.get_mut(name) else {
            let endpoint = Endpoint {
                key: upstream_key(name),
                limit_key: limit_key(name, &entry),
                build: build_key(entry.service.as_str(), &entry.version),
                name: name.clone(),
                entry,
                health: Health::default(),
                switching_until: Time::ZERO,
                ordered_here: false,
                missing_until: None,
            };
            self.upstreams.insert(name.clone(), endpoint);
            return Some(UpstreamChange::New);
        };
        endpoint.missing_until = None;
        // An entry that lacks the time of the start, such as that of another writer, tells of no new one.
        entry.start_ms = entry.start_ms.or(endpoint.entry.start_ms);
        if endpoint.entry == entry {
            return None;
        }
        let old = std::mem::replace(&mut endpoint.entry, entry);
        let new = &endpoint.entry;
        if old.stage != new.stage {
            endpoint.switching_until = Time::ZERO;
        }
        endpoint.build = build_key(new.service.as_str(), &new.version);
        // Software is not replaced under a running process.
        let start = |entry: &UpstreamEntry| (entry.start_ms, entry.address, entry.version.clone());
        if start(&old) != start(new) {
            endpoint.health = Health::default();
            endpoint.limit_key = limit_key(name, new);
            return Some(UpstreamChange::Restarted);
        }
        if new.draining && !old.draining {
            return Some(UpstreamChange::Draining);
        }
        Some(UpstreamChange::Changed)
    }

    fn remove(&mut self, now: Time, name: &Upstream) -> Option<UpstreamChange> {
        let leaving = self.is_leaving(self.upstreams.get(name)?);
        let endpoint = self.upstreams.get_mut(name)?;
        if now < self.grace_until && !leaving {
            endpoint.missing_until.get_or_insert(self.grace_until);
            return Some(UpstreamChange::Missing);
        }
        self.upstreams.remove(name);
        Some(UpstreamChange::Removed)
    }
}

fn limit_key(name: &Upstream, entry: &UpstreamEntry) -> LimitKey {
    let start = entry.start_ms.unwrap_or_default();
    let (name, address, version) = (name.as_str(), entry.address, &entry.version);
    hash64(format!("{name}|{address}|{start}|{version}").as_bytes())
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a share is between 0 and 1"
)]
fn percent(share: f64) -> u8 {
    (share * 100.0).round().clamp(0.0, 100.0) as u8
}
