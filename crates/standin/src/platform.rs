//! A platform that serves configuration documents and the list of VMs and upstreams.

mod handlers;
mod state;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

pub use state::{Staleness, UpstreamEntry, ValueTooLarge, VmEntry};

use crate::server::{Handler, Server};
use state::Shared;

/// The options of a platform.
#[derive(Clone, Debug)]
pub struct PlatformOptions {
    /// The port on the loopback address; 0 chooses a free one.
    pub port: u16,
    /// The maximum number of reads per second; further ones are refused with 429.
    ///
    /// A watch counts as one read.
    pub reads_per_second: u32,
}

impl Default for PlatformOptions {
    fn default() -> Self {
        Self {
            port: 0,
            reads_per_second: 2_000,
        }
    }
}

/// A running platform, which stops when it is dropped.
///
/// # Example
///
/// ```
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() -> std::io::Result<()> {
/// let platform = standin::Platform::spawn(standin::PlatformOptions::default()).await?;
/// let revision = platform.put_document("celeste", "[organisation]\n").unwrap();
/// assert_eq!(revision, 1);
/// # Ok(())
/// # }
/// ```
pub struct Platform {
    server: Server,
    shared: Arc<Shared>,
}

impl Platform {
    /// Starts a platform on a free loopback port, or on the port that `options` name.
    ///
    /// # Errors
    ///
    /// Returns the error of opening the listening socket.
    pub async fn spawn(options: PlatformOptions) -> io::Result<Self> {
        let shared = Arc::new(Shared::new(options.reads_per_second));
        let handler: Handler = {
            let shared = shared.clone();
            Arc::new(move |_, request| {
                let shared = shared.clone();
                Box::pin(async move { Ok(handlers::handle(&shared, &request).await) })
            })
        };
        let server = Server::spawn(options.port, handler).await?;
        Ok(Self { server, shared })
    }

    /// Returns the address on which the platform listens, also while it is offline.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Stops the platform and releases its port.
    pub async fn stop(&self) {
        self.server.stop().await;
    }

    /// Simulates an outage: closes every connection and watch and refuses new ones.
    pub async fn go_offline(&self) {
        self.server.crash().await;
    }

    /// Ends the outage: listens on the same port with the same content.
    ///
    /// # Errors
    ///
    /// Returns the error of opening the listening socket.
    pub async fn go_online(&self) -> io::Result<()> {
        self.server.restart().await
    }

    /// Accepts connections and sends nothing while `silent` is true.
    ///
    /// Requests that arrived or ran in the meantime stay silent afterwards.
    pub fn set_silent(&self, silent: bool) {
        self.server.set_silent(silent);
    }

    /// Delays the handling of every request.
    pub fn set_delay(&self, delay: Duration) {
        self.server.set_delay(delay);
    }

    /// Chooses which replica serves reads: the current one, a stale one, or both alternately.
    ///
    /// The content of the stale replica is that of the time of this call.
    pub fn set_staleness(&self, staleness: Staleness) {
        self.shared.set_staleness(staleness);
    }

    /// Writes a document and returns its revision.
    ///
    /// # Errors
    ///
    /// Returns [`ValueTooLarge`] if the text is larger than 1 MB.
    pub fn put_document(&self, name: &str, text: &str) -> Result<u64, ValueTooLarge> {
        if text.len() > state::MAX_VALUE_BYTES {
            return Err(ValueTooLarge { bytes: text.len() });
        }
        Ok(self.shared.write_document(name, Some(text.into())))
    }

    /// Deletes a document, which increments the revision.
    pub fn delete_document(&self, name: &str) {
        self.shared.write_document(name, None);
    }

    /// Adds or replaces a VM in the list.
    pub fn put_vm(&self, vm: VmEntry) {
        self.shared.write_list(|list| {
            list.vms.insert(vm.name.clone(), vm);
        });
    }

    /// Removes a VM from the list.
    pub fn remove_vm(&self, name: &str) {
        self.shared.write_list(|list| {
            list.vms.remove(name);
        });
    }

    /// Adds or replaces an upstream in the list.
    pub fn put_upstream(&self, upstream: UpstreamEntry) {
        self.shared.write_list(|list| {
            list.upstreams.insert(upstream.name.clone(), upstream);
        });
    }

    /// Removes an upstream from the list.
    pub fn remove_upstream(&self, name: &str) {
        self.shared.write_list(|list| {
            list.upstreams.remove(name);
        });
    }

    /// Returns the number of admitted reads; a watch counts once.
    #[must_use]
    pub fn reads(&self) -> u64 {
        self.shared.reads()
    }

    /// Returns the number of reads that were refused because of the read limit.
    #[must_use]
    pub fn refused_reads(&self) -> u64 {
        self.shared.refused_reads()
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        self.server.abort();
    }
}
