//! The addresses of the other gateways, and the selection of those that receive a digest.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use coord::hash::hash64;
use coord::ring::Ring;
use coord::time::Time;

use crate::gateway::admission::load_table::{Digest, Neighbourhood, PEER_TIMEOUT};

/// Gateways in the largest fleet in which all tell each other their whole load. Up to here, that costs less than
/// the wrong placements of gateways that know only a part of it.
pub const MAX_FULL_EXCHANGE: usize = 96;
/// Gateways that each gateway of a larger fleet tells its whole load.
pub const NEIGHBOURS: usize = 48;
/// Other gateways that get a digest without loads in one heartbeat, in turn, so that all learn who lives.
const DISTANT_TARGETS: usize = 6;

/// Time without a digest after which a peer is contacted less often.
const SILENT_AFTER: Duration = Duration::from_secs(5);
/// Heartbeats between two digests to a silent peer.
const SILENT_PROBE_HEARTBEATS: u64 = 8;
/// Time without a digest after which a peer is removed, unless the settings name it.
const EXPIRY: Duration = Duration::from_secs(30);
/// Addresses listed in one digest.
const MAX_LISTED_PEERS: usize = 12;
/// Addresses listed in one digest shortly after a start.
const MAX_LISTED_AT_START: usize = 36;
/// Addresses listed in the first digest to a newcomer, which takes 1.7 KB.
const MAX_LISTED_TO_NEWCOMER: usize = 96;

/// Time in which a gateway lists all the others that it hears.
const LISTING_CYCLE: Duration = Duration::from_secs(5);
/// Time without a digest and without being listed after which a gateway that is no neighbour counts as gone. In a
/// fleet of 1,000, each one is listed to each other about every 1.4 s.
const DISTANT_TIMEOUT: Duration = Duration::from_secs(10);
/// Heartbeats after a start in which a gateway lists more others, so that a fleet that starts at once knows itself
/// soon.
const START_HEARTBEATS: u64 = 10;

/// Peers that receive a page of the crashes in one heartbeat. A full page has 5.1 KB, so pages take
/// at most 21 KB/s.
const PAGE_TARGETS: usize = 2;

/// A known address of another gateway.
#[derive(Clone, Copy)]
struct Contact {
    /// When the last digest came from the address, or when the address was learned.
    seen_at: Time,
    /// Whether a digest came from the address itself. Only such addresses are passed on to other
    /// gateways, so that dead ones are forgotten.
    confirmed: bool,
    /// When another gateway last listed the address as live.
    listed_at: Option<Time>,
}

impl Contact {
    /// Returns whether a digest came from the address itself a short time ago.
    fn is_live(&self, now: Time) -> bool {
        self.confirmed && now.since(self.seen_at) < PEER_TIMEOUT
    }

    /// Returns whether another gateway has listed the address as live within a time.
    fn is_listed(&self, now: Time, within: Duration) -> bool {
        self.listed_at.is_some_and(|at| now.since(at) < within)
    }

    /// Returns whether the gateway at the address lives, as far as that is known without hearing it.
    fn is_believed(&self, now: Time) -> bool {
        self.is_live(now) || self.is_listed(now, DISTANT_TIMEOUT)
    }

    /// Returns when something last showed that there is a gateway at the address.
    fn shown_at(&self) -> Time {
        self.seen_at.max(self.listed_at.unwrap_or(Time::ZERO))
    }
}

/// The addresses that receive a digest.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Audience {
    /// Those that are told the whole load.
    pub near: Vec<SocketAddr>,
    /// Those that are told the rest in this heartbeat.
    pub distant: Vec<SocketAddr>,
    /// All gateways, for what none may miss.
    pub all: Vec<SocketAddr>,
}

impl Audience {
    /// Returns the addresses that receive a digest now.
    #[must_use]
    pub fn told(&self) -> Vec<SocketAddr> {
        [&self.near[..], &self.distant].concat()
    }
}

/// The known addresses of other gateways.
pub struct PeerList {
    own: SocketAddr,
    seeds: BTreeSet<SocketAddr>,
    known: BTreeMap<SocketAddr, Contact>,
    heartbeats: u64,
    /// The neighbours, as they were computed last; `None` if addresses have come or gone since.
    near: Option<Vec<SocketAddr>>,
}

impl PeerList {
    /// Creates the list for the gateway at `own`.
    #[must_use]
    pub fn new(own: SocketAddr) -> Self {
        Self {
            own,
            known: BTreeMap::new(),
            seeds: BTreeSet::new(),
            heartbeats: 0,
            near: None,
        }
    }

    /// Sets the seed addresses from the settings, which may have changed.
    pub fn set_seeds(&mut self, now: Time, seeds: impl Iterator<Item = IpAddr>) {
        // All gateways of the fleet use the same port, so only the IP address of a seed counts.
        let seeds = seeds.map(|seed| SocketAddr::new(seed, self.own.port()));
        self.seeds = seeds.filter(|seed| *seed != self.own).collect();
        for seed in &self.seeds {
            self.known.entry(*seed).or_insert(unconfirmed_contact(now));
        }
    }

    /// Records the sender of a digest and the addresses that it lists.
    pub fn record_digest(&mut self, now: Time, from: SocketAddr, digest: &Digest) {
        if digest.stopping {
            self.known.remove(&from);
            self.near = None;
            return;
        }
        let known = self.known.len();
        let contact = self.known.entry(from).or_insert(unconfirmed_contact(now));
        contact.seen_at = now;
        contact.confirmed = true;
        for peer in digest.peers.iter().filter(|peer| **peer != self.own) {
            let contact = self.known.entry(*peer).or_insert(unconfirmed_contact(now));
            contact.listed_at = Some(now);
        }
        if self.known.len() > known {
            self.near = None;
        }
    }

    /// Returns whether a digest came from the address itself a short time ago.
    #[must_use]
    pub fn is_heard(&self, now: Time, addr: SocketAddr) -> bool {
        self.known
            .get(&addr)
            .is_some_and(|contact| contact.is_live(now))
    }

    /// Returns the number of gateways that are not heard, and that others list as live.
    ///
    /// In a large fleet, only neighbours are expected to be heard.
    #[must_use]
    pub fn hearsay(&self, now: Time) -> usize {
        let unheard = |addr: &SocketAddr| {
            let contact = self.known.get(addr);
            contact.is_some_and(|contact| {
                contact.is_listed(now, LISTING_CYCLE) && !contact.is_live(now)
            })
        };
        let ring = self.ring(now);
        let expected = if ring.len() > MAX_FULL_EXCHANGE {
            ring.neighbours(&self.own, NEIGHBOURS)
        } else {
            self.known.keys().copied().collect()
        };
        expected.iter().filter(|addr| unheard(addr)).count()
    }

    /// Returns the gateways that live and the place of this one among them, or `None` in a fleet in which all
    /// tell each other everything.
    ///
    /// Neighbours live if they are heard; the others, which are heard seldom, also if another gateway lists
    /// them.
    #[must_use]
    pub fn neighbourhood(&self, now: Time) -> Option<Neighbourhood> {
        let ring = self.ring(now);
        if ring.len() <= MAX_FULL_EXCHANGE {
            return None;
        }
        let window = ring.window(&self.own, NEIGHBOURS)?;
        let near: BTreeSet<SocketAddr> =
            ring.neighbours(&self.own, NEIGHBOURS).into_iter().collect();
        let lives = |(addr, contact): &(&SocketAddr, &Contact)| {
            contact.is_live(now) || (contact.is_believed(now) && !near.contains(*addr))
        };
        let live = self.known.iter().filter(lives);
        Some(Neighbourhood {
            members: live.map(|(addr, _)| *addr).collect(),
            window,
        })
    }

    /// Returns the ring of the gateways that are heard or listed, and this one.
    fn ring(&self, now: Time) -> Ring<SocketAddr> {
        let known = self
            .known
            .iter()
            .filter(|(_, contact)| contact.is_believed(now));
        let members = known.map(|(addr, _)| *addr).chain([self.own]);
        Ring::new(members, hash_address)
    }

    /// Returns the addresses that receive the next digest. In a large fleet, the neighbours are told the whole load, and in a heartbeat a few of the others, in turn, the rest.
    pub fn audience(&mut self, now: Time, heartbeat: bool) -> Audience {
        let all = self.targets(now, heartbeat);
        if all.len() < MAX_FULL_EXCHANGE {
            return Audience {
                near: all.clone(),
                distant: Vec::new(),
                all,
            };
        }
        let known = self.near.take().filter(|_| !heartbeat);
        let near = known.unwrap_or_else(|| self.ring(now).neighbours(&self.own, NEIGHBOURS));
        self.near = Some(near.clone());
        let distant = if heartbeat {
            let is_near: BTreeSet<&SocketAddr> = near.iter().collect();
            let rest = all.iter().filter(|addr| !is_near.contains(addr));
            let rest: Vec<SocketAddr> = rest.copied().collect();
            self.in_turn(&rest, DISTANT_TARGETS)
        } else {
            Vec::new()
        };
        Audience { near, distant, all }
    }

    /// Returns the addresses that receive what all have to know. Silent peers are included in some of the
    /// heartbeats.
    pub fn targets(&mut self, now: Time, heartbeat: bool) -> Vec<SocketAddr> {
        let seeds = &self.seeds;
        self.known
            .retain(|addr, contact| seeds.contains(addr) || now.since(contact.shown_at()) < EXPIRY);
        self.heartbeats += u64::from(heartbeat);
        let probe_silent = heartbeat && self.heartbeats.is_multiple_of(SILENT_PROBE_HEARTBEATS);
        let due = |contact: &Contact| probe_silent || now.since(contact.shown_at()) < SILENT_AFTER;
        let targets = self.known.iter().filter(|(_, contact)| due(contact));
        targets.map(|(addr, _)| *addr).collect()
    }

    /// Returns the addresses that receive a page of the crashes in this heartbeat: a few of the live
    /// peers in turn, so that the cost does not grow with the fleet.
    #[must_use]
    pub fn page_targets(&self, now: Time) -> Vec<SocketAddr> {
        let live =
            |contact: &Contact| contact.confirmed && now.since(contact.seen_at) < SILENT_AFTER;
        let live = self.known.iter().filter(|(_, contact)| live(contact));
        let live: Vec<SocketAddr> = live.map(|(addr, _)| *addr).collect();
        self.in_turn(&live, PAGE_TARGETS)
    }

    /// Returns the next `count` addresses of a list, continuing after those of the previous
    /// heartbeat. Each gateway begins somewhere else, so that not all turn to the same few at a time.
    fn in_turn(&self, all: &[SocketAddr], count: usize) -> Vec<SocketAddr> {
        let count = count.min(all.len());
        let heartbeats = usize::try_from(self.heartbeats).unwrap_or(0);
        let begin = usize::try_from(hash_address(&self.own) % (1 << 20)).unwrap_or(0);
        let offset = (begin + heartbeats * count) % all.len().max(1);
        let twice = all.iter().chain(all);
        twice.skip(offset).take(count).copied().collect()
    }

    /// Returns the addresses that the next digest lists. Each heartbeat continues after the
    /// addresses of the previous one, so that a few heartbeats list all of them.
    #[must_use]
    pub fn listed(&self, now: Time) -> Vec<SocketAddr> {
        let count = if self.heartbeats <= START_HEARTBEATS {
            MAX_LISTED_AT_START
        } else {
            MAX_LISTED_PEERS
        };
        self.in_turn(&self.heard(now), count)
    }

    /// Returns the addresses that the first digest to a newcomer lists, which are more: it looks for its
    /// neighbours.
    #[must_use]
    pub fn listed_to_newcomer(&self, now: Time) -> Vec<SocketAddr> {
        self.in_turn(&self.heard(now), MAX_LISTED_TO_NEWCOMER)
    }

    fn heard(&self, now: Time) -> Vec<SocketAddr> {
        let live = self
            .known
            .iter()
            .filter(|(_, contact)| contact.is_live(now));
        live.map(|(addr, _)| *addr).collect()
    }
}

fn hash_address(addr: &SocketAddr) -> u64 {
    let port = addr.port().to_be_bytes();
    match addr.ip() {
        IpAddr::V4(ip) => hash64(&[&ip.octets()[..], &port].concat()),
        IpAddr::V6(ip) => hash64(&[&ip.octets()[..], &port].concat()),
    }
}

fn unconfirmed_contact(now: Time) -> Contact {
    Contact {
        seen_at: now,
        confirmed: false,
        listed_at: None,
    }
}
