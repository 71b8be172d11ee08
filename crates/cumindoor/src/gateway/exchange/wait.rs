//! Waiting for room at the upstreams.

use std::cell::Cell;
use std::sync::Arc;
use std::time::Duration;

use border::{Model, Stage};
use coord::name::{Service, Upstream};
use coord::time::Time;
use tokio::time::{Instant, sleep_until};

use super::{Job, millis};
use crate::gateway::answer::{Reason, Refusal};
use crate::gateway::board::{Load, service_key};
use crate::gateway::directory::Directory;
use crate::gateway::gate::{Gate, Hold, State};
use crate::gateway::peers::SPACING;
use crate::gateway::place::{Choice, Choosing, Demand, limit};
use crate::gateway::queue::{Pool, Ticket};

use super::plain::LOAD;

/// How often a waiting request looks for room without being told of any.
const RECHECK: Duration = Duration::from_millis(50);
/// The time that a gateway leaves a place to each gateway whose request goes first, beyond the
/// time between two digests of one: that one hears of the room and tells that it took it.
const TURN: Duration = Duration::from_millis(3);
/// Gateways that are left time at most.
const TURNS: u32 = 20;
/// The targets for which a request waits for room at most: callers of streams give up after four
/// targets without an event, and the rest is for the prompt.
const WAIT_TARGETS: f64 = 3.3;
/// After what time a caller may come back if a service has no upstream.
const NO_UPSTREAM_RETRY: Duration = Duration::from_millis(700);

/// Waits for a place at a plain upstream.
pub(super) async fn for_plain(job: &Job, tried: &[Upstream]) -> Result<(Choice, Hold), Refusal> {
    let until = wait_limit(job);
    loop {
        let room = job.gate.room.notified();
        let mut room = std::pin::pin!(room);
        room.as_mut().enable();
        let chosen = {
            let mut state = job.gate.state();
            if all_tried(&state.directory, &job.service, None, tried) {
                return Err(Refusal::after(Reason::NoUpstream, NO_UPSTREAM_RETRY));
            }
            choosing(&job.gate, &mut state).plain(&job.service, tried)
        };
        if let Some(choice) = chosen {
            let hold = job.gate.hold(choice.key, LOAD);
            return Ok((choice, hold));
        }
        if Instant::now() >= until {
            return Err(Refusal::after(Reason::Overloaded, job.route.target));
        }
        tokio::select! {
            () = room => {}
            () = sleep_until((Instant::now() + RECHECK).min(until)) => {}
        }
    }
}

/// Waits for memory at a decode engine.
pub(super) async fn for_decode(
    job: &Job,
    model: &Model,
    demand: Demand,
    tried: &[Upstream],
) -> Result<(Choice, Hold), Refusal> {
    wait_until(job, model, demand, tried, wait_limit(job)).await
}

/// Returns a place for a request whose prompt has been read, or waits for one.
pub(super) async fn for_read(
    job: &Job,
    model: &Model,
    demand: Demand,
    tried: &[Upstream],
) -> Result<(Choice, Hold), Refusal> {
    let gate = &job.gate;
    let choice = {
        let mut state = gate.state();
        choosing(gate, &mut state).decode_read(&job.service, model, demand, tried)
    };
    match choice {
        Some(choice) => {
            let hold = hold(gate, &choice, demand);
            Ok((choice, hold))
        }
        None => for_decode(job, model, demand, tried).await,
    }
}

/// Returns a place at another decode engine if the present one got more requests than fit.
///
/// Gateways that choose the same engine at the same moment hear of each other while the prompts are
/// read, in time to avoid that the engine refuses them.
pub(super) fn elsewhere(
    job: &Job,
    model: &Model,
    demand: Demand,
    (present, tried): (&Choice, &[Upstream]),
) -> Option<(Choice, Hold)> {
    let gate = &job.gate;
    let choice = {
        let mut state = gate.state();
        if state.board.load(present.key).memory <= limit(model) {
            return None;
        }
        let mut tried = tried.to_vec();
        tried.push(present.name.clone());
        choosing(gate, &mut state).decode(&job.service, model, demand, &tried)?
    };
    gate.telemetry.count("place.changed");
    let hold = hold(gate, &choice, demand);
    Some((choice, hold))
}

fn hold(gate: &Arc<Gate>, choice: &Choice, demand: Demand) -> Hold {
    let load = Load {
        requests: 1,
        unread: 0,
        memory: demand.memory,
    };
    gate.hold(choice.key, load)
}

/// Waits for memory at a decode engine for a stream that was broken, as long as its caller waits.
pub(super) async fn for_resume(
    job: &Job,
    model: &Model,
    demand: Demand,
) -> Result<(Choice, Hold), Refusal> {
    let limit = Instant::now() + job.route.target;
    wait_until(job, model, demand, &[], limit.min(job.deadline)).await
}

async fn wait_until(
    job: &Job,
    model: &Model,
    demand: Demand,
    tried: &[Upstream],
    until: Instant,
) -> Result<(Choice, Hold), Refusal> {
    let place = Place::enter(job, demand);
    // The estimate looks at all engines and gateways, so it is not made at each wake-up.
    let mut estimated: Option<(Instant, Duration)> = None;
    loop {
        let room = job.gate.room.notified();
        let mut room = std::pin::pin!(room);
        room.as_mut().enable();
        if let Some(chosen) = place.try_take(model, tried)? {
            drop(place);
            job.gate.room.notify_waiters();
            return Ok(chosen);
        }
        let now = Instant::now();
        let (at, wait) = match estimated {
            Some(known) if now < known.0 + RECHECK => known,
            _ => (now, place.estimate(model)),
        };
        if estimated.is_none() {
            place.note_wait(wait);
        }
        estimated = Some((at, wait));
        if now >= until || now + wait > until {
            return Err(Refusal::after(Reason::Overloaded, wait));
        }
        tokio::select! {
            () = room => {}
            () = sleep_until((now + place.recheck()).min(until)) => {}
        }
    }
}

/// Returns whether no upstream is left that a request has not been to.
fn all_tried(
    known: &Directory,
    service: &Service,
    stage: Option<Stage>,
    tried: &[Upstream],
) -> bool {
    let mut upstreams = known.usable(service, stage);
    upstreams.all(|upstream| tried.contains(&upstream.name))
}

fn wait_limit(job: &Job) -> Instant {
    let limit = job.started + job.route.target.mul_f64(WAIT_TARGETS);
    limit.min(job.deadline)
}

/// Returns what an upstream is chosen from.
pub(super) fn choosing<'a>(
    gate: &'a Gate,
    state: &'a mut State,
) -> Choosing<'a, rand_chacha::ChaCha8Rng> {
    Choosing {
        directory: &state.directory,
        board: &state.board,
        near: gate.near(),
        now: gate.now(),
        rng: &mut state.rng,
        rank: None,
    }
}

/// A place in the queue of a service; dropping it leaves the queue.
struct Place<'a> {
    job: &'a Job,
    number: u64,
    /// Until when the request needs a place to be on time.
    due: Time,
    demand: Demand,
    /// Since when there has been room that other gateways' requests may take first.
    room: Cell<Option<Time>>,
}

impl<'a> Place<'a> {
    fn enter(job: &'a Job, demand: Demand) -> Self {
        let mut state = job.gate.state();
        let pace = state.paces.get(&job.service).copied().unwrap_or_default();
        let ticket = Ticket::new(job.arrived, (job.route.target, pace.lead()), demand);
        let ticket = ticket.ranked(job.route.urgency);
        let queue = state.queues.entry(job.service.clone()).or_default();
        let number = queue.enter(ticket);
        drop(state);
        Self {
            job,
            number,
            due: ticket.due,
            demand,
            room: Cell::new(None),
        }
    }

    /// Returns how many places are left to other gateways, whose requests go first, or `None` if
    /// no requests wait there.
    ///
    /// A gateway that does not take its place, for example because its prompt does not fit, loses
    /// its turn after a time.
    fn rank(&self, state: &State, now: Time) -> Option<usize> {
        let service = service_key(&self.job.service);
        if state.board.waiting_elsewhere(service).requests == 0 {
            return None;
        }
        let waited = now.since(self.job.arrived);
        let late = self.due < now;
        let ahead = state.board.gateways_ahead(now, service, late, waited);
        let gateways = u32::try_from(state.board.gateways()).unwrap_or(u32::MAX);
        let turn = TURN + SPACING * gateways;
        let since = now.since(self.room.get().unwrap_or(now));
        let turns = since.as_micros() / turn.as_micros();
        let turns = u32::try_from(turns).unwrap_or(u32::MAX);
        usize::try_from(ahead.min(TURNS).saturating_sub(turns)).ok()
    }

    /// Takes a place at an engine if it is this request's turn and one has room.
    fn try_take(
        &self,
        model: &Model,
        tried: &[Upstream],
    ) -> Result<Option<(Choice, Hold)>, Refusal> {
        let gate: &Arc<Gate> = &self.job.gate;
        let service = &self.job.service;
        let now = gate.now();
        let mut state = gate.state();
        let decoding = Some(Stage::Decode);
        if all_tried(&state.directory, service, decoding, tried) {
            return Err(Refusal::after(Reason::NoUpstream, NO_UPSTREAM_RETRY));
        }
        let queue = state.queues.get(service);
        if !queue.is_some_and(|queue| queue.may_go(now, self.number)) {
            return Ok(None);
        }
        let rank = self.rank(&state, now);
        let mut choosing = choosing(gate, &mut state);
        choosing.rank = rank;
        let chosen = choosing.decode(service, model, self.demand, tried);
        if chosen.is_none() {
            choosing.rank = None;
            let room = choosing
                .decode(service, model, self.demand, tried)
                .is_some();
            let since = self.room.get().unwrap_or(now);
            self.room.set(room.then_some(since));
        }
        self.publish(&mut state, now);
        drop(state);
        Ok(chosen.map(|choice| {
            let hold = hold(gate, &choice, self.demand);
            (choice, hold)
        }))
    }

    /// Returns when to look again without being told of a change.
    fn recheck(&self) -> Duration {
        if self.room.get().is_some() {
            TURN
        } else {
            RECHECK
        }
    }

    /// Tells other gateways what waits here.
    fn publish(&self, state: &mut State, now: Time) {
        let service = &self.job.service;
        let waiting = state.queues.get(service).map(|queue| queue.waiting(now));
        let key = service_key(service);
        state.board.set_waiting(key, waiting.unwrap_or_default());
    }

    /// Writes what the request waits for.
    fn note_wait(&self, wait: Duration) {
        let now = self.job.gate.now();
        let service = service_key(&self.job.service);
        let (here, elsewhere) = {
            let state = self.job.gate.state();
            let queue = state.queues.get(&self.job.service);
            let here = queue.map_or(0, |queue| queue.waiting(now).requests);
            (here, state.board.waiting_elsewhere(service).requests)
        };
        let (id, memory) = (&*self.job.ask.id, self.demand.memory);
        let (late, wait_ms) = (self.due < now, millis(wait));
        log::info!(id, memory, here, elsewhere, late, wait_ms; "request waits");
    }

    /// Estimates how long it takes until there is room.
    fn estimate(&self, model: &Model) -> Duration {
        let now = self.job.gate.now();
        let state = self.job.gate.state();
        let service = &self.job.service;
        let elsewhere = state.board.waiting_elsewhere(service_key(service));
        let here = state.queues.get(service).map(|queue| queue.waiting(now));
        let here = here.unwrap_or_default();
        let mut pool = Pool::default();
        for known in state.directory.usable(service, Some(Stage::Decode)) {
            let used = state.board.load(known.key).memory;
            pool.used += u64::from(used);
            pool.free += u64::from(model.memory.saturating_sub(used));
        }
        let waiting = u64::from(elsewhere.memory) + u64::from(here.memory);
        // Half of what waits goes first, on average.
        pool.ahead = waiting / 2;
        let pace = state.paces.get(service).copied().unwrap_or_default();
        pool.wait(self.demand, pace.residence())
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        let now = self.job.gate.now();
        let mut state = self.job.gate.state();
        if let Some(queue) = state.queues.get_mut(&self.job.service) {
            queue.leave(self.number);
        }
        self.publish(&mut state, now);
        drop(state);
        self.job.gate.room.notify_waiters();
    }
}
