//! Callers: what they sent and what they received.

use coord::hash::hash64;

use crate::ast::RequestSpec;

/// The last thing that a caller hears of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerEnd {
    /// The end of a complete answer.
    Complete,
    /// A refusal that says `not-run`.
    NotRun,
    /// A refusal, or the error event of a stream, that says `unknown`.
    Unknown,
}

/// One request of one caller.
pub struct Caller {
    pub spec: RequestSpec,
    /// The name of the request that has the same body.
    pub body: String,
    pub vm: usize,
    /// The life of the VM's process that took the request.
    pub generation: u32,
    pub tokens: Vec<u64>,
    pub endings: Vec<AnswerEnd>,
    /// The connection has ended.
    pub closed: bool,
    /// The caller reads nothing any more, without closing.
    pub silent: bool,
}

/// Returns token `index` of the answer to a body: no two bodies share one.
pub fn answer_token(body: &str, index: u32) -> u64 {
    hash64(format!("{body} {index}").as_bytes())
}

impl Caller {
    /// Returns whether the received tokens are the whole answer.
    pub fn is_complete(&self, model: bool) -> bool {
        let count = if model { self.spec.tokens } else { 1 };
        let expected = (0..count).map(|index| answer_token(&self.body, index));
        expected.eq(self.tokens.iter().copied())
    }

    /// Returns whether the caller takes what arrives.
    pub fn is_reading(&self) -> bool {
        !self.closed && !self.silent
    }

    /// Returns whether the received tokens are a beginning of the answer.
    pub fn is_prefix(&self) -> bool {
        let mut tokens = (0..).zip(&self.tokens);
        tokens.all(|(index, found)| *found == answer_token(&self.body, index))
    }
}
