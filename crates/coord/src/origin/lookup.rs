//! The question where a stream began, to the VMs that may know.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::{BuildKey, COPIES, ContentKey, nearest};
use crate::name::VmName;
use crate::owner::Owners;
use crate::time::Time;

/// Times of the questions since the caller came back. A caller may be faster than the record of its stream,
/// and messages get lost, so VMs that answer that they do not know the stream are asked again as well.
const ROUNDS_MS: [u64; 5] = [0, 20, 60, 140, 300];
/// First round whose denial counts. The record was sent before the caller had its first event, so by then
/// it has arrived or is lost.
const SETTLED_ROUND: u8 = 2;
/// VMs that are asked from the second round on: those that have the record according to the view of
/// a VM that hears more or fewer others.
const WIDE: usize = 3 * COPIES;
/// Time after which a stream counts as unknown although not all VMs answered.
pub const LOOKUP_LIMIT: Duration = Duration::from_millis(500);

/// What to do next in a lookup.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// The stream began at this build.
    Known(BuildKey),
    /// No VM that can be reached knows it.
    Unknown,
    /// Ask these VMs, and come back at `until` or when an answer has arrived.
    Ask {
        /// Number of the question.
        round: u8,
        /// The VMs to ask.
        targets: Vec<VmName>,
        /// When to come back at the latest.
        until: Time,
    },
    /// Come back at this time or when an answer has arrived.
    Wait {
        /// When to come back at the latest.
        until: Time,
    },
}

/// A lookup, which all attempts share that look for the same stream.
#[derive(Clone, Debug)]
pub(super) struct Lookup {
    since: Time,
    content: ContentKey,
    waiting: usize,
    /// Number of questions so far.
    asked: usize,
    /// The VMs that do not know the stream, each with the latest question that it answered so.
    denials: BTreeMap<VmName, u8>,
    /// Whether one record is not enough, because the caller may have begun several streams under the key.
    by_agreement: bool,
    /// The VMs that know the stream.
    confirmations: BTreeSet<VmName>,
}

impl Lookup {
    pub(super) fn new(now: Time, content: ContentKey) -> Self {
        Self {
            since: now,
            content,
            waiting: 0,
            asked: 0,
            denials: BTreeMap::new(),
            by_agreement: false,
            confirmations: BTreeSet::new(),
        }
    }

    pub(super) fn require_agreement(&mut self) {
        self.by_agreement = true;
    }

    /// Returns whether a record that is known here, or was told by some VM, can be believed: all VMs that have it
    /// have answered, or some of them after the time in which all could.
    pub(super) fn is_agreed(&self, now: Time, others: &Owners) -> bool {
        if !self.by_agreement {
            return true;
        }
        let answered =
            |vm: &VmName| self.confirmations.contains(vm) || self.denials.contains_key(vm);
        let asked = nearest(others, self.content, COPIES);
        let settled = self.since + Duration::from_millis(ROUNDS_MS[usize::from(SETTLED_ROUND)]);
        let all = !asked.is_empty() && asked.iter().all(answered);
        all || (now >= settled && asked.iter().any(answered))
    }

    pub(super) fn confirmed(&mut self, from: &VmName) {
        if self.confirmations.len() < 2 * WIDE {
            self.confirmations.insert(from.clone());
        }
    }

    pub(super) fn join(&mut self) {
        self.waiting += 1;
    }

    /// Returns whether nobody waits any longer.
    pub(super) fn leave(&mut self) -> bool {
        self.waiting = self.waiting.saturating_sub(1);
        self.waiting == 0
    }

    pub(super) fn denied(&mut self, from: &VmName, round: u8) {
        // Answers of VMs that were not asked are bounded by the number of questions.
        if self.denials.len() < 2 * WIDE || self.denials.contains_key(from) {
            let latest = self.denials.entry(from.clone()).or_default();
            *latest = round.max(*latest);
        }
    }

    pub(super) fn next_step(&mut self, now: Time, others: &Owners) -> Step {
        let limit = self.since + LOOKUP_LIMIT;
        if now >= limit {
            return Step::Unknown;
        }
        let count = if self.asked == 0 { COPIES } else { WIDE };
        let mut targets = nearest(others, self.content, count);
        let settled = |vm: &VmName| self.denials.get(vm).is_some_and(|r| *r >= SETTLED_ROUND);
        let known = targets.len();
        targets.retain(|vm| !settled(vm));
        if targets.is_empty() && known > 0 {
            return Step::Unknown;
        }
        let due = |round: usize| {
            ROUNDS_MS
                .get(round)
                .map(|ms| self.since + Duration::from_millis(*ms))
        };
        match due(self.asked) {
            Some(at) if at <= now => {
                let round = u8::try_from(self.asked).unwrap_or(u8::MAX);
                self.asked += 1;
                let until = due(self.asked).unwrap_or(limit);
                Step::Ask {
                    round,
                    targets,
                    until,
                }
            }
            next => Step::Wait {
                until: next.unwrap_or(limit),
            },
        }
    }
}
