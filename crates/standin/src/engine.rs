//! A model engine that prefills, decodes or does both.

mod cache;
mod calls;
mod decode;
mod line;
mod options;
mod prefill;
mod state;
mod transfer;
mod wire;

use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio_util::sync::CancellationToken;

pub use options::{EngineOptions, Fault, Role, TokenFault};
pub use state::{Counts, Order, Runs};

use crate::server::{Handler, Server};
use state::Shared;

/// A running engine; dropping it ends it.
pub struct Engine {
    server: Server,
    shared: Arc<Shared>,
    sampling: CancellationToken,
}

impl Engine {
    /// Starts an engine on a free loopback port, or on the port that `options` name.
    ///
    /// # Errors
    ///
    /// Returns the error of the listening socket.
    pub async fn spawn(options: EngineOptions) -> io::Result<Self> {
        let port = options.port;
        let shared = Arc::new(Shared::new(options));
        let handler: Handler = {
            let shared = shared.clone();
            Arc::new(move |life, request| {
                let shared = shared.clone();
                Box::pin(calls::dispatch(shared, life, request))
            })
        };
        let server = Server::spawn(port, handler).await?;
        shared.set_server(server.downgrade());
        let sampling = CancellationToken::new();
        calls::sample_first(&shared);
        let sampler = calls::sample_load(shared.clone());
        tokio::spawn(sampling.clone().run_until_cancelled_owned(sampler));
        Ok(Self {
            server,
            shared,
            sampling,
        })
    }

    /// Returns the address that it listens on.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Ends the engine and gives its port back.
    pub async fn stop(&self) {
        self.sampling.cancel();
        self.server.stop().await;
        self.shared.lock().lose_memory();
    }

    /// Dies: closes every connection, loses its memory and refuses connections.
    pub async fn die(&self) {
        self.server.die().await;
        self.shared.lock().lose_memory();
    }

    /// Comes back on the same port with empty memory. The counters keep their values.
    ///
    /// # Errors
    ///
    /// Returns the error of the listening socket.
    pub async fn revive(&self) -> io::Result<()> {
        self.server.revive().await
    }

    /// Accepts connections and answers nothing while `silent` is true.
    ///
    /// Requests and streams that were caught stay silent after the switch is off again.
    pub fn set_silent(&self, silent: bool) {
        self.server.set_silent(silent);
    }

    /// Makes all open connections and their streams silent for good; new connections work.
    pub fn freeze_open(&self) {
        self.server.freeze_open();
    }

    /// Delays every answer.
    pub fn set_delay(&self, delay: Duration) {
        self.server.set_delay(delay);
    }

    /// Changes the fault switches.
    ///
    /// # Example
    ///
    /// ```
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() -> std::io::Result<()> {
    /// let engine = standin::Engine::spawn(standin::EngineOptions::default()).await?;
    /// engine.fault(|fault| fault.stall_transfers = true);
    /// # Ok(())
    /// # }
    /// ```
    pub fn fault(&self, change: impl FnOnce(&mut Fault)) {
        change(&mut self.shared.lock().fault);
        self.shared.changed.notify_waiters();
    }

    /// Returns how often the request `id` was started here.
    #[must_use]
    pub fn runs(&self, id: &str) -> Runs {
        let state = self.shared.lock();
        state.runs_by_id.get(id).copied().unwrap_or_default()
    }

    /// Returns how often a request with `prompt` was started here, under any id.
    #[must_use]
    pub fn runs_of_prompt(&self, prompt: &str) -> Runs {
        let state = self.shared.lock();
        let key = crate::text::answer_seed(prompt);
        state.runs_by_prompt.get(&key).copied().unwrap_or_default()
    }

    /// Returns the counters since the start.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.shared.lock().counts
    }

    /// Returns the decode slots that are occupied now.
    #[must_use]
    pub fn slots_used(&self) -> u32 {
        self.shared.lock().slots_used()
    }

    /// Returns the ids that hold memory now: queued or running prefills, results that wait for
    /// their import, and decodes.
    #[must_use]
    pub fn held(&self) -> BTreeSet<Arc<str>> {
        self.shared.lock().held()
    }

    /// Returns the accepted orders, oldest first.
    #[must_use]
    pub fn orders(&self) -> Vec<Order> {
        self.shared.lock().orders.clone()
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.sampling.cancel();
        self.server.abort();
    }
}
