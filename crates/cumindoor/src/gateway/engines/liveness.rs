//! Finds out whether a silent upstream still runs.
//!
//! A sound upstream may fall silent within an answer and go on, and the connection to an upstream
//! whose machine went down is just as silent. Only a new connection tells the two apart.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use coord::time::Time;
use tokio::time::sleep;

use crate::gateway::admission::placement::Choice;
use crate::gateway::context::Context;
use crate::gateway::engines::links;
use crate::serve::engine::SendError;

/// Consecutive failed probes after which an upstream counts as gone. A single one may be due to a lost
/// packet.
const FAILURES_TO_GONE: u32 = 2;
/// Time from the start of a failed probe to the next one.
const CONFIRM_DELAY: Duration = Duration::from_millis(300);
/// Time from the start of a successful probe to the next one. New connections are charged for.
const REPEAT_DELAY: Duration = Duration::from_secs(1);
/// Time for which failed probes count. The upstream may have started anew since.
const RESULT_LIFETIME: Duration = Duration::from_secs(1);

/// The probes of one address.
#[derive(Clone, Copy, Debug, Default)]
struct Probes {
    running: bool,
    /// Consecutive failures.
    failures: u32,
    /// When the last one began.
    began: Option<Time>,
}

/// What a request does that waits for a silent upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// The upstream accepts no connections.
    Gone,
    /// Start a probe, and report its result.
    Probe,
    /// Ask again after this time, or when a probe has ended.
    Wait(Duration),
}

/// The upstreams that are being probed, one probe at a time for all requests that wait there.
#[derive(Clone, Debug, Default)]
pub struct Liveness {
    probes: BTreeMap<SocketAddr, Probes>,
}

impl Liveness {
    /// Returns what to do for a request whose upstream is silent.
    pub fn next(&mut self, now: Time, address: SocketAddr) -> Next {
        let probes = self.probes.entry(address).or_default();
        if probes.running {
            return Next::Wait(REPEAT_DELAY);
        }
        let age = probes.began.map_or(RESULT_LIFETIME, |at| now.since(at));
        if age >= RESULT_LIFETIME {
            probes.failures = 0;
        }
        if probes.failures >= FAILURES_TO_GONE {
            return Next::Gone;
        }
        let delay = match (probes.began, probes.failures) {
            (None, _) => Duration::ZERO,
            (_, 0) => REPEAT_DELAY,
            _ => CONFIRM_DELAY,
        };
        if age < delay {
            return Next::Wait(delay.saturating_sub(age));
        }
        probes.running = true;
        probes.began = Some(now);
        Next::Probe
    }

    /// Records the result of a probe.
    pub fn record(&mut self, now: Time, address: SocketAddr, accepted: bool) {
        let is_recent = |probes: &Probes| {
            probes.running
                || probes
                    .began
                    .is_some_and(|at| now.since(at) < RESULT_LIFETIME)
        };
        self.probes.retain(|_, probes| is_recent(probes));
        let probes = self.probes.entry(address).or_default();
        probes.running = false;
        probes.failures = if accepted { 0 } else { probes.failures + 1 };
    }
}

/// Returns once an upstream has accepted no connection several times in a row, or once this gateway has lost
/// its links to the service, which it returns.
pub async fn until_gone(ctx: &Arc<Context>, upstream: &Choice) -> bool {
    links::suspect(ctx, &upstream.service);
    loop {
        if ctx.state().links.is_lost(&upstream.service) {
            return true;
        }
        let checked = ctx.links_checked.notified();
        let mut checked = std::pin::pin!(checked);
        checked.as_mut().enable();
        let ended = ctx.probe_ended.notified();
        let mut ended = std::pin::pin!(ended);
        ended.as_mut().enable();
        let now = ctx.now();
        let next = {
            let mut state = ctx.state();
            let endpoint = state.directory.get(&upstream.name);
            let answers = endpoint.is_some_and(|endpoint| {
                let same = endpoint.entry.address == upstream.address;
                same && endpoint.health.recently_answered(now)
            });
            if answers {
                Next::Wait(CONFIRM_DELAY)
            } else {
                state.liveness.next(now, upstream.address)
            }
        };
        let delay = match next {
            Next::Gone => return links::is_lost(ctx, &upstream.service).await,
            Next::Wait(delay) => delay,
            Next::Probe => {
                let ctx = Arc::clone(ctx);
                let (tasks, address) = (ctx.tasks.clone(), upstream.address);
                // Other requests need the result if this one is answered meanwhile.
                tasks.spawn(async move { probe(&ctx, address).await });
                REPEAT_DELAY
            }
        };
        tokio::select! {
            () = ended => {}
            () = checked => {}
            () = sleep(delay) => {}
        }
    }
}

async fn probe(ctx: &Context, address: SocketAddr) {
    let connected = ctx.pool.connect(address).await;
    // An upstream resets connections beyond its limit; that is no sign of its end. The connection is
    // closed, because idle ones count towards that limit.
    let accepted = !matches!(
        connected,
        Err(SendError::Refused(_) | SendError::TimedOut(_))
    );
    ctx.telemetry.count(if accepted {
        "probe.accepted"
    } else {
        "probe.failed"
    });
    let now = ctx.now();
    ctx.state().liveness.record(now, address, accepted);
    ctx.probe_ended.notify_waiters();
}
