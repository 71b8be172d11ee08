//! State shared by the tasks and requests of a gateway.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use border::{Catalogue, Dialect, Routing, Topic};
use coord::freshness::Freshness;
use coord::hedge::Hedge;
use coord::limit::{AllowanceTable, Division, RetryBudget, RetryLimit, SharedLimits};
use coord::name::{DataCentre, Service, Upstream};
use coord::origin::{Origins, StreamKey};
use coord::poison::{PartSuspects, Suspects};
use coord::share::{ClassShares, Urgency};
use coord::time::Time;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::sync::{Notify, Semaphore};
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::gateway::admission::classes::{ClassHold, Urgencies};
use crate::gateway::admission::load_table::{Key, Load, LoadTable, Seen, service_key};
use crate::gateway::admission::placement::Choice;
use crate::gateway::admission::queue::Queue;
use crate::gateway::admission::rate_limits::Permit;
use crate::gateway::admission::trials::{Start, Terms, Trials};
use crate::gateway::callers::connections::ConnectionTable;
use crate::gateway::callers::memory::Account;
use crate::gateway::callers::shares::Shares;
use crate::gateway::crash_watch::{LostAttempts, new_part_suspects, new_suspects};
use crate::gateway::engines::directory::Directory;
use crate::gateway::engines::health::Outcome;
use crate::gateway::engines::links::Links;
use crate::gateway::engines::liveness::Liveness;
use crate::gateway::engines::service_times::ServiceTimes;
use crate::gateway::fleet::forward::Helpers;
use crate::gateway::fleet::pacing::DIGEST_INTERVAL_PER_PEER;
use crate::gateway::fleet::peer_socket::PeerSocket;
use crate::gateway::organisations::keys::KeyTable;
use crate::gateway::settings::Settings;
use crate::serve::cell::Clock;
use crate::serve::engine::Pool;
use crate::serve::telemetry::Telemetry;

/// Time from the announcement of a trial to its start, in addition to the time between two digests,
/// in which announcements of other gateways arrive.
const TRIAL_NOTICE: Duration = Duration::from_millis(15);

/// Number of such times for which a trial waits until other suspects have left the upstream.
const MAX_TRIAL_WAITS: u32 = 20;

/// Time without an answer of the store after which the configuration may have changed unnoticed.
const MAX_ROUTING_AGE: Duration = Duration::from_secs(6);

/// Time limit for opening a connection to an upstream. A message within a region takes about 1 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Maximum number of requests that are forwarded for other gateways at a time. Their read buffers take 8 MB.
const MAX_FORWARDS: usize = 128;

/// Maximum number of refused requests whose bodies are read at a time, so that their callers can read the refusal.
/// Refusals arrive one by one in normal operation, and the bodies of most have arrived with the head.
const MAX_DISCARDS: usize = 256;

/// The mutable state of a gateway.
pub struct State {
    /// Routes and services in force; `None` before the first version was read.
    pub routing: Option<Arc<Routing>>,
    /// The organisations of the routing in force, by key.
    pub keys: Arc<KeyTable>,
    /// The known upstreams.
    pub directory: Directory,
    /// Load placed on the upstreams.
    pub loads: LoadTable,
    /// Requests that wait for capacity, by service.
    pub queues: BTreeMap<Service, Queue>,
    /// Retry budgets, by service.
    pub retry_budgets: BTreeMap<Key, RetryBudget<SocketAddr>>,
    /// Requests that may have crashed upstreams.
    pub suspects: Suspects,
    /// Parts of prompts that may have crashed upstreams.
    pub part_suspects: PartSuspects,
    /// Attempts that ended without an answer for a reason that is not known yet.
    pub lost_attempts: LostAttempts,
    /// Probes of silent upstreams.
    pub liveness: Liveness,
    /// Which services this gateway reaches over its own links.
    pub links: Links,
    /// Other gateways that forward requests for this one.
    pub helpers: Helpers,
    /// Runs of requests that may have crashed upstreams.
    pub trials: Trials,
    /// Rate limits that upstreams name.
    pub limits: SharedLimits<SocketAddr>,
    /// Where streams began that callers may take up.
    pub origins: Origins,
    /// Requests that wait until it is known where their stream began. A wake-up of all of them by each answer
    /// would cost the square of their number.
    pub origin_waiters: BTreeMap<StreamKey, Arc<Notify>>,
    /// Observed service times of model services.
    pub service_times: BTreeMap<Service, ServiceTimes>,
    /// When a request last arrived; `None` before the first one.
    pub last_request: Option<Time>,
    /// When the store last answered.
    pub store_contact: Time,
    /// Highest store revisions at which a change was seen.
    pub seen: Seen,
    /// How current the data of the store is, by topic.
    pub freshness: BTreeMap<Topic, Freshness>,
    /// Random source for weighted choices.
    pub rng: ChaCha8Rng,
    /// Copies of slow requests, by service.
    pub copies: BTreeMap<Service, Hedge>,
    /// The urgencies of requests in the routing in force.
    pub urgencies: Arc<Urgencies>,
    /// What requests of this gateway ask for and hold by urgency, for services whose requests have several.
    pub shares: BTreeMap<Service, ClassShares>,
    /// What organisations may use.
    pub allowances: AllowanceTable<SocketAddr>,
}

impl State {
    /// Updates how many gateways share the limits of the whole fleet.
    pub fn record_fleet(&mut self, now: Time, hearsay: usize, expected: bool) {
        self.loads.record_fleet(now, hearsay);
        let share = self.loads.fleet().share(now, expected);
        self.limits.set_share(now, share);
        self.divide_allowances(now, expected);
    }

    /// Updates the gateways among which allowances are divided.
    pub fn divide_allowances(&mut self, now: Time, expected: bool) {
        let fleet = self.loads.fleet();
        let division = Division {
            gateways: fleet.size(now, expected),
            share: fleet.heard_part(now, expected),
        };
        self.allowances.set_division(now, division);
    }

    /// Returns whether another gateway reports a change of the routing that this gateway has not read.
    fn is_routing_outdated(&self) -> bool {
        let freshness = self.freshness.get(&Topic::Routing);
        let freshness = freshness.copied().unwrap_or_default();
        let reported = self.loads.seen_by_peers().routing;
        // The revisions of a store that lost its data begin anew, and those seen before say nothing.
        let is_read = freshness.holds(reported) || reported <= self.seen.routing;
        freshness.is_behind() || !is_read
    }

    /// Forgets what a gateway reported of limits that has gone silent.
    pub fn forget(&mut self, peer: &SocketAddr) {
        self.limits.forget(peer);
        self.allowances.forget(peer);
        for budget in self.retry_budgets.values_mut() {
            budget.forget(peer);
        }
    }

    /// Returns the retry budget of a service.
    pub fn retry_budget(&mut self, service: Key) -> &mut RetryBudget<SocketAddr> {
        let rng = &mut self.rng;
        let budget = self.retry_budgets.entry(service);
        budget.or_insert_with(|| RetryBudget::new(rng.random_range(0.0..1.0)))
    }

    /// Returns what the requests of a service ask for and hold by urgency, or `None` if they all have one.
    pub fn class_shares(&mut self, service: &Service) -> Option<&mut ClassShares> {
        let several = self.urgencies.has_several(service);
        several.then(|| self.shares.entry(service.clone()).or_default())
    }
}

/// Everything that the tasks and requests of a gateway share.
pub struct Context {
    /// Builds calls to the store and parses its answers.
    pub catalogue: Arc<dyn Catalogue>,
    /// Parses and writes the platform's headers.
    pub dialect: Arc<dyn Dialect>,
    /// Connections to upstreams and to the store.
    pub pool: Pool,
    /// Connections to other gateways, which know this one by their address.
    pub peer_pool: Pool,
    /// Clock of the process.
    pub clock: Clock,
    /// Metrics.
    pub telemetry: Telemetry,
    /// Notified when capacity at an upstream may have been released.
    pub capacity_freed: Notify,
    /// Notified when a change has to be sent to other gateways.
    pub digest_due: Notify,
    /// Sends datagrams to other gateways, once it is bound.
    pub peer_socket: OnceLock<Arc<PeerSocket>>,
    /// Notified when another gateway reports a change of the store's data that is not known here.
    pub change_reported: Notify,
    /// Notified when a request arrives.
    pub request_arrived: Notify,
    /// Notified when a probe of an upstream has ended.
    pub probe_ended: Notify,
    /// Cancelled when a planned stop begins.
    pub stopping: CancellationToken,
    /// Cancelled when the listener for callers and their idle connections have to be closed.
    pub closing: CancellationToken,
    /// When the process ends, once a planned stop has begun.
    pub stop_limit: OnceLock<Instant>,
    /// Background calls that outlive their request.
    pub tasks: TaskTracker,
    /// Requests that may be forwarded for other gateways at a time.
    pub forwards: Arc<Semaphore>,
    /// Notified when it is known whether the upstreams of a service are reached, or have been lost.
    pub links_checked: Notify,
    settings: Mutex<Arc<Settings>>,
    data_centre: DataCentre,
    state: Mutex<State>,
    /// Memory that callers make the process hold.
    pub memory: Account,
    /// The open connections of callers.
    pub connections: ConnectionTable,
    /// Bodies of refused requests that may be read at a time.
    pub discards: Arc<Semaphore>,
}

impl Context {
    /// Creates the shared state.
    #[must_use]
    pub fn new(
        settings: Settings,
        catalogue: Arc<dyn Catalogue>,
        dialect: Arc<dyn Dialect>,
        seed: u64,
    ) -> Arc<Self> {
        let own = settings.fleet.address.0.ip();
        let shares = Shares::new(&settings.resources);
        let (clock, telemetry) = (Clock::start(), Telemetry::in_memory());
        let mut directory = Directory::default();
        directory.speeds.activate(settings.upstreams.speeds);
        let mut suspects = new_suspects(settings.gateway.name.clone());
        if settings.fleet.first_start {
            suspects.remember_all();
        }
        let state = State {
            routing: None,
            keys: Arc::default(),
            directory,
            loads: LoadTable::default(),
            queues: BTreeMap::new(),
            retry_budgets: BTreeMap::new(),
            suspects,
            part_suspects: new_part_suspects(settings.gateway.name.clone()),
            lost_attempts: LostAttempts::default(),
            liveness: Liveness::default(),
            links: Links::default(),
            helpers: Helpers::default(),
            trials: Trials::default(),
            limits: SharedLimits::new(settings.fleet.address.0),
            origins: Origins::default(),
            origin_waiters: BTreeMap::new(),
            service_times: BTreeMap::new(),
            last_request: None,
            store_contact: Time::ZERO,
            seen: Seen::default(),
            freshness: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            copies: BTreeMap::new(),
            urgencies: Arc::default(),
            shares: BTreeMap::new(),
            allowances: AllowanceTable::default(),
        };
        Arc::new(Self {
            data_centre: settings.gateway.data_centre.clone(),
            settings: Mutex::new(Arc::new(settings)),
            catalogue,
            dialect,
            pool: Pool::new(CONNECT_TIMEOUT),
            peer_pool: Pool::new(CONNECT_TIMEOUT).from_address(own),
            forwards: Arc::new(Semaphore::new(MAX_FORWARDS)),
            links_checked: Notify::new(),
            memory: Account::new(shares.account, clock, telemetry.clone()),
            connections: ConnectionTable::default(),
            discards: Arc::new(Semaphore::new(MAX_DISCARDS)),
            clock,
            telemetry,
            capacity_freed: Notify::new(),
            digest_due: Notify::new(),
            peer_socket: OnceLock::new(),
            change_reported: Notify::new(),
            request_arrived: Notify::new(),
            probe_ended: Notify::new(),
            stopping: CancellationToken::new(),
            closing: CancellationToken::new(),
            stop_limit: OnceLock::new(),
            tasks: TaskTracker::new(),
            state: Mutex::new(state),
        })
    }

    /// Locks the state. A mutex poisoned by a panic is used all the same, because later updates
    /// correct the figures.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the settings in force.
    #[must_use]
    pub fn settings(&self) -> Arc<Settings> {
        let settings = self.settings.lock();
        Arc::clone(&settings.unwrap_or_else(PoisonError::into_inner))
    }

    /// Applies changed settings. Listeners keep their addresses until the next start.
    pub fn reload(&self, settings: Settings) {
        let mut current = self.settings.lock().unwrap_or_else(PoisonError::into_inner);
        if **current == settings {
            return;
        }
        let learns = settings.upstreams.speeds;
        *current = Arc::new(settings);
        drop(current);
        self.state().directory.speeds.activate(learns);
        log::info!("settings reloaded");
        self.digest_due.notify_one();
    }

    /// Returns the priority of a request at the upstreams, or `None` if all requests of its service have one
    /// urgency.
    #[must_use]
    pub fn urgency_level(&self, service: &Service, urgency: Urgency) -> Option<u8> {
        self.state().urgencies.level(service, urgency)
    }

    /// Returns the current time.
    #[must_use]
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Returns the data centre of this gateway.
    #[must_use]
    pub fn data_centre(&self) -> &DataCentre {
        &self.data_centre
    }

    /// Returns whether the gateway can serve callers.
    #[must_use]
    pub fn ready(&self) -> bool {
        let state = self.state();
        let informed = state.routing.is_some() && state.directory.is_complete();
        informed && !self.stopping.is_cancelled()
    }

    /// Returns whether there may be a version of the configuration that this gateway has not read. What no route or
    /// no organisation allows may then be allowed.
    #[must_use]
    pub fn may_lack_routing(&self) -> bool {
        let now = self.now();
        let state = self.state();
        let silent = now.since(state.store_contact);
        silent > MAX_ROUTING_AGE || state.is_routing_outdated()
    }

    /// Returns whether a request that has just been read may be answered by this process. While callers may still be
    /// sent here, all are served; afterwards only those whose time ends before the process does.
    #[must_use]
    pub fn outlives(&self, deadline: Instant) -> bool {
        let ends_before = |limit: &Instant| deadline <= *limit;
        !self.closing.is_cancelled() || self.stop_limit.get().is_none_or(ends_before)
    }

    /// Reserves load on an upstream until the returned guard is dropped.
    #[must_use]
    pub fn reserve(self: &Arc<Self>, key: Key, load: Load) -> Reservation {
        self.state().loads.reserve(key, load);
        self.digest_due.notify_one();
        Reservation {
            ctx: Arc::clone(self),
            key,
            load,
            trial: None,
            permit: None,
            class: None,
        }
    }

    /// Records the result of a request at an upstream.
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

    /// Updates the service times of a service.
    pub fn update_times(&self, service: &Service, change: impl FnOnce(&mut ServiceTimes)) {
        change(
            self.state()
                .service_times
                .entry(service.clone())
                .or_default(),
        );
    }

    /// Takes one retry from the budget; returns false if the budget is used up.
    pub fn try_retry(&self, service: &Service) -> bool {
        let now = self.now();
        let limit = self.retry_limit();
        let division = self.division(now);
        let mut state = self.state();
        let budget = state.retry_budget(service_key(service));
        let granted = budget.try_retry(now, &limit, division);
        let (requests, retries) = budget.counted();
        drop(state);
        if granted {
            self.digest_due.notify_one();
        } else {
            let service = service.as_str();
            let Division { gateways, share } = division;
            log::info!(service, requests, retries, gateways, share; "retry denied");
        }
        self.telemetry.count(if granted {
            "repeat.paid"
        } else {
            "repeat.denied"
        });
        granted
    }

    /// Returns whether the budget has a retry. Unlike [`Self::try_retry`], it takes and logs nothing.
    #[must_use]
    pub fn has_retry(&self, service: &Service) -> bool {
        self.has_retry_of(service, 1.0)
    }

    /// Returns whether the budget has a retry if no more than a share of it may be used.
    #[must_use]
    pub fn has_retry_of(&self, service: &Service, share: f64) -> bool {
        let now = self.now();
        let limit = self.retry_limit();
        let limit = RetryLimit {
            ratio: limit.ratio * share,
            slack: limit.slack * share,
            ..limit
        };
        let division = self.division(now);
        let mut state = self.state();
        let budget = state.retry_budget(service_key(service));
        budget.has_retry(now, &limit, division)
    }

    /// Returns the gateways among which limits of the whole fleet are divided.
    fn division(&self, now: Time) -> Division {
        let expected = self.expects_peers();
        let state = self.state();
        let fleet = state.loads.fleet();
        Division {
            gateways: fleet.size(now, expected),
            share: fleet.share(now, expected),
        }
    }

    /// Records that a request of a caller or of another gateway arrives.
    pub fn record_arrival(&self) {
        self.state().last_request = Some(self.now());
        self.request_arrived.notify_waiters();
    }

    /// Counts one request of a caller, which adds to the retry budget.
    pub fn count_request(&self, service: &Service) {
        let now = self.now();
        let limit = self.retry_limit();
        let mut state = self.state();
        let budget = state.retry_budget(service_key(service));
        budget.count_request(now, &limit);
    }

    /// Returns the limit on retries, which holds for the whole fleet.
    #[must_use]
    pub fn retry_limit(&self) -> RetryLimit {
        let keys = &self.settings().repeats;
        RetryLimit {
            ratio: keys.ratio.0,
            slack: keys.slack.0,
            window: keys.window.0,
        }
    }

    /// Returns whether the settings name other gateways.
    #[must_use]
    pub fn expects_peers(&self) -> bool {
        let fleet = &self.settings().fleet;
        let own = fleet.address.0.ip();
        fleet.seeds.iter().any(|seed| seed.0.ip() != own)
    }

    /// Returns the address under which other gateways know this one.
    #[must_use]
    pub fn own_address(&self) -> SocketAddr {
        self.settings().fleet.address.0
    }
}

/// Load reserved on an upstream; dropping it releases the load.
pub struct Reservation {
    ctx: Arc<Context>,
    key: Key,
    load: Load,
    /// The trial of the request on the upstream, if it is a suspect.
    trial: Option<u64>,
    /// The token of the upstream, if it names a rate limit.
    permit: Option<Permit>,
    /// The tokens that count as held by the class of the request.
    class: Option<ClassHold>,
}

impl Reservation {
    /// Counts the load as held by the class of a request, for as long as it is reserved.
    #[must_use]
    pub fn with_class(mut self, service: &Service, urgency: Urgency) -> Self {
        self.class = ClassHold::new(&self.ctx, service, urgency, self.load.kv_tokens);
        self
    }

    /// Begins the trial of a suspect on the upstream. Returns false, and begins none, if another one
    /// must end first.
    pub async fn begin_trial(&mut self, fingerprints: &[u128], terms: Terms) -> bool {
        let now = self.ctx.now();
        let announced = {
            let mut state = self.ctx.state();
            state.trials.announce(now, (self.key, fingerprints), terms)
        };
        let Some(number) = announced else {
            return false;
        };
        self.trial = Some(number);
        self.ctx.digest_due.notify_one();
        let started = terms == Terms::AtOnce || self.start_trial(number).await;
        if !started {
            self.end_trial();
        }
        started
    }

    /// Returns whether the request is on trial on the upstream.
    #[must_use]
    pub fn is_on_trial(&self) -> bool {
        self.trial.is_some()
    }

    /// Waits until the announcements of other gateways have arrived and until no other suspect runs on
    /// the upstream. Returns whether the trial has started.
    async fn start_trial(&self, number: u64) -> bool {
        for _ in 0..MAX_TRIAL_WAITS {
            let gateways = self.ctx.state().loads.gateway_count();
            sleep(trial_delay(gateways)).await;
            let (now, own) = (self.ctx.now(), self.ctx.own_address());
            let start = self.ctx.state().trials.start(now, own, number);
            match start {
                Start::Started => {
                    self.ctx.digest_due.notify_one();
                    return true;
                }
                Start::Blocked => {}
                Start::Lost => return false,
            }
        }
        false
    }

    /// Ends the trial, if there is one, because the upstream ran the request without a crash.
    pub fn end_trial(&mut self) {
        if let Some(number) = self.trial.take() {
            self.ctx.state().trials.end(number);
            self.ctx.capacity_freed.notify_waiters();
            self.ctx.digest_due.notify_one();
        }
    }

    /// Takes a token of an upstream that names a rate limit, and waits for it until `until`. Returns false
    /// if there is none by then.
    pub async fn obtain_permit(&mut self, choice: &Choice, until: Instant) -> bool {
        let claimed = Permit::claim(&self.ctx, choice.limit_key);
        let Some(mut permit) = claimed else {
            return true;
        };
        let obtained = permit.obtain(until).await;
        self.permit = obtained.then_some(permit);
        obtained
    }

    /// Returns the token for one request to the upstream. Returns `None` if its rate limit, which it may
    /// have named after the place was taken, leaves no room.
    pub fn take_permit(&mut self, choice: &Choice) -> Option<Permit> {
        let held = self.permit.take();
        let held = held.filter(|permit| permit.key() == choice.limit_key);
        held.or_else(|| Permit::take(&self.ctx, choice.limit_key))
    }

    /// Replaces the reserved load.
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
        self.end_trial();
        self.ctx.state().loads.release(self.key, self.load);
        self.ctx.capacity_freed.notify_waiters();
        self.ctx.digest_due.notify_one();
    }
}

/// Returns the time that a gateway waits between the announcement and the start of a trial.
fn trial_delay(gateways: usize) -> Duration {
    let gateways = u32::try_from(gateways).unwrap_or(u32::MAX);
    TRIAL_NOTICE + 2 * DIGEST_INTERVAL_PER_PEER * gateways
}
