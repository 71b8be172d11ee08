//! Rate limits that upstreams name in their answers.
//!
//! [`coord::limit::SharedLimits`] decides. This module feeds it with answers, waits for tokens, and logs
//! what is believed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use border::Reply;
use coord::limit::{Claim, Grant, LimitKey, LimitReport, RetryRecord};
use coord::time::Time;
use rand::RngExt;
use tokio::time::{Instant, sleep};

use crate::gateway::admission::placement::Choice;
use crate::gateway::context::Context;
use crate::gateway::engines::directory::Endpoint;
use crate::gateway::fleet::pacing::DIGEST_INTERVAL_PER_PEER;

/// Time from the announcement of a claim until the other gateways have heard of it, in addition to the time
/// between digests.
const CLAIM_NOTICE: Duration = Duration::from_millis(15);
/// Number of reports that announce a claim within that time.
const ANNOUNCEMENTS: u32 = 3;
/// Number of services whose retries are counted and reported.
const MAX_SERVICES: usize = 64;
/// Shortest and longest time after which a claim is looked at again.
const CLAIM_RECHECK: [Duration; 2] = [Duration::from_millis(2), Duration::from_millis(50)];

/// Records what an answer says about the rate limit of an upstream. `asked` is when the request was sent.
/// An answer without a limit ends the one that is known only if it is `genuine`, which one that a faulty
/// upstream made up may not be.
pub fn record_reply(ctx: &Context, choice: &Choice, (reply, asked): (&Reply, Time), genuine: bool) {
    let now = ctx.now();
    let (upstream, key) = (choice.name.as_str(), choice.limit_key);
    match &reply.rate_limit {
        Some(Ok(rate)) => {
            ctx.telemetry.count("limit.named");
            if ctx.state().limits.record_named(now, key, *rate) {
                log::info!(upstream, limit = rate.as_per_second(); "limit named");
                ctx.digest_due.notify_one();
            }
        }
        Some(Err(error)) => {
            ctx.telemetry.count("limit.unreadable");
            let error = error.to_string();
            log::warn!(upstream, error = error.as_str(); "limit unreadable");
        }
        None if genuine && ctx.state().limits.record_unnamed(now, key, asked) => {
            log::info!(upstream; "limit ended");
            ctx.digest_due.notify_one();
            ctx.capacity_freed.notify_waiters();
        }
        None => {}
    }
}

/// Logs that a request is sent to an upstream that names a limit.
pub fn log_use(ctx: &Context, id: &str, choice: &Choice, attempt: u32) {
    let known = ctx.state().limits.known(ctx.now(), choice.limit_key);
    if let Some(known) = known {
        ctx.telemetry.count("limit.used");
        let (upstream, limit) = (choice.name.as_str(), known.rate.as_per_second());
        log::info!(id, upstream, attempt, limit, level = known.level; "limited upstream used");
    }
}

/// Refuses a request because the limits of all upstreams leave no room. `next` is the upstream that has
/// room first. Returns when the caller, who waits for `time_left`, should return.
pub fn refuse(ctx: &Context, id: &str, next: &Choice, time_left: Duration) -> Duration {
    let now = ctx.now();
    let (standing, wait, gateways) = {
        let mut state = ctx.state();
        let standing = state.limits.known(now, next.limit_key);
        let wait = state.limits.book(now, next.limit_key, time_left);
        (
            standing,
            wait.unwrap_or_default(),
            state.loads.gateway_count(),
        )
    };
    if let Some(known) = standing {
        let told_by = known.told_by.to_string();
        let age_ms = u64::try_from(known.age.as_millis()).unwrap_or(u64::MAX);
        let retry_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
        let upstream = next.name.as_str();
        log::info!(
            id, upstream, limit = known.rate.as_per_second(), told_by = told_by.as_str(), age_ms,
            share = known.share, gateways, level = known.level, claims = known.claims, retry_ms;
            "limit refused"
        );
    }
    wait
}

/// Merges the report of another gateway. Returns whether it tells of other limits than were known.
pub fn merge_report(ctx: &Context, from: SocketAddr, report: LimitReport<SocketAddr>) -> bool {
    let now = ctx.now();
    let retry_limit = ctx.retry_limit();
    let version = (report.start, report.sequence);
    let (changed, standings) = {
        let mut state = ctx.state();
        if let Some(gateways) = report.gateways {
            let gateways = usize::try_from(gateways).unwrap_or(usize::MAX);
            state.loads.record_reported(now, gateways);
        }
        for record in report.retries.into_iter().take(MAX_SERVICES) {
            let known = state.retry_budgets.contains_key(&record.service);
            if known || state.retry_budgets.len() < MAX_SERVICES {
                let budget = state.retry_budget(record.service);
                budget.apply(now, &retry_limit, (&from, version), record);
            }
        }
        let allowances = &mut state.allowances;
        allowances.apply(now, (&from, version), report.allowances);
        let limits = &mut state.limits;
        let changed = limits.apply(now, (&from, version), report.limits);
        let standings: Vec<_> = changed.iter().map(|key| limits.known(now, *key)).collect();
        (changed, standings)
    };
    for (key, standing) in changed.iter().zip(standings) {
        let state = ctx.state();
        let mut all = state.directory.all();
        let known = all.find(|endpoint| endpoint.limit_key == *key);
        let upstream = known.map_or("", |endpoint| endpoint.name.as_str());
        let limit = standing.map(|known| known.rate.as_per_second());
        let told_by = from.to_string();
        log::info!(upstream, limit, told_by = told_by.as_str(); "limit reported");
    }
    ctx.telemetry.add(
        "limit.reported",
        u64::try_from(changed.len()).unwrap_or(u64::MAX),
    );
    !changed.is_empty()
}

/// Returns what the next report tells of retries: what has changed, and all in a report for a newcomer.
pub fn retry_records(ctx: &Context, newcomer: bool) -> Vec<RetryRecord> {
    let (now, limit) = (ctx.now(), ctx.retry_limit());
    let mut state = ctx.state();
    let budgets = state.retry_budgets.iter_mut().take(MAX_SERVICES);
    let due = budgets.filter(|(_, budget)| newcomer || budget.has_updates());
    due.map(|(service, budget)| budget.record(now, &limit, *service))
        .collect()
}

/// A token of an upstream, or a claim for one. Dropping it gives it back, unless it was spent.
pub struct Permit {
    ctx: Arc<Context>,
    key: LimitKey,
    token: Token,
}

/// How far a permit has got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Token {
    /// None is needed, because the upstream names no limit.
    Free,
    Claimed(Claim),
    Held,
    /// The request may have reached the upstream.
    Spent,
}

impl Permit {
    /// Claims a token. Returns `None` if the upstream names no limit.
    pub fn claim(ctx: &Arc<Context>, key: LimitKey) -> Option<Self> {
        let now = ctx.now();
        let claim = {
            let mut state = ctx.state();
            let gateways = state.loads.gateway_count();
            let random = state.rng.random();
            let notice = claim_notice(gateways);
            state.limits.claim(now, key, notice, random)?
        };
        ctx.digest_due.notify_one();
        Some(Self {
            ctx: Arc::clone(ctx),
            key,
            token: Token::Claimed(claim),
        })
    }

    /// Takes a token without a claim, if there is one or the upstream names no limit.
    pub fn take(ctx: &Arc<Context>, key: LimitKey) -> Option<Self> {
        let now = ctx.now();
        let token = {
            let limits = &mut ctx.state().limits;
            let limited = limits.wait(now, key).is_some();
            if !limits.take_now(now, key) {
                return None;
            }
            if limited { Token::Held } else { Token::Free }
        };
        if token == Token::Held {
            ctx.digest_due.notify_one();
        }
        Some(Self {
            ctx: Arc::clone(ctx),
            key,
            token,
        })
    }

    /// Returns the key of the upstream's start.
    pub fn key(&self) -> LimitKey {
        self.key
    }

    /// Waits for the token until `until`. Returns whether it is there.
    pub async fn obtain(&mut self, until: Instant) -> bool {
        let [shortest, longest] = CLAIM_RECHECK;
        while let Token::Claimed(claim) = self.token {
            let now = self.ctx.now();
            let (limited, grant) = {
                let limits = &mut self.ctx.state().limits;
                let limited = limits.wait(now, self.key).is_some();
                (limited, limits.try_take(now, claim))
            };
            match grant {
                Grant::Granted => {
                    self.token = if limited { Token::Held } else { Token::Free };
                    self.ctx.digest_due.notify_one();
                }
                Grant::Wait(wait) if Instant::now() + wait.min(longest) > until => return false,
                Grant::Wait(wait) => sleep(wait.clamp(shortest, longest)).await,
            }
        }
        true
    }

    /// Uses the token for a request that is about to be sent. It stays used if the sender gives up.
    pub fn spend(&mut self) {
        if self.token == Token::Held {
            self.token = Token::Spent;
        }
    }

    /// Takes the use back, because the request certainly did not reach the upstream.
    pub fn unspend(mut self) {
        if self.token == Token::Spent {
            self.token = Token::Held;
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let now = self.ctx.now();
        match self.token {
            Token::Free | Token::Spent => return,
            Token::Claimed(claim) => self.ctx.state().limits.withdraw(claim),
            Token::Held => self.ctx.state().limits.give_back(now, self.key),
        }
        self.ctx.digest_due.notify_one();
        self.ctx.capacity_freed.notify_waiters();
    }
}

/// Returns the time until all other gateways have heard of a claim.
pub fn claim_notice(gateways: usize) -> Duration {
    let gateways = u32::try_from(gateways).unwrap_or(u32::MAX);
    CLAIM_NOTICE + ANNOUNCEMENTS * DIGEST_INTERVAL_PER_PEER * gateways
}

/// Returns whether an upstream is known under this key, so that its limit is kept.
pub fn is_listed<'a>(mut all: impl Iterator<Item = &'a Endpoint>, key: LimitKey) -> bool {
    all.any(|endpoint| endpoint.limit_key == key)
}
