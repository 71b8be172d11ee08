//! Orders to engines: which stage they have.
//!
//! One gateway gives them: the first by address among those that hear each other. A gateway that
//! hears half or less of those that it knew a while ago may be cut off, and gives none. After a
//! change among the gateways none is given for a lease's time, so that two gateways never take turns
//! within it.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use border::{OrderAnswer, Stage, StageOrder};
use coord::fence::FencingToken;
use coord::name::{Service, Upstream};
use coord::time::Time;
use tokio::time::{sleep, timeout};

use super::balance::{Balance, Split, Usage};
use super::board::service_key;
use super::directory::Known;
use super::gate::{Gate, State};
use crate::serve::engine::full_body;

/// How often the use of engines is looked at.
const PERIOD: Duration = Duration::from_millis(200);
/// Time for the answer to an order.
const ORDER_TIME: Duration = Duration::from_millis(800);
/// How long an engine takes to change its stage at most before it is tried again.
const SWITCH_TIME: Duration = Duration::from_secs(7);
/// How long gateways that are gone count when a gateway asks whether it is cut off.
const KNOWN: Duration = Duration::from_mins(1);

/// Balances the stages of engines for as long as the process runs.
///
/// # Errors
///
/// Never ends.
pub async fn balance(gate: Arc<Gate>) -> eyre::Result<()> {
    let mut authority = Authority::new(gate.now());
    let mut balances: BTreeMap<Service, Balance> = BTreeMap::new();
    loop {
        sleep(PERIOD).await;
        let keys = gate.settings().orders.clone();
        if !keys.balance {
            continue;
        }
        let now = gate.now();
        let holds = authority.observe(now, &gate, keys.lease.0);
        let wanted = {
            let state = gate.state();
            decide(&mut balances, &state, now)
        };
        for (service, engine, stage) in wanted {
            if !holds || gate.stopping.is_cancelled() {
                continue;
            }
            // Whatever the answer, the engine may have accepted.
            if let Some(balance) = balances.get_mut(&service) {
                balance.changed(now);
            }
            give(&gate, &engine, stage).await;
        }
    }
}

/// Returns the engines that should change their stage.
fn decide(
    balances: &mut BTreeMap<Service, Balance>,
    state: &State,
    now: Time,
) -> Vec<(Service, Known, Stage)> {
    let Some(routing) = &state.routing else {
        return Vec::new();
    };
    let mut wanted = Vec::new();
    for (service, def) in &routing.services {
        let Some(model) = &def.model else { continue };
        let engines = |stage| state.directory.usable(service, Some(stage));
        let balance = balances
            .entry(service.clone())
            .or_insert_with(|| Balance::new(now));
        if state
            .directory
            .usable_any(service)
            .any(|known| known.is_switching(now))
        {
            balance.changed(now);
        }
        let memory = |tokens: u32| f64::from(tokens) / f64::from(model.memory.max(1));
        let key = service_key(service);
        let waiting =
            state.board.waiting_here(key).memory + state.board.waiting_elsewhere(key).memory;
        let load = |known: &Known| state.board.load(known.key);
        let held: f64 = engines(Stage::Decode).map(|k| memory(load(k).memory)).sum();
        let busy = engines(Stage::Prefill).filter(|known| load(known).unread > 0);
        let usage = Usage {
            prefill: f64::from(count(busy.count())),
            decode: held + memory(waiting),
        };
        let split = Split {
            prefill: count(engines(Stage::Prefill).count()),
            decode: count(engines(Stage::Decode).count()),
        };
        let Some((wanted_stage, moved)) = balance.observe(now, usage, split) else {
            continue;
        };
        let from = match wanted_stage {
            Stage::Prefill => Stage::Decode,
            Stage::Decode => Stage::Prefill,
        };
        let sound = engines(from).filter(|known| !known.health.ejected(now));
        let mut idle: Vec<&Known> = sound.collect();
        idle.sort_by_key(|known| (load(known).memory, load(known).unread));
        let chosen = idle.into_iter().take(moved as usize);
        wanted.extend(chosen.map(|known| (service.clone(), known.clone(), wanted_stage)));
    }
    wanted
}

fn count(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}

async fn give(gate: &Gate, engine: &Known, to: Stage) {
    let now = gate.now();
    let holder = gate.settings().gateway.name.clone();
    let fence = {
        let mut state = gate.state();
        // A fleet whose gateways all restarted knows no number; the time of day is above those
        // that it used before.
        let highest = state
            .board
            .fence()
            .max(FencingToken::lowest_with_counter(unix_seconds()).0);
        let fence = FencingToken::successor(FencingToken(highest), &holder);
        state.board.set_fence(fence.0);
        state.directory.switching(&engine.name, now + SWITCH_TIME);
        fence
    };
    gate.news.notify_one();
    let order = StageOrder {
        upstream: engine.name.clone(),
        stage: to,
        holder,
        fence: fence.0,
    };
    let answer = timeout(ORDER_TIME, send(gate, engine, &order)).await;
    let answer = answer.unwrap_or_else(|_| Err("no answer in time".to_owned()));
    let (upstream, fence) = (engine.name.as_str(), fence.0);
    let stage = if to == Stage::Prefill {
        "prefill"
    } else {
        "decode"
    };
    match answer {
        Ok(answer) => {
            if matches!(answer, OrderAnswer::Outdated | OrderAnswer::Refused) {
                forget(gate, &engine.name);
            }
            gate.telemetry.count("order.given");
            let answer = answer.to_string();
            log::info!(upstream, stage, fence, answer = answer.as_str(); "stage ordered");
        }
        Err(error) => {
            log::warn!(upstream, stage, fence, error = error.as_str(); "order not answered");
        }
    }
}

/// Notes that an engine does not change its stage after all.
fn forget(gate: &Gate, engine: &Upstream) {
    gate.state().directory.switching(engine, Time::ZERO);
}

async fn send(gate: &Gate, engine: &Known, order: &StageOrder) -> Result<OrderAnswer, String> {
    let request = gate.dialect.order(order).map(full_body);
    let sent = gate.pool.send_fresh(engine.entry.address, request).await;
    let connected = sent.map_err(|error| error.to_string())?;
    Ok(gate.dialect.ordered(connected.response.status()))
}

fn unix_seconds() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |since| since.as_secs())
}

/// Whether this gateway is the one that gives orders.
struct Authority {
    peers: BTreeSet<SocketAddr>,
    /// When the set of gateways changed last.
    changed: Time,
    /// When each gateway was heard last.
    known: BTreeMap<SocketAddr, Time>,
}

impl Authority {
    fn new(now: Time) -> Self {
        Self {
            peers: BTreeSet::new(),
            changed: now,
            known: BTreeMap::new(),
        }
    }

    fn observe(&mut self, now: Time, gate: &Gate, lease: Duration) -> bool {
        let peers: BTreeSet<SocketAddr> = gate.state().board.peers().collect();
        for peer in &peers {
            self.known.insert(*peer, now);
        }
        self.known.retain(|_, heard| now.since(*heard) < KNOWN);
        if peers != self.peers {
            self.peers = peers;
            self.changed = now;
        }
        let own = gate.own_address();
        let first = self.peers.iter().all(|peer| own < *peer);
        let majority = (self.peers.len() + 1) * 2 > self.known.len() + 1;
        first && majority && now.since(self.changed) > lease
    }
}
