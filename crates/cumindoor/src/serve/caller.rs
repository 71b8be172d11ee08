//! Callers' HTTP/1.1 listener.

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

/// Pause after a failed accept, for example when file descriptors are used up.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// How often idle connections to upstreams are looked at.
const SWEEP_PERIOD: Duration = Duration::from_secs(5);
/// Time for last events and cancels after the stop limit has passed.
const CUT_TIME: Duration = Duration::from_secs(2);
/// How often gauges are taken and counters are sent.
const REPORT_PERIOD: Duration = Duration::from_secs(1);

/// A running router; dropping it ends it at once, [`Server::stop`] does so gracefully.
pub struct Server {
    addr: SocketAddr,
    shared: Arc<Shared>,
    supervisor: Supervisor,
}

/// What the listener and the connections share.
struct Shared {
    context: Arc<Context>,
    listener: Mutex<Option<Arc<TcpListener>>>,
    /// Cancelled when no new connection or request is accepted any more.
    stopping: CancellationToken,
    connections: TaskTracker,
    permits: Arc<Semaphore>,
}

impl Server {
    /// Listens for callers and serves them until [`Self::stop`].
    ///
    /// `tasks` run under the same supervisor as the listener, for example a cell's scheduler.
    ///
    /// # Errors
    ///
    /// Returns the error of the listening socket.
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
        let measured = Arc::clone(shared);
        children.push(Spec::task("metrics", move || report(Arc::clone(&measured))));
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

    /// Returns what the requests share.
    #[must_use]
    pub fn context(&self) -> &Arc<Context> {
        &self.shared.context
    }

    /// Returns the tree of background tasks.
    #[must_use]
    pub fn supervisor(&self) -> &Supervisor {
        &self.supervisor
    }

    /// Returns the number of open connections of callers.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.shared.connections.len()
    }

    /// Stops accepting, waits for running requests within the stop limit and ends.
    ///
    /// Returns true if every request ended by itself.
    pub async fn stop(&self) -> bool {
        self.close();
        let complete = self.finished().await;
        self.supervisor.stop();
        complete
    }

    /// Stops accepting connections and requests; those in progress go on.
    pub fn close(&self) {
        let shared = &self.shared;
        shared.stopping.cancel();
        shared.lock_listener().take();
        shared.connections.close();
        shared.context.runs.close();
    }

    /// Waits within the stop limit until no request is left after [`Self::close`]; what is left
    /// then ends with an error.
    ///
    /// Returns true if every request ended by itself.
    pub async fn finished(&self) -> bool {
        let context = &self.shared.context;
        let complete = timeout(context.options.stop_limit, self.idle()).await;
        if complete.is_err() {
            context.cut.cancel();
            // Engines must not work on for callers that this process leaves behind.
            let _ = timeout(CUT_TIME, self.idle()).await;
        }
        complete.is_ok()
    }

    /// Waits until no connection, request or cancel is left.
    async fn idle(&self) {
        self.shared.connections.wait().await;
        self.shared.context.runs.wait().await;
        self.shared.context.canceller.idle().await;
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
    // The socket is closed when the last reference goes; the task itself ends with the tree.
    std::future::pending().await
}

async fn accept_from(shared: &Arc<Shared>, listener: &TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let permit = Arc::clone(&shared.permits).try_acquire_owned().ok();
        let served = connection::serve(Arc::clone(shared), stream, permit);
        shared.connections.spawn(served);
    }
}

/// Sends what is measured at intervals, and counters that wait for a full packet.
async fn report(shared: Arc<Shared>) -> eyre::Result<()> {
    let context = &shared.context;
    let gauge = |name, value: usize| context.telemetry.gauge(name, value as u64);
    loop {
        tokio::time::sleep(REPORT_PERIOD).await;
        gauge("caller.connections", shared.connections.len());
        gauge("request.running", context.live.len());
        gauge("cancel.pending", context.canceller.pending());
        gauge("upstream.idle-connections", context.engines.pool().idle());
        context.telemetry.flush();
    }
}

async fn sweep(context: Arc<Context>) -> eyre::Result<()> {
    loop {
        tokio::time::sleep(SWEEP_PERIOD).await;
        context.engines.pool().sweep();
        context.answers.sweep(context.options.once_retention);
    }
}
