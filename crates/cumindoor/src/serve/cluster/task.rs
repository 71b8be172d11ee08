//! The event loop that runs the state machines with network connections and the system clock.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use coord::claim::VmList;
use coord::config::{self, ConfigReplica, ReadResponse};
use coord::member::{self, Members};
use coord::name::VmName;
use coord::time::Time;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{MissedTickBehavior, interval};

use super::part::IncomingCall;
use super::published::{ListedEntries, ValidationErrors};
use super::{ClusterCall, ClusterPart, LIST_PREFIX, Shared, listing};
use crate::serve::registry::Listing;

/// The interval between ticks. `coord::member` interprets a much longer gap as a pause of the
/// process.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// The timeout of a call to a peer. Later replies are of no use, because a probe of membership
/// fails after 600 ms.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// The maximum number of concurrent calls and reads. Messages beyond it are dropped, which the
/// state machines treat like loss in the network.
const MAX_CALLS: usize = 256;

/// The time for which a read of the list waits at the configuration service for a change.
const LIST_WAIT: Duration = Duration::from_secs(1);

/// The delay between two reads of the list. With it, each of the two VMs that read the list in a
/// data centre makes about one read per second.
const LIST_READ_DELAY: Duration = Duration::from_millis(500);

/// The result of a call or a read.
enum Event {
    /// The reply of a peer.
    PeerReply(VmName, ClusterCall),
    /// The documents that were read from the platform; `None` if the read failed.
    DocumentsRead(Option<ReadResponse>),
    /// The list that was read from the platform; `None` if the read failed.
    ListRead(Option<Listing>),
    /// A call to a peer failed, or the future of a call or a read panicked.
    CallFailed,
}

pub(super) struct Task {
    shared: Arc<Shared>,
    origin: Instant,
    members: Members,
    config: ConfigReplica,
    listed: ListedEntries,
    /// The highest revision of the received entries of the list.
    list_revision: u64,
    /// The revision of the list that was last read from the platform.
    read_revision: u64,
    /// True while documents are being read from the platform.
    read_pending: bool,
    /// The time of the next read of the list; `None` while a read is in progress.
    next_list: Option<Instant>,
    trusted: bool,
    /// True once the other VMs were told that this VM is leaving.
    leave_sent: bool,
    calls: JoinSet<Event>,
}

/// The messages to send to each VM.
#[derive(Default)]
struct Outbox {
    calls: BTreeMap<VmName, ClusterCall>,
    /// The addresses that membership named with its messages. They take precedence over the
    /// directory of peers.
    addresses: BTreeMap<VmName, SocketAddr>,
}

impl Task {
    pub(super) fn new(shared: Arc<Shared>) -> Self {
        let options = &shared.options;
        let now = Time::ZERO;
        let members = Members::new(
            shared.local_vm(),
            options.members.clone(),
            options.seed,
            now,
        );
        let validator = listing::validator(Arc::clone(&options.validator));
        let name = options.name.clone();
        let config = ConfigReplica::new(name, validator, options.config.clone(), options.seed, now);
        Self {
            origin: Instant::now(),
            members,
            config,
            listed: ListedEntries::default(),
            list_revision: 0,
            read_revision: 0,
            read_pending: false,
            next_list: Some(Instant::now()),
            trusted: false,
            leave_sent: false,
            calls: JoinSet::new(),
            shared,
        }
    }

    pub(super) async fn run(&mut self, inbox: &mut mpsc::Receiver<IncomingCall>) {
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        self.publish_view();
        loop {
            let mut outbox = Outbox::default();
            tokio::select! {
                _ = ticks.tick() => self.tick(&mut outbox),
                Some(incoming) = inbox.recv() => self.handle_call(incoming, &mut outbox),
                Some(event) = self.calls.join_next() => {
                    self.handle_event(event.unwrap_or(Event::CallFailed), &mut outbox);
                }
            }
            self.send(outbox);
        }
    }

    fn now(&self) -> Time {
        Time::ZERO + self.origin.elapsed()
    }

    fn tick(&mut self, outbox: &mut Outbox) {
        let now = self.now();
        if self.shared.leaving.is_cancelled() && !self.leave_sent {
            self.leave_sent = true;
            let actions = self.members.leave(now);
            self.apply_member_actions(actions, outbox);
        }
        let actions = self.members.tick(now);
        self.apply_member_actions(actions, outbox);
        let actions = self.config.tick(now);
        self.apply_config_actions(actions, outbox);
        self.read_list();
        self.publish_trust();
    }

    fn handle_call(&mut self, incoming: IncomingCall, outbox: &mut Outbox) {
        self.receive_messages(&incoming.from, incoming.call, outbox);
        // Messages for the caller go into the reply, up to the size limit. The rest is sent in
        // calls.
        let replies = outbox.calls.remove(&incoming.from).unwrap_or_default();
        let mut replies = replies.split().into_iter();
        let _ = incoming.reply.send(replies.next().unwrap_or_default());
        for rest in replies {
            let call = outbox.calls.entry(incoming.from.clone()).or_default();
            call.members.extend(rest.members);
            call.config.extend(rest.config);
        }
    }

    fn handle_event(&mut self, event: Event, outbox: &mut Outbox) {
        let now = self.now();
        match event {
            Event::PeerReply(from, call) => self.receive_messages(&from, call, outbox),
            Event::DocumentsRead(answer) => {
                self.read_pending = false;
                match answer {
                    Some(answer) => {
                        let actions = self.config.read_succeeded(now, &answer);
                        self.apply_config_actions(actions, outbox);
                    }
                    None => self.config.read_failed(now),
                }
            }
            Event::ListRead(listing) => {
                self.next_list = Some(Instant::now() + LIST_READ_DELAY);
                if let Some(listing) = listing {
                    self.apply_listing(&listing, outbox);
                }
            }
            Event::CallFailed => {}
        }
    }

    fn receive_messages(&mut self, from: &VmName, call: ClusterCall, outbox: &mut Outbox) {
        for packet in call.members {
            let actions = self.members.receive(self.now(), packet);
            self.apply_member_actions(actions, outbox);
        }
        for message in call.config {
            let actions = self.config.receive(self.now(), from, message);
            self.apply_config_actions(actions, outbox);
        }
        self.publish_trust();
    }

    fn apply_member_actions(&mut self, actions: Vec<member::Action>, outbox: &mut Outbox) {
        for action in actions {
            match action {
                member::Action::Send { to, addr, packet } => {
                    outbox.addresses.insert(to.clone(), addr);
                    outbox.calls.entry(to).or_default().members.push(packet);
                }
                member::Action::Changed => self.publish_view(),
            }
        }
    }

    fn apply_config_actions(&mut self, actions: Vec<config::Action>, outbox: &mut Outbox) {
        let mut changed = Vec::new();
        let mut rejected = false;
        for action in actions {
            match action {
                config::Action::Send { to, message } => {
                    outbox.calls.entry(to).or_default().config.push(message);
                }
                config::Action::Read { since, wait } => self.read_documents(since, wait),
                config::Action::InForce { name, revision } => changed.push((name, revision)),
                config::Action::Rejected { .. } => rejected = true,
                config::Action::Ready => {
                    log::info!(
                        "the configuration is complete up to {}",
                        self.config.cursor()
                    );
                    self.shared.published.ready.send_replace(true);
                    self.publish_list(outbox);
                }
            }
        }
        let corrected = !changed.is_empty() && !self.shared.published.findings.borrow().is_empty();
        if rejected || corrected {
            self.publish_findings();
        }
        if !changed.is_empty() {
            self.publish_documents(changed, outbox);
        }
    }

    /// Publishes the findings in malformed documents and logs those that are new.
    fn publish_findings(&self) {
        let rejected = self.config.store().rejected();
        let found = rejected.map(|(name, r)| (Arc::clone(name), r.findings.clone()));
        let found: Arc<ValidationErrors> = Arc::new(found.collect());
        let before = self
            .shared
            .published
            .findings
            .send_replace(Arc::clone(&found));
        for (name, findings) in found.iter() {
            if before.get(name) != Some(findings) {
                let findings = findings.join("; ");
                log::warn!("the newest text of {name} is malformed and not in force: {findings}");
            }
        }
    }

    fn read_documents(&mut self, since: u64, wait: Duration) {
        // The state machine may ask again while a slow first read is still in progress.
        if std::mem::replace(&mut self.read_pending, true) {
            return;
        }
        let registry = Arc::clone(&self.shared.registry);
        self.calls.spawn(async move {
            let answer = registry.documents(since, wait).await;
            Event::DocumentsRead(answer.inspect_err(|error| log::debug!("{error:#}")).ok())
        });
    }

    /// Starts a read of the list if one is due. The list is read only by VMs that watch the
    /// platform for documents, that know no other VM or that do not have all documents yet.
    fn read_list(&mut self) {
        let joined = self.members.view().members.len() > 1;
        let due = self.next_list.is_some_and(|next| Instant::now() >= next);
        let reader = !joined || !self.config.is_ready() || self.config.is_watching();
        if !due || !reader {
            return;
        }
        self.next_list = None;
        let registry = Arc::clone(&self.shared.registry);
        let since = self.read_revision;
        self.calls.spawn(async move {
            let listing = registry.listing(since, LIST_WAIT).await;
            Event::ListRead(listing.inspect_err(|error| log::debug!("{error:#}")).ok())
        });
    }

    fn apply_listing(&mut self, listing: &Listing, outbox: &mut Outbox) {
        // The replica is stale, or the read waited without a change.
        if listing.revision < self.read_revision
            || listing.revision == self.read_revision && self.config.is_ready()
        {
            return;
        }
        let now = self.now();
        // A booting VM uses the list only for its own membership and does not distribute it: the
        // entries of its peers may have older revisions with the same texts.
        let vms = listing::members(listing.vms.iter());
        let actions = self.members.apply_list(now, listing.revision, &vms);
        self.apply_member_actions(actions, outbox);
        if self.config.is_ready() {
            self.read_revision = listing.revision;
            let documents = listing::documents(listing);
            let actions =
                self.config
                    .apply_snapshot(now, LIST_PREFIX, listing.revision, &documents);
            self.apply_config_actions(actions, outbox);
        }
    }

    fn publish_documents(&mut self, changed: Vec<(Arc<str>, u64)>, outbox: &mut Outbox) {
        let mut documents = self.shared.published.documents.borrow().clone();
        let mut list_changed = false;
        for (name, revision) in changed {
            let text = self.config.store().get(&name).map(|(_, text)| text);
            if let Some(vms) = listing::vm_list(&name, revision, text.as_deref()) {
                self.publish_vm_list(vms);
            } else if listing::apply(&mut self.listed, &name, text.as_deref()) {
                self.list_revision = self.list_revision.max(revision);
                list_changed = true;
            } else {
                documents.set(&name, revision, text);
            }
        }
        self.shared.published.documents.send_replace(documents);
        // A booting VM has only some of the entries; to publish them would look like the removal of
        // the others.
        if list_changed && self.config.is_ready() {
            self.publish_list(outbox);
        }
    }

    fn publish_vm_list(&self, vms: VmList) {
        self.shared.published.vm_list.send_if_modified(|held| {
            let newer = held
                .as_ref()
                .is_none_or(|held| held.revision < vms.revision);
            if newer {
                *held = Some(vms);
            }
            newer
        });
    }

    fn publish_list(&mut self, outbox: &mut Outbox) {
        if self.listed.vms.is_empty() {
            return;
        }
        let listed = Arc::new(self.listed.clone());
        self.shared.published.listed.send_replace(listed);
        let vms = listing::members(self.listed.vms.values());
        let actions = self
            .members
            .apply_list(self.now(), self.list_revision, &vms);
        self.apply_member_actions(actions, outbox);
    }

    fn publish_view(&mut self) {
        let view = self.members.view();
        self.config.update_view(&view, self.trusted);
        let others = view
            .members
            .iter()
            .filter(|(vm, _)| **vm != self.shared.options.name);
        let directory = others
            .map(|(vm, member)| (vm.clone(), member.addr))
            .collect();
        self.shared.peers.set_directory(directory);
        self.shared.published.view.send_replace(view);
    }

    fn publish_trust(&mut self) {
        let trusted = self.members.trusted(self.now());
        self.shared.published.set_trusted(trusted);
        if trusted != self.trusted {
            self.trusted = trusted;
            self.config.update_view(&self.members.view(), trusted);
        }
    }

    fn send(&mut self, outbox: Outbox) {
        for (to, call) in outbox.calls {
            let addr = outbox.addresses.get(&to).copied();
            let Some(addr) = addr.or_else(|| self.shared.peers.address(&to)) else {
                continue;
            };
            for call in call.split() {
                if self.calls.len() >= MAX_CALLS {
                    return;
                }
                let (peers, to) = (self.shared.peers.clone(), to.clone());
                self.calls.spawn(async move {
                    match peers
                        .call_at::<ClusterPart>(addr, &call, CALL_TIMEOUT)
                        .await
                    {
                        Ok(reply) => Event::PeerReply(to, reply),
                        Err(_) => Event::CallFailed,
                    }
                });
            }
        }
    }
}
