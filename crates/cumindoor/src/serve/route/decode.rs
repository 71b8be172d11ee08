//! The decode step of a request: import, output stream, resume.

use std::net::SocketAddr;

use coord::name::Upstream;
use coord::sched::Failure;

use super::{End, Event, Interrupt, Run, Stop, Usage, job};
use crate::serve::cell::Progress;
use crate::serve::engine::{CallError, DecodeCall, StreamEvent, TokenStream};
use crate::serve::telemetry;

impl Run {
    pub(super) async fn decode(
        &mut self,
        upstream: Upstream,
        source: &Upstream,
    ) -> Result<(), Stop> {
        let Some(address) = self.context.table.address(&upstream) else {
            self.drop_ready();
            self.report_failure(Failure::Lost, 0);
            return Ok(());
        };
        let Some(call) = self.decode_call(source) else {
            self.report_failure(Failure::Evicted, 0);
            return Ok(());
        };
        let before = self.dispatched;
        self.asked.add(upstream.clone(), address, call.id.clone());
        self.current = Some(upstream.clone());
        self.set_dispatched(true);

        match self.stream(address, &call).await {
            Ok(usage) => {
                self.asked.mark_released(&upstream, &call.id);
                Err(Stop::End(End::Finished(usage)))
            }
            Err(Cut::Failed(error)) => {
                self.close_call(&upstream, &call.id, &error, before);
                self.after_cut(&error, call.offset);
                self.end_once(&error)
            }
            Err(Cut::Interrupted(interrupt)) => {
                self.asked.cancel(&upstream, &call.id);
                Err(interrupt.into())
            }
        }
    }

    fn decode_call(&self, source: &Upstream) -> Option<DecodeCall> {
        let ready = self.prefilled.as_ref()?;
        if ready.source != *source {
            return None;
        }
        Some(DecodeCall {
            id: self.ticket.engine_id(),
            source: ready.address.to_string(),
            handle: ready.handle.clone(),
            prompt: self.ask.prompt.clone(),
            offset: self.ticket.job.offset,
            max_tokens: self.ask.max_tokens,
            priority: job::priority(self.spec.class),
        })
    }

    async fn stream(&mut self, address: SocketAddr, call: &DecodeCall) -> Result<Usage, Cut> {
        let engines = self.context.engines.clone();
        let (_span, trace) = telemetry::hop("decode", self.ask.trace.as_deref());
        // Boxed, so that a stream does not keep the room of its larger start.
        let opening = Box::pin(engines.decode(address, call, Some(&trace)));
        let mut stream = self.watch(opening).await??;
        self.started();
        let mut pieces = Vec::new();
        loop {
            let read = self.watch_stream(&mut stream, &mut pieces).await?;
            // Tokens that arrived before a cut are valid.
            let finished = self.deliver(&mut pieces).await?;
            if let Some(usage) = finished {
                stream.release();
                return Ok(usage);
            }
            read?;
        }
    }

    /// Notes that the result was imported: the prefill engine holds nothing any more.
    fn started(&mut self) {
        if let Some(ready) = self.prefilled.take() {
            self.asked.mark_released(&ready.source, &ready.id);
        }
        self.ticket.report(Progress::DecodeStarted);
    }

    /// Reads on, also when the cell is lost: a running stream does not need it.
    async fn watch_stream(
        &mut self,
        stream: &mut TokenStream,
        pieces: &mut Vec<StreamEvent>,
    ) -> Result<Result<(), CallError>, Interrupt> {
        loop {
            match self.watch(stream.next(pieces)).await {
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
            output_tokens: self.ticket.job.offset,
        }))
    }

    async fn send_tokens(&mut self, tokens: Vec<String>) -> Result<(), Interrupt> {
        if tokens.is_empty() {
            return Ok(());
        }
        if self.ticket.job.offset == 0 {
            let waited = self.started.elapsed();
            self.context.telemetry.time("first-token", waited);
        }
        for token in &tokens {
            self.delivered.push_str(token);
        }
        let count = u32::try_from(tokens.len()).unwrap_or(u32::MAX);
        self.ticket.job.offset = self.ticket.job.offset.saturating_add(count);
        let sent = self.events.send(Event::Tokens(tokens)).await;
        sent.map_err(|_| Interrupt::CallerGone)
    }

    fn after_cut(&mut self, error: &CallError, start: u32) {
        let job = &mut self.ticket.job;
        job.prompt_tokens = job::estimate_tokens(&self.ask.prompt).saturating_add(job.offset);
        job.max_tokens = self.ask.max_tokens.saturating_sub(job.offset);
        let delivered = job.offset - start;
        if matches!(error, CallError::Evicted) {
            self.prefilled = None;
        }
        self.count_failure("decode", error.failure());
        self.report_failure(error.failure(), delivered);
    }

    fn report_failure(&self, failure: Failure, delivered: u32) {
        self.ticket
            .report(Progress::DecodeFailed { failure, delivered });
    }
}

/// Why a stream did not reach its end.
enum Cut {
    Failed(CallError),
    Interrupted(Interrupt),
}

impl From<CallError> for Cut {
    fn from(error: CallError) -> Self {
        Self::Failed(error)
    }
}

impl From<Interrupt> for Cut {
    fn from(interrupt: Interrupt) -> Self {
        Self::Interrupted(interrupt)
    }
}
