//! The task that runs cluster membership and the distribution of documents over the network.
//!
//! It connects the state machines `coord::member` and `coord::config` to the peers ([`Peers`]) and
//! the configuration service ([`Registry`]), and publishes the membership view, the documents and
//! the list of VMs and upstreams through [`tokio::sync::watch`]. The list is distributed like the
//! documents, with one document for each entry. Only a few VMs read it from the platform, and a
//! change transfers only the changed entry (`docs/decisions/configuration.md`).
//!
//! No state of the task needs to survive a restart, so [`Cluster::run`] may be called again after
//! a failure. The task then starts as in a new process. What was published before stays available
//! until a newer version replaces it.

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
use part::IncomingCall;
use published::Published;
use task::Task;

pub use part::{ClusterCall, ClusterPart};
pub use published::{Documents, ListedEntries, PublishedDocument, ValidationErrors};

/// The prefix of the names of documents that hold the list. Documents of organisations must not
/// have it.
const LIST_PREFIX: &str = "@";

/// The maximum number of calls from peers that wait for the task. Further calls get an empty reply,
/// and their messages are lost.
const INBOX_CALLS: usize = 1_024;

/// The settings with which a VM joins the fleet.
#[derive(Clone)]
pub struct ClusterOptions {
    /// The name of the VM, which is unique in the fleet.
    pub name: VmName,
    /// The data centre in which the VM runs.
    pub data_centre: DataCentre,
    /// The address at which peers reach its peer port.
    pub addr: std::net::SocketAddr,
    /// The seed of the random number generators of membership and distribution.
    pub seed: u64,
    /// The check of organisations' documents.
    pub validator: Validator,
    /// The time limits of membership.
    pub members: member::Options,
    /// The time limits of the distribution of documents.
    pub config: config::Options,
}

/// A handle to the cluster task. Clones refer to the same task.
#[derive(Clone)]
pub struct Cluster {
    shared: Arc<Shared>,
}

struct Shared {
    options: ClusterOptions,
    peers: Peers,
    registry: Arc<Registry>,
    published: Published,
    sender: mpsc::Sender<IncomingCall>,
    inbox: Mutex<mpsc::Receiver<IncomingCall>>,
    leaving: CancellationToken,
    /// The boot number of the last run.
    boot: AtomicU64,
}

impl Cluster {
    /// Returns a handle whose task starts when [`run`](Self::run) is called.
    #[must_use]
    pub fn new(options: ClusterOptions, peers: Peers, registry: Registry) -> Self {
        let (sender, inbox) = mpsc::channel(INBOX_CALLS);
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

    /// Registers the handler of messages from peers.
    #[must_use]
    pub fn register(&self, router: Router) -> Router {
        router.with::<ClusterPart>(Arc::new(part::Inbox(self.shared.sender.clone())))
    }

    /// Runs the task until `stop` is cancelled. Only one run is active at a time; a second call
    /// waits for the first to end.
    pub async fn run(&self, stop: CancellationToken) {
        let mut inbox = self.shared.inbox.lock().await;
        let mut task = Task::new(Arc::clone(&self.shared));
        stop.run_until_cancelled(task.run(&mut inbox)).await;
    }

    /// Announces to the fleet that this VM is stopping, so that its cells move to other owners.
    pub fn leave(&self) {
        self.shared.leaving.cancel();
    }

    /// Returns a receiver of the membership view.
    #[must_use]
    pub fn view(&self) -> watch::Receiver<Arc<View>> {
        self.shared.published.view.subscribe()
    }

    /// Returns a receiver of the documents in force, which are the newest valid ones.
    #[must_use]
    pub fn documents(&self) -> watch::Receiver<Documents> {
        self.shared.published.documents.subscribe()
    }

    /// Returns a receiver of the platform's list of VMs and upstreams.
    #[must_use]
    pub fn listed(&self) -> watch::Receiver<Arc<ListedEntries>> {
        self.shared.published.listed.subscribe()
    }

    /// Returns a receiver of the names of the listed VMs, with their revision, which claims refer
    /// to. All names belong to that one revision of the platform's list.
    #[must_use]
    pub fn vm_list(&self) -> watch::Receiver<Option<VmList>> {
        self.shared.published.vm_list.subscribe()
    }

    /// Returns a receiver of the findings in malformed documents. For each of these documents, the
    /// last valid text stays in force.
    #[must_use]
    pub fn findings(&self) -> watch::Receiver<Arc<ValidationErrors>> {
        self.shared.published.findings.subscribe()
    }

    /// Returns a receiver of whether this VM has all documents, so that it may serve.
    #[must_use]
    pub fn ready(&self) -> watch::Receiver<bool> {
        self.shared.published.ready.subscribe()
    }

    /// Returns `true` if decisions may be based on the current view. Call it right before each
    /// decision: it returns `false` as soon as the process resumes from a long pause.
    #[must_use]
    pub fn trusted(&self) -> bool {
        self.shared
            .published
            .trusted(self.shared.options.members.pause_threshold)
    }
}

impl Shared {
    /// Returns the description of this VM, with a boot number above those of earlier runs.
    fn local_vm(&self) -> LocalVm {
        let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let now = u64::try_from(now.unwrap_or(Duration::ZERO).as_millis()).unwrap_or(u64::MAX);
        let last = self.boot.load(Ordering::Acquire);
        let boot = now.max(last + 1);
        self.boot.store(boot, Ordering::Release);
        let options = &self.options;
        LocalVm {
            name: options.name.clone(),
            zone: options.data_centre.clone(),
            addr: options.addr,
            boot,
        }
    }
}
