//! The task that runs membership and the distribution of documents on real connections.
//!
//! It joins `coord::member` and `coord::config` with the peers ([`Peers`]) and the registry
//! ([`Registry`]) and publishes the view, the documents and the list over
//! [`tokio::sync::watch`]. The list of VMs and upstreams is distributed like the documents, one
//! document for each entry, so that a few VMs read it from the platform and a change costs the
//! bytes of the changed entry (`docs/decisions/configuration.md`).
//!
//! The task holds no state that a restart must keep: [`Cluster::run`] may be called again after
//! it failed. It then boots as a new process would; what was published stays until it is replaced
//! by something newer.

mod listing;
mod part;
mod published;
mod task;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime};

use coord::claim::VmList;
use coord::config::{self, Validator};
use coord::member::{self, LocalVm, View};
use coord::name::{DataCentre, VmName};
use tokio::sync::{Mutex, mpsc, watch};
use tokio_util::sync::CancellationToken;

use super::peer::{Peers, Router};
use super::registry::Registry;
use part::Incoming;
use published::Published;
use task::Task;

pub use part::{ClusterCall, ClusterPart};
pub use published::{Documents, Findings, ListedEntries, PublishedDocument};

/// Names of documents that start with this hold the list; a document of an organisation cannot.
const LIST_PREFIX: &str = "@";

/// The number of calls from peers that may wait for the task. Further ones are answered with
/// nothing, like a lost message.
const INBOX: usize = 1_024;

/// What a VM must know to join the fleet.
#[derive(Clone)]
pub struct ClusterOptions {
    /// The VM's name.
    pub name: VmName,
    /// Its data centre.
    pub zone: DataCentre,
    /// The address of its peer port as peers see it.
    pub addr: std::net::SocketAddr,
    /// The seed of its random choices.
    pub seed: u64,
    /// Checks organisations' documents.
    pub validator: Validator,
    /// Times of membership.
    pub members: member::Options,
    /// Times of the distribution.
    pub config: config::Options,
}

/// A handle on the task; clones share it.
#[derive(Clone)]
pub struct Cluster {
    shared: Arc<Shared>,
}

struct Shared {
    options: ClusterOptions,
    peers: Peers,
    registry: Arc<Registry>,
    published: Published,
    sender: mpsc::Sender<Incoming>,
    inbox: Mutex<mpsc::Receiver<Incoming>>,
    leaving: CancellationToken,
    boot: AtomicU64,
}

impl Cluster {
    /// Returns a cluster that does nothing until [`run`](Self::run) is called.
    #[must_use]
    pub fn new(options: ClusterOptions, peers: Peers, registry: Registry) -> Self {
        let (sender, inbox) = mpsc::channel(INBOX);
        let shared = Shared {
            options,
            peers,
            registry: Arc::new(registry),
            published: Published::new(),
            sender,
            inbox: Mutex::new(inbox),
            leaving: CancellationToken::new(),
            boot: AtomicU64::new(0),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Registers the handler of peers' messages.
    #[must_use]
    pub fn register(&self, router: Router) -> Router {
        router.with::<ClusterPart>(Arc::new(part::Inbox(self.shared.sender.clone())))
    }

    /// Runs until `stop` is cancelled. At most one run is under way; a second call waits.
    pub async fn run(&self, stop: CancellationToken) {
        let mut inbox = self.shared.inbox.lock().await;
        let mut task = Task::new(Arc::clone(&self.shared));
        stop.run_until_cancelled(task.run(&mut inbox)).await;
    }

    /// Announces to the fleet that this VM is stopping; it gets no new ownership.
    pub fn leave(&self) {
        self.shared.leaving.cancel();
    }

    /// Returns the view as it changes.
    #[must_use]
    pub fn view(&self) -> watch::Receiver<Arc<View>> {
        self.shared.published.view.subscribe()
    }

    /// Returns the documents in force as they change.
    #[must_use]
    pub fn documents(&self) -> watch::Receiver<Documents> {
        self.shared.published.documents.subscribe()
    }

    /// Returns the platform's list as it changes.
    #[must_use]
    pub fn listed(&self) -> watch::Receiver<Arc<ListedEntries>> {
        self.shared.published.listed.subscribe()
    }

    /// Returns the names of the listed VMs as it changes, with the revision that claims name. All
    /// names are those of that revision of the platform.
    #[must_use]
    pub fn vm_list(&self) -> watch::Receiver<Option<VmList>> {
        self.shared.published.vm_list.subscribe()
    }

    /// Returns the findings of malformed documents as they change. The last good text of each of
    /// these documents is in force.
    #[must_use]
    pub fn findings(&self) -> watch::Receiver<Arc<Findings>> {
        self.shared.published.findings.subscribe()
    }

    /// Returns whether this VM may serve, as it changes.
    #[must_use]
    pub fn ready(&self) -> watch::Receiver<bool> {
        self.shared.published.ready.subscribe()
    }

    /// Returns `true` if decisions may be based on the view now. Ask at the moment of the
    /// decision: after a pause of this process, the answer is `false` at once.
    #[must_use]
    pub fn trusted(&self) -> bool {
        self.shared
            .published
            .trusted(self.shared.options.members.pause_threshold)
    }
}

impl Shared {
    /// Returns the own VM with a boot number above those of earlier runs.
    fn me(&self) -> LocalVm {
        let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let now = u64::try_from(now.unwrap_or(Duration::ZERO).as_millis()).unwrap_or(u64::MAX);
        let last = self.boot.load(Ordering::Acquire);
        let boot = now.max(last + 1);
        self.boot.store(boot, Ordering::Release);
        let options = &self.options;
        LocalVm {
            name: options.name.clone(),
            zone: options.zone.clone(),
            addr: options.addr,
            boot,
        }
    }
}
