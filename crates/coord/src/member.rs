//! Membership and failure detection: which VMs are live, as seen by one VM.
//!
//! ```
//! use coord::member::{Action, LocalVm, Members, Options};
//! use coord::time::Time;
//!
//! let me = |name: &str, port| LocalVm {
//!     name: name.into(),
//!     zone: "east".into(),
//!     addr: ([127, 0, 0, 1], port).into(),
//!     boot: 1,
//! };
//! let mut a = Members::new(me("vm-a", 1), Options::default(), 1, Time::ZERO);
//! let mut b = Members::new(me("vm-b", 2), Options::default(), 2, Time::ZERO);
//! a.apply_list(Time::ZERO, 1, &[b.to_listed()]);
//!
//! let mut now = Time::ZERO;
//! while !a.trusted(now) {
//!     now = now + std::time::Duration::from_millis(50);
//!     for action in a.tick(now) {
//!         let Action::Send { packet, .. } = action else { continue };
//!         for action in b.receive(now, packet) {
//!             let Action::Send { packet, .. } = action else { continue };
//!             a.receive(now, packet);
//!         }
//!     }
//! }
//! assert_eq!(b.view().members.len(), 2);
//! ```
//!
//! The protocol is SWIM (`docs/design.md`, section 6.1; reasons and measurements are in
//! `docs/decisions/membership.md`). Each VM probes two fixed neighbours in every period, asks other
//! members to probe a neighbour that does not answer, and attaches membership updates to its
//! messages. Anti-entropy, a periodic comparison of digests between two VMs, delivers updates that
//! gossip missed and merges the views after a network partition.
//!
//! The caller must call [`Members::tick`] every 50 ms. A gap above [`Options::late_threshold`] is
//! treated as a delay of this process, and one above [`Options::pause_threshold`] as a pause.

mod gossip;
mod probe;
mod rings;
mod sync;
mod table;
mod types;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::name::{DataCentre, Incarnation, VmName};
use crate::time::Time;
use gossip::Gossip;
use probe::Probes;
use table::{Table, UpdateSource};

pub use types::{
    Action, BUCKETS, Body, Health, ListedVm, MAX_GOSSIP_UPDATES, MAX_STATE_ENTRIES,
    MAX_UPDATE_BYTES, MAX_UPDATES, Member, MemberStatus, Options, Packet, Update, View,
};

/// The number of low bits of an incarnation that count refutations; the higher bits are the boot
/// number.
const REFUTATION_BITS: u32 = 16;

/// The number of peers that must answer a probe before a VM trusts its view after a boot or a
/// pause.
const MIN_RESPONDERS: usize = 2;

/// The number of random members that are probed immediately after a pause.
const RESUME_PROBES: usize = 4;

/// Returns the boot number of an incarnation.
///
/// It is the same for all incarnations of one process, unless the wall clock at its start was
/// behind that of the previous process of the same name.
#[must_use]
pub fn boot(incarnation: Incarnation) -> u64 {
    incarnation.0 >> REFUTATION_BITS
}

/// Returns the first incarnation of a process with this boot number.
#[must_use]
pub fn incarnation(boot: u64) -> Incarnation {
    Incarnation(boot.min(u64::MAX >> (REFUTATION_BITS + 1)) << REFUTATION_BITS)
}

/// The VM that this process runs on, as other members see it.
#[derive(Clone, Debug)]
pub struct LocalVm {
    /// The name of the VM.
    pub name: VmName,
    /// The data centre of the VM.
    pub zone: DataCentre,
    /// The address at which peers reach the peer port of the VM.
    pub addr: SocketAddr,
    /// The boot number: the Unix time in milliseconds at the start of the process.
    ///
    /// It need not be exact. A process whose number is below that of the previous process of the
    /// same name learns the higher number from the first peer and continues above it.
    pub boot: u64,
}

/// The membership state machine of one VM.
#[derive(Debug)]
pub struct Members {
    options: Options,
    rng: ChaCha8Rng,
    table: Table,
    gossip: Gossip,
    probes: Probes,
    view: Arc<View>,
    neighbours: Vec<VmName>,
    last_call: Time,
    /// The peers that answered a probe sent after the boot or the last pause.
    responders: BTreeSet<VmName>,
    /// Whether the VM has received a message from a peer or the platform's list.
    joined: bool,
    next_sync: Time,
    next_reconnect: Time,
}

impl Members {
    /// Creates the state of a VM that has just booted and knows no other member.
    #[must_use]
    pub fn new(vm: LocalVm, options: Options, seed: u64, now: Time) -> Self {
        let own = Update {
            name: vm.name,
            zone: vm.zone,
            addr: vm.addr,
            incarnation: incarnation(vm.boot),
            health: Health::Alive,
            leaving: false,
        };
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        // Random phases prevent VMs that booted together from probing at the same time.
        let phase = |rng: &mut ChaCha8Rng, span: Duration| now + span.mul_f64(rng.random());
        let mut members = Self {
            probes: Probes::new(phase(&mut rng, options.probe_interval), rng.random()),
            next_sync: phase(&mut rng, options.sync_interval),
            next_reconnect: phase(&mut rng, options.reconnect_interval),
            options,
            rng,
            table: Table::new(own),
            gossip: Gossip::default(),
            view: Arc::default(),
            neighbours: Vec::new(),
            last_call: now,
            responders: BTreeSet::new(),
            joined: false,
        };
        members.refresh_view(&mut Vec::new());
        members
    }

    /// Returns the current view of this VM; it is replaced, not modified, by a later change.
    #[must_use]
    pub fn view(&self) -> Arc<View> {
        Arc::clone(&self.view)
    }

    /// Returns this VM as an entry of the platform's list of VMs.
    #[must_use]
    pub fn to_listed(&self) -> ListedVm {
        let own = &self.table.own;
        ListedVm {
            name: own.name.clone(),
            zone: own.zone.clone(),
            addr: own.addr,
            leaving: own.leaving,
        }
    }

    /// Returns the current incarnation of this VM, which rises with each refutation.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.table.own.incarnation
    }

    /// Returns `true` if decisions may be based on the view at `now`.
    ///
    /// It is `false` after a boot or a pause until two other members, or all if there are fewer,
    /// have answered a probe sent afterwards. The caller must read `now` from the clock at the
    /// moment of the decision, so that a pause is detected even before the next tick.
    #[must_use]
    pub fn trusted(&self, now: Time) -> bool {
        let others = self.view.members.len() - 1;
        let paused = now.since(self.last_call) > self.options.pause_threshold;
        self.joined && !paused && self.responders.len() >= MIN_RESPONDERS.min(others)
    }

    /// Sends the messages that are due and handles expired timeouts.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        let mut out = Vec::new();
        self.detect_pause(now, &mut out);
        self.probe(now, &mut out);
        self.end_suspicions(now);
        self.start_comparisons(now, &mut out);
        self.table.remove_expired(now);
        self.finish(now, out)
    }

    /// Handles a message from a peer.
    pub fn receive(&mut self, now: Time, packet: Packet) -> Vec<Action> {
        let mut out = Vec::new();
        if packet.from.name == self.table.own.name {
            // The sender is an earlier process of this VM, or this process itself, if a peer is
            // listed with the address of this VM.
            self.apply_update(now, &packet.from, UpdateSource::Gossip);
            return self.finish(now, out);
        }
        self.detect_pause(now, &mut out);
        self.joined = true;
        self.apply_update(now, &packet.from, UpdateSource::Gossip);
        for update in packet.updates.iter().take(MAX_GOSSIP_UPDATES) {
            self.apply_update(now, update, UpdateSource::Gossip);
        }
        self.handle_body(now, packet.from, packet.body, &mut out);
        self.finish(now, out)
    }

    /// Applies the platform's list of VMs. A list with a lower revision than an earlier one is
    /// stale and is ignored.
    pub fn apply_list(&mut self, now: Time, revision: u64, vms: &[ListedVm]) -> Vec<Action> {
        let mut out = Vec::new();
        self.detect_pause(now, &mut out);
        if self.table.apply_list(now, revision, vms) {
            self.joined = true;
        }
        self.finish(now, out)
    }

    /// Announces a planned stop of this VM. The VM continues to answer until the process ends.
    pub fn leave(&mut self, now: Time) -> Vec<Action> {
        let mut out = Vec::new();
        self.detect_pause(now, &mut out);
        self.table.own.leaving = true;
        self.raise_incarnation(self.table.own.incarnation);
        self.finish(now, out)
    }

    fn handle_body(&mut self, now: Time, from: Update, body: Body, out: &mut Vec<Action>) {
        match body {
            Body::Ping { seq } => self.send(&from, Body::Ack { seq }, out),
            Body::Ack { seq } => self.handle_ack(&from.name, seq, out),
            Body::PingRequest { seq, target } => self.relay_ping(now, from, seq, &target, out),
            Body::Sync { buckets } => self.answer_digest(&from, &buckets, out),
            Body::State { buckets, entries } => self.merge(now, &from, &buckets, &entries, out),
            Body::Gossip => {}
        }
    }

    /// Detects pauses and delays of this process from the time since the last call.
    fn detect_pause(&mut self, now: Time, out: &mut Vec<Action>) {
        let gap = now.since(self.last_call);
        self.last_call = self.last_call.max(now);
        if gap > self.options.pause_threshold {
            self.handle_pause(now, out);
        }
        if gap > self.options.late_threshold {
            // Answers that arrived during the gap are delivered after this call.
            self.probes.extend_timeouts(gap);
            self.table.extend_suspicions(gap);
        }
    }

    /// Distrusts the view after a pause: it may be stale, and peers may have declared this VM dead.
    fn handle_pause(&mut self, now: Time, out: &mut Vec<Action>) {
        self.responders.clear();
        self.probes.clear();
        self.raise_incarnation(self.table.own.incarnation);
        for target in self.sample(RESUME_PROBES, |_| true) {
            self.ping(now, &target, out);
        }
    }

    /// Raises this VM's incarnation above `floor` and gossips it as an urgent update.
    fn raise_incarnation(&mut self, floor: Incarnation) {
        let own = &mut self.table.own;
        own.incarnation = Incarnation(own.incarnation.0.max(floor.0).saturating_add(1));
        self.gossip.push(own.name.clone(), true);
        self.table.changed = true;
    }

    fn apply_update(&mut self, now: Time, update: &Update, source: UpdateSource) {
        // No process reaches an incarnation with the highest bit set, and none could refute it.
        if update.incarnation.0 >> (u64::BITS - 1) != 0 {
            return;
        }
        if update.name == self.table.own.name {
            if self.table.must_refute(update) {
                self.raise_incarnation(update.incarnation);
            }
            return;
        }
        let timeout = self.suspicion_timeout();
        if let Some(urgent) = self.table.apply(now, update, timeout, source) {
            self.gossip.push(update.name.clone(), urgent);
        }
    }

    fn end_suspicions(&mut self, now: Time) {
        for update in self.table.expired_suspicions(now) {
            self.apply_update(now, &update, UpdateSource::Gossip);
        }
    }

    /// Returns the time that a suspected member has to refute the suspicion. It is longer if
    /// consecutive probes of this VM failed, because the fault is then likely to be local.
    fn suspicion_timeout(&self) -> Duration {
        self.options.suspicion_timeout * self.probes.suspicion_factor()
    }

    fn send(&mut self, to: &Update, body: Body, out: &mut Vec<Action>) {
        let max_updates = if body == Body::Gossip {
            MAX_GOSSIP_UPDATES
        } else {
            MAX_UPDATES
        };
        let updates = self
            .gossip
            .select_updates(&self.table, &to.name, max_updates);
        let packet = Packet {
            from: self.table.own.clone(),
            body,
            updates,
        };
        out.push(Action::Send {
            to: to.name.clone(),
            addr: to.addr,
            packet,
        });
    }

    /// Publishes a changed view and sends urgent updates.
    fn finish(&mut self, now: Time, mut out: Vec<Action>) -> Vec<Action> {
        self.refresh_view(&mut out);
        if self.gossip.take_due(now, self.options.gossip_interval) {
            for target in self.sample(self.options.gossip_fanout, |_| true) {
                self.send(&target, Body::Gossip, &mut out);
            }
        }
        out
    }

    fn refresh_view(&mut self, out: &mut Vec<Action>) {
        if !std::mem::take(&mut self.table.changed) {
            return;
        }
        let members = self.table.members();
        if members == self.view.members {
            return;
        }
        let zones: BTreeMap<_, _> = members.iter().map(|(vm, m)| (vm, &m.zone)).collect();
        self.neighbours = rings::neighbours(&self.table.own.name, &zones);
        self.responders.retain(|vm| members.contains_key(vm));
        self.view = Arc::new(View {
            version: self.view.version + 1,
            members,
        });
        out.push(Action::Changed);
    }

    /// Returns up to `n` random members that are not dead and for which `accepts` returns `true`.
    fn sample(&mut self, n: usize, accepts: impl Fn(&Update) -> bool) -> Vec<Update> {
        let mut candidates: Vec<_> = self.table.live().filter(|update| accepts(update)).collect();
        let count = n.min(candidates.len());
        for index in 0..count {
            let other = self.rng.random_range(index..candidates.len());
            candidates.swap(index, other);
        }
        candidates.into_iter().take(count).cloned().collect()
    }
}
