//! The latest update about each member and its state in the platform's list.

use std::collections::BTreeMap;
use std::time::Duration;

use super::types::{BUCKETS, Health, ListedVm, Member, MemberStatus, Update};
use crate::hash::{hash64, rendezvous_score};
use crate::name::{Incarnation, VmName};
use crate::time::Time;

/// The time for which a dead member is kept after its removal from the platform's list, so that
/// late gossip about it is recognised as old.
const REMOVED_RETENTION: Duration = Duration::from_mins(1);

/// The time for which a dead member that was never in the platform's list is kept. It is longer
/// than the expected loss of contact between regions (1 h, `docs/design.md`, section 2).
const UNLISTED_RETENTION: Duration = Duration::from_hours(2);

/// The kind of message that an update arrived with.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum UpdateSource {
    /// Gossip, which is passed on as urgent.
    Gossip,
    /// A comparison of views; most members know the update already.
    Sync,
}

/// The state of a member in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ListState {
    /// No list has contained the member.
    NeverListed,
    Listed,
    /// The list marks the member as about to be removed.
    ListedLeaving,
    /// An earlier list contained the member, the latest one does not.
    Removed,
}

#[derive(Debug)]
struct Record {
    update: Update,
    list_state: ListState,
    /// The time at which the health last changed.
    health_since: Time,
    /// The time at which a suspected member is declared dead.
    dead_at: Option<Time>,
}

#[derive(Debug)]
pub(super) struct Table {
    pub(super) own: Update,
    records: BTreeMap<VmName, Record>,
    revision: u64,
    /// Whether the view may have changed. Building a view takes time proportional to the number of
    /// members, so it is only done after a change.
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

    /// Returns the dead members that may return, which excludes those removed from the list.
    pub(super) fn dead(&self) -> impl Iterator<Item = &Update> {
        let candidates = self
            .records
            .values()
            .filter(|r| r.list_state != ListState::Removed);
        candidates
            .map(|record| &record.update)
            .filter(|update| update.health == Health::Dead)
    }

    /// Returns `true` if `update` about this VM is wrong, or if it stems from an earlier process
    /// and would override the current one at other members.
    pub(super) fn must_refute(&self, update: &Update) -> bool {
        let differs = update.health != Health::Alive || update.leaving != self.own.leaving;
        let same = update.incarnation == self.own.incarnation;
        update.incarnation > self.own.incarnation || (same && differs)
    }

    /// Applies an update. Returns `None` if nothing changed, and otherwise whether the change is
    /// urgent.
    pub(super) fn apply(
        &mut self,
        now: Time,
        update: &Update,
        suspicion: Duration,
        source: UpdateSource,
    ) -> Option<bool> {
        let dead_at = (update.health == Health::Suspect).then(|| now + suspicion);
        let urgent = source == UpdateSource::Gossip;
        let Some(record) = self.records.get_mut(&update.name) else {
            // A member that is unknown and already dead need not be recorded.
            if update.health == Health::Dead {
                return None;
            }
            let list_state = ListState::NeverListed;
            let record = Record {
                update: update.clone(),
                list_state,
                health_since: now,
                dead_at,
            };
            self.records.insert(update.name.clone(), record);
            self.changed = true;
            return Some(urgent);
        };
        // After a partition, the peer may consider members dead that this VM reaches. They become
        // suspects with time to refute, so that they keep the ownership of their keys.
        if source == UpdateSource::Sync
            && update.health == Health::Dead
            && record.update.health == Health::Alive
        {
            let health = Health::Suspect;
            let update = Update {
                health,
                ..update.clone()
            };
            return self.apply(now, &update, suspicion, UpdateSource::Gossip);
        }
        if !update.supersedes(&record.update) {
            return None;
        }
        let returned = record.update.health == Health::Dead;
        if record.update.health != update.health {
            record.health_since = now;
        }
        record.update = update.clone();
        record.dead_at = dead_at;
        self.changed = true;
        Some(urgent || returned)
    }

    /// Returns a `Dead` update for each suspected member whose suspicion timeout has expired.
    pub(super) fn expired_suspicions(&self, now: Time) -> Vec<Update> {
        let expired = self
            .records
            .values()
            .filter(|r| r.dead_at.is_some_and(|dead_at| dead_at <= now));
        expired
            .map(|r| Update {
                health: Health::Dead,
                ..r.update.clone()
            })
            .collect()
    }

    /// Extends the suspicion timeouts by a gap in which this process did not run.
    pub(super) fn extend_suspicions(&mut self, gap: Duration) {
        for record in self.records.values_mut() {
            record.dead_at = record.dead_at.map(|dead_at| dead_at + gap);
        }
    }

    /// Applies the platform's list; returns `false` if it is stale.
    pub(super) fn apply_list(&mut self, now: Time, revision: u64, vms: &[ListedVm]) -> bool {
        if revision < self.revision {
            return false;
        }
        self.revision = revision;
        for record in self.records.values_mut() {
            if record.list_state != ListState::NeverListed {
                record.list_state = ListState::Removed;
            }
        }
        let own = self.own.name.clone();
        for vm in vms.iter().filter(|vm| vm.name != own) {
            self.apply_listed(now, vm);
        }
        self.changed = true;
        true
    }

    fn apply_listed(&mut self, now: Time, vm: &ListedVm) {
        let record = self
            .records
            .entry(vm.name.clone())
            .or_insert_with(|| Record {
                update: Update {
                    name: vm.name.clone(),
                    zone: vm.zone.clone(),
                    addr: vm.addr,
                    // The lowest incarnation, so that any update from the VM itself replaces it.
                    incarnation: Incarnation(0),
                    health: Health::Alive,
                    leaving: false,
                },
                list_state: ListState::NeverListed,
                health_since: now,
                dead_at: None,
            });
        record.list_state = if vm.leaving {
            ListState::ListedLeaving
        } else {
            ListState::Listed
        };
        if record.update.health == Health::Dead {
            // A VM of the same name may have been started at another address.
            record.update.addr = vm.addr;
        }
    }

    /// Removes dead members whose retention time has passed.
    pub(super) fn remove_expired(&mut self, now: Time) {
        self.records.retain(|_, record| {
            let retention = match record.list_state {
                ListState::Listed | ListState::ListedLeaving => return true,
                ListState::Removed => REMOVED_RETENTION,
                ListState::NeverListed => UNLISTED_RETENTION,
            };
            record.update.health != Health::Dead || now.since(record.health_since) < retention
        });
    }

    /// Returns the members that are not dead, including this VM.
    pub(super) fn members(&self) -> BTreeMap<VmName, Member> {
        let own = (&self.own, ListState::NeverListed);
        let others = self
            .records
            .values()
            .map(|record| (&record.update, record.list_state));
        let live = others.filter(|(update, _)| update.health != Health::Dead);
        live.chain([own])
            .map(|(u, list_state)| (u.name.clone(), member(u, list_state)))
            .collect()
    }

    /// Returns the digest of the members that are not dead, one hash per bucket. It ignores
    /// suspicions, which are too short-lived to compare, and dead members, which the VMs remove at
    /// different times.
    pub(super) fn digest(&self) -> Vec<u64> {
        let mut buckets = vec![0; BUCKETS];
        for update in self.live().chain([&self.own]) {
            let key = update.incarnation.0 << 1 | u64::from(update.leaving);
            buckets[bucket(&update.name)] ^= rendezvous_score(key, update.name.as_str());
        }
        buckets
    }

    /// Returns the updates in the buckets for which `differ` is `true`, including dead members.
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

fn member(update: &Update, list_state: ListState) -> Member {
    let removed = matches!(list_state, ListState::Removed | ListState::ListedLeaving);
    let status = match update.health {
        _ if update.leaving || removed => MemberStatus::Leaving,
        Health::Suspect => MemberStatus::Suspect,
        Health::Alive | Health::Dead => MemberStatus::Live,
    };
    Member {
        zone: update.zone.clone(),
        addr: update.addr,
        incarnation: update.incarnation,
        status,
    }
}

#[expect(clippy::cast_possible_truncation, reason = "the remainder is below 16")]
fn bucket(name: &VmName) -> usize {
    (hash64(name.as_str().as_bytes()) % BUCKETS as u64) as usize
}
