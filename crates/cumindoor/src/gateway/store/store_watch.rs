//! Keeps the routing and the upstreams in step with the store.
//!
//! Each topic is read in full once and then watched. It is read again after a gap in the store's
//! history. During an outage of the store, the last known data stays in force.
//!
//! The store may cut a watch that is waiting, at any time and as often as it likes. That is no outage: the topic is
//! read again, and only if that fails as well, the store counts as unavailable. See `docs/decisions/store-checks.md`.
//!
//! A watch that the store never received stays silent like one without a change. While a watch is pending, short
//! calls check that it misses nothing; see [`crate::gateway::store::store_calls`].

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use border::{Change, Page, Routing, Topic};
use coord::name::Upstream;
use hyper::StatusCode;
use rand::RngExt;
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

use crate::gateway::admission::classes::Urgencies;
use crate::gateway::admission::placement::{believed_slots, usual_slots};
use crate::gateway::context::Context;
use crate::gateway::crash_watch;
use crate::gateway::engines::directory::UpstreamChange;
use crate::gateway::organisations::allowances;
use crate::gateway::organisations::keys::KeyTable;
use crate::gateway::store::store_calls::{CallError, MAX_WATCH_LAG, StoreCalls};

/// Delay after the first failed call; it doubles with each further failure.
const BASE_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Upper bound on the delay between calls during an outage.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Shortest time between two watches of the routing, so that changes in quick succession take one
/// call. A new version has to be in force within a second or two.
const ROUTING_WATCH_INTERVAL: Duration = Duration::from_millis(150);
/// Shortest time between two watches of the upstreams. It is longer than for the routing because
/// many upstreams may change one after the other.
const UPSTREAM_WATCH_INTERVAL: Duration = Duration::from_millis(400);
/// Shortest time between two watches of the upstreams while no requests arrive, such as before callers are let in,
/// when all upstreams register one after the other. It is shorter than the time in which a leaving upstream may still
/// get requests.
const IDLE_WATCH_INTERVAL: Duration = Duration::from_millis(1_200);
/// Time without a request after which a gateway is idle.
const IDLE_AFTER: Duration = Duration::from_secs(1);
/// Shortest wait of a watch, as a share of the one in the settings, so that the watches of the whole fleet do not end at
/// the same time.
const MIN_WATCH_SHARE: f64 = 0.8;
/// Consecutive failed calls after which the store counts as unavailable.
const FAILURES_TO_OUTAGE: u32 = 1;

/// Reads and watches one topic for as long as the process runs.
///
/// # Errors
///
/// Never returns; failures of the store are retried.
pub async fn watch_topic(ctx: Arc<Context>, topic: Topic) -> eyre::Result<()> {
    let mut watcher = TopicWatcher {
        calls: StoreCalls::new(Arc::clone(&ctx), topic),
        ctx,
        topic,
        failures: 0,
        cuts: 0,
        outage: false,
    };
    loop {
        let mut revision = watcher.read_topic().await;
        while let Some(next) = watcher.watch(revision).await {
            revision = next;
        }
    }
}

struct TopicWatcher {
    ctx: Arc<Context>,
    topic: Topic,
    calls: StoreCalls,
    failures: u32,
    /// Watches in a row that were cut.
    cuts: u32,
    /// Whether the store became unavailable since its last valid answer.
    outage: bool,
}

impl TopicWatcher {
    /// Reads the topic in full and returns the revision from which to watch.
    async fn read_topic(&mut self) -> u64 {
        loop {
            let started = self.ctx.now();
            match self.read_pages().await {
                Ok((changes, revision, latest)) => {
                    self.record_success();
                    self.apply_snapshot(changes);
                    self.record_revision(latest);
                    self.calls.record_read(started, revision);
                    return revision;
                }
                Err(error) => self.record_failure(&error),
            }
            self.back_off().await;
        }
    }

    async fn read_pages(&self) -> Result<(Vec<Change>, u64, u64), CallError> {
        let mut changes = Vec::new();
        let mut latest = 0;
        let mut first = None;
        let mut after: Option<Arc<str>> = None;
        loop {
            let path = self.ctx.catalogue.read_path(self.topic, after.as_deref());
            let page = self.calls.send(&path, Duration::ZERO).await?;
            // The pages are not a snapshot, so the watch starts at the revision of the first page
            // to include changes made while the later ones were read.
            let revision = *first.get_or_insert(page.revision);
            changes.extend(page.changes);
            latest = page.last_change.max(latest);
            match page.next {
                Some(next) => after = Some(next),
                None => return Ok((changes, revision, latest)),
            }
        }
    }

    /// Waits for changes. Returns the revision from which to continue, or `None` if the topic has
    /// to be read again.
    async fn watch(&mut self, revision: u64) -> Option<u64> {
        let share = self.ctx.state().rng.random_range(MIN_WATCH_SHARE..=1.0);
        let wait = self.ctx.settings().store.watch.0.mul_f64(share);
        let started = Instant::now();
        match self.wait_for_changes(revision, wait).await {
            Ok((page, missed)) => {
                self.cuts = 0;
                self.record_success();
                let next = page.revision.max(revision);
                let changed = !page.changes.is_empty();
                for change in page.changes {
                    self.apply_change(change);
                }
                let last_change = changed.then_some(page.last_change);
                self.calls.record_changes(next, last_change);
                if missed {
                    // The watches of other gateways may be lost as well.
                    self.calls.report().await;
                }
                if changed {
                    self.record_revision(page.last_change);
                    self.ctx.capacity_freed.notify_waiters();
                    sleep_until(started + watch_interval(self.topic)).await;
                    if self.topic == Topic::Upstreams {
                        self.wait_while_idle(started + IDLE_WATCH_INTERVAL).await;
                    }
                }
                Some(next)
            }
            Err(error) if error.status == Some(StatusCode::GONE) => {
                log::warn!(topic = self.topic.name(), revision; "history lost");
                self.ctx.telemetry.count("store.history-lost");
                None
            }
            // A store that restarts may have lost its history without reporting so to a watch that
            // began before, so the topic is read again.
            Err(error) => {
                if error.cut {
                    self.record_cut(&error);
                } else {
                    self.record_failure(&error);
                }
                self.back_off().await;
                None
            }
        }
    }

    /// Waits until a watch is answered, or a check finds that it has missed something, which the second value tells.
    /// After checks that failed, the first one that is answered ends the wait, because the watch may have failed as
    /// well.
    async fn wait_for_changes(
        &mut self,
        revision: u64,
        wait: Duration,
    ) -> Result<(Page, bool), CallError> {
        let calls = self.calls.clone();
        let path = self.ctx.catalogue.watch_path(self.topic, revision, wait);
        let mut watch = pin!(calls.send(&path, wait));
        // A change during the pause between two watches is in the answer to the watch, not missed.
        if let Ok(called) = timeout(MAX_WATCH_LAG, watch.as_mut()).await {
            return called.map(|page| (page, false));
        }
        let mut verified = revision;
        loop {
            let checked = tokio::select! {
                called = watch.as_mut() => return called.map(|page| (page, false)),
                checked = calls.check(&mut verified) => checked,
            };
            match checked {
                Ok(page) if !page.changes.is_empty() => {
                    log::warn!(topic = self.topic.name(), revision; "watch is silent");
                    return Ok((page, true));
                }
                Ok(page) if self.outage => return Ok((page, false)),
                Ok(_) => {}
                Err(error) if error.cut || error.status == Some(StatusCode::GONE) => {
                    return Err(error);
                }
                Err(error) => {
                    self.record_failure(&error);
                    self.back_off().await;
                }
            }
        }
    }

    /// Waits until a time or the next request if none has arrived recently.
    async fn wait_while_idle(&self, until: Instant) {
        let arrived = self.ctx.request_arrived.notified();
        let mut arrived = std::pin::pin!(arrived);
        arrived.as_mut().enable();
        let now = self.ctx.now();
        let last = self.ctx.state().last_request;
        if last.is_some_and(|last| now.since(last) < IDLE_AFTER) {
            return;
        }
        // That no request has come meanwhile is no error.
        let _ = timeout_at(until, arrived).await;
    }

    fn record_failure(&mut self, error: &CallError) {
        self.failures += 1;
        self.ctx.telemetry.count("store.failed");
        if self.failures == FAILURES_TO_OUTAGE {
            self.outage = true;
            if self.topic == Topic::Upstreams {
                self.ctx.state().directory.begin_outage(self.ctx.now());
            }
            let (topic, error) = (self.topic.name(), error.to_string());
            log::warn!(topic, error = error.as_str(); "store lost");
        }
    }

    /// Records that a watch was cut, which says nothing about the store.
    fn record_cut(&mut self, error: &CallError) {
        self.cuts += 1;
        self.ctx.telemetry.count("store.cut");
        let (topic, error) = (self.topic.name(), error.to_string());
        log::info!(topic, error = error.as_str(), cuts = self.cuts; "watch cut");
    }

    fn record_success(&mut self) {
        self.failures = 0;
        let now = self.ctx.now();
        let mut state = self.ctx.state();
        state.store_contact = now;
        if !std::mem::take(&mut self.outage) {
            return;
        }
        if self.topic == Topic::Upstreams {
            state
                .directory
                .end_outage(now, self.ctx.settings().store.regain.0);
        }
        drop(state);
        log::info!(topic = self.topic.name(); "store regained");
    }

    /// Records the revision of the latest change, which is sent to other gateways.
    fn record_revision(&self, revision: u64) {
        let mut state = self.ctx.state();
        let seen = match self.topic {
            Topic::Routing => &mut state.seen.routing,
            Topic::Upstreams => &mut state.seen.upstreams,
        };
        *seen = revision.max(*seen);
        drop(state);
        self.ctx.digest_due.notify_one();
    }

    async fn back_off(&self) {
        let factor = 1 << self.failures.max(self.cuts).saturating_sub(1).min(8);
        sleep((BASE_RETRY_DELAY * factor).min(MAX_RETRY_DELAY)).await;
    }

    fn apply_snapshot(&self, changes: Vec<Change>) {
        match self.topic {
            Topic::Routing => changes
                .into_iter()
                .for_each(|change| self.apply_change(change)),
            Topic::Upstreams => {
                let now = self.ctx.now();
                let applied = self.ctx.state().directory.replace(now, changes);
                for (name, change) in applied {
                    self.record_change(&name, &change);
                }
            }
        }
        self.ctx.capacity_freed.notify_waiters();
    }

    fn apply_change(&self, change: Change) {
        if let Change::Routing(routing) = change {
            match routing {
                Ok(routing) => self.apply_routing(routing),
                Err(error) => {
                    let error = error.to_string();
                    log::error!(error = error.as_str(); "routing rejected");
                    self.ctx.telemetry.count("routing.rejected");
                }
            }
            return;
        }
        if let Change::Upstream(name, Err(error)) = &change {
            let (name, error) = (name.as_str(), error.to_string());
            log::warn!(upstream = name, error = error.as_str(); "entry rejected");
        }
        let now = self.ctx.now();
        let applied = self.ctx.state().directory.apply(now, change);
        if let Some((name, change)) = applied {
            self.record_change(&name, &change);
        }
    }

    fn record_change(&self, name: &Upstream, change: &UpstreamChange) {
        log_change(name, change);
        log_disbelief(&self.ctx, name);
        crash_watch::record_change(&self.ctx, name, change);
    }

    /// Puts a version in force unless a newer one is, because a store may return outdated data.
    fn apply_routing(&self, routing: Arc<Routing>) {
        let (version, routes) = (routing.version, routing.routes.len());
        let keys = Arc::new(KeyTable::new(&routing));
        let urgencies = Arc::new(Urgencies::new(&routing));
        let mut state = self.ctx.state();
        let current = state.routing.as_ref().map(|routing| routing.version);
        if current.is_some_and(|current| current >= version) {
            return;
        }
        allowances::set(&mut state, self.ctx.now(), &routing);
        let expected = self.ctx.expects_peers();
        state.divide_allowances(self.ctx.now(), expected);
        state.routing = Some(routing);
        state.keys = keys;
        state.urgencies = urgencies;
        drop(state);
        self.ctx.telemetry.gauge("routing.version", version);
        log::info!(version, routes; "routing in force");
    }
}

fn watch_interval(topic: Topic) -> Duration {
    match topic {
        Topic::Routing => ROUTING_WATCH_INTERVAL,
        Topic::Upstreams => UPSTREAM_WATCH_INTERVAL,
    }
}

fn log_change(name: &Upstream, change: &UpstreamChange) {
    let (upstream, change) = (name.as_str(), change.to_string());
    log::info!(upstream, news = change.as_str(); "upstream");
}

/// Logs that the entry of a plain upstream states more slots than it counts with.
fn log_disbelief(ctx: &Context, name: &Upstream) {
    let state = ctx.state();
    let Some(endpoint) = state.directory.get(name) else {
        return;
    };
    let entry = &endpoint.entry;
    let usual = usual_slots(&state.directory, &entry.service);
    let (stated, believed) = (entry.slots, believed_slots(entry.slots, usual));
    let is_plain = entry.stage.is_none();
    drop(state);
    if is_plain && stated != believed {
        let upstream = name.as_str();
        log::warn!(upstream, stated, believed; "slots not believed");
    }
}

/// Removes upstreams whose entries did not return after an outage.
///
/// # Errors
///
/// Never returns.
pub async fn expire_missing(ctx: Arc<Context>) -> eyre::Result<()> {
    /// Interval between checks; short compared with the grace period.
    const EXPIRY_INTERVAL: Duration = Duration::from_millis(250);
    loop {
        sleep(EXPIRY_INTERVAL).await;
        let now = ctx.now();
        let lost = ctx.state().directory.expire(now);
        for name in lost {
            log_change(&name, &UpstreamChange::Removed);
            crash_watch::record_change(&ctx, &name, &UpstreamChange::Removed);
        }
    }
}
