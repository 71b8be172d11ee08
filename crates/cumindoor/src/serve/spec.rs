//! What the request path has to know about services, upstreams, limits and time-outs.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use coord::name::{DataCentre, Organisation, Service, Upstream, VmName};
use coord::sched::{Class, Engine, Role};
use tokio::sync::watch;

use crate::ini::PathPrefix;

/// How the upstreams of a service are called.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceKind {
    /// Model engines: prefill and decode through a cell.
    Model,
    /// Plain HTTP servers: calls are passed through.
    Plain,
}

/// One service as one organisation's document describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// The organisation whose document names the service.
    pub organisation: Organisation,
    /// The service's name: the `model` of a request or the first path segment.
    pub name: Service,
    /// The group of upstreams that run it: their `service` in the published list.
    pub group: Service,
    /// How its upstreams are called.
    pub kind: ServiceKind,
    /// How its requests are ordered against others.
    pub class: Class,
    /// The wanted time to first token.
    pub ttft_target: Duration,
    /// The wanted time between two tokens.
    pub token_target: Duration,
    /// The longest that one request may take in all.
    pub request_limit: Duration,
    /// True if all its calls must run at most once.
    pub once: bool,
    /// Paths below the service's own whose calls must run at most once.
    pub once_paths: Vec<PathPrefix>,
    /// Tokens of the longest prompt; unlimited for a plain service.
    pub max_prompt: u32,
    /// Tokens of the longest output; unlimited for a plain service.
    pub max_output: u32,
    /// True if a once-only call without an idempotency key is refused.
    pub require_key: bool,
    /// Requests that the organisation may have open on this VM at once.
    pub open_limit: usize,
}

impl ServiceSpec {
    /// Returns true if a call of `path`, below the service's own, must run at most once.
    #[must_use]
    pub fn is_once(&self, path: &str) -> bool {
        self.once || self.once_paths.iter().any(|once| once.covers(path))
    }
}

/// One upstream of the published list.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamSpec {
    /// The upstream's name.
    pub name: Upstream,
    /// The service that it runs.
    pub service: Service,
    /// The engine's role, or `None` for a plain service.
    pub role: Option<Role>,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Where it listens.
    pub address: SocketAddr,
    /// Decode requests that fit into its memory at once; zero for a plain service.
    pub slots: u32,
    /// True while it is on its way out and receives no new work.
    pub leaving: bool,
}

impl UpstreamSpec {
    /// Returns the scheduler's view of a model engine, or `None` for a plain service.
    #[must_use]
    pub fn engine(&self) -> Option<Engine> {
        let role = self.role?;
        Some(Engine {
            name: self.name.clone(),
            data_centre: self.data_centre.clone(),
            role,
            slots: self.slots,
        })
    }
}

/// What a document says about a group of model engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GroupSpec {
    /// Tokens in one block of the engines' prefix cache.
    pub block_tokens: u32,
    /// Prompt tokens that a prefill engine computes in one second.
    pub prefill_rate: u32,
}

#[derive(Debug, Default)]
struct Contents {
    services: BTreeMap<Service, BTreeMap<Organisation, Arc<ServiceSpec>>>,
    upstreams: BTreeMap<Upstream, UpstreamSpec>,
    groups: BTreeMap<Service, GroupSpec>,
}

/// The services and upstreams that are in force now; clones share their contents.
#[derive(Clone, Debug)]
pub struct Table {
    contents: watch::Sender<Arc<Contents>>,
}

impl Default for Table {
    fn default() -> Self {
        Self {
            contents: watch::Sender::new(Arc::default()),
        }
    }
}

impl Table {
    /// Returns a table with the given contents.
    #[must_use]
    pub fn new(services: Vec<ServiceSpec>, upstreams: Vec<UpstreamSpec>) -> Self {
        let table = Self::default();
        table.replace(services, upstreams);
        table
    }

    /// Puts new contents in force; requests in progress keep the specification they started with.
    pub fn replace(&self, services: Vec<ServiceSpec>, upstreams: Vec<UpstreamSpec>) {
        self.replace_all(services, upstreams, BTreeMap::new());
    }

    /// As [`Self::replace`], with what documents say about groups of engines.
    pub fn replace_all(
        &self,
        services: Vec<ServiceSpec>,
        upstreams: Vec<UpstreamSpec>,
        groups: BTreeMap<Service, GroupSpec>,
    ) {
        let mut contents = Contents {
            groups,
            ..Contents::default()
        };
        for spec in services {
            let by_name = contents.services.entry(spec.name.clone()).or_default();
            by_name.insert(spec.organisation.clone(), Arc::new(spec));
        }
        for upstream in upstreams {
            contents.upstreams.insert(upstream.name.clone(), upstream);
        }
        self.contents.send_replace(Arc::new(contents));
    }

    /// Returns a receiver that is marked as changed with each replacement.
    #[must_use]
    pub fn changes(&self) -> Changes {
        Changes(self.contents.subscribe())
    }

    fn read(&self) -> Arc<Contents> {
        Arc::clone(&self.contents.borrow())
    }

    /// Returns a service of an organisation.
    #[must_use]
    pub fn service(&self, organisation: &Organisation, name: &Service) -> Option<Arc<ServiceSpec>> {
        let contents = self.read();
        contents.services.get(name)?.get(organisation).cloned()
    }

    /// Returns the names of an organisation's services of one kind.
    #[must_use]
    pub fn names(&self, organisation: &Organisation, kind: ServiceKind) -> Vec<Service> {
        let contents = self.read();
        let own = contents.services.iter().filter(|(_, by_name)| {
            let spec = by_name.get(organisation);
            spec.is_some_and(|spec| spec.kind == kind)
        });
        own.map(|(name, _)| name.clone()).collect()
    }

    /// Returns what a document says about a group, or `None` if the VM's options apply.
    #[must_use]
    pub fn group(&self, name: &Service) -> Option<GroupSpec> {
        self.read().groups.get(name).copied()
    }

    /// Returns where an upstream listens.
    #[must_use]
    pub fn address(&self, name: &Upstream) -> Option<SocketAddr> {
        self.read().upstreams.get(name).map(|spec| spec.address)
    }

    /// Returns the upstreams of a service, those that are leaving included.
    #[must_use]
    pub fn upstreams(&self, service: &Service) -> Vec<UpstreamSpec> {
        let contents = self.read();
        let all = contents.upstreams.values();
        all.filter(|spec| spec.service == *service)
            .cloned()
            .collect()
    }

    /// Returns all model engines.
    #[must_use]
    pub fn engines(&self) -> Vec<UpstreamSpec> {
        let contents = self.read();
        let all = contents.upstreams.values();
        all.filter(|spec| spec.role.is_some()).cloned().collect()
    }
}

/// Tells that a [`Table`] was replaced.
#[derive(Clone, Debug)]
pub struct Changes(watch::Receiver<Arc<Contents>>);

impl Changes {
    /// Waits for the next replacement; never returns once the table is gone.
    pub async fn next(&mut self) {
        if self.0.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

/// Deadlines of single hops to upstreams.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamTimeouts {
    /// To open a connection.
    pub connect: Duration,
    /// Without bytes before the engine is asked over a fresh connection.
    pub probe_after: Duration,
    /// For the answer to such a question.
    pub probe: Duration,
    /// Without bytes in all, even if the engine lists the request.
    pub stall: Duration,
    /// From a decode call to the start of its answer: the transfer of the KV cache.
    pub import: Duration,
    /// For one try to cancel.
    pub cancel: Duration,
    /// For all tries to cancel one request; an engine that is gone holds nothing.
    pub cancel_total: Duration,
    /// For the head of a plain service's answer.
    pub plain: Duration,
    /// Between two questions for an engine's load.
    pub poll: Duration,
}

impl Default for UpstreamTimeouts {
    fn default() -> Self {
        Self {
            connect: Duration::from_secs(1),
            probe_after: Duration::from_secs(2),
            probe: Duration::from_secs(1),
            stall: Duration::from_secs(8),
            import: Duration::from_secs(1),
            cancel: Duration::from_secs(1),
            cancel_total: Duration::from_secs(30),
            plain: Duration::from_secs(30),
            poll: Duration::from_secs(1),
        }
    }
}

/// Limits on what callers may use.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Open connections of all callers.
    pub connections: usize,
    /// Bytes of one request head.
    pub header_bytes: usize,
    /// Header fields of one request.
    pub headers: usize,
    /// Time for one request head, also the idle time of a kept connection.
    pub header_timeout: Duration,
    /// Bytes of one request body.
    pub body_bytes: usize,
    /// Time for one request body; when it is passed through, the time without progress.
    pub body_timeout: Duration,
    /// Bytes of one request body that is passed through to a plain service.
    pub plain_bytes: u64,
    /// Time without progress of a write to a caller, after which the caller counts as gone.
    pub write_stall: Duration,
    /// Bytes that a refused caller may still send before its connection is closed hard.
    pub linger_bytes: usize,
    /// Time that a refused caller has to read its refusal.
    pub linger_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 20_000,
            header_bytes: 32 * 1024,
            headers: 100,
            header_timeout: Duration::from_secs(15),
            // A prompt of 100,000 tokens with four bytes each, escaped, and room for a history.
            body_bytes: 4 * 1024 * 1024,
            body_timeout: Duration::from_secs(30),
            plain_bytes: 256 * 1024 * 1024,
            write_stall: Duration::from_secs(30),
            linger_bytes: 8 * 1024 * 1024,
            linger_timeout: Duration::from_secs(2),
        }
    }
}

/// What a server is started with.
#[derive(Clone, Debug)]
pub struct ServeOptions {
    /// The VM's name; its hash is in every request id.
    pub vm: VmName,
    /// Where callers connect; port 0 picks a free one.
    pub listen: SocketAddr,
    /// How long running requests may take after a stop was ordered.
    pub stop_limit: Duration,
    /// How long the key of a once-only request is kept; the same on all VMs.
    pub once_retention: Duration,
    /// Tokens in one block of the engines' prefix cache.
    pub block_tokens: u32,
    /// Prompt tokens that a prefill engine computes in one second.
    pub prefill_rate: u32,
    /// Limits on callers.
    pub limits: Limits,
    /// Deadlines towards upstreams.
    pub timeouts: UpstreamTimeouts,
}

impl ServeOptions {
    /// Returns the defaults for a VM that listens on `listen`.
    #[must_use]
    pub fn new(vm: VmName, listen: SocketAddr) -> Self {
        Self {
            vm,
            listen,
            stop_limit: Duration::from_mins(2),
            once_retention: Duration::from_hours(1),
            block_tokens: 1_000,
            prefill_rate: 10_000,
            limits: Limits::default(),
            timeouts: UpstreamTimeouts::default(),
        }
    }
}

/// Returns a random duration between half of `pause` and all of it.
#[must_use]
pub fn jittered(pause: Duration) -> Duration {
    let bits = u32::from_le_bytes(
        uuid::Uuid::new_v4().as_bytes()[..4]
            .try_into()
            .unwrap_or([0; 4]),
    );
    pause / 2 + (pause / 2).mul_f64(f64::from(bits) / f64::from(u32::MAX))
}
