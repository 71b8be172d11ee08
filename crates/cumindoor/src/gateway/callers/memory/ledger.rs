//! Decides who gets memory that callers take, and who gives way. It has no I/O and no clock of its own.

use std::collections::BTreeMap;
use std::time::Duration;

use coord::time::Time;

/// Largest size of a small body or answer.
pub const SMALL_BYTES: usize = 64 * 1024;
/// One part in this number of the account is kept for small bodies and answers, so that ordinary requests are
/// served while large ones hold the rest.
const SMALL_PARTS: usize = 8;
/// Time without progress after which an unfinished body may be evicted. A lost packet is sent again sooner.
pub const STALL_TIME: Duration = Duration::from_millis(250);
/// Longest wait for memory of a body that may itself be refused. Others have stalled or gone on by then.
pub const MAX_WAIT: Duration = Duration::from_millis(500);

/// What holds memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// A body that has not arrived completely.
    Body,
    /// A complete body, whose request may have been sent to an upstream. It is never evicted.
    Request,
    /// An answer that is read from an upstream. It is never evicted.
    Answer,
    /// An answer that the caller has not taken yet.
    Unread,
    /// A part of an answer that is relayed and that the caller has not taken yet.
    Relayed,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Self; 5] = [
        Self::Body,
        Self::Request,
        Self::Answer,
        Self::Unread,
        Self::Relayed,
    ];
}

/// Why a body or an answer gives way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// Others need the memory.
    Busy,
    /// Others need the memory, and the caller made no progress within the configured time.
    Slow,
}

/// Number of a holder; later holders have higher numbers.
pub type HolderId = u64;

/// Whether memory was granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Growth {
    /// It was granted.
    Granted,
    /// The named holder has to be told to give its memory back. The question may be asked again at once.
    Evict(HolderId),
    /// Others may give memory back, or can be evicted from the stated time on.
    Wait(Option<Time>),
    /// It was refused.
    Refused,
}

#[derive(Clone, Debug)]
struct Holder {
    kind: Kind,
    bytes: usize,
    progress: Time,
    /// Time without progress after which the caller counts as slow.
    patience: Duration,
    evicted: Option<Cause>,
}

impl Holder {
    /// Returns the time without progress after which it may be evicted, or `None` if it may not.
    fn stall_time(&self) -> Option<Duration> {
        match self.kind {
            _ if self.evicted.is_some() => None,
            Kind::Body => Some(STALL_TIME),
            Kind::Unread | Kind::Relayed => Some(self.patience),
            Kind::Request | Kind::Answer => None,
        }
    }
}

/// The memory that callers take in one process.
#[derive(Clone, Debug)]
pub struct Ledger {
    size: usize,
    used: usize,
    next: HolderId,
    holders: BTreeMap<HolderId, Holder>,
}

impl Ledger {
    /// Creates a ledger of this many bytes.
    #[must_use]
    pub fn new(size: usize) -> Self {
        Self {
            size,
            used: 0,
            next: 0,
            holders: BTreeMap::new(),
        }
    }

    /// Adds a holder without memory. Its caller counts as slow after `patience` without progress.
    pub fn open(&mut self, now: Time, kind: Kind, patience: Duration) -> HolderId {
        let id = self.next;
        self.next += 1;
        let holder = Holder {
            kind,
            bytes: 0,
            progress: now,
            patience,
            evicted: None,
        };
        self.holders.insert(id, holder);
        id
    }

    /// Removes a holder and returns its memory.
    pub fn close(&mut self, id: HolderId) {
        if let Some(holder) = self.holders.remove(&id) {
            self.used -= holder.bytes;
        }
    }

    /// Records that a holder makes progress.
    pub fn touch(&mut self, now: Time, id: HolderId) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.progress = now;
        }
    }

    /// Changes what a holder is, which counts as progress. Returns false if it has to give way.
    pub fn convert(&mut self, now: Time, id: HolderId, kind: Kind) -> bool {
        let holder = self.holders.get_mut(&id);
        let Some(holder) = holder.filter(|holder| holder.evicted.is_none()) else {
            return false;
        };
        (holder.kind, holder.progress) = (kind, now);
        true
    }

    /// Gives a part of the memory of a holder back.
    pub fn shrink(&mut self, id: HolderId, bytes: usize) {
        if let Some(holder) = self.holders.get_mut(&id) {
            let bytes = bytes.min(holder.bytes);
            holder.bytes -= bytes;
            self.used -= bytes;
        }
    }

    /// Grants memory to a holder that has waited for it since `asked`, or decides who gives way.
    pub fn grow(&mut self, now: Time, id: HolderId, bytes: usize, asked: Time) -> Growth {
        let Some(holder) = self.holders.get(&id) else {
            return Growth::Refused;
        };
        if holder.evicted.is_some() {
            return Growth::Refused;
        }
        let (kind, wanted) = (holder.kind, holder.bytes + bytes);
        let is_small = wanted <= SMALL_BYTES && kind != Kind::Relayed;
        let limit = if is_small {
            self.size
        } else {
            self.size - self.size / SMALL_PARTS
        };
        if wanted > limit {
            return Growth::Refused;
        }
        if self.used + bytes <= limit {
            self.used += bytes;
            if let Some(holder) = self.holders.get_mut(&id) {
                holder.bytes += bytes;
                holder.progress = now;
            }
            return Growth::Granted;
        }
        let promised = self.holders.values().filter(|h| h.evicted.is_some());
        let promised: usize = promised.map(|h| h.bytes).sum();
        if self.used - promised + bytes <= limit {
            return Growth::Wait(None);
        }
        if let Some(stalled) = self.most_stalled(now, id) {
            return self.evict(now, stalled);
        }
        let may_refuse = kind == Kind::Body && now.since(asked) >= MAX_WAIT;
        if !may_refuse {
            return Growth::Wait(self.next_stall(id));
        }
        match self.newest_large() {
            Some(newest) if newest > id => self.evict(now, newest),
            _ => Growth::Refused,
        }
    }

    /// Returns why a holder has to give way, or `None` if it need not.
    #[must_use]
    pub fn eviction(&self, id: HolderId) -> Option<Cause> {
        self.holders.get(&id)?.evicted
    }

    /// Returns the memory of all holders of a kind.
    #[must_use]
    pub fn held(&self, kind: Kind) -> usize {
        let holders = self.holders.values().filter(|h| h.kind == kind);
        holders.map(|holder| holder.bytes).sum()
    }

    /// Returns the holder that has held most for longest without progress.
    fn most_stalled(&self, now: Time, asking: HolderId) -> Option<HolderId> {
        let stalled = self.holders.iter().filter_map(|(id, holder)| {
            let idle = now.since(holder.progress);
            let stalled = holder.stall_time().is_some_and(|time| idle >= time);
            let weight = idle.as_millis() * holder.bytes as u128;
            (stalled && holder.bytes > 0 && *id != asking).then_some((weight, *id))
        });
        stalled.max().map(|(_, id)| id)
    }

    /// Returns when the next holder may be evicted.
    fn next_stall(&self, asking: HolderId) -> Option<Time> {
        let others = self.holders.iter();
        let others = others.filter(|(id, holder)| **id != asking && holder.bytes > 0);
        others
            .filter_map(|(_, holder)| Some(holder.progress + holder.stall_time()?))
            .min()
    }

    /// Returns the newest unfinished body that is not small.
    fn newest_large(&self) -> Option<HolderId> {
        let large = self.holders.iter().rev().find(|(_, holder)| {
            let unfinished = holder.kind == Kind::Body && holder.evicted.is_none();
            unfinished && holder.bytes > SMALL_BYTES
        });
        large.map(|(id, _)| *id)
    }

    fn evict(&mut self, now: Time, id: HolderId) -> Growth {
        let Some(holder) = self.holders.get_mut(&id) else {
            return Growth::Refused;
        };
        let slow = now.since(holder.progress) >= holder.patience;
        holder.evicted = Some(if slow { Cause::Slow } else { Cause::Busy });
        Growth::Evict(id)
    }
}
