//! Rate limits of upstreams, kept by all gateways together without an owner.
//!
//! An upstream names the rate of requests that it takes from all gateways. Each gateway keeps a replica
//! of a token bucket for it: the replica refills at the named rate, and is drained by the requests
//! of this gateway and by those that the others report. Reports carry cumulative counts, so a later
//! one makes up for one that was lost. A gateway that wants a token first announces a claim, and takes
//! the token once the others had the time to hear of it, unless claims with lower tickets need it.
//!
//! # Bound on the error
//!
//! In any time `t`, an upstream of rate `r` gets at most `max(1, r * 1 s) + r * t` requests, and in
//! addition:
//!
//! - one for each gateway that took a token without having heard of a lower claim or of its use. The
//!   replicas go into debt for these, so that they are made up for.
//! - While the gateways are split in groups that do not hear each other, `r * t / 2`: the group with
//!   the majority uses the whole rate, any other one its share ([`FleetSize::share`](super::FleetSize::share)).
//!
//! Rates below [`MIN_RATE`](super::MIN_RATE) are taken for that one, because only an answer tells that a
//! limit has ended. See `docs/design.md`, section 6.8.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::ops::Bound;
use std::time::Duration;

use super::Rate;
use super::bucket::{Limit, PeerUse};
use super::report::{Claim, Grant, KnownLimit, LimitKey, LimitRecord};
use crate::time::Time;

/// Time without an answer from the upstream after which its limit may have changed.
const STALE_AFTER: Duration = Duration::from_secs(2);
/// Claims of one gateway at one upstream. Each is announced, so their number bounds the size of a report.
const MAX_CLAIMS: usize = 32;
/// Callers of one gateway that were told when to return to one upstream.
const MAX_BOOKINGS: usize = 256;
/// Records in one report. A record has 400 bytes at most.
const MAX_RECORDS: usize = 32;
/// Upstreams whose limits are kept.
const MAX_LIMITS: usize = 1_024;
/// Time for which it is kept that a limit has ended, and for which a limit of an unknown upstream is.
const RETENTION: Duration = Duration::from_secs(10);
/// Difference in age from which what a third gateway passes on is newer than what is known. It exceeds
/// the time that a report travels, by which ages are too low.
const AGE_MARGIN: Duration = Duration::from_millis(100);
/// Bits of a ticket that are random, so that no gateway always precedes another.
const RANDOM_BITS: u32 = 16;

/// The limits that upstreams named, as known to the gateway `P`.
#[derive(Clone, Debug)]
pub struct SharedLimits<P> {
    me: P,
    share: f64,
    limits: BTreeMap<LimitKey, Limit<P>>,
    /// The upstream whose record was in the last page.
    page_end: LimitKey,
}

impl<P: Clone + Ord> SharedLimits<P> {
    /// Creates the empty table of the gateway `me`.
    #[must_use]
    pub fn new(me: P) -> Self {
        Self {
            me,
            share: 1.0,
            limits: BTreeMap::new(),
            page_end: 0,
        }
    }

    /// Sets the share of each rate that the known gateways may use together.
    pub fn set_share(&mut self, now: Time, share: f64) {
        if (self.share - share).abs() < f64::EPSILON {
            return;
        }
        let shrunk = (share / self.share).min(1.0);
        for limit in self.limits.values_mut() {
            limit.settle(now, self.share);
            // The gateways that are no longer heard have the other tokens.
            if limit.level > 0.0 {
                limit.level *= shrunk;
            }
        }
        self.share = share;
    }

    /// Records an answer, received at `now`, that names a rate. Returns whether it is a new one.
    pub fn record_named(&mut self, now: Time, key: LimitKey, rate: Rate) -> bool {
        if !self.make_room(now, key) {
            return false;
        }
        let (share, me) = (self.share, &self.me);
        let limit = self.limits.entry(key);
        let limit = limit.or_insert_with(|| Limit::new(now, me.clone(), now));
        let changed = limit.rate != Some(rate);
        if changed {
            limit.set_rate(now, share, Some(rate));
            limit.mark_changed();
        }
        limit.told_by = me.clone();
        limit.told_at = now;
        changed
    }

    /// Records an answer without a limit to a request that was sent at `asked`. Returns whether a limit has
    /// ended. It has not if it was named after the request was sent.
    pub fn record_unnamed(&mut self, now: Time, key: LimitKey, asked: Time) -> bool {
        let Some(limit) = self.limits.get_mut(&key) else {
            return false;
        };
        if limit.rate.is_none() || asked <= limit.told_at {
            return false;
        }
        limit.set_rate(now, self.share, None);
        limit.told_by = self.me.clone();
        limit.told_at = asked;
        limit.mark_changed();
        true
    }

    /// Returns the time until there may be a token, or `None` if the upstream names no limit.
    #[must_use]
    pub fn wait(&self, now: Time, key: LimitKey) -> Option<Duration> {
        let limit = self.named(key)?;
        let ahead = limit.all_claims(now, &self.me).count();
        if limit.claims.len() >= MAX_CLAIMS {
            return Some(Duration::MAX);
        }
        Some(limit.time_to_token(now, self.share, ahead))
    }

    /// Returns whether the upstream takes a request within `patience`. Without any, there is no time to agree
    /// with the other gateways, so only an upstream does that names no limit.
    #[must_use]
    pub fn has_room(&self, now: Time, key: LimitKey, patience: Option<Duration>) -> bool {
        let wait = self.wait(now, key);
        wait.is_none_or(|wait| patience.is_some_and(|patience| wait <= patience))
    }

    /// Returns whether the upstream has not answered for so long that its limit may have ended.
    #[must_use]
    pub fn is_stale(&self, now: Time, key: LimitKey) -> bool {
        let limit = self.named(key);
        limit.is_some_and(|limit| now.since(limit.told_at) >= STALE_AFTER)
    }

    /// Claims a token. The others hear of the claim within `notice`. `random` decides which of several
    /// simultaneous claims goes first. Returns `None` if the upstream names no limit.
    pub fn claim(
        &mut self,
        now: Time,
        key: LimitKey,
        notice: Duration,
        random: u16,
    ) -> Option<Claim> {
        self.named(key)?;
        let limit = self.limits.get_mut(&key)?;
        let last = limit.all_claims(now, &self.me).map(|(ticket, _)| ticket);
        let turn = last.max().map_or(0, |last| (last >> RANDOM_BITS) + 1);
        let ticket = (turn << RANDOM_BITS) | u64::from(random);
        limit.claims.insert(ticket, now + notice);
        limit.mark_changed();
        Some(Claim { key, ticket })
    }

    /// Takes the token of a claim, if it is there and the others have heard of the claim.
    pub fn try_take(&mut self, now: Time, claim: Claim) -> Grant {
        let (share, me) = (self.share, self.me.clone());
        let Some(limit) = self.limits.get_mut(&claim.key) else {
            return Grant::Granted;
        };
        let Some(ready) = limit.claims.get(&claim.ticket).copied() else {
            return Grant::Granted;
        };
        if limit.rate.is_none() {
            limit.claims.remove(&claim.ticket);
            limit.mark_changed();
            return Grant::Granted;
        }
        if now < ready {
            return Grant::Wait(ready.since(now));
        }
        let ahead = limit.all_claims(now, &me);
        let ahead = ahead.filter(|other| *other < (claim.ticket, &me)).count();
        let wait = limit.time_to_token(now, share, ahead);
        if !wait.is_zero() {
            return Grant::Wait(wait);
        }
        limit.claims.remove(&claim.ticket);
        limit.used += 1;
        limit.drain(now, share, 1);
        limit.mark_changed();
        Grant::Granted
    }

    /// Takes a token without a claim, for a request that cannot wait. Returns false if there is none.
    pub fn take_now(&mut self, now: Time, key: LimitKey) -> bool {
        let Some(wait) = self.wait(now, key) else {
            return true;
        };
        let Some(limit) = self.limits.get_mut(&key).filter(|_| wait.is_zero()) else {
            return false;
        };
        limit.used += 1;
        limit.drain(now, self.share, 1);
        limit.mark_changed();
        true
    }

    /// Gives up a claim.
    pub fn withdraw(&mut self, claim: Claim) {
        if let Some(limit) = self.limits.get_mut(&claim.key)
            && limit.claims.remove(&claim.ticket).is_some()
        {
            limit.mark_changed();
        }
    }

    /// Gives back a token that was not used.
    pub fn give_back(&mut self, now: Time, key: LimitKey) {
        if let Some(limit) = self.limits.get_mut(&key) {
            limit.used = limit.used.wrapping_sub(1);
            limit.drain(now, self.share, -1);
            limit.mark_changed();
        }
    }

    /// Returns when a caller who is refused should return to find a token, after those who were refused
    /// before. One who gives up within `time_left` will not return after that, and keeps nobody back.
    pub fn book(&mut self, now: Time, key: LimitKey, time_left: Duration) -> Option<Duration> {
        self.named(key)?;
        let limit = self.limits.get_mut(&key)?;
        limit.bookings.retain(|due| now < *due);
        let elsewhere = limit.live_peers(now);
        let elsewhere: usize = elsewhere.map(|(_, peer)| usize::from(peer.booked)).sum();
        let claims = limit.all_claims(now, &self.me).count();
        let ahead = claims + limit.bookings.len() + elsewhere;
        let wait = limit.time_to_token(now, self.share, ahead);
        if wait < time_left && limit.bookings.len() < MAX_BOOKINGS {
            limit.bookings.push(now + wait);
        }
        Some(wait)
    }

    /// Returns what is known of a limit, for log events.
    #[must_use]
    pub fn known(&self, now: Time, key: LimitKey) -> Option<KnownLimit<P>> {
        let limit = self.named(key)?;
        Some(KnownLimit {
            rate: limit.rate?,
            told_by: limit.told_by.clone(),
            age: now.since(limit.told_at),
            share: self.share,
            level: limit.level_at(now, self.share),
            claims: limit.all_claims(now, &self.me).count(),
        })
    }

    /// Returns the number of upstreams that name a limit.
    #[must_use]
    pub fn len(&self) -> usize {
        let named = self.limits.values().filter(|limit| limit.rate.is_some());
        named.count()
    }

    /// Returns whether no upstream names a limit.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns whether changes have to be reported.
    #[must_use]
    pub fn has_updates(&self) -> bool {
        self.limits.values().any(|limit| limit.repeats > 0)
    }

    /// Returns the records of the next report: what has changed, and with `page` also some of the others,
    /// so that a few reports carry all of them. Claims go first, because their notice is short.
    pub fn next_records(&mut self, now: Time, page: bool) -> Vec<LimitRecord<P>> {
        let after = (Bound::Excluded(self.page_end), Bound::Unbounded);
        let in_turn = self.limits.range(after);
        let in_turn = in_turn.chain(self.limits.range(..=self.page_end));
        let due = in_turn.filter(|(_, limit)| page || limit.repeats > 0);
        let urgency = |limit: &Limit<P>| (!limit.claims.is_empty(), limit.repeats > 0);
        let mut due: Vec<_> = due.map(|(key, limit)| (urgency(limit), *key)).collect();
        due.sort_by_key(|(urgency, _)| Reverse(*urgency));
        due.truncate(MAX_RECORDS);
        let idle = due.iter().rfind(|(urgency, _)| *urgency == (false, false));
        if let Some((_, last)) = idle {
            self.page_end = *last;
        }
        let records = due.into_iter();
        records
            .filter_map(|(_, key)| self.record(now, key))
            .collect()
    }

    fn record(&mut self, now: Time, key: LimitKey) -> Option<LimitRecord<P>> {
        let share = self.share;
        let limit = self.limits.get_mut(&key)?;
        limit.repeats = limit.repeats.saturating_sub(1);
        limit.bookings.retain(|due| now < *due);
        let age_ms = now.since(limit.told_at).as_millis();
        Some(LimitRecord {
            key,
            rate: limit.rate,
            told_by: limit.told_by.clone(),
            age_ms: u32::try_from(age_ms).unwrap_or(u32::MAX),
            counted_from: limit.created.as_micros(),
            used: limit.used,
            level: to_thousandths(limit.level_at(now, share)),
            claims: limit.claims.keys().copied().collect(),
            booked: u16::try_from(limit.bookings.len()).unwrap_or(u16::MAX),
        })
    }

    /// Applies the records of another gateway. `version` is the start of the sender and the sequence number
    /// of its report. Returns the upstreams of which it tells something new.
    pub fn apply(
        &mut self,
        now: Time,
        (from, version): (&P, (u64, u64)),
        records: Vec<LimitRecord<P>>,
    ) -> Vec<LimitKey> {
        let mut changed = Vec::new();
        for record in records {
            let key = record.key;
            if self.apply_record(now, from, version, record) {
                changed.push(key);
            }
        }
        changed
    }

    fn apply_record(
        &mut self,
        now: Time,
        from: &P,
        version: (u64, u64),
        record: LimitRecord<P>,
    ) -> bool {
        let told_at = now - Duration::from_millis(record.age_ms.into());
        let known = self.limits.contains_key(&record.key);
        if !known && (record.rate.is_none() || !self.make_room(now, record.key)) {
            return false;
        }
        let share = self.share;
        let limit = self.limits.entry(record.key).or_insert_with(|| {
            let mut limit = Limit::new(now, record.told_by.clone(), told_at);
            limit.rate = record.rate;
            let level = from_thousandths(record.level);
            limit.level = if level > 0.0 { level * share } else { level };
            limit.mark_changed();
            limit
        });
        let before = limit.peers.get(from);
        if before.is_some_and(|peer| version <= peer.version) {
            return false;
        }
        let life = (version.0, record.counted_from);
        let restarted = |peer: &PeerUse| (peer.version.0, peer.counted_from) != life;
        let counted = match before {
            Some(peer) if restarted(peer) => 0,
            Some(peer) => peer.used,
            // What a gateway used before it was first heard is not known to be recent.
            None => record.used,
        };
        let used = record.used.wrapping_sub(counted).cast_signed();
        let firsthand = record.told_by == *from;
        let margin = if firsthand {
            Duration::ZERO
        } else {
            AGE_MARGIN
        };
        let news = told_at > limit.told_at + margin;
        let changed = news && limit.rate != record.rate;
        if news {
            if changed {
                limit.set_rate(now, share, record.rate);
                limit.mark_changed();
            }
            limit.told_by = record.told_by;
            limit.told_at = told_at;
        }
        limit.drain(now, share, used);
        let peer = PeerUse {
            version,
            counted_from: record.counted_from,
            heard: now,
            used: record.used,
            claims: record.claims,
            booked: record.booked,
        };
        limit.peers.insert(from.clone(), peer);
        changed || !known
    }

    /// Forgets what a gateway reported that has gone silent.
    pub fn forget(&mut self, peer: &P) {
        for limit in self.limits.values_mut() {
            limit.peers.remove(peer);
        }
    }

    /// Drops what is no longer needed: limits that ended, and those of upstreams that are not `listed`.
    pub fn expire(&mut self, now: Time, listed: impl Fn(LimitKey) -> bool) {
        self.limits.retain(|key, limit| {
            let recent = now.since(limit.told_at) < RETENTION;
            recent || (limit.rate.is_some() && listed(*key))
        });
    }

    fn named(&self, key: LimitKey) -> Option<&Limit<P>> {
        self.limits.get(&key).filter(|limit| limit.rate.is_some())
    }

    /// Makes room for one more limit, in place of one that has ended. Returns false if there is none.
    fn make_room(&mut self, now: Time, key: LimitKey) -> bool {
        if self.limits.len() >= MAX_LIMITS && !self.limits.contains_key(&key) {
            self.expire(now, |_| true);
            self.limits.retain(|_, limit| limit.rate.is_some());
        }
        self.limits.len() < MAX_LIMITS || self.limits.contains_key(&key)
    }
}

#[expect(clippy::cast_possible_truncation, reason = "levels are far below 2^53")]
fn to_thousandths(level: f64) -> i64 {
    (level * 1_000.0).round() as i64
}

#[expect(clippy::cast_precision_loss, reason = "levels are far below 2^53")]
fn from_thousandths(level: i64) -> f64 {
    level as f64 / 1_000.0
}
