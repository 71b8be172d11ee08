//! One router process among others: callers' and peers' listeners, cells, documents in force.

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

/// How long a stopping VM waits, after its last request, for other VMs to take its cells over.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(10);

/// What a node learns while it runs; the senders replace whole values.
#[derive(Clone, Debug)]
pub struct Feed {
    /// The live VMs, this one included.
    pub view: watch::Receiver<Arc<View>>,
    /// The documents by name; one that is deleted is not in the map.
    pub documents: watch::Receiver<Arc<BTreeMap<String, DocumentText>>>,
    /// The published upstreams; `slots` is filled in from the documents.
    pub upstreams: watch::Receiver<Arc<Vec<UpstreamSpec>>>,
    /// True once callers may be served; never false after that.
    pub ready: watch::Receiver<bool>,
}

/// What a node is started with.
pub struct NodeOptions {
    /// Options of the request path.
    pub serve: ServeOptions,
    /// The VM's data centre.
    pub data_centre: DataCentre,
    /// The bound port for other VMs.
    pub listener: Listener,
    /// Client of the other VMs; whoever feeds the view keeps its directory current.
    pub peers: Peers,
    /// Parts on the peer port besides those of the node itself.
    pub router: Router,
    /// Claims on idempotency keys; without them, the VM's own memory decides.
    pub claims: Option<Arc<dyn Claims>>,
    /// Tasks under the node's supervisor besides those of the node itself.
    pub tasks: Vec<Spec>,
    /// Counters and timers.
    pub telemetry: Telemetry,
}

impl NodeOptions {
    /// Returns options without further parts and tasks, with a bound peer port.
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

/// A running node; dropping it ends it at once, [`Node::stop`] does so gracefully.
pub struct Node {
    server: Server,
    cells: Arc<SharedCells>,
    peer: ListenerHandle,
    active_config: Arc<ActiveConfig>,
    membership: Option<Membership>,
}

/// The cluster task of a node and the supervisor that it runs under.
struct Membership {
    cluster: Cluster,
    supervisor: Supervisor,
}

impl Node {
    /// Starts a node that follows `feed`; callers are served once the feed is ready.
    ///
    /// # Errors
    ///
    /// Returns the error of a listening socket.
    pub async fn start(options: NodeOptions, feed: Feed) -> eyre::Result<Self> {
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

    /// Returns the callers' side.
    #[must_use]
    pub fn server(&self) -> &Server {
        &self.server
    }

    /// Returns the cells as this VM sees them.
    #[must_use]
    pub fn cells(&self) -> &Arc<SharedCells> {
        &self.cells
    }

    /// Returns the documents in force.
    #[must_use]
    pub fn in_force(&self) -> ActiveRevisions {
        self.active_config.in_force()
    }

    /// Stops as section 6.9 of the design says; returns true if every request ended by itself.
    pub async fn stop(&self) -> bool {
        self.server.close();
        self.cells.leave();
        if let Some(membership) = &self.membership {
            membership.cluster.leave();
        }
        let complete = self.server.finished().await;
        // Other VMs' waiting requests move as soon as they hear of the stop. A VM that does not
        // answer loses its lease in the meantime.
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

    /// Serves until SIGTERM, then stops gracefully; further signals have no effect.
    ///
    /// # Errors
    ///
    /// Returns an error if the signal cannot be watched or the supervisor gave up.
    pub async fn run_until_signal(&self) -> eyre::Result<bool> {
        // The handler stays installed, so a second signal does not end the process.
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
