//! Stage orders to engines.
//!
//! Only one gateway gives orders: the one with the lowest address among those that exchange
//! digests. A gateway for which at most half of the gateways of the last minute are live, itself
//! included, may be cut off and gives none. After a change among the gateways no orders are given
//! for the length of a lease, so that two gateways never give orders within the same lease.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use border::{OrderAnswer, Stage, StageOrder};
use coord::fence::FencingToken;
use coord::name::{Service, Upstream};
use coord::origin::BuildKey;
use coord::time::Time;
use tokio::time::{sleep, timeout};

use crate::gateway::admission::balance::{self, StageBalancer, StageCounts, StageUsage};
use crate::gateway::admission::load_table::service_key;
use crate::gateway::admission::placement::{Choice, used_keys};
use crate::gateway::context::{Context, State};
use crate::gateway::engines::directory::Endpoint;
use crate::gateway::engines::statements;
use crate::gateway::fleet::leadership::{FleetView, Leadership};
use crate::serve::engine::full_body;

/// Interval at which the usage of the engines is sampled.
const BALANCE_INTERVAL: Duration = Duration::from_millis(200);
/// Time limit for the answer to an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(800);
/// Longest time that an engine takes to switch its stage; after that it may be ordered again.
const MAX_SWITCH_TIME: Duration = Duration::from_secs(7);

/// Balances the stages of engines for as long as the process runs.
///
/// # Errors
///
/// Never returns.
pub async fn balance_stages(ctx: Arc<Context>) -> eyre::Result<()> {
    let mut leadership = Leadership::new(ctx.now());
    let mut balancers: BTreeMap<Service, StageBalancer> = BTreeMap::new();
    loop {
        sleep(BALANCE_INTERVAL).await;
        let keys = ctx.settings().orders.clone();
        if !keys.balance {
            continue;
        }
        let now = ctx.now();
        let peers: BTreeSet<SocketAddr> = ctx.state().loads.peers().collect();
        let fleet = FleetView {
            own: ctx.own_address(),
            peers,
            expects_peers: ctx.expects_peers(),
        };
        let is_leader = leadership.observe(now, fleet, keys.lease.0);
        let wanted = {
            let state = ctx.state();
            decide(&mut balancers, &state, now)
        };
        for (service, engine, stage) in wanted {
            let reaches = !ctx.state().links.is_lost(&service);
            if !is_leader || !reaches || ctx.stopping.is_cancelled() {
                continue;
            }
            // The engine may carry out the order even if no answer arrives.
            if let Some(balancer) = balancers.get_mut(&service) {
                balancer.record_change(now);
            }
            order_stage(&ctx, &engine, stage).await;
        }
    }
}

/// Returns the engines that should switch, each with its new stage.
fn decide(
    balancers: &mut BTreeMap<Service, StageBalancer>,
    state: &State,
    now: Time,
) -> Vec<(Service, Endpoint, Stage)> {
    let Some(routing) = &state.routing else {
        return Vec::new();
    };
    let mut wanted = Vec::new();
    for (service, def) in &routing.services {
        let Some(model) = &def.model else { continue };
        let engines = |stage| state.directory.usable(service, Some(stage), None);
        let balancer = balancers
            .entry(service.clone())
            .or_insert_with(|| StageBalancer::new(now));
        if state
            .directory
            .not_draining(service)
            .any(|endpoint| endpoint.is_switching(now))
        {
            balancer.record_change(now);
        }
        let memory = |tokens: u32| f64::from(tokens) / f64::from(model.kv_capacity.max(1));
        let key = service_key(service);
        let here = state.loads.waiting_locally(key).kv_tokens;
        let waiting = here.saturating_add(state.loads.waiting_at_peers(key).kv_tokens);
        let load = |endpoint: &Endpoint| state.loads.load(endpoint.key);
        // In a large fleet, only the load of the engines that this gateway uses is known.
        let known = |stage| {
            let used = used_keys(&state.directory, &state.loads, service, Some(stage));
            engines(stage).filter(move |endpoint| {
                used.as_ref()
                    .is_none_or(|used| used.contains(&endpoint.key))
            })
        };
        let counts = StageCounts {
            prefill: saturating_u32(engines(Stage::Prefill).count()),
            decode: saturating_u32(engines(Stage::Decode).count()),
        };
        let scale = |stage, count: u32| {
            f64::from(count) / f64::from(saturating_u32(known(stage).count()).max(1))
        };
        let held: f64 = known(Stage::Decode)
            .map(|endpoint| memory(load(endpoint).kv_tokens))
            .sum();
        let busy = known(Stage::Prefill).filter(|endpoint| load(endpoint).unprefilled_tokens > 0);
        let usage = StageUsage {
            prefill: f64::from(saturating_u32(busy.count()))
                * scale(Stage::Prefill, counts.prefill),
            decode: (held + memory(waiting)) * scale(Stage::Decode, counts.decode),
        };
        let Some((wanted_stage, moved)) = balancer.observe(now, usage, counts) else {
            continue;
        };
        let from = match wanted_stage {
            Stage::Prefill => Stage::Decode,
            Stage::Decode => Stage::Prefill,
        };
        let paused = |endpoint: &&Endpoint| {
            let statements = &state.directory.statements;
            statements.pause_left(now, endpoint.limit_key).is_some()
        };
        let healthy =
            engines(from).filter(|endpoint| !endpoint.health.is_ejected(now) && !paused(endpoint));
        let mut idle: Vec<&Endpoint> = healthy.collect();
        idle.sort_by_key(|endpoint| (load(endpoint).kv_tokens, load(endpoint).unprefilled_tokens));
        let all: Vec<BuildKey> = engines(from).map(|endpoint| endpoint.build).collect();
        let idle = match from {
            Stage::Decode => balance::sparable(idle, &all, |endpoint| endpoint.build),
            Stage::Prefill => idle,
        };
        let chosen = idle.into_iter().take(moved as usize);
        wanted.extend(chosen.map(|endpoint| (service.clone(), endpoint.clone(), wanted_stage)));
    }
    wanted
}

fn saturating_u32(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}

async fn order_stage(ctx: &Arc<Context>, engine: &Endpoint, to: Stage) {
    let now = ctx.now();
    let holder = ctx.settings().gateway.name.clone();
    let fence = {
        let mut state = ctx.state();
        // If all gateways restarted, none knows the highest number used. A number with the Unix
        // time as its counter exceeds all numbers used before.
        let highest = state
            .loads
            .fence()
            .max(FencingToken::lowest_with_counter(unix_seconds()).0);
        let fence = FencingToken::successor(FencingToken(highest), &holder);
        state.loads.raise_fence(fence.0);
        state
            .directory
            .set_switching(&engine.name, now + MAX_SWITCH_TIME);
        fence
    };
    ctx.digest_due.notify_one();
    let order = StageOrder {
        upstream: engine.name.clone(),
        stage: to,
        holder,
        fence: fence.0,
    };
    let answer = timeout(ORDER_TIMEOUT, send(ctx, engine, &order)).await;
    let answer = answer.unwrap_or_else(|_| Err("no answer within the time limit".to_owned()));
    let (upstream, fence) = (engine.name.as_str(), fence.0);
    let stage = if to == Stage::Prefill {
        "prefill"
    } else {
        "decode"
    };
    match answer {
        Ok(answer) => {
            if matches!(answer, OrderAnswer::Outdated | OrderAnswer::Refused) {
                clear_switching(ctx, &engine.name);
            }
            ctx.telemetry.count("order.given");
            let answer = answer.to_string();
            log::info!(upstream, stage, fence, answer = answer.as_str(); "stage ordered");
        }
        Err(error) => {
            log::warn!(upstream, stage, fence, error = error.as_str(); "order not answered");
        }
    }
}

/// Records that an engine does not switch its stage after all.
fn clear_switching(ctx: &Context, engine: &Upstream) {
    ctx.state().directory.set_switching(engine, Time::ZERO);
}

async fn send(
    ctx: &Arc<Context>,
    engine: &Endpoint,
    order: &StageOrder,
) -> Result<OrderAnswer, String> {
    let request = ctx.dialect.order_request(order).map(full_body);
    let sent = ctx.pool.send_fresh(engine.entry.address, request).await;
    let connected = sent.map_err(|error| error.to_string())?;
    let (status, headers) = (connected.response.status(), connected.response.headers());
    let reply = ctx.dialect.parse_reply(status, headers);
    if !reply.misdirected {
        statements::record(ctx, &Choice::from(engine), &reply.statement);
    }
    Ok(ctx.dialect.parse_order_status(status))
}

fn unix_seconds() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |since| since.as_secs())
}
