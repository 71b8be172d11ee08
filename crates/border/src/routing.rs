//! Routes, services and limits: one version of what the operator wants.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use coord::name::Service;

/// What may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// The request may run any number of times.
    Idempotent,
    /// The request may run once at most.
    AtMostOnce,
    /// The answer is a stream of numbered events.
    Stream {
        /// Whether another upstream may continue after the last event that the caller got;
        /// otherwise the request may run once at most.
        resumable: bool,
    },
}

impl RouteKind {
    /// Returns whether the request may run more than once.
    #[must_use]
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Returns whether the answer is a stream of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// Where requests of one host and path prefix go.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The name, for log lines.
    pub name: Arc<str>,
    /// The host, in lower case.
    pub host: Arc<str>,
    /// The start of the path; it begins and ends with a slash.
    pub prefix: Arc<str>,
    /// What may be repeated.
    pub kind: RouteKind,
    /// The longest time that a caller is kept waiting for the final answer.
    pub timeout: Duration,
    /// The time within which the answer, or the first event of a stream, is worth most.
    pub target_latency: Duration,
    /// The longest pause between two events of a stream that is on time.
    pub max_gap: Option<Duration>,
    /// The rank among requests; 0 goes first.
    pub priority: u8,
    /// The services with their weights.
    pub targets: Vec<(Service, u32)>,
    /// The most upstreams that one request may run on.
    pub max_attempts: u32,
}

/// The pool of model engines of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// Tokens that fit into the memory of one engine.
    pub kv_capacity: u32,
    /// How long a prefill's result is kept for its import.
    pub kv_hold: Duration,
}

/// A service that routes lead to.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceDef {
    /// The engines' figures; `None` for a plain service.
    pub model: Option<Model>,
}

/// What a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Bytes of a request head.
    pub head_bytes: usize,
    /// Bytes of a request body.
    pub body_bytes: usize,
    /// Time for a request head.
    pub head_timeout: Duration,
    /// Time for which a kept connection may be idle.
    pub idle_timeout: Duration,
}

/// One version of the routes, services and limits.
#[derive(Clone, Debug, PartialEq)]
pub struct Routing {
    /// Higher versions replace lower ones.
    pub version: u64,
    /// The routes, in no particular order.
    pub routes: Vec<Arc<Route>>,
    /// The services by name.
    pub services: BTreeMap<Service, ServiceDef>,
    /// What callers may send.
    pub limits: CallerLimits,
}

impl Routing {
    /// Returns the route of a host with the longest prefix that begins `path`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.to_ascii_lowercase();
        let fits = |route: &&Arc<Route>| *route.host == *host && path.starts_with(&*route.prefix);
        let fitting = self.routes.iter().filter(fits);
        fitting.max_by_key(|route| route.prefix.len())
    }
}
