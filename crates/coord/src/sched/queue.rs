//! Waiting jobs of one class: deadline order inside an organisation, deficit round-robin by
//! tokens between organisations.
//!
//! An organisation that has used more than its share of a round owes the rest and has its next
//! turn some rounds later. Organisations in the same round are ordered by the deadline of their
//! first job, so without overload the whole class runs in deadline order. Rounds in which no
//! organisation has a turn are skipped, so an operation costs O(log n) organisations.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use super::estimate::{Pace, real};
use super::types::{Job, JobId};
use crate::name::Organisation;
use crate::time::Time;

/// Tokens that an organisation may use in one round.
///
/// A quantum near the size of a usual long prompt keeps deadline order among organisations that
/// send single requests and spreads out those that send many.
const QUANTUM_TOKENS: i64 = 32_768;

/// What is kept for an organisation that waits or owes tokens.
#[derive(Debug, Default)]
struct Account {
    name: Option<Organisation>,
    waiting: BTreeMap<(Time, JobId), u32>,
    /// The round of the next turn.
    round: u64,
    /// Tokens left in that round.
    balance: i64,
    /// Sum of the costs in `waiting`.
    tokens: u64,
    /// Intervals between its starts while more of its jobs wait.
    pace: Pace,
}

impl Account {
    fn first(&self) -> Option<Time> {
        self.waiting.keys().next().map(|(deadline, _)| *deadline)
    }
}

/// Numbers of the organisations that have an account, so that the ordered sets hold numbers
/// and compare no names.
#[derive(Debug, Default)]
struct Accounts {
    numbers: HashMap<Organisation, u32>,
    list: Vec<Account>,
    free: Vec<u32>,
}

impl Accounts {
    fn number(&self, name: &Organisation) -> Option<u32> {
        self.numbers.get(name).copied()
    }

    fn get(&self, number: u32) -> &Account {
        &self.list[number as usize]
    }

    fn get_mut(&mut self, number: u32) -> &mut Account {
        &mut self.list[number as usize]
    }

    /// Returns the number of an organisation, which gets an account if it has none.
    fn open(&mut self, name: &Organisation) -> u32 {
        if let Some(number) = self.number(name) {
            return number;
        }
        let number = self.free.pop().unwrap_or_else(|| {
            self.list.push(Account::default());
            u32::try_from(self.list.len() - 1).unwrap_or(u32::MAX)
        });
        *self.get_mut(number) = Account {
            name: Some(name.clone()),
            ..Account::default()
        };
        self.numbers.insert(name.clone(), number);
        number
    }

    fn close(&mut self, number: u32) {
        if let Some(name) = self.get_mut(number).name.take() {
            self.numbers.remove(&name);
            self.free.push(number);
        }
    }
}

/// The queue of one class.
#[derive(Debug, Default)]
pub(super) struct Queue {
    accounts: Accounts,
    /// One entry for each organisation with waiting jobs.
    turns: BTreeSet<(u64, Time, u32)>,
    /// Organisations without waiting jobs that owe tokens.
    owing: BTreeSet<(u64, u32)>,
    /// All waiting jobs by deadline.
    due: BTreeSet<(Time, JobId)>,
    len: usize,
    tokens: u64,
    round: u64,
    pace: Pace,
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

    /// Returns the number of waiting jobs to which `tokens` of their cost belong.
    pub(super) fn share_of(&self, tokens: u64) -> f64 {
        real(self.len as u64) * (real(tokens) / real(self.tokens.max(1))).min(1.0)
    }

    /// Returns up to `limit` waiting jobs with the earliest deadlines.
    pub(super) fn earliest(&self, limit: usize) -> Vec<JobId> {
        self.due.iter().take(limit).map(|(_, id)| *id).collect()
    }

    /// Returns the cost in tokens that is ahead of a new job of `organisation`.
    ///
    /// At most an equal share of the other organisations' work runs before it.
    pub(super) fn tokens_ahead(&self, organisation: &Organisation, cost: u32) -> u64 {
        let number = self.accounts.number(organisation);
        let own = number.map_or(0, |n| self.accounts.get(n).tokens);
        let share = (own + u64::from(cost)).saturating_mul(self.turns.len() as u64 + 1);
        self.tokens.min(share.max(own))
    }

    /// Adds a job.
    pub(super) fn push(&mut self, job: &Job, deadline: Time, cost: u32) {
        let number = self.accounts.open(&job.organisation);
        self.unlist(number);
        let round = self.round;
        let account = self.accounts.get_mut(number);
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
            self.due.insert((deadline, job.id));
        }
        self.list(number);
    }

    /// Removes a job without a charge; returns false if it did not wait.
    pub(super) fn remove(&mut self, name: &Organisation, deadline: Time, id: JobId) -> bool {
        self.take(name, deadline, id, None)
    }

    /// Removes a job that starts and charges its organisation.
    pub(super) fn start(&mut self, now: Time, name: &Organisation, deadline: Time, id: JobId) {
        self.take(name, deadline, id, Some(now));
        self.pace.started(now, self.len > 0);
    }

    /// Returns the time until a new job of `organisation` starts, at the pace of the last starts.
    ///
    /// The pace shows what all limits together leave over: engines, slots, links, the other
    /// class, and for an organisation with a long queue the turns of the others.
    pub(super) fn wait_at_pace(
        &self,
        now: Time,
        organisation: &Organisation,
        ahead: f64,
    ) -> Duration {
        let all = self.pace.time(now, ahead);
        let Some(number) = self.accounts.number(organisation) else {
            return all;
        };
        let account = self.accounts.get(number);
        let own = account.pace.time(now, real(account.waiting.len() as u64));
        all.max(own)
    }

    fn take(
        &mut self,
        name: &Organisation,
        deadline: Time,
        id: JobId,
        start: Option<Time>,
    ) -> bool {
        if !self.due.remove(&(deadline, id)) {
            return false;
        }
        let Some(number) = self.accounts.number(name) else {
            return false;
        };
        self.unlist(number);
        let account = self.accounts.get_mut(number);
        if let Some(cost) = account.waiting.remove(&(deadline, id)) {
            account.tokens -= u64::from(cost);
            self.tokens -= u64::from(cost);
            self.len -= 1;
            if let Some(now) = start {
                spend(account, cost);
                account.pace.started(now, !account.waiting.is_empty());
            }
        }
        self.list(number);
        self.advance();
        true
    }

    /// Returns up to `limit` waiting jobs in the order in which they should start.
    pub(super) fn first(&self, limit: usize) -> Vec<JobId> {
        let accounts = self.turns.iter().map(|t| self.accounts.get(t.2));
        let jobs = accounts.flat_map(|a| a.waiting.keys().take(limit));
        jobs.take(limit).map(|(_, id)| *id).collect()
    }

    fn unlist(&mut self, number: u32) {
        let account = self.accounts.get(number);
        match account.first() {
            Some(first) => self.turns.remove(&(account.round, first, number)),
            None => self.owing.remove(&(account.round, number)),
        };
    }

    fn list(&mut self, number: u32) {
        let account = self.accounts.get(number);
        match account.first() {
            Some(first) => self.turns.insert((account.round, first, number)),
            None => self.owing.insert((account.round, number)),
        };
    }

    /// Moves to the earliest round with a turn and forgets debts that are paid by then.
    fn advance(&mut self) {
        match self.turns.first() {
            Some((round, ..)) => self.round = self.round.max(*round),
            None => self.round += 1,
        }
        while let Some((round, number)) = self.owing.first().copied() {
            if !self.turns.is_empty() && round > self.round {
                break;
            }
            self.accounts.close(number);
            self.owing.pop_first();
        }
    }
}

/// Takes `cost` from the account and moves its turn to the round that pays for it.
fn spend(account: &mut Account, cost: u32) {
    account.balance -= i64::from(cost);
    if account.balance <= 0 {
        let rounds = 1 + (-account.balance) / QUANTUM_TOKENS;
        account.balance += rounds * QUANTUM_TOKENS;
        account.round += rounds.unsigned_abs();
    }
}
