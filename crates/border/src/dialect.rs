//! Contents of the headers of requests and answers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use coord::limit::Rate;
use coord::name::{Organisation, Upstream, VmName};
use derive_more::Display;
use hyper::{HeaderMap, Method, Request, StatusCode};

use crate::{ApiKey, Malformed, Stage};

/// Size of the prompt and output of a request to a model.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Tokens of the prompt.
    pub tokens: u32,
    /// Maximum number of output tokens.
    pub output_limit: u32,
    /// The caller's estimate of the output in tokens. Its median is accurate, but single estimates
    /// are often far off.
    pub output_estimate: Option<u32>,
}

/// Contents of a caller's request headers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestMeta {
    /// Id of this attempt of the caller.
    pub id: Arc<str>,
    /// Time for which the caller waits.
    pub timeout: Option<Duration>,
    /// Sizes of prompt and output, if the request is for a model.
    pub prompt: Option<Prompt>,
    /// Id of the last event that the caller received, if it resumes a stream.
    pub last_event_id: Option<u64>,
    /// Id of the attempt that brought the caller the first event, if it resumes a stream and names one.
    pub resumes: Option<Result<Arc<str>, Malformed>>,
    /// Ids of the parts of the prompt that other requests may have as well, in order, if the request
    /// names its parts.
    pub shared_parts: Option<Result<Vec<Arc<str>>, Malformed>>,
    /// Key of the caller's organisation, if the request has one.
    pub key: Option<Result<ApiKey, Malformed>>,
}

/// Location of a prefill result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KvSource {
    /// Address of the engine that holds the result.
    pub address: SocketAddr,
    /// Name of the result at that engine.
    pub handle: Arc<str>,
}

/// The work that an upstream is asked to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Answer the request; a decode engine also does the prefill.
    EndToEnd,
    /// Prefill the prompt and hold the result.
    Prefill,
    /// Import a prefill result and generate the output.
    Decode(KvSource),
}

/// Headers that the gateway adds to a request for one attempt at an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptMeta {
    /// Upstream to which the request is addressed; any other one must refuse it.
    pub upstream: Upstream,
    /// Time after which the upstream must stop its work.
    pub time_left: Option<Duration>,
    /// Work to be done.
    pub step: Step,
    /// Id of the last event that the caller received, if a stream is resumed.
    pub last_event_id: Option<u64>,
    /// Organisation for which the request is sent, if it named one.
    pub organisation: Option<Organisation>,
    /// Priority at the upstream from 0, which goes first, to 9; `None` leaves it to the upstream.
    pub priority: Option<u8>,
}

/// Load that an upstream reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Work {
    /// Requests that are running.
    pub running: u32,
    /// Requests that are waiting.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
    /// How long work takes on its machine at this moment in percent of the usual time, if stated. It changes many
    /// times a second.
    pub slowdown: Option<u32>,
}

/// What an upstream states about itself in an answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Statement {
    /// Whether it is leaving.
    pub leaving: bool,
    /// Time for which it takes no requests of this gateway, if it refused this one and states such a time.
    pub pause: Option<Result<Duration, Malformed>>,
}

/// Contents of an upstream's response headers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reply {
    /// Id of the request that is answered, if stated.
    pub id: Option<Arc<str>>,
    /// Whether the upstream states that it did not execute the request.
    pub not_executed: bool,
    /// Whether the request reached a different upstream from the one addressed.
    pub misdirected: bool,
    /// Whether the response carries the upstream's signature.
    pub signed: bool,
    /// Load of the upstream, if stated.
    pub work: Option<Work>,
    /// What the upstream states about itself.
    pub statement: Statement,
    /// Rate of requests that the upstream takes from all gateways together, if it states one.
    pub rate_limit: Option<Result<Rate, Malformed>>,
}

/// The result of a prefill.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PrefillResult {
    /// Name under which the engine holds the result.
    pub handle: Arc<str>,
    /// Tokens of the prompt.
    pub tokens: u32,
}

/// An order to an engine to serve a stage.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StageOrder {
    /// Engine to which the order is addressed; any other one must refuse it.
    pub upstream: Upstream,
    /// Stage to serve from now on.
    pub stage: Stage,
    /// VM that gives the order.
    pub holder: VmName,
    /// Fencing number of the order.
    pub fence: u64,
}

/// An engine's answer to an order.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The engine carries out the order.
    #[display("accepted")]
    Accepted,
    /// The engine already serves the stage.
    #[display("holds")]
    AlreadyServing,
    /// The engine is carrying out another order.
    #[display("busy")]
    Busy,
    /// The engine has seen a higher fencing number.
    #[display("outdated")]
    Outdated,
    /// It is a different engine, or it does not support such orders.
    #[display("refused")]
    Refused,
}

/// Parses and writes the platform's headers and messages.
pub trait Dialect: Send + Sync {
    /// Parses a caller's request headers.
    ///
    /// # Errors
    ///
    /// Returns [`Malformed`] with the header at fault.
    fn parse_request(&self, headers: &HeaderMap) -> Result<RequestMeta, Malformed>;

    /// Removes the headers that callers must not set.
    fn remove_reserved_headers(&self, headers: &mut HeaderMap);

    /// Adds the headers for one attempt.
    fn write_attempt(&self, headers: &mut HeaderMap, attempt: &AttemptMeta);

    /// Parses the head of an upstream's response.
    fn parse_reply(&self, status: StatusCode, headers: &HeaderMap) -> Reply;

    /// Adds the headers by which callers match a response of the gateway to their request.
    fn write_request_id(&self, headers: &mut HeaderMap, request: &RequestMeta);

    /// Parses the response body of [`Step::Prefill`].
    ///
    /// # Errors
    ///
    /// Returns [`Malformed`] if the body names no result.
    fn parse_prefill(&self, body: &[u8]) -> Result<PrefillResult, Malformed>;

    /// Returns the method and path of the call that releases a prefill result.
    fn release_call(&self, handle: &str) -> (Method, String);

    /// Returns a short question that an upstream answers without running anything.
    fn probe_request(&self, upstream: &Upstream) -> Request<Bytes>;

    /// Returns the request that gives an order.
    fn order_request(&self, order: &StageOrder) -> Request<Bytes>;

    /// Interprets the status of an answer to an order.
    fn parse_order_status(&self, status: StatusCode) -> OrderAnswer;
}
