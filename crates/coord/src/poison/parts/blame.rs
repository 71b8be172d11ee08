//! Which parts explain the crashes that are known.

use std::collections::{BTreeMap, BTreeSet};

use super::super::UpstreamStart;
use super::super::entry::{Crash, counted};
use crate::time::Time;

/// Number of crashes that must be left unexplained by rarer parts for a part to be convicted. One crash
/// that a part shared with other causes does not convict it.
const MIN_UNEXPLAINED: usize = 2;

/// Number of crashes beside those that count, because runs overlapped, that count as one more. Many engines
/// that crash at once under one part may have another cause, but one crash on trial after that is
/// enough.
const OVERLAPPING: usize = 4;

/// The crashes at which a part ran.
pub(super) type Crashes = BTreeMap<UpstreamStart, Crash>;

/// What the crashes of a part show.
#[derive(Clone, Debug)]
pub(super) struct Blame {
    /// Crashes one after the other, and one more if there were many at once.
    pub(super) crashes: usize,
    /// Whether requests with the part are refused.
    pub(super) convicted: bool,
    /// The last crash.
    pub(super) last: Time,
    /// The parts that ran at each of its crashes, and at others perhaps.
    pub(super) companions: Vec<u128>,
}

/// Decides which parts are to blame.
///
/// Sound requests share the first part with bad ones, so it runs at all of their crashes. A part is
/// therefore not convicted if rarer parts with enough crashes, each of which ran only when it did, explain
/// its crashes.
pub(super) fn judge(
    accused: &BTreeMap<u128, Crashes>,
    max_crashes: usize,
) -> BTreeMap<u128, Blame> {
    let count = |crashes: &Crashes| {
        let count = counted(crashes.iter()).len();
        count + usize::from(crashes.len() - count >= OVERLAPPING)
    };
    let counts: BTreeMap<u128, usize> = accused.iter().map(|(p, c)| (*p, count(c))).collect();
    let convictable = accused.iter().filter(|(p, _)| counts[*p] >= max_crashes);
    let convictable: Vec<(&u128, &Crashes)> = convictable.collect();
    let blame = |(part, crashes): (&u128, &Crashes)| {
        let last = crashes.values().map(|crash| crash.at).max()?;
        let convicted = counts[part] >= max_crashes && {
            let rarer = convictable
                .iter()
                .filter(|(_, other)| other.len() < crashes.len() && contains(crashes, other));
            let explained: BTreeSet<_> = rarer.flat_map(|(_, other)| other.keys()).collect();
            let unexplained = crashes.iter().filter(|(c, _)| !explained.contains(c));
            counted(unexplained).len() >= MIN_UNEXPLAINED
        };
        let companions = if convicted {
            let others = accused.iter().filter(|(other, _)| *other != part);
            let always_there = others.filter(|(_, other)| contains(other, crashes));
            always_there.map(|(other, _)| *other).collect()
        } else {
            Vec::new()
        };
        let crashes = counts[part];
        let blame = Blame {
            crashes,
            convicted,
            last,
            companions,
        };
        Some((*part, blame))
    };
    accused.iter().filter_map(blame).collect()
}

/// Returns whether all crashes of `subset` are in `crashes`.
fn contains(crashes: &Crashes, subset: &Crashes) -> bool {
    subset.len() <= crashes.len() && subset.keys().all(|crashed| crashes.contains_key(crashed))
}
