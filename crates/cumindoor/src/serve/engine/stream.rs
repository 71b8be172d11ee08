//! The output stream of a decode engine.

use std::net::SocketAddr;

use bytes::{Buf, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::Deserialize;

use super::pool::{Lease, PooledResponse, describe};
use super::{CallError, EngineClient};

/// Bytes of one event at most; a token is far smaller.
const EVENT_LIMIT: usize = 256 * 1024;

/// One event of the stream that belongs to the request and is in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamEvent {
    /// The next output token.
    Token(String),
    /// The end of the output.
    Finish {
        /// Why it ended: `stop` or `length`.
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

    /// Waits for more events and appends them to `pieces`; may append none.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::Lost`] if the stream ends without its last event, skips a token or
    /// is malformed, and [`CallError::Stalled`] if it is silent for too long. What was appended
    /// before the error is valid.
    pub async fn next(&mut self, pieces: &mut Vec<StreamEvent>) -> Result<(), CallError> {
        let limit = self.client.timeouts().stall;
        let frame = self.body.frame();
        let frame = self
            .client
            .wait_with_probes(self.addr, &self.id, limit, frame)
            .await?;
        let Some(frame) = frame else {
            return Err(CallError::Lost("the stream ended early".to_owned()));
        };
        let frame = frame.map_err(|error| CallError::Lost(describe(&error)))?;
        let Ok(data) = frame.into_data() else {
            return Ok(());
        };
        self.buffer.extend_from_slice(&data);
        self.parser.feed(&mut self.buffer, pieces)
    }

    /// Reads the end of the answer after its last event, so that the connection is kept.
    pub fn release(mut self) {
        let Some(lease) = self.lease.take() else {
            return;
        };
        let times = self.client.timeouts().probe_after;
        tokio::spawn(async move {
            let end = tokio::time::timeout(times, self.body.frame()).await;
            if let Ok(None) = end {
                lease.release();
            }
        });
    }
}

/// Splits bytes into events and puts them in order.
#[derive(Debug)]
pub(super) struct Parser {
    id: String,
    expected: u32,
}

impl Parser {
    pub(super) fn new(id: String, offset: u32) -> Self {
        Self {
            id,
            expected: offset,
        }
    }

    pub(super) fn feed(
        &mut self,
        buffer: &mut BytesMut,
        pieces: &mut Vec<StreamEvent>,
    ) -> Result<(), CallError> {
        while let Some(end) = buffer.iter().position(|byte| *byte == b'\n') {
            let line = buffer.split_to(end);
            buffer.advance(1);
            if let Some(text) = line.strip_prefix(b"data:") {
                pieces.extend(self.event(text)?);
            }
        }
        if buffer.len() > EVENT_LIMIT {
            return Err(CallError::Lost("an event is too long".to_owned()));
        }
        Ok(())
    }

    fn event(&mut self, text: &[u8]) -> Result<Option<StreamEvent>, CallError> {
        let parsed: Result<Event, _> = serde_json::from_slice(text.trim_ascii());
        let event = parsed.map_err(|error| CallError::Lost(format!("malformed event: {error}")))?;
        if event.id != self.id {
            // An answer to another request: its own stream counts, not this one.
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
