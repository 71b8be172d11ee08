//! Write-once records in little memory.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::Bound;
use std::time::Duration;

use crate::claim::types::{AttemptId, Holder, KeyHash, RecordCopy};
use crate::name::VmName;
use crate::time::Time;

/// Released attempts that are remembered, so that a request which arrives after its own release
/// leaves no record.
const MAX_RELEASED: usize = 1_024;

/// Records looked at in one sweep; bounds the time of one tick.
const SWEEP: usize = 1_024;

/// Records looked at for one page.
const SCAN: usize = 4_096;

/// 16 bytes beside the 16 of the key. Times have 100 ms resolution on the VM's own clock.
#[derive(Clone, Copy, Debug)]
struct Record {
    attempt: AttemptId,
    granted: i32,
    vm: u16,
    kind: Kind,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    /// Written by a grant of this VM: a repeated request of the attempt is granted again.
    Own,
    /// Copied from another VM: grants nobody, because another attempt may have had the quorum.
    Copied,
    /// Several attempts had grants: a release of one of them must not free the key.
    Contested,
}

/// What a request for a key met.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteResult {
    /// The attempt's record is in place.
    Granted,
    /// The key has a record that blocks the attempt.
    Held(Holder),
    /// The attempt has been released.
    Released,
    /// There is no room.
    Full,
}

/// The records of one VM.
#[derive(Clone, Debug)]
pub struct RecordStore {
    records: BTreeMap<KeyHash, Record>,
    names: Vec<Option<VmName>>,
    used: BTreeSet<u16>,
    released: VecDeque<AttemptId>,
    swept: Option<KeyHash>,
    retention: Duration,
    limit: usize,
}

impl RecordStore {
    /// Creates an empty memory that keeps at most `limit` records for `retention` each.
    #[must_use]
    pub fn new(retention: Duration, limit: usize) -> Self {
        Self {
            records: BTreeMap::new(),
            names: Vec::new(),
            used: BTreeSet::new(),
            released: VecDeque::new(),
            swept: None,
            retention,
            limit,
        }
    }

    /// Returns the number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there is no record.
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
        if let Some(record) = self.live(now, key) {
            if record.attempt == attempt && record.kind == Kind::Own {
                return WriteResult::Granted;
            }
            return WriteResult::Held(self.holder(&record));
        }
        if self.records.len() >= self.limit {
            return WriteResult::Full;
        }
        let Some(vm) = self.intern(vm) else {
            return WriteResult::Full;
        };
        let record = Record {
            attempt,
            granted: ticks(now),
            vm,
            kind: Kind::Own,
        };
        self.records.insert(key, record);
        WriteResult::Granted
    }

    /// Takes over another VM's record. Returns false if there is no room.
    pub fn copy(&mut self, now: Time, copied: &RecordCopy) -> bool {
        if copied.age >= self.retention || self.released.contains(&copied.holder.attempt) {
            return true;
        }
        let granted = ticks(now) - span_ticks(copied.age);
        if let Some(mut record) = self.live(now, copied.key) {
            if copied.contested || record.attempt != copied.holder.attempt {
                record.kind = Kind::Contested;
            }
            record.granted = record.granted.max(granted);
            self.records.insert(copied.key, record);
            return true;
        }
        if self.records.len() >= self.limit {
            return false;
        }
        let kind = if copied.contested {
            Kind::Contested
        } else {
            Kind::Copied
        };
        let Some(vm) = self.intern(&copied.holder.vm) else {
            return false;
        };
        let attempt = copied.holder.attempt;
        self.records.insert(
            copied.key,
            Record {
                attempt,
                granted,
                vm,
                kind,
            },
        );
        true
    }

    /// Removes the record of an attempt that is never dispatched.
    pub fn release(&mut self, key: KeyHash, attempt: AttemptId) {
        if !self.released.contains(&attempt) {
            self.released.push_back(attempt);
        }
        if self.released.len() > MAX_RELEASED {
            self.released.pop_front();
        }
        let frees = self
            .records
            .get(&key)
            .is_some_and(|r| r.attempt == attempt && r.kind != Kind::Contested);
        if frees {
            self.records.remove(&key);
        }
    }

    /// Returns up to `size` records after `after` that `wanted` selects, and where to continue.
    ///
    /// A page looks at no more than [`SCAN`] records, so that its time is bounded as well.
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
            if found.len() == size || seen == SCAN {
                return (found, last);
            }
            last = Some(*key);
            if self.alive(now, record) && wanted(*key) {
                found.push(self.export(now, *key, record));
            }
        }
        (found, None)
    }

    /// Drops expired records, a bounded number of looks at a time.
    pub fn sweep(&mut self, now: Time) {
        let start = self.swept.map_or(Bound::Unbounded, Bound::Excluded);
        let seen: Vec<(KeyHash, u16, bool)> = self
            .records
            .range((start, Bound::Unbounded))
            .take(SWEEP)
            .map(|(key, record)| (*key, record.vm, self.alive(now, record)))
            .collect();
        for (key, vm, alive) in &seen {
            if *alive {
                self.used.insert(*vm);
            } else {
                self.records.remove(key);
            }
        }
        self.swept = seen.last().filter(|_| seen.len() == SWEEP).map(|s| s.0);
        if self.swept.is_none() {
            self.free_names();
        }
    }

    /// Frees the names that no record used during the last whole sweep; VMs are replaced under
    /// new names all the time.
    fn free_names(&mut self) {
        let used = std::mem::take(&mut self.used);
        for (index, name) in (0_u16..).zip(&mut self.names) {
            if !used.contains(&index) {
                *name = None;
            }
        }
    }

    fn live(&self, now: Time, key: KeyHash) -> Option<Record> {
        let record = self.records.get(&key)?;
        self.alive(now, record).then_some(*record)
    }

    fn alive(&self, now: Time, record: &Record) -> bool {
        ticks(now) - record.granted <= span_ticks(self.retention)
    }

    fn export(&self, now: Time, key: KeyHash, record: &Record) -> RecordCopy {
        let age = u64::try_from(ticks(now) - record.granted).unwrap_or(0);
        RecordCopy {
            key,
            holder: self.holder(record),
            age: Duration::from_millis(age * 100),
            contested: record.kind == Kind::Contested,
        }
    }

    fn holder(&self, record: &Record) -> Holder {
        let vm = self.names[usize::from(record.vm)].clone();
        Holder {
            vm: vm.expect("a record's name is in use"),
            attempt: record.attempt,
        }
    }

    /// Names are few and long, records are many: each record has an index of 2 bytes.
    fn intern(&mut self, vm: &VmName) -> Option<u16> {
        let found = self.names.iter().position(|name| name.as_ref() == Some(vm));
        let free = || self.names.iter().position(Option::is_none);
        let index = found.or_else(free).unwrap_or(self.names.len());
        let short = u16::try_from(index).ok()?;
        if index == self.names.len() {
            self.names.push(None);
        }
        self.names[index] = Some(vm.clone());
        self.used.insert(short);
        Some(short)
    }
}

fn ticks(now: Time) -> i32 {
    i32::try_from(now.as_micros() / 100_000).unwrap_or(i32::MAX)
}

/// Rounds up, so that no record ends early.
fn span_ticks(span: Duration) -> i32 {
    i32::try_from(span.as_millis().div_ceil(100)).unwrap_or(i32::MAX)
}
