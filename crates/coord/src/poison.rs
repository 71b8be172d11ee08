//! Requests that bring upstreams down, and how they are stopped.
//!
//! When an upstream dies, each fingerprint that ran on it gets a charge. A charged request runs
//! alone on an engine, one suspect per cell at a time. After its second charge it is refused for
//! 10 min. See `docs/design.md`, section 6.6.
//!
//! # Example
//!
//! ```
//! use coord::poison::{Suspects, Verdict};
//! use coord::time::Time;
//!
//! let (now, bad) = (Time::ZERO, 17);
//! let mut suspects = Suspects::new(Default::default());
//! assert_eq!(suspects.admit(now, bad), Verdict::Run);
//!
//! suspects.upstream_died(now, &[bad]);
//! assert_eq!(suspects.admit(now, bad), Verdict::Isolate);
//! suspects.upstream_died(now, &[bad]);
//!
//! assert!(matches!(suspects.admit(now, bad), Verdict::Refuse { .. }));
//! ```

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::hash::hash128;
use crate::name::{Organisation, Service};
use crate::time::Time;

/// Charges after which a request is refused.
const LIMIT: u8 = 2;

/// Computes the fingerprint of a request. Its parts are separated by their lengths, so that no
/// two different requests give the same bytes.
#[must_use]
pub fn fingerprint(organisation: &Organisation, service: &Service, body: &[u8]) -> u128 {
    let (organisation, service) = (organisation.as_str(), service.as_str());
    let mut bytes = Vec::with_capacity(body.len() + organisation.len() + service.len() + 16);
    for part in [organisation.as_bytes(), service.as_bytes()] {
        bytes.extend_from_slice(&(part.len() as u64).to_be_bytes());
        bytes.extend_from_slice(part);
    }
    bytes.extend_from_slice(body);
    hash128(&bytes)
}

/// Settings of the protection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoisonOptions {
    /// Time for which a charge counts.
    pub kept: Duration,
    /// Fingerprints that one VM remembers. The oldest is dropped first, so that callers who
    /// crash many upstreams cannot fill the memory.
    pub limit: usize,
    /// Charges in one message to a peer: 64 take about 2 KB.
    pub batch: usize,
}

impl Default for PoisonOptions {
    fn default() -> Self {
        Self {
            kept: Duration::from_mins(10),
            limit: 4_096,
            batch: 64,
        }
    }
}

/// How a request may run.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Verdict {
    /// Like any other request.
    #[display("run")]
    Run,
    /// Alone on an engine; [`Suspects::done`] ends it.
    #[display("run alone")]
    Isolate,
    /// Not yet: another suspect of the cell is running.
    #[display("wait")]
    Wait,
    /// Not at all.
    #[display("refuse")]
    Refuse {
        /// When the last charge expires.
        retry_after: Duration,
    },
}

/// What one VM tells another about a fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Charge {
    /// The fingerprint.
    pub fingerprint: u128,
    /// Upstreams that died while they ran it, at most 2.
    pub charges: u8,
    /// Time since the last charge; instants of two clocks cannot be compared.
    pub age: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    charges: u8,
    charged: Time,
}

/// The fingerprints that a VM knows to be suspicious.
#[derive(Clone, Debug)]
pub struct Suspects {
    options: PoisonOptions,
    entries: BTreeMap<u128, Entry>,
    /// The fingerprint that runs alone at present.
    alone: Option<u128>,
    /// Changes that peers have to hear, oldest first.
    news: Vec<u128>,
}

impl Suspects {
    /// Creates a table without suspects.
    #[must_use]
    pub const fn new(options: PoisonOptions) -> Self {
        Self {
            options,
            entries: BTreeMap::new(),
            alone: None,
            news: Vec::new(),
        }
    }

    /// Decides how a request may run; call it directly before each start, retries included.
    pub fn admit(&mut self, now: Time, fingerprint: u128) -> Verdict {
        let entry = self.entries.get(&fingerprint).copied();
        let Some(entry) = entry.filter(|entry| self.counts(now, entry)) else {
            return Verdict::Run;
        };
        if entry.charges >= LIMIT {
            let retry_after = (entry.charged + self.options.kept).since(now);
            return Verdict::Refuse { retry_after };
        }
        if self.alone.is_some() {
            return Verdict::Wait;
        }
        self.alone = Some(fingerprint);
        Verdict::Isolate
    }

    /// Notes that a request ended while its upstream lived. A suspect that ran alone was not the
    /// cause: its charge is dropped here, and expires at peers.
    pub fn done(&mut self, fingerprint: u128) {
        if self.alone == Some(fingerprint) {
            self.alone = None;
            self.entries.remove(&fingerprint);
        }
    }

    /// Notes that a request which ran alone was cancelled or failed for another reason: nothing
    /// is known about it.
    pub fn stopped(&mut self, fingerprint: u128) {
        if self.alone == Some(fingerprint) {
            self.alone = None;
        }
    }

    /// Charges each fingerprint that ran on a dead upstream once, however many requests had it.
    ///
    /// Returns the charged fingerprints: cancel their other copies, which run on other upstreams.
    pub fn upstream_died(&mut self, now: Time, running: &[u128]) -> BTreeSet<u128> {
        let suspects: BTreeSet<u128> = running.iter().copied().collect();
        for fingerprint in &suspects {
            self.stopped(*fingerprint);
            let earlier = self.entries.get(fingerprint);
            let earlier = earlier.filter(|entry| self.counts(now, entry));
            let charges = earlier.map_or(0, |entry| entry.charges) + 1;
            self.put(now, *fingerprint, charges.min(LIMIT));
            self.news.push(*fingerprint);
        }
        suspects
    }

    /// Returns the next message for peers; empty if there is nothing new. Send it to the VMs next
    /// in order of ownership before the request is retried.
    pub fn news(&mut self, now: Time) -> Vec<Charge> {
        let count = self.news.len().min(self.options.batch);
        let next: BTreeSet<u128> = self.news.drain(..count).collect();
        let known = next.iter().filter_map(|f| Some((f, self.entries.get(f)?)));
        let charge = |(fingerprint, entry): (&u128, &Entry)| Charge {
            fingerprint: *fingerprint,
            charges: entry.charges,
            age: now.since(entry.charged),
        };
        known.map(charge).collect()
    }

    /// Takes over a peer's charges. The higher number counts; they are not added, because both
    /// may stand for the same deaths.
    pub fn receive(&mut self, now: Time, charges: &[Charge]) {
        for charge in charges.iter().take(self.options.batch) {
            let own = self.entries.get(&charge.fingerprint).copied();
            let own = own.filter(|entry| self.counts(now, entry));
            let higher = own.is_none_or(|entry| entry.charges < charge.charges);
            if higher && charge.age < self.options.kept {
                let charges = charge.charges.min(LIMIT);
                self.put(now - charge.age, charge.fingerprint, charges);
                self.news.push(charge.fingerprint);
            }
        }
    }

    /// Drops what has expired.
    pub fn tick(&mut self, now: Time) {
        let kept = self.options.kept;
        self.entries
            .retain(|_, entry| now.since(entry.charged) < kept);
    }

    /// Returns the number of fingerprints, for metrics.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether nothing is suspicious.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn counts(&self, now: Time, entry: &Entry) -> bool {
        now.since(entry.charged) < self.options.kept
    }

    fn put(&mut self, at: Time, fingerprint: u128, charges: u8) {
        let entry = Entry {
            charges,
            charged: at,
        };
        self.entries.insert(fingerprint, entry);
        if self.entries.len() > self.options.limit {
            let oldest = self.entries.iter().min_by_key(|(_, entry)| entry.charged);
            if let Some(oldest) = oldest.map(|(fingerprint, _)| *fingerprint) {
                self.entries.remove(&oldest);
            }
        }
    }
}
