//! Protection of upstreams against poison requests, which crash every upstream that runs them.
//!
//! When an upstream crashes, one crash is counted for each fingerprint (hash of a request) that
//! ran on it. Each VM sees only the crashes of its own requests, and a caller may send its request
//! through any VM, so VMs exchange what they have seen, and crashes of different upstreams add up. A
//! request that runs without a crash is cleared. See `docs/design.md`, section 6.6.
//!
//! A table is lost with its process, and all tables at once if all VMs are lost. A table that was told nothing by an older
//! one may lack crashes, and a request would crash as many upstreams as before after each such loss. For
//! [`PoisonOptions::unknown_past`], the first crash of a request therefore counts like the last one before a refusal,
//! unless the request ran to its end since. See `docs/incidents/forgotten-crashes.md`.
//!
//! In a cell, a request with one crash is a suspect: it runs alone on an engine, and each cell runs
//! one suspect at a time. After the second crash the request is refused for 10 min.
//!
//! # Example
//!
//! ```
//! use std::time::Duration;
//!
//! use coord::poison::{Suspects, UpstreamStart, Verdict};
//! use coord::time::Time;
//!
//! let (now, bad) = (Time::ZERO, 17);
//! let crashed = |upstream: &str| UpstreamStart::new(upstream.into(), 0);
//! let mut suspects = Suspects::new("vm-1".into(), Default::default());
//! assert_eq!(suspects.admit(now, bad), Verdict::Run);
//!
//! suspects.upstream_crashed(now, &crashed("engine-1"), Duration::ZERO, &[bad]);
//! assert_eq!(suspects.admit(now, bad), Verdict::Isolate);
//! suspects.upstream_crashed(now, &crashed("engine-2"), Duration::ZERO, &[bad]);
//!
//! assert!(matches!(suspects.admit(now, bad), Verdict::Refuse { .. }));
//! ```

mod completions;
mod crash_log;
mod entry;
mod parts;
mod types;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use completions::Completions;
use crash_log::CrashLog;
use entry::{CLEARED_RETENTION, Crash, Entry, MAX_SIGHTINGS, is_expired, record, sightings};
pub use parts::{PartOptions, PartStanding, PartSuspects, is_part, part_fingerprint};
pub use types::{CrashRecord, PoisonOptions, Sighting, UpstreamStart, Verdict};

use crate::hash::hash128_of;
use crate::name::VmName;
use crate::time::Time;

/// Factor by which each crash beyond the limit lengthens the refusal.
const HOLD_FACTOR: u32 = 4;

/// Computes the fingerprint of a request from the parts that are the same each time that its caller
/// sends it, such as the caller's name, the service and the body.
///
/// The parts are prefixed with their lengths, so that two different requests never hash the same
/// bytes.
#[must_use]
pub fn fingerprint(parts: &[&[u8]]) -> u128 {
    let lengths: Vec<[u8; 8]> = parts
        .iter()
        .map(|part| (part.len() as u64).to_be_bytes())
        .collect();
    let prefixed = lengths.iter().zip(parts);
    hash128_of(prefixed.flat_map(|(length, part)| [length.as_slice(), part]))
}

/// The fingerprints with crashes that one VM knows.
#[derive(Clone, Debug)]
pub struct Suspects {
    vm: VmName,
    options: PoisonOptions,
    entries: BTreeMap<u128, Entry>,
    log: CrashLog,
    /// Time on the table's own clock from which on all crashes are known.
    since: Time,
    /// Requests that ran to their end while earlier crashes may be unknown.
    completions: Completions,
    /// The fingerprint that is running alone.
    isolated: Option<u128>,
    /// Changed fingerprints that have not been sent to peers yet, oldest first.
    unsent: Vec<u128>,
    /// The fingerprint after which the next [`Suspects::next_page`] begins.
    page: Option<u128>,
}

impl Suspects {
    /// Creates an empty table of a VM.
    #[must_use]
    pub fn new(vm: VmName, options: PoisonOptions) -> Self {
        Self {
            vm,
            since: Time::ZERO + options.retention,
            options,
            entries: BTreeMap::new(),
            log: CrashLog::default(),
            completions: Completions::default(),
            isolated: None,
            unsent: Vec::new(),
            page: None,
        }
    }

    /// Records that there is no past to be unknown, because the whole fleet starts for the first time.
    pub fn remember_all(&mut self) {
        self.since = Time::ZERO;
    }

    /// Records that another table, whose records were merged, knows all crashes of the last `age`.
    pub fn learn_memory(&mut self, now: Time, age: Duration) {
        let told = self.shift(now) - age.min(self.options.retention);
        self.since = self.since.min(told);
    }

    /// Returns the time for which this table knows all crashes, [`PoisonOptions::retention`] at most.
    #[must_use]
    pub fn memory(&self, now: Time) -> Duration {
        let known = self.shift(now).since(self.since);
        known.min(self.options.retention)
    }

    /// Returns whether crashes of the recent past may be unknown.
    #[must_use]
    pub fn is_forgetful(&self, now: Time) -> bool {
        self.shift(now) < self.known_past()
    }

    /// Returns the time from which on a crash follows no unknown one.
    fn known_past(&self) -> Time {
        if self.options.unknown_past.is_zero() {
            return Time::ZERO;
        }
        self.since + self.options.unknown_past
    }

    /// Returns the number of crashes that are assumed to precede the first known one of these fingerprints.
    #[must_use]
    pub fn assumed(&self, now: Time, fingerprints: &[u128]) -> usize {
        let now = self.shift(now);
        let mut current = fingerprints
            .iter()
            .filter_map(|f| Some((f, self.current(now, *f)?)));
        let is_first = |entry: &Entry| entry.first_crash().is_some_and(|at| at < self.known_past());
        let is_assumed =
            current.any(|(f, entry)| is_first(entry) && !self.completions.contains(*f));
        if is_assumed {
            self.options.max_crashes.saturating_sub(1)
        } else {
            0
        }
    }

    /// Decides how a request may run in a cell. Call it directly before each start, including
    /// retries.
    pub fn admit(&mut self, now: Time, fingerprint: u128) -> Verdict {
        if self.crash_count(now, &[fingerprint]) == 0 {
            return Verdict::Run;
        }
        if let Some(retry_after) = self.refusal(now, &[fingerprint]) {
            return Verdict::Refuse { retry_after };
        }
        if self.isolated.is_some() {
            return Verdict::Wait;
        }
        self.isolated = Some(fingerprint);
        Verdict::Isolate
    }

    /// Returns the number of upstreams that crashed while they ran any of these fingerprints,
    /// which belong to the steps of one request.
    #[must_use]
    pub fn crash_count(&self, now: Time, fingerprints: &[u128]) -> usize {
        let now = self.shift(now);
        let current = fingerprints.iter().filter_map(|f| self.current(now, *f));
        current.map(|entry| entry.counted().len()).sum()
    }

    /// Returns the number of crashes that do not count towards a refusal.
    fn excused(&self, now: Time, fingerprints: &[u128]) -> usize {
        let (now, within) = (self.shift(now), self.options.coincidence);
        let current = fingerprints.iter().filter_map(|f| self.current(now, *f));
        let excused = |entry: &Entry| {
            let counted = entry.counted().into_iter();
            // Only upstreams that did not run the request point to another cause.
            let ran_it = |other: &UpstreamStart| entry.crashes.contains_key(other);
            let excused = counted.filter(|crashed| {
                let at = entry.crashes[*crashed].at;
                self.log.coincides(at, within, ran_it)
            });
            excused.count()
        };
        let count: usize = current.map(excused).sum();
        count.min(self.options.max_excused)
    }

    /// Returns how long a request with these fingerprints is still refused, or `None` if it may
    /// run.
    #[must_use]
    pub fn refusal(&self, now: Time, fingerprints: &[u128]) -> Option<Duration> {
        let count = self.crash_count(now, fingerprints) + self.assumed(now, fingerprints)
            - self.excused(now, fingerprints);
        let beyond = count.checked_sub(self.options.max_crashes)?;
        let beyond = u32::try_from(beyond).unwrap_or(u32::MAX);
        let now = self.shift(now);
        let hold = self.options.hold * HOLD_FACTOR.saturating_pow(beyond.min(8));
        let current = fingerprints.iter().filter_map(|f| self.current(now, *f));
        let last = current.filter_map(Entry::last_crash).max()?;
        let left = (last + hold).since(now);
        (!left.is_zero()).then_some(left)
    }

    /// Returns the crashes that count against these fingerprints, for log events.
    #[must_use]
    pub fn sightings(&self, now: Time, fingerprints: &[u128]) -> Vec<Sighting> {
        let now = self.shift(now);
        let current = fingerprints.iter().filter_map(|f| self.current(now, *f));
        current.flat_map(|entry| sightings(now, entry)).collect()
    }

    /// Records that a request ran to its end without a crash of its upstream, so it was not the
    /// cause of earlier crashes. Returns whether it had any.
    pub fn completed(&mut self, now: Time, fingerprint: u128) -> bool {
        if self.is_forgetful(now) {
            self.completions.add(fingerprint, self.options.max_entries);
        }
        let now = self.shift(now);
        self.aborted(fingerprint);
        let Some(entry) = self.entries.get_mut(&fingerprint) else {
            return false;
        };
        let had_crashes = !entry.crashes.is_empty();
        if had_crashes && entry.clear(now) {
            self.announce(&[fingerprint]);
        }
        had_crashes
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
    /// `ran` is the time for which the upstream had the requests, or zero if copies of one request
    /// never run at the same time.
    ///
    /// Returns these fingerprints. The caller must cancel requests with these fingerprints that run
    /// on other upstreams.
    pub fn upstream_crashed(
        &mut self,
        now: Time,
        crashed: &UpstreamStart,
        ran: Duration,
        running: &[u128],
    ) -> BTreeSet<u128> {
        let now = self.shift(now);
        let suspects: BTreeSet<u128> = running.iter().copied().collect();
        self.log.add(crashed, now);
        let mut changed = Vec::new();
        for fingerprint in &suspects {
            self.aborted(*fingerprint);
            self.drop_expired(now, *fingerprint);
            let entry = self.entries.entry(*fingerprint).or_default();
            let crash = Crash {
                at: now,
                ran,
                observer: self.vm.clone(),
            };
            if entry.add(crashed, crash) {
                changed.push(*fingerprint);
            }
        }
        self.evict();
        self.announce(&changed);
        suspects
    }

    /// Returns the next message for peers, which is empty if nothing has changed.
    ///
    /// Send it to the VMs that may receive the request next before it is retried.
    pub fn next_update(&mut self, now: Time) -> Vec<CrashRecord> {
        let now = self.shift(now);
        let count = self.unsent.len().min(self.options.max_batch);
        let next: BTreeSet<u128> = self.unsent.drain(..count).collect();
        let known = next.iter().filter_map(|f| Some((*f, self.entries.get(f)?)));
        known.map(|(f, entry)| record(now, f, entry)).collect()
    }

    /// Returns the next part of the table, in turn, for peers that missed an update or started
    /// later. Fingerprints that are refused come first in each part.
    pub fn next_page(&mut self, now: Time) -> Vec<CrashRecord> {
        let now = self.shift(now);
        let batch = self.options.max_batch;
        let known_past = self.known_past();
        let refused = |entry: &Entry| {
            let is_assumed = entry.first_crash().is_some_and(|at| at < known_past);
            is_assumed || entry.counted().len() >= self.options.max_crashes
        };
        let after = self.page.map_or(0, |page| page.wrapping_add(1));
        let in_turn = || {
            self.entries
                .range(after..)
                .chain(self.entries.range(..after))
        };
        let first = in_turn()
            .filter(|(_, entry)| refused(entry))
            .take(batch / 2);
        let first: BTreeSet<u128> = first.map(|(f, _)| *f).collect();
        let others = in_turn().filter(|(f, _)| !first.contains(f));
        let others: Vec<u128> = others.take(batch - first.len()).map(|(f, _)| *f).collect();
        self.page = others.last().copied();
        let all = first.iter().chain(&others);
        let known = all.filter_map(|f| Some((*f, self.entries.get(f)?)));
        known.map(|(f, entry)| record(now, f, entry)).collect()
    }

    /// Returns whether [`Suspects::next_update`] has something to send.
    #[must_use]
    pub fn has_updates(&self) -> bool {
        !self.unsent.is_empty()
    }

    /// Merges the records of a peer. Crashes of different upstreams add up, whichever VM saw them.
    ///
    /// Returns the fingerprints of which something new became known. Where updates do not go to all
    /// VMs, pass them to [`Suspects::announce`].
    pub fn merge(&mut self, now: Time, records: &[CrashRecord]) -> Vec<u128> {
        let now = self.shift(now);
        let mut changed = Vec::new();
        for record in records.iter().take(self.options.max_batch) {
            self.drop_expired(now, record.fingerprint);
            let entry = self.entries.entry(record.fingerprint).or_default();
            let cleared = record.cleared.filter(|age| *age < CLEARED_RETENTION);
            let mut news = cleared.is_some_and(|age| entry.clear(now - age));
            for sighting in record.sightings.iter().take(MAX_SIGHTINGS) {
                if sighting.age < self.options.retention {
                    self.log.add(&sighting.crashed, now - sighting.age);
                    let crash = Crash {
                        at: now - sighting.age,
                        ran: sighting.ran,
                        observer: sighting.observer.clone(),
                    };
                    news |= entry.add(&sighting.crashed, crash);
                }
            }
            if news {
                changed.push(record.fingerprint);
            } else if entry.crashes.is_empty() && entry.cleared.is_none() {
                self.entries.remove(&record.fingerprint);
            }
        }
        self.evict();
        changed
    }

    /// Removes expired records.
    pub fn tick(&mut self, now: Time) {
        // The first crashes of entries from that time are still judged by them.
        if !self.is_forgetful(now) && self.entries.is_empty() {
            self.completions = Completions::default();
        }
        let now = self.shift(now);
        let retention = self.options.retention;
        self.entries
            .retain(|_, entry| !is_expired(now, retention, entry));
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

    /// Returns the instant on the table's own clock, which is ahead by the retention time, so that
    /// crashes before the start of this process have an instant on it.
    fn shift(&self, now: Time) -> Time {
        now + self.options.retention
    }

    fn current(&self, now: Time, fingerprint: u128) -> Option<&Entry> {
        let entry = self.entries.get(&fingerprint)?;
        (!is_expired(now, self.options.retention, entry)).then_some(entry)
    }

    fn drop_expired(&mut self, now: Time, fingerprint: u128) {
        let retention = self.options.retention;
        let entry = self.entries.get(&fingerprint);
        if entry.is_some_and(|entry| is_expired(now, retention, entry)) {
            self.entries.remove(&fingerprint);
        }
    }

    /// Adds fingerprints to the next updates. Those beyond the limit are left to the pages.
    pub fn announce(&mut self, changed: &[u128]) {
        let room = self.options.max_entries.saturating_sub(self.unsent.len());
        self.unsent.extend(changed.iter().take(room));
    }

    fn evict(&mut self) {
        if self.entries.len() <= self.options.max_entries {
            return;
        }
        let kept = self.options.max_entries;
        let rank = |entry: &Entry| (entry.counted().len(), entry.last_crash());
        let mut ranked: Vec<_> = self.entries.iter().map(|(f, e)| (rank(e), *f)).collect();
        ranked.sort_unstable();
        for (_, fingerprint) in &ranked[..ranked.len() - kept] {
            self.entries.remove(fingerprint);
        }
    }
}
