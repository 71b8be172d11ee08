//! A model engine that runs prefills, decodes or both.

mod cache;
mod decode;
mod handlers;
mod options;
mod prefill;
mod queue;
mod state;
mod transfer;
mod wire;

use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio_util::sync::CancellationToken;

pub use options::{EngineFaults, EngineOptions, Role, TokenFault};
pub use state::{Counts, Order, Runs};

use crate::server::{Handler, Server};
use state::Shared;

/// A running engine, which stops when it is dropped.
pub struct Engine {
    server: Server,
    shared: Arc<Shared>,
    sampler_shutdown: CancellationToken,
}

impl Engine {
    /// Starts an engine on a free loopback port, or on the port that `options` name.
    ///
    /// # Errors
    ///
    /// Returns the error of opening the listening socket.
    pub async fn spawn(options: EngineOptions) -> io::Result<Self> {
        let port = options.port;
        let shared = Arc::new(Shared::new(options));
        let handler: Handler = {
            let shared = shared.clone();
            Arc::new(move |shutdown, request| {
                let shared = shared.clone();
                Box::pin(handlers::dispatch(shared, shutdown, request))
            })
        };
        let server = Server::spawn(port, handler).await?;
        shared.set_server(server.downgrade());
        let sampler_shutdown = CancellationToken::new();
        handlers::sample_first(&shared);
        let sampler = handlers::sample_load(shared.clone());
        tokio::spawn(sampler_shutdown.clone().run_until_cancelled_owned(sampler));
        Ok(Self {
            server,
            shared,
            sampler_shutdown,
        })
    }

    /// Returns the address on which the engine listens, also while it is down.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Stops the engine and releases its port.
    pub async fn stop(&self) {
        self.sampler_shutdown.cancel();
        self.server.stop().await;
        self.shared.lock().reset_memory();
    }

    /// Simulates a crash: closes every connection, refuses new ones and clears the memory.
    pub async fn crash(&self) {
        self.server.crash().await;
        self.shared.lock().reset_memory();
    }

    /// Listens again on the same port after [`Self::crash`], with empty memory.
    ///
    /// The counters keep their values.
    ///
    /// # Errors
    ///
    /// Returns the error of opening the listening socket.
    pub async fn restart(&self) -> io::Result<()> {
        self.server.restart().await
    }

    /// Accepts connections and sends nothing while `silent` is true.
    ///
    /// Requests and streams that arrived or ran in the meantime stay silent afterwards.
    pub fn set_silent(&self, silent: bool) {
        self.server.set_silent(silent);
    }

    /// Makes all open connections and their streams silent until they close; new connections work.
    pub fn freeze_open_connections(&self) {
        self.server.freeze_open_connections();
    }

    /// Delays the handling of every request.
    pub fn set_delay(&self, delay: Duration) {
        self.server.set_delay(delay);
    }

    /// Changes the faults that the engine injects.
    ///
    /// # Example
    ///
    /// ```
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() -> std::io::Result<()> {
    /// let engine = standin::Engine::spawn(standin::EngineOptions::default()).await?;
    /// engine.update_faults(|faults| faults.stall_transfers = true);
    /// # Ok(())
    /// # }
    /// ```
    pub fn update_faults(&self, update: impl FnOnce(&mut EngineFaults)) {
        update(&mut self.shared.lock().faults);
        self.shared.faults_changed.notify_waiters();
    }

    /// Returns how many prefills and decodes of the request `id` the engine accepted.
    #[must_use]
    pub fn runs(&self, id: &str) -> Runs {
        let state = self.shared.lock();
        state.runs_by_id.get(id).copied().unwrap_or_default()
    }

    /// Returns how many prefills and decodes with `prompt` the engine accepted, under any id.
    #[must_use]
    pub fn runs_of_prompt(&self, prompt: &str) -> Runs {
        let state = self.shared.lock();
        let key = crate::text::answer_seed(prompt);
        state.runs_by_prompt.get(&key).copied().unwrap_or_default()
    }

    /// Returns the counters since [`Self::spawn`].
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.shared.lock().counts
    }

    /// Returns the number of decode slots that are in use.
    #[must_use]
    pub fn slots_used(&self) -> u32 {
        self.shared.lock().slots_used()
    }

    /// Returns the ids of the requests that hold memory: queued or running prefills, KV caches that
    /// are not imported yet, and decodes.
    #[must_use]
    pub fn held_ids(&self) -> BTreeSet<Arc<str>> {
        self.shared.lock().held_ids()
    }

    /// Returns the accepted orders in the order of their arrival.
    #[must_use]
    pub fn orders(&self) -> Vec<Order> {
        self.shared.lock().orders.clone()
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.sampler_shutdown.cancel();
        self.server.abort();
    }
}
