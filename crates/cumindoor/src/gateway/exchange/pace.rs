//! Times of work at upstreams, from which their speed is learned.

use std::time::Duration;

use border::Reply;
use coord::time::Time;

use super::CallerRequest;
use crate::gateway::admission::load_table::service_key;
use crate::gateway::admission::placement::Choice;
use crate::gateway::engines::speeds::Work;

/// Gaps between events whose mean is one observation. Single gaps vary, because an engine prefills prompts
/// between the events of other streams.
const OBSERVED_GAPS: u32 = 16;
/// Fewest tokens of a prompt whose prefill is observed. The time of a shorter one is mostly its fixed part.
const MIN_OBSERVED_TOKENS: u32 = 500;

/// Records the slowdown that an answer states.
pub(super) fn record_stated(req: &CallerRequest, choice: &Choice, reply: &Reply) {
    if let Some(percent) = reply.work.and_then(|work| work.slowdown) {
        let now = req.ctx.now();
        let speeds = &mut req.ctx.state().directory.speeds;
        speeds.record_stated(now, choice.limit_key, percent);
    }
}

/// Records the time of a prefill. One that waited for others tells nothing of the engine.
pub(super) fn record_prefill(
    req: &CallerRequest,
    choice: &Choice,
    (tokens, queued): (u32, u32),
    spent: Duration,
) {
    if tokens >= MIN_OBSERVED_TOKENS && queued <= tokens {
        let each = spent.as_secs_f64() * 1_000.0 / f64::from(tokens);
        record(req, choice, Work::PromptToken, each);
    }
}

/// Records the time of a plain call.
pub(super) fn record_call(req: &CallerRequest, choice: &Choice, spent: Duration) {
    record(req, choice, Work::Call, spent.as_secs_f64() * 1_000.0);
}

fn record(req: &CallerRequest, choice: &Choice, work: Work, ms: f64) {
    if req.is_forwarded() {
        // The way over another gateway takes a part of the time.
        return;
    }
    let now = req.ctx.now();
    let kind = (service_key(&req.service), work);
    let speeds = &mut req.ctx.state().directory.speeds;
    speeds.record_time(now, choice.limit_key, kind, ms);
}

/// Measures the time between the events of a stream at one engine.
#[derive(Debug, Default)]
pub(super) struct Pace {
    /// When the first event of the present observation arrived, and how many had ended before.
    began: Option<(Time, u64)>,
}

impl Pace {
    /// Records that events arrived, `ended` with those before.
    pub(super) fn record(&mut self, req: &CallerRequest, choice: &Choice, ended: u64) {
        let now = req.ctx.now();
        let Some((began, before)) = self.began else {
            self.began = Some((now, ended));
            return;
        };
        let gaps = u32::try_from(ended.saturating_sub(before)).unwrap_or(u32::MAX);
        if gaps >= OBSERVED_GAPS {
            let each = now.since(began).as_secs_f64() * 1_000.0 / f64::from(gaps);
            record(req, choice, Work::Event, each);
            self.began = Some((now, ended));
        }
    }
}
