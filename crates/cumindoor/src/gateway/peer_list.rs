//! The addresses of the other gateways, and who gets a digest.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use coord::time::Time;

use super::load_table::Digest;

/// The time after which an address that does not answer is tried rarely.
const SILENT_AFTER: Duration = Duration::from_secs(5);
/// How often such an address is tried, in heartbeats.
const SILENT_PROBE_HEARTBEATS: u64 = 8;
/// The time after which such an address is dropped, unless the settings name it.
const EXPIRY: Duration = Duration::from_secs(30);
/// Addresses named in one digest.
const MAX_LISTED_PEERS: usize = 12;

/// What is known of another gateway's address.
#[derive(Clone, Copy)]
struct Contact {
    /// When it was heard last, or learned.
    seen_at: Time,
    /// Whether it was heard itself; only such addresses are named to others, so that dead ones are
    /// forgotten.
    heard: bool,
}

/// The addresses of other gateways.
pub struct PeerList {
    own: SocketAddr,
    seeds: BTreeSet<SocketAddr>,
    known: BTreeMap<SocketAddr, Contact>,
    heartbeats: u64,
}

impl PeerList {
    /// Creates the roster of the gateway at `own`.
    #[must_use]
    pub fn new(own: SocketAddr) -> Self {
        Self {
            own,
            known: BTreeMap::new(),
            seeds: BTreeSet::new(),
            heartbeats: 0,
        }
    }

    /// Takes the IP addresses of the settings, which may have changed.
    pub fn set_seeds(&mut self, now: Time, seeds: impl Iterator<Item = IpAddr>) {
        // All gateways listen on the same port; the settings may name another one of the VM.
        let seeds = seeds.map(|seed| SocketAddr::new(seed, self.own.port()));
        self.seeds = seeds.filter(|seed| *seed != self.own).collect();
        for seed in &self.seeds {
            self.known.entry(*seed).or_insert(unheard(now));
        }
    }

    /// Takes a digest.
    pub fn record_digest(&mut self, now: Time, from: SocketAddr, digest: &Digest) {
        if digest.leaving {
            self.known.remove(&from);
            return;
        }
        let contact = Contact {
            seen_at: now,
            heard: true,
        };
        self.known.insert(from, contact);
        for peer in digest.peers.iter().filter(|peer| **peer != self.own) {
            self.known.entry(*peer).or_insert(unheard(now));
        }
    }

    /// Returns who gets the next digest; on a heartbeat, silent addresses get one now and then.
    pub fn targets(&mut self, now: Time, heartbeat: bool) -> Vec<SocketAddr> {
        let seeds = &self.seeds;
        self.known
            .retain(|addr, contact| seeds.contains(addr) || now.since(contact.seen_at) < EXPIRY);
        self.heartbeats += u64::from(heartbeat);
        let probe_silent = heartbeat && self.heartbeats.is_multiple_of(SILENT_PROBE_HEARTBEATS);
        let due = |contact: &Contact| probe_silent || now.since(contact.seen_at) < SILENT_AFTER;
        let targets = self.known.iter().filter(|(_, contact)| due(contact));
        targets.map(|(addr, _)| *addr).collect()
    }

    /// Returns the addresses that the next digest names: each heartbeat's follow on those of the
    /// one before, so that all are named in a few.
    #[must_use]
    pub fn listed(&self) -> Vec<SocketAddr> {
        let heard = self.known.iter().filter(|(_, contact)| contact.heard);
        let heard: Vec<SocketAddr> = heard.map(|(addr, _)| *addr).collect();
        let count = MAX_LISTED_PEERS.min(heard.len());
        let heartbeats = usize::try_from(self.heartbeats).unwrap_or(0);
        let turn = (heartbeats * count) % heard.len().max(1);
        let all = heard.iter().chain(&heard);
        all.skip(turn).take(count).copied().collect()
    }
}

fn unheard(now: Time) -> Contact {
    Contact {
        seen_at: now,
        heard: false,
    }
}
