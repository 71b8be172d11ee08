//! Routes, services and limits as configured by the operator.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use coord::name::{Organisation, Service};
use derive_more::{Debug, From};

/// How often a request may be executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// The request may be executed any number of times.
    Idempotent,
    /// The request may be executed at most once.
    AtMostOnce,
    /// The response is a stream of numbered events.
    Stream {
        /// Whether another upstream may continue after the last event that the caller received.
        /// Otherwise the request may be executed at most once.
        resumable: bool,
    },
}

impl RouteKind {
    /// Returns whether the request may be executed more than once.
    #[must_use]
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Returns whether the response is a stream of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// Configuration of requests for one host and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name used in log events.
    pub name: Arc<str>,
    /// Host, in lower case.
    pub host: Arc<str>,
    /// Path prefix; it begins and ends with a slash.
    pub prefix: Arc<str>,
    /// How often a request may be executed.
    pub kind: RouteKind,
    /// Time limit for the final response.
    pub timeout: Duration,
    /// Time within which the response, or the first event of a stream, should arrive.
    pub target_latency: Duration,
    /// Longest gap between two events of a stream that is on time.
    pub max_gap: Option<Duration>,
    /// Priority of the requests; 0 goes first.
    pub priority: u8,
    /// Services that share the requests, with their weights.
    pub targets: Vec<(Service, u32)>,
    /// Maximum number of upstreams on which one request may be executed.
    pub max_attempts: u32,
    /// Whether requests need no key although the configuration has organisations.
    pub allows_anonymous: bool,
}

/// A secret by which callers show for which organisation they send. Its text never appears in logs.
#[derive(Clone, Debug, From, PartialEq, Eq)]
#[debug("ApiKey(..)")]
#[from(&str, String, Arc<str>)]
pub struct ApiKey(Arc<str>);

impl ApiKey {
    /// Borrows the secret.
    #[must_use]
    pub fn as_bytes(&self) -> &[u8] {
        self.0.as_bytes()
    }
}

/// What counts against an allowance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AllowanceUnit {
    /// Each request counts as one.
    Requests,
    /// A request counts as its prompt tokens and its output limit.
    Tokens {
        /// Tokens of a request that states no sizes.
        unsized_request: u32,
    },
}

/// What an organisation may send over all gateways together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Units a second.
    pub rate: f64,
    /// Units that may be sent at once in addition.
    pub burst: f64,
    /// What the units are.
    pub unit: AllowanceUnit,
}

/// An organisation whose callers may send requests.
#[derive(Clone, Debug, PartialEq)]
pub struct OrganisationDef {
    /// Name that upstreams are told.
    pub name: Organisation,
    /// Secrets of its callers.
    pub keys: Vec<ApiKey>,
    /// Priority that takes precedence over that of the route, if there is one; 0 goes first.
    pub priority: Option<u8>,
    /// Limit on its requests, if there is one.
    pub allowance: Option<Allowance>,
}

/// Properties of the model engines of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// KV cache capacity of one engine, in tokens.
    pub kv_capacity: u32,
    /// Time for which an engine holds a prefill result for its import.
    pub kv_hold: Duration,
}

/// A service to which routes refer.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceDef {
    /// Properties of the engines; `None` for a plain service.
    pub model: Option<Model>,
}

/// Limits on requests from callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest request head in bytes.
    pub head_bytes: usize,
    /// Largest request body in bytes.
    pub body_bytes: usize,
    /// Time limit for a request head.
    pub head_timeout: Duration,
    /// Time for which a connection may be idle.
    pub idle_timeout: Duration,
}

/// One version of the routes, services and limits.
#[derive(Clone, Debug, PartialEq)]
pub struct Routing {
    /// Version number; higher versions replace lower ones.
    pub version: u64,
    /// The routes, in no particular order.
    pub routes: Vec<Arc<Route>>,
    /// The services by name.
    pub services: BTreeMap<Service, ServiceDef>,
    /// Limits on requests from callers.
    pub limits: CallerLimits,
    /// The organisations that may send requests; `None` if requests need no key.
    pub organisations: Option<Vec<Arc<OrganisationDef>>>,
}

impl Routing {
    /// Returns the route of a host with the longest prefix of `path`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.to_ascii_lowercase();
        let fits = |route: &&Arc<Route>| *route.host == *host && path.starts_with(&*route.prefix);
        let fitting = self.routes.iter().filter(fits);
        fitting.max_by_key(|route| route.prefix.len())
    }
}
