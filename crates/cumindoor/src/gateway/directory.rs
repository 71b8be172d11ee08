//! The upstreams as this gateway believes them to be.

use std::collections::BTreeMap;
use std::time::Duration;

use border::{Change, Stage, UpstreamEntry};
use coord::name::{Service, Upstream};
use coord::time::Time;
use derive_more::Display;

use super::board::{Key, upstream_key};
use super::health::Health;

/// One upstream.
#[derive(Clone, Debug)]
pub struct Known {
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
pub enum News {
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
    upstreams: BTreeMap<Upstream, Known>,
    /// Until then, entries that vanish may come back.
    lenient: Time,
    complete: bool,
}

impl Known {
    /// Returns whether it changes its stage at present.
    #[must_use]
    pub fn is_switching(&self, now: Time) -> bool {
        now < self.switching
    }
}

impl Directory {
    /// Returns whether the list has been read as a whole once.
    #[must_use]
    pub fn complete(&self) -> bool {
        self.complete
    }

    /// Notes that the store answers again after an outage: entries may have lapsed meanwhile.
    pub fn regained(&mut self, now: Time, regain: Duration) {
        self.lenient = now + regain;
    }

    /// Takes one published change.
    pub fn apply(&mut self, now: Time, change: Change) -> Option<(Upstream, News)> {
        match change {
            Change::Upstream(name, Ok(entry)) => {
                let news = self.put(&name, entry)?;
                Some((name, news))
            }
            Change::Upstream(name, Err(_)) => {
                self.upstreams.remove(&name);
                Some((name, News::Malformed))
            }
            Change::Gone(name) => {
                let news = self.drop(now, &name)?;
                Some((name, news))
            }
            Change::Routing(_) | Change::Other => None,
        }
    }

    /// Takes the whole list.
    pub fn replace(&mut self, now: Time, changes: Vec<Change>) -> Vec<(Upstream, News)> {
        let listed: Vec<Upstream> = changes
            .iter()
            .filter_map(|change| match change {
                Change::Upstream(name, _) => Some(name.clone()),
                _ => None,
            })
            .collect();
        let vanished = self.upstreams.keys().filter(|name| !listed.contains(name));
        let vanished: Vec<Upstream> = vanished.cloned().collect();
        let mut news = Vec::new();
        for name in vanished {
            if let Some(change) = self.drop(now, &name) {
                news.push((name, change));
            }
        }
        for change in changes {
            news.extend(self.apply(now, change));
        }
        self.complete = true;
        news
    }

    /// Drops entries that did not come back in time.
    pub fn expire(&mut self, now: Time) -> Vec<Upstream> {
        if now < self.lenient {
            return Vec::new();
        }
        let lost = self.upstreams.values().filter(|k| k.missing.is_some());
        let lost: Vec<Upstream> = lost.map(|known| known.name.clone()).collect();
        for name in &lost {
            self.upstreams.remove(name);
        }
        lost
    }

    /// Returns an upstream.
    #[must_use]
    pub fn get(&self, name: &Upstream) -> Option<&Known> {
        self.upstreams.get(name)
    }

    /// Returns an upstream, to note what became of a request.
    pub fn get_mut(&mut self, name: &Upstream) -> Option<&mut Known> {
        self.upstreams.get_mut(name)
    }

    /// Returns the upstreams of a service that take new requests for a stage.
    pub fn usable<'a, 's>(
        &'a self,
        service: &'s Service,
        stage: Option<Stage>,
    ) -> impl Iterator<Item = &'a Known> + use<'a, 's> {
        let fits = move |known: &&Known| {
            let entry = &known.entry;
            entry.service == *service && entry.stage == stage && !entry.leaving
        };
        self.upstreams.values().filter(fits)
    }

    /// Returns the upstreams of a service that do not leave, whatever their stage.
    pub fn usable_any<'a>(&'a self, service: &'a Service) -> impl Iterator<Item = &'a Known> {
        let fits = move |known: &&Known| known.entry.service == *service && !known.entry.leaving;
        self.upstreams.values().filter(fits)
    }

    /// Notes that an upstream changes its stage until `until` by an order of this gateway.
    pub fn switching(&mut self, name: &Upstream, until: Time) {
        if let Some(known) = self.upstreams.get_mut(name) {
            known.switching = until;
            known.ordered = true;
        }
    }

    /// As [`Self::switching`], by the key that other gateways use.
    pub fn switching_key(&mut self, key: Key, until: Time) {
        let mut all = self.upstreams.values_mut();
        if let Some(known) = all.find(|known| known.key == key) {
            known.switching = until;
            known.ordered = false;
        }
    }

    /// Returns the upstreams that change their stage, with the milliseconds that are left.
    #[must_use]
    pub fn switches(&self, now: Time) -> Vec<(Key, u32)> {
        let switching = self
            .upstreams
            .values()
            .filter(|k| k.ordered && k.is_switching(now));
        let left = |known: &Known| known.switching.since(now).as_millis();
        switching
            .map(|known| (known.key, u32::try_from(left(known)).unwrap_or(u32::MAX)))
            .collect()
    }

    /// Returns the upstreams whose requests failed lately, with the share in hundredths.
    #[must_use]
    pub fn failing(&self, now: Time) -> Vec<(Key, u8)> {
        /// Shares below this say more about single requests than about the upstream.
        const LEAST: f64 = 0.2;
        let rates = self.upstreams.values();
        let rates = rates.map(|known| (known.key, known.health.failure_rate(now)));
        let failing = rates.filter(|(_, rate)| *rate >= LEAST);
        failing.map(|(key, rate)| (key, percent(rate))).collect()
    }

    /// Returns all upstreams.
    pub fn all(&self) -> impl Iterator<Item = &Known> {
        self.upstreams.values()
    }

    fn put(&mut self, name: &Upstream, entry: UpstreamEntry) -> Option<News> {
        let Some(known) = self.upstreams.get_mut(name) else {
            let known = Known {
                key: upstream_key(name),
                name: name.clone(),
                entry,
                health: Health::default(),
                switching: Time::ZERO,
                ordered: false,
                missing: None,
            };
            self.upstreams.insert(name.clone(), known);
            return Some(News::New);
        };
        known.missing = None;
        if known.entry == entry {
            return None;
        }
        let old = std::mem::replace(&mut known.entry, entry);
        let new = &known.entry;
        if old.stage != new.stage {
            known.switching = Time::ZERO;
        }
        if (old.start, old.address) != (new.start, new.address) {
            known.health = Health::default();
            return Some(News::Restarted);
        }
        if new.leaving && !old.leaving {
            return Some(News::Leaving);
        }
        Some(News::Changed)
    }

    fn drop(&mut self, now: Time, name: &Upstream) -> Option<News> {
        let known = self.upstreams.get_mut(name)?;
        if now < self.lenient && !known.entry.leaving {
            known.missing.get_or_insert(now);
            return Some(News::Missing);
        }
        self.upstreams.remove(name);
        Some(News::Gone)
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
