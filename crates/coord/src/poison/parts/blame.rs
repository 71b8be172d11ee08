//! Which parts explain the crashes that are known.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use super::super::UpstreamStart;
use super::super::entry::{Crash, counted};
use crate::time::Time;

/// Maximum number of crashes that are stored, one for each bit of [`Mask`]. One bound for all parts
/// keeps the crashes of different parts comparable.
pub(super) const MAX_EVENTS: usize = 32;
/// Number of crashes beside those that count, because runs overlapped, that count as one more. Many engines
/// that crash at once under one part may have another cause, but one crash on trial after that is
/// enough.
const OVERLAPPING: usize = 4;

/// Maximum number of sets of crashes of which any two are compared with the crashes of a part.
const MAX_PAIRED: usize = 32;

/// The crashes at which a part ran.
pub(super) type Crashes = BTreeMap<UpstreamStart, Crash>;

/// The same, with one bit for each stored crash.
type Mask = u32;

/// What the crashes of a part show.
#[derive(Clone, Debug)]
pub(super) struct Blame {
    /// Crashes one after the other, and one more if there were many at once.
    pub(super) crashes: usize,
    /// Whether requests with the part are refused.
    pub(super) convicted: bool,
    /// The last crash.
    pub(super) last: Time,
    mask: Mask,
    /// Number of parts that ran at each of its crashes, itself included.
    inseparable: usize,
}

impl Blame {
    /// Returns whether a request with parts that are blamed so has all parts that ran at each crash of
    /// this one, so that nothing tells which of them is at fault.
    pub(super) fn is_inseparable<'a>(&self, others: impl Iterator<Item = &'a Self>) -> bool {
        let companions = others.filter(|other| other.mask & self.mask == self.mask);
        companions.count() >= self.inseparable
    }
}

/// Decides which parts are to blame for at most [`MAX_EVENTS`] crashes.
///
/// Sound requests share the first part with bad ones, so it runs at all of their crashes. A part is
/// therefore convicted only if enough of its crashes are left when those are taken away that rarer parts
/// with enough crashes explain, each of which ran only when it did. While two rarer parts explain the rest,
/// those may be at fault, each of them with too few crashes, so more crashes are needed than both could have.
pub(super) fn judge(
    accused: &BTreeMap<u128, Crashes>,
    max_crashes: usize,
) -> BTreeMap<u128, Blame> {
    let events: BTreeSet<&UpstreamStart> = accused.values().flat_map(BTreeMap::keys).collect();
    let bits = events.iter().enumerate().map(|(n, event)| (*event, bit(n)));
    let bits: BTreeMap<&UpstreamStart, Mask> = bits.collect();
    let mask_of = |crashes: &Crashes| crashes.keys().fold(0, |mask, event| mask | bits[event]);
    let known = accused.iter().filter_map(|(part, crashes)| {
        let blame = Blame {
            crashes: count(crashes.iter()),
            convicted: false,
            last: crashes.values().map(|crash| crash.at).max()?,
            mask: mask_of(crashes),
            inseparable: 0,
        };
        Some((*part, blame))
    });
    let mut blames: BTreeMap<u128, Blame> = known.collect();
    // Many parts have the same crashes, so those are compared once.
    let mut sizes: BTreeMap<Mask, usize> = BTreeMap::new();
    let mut convictable = BTreeSet::new();
    for blame in blames.values() {
        *sizes.entry(blame.mask).or_default() += 1;
        if blame.crashes >= max_crashes {
            convictable.insert(blame.mask);
        }
    }
    let shared = |mask: Mask| {
        let is_rarer = |m: &&Mask| **m != mask && **m & mask == **m;
        let explained = convictable
            .iter()
            .filter(is_rarer)
            .fold(0, |all, m| all | m);
        let mut rarer: Vec<Mask> = sizes.keys().filter(is_rarer).copied().collect();
        rarer.sort_by_key(|m| Reverse(m.count_ones()));
        rarer.truncate(MAX_PAIRED);
        let rest = mask & !explained;
        let covers = |first: &Mask| rarer.iter().any(|m| rest & !first & !m == 0);
        let companions = sizes.iter().filter(|(m, _)| **m & mask == mask);
        let inseparable = companions.map(|(_, size)| size).sum();
        Shared {
            explained,
            ambiguous: rarer.iter().any(covers),
            inseparable,
        }
    };
    let shared: BTreeMap<Mask, Shared> = convictable.iter().map(|m| (*m, shared(*m))).collect();
    for (part, blame) in &mut blames {
        let Some(shared) = shared.get(&blame.mask) else {
            continue;
        };
        let left = accused[part].iter();
        let left = count(left.filter(|(event, _)| bits[event] & shared.explained == 0));
        let needed = if shared.ambiguous {
            2 * (max_crashes - 1) + 1
        } else {
            max_crashes
        };
        blame.convicted = left >= needed;
        blame.inseparable = shared.inseparable;
    }
    blames
}

/// What parts with the same crashes have in common.
struct Shared {
    /// Crashes that rarer parts with enough crashes explain.
    explained: Mask,
    /// Whether two rarer parts explain the other crashes.
    ambiguous: bool,
    /// Number of parts that ran at each of the crashes.
    inseparable: usize,
}

/// Returns the number of crashes one after the other, and one more if there were many at once.
fn count<'a>(crashes: impl Iterator<Item = (&'a UpstreamStart, &'a Crash)>) -> usize {
    let crashes: Vec<_> = crashes.collect();
    let all = crashes.len();
    let count = counted(crashes.into_iter()).len();
    count + usize::from(all - count >= OVERLAPPING)
}

/// Returns the bit of a crash. Those beyond the limit, of which there are none, would share a bit.
fn bit(number: usize) -> Mask {
    1 << (number % MAX_EVENTS)
}
