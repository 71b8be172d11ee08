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

/// How often the scheduler looks at the time; waits and backoffs are longer than that.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// What a cell is told besides requests.
#[derive(Clone, Debug)]
pub enum EngineUpdate {
    /// An engine's own account of its load.
    Load(Upstream, EngineReport),
    /// A change of an engine's prefix cache.
    Cache(Upstream, CacheEvent),
}

/// An order to free what a request holds, when the request is not one of this process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Orphan {
    /// The request.
    pub id: JobId,
    /// The engine.
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
/// When that task ends, all its requests see their channel closed and submit themselves again
/// to the scheduler of the next one.
pub struct LocalCell {
    options: SchedOptions,
    clock: Clock,
    inbox: Mutex<Option<mpsc::UnboundedSender<Message>>>,
    engines: Mutex<Vec<(Engine, bool)>>,
    orphans: mpsc::UnboundedSender<Orphan>,
}

impl LocalCell {
    /// Returns a cell without engines; `orphans` gets the cancels that no request obeys.
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

    /// Makes these the cell's engines; the flag marks one that is leaving.
    pub fn set_engines(&self, engines: Vec<(Engine, bool)>) {
        self.lock_engines().clone_from(&engines);
        self.send(Message::Engines(engines));
    }

    /// Passes on what an engine reported.
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
    /// Does not return while the cell exists.
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

    /// Sends a message; it is lost while the scheduler is being restarted.
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

/// The scheduler and the channels to its requests.
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
                // The request cancels its own calls.
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
                    // A request that is gone reports its end by itself.
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

/// Returns an action in the form of an order to one request.
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
