//! Calls to the store about one topic, and the checks of what is known of it.
//!
//! All gateways share the checks: the one that made a check reports it to all others. See
//! `docs/decisions/store-checks.md`.

#[cfg(test)]
mod tests;

use std::sync::Arc;
use std::time::Duration;

use border::{Page, Topic};
use coord::freshness::{Freshness, FreshnessReport, check_delay};
use coord::time::Time;
use derive_more::Display;
use hyper::{Method, StatusCode};
use rand::RngExt;
use serde::{Deserialize, Serialize};
use tokio::time::{sleep, timeout};

use crate::gateway::context::{Context, State};
use crate::gateway::store::fetch::{FetchError, fetch};

/// Time for which a check waits for a change. The answer to a call without a wait is read as data, not as changes.
const CHECK_WAIT: Duration = Duration::from_millis(1);
/// Interval at which the known data is compared with the revisions that other gateways saw.
const PEER_CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Time for which a new watch may be pending, or another gateway ahead, before a check is made. Watches are answered
/// at different times, also by a slow store.
pub const MAX_WATCH_LAG: Duration = Duration::from_millis(300);

/// Why a call to the store returned no data.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{text}")]
pub struct CallError {
    /// The status, if the store answered with one.
    pub status: Option<StatusCode>,
    /// Whether the store took the call and did not complete it, which may concern this call alone. A store that is
    /// available cuts waiting watches at times.
    pub cut: bool,
    text: String,
}

impl CallError {
    fn new(status: Option<StatusCode>, text: &impl ToString) -> Self {
        Self {
            status,
            cut: false,
            text: text.to_string(),
        }
    }

    /// Translates the failure of a call that the store was to answer after `wait` at the latest.
    fn unanswered(error: &FetchError, wait: Duration) -> Self {
        // A call without a wait is answered at once, so that its silence is that of the store.
        let cut = match error {
            FetchError::Cut(_) => true,
            FetchError::Timeout => wait > CHECK_WAIT,
            FetchError::Failed(_) => false,
        };
        Self {
            cut,
            ..Self::new(None, error)
        }
    }
}

/// How current the sender's data is, by topic; a topic is absent before it was read. Gateways of older builds neither
/// send nor understand it. Unknown fields are those of another kind of message.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreReport {
    routing: Option<FreshnessReport>,
    upstreams: Option<FreshnessReport>,
}

impl StoreReport {
    fn of(state: &State, now: Time) -> Self {
        let report = |topic| {
            let freshness = state.freshness.get(&topic);
            freshness.and_then(|freshness| freshness.report(now))
        };
        Self {
            routing: report(Topic::Routing),
            upstreams: report(Topic::Upstreams),
        }
    }
}

/// Applies what another gateway reports.
pub fn receive(ctx: &Context, report: &StoreReport) {
    let now = ctx.now();
    let topics = [
        (Topic::Routing, report.routing),
        (Topic::Upstreams, report.upstreams),
    ];
    let mut is_behind = false;
    for (topic, report) in topics {
        if let Some(report) = report {
            let mut state = ctx.state();
            let freshness = state.freshness.entry(topic).or_default();
            is_behind |= freshness.apply(now, &report);
        }
    }
    if is_behind {
        ctx.change_reported.notify_waiters();
    }
}

/// Sends the calls about one topic.
#[derive(Clone)]
pub struct StoreCalls {
    ctx: Arc<Context>,
    topic: Topic,
}

impl StoreCalls {
    /// Returns the calls about a topic.
    pub fn new(ctx: Arc<Context>, topic: Topic) -> Self {
        Self { ctx, topic }
    }

    /// Sends one call, which the store answers after `wait` at the latest.
    ///
    /// # Errors
    ///
    /// Returns [`CallError`] if there is no valid answer within the time limit.
    pub async fn send(&self, path: &str, wait: Duration) -> Result<Page, CallError> {
        let keys = self.ctx.settings().store.clone();
        let limit = wait + keys.answer.0;
        self.ctx.telemetry.count("store.calls");
        let call = (Method::GET, path);
        let answer = fetch(&self.ctx.pool, keys.address.0, call, limit).await;
        let (head, body) = answer.map_err(|error| CallError::unanswered(&error, wait))?;
        let status = head.status;
        if status != StatusCode::OK {
            return Err(CallError::new(Some(status), &status));
        }
        let read = if wait.is_zero() {
            self.ctx.catalogue.parse_page(self.topic, &body)
        } else {
            self.ctx.catalogue.parse_events(self.topic, &body)
        };
        read.map_err(|error| CallError::new(None, &error))
    }

    /// Makes the next check once it is due, and returns the changes after `revision`. Without one, the other
    /// gateways are told, and `revision` is raised to that of the answer.
    ///
    /// # Errors
    ///
    /// Returns [`CallError`] if the store does not answer.
    pub async fn check(&self, revision: &mut u64) -> Result<Page, CallError> {
        tokio::select! {
            () = self.check_due() => {}
            () = self.is_behind(*revision) => {}
        }
        let started = self.ctx.now();
        let catalogue = &self.ctx.catalogue;
        let path = catalogue.watch_path(self.topic, *revision, CHECK_WAIT);
        self.ctx.telemetry.count("store.checks");
        let page = self.send(&path, CHECK_WAIT).await?;
        if page.changes.is_empty() {
            *revision = page.revision.max(*revision);
            self.record_check(started, *revision);
            self.report().await;
        }
        Ok(page)
    }

    /// Records that the whole topic was read at a revision, by calls that began at `started`.
    pub fn record_read(&self, started: Time, revision: u64) {
        let mut state = self.ctx.state();
        let freshness = state.freshness.entry(self.topic).or_default();
        freshness.record_read(started, revision);
    }

    /// Records the answer to a watch, with the revision of the latest change in it.
    pub fn record_changes(&self, revision: u64, last_change: Option<u64>) {
        let mut state = self.ctx.state();
        let freshness = state.freshness.entry(self.topic).or_default();
        freshness.record_changes(revision, last_change);
    }

    fn record_check(&self, started: Time, revision: u64) {
        let mut state = self.ctx.state();
        state.store_contact = self.ctx.now();
        let freshness = state.freshness.entry(self.topic).or_default();
        freshness.record_check(started, revision);
    }

    /// Reports to all other gateways how current the data is.
    pub async fn report(&self) {
        let Some(socket) = self.ctx.peer_socket.get() else {
            return;
        };
        let (report, others) = {
            let state = self.ctx.state();
            let report = StoreReport::of(&state, self.ctx.now());
            (report, state.loads.others())
        };
        socket.send(&report, &others).await;
    }

    /// Returns once no gateway has checked the topic for a time that is chosen at random, anew after each check.
    async fn check_due(&self) {
        loop {
            let (verified, delay) = {
                let mut state = self.ctx.state();
                let verified = self.verified(&state);
                let draw = state.rng.random_range(0.0..=1.0);
                (verified, check_delay(state.loads.gateway_count(), draw))
            };
            sleep((verified + delay).since(self.ctx.now())).await;
            if self.verified(&self.ctx.state()) <= verified {
                return;
            }
        }
    }

    fn verified(&self, state: &State) -> Time {
        let freshness = state.freshness.get(&self.topic);
        let verified = freshness.and_then(Freshness::verified);
        verified.unwrap_or_default()
    }

    /// Returns once another gateway has been ahead of `revision` for longer than the permitted lag.
    async fn is_behind(&self, revision: u64) {
        loop {
            let reported = self.ctx.change_reported.notified();
            // Digests notify nobody, so the time-out is no error.
            let _ = timeout(PEER_CHECK_INTERVAL, reported).await;
            if !self.are_peers_ahead(revision) {
                continue;
            }
            sleep(MAX_WATCH_LAG).await;
            if self.are_peers_ahead(revision) {
                return;
            }
        }
    }

    fn are_peers_ahead(&self, revision: u64) -> bool {
        let state = self.ctx.state();
        let seen = state.loads.seen_by_peers();
        let seen = match self.topic {
            Topic::Routing => seen.routing,
            Topic::Upstreams => seen.upstreams,
        };
        let freshness = state.freshness.get(&self.topic);
        seen > revision || freshness.is_some_and(Freshness::is_behind)
    }
}
