//! Parts of prompts that crash each upstream that begins to write an answer on them.
//!
//! No two requests with such a part are alike, and sound requests share their other parts and the
//! upstreams on which they run. So each crash accuses several parts, and what tells them apart is
//! which of them run without a crash, and which of them ran at other crashes too:
//!
//! - A part that ran to an answer is vouched for: it has no crashes, at any VM, and later crashes do
//!   not accuse it.
//! - A part is convicted after [`PartOptions::max_crashes`] crashes, unless rarer convictable parts
//!   explain them. Requests with it are refused if they also have all of its companions, the
//!   parts that ran at each of its crashes. A request without one of them is the experiment
//!   that tells which of them is at fault, so it runs on trial.
//!
//! See `docs/design.md`, section 6.6.

mod blame;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use blame::{Blame, Crashes, MAX_EVENTS, judge};
use derive_more::Display;

use super::entry::{Crash, told};
use super::{CrashRecord, HOLD_FACTOR, Sighting, UpstreamStart, fingerprint};
use crate::name::VmName;
use crate::time::Time;

/// The highest bits of the fingerprint of each part, so that records of parts can travel with those of
/// requests. The fingerprint of a request begins so by a chance of 1 in 4 billion.
const PART_TAG: u128 = 0x7061_7274 << 96;
/// The bits of the tag.
const PART_TAG_MASK: u128 = 0xffff_ffff << 96;
/// Share of the vouched parts that is dropped at once when there are too many: 1 in so many.
const DROPPED_SHARE: usize = 8;

/// Computes the fingerprint of a part of a prompt from its id alone: it crashes upstreams whatever else
/// the request holds, on any route and for any caller.
#[must_use]
pub fn part_fingerprint(id: &[u8]) -> u128 {
    (fingerprint(&[b"part", id]) & !PART_TAG_MASK) | PART_TAG
}

/// Returns whether a fingerprint is that of a part.
#[must_use]
pub fn is_part(fingerprint: u128) -> bool {
    fingerprint & PART_TAG_MASK == PART_TAG
}

/// Settings of the protection against parts that crash upstreams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartOptions {
    /// Number of crashes after which a part is convicted.
    pub max_crashes: usize,
    /// Time after its last crash for which requests with a convicted part are refused. Each further
    /// crash multiplies it by 4.
    pub hold: Duration,
    /// Time for which crashes count.
    pub retention: Duration,
    /// Time after a run to an answer for which crashes do not accuse the part.
    pub vouch_age: Duration,
    /// Maximum number of parts with crashes, and of parts that are vouched for.
    pub max_parts: usize,
    /// Maximum number of records in one message to a peer.
    pub max_batch: usize,
    /// Maximum number of crashes in all records of one message, unless one record has more.
    pub max_sightings: usize,
}

impl Default for PartOptions {
    fn default() -> Self {
        Self {
            max_crashes: 3,
            hold: Duration::from_secs(20),
            retention: Duration::from_hours(24),
            vouch_age: Duration::from_mins(10),
            max_parts: 4_096,
            max_batch: 16,
            max_sightings: 128,
        }
    }
}

/// How a request is treated because of the parts of its prompt.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum PartStanding {
    /// No part is accused.
    #[display("clear")]
    Clear,
    /// A part has one crash.
    #[display("suspect")]
    Suspect,
    /// A part has several crashes.
    #[display("on trial")]
    OnTrial,
    /// A part is convicted, and nothing in the request can tell it from its companions.
    #[display("refused")]
    Refused {
        /// The part.
        part: u128,
        /// Time until the request may run again.
        retry_after: Duration,
    },
}

/// The parts with crashes that one VM knows, and those that it vouches for.
#[derive(Clone, Debug)]
pub struct PartSuspects {
    vm: VmName,
    options: PartOptions,
    accused: BTreeMap<u128, Crashes>,
    /// When a part last ran to an answer.
    vouched: BTreeMap<u128, Time>,
    /// What the crashes of `accused` show.
    blames: BTreeMap<u128, Blame>,
    /// Changed parts that have not been sent to peers yet, oldest first.
    unsent: Vec<u128>,
    /// The part after which the next [`PartSuspects::next_page`] begins.
    page: Option<u128>,
}

impl PartSuspects {
    /// Creates an empty table of a VM.
    #[must_use]
    pub fn new(vm: VmName, options: PartOptions) -> Self {
        Self {
            vm,
            options,
            accused: BTreeMap::new(),
            vouched: BTreeMap::new(),
            blames: BTreeMap::new(),
            unsent: Vec::new(),
            page: None,
        }
    }

    /// Returns how a request with these parts is treated at present.
    #[must_use]
    pub fn standing(&self, now: Time, parts: &[u128]) -> PartStanding {
        let now = self.shift(now);
        let known = parts.iter().filter_map(|p| Some((*p, self.blames.get(p)?)));
        let known: BTreeMap<u128, &Blame> = known.collect();
        let standings = known.iter().map(|(part, blame)| {
            let beyond = blame.crashes.saturating_sub(self.options.max_crashes);
            let beyond = u32::try_from(beyond.min(8)).unwrap_or(0);
            let hold = self.options.hold * HOLD_FACTOR.saturating_pow(beyond);
            let retry_after = (blame.last + hold).since(now);
            let inseparable = blame.is_inseparable(known.values().copied());
            if blame.convicted && inseparable && !retry_after.is_zero() {
                let part = *part;
                PartStanding::Refused { part, retry_after }
            } else if blame.crashes > 1 {
                PartStanding::OnTrial
            } else {
                PartStanding::Suspect
            }
        });
        standings.max().unwrap_or(PartStanding::Clear)
    }

    /// Returns those of these parts that have crashes.
    #[must_use]
    pub fn accused(&self, parts: &[u128]) -> Vec<u128> {
        let accused = parts.iter().filter(|p| self.accused.contains_key(p));
        accused.copied().collect()
    }

    /// Returns the crashes of a part, for log events.
    #[must_use]
    pub fn sightings(&self, now: Time, part: u128) -> Vec<Sighting> {
        let now = self.shift(now);
        let crashes = self.accused.get(&part);
        crashes.map_or_else(Vec::new, |crashes| told(now, crashes).collect())
    }

    /// Records that these parts ran to an answer. Returns those that had crashes, which peers are told.
    pub fn vouch(&mut self, now: Time, parts: &[u128]) -> Vec<u128> {
        let now = self.shift(now);
        let mut cleared = Vec::new();
        for part in parts {
            self.vouched.insert(*part, now);
            if self.accused.remove(part).is_some() {
                cleared.push(*part);
            }
        }
        self.drop_oldest_vouched();
        if !cleared.is_empty() {
            self.announce(&cleared);
            self.judge();
        }
        cleared
    }

    /// Counts a crash of an upstream for these parts, which ran on it for the time `ran`. Returns those
    /// for which the crash is new.
    pub fn upstream_crashed(
        &mut self,
        now: Time,
        crashed: &UpstreamStart,
        ran: Duration,
        parts: &[u128],
    ) -> Vec<u128> {
        let now = self.shift(now);
        let crash = Crash {
            at: now,
            ran,
            observer: self.vm.clone(),
        };
        let mut changed = Vec::new();
        for part in parts.iter().collect::<BTreeSet<_>>() {
            if !self.is_vouched(now, *part) && self.accuse(*part, crashed, crash.clone()) {
                changed.push(*part);
            }
        }
        self.announce(&changed);
        self.limit();
        changed
    }

    /// Merges the records of a peer. Returns the parts of which something new became known.
    pub fn merge(&mut self, now: Time, records: &[CrashRecord]) -> Vec<u128> {
        let now = self.shift(now);
        let mut changed = Vec::new();
        let mut unheard = Vec::new();
        for record in records.iter().take(self.options.max_batch) {
            let part = record.fingerprint;
            let vouched = record.cleared.filter(|age| *age < self.options.vouch_age);
            if let Some(age) = vouched {
                let known = self.vouched.entry(part).or_insert(now - age);
                *known = (*known).max(now - age);
                if self.accused.remove(&part).is_some() {
                    changed.push(part);
                }
            } else if self.is_vouched(now, part) {
                // The peer has not heard of the run that cleared the part.
                unheard.push(part);
            } else {
                let mut news = false;
                for seen in record.sightings.iter().take(MAX_EVENTS) {
                    if seen.age < self.options.retention {
                        let crash = Crash {
                            at: now - seen.age,
                            ran: seen.ran,
                            observer: seen.observer.clone(),
                        };
                        news |= self.accuse(part, &seen.crashed, crash);
                    }
                }
                if news {
                    changed.push(part);
                }
            }
        }
        self.drop_oldest_vouched();
        self.announce(&unheard);
        self.limit();
        changed
    }

    /// Returns the next message for peers, which is empty if nothing has changed.
    pub fn next_update(&mut self, now: Time) -> Vec<CrashRecord> {
        let now = self.shift(now);
        let count = self.batch(&self.unsent);
        let next: Vec<u128> = self.unsent.drain(..count).collect();
        next.iter().filter_map(|p| self.record(now, *p)).collect()
    }

    /// Returns the next part of the table, in turn, for peers that missed an update or started
    /// later. Convicted parts come first.
    pub fn next_page(&mut self, now: Time) -> Vec<CrashRecord> {
        let now = self.shift(now);
        let after = self.page.map_or(0, |page| page.wrapping_add(1));
        let mut convicted = Vec::new();
        let mut others = Vec::new();
        let later = self.blames.range(after..);
        for (part, blame) in later.chain(self.blames.range(..after)) {
            if blame.convicted && convicted.len() < self.options.max_batch / 2 {
                convicted.push(*part);
            } else {
                others.push(*part);
            }
        }
        let mut all = convicted;
        let first = all.len();
        all.extend(others);
        let count = self.batch(&all);
        all.truncate(count);
        self.page = all[first.min(count)..].last().copied();
        all.iter().filter_map(|p| self.record(now, *p)).collect()
    }

    /// Returns whether [`PartSuspects::next_update`] has something to send.
    #[must_use]
    pub fn has_updates(&self) -> bool {
        !self.unsent.is_empty()
    }

    /// Removes expired crashes.
    pub fn tick(&mut self, now: Time) {
        let (now, retention) = (self.shift(now), self.options.retention);
        let is_old = |crash: &Crash| now.since(crash.at) >= retention;
        if self.accused.values().flat_map(BTreeMap::values).any(is_old) {
            for crashes in self.accused.values_mut() {
                crashes.retain(|_, crash| !is_old(crash));
            }
            self.limit();
        }
    }

    /// Returns the number of parts with crashes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.accused.len()
    }

    /// Returns whether no part has crashes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.accused.is_empty()
    }

    /// Returns the number of parts that are vouched for.
    #[must_use]
    pub fn vouched_count(&self) -> usize {
        self.vouched.len()
    }

    /// Returns the instant on the table's own clock, which is ahead by the retention time, so that
    /// crashes before the start of this process have an instant on it.
    fn shift(&self, now: Time) -> Time {
        now + self.options.retention
    }

    fn is_vouched(&self, now: Time, part: u128) -> bool {
        let at = self.vouched.get(&part);
        at.is_some_and(|at| now.since(*at) < self.options.vouch_age)
    }

    /// Adds a crash. Returns whether it is new.
    fn accuse(&mut self, part: u128, event: &UpstreamStart, crash: Crash) -> bool {
        let crashes = self.accused.entry(part).or_default();
        if let Some(known) = crashes.get_mut(event) {
            // Each hop makes a crash look younger than it is. Of several runs, the one that began last
            // shows most.
            known.at = known.at.min(crash.at);
            known.ran = known.ran.min(crash.ran);
            return false;
        }
        crashes.insert(event.clone(), crash);
        true
    }

    /// Adds parts to the next updates. Those beyond the limit are left to the pages.
    fn announce(&mut self, changed: &[u128]) {
        for part in changed {
            if self.unsent.len() < self.options.max_parts && !self.unsent.contains(part) {
                self.unsent.push(*part);
            }
        }
    }

    /// Returns how many of these parts fit into one message.
    fn batch(&self, parts: &[u128]) -> usize {
        let mut room = self.options.max_sightings;
        let fits = |part: &&u128| {
            let size = self.accused.get(part).map_or(0, BTreeMap::len);
            let fits = size <= room;
            room = room.saturating_sub(size);
            fits
        };
        let count = parts.iter().take_while(fits).count();
        count.max(1).min(self.options.max_batch).min(parts.len())
    }

    fn record(&self, now: Time, part: u128) -> Option<CrashRecord> {
        let vouched = self.vouched.get(&part).map(|at| now.since(*at));
        let cleared = vouched.filter(|age| *age < self.options.vouch_age);
        let crashes = self.accused.get(&part);
        (cleared.is_some() || crashes.is_some()).then(|| CrashRecord {
            fingerprint: part,
            sightings: crashes.map_or_else(Vec::new, |crashes| told(now, crashes).collect()),
            cleared,
        })
    }

    /// Drops what exceeds the bounds, and judges what is left.
    fn limit(&mut self) {
        self.drop_events();
        self.accused.retain(|_, crashes| !crashes.is_empty());
        if self.accused.len() > self.options.max_parts {
            let last = |crashes: &Crashes| crashes.values().map(|crash| crash.at).max();
            let rank = |(part, crashes): (&u128, &Crashes)| (crashes.len(), last(crashes), *part);
            let mut ranked: Vec<_> = self.accused.iter().map(rank).collect();
            ranked.sort_unstable();
            let excess = ranked.len() - self.options.max_parts;
            for (_, _, part) in &ranked[..excess] {
                self.accused.remove(part);
            }
        }
        self.judge();
    }

    /// Drops the crashes beyond the limit: first those at which no convicted part ran, and of these the
    /// oldest.
    fn drop_events(&mut self) {
        let mut events: BTreeMap<&UpstreamStart, (bool, Time)> = BTreeMap::new();
        for (part, crashes) in &self.accused {
            let convicted = self.blames.get(part).is_some_and(|blame| blame.convicted);
            for (event, crash) in crashes {
                let rank = events.entry(event).or_insert((false, crash.at));
                *rank = (rank.0 || convicted, rank.1.max(crash.at));
            }
        }
        let Some(excess) = events.len().checked_sub(MAX_EVENTS) else {
            return;
        };
        let mut ranked: Vec<_> = events
            .into_iter()
            .map(|(event, rank)| (rank, event))
            .collect();
        ranked.sort_unstable();
        let dropped = ranked.into_iter().take(excess);
        let dropped: Vec<UpstreamStart> = dropped.map(|(_, event)| event.clone()).collect();
        for crashes in self.accused.values_mut() {
            for event in &dropped {
                crashes.remove(event);
            }
        }
    }

    fn judge(&mut self) {
        self.blames = judge(&self.accused, self.options.max_crashes);
    }

    /// Drops the parts that have not been run for longest, several at once, so that the cost of each run
    /// does not grow with the table.
    fn drop_oldest_vouched(&mut self) {
        let max = self.options.max_parts;
        if self.vouched.len() <= max {
            return;
        }
        let mut ranked: Vec<_> = self.vouched.iter().map(|(part, at)| (*at, *part)).collect();
        ranked.sort_unstable();
        let excess = ranked.len() - max + max / DROPPED_SHARE;
        for (_, part) in &ranked[..excess] {
            self.vouched.remove(part);
        }
    }
}
