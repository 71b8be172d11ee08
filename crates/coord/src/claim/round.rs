//! The claimant's side of claims: one attempt from its first grant request to its outcome.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::claim::types::{Action, AttemptId, Denial, Holder, Key, Message, Outcome};
use crate::claim::vm_list::{Quorum, VmList};
use crate::name::{Incarnation, VmName};
use crate::time::Time;

/// Time between two grant requests to a VM that did not answer or was not ready.
const REQUEST_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Delay before a retry that is advised when concurrent claims kept each other from a quorum.
const CONTENTION_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Delay before a retry that is advised when too few VMs decided.
const NO_QUORUM_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Interval at which releases are repeated until they are confirmed.
const RELEASE_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Time for which an abandoned attempt is remembered, so that a grant that arrives late is released
/// as well.
const ABANDONED_TTL: Duration = Duration::from_mins(1);

#[derive(Clone, Debug, PartialEq, Eq)]
enum Reply {
    Granted,
    Held(Holder),
    Refused,
    /// The VM has not decided. If its incarnation is newer, this reply also voids its earlier
    /// grant.
    NotReady,
}

/// The collection of grants for one attempt.
#[derive(Clone, Debug)]
pub(super) struct Round {
    pub(super) key: Key,
    pub(super) attempt: AttemptId,
    pub(super) started_at: Time,
    revision: u64,
    set: Vec<VmName>,
    quorum: Quorum,
    replies: BTreeMap<VmName, (Incarnation, Reply)>,
    requested_at: Time,
    /// VMs that may hold a grant for this attempt, including members of earlier lists.
    contacted: BTreeSet<VmName>,
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
            started_at: now,
            revision: 0,
            set: Vec::new(),
            quorum: Quorum {
                size: 0,
                max_missing: 0,
            },
            replies: BTreeMap::new(),
            requested_at: now,
            contacted: BTreeSet::new(),
        };
        round.restart(list, min_set);
        round
    }

    /// Restarts the collection under a newer list. The start time of the round does not change.
    pub(super) fn restart(&mut self, list: &VmList, min_set: usize) {
        self.revision = list.revision;
        self.set = list.claim_set(self.key.hash);
        self.quorum = Quorum::of(list.set_size(), min_set);
        self.replies.clear();
    }

    /// Requests grants from all members that have not decided.
    pub(super) fn request(&mut self, now: Time) -> Vec<Action> {
        self.requested_at = now;
        let undecided: Vec<VmName> = self.undecided().cloned().collect();
        self.contacted.extend(undecided.iter().cloned());
        let message = Message::Request {
            revision: self.revision,
            key: self.key,
            attempt: self.attempt,
        };
        let send = |to| Action::Send {
            to,
            message: message.clone(),
        };
        undecided.into_iter().map(send).collect()
    }

    /// Repeats the requests if the retry interval has passed.
    pub(super) fn retry(&mut self, now: Time) -> Vec<Action> {
        if now.since(self.requested_at) < REQUEST_RETRY_INTERVAL {
            return Vec::new();
        }
        self.request(now)
    }

    pub(super) fn granted(&mut self, from: &VmName, revision: u64, incarnation: Incarnation) {
        if revision == self.revision {
            self.record_reply(from, incarnation, Reply::Granted);
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
        self.record_reply(from, incarnation, reply);
    }

    /// Stores the reply of a member, unless the reply is from an earlier start of that VM or follows
    /// a grant of the same start.
    fn record_reply(&mut self, from: &VmName, incarnation: Incarnation, reply: Reply) {
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

    /// Returns the outcome as soon as it is certain, and at the round limit in any case.
    pub(super) fn outcome(&self, now: Time, limit: Duration) -> Option<Outcome> {
        let elapsed = now.since(self.started_at);
        let grants = self.grant_count();
        if grants >= self.quorum.size && elapsed <= limit {
            return Some(Outcome::Dispatch);
        }
        if grants + self.undecided().count() >= self.quorum.size && elapsed <= limit {
            return None;
        }
        Some(self.refusal(now, limit))
    }

    /// Returns the outcome to report to the caller if this attempt is not dispatched.
    ///
    /// With sets of w VMs and a quorum of q, the quorum of any other attempt shares at least one VM
    /// with any w − q + 1 granters, so that number of grants proves that no other attempt ran. A
    /// granter that was restarted meanwhile has lost its record, but grants no other attempt before
    /// its boot wait has passed, which is more than `limit` plus 0.9 s.
    pub(super) fn refusal(&self, now: Time, limit: Duration) -> Outcome {
        let in_time = now.since(self.started_at) <= limit * 19 / 10;
        if in_time
            && self.grant_count() > self.quorum.max_missing
            && self.quorum.size <= self.set.len()
        {
            return Outcome::NotRun {
                retry_after: CONTENTION_RETRY_AFTER,
            };
        }
        match self.most_reported_holder() {
            Some(holder) => Outcome::Attach { holder },
            None => Outcome::Unknown {
                retry_after: NO_QUORUM_RETRY_AFTER,
            },
        }
    }

    /// Returns the attempt that most of the denying members named as the holder of the key.
    fn most_reported_holder(&self) -> Option<Holder> {
        let mut votes: BTreeMap<&Holder, usize> = BTreeMap::new();
        for (_, reply) in self.replies.values() {
            if let Reply::Held(holder) = reply {
                *votes.entry(holder).or_default() += 1;
            }
        }
        let best = votes.into_iter().max_by_key(|(_, votes)| *votes);
        best.map(|(holder, _)| holder.clone())
    }

    fn grant_count(&self) -> usize {
        let granted = |reply: &&(Incarnation, Reply)| reply.1 == Reply::Granted;
        self.replies.values().filter(granted).count()
    }

    fn undecided(&self) -> impl Iterator<Item = &VmName> {
        self.set.iter().filter(|vm| {
            let reply = self.replies.get(*vm);
            reply.is_none_or(|(_, reply)| *reply == Reply::NotReady)
        })
    }

    /// Ends the attempt, which has not run and is not going to run. The result sends the releases.
    pub(super) fn abandon(self, now: Time) -> Abandoned {
        Abandoned {
            key: self.key,
            attempt: self.attempt,
            ended_at: now,
            sent_at: None,
            pending: self.contacted,
        }
    }
}

/// An attempt that is not going to run and whose grants are being released.
#[derive(Clone, Debug)]
pub(super) struct Abandoned {
    key: Key,
    attempt: AttemptId,
    ended_at: Time,
    sent_at: Option<Time>,
    pending: BTreeSet<VmName>,
}

impl Abandoned {
    /// Returns the releases to send if the retry interval has passed.
    pub(super) fn due_releases(&mut self, now: Time) -> Vec<Action> {
        if self
            .sent_at
            .is_some_and(|s| now.since(s) < RELEASE_RETRY_INTERVAL)
        {
            return Vec::new();
        }
        self.sent_at = Some(now);
        let all = self.pending.iter();
        all.map(|to| self.release_message(to)).collect()
    }

    /// Returns the message that releases the grant of one VM.
    pub(super) fn release_message(&self, to: &VmName) -> Action {
        Action::Send {
            to: to.clone(),
            message: Message::Release {
                key: self.key.hash,
                attempt: self.attempt,
            },
        }
    }

    pub(super) fn confirm(&mut self, from: &VmName) {
        self.pending.remove(from);
    }

    pub(super) fn is_expired(&self, now: Time) -> bool {
        now.since(self.ended_at) >= ABANDONED_TTL
    }
}
