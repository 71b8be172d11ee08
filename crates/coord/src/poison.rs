//! Protection of upstreams against poison requests, which crash every upstream that runs them.
//!
//! When an upstream crashes, one crash is counted for each fingerprint (hash of a request) that
//! ran on it. A request with one crash is a suspect: it runs alone on an engine, and each cell
//! runs one suspect at a time. After the second crash the request is refused for 10 min. See
//! `docs/design.md`, section 6.6.
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
//! suspects.upstream_crashed(now, &[bad]);
//! assert_eq!(suspects.admit(now, bad), Verdict::Isolate);
//! suspects.upstream_crashed(now, &[bad]);
//!
//! assert!(matches!(suspects.admit(now, bad), Verdict::Refuse { .. }));
//! ```

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::hash::hash128;
use crate::time::Time;

/// Number of crashes after which a request is refused.
const MAX_CRASHES: u8 = 2;

/// Computes the fingerprint of a request from the parts that are the same each time that its caller
/// sends it, such as the caller's name, the service and the body.
///
/// The parts are prefixed with their lengths, so that two different requests never hash the same
/// bytes.
#[must_use]
pub fn fingerprint(parts: &[&[u8]]) -> u128 {
    let length: usize = parts.iter().map(|part| part.len() + 8).sum();
    let mut bytes = Vec::with_capacity(length);
    for part in parts {
        bytes.extend_from_slice(&(part.len() as u64).to_be_bytes());
        bytes.extend_from_slice(part);
    }
    hash128(&bytes)
}

/// Settings of the protection against poison requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoisonOptions {
    /// Time after the last crash for which the crashes of a fingerprint count.
    pub retention: Duration,
    /// Maximum number of fingerprints that one VM stores. Beyond it the oldest is dropped, so
    /// that callers that crash many upstreams cannot exhaust the memory.
    pub max_entries: usize,
    /// Maximum number of records in one message to a peer: 64 records take about 2 KB.
    pub max_batch: usize,
}

impl Default for PoisonOptions {
    fn default() -> Self {
        Self {
            retention: Duration::from_mins(10),
            max_entries: 4_096,
            max_batch: 64,
        }
    }
}

/// The decision on how a request may run.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Verdict {
    /// Runs like any other request.
    #[display("run")]
    Run,
    /// Runs alone on an engine until [`Suspects::completed`] or [`Suspects::aborted`] is called.
    #[display("run alone")]
    Isolate,
    /// Has to wait, because another suspect of the cell is running.
    #[display("wait")]
    Wait,
    /// Is refused, because it has reached the maximum number of crashes.
    #[display("refuse")]
    Refuse {
        /// Time until its crashes expire.
        retry_after: Duration,
    },
}

/// The crashes of one fingerprint, as sent from one VM to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecord {
    /// The fingerprint, as computed by [`fingerprint`].
    pub fingerprint: u128,
    /// Number of upstreams that crashed while they ran the request, at most 2.
    #[serde(rename = "charges")]
    pub crashes: u8,
    /// Time since the last crash. It is a duration because the clocks of two VMs cannot be
    /// compared.
    pub age: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    crashes: u8,
    last_crash: Time,
}

/// The fingerprints with crashes that one VM knows.
#[derive(Clone, Debug)]
pub struct Suspects {
    options: PoisonOptions,
    entries: BTreeMap<u128, Entry>,
    /// The fingerprint that is running alone.
    isolated: Option<u128>,
    /// Changed fingerprints that have not been sent to peers yet, oldest first.
    unsent: Vec<u128>,
}

impl Suspects {
    /// Creates an empty table.
    #[must_use]
    pub const fn new(options: PoisonOptions) -> Self {
        Self {
            options,
            entries: BTreeMap::new(),
            isolated: None,
            unsent: Vec::new(),
        }
    }

    /// Decides how a request may run. Call it directly before each start, including retries.
    pub fn admit(&mut self, now: Time, fingerprint: u128) -> Verdict {
        let entry = self.entries.get(&fingerprint).copied();
        let Some(entry) = entry.filter(|entry| self.is_current(now, entry)) else {
            return Verdict::Run;
        };
        if entry.crashes >= MAX_CRASHES {
            let retry_after = (entry.last_crash + self.options.retention).since(now);
            return Verdict::Refuse { retry_after };
        }
        if self.isolated.is_some() {
            return Verdict::Wait;
        }
        self.isolated = Some(fingerprint);
        Verdict::Isolate
    }

    /// Records that a request ended without a crash of its upstream.
    ///
    /// A suspect that ran alone was not the cause of the earlier crash: its record is removed
    /// from this table, and expires at peers.
    pub fn completed(&mut self, fingerprint: u128) {
        if self.isolated == Some(fingerprint) {
            self.isolated = None;
            self.entries.remove(&fingerprint);
        }
    }

    /// Records that a request was cancelled or failed without a crash of its upstream.
    ///
    /// This does not show whether a suspect that ran alone is harmless, so its record stays.
    pub fn aborted(&mut self, fingerprint: u128) {
        if self.isolated == Some(fingerprint) {
            self.isolated = None;
        }
    }

    /// Counts one crash for each fingerprint that ran on a crashed upstream, however many
    /// requests had the fingerprint.
    ///
    /// Returns these fingerprints. The caller must cancel requests with these fingerprints that run
    /// on other upstreams.
    pub fn upstream_crashed(&mut self, now: Time, running: &[u128]) -> BTreeSet<u128> {
        let suspects: BTreeSet<u128> = running.iter().copied().collect();
        for fingerprint in &suspects {
            self.aborted(*fingerprint);
            let earlier = self.entries.get(fingerprint);
            let earlier = earlier.filter(|entry| self.is_current(now, entry));
            let crashes = earlier.map_or(0, |entry| entry.crashes) + 1;
            self.put(now, *fingerprint, crashes.min(MAX_CRASHES));
            self.unsent.push(*fingerprint);
        }
        suspects
    }

    /// Returns the next message for peers, which is empty if nothing has changed.
    ///
    /// Send it to the VMs that are next in order of ownership before the request is retried.
    pub fn next_update(&mut self, now: Time) -> Vec<CrashRecord> {
        let count = self.unsent.len().min(self.options.max_batch);
        let next: BTreeSet<u128> = self.unsent.drain(..count).collect();
        let known = next.iter().filter_map(|f| Some((f, self.entries.get(f)?)));
        let record = |(fingerprint, entry): (&u128, &Entry)| CrashRecord {
            fingerprint: *fingerprint,
            crashes: entry.crashes,
            age: now.since(entry.last_crash),
        };
        known.map(record).collect()
    }

    /// Merges the records of a peer.
    ///
    /// The higher number of crashes is kept. The numbers are not added, because both may count
    /// the same crashes.
    pub fn merge(&mut self, now: Time, records: &[CrashRecord]) {
        for record in records.iter().take(self.options.max_batch) {
            let own = self.entries.get(&record.fingerprint).copied();
            let own = own.filter(|entry| self.is_current(now, entry));
            let higher = own.is_none_or(|entry| entry.crashes < record.crashes);
            if higher && record.age < self.options.retention {
                let crashes = record.crashes.min(MAX_CRASHES);
                self.put(now - record.age, record.fingerprint, crashes);
                self.unsent.push(record.fingerprint);
            }
        }
    }

    /// Removes expired records.
    pub fn tick(&mut self, now: Time) {
        let retention = self.options.retention;
        self.entries
            .retain(|_, entry| now.since(entry.last_crash) < retention);
    }

    /// Returns the number of stored fingerprints, expired ones included until the next
    /// [`Suspects::tick`].
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no fingerprint is stored.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn is_current(&self, now: Time, entry: &Entry) -> bool {
        now.since(entry.last_crash) < self.options.retention
    }

    fn put(&mut self, at: Time, fingerprint: u128, crashes: u8) {
        let entry = Entry {
            crashes,
            last_crash: at,
        };
        self.entries.insert(fingerprint, entry);
        if self.entries.len() > self.options.max_entries {
            let oldest = self
                .entries
                .iter()
                .min_by_key(|(_, entry)| entry.last_crash);
            if let Some(oldest) = oldest.map(|(fingerprint, _)| *fingerprint) {
                self.entries.remove(&oldest);
            }
        }
    }
}
