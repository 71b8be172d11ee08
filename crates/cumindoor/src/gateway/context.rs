//! What the tasks and requests of a gateway share.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use border::{Catalogue, Dialect, Routing};
use coord::name::{DataCentre, Service, Upstream};
use coord::time::Time;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::sync::{Notify, Semaphore};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::directory::Directory;
use super::health::Outcome;
use super::load_table::{Key, Load, LoadTable, Seen};
use super::queue::Queue;
use super::retry_budget::{RetryBudget, RetryLimit};
use super::service_times::ServiceTimes;
use super::settings::Settings;
use crate::serve::cell::Clock;
use crate::serve::engine::Pool;
use crate::serve::telemetry::Telemetry;

/// Time to open a connection to an upstream; within a region a message takes about 1 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// What the gateway believes.
pub struct State {
    /// The routes and services in force; `None` before the first were read.
    pub routing: Option<Arc<Routing>>,
    /// The upstreams.
    pub directory: Directory,
    /// The work on them.
    pub loads: LoadTable,
    /// The requests that wait, by service.
    pub queues: BTreeMap<Service, Queue>,
    /// The repeats, by service.
    pub retry_budgets: BTreeMap<Service, RetryBudget>,
    /// How fast model services serve.
    pub service_times: BTreeMap<Service, ServiceTimes>,
    /// When the store answered last.
    pub store_contact: Time,
    /// The store's revisions at the last changes that were heard of.
    pub seen: Seen,
    /// Breaks ties.
    pub rng: ChaCha8Rng,
}

/// The shared part of a gateway.
pub struct Context {
    /// How the store is read.
    pub catalogue: Arc<dyn Catalogue>,
    /// How headers are read.
    pub dialect: Arc<dyn Dialect>,
    /// Connections to upstreams and to the store.
    pub pool: Pool,
    /// The process's clock.
    pub clock: Clock,
    /// Counters.
    pub telemetry: Telemetry,
    /// Told when room may have become free.
    pub capacity_freed: Notify,
    /// Told when other gateways have to hear of a change.
    pub digest_due: Notify,
    /// Cancelled when a planned stop begins.
    pub stopping: CancellationToken,
    /// Cancelled when kept connections of callers have to end.
    pub closing: CancellationToken,
    /// Calls that outlive their request.
    pub tasks: TaskTracker,
    /// Bytes of bodies that may still be read into memory.
    pub body_memory: Arc<Semaphore>,
    settings: Mutex<Arc<Settings>>,
    data_centre: DataCentre,
    state: Mutex<State>,
}

impl Context {
    /// Creates the shared part.
    #[must_use]
    pub fn new(
        settings: Settings,
        catalogue: Arc<dyn Catalogue>,
        dialect: Arc<dyn Dialect>,
        seed: u64,
    ) -> Arc<Self> {
        let bodies = usize::try_from(settings.resources.bodies.0).unwrap_or(usize::MAX);
        let state = State {
            routing: None,
            directory: Directory::default(),
            loads: LoadTable::default(),
            queues: BTreeMap::new(),
            retry_budgets: BTreeMap::new(),
            service_times: BTreeMap::new(),
            store_contact: Time::ZERO,
            seen: Seen::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        Arc::new(Self {
            data_centre: settings.gateway.data_centre.clone(),
            settings: Mutex::new(Arc::new(settings)),
            catalogue,
            dialect,
            pool: Pool::new(CONNECT_TIMEOUT),
            clock: Clock::start(),
            telemetry: Telemetry::in_memory(),
            capacity_freed: Notify::new(),
            digest_due: Notify::new(),
            stopping: CancellationToken::new(),
            closing: CancellationToken::new(),
            tasks: TaskTracker::new(),
            body_memory: Arc::new(Semaphore::new(bodies.min(Semaphore::MAX_PERMITS))),
            state: Mutex::new(state),
        })
    }

    /// Locks what the gateway believes; a panic of another holder leaves figures that later
    /// changes correct.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the settings in force.
    #[must_use]
    pub fn settings(&self) -> Arc<Settings> {
        let settings = self.settings.lock();
        Arc::clone(&settings.unwrap_or_else(PoisonError::into_inner))
    }

    /// Puts changed settings in force. Listeners keep their addresses until the next start.
    pub fn reload(&self, settings: Settings) {
        let mut current = self.settings.lock().unwrap_or_else(PoisonError::into_inner);
        if **current == settings {
            return;
        }
        *current = Arc::new(settings);
        drop(current);
        log::info!("settings reloaded");
        self.digest_due.notify_one();
    }

    /// Returns the current instant.
    #[must_use]
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Returns the data centre of the gateway.
    #[must_use]
    pub fn data_centre(&self) -> &DataCentre {
        &self.data_centre
    }

    /// Returns whether callers may be sent here.
    #[must_use]
    pub fn ready(&self) -> bool {
        let state = self.state();
        let informed = state.routing.is_some() && state.directory.is_complete();
        informed && !self.stopping.is_cancelled()
    }

    /// Reserves a place on an upstream until the guard is dropped.
    #[must_use]
    pub fn reserve(self: &Arc<Self>, key: Key, load: Load) -> Reservation {
        self.state().loads.reserve(key, load);
        self.digest_due.notify_one();
        Reservation {
            ctx: Arc::clone(self),
            key,
            load,
        }
    }

    /// Notes what became of a request at an upstream.
    pub fn record_outcome(&self, upstream: &Upstream, outcome: Outcome) {
        let now = self.now();
        let mut state = self.state();
        let Some(endpoint) = state.directory.get_mut(upstream) else {
            return;
        };
        let before = endpoint.health.is_ejected(now);
        endpoint.health.record(now, outcome);
        let after = endpoint.health.is_ejected(now);
        drop(state);
        if before != after {
            let name = upstream.as_str();
            log::warn!(upstream = name, left_out = after; "health");
        }
    }

    /// Changes what is known of the speed of a service.
    pub fn update_times(&self, service: &Service, change: impl FnOnce(&mut ServiceTimes)) {
        change(
            self.state()
                .service_times
                .entry(service.clone())
                .or_default(),
        );
    }

    /// Pays for one repeat; returns false if the budget is used up.
    pub fn try_retry(&self, service: &Service) -> bool {
        let now = self.now();
        let limit = self.retry_limit();
        let mut state = self.state();
        let gateways = state.loads.sharing_gateways(now);
        let budget = state.retry_budgets.entry(service.clone()).or_default();
        let granted = budget.try_retry(now, &limit, gateways);
        drop(state);
        self.telemetry.count(if granted {
            "repeat.paid"
        } else {
            "repeat.denied"
        });
        granted
    }

    /// Counts one request of a caller for the budget of repeats.
    pub fn count_request(&self, service: &Service) {
        let now = self.now();
        let limit = self.retry_limit();
        let mut state = self.state();
        let budget = state.retry_budgets.entry(service.clone()).or_default();
        budget.count_request(now, &limit);
    }

    fn retry_limit(&self) -> RetryLimit {
        let keys = &self.settings().repeats;
        RetryLimit {
            ratio: keys.ratio.0,
            slack: keys.slack.0,
            window: keys.window.0,
        }
    }

    /// Returns the address that other gateways know this one by.
    #[must_use]
    pub fn own_address(&self) -> SocketAddr {
        self.settings().fleet.address.0
    }
}

/// A place on an upstream; dropping it frees the place.
pub struct Reservation {
    ctx: Arc<Context>,
    key: Key,
    load: Load,
}

impl Reservation {
    /// Replaces the load, for example when the prompt has been read.
    pub fn change(&mut self, load: Load) {
        let mut state = self.ctx.state();
        state.loads.release(self.key, self.load);
        state.loads.reserve(self.key, load);
        drop(state);
        self.load = load;
        self.ctx.digest_due.notify_one();
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.ctx.state().loads.release(self.key, self.load);
        self.ctx.capacity_freed.notify_waiters();
        self.ctx.digest_due.notify_one();
    }
}
