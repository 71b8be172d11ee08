//! Responses to model requests, as one JSON document or as server-sent events.

use std::time::{SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use futures::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use hyper::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde_json::json;
use tokio::sync::mpsc;

use super::parse::{Form, Parsed};
use crate::serve::engine::{BodyError, BoxedBody, full_body};
use crate::serve::refusal::Refusal;
use crate::serve::route::{Event, Usage};

/// A response to a caller.
pub(super) type CallerResponse = Response<BoxedBody>;

/// The values that all parts of one response share.
struct ResponseInfo {
    form: Form,
    model: String,
    id: String,
    created: u64,
    usage_event: bool,
}

impl ResponseInfo {
    fn new(parsed: &Parsed) -> Self {
        let id_prefix = match parsed.form {
            Form::Chat => "chatcmpl",
            Form::Completion => "cmpl",
        };
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            form: parsed.form,
            model: parsed.model.clone(),
            id: format!("{id_prefix}-{}", uuid::Uuid::new_v4().simple()),
            created: now.map_or(0, |since| since.as_secs()),
            usage_event: parsed.usage_event,
        }
    }
}

/// Returns the response that reports a refusal.
pub(super) fn refuse(refusal: &Refusal) -> CallerResponse {
    let mut response = json_response(refusal.status, refusal.json());
    if let Some(after) = refusal.retry_after {
        let seconds = after.as_millis().div_ceil(1_000).max(1);
        if let Ok(value) = HeaderValue::from_str(&seconds.to_string()) {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    response
}

/// Returns a JSON response.
pub(super) fn json_response(status: StatusCode, body: impl Into<Bytes>) -> CallerResponse {
    let mut response = Response::new(full_body(body));
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

/// Builds the response from the events of a request, streamed if the caller asked for a stream.
pub(super) async fn respond(parsed: &Parsed, events: mpsc::Receiver<Event>) -> CallerResponse {
    let info = ResponseInfo::new(parsed);
    if parsed.stream {
        return stream_events(info, events).await;
    }
    collect_response(&info, events).await
}

fn task_ended() -> Refusal {
    Refusal::unknown("internal", "the request's task ended without an answer")
}

async fn collect_response(
    info: &ResponseInfo,
    mut events: mpsc::Receiver<Event>,
) -> CallerResponse {
    let mut text = String::new();
    loop {
        match events.recv().await {
            Some(Event::Tokens(tokens)) => text.extend(tokens),
            Some(Event::Finish(usage)) => {
                let body = response_json(info, &text, &usage);
                return json_response(StatusCode::OK, body);
            }
            Some(Event::Fail(refusal)) => return refuse(&refusal),
            None => return refuse(&task_ended()),
        }
    }
}

fn response_json(info: &ResponseInfo, text: &str, usage: &Usage) -> String {
    let choice = match info.form {
        Form::Chat => json!({
            "index": 0,
            "message": {"role": "assistant", "content": text},
            "logprobs": null,
            "finish_reason": usage.reason,
        }),
        Form::Completion => json!({
            "index": 0,
            "text": text,
            "logprobs": null,
            "finish_reason": usage.reason,
        }),
    };
    let object = match info.form {
        Form::Chat => "chat.completion",
        Form::Completion => "text_completion",
    };
    json!({
        "id": info.id,
        "object": object,
        "created": info.created,
        "model": info.model,
        "choices": [choice],
        "usage": usage_json(usage),
    })
    .to_string()
}

fn usage_json(usage: &Usage) -> serde_json::Value {
    json!({
        "prompt_tokens": usage.prompt_tokens,
        "completion_tokens": usage.output_tokens,
        "total_tokens": usage.prompt_tokens.saturating_add(usage.output_tokens),
    })
}

/// Streams the events of a request.
///
/// The response head is sent only after the first event has arrived, because a refusal needs
/// another status.
async fn stream_events(info: ResponseInfo, mut events: mpsc::Receiver<Event>) -> CallerResponse {
    let first = match events.recv().await {
        Some(Event::Fail(refusal)) => return refuse(&refusal),
        None => return refuse(&task_ended()),
        Some(event) => event,
    };
    let encoder = EventEncoder::new(&info);
    let state = (Some(first), events, encoder);
    let frames = stream::unfold(state, |(first, mut events, mut encoder)| async move {
        if encoder.ended {
            return None;
        }
        let event = match first {
            Some(event) => Some(event),
            None => events.recv().await,
        };
        let bytes = encoder.encode(event.unwrap_or_else(|| Event::Fail(task_ended())));
        let frame = Ok::<_, BodyError>(Frame::data(bytes));
        Some((frame, (None, events, encoder)))
    });
    let mut response = Response::new(StreamBody::new(Box::pin(frames)).boxed_unsync());
    let headers = response.headers_mut();
    let events = HeaderValue::from_static("text/event-stream");
    headers.insert(CONTENT_TYPE, events);
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    response
}

/// Encodes server-sent events; the part that all events have in common is encoded once.
struct EventEncoder {
    form: Form,
    usage_event: bool,
    /// The start of every event, up to the start of the list of choices.
    prefix: String,
    first: bool,
    ended: bool,
}

impl EventEncoder {
    fn new(info: &ResponseInfo) -> Self {
        let object = match info.form {
            Form::Chat => "chat.completion.chunk",
            Form::Completion => "text_completion",
        };
        let model = json!(info.model);
        let prefix = format!(
            r#"data: {{"id":"{}","object":"{object}","created":{},"model":{model},"choices":["#,
            info.id, info.created
        );
        Self {
            form: info.form,
            usage_event: info.usage_event,
            prefix,
            first: true,
            ended: false,
        }
    }

    fn encode(&mut self, event: Event) -> Bytes {
        match event {
            Event::Tokens(tokens) => self.encode_tokens(&tokens),
            Event::Finish(usage) => {
                self.ended = true;
                self.encode_finish(&usage)
            }
            Event::Fail(refusal) => {
                self.ended = true;
                let mut text = Vec::from("data: ");
                text.extend_from_slice(&refusal.json());
                text.extend_from_slice(b"\n\n");
                Bytes::from(text)
            }
        }
    }

    fn encode_tokens(&mut self, tokens: &[String]) -> Bytes {
        let mut text = Vec::with_capacity(tokens.len() * (self.prefix.len() + 96));
        for token in tokens {
            text.extend_from_slice(self.prefix.as_bytes());
            let before: &[u8] = match self.form {
                Form::Chat if self.first => br#"{"index":0,"delta":{"role":"assistant","content":"#,
                Form::Chat => br#"{"index":0,"delta":{"content":"#,
                Form::Completion => br#"{"index":0,"text":"#,
            };
            text.extend_from_slice(before);
            self.first = false;
            // Serialising a string to memory cannot fail.
            let _ = serde_json::to_writer(&mut text, token);
            let after: &[u8] = match self.form {
                Form::Chat => br#"},"logprobs":null,"finish_reason":null}]}"#,
                Form::Completion => br#","logprobs":null,"finish_reason":null}]}"#,
            };
            text.extend_from_slice(after);
            text.extend_from_slice(b"\n\n");
        }
        Bytes::from(text)
    }

    /// Encodes the last events: the finish reason, the token usage and `[DONE]`.
    ///
    /// By default the usage is part of the event with the finish reason, because some callers read
    /// the first choice of every event. Callers that set `include_usage` get the usage in an event
    /// of its own without choices.
    fn encode_finish(&self, usage: &Usage) -> Bytes {
        let usage_text = usage_json(usage);
        let reason = json!(usage.reason);
        let choice = match self.form {
            Form::Chat => {
                format!(r#"{{"index":0,"delta":{{}},"logprobs":null,"finish_reason":{reason}}}"#)
            }
            Form::Completion => {
                format!(r#"{{"index":0,"text":"","logprobs":null,"finish_reason":{reason}}}"#)
            }
        };
        let prefix = &self.prefix;
        let text = if self.usage_event {
            format!("{prefix}{choice}]}}\n\n{prefix}],\"usage\":{usage_text}}}\n\ndata: [DONE]\n\n")
        } else {
            format!("{prefix}{choice}],\"usage\":{usage_text}}}\n\ndata: [DONE]\n\n")
        };
        Bytes::from(text)
    }
}
