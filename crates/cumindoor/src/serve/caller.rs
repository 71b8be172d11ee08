//! Callers' HTTP/1.1 listener.

mod answer;
mod body;
mod connection;
mod handler;
mod io;
mod parse;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use eyre::WrapErr;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

pub use parse::chat_prompt;

use crate::serve::cell::{Cell, Clock};
use crate::serve::route::Context;
use crate::serve::spec::{ServeOptions, Table};

/// Pause after a failed accept, for example when file descriptors are used up.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// A running router; dropping it does not stop it, [`Server::stop`] does.
pub struct Server {
    addr: SocketAddr,
    shared: Arc<Shared>,
}

/// What the listener and the connections share.
struct Shared {
    context: Arc<Context>,
    /// Cancelled when no new connection or request is accepted any more.
    stopping: CancellationToken,
    /// Cancelled when the background tasks have to end.
    ended: CancellationToken,
    connections: TaskTracker,
    permits: Arc<Semaphore>,
}

impl Server {
    /// Listens for callers and serves them until [`Self::stop`].
    ///
    /// # Errors
    ///
    /// Returns the error of the listening socket.
    pub async fn bind(
        options: ServeOptions,
        table: Table,
        cell: Arc<dyn Cell>,
        clock: Clock,
    ) -> eyre::Result<Self> {
        let listener = TcpListener::bind(options.listen)
            .await
            .wrap_err_with(|| format!("cannot listen on {}", options.listen))?;
        let addr = listener.local_addr()?;
        let permits = Arc::new(Semaphore::new(options.limits.connections));
        let shared = Arc::new(Shared {
            context: Arc::new(Context::new(options, table, cell, clock)),
            stopping: CancellationToken::new(),
            ended: CancellationToken::new(),
            connections: TaskTracker::new(),
            permits,
        });
        tokio::spawn(accept(Arc::clone(&shared), listener));
        let background = Arc::clone(&shared);
        tokio::spawn(async move {
            let context = &background.context;
            let cancels = context.canceller.run(context.engines.clone());
            background.ended.run_until_cancelled(cancels).await;
        });
        Ok(Self { addr, shared })
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

    /// Stops accepting, waits for running requests within the stop limit and ends.
    ///
    /// Returns true if every request ended by itself.
    pub async fn stop(&self) -> bool {
        let shared = &self.shared;
        let context = &shared.context;
        shared.stopping.cancel();
        shared.connections.close();
        context.runs.close();
        let finished = async {
            shared.connections.wait().await;
            context.runs.wait().await;
            context.canceller.idle().await;
        };
        let complete = timeout(context.options.stop_limit, finished).await.is_ok();
        shared.ended.cancel();
        complete
    }
}

async fn accept(shared: Arc<Shared>, listener: TcpListener) {
    loop {
        let accepted = tokio::select! {
            () = shared.stopping.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let permit = Arc::clone(&shared.permits).try_acquire_owned().ok();
        let served = connection::serve(Arc::clone(&shared), stream, permit);
        shared.connections.spawn(served);
    }
}
