//! A cell whose scheduler runs in this process.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use coord::name::Upstream;
use coord::sched::{
    Action, Attempt, CacheEvent, Engine, EngineReport, Job, JobId, SchedOptions, SchedStatus,
    Scheduler,
};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{MissedTickBehavior, interval};

use super::{Cell, Clock, Order, Progress};

/// The interval of the scheduler's timer. It is shorter than any queue timeout or back-off.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// An update from an engine: its load, or a change of its prefix cache.
#[derive(Clone, Debug)]
pub enum EngineUpdate {
    /// The load and the running requests, as the engine reports them.
    Load(Upstream, EngineReport),
    /// A prefix that the engine stored or evicted, or a gap in these events.
    Cache(Upstream, CacheEvent),
}

/// A cancel of a request that is not registered with the scheduler, so that no task carries it out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Orphan {
    /// The id of the request.
    pub id: JobId,
    /// The engine that holds the request.
    pub upstream: Upstream,
}

enum Message {
    Submit(Box<Job>, mpsc::UnboundedSender<Order>),
    Report(JobId, Attempt, Progress),
    Engines(Vec<(Engine, bool)>),
    EngineUpdate(EngineUpdate),
    Status(oneshot::Sender<SchedStatus>),
}

/// A cell whose scheduler runs in the task [`LocalCell::run`].
///
/// When that task ends, the order channels of all its requests close. The requests then submit
/// themselves again to the scheduler of the restarted task.
pub struct LocalCell {
    options: SchedOptions,
    clock: Clock,
    inbox: Mutex<Option<mpsc::UnboundedSender<Message>>>,
    engines: Mutex<Vec<(Engine, bool)>>,
    orphans: mpsc::UnboundedSender<Orphan>,
}

impl LocalCell {
    /// Returns a cell without engines. Cancels whose request is unknown are sent to `orphans`.
    #[must_use]
    pub fn new(
        options: SchedOptions,
        clock: Clock,
        orphans: mpsc::UnboundedSender<Orphan>,
    ) -> Arc<Self> {
        Arc::new(Self {
            options,
            clock,
            inbox: Mutex::default(),
            engines: Mutex::default(),
            orphans,
        })
    }

    /// Replaces the list of engines. The flag is true for an engine that is being drained.
    pub fn set_engines(&self, engines: Vec<(Engine, bool)>) {
        self.lock_engines().clone_from(&engines);
        self.send(Message::Engines(engines));
    }

    /// Passes an engine's update to the scheduler.
    pub fn engine_update(&self, update: EngineUpdate) {
        self.send(Message::EngineUpdate(update));
    }

    /// Returns the scheduler's state, or `None` while it is being restarted.
    pub async fn status(&self) -> Option<SchedStatus> {
        let (sender, receiver) = oneshot::channel();
        self.send(Message::Status(sender));
        receiver.await.ok()
    }

    /// Runs a new scheduler until the future is dropped.
    ///
    /// # Errors
    ///
    /// Never returns an error. It returns `Ok` if a later call replaces this scheduler.
    pub async fn run(self: Arc<Self>) -> eyre::Result<()> {
        let (sender, mut inbox) = mpsc::unbounded_channel();
        let seed = uuid::Uuid::new_v4().as_u64_pair().0;
        let mut state = SchedulerState {
            scheduler: Scheduler::new(self.options.clone(), seed),
            clock: self.clock,
            engines: BTreeMap::new(),
            orders: BTreeMap::new(),
            orphans: self.orphans.clone(),
        };
        let engines = self.lock_engines().clone();
        state.handle(Message::Engines(engines));
        *self.inbox.lock().unwrap_or_else(PoisonError::into_inner) = Some(sender);
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                message = inbox.recv() => match message {
                    Some(message) => state.handle(message),
                    None => return Ok(()),
                },
                _ = ticks.tick() => state.tick(),
            }
        }
    }

    fn lock_engines(&self) -> MutexGuard<'_, Vec<(Engine, bool)>> {
        self.engines.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends a message to the scheduler. It is dropped while the scheduler is being restarted.
    fn send(&self, message: Message) {
        let inbox = self.inbox.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(inbox) = &*inbox {
            let _ = inbox.send(message);
        }
    }
}

impl Cell for LocalCell {
    fn submit(&self, job: Job) -> mpsc::UnboundedReceiver<Order> {
        let (orders, receiver) = mpsc::unbounded_channel();
        self.send(Message::Submit(Box::new(job), orders));
        receiver
    }

    fn report(&self, id: JobId, attempt: Attempt, progress: Progress) {
        self.send(Message::Report(id, attempt, progress));
    }
}

/// The scheduler and the order channels of its requests.
struct SchedulerState {
    scheduler: Scheduler,
    clock: Clock,
    engines: BTreeMap<Upstream, (Engine, bool)>,
    orders: BTreeMap<JobId, mpsc::UnboundedSender<Order>>,
    orphans: mpsc::UnboundedSender<Orphan>,
}

impl SchedulerState {
    fn tick(&mut self) {
        let actions = self.scheduler.tick(self.clock.now());
        self.deliver(actions);
    }

    fn handle(&mut self, message: Message) {
        let now = self.clock.now();
        let actions = match message {
            Message::Submit(job, orders) => {
                self.orders.insert(job.id, orders);
                self.scheduler.submit(now, *job)
            }
            Message::Report(id, attempt, progress) => self.report(id, attempt, progress),
            Message::Engines(engines) => self.set_engines(engines),
            Message::EngineUpdate(EngineUpdate::Load(name, report)) => {
                self.scheduler.load_report(now, &name, &report)
            }
            Message::EngineUpdate(EngineUpdate::Cache(name, event)) => {
                self.scheduler.cache_event(now, &name, event)
            }
            Message::Status(sender) => {
                let _ = sender.send(self.scheduler.status(now));
                Vec::new()
            }
        };
        self.deliver(actions);
    }

    fn report(&mut self, id: JobId, attempt: Attempt, progress: Progress) -> Vec<Action> {
        let now = self.clock.now();
        let scheduler = &mut self.scheduler;
        match progress {
            Progress::PrefillDone(done) => scheduler.prefill_done(now, id, attempt, done),
            Progress::PrefillFailed(failure) => scheduler.prefill_failed(now, id, attempt, failure),
            Progress::DecodeStarted => scheduler.decode_started(now, id, attempt),
            Progress::DecodeFailed { failure, delivered } => {
                scheduler.decode_failed(now, id, attempt, failure, delivered)
            }
            Progress::Finished => {
                self.orders.remove(&id);
                scheduler.decode_finished(now, id, attempt)
            }
            Progress::Cancelled => {
                self.orders.remove(&id);
                let actions = scheduler.cancel(now, id);
                // The task of the request cancels its own calls on engines.
                actions
                    .into_iter()
                    .filter(|a| !is_cancel_of(a, id))
                    .collect()
            }
        }
    }

    fn set_engines(&mut self, engines: Vec<(Engine, bool)>) -> Vec<Action> {
        let now = self.clock.now();
        let mut actions = Vec::new();
        let wanted = engines.into_iter().map(|(e, l)| (e.name.clone(), (e, l)));
        let wanted: BTreeMap<_, _> = wanted.collect();
        for name in self
            .engines
            .keys()
            .filter(|name| !wanted.contains_key(*name))
        {
            actions.extend(self.scheduler.engine_down(now, name));
        }
        for (name, (engine, leaving)) in &wanted {
            if self.engines.get(name) == Some(&(engine.clone(), *leaving)) {
                continue;
            }
            actions.extend(self.scheduler.engine_up(now, engine.clone()));
            if *leaving {
                actions.extend(self.scheduler.engine_draining(now, name));
            }
        }
        self.engines = wanted;
        actions
    }

    fn deliver(&mut self, actions: Vec<Action>) {
        for action in actions {
            let (id, order) = into_order(action);
            let refused = matches!(order, Order::Refuse { .. });
            match self.orders.get(&id) {
                Some(orders) => {
                    // Sending fails if the request's task has ended. The task reports this itself.
                    let _ = orders.send(order);
                }
                None => self.send_orphan(id, order),
            }
            if refused {
                self.orders.remove(&id);
            }
        }
    }

    fn send_orphan(&self, id: JobId, order: Order) {
        if let Order::Cancel { upstream } = order {
            let _ = self.orphans.send(Orphan { id, upstream });
        }
    }
}

fn is_cancel_of(action: &Action, job: JobId) -> bool {
    matches!(action, Action::Cancel { id, .. } if *id == job)
}

/// Converts a scheduler's action to the request it is about and the order for that request.
pub(super) fn into_order(action: Action) -> (JobId, Order) {
    match action {
        Action::StartPrefill {
            id,
            attempt,
            prefill,
            decode,
        } => (
            id,
            Order::Prefill {
                attempt,
                prefill,
                decode,
            },
        ),
        Action::StartDecode {
            id,
            attempt,
            decode,
            source,
        } => (
            id,
            Order::Decode {
                attempt,
                decode,
                source,
            },
        ),
        Action::Refuse {
            id,
            reason,
            retry_after,
        } => (
            id,
            Order::Refuse {
                reason,
                retry_after,
            },
        ),
        Action::Cancel { id, upstream } => (id, Order::Cancel { upstream }),
    }
}
