//! Finds out which requests may have crashed the upstreams that ran them.
//!
//! A request that crashes each upstream that runs it comes back at any gateway, under a new id. The
//! gateways therefore count crashes by the content of requests, and exchange the counts
//! ([`coord::poison`]). An attempt that ended without an answer counts as a crash if its upstream
//! then accepts no new connections, or leaves the list of upstreams soon after. Other causes of a
//! lost attempt, such as a garbled answer, leave the upstream in place and accuse nobody.
//!
//! See `docs/design.md`, section 6.6, and `docs/incidents/budget-repeats.md`.

mod attempt_guard;
mod lost_attempts;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

pub use attempt_guard::AttemptGuard;
use coord::hash::hash64;
use coord::name::{Upstream, VmName};
use coord::poison::{
    CrashRecord, PartOptions, PartStanding, PartSuspects, PoisonOptions, Suspects, is_part,
};
use derive_more::Display;
use lost_attempts::LostAttempt;
pub use lost_attempts::LostAttempts;
use serde::{Deserialize, Serialize};
use tokio::time::timeout;

use crate::gateway::callers::content::Content;
use crate::gateway::context::Context;
use crate::gateway::engines::directory::UpstreamChange;
use crate::gateway::engines::links;
use crate::serve::engine::SendError;

/// Number of crashed upstreams after which a request is refused. Two innocent requests in a row may
/// share an engine with one that crashes it; three are unlikely.
const MAX_CRASHES: usize = 3;
/// Number of crashes that may be excused because other upstreams crashed at the same time. With them, a
/// request that crashes upstreams is sent twice more after the third crash.
const MAX_EXCUSED: usize = 2;
/// Time between two crashes of one cause: a gateway notices that an upstream no longer answers up to one
/// attempt's time limit later than that another one refuses connections.
const COINCIDENCE: Duration = Duration::from_secs(1);
/// Shortest time for which such a request is refused.
const MIN_HOLD: Duration = Duration::from_mins(2);
/// Shortest time for which requests with a part that crashes upstreams are refused. It is short because a
/// sound part may be refused, if it ran each time that another one crashed upstreams.
const MIN_PART_HOLD: Duration = Duration::from_secs(20);
/// Time for which a gateway that starts and was told nothing by an older one allows for crashes that all gateways forgot:
/// that of the first refusal, which would still last.
const UNKNOWN_PAST: Duration = MIN_HOLD;
/// Time for which crashes count.
const CRASH_RETENTION: Duration = Duration::from_hours(24);
/// Maximum number of records in one datagram: 16 records with all their crashes take 5.1 KB.
const MAX_RECORDS: usize = 16;
/// Time within which an upstream that crashed refuses a connection.
const REFUSAL_TIME: Duration = Duration::from_millis(20);
/// Time within which a probe ends: the time limit for a connection and a margin.
const PROBE_TIME: Duration = Duration::from_millis(300);
/// Maximum number of crashes that are told in a log line.
const MAX_LOGGED_CRASHES: usize = 6;

/// Lengthens the time of a refusal by up to as much again. Refusals end at a different time at each gateway,
/// so that one of them tries the request and the others learn of the result.
fn spread(hold: Duration, vm: &VmName) -> Duration {
    let spread = f64::from(u32::try_from(hash64(vm.as_str().as_bytes()) >> 32).unwrap_or(0));
    hold.mul_f64(1.0 + spread / f64::from(u32::MAX))
}

/// Returns the empty table of the crashes of parts of a gateway.
#[must_use]
pub fn new_part_suspects(vm: VmName) -> PartSuspects {
    let options = PartOptions {
        max_crashes: MAX_CRASHES,
        hold: spread(MIN_PART_HOLD, &vm),
        retention: CRASH_RETENTION,
        max_batch: MAX_RECORDS,
        ..PartOptions::default()
    };
    PartSuspects::new(vm, options)
}

/// Returns the empty table of crashes of a gateway.
#[must_use]
pub fn new_suspects(vm: VmName) -> Suspects {
    let hold = spread(MIN_HOLD, &vm);
    let options = PoisonOptions {
        max_crashes: MAX_CRASHES,
        max_excused: MAX_EXCUSED,
        coincidence: COINCIDENCE,
        hold,
        retention: CRASH_RETENTION,
        unknown_past: UNKNOWN_PAST,
        max_batch: MAX_RECORDS,
        ..PoisonOptions::default()
    };
    Suspects::new(vm, options)
}

/// Why an upstream counts as crashed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
enum Evidence {
    #[display("it refuses connections")]
    Refused,
    #[display("it accepts no connections")]
    Unreachable,
    #[display("it left the list")]
    Delisted,
    #[display("it started anew")]
    Restarted,
}

/// Returns how long a request is still refused because upstreams crashed while they ran it, or requests
/// with the same part.
#[must_use]
pub fn refusal(ctx: &Context, content: &Content) -> Option<Duration> {
    let now = ctx.now();
    let state = ctx.state();
    let alone = state.suspects.refusal(now, &content.steps());
    let by_part = match state.part_suspects.standing(now, &content.part_prints) {
        PartStanding::Refused { retry_after, .. } => Some(retry_after),
        _ => None,
    };
    alone.max(by_part)
}

/// How a request is treated because of the upstreams that crashed while they ran it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// None did.
    Clear,
    /// It avoids upstreams on which a suspect is on trial.
    Suspect,
    /// One more crash leads to a refusal, so it runs on trial.
    OnTrial,
}

/// Returns how a request is treated at present, whatever the parts of its prompt.
#[must_use]
pub fn standing_alone(ctx: &Context, content: &Content) -> Standing {
    let now = ctx.now();
    match ctx.state().suspects.crash_count(now, &content.steps()) {
        0 => Standing::Clear,
        crashes if crashes + 1 < MAX_CRASHES => Standing::Suspect,
        _ => Standing::OnTrial,
    }
}

/// Returns how a request is treated because of the parts of its prompt.
#[must_use]
pub fn standing_by_parts(ctx: &Context, content: &Content) -> Standing {
    let now = ctx.now();
    let state = ctx.state();
    match state.part_suspects.standing(now, &content.part_prints) {
        PartStanding::Clear => Standing::Clear,
        PartStanding::Suspect => Standing::Suspect,
        PartStanding::OnTrial | PartStanding::Refused { .. } => Standing::OnTrial,
    }
}

/// Returns how a request is treated at present.
#[must_use]
pub fn standing(ctx: &Context, content: &Content) -> Standing {
    standing_alone(ctx, content).max(standing_by_parts(ctx, content))
}

/// Returns the fingerprints that are on trial while a request runs: its own, and those of its suspected
/// parts.
#[must_use]
pub fn tried_prints(ctx: &Context, content: &Content) -> Vec<u128> {
    let mut tried = ctx.state().part_suspects.accused(&content.part_prints);
    tried.push(content.run);
    tried
}

/// Waits until it is known whether an upstream crashed at which an attempt was just lost, so that the
/// next attempt takes it into account. A request that no upstream crashed under before waits only
/// as long as an upstream needs to refuse a connection, unless earlier crashes may be unknown.
pub async fn settle(ctx: &Context, content: &Content, upstream: &Upstream) {
    // The first crash may already lead to a refusal.
    let is_forgetful = ctx.state().suspects.is_forgetful(ctx.now());
    let limit = match standing(ctx, content) {
        Standing::Clear if !is_forgetful => REFUSAL_TIME,
        _ => PROBE_TIME,
    };
    let settled = async {
        loop {
            let ended = ctx.probe_ended.notified();
            let mut ended = std::pin::pin!(ended);
            ended.as_mut().enable();
            if !ctx.state().lost_attempts.is_probed(upstream) {
                return;
            }
            ended.await;
        }
    };
    // A probe that takes longer is not waited for.
    let _ = timeout(limit, settled).await;
}

/// Logs what is believed of a request that is refused: the part of its prompt at fault, if it is one, the
/// upstreams that crashed, and which gateway saw it how long ago.
pub fn log_refusal(ctx: &Context, id: &str, content: &Content, retry_after: Duration) {
    let now = ctx.now();
    let (part, sightings, assumed) = {
        let state = ctx.state();
        let assumed = state.suspects.assumed(now, &content.steps());
        match state.part_suspects.standing(now, &content.part_prints) {
            PartStanding::Refused { part, .. } => {
                let sightings = state.part_suspects.sightings(now, part);
                (content.logged(|other| other == part), sightings, 0)
            }
            _ => (
                String::new(),
                state.suspects.sightings(now, &content.steps()),
                assumed,
            ),
        }
    };
    let crashes = sightings.len();
    let told = sightings.iter().take(MAX_LOGGED_CRASHES).map(|seen| {
        let ms = seen.age.as_millis();
        format!("{} seen by {} {ms} ms ago", seen.crashed, seen.observer)
    });
    let told: Vec<String> = told.collect();
    let told = told.join(", ");
    let retry_ms = u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX);
    let content = content.to_string();
    log::info!(
        id, content = content.as_str(), part = part.as_str(), crashes, assumed, believed = told.as_str(), retry_ms;
        "poison refused"
    );
}

/// How far back a gateway knows all crashes. It is sent to gateways that start, after the records themselves, and tells them
/// that nothing was forgotten. Gateways of older builds neither send nor understand it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemoryReport {
    /// Milliseconds for which all crashes are known.
    memory_ms: u64,
}

impl MemoryReport {
    /// Returns the report of this gateway.
    #[must_use]
    pub fn of(ctx: &Context) -> Self {
        let memory = ctx.state().suspects.memory(ctx.now());
        let memory_ms = u64::try_from(memory.as_millis()).unwrap_or(u64::MAX);
        Self { memory_ms }
    }
}

/// Applies how far back another gateway knows all crashes.
pub fn learn_memory(ctx: &Context, from: SocketAddr, report: MemoryReport) {
    let now = ctx.now();
    let (before, after) = {
        let suspects = &mut ctx.state().suspects;
        let before = suspects.is_forgetful(now);
        suspects.learn_memory(now, Duration::from_millis(report.memory_ms));
        (before, suspects.is_forgetful(now))
    };
    if before && !after {
        let (peer, memory_ms) = (from.to_string(), report.memory_ms);
        log::info!(peer = peer.as_str(), memory_ms; "crashes learned");
        // Requests may have been refused for crashes that were assumed.
        ctx.capacity_freed.notify_waiters();
    }
}

/// Merges the records of another gateway, which has sent them to all.
pub fn merge_reports(ctx: &Context, records: &[CrashRecord]) {
    let now = ctx.now();
    let (parts, requests): (Vec<_>, Vec<_>) = records
        .iter()
        .cloned()
        .partition(|record| is_part(record.fingerprint));
    let (changed, answers) = {
        let mut state = ctx.state();
        let mut changed = state.suspects.merge(now, &requests);
        changed.extend(state.part_suspects.merge(now, &parts));
        (changed, state.part_suspects.has_updates())
    };
    if answers {
        ctx.digest_due.notify_one();
    }
    if !changed.is_empty() {
        // Requests that wait for a trial may be refused or cleared by now.
        ctx.capacity_freed.notify_waiters();
    }
    let count = u64::try_from(changed.len()).unwrap_or(u64::MAX);
    ctx.telemetry.add("crash.reported", count);
}

/// Ends the watch over an attempt whose connection the gateway closes because a copy of the request was answered.
pub fn withdraw(ctx: &Context, id: &str, upstream: &Upstream) {
    ctx.state().lost_attempts.withdraw(id, upstream);
}

/// Takes note of a change to the list of upstreams.
pub fn record_change(ctx: &Arc<Context>, name: &Upstream, change: &UpstreamChange) {
    let now = ctx.now();
    let (lost, silent) = {
        let attempts = &mut ctx.state().lost_attempts;
        match change {
            UpstreamChange::Removed | UpstreamChange::Restarted | UpstreamChange::Draining => (
                attempts.take_delisted(now, name),
                attempts.take_silent(now, name),
            ),
            _ => return,
        }
    };
    match change {
        UpstreamChange::Restarted => {
            accuse(ctx, &lost, Evidence::Restarted);
            accuse(ctx, &silent, Evidence::Restarted);
        }
        // It ends by plan, and what it cuts off then was no crash.
        UpstreamChange::Draining => {}
        _ => {
            accuse(ctx, &lost, Evidence::Delisted);
            probe_silent(ctx, silent);
        }
    }
}

/// Accuses the attempts that wait for an upstream which has left the list, if it accepts no connection. Without
/// this, the connection to an upstream that has gone dark tells of its crash only when a time limit passes.
fn probe_silent(ctx: &Arc<Context>, silent: Vec<LostAttempt>) {
    let Some((name, address)) = silent
        .first()
        .map(|attempt| (attempt.upstream.upstream.clone(), attempt.address))
    else {
        return;
    };
    let ctx = Arc::clone(ctx);
    let tasks = ctx.tasks.clone();
    tasks.spawn(async move {
        // One that accepts connections may have lost only its contact to the store.
        if let Some(evidence) = reach(&ctx, &name, address).await {
            accuse(&ctx, &silent, evidence);
        }
    });
}

fn start_of(ctx: &Context, upstream: &Upstream) -> Option<u64> {
    let state = ctx.state();
    let endpoint = state.directory.get(upstream)?;
    Some(endpoint.entry.start_ms.unwrap_or_default())
}

fn investigate(ctx: &Arc<Context>, lost: LostAttempt) {
    let (name, address) = (lost.upstream.upstream.clone(), lost.address);
    let started = {
        let mut state = ctx.state();
        let endpoint = state.directory.get(&name);
        let leaving = endpoint.is_some_and(|endpoint| state.directory.is_leaving(endpoint));
        !leaving && state.lost_attempts.add(lost)
    };
    if started {
        let ctx = Arc::clone(ctx);
        let tasks = ctx.tasks.clone();
        tasks.spawn(async move { probe(&ctx, &name, address).await });
    }
}

/// Returns why an upstream counts as crashed, or `None` if it accepts connections. Nothing is known of it if this
/// gateway has lost its links to all upstreams of the service.
async fn reach(ctx: &Arc<Context>, name: &Upstream, address: SocketAddr) -> Option<Evidence> {
    let service = {
        let state = ctx.state();
        let endpoint = state.directory.get(name);
        endpoint.map(|endpoint| endpoint.entry.service.clone())
    };
    let evidence = match ctx.pool.connect(address).await {
        Ok(connection) => {
            connection.release();
            return None;
        }
        Err(SendError::Refused(_)) => Evidence::Refused,
        Err(_) => Evidence::Unreachable,
    };
    match service {
        Some(service) if links::is_lost(ctx, &service).await => None,
        _ => Some(evidence),
    }
}

/// Finds out whether an upstream still accepts connections, and accuses the requests that were lost
/// there if it does not.
async fn probe(ctx: &Arc<Context>, name: &Upstream, address: SocketAddr) {
    let unreachable = reach(ctx, name, address).await;
    let lost = ctx.state().lost_attempts.take_probed(name);
    let evidence = match start_of(ctx, name) {
        None => Some(Evidence::Delisted),
        Some(start) if lost.iter().any(|lost| lost.upstream.start != start) => {
            Some(Evidence::Restarted)
        }
        Some(_) => unreachable,
    };
    match evidence {
        Some(evidence) => accuse(ctx, &lost, evidence),
        None => ctx.state().lost_attempts.keep(ctx.now(), lost),
    }
    ctx.probe_ended.notify_waiters();
}

/// Counts a crash of its upstream for each of these attempts.
fn accuse(ctx: &Context, lost: &[LostAttempt], evidence: Evidence) {
    let evidence = evidence.to_string();
    for lost in lost {
        if lost.on_trial {
            lost.crashed.cancel();
        }
        let now = ctx.now();
        let (crashes, accused) = {
            let mut state = ctx.state();
            let ran = lost.at.since(lost.began);
            let suspects = &mut state.suspects;
            suspects.upstream_crashed(lost.at, &lost.upstream, ran, &[lost.fingerprint]);
            let crashes = suspects.crash_count(now, &lost.content.steps());
            let parts = &mut state.part_suspects;
            parts.upstream_crashed(lost.at, &lost.upstream, ran, lost.parts());
            (crashes, parts.accused(lost.parts()))
        };
        ctx.telemetry.count("crash.seen");
        let count = u64::try_from(accused.len()).unwrap_or(u64::MAX);
        ctx.telemetry.add("part.accused", count);
        let accused = lost.content.logged(|part| accused.contains(&part));
        let (id, content) = (&*lost.id, lost.content.to_string());
        let parts = lost.content.logged_parts();
        let upstream = lost.upstream.upstream.as_str();
        let (caller, target) = (lost.content.caller.to_string(), lost.content.target);
        let (target, body) = (
            format!("{target:016x}"),
            format!("{:016x}", lost.content.body),
        );
        log::info!(
            id, content = content.as_str(), caller = caller.as_str(), target_hash = target.as_str(),
            body_hash = body.as_str(), parts = parts.as_str(), accused = accused.as_str(), upstream,
            evidence = evidence.as_str(), crashes;
            "request suspected"
        );
    }
    if !lost.is_empty() {
        ctx.digest_due.notify_one();
        ctx.capacity_freed.notify_waiters();
    }
}
