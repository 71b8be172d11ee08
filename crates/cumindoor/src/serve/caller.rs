//! HTTP/1.1 listener for callers.

mod answer;
mod body;
mod connection;
mod handler;
mod io;
mod parse;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use eyre::WrapErr;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::Semaphore;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

pub use parse::chat_prompt;

use crate::serve::route::Context;
use crate::serve::supervisor::{RestartPolicy, Spec, Strategy, Supervisor};

/// Delay after a failed accept, for example when the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Interval at which expired connections to upstreams and expired recorded answers are removed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(5);
/// Time for the last events and cancels after the stop limit has passed.
const FORCED_STOP_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval at which gauges are sampled and counters are sent.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// A running router; dropping it stops it at once, [`Server::stop`] stops it gracefully.
pub struct Server {
    addr: SocketAddr,
    shared: Arc<Shared>,
    supervisor: Supervisor,
}

/// State shared by the listener and the connections.
struct Shared {
    context: Arc<Context>,
    listener: Mutex<Option<Arc<TcpListener>>>,
    /// Cancelled when the router stops accepting connections and requests.
    stopping: CancellationToken,
    connections: TaskTracker,
    permits: Arc<Semaphore>,
}

impl Server {
    /// Listens for callers and serves them until [`Self::stop`].
    ///
    /// `tasks` run under the same supervisor as the listener, for example the scheduler of a cell.
    ///
    /// # Errors
    ///
    /// Returns an error if the listening socket cannot be opened.
    pub async fn bind(context: Arc<Context>, tasks: Vec<Spec>) -> eyre::Result<Self> {
        let listen = context.options.listen;
        let listener = TcpListener::bind(listen)
            .await
            .wrap_err_with(|| format!("cannot listen on {listen}"))?;
        let addr = listener.local_addr()?;
        let permits = Arc::new(Semaphore::new(context.options.limits.connections));
        let shared = Arc::new(Shared {
            context,
            listener: Mutex::new(Some(Arc::new(listener))),
            stopping: CancellationToken::new(),
            connections: TaskTracker::new(),
            permits,
        });
        let supervisor = Self::supervise(&shared, tasks);
        Ok(Self {
            addr,
            shared,
            supervisor,
        })
    }

    fn supervise(shared: &Arc<Shared>, tasks: Vec<Spec>) -> Supervisor {
        let accepting = Arc::clone(shared);
        let mut children = vec![Spec::task("callers", move || {
            accept(Arc::clone(&accepting))
        })];
        let context = Arc::clone(&shared.context);
        children.push(Spec::task("cancels", move || {
            let context = Arc::clone(&context);
            async move {
                context.canceller.run(context.engines.clone()).await;
                Ok(())
            }
        }));
        let context = Arc::clone(&shared.context);
        children.push(Spec::task("idle-connections", move || {
            sweep(Arc::clone(&context))
        }));
        let reported = Arc::clone(shared);
        children.push(Spec::task("metrics", move || report(Arc::clone(&reported))));
        children.extend(tasks);
        let root = Spec::group("router", Strategy::OneForOne, children);
        let (supervisor, mut changes) = Supervisor::spawn(root, RestartPolicy::default());
        let telemetry = shared.context.telemetry.clone();
        tokio::spawn(async move {
            while let Some(change) = changes.recv().await {
                telemetry.count(&format!("supervisor.{}", change.counter_suffix()));
            }
        });
        supervisor
    }

    /// Returns the address that callers connect to.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the state shared by all requests.
    #[must_use]
    pub fn context(&self) -> &Arc<Context> {
        &self.shared.context
    }

    /// Returns the supervisor of the background tasks.
    #[must_use]
    pub fn supervisor(&self) -> &Supervisor {
        &self.supervisor
    }

    /// Returns the number of open connections of callers.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.shared.connections.len()
    }

    /// Stops accepting, waits for running requests within the stop limit and stops the router.
    ///
    /// Returns true if every request completed within the limit.
    pub async fn stop(&self) -> bool {
        self.stop_accepting();
        let complete = self.drain().await;
        self.supervisor.stop();
        complete
    }

    /// Stops accepting connections and requests; those in progress continue.
    pub fn stop_accepting(&self) {
        let shared = &self.shared;
        shared.stopping.cancel();
        shared.lock_listener().take();
        shared.connections.close();
        shared.context.tasks.close();
    }

    /// Waits until no request is left after [`Self::stop_accepting`]; requests that are left when
    /// the stop limit has passed end with an error.
    ///
    /// Returns true if every request completed within the limit.
    pub async fn drain(&self) -> bool {
        let context = &self.shared.context;
        let complete = timeout(context.options.stop_limit, self.wait_until_idle()).await;
        if complete.is_err() {
            context.abort.cancel();
            // The aborted requests must be cancelled on their engines before the process ends.
            let _ = timeout(FORCED_STOP_TIMEOUT, self.wait_until_idle()).await;
        }
        complete.is_ok()
    }

    /// Waits until no connection, request or pending cancel is left.
    async fn wait_until_idle(&self) {
        self.shared.connections.wait().await;
        self.shared.context.tasks.wait().await;
        self.shared.context.canceller.wait_until_empty().await;
    }

    /// Serves until SIGTERM, then stops gracefully; later SIGTERMs have no effect.
    ///
    /// # Errors
    ///
    /// Returns an error if the signal handler cannot be installed or the supervisor gave up.
    pub async fn run_until_signal(&self) -> eyre::Result<bool> {
        // The handler stays installed, so a second SIGTERM does not kill the process.
        let mut terminate = signal(SignalKind::terminate())?;
        tokio::select! {
            _ = terminate.recv() => {}
            () = self.supervisor.failed() => eyre::bail!("the supervisor gave up"),
        }
        log::info!("stopping: no new requests are accepted");
        let complete = self.stop().await;
        log::info!(complete; "stopped");
        Ok(complete)
    }
}

impl Shared {
    fn lock_listener(&self) -> MutexGuard<'_, Option<Arc<TcpListener>>> {
        self.listener.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn accept(shared: Arc<Shared>) -> eyre::Result<()> {
    let listener = shared.lock_listener().clone();
    if let Some(listener) = listener {
        let accepting = accept_from(&shared, &listener);
        shared.stopping.run_until_cancelled(accepting).await;
        drop(listener);
    }
    // The socket closes when its last reference is dropped. The task does not return, because the
    // supervisor would restart it.
    std::future::pending().await
}

async fn accept_from(shared: &Arc<Shared>, listener: &TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let permit = Arc::clone(&shared.permits).try_acquire_owned().ok();
        let served = connection::serve(Arc::clone(shared), stream, permit);
        shared.connections.spawn(served);
    }
}

/// Samples the gauges and sends counters that would otherwise wait for a full packet.
async fn report(shared: Arc<Shared>) -> eyre::Result<()> {
    let context = &shared.context;
    let gauge = |name, value: usize| context.telemetry.gauge(name, value as u64);
    loop {
        tokio::time::sleep(REPORT_INTERVAL).await;
        gauge("caller.connections", shared.connections.len());
        gauge("request.running", context.live.len());
        gauge("cancel.pending", context.canceller.pending());
        gauge(
            "upstream.idle-connections",
            context.engines.pool().idle_count(),
        );
        context.telemetry.flush();
    }
}

async fn sweep(context: Arc<Context>) -> eyre::Result<()> {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        context.engines.pool().close_expired();
        context.answers.sweep(context.options.once_retention);
    }
}
