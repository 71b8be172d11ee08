//! At-most-once claims on idempotency keys, without shared writes.
//!
//! Before a once-only request is dispatched, its entry VM collects grants from a quorum of the
//! key's claim set. Each VM grants a key to one attempt only and keeps that record for the
//! retention time. `docs/decisions/once-only.md` has the rules, their proof and their costs.
//!
//! # Example
//!
//! A fleet of one VM, after its retention time since boot:
//!
//! ```
//! use std::time::Duration;
//!
//! use coord::claim::{Action, ClaimOptions, Claims, Key, Outcome, Start, VmList};
//! use coord::name::{Incarnation, Organisation, VmName};
//! use coord::time::Time;
//!
//! let me = VmName::from("vm-1");
//! let list = VmList::new(1, [me.clone()]);
//! let start = Start { incarnation: Incarnation(1), boot: Time::ZERO, unix_ms: 0, seed: 7 };
//! let mut claims = Claims::new(me, start, ClaimOptions::default(), list);
//! let now = Time::ZERO + Duration::from_secs(3_800);
//! claims.tick(now);
//!
//! let key = Key::new(&Organisation::from("souk"), "order-17");
//! let (attempt, actions) = claims.start(now, key);
//!
//! let outcome = Outcome::Dispatch;
//! assert_eq!(actions, [Action::Decided { attempt, outcome }]);
//! assert!(claims.dispatch(now, attempt).is_ok());
//! ```

mod duplicate;
mod grant;
mod records;
mod round;
mod types;
mod vm_list;

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub use duplicate::{Duplicates, NextStep, OwnerLookup};
pub use records::{RecordStore, WriteResult};
pub use types::{
    Action, AttemptId, Denial, Holder, Key, KeyHash, Message, Outcome, Page, RecordCopy,
};
pub use vm_list::{MAX_SET_SIZE, Quorum, VmList, VmLists};

use crate::name::{Incarnation, VmName};
use crate::time::Time;
use grant::Granter;
use round::{Abandoned, Round};

/// Settings of claims; all VMs of a fleet need the same ones.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimOptions {
    /// Time within which a key is run at most once (setting `once-retention`).
    pub retention: Duration,
    /// Longest time from the start of a claim to its dispatch, on the claimant's clock.
    pub round_limit: Duration,
    /// Time after boot before a VM copies records: longer than a claim round, so that no round
    /// in progress counts a grant that this VM has forgotten.
    pub boot_wait: Duration,
    /// Largest difference between the wall clock of a VM and that of the issuer of a key.
    pub clock_skew: Duration,
    /// Records in one page.
    pub page_size: usize,
    /// Records of one VM. The default of 400,000 takes about 20 MB of the 64 MB of a VM.
    pub max_records: usize,
    /// Smallest size whose quorum is used although the list is shorter. With the normal size of
    /// a small fleet here, the remainder of a split fleet never forms a quorum of its own.
    pub min_set: usize,
}

impl Default for ClaimOptions {
    fn default() -> Self {
        Self {
            retention: Duration::from_hours(1),
            round_limit: Duration::from_secs(1),
            boot_wait: Duration::from_secs(2),
            clock_skew: Duration::from_mins(1),
            page_size: 256,
            max_records: 400_000,
            min_set: 1,
        }
    }
}

impl ClaimOptions {
    /// Returns how long a record is kept: the retention time as the slowest clock measures it.
    ///
    /// Two clocks that are each wrong by 1% differ by just over 2%.
    #[must_use]
    pub fn record_ttl(&self) -> Duration {
        self.retention * 103 / 100 + self.round_limit * 2
    }
}

/// One start of a VM's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Start {
    /// Higher than that of every earlier start under the same name.
    pub incarnation: Incarnation,
    /// The instant of the start.
    pub boot: Time,
    /// The wall clock at the start, in milliseconds of Unix time.
    pub unix_ms: u64,
    /// Seed of the attempt numbers; must differ between starts and VMs.
    pub seed: u64,
}

/// Claims of one VM: claimant and granter.
///
/// `Time` must go on while the process is paused; on Linux that is `CLOCK_BOOTTIME`.
#[derive(Clone, Debug)]
pub struct Claims {
    me: VmName,
    options: ClaimOptions,
    lists: VmLists,
    granter: Granter,
    rounds: BTreeMap<AttemptId, Round>,
    won: BTreeMap<AttemptId, Round>,
    dispatched: BTreeMap<AttemptId, Round>,
    abandoned: BTreeMap<AttemptId, Abandoned>,
    rng: ChaCha8Rng,
}

impl Claims {
    /// Creates the claims of a VM that has just started, with empty memory.
    #[must_use]
    pub fn new(me: VmName, start: Start, options: ClaimOptions, list: VmList) -> Self {
        let times = (start.boot, start.unix_ms);
        Self {
            granter: Granter::new(me.clone(), start.incarnation, times, options.clone()),
            me,
            options,
            lists: VmLists::new(list),
            rounds: BTreeMap::new(),
            won: BTreeMap::new(),
            dispatched: BTreeMap::new(),
            abandoned: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(start.seed),
        }
    }

    /// Returns the revision of the list in force.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.lists.revision()
    }

    /// Returns whether this VM grants every key of its sets, for `status`.
    #[must_use]
    pub const fn ready(&self) -> bool {
        self.granter.ready()
    }

    /// Returns the number of records, for metrics.
    #[must_use]
    pub fn records(&self) -> usize {
        self.granter.memory.len()
    }

    /// Starts a claim on `key`; its outcome comes as [`Action::Decided`].
    pub fn start(&mut self, now: Time, key: Key) -> (AttemptId, Vec<Action>) {
        let attempt = AttemptId(self.rng.random());
        let list = self.lists.current();
        let mut round = Round::new(now, key, attempt, list, self.options.min_set);
        let actions = round.request(now);
        self.rounds.insert(attempt, round);
        let mut done = self.route(now, actions);
        done.extend(self.decide(now));
        (attempt, done)
    }

    /// Checks, directly before the first byte goes to an upstream, that the claim still holds.
    ///
    /// No other step may lie between this call and the dispatch.
    ///
    /// # Errors
    ///
    /// Returns the outcome for the caller if the attempt must not be dispatched, because the
    /// process was paused for longer than the round limit or the claim was not decided.
    pub fn dispatch(&mut self, now: Time, attempt: AttemptId) -> Result<(), Outcome> {
        let Some(round) = self.won.remove(&attempt) else {
            let retry_after = self.options.round_limit;
            return Err(Outcome::Unknown { retry_after });
        };
        let limit = self.options.round_limit;
        if now.since(round.started) <= limit {
            self.dispatched.insert(attempt, round);
            return Ok(());
        }
        let refusal = round.refusal(now, limit);
        self.abandoned.insert(attempt, round.abandon(now));
        Err(refusal)
    }

    /// Gives up an attempt whose caller is gone. Without effect after [`Claims::dispatch`].
    pub fn cancel(&mut self, now: Time, attempt: AttemptId) {
        let round = self.rounds.remove(&attempt);
        if let Some(round) = round.or_else(|| self.won.remove(&attempt)) {
            self.abandoned.insert(attempt, round.abandon(now));
        }
    }

    /// Releases an attempt after [`Claims::dispatch`] although no upstream did any of its work
    /// and none will: nothing was sent, or every upstream refused it as not run.
    pub fn release(&mut self, now: Time, attempt: AttemptId) {
        if let Some(round) = self.dispatched.remove(&attempt) {
            self.abandoned.insert(attempt, round.abandon(now));
        }
    }

    /// Notes that a dispatched attempt has ended; its record stays for the retention time.
    pub fn finish(&mut self, attempt: AttemptId) {
        self.dispatched.remove(&attempt);
    }

    /// Returns whether `attempt` of this VM is known never to have been dispatched.
    ///
    /// For callers that were told to attach to it: they may send their key again soon. Attempts
    /// are forgotten 60 s after their end.
    #[must_use]
    pub fn was_abandoned(&self, attempt: AttemptId) -> bool {
        self.abandoned.contains_key(&attempt)
    }

    /// Puts a list in force that the platform published.
    pub fn adopt(&mut self, now: Time, list: VmList) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.lists.adopt(list) {
            self.granter.moved();
            for round in self.rounds.values_mut() {
                round.restart(self.lists.current(), self.options.min_set);
                actions.extend(round.request(now));
            }
        }
        self.route(now, actions)
    }

    /// Handles a message of another VM.
    pub fn receive(&mut self, now: Time, from: &VmName, message: Message) -> Vec<Action> {
        let actions = self.handle(now, from, message);
        let mut done = self.route(now, actions);
        done.extend(self.decide(now));
        done
    }

    /// Repeats what was not answered, ends rounds and drops expired records. Due every 50 ms
    /// while claims are open, otherwise every 200 ms.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        let mut actions = self.granter.tick(now, &mut self.lists);
        let mut done = self.decide(now);
        for round in self.rounds.values_mut() {
            actions.extend(round.repeat(now));
        }
        self.drop_late(now);
        self.abandoned.retain(|_, gone| !gone.over(now));
        for gone in self.abandoned.values_mut() {
            actions.extend(gone.release(now));
        }
        done.extend(self.route(now, actions));
        done
    }

    /// Releases attempts that won but were not dispatched in time.
    fn drop_late(&mut self, now: Time) {
        let limit = self.options.round_limit * 2;
        let late = |round: &Round| now.since(round.started) > limit;
        let gone = self.won.extract_if(.., |_, round| late(round));
        let gone: Vec<_> = gone.map(|(id, round)| (id, round.abandon(now))).collect();
        self.abandoned.extend(gone);
    }

    fn decide(&mut self, now: Time) -> Vec<Action> {
        let limit = self.options.round_limit;
        let outcome = |round: &Round| round.outcome(now, limit);
        let certain = self
            .rounds
            .iter()
            .filter_map(|(id, r)| Some((*id, outcome(r)?)));
        let certain: Vec<(AttemptId, Outcome)> = certain.collect();
        let mut actions = Vec::new();
        for (attempt, outcome) in certain {
            let Some(round) = self.rounds.remove(&attempt) else {
                continue;
            };
            if outcome == Outcome::Dispatch {
                self.won.insert(attempt, round);
            } else {
                let mut gone = round.abandon(now);
                actions.extend(gone.release(now));
                self.abandoned.insert(attempt, gone);
            }
            actions.push(Action::Decided { attempt, outcome });
        }
        self.route(now, actions)
    }

    /// Carries out the messages to this VM itself; returns the other actions.
    fn route(&mut self, now: Time, actions: Vec<Action>) -> Vec<Action> {
        let mut rest = Vec::new();
        let mut open = actions;
        open.reverse();
        while let Some(action) = open.pop() {
            match action {
                Action::Send { to, message } if to == self.me => {
                    open.extend(self.handle(now, &to, message));
                }
                other => rest.push(other),
            }
        }
        rest
    }

    fn handle(&mut self, now: Time, from: &VmName, message: Message) -> Vec<Action> {
        match message {
            Message::Request {
                revision,
                key,
                attempt,
            } => match self.check_list(revision) {
                Some(reply) => send(from, reply),
                None => self
                    .granter
                    .request(now, &self.lists, from, key, attempt)
                    .map_or_else(Vec::new, |reply| send(from, reply)),
            },
            Message::Granted {
                revision,
                attempt,
                incarnation,
                ..
            } => self.granted(from, revision, attempt, incarnation),
            Message::Denied {
                revision,
                attempt,
                incarnation,
                reason,
            } => {
                if let Some(round) = self.rounds.get_mut(&attempt) {
                    round.denied(from, revision, incarnation, reason);
                }
                Vec::new()
            }
            Message::StaleList(list) | Message::List(list) => self.adopt(now, list),
            Message::NeedList(revision) => {
                let list = self.lists.get(revision).cloned();
                list.map_or_else(Vec::new, |list| send(from, Message::List(list)))
            }
            Message::Release { key, attempt } => {
                self.granter.memory.release(key, attempt);
                send(from, Message::Released(attempt))
            }
            Message::Released(attempt) => {
                if let Some(gone) = self.abandoned.get_mut(&attempt) {
                    gone.confirmed(from);
                }
                Vec::new()
            }
            Message::FetchPage {
                revision,
                requester,
                base,
                after,
            } => {
                let question = (requester, base, after);
                let answer = || self.granter.ask(now, &self.lists, from, question);
                send(from, self.check_list(revision).unwrap_or_else(answer))
            }
            Message::Page(page) if page.revision == self.lists.revision() => {
                self.granter.page(now, &mut self.lists, from, &page)
            }
            Message::Page(_) => Vec::new(),
        }
    }

    /// Returns what to answer if the sender's list is not the one in force here.
    fn check_list(&self, revision: u64) -> Option<Message> {
        let current = self.lists.revision();
        if revision < current {
            return Some(Message::StaleList(self.lists.current().clone()));
        }
        (revision > current).then_some(Message::NeedList(revision))
    }

    fn granted(
        &mut self,
        from: &VmName,
        revision: u64,
        attempt: AttemptId,
        incarnation: Incarnation,
    ) -> Vec<Action> {
        if let Some(gone) = self.abandoned.get(&attempt) {
            return vec![gone.release_at(from)];
        }
        if let Some(round) = self.rounds.get_mut(&attempt) {
            round.granted(from, revision, incarnation);
        }
        Vec::new()
    }
}

fn send(to: &VmName, message: Message) -> Vec<Action> {
    vec![Action::Send {
        to: to.clone(),
        message,
    }]
}
