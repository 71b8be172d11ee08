//! Finds out whether the links to the upstreams of a service are lost, and when they are back.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use coord::name::{Service, Upstream};
use futures::FutureExt;
use futures::future::join_all;
use futures::stream::{FuturesUnordered, StreamExt};
use hyper::Request;
use rand::seq::SliceRandom;
use tokio::time::{Instant, sleep, timeout};

use super::Finding;
use crate::gateway::admission::load_table::service_key;
use crate::gateway::admission::placement::Choice;
use crate::gateway::context::Context;
use crate::gateway::engines::statements;
use crate::gateway::fleet::forward;
use crate::serve::engine::full_body;

/// Number of upstreams that are asked before links count as lost. One that is dead, or two, are not taken for
/// that.
const SAMPLE: usize = 5;
/// Time for which a single upstream is waited for before others are asked as well.
const HEAD_START: Duration = Duration::from_millis(50);
/// Time limit for an answer. A sound upstream that pauses answers no other gateway either.
const ANSWER_TIME: Duration = Duration::from_millis(400);
/// Longest duration of such a check. One that took longer had no processor time.
const MAX_CHECK_TIME: Duration = Duration::from_millis(600);
/// Longest time between two words of other gateways that they reach the upstreams, with a question here in between
/// that takes [`ANSWER_TIME`]. Sound upstreams may pause for 1 s, and a word may be 100 ms old.
const MAX_WORDS_APART: Duration = Duration::from_millis(800);
/// Other gateways that are asked at a time whether they reach the upstreams.
const ASKED_AT_ONCE: usize = 4;
/// Rounds of such questions. The first one may meet gateways only that have lost their links as well; they have
/// said so by the next one.
const ASKING_ROUNDS: u32 = 4;
/// Gateways that are asked once links are lost.
const MAX_CONFIRMED: usize = 16;
/// Time between two probes of links that are lost.
const RETURN_INTERVAL: Duration = Duration::from_millis(250);
/// Longest wait of a request for a check.
const CHECK_WAIT: Duration = Duration::from_secs(2);

/// Starts a check of the links to the upstreams of a service, unless one is running or no other gateway
/// could help if they were lost.
pub fn suspect(ctx: &Arc<Context>, service: &Service) {
    let now = ctx.now();
    let began = {
        let mut state = ctx.state();
        state.loads.gateway_count() > 1 && state.links.begin_check(now, service)
    };
    if !began {
        return;
    }
    ctx.telemetry.count("links.checked");
    let (ctx, service) = (Arc::clone(ctx), service.clone());
    let tasks = ctx.tasks.clone();
    tasks.spawn(async move {
        let finding = check(&ctx, &service).await;
        let now = ctx.now();
        let is_told = ctx.state().links.end_check(now, &service, finding);
        if finding == Finding::Lost {
            begin_loss(&ctx, &service);
        }
        if is_told {
            ctx.digest_due.notify_one();
        }
        ctx.links_checked.notify_waiters();
        if finding == Finding::Lost {
            tokio::join!(
                ctx.stopping
                    .run_until_cancelled(until_returned(&ctx, &service)),
                confirm_helpers(&ctx, &service)
            );
        }
    });
}

/// Waits for the end of a check, if one is running.
pub async fn settled(ctx: &Context, service: &Service) {
    let ended = async {
        loop {
            let checked = ctx.links_checked.notified();
            let mut checked = std::pin::pin!(checked);
            checked.as_mut().enable();
            if !ctx.state().links.is_checked(service) {
                return;
            }
            checked.await;
        }
    };
    // A request that has waited for long is sent as if nothing were known.
    let _ = timeout(CHECK_WAIT, ended).await;
}

/// Returns whether an upstream was not reached because this gateway has lost its links to the service.
pub async fn is_lost(ctx: &Arc<Context>, service: &Service) -> bool {
    suspect(ctx, service);
    settled(ctx, service).await;
    ctx.state().links.is_lost(service)
}

async fn check(ctx: &Arc<Context>, service: &Service) -> Finding {
    if is_reached(ctx, service).await {
        return Finding::Reached;
    }
    ctx.state().links.record_unanswered(service);
    ctx.digest_due.notify_one();
    if !is_reached_elsewhere(ctx, service).await {
        return Finding::Down;
    }
    let told = Instant::now();
    // The upstreams may have paused and be back since.
    if is_reached(ctx, service).await {
        return Finding::Reached;
    }
    // They may also have paused again since the other gateway reached them, which therefore has to reach them
    // after the last question here as well, and too soon for a pause in between.
    let is_lost = is_reached_elsewhere(ctx, service).await;
    if is_lost && told.elapsed() <= MAX_WORDS_APART {
        Finding::Lost
    } else {
        Finding::Down
    }
}

/// Returns whether another gateway reaches an upstream of the service.
async fn is_reached_elsewhere(ctx: &Context, service: &Service) -> bool {
    let mut asked = Vec::new();
    for _ in 0..ASKING_ROUNDS {
        let peers = {
            let now = ctx.now();
            let mut state = ctx.state();
            let mut peers = state.loads.helpers(now, service_key(service));
            peers.retain(|peer| !asked.contains(peer));
            peers.shuffle(&mut state.rng);
            peers.truncate(ASKED_AT_ONCE);
            peers
        };
        let questions = peers.iter().map(|peer| forward::ask(ctx, *peer, service));
        let mut answers: FuturesUnordered<_> = questions.collect();
        while let Some(reached) = answers.next().await {
            if reached {
                return true;
            }
        }
        asked.extend(peers);
    }
    false
}

/// Returns whether an upstream of the service answers over own links.
pub(in crate::gateway) async fn is_reached(ctx: &Arc<Context>, service: &Service) -> bool {
    let (began, started) = (ctx.now(), Instant::now());
    let mut upstreams = sample(ctx, service, SAMPLE).into_iter();
    let Some(first) = upstreams.next() else {
        // Nothing shows that links are lost.
        return true;
    };
    let mut probes: FuturesUnordered<_> = [ask(ctx, first).boxed()].into_iter().collect();
    let mut result = timeout(HEAD_START, probes.next()).await.unwrap_or(None);
    if result != Some(Probe::Answered) {
        probes.extend(upstreams.map(|upstream| ask(ctx, upstream).boxed()));
    }
    let mut unanswered = false;
    loop {
        match result {
            Some(Probe::Answered) => return true,
            Some(Probe::Unanswered) => unanswered = true,
            Some(Probe::Unconnected) | None => {}
        }
        result = probes.next().await;
        if result.is_none() {
            break;
        }
    }
    // Upstreams reset connections beyond their limit, and all are late if this process has no processor time. So
    // what came over other connections counts, unless no new one can be established at all.
    let heard = ctx.state().links.has_heard_since(service, began);
    unanswered && (heard || started.elapsed() > MAX_CHECK_TIME)
}
/// Returns some upstreams of a service that take questions, in random order.
fn sample(ctx: &Context, service: &Service, count: usize) -> Vec<Choice> {
    let now = ctx.now();
    let mut state = ctx.state();
    let directory = &state.directory;
    let asked = directory.not_draining(service).filter(|endpoint| {
        let statements = &directory.statements;
        statements.pause_left(now, endpoint.limit_key).is_none()
    });
    let mut asked: Vec<Choice> = asked.map(Choice::from).collect();
    asked.shuffle(&mut state.rng);
    asked.truncate(count);
    asked
}

/// What came of a question to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Probe {
    Answered,
    /// No connection was established.
    Unconnected,
    /// The connection was reset or silent.
    Unanswered,
}

/// Asks an upstream a question over a new connection. A connection alone shows little: it may be reset or fall
/// silent once it is established.
async fn ask(ctx: &Arc<Context>, upstream: Choice) -> Probe {
    let request = probe_request(ctx, &upstream.name);
    let sending = async {
        let connected = ctx.pool.connect(upstream.address).await;
        let connection = connected.map_err(|_| Probe::Unconnected)?;
        let answered = connection.send(request).await;
        answered.map_err(|_| Probe::Unanswered)
    };
    let probe = match timeout(ANSWER_TIME, sending).await {
        Ok(Ok(answer)) => {
            let (status, headers) = (answer.response.status(), answer.response.headers());
            let reply = ctx.dialect.parse_reply(status, headers);
            if !reply.misdirected {
                statements::record(ctx, &upstream, &reply.statement);
            }
            Probe::Answered
        }
        Ok(Err(probe)) => probe,
        Err(_) => Probe::Unanswered,
    };
    if probe == Probe::Answered {
        let now = ctx.now();
        ctx.state().links.record_heard(now, &upstream.service);
    }
    ctx.telemetry.count(match probe {
        Probe::Answered => "links.answered",
        Probe::Unconnected => "links.unconnected",
        Probe::Unanswered => "links.unanswered",
    });
    probe
}

fn probe_request(ctx: &Context, upstream: &Upstream) -> Request<crate::serve::engine::BoxedBody> {
    ctx.dialect.probe_request(upstream).map(full_body)
}

/// Begins to send the requests for a service through other gateways. The failures of its upstreams were this
/// gateway's own, and connections to them may stay silent when the links are back.
fn begin_loss(ctx: &Arc<Context>, service: &Service) {
    let addresses: Vec<_> = {
        let mut state = ctx.state();
        state.directory.clear_health(service);
        let all = state.directory.not_draining(service);
        all.map(|endpoint| endpoint.entry.address).collect()
    };
    for address in addresses {
        ctx.pool.close_idle(address);
    }
    let helpers = {
        let now = ctx.now();
        let helpers = ctx.state().loads.helpers(now, service_key(service));
        u64::try_from(helpers.len()).unwrap_or(u64::MAX)
    };
    log::warn!(service = service.as_str(), helpers; "links lost");
    ctx.telemetry.count("links.lost");
    ctx.capacity_freed.notify_waiters();
    // What cut one service off has probably cut the others off as well.
    let others: BTreeSet<Service> = {
        let state = ctx.state();
        let all = state.directory.all();
        let others = all.map(|endpoint| endpoint.entry.service.clone());
        others.filter(|other| other != service).collect()
    };
    for other in &others {
        suspect(ctx, other);
    }
}

/// Asks more gateways whether they reach upstreams of the service, so that not the first one gets all requests.
async fn confirm_helpers(ctx: &Context, service: &Service) {
    let helpers = {
        let now = ctx.now();
        let mut state = ctx.state();
        let mut helpers = state.loads.helpers(now, service_key(service));
        helpers.shuffle(&mut state.rng);
        helpers.truncate(MAX_CONFIRMED);
        helpers
    };
    let questions = helpers.iter().map(|peer| forward::ask(ctx, *peer, service));
    join_all(questions).await;
}

/// Waits until upstreams of the service answer over own links again.
async fn until_returned(ctx: &Arc<Context>, service: &Service) {
    loop {
        sleep(RETURN_INTERVAL).await;
        let upstream = sample(ctx, service, 1).pop();
        let answered = match upstream {
            Some(upstream) => ask(ctx, upstream).await == Probe::Answered,
            None => false,
        };
        let now = ctx.now();
        let returned = ctx.state().links.record_probe(now, service, answered);
        if let Some(lost) = returned {
            let (service, lost_ms) = (
                service.as_str(),
                u64::try_from(lost.as_millis()).unwrap_or(u64::MAX),
            );
            log::warn!(service, lost_ms; "links returned");
            ctx.telemetry.count("links.returned");
            ctx.digest_due.notify_one();
            return;
        }
    }
}
