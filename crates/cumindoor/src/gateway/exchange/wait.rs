//! Waiting for capacity at the upstreams.

use std::cell::Cell;
use std::cmp::Reverse;
use std::sync::Arc;
use std::time::Duration;

use border::{Model, Stage};
use coord::name::Upstream;
use coord::time::Time;
use tokio::time::{Instant, sleep, sleep_until};

use super::classes::Classes;
use super::place::{Place, Search, refuse_limited, take_place};
use super::{CallerRequest, millis};
use crate::gateway::admission::load_table::{Load, Rank, service_key};
use crate::gateway::admission::placement::{Choice, Demand, Placer, usable_tokens, used_keys};
use crate::gateway::admission::queue::{KvPool, Queue, Ticket};
use crate::gateway::callers::answer::{Reason, Refusal};
use crate::gateway::context::{Context, Reservation, State};
use crate::gateway::crash_watch::Standing;
use crate::gateway::engines::directory::{Directory, Endpoint};
use crate::gateway::fleet::pacing::DIGEST_INTERVAL_PER_PEER;

use super::plain::PLAIN_LOAD;

/// Interval at which a waiting request looks for capacity without being notified.
pub(super) const RECHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time for which a gateway leaves capacity to each gateway whose request takes precedence, in
/// addition to the time between two of its digests. That gateway needs it to learn of the capacity
/// and to announce that it was taken.
const YIELD_TIME: Duration = Duration::from_millis(3);
/// Maximum number of gateways to which capacity is left.
const MAX_YIELDED_GATEWAYS: u32 = 20;
/// Longest wait for capacity, as a multiple of the target latency. Callers of streams give up after
/// four times the target without an event, and the rest is needed for the prefill.
const MAX_WAIT_TARGETS: f64 = 3.3;
/// Time in which the other gateways have heard of a place, in addition to the time between two digests.
const PLACE_NOTICE: Duration = Duration::from_millis(5);
/// Retry time sent to callers if a service has no upstream left to try.
const NO_UPSTREAM_RETRY_AFTER: Duration = Duration::from_millis(700);

/// Waits for capacity at a plain upstream.
pub(super) async fn for_plain(
    req: &CallerRequest,
    tried: &[Upstream],
) -> Result<(Choice, Reservation), Refusal> {
    take_place(req, Place::Plain, tried).await
}

/// Takes a place at a prefill engine. There is no queue: the engine does the prefills one after the
/// other.
pub(super) async fn for_prefill(
    req: &CallerRequest,
    demand: Demand,
    decode: &Choice,
    tried: &[Upstream],
) -> Result<(Choice, Reservation), Refusal> {
    take_place(req, Place::Prefill { demand, decode }, tried).await
}

pub(super) fn take_prefill(
    req: &CallerRequest,
    demand: Demand,
    decode: &Choice,
    search: Search<'_>,
) -> Result<(Choice, Reservation), Refusal> {
    let ctx = &req.ctx;
    let choice = {
        let mut state = ctx.state();
        let mut placer = placer(req, &mut state, Some(search));
        // The result is moved from one engine to the other.
        placer.preferred = &decode.data_centre;
        placer.choose_prefill(&req.service, demand, decode.build, search.tried)
    };
    let choice = choice.ok_or(Refusal::with_retry(
        Reason::NoUpstream,
        NO_UPSTREAM_RETRY_AFTER,
    ))?;
    let load = Load {
        requests: 1,
        unprefilled_tokens: demand.prompt_tokens,
        kv_tokens: 0,
    };
    let reservation = ctx.reserve(choice.key, load);
    Ok((choice, reservation))
}

pub(super) async fn wait_for_plain(
    req: &CallerRequest,
    search: Search<'_>,
) -> Result<(Choice, Reservation), Refusal> {
    let tried = search.tried;
    let until = wait_limit(req);
    loop {
        let freed = req.ctx.capacity_freed.notified();
        let mut freed = std::pin::pin!(freed);
        freed.as_mut().enable();
        let chosen = {
            let mut state = req.ctx.state();
            refuse_if_all_tried(req, &state.directory, None, tried)?;
            let mut placer = placer(req, &mut state, Some(search));
            placer.choose_plain(&req.service, tried)
        };
        if let Some(choice) = chosen {
            let reservation = req.ctx.reserve(choice.key, PLAIN_LOAD);
            return Ok((choice, reservation));
        }
        refuse_limited(req, None, search)?;
        if Instant::now() >= until {
            return Err(Refusal::with_retry(
                Reason::Overloaded,
                req.route.target_latency,
            ));
        }
        tokio::select! {
            () = freed => {}
            () = sleep_until((Instant::now() + RECHECK_INTERVAL).min(until)) => {}
        }
    }
}

/// Waits for KV cache at a decode engine.
pub(super) async fn for_decode(
    req: &CallerRequest,
    model: &Model,
    demand: Demand,
    tried: &[Upstream],
) -> Result<(Choice, Reservation), Refusal> {
    let place = Place::Decode {
        model,
        demand,
        until: wait_limit(req),
        prefilled: false,
    };
    take_place(req, place, tried).await
}

/// Returns a reservation at a decode engine for a request whose prompt is prefilled. The request
/// goes ahead of the queue if an engine has enough free KV cache, and waits otherwise.
pub(super) async fn for_prefilled(
    req: &CallerRequest,
    model: &Model,
    demand: Demand,
    tried: &[Upstream],
) -> Result<(Choice, Reservation), Refusal> {
    let place = Place::Decode {
        model,
        demand,
        until: wait_limit(req),
        prefilled: true,
    };
    take_place(req, place, tried).await
}

pub(super) fn take_prefilled(
    req: &CallerRequest,
    model: &Model,
    demand: Demand,
    search: Search<'_>,
) -> Option<(Choice, Reservation)> {
    let ctx = &req.ctx;
    let choice = {
        let mut state = ctx.state();
        let mut placer = placer(req, &mut state, Some(search));
        placer.choose_decode_prefilled(&req.service, model, demand, search.tried)?
    };
    let reservation = reserve(req, &choice, demand);
    Some((choice, reservation))
}

/// Returns whether a place at a decode engine still holds once the gateways that chose the same engine at the same
/// moment have heard of each other. Only one of them goes on if there is no room for all.
///
/// Waits for that only if another request of this size would not fit. A prompt that is prefilled for a place that does
/// not hold is prefilled in vain.
pub(super) async fn holds(
    req: &CallerRequest,
    model: &Model,
    demand: Demand,
    current: &Choice,
) -> bool {
    let ctx = &req.ctx;
    if req.standing() > Standing::Clear {
        return true;
    }
    let since = ctx.now();
    let limit = usable_tokens(model);
    let notice = {
        let state = ctx.state();
        let load = state.loads.load(current.key).kv_tokens;
        let sharing = state.loads.sharing_count();
        let is_tight = load.saturating_add(demand.kv_tokens) > limit;
        if !is_tight || sharing == 1 {
            return true;
        }
        let sharing = u32::try_from(sharing).unwrap_or(u32::MAX);
        PLACE_NOTICE + DIGEST_INTERVAL_PER_PEER * sharing
    };
    sleep(notice).await;
    let state = ctx.state();
    let is_overbooked = state.loads.load(current.key).kv_tokens > limit;
    !(is_overbooked && state.loads.is_outbid(current.key, since, ctx.own_address()))
}

/// Reserves KV cache at another decode engine if the load on the current one exceeds the share of
/// its KV cache that placements may fill. Returns `None` if it does not, or if no other engine has
/// enough free KV cache.
///
/// Gateways that choose the same engine at the same moment learn of each other during the prefill,
/// early enough to prevent the engine from refusing their requests.
pub(super) fn rereserve_if_overloaded(
    req: &CallerRequest,
    model: &Model,
    demand: Demand,
    (current, tried): (&Choice, &[Upstream]),
) -> Option<(Choice, Reservation)> {
    let ctx = &req.ctx;
    // A suspect stays where it is on trial.
    if req.standing() > Standing::Clear {
        return None;
    }
    let choice = {
        let mut state = ctx.state();
        if state.loads.load(current.key).kv_tokens <= usable_tokens(model) {
            return None;
        }
        let mut tried = tried.to_vec();
        tried.push(current.name.clone());
        let mut placer = placer(req, &mut state, None);
        placer.choose_decode(&req.service, model, demand, &tried)?
    };
    ctx.telemetry.count("place.changed");
    let reservation = reserve(req, &choice, demand);
    Some((choice, reservation))
}

fn reserve(req: &CallerRequest, choice: &Choice, demand: Demand) -> Reservation {
    let load = Load {
        requests: 1,
        unprefilled_tokens: 0,
        kv_tokens: demand.kv_tokens,
    };
    let reservation = req.ctx.reserve(choice.key, load);
    reservation.with_class(&req.service, req.urgency())
}

/// Waits for KV cache at a decode engine to resume a stream, for at most the target latency.
pub(super) async fn for_resume(
    req: &CallerRequest,
    model: &Model,
    demand: Demand,
    tried: &[Upstream],
) -> Result<(Choice, Reservation), Refusal> {
    let limit = Instant::now() + req.route.target_latency;
    let place = Place::Decode {
        model,
        demand,
        until: limit.min(req.deadline),
        prefilled: false,
    };
    take_place(req, place, tried).await
}

pub(super) async fn wait_for_decode_until(
    req: &CallerRequest,
    model: &Model,
    (demand, prefilled): (Demand, bool),
    search: Search<'_>,
    until: Instant,
) -> Result<(Choice, Reservation), Refusal> {
    let mut entry = QueueEntry::enter(req, demand);
    // A prompt that is read, or was once, would be read in vain.
    entry.is_limited = !prefilled && search.build.is_none();
    // An estimate iterates over all engines and peers, so it is not repeated at each wake-up.
    let mut last_estimate: Option<(Instant, Duration)> = None;
    loop {
        let freed = req.ctx.capacity_freed.notified();
        let mut freed = std::pin::pin!(freed);
        freed.as_mut().enable();
        // Other gateways may have seen crashes meanwhile.
        req.refuse_poison()?;
        if let Some(chosen) = entry.try_reserve(model, search)? {
            drop(entry);
            req.ctx.capacity_freed.notify_waiters();
            return Ok(chosen);
        }
        refuse_limited(req, Some(Stage::Decode), search)?;
        let now = Instant::now();
        let (at, wait) = match last_estimate {
            Some(last) if now < last.0 + RECHECK_INTERVAL => last,
            _ => (now, entry.estimate(model, search)),
        };
        if last_estimate.is_none() {
            entry.log_wait(wait);
        }
        last_estimate = Some((at, wait));
        if now >= until || now + wait > until {
            return Err(Refusal::with_retry(Reason::Overloaded, wait));
        }
        tokio::select! {
            () = freed => {}
            () = sleep_until((now + entry.recheck()).min(until)) => {}
        }
    }
}

/// Refuses a request that was already sent to all upstreams that may take it, or if there are none.
fn refuse_if_all_tried(
    req: &CallerRequest,
    directory: &Directory,
    stage: Option<Stage>,
    tried: &[Upstream],
) -> Result<(), Refusal> {
    if req.build().is_some() && !req.has_upstream_of_build(directory) {
        return Err(Refusal::new(Reason::VersionGone));
    }
    let mut upstreams = directory.usable(&req.service, stage, req.build());
    if upstreams.all(|endpoint| tried.contains(&endpoint.name)) {
        return Err(Refusal::with_retry(
            Reason::NoUpstream,
            NO_UPSTREAM_RETRY_AFTER,
        ));
    }
    Ok(())
}

pub(super) fn wait_limit(req: &CallerRequest) -> Instant {
    let limit = req.started + req.route.target_latency.mul_f64(MAX_WAIT_TARGETS);
    limit.min(req.deadline)
}

/// Returns a placer that prefers this gateway's data centre and keeps to the build of a stream that is
/// resumed. Without a search, it chooses no upstream that names a rate limit.
pub(super) fn placer<'a>(
    req: &'a CallerRequest,
    state: &'a mut State,
    search: Option<Search<'_>>,
) -> Placer<'a, rand_chacha::ChaCha8Rng> {
    let gateways = state.loads.gateway_count();
    Placer {
        directory: &state.directory,
        loads: &state.loads,
        limits: &state.limits,
        patience: search.and_then(|search| search.patience(gateways)),
        build: req.build(),
        preferred: req.ctx.data_centre(),
        now: req.ctx.now(),
        rng: &mut state.rng,
        rank: None,
        max_gap: req.route.max_gap,
    }
}

/// A request's entry in the queue of its service; dropping it leaves the queue.
struct QueueEntry<'a> {
    req: &'a CallerRequest,
    number: u64,
    /// Latest time of a placement that meets the target latency.
    due: Time,
    demand: Demand,
    /// Time since which an engine has had capacity that this request leaves to other gateways.
    capacity_since: Cell<Option<Time>>,
    /// Whether the request waits until its class has room.
    is_limited: bool,
}

impl<'a> QueueEntry<'a> {
    fn enter(req: &'a CallerRequest, demand: Demand) -> Self {
        let mut state = req.ctx.state();
        let times = state
            .service_times
            .get(&req.service)
            .copied()
            .unwrap_or_default();
        let ticket = Ticket::new(
            req.arrived,
            (req.route.target_latency, times.lead_time()),
            demand,
        );
        let ticket = ticket.with_urgency(req.urgency());
        let ticket = ticket.resuming(req.build().is_some());
        let queue = state.queues.entry(req.service.clone()).or_default();
        let number = queue.enter(ticket);
        drop(state);
        Self {
            req,
            number,
            due: ticket.due,
            demand,
            capacity_since: Cell::new(None),
            is_limited: true,
        }
    }

    /// Returns the number of candidates that are left to other gateways whose requests take
    /// precedence, or `None` if no requests wait there.
    ///
    /// A gateway that does not use its turn, for example because its prompt does not fit, loses it
    /// after a while.
    fn rank(&self, state: &State, now: Time, classes: Option<&Classes>) -> Option<usize> {
        let service = service_key(&self.req.service);
        if state.loads.waiting_at_peers(service).requests == 0 {
            return None;
        }
        let waited = now.since(self.req.arrived);
        let late = self.due < now;
        let ahead = match classes {
            None => state.loads.gateways_ahead(now, service, late, waited),
            Some(classes) => {
                let rank = Rank {
                    urgency: self.req.urgency(),
                    late,
                    waited: Reverse(waited),
                };
                let is_limited = |urgency| !classes.has_room(urgency);
                state
                    .loads
                    .gateways_ahead_of(now, service, rank, is_limited)
            }
        };
        let gateways = u32::try_from(state.loads.sharing_count()).unwrap_or(u32::MAX);
        let turn = YIELD_TIME + DIGEST_INTERVAL_PER_PEER * gateways;
        let since = now.since(self.capacity_since.get().unwrap_or(now));
        let turns = since.as_micros() / turn.as_micros();
        let turns = u32::try_from(turns).unwrap_or(u32::MAX);
        usize::try_from(ahead.min(MAX_YIELDED_GATEWAYS).saturating_sub(turns)).ok()
    }

    /// Returns whether the class of the request has room and no other request here goes first.
    fn may_proceed(&self, state: &State, now: Time, classes: Option<&Classes>) -> bool {
        let Some(queue) = state.queues.get(&self.req.service) else {
            return false;
        };
        let Some(classes) = classes else {
            return queue.may_proceed(now, self.number);
        };
        let own = self.req.urgency();
        let has_room = |urgency| classes.has_room(urgency) || (urgency == own && !self.is_limited);
        has_room(own) && queue.may_proceed_among(now, self.number, has_room)
    }

    /// Reserves KV cache at an engine if it is this request's turn and an engine has capacity.
    fn try_reserve(
        &self,
        model: &Model,
        search: Search<'_>,
    ) -> Result<Option<(Choice, Reservation)>, Refusal> {
        let tried = search.tried;
        let ctx: &Arc<Context> = &self.req.ctx;
        let service = &self.req.service;
        let now = ctx.now();
        let mut state = ctx.state();
        refuse_if_all_tried(self.req, &state.directory, Some(Stage::Decode), tried)?;
        let classes = Classes::new(&state, now, service, model);
        if !self.may_proceed(&state, now, classes.as_ref()) {
            if classes.is_some() {
                self.publish(&mut state, now);
            }
            return Ok(None);
        }
        // Places at one build are not shared out among the first requests of all gateways.
        let rank = match search.build {
            Some(_) => None,
            None => self.rank(&state, now, classes.as_ref()),
        };
        let mut placer = placer(self.req, &mut state, Some(search));
        placer.rank = rank;
        let chosen = placer.choose_decode(service, model, self.demand, tried);
        if chosen.is_none() {
            placer.rank = None;
            let room = placer
                .choose_decode(service, model, self.demand, tried)
                .is_some();
            let since = self.capacity_since.get().unwrap_or(now);
            self.capacity_since.set(room.then_some(since));
        }
        self.publish(&mut state, now);
        drop(state);
        Ok(chosen.map(|choice| {
            let reservation = reserve(self.req, &choice, self.demand);
            (choice, reservation)
        }))
    }

    /// Returns the time until the next check without a notification.
    fn recheck(&self) -> Duration {
        if self.capacity_since.get().is_some() {
            YIELD_TIME
        } else {
            RECHECK_INTERVAL
        }
    }

    /// Updates the summary of the queue that is sent to other gateways.
    fn publish(&self, state: &mut State, now: Time) {
        let service = &self.req.service;
        let waiting = state.queues.get(service).map(|queue| queue.waiting(now));
        let key = service_key(service);
        state.loads.set_waiting(key, waiting.unwrap_or_default());
        let tokens = state.queues.get(service).map(Queue::waiting_tokens);
        if let Some(shares) = state.class_shares(service) {
            shares.set_waiting(&tokens.unwrap_or_default());
        }
    }

    /// Logs the expected wait and the number of waiting requests here and at other gateways.
    fn log_wait(&self, wait: Duration) {
        let now = self.req.ctx.now();
        let service = service_key(&self.req.service);
        let (here, elsewhere) = {
            let state = self.req.ctx.state();
            let queue = state.queues.get(&self.req.service);
            let here = queue.map_or(0, |queue| queue.waiting(now).requests);
            (here, state.loads.waiting_at_peers(service).requests)
        };
        let (id, memory) = (&*self.req.meta.id, self.demand.kv_tokens);
        let (late, wait_ms) = (self.due < now, millis(wait));
        log::info!(id, memory, here, elsewhere, late, wait_ms; "request waits");
    }

    /// Estimates the time until there is capacity.
    fn estimate(&self, model: &Model, search: Search<'_>) -> Duration {
        let now = self.req.ctx.now();
        let state = self.req.ctx.state();
        let patience = search.patience(state.loads.gateway_count());
        // An engine whose rate limit leaves no room takes nothing, however much memory is free.
        let is_open =
            |endpoint: &&Endpoint| state.limits.has_room(now, endpoint.limit_key, patience);
        let service = &self.req.service;
        let elsewhere = state.loads.waiting_at_peers(service_key(service));
        let here = state.queues.get(service).map(|queue| queue.waiting(now));
        let here = here.unwrap_or_default();
        let mut pool = KvPool::default();
        let directory = &state.directory;
        let decode = Some(Stage::Decode);
        let used = used_keys(directory, &state.loads, service, decode);
        let is_used = |endpoint: &&Endpoint| {
            used.as_ref()
                .is_none_or(|used| used.contains(&endpoint.key))
        };
        let engines = directory.usable(service, decode, search.build);
        for endpoint in engines.filter(is_open).filter(is_used) {
            let used = state.loads.load(endpoint.key).kv_tokens;
            pool.used += u64::from(used);
            pool.free += u64::from(model.kv_capacity.saturating_sub(used));
        }
        let waiting = u64::from(elsewhere.kv_tokens) + u64::from(here.kv_tokens);
        // On average, half of the waiting requests are served first. One that resumes a stream waits for none.
        let classes = Classes::new(&state, now, service, model);
        pool.ahead = match &classes {
            _ if search.build.is_some() => 0,
            None => waiting / 2,
            Some(classes) => classes.waiting_ahead(self.req.urgency()),
        };
        let times = state
            .service_times
            .get(service)
            .copied()
            .unwrap_or_default();
        let wait = pool.estimate_wait(self.demand, times.residence());
        let limits = classes.filter(|_| self.is_limited);
        let limited = limits.map(|limits| limits.estimate_wait(self.req.urgency(), self.demand));
        wait.max(limited.unwrap_or_default())
    }
}

impl Drop for QueueEntry<'_> {
    fn drop(&mut self) {
        let now = self.req.ctx.now();
        let mut state = self.req.ctx.state();
        if let Some(queue) = state.queues.get_mut(&self.req.service) {
            queue.leave(self.number);
        }
        self.publish(&mut state, now);
        drop(state);
        self.req.ctx.capacity_freed.notify_waiters();
    }
}
