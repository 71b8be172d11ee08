//! What one VM holds about the members.

use std::collections::BTreeMap;
use std::time::Duration;

use super::types::{BUCKETS, Health, ListedVm, Member, MemberStatus, Update};
use crate::hash::{hash64, rendezvous_score};
use crate::name::{Incarnation, VmName};
use crate::time::Time;

/// The time that a dead member is kept after the list dropped it, so that late gossip about it is
/// recognised as old.
const KEEP_REMOVED: Duration = Duration::from_mins(1);

/// The time that a dead member is kept that no list has shown: longer than regions are expected to
/// lose contact (1 h, `docs/design.md`, section 2).
const KEEP_UNLISTED: Duration = Duration::from_hours(2);

/// How an update arrived.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Origin {
    /// With a message about a change.
    Gossip,
    /// With a comparison of views; most of the fleet knows it already.
    Sync,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Presence {
    Unseen,
    Present,
    PresentLeaving,
    Removed,
}

#[derive(Debug)]
struct Record {
    update: Update,
    presence: Presence,
    /// When the health last changed.
    since: Time,
    /// When a suspected member is declared dead.
    limit: Option<Time>,
}

#[derive(Debug)]
pub(super) struct Table {
    pub(super) own: Update,
    records: BTreeMap<VmName, Record>,
    revision: u64,
    /// Set by each change that can alter the view; building a view costs time in the fleet's size.
    pub(super) changed: bool,
}

impl Table {
    pub(super) fn new(own: Update) -> Self {
        Self {
            own,
            records: BTreeMap::new(),
            revision: 0,
            changed: true,
        }
    }

    pub(super) fn get(&self, name: &VmName) -> Option<&Update> {
        if *name == self.own.name {
            return Some(&self.own);
        }
        self.records.get(name).map(|record| &record.update)
    }

    /// Returns the other members that are not dead.
    pub(super) fn live(&self) -> impl Iterator<Item = &Update> {
        let all = self.records.values().map(|record| &record.update);
        all.filter(|update| update.health != Health::Dead)
    }

    /// Returns the dead members that may come back.
    pub(super) fn dead(&self) -> impl Iterator<Item = &Update> {
        let able = self
            .records
            .values()
            .filter(|r| r.presence != Presence::Removed);
        able.map(|record| &record.update)
            .filter(|update| update.health == Health::Dead)
    }

    /// Returns `true` if `update` about the own VM is wrong or from a predecessor that the fleet
    /// would believe.
    pub(super) fn must_refute(&self, update: &Update) -> bool {
        let differs = update.health != Health::Alive || update.leaving != self.own.leaving;
        let same = update.incarnation == self.own.incarnation;
        update.incarnation > self.own.incarnation || (same && differs)
    }

    /// Takes one statement. Returns `None` if it is not news, and otherwise whether it is urgent.
    pub(super) fn apply(
        &mut self,
        now: Time,
        update: &Update,
        suspicion: Duration,
        origin: Origin,
    ) -> Option<bool> {
        let limit = (update.health == Health::Suspect).then(|| now + suspicion);
        let urgent = origin == Origin::Gossip;
        let Some(record) = self.records.get_mut(&update.name) else {
            // An unknown member that is dead already is of no interest.
            if update.health == Health::Dead {
                return None;
            }
            let presence = Presence::Unseen;
            let record = Record {
                update: update.clone(),
                presence,
                since: now,
                limit,
            };
            self.records.insert(update.name.clone(), record);
            self.changed = true;
            return Some(urgent);
        };
        // A view from the other side of a partition has dead members that answer here. They get
        // the time to refute, so that they do not lose their ownership for a moment.
        if origin == Origin::Sync
            && update.health == Health::Dead
            && record.update.health == Health::Alive
        {
            let health = Health::Suspect;
            let update = Update {
                health,
                ..update.clone()
            };
            return self.apply(now, &update, suspicion, Origin::Gossip);
        }
        if !update.supersedes(&record.update) {
            return None;
        }
        let returned = record.update.health == Health::Dead;
        if record.update.health != update.health {
            record.since = now;
        }
        record.update = update.clone();
        record.limit = limit;
        self.changed = true;
        Some(urgent || returned)
    }

    /// Returns a `Dead` statement about each suspected member whose time to refute is over.
    pub(super) fn expired(&self, now: Time) -> Vec<Update> {
        let over = self
            .records
            .values()
            .filter(|r| r.limit.is_some_and(|limit| limit <= now));
        over.map(|r| Update {
            health: Health::Dead,
            ..r.update.clone()
        })
        .collect()
    }

    /// Extends the time to refute by a pause of the own process.
    pub(super) fn extend(&mut self, gap: Duration) {
        for record in self.records.values_mut() {
            record.limit = record.limit.map(|limit| limit + gap);
        }
    }

    /// Takes the platform's list; returns `false` if it is stale.
    pub(super) fn list(&mut self, now: Time, revision: u64, vms: &[ListedVm]) -> bool {
        if revision < self.revision {
            return false;
        }
        self.revision = revision;
        for record in self.records.values_mut() {
            if record.presence != Presence::Unseen {
                record.presence = Presence::Removed;
            }
        }
        let own = self.own.name.clone();
        for vm in vms.iter().filter(|vm| vm.name != own) {
            self.list_one(now, vm);
        }
        self.changed = true;
        true
    }

    fn list_one(&mut self, now: Time, vm: &ListedVm) {
        let record = self
            .records
            .entry(vm.name.clone())
            .or_insert_with(|| Record {
                update: Update {
                    name: vm.name.clone(),
                    zone: vm.zone.clone(),
                    addr: vm.addr,
                    // Any statement of the VM itself replaces the list's.
                    incarnation: Incarnation(0),
                    health: Health::Alive,
                    leaving: false,
                },
                presence: Presence::Unseen,
                since: now,
                limit: None,
            });
        record.presence = if vm.leaving {
            Presence::PresentLeaving
        } else {
            Presence::Present
        };
        if record.update.health == Health::Dead {
            // It may have been replaced at another address.
            record.update.addr = vm.addr;
        }
    }

    /// Drops dead members that will not come back.
    pub(super) fn forget(&mut self, now: Time) {
        self.records.retain(|_, record| {
            let keep = match record.presence {
                Presence::Present | Presence::PresentLeaving => return true,
                Presence::Removed => KEEP_REMOVED,
                Presence::Unseen => KEEP_UNLISTED,
            };
            record.update.health != Health::Dead || now.since(record.since) < keep
        });
    }

    /// Returns the members that are not dead, with the own VM.
    pub(super) fn members(&self) -> BTreeMap<VmName, Member> {
        let own = (&self.own, Presence::Unseen);
        let others = self
            .records
            .values()
            .map(|record| (&record.update, record.presence));
        let live = others.filter(|(update, _)| update.health != Health::Dead);
        live.chain([own])
            .map(|(u, presence)| (u.name.clone(), member(u, presence)))
            .collect()
    }

    /// Returns the digest of the members that are not dead. Suspicions pass too fast to compare,
    /// and dead members are forgotten at different times.
    pub(super) fn digest(&self) -> Vec<u64> {
        let mut buckets = vec![0; BUCKETS];
        for update in self.live().chain([&self.own]) {
            let key = update.incarnation.0 << 1 | u64::from(update.leaving);
            buckets[bucket(&update.name)] ^= rendezvous_score(key, update.name.as_str());
        }
        buckets
    }

    /// Returns all statements, dead members included, of the buckets that `differ` names.
    pub(super) fn entries(&self, differ: &[bool]) -> Vec<Update> {
        let all = self
            .records
            .values()
            .map(|record| &record.update)
            .chain([&self.own]);
        all.filter(|update| differ[bucket(&update.name)])
            .cloned()
            .collect()
    }
}

fn member(update: &Update, presence: Presence) -> Member {
    let removed = matches!(presence, Presence::Removed | Presence::PresentLeaving);
    let standing = match update.health {
        _ if update.leaving || removed => MemberStatus::Leaving,
        Health::Suspect => MemberStatus::Suspect,
        Health::Alive | Health::Dead => MemberStatus::Live,
    };
    Member {
        zone: update.zone.clone(),
        addr: update.addr,
        incarnation: update.incarnation,
        status: standing,
    }
}

#[expect(clippy::cast_possible_truncation, reason = "the remainder is below 16")]
fn bucket(name: &VmName) -> usize {
    (hash64(name.as_str().as_bytes()) % BUCKETS as u64) as usize
}
