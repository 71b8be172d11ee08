//! At-most-once claims on idempotency keys, made by VMs that share no state.
//!
//! Before an entry VM dispatches a request that must run at most once, it collects grants from a
//! quorum of the VMs in the key's claim set. Each VM grants a key to one attempt only and keeps
//! that record for the retention time. `docs/decisions/once-only.md` specifies the protocol and
//! proves its safety.
//!
//! # Example
//!
//! A fleet of one VM, which has been running for longer than its retention time:
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

/// Settings of claims, which must be equal on all VMs of a fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimOptions {
    /// Time within which a key runs at most once (setting `once-retention`).
    pub retention: Duration,
    /// Maximum time from the start of a claim to its dispatch, on the claimant's clock.
    pub round_limit: Duration,
    /// Time that a VM waits after boot before it copies records from other VMs. It is longer than a
    /// claim round, so that no round in progress can still count a grant that this VM lost in the
    /// restart.
    pub boot_wait: Duration,
    /// Maximum difference between the wall clock of a VM and that of the issuer of a key.
    pub clock_skew: Duration,
    /// Maximum number of records in one page of a copy.
    pub page_size: usize,
    /// Maximum number of records on one VM. The default of 400,000 takes about 20 MB of the 64 MB
    /// that a VM may use for coordination.
    pub max_records: usize,
    /// Minimum claim-set size from which the quorum is computed, also when the list of VMs is
    /// shorter. If a small fleet sets this to its normal size, the part of a partitioned fleet that
    /// a shortened list names cannot form a quorum of its own.
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
    /// Returns how long a record is kept, which covers the retention time for any permitted
    /// difference between the clock rates of two VMs, and two claim rounds.
    ///
    /// Two clocks whose rates are each wrong by 1% differ by just over 2%.
    #[must_use]
    pub fn record_ttl(&self) -> Duration {
        self.retention * 103 / 100 + self.round_limit * 2
    }
}

/// One start of a VM's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Start {
    /// A number higher than that of every earlier start under the same name.
    pub incarnation: Incarnation,
    /// The time of the start on the VM's own clock.
    pub boot: Time,
    /// The wall clock at the start, in milliseconds of Unix time.
    pub unix_ms: u64,
    /// The seed of the attempt ids, which must differ between starts and between VMs.
    pub seed: u64,
}

/// The claim protocol on one VM, both as claimant and as granter.
///
/// `Time` must advance while the process or the VM is suspended; on Linux, `CLOCK_BOOTTIME` does.
#[derive(Clone, Debug)]
pub struct Claims {
    local_vm: VmName,
    options: ClaimOptions,
    lists: VmLists,
    granter: Granter,
    rounds: BTreeMap<AttemptId, Round>,
    undispatched: BTreeMap<AttemptId, Round>,
    dispatched: BTreeMap<AttemptId, Round>,
    abandoned: BTreeMap<AttemptId, Abandoned>,
    rng: ChaCha8Rng,
}

impl Claims {
    /// Creates the claims of a VM that has just started and has no records.
    #[must_use]
    pub fn new(local_vm: VmName, start: Start, options: ClaimOptions, list: VmList) -> Self {
        let times = (start.boot, start.unix_ms);
        Self {
            granter: Granter::new(local_vm.clone(), start.incarnation, times, options.clone()),
            local_vm,
            options,
            lists: VmLists::new(list),
            rounds: BTreeMap::new(),
            undispatched: BTreeMap::new(),
            dispatched: BTreeMap::new(),
            abandoned: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(start.seed),
        }
    }

    /// Returns the revision of the current list.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.lists.revision()
    }

    /// Returns whether this VM can decide every key of the claim sets that it belongs to.
    #[must_use]
    pub const fn ready(&self) -> bool {
        self.granter.ready()
    }

    /// Returns the number of records, for metrics.
    #[must_use]
    pub fn record_count(&self) -> usize {
        self.granter.records.len()
    }

    /// Starts a claim on `key`, whose outcome is reported by an [`Action::Decided`].
    pub fn start(&mut self, now: Time, key: Key) -> (AttemptId, Vec<Action>) {
        let attempt = AttemptId(self.rng.random());
        let list = self.lists.current();
        let mut round = Round::new(now, key, attempt, list, self.options.min_set);
        let actions = round.request(now);
        self.rounds.insert(attempt, round);
        let mut remaining = self.deliver_local(now, actions);
        remaining.extend(self.decide_rounds(now));
        (attempt, remaining)
    }

    /// Checks that the claim is still valid, directly before the first byte goes to an upstream.
    ///
    /// The caller must dispatch immediately after this call, without waiting for anything in
    /// between.
    ///
    /// # Errors
    ///
    /// Returns the outcome to report to the caller if the attempt must not be dispatched, because
    /// the round limit has passed, for example during a pause of the process, or because the
    /// attempt has no granted claim that awaits its dispatch.
    pub fn dispatch(&mut self, now: Time, attempt: AttemptId) -> Result<(), Outcome> {
        let Some(round) = self.undispatched.remove(&attempt) else {
            let retry_after = self.options.round_limit;
            return Err(Outcome::Unknown { retry_after });
        };
        let limit = self.options.round_limit;
        if now.since(round.started_at) <= limit {
            self.dispatched.insert(attempt, round);
            return Ok(());
        }
        let outcome = round.refusal(now, limit);
        self.abandoned.insert(attempt, round.abandon(now));
        Err(outcome)
    }

    /// Abandons an attempt whose caller has disconnected. Has no effect after [`Claims::dispatch`].
    pub fn cancel(&mut self, now: Time, attempt: AttemptId) {
        let round = self.rounds.remove(&attempt);
        if let Some(round) = round.or_else(|| self.undispatched.remove(&attempt)) {
            self.abandoned.insert(attempt, round.abandon(now));
        }
    }

    /// Releases the grants of an attempt that passed [`Claims::dispatch`] but that no upstream has
    /// run or will run, because nothing was sent or every upstream refused it as not run.
    pub fn release(&mut self, now: Time, attempt: AttemptId) {
        if let Some(round) = self.dispatched.remove(&attempt) {
            self.abandoned.insert(attempt, round.abandon(now));
        }
    }

    /// Records that a dispatched attempt has ended. Its record on the granters is kept for the
    /// retention time.
    pub fn finish(&mut self, attempt: AttemptId) {
        self.dispatched.remove(&attempt);
    }

    /// Returns whether `attempt`, which this VM started, is known not to have been run.
    ///
    /// A caller that was told to attach to such an attempt may send its key again after a short
    /// time. An abandoned attempt is remembered for 60 s.
    #[must_use]
    pub fn was_abandoned(&self, attempt: AttemptId) -> bool {
        self.abandoned.contains_key(&attempt)
    }

    /// Makes a published list of VMs the current one if it is newer, and restarts the open rounds
    /// under it.
    pub fn adopt(&mut self, now: Time, list: VmList) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.lists.adopt(list) {
            self.granter.list_changed();
            for round in self.rounds.values_mut() {
                round.restart(self.lists.current(), self.options.min_set);
                actions.extend(round.request(now));
            }
        }
        self.deliver_local(now, actions)
    }

    /// Handles a message from another VM.
    pub fn receive(&mut self, now: Time, from: &VmName, message: Message) -> Vec<Action> {
        let actions = self.handle_message(now, from, message);
        let mut remaining = self.deliver_local(now, actions);
        remaining.extend(self.decide_rounds(now));
        remaining
    }

    /// Retries unanswered requests, ends rounds and drops expired records. Must be called every 50
    /// ms while claims are open, otherwise every 200 ms.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        let mut actions = self.granter.tick(now, &mut self.lists);
        let mut remaining = self.decide_rounds(now);
        for round in self.rounds.values_mut() {
            actions.extend(round.retry(now));
        }
        self.abandon_late(now);
        self.abandoned
            .retain(|_, abandoned| !abandoned.is_expired(now));
        for abandoned in self.abandoned.values_mut() {
            actions.extend(abandoned.due_releases(now));
        }
        remaining.extend(self.deliver_local(now, actions));
        remaining
    }

    /// Abandons attempts that reached their quorum but were not dispatched within two round limits.
    fn abandon_late(&mut self, now: Time) {
        let limit = self.options.round_limit * 2;
        let late = |round: &Round| now.since(round.started_at) > limit;
        let abandoned = self.undispatched.extract_if(.., |_, round| late(round));
        let abandoned: Vec<_> = abandoned
            .map(|(id, round)| (id, round.abandon(now)))
            .collect();
        self.abandoned.extend(abandoned);
    }

    fn decide_rounds(&mut self, now: Time) -> Vec<Action> {
        let limit = self.options.round_limit;
        let outcome = |round: &Round| round.outcome(now, limit);
        let decided = self
            .rounds
            .iter()
            .filter_map(|(id, r)| Some((*id, outcome(r)?)));
        let decided: Vec<(AttemptId, Outcome)> = decided.collect();
        let mut actions = Vec::new();
        for (attempt, outcome) in decided {
            let Some(round) = self.rounds.remove(&attempt) else {
                continue;
            };
            if outcome == Outcome::Dispatch {
                self.undispatched.insert(attempt, round);
            } else {
                let mut abandoned = round.abandon(now);
                actions.extend(abandoned.due_releases(now));
                self.abandoned.insert(attempt, abandoned);
            }
            actions.push(Action::Decided { attempt, outcome });
        }
        self.deliver_local(now, actions)
    }

    /// Handles the messages addressed to this VM itself and returns the remaining actions.
    fn deliver_local(&mut self, now: Time, actions: Vec<Action>) -> Vec<Action> {
        let mut rest = Vec::new();
        let mut queue = actions;
        queue.reverse();
        while let Some(action) = queue.pop() {
            match action {
                Action::Send { to, message } if to == self.local_vm => {
                    queue.extend(self.handle_message(now, &to, message));
                }
                other => rest.push(other),
            }
        }
        rest
    }

    fn handle_message(&mut self, now: Time, from: &VmName, message: Message) -> Vec<Action> {
        match message {
            Message::Request {
                revision,
                key,
                attempt,
            } => match self.compare_revision(revision) {
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
                self.granter.records.release(key, attempt);
                send(from, Message::Released(attempt))
            }
            Message::Released(attempt) => {
                if let Some(abandoned) = self.abandoned.get_mut(&attempt) {
                    abandoned.confirm(from);
                }
                Vec::new()
            }
            Message::FetchPage {
                revision,
                requester,
                base,
                after,
            } => {
                let query = (requester, base, after);
                let answer = || self.granter.answer_fetch(now, &self.lists, from, query);
                send(from, self.compare_revision(revision).unwrap_or_else(answer))
            }
            Message::Page(page) if page.revision == self.lists.revision() => {
                self.granter.receive_page(now, &mut self.lists, from, &page)
            }
            Message::Page(_) => Vec::new(),
        }
    }

    /// Returns the reply to a sender whose list is not the current one of this VM, or `None` if the
    /// lists are the same.
    fn compare_revision(&self, revision: u64) -> Option<Message> {
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
        if let Some(abandoned) = self.abandoned.get(&attempt) {
            return vec![abandoned.release_message(from)];
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
