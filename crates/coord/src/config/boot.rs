//! The boot of a VM with empty memory: it serves only when it holds what its peers hold.

use std::collections::{BTreeMap, BTreeSet};

use rand::RngExt;

use super::ConfigReplica;
use super::types::{Action, Options};
use crate::name::VmName;
use crate::time::Time;

/// A peer is taken for unreachable after this many questions without an answer. One loss in ten
/// on each way would leave a reachable peer unheard in 1 of 150 boots, and all of 7 peers never.
const QUESTIONS: u32 = 3;

/// A peer that answered that it is booting too is asked again after this many answer limits.
const BOOTING_PACE: u32 = 2;

#[derive(Debug, Default)]
struct Asked {
    at: Time,
    questions: u32,
    answered: bool,
}

/// What a booting VM has learnt from its peers.
#[derive(Debug, Default)]
pub(super) struct Boot {
    pub(super) begun: bool,
    pub(super) ready: bool,
    /// Whether the service answered.
    pub(super) answered: bool,
    pub(super) minimum: u64,
    asked: BTreeMap<VmName, Asked>,
    /// Ready peers that answered.
    sources: BTreeSet<VmName>,
    /// Ready peers that have nothing newer.
    matched: BTreeSet<VmName>,
}

impl Boot {
    /// Notes that a peer answered, and the minimum if the peer is ready itself.
    pub(super) fn heard(&mut self, from: &VmName, ready: bool, cursor: u64, options: &Options) {
        if self.ready {
            return;
        }
        let asked = self.asked.entry(from.clone()).or_default();
        asked.answered = true;
        if ready && (self.sources.contains(from) || self.sources.len() < options.boot_peers) {
            self.sources.insert(from.clone());
            self.minimum = self.minimum.max(cursor);
        }
    }

    /// Notes that a ready peer has nothing newer.
    pub(super) fn matched(&mut self, peer: &VmName) {
        if self.sources.contains(peer) {
            self.matched.insert(peer.clone());
        }
    }

    fn complete(&self, cursor: u64, polled: bool, options: &Options) -> bool {
        let enough = self.matched.len() >= options.boot_peers;
        let all = polled && self.sources.is_subset(&self.matched);
        let matched = !self.matched.is_empty() && (enough || all);
        // The whole fleet has rebooted; a stale answer cannot be told from a fresh one.
        let fresh = polled && self.sources.is_empty() && self.answered;
        (matched || fresh) && cursor >= self.minimum
    }
}

impl ConfigReplica {
    /// Asks peers that have not answered.
    pub(super) fn boot(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.boot.ready || !self.boot.begun {
            return;
        }
        self.boot.sources.retain(|vm| self.peers.contains(vm));
        let mut due: Vec<_> = self
            .peers
            .iter()
            .filter(|vm| self.due(now, vm))
            .cloned()
            .collect();
        for place in 0..self.options.boot_fanout.min(due.len()) {
            let other = self.rng.random_range(place..due.len());
            due.swap(place, other);
        }
        due.truncate(self.options.boot_fanout);
        for vm in due {
            let asked = self.boot.asked.entry(vm.clone()).or_default();
            asked.at = now;
            asked.questions += 1;
            out.push(self.root(&vm, false));
        }
    }

    /// Peers that are booting too are asked again until one of them is ready.
    fn due(&self, now: Time, vm: &VmName) -> bool {
        let Some(asked) = self.boot.asked.get(vm) else {
            return true;
        };
        let pace = if asked.answered { BOOTING_PACE } else { 1 };
        !self.boot.matched.contains(vm)
            && now.since(asked.at) >= self.options.response_timeout * pace
    }

    /// Returns `true` if every peer answered or did not answer several questions.
    fn polled(&self) -> bool {
        let polled = |asked: &Asked| asked.answered || asked.questions > QUESTIONS;
        self.boot.begun
            && self
                .peers
                .iter()
                .all(|vm| self.boot.asked.get(vm).is_some_and(polled))
    }

    /// Returns `true` if this VM may read from the service.
    pub(super) fn may_read(&self) -> bool {
        let alone = self.polled() && self.boot.sources.is_empty();
        let matched = !self.boot.matched.is_empty();
        self.boot.ready || alone || matched && self.boot.sources.is_subset(&self.boot.matched)
    }

    /// Ends the boot when its conditions hold.
    pub(super) fn settle(&mut self, out: &mut Vec<Action>) {
        if self.boot.ready || !self.boot.begun {
            return;
        }
        let polled = self.polled();
        if self.boot.complete(self.cursor, polled, &self.options) {
            self.boot.ready = true;
            self.boot.asked.clear();
            out.push(Action::Ready);
        }
    }
}
