//! Nodes that join a fleet: the [`NodeInputs`] comes from the membership protocol.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use coord::claim::ClaimOptions;
use coord::config::{self, Validator};
use coord::member::{self, MemberStatus};
use coord::sched::Role;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use super::{DocumentText, Membership, Node, NodeInputs, NodeOptions};
use crate::document::Document;
use crate::serve::UpstreamSpec;
use crate::serve::claim::FleetClaims;
use crate::serve::cluster::{Cluster, ClusterOptions, Documents, ListedEntries};
use crate::serve::registry::{LifecycleState, ListedUpstream, Registry, UpstreamRole};
use crate::serve::supervisor::{RestartPolicy, Spec, Strategy, Supervisor};
use crate::serve::telemetry::Telemetry;
use crate::serve::view::{Member, View};
use crate::settings::Settings;

/// How often [`Cluster::trusted`] is checked. It becomes false when the process was paused, which
/// sends no notification.
const TRUST_CHECK_INTERVAL: Duration = Duration::from_millis(50);

impl NodeOptions {
    /// Binds the peer port and returns the options that the settings specify.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer port or a socket for metrics cannot be opened.
    pub async fn from_settings(settings: &Settings) -> eyre::Result<Self> {
        let serve = settings.serve_options();
        let data_centre = settings.vm.data_centre.clone();
        let options = Self::bind(serve, data_centre, settings.peers.address.0).await?;
        let telemetry = match &settings.metrics.address {
            Some(server) => Telemetry::statsd(server.0)?,
            None => Telemetry::in_memory(),
        };
        Ok(Self {
            telemetry,
            ..options
        })
    }
}

impl NodeOptions {
    /// Registers the claims on idempotency keys with the peer router and the supervisor.
    fn register_claims(&mut self, settings: &Settings, cluster: &Cluster) {
        let times = ClaimOptions {
            retention: settings.vm.once_retention.0,
            ..ClaimOptions::default()
        };
        let (vm, peers) = (settings.vm.name.clone(), self.peers.clone());
        let claims = FleetClaims::new(vm, times, peers, cluster.vm_list());
        self.router = claims.register(std::mem::take(&mut self.router));
        self.tasks.push(claims.task());
        self.claims = Some(Arc::new(claims));
    }
}

impl Node {
    /// Starts the node that the settings describe and joins its fleet.
    ///
    /// # Errors
    ///
    /// Returns an error if a listener or a socket for metrics cannot be opened.
    pub async fn spawn(settings: &Settings) -> eyre::Result<Self> {
        let options = NodeOptions::from_settings(settings).await?;
        Self::join(settings, options).await
    }

    /// Joins the fleet like [`Self::spawn`], with the given options instead of those from the
    /// settings.
    ///
    /// # Errors
    ///
    /// Returns an error if a listener cannot be started.
    pub async fn join(settings: &Settings, mut options: NodeOptions) -> eyre::Result<Self> {
        let addresses = settings.platform.addresses.iter();
        let registry = Registry::with_addresses(addresses.map(|address| address.0).collect());
        let cluster_options = ClusterOptions {
            name: settings.vm.name.clone(),
            data_centre: settings.vm.data_centre.clone(),
            addr: options.listener.addr()?,
            seed: uuid::Uuid::new_v4().as_u64_pair().0,
            validator: validator(),
            members: member::Options::default(),
            config: config::Options::default(),
        };
        let peers = options.peers.clone();
        let cluster = Cluster::new(cluster_options, peers, registry);
        options.router = cluster.register(options.router);
        options.register_claims(settings, &cluster);
        let (feed, follow) = feed(&cluster);
        let running = cluster.clone();
        let member = Spec::task("cluster", move || {
            let running = running.clone();
            async move {
                running.run(CancellationToken::new()).await;
                Ok(())
            }
        });
        let root = Spec::group("membership", Strategy::OneForOne, vec![member, follow]);
        let (supervisor, mut events) = Supervisor::spawn(root, RestartPolicy::default());
        let telemetry = options.telemetry.clone();
        tokio::spawn(async move {
            while let Some(event) = events.recv().await {
                telemetry.count(&format!("supervisor.{}", event.counter_suffix()));
            }
        });
        let mut node = Self::start(options, feed).await?;
        node.membership = Some(Membership {
            cluster,
            supervisor,
        });
        Ok(node)
    }
}

/// Returns a validator that accepts the documents that parse without findings.
fn validator() -> Validator {
    Arc::new(|name, text| match Document::parse(name, text) {
        Ok(_) => Ok(()),
        Err(findings) => Err(findings.iter().map(ToString::to_string).collect()),
    })
}

/// Returns the feed of a node and the task that updates it from `cluster`.
fn feed(cluster: &Cluster) -> (NodeInputs, Spec) {
    let view = watch::Sender::new(Arc::new(View::default()));
    let documents = watch::Sender::default();
    let upstreams = watch::Sender::default();
    let feed = NodeInputs {
        view: view.subscribe(),
        documents: documents.subscribe(),
        upstreams: upstreams.subscribe(),
        ready: cluster.ready(),
    };
    let senders = FeedSenders {
        view,
        documents,
        upstreams,
    };
    let (cluster, senders) = (cluster.clone(), Arc::new(senders));
    let follow = Spec::task("feed", move || {
        publish_feed(cluster.clone(), Arc::clone(&senders))
    });
    (feed, follow)
}

struct FeedSenders {
    view: watch::Sender<Arc<View>>,
    documents: watch::Sender<Arc<BTreeMap<String, DocumentText>>>,
    upstreams: watch::Sender<Arc<Vec<UpstreamSpec>>>,
}

/// Publishes each change of membership, documents and upstreams to the feed.
async fn publish_feed(cluster: Cluster, senders: Arc<FeedSenders>) -> eyre::Result<()> {
    let mut members = cluster.view();
    let mut documents = cluster.documents();
    let mut listed = cluster.listed();
    documents.mark_changed();
    listed.mark_changed();
    loop {
        let view = node_view(
            &members.borrow_and_update(),
            cluster.trusted(),
            &listed.borrow(),
        );
        senders.view.send_if_modified(|current| {
            let changed = **current != view;
            *current = Arc::new(view);
            changed
        });
        if documents.has_changed()? {
            let texts = document_texts(&documents.borrow_and_update());
            senders.documents.send_replace(Arc::new(texts));
        }
        if listed.has_changed()? {
            let list = upstream_specs(&listed.borrow_and_update());
            senders.upstreams.send_replace(Arc::new(list));
        }
        tokio::select! {
            changed = members.changed() => changed?,
            changed = documents.changed() => {
                changed?;
                documents.mark_changed();
            }
            changed = listed.changed() => {
                changed?;
                listed.mark_changed();
            }
            () = tokio::time::sleep(TRUST_CHECK_INTERVAL) => {}
        }
    }
}

fn node_view(view: &member::View, trusted: bool, listed: &ListedEntries) -> View {
    let members = view.members.iter();
    let vms = members.map(|(name, member)| {
        let member = Member {
            data_centre: member.zone.clone(),
            incarnation: member.incarnation,
            address: member.addr,
            leaving: member.status == MemberStatus::Leaving,
        };
        (name.clone(), member)
    });
    View {
        trusted,
        majority: view.has_majority(listed.vms.keys()),
        vms: vms.collect(),
    }
}

fn document_texts(documents: &Documents) -> BTreeMap<String, DocumentText> {
    let all = documents.iter();
    all.map(|(name, document)| {
        let text = DocumentText {
            revision: document.revision,
            text: Arc::clone(&document.text),
        };
        (name.to_string(), text)
    })
    .collect()
}

fn upstream_specs(listed: &ListedEntries) -> Vec<UpstreamSpec> {
    listed.upstreams.values().map(upstream_spec).collect()
}

fn upstream_spec(listed: &ListedUpstream) -> UpstreamSpec {
    UpstreamSpec {
        name: listed.name.clone(),
        service: listed.service.clone(),
        role: match listed.role {
            UpstreamRole::Prefill => Some(Role::Prefill),
            UpstreamRole::Decode => Some(Role::Decode),
            UpstreamRole::Both => Some(Role::Both),
            UpstreamRole::Plain => None,
        },
        data_centre: listed.data_centre.clone(),
        address: listed.address,
        slots: 0,
        leaving: listed.presence == LifecycleState::Leaving,
    }
}
