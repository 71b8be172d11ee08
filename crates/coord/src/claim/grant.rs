//! The granting side of claims: which keys a VM may grant, and how it copies the records that it
//! lacks from the other VMs.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::claim::ClaimOptions;
use crate::claim::records::{RecordStore, WriteResult};
use crate::claim::types::{Action, AttemptId, Denial, Key, KeyHash, Message, Page};
use crate::claim::vm_list::{Quorum, VmList, VmLists};
use crate::name::{Incarnation, VmName};
use crate::time::Time;

/// Time between two page requests to a VM that has not sent all its pages.
const FETCH_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Time between two requests for the readiness of a VM whose records have been copied.
const READY_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// The last key hash. A page request that starts after it returns the sender's state without
/// records.
const MAX_KEY_HASH: KeyHash = KeyHash(u64::MAX, u64::MAX);

/// The state of another VM under the current list.
#[derive(Clone, Copy, Debug, Default)]
struct Peer {
    incarnation: Incarnation,
    /// The VM uses the current list, and this VM has copied all records that it needs from it.
    synced: bool,
    complete: bool,
    ready: bool,
    /// The values of `complete` and `ready` in the first page of the copy in progress. Later values
    /// do not count, because the VM may have added records to the key range of pages that it had
    /// already sent.
    first_state: (bool, bool),
    /// The last key received in the copy in progress.
    after: Option<KeyHash>,
    requested_at: Option<Time>,
}

/// The granter of one VM.
#[derive(Clone, Debug)]
pub(super) struct Granter {
    local_vm: VmName,
    incarnation: Incarnation,
    boot: Time,
    boot_unix_ms: u64,
    options: ClaimOptions,
    pub(super) records: RecordStore,
    peers: BTreeMap<VmName, Peer>,
    /// The revision of the last list under which this VM was ready for every key.
    base: Option<u64>,
    complete: bool,
    ready: bool,
    /// Unix time in milliseconds at which this VM knew that no older list can reach a quorum any
    /// more.
    closed_ms: Option<u64>,
}

impl Granter {
    pub(super) fn new(
        local_vm: VmName,
        incarnation: Incarnation,
        (boot, boot_unix_ms): (Time, u64),
        options: ClaimOptions,
    ) -> Self {
        Self {
            local_vm,
            incarnation,
            boot,
            boot_unix_ms,
            records: RecordStore::new(options.record_ttl(), options.max_records),
            options,
            peers: BTreeMap::new(),
            base: None,
            complete: false,
            ready: false,
            closed_ms: None,
        }
    }

    /// Answers a grant request that names the current list.
    pub(super) fn request(
        &mut self,
        now: Time,
        lists: &VmLists,
        from: &VmName,
        key: Key,
        attempt: AttemptId,
    ) -> Option<Message> {
        let (revision, incarnation) = (lists.revision(), self.incarnation);
        let deny = |reason| Message::Denied {
            revision,
            attempt,
            incarnation,
            reason,
        };
        if !self.may_grant(lists, key) {
            return Some(deny(Denial::NotReady));
        }
        match self.records.write(now, key.hash, from, attempt) {
            WriteResult::Granted => Some(Message::Granted {
                revision,
                key,
                attempt,
                incarnation,
            }),
            WriteResult::Held(holder) => Some(deny(Denial::Held(holder))),
            WriteResult::Full => Some(deny(Denial::Full)),
            WriteResult::Released => None,
        }
    }

    /// Resets the state that applied to the previous list.
    pub(super) fn list_changed(&mut self) {
        self.ready = false;
        self.closed_ms = None;
        self.peers.clear();
    }

    /// Answers a page request that names the current list.
    pub(super) fn answer_fetch(
        &self,
        now: Time,
        lists: &VmLists,
        from: &VmName,
        (requester, base, after): (Incarnation, Option<u64>, Option<KeyHash>),
    ) -> Message {
        let base_list = base.and_then(|revision| lists.get(revision));
        let wanted = |key| {
            let already_held = base_list.is_some_and(|list| list.set_contains(key, from));
            !already_held && lists.current().set_contains(key, from)
        };
        let size = self.options.page_size;
        let (records, next) = self.records.page(now, after, size, wanted);
        Message::Page(Page {
            revision: lists.revision(),
            requester,
            base,
            after,
            incarnation: self.incarnation,
            complete: self.complete,
            ready: self.ready,
            floor: lists.floor(),
            history: lists.history(),
            records,
            next,
        })
    }

    /// Copies a page of records, and requests the next page or the lists that are missing.
    pub(super) fn receive_page(
        &mut self,
        now: Time,
        lists: &mut VmLists,
        from: &VmName,
        page: &Page,
    ) -> Vec<Action> {
        if !self.is_expected(from, page) {
            return Vec::new();
        }
        let missing = lists.merge(page.floor, &page.history);
        if !missing.is_empty() {
            let requests = missing.into_iter().map(Message::NeedList);
            return requests.map(|message| send(from, message)).collect();
        }
        if self.drop_base(lists) {
            return Vec::new();
        }
        if !page.records.iter().all(|r| self.records.import(now, r)) {
            return Vec::new();
        }
        let query = self.fetch_message(lists, page.next);
        let peer = self.peers.entry(from.clone()).or_default();
        peer.requested_at = Some(now);
        if page.after.is_none() || page.after == Some(MAX_KEY_HASH) {
            peer.first_state = (page.complete, page.ready);
        }
        if page.next.is_some() {
            peer.after = page.next;
            return vec![send(from, query)];
        }
        (peer.complete, peer.ready) = peer.first_state;
        peer.synced = true;
        peer.after = None;
        self.update_state(now, lists);
        Vec::new()
    }

    /// Returns whether `page` answers the last page request to `from`.
    fn is_expected(&mut self, from: &VmName, page: &Page) -> bool {
        let peer = self.peers.entry(from.clone()).or_default();
        if page.incarnation > peer.incarnation {
            *peer = Peer {
                incarnation: page.incarnation,
                ..Peer::default()
            };
        }
        page.incarnation == peer.incarnation
            && page.requester == self.incarnation
            && page.base == self.base
            && page.after == peer.after
    }

    /// Sends the due page requests. Once this VM has run for the lifetime of a record, its records
    /// are complete, because all grants of its earlier starts have expired.
    pub(super) fn tick(&mut self, now: Time, lists: &mut VmLists) -> Vec<Action> {
        self.records.sweep(now);
        let age = now.since(self.boot);
        if age >= self.options.record_ttl() {
            self.complete = true;
        }
        self.update_state(now, lists);
        if age < self.options.boot_wait || self.is_settled(lists) {
            return Vec::new();
        }
        let mut actions = Vec::new();
        for vm in self.peers_to_query(lists) {
            let peer = self.peers.entry(vm.clone()).or_default();
            let interval = if peer.synced {
                READY_POLL_INTERVAL
            } else {
                FETCH_RETRY_INTERVAL
            };
            if peer.requested_at.is_some_and(|at| now.since(at) < interval) {
                continue;
            }
            peer.requested_at = Some(now);
            if self.ready {
                peer.after = Some(MAX_KEY_HASH);
            }
            let after = peer.after;
            actions.push(send(&vm, self.fetch_message(lists, after)));
        }
        actions
    }

    /// Returns whether this VM's records decide every key.
    pub(super) const fn ready(&self) -> bool {
        self.ready
    }

    /// Returns whether there is nothing left to copy or poll under the current list.
    fn is_settled(&self, lists: &VmLists) -> bool {
        self.ready && lists.floor() == lists.revision()
    }

    fn fetch_message(&self, lists: &VmLists, after: Option<KeyHash>) -> Message {
        Message::FetchPage {
            revision: lists.revision(),
            requester: self.incarnation,
            base: self.base,
            after,
        }
    }

    fn peers_to_query(&self, lists: &VmLists) -> Vec<VmName> {
        let mut vms: Vec<VmName> = lists.current().vms.to_vec();
        vms.extend(lists.earlier().flat_map(|l| l.vms.iter().cloned()));
        vms.sort_unstable();
        vms.dedup();
        vms.retain(|vm| *vm != self.local_vm);
        vms
    }

    /// Drops the base revision if a list between it and the current one may have had quorums, or if
    /// fewer members may lack a record under the current quorum than under that of the base.
    /// Without a base, this VM copies all records. Returns whether the base was dropped.
    fn drop_base(&mut self, lists: &VmLists) -> bool {
        let Some(base) = self.base.filter(|base| *base != lists.revision()) else {
            return false;
        };
        let max_missing = self.quorum(lists.current()).max_missing;
        let quorum_fits = lists
            .get(base)
            .is_some_and(|list| self.quorum(list).max_missing <= max_missing);
        if lists.directly_follows(base) && quorum_fits {
            return false;
        }
        self.base = None;
        self.peers.clear();
        true
    }

    fn quorum(&self, list: &VmList) -> Quorum {
        Quorum::of(list.set_size(), self.options.min_set)
    }

    fn update_state(&mut self, now: Time, lists: &mut VmLists) {
        if !self.ready && self.covers_all_keys(lists) {
            self.ready = true;
            self.complete = true;
            self.base = Some(lists.revision());
        }
        if self.closed_ms.is_none() && self.earlier_lists_closed(lists) {
            self.closed_ms = Some(self.unix_ms(now));
        }
        if self.ready && self.quorums_ready(lists) {
            lists.raise_floor(lists.revision());
        }
    }

    fn unix_ms(&self, now: Time) -> u64 {
        let uptime_ms = u64::try_from(now.since(self.boot).as_millis()).unwrap_or(u64::MAX);
        self.boot_unix_ms.saturating_add(uptime_ms)
    }

    /// Returns whether this VM's records decide `key`.
    fn may_grant(&self, lists: &VmLists, key: Key) -> bool {
        self.ready || self.issued_after_close(key) || self.covers_key(lists, key.hash)
    }

    /// Returns whether the key was issued after this VM's start and after all older lists could no
    /// longer reach a quorum. Such a key cannot have a record that this VM lacks.
    fn issued_after_close(&self, key: Key) -> bool {
        let skew_ms = u64::try_from(self.options.clock_skew.as_millis()).unwrap_or(u64::MAX);
        let from_ms = self
            .closed_ms
            .map(|closed_ms| closed_ms.saturating_add(skew_ms));
        from_ms.is_some_and(|from_ms| key.issued_ms.is_some_and(|issued| issued > from_ms))
    }

    /// Returns whether this VM has the record of any attempt on `key` that may have been dispatched.
    ///
    /// That is so if it has copied the records of more ready members of the key's claim set than may
    /// lack such a record. It is also so if its own records and those copied from a quorum of the
    /// key's claim set under every earlier list are complete.
    fn covers_key(&self, lists: &VmLists, key: KeyHash) -> bool {
        let current = lists.current();
        let ready = self.count(&current.claim_set(key), |p| p.synced && p.ready, false);
        if ready > self.quorum(current).max_missing {
            return true;
        }
        self.complete
            && has_earlier(lists)
            && lists.earlier().all(|list| {
                let synced = self.count(&list.claim_set(key), |p| p.synced && p.complete, true);
                synced >= self.quorum(list).size
            })
    }

    /// Returns whether [`Self::covers_key`] holds for every key. If the claim sets differ between
    /// keys, the numbers of VMs must be sufficient for any possible claim set.
    fn covers_all_keys(&self, lists: &VmLists) -> bool {
        let current = lists.current();
        if current.has_single_set() && lists.earlier().all(VmList::has_single_set) {
            return self.covers_key(lists, KeyHash(0, 0));
        }
        let unready = current.vms.len() - self.count(&current.vms, |p| p.synced && p.ready, false);
        let quorum = self.quorum(current);
        if unready < current.set_size().saturating_sub(quorum.max_missing) {
            return true;
        }
        self.complete
            && has_earlier(lists)
            && lists.earlier().all(|list| {
                let synced = self.count(&list.vms, |p| p.synced && p.complete, true);
                list.vms.len() - synced <= self.quorum(list).max_missing
            })
    }

    /// Returns whether so many VMs of the current and of every earlier list use the current one that
    /// no attempt can reach a quorum under an earlier list any more.
    fn earlier_lists_closed(&self, lists: &VmLists) -> bool {
        let mut all = lists.earlier().chain([lists.current()]);
        all.all(|list| {
            let synced = self.count(&list.vms, |p| p.requested_at.is_some() && p.synced, true);
            list.vms.len() - synced <= self.quorum(list).max_missing
        })
    }

    /// Returns whether every claim set of the current list has a quorum of ready VMs.
    fn quorums_ready(&self, lists: &VmLists) -> bool {
        let list = lists.current();
        let ready = self.count(&list.vms, |p| p.ready, true);
        let quorum = self.quorum(list);
        quorum.size <= list.set_size() && list.vms.len() - ready <= quorum.max_missing
    }

    /// Counts the VMs that `test` selects. This VM itself counts if `include_self` is true.
    fn count(&self, vms: &[VmName], test: impl Fn(&Peer) -> bool, include_self: bool) -> usize {
        vms.iter()
            .filter(|vm| {
                if **vm == self.local_vm {
                    return include_self;
                }
                self.peers.get(*vm).is_some_and(&test)
            })
            .count()
    }
}

/// Returns whether records may exist that only an earlier list's claim sets hold. Once the floor
/// has reached the current list, records can be copied from its own members only.
fn has_earlier(lists: &VmLists) -> bool {
    lists.floor() < lists.revision()
}

fn send(to: &VmName, message: Message) -> Action {
    Action::Send {
        to: to.clone(),
        message,
    }
}
