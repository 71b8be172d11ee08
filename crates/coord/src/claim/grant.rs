//! The granting side: which keys a VM may grant, and how it learns what it does not know.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::claim::ClaimOptions;
use crate::claim::records::{RecordStore, WriteResult};
use crate::claim::types::{Action, AttemptId, Denial, Key, KeyHash, Message, Page};
use crate::claim::vm_list::{Quorum, VmList, VmLists};
use crate::name::{Incarnation, VmName};
use crate::time::Time;

/// Time between two questions to a VM that has not answered.
const ASK_AGAIN: Duration = Duration::from_millis(200);

/// Time between two questions whether a VM is ready, once its records are known.
const POLL: Duration = Duration::from_secs(1);

/// A question that starts here asks for the other VM's state only.
const LAST: KeyHash = KeyHash(u64::MAX, u64::MAX);

/// What is known about another VM under the list in force.
#[derive(Clone, Copy, Debug, Default)]
struct Peer {
    incarnation: Incarnation,
    /// It moved to the list in force and all its wanted records are here.
    read: bool,
    complete: bool,
    ready: bool,
    /// Its `complete` and `ready` at the first page of the reading in progress: records that it
    /// copied later may have been written behind the pages.
    first: (bool, bool),
    after: Option<KeyHash>,
    asked: Option<Time>,
}

/// The granting side of one VM.
#[derive(Clone, Debug)]
pub(super) struct Granter {
    me: VmName,
    incarnation: Incarnation,
    boot: Time,
    boot_wall: u64,
    options: ClaimOptions,
    pub(super) memory: RecordStore,
    peers: BTreeMap<VmName, Peer>,
    /// The last list under which this VM was ready for every key.
    base: Option<u64>,
    complete: bool,
    ready: bool,
    /// Unix time in ms from which on no key can be granted under an older list.
    sealed: Option<u64>,
}

impl Granter {
    pub(super) fn new(
        me: VmName,
        incarnation: Incarnation,
        (boot, boot_wall): (Time, u64),
        options: ClaimOptions,
    ) -> Self {
        Self {
            me,
            incarnation,
            boot,
            boot_wall,
            memory: RecordStore::new(options.record_ttl(), options.max_records),
            options,
            peers: BTreeMap::new(),
            base: None,
            complete: false,
            ready: false,
            sealed: None,
        }
    }

    /// Answers a request that names the list in force.
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
        match self.memory.write(now, key.hash, from, attempt) {
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

    /// Forgets what was known under the former list.
    pub(super) fn moved(&mut self) {
        self.ready = false;
        self.sealed = None;
        self.peers.clear();
    }

    /// Answers a question that names the list in force.
    pub(super) fn ask(
        &self,
        now: Time,
        lists: &VmLists,
        from: &VmName,
        (requester, base, after): (Incarnation, Option<u64>, Option<KeyHash>),
    ) -> Message {
        let known = base.and_then(|revision| lists.get(revision));
        let wanted = |key| {
            let had = known.is_some_and(|list| list.in_set(key, from));
            !had && lists.current().in_set(key, from)
        };
        let size = self.options.page_size;
        let (records, next) = self.memory.page(now, after, size, wanted);
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

    /// Takes over a page of records; asks for the next one or for lists that are missing.
    pub(super) fn page(
        &mut self,
        now: Time,
        lists: &mut VmLists,
        from: &VmName,
        page: &Page,
    ) -> Vec<Action> {
        if !self.expected(from, page) {
            return Vec::new();
        }
        let missing = lists.learn(page.floor, &page.history);
        if !missing.is_empty() {
            let need = missing.into_iter().map(Message::NeedList);
            return need.map(|message| send(from, message)).collect();
        }
        if self.drop_base(lists) {
            return Vec::new();
        }
        if !page.records.iter().all(|r| self.memory.copy(now, r)) {
            return Vec::new();
        }
        let question = self.question(lists, page.next);
        let peer = self.peers.entry(from.clone()).or_default();
        peer.asked = Some(now);
        if page.after.is_none() || page.after == Some(LAST) {
            peer.first = (page.complete, page.ready);
        }
        if page.next.is_some() {
            peer.after = page.next;
            return vec![send(from, question)];
        }
        (peer.complete, peer.ready) = peer.first;
        peer.read = true;
        peer.after = None;
        self.update(now, lists);
        Vec::new()
    }

    /// Returns whether `page` answers the last question to `from`.
    fn expected(&mut self, from: &VmName, page: &Page) -> bool {
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

    /// Asks the VMs that have not answered, and accepts an old memory as complete.
    pub(super) fn tick(&mut self, now: Time, lists: &mut VmLists) -> Vec<Action> {
        self.memory.sweep(now);
        let age = now.since(self.boot);
        if age >= self.options.record_ttl() {
            self.complete = true;
        }
        self.update(now, lists);
        if age < self.options.boot_wait || self.settled(lists) {
            return Vec::new();
        }
        let mut actions = Vec::new();
        for vm in self.questioned(lists) {
            let peer = self.peers.entry(vm.clone()).or_default();
            let pause = if peer.read { POLL } else { ASK_AGAIN };
            if peer.asked.is_some_and(|asked| now.since(asked) < pause) {
                continue;
            }
            peer.asked = Some(now);
            if self.ready {
                peer.after = Some(LAST);
            }
            let after = peer.after;
            actions.push(send(&vm, self.question(lists, after)));
        }
        actions
    }

    /// Returns whether every key is granted or denied by its record.
    pub(super) const fn ready(&self) -> bool {
        self.ready
    }

    fn settled(&self, lists: &VmLists) -> bool {
        self.ready && lists.floor() == lists.revision()
    }

    fn question(&self, lists: &VmLists, after: Option<KeyHash>) -> Message {
        Message::FetchPage {
            revision: lists.revision(),
            requester: self.incarnation,
            base: self.base,
            after,
        }
    }

    fn questioned(&self, lists: &VmLists) -> Vec<VmName> {
        let mut vms: Vec<VmName> = lists.current().vms.to_vec();
        vms.extend(lists.earlier().flat_map(|l| l.vms.iter().cloned()));
        vms.sort_unstable();
        vms.dedup();
        vms.retain(|vm| *vm != self.me);
        vms
    }

    /// Gives up the base if a list between it and the current one may have had quorums, or if
    /// the quorum became small enough for the VMs that lack a record. All records are then
    /// copied. Returns whether the base was given up.
    fn drop_base(&mut self, lists: &VmLists) -> bool {
        let Some(base) = self.base.filter(|base| *base != lists.revision()) else {
            return false;
        };
        let max_missing = self.quorum(lists.current()).max_missing;
        let fits = lists
            .get(base)
            .is_some_and(|list| self.quorum(list).max_missing <= max_missing);
        if lists.follows(base) && fits {
            return false;
        }
        self.base = None;
        self.peers.clear();
        true
    }

    fn quorum(&self, list: &VmList) -> Quorum {
        Quorum::of(list.set_size(), self.options.min_set)
    }

    fn update(&mut self, now: Time, lists: &mut VmLists) {
        if !self.ready && self.covers_all(lists) {
            self.ready = true;
            self.complete = true;
            self.base = Some(lists.revision());
        }
        if self.sealed.is_none() && self.all_moved(lists) {
            self.sealed = Some(self.wall(now));
        }
        if self.ready && self.enough_ready(lists) {
            lists.raise_floor(lists.revision());
        }
    }

    fn wall(&self, now: Time) -> u64 {
        let up = u64::try_from(now.since(self.boot).as_millis()).unwrap_or(u64::MAX);
        self.boot_wall.saturating_add(up)
    }

    /// Returns whether the VM's records decide about `key`.
    fn may_grant(&self, lists: &VmLists, key: Key) -> bool {
        self.ready || self.issued_after_seal(key) || self.covers_key(lists, key.hash)
    }

    /// A key issued after the VM's start and after the older lists went out of force cannot have
    /// a record that this VM lacks.
    fn issued_after_seal(&self, key: Key) -> bool {
        let skew = u64::try_from(self.options.clock_skew.as_millis()).unwrap_or(u64::MAX);
        let since = self.sealed.map(|sealed| sealed.saturating_add(skew));
        since.is_some_and(|since| key.issued_ms.is_some_and(|issued| issued > since))
    }

    fn covers_key(&self, lists: &VmLists, key: KeyHash) -> bool {
        let current = lists.current();
        let ready = self.count(&current.set(key), |p| p.read && p.ready, false);
        if ready > self.quorum(current).max_missing {
            return true;
        }
        self.complete
            && has_earlier(lists)
            && lists.earlier().all(|list| {
                let read = self.count(&list.set(key), |p| p.read && p.complete, true);
                read >= self.quorum(list).size
            })
    }

    fn covers_all(&self, lists: &VmLists) -> bool {
        let current = lists.current();
        if current.has_single_set() && lists.earlier().all(VmList::has_single_set) {
            return self.covers_key(lists, KeyHash(0, 0));
        }
        let unready = current.vms.len() - self.count(&current.vms, |p| p.read && p.ready, false);
        let quorum = self.quorum(current);
        if unready < current.set_size().saturating_sub(quorum.max_missing) {
            return true;
        }
        self.complete
            && has_earlier(lists)
            && lists.earlier().all(|list| {
                let read = self.count(&list.vms, |p| p.read && p.complete, true);
                list.vms.len() - read <= self.quorum(list).max_missing
            })
    }

    fn all_moved(&self, lists: &VmLists) -> bool {
        let mut all = lists.earlier().chain([lists.current()]);
        all.all(|list| {
            let read = self.count(&list.vms, |p| p.asked.is_some() && p.read, true);
            list.vms.len() - read <= self.quorum(list).max_missing
        })
    }

    fn enough_ready(&self, lists: &VmLists) -> bool {
        let list = lists.current();
        let ready = self.count(&list.vms, |p| p.ready, true);
        let quorum = self.quorum(list);
        quorum.size <= list.set_size() && list.vms.len() - ready <= quorum.max_missing
    }

    /// Counts the VMs that `test` selects; `own` says whether this VM counts as one of them.
    fn count(&self, vms: &[VmName], test: impl Fn(&Peer) -> bool, own: bool) -> usize {
        vms.iter()
            .filter(|vm| {
                if **vm == self.me {
                    return own;
                }
                self.peers.get(*vm).is_some_and(&test)
            })
            .count()
    }
}

/// Once the floor reaches the current list, its own members are the only source.
fn has_earlier(lists: &VmLists) -> bool {
    lists.floor() < lists.revision()
}

fn send(to: &VmName, message: Message) -> Action {
    Action::Send {
        to: to.clone(),
        message,
    }
}
