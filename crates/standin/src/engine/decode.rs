//! `POST /v1/decode`: imports a prefill's result and streams the answer.

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
use super::state::{Run, Shared};
use super::transfer::{self, ImportError};
use super::wire::{Decode, Finish, Token};
use crate::http::{self, Answer, Body, Closed, Refusal, error_answer};
use crate::server::channel_body;
use crate::text;

pub(super) async fn call(
    shared: Arc<Shared>,
    life: CancellationToken,
    request: Request<Incoming>,
) -> Answer {
    let call: Decode = match http::read_json(request).await {
        Ok(call) => call,
        Err(refusal) => return Ok(refusal.answer()),
    };
    let slot = match admit(&shared, &call) {
        Ok(slot) => slot,
        Err(refusal) => return Ok(refusal.answer()),
    };
    if shared.crash_on_poison(&call.prompt) {
        return std::future::pending().await;
    }
    let guard = shared
        .options
        .cancel_on_close
        .then(|| slot.cancelled.clone().drop_guard());
    let (started, answer) = oneshot::channel();
    let (sender, receiver) = mpsc::unbounded_channel();
    let stream = Stream {
        shared,
        call,
        slot,
        sender,
    };
    // A task of its own: a closed connection does not end the work unless the options say so.
    tokio::spawn(life.run_until_cancelled_owned(stream.run(started, receiver)));
    let answer = answer.await.map_err(|_| Closed);
    if let Some(guard) = guard {
        guard.disarm();
    }
    answer
}

fn stream_answer(receiver: UnboundedReceiver<Bytes>) -> Response<Body> {
    let mut answer = Response::new(channel_body(receiver));
    let events = HeaderValue::from_static("text/event-stream");
    answer.headers_mut().insert(CONTENT_TYPE, events);
    answer
}

/// An occupied slot; dropping it frees the slot.
struct Slot {
    shared: Arc<Shared>,
    number: u64,
    cancelled: CancellationToken,
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.shared.lock().decodes.remove(&self.number);
    }
}

fn admit(shared: &Arc<Shared>, call: &Decode) -> Result<Slot, Refusal> {
    let mut state = shared.lock();
    if state.role == Role::Prefill {
        return Err(Refusal::new(StatusCode::MISDIRECTED_REQUEST, "role"));
    }
    if state.was_cancelled(&call.id) {
        return Err(Refusal::new(StatusCode::CONFLICT, "cancelled"));
    }
    if state.fault.full || state.slots_used() >= shared.options.slots {
        state.counts.full += 1;
        return Err(Refusal::new(StatusCode::TOO_MANY_REQUESTS, "no slot"));
    }
    state.counts.decodes += 1;
    state.count_run(&call.id, &call.prompt, |runs| runs.decodes += 1);
    let cancelled = CancellationToken::new();
    let number = state.next();
    let run = Run {
        id: call.id.clone(),
        cancelled: cancelled.clone(),
    };
    state.decodes.insert(number, run);
    let used = state.slots_used();
    state.counts.slots_peak = state.counts.slots_peak.max(used);
    Ok(Slot {
        shared: shared.clone(),
        number,
        cancelled,
    })
}

fn import_answer(shared: &Shared, error: ImportError) -> Response<Body> {
    match error {
        ImportError::Evicted => {
            shared.lock().counts.evicted += 1;
            error_answer(StatusCode::GONE, "evicted")
        }
        ImportError::WrongPrompt => {
            error_answer(StatusCode::BAD_REQUEST, "handle of another prompt")
        }
        ImportError::Source(text) => {
            error_answer(StatusCode::BAD_GATEWAY, &format!("import: {text}"))
        }
    }
}

/// The generation of one answer.
struct Stream {
    shared: Arc<Shared>,
    call: Decode,
    slot: Slot,
    sender: UnboundedSender<Bytes>,
}

impl Stream {
    async fn run(
        self,
        started: oneshot::Sender<Response<Body>>,
        receiver: UnboundedReceiver<Bytes>,
    ) {
        let cancelled = self.slot.cancelled.clone();
        let imported = tokio::select! {
            imported = transfer::import(&self.shared, &self.call) => {
                imported.map_err(|error| import_answer(&self.shared, error))
            }
            () = cancelled.cancelled() => Err(error_answer(StatusCode::CONFLICT, "cancelled")),
        };
        if let Err(answer) = imported {
            drop(self);
            let _ = started.send(answer);
            return;
        }
        let _ = started.send(stream_answer(receiver));
        let finish = tokio::select! {
            finish = self.generate() => finish,
            () = cancelled.cancelled() => Some(("cancelled", 0)),
        };
        // The slot is free before the last event is visible.
        let Self {
            call, slot, sender, ..
        } = self;
        drop(slot);
        if let Some((finish, output_tokens)) = finish {
            let event = Finish {
                id: &call.id,
                reason: finish,
                prompt_tokens: text::prompt_tokens(&call.prompt),
                output_tokens,
            };
            let _ = sender.send(sse(&event));
        }
    }

    /// Sends the tokens; returns the end's reason and the answer's length, or `None` if the
    /// stream is cut without an end.
    async fn generate(&self) -> Option<(&'static str, u32)> {
        let natural = self.shared.options.answer_tokens.unwrap_or(u32::MAX);
        let end = self.call.max_tokens.min(natural);
        let seed = text::answer_seed(&self.call.prompt);
        let mut due = Instant::now();
        let mut swapped = None;
        for index in self.call.offset..end {
            due += self.step();
            tokio::time::sleep_until(due).await;
            self.shared.wait_while(|fault| fault.stall_work).await;
            let (fault, cut_after) = {
                let mut state = self.shared.lock();
                state.counts.output_tokens += 1;
                (state.fault.tokens, state.fault.cut_after)
            };
            if cut_after.is_some_and(|after| index - self.call.offset >= after) {
                return None;
            }
            let token = text::seeded_token(seed, index);
            let event = sse(&Token {
                id: &self.call.id,
                index,
                text: &token,
            });
            self.send_faulty(fault, index, event, &mut swapped);
            if self.sender.is_closed() && self.reader_gone() {
                return None;
            }
        }
        if let Some(event) = swapped {
            let _ = self.sender.send(event);
        }
        self.shared.lock().counts.decodes_done += 1;
        let finish = if natural <= self.call.max_tokens {
            "stop"
        } else {
            "length"
        };
        Some((finish, end))
    }

    fn step(&self) -> Duration {
        let options = &self.shared.options;
        let others = self.shared.lock().slots_used().saturating_sub(1);
        options.step + options.step_per_stream * others
    }

    /// Counts a token that nobody reads; returns whether the work ends because of that.
    fn reader_gone(&self) -> bool {
        self.shared.lock().counts.unread_tokens += 1;
        self.shared.options.cancel_on_close
    }

    fn send_faulty(
        &self,
        fault: TokenFault,
        index: u32,
        event: Bytes,
        swapped: &mut Option<Bytes>,
    ) {
        let hit = |n: u32| n > 0 && (index + 1).is_multiple_of(n);
        let send = |event: Bytes| {
            let _ = self.sender.send(event);
        };
        match fault {
            TokenFault::Repeat(n) if hit(n) => send(event.clone()),
            TokenFault::Skip(n) if hit(n) => return,
            TokenFault::Swap(n) if hit(n) => {
                *swapped = Some(event);
                return;
            }
            TokenFault::Interleave(n) if hit(n) => {
                send(sse(&Token {
                    id: "another-request",
                    index,
                    text: " stray",
                }));
            }
            _ => {}
        }
        send(event);
        if let Some(event) = swapped.take() {
            send(event);
        }
    }
}

fn sse(event: &impl Serialize) -> Bytes {
    let json = serde_json::to_string(event).unwrap_or_default();
    Bytes::from(format!("data: {json}\n\n"))
}
