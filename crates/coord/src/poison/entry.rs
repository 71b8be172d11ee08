//! What one VM knows of a fingerprint.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{CrashRecord, Sighting, UpstreamStart};
use crate::name::VmName;
use crate::time::Time;

/// Maximum number of crashes that are stored for one fingerprint.
pub(super) const MAX_SIGHTINGS: usize = 6;
/// Time for which a fingerprint that was cleared is remembered, so that records of its crashes that
/// are still on their way between VMs do not accuse it again.
pub(super) const CLEARED_RETENTION: Duration = Duration::from_mins(1);
/// Time by which a crash may seem to be later than it was, because it took that long to become known.
const REPORT_DELAY: Duration = Duration::from_millis(500);

/// A crash on the table's own clock.
#[derive(Clone, Debug)]
pub(super) struct Crash {
    pub(super) at: Time,
    /// Time for which the upstream had the request.
    pub(super) ran: Duration,
    pub(super) observer: VmName,
}

#[derive(Clone, Debug, Default)]
pub(super) struct Entry {
    pub(super) crashes: BTreeMap<UpstreamStart, Crash>,
    pub(super) cleared: Option<Time>,
}

impl Entry {
    pub(super) fn first_crash(&self) -> Option<Time> {
        self.crashes.values().map(|crash| crash.at).min()
    }

    pub(super) fn last_crash(&self) -> Option<Time> {
        self.crashes.values().map(|crash| crash.at).max()
    }

    /// Returns the crashes that count.
    pub(super) fn counted(&self) -> Vec<&UpstreamStart> {
        counted(self.crashes.iter())
    }

    /// Adds a crash unless it is known or the request ran without a crash later. Returns whether
    /// it is new.
    pub(super) fn add(&mut self, crashed: &UpstreamStart, crash: Crash) -> bool {
        let at = crash.at;
        let outdated = self
            .cleared
            .is_some_and(|cleared| at <= cleared + REPORT_DELAY);
        if let Some(known) = self.crashes.get_mut(crashed) {
            // Each hop makes a crash look younger than it is.
            known.at = known.at.min(at);
            return false;
        }
        if outdated {
            return false;
        }
        self.crashes.insert(crashed.clone(), crash);
        if self.crashes.len() <= MAX_SIGHTINGS {
            return true;
        }
        // One that does not count makes room, or else the new one.
        let counted: Vec<UpstreamStart> = self.counted().into_iter().cloned().collect();
        let mut spare = self.crashes.keys().filter(|known| !counted.contains(known));
        let dropped = spare.next().cloned().unwrap_or_else(|| crashed.clone());
        self.crashes.remove(&dropped);
        dropped != *crashed
    }

    /// Removes the crashes before the request ran without one. Returns whether that is news.
    pub(super) fn clear(&mut self, at: Time) -> bool {
        if self.cleared.is_some_and(|known| at <= known + REPORT_DELAY) {
            return false;
        }
        self.cleared = Some(at);
        self.crashes.retain(|_, crash| crash.at > at + REPORT_DELAY);
        true
    }
}

/// Returns the crashes that count: of runs that overlapped, only the one that ended first.
///
/// Copies of one request that run at the same time may all be lost for another reason, such as a
/// failed data centre. Only a run that began after a crash shows more than that crash did.
pub(super) fn counted<'a>(
    crashes: impl Iterator<Item = (&'a UpstreamStart, &'a Crash)>,
) -> Vec<&'a UpstreamStart> {
    let mut in_order: Vec<_> = crashes.collect();
    in_order.sort_by_key(|(_, crash)| crash.at);
    let mut counted = Vec::new();
    let mut last: Option<Time> = None;
    for (crashed, crash) in in_order {
        let began = crash.at - crash.ran;
        if last.is_none_or(|last| began >= last) {
            counted.push(crashed);
            last = Some(crash.at);
        }
    }
    counted
}

pub(super) fn is_expired(now: Time, retention: Duration, entry: &Entry) -> bool {
    let crashed = entry.last_crash();
    let crash_counts = crashed.is_some_and(|at| now.since(at) < retention);
    let cleared = entry.cleared;
    !crash_counts && cleared.is_none_or(|at| now.since(at) >= CLEARED_RETENTION)
}

pub(super) fn record(now: Time, fingerprint: u128, entry: &Entry) -> CrashRecord {
    CrashRecord {
        fingerprint,
        sightings: sightings(now, entry).collect(),
        cleared: entry.cleared.map(|at| now.since(at)),
    }
}

pub(super) fn sightings(now: Time, entry: &Entry) -> impl Iterator<Item = Sighting> {
    told(now, &entry.crashes)
}

/// Returns crashes as they are told to other VMs.
pub(super) fn told(
    now: Time,
    crashes: &BTreeMap<UpstreamStart, Crash>,
) -> impl Iterator<Item = Sighting> {
    crashes.iter().map(move |(crashed, crash)| Sighting {
        crashed: crashed.clone(),
        observer: crash.observer.clone(),
        ran: crash.ran,
        age: now.since(crash.at),
    })
}
