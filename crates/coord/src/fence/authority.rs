//! The exclusive right of one owner to send orders to engines that ignore fencing tokens.
//!
//! An owner acquires the right by the votes of a quorum and must renew it before it expires.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::fence::FenceOptions;
use crate::hash::rendezvous_score;
use crate::name::{Incarnation, Service, VmName};
use crate::time::Time;

/// A VM and its incarnation. A restarted VM has another incarnation and does not inherit the votes
/// for the earlier one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct VmInstance {
    /// The name of the VM.
    pub vm: VmName,
    /// The incarnation that the VM had when it became the owner.
    pub incarnation: Incarnation,
}

/// A request for a vote. A voter that grants the vote returns the same message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vote {
    /// The service whose cell the vote is about.
    pub cell: Service,
    /// The owner that requests the vote.
    pub owner: VmInstance,
    /// The number of the owner's round. Answers to earlier rounds are ignored.
    pub round: u64,
    /// Whether the owner lost the round and returns the vote. If votes were not returned, owners
    /// between which the votes are split would block each other permanently.
    pub give_up: bool,
}

/// A vote that a voter has granted.
#[derive(Clone, Debug)]
struct GrantedVote {
    owner: VmInstance,
    round: u64,
    expires_at: Time,
}

/// The votes of one VM. It grants its vote to one owner of a cell at a time, independent of the VMs
/// that it knows.
#[derive(Clone, Debug)]
pub struct Voter {
    started_at: Time,
    options: FenceOptions,
    votes: BTreeMap<Service, GrantedVote>,
}

impl Voter {
    /// Creates the voter of a VM that started at `started_at` and has lost its earlier votes.
    #[must_use]
    pub const fn new(started_at: Time, options: FenceOptions) -> Self {
        Self {
            started_at,
            options,
            votes: BTreeMap::new(),
        }
    }

    /// Handles a request and returns whether the vote is granted.
    pub fn handle_request(&mut self, now: Time, vote: &Vote) -> bool {
        if now.since(self.started_at) < self.options.vote_retention {
            return false;
        }
        if vote.give_up {
            self.release(vote);
            return false;
        }
        let granted = self.votes.get(&vote.cell);
        if granted.is_some_and(|granted| granted.owner != vote.owner && granted.expires_at > now) {
            return false;
        }
        let earlier = granted.filter(|granted| granted.owner == vote.owner);
        let granted = GrantedVote {
            owner: vote.owner.clone(),
            round: vote.round.max(earlier.map_or(0, |granted| granted.round)),
            expires_at: now + self.options.vote_retention,
        };
        self.votes.insert(vote.cell.clone(), granted);
        true
    }

    /// Releases the vote of a lost round. If a vote of a later round has been granted in the
    /// meantime, it remains, because that round may succeed.
    fn release(&mut self, vote: &Vote) {
        let granted = self.votes.get(&vote.cell);
        if granted.is_some_and(|granted| granted.owner == vote.owner && granted.round <= vote.round)
        {
            self.votes.remove(&vote.cell);
        }
    }
}

/// An owner's right to send orders, which expires unless a quorum renews it.
#[derive(Clone, Debug)]
pub struct Authority {
    cell: Service,
    owner: VmInstance,
    options: FenceOptions,
    round: u64,
    round_start: Option<Time>,
    /// The additional time before the next round, after a lost one.
    backoff: Option<Duration>,
    voters: BTreeSet<VmName>,
    granted_by: BTreeSet<VmName>,
    expires_at: Time,
    term: u64,
    acquired_at: Time,
}

impl Authority {
    /// Creates the authority of an owner without any votes.
    #[must_use]
    pub const fn new(cell: Service, owner: VmInstance, options: FenceOptions) -> Self {
        Self {
            cell,
            owner,
            options,
            round: 0,
            round_start: None,
            backoff: None,
            voters: BTreeSet::new(),
            granted_by: BTreeSet::new(),
            expires_at: Time::ZERO,
            term: 0,
            acquired_at: Time::ZERO,
        }
    }

    /// Returns the number of votes that are required of `voters` VMs, which is three quarters.
    ///
    /// Two owners may know different lists of VMs. Their quorums share a VM as long as the lists
    /// differ in at most 3 of 8 VMs or 4 of 9; a simple majority would allow for 1 and 0.
    #[must_use]
    pub const fn quorum(voters: usize) -> usize {
        voters - voters / 4
    }

    /// Starts a round or returns the votes of a lost one, if that is due. The caller must send the
    /// returned message to every VM of `voters`, including this one.
    pub fn tick(&mut self, now: Time, voters: &BTreeSet<VmName>) -> Option<Vote> {
        if let Some(started) = self.round_start {
            let elapsed = now.since(started);
            if elapsed < self.options.renew_interval {
                return None;
            }
            if !self.is_held(now) && self.backoff.is_none() {
                self.backoff = Some(self.draw_backoff());
                return Some(self.vote_message(true));
            }
            if elapsed < self.options.renew_interval + self.backoff.unwrap_or_default() {
                return None;
            }
        }
        self.round_start = Some(now);
        self.backoff = None;
        self.round += 1;
        self.voters.clone_from(voters);
        self.granted_by.clear();
        Some(self.vote_message(false))
    }

    fn vote_message(&self, give_up: bool) -> Vote {
        Vote {
            cell: self.cell.clone(),
            owner: self.owner.clone(),
            round: self.round,
            give_up,
        }
    }

    /// Returns a backoff of up to one round. It differs between owners and rounds, so that
    /// competing owners do not start their next rounds at the same time.
    fn draw_backoff(&self) -> Duration {
        let score = rendezvous_score(self.round, self.owner.vm.as_str());
        let step = u32::try_from(score % 8).unwrap_or(0);
        self.options.renew_interval / 8 * step
    }

    /// Handles a granted vote. The authority expires relative to the start of the round, because
    /// the time for which the voter is bound started later.
    pub fn record_vote(&mut self, now: Time, from: &VmName, vote: &Vote) {
        // The voters may have released the votes of a round that was given up.
        let current =
            vote.round == self.round && vote.owner == self.owner && self.backoff.is_none();
        let Some(started) = self.round_start.filter(|_| current) else {
            return;
        };
        if !self.voters.contains(from) {
            return;
        }
        self.granted_by.insert(from.clone());
        let end = started + self.options.ttl;
        if self.granted_by.len() < Self::quorum(self.voters.len()) || end <= now {
            return;
        }
        if !self.is_held(now) {
            self.term += 1;
            self.acquired_at = now;
        }
        self.expires_at = self.expires_at.max(end);
    }

    /// Returns whether the owner has the right at `now`.
    #[must_use]
    pub fn is_held(&self, now: Time) -> bool {
        now < self.expires_at
    }

    /// Returns whether the owner has the right and the orders of all earlier owners have arrived.
    #[must_use]
    pub fn is_exclusive(&self, now: Time) -> bool {
        self.is_held(now)
            && now.since(self.acquired_at) >= self.options.delivery_timeout * 102 / 100
    }

    /// Returns how many times the right has been acquired after it was not held.
    #[must_use]
    pub const fn term(&self) -> u64 {
        self.term
    }
}
