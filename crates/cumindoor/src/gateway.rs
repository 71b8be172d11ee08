//! A gateway that relays callers' requests to the upstreams published in a store.
//!
//! Each gateway decides on its own, based on what the store publishes, on the load that it has
//! placed itself and on the digests of other gateways. Nothing of this is persisted, and no gateway
//! waits for another one. [`Gateway::bind`] returns a handle to a running gateway. The protocol of
//! a platform is left to its adapter, which implements [`border::Catalogue`] and
//! [`border::Dialect`].
//!
//! See `docs/platform.md` for the reasons.

pub mod admission;
pub mod callers;
mod context;
pub mod crash_watch;
pub mod engines;
pub mod exchange;
pub mod fleet;
pub mod organisations;
mod settings;
pub mod store;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use border::{Catalogue, Dialect, Topic};
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::{Instant, sleep, timeout_at};
use tokio_util::task::TaskTracker;

pub use context::Context;
pub use settings::{SECTIONS, Settings};

use crate::serve::supervisor::{RestartPolicy, Spec, Strategy, Supervisor};
use admission::orders;
use callers::listeners::{CallerListener, StatusListener};
use fleet::forward::ForwardListener;
use fleet::peers::PeerExchange;
use store::store_watch;

/// Time for which the load balancer may still send new connections after readiness ended: it checks
/// once a second and removes a gateway after two failed checks.
const BALANCER_DETECTION_TIME: Duration = Duration::from_secs(3);
/// Interval at which idle connections to upstreams are checked.
const SWEEP_INTERVAL: Duration = Duration::from_secs(2);

/// A running gateway. Dropping it ends it at once; [`Gateway::stop`] ends it gracefully.
pub struct Gateway {
    ctx: Arc<Context>,
    callers: SocketAddr,
    ready: SocketAddr,
    connections: TaskTracker,
    supervisor: Supervisor,
}

impl Gateway {
    /// Binds the listeners and starts the tasks of a gateway.
    ///
    /// # Errors
    ///
    /// Returns an error with the address if a listener cannot be bound.
    pub async fn bind(
        settings: Settings,
        catalogue: Arc<dyn Catalogue>,
        dialect: Arc<dyn Dialect>,
        seed: u64,
    ) -> eyre::Result<Self> {
        let ctx = Context::new(settings, catalogue, dialect, seed);
        let connections = TaskTracker::new();
        let caller_listener = Arc::new(CallerListener::bind(&ctx, connections.clone()).await?);
        let ready = Arc::new(StatusListener::readiness(&ctx).await?);
        let peers = Arc::new(PeerExchange::bind(&ctx).await?);
        let forwards = Arc::new(ForwardListener::new(&ctx, connections.clone()));
        let (callers, ready_addr) = (caller_listener.addr(), ready.addr()?);
        let mut tasks = vec![
            Spec::task("callers", move || Arc::clone(&caller_listener).run()),
            Spec::task("readiness", move || Arc::clone(&ready).run()),
            Spec::task("peers", move || Arc::clone(&peers).run()),
            Spec::task("forwards", move || Arc::clone(&forwards).run()),
        ];
        if let Some(addr) = ctx.settings().listen.metrics {
            let metrics = Arc::new(StatusListener::metrics(&ctx, addr.0).await?);
            tasks.push(Spec::task("metrics", move || Arc::clone(&metrics).run()));
        }
        for (name, topic) in [("routing", Topic::Routing), ("upstreams", Topic::Upstreams)] {
            let watching = Arc::clone(&ctx);
            tasks.push(Spec::task(name, move || {
                store_watch::watch_topic(Arc::clone(&watching), topic)
            }));
        }
        let expiring = Arc::clone(&ctx);
        tasks.push(Spec::task("expiry", move || {
            store_watch::expire_missing(Arc::clone(&expiring))
        }));
        let balancing = Arc::clone(&ctx);
        tasks.push(Spec::task("orders", move || {
            orders::balance_stages(Arc::clone(&balancing))
        }));
        let sweeping = Arc::clone(&ctx);
        tasks.push(Spec::task("idle-connections", move || {
            sweep(Arc::clone(&sweeping))
        }));
        let root = Spec::group("gateway", Strategy::OneForOne, tasks);
        let (supervisor, mut changes) = Supervisor::spawn(root, RestartPolicy::default());
        let telemetry = ctx.telemetry.clone();
        tokio::spawn(async move {
            while let Some(change) = changes.recv().await {
                telemetry.count(&format!("supervisor.{}", change.counter_suffix()));
            }
        });
        Ok(Self {
            ctx,
            callers,
            ready: ready_addr,
            connections,
            supervisor,
        })
    }

    /// Returns the address on which callers connect.
    #[must_use]
    pub fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// Returns the address of the readiness check.
    #[must_use]
    pub fn ready(&self) -> SocketAddr {
        self.ready
    }

    /// Returns the state shared by the tasks, for inspection.
    #[must_use]
    pub fn context(&self) -> &Arc<Context> {
        &self.ctx
    }

    /// Stops gracefully: reports that it is not ready, serves until the load balancer has noticed,
    /// and then closes each connection of a caller when its current request ends.
    ///
    /// Returns true if every request ended before the stop limit.
    pub async fn stop(&self) -> bool {
        let limit = Instant::now() + self.ctx.settings().stop_limit();
        let limit = *self.ctx.stop_limit.get_or_init(|| limit);
        self.ctx.stopping.cancel();
        self.ctx.digest_due.notify_one();
        let accepting = BALANCER_DETECTION_TIME.min(self.ctx.settings().stop_limit().mul_f64(0.45));
        sleep(accepting).await;
        self.ctx.closing.cancel();
        self.connections.close();
        self.ctx.tasks.close();
        let ended = timeout_at(limit, async {
            self.connections.wait().await;
            self.ctx.tasks.wait().await;
        });
        let complete = ended.await.is_ok();
        self.supervisor.stop();
        complete
    }

    /// Serves until SIGTERM, then stops gracefully. Further signals have no effect.
    ///
    /// # Errors
    ///
    /// Returns an error if the signal handler cannot be installed or the supervisor gave up.
    pub async fn run_until_signal(&self) -> eyre::Result<bool> {
        // The handler stays installed, so a second signal does not end the process.
        let mut terminate = signal(SignalKind::terminate())?;
        tokio::select! {
            _ = terminate.recv() => {}
            () = self.supervisor.failed() => eyre::bail!("the supervisor gave up restarting failed tasks"),
        }
        log::info!("stopping");
        let complete = self.stop().await;
        log::info!(complete; "stopped");
        Ok(complete)
    }
}

async fn sweep(ctx: Arc<Context>) -> eyre::Result<()> {
    loop {
        sleep(SWEEP_INTERVAL).await;
        ctx.pool.close_expired();
    }
}
