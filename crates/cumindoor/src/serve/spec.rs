//! Services, upstreams, limits and timeouts as the request path sees them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use coord::name::{DataCentre, Organisation, Service, Upstream, VmName};
use coord::sched::{Class, Engine, Role};
use tokio::sync::watch;

use crate::ini::PathPrefix;

/// The protocol by which the upstreams of a service are called.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceKind {
    /// Model engines: prefill and decode through a cell.
    Model,
    /// Plain HTTP servers: calls are passed through.
    Plain,
}

/// A service as the document of one organisation describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// The organisation whose document names the service.
    pub organisation: Organisation,
    /// The name of the service: the `model` of a request, or the first segment of its path.
    pub name: Service,
    /// The group of upstreams that run the service: their `service` in the published list.
    pub group: Service,
    /// The protocol of its upstreams.
    pub kind: ServiceKind,
    /// The scheduling class of its requests.
    pub class: Class,
    /// The target of the time to first token.
    pub ttft_target: Duration,
    /// The target of the time between two tokens.
    pub token_target: Duration,
    /// The time limit of a whole request.
    pub request_limit: Duration,
    /// True if every call of the service must run at most once.
    pub once: bool,
    /// Paths, relative to that of the service, whose calls must run at most once.
    pub once_paths: Vec<PathPrefix>,
    /// Limit of prompt tokens; unlimited for a plain service.
    pub max_prompt: u32,
    /// Limit of output tokens; unlimited for a plain service.
    pub max_output: u32,
    /// True if an at-most-once call without an idempotency key is refused.
    pub require_key: bool,
    /// Limit of requests that the organisation has open on this VM at the same time.
    pub open_limit: usize,
}

impl ServiceSpec {
    /// Returns true if a call of `path`, relative to that of the service, must run at most once.
    #[must_use]
    pub fn is_once(&self, path: &str) -> bool {
        self.once || self.once_paths.iter().any(|once| once.covers(path))
    }
}

/// One upstream of the published list.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamSpec {
    /// The name of the upstream.
    pub name: Upstream,
    /// The service that the upstream runs.
    pub service: Service,
    /// Whether a model engine runs prefill, decode or both; `None` for a plain service.
    pub role: Option<Role>,
    /// The data centre of the upstream.
    pub data_centre: DataCentre,
    /// The address that the upstream listens on.
    pub address: SocketAddr,
    /// Decode requests that fit into its memory at the same time; zero for a plain service.
    pub slots: u32,
    /// True if the upstream is being drained and receives no new work.
    pub leaving: bool,
}

impl UpstreamSpec {
    /// Returns a model engine in the form that the scheduler uses, `None` for a plain service.
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

/// Parameters of a group of model engines that a document sets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GroupSpec {
    /// Tokens in one block of the prefix cache of an engine.
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

/// The current services and upstreams; clones share the contents.
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

    /// Replaces the contents; requests in progress keep the [`ServiceSpec`] they started with.
    pub fn replace(&self, services: Vec<ServiceSpec>, upstreams: Vec<UpstreamSpec>) {
        self.replace_all(services, upstreams, BTreeMap::new());
    }

    /// Replaces the contents as [`Self::replace`] does, with parameters of engine groups.
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

    /// Returns a receiver that is notified of every replacement.
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
        let matching = contents.services.iter().filter(|(_, by_name)| {
            let spec = by_name.get(organisation);
            spec.is_some_and(|spec| spec.kind == kind)
        });
        matching.map(|(name, _)| name.clone()).collect()
    }

    /// Returns the parameters of an engine group, or `None` if those in [`ServeOptions`] apply.
    #[must_use]
    pub fn group(&self, name: &Service) -> Option<GroupSpec> {
        self.read().groups.get(name).copied()
    }

    /// Returns the address that an upstream listens on.
    #[must_use]
    pub fn address(&self, name: &Upstream) -> Option<SocketAddr> {
        self.read().upstreams.get(name).map(|spec| spec.address)
    }

    /// Returns the upstreams of a service, including those that are leaving.
    #[must_use]
    pub fn upstreams(&self, service: &Service) -> Vec<UpstreamSpec> {
        let contents = self.read();
        let all = contents.upstreams.values();
        all.filter(|spec| spec.service == *service)
            .cloned()
            .collect()
    }

    /// Returns the model engines of all services.
    #[must_use]
    pub fn engines(&self) -> Vec<UpstreamSpec> {
        let contents = self.read();
        let all = contents.upstreams.values();
        all.filter(|spec| spec.role.is_some()).cloned().collect()
    }
}

/// Notifies of replacements of the contents of a [`Table`].
#[derive(Clone, Debug)]
pub struct Changes(watch::Receiver<Arc<Contents>>);

impl Changes {
    /// Waits for the next replacement; never returns after the table was dropped.
    pub async fn next(&mut self) {
        if self.0.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

/// Timeouts and intervals of calls to upstreams.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamTimeouts {
    /// Timeout of opening a connection.
    pub connect: Duration,
    /// Time without bytes after which the engine is probed over a new connection.
    pub probe_after: Duration,
    /// Timeout of a probe and of a load or cache poll.
    pub probe: Duration,
    /// Time without bytes after which a stream fails, even if the engine still lists the request.
    pub stall: Duration,
    /// Time from a decode call to the response head, during which the KV cache is transferred.
    pub import: Duration,
    /// Timeout of one attempt to cancel a call.
    pub cancel: Duration,
    /// Time after which a cancel is given up. An engine that has ended by then holds no memory.
    pub cancel_total: Duration,
    /// Timeout of the response head of a plain service.
    pub plain: Duration,
    /// Interval between two polls of an engine.
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

/// Limits on the resources that callers may use.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Number of open connections of all callers.
    pub connections: usize,
    /// Size of a request head in bytes.
    pub header_bytes: usize,
    /// Number of header fields of a request.
    pub headers: usize,
    /// Timeout of reading a request head; also limits how long a connection stays idle.
    pub header_timeout: Duration,
    /// Size of a request body in bytes.
    pub body_bytes: usize,
    /// Timeout of reading a request body; for a streamed body, the time without progress.
    pub body_timeout: Duration,
    /// Size in bytes of a request body to a plain service.
    pub plain_bytes: u64,
    /// Time without progress of a write after which the caller is treated as disconnected.
    pub write_stall: Duration,
    /// Bytes read from a caller after the last response before the connection is closed.
    pub linger_bytes: usize,
    /// Time limit of writing a refusal and of reading what the caller still sends.
    pub linger_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 20_000,
            header_bytes: 32 * 1024,
            headers: 100,
            header_timeout: Duration::from_secs(15),
            // Enough for a prompt of 100,000 tokens of four bytes each, JSON escapes and a chat
            // history.
            body_bytes: 4 * 1024 * 1024,
            body_timeout: Duration::from_secs(30),
            plain_bytes: 256 * 1024 * 1024,
            write_stall: Duration::from_secs(30),
            linger_bytes: 8 * 1024 * 1024,
            linger_timeout: Duration::from_secs(2),
        }
    }
}

/// Options of a server.
#[derive(Clone, Debug)]
pub struct ServeOptions {
    /// The name of the VM, whose hash is part of every request id.
    pub vm: VmName,
    /// The address to listen on for callers; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Time that running requests may take after a stop.
    pub stop_limit: Duration,
    /// How long the key of an at-most-once request is kept; must be the same on all VMs.
    pub once_retention: Duration,
    /// Tokens in one block of the prefix cache of an engine.
    pub block_tokens: u32,
    /// Prompt tokens that a prefill engine computes in one second.
    pub prefill_rate: u32,
    /// Limits on the resources of callers.
    pub limits: Limits,
    /// Timeouts of calls to upstreams.
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

/// Returns a random duration between half of `delay` and `delay`, so that retries of many callers
/// do not coincide.
#[must_use]
pub fn jittered(delay: Duration) -> Duration {
    let bits = u32::from_le_bytes(
        uuid::Uuid::new_v4().as_bytes()[..4]
            .try_into()
            .unwrap_or([0; 4]),
    );
    delay / 2 + (delay / 2).mul_f64(f64::from(bits) / f64::from(u32::MAX))
}
