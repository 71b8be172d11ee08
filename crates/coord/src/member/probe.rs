//! Direct probes, and indirect probes that other members relay.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Members;
use super::table::UpdateSource;
use super::types::{Action, Body, Health, Update};
use crate::name::VmName;
use crate::time::Time;

/// A random member is probed once in this many periods, so that the failure of a member without a
/// live neighbour is detected as well.
const RANDOM_PROBE_PERIODS: u64 = 4;

/// The number of consecutive failed probes that raises the suspicion factor by 1. Both neighbours
/// may fail together; a third failure indicates a fault of this VM.
const FAILURES_PER_STEP: u32 = 3;

/// The highest factor by which the suspicion timeout is multiplied.
const MAX_SUSPICION_FACTOR: u32 = 3;

/// A probe without an answer so far.
#[derive(Debug)]
struct Probe {
    target: VmName,
    sent: Time,
    relays_requested: bool,
}

/// A probe that this VM sent on behalf of another member.
#[derive(Debug)]
struct Relay {
    origin: Update,
    seq: u64,
    sent: Time,
}

/// The schedule of probes and the probes that have not been answered.
#[derive(Debug)]
pub(super) struct Probes {
    next_period: Time,
    period: u64,
    seq: u64,
    pending: BTreeMap<u64, Probe>,
    relayed: BTreeMap<u64, Relay>,
    failures: u32,
}

impl Probes {
    /// Creates the schedule. `seed` determines the first sequence number, so that late answers to
    /// an earlier process match no probe.
    pub(super) fn new(next_period: Time, seed: u32) -> Self {
        Self {
            next_period,
            period: 0,
            seq: u64::from(seed) << 16,
            pending: BTreeMap::new(),
            relayed: BTreeMap::new(),
            failures: 0,
        }
    }

    pub(super) fn clear(&mut self) {
        self.pending.clear();
        self.relayed.clear();
        self.failures = 0;
    }

    /// Extends the timeouts of pending probes by a gap in which this process did not run.
    pub(super) fn extend_timeouts(&mut self, gap: Duration) {
        for probe in self.pending.values_mut() {
            probe.sent = probe.sent + gap;
        }
    }

    /// Returns the factor of the suspicion timeout, which rises with consecutive failed probes.
    pub(super) fn suspicion_factor(&self) -> u32 {
        (1 + self.failures / FAILURES_PER_STEP).min(MAX_SUSPICION_FACTOR)
    }

    fn next_seq(&mut self) -> u64 {
        self.seq += 1;
        self.seq
    }
}

impl Members {
    pub(super) fn probe(&mut self, now: Time, out: &mut Vec<Action>) {
        self.check_probes(now, out);
        if now < self.probes.next_period {
            return;
        }
        self.probes.next_period = self
            .probes
            .next_period
            .max(now - self.options.probe_interval)
            + self.options.probe_interval;
        self.probes.period += 1;
        let neighbours: Vec<_> = self
            .neighbours
            .iter()
            .filter_map(|vm| self.table.get(vm).cloned())
            .collect();
        for target in neighbours {
            self.ping(now, &target, out);
        }
        if self.probes.period.is_multiple_of(RANDOM_PROBE_PERIODS) {
            for target in self.sample(1, |_| true) {
                self.ping(now, &target, out);
            }
        }
    }

    pub(super) fn ping(&mut self, now: Time, target: &Update, out: &mut Vec<Action>) {
        let seq = self.probes.next_seq();
        let probe = Probe {
            target: target.name.clone(),
            sent: now,
            relays_requested: false,
        };
        self.probes.pending.insert(seq, probe);
        self.send(target, Body::Ping { seq }, out);
    }

    /// Requests indirect probes of targets that are late, and suspects those that did not answer.
    fn check_probes(&mut self, now: Time, out: &mut Vec<Action>) {
        let probe_timeout = self.options.probe_timeout;
        let direct_timeout = self.options.direct_timeout;
        let mut requests = Vec::new();
        for (seq, probe) in &mut self.probes.pending {
            if !probe.relays_requested && now.since(probe.sent) >= direct_timeout {
                probe.relays_requested = true;
                requests.push((*seq, probe.target.clone()));
            }
        }
        for (seq, target) in requests {
            for relay in self.sample(self.options.relay_count, |u| u.name != target) {
                let target = target.clone();
                self.send(&relay, Body::PingRequest { seq, target }, out);
            }
        }
        let expired = self
            .probes
            .pending
            .extract_if(.., |_, p| now.since(p.sent) >= probe_timeout);
        let failed: Vec<_> = expired.map(|(_, probe)| probe.target).collect();
        for target in failed {
            self.suspect(now, &target, out);
        }
        self.probes
            .relayed
            .retain(|_, relay| now.since(relay.sent) < probe_timeout);
    }

    fn suspect(&mut self, now: Time, target: &VmName, out: &mut Vec<Action>) {
        self.probes.failures += 1;
        let Some(update) = self.table.get(target).cloned() else {
            return;
        };
        if update.health != Health::Alive {
            return;
        }
        let update = Update {
            health: Health::Suspect,
            ..update
        };
        self.apply_update(now, &update, UpdateSource::Gossip);
        // The ping carries the suspicion, so that the target can refute it immediately.
        self.ping(now, &update, out);
    }

    pub(super) fn handle_ack(&mut self, from: &VmName, seq: u64, out: &mut Vec<Action>) {
        if let Some(relay) = self.probes.relayed.remove(&seq) {
            self.send(&relay.origin, Body::Ack { seq: relay.seq }, out);
        }
        let Some(probe) = self.probes.pending.get(&seq) else {
            return;
        };
        // The target or a relay answered, so messages from this VM reach other members.
        self.responders.insert(from.clone());
        if probe.relays_requested || probe.target == *from {
            self.probes.pending.remove(&seq);
            self.probes.failures = 0;
        }
    }

    /// Probes `target` on behalf of `origin`.
    pub(super) fn relay_ping(
        &mut self,
        now: Time,
        origin: Update,
        seq: u64,
        target: &VmName,
        out: &mut Vec<Action>,
    ) {
        if *target == self.table.own.name {
            return self.send(&origin, Body::Ack { seq }, out);
        }
        let Some(update) = self.table.get(target).cloned() else {
            return;
        };
        let relay_seq = self.probes.next_seq();
        let relay = Relay {
            origin,
            seq,
            sent: now,
        };
        self.probes.relayed.insert(relay_seq, relay);
        self.send(&update, Body::Ping { seq: relay_seq }, out);
    }
}
