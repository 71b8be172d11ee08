//! Best-effort suppression of duplicate work for repeatable requests that carry a key.
//!
//! The computed owner of a key remembers who works on it. It may forget at any time: a duplicate
//! then runs twice, which these requests allow.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::claim::types::{AttemptId, Holder, KeyHash};
use crate::time::Time;

/// Time for which an answered key is kept, so that a caller that lost the answer gets it again.
const ANSWERED: Duration = Duration::from_secs(30);

/// Time after which a key without an answer is dropped: its entry VM has probably died.
const RUNNING: Duration = Duration::from_mins(10);

/// Time that the entry VM waits for the owner: more would delay every request when it is down.
const PATIENCE: Duration = Duration::from_millis(50);

#[derive(Clone, Debug)]
struct Entry {
    holder: Holder,
    ends: Time,
}

/// What the owner of keys remembers.
#[derive(Clone, Debug)]
pub struct Duplicates {
    entries: BTreeMap<KeyHash, Entry>,
    limit: usize,
}

impl Duplicates {
    /// Creates an empty table of at most `limit` keys; further keys are not protected.
    #[must_use]
    pub const fn new(limit: usize) -> Self {
        Self {
            entries: BTreeMap::new(),
            limit,
        }
    }

    /// Registers `holder` unless another attempt has the key, and returns that other attempt.
    pub fn register(&mut self, now: Time, key: KeyHash, holder: Holder) -> Option<Holder> {
        if let Some(entry) = self.entries.get(&key).filter(|entry| entry.ends > now) {
            return (entry.holder != holder).then(|| entry.holder.clone());
        }
        if self.entries.len() < self.limit || self.entries.contains_key(&key) {
            let ends = now + RUNNING;
            self.entries.insert(key, Entry { holder, ends });
        }
        None
    }

    /// Notes that the attempt has been answered: the key is freed 30 s later.
    pub fn answered(&mut self, now: Time, key: KeyHash, attempt: AttemptId) {
        let entry = self.entries.get_mut(&key);
        if let Some(entry) = entry.filter(|entry| entry.holder.attempt == attempt) {
            entry.ends = now + ANSWERED;
        }
    }

    /// Frees the key of an attempt that failed, so that a repetition runs immediately.
    pub fn failed(&mut self, key: KeyHash, attempt: AttemptId) {
        let entry = self.entries.get(&key);
        if entry.is_some_and(|entry| entry.holder.attempt == attempt) {
            self.entries.remove(&key);
        }
    }

    /// Drops what has ended.
    pub fn tick(&mut self, now: Time) {
        self.entries.retain(|_, entry| entry.ends > now);
    }

    /// Returns the number of keys, for metrics.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no key is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

/// What the entry VM of a repeatable request does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Wait for the owner.
    Wait,
    /// Run the request.
    Run,
    /// Attach to another attempt.
    Attach(Holder),
}

/// The entry VM's question to the owner of a key.
#[derive(Clone, Debug)]
pub struct OwnerLookup {
    started: Time,
    next: NextStep,
}

impl OwnerLookup {
    /// Starts to wait for the owner.
    #[must_use]
    pub const fn new(now: Time) -> Self {
        Self {
            started: now,
            next: NextStep::Wait,
        }
    }

    /// Notes the owner's answer, see [`Duplicates::register`].
    pub fn reply(&mut self, holder: Option<Holder>) {
        self.next = holder.map_or(NextStep::Run, NextStep::Attach);
    }

    /// Returns what to do. An owner that does not answer within 50 ms never prevents the answer.
    #[must_use]
    pub fn next(&self, now: Time) -> NextStep {
        if self.next == NextStep::Wait && now.since(self.started) >= PATIENCE {
            return NextStep::Run;
        }
        self.next.clone()
    }
}
