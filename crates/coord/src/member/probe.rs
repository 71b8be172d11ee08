//! Probes, direct and through other members.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Members;
use super::table::Origin;
use super::types::{Action, Body, Health, Update};
use crate::name::VmName;
use crate::time::Time;

/// A random member is probed in each period whose number is a multiple of this, so that also
/// members without a live neighbour are found.
const RANDOM_EVERY: u64 = 4;

/// The number of failed probes in a row that lengthens the suspicion timeout by one step. Two
/// neighbours may fail together; a third failure points to the own VM.
const FAILURES_PER_STEP: u32 = 3;

/// The largest factor of the suspicion timeout.
const MAX_HEALTH: u32 = 3;

#[derive(Debug)]
struct Probe {
    target: VmName,
    sent: Time,
    asked: bool,
}

#[derive(Debug)]
struct Relay {
    origin: Update,
    seq: u64,
    sent: Time,
}

/// Probes that wait for an answer.
#[derive(Debug)]
pub(super) struct Probes {
    next: Time,
    period: u64,
    seq: u64,
    waiting: BTreeMap<u64, Probe>,
    relayed: BTreeMap<u64, Relay>,
    failures: u32,
}

impl Probes {
    /// `seed` sets the first number, so that late answers to a predecessor match no probe.
    pub(super) fn new(next: Time, seed: u32) -> Self {
        Self {
            next,
            period: 0,
            seq: u64::from(seed) << 16,
            waiting: BTreeMap::new(),
            relayed: BTreeMap::new(),
            failures: 0,
        }
    }

    pub(super) fn clear(&mut self) {
        self.waiting.clear();
        self.relayed.clear();
        self.failures = 0;
    }

    pub(super) fn extend(&mut self, gap: Duration) {
        for probe in self.waiting.values_mut() {
            probe.sent = probe.sent + gap;
        }
    }

    pub(super) fn health(&self) -> u32 {
        (1 + self.failures / FAILURES_PER_STEP).min(MAX_HEALTH)
    }

    fn number(&mut self) -> u64 {
        self.seq += 1;
        self.seq
    }
}

impl Members {
    pub(super) fn probe(&mut self, now: Time, out: &mut Vec<Action>) {
        self.check_probes(now, out);
        if now < self.probes.next {
            return;
        }
        self.probes.next =
            self.probes.next.max(now - self.options.probe_interval) + self.options.probe_interval;
        self.probes.period += 1;
        let ring: Vec<_> = self
            .ring
            .iter()
            .filter_map(|vm| self.table.get(vm).cloned())
            .collect();
        for target in ring {
            self.ping(now, &target, out);
        }
        if self.probes.period.is_multiple_of(RANDOM_EVERY) {
            for target in self.sample(1, |_| true) {
                self.ping(now, &target, out);
            }
        }
    }

    pub(super) fn ping(&mut self, now: Time, target: &Update, out: &mut Vec<Action>) {
        let seq = self.probes.number();
        let probe = Probe {
            target: target.name.clone(),
            sent: now,
            asked: false,
        };
        self.probes.waiting.insert(seq, probe);
        self.send(target, Body::Ping { seq }, out);
    }

    /// Asks relays for help with probes that are late and suspects the targets of failed ones.
    fn check_probes(&mut self, now: Time, out: &mut Vec<Action>) {
        let silence = self.options.probe_timeout;
        let limit = self.options.direct_timeout;
        let mut asks = Vec::new();
        for (seq, probe) in &mut self.probes.waiting {
            if !probe.asked && now.since(probe.sent) >= limit {
                probe.asked = true;
                asks.push((*seq, probe.target.clone()));
            }
        }
        for (seq, target) in asks {
            for relay in self.sample(self.options.relay_count, |u| u.name != target) {
                let target = target.clone();
                self.send(&relay, Body::PingRequest { seq, target }, out);
            }
        }
        let over = self
            .probes
            .waiting
            .extract_if(.., |_, p| now.since(p.sent) >= silence);
        let failed: Vec<_> = over.map(|(_, probe)| probe.target).collect();
        for target in failed {
            self.suspect(now, &target, out);
        }
        self.probes
            .relayed
            .retain(|_, relay| now.since(relay.sent) < silence);
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
        self.learn(now, &update, Origin::Gossip);
        // Tells the target at once, so that it can refute.
        self.ping(now, &update, out);
    }

    pub(super) fn acknowledge(&mut self, from: &VmName, seq: u64, out: &mut Vec<Action>) {
        if let Some(relay) = self.probes.relayed.remove(&seq) {
            self.send(&relay.origin, Body::Ack { seq: relay.seq }, out);
        }
        let Some(probe) = self.probes.waiting.get(&seq) else {
            return;
        };
        // The target or a relay answered; each has shown that this VM can be heard.
        self.heard.insert(from.clone());
        if probe.asked || probe.target == *from {
            self.probes.waiting.remove(&seq);
            self.probes.failures = 0;
        }
    }

    pub(super) fn relay(
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
        let number = self.probes.number();
        let relay = Relay {
            origin,
            seq,
            sent: now,
        };
        self.probes.relayed.insert(number, relay);
        self.send(&update, Body::Ping { seq: number }, out);
    }
}
