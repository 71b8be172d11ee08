//! The replica of one limit's token bucket.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Rate;
use crate::time::Time;

/// Tokens that a bucket holds, as the time in which the rate brings them. A bucket holds one at least.
const BURST: Duration = Duration::from_secs(1);
/// Largest debt of a bucket, as the time in which the rate pays it back. What an upstream got earlier than
/// that no longer concerns it.
const MAX_DEBT: Duration = Duration::from_secs(4);
/// Requests a second below which no rate is kept.
pub const MIN_RATE: f64 = 0.2;
/// Time without a report after which a claim of another gateway is void.
const CLAIM_LIFETIME: Duration = Duration::from_millis(1_200);
/// Number of times that a change is reported, in case a report is lost.
const REPEATS: u8 = 3;
/// Part of a token that may be missing, which covers what rounding to microseconds takes away.
const TOLERANCE: f64 = 1e-4;

/// What another gateway reported of a limit last.
#[derive(Clone, Debug)]
pub(super) struct PeerUse {
    pub(super) version: (u64, u64),
    pub(super) counted_from: u64,
    pub(super) heard: Time,
    pub(super) used: u64,
    pub(super) claims: Vec<u64>,
    pub(super) booked: u16,
}

#[derive(Clone, Debug)]
pub(super) struct Limit<P> {
    pub(super) rate: Option<Rate>,
    pub(super) told_by: P,
    pub(super) told_at: Time,
    pub(super) level: f64,
    pub(super) updated: Time,
    pub(super) created: Time,
    pub(super) used: u64,
    /// Own claims: the ticket, and when the others have heard of it.
    pub(super) claims: BTreeMap<u64, Time>,
    /// When callers were told to return.
    pub(super) bookings: Vec<Time>,
    pub(super) peers: BTreeMap<P, PeerUse>,
    /// Number of reports that still have to carry the latest change.
    pub(super) repeats: u8,
}

impl<P: Clone + Ord> Limit<P> {
    pub(super) fn new(now: Time, told_by: P, told_at: Time) -> Self {
        Self {
            rate: None,
            told_by,
            told_at,
            level: 0.0,
            updated: now,
            created: now,
            used: 0,
            claims: BTreeMap::new(),
            bookings: Vec::new(),
            peers: BTreeMap::new(),
            repeats: 0,
        }
    }

    /// Returns the tokens a second that the known gateways may use.
    pub(super) fn refill(&self, share: f64) -> f64 {
        self.rate.map_or(0.0, Rate::as_per_second).max(MIN_RATE) * share
    }

    /// Returns the tokens at `now`.
    pub(super) fn level_at(&self, now: Time, share: f64) -> f64 {
        let refill = self.refill(share);
        let capacity = (refill * BURST.as_secs_f64()).max(1.0);
        let debt = (refill * MAX_DEBT.as_secs_f64()).max(1.0);
        let refilled = self.level + refill * now.since(self.updated).as_secs_f64();
        refilled.clamp(-debt, capacity)
    }

    pub(super) fn settle(&mut self, now: Time, share: f64) {
        self.level = self.level_at(now, share);
        self.updated = self.updated.max(now);
    }

    /// Takes note of what the upstream says. The level of a new limit is zero: the upstream got more than
    /// it takes until now.
    pub(super) fn set_rate(&mut self, now: Time, share: f64, rate: Option<Rate>) {
        self.settle(now, share);
        if self.rate.is_none() {
            self.level = self.level.min(0.0);
        }
        self.rate = rate;
        self.settle(now, share);
        if rate.is_none() {
            self.bookings.clear();
        }
    }

    /// Takes `tokens`, which are negative if some are given back.
    pub(super) fn drain(&mut self, now: Time, share: f64, tokens: i64) {
        self.settle(now, share);
        let tokens = i32::try_from(tokens).unwrap_or(i32::MAX);
        self.level -= f64::from(tokens);
        self.settle(now, share);
    }

    pub(super) fn live_peers(&self, now: Time) -> impl Iterator<Item = (&P, &PeerUse)> {
        let live = move |(_, peer): &(&P, &PeerUse)| now.since(peer.heard) < CLAIM_LIFETIME;
        self.peers.iter().filter(live)
    }

    /// Returns the tickets of all known claims with their gateways.
    pub(super) fn all_claims<'a>(
        &'a self,
        now: Time,
        me: &'a P,
    ) -> impl Iterator<Item = (u64, &'a P)> {
        let own = self.claims.keys().map(move |ticket| (*ticket, me));
        let peers = self.live_peers(now);
        let peers = peers.flat_map(|(addr, peer)| peer.claims.iter().map(move |t| (*t, addr)));
        own.chain(peers)
    }

    /// Returns the time until there are tokens for `ahead` others and one more.
    pub(super) fn time_to_token(&self, now: Time, share: f64, ahead: usize) -> Duration {
        let ahead = f64::from(u32::try_from(ahead).unwrap_or(u32::MAX));
        let missing = 1.0 + ahead - self.level_at(now, share) - TOLERANCE;
        if missing <= 0.0 {
            return Duration::ZERO;
        }
        let seconds = missing / self.refill(share);
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }

    pub(super) fn mark_changed(&mut self) {
        self.repeats = REPEATS;
    }
}
