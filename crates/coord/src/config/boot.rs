//! The boot of a VM, which holds no documents at first and becomes ready when it holds those of its
//! peers.

use std::collections::{BTreeMap, BTreeSet};

use rand::RngExt;

use super::ConfigReplica;
use super::types::{Action, Options};
use crate::name::VmName;
use crate::time::Time;

/// A peer is considered unreachable when more than this many queries were sent without an answer.
///
/// If one message in ten is lost in each direction, a reachable peer remains unanswered in 1 of 150
/// boots, and all of 7 peers practically never do.
const MAX_UNANSWERED: u32 = 3;

/// A peer that is booting as well is queried again after this many response timeouts.
const BOOTING_PEER_FACTOR: u32 = 2;

/// The queries that were sent to one peer.
#[derive(Debug, Default)]
struct PeerQuery {
    last_query: Time,
    query_count: u32,
    answered: bool,
}

/// The progress of a boot and the answers of the peers.
#[derive(Debug, Default)]
pub(super) struct Boot {
    /// Whether the VM has had a trusted view.
    pub(super) started: bool,
    pub(super) ready: bool,
    /// Whether the configuration service has answered.
    pub(super) service_answered: bool,
    /// The highest cursor of the ready peers.
    pub(super) minimum_cursor: u64,
    queries: BTreeMap<VmName, PeerQuery>,
    /// The ready peers that answered, at most `Options::boot_peers`.
    ready_peers: BTreeSet<VmName>,
    /// The ready peers that hold nothing newer than this VM.
    matched_peers: BTreeSet<VmName>,
}

impl Boot {
    /// Records the answer of a peer, and its cursor if the peer is ready.
    pub(super) fn record_response(
        &mut self,
        from: &VmName,
        ready: bool,
        cursor: u64,
        options: &Options,
    ) {
        if self.ready {
            return;
        }
        let query = self.queries.entry(from.clone()).or_default();
        query.answered = true;
        if ready && (self.ready_peers.contains(from) || self.ready_peers.len() < options.boot_peers)
        {
            self.ready_peers.insert(from.clone());
            self.minimum_cursor = self.minimum_cursor.max(cursor);
        }
    }

    /// Records that a peer holds nothing newer; this has an effect for ready peers only.
    pub(super) fn record_match(&mut self, peer: &VmName) {
        if self.ready_peers.contains(peer) {
            self.matched_peers.insert(peer.clone());
        }
    }

    fn is_complete(&self, cursor: u64, all_polled: bool, options: &Options) -> bool {
        let enough = self.matched_peers.len() >= options.boot_peers;
        let all = all_polled && self.ready_peers.is_subset(&self.matched_peers);
        let matched = !self.matched_peers.is_empty() && (enough || all);
        // No peer is ready, so the whole fleet has rebooted. The response of the service is used,
        // although a stale one cannot be distinguished from a fresh one.
        let from_service = all_polled && self.ready_peers.is_empty() && self.service_answered;
        (matched || from_service) && cursor >= self.minimum_cursor
    }
}

impl ConfigReplica {
    /// Sends the digest to random peers whose query is due.
    pub(super) fn query_peers(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.boot.ready || !self.boot.started {
            return;
        }
        self.boot.ready_peers.retain(|vm| self.peers.contains(vm));
        let mut due: Vec<_> = self
            .peers
            .iter()
            .filter(|vm| self.query_due(now, vm))
            .cloned()
            .collect();
        for index in 0..self.options.boot_fanout.min(due.len()) {
            let other = self.rng.random_range(index..due.len());
            due.swap(index, other);
        }
        due.truncate(self.options.boot_fanout);
        for vm in due {
            let query = self.boot.queries.entry(vm.clone()).or_default();
            query.last_query = now;
            query.query_count += 1;
            out.push(self.root_message(&vm, false));
        }
    }

    /// Returns `true` if a query to `vm` is due. Peers that are booting as well are queried again
    /// until one of them is ready.
    fn query_due(&self, now: Time, vm: &VmName) -> bool {
        let Some(query) = self.boot.queries.get(vm) else {
            return true;
        };
        let factor = if query.answered {
            BOOTING_PEER_FACTOR
        } else {
            1
        };
        !self.boot.matched_peers.contains(vm)
            && now.since(query.last_query) >= self.options.response_timeout * factor
    }

    /// Returns `true` if every peer answered or is considered unreachable.
    fn all_polled(&self) -> bool {
        let polled = |query: &PeerQuery| query.answered || query.query_count > MAX_UNANSWERED;
        self.boot.started
            && self
                .peers
                .iter()
                .all(|vm| self.boot.queries.get(vm).is_some_and(polled))
    }

    /// Returns `true` if this VM may read from the service: it is ready, or none of the
    /// ready peers that answered has documents that it lacks. If no peer is ready, all peers must
    /// have been polled.
    pub(super) fn may_read(&self) -> bool {
        let alone = self.all_polled() && self.boot.ready_peers.is_empty();
        let matched = !self.boot.matched_peers.is_empty();
        self.boot.ready
            || alone
            || matched && self.boot.ready_peers.is_subset(&self.boot.matched_peers)
    }

    /// Ends the boot if its conditions are met.
    pub(super) fn finish_boot(&mut self, out: &mut Vec<Action>) {
        if self.boot.ready || !self.boot.started {
            return;
        }
        let all_polled = self.all_polled();
        if self
            .boot
            .is_complete(self.cursor, all_polled, &self.options)
        {
            self.boot.ready = true;
            self.boot.queries.clear();
            out.push(Action::Ready);
        }
    }
}
