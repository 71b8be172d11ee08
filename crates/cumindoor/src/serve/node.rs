//! A router process that works with peers on other VMs.
//!
//! A [`Node`] consists of the listeners for callers and for peers, the scheduling cells that the
//! VMs share, and the configuration documents in force.

mod active_config;
mod join;
mod status;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use coord::name::DataCentre;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::time::timeout;

pub use active_config::{ActiveRevisions, DocumentText};

use super::cell::Clock;
use super::cell::shared::{CellPart, SharedCells};
use super::cluster::Cluster;
use super::engine::poll;
use super::peer::{Listener, ListenerHandle, ListenerOptions, Peers, PeersOptions, Router};
use super::route::{Claims, Context};
use super::supervisor::{Spec, Supervisor};
use super::telemetry::Telemetry;
use super::view::View;
use super::{ServeOptions, Server, Table, UpstreamSpec};
use active_config::ActiveConfig;
use status::StatusPage;

/// The longest time that a stopping VM waits, after its last request has ended, for other VMs to
/// take over its cells.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(10);

/// The inputs of a node that change while it runs. Each update replaces the whole value.
#[derive(Clone, Debug)]
pub struct NodeInputs {
    /// The live VMs, this one included.
    pub view: watch::Receiver<Arc<View>>,
    /// The configuration documents by name. Deleted documents are not in the map.
    pub documents: watch::Receiver<Arc<BTreeMap<String, DocumentText>>>,
    /// The published upstreams. Their `slots` are ignored: the node sets them from the documents.
    pub upstreams: watch::Receiver<Arc<Vec<UpstreamSpec>>>,
    /// Becomes true once callers may be served, and stays true.
    pub ready: watch::Receiver<bool>,
}

/// The options that a node is started with.
pub struct NodeOptions {
    /// Options of the request path.
    pub serve: ServeOptions,
    /// The VM's data centre.
    pub data_centre: DataCentre,
    /// The bound listener for peers.
    pub listener: Listener,
    /// The client for calls to other VMs. The sender of [`NodeInputs::view`] also updates its
    /// directory.
    pub peers: Peers,
    /// Handlers for calls from peers, in addition to those of the node itself.
    pub router: Router,
    /// The claims on idempotency keys. If `None`, keys are only compared with those in this VM's
    /// memory.
    pub claims: Option<Arc<dyn Claims>>,
    /// Tasks for the node's supervisor, in addition to those of the node itself.
    pub tasks: Vec<Spec>,
    /// The destination of counters, gauges and timers.
    pub telemetry: Telemetry,
}

impl NodeOptions {
    /// Binds the peer port and returns options without additional handlers and tasks.
    ///
    /// # Errors
    ///
    /// Returns an error with the address if the peer port cannot be bound.
    pub async fn bind(
        serve: ServeOptions,
        data_centre: DataCentre,
        peer: SocketAddr,
    ) -> eyre::Result<Self> {
        let listener = Listener::bind(peer, ListenerOptions::default()).await?;
        let peers = Peers::new(serve.vm.clone(), PeersOptions::default());
        Ok(Self {
            serve,
            data_centre,
            listener,
            peers,
            router: Router::new(),
            claims: None,
            tasks: Vec::new(),
            telemetry: Telemetry::in_memory(),
        })
    }
}

/// A running node. Dropping it ends it immediately; [`Node::stop`] ends it gracefully.
pub struct Node {
    server: Server,
    cells: Arc<SharedCells>,
    peer: ListenerHandle,
    active_config: Arc<ActiveConfig>,
    membership: Option<Membership>,
}

/// The membership protocol of a node and the supervisor that runs it.
struct Membership {
    cluster: Cluster,
    supervisor: Supervisor,
}

impl Node {
    /// Starts a node that applies the updates of `feed`. Callers are served once the feed is ready.
    ///
    /// # Errors
    ///
    /// Returns an error if a listener cannot be started or the feed ends before it is ready.
    pub async fn start(options: NodeOptions, feed: NodeInputs) -> eyre::Result<Self> {
        let clock = Clock::start();
        let table = Table::default();
        let vm = options.serve.vm.clone();
        let (cells, orphans) = SharedCells::new(vm, clock, options.peers);
        let telemetry = options.telemetry;
        let mut context = Context::new(
            options.serve,
            table.clone(),
            cells.clone(),
            clock,
            telemetry,
        );
        if let Some(claims) = options.claims {
            context.claims = claims;
        }
        let context = Arc::new(context);
        let active_config = Arc::new(ActiveConfig::new(table.clone(), Arc::clone(&cells)));

        let mut tasks = options.tasks;
        tasks.push(cells.tasks(&table, &feed.view));
        let (config, inputs) = (Arc::clone(&active_config), feed.clone());
        tasks.push(Spec::task("documents", move || {
            active_config::follow(Arc::clone(&config), inputs.clone())
        }));
        tasks.extend(poll::tasks(&context, cells.clone(), orphans));

        let page = StatusPage {
            data_centre: options.data_centre,
            context: Arc::clone(&context),
            cells: Arc::clone(&cells),
            active_config: Arc::clone(&active_config),
            view: feed.view,
        };
        let router = options.router.with::<CellPart>(cells.clone());
        let peer = options.listener.spawn(router, Arc::new(page))?;
        feed.ready.clone().wait_for(|ready| *ready).await?;
        let server = Server::bind(context, tasks).await?;
        Ok(Self {
            server,
            cells,
            peer,
            active_config,
            membership: None,
        })
    }

    /// Returns the address that callers connect to.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Returns the address that other VMs connect to.
    #[must_use]
    pub fn peer_addr(&self) -> SocketAddr {
        self.peer.addr()
    }

    /// Returns the server for callers.
    #[must_use]
    pub fn server(&self) -> &Server {
        &self.server
    }

    /// Returns this VM's state of the shared cells.
    #[must_use]
    pub fn cells(&self) -> &Arc<SharedCells> {
        &self.cells
    }

    /// Returns the revision in force of each document.
    #[must_use]
    pub fn in_force(&self) -> ActiveRevisions {
        self.active_config.in_force()
    }

    /// Stops gracefully (section 6.9 of `docs/design.md`).
    ///
    /// Returns true if every running request ended before the stop limit.
    pub async fn stop(&self) -> bool {
        self.server.stop_accepting();
        self.cells.leave();
        if let Some(membership) = &self.membership {
            membership.cluster.leave();
        }
        let complete = self.server.drain().await;
        // Waiting requests of other VMs move to the new owner as soon as those VMs learn of the
        // stop. The lease of a VM that does not answer expires in the meantime.
        let handed_over = timeout(HANDOVER_TIMEOUT, self.cells.drained())
            .await
            .is_ok();
        if !handed_over {
            log::warn!("other VMs have not taken all requests over");
        }
        self.server.supervisor().stop();
        if let Some(membership) = &self.membership {
            membership.supervisor.stop();
        }
        self.peer.stop().await;
        complete
    }

    /// Serves until SIGTERM, then stops gracefully. Returns the result of [`Self::stop`].
    ///
    /// Further SIGTERM signals have no effect.
    ///
    /// # Errors
    ///
    /// Returns an error if the signal handler cannot be installed or the supervisor gave up.
    pub async fn run_until_signal(&self) -> eyre::Result<bool> {
        // The handler stays installed, so that a second SIGTERM does not end the process.
        let mut terminate = signal(SignalKind::terminate())?;
        tokio::select! {
            _ = terminate.recv() => {}
            () = self.server.supervisor().failed() => eyre::bail!("the supervisor gave up"),
        }
        log::info!("stopping: no new requests are accepted");
        let complete = self.stop().await;
        log::info!(complete; "stopped");
        Ok(complete)
    }
}
