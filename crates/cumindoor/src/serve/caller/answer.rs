//! Answers to model requests: JSON, or server-sent events.

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

/// The body of every answer to a caller.
pub(super) type Answer = Response<BoxedBody>;

/// The name and form of one answer.
struct Shape {
    form: Form,
    model: String,
    id: String,
    created: u64,
    usage_event: bool,
}

impl Shape {
    fn new(parsed: &Parsed) -> Self {
        let prefix = match parsed.form {
            Form::Chat => "chatcmpl",
            Form::Completion => "cmpl",
        };
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            form: parsed.form,
            model: parsed.model.clone(),
            id: format!("{prefix}-{}", uuid::Uuid::new_v4().simple()),
            created: now.map_or(0, |since| since.as_secs()),
            usage_event: parsed.usage_event,
        }
    }
}

/// Answers a refusal.
pub(super) fn refuse(refusal: &Refusal) -> Answer {
    let mut response = json_response(refusal.status, refusal.json());
    if let Some(after) = refusal.retry_after {
        let seconds = after.as_millis().div_ceil(1_000).max(1);
        if let Ok(value) = HeaderValue::from_str(&seconds.to_string()) {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    response
}

/// Returns a JSON answer.
pub(super) fn json_response(status: StatusCode, body: impl Into<Bytes>) -> Answer {
    let mut response = Response::new(full_body(body));
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

/// Answers with the events of a request.
pub(super) async fn respond(parsed: &Parsed, events: mpsc::Receiver<Event>) -> Answer {
    let shape = Shape::new(parsed);
    if parsed.stream {
        return stream_events(shape, events).await;
    }
    whole(&shape, events).await
}

fn lost() -> Refusal {
    Refusal::unknown("internal", "the request's task ended without an answer")
}

async fn whole(shape: &Shape, mut events: mpsc::Receiver<Event>) -> Answer {
    let mut text = String::new();
    loop {
        match events.recv().await {
            Some(Event::Tokens(tokens)) => text.extend(tokens),
            Some(Event::Finish(usage)) => {
                let body = whole_json(shape, &text, &usage);
                return json_response(StatusCode::OK, body);
            }
            Some(Event::Fail(refusal)) => return refuse(&refusal),
            None => return refuse(&lost()),
        }
    }
}

fn whole_json(shape: &Shape, text: &str, usage: &Usage) -> String {
    let choice = match shape.form {
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
    let object = match shape.form {
        Form::Chat => "chat.completion",
        Form::Completion => "text_completion",
    };
    json!({
        "id": shape.id,
        "object": object,
        "created": shape.created,
        "model": shape.model,
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

/// Sends the head only with the first event, because a refusal has another status.
async fn stream_events(shape: Shape, mut events: mpsc::Receiver<Event>) -> Answer {
    let first = match events.recv().await {
        Some(Event::Fail(refusal)) => return refuse(&refusal),
        None => return refuse(&lost()),
        Some(event) => event,
    };
    let writer = Writer::new(&shape);
    let state = (Some(first), events, writer);
    let frames = stream::unfold(state, |(first, mut events, mut writer)| async move {
        if writer.ended {
            return None;
        }
        let event = match first {
            Some(event) => Some(event),
            None => events.recv().await,
        };
        let bytes = writer.frame(event.unwrap_or_else(|| Event::Fail(lost())));
        let frame = Ok::<_, BodyError>(Frame::data(bytes));
        Some((frame, (None, events, writer)))
    });
    let mut response = Response::new(StreamBody::new(Box::pin(frames)).boxed_unsync());
    let headers = response.headers_mut();
    let events = HeaderValue::from_static("text/event-stream");
    headers.insert(CONTENT_TYPE, events);
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    response
}

/// Writes events; everything but the token itself is prepared once.
struct Writer {
    form: Form,
    usage_event: bool,
    /// The start of every event, up to the list of choices.
    head: String,
    first: bool,
    ended: bool,
}

impl Writer {
    fn new(shape: &Shape) -> Self {
        let object = match shape.form {
            Form::Chat => "chat.completion.chunk",
            Form::Completion => "text_completion",
        };
        let model = json!(shape.model);
        let head = format!(
            r#"data: {{"id":"{}","object":"{object}","created":{},"model":{model},"choices":["#,
            shape.id, shape.created
        );
        Self {
            form: shape.form,
            usage_event: shape.usage_event,
            head,
            first: true,
            ended: false,
        }
    }

    fn frame(&mut self, event: Event) -> Bytes {
        match event {
            Event::Tokens(tokens) => self.tokens(&tokens),
            Event::Finish(usage) => {
                self.ended = true;
                self.finish(&usage)
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

    fn tokens(&mut self, tokens: &[String]) -> Bytes {
        let mut text = Vec::with_capacity(tokens.len() * (self.head.len() + 96));
        for token in tokens {
            text.extend_from_slice(self.head.as_bytes());
            let start: &[u8] = match self.form {
                Form::Chat if self.first => br#"{"index":0,"delta":{"role":"assistant","content":"#,
                Form::Chat => br#"{"index":0,"delta":{"content":"#,
                Form::Completion => br#"{"index":0,"text":"#,
            };
            text.extend_from_slice(start);
            self.first = false;
            // Serialising a string to memory cannot fail.
            let _ = serde_json::to_writer(&mut text, token);
            let end: &[u8] = match self.form {
                Form::Chat => br#"},"logprobs":null,"finish_reason":null}]}"#,
                Form::Completion => br#","logprobs":null,"finish_reason":null}]}"#,
            };
            text.extend_from_slice(end);
            text.extend_from_slice(b"\n\n");
        }
        Bytes::from(text)
    }

    /// Writes the last events: the reason of the end, the figures and `[DONE]`.
    ///
    /// The figures are on the event with the reason, so that callers that read the first
    /// choice of each event work; callers that asked for it get an event without choices.
    fn finish(&self, usage: &Usage) -> Bytes {
        let figures = usage_json(usage);
        let reason = json!(usage.reason);
        let choice = match self.form {
            Form::Chat => {
                format!(r#"{{"index":0,"delta":{{}},"logprobs":null,"finish_reason":{reason}}}"#)
            }
            Form::Completion => {
                format!(r#"{{"index":0,"text":"","logprobs":null,"finish_reason":{reason}}}"#)
            }
        };
        let head = &self.head;
        let text = if self.usage_event {
            format!("{head}{choice}]}}\n\n{head}],\"usage\":{figures}}}\n\ndata: [DONE]\n\n")
        } else {
            format!("{head}{choice}],\"usage\":{figures}}}\n\ndata: [DONE]\n\n")
        };
        Bytes::from(text)
    }
}
