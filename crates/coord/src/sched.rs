//! The scheduler of one cell: the engines of one service that one VM owns at a time.
//!
//! The owner of a cell sees every arrival and every slot of the cell, so it can reserve the
//! decode slot and the link before a prefill starts. See `docs/design.md`, section 6.4, and
//! `docs/policy.md`.

mod admit;
mod dispatch;
mod engines;
mod estimate;
mod fleet;
mod homes;
mod job;
mod links;
mod place;
mod prefix;
mod queue;
mod recover;
mod results;
mod retries;
mod types;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use self::dispatch::Isolation;
use self::estimate::Estimates;
use self::fleet::Fleet;
use self::homes::Homes;
use self::job::{Entry, Phase};
use self::links::Links;
use self::prefix::PrefixIndex;
use self::queue::Queue;
use crate::retry::{Backoff, Budget, BudgetOptions};
use crate::time::Time;

pub use types::{
    Action, Attempt, CacheEvent, Class, Engine, EngineReport, EngineStatus, Failure, Job, JobId,
    PrefillUsage, Reason, Role, SchedOptions, SchedStatus, Stage,
};

/// The scheduler of one cell.
///
/// Every method takes the current time and returns what the owner of the cell has to do. Results
/// name the attempt of the action that they answer; a result of an earlier attempt is ignored.
#[derive(Debug)]
pub struct Scheduler {
    options: SchedOptions,
    rng: ChaCha8Rng,
    fleet: Fleet,
    jobs: BTreeMap<JobId, Entry>,
    /// Waiting jobs of each class, in the order of [`Class`].
    queues: [Queue; 2],
    /// Jobs whose prefill has ended and that wait for a slot, oldest first.
    ready: BTreeSet<(Time, JobId)>,
    /// Jobs whose retry is due at an instant.
    backoffs: BTreeSet<(Time, JobId)>,
    /// Patient jobs whose retry the budget has not paid yet, oldest first.
    unpaid: VecDeque<JobId>,
    /// Waiting jobs that must run alone.
    suspects: BTreeSet<JobId>,
    isolation: Option<Isolation>,
    /// Slots that each class holds, in the order of [`Class`].
    in_use: [u32; 2],
    prefixes: PrefixIndex,
    homes: Homes,
    links: Links,
    estimates: Estimates,
    budget: Budget,
    backoff: Backoff,
    retries: u64,
    /// When interactive work was last submitted; its reserve is kept for a while after that.
    interactive_at: Option<Time>,
    /// Jobs that ended lately: a lagged load report may still name them.
    ended: BTreeSet<JobId>,
    /// Jobs that were cancelled before they were submitted: the messages changed places.
    cancelled: BTreeSet<JobId>,
    /// The ids of both sets in the order of their ends.
    ended_at: VecDeque<(Time, JobId)>,
    /// Tags of VMs that died; their unknown jobs are cancelled where reports show them.
    dead: BTreeMap<u32, Time>,
    /// Until then a new owner takes no unreported engine for empty.
    confirm_until: Time,
}

impl Scheduler {
    /// Creates the scheduler of a cell without engines.
    #[must_use]
    pub fn new(options: SchedOptions, seed: u64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            fleet: Fleet::default(),
            jobs: BTreeMap::new(),
            queues: [Queue::default(), Queue::default()],
            ready: BTreeSet::new(),
            backoffs: BTreeSet::new(),
            unpaid: VecDeque::new(),
            suspects: BTreeSet::new(),
            isolation: None,
            in_use: [0; 2],
            prefixes: PrefixIndex::new(options.cache_blocks),
            homes: Homes::default(),
            links: Links::default(),
            estimates: Estimates::new(&options),
            budget: Budget::new(BudgetOptions::default(), Time::ZERO),
            backoff: Backoff::default(),
            retries: 0,
            interactive_at: None,
            ended: BTreeSet::new(),
            cancelled: BTreeSet::new(),
            ended_at: VecDeque::new(),
            dead: BTreeMap::new(),
            confirm_until: Time::ZERO,
            options,
        }
    }

    /// Accepts a job, or refuses it at once when it cannot be served in time.
    ///
    /// A job that is known already is not accepted a second time: the first one goes on.
    pub fn submit(&mut self, now: Time, job: Job) -> Vec<Action> {
        if self.jobs.contains_key(&job.id) || self.cancelled.contains(&job.id) {
            return Vec::new();
        }
        if job.class == Class::Interactive {
            self.interactive_at = Some(now);
        }
        let mut entry = Entry::new(now, job);
        entry.least = self.least(&entry);
        if let Some(refusal) = self.admit(now, &entry) {
            return vec![refusal];
        }
        let id = entry.job.id;
        self.jobs.insert(id, entry);
        self.enqueue(id);
        self.dispatch(now)
    }

    /// Drops a job whose caller is gone and frees what it holds.
    ///
    /// A cancel that overtakes its job is remembered for some seconds, so that the job does not
    /// run for nobody.
    pub fn cancel(&mut self, now: Time, id: JobId) -> Vec<Action> {
        let mut actions = self.abandon(now, id);
        if self.forget(now, id) {
            actions.extend(self.dispatch(now));
        } else if !self.ended.contains(&id) && self.cancelled.insert(id) {
            self.ended_at.push_back((now, id));
        }
        actions
    }

    /// Starts what has become possible with time, and refuses what has become impossible.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        let mut actions = self.expire(now);
        self.tidy(now);
        actions.extend(self.dispatch(now));
        actions
    }

    /// Returns the state for the status page.
    #[must_use]
    pub fn status(&self, now: Time) -> SchedStatus {
        let running = self.jobs.values().filter(|e| !e.holds().is_empty()).count();
        SchedStatus {
            interactive: self.queues[Class::Interactive as usize].len(),
            patient: self.queues[Class::Patient as usize].len(),
            running,
            retries: self.retries,
            engines: self.fleet.status(now),
        }
    }

    /// Puts a job into its queue, at the position of its deadline.
    fn enqueue(&mut self, id: JobId) {
        let Some(entry) = self.jobs.get_mut(&id) else {
            return;
        };
        entry.phase = Phase::Waiting;
        if entry.job.suspect {
            self.suspects.insert(id);
            return;
        }
        let cost = entry.job.prompt_tokens;
        self.queues[entry.job.class as usize].push(&entry.job, entry.order, cost);
    }

    /// Takes a waiting job out of its queue; if it starts, its organisation is charged.
    fn dequeue(&mut self, id: JobId, start: Option<Time>) {
        let Some(entry) = self.jobs.get(&id) else {
            return;
        };
        self.suspects.remove(&id);
        let queue = &mut self.queues[entry.job.class as usize];
        let (name, order) = (&entry.job.organisation, entry.order);
        match start {
            Some(now) => queue.start(now, name, order, id),
            None => drop(queue.remove(name, order, id)),
        }
    }

    /// Removes every trace of a job that has left all engines and queues.
    fn forget(&mut self, now: Time, id: JobId) -> bool {
        if self.isolation.as_ref().is_some_and(|i| i.id == id) {
            self.end_isolation();
        }
        let known = self.jobs.remove(&id).is_some();
        if known {
            self.ended.insert(id);
            self.ended_at.push_back((now, id));
        }
        known
    }
}
