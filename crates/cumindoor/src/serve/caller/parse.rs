//! Parses chat completion and text completion requests.

use coord::hash::hash64;
use hyper::StatusCode;
use serde::Deserialize;

use super::body::malformed;
use crate::serve::refusal::Refusal;
use crate::serve::route::estimate_tokens;
use crate::serve::spec::ServiceSpec;

/// Limit of output tokens if the request sets none.
const DEFAULT_MAX_TOKENS: u32 = 1_024;

/// The API that a request uses; it decides the format of the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Form {
    /// `POST /v1/chat/completions`.
    Chat,
    /// `POST /v1/completions`.
    Completion,
}

/// A valid request to a model service.
#[derive(Debug)]
pub(super) struct Parsed {
    pub form: Form,
    pub model: String,
    pub prompt: String,
    /// The limit of output tokens, if the caller set one.
    pub max_tokens: Option<u32>,
    pub stream: bool,
    /// True if the stream ends with an event for the token usage (`include_usage`).
    pub usage_event: bool,
}

impl Parsed {
    /// Returns a hash of the prompt and the output limit, which detects that an idempotency key was
    /// reused for another request.
    pub(super) fn content_hash(&self) -> u64 {
        let limit = self.max_tokens.unwrap_or(0).to_le_bytes();
        hash64(self.prompt.as_bytes()) ^ hash64(&limit)
    }

    /// Checks the request against the limits of its service and returns its limit of output tokens.
    ///
    /// The token count of the prompt is estimated from its length in bytes, because the exact count
    /// is known only after the engine has computed it.
    pub(super) fn output_limit(&self, spec: &ServiceSpec) -> Result<u32, Refusal> {
        let prompt = estimate_tokens(&self.prompt);
        if prompt > spec.max_prompt {
            let limit = spec.max_prompt;
            let text = format!("the prompt has about {prompt} tokens; expected at most {limit}");
            return Err(refuse("prompt-too-long", text));
        }
        let default = DEFAULT_MAX_TOKENS.min(spec.max_output);
        let wanted = self.max_tokens.unwrap_or(default);
        if wanted > spec.max_output {
            let limit = spec.max_output;
            let text = format!("`max_tokens` is {wanted}; expected at most {limit}");
            return Err(refuse("output-too-long", text));
        }
        Ok(wanted)
    }
}

fn refuse(reason: &'static str, text: String) -> Refusal {
    Refusal::not_run(StatusCode::BAD_REQUEST, reason, text)
}

#[derive(Deserialize)]
struct Body {
    model: String,
    messages: Option<Vec<Message>>,
    prompt: Option<Prompt>,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
    #[serde(default)]
    stream: Option<bool>,
    stream_options: Option<StreamOptions>,
    n: Option<u32>,
}

#[derive(Deserialize)]
struct StreamOptions {
    #[serde(default)]
    include_usage: bool,
}

#[derive(Deserialize)]
struct Message {
    role: String,
    content: Option<Content>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Content {
    Text(String),
    Parts(Vec<Part>),
}

#[derive(Deserialize)]
struct Part {
    text: Option<String>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Prompt {
    Text(String),
    List(Vec<String>),
}

/// Parses and validates the body of a request.
pub(super) fn parse(form: Form, body: &[u8]) -> Result<Parsed, Refusal> {
    let parsed: Result<Body, _> = serde_json::from_slice(body);
    let body = parsed.map_err(|error| malformed(format!("the body is not valid: {error}")))?;
    if body.n.is_some_and(|n| n != 1) {
        return Err(malformed("`n` must be 1"));
    }
    let max_tokens = body.max_completion_tokens.or(body.max_tokens);
    if max_tokens == Some(0) {
        return Err(malformed("`max_tokens` must be at least 1"));
    }
    let prompt = match form {
        Form::Chat => messages_prompt(body.messages)?,
        Form::Completion => completion_prompt(body.prompt)?,
    };
    Ok(Parsed {
        form,
        model: body.model,
        prompt,
        max_tokens,
        stream: body.stream.unwrap_or(false),
        usage_event: body
            .stream_options
            .is_some_and(|options| options.include_usage),
    })
}

fn messages_prompt(messages: Option<Vec<Message>>) -> Result<String, Refusal> {
    let messages = messages.ok_or_else(|| malformed("`messages` is missing"))?;
    if messages.is_empty() {
        return Err(malformed("`messages` is empty"));
    }
    let mut texts = Vec::with_capacity(messages.len());
    for (number, message) in messages.into_iter().enumerate() {
        texts.push((message.role, message_text(number, message.content)?));
    }
    let pairs = texts
        .iter()
        .map(|(role, text)| (role.as_str(), text.as_str()));
    Ok(chat_prompt(pairs))
}

fn message_text(number: usize, content: Option<Content>) -> Result<String, Refusal> {
    match content {
        None => Ok(String::new()),
        Some(Content::Text(text)) => Ok(text),
        Some(Content::Parts(parts)) => {
            let mut joined = String::new();
            for part in parts {
                let text = part.text.ok_or_else(|| {
                    malformed(format!("`messages[{number}]` has a part that is not text"))
                })?;
                joined.push_str(&text);
            }
            Ok(joined)
        }
    }
}

/// Returns the prompt of a chat: one line per message, then the role of the assistant.
///
/// # Example
///
/// ```
/// let prompt = cumindoor::serve::caller::chat_prompt([("user", "Good morning")]);
/// assert_eq!(prompt, "user: Good morning\nassistant:");
/// ```
pub fn chat_prompt<'a>(messages: impl IntoIterator<Item = (&'a str, &'a str)>) -> String {
    let mut prompt = String::new();
    for (role, text) in messages {
        prompt.push_str(role);
        prompt.push_str(": ");
        prompt.push_str(text);
        prompt.push('\n');
    }
    prompt.push_str("assistant:");
    prompt
}

fn completion_prompt(prompt: Option<Prompt>) -> Result<String, Refusal> {
    match prompt {
        None => Err(malformed("`prompt` is missing")),
        Some(Prompt::Text(text)) => Ok(text),
        Some(Prompt::List(mut list)) if list.len() == 1 => Ok(list.remove(0)),
        Some(Prompt::List(_)) => Err(malformed("`prompt` must be one text")),
    }
}
