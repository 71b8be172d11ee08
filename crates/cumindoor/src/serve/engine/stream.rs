//! The token stream of a decode engine.

use std::net::SocketAddr;

use bytes::{Buf, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::Deserialize;

use super::pool::{Lease, PooledResponse, error_chain};
use super::{CallError, EngineClient};

/// Largest event; the event of one token is much smaller.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// An event of the stream, checked to belong to the request and to be in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamEvent {
    /// The next output token.
    Token(String),
    /// The end of the output.
    Finish {
        /// Why the output ended: `stop` or `length`.
        reason: String,
        /// Tokens of the prompt.
        prompt_tokens: u32,
    },
}

#[derive(Debug, Deserialize)]
struct Event {
    id: String,
    index: Option<u32>,
    token: Option<String>,
    finish: Option<String>,
    #[serde(default)]
    prompt_tokens: u32,
    output_tokens: Option<u32>,
}

/// The output of one decode call.
#[derive(Debug)]
pub struct TokenStream {
    client: EngineClient,
    addr: SocketAddr,
    id: String,
    body: Incoming,
    lease: Option<Lease>,
    buffer: BytesMut,
    parser: Parser,
}

impl TokenStream {
    pub(super) fn new(
        connected: PooledResponse,
        client: EngineClient,
        addr: SocketAddr,
        id: String,
        offset: u32,
    ) -> Self {
        let parser = Parser::new(id.clone(), offset);
        Self {
            client,
            addr,
            id,
            body: connected.response.into_body(),
            lease: Some(connected.lease),
            buffer: BytesMut::new(),
            parser,
        }
    }

    /// Waits for more bytes and appends the events that they complete to `events`; may append none.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::Lost`] if the stream ends without its last event, skips a token or
    /// is malformed, and [`CallError::Stalled`] if it delivers nothing for too long. The events
    /// appended before the error are valid.
    pub async fn next(&mut self, events: &mut Vec<StreamEvent>) -> Result<(), CallError> {
        let limit = self.client.timeouts().stall;
        let frame = self.body.frame();
        let frame = self
            .client
            .wait_with_probes(self.addr, &self.id, limit, frame)
            .await?;
        let Some(frame) = frame else {
            return Err(CallError::Lost("the stream ended early".to_owned()));
        };
        let frame = frame.map_err(|error| CallError::Lost(error_chain(&error)))?;
        let Ok(data) = frame.into_data() else {
            return Ok(());
        };
        self.buffer.extend_from_slice(&data);
        self.parser.feed(&mut self.buffer, events)
    }

    /// Reads the end of the response after its last event, so that the connection can be reused.
    pub fn release(mut self) {
        let Some(lease) = self.lease.take() else {
            return;
        };
        let limit = self.client.timeouts().probe_after;
        tokio::spawn(async move {
            let end = tokio::time::timeout(limit, self.body.frame()).await;
            if let Ok(None) = end {
                lease.release();
            }
        });
    }
}

/// Parses the server-sent events of a stream and checks their order.
#[derive(Debug)]
pub(super) struct Parser {
    id: String,
    expected: u32,
    /// Bytes of an incomplete line that contain no line end, so that they are searched only once.
    searched: usize,
}

impl Parser {
    pub(super) fn new(id: String, offset: u32) -> Self {
        Self {
            id,
            expected: offset,
            searched: 0,
        }
    }

    pub(super) fn feed(
        &mut self,
        buffer: &mut BytesMut,
        events: &mut Vec<StreamEvent>,
    ) -> Result<(), CallError> {
        while let Some(end) = buffer[self.searched..].iter().position(|b| *b == b'\n') {
            let line = buffer.split_to(self.searched + end);
            buffer.advance(1);
            self.searched = 0;
            if let Some(text) = line.strip_prefix(b"data:") {
                events.extend(self.event(text)?);
            }
        }
        self.searched = buffer.len();
        if buffer.len() > MAX_EVENT_BYTES {
            return Err(CallError::Lost("an event is too long".to_owned()));
        }
        Ok(())
    }

    fn event(&mut self, text: &[u8]) -> Result<Option<StreamEvent>, CallError> {
        let parsed: Result<Event, _> = serde_json::from_slice(text.trim_ascii());
        let event = parsed.map_err(|error| CallError::Lost(format!("malformed event: {error}")))?;
        if event.id != self.id {
            // The event belongs to another request, which has its own stream.
            return Ok(None);
        }
        if let Some(reason) = event.finish {
            return self.finish(reason, event.prompt_tokens, event.output_tokens);
        }
        let (Some(index), Some(token)) = (event.index, event.token) else {
            return Err(CallError::Lost("an event without a token".to_owned()));
        };
        if index < self.expected {
            return Ok(None);
        }
        if index > self.expected {
            let text = format!("token {index} arrived instead of {}", self.expected);
            return Err(CallError::Lost(text));
        }
        self.expected += 1;
        Ok(Some(StreamEvent::Token(token)))
    }

    fn finish(
        &self,
        reason: String,
        prompt_tokens: u32,
        output_tokens: Option<u32>,
    ) -> Result<Option<StreamEvent>, CallError> {
        if reason != "stop" && reason != "length" {
            return Err(CallError::Lost(format!(
                "the engine ended the stream: {reason}"
            )));
        }
        if output_tokens.is_some_and(|total| total > self.expected) {
            return Err(CallError::Lost("the last tokens are missing".to_owned()));
        }
        Ok(Some(StreamEvent::Finish {
            reason,
            prompt_tokens,
        }))
    }
}

#[cfg(test)]
mod tests;
