//! Follows what the store publishes.
//!
//! Each topic is read as a whole once and then watched. After a gap in the history it is read
//! again. While the store is away, what was read last stays in force.

use std::sync::Arc;
use std::time::Duration;

use border::{Change, Page, Routing, Topic};
use coord::name::Upstream;
use hyper::{Method, StatusCode};

use super::directory::News;
use super::fetch::fetch;
use super::gate::Gate;

/// The pause after the first failed call; doubled with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// The longest pause between calls while the store is away.
const LONGEST_PAUSE: Duration = Duration::from_millis(500);
/// The shortest time between two watches, so that changes in quick succession cost one call
/// together. Versions of the routing are in force within a second or two, and must not pile up.
const ROUTING_SPACING: Duration = Duration::from_millis(150);
/// The same for upstreams, of which many may change one after the other.
const UPSTREAM_SPACING: Duration = Duration::from_millis(400);
/// How often a waiting watch is compared with what other gateways heard.
const BEHIND_PERIOD: Duration = Duration::from_millis(300);
/// How long another gateway may be ahead: a slow store answers within that time.
const BEHIND_TIME: Duration = Duration::from_millis(600);
/// Failed calls in a row after which the store counts as away.
const AWAY: u32 = 1;

/// Follows one topic for as long as the process runs.
///
/// # Errors
///
/// Never ends; failures of the store are retried.
pub async fn follow(gate: Arc<Gate>, topic: Topic) -> eyre::Result<()> {
    let mut follower = Follower {
        gate,
        topic,
        failures: 0,
        outage: false,
    };
    loop {
        let mut revision = follower.read().await;
        while let Some(next) = follower.watch(revision).await {
            revision = next;
        }
    }
}

struct Follower {
    gate: Arc<Gate>,
    topic: Topic,
    failures: u32,
    /// Whether the store was away since the last whole answer.
    outage: bool,
}

impl Follower {
    /// Reads the whole topic; returns the revision to watch from.
    async fn read(&mut self) -> u64 {
        loop {
            if let Some((changes, revision, changed)) = self.read_pages().await {
                self.answered();
                self.take_all(changes);
                self.note_seen(changed);
                return revision;
            }
            self.pause().await;
        }
    }

    async fn read_pages(&mut self) -> Option<(Vec<Change>, u64, u64)> {
        let mut changes = Vec::new();
        let mut latest = 0;
        let mut first = None;
        let mut after: Option<Arc<str>> = None;
        loop {
            let path = self.gate.catalogue.read(self.topic, after.as_deref());
            let page = self.call(&path, Duration::ZERO).await.ok()?;
            // Pages are no snapshot: what changes meanwhile is watched from the first one on.
            let revision = *first.get_or_insert(page.revision);
            changes.extend(page.changes);
            latest = page.changed.max(latest);
            match page.next {
                Some(next) => after = Some(next),
                None => return Some((changes, revision, latest)),
            }
        }
    }

    /// Waits for changes; returns the revision to go on from, or `None` if the history is lost.
    async fn watch(&mut self, revision: u64) -> Option<u64> {
        let wait = self.gate.settings().store.watch.0;
        let path = self.gate.catalogue.watch(self.topic, revision, wait);
        let started = tokio::time::Instant::now();
        let (gate, topic) = (Arc::clone(&self.gate), self.topic);
        let called = tokio::select! {
            called = self.call(&path, wait) => called,
            () = behind(&gate, topic, revision) => {
                log::warn!(topic = topic.name(), revision; "watch is silent");
                return None;
            }
        };
        match called {
            Ok(page) => {
                self.answered();
                let next = page.revision.max(revision);
                let changed = !page.changes.is_empty();
                if changed {
                    self.note_seen(page.changed);
                }
                for change in page.changes {
                    self.take(change);
                }
                if changed {
                    self.gate.room.notify_waiters();
                    tokio::time::sleep_until(started + spacing(self.topic)).await;
                }
                Some(next)
            }
            Err(Some(StatusCode::GONE)) => {
                log::warn!(topic = self.topic.name(), revision; "history lost");
                self.gate.telemetry.count("store.history-lost");
                None
            }
            // A store that comes back may have lost its history without saying so to a watch that
            // began before; so the topic is read again.
            Err(_) => {
                self.pause().await;
                None
            }
        }
    }

    /// Sends one call; an error has the status if the store answered.
    async fn call(&mut self, path: &str, wait: Duration) -> Result<Page, Option<StatusCode>> {
        let keys = self.gate.settings().store.clone();
        let limit = wait + keys.answer.0;
        self.gate.telemetry.count("store.calls");
        let call = (Method::GET, path);
        let answer = fetch(&self.gate.pool, keys.address.0, call, limit).await;
        let (status, body) = answer.map_err(|error| self.failed(None, &error.to_string()))?;
        if status != StatusCode::OK {
            return Err(self.failed(Some(status), status.as_str()));
        }
        let read = if wait.is_zero() {
            self.gate.catalogue.page(self.topic, &body)
        } else {
            self.gate.catalogue.events(self.topic, &body)
        };
        read.map_err(|error| self.failed(None, &error.to_string()))
    }

    fn failed(&mut self, status: Option<StatusCode>, error: &str) -> Option<StatusCode> {
        if status == Some(StatusCode::GONE) {
            return status;
        }
        self.failures += 1;
        self.gate.telemetry.count("store.failed");
        if self.failures == AWAY {
            self.outage = true;
            let topic = self.topic.name();
            log::warn!(topic, error; "store lost");
        }
        status
    }

    fn answered(&mut self) {
        self.failures = 0;
        let now = self.gate.now();
        let mut state = self.gate.state();
        state.contact = now;
        if !std::mem::take(&mut self.outage) {
            return;
        }
        if self.topic == Topic::Upstreams {
            state
                .directory
                .regained(now, self.gate.settings().store.regain.0);
        }
        drop(state);
        log::info!(topic = self.topic.name(); "store regained");
    }

    /// Tells other gateways up to which revision changes were heard of.
    fn note_seen(&self, revision: u64) {
        let mut state = self.gate.state();
        let seen = match self.topic {
            Topic::Routing => &mut state.seen.routing,
            Topic::Upstreams => &mut state.seen.upstreams,
        };
        *seen = revision.max(*seen);
        drop(state);
        self.gate.news.notify_one();
    }

    async fn pause(&self) {
        let doubled = 1 << self.failures.saturating_sub(1).min(8);
        tokio::time::sleep((FIRST_PAUSE * doubled).min(LONGEST_PAUSE)).await;
    }

    fn take_all(&self, changes: Vec<Change>) {
        match self.topic {
            Topic::Routing => changes.into_iter().for_each(|change| self.take(change)),
            Topic::Upstreams => {
                let now = self.gate.now();
                let news = self.gate.state().directory.replace(now, changes);
                for (name, news) in news {
                    report(&name, &news);
                }
            }
        }
        self.gate.room.notify_waiters();
    }

    fn take(&self, change: Change) {
        if let Change::Routing(routing) = change {
            match routing {
                Ok(routing) => self.put_in_force(routing),
                Err(error) => {
                    let error = error.to_string();
                    log::error!(error = error.as_str(); "routing rejected");
                    self.gate.telemetry.count("routing.rejected");
                }
            }
            return;
        }
        if let Change::Upstream(name, Err(error)) = &change {
            let (name, error) = (name.as_str(), error.to_string());
            log::warn!(upstream = name, error = error.as_str(); "entry rejected");
        }
        let now = self.gate.now();
        let news = self.gate.state().directory.apply(now, change);
        if let Some((name, news)) = news {
            report(&name, &news);
        }
    }

    /// Puts a version in force unless a newer one is; a store may answer from the past.
    fn put_in_force(&self, routing: Arc<Routing>) {
        let (version, routes) = (routing.version, routing.routes.len());
        let mut state = self.gate.state();
        let current = state.routing.as_ref().map(|routing| routing.version);
        if current.is_some_and(|current| current >= version) {
            return;
        }
        state.routing = Some(routing);
        drop(state);
        self.gate.telemetry.gauge("routing.version", version);
        log::info!(version, routes; "routing in force");
    }
}

fn spacing(topic: Topic) -> Duration {
    match topic {
        Topic::Routing => ROUTING_SPACING,
        Topic::Upstreams => UPSTREAM_SPACING,
    }
}

/// Ends when another gateway has heard of a change after `revision` for so long that the watch that
/// waits here must have lost it: a connection may fall silent, and a store that hung may not answer
/// the calls of before.
async fn behind(gate: &Gate, topic: Topic, revision: u64) {
    let mut since = None;
    loop {
        tokio::time::sleep(BEHIND_PERIOD).await;
        let seen = gate.state().board.seen_elsewhere();
        let seen = match topic {
            Topic::Routing => seen.routing,
            Topic::Upstreams => seen.upstreams,
        };
        if seen <= revision {
            since = None;
        } else if gate.now().since(*since.get_or_insert(gate.now())) >= BEHIND_TIME {
            return;
        }
    }
}

fn report(name: &Upstream, news: &News) {
    let (upstream, news) = (name.as_str(), news.to_string());
    log::info!(upstream, news = news.as_str(); "upstream");
}

/// Drops upstreams whose entries did not come back after an outage.
///
/// # Errors
///
/// Never ends.
pub async fn expire(gate: Arc<Gate>) -> eyre::Result<()> {
    /// How often entries are looked at; small against the time that they have to come back.
    const PERIOD: Duration = Duration::from_millis(250);
    loop {
        tokio::time::sleep(PERIOD).await;
        let now = gate.now();
        let lost = gate.state().directory.expire(now);
        for name in lost {
            report(&name, &News::Gone);
        }
    }
}
