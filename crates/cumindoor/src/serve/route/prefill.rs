//! The prefill step of a request.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use coord::name::Upstream;
use coord::sched::Failure;

use super::{Outcome, PrefillResult, RequestTask, StepError, job};
use crate::serve::cell::Progress;
use crate::serve::engine::{CallError, Connection, PrefillCall};
use crate::serve::telemetry;

/// The fixed part of the timeout of a prefill, added to a multiple of its expected duration.
const PREFILL_TIMEOUT_MARGIN: Duration = Duration::from_secs(2);
/// The timeout of a prefill as a multiple of its expected duration.
const PREFILL_TIMEOUT_FACTOR: u32 = 4;

impl RequestTask {
    pub(super) async fn prefill(&mut self, upstream: Upstream) -> Result<(), StepError> {
        let Some(address) = self.context.table.address(&upstream) else {
            self.submission
                .report(Progress::PrefillFailed(Failure::Lost));
            return Ok(());
        };
        // The KV cache of an earlier attempt is no longer needed.
        self.cancel_prefill_result();
        let connection = match self.connect_and_confirm(address).await? {
            Ok(connection) => connection,
            Err(error) => {
                self.count_failure("prefill", error.failure());
                self.submission
                    .report(Progress::PrefillFailed(error.failure()));
                return Ok(());
            }
        };
        let call = self.prefill_call();
        let limit = self.prefill_timeout(&call.prompt);
        let id = call.id.clone();
        let dispatched_before = self.dispatched;
        self.engine_calls.add(upstream.clone(), address, id.clone());
        self.engine = Some(upstream.clone());
        self.set_dispatched(true);

        let engines = self.context.engines.clone();
        let (span, trace) = telemetry::hop("prefill", self.request.trace.as_deref());
        let start = Instant::now();
        let to = (address, connection);
        let exchange = engines.prefill(to, &call, Some(&trace), limit);
        let answered = self.run_until_interrupted(exchange).await;
        drop(span);

        match answered {
            Ok(Ok(prefilled)) => {
                self.prompt_tokens.get_or_insert(prefilled.prompt_tokens);
                let done = coord::sched::PrefillUsage {
                    prompt_tokens: prefilled.prompt_tokens,
                    cached_tokens: prefilled.cached_tokens,
                };
                self.prefill_result = Some(PrefillResult {
                    source: upstream,
                    address,
                    handle: prefilled.handle,
                    id,
                });
                self.context.telemetry.time("prefill.done", start.elapsed());
                self.submission.report(Progress::PrefillDone(done));
                Ok(())
            }
            Ok(Err(error)) => {
                self.close_failed_call(&upstream, &id, &error, dispatched_before);
                let failure = error.failure();
                self.count_failure("prefill", failure);
                self.submission.report(Progress::PrefillFailed(failure));
                self.end_if_once_only(&error)
            }
            Err(interrupt) => {
                self.engine_calls.cancel(&upstream, &id);
                Err(interrupt.into())
            }
        }
    }

    /// Opens the connection for a once-only request, then confirms its claim. Other requests need
    /// neither step here.
    ///
    /// The connection is opened first, because this may take longer than a claim is valid.
    async fn connect_and_confirm(
        &mut self,
        address: SocketAddr,
    ) -> Result<Result<Option<Connection>, CallError>, StepError> {
        if !self.claim.needs_confirmation() {
            return Ok(Ok(None));
        }
        let pool = self.context.engines.pool().clone();
        let connection = match self.run_until_interrupted(pool.connect(address)).await? {
            Ok(connection) => connection,
            Err(error) => return Ok(Err(error.into())),
        };
        let confirmed = self.claim.confirm().await;
        confirmed.map_err(|refusal| StepError::Ended(Outcome::Refused(refusal)))?;
        Ok(Ok(Some(connection)))
    }

    fn prefill_call(&self) -> PrefillCall {
        let mut prompt = self.request.prompt.clone();
        prompt.push_str(&self.delivered);
        PrefillCall {
            id: self.submission.engine_id(),
            prompt,
            priority: job::priority(self.spec.class),
        }
    }

    fn prefill_timeout(&self, prompt: &str) -> Duration {
        let group = self.context.table.group(&self.spec.group);
        let rate = group.map_or(self.context.options.prefill_rate, |g| g.prefill_rate);
        let rate = rate.max(1);
        let expected = f64::from(job::estimate_tokens(prompt)) / f64::from(rate);
        PREFILL_TIMEOUT_MARGIN + Duration::from_secs_f64(expected) * PREFILL_TIMEOUT_FACTOR
    }

    /// Counts a failed step in the metric of its cause.
    pub(super) fn count_failure(&self, step: &str, failure: Failure) {
        let cause = match failure {
            Failure::Full => "full",
            Failure::Evicted => "evicted",
            Failure::Lost => "lost",
            Failure::Stalled => "stalled",
        };
        let name = format!("{step}.failed.{cause}");
        self.context.telemetry.count(&name);
    }

    /// Cancels the completed prefill that has not been imported, if there is one.
    pub(super) fn cancel_prefill_result(&mut self) {
        if let Some(prefill_result) = self.prefill_result.take() {
            self.engine_calls
                .cancel(&prefill_result.source, &prefill_result.id);
        }
    }

    /// Closes a failed call. It is cancelled unless the engine certainly did not run it; in that
    /// case `dispatched` is set back to its value before the call.
    pub(super) fn close_failed_call(
        &mut self,
        upstream: &Upstream,
        id: &str,
        error: &CallError,
        dispatched_before: bool,
    ) {
        if error.not_run() {
            self.engine_calls.mark_released(upstream, id);
            self.set_dispatched(dispatched_before);
            return;
        }
        self.engine_calls.cancel(upstream, id);
    }

    /// Ends a once-only request if the engine may have run the failed call.
    pub(super) fn end_if_once_only(&mut self, error: &CallError) -> Result<(), StepError> {
        if !self.spec.once || !self.dispatched || error.not_run() {
            return Ok(());
        }
        let message = format!("the upstream failed after the request was sent: {error}");
        Err(StepError::Ended(Outcome::Refused(
            self.refusal("upstream-failed", &message),
        )))
    }
}
