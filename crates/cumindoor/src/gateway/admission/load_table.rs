//! The load that all gateways have placed on each upstream.
//!
//! An engine's own load report can be a second old, while a burst of requests fills an engine
//! within a tenth of that. Each gateway therefore sends its peers a digest of the load that it has
//! placed, and adds the digests that it receives to its own load. The load of a gateway that sends
//! no more digests is dropped, because it is assumed to have lost its connections to the upstreams
//! too.

mod classes;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use coord::hash::{hash64, rendezvous_score};
use coord::limit::{FleetSize, LimitKey, Sighting};
use coord::name::{Service, Upstream};
use coord::poison::CrashRecord;
use coord::ring::Window;
use coord::time::Time;
use serde::{Deserialize, Serialize};

use crate::gateway::admission::trials::Trial;
use crate::gateway::engines::speeds::Observation;
use crate::gateway::fleet::peer_list::NEIGHBOURS;

pub use classes::{ClassReport, Rank};

/// Time without a digest after which a peer is removed.
pub(in crate::gateway) const PEER_TIMEOUT: Duration = Duration::from_secs(3);

/// Time without a digest after which no requests are forwarded to a peer: two heartbeats and a margin.
const HELPER_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Time for which it is known who placed KV cache on an upstream.
const RAISE_MEMORY: Duration = Duration::from_millis(500);

/// Failure rate from which a report counts as lost requests rather than failures that the upstream
/// answered. Healthy upstreams lose no requests, and a single lost request already raises the rate
/// to 0.4.
const LOST_REQUEST_SHARE: f64 = 0.35;
/// Failure reports from a gateway are ignored if they cover more than one in this many upstreams,
/// because that gateway is probably cut off itself.
const MAX_FAILING_DIVISOR: usize = 3;

/// The load on one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Number of requests.
    pub requests: u32,
    /// Prompt tokens that are not prefilled yet.
    #[serde(rename = "unread")]
    pub unprefilled_tokens: u32,
    /// KV cache tokens that the requests will occupy when their output is complete.
    #[serde(rename = "memory")]
    pub kv_tokens: u32,
}

/// The sum of the loads that gateways have placed on one upstream. It is wider than its parts, which other
/// gateways state, so that it can be taken apart again whatever they are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct TotalLoad {
    requests: u64,
    unprefilled_tokens: u64,
    kv_tokens: u64,
}

impl TotalLoad {
    fn add(&mut self, load: Load) {
        self.requests += u64::from(load.requests);
        self.unprefilled_tokens += u64::from(load.unprefilled_tokens);
        self.kv_tokens += u64::from(load.kv_tokens);
    }

    fn remove(&mut self, load: Load) {
        let rest = |total: u64, part: u32| total.saturating_sub(part.into());
        self.requests = rest(self.requests, load.requests);
        self.unprefilled_tokens = rest(self.unprefilled_tokens, load.unprefilled_tokens);
        self.kv_tokens = rest(self.kv_tokens, load.kv_tokens);
    }

    fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

impl From<TotalLoad> for Load {
    fn from(total: TotalLoad) -> Self {
        let narrow = |sum: u64| u32::try_from(sum).unwrap_or(u32::MAX);
        Self {
            requests: narrow(total.requests),
            unprefilled_tokens: narrow(total.unprefilled_tokens),
            kv_tokens: narrow(total.kv_tokens),
        }
    }
}

/// The requests of one service that wait for capacity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Waiting {
    /// Number of requests.
    pub requests: u32,
    /// KV cache tokens that the requests need.
    #[serde(rename = "memory")]
    pub kv_tokens: u32,
    /// Whether the request at the head of the queue can no longer meet its latency target.
    pub late: bool,
    /// Milliseconds for which the request at the head of the queue has waited.
    pub waited_ms: u32,
}

/// A hash that stands for a name in messages between gateways, to keep them short.
pub type Key = u64;

/// Returns the key of an upstream.
#[must_use]
pub fn upstream_key(upstream: &Upstream) -> Key {
    hash64(upstream.as_str().as_bytes())
}

/// Returns the key of a service.
#[must_use]
pub fn service_key(service: &Service) -> Key {
    hash64(service.as_str().as_bytes())
}

/// The highest store revisions at which a gateway saw a change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seen {
    /// Revision of the latest routing change.
    pub routing: u64,
    /// Revision of the latest change to an upstream entry.
    pub upstreams: u64,
}

/// The state that a gateway sends to its peers. A later digest replaces an earlier one completely.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Unix milliseconds of the sender's start, which separate a restarted gateway from its
    /// predecessor.
    pub start: u64,
    /// Sequence number of the digest, counted from the sender's start.
    #[serde(rename = "number")]
    pub sequence: u64,
    /// Load that the sender has placed, by upstream.
    pub loads: Vec<(Key, Load)>,
    /// Requests that wait at the sender, by service.
    pub waiting: Vec<(Key, Waiting)>,
    /// Addresses of other gateways from which the sender received digests recently.
    pub peers: Vec<SocketAddr>,
    /// Highest fencing number known to the sender.
    pub fence: u64,
    /// Highest store revisions at which the sender saw a change.
    pub seen: Seen,
    /// Upstreams with recent failures at the sender, each with its failure rate in percent.
    pub failing: Vec<(Key, u8)>,
    /// Engines that the sender ordered to switch stage, each with the milliseconds that remain.
    pub switching: Vec<(Key, u32)>,
    /// Whether the sender is stopping and needs no more digests.
    #[serde(rename = "leaving")]
    pub stopping: bool,
    /// Starts of upstreams that told the sender that they are leaving. Gateways of older builds do not
    /// send it.
    #[serde(default)]
    pub departing: Vec<LimitKey>,
    /// Services of which no upstream answers the sender over its own links. Gateways of older builds do not
    /// send it.
    #[serde(default)]
    pub unreachable: Vec<Key>,
    /// What answers told the sender of the speed of upstreams since its last digest. Gateways of older builds
    /// do not send it.
    #[serde(default)]
    pub observed: Vec<Observation>,
    /// Classes of the services whose requests have several urgencies. Gateways of older builds do not send it.
    #[serde(default)]
    pub classes: Vec<(Key, ClassReport)>,
}

/// The crashes of upstreams that a gateway knows of, in a datagram of their own: most of the time
/// there are none.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Unix milliseconds of the sender's start.
    pub start: u64,
    /// Sequence number, counted with those of the digests.
    pub sequence: u64,
    /// Runs of suspects at the sender.
    pub trials: Vec<Trial>,
    /// What is known of some requests.
    pub records: Vec<CrashRecord>,
}

#[derive(Clone, Debug)]
struct Peer {
    last_heard: Time,
    digest: Digest,
}

/// A fleet in which a gateway hears only some of the others all the time.
#[derive(Clone, Debug, PartialEq)]
pub struct Neighbourhood {
    /// The other gateways that live.
    pub members: Vec<SocketAddr>,
    /// The upstreams that this gateway uses.
    pub window: Window,
}

/// The load placed by this gateway and by its peers.
#[derive(Clone, Debug, Default)]
pub struct LoadTable {
    own: BTreeMap<Key, TotalLoad>,
    waiting: BTreeMap<Key, Waiting>,
    peers: BTreeMap<SocketAddr, Peer>,
    /// The whole fleet, if it is too large for all gateways to hear each other all the time.
    neighbourhood: Option<Neighbourhood>,
    /// The gateways that were heard when this one began to stop.
    heard_at_stop: Option<Vec<SocketAddr>>,
    /// The gateways among which a limit of the whole fleet is divided.
    fleet: FleetSize,
    /// Highest fencing number seen from any gateway.
    fence: u64,
    /// Load of all gateways, by upstream.
    totals: BTreeMap<Key, TotalLoad>,
    /// The gateways that placed KV cache on an upstream lately, each with the time when that was heard.
    raises: BTreeMap<Key, Vec<(Time, SocketAddr)>>,
}

impl LoadTable {
    /// Adds load that this gateway places on an upstream.
    pub fn reserve(&mut self, key: Key, load: Load) {
        self.own.entry(key).or_default().add(load);
        self.totals.entry(key).or_default().add(load);
    }

    /// Removes load of this gateway from an upstream.
    pub fn release(&mut self, key: Key, load: Load) {
        subtract(&mut self.own, key, load);
        subtract(&mut self.totals, key, load);
    }

    /// Sets the requests of a service that wait at this gateway.
    pub fn set_waiting(&mut self, service: Key, waiting: Waiting) {
        if waiting.requests == 0 {
            self.waiting.remove(&service);
        } else {
            self.waiting.insert(service, waiting);
        }
    }

    /// Returns the load that all gateways have placed on an upstream.
    #[must_use]
    pub fn load(&self, key: Key) -> Load {
        let total = self.totals.get(&key).copied();
        total.unwrap_or_default().into()
    }

    /// Returns the number and size of the requests of a service that wait at other gateways.
    #[must_use]
    pub fn waiting_at_peers(&self, service: Key) -> Waiting {
        let mut sum = Waiting::default();
        let digests = self.peers.values().flat_map(|peer| &peer.digest.waiting);
        for (_, waiting) in digests.filter(|(key, _)| *key == service) {
            sum.requests = sum.requests.saturating_add(waiting.requests);
            sum.kv_tokens = sum.kv_tokens.saturating_add(waiting.kv_tokens);
        }
        sum
    }

    /// Returns how many other gateways have a waiting request of the service that takes precedence
    /// over one that has waited here for `waited`. Requests that can still meet their target take
    /// precedence over late ones; among equals, the one that has waited longest does.
    #[must_use]
    pub fn gateways_ahead(&self, now: Time, service: Key, late: bool, waited: Duration) -> u32 {
        let ahead = |peer: &&Peer| {
            let mut waiting = peer.digest.waiting.iter();
            waiting.any(|(key, waiting)| {
                let peer_wait =
                    Duration::from_millis(waiting.waited_ms.into()) + now.since(peer.last_heard);
                *key == service && (waiting.late, Reverse(peer_wait)) < (late, Reverse(waited))
            })
        };
        let count = self.peers.values().filter(ahead).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Returns the highest store revisions at which any other gateway saw a change.
    #[must_use]
    pub fn seen_by_peers(&self) -> Seen {
        let digests = self.peers.values().map(|peer| peer.digest.seen);
        digests.fold(Seen::default(), |highest, seen| Seen {
            routing: highest.routing.max(seen.routing),
            upstreams: highest.upstreams.max(seen.upstreams),
        })
    }

    /// Returns the failure rates of upstreams as reported by other gateways.
    ///
    /// Lost requests that several gateways report are independent evidence, so their rates are
    /// combined. A gateway that reports a large part of the `known` upstreams as failing is
    /// probably cut off itself, and its reports are ignored.
    #[must_use]
    pub fn peer_failure_rates(&self, known: usize) -> BTreeMap<Key, f64> {
        let max_failing = known / MAX_FAILING_DIVISOR;
        let reports = self.peers.values().map(|peer| &peer.digest.failing);
        let credible = reports.filter(|failing| failing.len() <= max_failing.max(1));
        let mut rates: BTreeMap<Key, f64> = BTreeMap::new();
        for (key, percent) in credible.flatten() {
            let share = f64::from(*percent) / 100.0;
            let rate = rates.entry(*key).or_default();
            *rate = if share >= LOST_REQUEST_SHARE {
                1.0 - (1.0 - *rate) * (1.0 - share)
            } else {
                rate.max(share)
            };
        }
        rates
    }

    /// Applies a digest from a peer. Returns false if it is not newer than the last one applied.
    pub fn apply_digest(&mut self, now: Time, from: SocketAddr, digest: Digest) -> bool {
        let version = |digest: &Digest| (digest.start, digest.sequence);
        let known = self.peers.get(&from);
        if known.is_some_and(|peer| version(&digest) <= version(&peer.digest)) {
            return false;
        }
        self.record_raises(now, from, &digest);
        self.remove_peer(from);
        self.fence = self.fence.max(digest.fence);
        if digest.stopping && digest.loads.is_empty() {
            return true;
        }
        for (key, load) in &digest.loads {
            self.totals.entry(*key).or_default().add(*load);
        }
        self.peers.insert(
            from,
            Peer {
                last_heard: now,
                digest,
            },
        );
        true
    }

    /// Sets which gateways live in a fleet in which not all hear each other all the time. Returns those that
    /// have gone silent.
    pub fn set_neighbourhood(&mut self, neighbourhood: Option<Neighbourhood>) -> Vec<SocketAddr> {
        let before = self.neighbourhood.take();
        self.neighbourhood = neighbourhood;
        let Some(before) = before else {
            return Vec::new();
        };
        let live: BTreeSet<SocketAddr> = self.peers().collect();
        let gone = before.members.into_iter();
        gone.filter(|addr| !live.contains(addr)).collect()
    }

    /// Returns the upstreams that this gateway uses as long as one of them has room, or `None` if it uses all.
    #[must_use]
    pub fn window(&self) -> Option<Window> {
        self.neighbourhood.as_ref().map(|fleet| fleet.window)
    }

    /// Returns the number of gateways, including this one, that use the same upstreams.
    #[must_use]
    pub fn sharing_count(&self) -> usize {
        match self.neighbourhood {
            Some(_) => NEIGHBOURS + 1,
            None => self.gateway_count(),
        }
    }

    /// Removes the load of peers that have timed out. Returns the addresses of those that have gone silent.
    pub fn expire(&mut self, now: Time) -> Vec<SocketAddr> {
        self.raises.retain(|_, raises| {
            raises.retain(|(at, _)| now.since(*at) < RAISE_MEMORY);
            !raises.is_empty()
        });
        let silent = |peer: &&Peer| now.since(peer.last_heard) >= PEER_TIMEOUT;
        let gone = self.peers.iter().filter(|(_, peer)| silent(peer));
        let gone: Vec<SocketAddr> = gone.map(|(addr, _)| *addr).collect();
        for addr in &gone {
            self.remove_peer(*addr);
        }
        match &self.neighbourhood {
            // Those that are no neighbours are heard seldom.
            Some(_) => Vec::new(),
            None => gone,
        }
    }

    /// Records on which upstreams a digest places more KV cache than the one before.
    fn record_raises(&mut self, now: Time, from: SocketAddr, digest: &Digest) {
        let before = self.peers.get(&from);
        let before = before.into_iter().flat_map(|peer| &peer.digest.loads);
        let before: BTreeMap<Key, u32> = before.map(|(key, load)| (*key, load.kv_tokens)).collect();
        for (key, load) in &digest.loads {
            if load.kv_tokens > before.get(key).copied().unwrap_or_default() {
                let raises = self.raises.entry(*key).or_default();
                raises.retain(|(at, _)| now.since(*at) < RAISE_MEMORY);
                raises.push((now, from));
            }
        }
    }

    /// Returns whether a gateway that takes precedence over this one at the upstream placed KV cache there, as
    /// far as was heard since a time. Which one takes precedence differs from one upstream to the next.
    #[must_use]
    pub fn is_outbid(&self, key: Key, since: Time, own: SocketAddr) -> bool {
        let rank = |addr: SocketAddr| rendezvous_score(key, &addr.to_string());
        let raises = self.raises.get(&key);
        let mut later = raises.into_iter().flatten().filter(|(at, _)| *at >= since);
        later.any(|(_, addr)| rank(*addr) > rank(own))
    }

    /// Returns the addresses of the live peers.
    pub fn peers(&self) -> impl Iterator<Item = SocketAddr> {
        let distant = self.neighbourhood.as_ref();
        let members = distant.into_iter().flat_map(|fleet| &fleet.members);
        let is_alone = self.neighbourhood.is_none();
        let heard = self.peers.keys().filter(move |_| is_alone);
        members.chain(heard).copied()
    }

    /// Returns the gateways that can be expected to reach upstreams of a service: those heard a short time
    /// ago that neither stop nor report the contrary.
    #[must_use]
    pub fn helpers(&self, now: Time, service: Key) -> Vec<SocketAddr> {
        let fit = |peer: &Peer| {
            let digest = &peer.digest;
            let recent = now.since(peer.last_heard) < HELPER_TIMEOUT;
            recent && !digest.stopping && !digest.unreachable.contains(&service)
        };
        let fit = self.peers.iter().filter(|(_, peer)| fit(peer));
        fit.map(|(addr, _)| *addr).collect()
    }

    /// Returns those services that a peer reports as unreachable and did not report before.
    #[must_use]
    pub fn newly_unreachable(&self, from: SocketAddr, reported: &[Key]) -> Vec<Key> {
        let before = self.peers.get(&from);
        let before = before.map_or(&[][..], |peer| &peer.digest.unreachable);
        let new = reported.iter().filter(|key| !before.contains(key));
        new.copied().collect()
    }

    /// Returns whether a digest of the peer was applied and has not expired.
    #[must_use]
    pub fn is_live(&self, addr: SocketAddr) -> bool {
        let fleet = self.neighbourhood.as_ref();
        self.peers.contains_key(&addr) || fleet.is_some_and(|fleet| fleet.members.contains(&addr))
    }

    /// Returns whether a live gateway is the one that began at `start`. Those that send no digests here are taken for
    /// known, whenever they began.
    #[must_use]
    pub fn knows_start(&self, addr: SocketAddr, start: u64) -> bool {
        match self.peers.get(&addr) {
            Some(peer) => peer.digest.start == start,
            None => self.is_live(addr),
        }
    }

    /// Records that this gateway begins to stop. The others send it no more digests from then on.
    pub fn begin_stop(&mut self) {
        if self.heard_at_stop.is_none() {
            self.heard_at_stop = Some(self.peers().collect());
        }
    }

    /// Returns the addresses of the other gateways that live, as far as is known: while this one stops, those
    /// that it heard when it began to.
    #[must_use]
    pub fn others(&self) -> Vec<SocketAddr> {
        let heard = || self.peers().collect();
        self.heard_at_stop.clone().unwrap_or_else(heard)
    }

    /// Returns the number of live gateways, including this one.
    #[must_use]
    pub fn gateway_count(&self) -> usize {
        let fleet = self.neighbourhood.as_ref();
        fleet.map_or(self.peers.len(), |fleet| fleet.members.len()) + 1
    }

    /// Returns the highest fencing number known.
    #[must_use]
    pub fn fence(&self) -> u64 {
        self.fence
    }

    /// Raises the highest fencing number to one that was just used.
    pub fn raise_fence(&mut self, fence: u64) {
        self.fence = self.fence.max(fence);
    }

    /// Returns the requests of a service that wait at this gateway.
    #[must_use]
    pub fn waiting_locally(&self, service: Key) -> Waiting {
        self.waiting.get(&service).copied().unwrap_or_default()
    }

    /// Records how many gateways there are: the live ones, and `hearsay` that only others hear.
    pub fn record_fleet(&mut self, now: Time, hearsay: usize) {
        let heard = self.gateway_count();
        self.fleet.record(now, Sighting { heard, hearsay });
    }

    /// Records the number of gateways that one reports which knows all of them.
    pub fn record_reported(&mut self, now: Time, gateways: usize) {
        self.fleet.record_reported(now, gateways);
    }

    /// Returns the gateways among which a limit of the whole fleet is divided.
    #[must_use]
    pub fn fleet(&self) -> &FleetSize {
        &self.fleet
    }

    /// Returns a digest with the load, waiting requests and fencing number of this gateway; the caller
    /// fills in the remaining fields.
    #[must_use]
    pub fn digest(&self) -> Digest {
        Digest {
            loads: self
                .own
                .iter()
                .map(|(key, load)| (*key, (*load).into()))
                .collect(),
            fence: self.fence,
            waiting: self.waiting.iter().map(|(key, w)| (*key, *w)).collect(),
            ..Digest::default()
        }
    }

    fn remove_peer(&mut self, addr: SocketAddr) {
        let Some(peer) = self.peers.remove(&addr) else {
            return;
        };
        for (key, load) in &peer.digest.loads {
            subtract(&mut self.totals, *key, *load);
        }
    }
}

fn subtract(loads: &mut BTreeMap<Key, TotalLoad>, key: Key, load: Load) {
    if let Some(sum) = loads.get_mut(&key) {
        sum.remove(load);
        if sum.is_empty() {
            loads.remove(&key);
        }
    }
}
