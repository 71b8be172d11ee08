//! The queue of the waiting jobs of one class.
//!
//! The jobs of one organisation are ordered by deadline. Organisations share the cell by deficit
//! round-robin, with costs in tokens: an organisation that has used more than its quantum of a
//! round has its next turn in the round that covers the excess. Organisations with a turn in the
//! same round are ordered by the deadline of their first job, so without overload the whole class
//! runs in deadline order. Rounds without a turn are skipped, so an operation takes O(log n) time
//! for n organisations.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use super::estimate::{StartRate, to_f64};
use super::types::{Job, JobId};
use crate::name::Organisation;
use crate::time::Time;

/// Number of tokens that an organisation may use in one round.
///
/// A quantum close to the length of a usual long prompt keeps deadline order among organisations
/// that send single requests, and interleaves those that send many.
const QUANTUM_TOKENS: i64 = 32_768;

/// The state of an organisation that has waiting jobs or has used more than its quantum.
#[derive(Debug, Default)]
struct Account {
    name: Option<Organisation>,
    /// Costs of the waiting jobs in tokens, by deadline.
    waiting: BTreeMap<(Time, JobId), u32>,
    /// The round of the next turn.
    round: u64,
    /// Number of tokens that it may still use in that round.
    balance: i64,
    /// Sum of the costs in `waiting`.
    tokens: u64,
    /// Rate at which its jobs start while more of them wait.
    start_rate: StartRate,
}

impl Account {
    fn earliest_deadline(&self) -> Option<Time> {
        self.waiting.keys().next().map(|(deadline, _)| *deadline)
    }
}

/// The accounts by index, so that the ordered sets of the queue hold indices and need not compare
/// names.
#[derive(Debug, Default)]
struct Accounts {
    indices: HashMap<Organisation, u32>,
    entries: Vec<Account>,
    free_indices: Vec<u32>,
}

impl Accounts {
    fn index(&self, name: &Organisation) -> Option<u32> {
        self.indices.get(name).copied()
    }

    fn get(&self, index: u32) -> &Account {
        &self.entries[index as usize]
    }

    fn get_mut(&mut self, index: u32) -> &mut Account {
        &mut self.entries[index as usize]
    }

    /// Returns the index of an organisation's account, which is created if there is none.
    fn get_or_create(&mut self, name: &Organisation) -> u32 {
        if let Some(index) = self.index(name) {
            return index;
        }
        let index = self.free_indices.pop().unwrap_or_else(|| {
            self.entries.push(Account::default());
            u32::try_from(self.entries.len() - 1).unwrap_or(u32::MAX)
        });
        *self.get_mut(index) = Account {
            name: Some(name.clone()),
            ..Account::default()
        };
        self.indices.insert(name.clone(), index);
        index
    }

    fn remove(&mut self, index: u32) {
        if let Some(name) = self.get_mut(index).name.take() {
            self.indices.remove(&name);
            self.free_indices.push(index);
        }
    }
}

/// The queue of one class.
#[derive(Debug, Default)]
pub(super) struct Queue {
    accounts: Accounts,
    /// Round, earliest deadline and account index of each organisation with waiting jobs.
    turns: BTreeSet<(u64, Time, u32)>,
    /// Round of the next turn and account index of each organisation without waiting jobs that has
    /// used more than its quantum.
    over_quantum: BTreeSet<(u64, u32)>,
    /// All waiting jobs by deadline.
    by_deadline: BTreeSet<(Time, JobId)>,
    len: usize,
    /// Sum of the costs of all waiting jobs.
    tokens: u64,
    /// The current round.
    round: u64,
    /// Rate at which jobs start while more jobs wait.
    start_rate: StartRate,
}

impl Queue {
    /// Returns the number of waiting jobs.
    pub(super) fn len(&self) -> usize {
        self.len
    }

    /// Returns the cost of all waiting jobs in tokens.
    pub(super) fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Returns the estimated number of waiting jobs whose costs add up to `tokens`, based on the
    /// mean cost.
    pub(super) fn jobs_for_tokens(&self, tokens: u64) -> f64 {
        to_f64(self.len as u64) * (to_f64(tokens) / to_f64(self.tokens.max(1))).min(1.0)
    }

    /// Returns up to `limit` waiting jobs with the earliest deadlines.
    pub(super) fn earliest(&self, limit: usize) -> Vec<JobId> {
        self.by_deadline
            .iter()
            .take(limit)
            .map(|(_, id)| *id)
            .collect()
    }

    /// Returns the cost in tokens of the jobs that are expected to start before a new job of
    /// `organisation`.
    ///
    /// Each of the other organisations gets at most an equal share before it.
    pub(super) fn tokens_ahead(&self, organisation: &Organisation, cost: u32) -> u64 {
        let index = self.accounts.index(organisation);
        let own = index.map_or(0, |n| self.accounts.get(n).tokens);
        let share = (own + u64::from(cost)).saturating_mul(self.turns.len() as u64 + 1);
        self.tokens.min(share.max(own))
    }

    /// Adds a job with its cost in tokens.
    pub(super) fn push(&mut self, job: &Job, deadline: Time, cost: u32) {
        let index = self.accounts.get_or_create(&job.organisation);
        self.remove_turn(index);
        let round = self.round;
        let account = self.accounts.get_mut(index);
        if account.round < round {
            account.round = round;
            account.balance = 0;
        }
        if account.balance <= 0 {
            account.balance += QUANTUM_TOKENS;
        }
        if account.waiting.insert((deadline, job.id), cost).is_none() {
            account.tokens += u64::from(cost);
            self.tokens += u64::from(cost);
            self.len += 1;
            self.by_deadline.insert((deadline, job.id));
        }
        self.insert_turn(index);
    }

    /// Removes a job without charging its organisation. Returns false if the job was not waiting.
    pub(super) fn remove(&mut self, name: &Organisation, deadline: Time, id: JobId) -> bool {
        self.take(name, deadline, id, None)
    }

    /// Removes a job that starts, and charges its cost to its organisation.
    pub(super) fn start(&mut self, now: Time, name: &Organisation, deadline: Time, id: JobId) {
        self.take(name, deadline, id, Some(now));
        self.start_rate.record_start(now, self.len > 0);
    }

    /// Returns the expected time until a new job of `organisation` starts after `ahead` other jobs,
    /// based on the rate of recent starts.
    ///
    /// The rate reflects all limits together: engines, slots, links, the other class, and, for an
    /// organisation with a long queue, the turns of the other organisations.
    pub(super) fn wait_at_start_rate(
        &self,
        now: Time,
        organisation: &Organisation,
        ahead: f64,
    ) -> Duration {
        let all = self.start_rate.time_for(now, ahead);
        let Some(index) = self.accounts.index(organisation) else {
            return all;
        };
        let account = self.accounts.get(index);
        let own = account
            .start_rate
            .time_for(now, to_f64(account.waiting.len() as u64));
        all.max(own)
    }

    fn take(
        &mut self,
        name: &Organisation,
        deadline: Time,
        id: JobId,
        start: Option<Time>,
    ) -> bool {
        if !self.by_deadline.remove(&(deadline, id)) {
            return false;
        }
        let Some(index) = self.accounts.index(name) else {
            return false;
        };
        self.remove_turn(index);
        let account = self.accounts.get_mut(index);
        if let Some(cost) = account.waiting.remove(&(deadline, id)) {
            account.tokens -= u64::from(cost);
            self.tokens -= u64::from(cost);
            self.len -= 1;
            if let Some(now) = start {
                charge(account, cost);
                account
                    .start_rate
                    .record_start(now, !account.waiting.is_empty());
            }
        }
        self.insert_turn(index);
        self.advance();
        true
    }

    /// Returns up to `limit` waiting jobs in the order in which they should start.
    pub(super) fn next_jobs(&self, limit: usize) -> Vec<JobId> {
        let accounts = self.turns.iter().map(|t| self.accounts.get(t.2));
        let jobs = accounts.flat_map(|a| a.waiting.keys().take(limit));
        jobs.take(limit).map(|(_, id)| *id).collect()
    }

    fn remove_turn(&mut self, index: u32) {
        let account = self.accounts.get(index);
        match account.earliest_deadline() {
            Some(first) => self.turns.remove(&(account.round, first, index)),
            None => self.over_quantum.remove(&(account.round, index)),
        };
    }

    fn insert_turn(&mut self, index: u32) {
        let account = self.accounts.get(index);
        match account.earliest_deadline() {
            Some(first) => self.turns.insert((account.round, first, index)),
            None => self.over_quantum.insert((account.round, index)),
        };
    }

    /// Advances to the earliest round with a turn, and removes the accounts without waiting jobs
    /// whose excess is covered by then.
    fn advance(&mut self) {
        match self.turns.first() {
            Some((round, ..)) => self.round = self.round.max(*round),
            None => self.round += 1,
        }
        while let Some((round, index)) = self.over_quantum.first().copied() {
            if !self.turns.is_empty() && round > self.round {
                break;
            }
            self.accounts.remove(index);
            self.over_quantum.pop_first();
        }
    }
}

/// Subtracts `cost` from the balance of an account. If the balance is used up, the next turn moves
/// to the round whose quantum makes it positive again.
fn charge(account: &mut Account, cost: u32) {
    account.balance -= i64::from(cost);
    if account.balance <= 0 {
        let rounds = 1 + (-account.balance) / QUANTUM_TOKENS;
        account.balance += rounds * QUANTUM_TOKENS;
        account.round += rounds.unsigned_abs();
    }
}
