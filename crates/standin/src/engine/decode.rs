//! `POST /v1/decode`: imports the KV cache of a prefill and streams the generated tokens.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Request, Response, StatusCode};
use serde::Serialize;
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::options::{Role, TokenFault};
use super::state::{ActiveRun, Shared};
use super::transfer::{self, ImportError};
use super::wire::{Decode, FinishEvent, TokenEvent};
use crate::http::{self, Body, ConnectionClosed, ErrorResponse, HandlerResult, error_response};
use crate::server::channel_body;
use crate::text;

pub(super) async fn handle(
    shared: Arc<Shared>,
    shutdown: CancellationToken,
    request: Request<Incoming>,
) -> HandlerResult {
    let call: Decode = match http::read_json(request).await {
        Ok(call) => call,
        Err(error) => return Ok(error.response()),
    };
    let slot = match admit(&shared, &call) {
        Ok(slot) => slot,
        Err(error) => return Ok(error.response()),
    };
    if shared.crash_on_poison(&call.prompt) {
        return std::future::pending().await;
    }
    let guard = shared
        .options
        .cancel_on_close
        .then(|| slot.cancelled.clone().drop_guard());
    let (response_sender, response) = oneshot::channel();
    let (sender, receiver) = mpsc::unbounded_channel();
    let stream = TokenStream {
        shared,
        call,
        slot,
        sender,
    };
    // The work runs in its own task, so that closing the connection does not end it unless
    // `cancel_on_close` is set.
    tokio::spawn(shutdown.run_until_cancelled_owned(stream.run(response_sender, receiver)));
    let response = response.await.map_err(|_| ConnectionClosed);
    if let Some(guard) = guard {
        guard.disarm();
    }
    response
}

fn stream_response(receiver: UnboundedReceiver<Bytes>) -> Response<Body> {
    let mut response = Response::new(channel_body(receiver));
    let event_stream = HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(CONTENT_TYPE, event_stream);
    response
}

/// A decode slot in use, which is released when the guard is dropped.
struct SlotGuard {
    shared: Arc<Shared>,
    number: u64,
    cancelled: CancellationToken,
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.shared.lock().decodes.remove(&self.number);
    }
}

fn admit(shared: &Arc<Shared>, call: &Decode) -> Result<SlotGuard, ErrorResponse> {
    let mut state = shared.lock();
    if state.role == Role::Prefill {
        return Err(ErrorResponse::new(StatusCode::MISDIRECTED_REQUEST, "role"));
    }
    if state.was_cancelled(&call.id) {
        return Err(ErrorResponse::new(StatusCode::CONFLICT, "cancelled"));
    }
    if state.faults.reject_all || state.slots_used() >= shared.options.slots {
        state.counts.rejected += 1;
        return Err(ErrorResponse::new(StatusCode::TOO_MANY_REQUESTS, "no slot"));
    }
    state.counts.decodes += 1;
    state.count_run(&call.id, &call.prompt, |runs| runs.decodes += 1);
    let cancelled = CancellationToken::new();
    let number = state.next_number();
    let run = ActiveRun {
        id: call.id.clone(),
        cancelled: cancelled.clone(),
    };
    state.decodes.insert(number, run);
    let slots_used = state.slots_used();
    state.counts.slots_peak = state.counts.slots_peak.max(slots_used);
    Ok(SlotGuard {
        shared: shared.clone(),
        number,
        cancelled,
    })
}

fn import_error_response(shared: &Shared, error: ImportError) -> Response<Body> {
    match error {
        ImportError::Evicted => {
            shared.lock().counts.evicted_imports += 1;
            error_response(StatusCode::GONE, "evicted")
        }
        ImportError::WrongPrompt => {
            error_response(StatusCode::BAD_REQUEST, "handle of another prompt")
        }
        ImportError::Source(text) => {
            error_response(StatusCode::BAD_GATEWAY, &format!("import: {text}"))
        }
    }
}

/// The generation of the tokens of one request.
struct TokenStream {
    shared: Arc<Shared>,
    call: Decode,
    slot: SlotGuard,
    sender: UnboundedSender<Bytes>,
}

impl TokenStream {
    async fn run(
        self,
        response_sender: oneshot::Sender<Response<Body>>,
        receiver: UnboundedReceiver<Bytes>,
    ) {
        let cancelled = self.slot.cancelled.clone();
        let imported = tokio::select! {
            imported = transfer::import(&self.shared, &self.call) => {
                imported.map_err(|error| import_error_response(&self.shared, error))
            }
            () = cancelled.cancelled() => Err(error_response(StatusCode::CONFLICT, "cancelled")),
        };
        if let Err(response) = imported {
            drop(self);
            let _ = response_sender.send(response);
            return;
        }
        let _ = response_sender.send(stream_response(receiver));
        let finish = tokio::select! {
            finish = self.generate() => finish,
            () = cancelled.cancelled() => Some(("cancelled", 0)),
        };
        // The slot is released before the client can see the last event.
        let Self {
            call, slot, sender, ..
        } = self;
        drop(slot);
        if let Some((finish, output_tokens)) = finish {
            let event = FinishEvent {
                id: &call.id,
                reason: finish,
                prompt_tokens: text::prompt_tokens(&call.prompt),
                output_tokens,
            };
            let _ = sender.send(sse(&event));
        }
    }

    /// Sends the tokens and returns the finish reason and the length of the answer.
    ///
    /// Returns `None` if the stream ends without a finish event.
    async fn generate(&self) -> Option<(&'static str, u32)> {
        let answer_tokens = self.shared.options.answer_tokens.unwrap_or(u32::MAX);
        let end = self.call.max_tokens.min(answer_tokens);
        let seed = text::answer_seed(&self.call.prompt);
        let mut due = Instant::now();
        let mut delayed = None;
        for index in self.call.offset..end {
            due += self.step_duration();
            tokio::time::sleep_until(due).await;
            self.shared.wait_while(|faults| faults.stall_work).await;
            let (fault, cut_after) = {
                let mut state = self.shared.lock();
                state.counts.output_tokens += 1;
                (state.faults.token_fault, state.faults.cut_after)
            };
            if cut_after.is_some_and(|tokens| index - self.call.offset >= tokens) {
                return None;
            }
            let token = text::seeded_token(seed, index);
            let event = sse(&TokenEvent {
                id: &self.call.id,
                index,
                text: &token,
            });
            self.send_with_fault(fault, index, event, &mut delayed);
            if self.sender.is_closed() && self.record_unread_token() {
                return None;
            }
        }
        if let Some(event) = delayed {
            let _ = self.sender.send(event);
        }
        self.shared.lock().counts.decodes_done += 1;
        let finish = if answer_tokens <= self.call.max_tokens {
            "stop"
        } else {
            "length"
        };
        Some((finish, end))
    }

    fn step_duration(&self) -> Duration {
        let options = &self.shared.options;
        let others = self.shared.lock().slots_used().saturating_sub(1);
        options.step + options.step_per_stream * others
    }

    /// Counts a token whose client has disconnected; returns whether that ends the generation.
    fn record_unread_token(&self) -> bool {
        self.shared.lock().counts.unread_tokens += 1;
        self.shared.options.cancel_on_close
    }

    fn send_with_fault(
        &self,
        fault: TokenFault,
        index: u32,
        event: Bytes,
        delayed: &mut Option<Bytes>,
    ) {
        let is_nth = |n: u32| n > 0 && (index + 1).is_multiple_of(n);
        let send = |event: Bytes| {
            let _ = self.sender.send(event);
        };
        match fault {
            TokenFault::Repeat(n) if is_nth(n) => send(event.clone()),
            TokenFault::Skip(n) if is_nth(n) => return,
            TokenFault::Swap(n) if is_nth(n) => {
                *delayed = Some(event);
                return;
            }
            TokenFault::Interleave(n) if is_nth(n) => {
                send(sse(&TokenEvent {
                    id: "another-request",
                    index,
                    text: " stray",
                }));
            }
            _ => {}
        }
        send(event);
        if let Some(event) = delayed.take() {
            send(event);
        }
    }
}

/// Encodes a server-sent event whose data is JSON.
fn sse(event: &impl Serialize) -> Bytes {
    let json = serde_json::to_string(event).unwrap_or_default();
    Bytes::from(format!("data: {json}\n\n"))
}
