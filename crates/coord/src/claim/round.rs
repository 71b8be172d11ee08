//! The claimant's side: one attempt from its first request to its outcome.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::claim::types::{Action, AttemptId, Denial, Holder, Key, Message, Outcome};
use crate::claim::vm_list::{Quorum, VmList};
use crate::name::{Incarnation, VmName};
use crate::time::Time;

/// Time between two requests to a VM that did not answer or was not ready.
const ASK_AGAIN: Duration = Duration::from_millis(100);

/// Advice after a claim that lost against a concurrent one.
const SOON: Duration = Duration::from_millis(100);

/// Advice after a claim that too few VMs answered.
const LATER: Duration = Duration::from_secs(1);

/// Releases are repeated until they are confirmed, at this interval.
const RELEASE_AGAIN: Duration = Duration::from_millis(500);

/// Time for which a released attempt is remembered, so that a late grant is released as well.
const RELEASE_KEPT: Duration = Duration::from_mins(1);

#[derive(Clone, Debug, PartialEq, Eq)]
enum Reply {
    Granted,
    Held(Holder),
    Refused,
    /// Not an answer yet; the incarnation voids an earlier grant.
    NotReady,
}

/// The collection of grants for one attempt.
#[derive(Clone, Debug)]
pub(super) struct Round {
    pub(super) key: Key,
    pub(super) attempt: AttemptId,
    pub(super) started: Time,
    revision: u64,
    set: Vec<VmName>,
    quorum: Quorum,
    replies: BTreeMap<VmName, (Incarnation, Reply)>,
    asked: Time,
    /// VMs that may hold a grant, also under earlier lists.
    reached: BTreeSet<VmName>,
}

impl Round {
    pub(super) fn new(
        now: Time,
        key: Key,
        attempt: AttemptId,
        list: &VmList,
        min_set: usize,
    ) -> Self {
        let mut round = Self {
            key,
            attempt,
            started: now,
            revision: 0,
            set: Vec::new(),
            quorum: Quorum {
                size: 0,
                max_missing: 0,
            },
            replies: BTreeMap::new(),
            asked: now,
            reached: BTreeSet::new(),
        };
        round.restart(list, min_set);
        round
    }

    /// Starts again under a newer list; the start of the round does not change.
    pub(super) fn restart(&mut self, list: &VmList, min_set: usize) {
        self.revision = list.revision;
        self.set = list.set(self.key.hash);
        self.quorum = Quorum::of(list.set_size(), min_set);
        self.replies.clear();
    }

    /// Requests grants from all VMs that have not decided.
    pub(super) fn request(&mut self, now: Time) -> Vec<Action> {
        self.asked = now;
        let open: Vec<VmName> = self.open().cloned().collect();
        self.reached.extend(open.iter().cloned());
        let message = Message::Request {
            revision: self.revision,
            key: self.key,
            attempt: self.attempt,
        };
        let send = |to| Action::Send {
            to,
            message: message.clone(),
        };
        open.into_iter().map(send).collect()
    }

    /// Requests again when the VMs had time to answer.
    pub(super) fn repeat(&mut self, now: Time) -> Vec<Action> {
        if now.since(self.asked) < ASK_AGAIN {
            return Vec::new();
        }
        self.request(now)
    }

    pub(super) fn granted(&mut self, from: &VmName, revision: u64, incarnation: Incarnation) {
        if revision == self.revision {
            self.note(from, incarnation, Reply::Granted);
        }
    }

    pub(super) fn denied(
        &mut self,
        from: &VmName,
        revision: u64,
        incarnation: Incarnation,
        reason: Denial,
    ) {
        if revision != self.revision {
            return;
        }
        let reply = match reason {
            Denial::Held(holder) => Reply::Held(holder),
            Denial::Full => Reply::Refused,
            Denial::NotReady => Reply::NotReady,
        };
        self.note(from, incarnation, reply);
    }

    fn note(&mut self, from: &VmName, incarnation: Incarnation, reply: Reply) {
        if !self.set.contains(from) {
            return;
        }
        let old = self.replies.get(from);
        let late = old.is_some_and(|(known, old)| {
            *known > incarnation || (*known == incarnation && *old == Reply::Granted)
        });
        if !late {
            self.replies.insert(from.clone(), (incarnation, reply));
        }
    }

    /// Returns the outcome as soon as it is certain, and at the end of the round in any case.
    pub(super) fn outcome(&self, now: Time, limit: Duration) -> Option<Outcome> {
        let elapsed = now.since(self.started);
        let grants = self.grants();
        if grants >= self.quorum.size && elapsed <= limit {
            return Some(Outcome::Dispatch);
        }
        if grants + self.open().count() >= self.quorum.size && elapsed <= limit {
            return None;
        }
        Some(self.refusal(now, limit))
    }

    /// Returns what to tell the caller when this attempt is not dispatched.
    ///
    /// Any other attempt's quorum shares a VM with w − q + 1 grants, so that many grants prove
    /// that no other attempt ran. Granters that were restarted meanwhile need at least the boot
    /// wait, which is more than `limit` plus 0.9 s, before they could forget the grant.
    pub(super) fn refusal(&self, now: Time, limit: Duration) -> Outcome {
        let fresh = now.since(self.started) <= limit * 19 / 10;
        if fresh && self.grants() > self.quorum.max_missing && self.quorum.size <= self.set.len() {
            return Outcome::NotRun { retry_after: SOON };
        }
        match self.main_holder() {
            Some(holder) => Outcome::Attach { holder },
            None => Outcome::Unknown { retry_after: LATER },
        }
    }

    fn main_holder(&self) -> Option<Holder> {
        let mut votes: BTreeMap<&Holder, usize> = BTreeMap::new();
        for (_, reply) in self.replies.values() {
            if let Reply::Held(holder) = reply {
                *votes.entry(holder).or_default() += 1;
            }
        }
        let best = votes.into_iter().max_by_key(|(_, votes)| *votes);
        best.map(|(holder, _)| holder.clone())
    }

    fn grants(&self) -> usize {
        let granted = |reply: &&(Incarnation, Reply)| reply.1 == Reply::Granted;
        self.replies.values().filter(granted).count()
    }

    fn open(&self) -> impl Iterator<Item = &VmName> {
        self.set.iter().filter(|vm| {
            let reply = self.replies.get(*vm);
            reply.is_none_or(|(_, reply)| *reply == Reply::NotReady)
        })
    }

    /// Ends the round without a dispatch.
    pub(super) fn abandon(self, now: Time) -> Abandoned {
        Abandoned {
            key: self.key,
            attempt: self.attempt,
            since: now,
            sent: None,
            pending: self.reached,
        }
    }
}

/// An attempt that is never dispatched and whose grants are being released.
#[derive(Clone, Debug)]
pub(super) struct Abandoned {
    key: Key,
    attempt: AttemptId,
    since: Time,
    sent: Option<Time>,
    pending: BTreeSet<VmName>,
}

impl Abandoned {
    /// Returns the releases that are due.
    pub(super) fn release(&mut self, now: Time) -> Vec<Action> {
        if self.sent.is_some_and(|s| now.since(s) < RELEASE_AGAIN) {
            return Vec::new();
        }
        self.sent = Some(now);
        let all = self.pending.iter();
        all.map(|to| self.release_at(to)).collect()
    }

    /// Releases the grant of one VM.
    pub(super) fn release_at(&self, to: &VmName) -> Action {
        Action::Send {
            to: to.clone(),
            message: Message::Release {
                key: self.key.hash,
                attempt: self.attempt,
            },
        }
    }

    pub(super) fn confirmed(&mut self, from: &VmName) {
        self.pending.remove(from);
    }

    pub(super) fn over(&self, now: Time) -> bool {
        now.since(self.since) >= RELEASE_KEPT
    }
}
