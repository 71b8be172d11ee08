//! Best-effort suppression of duplicate work for repeatable requests that carry a key.
//!
//! Every VM computes which VM owns a key. The owner stores the attempt that works on the key, in a
//! table that may be lost at any time. A duplicate request then runs a second time, which
//! repeatable requests allow.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::claim::types::{AttemptId, Holder, KeyHash};
use crate::time::Time;

/// Time for which an answered key is kept, so that a caller that lost the answer can get it again.
const ANSWERED_TTL: Duration = Duration::from_secs(30);

/// Time after which a key without an answer is dropped, because its entry VM has probably died.
const RUNNING_TTL: Duration = Duration::from_mins(10);

/// Time for which the entry VM waits for the owner. A longer wait would delay every request while
/// the owner is down.
const OWNER_TIMEOUT: Duration = Duration::from_millis(50);

#[derive(Clone, Debug)]
struct Entry {
    holder: Holder,
    expires_at: Time,
}

/// The keys that a VM owns and the attempts that work on them.
#[derive(Clone, Debug)]
pub struct Duplicates {
    entries: BTreeMap<KeyHash, Entry>,
    max_entries: usize,
}

impl Duplicates {
    /// Creates an empty table of at most `max_entries` keys. Duplicates of further keys are not
    /// detected.
    #[must_use]
    pub const fn new(max_entries: usize) -> Self {
        Self {
            entries: BTreeMap::new(),
            max_entries,
        }
    }

    /// Registers `holder` for a free key. Returns the attempt that has the key if it is another
    /// one.
    pub fn register(&mut self, now: Time, key: KeyHash, holder: Holder) -> Option<Holder> {
        if let Some(entry) = self
            .entries
            .get(&key)
            .filter(|entry| entry.expires_at > now)
        {
            return (entry.holder != holder).then(|| entry.holder.clone());
        }
        if self.entries.len() < self.max_entries || self.entries.contains_key(&key) {
            let expires_at = now + RUNNING_TTL;
            self.entries.insert(key, Entry { holder, expires_at });
        }
        None
    }

    /// Records that the attempt has been answered. The key is freed 30 s later.
    pub fn mark_answered(&mut self, now: Time, key: KeyHash, attempt: AttemptId) {
        let entry = self.entries.get_mut(&key);
        if let Some(entry) = entry.filter(|entry| entry.holder.attempt == attempt) {
            entry.expires_at = now + ANSWERED_TTL;
        }
    }

    /// Frees the key of an attempt that failed, so that a repeated request runs immediately.
    pub fn remove_failed(&mut self, key: KeyHash, attempt: AttemptId) {
        let entry = self.entries.get(&key);
        if entry.is_some_and(|entry| entry.holder.attempt == attempt) {
            self.entries.remove(&key);
        }
    }

    /// Drops expired keys.
    pub fn tick(&mut self, now: Time) {
        self.entries.retain(|_, entry| entry.expires_at > now);
    }

    /// Returns the number of keys, for metrics.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the table has no keys.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

/// The next step of the entry VM of a repeatable request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Wait for the owner's reply.
    Wait,
    /// Run the request.
    Run,
    /// Attach to another attempt and pass on its answer.
    Attach(Holder),
}

/// The entry VM's request to the owner of a key.
#[derive(Clone, Debug)]
pub struct OwnerLookup {
    started_at: Time,
    next: NextStep,
}

impl OwnerLookup {
    /// Starts to wait for the owner.
    #[must_use]
    pub const fn new(now: Time) -> Self {
        Self {
            started_at: now,
            next: NextStep::Wait,
        }
    }

    /// Handles the owner's reply, which is the result of [`Duplicates::register`].
    pub fn handle_reply(&mut self, holder: Option<Holder>) {
        self.next = holder.map_or(NextStep::Run, NextStep::Attach);
    }

    /// Returns the next step. If the owner does not reply within 50 ms, the request runs without
    /// it.
    #[must_use]
    pub fn next(&self, now: Time) -> NextStep {
        if self.next == NextStep::Wait && now.since(self.started_at) >= OWNER_TIMEOUT {
            return NextStep::Run;
        }
        self.next.clone()
    }
}
