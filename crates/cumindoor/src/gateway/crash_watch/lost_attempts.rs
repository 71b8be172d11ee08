//! Attempts that may have been lost because their upstream crashed.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use coord::name::Upstream;
use coord::poison::UpstreamStart;
use coord::time::Time;
use tokio_util::sync::CancellationToken;

use crate::gateway::callers::content::Content;

/// Time after a lost attempt within which its upstream counts as crashed if it leaves the list. The
/// store drops the entry of an upstream after three missed heartbeats, a few seconds.
const DELISTING_TIME: Duration = Duration::from_secs(10);
/// Maximum number of lost attempts that wait for that.
const MAX_UNEXPLAINED: usize = 1_024;

/// An attempt that ended without a complete answer.
#[derive(Clone, Debug)]
pub struct LostAttempt {
    pub(super) id: Arc<str>,
    pub(super) content: Content,
    /// Fingerprint of the step that was lost.
    pub(super) fingerprint: u128,
    pub(super) upstream: UpstreamStart,
    pub(super) address: SocketAddr,
    pub(super) began: Time,
    pub(super) at: Time,
    /// Whether the request is a suspect on trial.
    pub(super) on_trial: bool,
    /// Cancelled when the upstream turns out to have crashed.
    pub(super) crashed: CancellationToken,
    /// Cancelled when the gateway itself ends the attempt, because a copy of it was answered.
    pub(super) withdrawn: CancellationToken,
}

impl LostAttempt {
    /// Returns the parts that a crash accuses: a prefill writes no answer, so it shows nothing of them.
    pub(super) fn parts(&self) -> &[u128] {
        if self.fingerprint == self.content.run {
            &self.content.part_prints
        } else {
            &[]
        }
    }
}

/// Lost attempts whose cause is not known yet.
#[derive(Clone, Debug, Default)]
pub struct LostAttempts {
    /// Attempts without output so far, by number.
    silent: BTreeMap<u64, LostAttempt>,
    /// Number of the next attempt.
    next: u64,
    /// Attempts at upstreams that are being probed.
    probed: BTreeMap<Upstream, Vec<LostAttempt>>,
    /// Attempts at upstreams that still accept connections, oldest first.
    unexplained: VecDeque<LostAttempt>,
}

impl LostAttempts {
    /// Takes note of an attempt that was sent, and returns its number.
    pub(super) fn begin(&mut self, attempt: LostAttempt) -> u64 {
        let number = self.next;
        self.next += 1;
        self.silent.insert(number, attempt);
        number
    }

    /// Forgets an attempt that has output or has ended.
    pub(super) fn end(&mut self, number: u64) {
        self.silent.remove(&number);
    }

    /// Marks an attempt without output as one that the gateway itself ends.
    pub(super) fn withdraw(&self, id: &str, upstream: &Upstream) {
        let attempts = self.silent.values();
        let is_same =
            |attempt: &&LostAttempt| *attempt.id == *id && attempt.upstream.upstream == *upstream;
        for attempt in attempts.filter(is_same) {
            attempt.withdrawn.cancel();
        }
    }

    /// Returns whether an attempt goes on without output.
    pub(super) fn is_silent(&self, number: u64) -> bool {
        self.silent.contains_key(&number)
    }

    /// Takes the attempts without output at an upstream, which were lost at the time `now`.
    pub(super) fn take_silent(&mut self, now: Time, upstream: &Upstream) -> Vec<LostAttempt> {
        let there = |attempt: &LostAttempt| attempt.upstream.upstream == *upstream;
        let taken = self.silent.extract_if(.., |_, attempt| there(attempt));
        let lost = taken.map(|(_, attempt)| LostAttempt { at: now, ..attempt });
        lost.collect()
    }

    /// Adds an attempt. Returns whether a probe of its upstream has to be started.
    pub(super) fn add(&mut self, lost: LostAttempt) -> bool {
        let waiting = self
            .probed
            .entry(lost.upstream.upstream.clone())
            .or_default();
        waiting.push(lost);
        waiting.len() == 1
    }

    /// Returns whether an upstream is being probed.
    pub(super) fn is_probed(&self, upstream: &Upstream) -> bool {
        self.probed.contains_key(upstream)
    }

    /// Takes the attempts that waited for the result of a probe.
    pub(super) fn take_probed(&mut self, upstream: &Upstream) -> Vec<LostAttempt> {
        self.probed.remove(upstream).unwrap_or_default()
    }

    /// Keeps attempts in case their upstream leaves the list.
    pub(super) fn keep(&mut self, now: Time, attempts: Vec<LostAttempt>) {
        self.unexplained.extend(attempts);
        let is_old = |lost: &LostAttempt| now.since(lost.at) >= DELISTING_TIME;
        while self.unexplained.front().is_some_and(is_old)
            || self.unexplained.len() > MAX_UNEXPLAINED
        {
            self.unexplained.pop_front();
        }
    }

    /// Takes the recent attempts at an upstream that left the list.
    pub(super) fn take_delisted(&mut self, now: Time, upstream: &Upstream) -> Vec<LostAttempt> {
        let all = std::mem::take(&mut self.unexplained);
        let there = |lost: &LostAttempt| lost.upstream.upstream == *upstream;
        let (taken, kept): (VecDeque<_>, _) = all.into_iter().partition(there);
        self.unexplained = kept;
        let is_recent = |lost: &LostAttempt| now.since(lost.at) < DELISTING_TIME;
        taken.into_iter().filter(is_recent).collect()
    }
}
