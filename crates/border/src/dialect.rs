//! What requests and answers say in their headers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use coord::name::{Upstream, VmName};
use derive_more::Display;
use hyper::{HeaderMap, Method, Request, StatusCode};

use crate::{Malformed, Stage};

/// The prompt of a request to a model.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Tokens of the prompt.
    pub tokens: u32,
    /// Tokens of the output at most.
    pub output_limit: u32,
    /// The caller's estimate of the output's tokens; right at the median, often far off.
    pub output_estimate: Option<u32>,
}

/// What a caller's headers say.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestMeta {
    /// The id of this attempt of the caller.
    pub id: Arc<str>,
    /// How long the caller waits.
    pub timeout: Option<Duration>,
    /// The prompt, if the request is for a model.
    pub prompt: Option<Prompt>,
    /// The number of the last event that the caller has, if it resumes a stream.
    pub last_event_id: Option<u64>,
}

/// Where a prefill's result lies.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KvSource {
    /// The engine that holds it.
    pub address: SocketAddr,
    /// Its name there.
    pub handle: Arc<str>,
}

/// What an upstream is to do with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Answer it; a decode engine also reads the prompt.
    EndToEnd,
    /// Read the prompt and keep the result.
    Prefill,
    /// Import the prompt's result and generate.
    Decode(KvSource),
}

/// What an upstream is told beside the caller's own headers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptMeta {
    /// The upstream that is meant; any other one must refuse.
    pub upstream: Upstream,
    /// After what time it must stop work.
    pub time_left: Option<Duration>,
    /// What it is to do.
    pub step: Step,
    /// The number of the last event that the caller has, where the gateway resumes a stream.
    pub last_event_id: Option<u64>,
}

/// Requests at an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Work {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
}

/// What an upstream's headers say.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reply {
    /// The id of the request that it answers, if it says so.
    pub id: Option<Arc<str>>,
    /// Whether it promises that the request has not run.
    pub not_executed: bool,
    /// Whether it is another upstream than the one that was meant.
    pub misdirected: bool,
    /// Whether it bears the upstream's signature.
    pub signed: bool,
    /// The upstream's load, if it says so.
    pub work: Option<Work>,
}

/// The result of a prefill.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PrefillResult {
    /// The name under which the engine keeps it.
    pub handle: Arc<str>,
    /// The prompt's tokens.
    pub tokens: u32,
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StageOrder {
    /// The engine that is meant; any other one must refuse.
    pub upstream: Upstream,
    /// What it is to do from now on.
    pub stage: Stage,
    /// The VM that gives the order.
    pub holder: VmName,
    /// The fencing number.
    pub fence: u64,
}

/// What an engine says to an order.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum OrderAnswer {
    /// It carries the order out.
    #[display("accepted")]
    Accepted,
    /// The order holds already.
    #[display("holds")]
    Holds,
    /// Another order is carried out.
    #[display("busy")]
    Busy,
    /// It has seen a higher fencing number.
    #[display("outdated")]
    Outdated,
    /// It is another engine, or does not know such orders.
    #[display("refused")]
    Refused,
}

/// How requests and answers are read and written.
pub trait Dialect: Send + Sync {
    /// Reads a caller's headers.
    ///
    /// # Errors
    ///
    /// Returns [`Malformed`] with the header at fault.
    fn parse_request(&self, headers: &HeaderMap) -> Result<RequestMeta, Malformed>;

    /// Removes the headers that only the system may set.
    fn remove_system_headers(&self, headers: &mut HeaderMap);

    /// Adds what an upstream is told.
    fn write_attempt(&self, headers: &mut HeaderMap, attempt: &AttemptMeta);

    /// Reads the head of an upstream's answer.
    fn parse_reply(&self, status: StatusCode, headers: &HeaderMap) -> Reply;

    /// Returns the headers by which callers tell an answer of the gateway from another request's.
    fn write_request_id(&self, headers: &mut HeaderMap, request: &RequestMeta);

    /// Reads the body of an answer to [`Step::Prefill`].
    ///
    /// # Errors
    ///
    /// Returns [`Malformed`] if it names no result.
    fn parse_prefill(&self, body: &[u8]) -> Result<PrefillResult, Malformed>;

    /// Returns the call that frees a prefill's result.
    fn release_call(&self, handle: &str) -> (Method, String);

    /// Returns the call that gives an order.
    fn order_request(&self, order: &StageOrder) -> Request<Bytes>;

    /// Reads the status of an answer to an order.
    fn parse_order_status(&self, status: StatusCode) -> OrderAnswer;
}
