//! What upstreams state about themselves in their answers.
//!
//! An upstream may state that it is leaving, and one that refuses a request may state for how long it takes
//! no others. A statement belongs to one start of the upstream and is not withdrawn by its entry in the
//! store: the entry may be older than the answer. A new start has stated nothing. See
//! `docs/design.md`, section 6.11.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use border::Statement as Stated;
use coord::limit::LimitKey;
use coord::time::Time;

use crate::gateway::admission::placement::Choice;
use crate::gateway::context::Context;
use crate::gateway::crash_watch;
use crate::gateway::engines::directory::UpstreamChange;

/// Longest time for which an upstream is left alone because it said so. A longer one is taken for this time,
/// so that a faulty value does not take an upstream out of use for days.
pub const MAX_PAUSE: Duration = Duration::from_mins(10);
/// Time for which statements are kept of an upstream that is not listed, because its entry may lapse
/// and return.
const UNLISTED_RETENTION: Duration = Duration::from_mins(1);
/// Maximum number of starts of upstreams whose statements are kept.
const MAX_STATEMENTS: usize = 4_096;

#[derive(Clone, Copy, Debug)]
struct Statement {
    /// Whether the upstream is leaving, and whether it said so to this gateway.
    leaving: Option<Source>,
    /// When it takes requests again.
    paused_until: Time,
    /// When it was last listed, or the statement was made.
    listed: Time,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    Upstream,
    OtherGateway,
}

/// The statements of upstreams, by start.
#[derive(Clone, Debug, Default)]
pub struct Statements {
    known: BTreeMap<LimitKey, Statement>,
}

impl Statements {
    /// Records that an upstream is leaving. Returns whether that is news.
    pub fn record_leaving(&mut self, now: Time, key: LimitKey) -> bool {
        let Some(statement) = self.entry(now, key) else {
            return false;
        };
        let known = statement.leaving.replace(Source::Upstream);
        known.is_none()
    }

    /// Records that another gateway was told that an upstream is leaving. Returns whether that is news.
    pub fn record_reported(&mut self, now: Time, key: LimitKey) -> bool {
        let Some(statement) = self.entry(now, key) else {
            return false;
        };
        let known = statement.leaving.is_some();
        statement.leaving.get_or_insert(Source::OtherGateway);
        !known
    }

    /// Records that an upstream takes no requests for a time. The statement that ends last counts.
    pub fn record_pause(&mut self, now: Time, key: LimitKey, pause: Duration) {
        if let Some(statement) = self.entry(now, key) {
            let until = now + pause.min(MAX_PAUSE);
            statement.paused_until = statement.paused_until.max(until);
        }
    }

    /// Returns whether an upstream is leaving.
    #[must_use]
    pub fn is_leaving(&self, key: LimitKey) -> bool {
        let statement = self.known.get(&key);
        statement.is_some_and(|statement| statement.leaving.is_some())
    }

    /// Returns how long an upstream takes no requests, if it said so.
    #[must_use]
    pub fn pause_left(&self, now: Time, key: LimitKey) -> Option<Duration> {
        let left = self.known.get(&key)?.paused_until.since(now);
        (!left.is_zero()).then_some(left)
    }

    /// Returns the upstreams that told this gateway that they are leaving.
    #[must_use]
    pub fn leaving(&self) -> Vec<LimitKey> {
        let told = |statement: &Statement| statement.leaving == Some(Source::Upstream);
        let told = self.known.iter().filter(|(_, statement)| told(statement));
        told.map(|(key, _)| *key).collect()
    }

    /// Drops what is no longer needed; `is_listed` tells which starts the store lists.
    pub fn expire(&mut self, now: Time, is_listed: impl Fn(LimitKey) -> bool) {
        self.known.retain(|key, statement| {
            if is_listed(*key) {
                statement.listed = now;
            }
            now.since(statement.listed) < UNLISTED_RETENTION
        });
    }

    /// Returns the statement of a start, or `None` if the table is full. A full table means that other
    /// gateways report starts that do not exist, since a site has far fewer upstreams.
    fn entry(&mut self, now: Time, key: LimitKey) -> Option<&mut Statement> {
        if self.known.len() >= MAX_STATEMENTS && !self.known.contains_key(&key) {
            return None;
        }
        let unknown = Statement {
            leaving: None,
            paused_until: Time::ZERO,
            listed: now,
        };
        Some(self.known.entry(key).or_insert(unknown))
    }
}

/// Records what an answer states about the upstream that sent it.
pub fn record(ctx: &Arc<Context>, choice: &Choice, stated: &Stated) {
    let now = ctx.now();
    let (upstream, key) = (choice.name.as_str(), choice.limit_key);
    if stated.leaving {
        let news = ctx.state().directory.statements.record_leaving(now, key);
        if news {
            log::info!(upstream; "leaving stated");
            ctx.telemetry.count("statement.leaving");
            crash_watch::record_change(ctx, &choice.name, &UpstreamChange::Draining);
            ctx.digest_due.notify_one();
        }
    }
    match &stated.pause {
        Some(Ok(pause)) => {
            ctx.state()
                .directory
                .statements
                .record_pause(now, key, *pause);
            let pause_ms = u64::try_from(pause.as_millis()).unwrap_or(u64::MAX);
            log::info!(upstream, pause_ms; "pause stated");
            ctx.telemetry.count("statement.pause");
        }
        Some(Err(error)) => {
            let error = error.to_string();
            log::warn!(upstream, error = error.as_str(); "pause unreadable");
            ctx.telemetry.count("statement.unreadable");
        }
        None => {}
    }
}
