//! A compact store of write-once grant records.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::Bound;
use std::time::Duration;

use crate::claim::types::{AttemptId, Holder, KeyHash, RecordCopy};
use crate::name::VmName;
use crate::time::Time;

/// Maximum number of released attempts that are remembered, so that a request that arrives after
/// its own release leaves no record.
const MAX_RELEASED_ATTEMPTS: usize = 1_024;

/// Maximum number of records examined in one sweep, which bounds the time of a tick.
const SWEEP_RECORDS: usize = 1_024;

/// Maximum number of records examined for one page.
const SCAN_RECORDS: usize = 4_096;

/// A record of 16 bytes, in addition to the 16 of its key. Times are in units of 100 ms on the VM's
/// own clock.
#[derive(Clone, Copy, Debug)]
struct Record {
    attempt: AttemptId,
    granted_at: i32,
    vm: u16,
    kind: RecordKind,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RecordKind {
    /// Written by a grant of this VM. A repeated request of the same attempt is granted again.
    Own,
    /// Copied from another VM. It grants no attempt, not even its own, because another one may have
    /// reached the quorum.
    Copied,
    /// Several attempts had grants. A release of one of them must not free the key.
    Contested,
}

/// The result of a grant request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteResult {
    /// The record of the attempt is stored.
    Granted,
    /// The key has a record that blocks the attempt.
    Held(Holder),
    /// The attempt has been released.
    Released,
    /// The store is full.
    Full,
}

/// The grant records of one VM.
#[derive(Clone, Debug)]
pub struct RecordStore {
    records: BTreeMap<KeyHash, Record>,
    vm_names: Vec<Option<VmName>>,
    used_names: BTreeSet<u16>,
    released: VecDeque<AttemptId>,
    sweep_cursor: Option<KeyHash>,
    ttl: Duration,
    max_records: usize,
}

impl RecordStore {
    /// Creates an empty store of at most `max_records` records, each of which expires after `ttl`.
    #[must_use]
    pub fn new(ttl: Duration, max_records: usize) -> Self {
        Self {
            records: BTreeMap::new(),
            vm_names: Vec::new(),
            used_names: BTreeSet::new(),
            released: VecDeque::new(),
            sweep_cursor: None,
            ttl,
            max_records,
        }
    }

    /// Returns the number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether the store has no records.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Writes the record of `attempt` unless the key has one.
    pub fn write(
        &mut self,
        now: Time,
        key: KeyHash,
        vm: &VmName,
        attempt: AttemptId,
    ) -> WriteResult {
        if self.released.contains(&attempt) {
            return WriteResult::Released;
        }
        if let Some(record) = self.live_record(now, key) {
            if record.attempt == attempt && record.kind == RecordKind::Own {
                return WriteResult::Granted;
            }
            return WriteResult::Held(self.holder(&record));
        }
        if self.records.len() >= self.max_records {
            return WriteResult::Full;
        }
        let Some(vm) = self.intern(vm) else {
            return WriteResult::Full;
        };
        let record = Record {
            attempt,
            granted_at: to_ticks(now),
            vm,
            kind: RecordKind::Own,
        };
        self.records.insert(key, record);
        WriteResult::Granted
    }

    /// Stores a record of another VM. Returns false if the store is full.
    pub fn import(&mut self, now: Time, source: &RecordCopy) -> bool {
        if source.age >= self.ttl || self.released.contains(&source.holder.attempt) {
            return true;
        }
        let granted_at = to_ticks(now) - duration_ticks(source.age);
        if let Some(mut record) = self.live_record(now, source.key) {
            if source.contested || record.attempt != source.holder.attempt {
                record.kind = RecordKind::Contested;
            }
            record.granted_at = record.granted_at.max(granted_at);
            self.records.insert(source.key, record);
            return true;
        }
        if self.records.len() >= self.max_records {
            return false;
        }
        let kind = if source.contested {
            RecordKind::Contested
        } else {
            RecordKind::Copied
        };
        let Some(vm) = self.intern(&source.holder.vm) else {
            return false;
        };
        let attempt = source.holder.attempt;
        self.records.insert(
            source.key,
            Record {
                attempt,
                granted_at,
                vm,
                kind,
            },
        );
        true
    }

    /// Removes the record of an attempt that has not run and is not going to run.
    pub fn release(&mut self, key: KeyHash, attempt: AttemptId) {
        if !self.released.contains(&attempt) {
            self.released.push_back(attempt);
        }
        if self.released.len() > MAX_RELEASED_ATTEMPTS {
            self.released.pop_front();
        }
        let removes_record = self
            .records
            .get(&key)
            .is_some_and(|r| r.attempt == attempt && r.kind != RecordKind::Contested);
        if removes_record {
            self.records.remove(&key);
        }
    }

    /// Returns up to `size` records after `after` that `wanted` selects, and the key after which
    /// the next page starts.
    ///
    /// It examines at most [`SCAN_RECORDS`] records, so that the time of a call is bounded even if
    /// few are selected.
    pub fn page(
        &self,
        now: Time,
        after: Option<KeyHash>,
        size: usize,
        wanted: impl Fn(KeyHash) -> bool,
    ) -> (Vec<RecordCopy>, Option<KeyHash>) {
        let start = after.map_or(Bound::Unbounded, Bound::Excluded);
        let mut found = Vec::new();
        let mut last = None;
        for (seen, (key, record)) in self.records.range((start, Bound::Unbounded)).enumerate() {
            if found.len() == size || seen == SCAN_RECORDS {
                return (found, last);
            }
            last = Some(*key);
            if self.is_live(now, record) && wanted(*key) {
                found.push(self.export(now, *key, record));
            }
        }
        (found, None)
    }

    /// Drops expired records. Each call examines a bounded number of records after those of the
    /// previous call.
    pub fn sweep(&mut self, now: Time) {
        let start = self.sweep_cursor.map_or(Bound::Unbounded, Bound::Excluded);
        let seen: Vec<(KeyHash, u16, bool)> = self
            .records
            .range((start, Bound::Unbounded))
            .take(SWEEP_RECORDS)
            .map(|(key, record)| (*key, record.vm, self.is_live(now, record)))
            .collect();
        for (key, vm, alive) in &seen {
            if *alive {
                self.used_names.insert(*vm);
            } else {
                self.records.remove(key);
            }
        }
        self.sweep_cursor = seen
            .last()
            .filter(|_| seen.len() == SWEEP_RECORDS)
            .map(|s| s.0);
        if self.sweep_cursor.is_none() {
            self.free_unused_names();
        }
    }

    /// Frees the names that no record used during the last complete sweep. Without this the names
    /// would fill up, because VMs are continually replaced under new names.
    fn free_unused_names(&mut self) {
        let used = std::mem::take(&mut self.used_names);
        for (index, name) in (0_u16..).zip(&mut self.vm_names) {
            if !used.contains(&index) {
                *name = None;
            }
        }
    }

    fn live_record(&self, now: Time, key: KeyHash) -> Option<Record> {
        let record = self.records.get(&key)?;
        self.is_live(now, record).then_some(*record)
    }

    fn is_live(&self, now: Time, record: &Record) -> bool {
        to_ticks(now) - record.granted_at <= duration_ticks(self.ttl)
    }

    fn export(&self, now: Time, key: KeyHash, record: &Record) -> RecordCopy {
        let age = u64::try_from(to_ticks(now) - record.granted_at).unwrap_or(0);
        RecordCopy {
            key,
            holder: self.holder(record),
            age: Duration::from_millis(age * 100),
            contested: record.kind == RecordKind::Contested,
        }
    }

    fn holder(&self, record: &Record) -> Holder {
        let vm = self.vm_names[usize::from(record.vm)].clone();
        Holder {
            vm: vm.expect("a record's name is in use"),
            attempt: record.attempt,
        }
    }

    /// Returns the index of a name, which takes 2 bytes in each record instead of the whole name.
    /// Returns `None` if all indexes are in use.
    fn intern(&mut self, vm: &VmName) -> Option<u16> {
        let found = self
            .vm_names
            .iter()
            .position(|name| name.as_ref() == Some(vm));
        let free = || self.vm_names.iter().position(Option::is_none);
        let index = found.or_else(free).unwrap_or(self.vm_names.len());
        let short = u16::try_from(index).ok()?;
        if index == self.vm_names.len() {
            self.vm_names.push(None);
        }
        self.vm_names[index] = Some(vm.clone());
        self.used_names.insert(short);
        Some(short)
    }
}

fn to_ticks(now: Time) -> i32 {
    i32::try_from(now.as_micros() / 100_000).unwrap_or(i32::MAX)
}

/// Converts a duration to units of 100 ms, rounded up so that no record expires early.
fn duration_ticks(span: Duration) -> i32 {
    i32::try_from(span.as_millis().div_ceil(100)).unwrap_or(i32::MAX)
}
