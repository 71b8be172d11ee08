//! How current a copy of watched data is, and when a member of a fleet checks it.
//!
//! A member that keeps a copy of a store's data learns changes from a watch, a call that is answered at the
//! next change. A watch that the store did not receive, or whose answer was lost, looks like one without a
//! change. Each copy is therefore checked against the store within [`MAX_CHECK_DELAY`]. One check serves the
//! whole fleet: the member that made it reports how current its copy is, and a member whose copy holds the
//! same changes counts as checked too. The cost of checks therefore does not grow with the fleet. See
//! `docs/decisions/store-checks.md`.
//!
//! # Example
//!
//! ```
//! use std::time::Duration;
//!
//! use coord::freshness::Freshness;
//! use coord::time::Time;
//!
//! // Two copies were read at revision 40, and one of them is checked later.
//! let (mut checked, mut other) = (Freshness::default(), Freshness::default());
//! checked.record_read(Time::ZERO, 40);
//! other.record_read(Time::ZERO, 40);
//! let now = Time::from_millis(700);
//! checked.record_check(now, 43);
//!
//! assert!(!other.apply(now, &checked.report(now).unwrap()));
//! assert_eq!(other.verified(), Some(now));
//!
//! // A copy that does not hold a change which another one reports is behind.
//! checked.record_changes(45, Some(45));
//! assert!(other.apply(now, &checked.report(now).unwrap()));
//! assert!(other.is_behind());
//! ```

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::time::Time;

/// Time after the latest check of a copy before which no member makes the next one.
pub const MIN_CHECK_DELAY: Duration = Duration::from_secs(1);
/// Time after the latest check at which each member makes one that heard of none. The platform gives a change
/// two seconds to take effect, and the members that missed it have to be told within the rest of that time.
pub const MAX_CHECK_DELAY: Duration = Duration::from_millis(1_250);

/// States that the sender's copy held all changes at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FreshnessReport {
    /// No change was made after this revision until that time.
    pub last_change: u64,
    /// Milliseconds since that time.
    pub age_ms: u32,
}

/// How current one copy is.
///
/// Delays of reports in the network make the time of a check look later by as much.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Freshness {
    /// The copy holds all changes up to this revision.
    revision: u64,
    /// No change is known between this revision and `revision`.
    last_change: u64,
    /// The copy holds all changes that were made before this time; `None` before it was read.
    verified: Option<Time>,
    /// Revision of the latest change that others report.
    reported: u64,
}

impl Freshness {
    /// Records that the whole data was read at a revision, by a call that began at `started`.
    pub fn record_read(&mut self, started: Time, revision: u64) {
        self.revision = revision;
        // A deletion before the read left no trace in the data.
        self.last_change = revision;
        self.verify(started);
    }

    /// Records the answer to a watch, with the revision of the latest change in it. It is not known when the
    /// store answered.
    pub fn record_changes(&mut self, revision: u64, last_change: Option<u64>) {
        self.revision = revision.max(self.revision);
        self.last_change = last_change.unwrap_or_default().max(self.last_change);
    }

    /// Records that a check, a call that began at `started`, found no change up to a revision.
    pub fn record_check(&mut self, started: Time, revision: u64) {
        self.record_changes(revision, None);
        self.verify(started);
    }

    /// The store itself was asked, so a report of a change that it does not show no longer counts.
    fn verify(&mut self, at: Time) {
        self.verified = self.verified.max(Some(at));
        self.reported = 0;
    }

    /// Applies the report of another member. Returns whether the copy lacks a change that is reported.
    pub fn apply(&mut self, now: Time, report: &FreshnessReport) -> bool {
        if report.last_change > self.revision {
            self.reported = report.last_change.max(self.reported);
            return true;
        }
        // All changes until the time of the report are at most as new as `last_change`, and this copy holds them.
        if self.verified.is_some() {
            let at = now - Duration::from_millis(report.age_ms.into());
            self.verified = self.verified.max(Some(at));
        }
        false
    }

    /// Returns what to report to the other members, or `None` before the data was read.
    #[must_use]
    pub fn report(&self, now: Time) -> Option<FreshnessReport> {
        let age = now.since(self.verified?).as_millis();
        Some(FreshnessReport {
            last_change: self.last_change,
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
        })
    }

    /// Returns the time before which all changes are in the copy, or `None` before it was read.
    #[must_use]
    pub fn verified(&self) -> Option<Time> {
        self.verified
    }

    /// Returns whether the copy holds all changes up to a revision.
    #[must_use]
    pub fn holds(&self, revision: u64) -> bool {
        revision <= self.revision
    }

    /// Returns whether another member reports a change that this copy does not hold.
    #[must_use]
    pub fn is_behind(&self) -> bool {
        self.reported > self.revision
    }
}

/// Returns the time after the latest check at which a member makes the next one, for a number `draw` that the
/// member chose at random from 0 to 1.
///
/// Most members get a delay close to the longest one, and about one of them a shorter one, whatever the size
/// of the fleet: the delays are distributed exponentially, as is usual for the suppression of repeated
/// reports in a multicast group. Equally distributed delays would let the more members check before the first
/// report arrives, the more there are.
#[must_use]
pub fn check_delay(members: usize, draw: f64) -> Duration {
    let members = f64::from(u32::try_from(members.max(1)).unwrap_or(u32::MAX));
    let rate = 1.0 + members.ln();
    let share = (draw * rate.exp_m1()).ln_1p() / rate;
    let range = MAX_CHECK_DELAY.saturating_sub(MIN_CHECK_DELAY);
    MIN_CHECK_DELAY + range.mul_f64(share.clamp(0.0, 1.0))
}
