//! The decode step of a request: the KV cache is imported and the output is streamed.

use std::net::SocketAddr;

use coord::name::Upstream;
use coord::sched::Failure;

use super::{Event, Interrupt, Outcome, RequestTask, StepError, Usage, job};
use crate::serve::cell::Progress;
use crate::serve::engine::{CallError, DecodeCall, StreamEvent, TokenStream};
use crate::serve::telemetry;

impl RequestTask {
    pub(super) async fn decode(
        &mut self,
        upstream: Upstream,
        source: &Upstream,
    ) -> Result<(), StepError> {
        let Some(address) = self.context.table.address(&upstream) else {
            self.cancel_prefill_result();
            self.report_failure(Failure::Lost, 0);
            return Ok(());
        };
        let Some(call) = self.decode_call(source) else {
            self.report_failure(Failure::Evicted, 0);
            return Ok(());
        };
        let dispatched_before = self.dispatched;
        self.engine_calls
            .add(upstream.clone(), address, call.id.clone());
        self.engine = Some(upstream.clone());
        self.set_dispatched(true);

        match self.stream(address, &call).await {
            Ok(usage) => {
                self.engine_calls.mark_released(&upstream, &call.id);
                Err(StepError::Ended(Outcome::Finished(usage)))
            }
            Err(StreamError::Failed(error)) => {
                self.close_failed_call(&upstream, &call.id, &error, dispatched_before);
                self.record_decode_failure(&error, call.offset);
                self.end_if_once_only(&error)
            }
            Err(StreamError::Interrupted(interrupt)) => {
                self.engine_calls.cancel(&upstream, &call.id);
                Err(interrupt.into())
            }
        }
    }

    fn decode_call(&self, source: &Upstream) -> Option<DecodeCall> {
        let prefill_result = self.prefill_result.as_ref()?;
        if prefill_result.source != *source {
            return None;
        }
        Some(DecodeCall {
            id: self.submission.engine_id(),
            source: prefill_result.address.to_string(),
            handle: prefill_result.handle.clone(),
            prompt: self.request.prompt.clone(),
            offset: self.submission.job.offset,
            max_tokens: self.request.max_tokens,
            priority: job::priority(self.spec.class),
        })
    }

    async fn stream(
        &mut self,
        address: SocketAddr,
        call: &DecodeCall,
    ) -> Result<Usage, StreamError> {
        let engines = self.context.engines.clone();
        let (_span, trace) = telemetry::hop("decode", self.request.trace.as_deref());
        // Boxed, so that the task does not reserve memory for the larger opening future while it
        // streams the output.
        let opening = Box::pin(engines.decode(address, call, Some(&trace)));
        let mut stream = self.run_until_interrupted(opening).await??;
        self.record_decode_start();
        let mut pieces = Vec::new();
        loop {
            let read = self.read_stream(&mut stream, &mut pieces).await?;
            // Tokens that arrived before a failure are valid, so they are delivered first.
            let finished = self.deliver(&mut pieces).await?;
            if let Some(usage) = finished {
                stream.release();
                return Ok(usage);
            }
            read?;
        }
    }

    /// Reports that the KV cache was imported. The prefill engine has freed it, so its call needs
    /// no cancel any more.
    fn record_decode_start(&mut self) {
        if let Some(prefill_result) = self.prefill_result.take() {
            self.engine_calls
                .mark_released(&prefill_result.source, &prefill_result.id);
        }
        self.submission.report(Progress::DecodeStarted);
    }

    /// Reads the next pieces of the stream. It continues if the cell's scheduler fails, because a
    /// running stream does not need it.
    async fn read_stream(
        &mut self,
        stream: &mut TokenStream,
        pieces: &mut Vec<StreamEvent>,
    ) -> Result<Result<(), CallError>, Interrupt> {
        loop {
            match self.run_until_interrupted(stream.next(pieces)).await {
                Err(Interrupt::CellLost) => {}
                other => return other,
            }
        }
    }

    async fn deliver(&mut self, pieces: &mut Vec<StreamEvent>) -> Result<Option<Usage>, Interrupt> {
        let mut tokens = Vec::new();
        let mut finished = None;
        for piece in pieces.drain(..) {
            match piece {
                StreamEvent::Token(token) => tokens.push(token),
                StreamEvent::Finish {
                    reason,
                    prompt_tokens,
                } => finished = Some((reason, prompt_tokens)),
            }
        }
        self.send_tokens(tokens).await?;
        Ok(finished.map(|(reason, prompt_tokens)| Usage {
            reason,
            prompt_tokens: self.prompt_tokens.unwrap_or(prompt_tokens),
            output_tokens: self.submission.job.offset,
        }))
    }

    async fn send_tokens(&mut self, tokens: Vec<String>) -> Result<(), Interrupt> {
        if tokens.is_empty() {
            return Ok(());
        }
        if self.submission.job.offset == 0 {
            let waited = self.started.elapsed();
            self.context.telemetry.time("first-token", waited);
        }
        for token in &tokens {
            self.delivered.push_str(token);
        }
        let count = u32::try_from(tokens.len()).unwrap_or(u32::MAX);
        self.submission.job.offset = self.submission.job.offset.saturating_add(count);
        let sent = self.events.send(Event::Tokens(tokens)).await;
        sent.map_err(|_| Interrupt::CallerGone)
    }

    /// Reports a failed decode, and adjusts the job so that a resubmission continues after the
    /// delivered tokens.
    fn record_decode_failure(&mut self, error: &CallError, start: u32) {
        let job = &mut self.submission.job;
        job.prompt_tokens = job::estimate_tokens(&self.request.prompt).saturating_add(job.offset);
        job.max_tokens = self.request.max_tokens.saturating_sub(job.offset);
        let delivered = job.offset - start;
        if matches!(error, CallError::Evicted) {
            self.prefill_result = None;
        }
        self.count_failure("decode", error.failure());
        self.report_failure(error.failure(), delivered);
    }

    fn report_failure(&self, failure: Failure, delivered: u32) {
        self.submission
            .report(Progress::DecodeFailed { failure, delivered });
    }
}

/// Why an output stream ended early.
enum StreamError {
    Failed(CallError),
    Interrupted(Interrupt),
}

impl From<CallError> for StreamError {
    fn from(error: CallError) -> Self {
        Self::Failed(error)
    }
}

impl From<Interrupt> for StreamError {
    fn from(interrupt: Interrupt) -> Self {
        Self::Interrupted(interrupt)
    }
}
