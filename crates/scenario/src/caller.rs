//! Simulated callers: the request that each sent and the response that it received.

use coord::hash::hash64;

use crate::ast::RequestSpec;

/// The end of a response, as its caller receives it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerEnd {
    /// The end of a successful response.
    Complete,
    /// A refusal with `not-run`: the request did not run.
    NotRun,
    /// A refusal, or an error event in a stream, with `unknown`: the request may have run.
    Unknown,
}

/// A request with the state of its caller's connection.
pub struct Caller {
    pub spec: RequestSpec,
    /// Identifies the request body: the name of the first request that was sent with it.
    pub body: String,
    pub vm: usize,
    /// The generation of the VM's process that accepted the connection.
    pub generation: u32,
    pub tokens: Vec<u64>,
    pub endings: Vec<AnswerEnd>,
    /// Whether the connection is closed.
    pub closed: bool,
    /// Whether the caller has stopped reading but keeps the connection open.
    pub silent: bool,
}

/// Returns the token at `index` of the response to a request body.
///
/// Tokens are hashes, so different bodies and different positions have different tokens.
pub fn answer_token(body: &str, index: u32) -> u64 {
    hash64(format!("{body} {index}").as_bytes())
}

impl Caller {
    /// Returns whether the received tokens are exactly the complete response.
    pub fn is_complete(&self, model: bool) -> bool {
        let count = if model { self.spec.tokens } else { 1 };
        let expected = (0..count).map(|index| answer_token(&self.body, index));
        expected.eq(self.tokens.iter().copied())
    }

    /// Returns whether the caller reads what arrives on its connection.
    pub fn is_reading(&self) -> bool {
        !self.closed && !self.silent
    }

    /// Returns whether the received tokens are a prefix of the response.
    pub fn is_prefix(&self) -> bool {
        let mut tokens = (0..).zip(&self.tokens);
        tokens.all(|(index, found)| *found == answer_token(&self.body, index))
    }
}
