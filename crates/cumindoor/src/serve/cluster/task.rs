//! The loop that joins the state machines with connections and clocks.

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

use super::part::Incoming;
use super::published::{Findings, ListedEntries};
use super::{ClusterCall, ClusterPart, LIST_PREFIX, Shared, listing};
use crate::serve::registry::Listing;

/// The time between two ticks; `coord::member` takes a much longer gap for a pause.
const TICK: Duration = Duration::from_millis(50);

/// The time after which a call to a peer is given up. Answers later than this are of no use to
/// the probes, which fail after 600 ms.
const CALL_LIMIT: Duration = Duration::from_secs(1);

/// The number of calls to peers under way. Further messages are dropped, like lost ones.
const MAX_CALLS: usize = 256;

/// The waiting time of a read of the list, and the pause after it: two watchers in each data
/// centre make about one read a second each.
const LIST_WAIT: Duration = Duration::from_secs(1);
const LIST_PACE: Duration = Duration::from_millis(500);

enum Event {
    Reply(VmName, ClusterCall),
    Answer(Option<ReadResponse>),
    List(Option<Listing>),
    Nothing,
}

pub(super) struct Task {
    shared: Arc<Shared>,
    origin: Instant,
    members: Members,
    config: ConfigReplica,
    listed: ListedEntries,
    /// The highest revision of any entry of the list.
    revision: u64,
    /// The revision of the list last read from the platform.
    read: u64,
    reading: bool,
    /// When the list is read next; `None` while it is being read.
    next_list: Option<Instant>,
    trusted: bool,
    left: bool,
    calls: JoinSet<Event>,
}

/// Messages to send, by receiver.
#[derive(Default)]
struct Outbox {
    calls: BTreeMap<VmName, ClusterCall>,
    addresses: BTreeMap<VmName, SocketAddr>,
}

impl Task {
    pub(super) fn new(shared: Arc<Shared>) -> Self {
        let options = &shared.options;
        let now = Time::ZERO;
        let members = Members::new(shared.me(), options.members.clone(), options.seed, now);
        let validator = listing::validator(Arc::clone(&options.validator));
        let name = options.name.clone();
        let config = ConfigReplica::new(name, validator, options.config.clone(), options.seed, now);
        Self {
            origin: Instant::now(),
            members,
            config,
            listed: ListedEntries::default(),
            revision: 0,
            read: 0,
            reading: false,
            next_list: Some(Instant::now()),
            trusted: false,
            left: false,
            calls: JoinSet::new(),
            shared,
        }
    }

    pub(super) async fn run(&mut self, inbox: &mut mpsc::Receiver<Incoming>) {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        self.publish_view();
        loop {
            let mut outbox = Outbox::default();
            tokio::select! {
                _ = ticks.tick() => self.tick(&mut outbox),
                Some(incoming) = inbox.recv() => self.incoming(incoming, &mut outbox),
                Some(event) = self.calls.join_next() => {
                    self.event(event.unwrap_or(Event::Nothing), &mut outbox);
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
        if self.shared.leaving.is_cancelled() && !self.left {
            self.left = true;
            let actions = self.members.leave(now);
            self.member_actions(actions, outbox);
        }
        let actions = self.members.tick(now);
        self.member_actions(actions, outbox);
        let actions = self.config.tick(now);
        self.config_actions(actions, outbox);
        self.read_list();
        self.publish_trust();
    }

    fn incoming(&mut self, incoming: Incoming, outbox: &mut Outbox) {
        self.messages(&incoming.from, incoming.call, outbox);
        // What goes back to the caller travels in the reply, as much as fits.
        let back = outbox.calls.remove(&incoming.from).unwrap_or_default();
        let mut back = back.split().into_iter();
        let _ = incoming.reply.send(back.next().unwrap_or_default());
        for rest in back {
            let call = outbox.calls.entry(incoming.from.clone()).or_default();
            call.members.extend(rest.members);
            call.config.extend(rest.config);
        }
    }

    fn event(&mut self, event: Event, outbox: &mut Outbox) {
        let now = self.now();
        match event {
            Event::Reply(from, call) => self.messages(&from, call, outbox),
            Event::Answer(answer) => {
                self.reading = false;
                match answer {
                    Some(answer) => {
                        let actions = self.config.read_succeeded(now, &answer);
                        self.config_actions(actions, outbox);
                    }
                    None => self.config.read_failed(now),
                }
            }
            Event::List(listing) => {
                self.next_list = Some(Instant::now() + LIST_PACE);
                if let Some(listing) = listing {
                    self.list(&listing, outbox);
                }
            }
            Event::Nothing => {}
        }
    }

    fn messages(&mut self, from: &VmName, call: ClusterCall, outbox: &mut Outbox) {
        for packet in call.members {
            let actions = self.members.receive(self.now(), packet);
            self.member_actions(actions, outbox);
        }
        for message in call.config {
            let actions = self.config.receive(self.now(), from, message);
            self.config_actions(actions, outbox);
        }
        self.publish_trust();
    }

    fn member_actions(&mut self, actions: Vec<member::Action>, outbox: &mut Outbox) {
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

    fn config_actions(&mut self, actions: Vec<config::Action>, outbox: &mut Outbox) {
        let mut changed = Vec::new();
        let mut rejected = false;
        for action in actions {
            match action {
                config::Action::Send { to, message } => {
                    outbox.calls.entry(to).or_default().config.push(message);
                }
                config::Action::Read { since, wait } => self.read(since, wait),
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

    /// Publishes the findings of malformed documents, and logs the new ones.
    fn publish_findings(&self) {
        let rejected = self.config.store().rejected();
        let found = rejected.map(|(name, r)| (Arc::clone(name), r.findings.clone()));
        let found: Arc<Findings> = Arc::new(found.collect());
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

    fn read(&mut self, since: u64, wait: Duration) {
        // The first answer may take longer than the state machine waits for it.
        if std::mem::replace(&mut self.reading, true) {
            return;
        }
        let registry = Arc::clone(&self.shared.registry);
        self.calls.spawn(async move {
            let answer = registry.documents(since, wait).await;
            Event::Answer(answer.inspect_err(|error| log::debug!("{error:#}")).ok())
        });
    }

    /// Reads the list on the VMs that read documents, and on a VM that knows no other yet.
    fn read_list(&mut self) {
        let joined = self.members.view().members.len() > 1;
        let due = self.next_list.is_some_and(|next| Instant::now() >= next);
        let reader = !joined || !self.config.is_ready() || self.config.is_watching();
        if !due || !reader {
            return;
        }
        self.next_list = None;
        let registry = Arc::clone(&self.shared.registry);
        let since = self.read;
        self.calls.spawn(async move {
            let listing = registry.listing(since, LIST_WAIT).await;
            Event::List(listing.inspect_err(|error| log::debug!("{error:#}")).ok())
        });
    }

    fn list(&mut self, listing: &Listing, outbox: &mut Outbox) {
        // A stale replica, or the end of a waiting read without a change.
        if listing.revision < self.read || listing.revision == self.read && self.config.is_ready() {
            return;
        }
        let now = self.now();
        // A booting VM takes the list for itself only: its peers' entries may be older than this
        // revision although their texts are the same.
        let vms = listing::members(listing.vms.iter());
        let actions = self.members.apply_list(now, listing.revision, &vms);
        self.member_actions(actions, outbox);
        if self.config.is_ready() {
            self.read = listing.revision;
            let documents = listing::documents(listing);
            let actions =
                self.config
                    .apply_snapshot(now, LIST_PREFIX, listing.revision, &documents);
            self.config_actions(actions, outbox);
        }
    }

    fn publish_documents(&mut self, changed: Vec<(Arc<str>, u64)>, outbox: &mut Outbox) {
        let mut documents = self.shared.published.documents.borrow().clone();
        let mut list = false;
        for (name, revision) in changed {
            let text = self.config.store().get(&name).map(|(_, text)| text);
            if let Some(vms) = listing::vm_list(&name, revision, text.as_deref()) {
                self.publish_vms(vms);
            } else if listing::apply(&mut self.listed, &name, text.as_deref()) {
                self.revision = self.revision.max(revision);
                list = true;
            } else {
                documents.set(&name, revision, text);
            }
        }
        self.shared.published.documents.send_replace(documents);
        // A booting VM has a part of the list only, which would look like removals.
        if list && self.config.is_ready() {
            self.publish_list(outbox);
        }
    }

    fn publish_vms(&self, vms: VmList) {
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
        let actions = self.members.apply_list(self.now(), self.revision, &vms);
        self.member_actions(actions, outbox);
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
                    match peers.call_at::<ClusterPart>(addr, &call, CALL_LIMIT).await {
                        Ok(reply) => Event::Reply(to, reply),
                        Err(_) => Event::Nothing,
                    }
                });
            }
        }
    }
}
