//! The scheduler of one cell.
//!
//! A cell is a set of engines of one service. At any time one VM owns it and runs its scheduler.
//! The owner sees every request for the cell and every decode slot in it, so it can reserve a
//! decode slot and link capacity before a prefill starts. See `docs/design.md`, section 6.4, and
//! `docs/policy.md`.

mod admit;
mod affinity;
mod dispatch;
mod engine_updates;
mod estimate;
mod job;
mod links;
mod place;
mod prefix;
mod queue;
mod recover;
mod results;
mod retries;
mod table;
mod types;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use self::affinity::PrefixAffinity;
use self::dispatch::Isolation;
use self::estimate::Estimates;
use self::job::{Entry, Phase};
use self::links::Links;
use self::prefix::PrefixIndex;
use self::queue::Queue;
use self::table::EngineTable;
use crate::retry::{Backoff, Budget, BudgetOptions};
use crate::time::Time;

pub use types::{
    Action, Attempt, CacheEvent, Class, Engine, EngineReport, EngineStatus, Failure, Job, JobId,
    PrefillUsage, Reason, Role, SchedOptions, SchedStatus, Stage,
};

/// The scheduler of one cell.
///
/// Most methods take the current time and return the actions that the owner of the cell has to
/// execute. The result of an action is reported with the [`Attempt`] of that action; the result
/// of an earlier attempt is ignored.
#[derive(Debug)]
pub struct Scheduler {
    options: SchedOptions,
    rng: ChaCha8Rng,
    engines: EngineTable,
    jobs: BTreeMap<JobId, Entry>,
    /// Waiting jobs of each class, indexed by [`Class`].
    queues: [Queue; 2],
    /// Jobs whose prefill has finished and that wait for a decode slot, oldest first.
    ready: BTreeSet<(Time, JobId)>,
    /// Jobs in backoff, by the end of the backoff.
    backoffs: BTreeSet<(Time, JobId)>,
    /// Patient jobs that wait for retry credit, oldest first.
    awaiting_budget: VecDeque<JobId>,
    /// Waiting jobs that must run alone on their engines.
    suspects: BTreeSet<JobId>,
    /// The suspect that runs next or now, with the engines that are kept for it.
    isolation: Option<Isolation>,
    /// Number of started jobs of each class, indexed by [`Class`]. Each holds one decode slot.
    started_jobs: [u32; 2],
    prefixes: PrefixIndex,
    affinity: PrefixAffinity,
    links: Links,
    estimates: Estimates,
    budget: Budget,
    backoff: Backoff,
    retries: u64,
    /// When the last interactive job was submitted. Slots stay reserved for interactive jobs for
    /// a limited time after that.
    last_interactive: Option<Time>,
    /// Jobs that ended recently. Load reports lag, so they may still list these jobs.
    ended: BTreeSet<JobId>,
    /// Jobs that were cancelled before they were submitted, because the messages were reordered.
    cancelled: BTreeSet<JobId>,
    /// The ids in `ended` and `cancelled` with the time of their insertion, oldest first.
    end_times: VecDeque<(Time, JobId)>,
    /// Tags of dead VMs with the time of their deaths. Unknown jobs of these VMs are cancelled
    /// when a load report lists them.
    dead_vms: BTreeMap<u32, Time>,
    /// Until this instant, a new owner starts jobs only on engines that have reported their load.
    confirm_until: Time,
}

impl Scheduler {
    /// Creates the scheduler of a cell without engines.
    #[must_use]
    pub fn new(options: SchedOptions, seed: u64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            engines: EngineTable::default(),
            jobs: BTreeMap::new(),
            queues: [Queue::default(), Queue::default()],
            ready: BTreeSet::new(),
            backoffs: BTreeSet::new(),
            awaiting_budget: VecDeque::new(),
            suspects: BTreeSet::new(),
            isolation: None,
            started_jobs: [0; 2],
            prefixes: PrefixIndex::new(options.cache_blocks),
            affinity: PrefixAffinity::default(),
            links: Links::default(),
            estimates: Estimates::new(&options),
            budget: Budget::new(BudgetOptions::default(), Time::ZERO),
            backoff: Backoff::default(),
            retries: 0,
            last_interactive: None,
            ended: BTreeSet::new(),
            cancelled: BTreeSet::new(),
            end_times: VecDeque::new(),
            dead_vms: BTreeMap::new(),
            confirm_until: Time::ZERO,
            options,
        }
    }

    /// Accepts a job, or refuses it at once if it cannot be served in time.
    ///
    /// A job whose id is already known is ignored, and the first one continues.
    pub fn submit(&mut self, now: Time, job: Job) -> Vec<Action> {
        if self.jobs.contains_key(&job.id) || self.cancelled.contains(&job.id) {
            return Vec::new();
        }
        if job.class == Class::Interactive {
            self.last_interactive = Some(now);
        }
        let mut entry = Entry::new(now, job);
        entry.min_ttft = self.min_ttft(&entry);
        if let Some(refusal) = self.admit(now, &entry) {
            return vec![refusal];
        }
        let id = entry.job.id;
        self.jobs.insert(id, entry);
        self.enqueue(id);
        self.dispatch(now)
    }

    /// Removes a job whose caller has disconnected and releases its resources.
    ///
    /// A cancel that arrives before its job is remembered for 10 s, so that the job is not
    /// started without a caller.
    pub fn cancel(&mut self, now: Time, id: JobId) -> Vec<Action> {
        let mut actions = self.release_job(now, id);
        if self.remove_job(now, id) {
            actions.extend(self.dispatch(now));
        } else if !self.ended.contains(&id) && self.cancelled.insert(id) {
            self.end_times.push_back((now, id));
        }
        actions
    }

    /// Starts jobs that can run now, and refuses jobs that can no longer meet their deadline.
    ///
    /// Has to be called periodically.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        let mut actions = self.refuse_expired(now);
        self.expire_records(now);
        actions.extend(self.dispatch(now));
        actions
    }

    /// Returns the queue lengths and the state of the engines for the status page.
    #[must_use]
    pub fn status(&self, now: Time) -> SchedStatus {
        let running = self
            .jobs
            .values()
            .filter(|e| !e.held_engines().is_empty())
            .count();
        SchedStatus {
            interactive: self.queues[Class::Interactive as usize].len(),
            patient: self.queues[Class::Patient as usize].len(),
            running,
            retries: self.retries,
            engines: self.engines.status(now),
        }
    }

    /// Adds a job to the queue of its class, ordered by deadline, or to the waiting suspects.
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
        self.queues[entry.job.class as usize].push(&entry.job, entry.queue_deadline, cost);
    }

    /// Removes a waiting job from its queue. If `start` is set, the job starts then, and its cost
    /// is charged to its organisation.
    fn dequeue(&mut self, id: JobId, start: Option<Time>) {
        let Some(entry) = self.jobs.get(&id) else {
            return;
        };
        self.suspects.remove(&id);
        let queue = &mut self.queues[entry.job.class as usize];
        let (name, deadline) = (&entry.job.organisation, entry.queue_deadline);
        match start {
            Some(now) => queue.start(now, name, deadline, id),
            None => drop(queue.remove(name, deadline, id)),
        }
    }

    /// Removes a job that is in no queue and holds no engine. Returns true if it was known.
    fn remove_job(&mut self, now: Time, id: JobId) -> bool {
        if self.isolation.as_ref().is_some_and(|i| i.id == id) {
            self.end_isolation();
        }
        let known = self.jobs.remove(&id).is_some();
        if known {
            self.ended.insert(id);
            self.end_times.push_back((now, id));
        }
        known
    }
}
