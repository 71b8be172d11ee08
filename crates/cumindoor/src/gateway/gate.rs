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

use super::board::{Board, Key, Load, Seen};
use super::budget::{RepeatBound, Repeats};
use super::directory::Directory;
use super::health::Outcome;
use super::pace::Pace;
use super::queue::Queue;
use super::settings::Settings;
use crate::serve::cell::Clock;
use crate::serve::engine::Pool;
use crate::serve::telemetry::Telemetry;

/// Time to open a connection to an upstream; within a region a message takes about 1 ms.
const CONNECT_TIME: Duration = Duration::from_millis(250);

/// What the gateway believes.
pub struct State {
    /// The routes and services in force; `None` before the first were read.
    pub routing: Option<Arc<Routing>>,
    /// The upstreams.
    pub directory: Directory,
    /// The work on them.
    pub board: Board,
    /// The requests that wait, by service.
    pub queues: BTreeMap<Service, Queue>,
    /// The repeats, by service.
    pub repeats: BTreeMap<Service, Repeats>,
    /// How fast model services serve.
    pub paces: BTreeMap<Service, Pace>,
    /// When the store answered last.
    pub contact: Time,
    /// The store's revisions at the last changes that were heard of.
    pub seen: Seen,
    /// Breaks ties.
    pub rng: ChaCha8Rng,
}

/// The shared part of a gateway.
pub struct Gate {
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
    pub room: Notify,
    /// Told when other gateways have to hear of a change.
    pub news: Notify,
    /// Cancelled when a planned stop begins.
    pub stopping: CancellationToken,
    /// Cancelled when kept connections of callers have to end.
    pub closing: CancellationToken,
    /// Calls that outlive their request.
    pub tasks: TaskTracker,
    /// Bytes of bodies that may still be read into memory.
    pub bodies: Arc<Semaphore>,
    settings: Mutex<Arc<Settings>>,
    near: DataCentre,
    state: Mutex<State>,
}

impl Gate {
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
            board: Board::default(),
            queues: BTreeMap::new(),
            repeats: BTreeMap::new(),
            paces: BTreeMap::new(),
            contact: Time::ZERO,
            seen: Seen::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        Arc::new(Self {
            near: settings.gateway.data_centre.clone(),
            settings: Mutex::new(Arc::new(settings)),
            catalogue,
            dialect,
            pool: Pool::new(CONNECT_TIME),
            clock: Clock::start(),
            telemetry: Telemetry::in_memory(),
            room: Notify::new(),
            news: Notify::new(),
            stopping: CancellationToken::new(),
            closing: CancellationToken::new(),
            tasks: TaskTracker::new(),
            bodies: Arc::new(Semaphore::new(bodies.min(Semaphore::MAX_PERMITS))),
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
        self.news.notify_one();
    }

    /// Returns the current instant.
    #[must_use]
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Returns the data centre of the gateway.
    #[must_use]
    pub fn near(&self) -> &DataCentre {
        &self.near
    }

    /// Returns whether callers may be sent here.
    #[must_use]
    pub fn ready(&self) -> bool {
        let state = self.state();
        let informed = state.routing.is_some() && state.directory.complete();
        informed && !self.stopping.is_cancelled()
    }

    /// Reserves a place on an upstream until the guard is dropped.
    #[must_use]
    pub fn hold(self: &Arc<Self>, key: Key, load: Load) -> Hold {
        self.state().board.place(key, load);
        self.news.notify_one();
        Hold {
            gate: Arc::clone(self),
            key,
            load,
        }
    }

    /// Notes what became of a request at an upstream.
    pub fn note(&self, upstream: &Upstream, outcome: Outcome) {
        let now = self.now();
        let mut state = self.state();
        let Some(known) = state.directory.get_mut(upstream) else {
            return;
        };
        let before = known.health.ejected(now);
        known.health.note(now, outcome);
        let after = known.health.ejected(now);
        drop(state);
        if before != after {
            let name = upstream.as_str();
            log::warn!(upstream = name, left_out = after; "health");
        }
    }

    /// Changes what is known of the speed of a service.
    pub fn pace(&self, service: &Service, change: impl FnOnce(&mut Pace)) {
        change(self.state().paces.entry(service.clone()).or_default());
    }

    /// Pays for one repeat; returns false if the budget is used up.
    pub fn try_repeat(&self, service: &Service) -> bool {
        let now = self.now();
        let bound = self.repeat_bound();
        let mut state = self.state();
        let gateways = state.board.sharers(now);
        let repeats = state.repeats.entry(service.clone()).or_default();
        let paid = repeats.try_repeat(now, &bound, gateways);
        drop(state);
        self.telemetry
            .count(if paid { "repeat.paid" } else { "repeat.denied" });
        paid
    }

    /// Counts one request of a caller for the budget of repeats.
    pub fn count_request(&self, service: &Service) {
        let now = self.now();
        let bound = self.repeat_bound();
        let mut state = self.state();
        let repeats = state.repeats.entry(service.clone()).or_default();
        repeats.request(now, &bound);
    }

    fn repeat_bound(&self) -> RepeatBound {
        let keys = &self.settings().repeats;
        RepeatBound {
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
pub struct Hold {
    gate: Arc<Gate>,
    key: Key,
    load: Load,
}

impl Hold {
    /// Replaces the load, for example when the prompt has been read.
    pub fn change(&mut self, load: Load) {
        let mut state = self.gate.state();
        state.board.release(self.key, self.load);
        state.board.place(self.key, load);
        drop(state);
        self.load = load;
        self.gate.news.notify_one();
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        self.gate.state().board.release(self.key, self.load);
        self.gate.room.notify_waiters();
        self.gate.news.notify_one();
    }
}
