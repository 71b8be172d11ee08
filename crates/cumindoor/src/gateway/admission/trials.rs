//! Runs of suspects, kept apart from each other.
//!
//! When an upstream crashes, requests that only shared it with the cause are suspected as well. A
//! request that is one crash away from being refused is therefore tried on an upstream without any
//! other suspect, and only once at a time in the fleet: if that upstream crashes too, no other suspect
//! is blamed, and if it does not, the request is cleared. Requests with fewer crashes run once at a
//! time as well. They may share an upstream, but not one on which such a trial takes place.
//!
//! Gateways announce these runs to each other. An exclusive trial is announced before it starts, and
//! gives way to one of another gateway that was announced at the same time.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use coord::time::Time;
use serde::{Deserialize, Serialize};

use crate::gateway::admission::load_table::Key;

/// Time after which a trial that another gateway announced is over, unless it was announced again.
const NOTICE_LIFETIME: Duration = Duration::from_secs(1);

/// Maximum number of fingerprints that one gateway has on trial at once, so that they fit into a datagram
/// beside the records of crashes. Further suspects wait.
const MAX_OWN_TRIALS: usize = 128;

/// A run of a suspect as gateways announce it to each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trial {
    /// The upstream on which the suspect runs.
    pub upstream: Key,
    /// Fingerprint of the suspect's step, or of a part of its prompt that is suspected.
    pub content: u128,
    /// Whether no other suspect may run on the upstream.
    pub exclusive: bool,
    /// Whether the request was sent. A trial that only waits to start may have to give way.
    pub started: bool,
}

/// How a suspect is tried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Terms {
    /// It is announced and sent at once. Gateways that do so at the same time run it twice.
    AtOnce,
    /// It is sent when the other gateways have heard of it.
    Agreed,
    /// The same, and no other suspect may run on the upstream.
    Exclusive,
}

/// Whether a trial may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Start {
    /// It has started.
    Started,
    /// Suspects that were sent to the upstream before still run there.
    Blocked,
    /// Another trial takes precedence.
    Lost,
}

#[derive(Clone, Debug)]
struct Notice {
    heard: Time,
    /// Start and sequence number of the report, of which later ones replace earlier ones.
    version: (u64, u64),
    trials: Vec<Trial>,
}

/// The trials of this gateway and of the others.
#[derive(Clone, Debug, Default)]
pub struct Trials {
    /// By number, the trials of one run: one for each of its fingerprints.
    own: BTreeMap<u64, Vec<Trial>>,
    next: u64,
    peers: BTreeMap<SocketAddr, Notice>,
    /// Whether the own trials changed since they were last announced.
    changed: bool,
}

impl Trials {
    /// Returns whether a suspect runs on an upstream.
    #[must_use]
    pub fn is_used(&self, now: Time, upstream: Key) -> bool {
        self.known(now).any(|trial| trial.upstream == upstream)
    }

    /// Returns whether no other suspect may run on an upstream.
    #[must_use]
    pub fn is_taken(&self, now: Time, upstream: Key) -> bool {
        let mut exclusive = self.known(now).filter(|trial| trial.exclusive);
        exclusive.any(|trial| trial.upstream == upstream)
    }

    /// Returns whether a request is on trial.
    #[must_use]
    pub fn is_on_trial(&self, now: Time, content: u128) -> bool {
        self.known(now).any(|trial| trial.content == content)
    }

    /// Announces the trial of a request with these fingerprints and returns its number, or `None` if one is
    /// known that must end first: of one of the fingerprints, or an exclusive one on the upstream.
    pub fn announce(
        &mut self,
        now: Time,
        (upstream, contents): (Key, &[u128]),
        terms: Terms,
    ) -> Option<u64> {
        let on_trial = contents.iter().any(|c| self.is_on_trial(now, *c));
        let count: usize = self.own.values().map(Vec::len).sum();
        let is_full = count > 0 && count + contents.len() > MAX_OWN_TRIALS;
        if on_trial || is_full || self.is_taken(now, upstream) {
            return None;
        }
        let number = self.next;
        self.next += 1;
        let trials = contents.iter().map(|content| Trial {
            upstream,
            content: *content,
            exclusive: terms == Terms::Exclusive,
            started: terms == Terms::AtOnce,
        });
        self.own.insert(number, trials.collect());
        self.changed = true;
        Some(number)
    }

    /// Starts a trial of the gateway at `own`, unless another trial takes precedence: one
    /// that has started, or else the one of the lower address.
    pub fn start(&mut self, now: Time, own: SocketAddr, number: u64) -> Start {
        let Some(trials) = self.own.get(&number) else {
            return Start::Lost;
        };
        let contends = |other: &Trial| {
            let same = |trial: &Trial| {
                let same_upstream = other.exclusive && other.upstream == trial.upstream;
                same_upstream || other.content == trial.content
            };
            trials.iter().any(same)
        };
        let wins = |(addr, other): (&SocketAddr, &Trial)| {
            contends(other) && (other.started || *addr < own)
        };
        if self.of_peers(now).any(wins) {
            return Start::Lost;
        }
        let shared = |other: &Trial| {
            let blocks = |t: &Trial| t.exclusive && t.upstream == other.upstream;
            !other.exclusive && trials.iter().any(blocks)
        };
        if self.known(now).any(shared) {
            return Start::Blocked;
        }
        for trial in self.own.get_mut(&number).into_iter().flatten() {
            trial.started = true;
        }
        self.changed = true;
        Start::Started
    }

    /// Ends a trial of this gateway.
    pub fn end(&mut self, number: u64) {
        self.changed |= self.own.remove(&number).is_some();
    }

    /// Returns the trials of this gateway.
    #[must_use]
    pub fn own(&self) -> Vec<Trial> {
        self.own.values().flatten().copied().collect()
    }

    /// Returns whether the own trials changed since they were last announced.
    #[must_use]
    pub fn has_changed(&self) -> bool {
        self.changed
    }

    /// Returns whether the own trials changed since the last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Applies the trials of another gateway, which replace its earlier ones.
    pub fn apply(&mut self, now: Time, from: SocketAddr, version: (u64, u64), trials: &[Trial]) {
        let known = self.peers.get(&from);
        if known.is_some_and(|notice| version <= notice.version) {
            return;
        }
        let notice = Notice {
            heard: now,
            version,
            trials: trials.to_vec(),
        };
        self.peers.insert(from, notice);
    }

    /// Forgets the trials of a gateway that has gone silent.
    pub fn forget(&mut self, peer: SocketAddr) {
        self.peers.remove(&peer);
    }

    fn known(&self, now: Time) -> impl Iterator<Item = &Trial> {
        let peers = self.of_peers(now).map(|(_, trial)| trial);
        self.own.values().flatten().chain(peers)
    }

    fn of_peers(&self, now: Time) -> impl Iterator<Item = (&SocketAddr, &Trial)> {
        let current =
            move |(_, notice): &(&SocketAddr, &Notice)| now.since(notice.heard) < NOTICE_LIFETIME;
        let notices = self.peers.iter().filter(current);
        notices.flat_map(|(addr, notice)| notice.trials.iter().map(move |trial| (addr, trial)))
    }
}
