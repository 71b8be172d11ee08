//! Finds out which requests may have crashed the upstreams that ran them.
//!
//! A request that crashes each upstream that runs it comes back at any gateway, under a new id. The
//! gateways therefore count crashes by the content of requests, and exchange the counts
//! ([`coord::poison`]). An attempt that ended without an answer counts as a crash if its upstream
//! then accepts no new connections, or leaves the list of upstreams soon after. Other causes of a
//! lost attempt, such as a garbled answer, leave the upstream in place and accuse nobody.
//!
//! See `docs/design.md`, section 6.6, and `docs/incidents/budget-repeats.md`.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use coord::hash::hash64;
use coord::name::{Upstream, VmName};
use coord::poison::{
    CrashRecord, PartOptions, PartStanding, PartSuspects, PoisonOptions, Suspects, UpstreamStart,
    is_part,
};
use coord::time::Time;
use derive_more::Display;
use tokio::time::timeout;

use super::content::Content;
use super::context::Context;
use super::directory::UpstreamChange;
use super::placement::Choice;
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
/// Time for which crashes count.
const CRASH_RETENTION: Duration = Duration::from_hours(24);
/// Maximum number of records in one datagram: 16 records with all their crashes take 5.1 KB.
const MAX_RECORDS: usize = 16;
/// Time after its first output from which an attempt is no longer suspected: requests that crash
/// upstreams do so when their run begins.
const PROBATION: Duration = Duration::from_secs(1);
/// Time within which an upstream that crashed refuses a connection.
const REFUSAL_TIME: Duration = Duration::from_millis(20);
/// Time within which a probe ends: the time limit for a connection and a margin.
const PROBE_TIME: Duration = Duration::from_millis(300);
/// Time after a lost attempt within which its upstream counts as crashed if it leaves the list. The
/// store drops the entry of an upstream after three missed heartbeats, a few seconds.
const DELISTING_TIME: Duration = Duration::from_secs(10);
/// Maximum number of lost attempts that wait for that.
const MAX_UNEXPLAINED: usize = 1_024;

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

/// An attempt that ended without a complete answer.
#[derive(Clone, Debug)]
pub struct LostAttempt {
    id: Arc<str>,
    content: Content,
    /// Fingerprint of the step that was lost.
    fingerprint: u128,
    upstream: UpstreamStart,
    address: SocketAddr,
    began: Time,
    at: Time,
}

impl LostAttempt {
    /// Returns the parts that a crash accuses: a prefill writes no answer, so it shows nothing of them.
    fn parts(&self) -> &[u128] {
        if self.fingerprint == self.content.run {
            &self.content.part_prints
        } else {
            &[]
        }
    }
}

/// Lost attempts whose cause is not known yet.
#[derive(Clone, Debug, Default)]
pub struct LostAttempts {
    /// Attempts at upstreams that are being probed.
    probed: BTreeMap<Upstream, Vec<LostAttempt>>,
    /// Attempts at upstreams that still accept connections, oldest first.
    unexplained: VecDeque<LostAttempt>,
}

impl LostAttempts {
    /// Adds an attempt. Returns whether a probe of its upstream has to be started.
    fn add(&mut self, lost: LostAttempt) -> bool {
        let waiting = self
            .probed
            .entry(lost.upstream.upstream.clone())
            .or_default();
        waiting.push(lost);
        waiting.len() == 1
    }

    /// Returns whether an upstream is being probed.
    fn is_probed(&self, upstream: &Upstream) -> bool {
        self.probed.contains_key(upstream)
    }

    /// Takes the attempts that waited for the result of a probe.
    fn take_probed(&mut self, upstream: &Upstream) -> Vec<LostAttempt> {
        self.probed.remove(upstream).unwrap_or_default()
    }

    /// Keeps attempts in case their upstream leaves the list.
    fn keep(&mut self, now: Time, attempts: Vec<LostAttempt>) {
        self.unexplained.extend(attempts);
        let is_old = |lost: &LostAttempt| now.since(lost.at) >= DELISTING_TIME;
        while self.unexplained.front().is_some_and(is_old)
            || self.unexplained.len() > MAX_UNEXPLAINED
        {
            self.unexplained.pop_front();
        }
    }

    /// Takes the recent attempts at an upstream that left the list.
    fn take_delisted(&mut self, now: Time, upstream: &Upstream) -> Vec<LostAttempt> {
        let all = std::mem::take(&mut self.unexplained);
        let there = |lost: &LostAttempt| lost.upstream.upstream == *upstream;
        let (taken, kept): (VecDeque<_>, _) = all.into_iter().partition(there);
        self.unexplained = kept;
        let is_recent = |lost: &LostAttempt| now.since(lost.at) < DELISTING_TIME;
        taken.into_iter().filter(is_recent).collect()
    }
}

/// Watches over one attempt at an upstream. Dropping it means that the attempt was lost, whether the
/// connection broke, a time limit passed or the caller left.
pub struct AttemptGuard {
    ctx: Arc<Context>,
    lost: Option<LostAttempt>,
    first_output: Option<Time>,
    /// Whether the upstream answers with success, which shows that the parts of the prompt crash nothing if
    /// the answer goes on.
    succeeds: bool,
    /// Whether the parts are vouched for already.
    vouched: bool,
}

impl AttemptGuard {
    /// Begins to watch over an attempt.
    #[must_use]
    pub fn new(
        ctx: &Arc<Context>,
        (id, content): (&Arc<str>, Content),
        fingerprint: u128,
        choice: &Choice,
    ) -> Self {
        let start = start_of(ctx, &choice.name).unwrap_or_default();
        let lost = LostAttempt {
            id: Arc::clone(id),
            content,
            fingerprint,
            upstream: UpstreamStart::new(choice.name.clone(), start),
            address: choice.address,
            began: ctx.now(),
            at: Time::ZERO,
        };
        Self {
            ctx: Arc::clone(ctx),
            lost: Some(lost),
            first_output: None,
            succeeds: false,
            vouched: false,
        }
    }

    /// Records that the upstream answers with success.
    pub fn record_success(&mut self) {
        self.succeeds = true;
    }

    /// Records that output arrived. After some time with output, the parts of the prompt are cleared: they
    /// would have crashed the upstream when it began to write.
    pub fn record_output(&mut self) {
        let now = self.ctx.now();
        let first = *self.first_output.get_or_insert(now);
        if now.since(first) >= PROBATION {
            self.vouch();
        }
    }

    fn vouch(&mut self) {
        let Some(lost) = &self.lost else { return };
        if !self.succeeds || lost.parts().is_empty() || std::mem::replace(&mut self.vouched, true) {
            return;
        }
        let now = self.ctx.now();
        let cleared = self.ctx.state().part_suspects.vouch(now, lost.parts());
        if !cleared.is_empty() {
            let parts = lost.content.logged(|part| cleared.contains(&part));
            log::info!(id = &*lost.id, parts = parts.as_str(); "parts cleared");
            let count = u64::try_from(cleared.len()).unwrap_or(u64::MAX);
            self.ctx.telemetry.add("part.cleared", count);
            self.ctx.digest_due.notify_one();
            self.ctx.capacity_freed.notify_waiters();
        }
    }

    /// Ends the watch because the upstream certainly did not run the request.
    pub fn not_executed(mut self) {
        self.lost = None;
    }

    /// Ends the watch because the request ran without a crash.
    pub fn completed(mut self) {
        self.vouch();
        let Some(ran) = self.lost.take() else { return };
        let now = self.ctx.now();
        let cleared = self.ctx.state().suspects.completed(now, ran.fingerprint);
        if cleared {
            let (id, content) = (&*ran.id, ran.content.to_string());
            log::info!(id, content = content.as_str(); "suspicion cleared");
            self.ctx.telemetry.count("crash.cleared");
            self.ctx.digest_due.notify_one();
        }
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        let Some(mut lost) = self.lost.take() else {
            return;
        };
        lost.at = self.ctx.now();
        let proven = |first| lost.at.since(first) >= PROBATION;
        if !self.first_output.is_some_and(proven) {
            investigate(&self.ctx, lost);
        }
    }
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
/// as long as an upstream needs to refuse a connection.
pub async fn settle(ctx: &Context, content: &Content, upstream: &Upstream) {
    let limit = match standing(ctx, content) {
        Standing::Clear => REFUSAL_TIME,
        Standing::Suspect | Standing::OnTrial => PROBE_TIME,
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

/// Maximum number of crashes that are told in a log line.
const MAX_LOGGED_CRASHES: usize = 6;

/// Logs what is believed of a request that is refused: the part of its prompt at fault, if it is one, the
/// upstreams that crashed, and which gateway saw it how long ago.
pub fn log_refusal(ctx: &Context, id: &str, content: &Content, retry_after: Duration) {
    let now = ctx.now();
    let (part, sightings) = {
        let state = ctx.state();
        match state.part_suspects.standing(now, &content.part_prints) {
            PartStanding::Refused { part, .. } => {
                let sightings = state.part_suspects.sightings(now, part);
                (content.logged(|other| other == part), sightings)
            }
            _ => (
                String::new(),
                state.suspects.sightings(now, &content.steps()),
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
        id, content = content.as_str(), part = part.as_str(), crashes, believed = told.as_str(), retry_ms;
        "poison refused"
    );
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

/// Takes note of a change to the list of upstreams.
pub fn record_change(ctx: &Context, name: &Upstream, change: &UpstreamChange) {
    let evidence = match change {
        UpstreamChange::Removed => Evidence::Delisted,
        UpstreamChange::Restarted => Evidence::Restarted,
        // It ends by plan, and what it cuts off then was no crash.
        UpstreamChange::Draining => {
            ctx.state().lost_attempts.take_delisted(ctx.now(), name);
            return;
        }
        _ => return,
    };
    let now = ctx.now();
    let lost = ctx.state().lost_attempts.take_delisted(now, name);
    accuse(ctx, &lost, evidence);
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
        let draining = endpoint.is_some_and(|endpoint| endpoint.entry.draining);
        !draining && state.lost_attempts.add(lost)
    };
    if started {
        let ctx = Arc::clone(ctx);
        let tasks = ctx.tasks.clone();
        tasks.spawn(async move { probe(&ctx, &name, address).await });
    }
}

/// Finds out whether an upstream still accepts connections, and accuses the requests that were lost
/// there if it does not.
async fn probe(ctx: &Context, name: &Upstream, address: SocketAddr) {
    let connected = ctx.pool.connect(address).await;
    let unreachable = match connected {
        Ok(connection) => {
            connection.release();
            None
        }
        Err(SendError::Refused(_)) => Some(Evidence::Refused),
        Err(_) => Some(Evidence::Unreachable),
    };
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
        log::info!(
            id, content = content.as_str(), parts = parts.as_str(), accused = accused.as_str(), upstream,
            evidence = evidence.as_str(), crashes;
            "request suspected"
        );
    }
    if !lost.is_empty() {
        ctx.digest_due.notify_one();
        ctx.capacity_freed.notify_waiters();
    }
}
