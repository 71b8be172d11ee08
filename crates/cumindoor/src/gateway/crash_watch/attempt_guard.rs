//! Watches over attempts at upstreams.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use coord::name::Upstream;
use coord::poison::UpstreamStart;
use coord::time::Time;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use super::lost_attempts::LostAttempt;
use super::{accuse, investigate, reach, start_of};
use crate::gateway::admission::placement::Choice;
use crate::gateway::callers::content::Content;
use crate::gateway::context::Context;
use crate::gateway::fleet::forward::Ticket;

/// Time after its first output from which an attempt is no longer suspected: requests that crash
/// upstreams do so when their run begins.
const PROBATION: Duration = Duration::from_secs(1);
/// Time between two probes of an upstream on which a suspect is on trial without output. Other requests
/// with the same part wait meanwhile.
const TRIAL_PROBE_INTERVAL: Duration = Duration::from_millis(250);

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
    /// Number of the attempt among those without output.
    number: u64,
    /// The way through another gateway, if the attempt takes one.
    ticket: Option<Ticket>,
}

impl AttemptGuard {
    /// Begins to watch over an attempt.
    #[must_use]
    pub fn new(
        ctx: &Arc<Context>,
        (id, content): (&Arc<str>, Content),
        fingerprint: u128,
        choice: &Choice,
        on_trial: bool,
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
            on_trial,
            crashed: CancellationToken::new(),
            withdrawn: CancellationToken::new(),
        };
        let number = ctx.state().lost_attempts.begin(lost.clone());
        if on_trial {
            let ctx = Arc::clone(ctx);
            let (name, address) = (choice.name.clone(), choice.address);
            let tasks = ctx.tasks.clone();
            tasks.spawn(async move { probe_trial(&ctx, number, &name, address).await });
        }
        Self {
            ctx: Arc::clone(ctx),
            number,
            lost: Some(lost),
            first_output: None,
            succeeds: false,
            vouched: false,
            ticket: None,
        }
    }

    /// Keeps the way through another gateway open until the attempt has ended.
    pub fn keep_ticket(&mut self, ticket: Option<Ticket>) {
        self.ticket = ticket;
    }

    /// Returns a token that is cancelled if the upstream turns out to have crashed under a suspect, whose
    /// connection to an upstream that has gone dark would stay open.
    #[must_use]
    pub fn crashed(&self) -> CancellationToken {
        let lost = self.lost.as_ref();
        lost.map_or_else(CancellationToken::new, |lost| lost.crashed.clone())
    }

    /// Records that the upstream answers with success.
    pub fn record_success(&mut self) {
        self.succeeds = true;
    }

    /// Returns whether output has arrived.
    #[must_use]
    pub fn has_output(&self) -> bool {
        self.first_output.is_some()
    }

    /// Records that output arrived. After some time with output, the parts of the prompt are cleared: they
    /// would have crashed the upstream when it began to write.
    pub fn record_output(&mut self) {
        let now = self.ctx.now();
        if self.first_output.is_none() {
            self.ctx.state().lost_attempts.end(self.number);
        }
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
        self.dismiss();
    }

    /// Does the same as [`Self::not_executed`] before the rest of the answer is read.
    pub fn dismiss(&mut self) {
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
        self.ctx.state().lost_attempts.end(self.number);
        let Some(mut lost) = self.lost.take() else {
            return;
        };
        if lost.withdrawn.is_cancelled() {
            return;
        }
        lost.at = self.ctx.now();
        let proven = |first| lost.at.since(first) >= PROBATION;
        if !self.first_output.is_some_and(proven) {
            investigate(&self.ctx, lost);
        }
    }
}

/// Finds out whether the upstream crashed on which a suspect is on trial, until there is output.
async fn probe_trial(ctx: &Arc<Context>, number: u64, name: &Upstream, address: SocketAddr) {
    loop {
        sleep(TRIAL_PROBE_INTERVAL).await;
        if !ctx.state().lost_attempts.is_silent(number) {
            return;
        }
        if let Some(evidence) = reach(ctx, name, address).await {
            let silent = ctx.state().lost_attempts.take_silent(ctx.now(), name);
            accuse(ctx, &silent, evidence);
            return;
        }
    }
}
