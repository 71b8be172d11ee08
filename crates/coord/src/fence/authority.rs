//! The right of one owner to give orders to engines that ignore fencing numbers.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::fence::FenceOptions;
use crate::hash::rendezvous_score;
use crate::name::{Incarnation, Service, VmName};
use crate::time::Time;

/// One start of a VM: a restarted VM does not inherit its predecessor's votes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct VmInstance {
    /// The VM.
    pub vm: VmName,
    /// Its start.
    pub incarnation: Incarnation,
}

/// A question for a vote, and the answer if the voter agrees.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vote {
    /// The cell.
    pub cell: Service,
    /// The owner that asks.
    pub owner: VmInstance,
    /// The owner's round: an answer to an earlier one says nothing about now.
    pub round: u64,
    /// True if the owner lost the round: the voter becomes free, so that owners whose votes are
    /// split do not block each other for ever.
    pub give_up: bool,
}

/// A vote that was given.
#[derive(Clone, Debug)]
struct Given {
    owner: VmInstance,
    round: u64,
    until: Time,
}

/// One VM's votes. It votes for one owner of a cell at a time, whatever list it knows.
#[derive(Clone, Debug)]
pub struct Voter {
    boot: Time,
    options: FenceOptions,
    votes: BTreeMap<Service, Given>,
}

impl Voter {
    /// Creates the voter of a VM that has just started and has forgotten its votes.
    #[must_use]
    pub const fn new(boot: Time, options: FenceOptions) -> Self {
        Self {
            boot,
            options,
            votes: BTreeMap::new(),
        }
    }

    /// Handles a question; returns whether the voter agrees.
    pub fn handle_request(&mut self, now: Time, vote: &Vote) -> bool {
        if now.since(self.boot) < self.options.vote_retention {
            return false;
        }
        if vote.give_up {
            self.release(vote);
            return false;
        }
        let given = self.votes.get(&vote.cell);
        if given.is_some_and(|given| given.owner != vote.owner && given.until > now) {
            return false;
        }
        let earlier = given.filter(|given| given.owner == vote.owner);
        let given = Given {
            owner: vote.owner.clone(),
            round: vote.round.max(earlier.map_or(0, |given| given.round)),
            until: now + self.options.vote_retention,
        };
        self.votes.insert(vote.cell.clone(), given);
        true
    }

    /// Frees the vote of a lost round. One that arrives late, after the vote of a later round,
    /// frees nothing: that vote may count.
    fn release(&mut self, vote: &Vote) {
        let given = self.votes.get(&vote.cell);
        if given.is_some_and(|given| given.owner == vote.owner && given.round <= vote.round) {
            self.votes.remove(&vote.cell);
        }
    }
}

/// An owner's right to give orders, which ends by itself.
#[derive(Clone, Debug)]
pub struct Authority {
    cell: Service,
    owner: VmInstance,
    options: FenceOptions,
    round: u64,
    started: Option<Time>,
    /// After a lost round, the additional time before the next one.
    backoff: Option<Duration>,
    voters: BTreeSet<VmName>,
    agreed: BTreeSet<VmName>,
    until: Time,
    term: u64,
    since: Time,
}

impl Authority {
    /// Creates the authority of an owner that has no vote yet.
    #[must_use]
    pub const fn new(cell: Service, owner: VmInstance, options: FenceOptions) -> Self {
        Self {
            cell,
            owner,
            options,
            round: 0,
            started: None,
            backoff: None,
            voters: BTreeSet::new(),
            agreed: BTreeSet::new(),
            until: Time::ZERO,
            term: 0,
            since: Time::ZERO,
        }
    }

    /// Returns the votes needed of `voters` VMs: three quarters.
    ///
    /// Quorums of two lists then share a VM as long as the lists differ in at most 3 of 8 VMs or
    /// 4 of 9; a bare majority would allow 1 and 0.
    #[must_use]
    pub const fn quorum(voters: usize) -> usize {
        voters - voters / 4
    }

    /// Starts a round or gives up a lost one, if that is due; the vote goes to every VM of
    /// `voters`, this one included.
    pub fn tick(&mut self, now: Time, voters: &BTreeSet<VmName>) -> Option<Vote> {
        if let Some(started) = self.started {
            let elapsed = now.since(started);
            if elapsed < self.options.renew_interval {
                return None;
            }
            if !self.is_held(now) && self.backoff.is_none() {
                self.backoff = Some(self.draw_backoff());
                return Some(self.vote(true));
            }
            if elapsed < self.options.renew_interval + self.backoff.unwrap_or_default() {
                return None;
            }
        }
        self.started = Some(now);
        self.backoff = None;
        self.round += 1;
        self.voters.clone_from(voters);
        self.agreed.clear();
        Some(self.vote(false))
    }

    fn vote(&self, give_up: bool) -> Vote {
        Vote {
            cell: self.cell.clone(),
            owner: self.owner.clone(),
            round: self.round,
            give_up,
        }
    }

    /// Up to one round, different for each owner and round, so that rivals do not meet again.
    fn draw_backoff(&self) -> Duration {
        let score = rendezvous_score(self.round, self.owner.vm.as_str());
        let step = u32::try_from(score % 8).unwrap_or(0);
        self.options.renew_interval / 8 * step
    }

    /// Handles a voter's agreement. The authority counts from the start of the round, because
    /// the voter's time started after it.
    pub fn record_vote(&mut self, now: Time, from: &VmName, vote: &Vote) {
        // A round that was given up no longer counts: its votes may be free.
        let current =
            vote.round == self.round && vote.owner == self.owner && self.backoff.is_none();
        let Some(started) = self.started.filter(|_| current) else {
            return;
        };
        if !self.voters.contains(from) {
            return;
        }
        self.agreed.insert(from.clone());
        let end = started + self.options.ttl;
        if self.agreed.len() < Self::quorum(self.voters.len()) || end <= now {
            return;
        }
        if !self.is_held(now) {
            self.term += 1;
            self.since = now;
        }
        self.until = self.until.max(end);
    }

    /// Returns whether the owner has the right now.
    #[must_use]
    pub fn is_held(&self, now: Time) -> bool {
        now < self.until
    }

    /// Returns whether orders of every earlier owner have arrived as well.
    #[must_use]
    pub fn is_exclusive(&self, now: Time) -> bool {
        self.is_held(now) && now.since(self.since) >= self.options.delivery_timeout * 102 / 100
    }

    /// Returns the number of times that the right was won anew.
    #[must_use]
    pub const fn term(&self) -> u64 {
        self.term
    }
}
