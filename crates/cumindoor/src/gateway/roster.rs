//! The addresses of the other gateways, and who gets a digest.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use coord::time::Time;

use super::board::Digest;

/// The time after which an address that does not answer is tried rarely.
const SILENCE: Duration = Duration::from_secs(5);
/// How often such an address is tried, in heartbeats.
const RARELY: u64 = 8;
/// The time after which such an address is dropped, unless the settings name it.
const DROP: Duration = Duration::from_secs(30);
/// Addresses named in one digest.
const NAMED: usize = 12;

/// What is known of another gateway's address.
#[derive(Clone, Copy)]
struct Contact {
    /// When it was heard last, or learned.
    at: Time,
    /// Whether it was heard itself; only such addresses are named to others, so that dead ones are
    /// forgotten.
    heard: bool,
}

/// The addresses of other gateways.
pub struct Roster {
    own: SocketAddr,
    seeds: BTreeSet<SocketAddr>,
    known: BTreeMap<SocketAddr, Contact>,
    beats: u64,
}

impl Roster {
    /// Creates the roster of the gateway at `own`.
    #[must_use]
    pub fn new(own: SocketAddr) -> Self {
        Self {
            own,
            known: BTreeMap::new(),
            seeds: BTreeSet::new(),
            beats: 0,
        }
    }

    /// Takes the IP addresses of the settings, which may have changed.
    pub fn take_seeds(&mut self, now: Time, seeds: impl Iterator<Item = IpAddr>) {
        // All gateways listen on the same port; the settings may name another one of the VM.
        let seeds = seeds.map(|seed| SocketAddr::new(seed, self.own.port()));
        self.seeds = seeds.filter(|seed| *seed != self.own).collect();
        for seed in &self.seeds {
            self.known.entry(*seed).or_insert(learned(now));
        }
    }

    /// Takes a digest.
    pub fn heard(&mut self, now: Time, from: SocketAddr, digest: &Digest) {
        if digest.leaving {
            self.known.remove(&from);
            return;
        }
        let contact = Contact {
            at: now,
            heard: true,
        };
        self.known.insert(from, contact);
        for peer in digest.peers.iter().filter(|peer| **peer != self.own) {
            self.known.entry(*peer).or_insert(learned(now));
        }
    }

    /// Returns who gets the next digest; on a heartbeat, silent addresses get one now and then.
    pub fn targets(&mut self, now: Time, beat: bool) -> Vec<SocketAddr> {
        let seeds = &self.seeds;
        self.known
            .retain(|addr, contact| seeds.contains(addr) || now.since(contact.at) < DROP);
        self.beats += u64::from(beat);
        let rare = beat && self.beats.is_multiple_of(RARELY);
        let due = |contact: &Contact| rare || now.since(contact.at) < SILENCE;
        let targets = self.known.iter().filter(|(_, contact)| due(contact));
        targets.map(|(addr, _)| *addr).collect()
    }

    /// Returns the addresses that the next digest names: each heartbeat's follow on those of the
    /// one before, so that all are named in a few.
    #[must_use]
    pub fn named(&self) -> Vec<SocketAddr> {
        let live = self.known.iter().filter(|(_, contact)| contact.heard);
        let live: Vec<SocketAddr> = live.map(|(addr, _)| *addr).collect();
        let count = NAMED.min(live.len());
        let beats = usize::try_from(self.beats).unwrap_or(0);
        let turn = (beats * count) % live.len().max(1);
        let all = live.iter().chain(&live);
        all.skip(turn).take(count).copied().collect()
    }
}

fn learned(now: Time) -> Contact {
    Contact {
        at: now,
        heard: false,
    }
}
