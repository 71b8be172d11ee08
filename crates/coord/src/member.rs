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
//! `docs/decisions/membership.md`): each VM probes two fixed neighbours in every period, asks
//! others to probe a neighbour that does not answer, and spreads what it learns on its messages.
//! A comparison of digests repairs what gossip missed and joins the halves of a healed partition.
//!
//! Call [`Members::tick`] every 50 ms; a longer gap is taken for a pause of the own process.

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
use table::{Origin, Table};

pub use types::{
    Action, BUCKETS, Body, Health, ListedVm, MAX_GOSSIP_UPDATES, MAX_STATE_ENTRIES,
    MAX_UPDATE_BYTES, MAX_UPDATES, Member, MemberStatus, Options, Packet, Update, View,
};

/// The bits of an incarnation that count refutations; the bits above are the boot number.
const REFUTATION_BITS: u32 = 16;

/// The number of peers that must answer before a paused or booted VM trusts its view.
const TRUST: usize = 2;

/// The number of members probed at once after a pause.
const TRUST_PROBES: usize = 4;

/// Returns the boot number of an incarnation: the same for all incarnations of one process, unless
/// its clock was behind that of its predecessor.
#[must_use]
pub fn boot(incarnation: Incarnation) -> u64 {
    incarnation.0 >> REFUTATION_BITS
}

/// Returns the incarnation that a process with this boot number starts with.
#[must_use]
pub fn incarnation(boot: u64) -> Incarnation {
    Incarnation(boot.min(u64::MAX >> (REFUTATION_BITS + 1)) << REFUTATION_BITS)
}

/// The own VM.
#[derive(Clone, Debug)]
pub struct LocalVm {
    /// Its name.
    pub name: VmName,
    /// Its data centre.
    pub zone: DataCentre,
    /// The address of its peer port as peers see it.
    pub addr: SocketAddr,
    /// The boot number: milliseconds since 1970 at the start of the process.
    ///
    /// It need not be exact. A process that starts with a number below its predecessor's hears of
    /// it from the first peer and continues above it.
    pub boot: u64,
}

/// The membership state of one VM.
#[derive(Debug)]
pub struct Members {
    options: Options,
    rng: ChaCha8Rng,
    table: Table,
    gossip: Gossip,
    probes: Probes,
    view: Arc<View>,
    ring: Vec<VmName>,
    last: Time,
    /// The peers that answered a probe sent since the boot or the last pause.
    heard: BTreeSet<VmName>,
    joined: bool,
    next_sync: Time,
    next_reconnect: Time,
}

impl Members {
    /// Returns the state of a VM that has just booted and knows itself only.
    #[must_use]
    pub fn new(me: LocalVm, options: Options, seed: u64, now: Time) -> Self {
        let own = Update {
            name: me.name,
            zone: me.zone,
            addr: me.addr,
            incarnation: incarnation(me.boot),
            health: Health::Alive,
            leaving: false,
        };
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        // Random phases keep the VMs of a rebooted fleet from probing at the same moment.
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
            ring: Vec::new(),
            last: now,
            heard: BTreeSet::new(),
            joined: false,
        };
        members.refresh(&mut Vec::new());
        members
    }

    /// Returns the current view.
    #[must_use]
    pub fn view(&self) -> Arc<View> {
        Arc::clone(&self.view)
    }

    /// Returns the own VM as the platform's list would show it.
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

    /// Returns the own incarnation.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.table.own.incarnation
    }

    /// Returns `true` if decisions may be based on the view at `now`.
    ///
    /// It is `false` from a boot or a pause until two members, or all if there are fewer, have
    /// answered a probe sent afterwards. Take `now` from the clock at the moment of the decision:
    /// a pause is seen here before the next tick.
    #[must_use]
    pub fn trusted(&self, now: Time) -> bool {
        let others = self.view.members.len() - 1;
        let paused = now.since(self.last) > self.options.pause_threshold;
        self.joined && !paused && self.heard.len() >= TRUST.min(others)
    }

    /// Lets time pass: sends what is due and ends timeouts.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        let mut out = Vec::new();
        self.advance(now, &mut out);
        self.probe(now, &mut out);
        self.end_suspicions(now);
        self.synchronise(now, &mut out);
        self.table.forget(now);
        self.finish(now, out)
    }

    /// Takes one message from a peer.
    pub fn receive(&mut self, now: Time, packet: Packet) -> Vec<Action> {
        let mut out = Vec::new();
        if packet.from.name == self.table.own.name {
            // A predecessor at this address sent it, or a peer was given the own address.
            self.learn(now, &packet.from, Origin::Gossip);
            return self.finish(now, out);
        }
        self.advance(now, &mut out);
        self.joined = true;
        self.learn(now, &packet.from, Origin::Gossip);
        for update in packet.updates.iter().take(MAX_GOSSIP_UPDATES) {
            self.learn(now, update, Origin::Gossip);
        }
        self.handle(now, packet.from, packet.body, &mut out);
        self.finish(now, out)
    }

    /// Takes the platform's list of VMs. A list with a lower revision than an earlier one is stale
    /// and changes nothing.
    pub fn apply_list(&mut self, now: Time, revision: u64, vms: &[ListedVm]) -> Vec<Action> {
        let mut out = Vec::new();
        self.advance(now, &mut out);
        if self.table.list(now, revision, vms) {
            self.joined = true;
        }
        self.finish(now, out)
    }

    /// Announces that this VM is stopping as planned. It keeps answering until the process ends.
    pub fn leave(&mut self, now: Time) -> Vec<Action> {
        let mut out = Vec::new();
        self.advance(now, &mut out);
        self.table.own.leaving = true;
        self.raise(self.table.own.incarnation);
        self.finish(now, out)
    }

    fn handle(&mut self, now: Time, from: Update, body: Body, out: &mut Vec<Action>) {
        match body {
            Body::Ping { seq } => self.send(&from, Body::Ack { seq }, out),
            Body::Ack { seq } => self.acknowledge(&from.name, seq, out),
            Body::PingRequest { seq, target } => self.relay(now, from, seq, &target, out),
            Body::Sync { buckets } => self.compare(&from, &buckets, out),
            Body::State { buckets, entries } => self.merge(now, &from, &buckets, &entries, out),
            Body::Gossip => {}
        }
    }

    /// Notices pauses of the own process.
    fn advance(&mut self, now: Time, out: &mut Vec<Action>) {
        let gap = now.since(self.last);
        self.last = self.last.max(now);
        if gap > self.options.pause_threshold {
            self.resume(now, out);
        }
        if gap > self.options.late_threshold {
            // Answers that came during the pause wait behind this call.
            self.probes.extend(gap);
            self.table.extend(gap);
        }
    }

    /// Starts again after a pause: the view may be stale, and peers may have given the VM up.
    fn resume(&mut self, now: Time, out: &mut Vec<Action>) {
        self.heard.clear();
        self.probes.clear();
        self.raise(self.table.own.incarnation);
        for target in self.sample(TRUST_PROBES, |_| true) {
            self.ping(now, &target, out);
        }
    }

    /// Raises the own incarnation above `heard` and tells everyone.
    fn raise(&mut self, heard: Incarnation) {
        let own = &mut self.table.own;
        own.incarnation = Incarnation(own.incarnation.0.max(heard.0).saturating_add(1));
        self.gossip.push(own.name.clone(), true);
        self.table.changed = true;
    }

    fn learn(&mut self, now: Time, update: &Update, origin: Origin) {
        // No process reaches this number; it could not be refuted.
        if update.incarnation.0 >> (u64::BITS - 1) != 0 {
            return;
        }
        if update.name == self.table.own.name {
            if self.table.must_refute(update) {
                self.raise(update.incarnation);
            }
            return;
        }
        let limit = self.suspicion();
        if let Some(urgent) = self.table.apply(now, update, limit, origin) {
            self.gossip.push(update.name.clone(), urgent);
        }
    }

    fn end_suspicions(&mut self, now: Time) {
        for update in self.table.expired(now) {
            self.learn(now, &update, Origin::Gossip);
        }
    }

    /// The time to refute, longer when this VM's own probes fail in a row: then the fault is
    /// likely to be its own.
    fn suspicion(&self) -> Duration {
        self.options.suspicion_timeout * self.probes.health()
    }

    fn send(&mut self, to: &Update, body: Body, out: &mut Vec<Action>) {
        let most = if body == Body::Gossip {
            MAX_GOSSIP_UPDATES
        } else {
            MAX_UPDATES
        };
        let updates = self.gossip.choose(&self.table, &to.name, most);
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

    /// Publishes a changed view and sends urgent news.
    fn finish(&mut self, now: Time, mut out: Vec<Action>) -> Vec<Action> {
        self.refresh(&mut out);
        if self.gossip.due(now, self.options.gossip_interval) {
            for target in self.sample(self.options.gossip_fanout, |_| true) {
                self.send(&target, Body::Gossip, &mut out);
            }
        }
        out
    }

    fn refresh(&mut self, out: &mut Vec<Action>) {
        if !std::mem::take(&mut self.table.changed) {
            return;
        }
        let members = self.table.members();
        if members == self.view.members {
            return;
        }
        let zones: BTreeMap<_, _> = members.iter().map(|(vm, m)| (vm, &m.zone)).collect();
        self.ring = rings::neighbours(&self.table.own.name, &zones);
        self.heard.retain(|vm| members.contains_key(vm));
        self.view = Arc::new(View {
            version: self.view.version + 1,
            members,
        });
        out.push(Action::Changed);
    }

    /// Returns up to `n` random members that are not dead and that `fits` accepts.
    fn sample(&mut self, n: usize, fits: impl Fn(&Update) -> bool) -> Vec<Update> {
        let mut able: Vec<_> = self.table.live().filter(|update| fits(update)).collect();
        let count = n.min(able.len());
        for place in 0..count {
            let other = self.rng.random_range(place..able.len());
            able.swap(place, other);
        }
        able.into_iter().take(count).cloned().collect()
    }
}
