//! The work that all gateways have placed on each upstream.
//!
//! Reports of engines are up to a second old, while a burst fills an engine in a tenth of that. So
//! each gateway tells the others what it has placed, and adds up what it hears. A gateway that is
//! not heard for a while has lost its connections to the upstreams as well, and its part is dropped.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use coord::hash::hash64;
use coord::name::{Service, Upstream};
use coord::time::Time;
use serde::{Deserialize, Serialize};

/// The time after which a gateway that is not heard counts as gone.
const PEER_TIMEOUT: Duration = Duration::from_secs(3);

/// The share of failures that tells a lost request, which a sound upstream has none of, from a
/// failure that an upstream answered: one lost request makes 0.4 at first.
const LOST_REQUEST_SHARE: f64 = 0.35;
/// A gateway at which more than one in this many upstreams fail is not believed.
const MAX_FAILING_DIVISOR: usize = 3;

/// How long a gateway may need to hear the others after its start.
const DISCOVERY_TIME: Duration = Duration::from_secs(5);
/// Gateways that are assumed during that time.
const ASSUMED_GATEWAYS: usize = 16;

/// What is placed on one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests.
    pub requests: u32,
    /// Tokens of prompts that are still to be read.
    pub unread: u32,
    /// Tokens of memory that requests will hold at their end.
    pub memory: u32,
}

impl Load {
    fn add(&mut self, other: Self) {
        self.requests += other.requests;
        self.unread += other.unread;
        self.memory += other.memory;
    }

    fn remove(&mut self, other: Self) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.unread = self.unread.saturating_sub(other.unread);
        self.memory = self.memory.saturating_sub(other.memory);
    }

    fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// Requests of one service that wait for room.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Waiting {
    /// Requests.
    pub requests: u32,
    /// Tokens of memory that they will need.
    pub memory: u32,
    /// Whether the first of them can no longer be on time.
    pub late: bool,
    /// Milliseconds for which the first of them has waited.
    pub waited_ms: u32,
}

/// Names in messages between gateways are hashes, which are shorter.
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

/// The store's revisions at the last changes that a gateway heard of.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seen {
    /// Of the routing.
    pub routing: u64,
    /// Of the upstreams.
    pub upstreams: u64,
}

/// What one gateway tells the others; a later one replaces an earlier one as a whole.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Tells a restarted gateway from its predecessor.
    pub start: u64,
    /// Increases with each digest of one start.
    pub number: u64,
    /// What the gateway has placed.
    pub loads: Vec<(Key, Load)>,
    /// What waits there, by service.
    pub waiting: Vec<(Key, Waiting)>,
    /// Other gateways that it heard lately.
    pub peers: Vec<SocketAddr>,
    /// The highest fencing number that the gateway knows.
    pub fence: u64,
    /// The store's revisions at the last changes that the gateway heard of, by topic.
    pub seen: Seen,
    /// Upstreams whose requests failed lately, with the share in hundredths.
    pub failing: Vec<(Key, u8)>,
    /// Engines that change their stage by its order, with the milliseconds that are left.
    pub switching: Vec<(Key, u32)>,
    /// Whether it stops and wants no more digests.
    pub leaving: bool,
}

#[derive(Clone, Debug)]
struct Peer {
    last_heard: Time,
    digest: Digest,
}

/// Own placements and those of the other gateways.
#[derive(Clone, Debug, Default)]
pub struct LoadTable {
    own: BTreeMap<Key, Load>,
    waiting: BTreeMap<Key, Waiting>,
    peers: BTreeMap<SocketAddr, Peer>,
    /// The most gateways that were heard at once, this one included.
    max_gateways: usize,
    /// The highest fencing number of any gateway.
    fence: u64,
    /// Sums over all gateways.
    totals: BTreeMap<Key, Load>,
}

impl LoadTable {
    /// Notes own work on an upstream.
    pub fn reserve(&mut self, key: Key, load: Load) {
        self.own.entry(key).or_default().add(load);
        self.totals.entry(key).or_default().add(load);
    }

    /// Notes that own work on an upstream has ended.
    pub fn release(&mut self, key: Key, load: Load) {
        subtract(&mut self.own, key, load);
        subtract(&mut self.totals, key, load);
    }

    /// Notes what waits at this gateway for a service.
    pub fn set_waiting(&mut self, service: Key, waiting: Waiting) {
        if waiting.requests == 0 {
            self.waiting.remove(&service);
        } else {
            self.waiting.insert(service, waiting);
        }
    }

    /// Returns the work of all gateways on an upstream.
    #[must_use]
    pub fn load(&self, key: Key) -> Load {
        self.totals.get(&key).copied().unwrap_or_default()
    }

    /// Returns what waits at the other gateways for a service.
    #[must_use]
    pub fn waiting_at_peers(&self, service: Key) -> Waiting {
        let mut sum = Waiting::default();
        let digests = self.peers.values().flat_map(|peer| &peer.digest.waiting);
        for (_, waiting) in digests.filter(|(key, _)| *key == service) {
            sum.requests += waiting.requests;
            sum.memory += waiting.memory;
        }
        sum
    }

    /// Returns how many other gateways have a request of a service that goes before one that waits
    /// here.
    #[must_use]
    pub fn gateways_ahead(&self, now: Time, service: Key, late: bool, waited: Duration) -> u32 {
        let ahead = |peer: &&Peer| {
            let mut waiting = peer.digest.waiting.iter();
            waiting.any(|(key, waiting)| {
                let its_wait =
                    Duration::from_millis(waiting.waited_ms.into()) + now.since(peer.last_heard);
                *key == service && (waiting.late, Reverse(its_wait)) < (late, Reverse(waited))
            })
        };
        let count = self.peers.values().filter(ahead).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Returns the highest revisions of changes that other gateways heard of.
    #[must_use]
    pub fn seen_by_peers(&self) -> Seen {
        let digests = self.peers.values().map(|peer| peer.digest.seen);
        digests.fold(Seen::default(), |highest, seen| Seen {
            routing: highest.routing.max(seen.routing),
            upstreams: highest.upstreams.max(seen.upstreams),
        })
    }

    /// Returns the upstreams whose requests failed lately at other gateways, with the share of
    /// failures that their reports amount to.
    ///
    /// Lost requests that several gateways saw are independent evidence and add up. A gateway that
    /// reports a large part of the `known` upstreams is probably cut off itself.
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

    /// Takes a digest; returns false if it is older than one that was heard before.
    pub fn apply_digest(&mut self, now: Time, from: SocketAddr, digest: Digest) -> bool {
        let version = |digest: &Digest| (digest.start, digest.number);
        let known = self.peers.get(&from);
        if known.is_some_and(|peer| version(&digest) <= version(&peer.digest)) {
            return false;
        }
        self.remove_peer(from);
        self.fence = self.fence.max(digest.fence);
        if digest.leaving && digest.loads.is_empty() {
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
        self.max_gateways = self.max_gateways.max(self.gateway_count());
        true
    }

    /// Drops gateways that were not heard lately and returns them.
    pub fn expire(&mut self, now: Time) -> Vec<SocketAddr> {
        let silent = |peer: &&Peer| now.since(peer.last_heard) >= PEER_TIMEOUT;
        let gone = self.peers.iter().filter(|(_, peer)| silent(peer));
        let gone: Vec<SocketAddr> = gone.map(|(addr, _)| *addr).collect();
        for addr in &gone {
            self.remove_peer(*addr);
        }
        gone
    }

    /// Returns the gateways that were heard lately.
    pub fn peers(&self) -> impl Iterator<Item = SocketAddr> {
        self.peers.keys().copied()
    }

    /// Returns whether a gateway was heard lately.
    #[must_use]
    pub fn is_live(&self, addr: SocketAddr) -> bool {
        self.peers.contains_key(&addr)
    }

    /// Returns the number of gateways, this one included.
    #[must_use]
    pub fn gateway_count(&self) -> usize {
        self.peers.len() + 1
    }

    /// Returns the highest fencing number known.
    #[must_use]
    pub fn fence(&self) -> u64 {
        self.fence
    }

    /// Notes a fencing number that was used.
    pub fn raise_fence(&mut self, fence: u64) {
        self.fence = self.fence.max(fence);
    }

    /// Returns what waits at this gateway for a service.
    #[must_use]
    pub fn waiting_locally(&self, service: Key) -> Waiting {
        self.waiting.get(&service).copied().unwrap_or_default()
    }

    /// Returns the number of gateways that a shared allowance is divided by: those that cannot be
    /// heard at present use their share as well, and a gateway that has just started has not heard
    /// all of them yet.
    #[must_use]
    pub fn sharing_gateways(&self, now: Time) -> usize {
        let starting = now.since(Time::ZERO) < DISCOVERY_TIME;
        let least = if starting { ASSUMED_GATEWAYS } else { 1 };
        self.max_gateways.max(least)
    }

    /// Returns the own part of a digest.
    #[must_use]
    pub fn digest(&self) -> Digest {
        Digest {
            loads: self.own.iter().map(|(key, load)| (*key, *load)).collect(),
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

fn subtract(loads: &mut BTreeMap<Key, Load>, key: Key, load: Load) {
    if let Some(sum) = loads.get_mut(&key) {
        sum.remove(load);
        if sum.is_empty() {
            loads.remove(&key);
        }
    }
}
