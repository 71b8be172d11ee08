//! The replica of one organisation's token bucket.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{AllowanceRecord, AllowanceTerms, OrganisationKey, Verdict};
use crate::limit::Division;
use crate::time::Time;

/// Time over which the demand is averaged. It exceeds a heartbeat, in which reports of all gateways arrive. While
/// gateways do not hear each other, a shorter one raises what they admit.
const DEMAND_TIME: Duration = Duration::from_millis(800);
/// Time in which a level above zero is used up at most: the time until the other gateways have heard what was admitted,
/// with a margin.
const SPENDING_TIME: Duration = Duration::from_secs(1);
/// Time in which a debt is paid back. It is longer, so that the share does not oscillate while reports travel.
const REPAYMENT_TIME: Duration = Duration::from_secs(2);
/// Largest debt, as the time in which the rate pays it back: the window in which an allowance is checked.
const MAX_DEBT: Duration = Duration::from_secs(8);
/// Longest step of time that refills a bucket. Each heartbeat updates all replicas, so after a longer pause
/// this process stood still, and the other gateways used what the rate granted meanwhile.
const MAX_STEP: Duration = Duration::from_secs(1);
/// Time before gateways count as silent in which the others of a limited organisation take over a share of theirs. They
/// hear of no demand there, so they admit up to the whole rate on each side of a partition.
const UNNOTICED_TIME: Duration = Duration::from_millis(1_500);
/// Time after a refusal in which an organisation counts as limited. It exceeds the time between two requests of an
/// organisation whose requests are few and large.
const LIMITED_MEMORY: Duration = Duration::from_secs(3);
/// Part of an allowance below which demand is not reported, because the level cannot become low.
const REPORTED_PART: f64 = 0.3;
/// Highest demand that is believed, as a multiple of the rate. Other gateways state theirs, so any number may arrive,
/// and an average falls from there to the rate within 6 s.
const MAX_DEMAND: f64 = 1_000.0;
/// Bounds on the time after which refused callers should return.
const RETURN_TIMES: [Duration; 2] = [Duration::from_millis(250), Duration::from_secs(8)];

/// A moving average of units a second.
#[derive(Clone, Copy, Debug)]
struct MovingRate {
    value: f64,
    updated: Time,
}

impl MovingRate {
    fn new(now: Time, value: f64) -> Self {
        Self {
            value,
            updated: now,
        }
    }

    fn at(&self, now: Time) -> f64 {
        let elapsed = now.since(self.updated).min(MAX_STEP);
        self.value * (-elapsed.as_secs_f64() / DEMAND_TIME.as_secs_f64()).exp()
    }

    fn add(&mut self, now: Time, units: f64) {
        self.value = self.at(now) + units / DEMAND_TIME.as_secs_f64();
        self.updated = self.updated.max(now);
    }
}

/// Units that were asked for and admitted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Counts {
    asked: u64,
    admitted: u64,
}

/// What another gateway reported last.
#[derive(Clone, Copy, Debug)]
struct PeerCounts {
    version: (u64, u64),
    counts: Counts,
}

#[derive(Clone, Debug)]
pub(super) struct Replica<P> {
    terms: AllowanceTerms,
    level: f64,
    updated: Time,
    /// Units that the whole fleet asks for.
    demand: MovingRate,
    own_asked: MovingRate,
    own_admitted: MovingRate,
    /// Own units in reports.
    counts: Counts,
    /// Own units since the last heartbeat.
    pending: Counts,
    /// Admitted units that were given back and will be taken off what is admitted next, so that counts never fall.
    returned: u64,
    unreported: bool,
    peers: BTreeMap<P, PeerCounts>,
    refused_at: Option<Time>,
    limited: bool,
}

impl<P: Clone + Ord> Replica<P> {
    /// Creates an empty bucket. Until others report theirs, the demand is assumed to equal the rate: the first
    /// request at each of many gateways that start together could otherwise be admitted.
    pub(super) fn new(now: Time, terms: AllowanceTerms) -> Self {
        Self {
            terms,
            level: 0.0,
            updated: now,
            demand: MovingRate::new(now, terms.rate),
            own_asked: MovingRate::new(now, 0.0),
            own_admitted: MovingRate::new(now, 0.0),
            counts: Counts::default(),
            pending: Counts::default(),
            returned: 0,
            unreported: false,
            peers: BTreeMap::new(),
            refused_at: None,
            limited: false,
        }
    }

    pub(super) fn level(&self) -> f64 {
        self.level
    }

    pub(super) fn is_limited(&self) -> bool {
        self.limited
    }

    pub(super) fn is_due(&self) -> bool {
        self.unreported
    }

    pub(super) fn is_used(&self) -> bool {
        self.counts.asked > 0
    }

    pub(super) fn set_terms(&mut self, now: Time, share: f64, terms: AllowanceTerms) {
        self.settle(now, share);
        self.terms = terms;
        self.drain(share, 0.0);
    }

    /// Changes the share of the allowance that the known gateways use. Those that are no longer heard have
    /// the other units of the level.
    pub(super) fn set_share(&mut self, now: Time, before: f64, share: f64) {
        self.settle(now, before);
        if self.level > 0.0 {
            self.level *= (share / before).min(1.0);
        }
        let silent = (before - share).max(0.0);
        if self.was_refused(now) {
            let excess = self.terms.rate * silent * UNNOTICED_TIME.as_secs_f64();
            self.drain(share, excess);
        }
    }

    /// Refills the bucket up to `now`.
    fn settle(&mut self, now: Time, share: f64) {
        let elapsed = now.since(self.updated).min(MAX_STEP);
        self.updated = self.updated.max(now);
        let refill = self.terms.rate * share * elapsed.as_secs_f64();
        self.drain(share, -refill);
    }

    fn drain(&mut self, share: f64, units: f64) {
        let debt = self.terms.rate * MAX_DEBT.as_secs_f64();
        let capacity = self.terms.burst.max(0.0) * share;
        self.level = (self.level - units).clamp(-debt, capacity);
    }

    fn add_demand(&mut self, now: Time, units: f64) {
        self.demand.add(now, units);
        self.demand.value = self.demand.value.min(MAX_DEMAND * self.terms.rate);
    }

    /// Returns the share of requests that is admitted. The demand is that before the request: requests are large
    /// against the rate, and those of an organisation with few of them would count several times.
    fn admitted_share(&self, now: Time, share: f64) -> f64 {
        let demand = self.demand.at(now);
        let time = if self.level > 0.0 {
            SPENDING_TIME
        } else {
            REPAYMENT_TIME
        };
        let granted = self.terms.rate * share + self.level / time.as_secs_f64();
        if granted <= 0.0 {
            return 0.0;
        }
        (granted / demand).min(1.0)
    }

    pub(super) fn ask(&mut self, now: Time, share: f64, units: u64, random: f64) -> Verdict {
        self.settle(now, share);
        let admitted = self.admitted_share(now, share);
        let size = to_f64(units);
        self.add_demand(now, size);
        self.own_asked.add(now, size);
        self.pending.asked = self.pending.asked.saturating_add(units);
        if random >= admitted {
            self.refused_at = Some(now);
            let spread = (random - admitted) / (1.0 - admitted);
            return Verdict::Refuse(self.return_time(now, spread));
        }
        self.drain(share, size);
        self.own_admitted.add(now, size);
        let counted = units.saturating_sub(self.returned);
        self.returned -= units - counted;
        self.pending.admitted = self.pending.admitted.saturating_add(counted);
        Verdict::Admit
    }

    /// Returns when a refused caller should return: after the time in which the rate pays for the debt and for what
    /// is asked for in a second, from half to one and a half times that by a number from 0 to 1. Callers who
    /// were refused together thus do not return together.
    fn return_time(&self, now: Time, spread: f64) -> Duration {
        let owed = self.demand.at(now) * DEMAND_TIME.as_secs_f64() - self.level;
        let seconds = (owed / self.terms.rate).max(0.0) * (0.5 + spread.clamp(0.0, 1.0));
        let [shortest, longest] = RETURN_TIMES;
        let time = Duration::try_from_secs_f64(seconds).unwrap_or(longest);
        time.clamp(shortest, longest)
    }

    pub(super) fn give_back(&mut self, now: Time, share: f64, units: u64) {
        self.settle(now, share);
        self.drain(share, -to_f64(units));
        self.own_admitted.add(now, -to_f64(units));
        self.returned = self.returned.saturating_add(units);
    }

    /// Decides whether the units since the last heartbeat are reported. Those of an organisation with little demand
    /// are dropped, because a later report would count them as new.
    pub(super) fn collect(&mut self, now: Time, division: Division) {
        self.settle(now, division.share);
        for rate in [
            &mut self.demand,
            &mut self.own_asked,
            &mut self.own_admitted,
        ] {
            rate.add(now, 0.0);
        }
        let pending = std::mem::take(&mut self.pending);
        let gateways = f64::from(u32::try_from(division.gateways.max(1)).unwrap_or(u32::MAX));
        let reported = REPORTED_PART * self.terms.rate;
        let is_large =
            self.demand.at(now) > reported || self.own_asked.at(now) > reported / gateways;
        if pending == Counts::default() || !is_large {
            return;
        }
        self.counts.asked = self.counts.asked.saturating_add(pending.asked);
        self.counts.admitted = self.counts.admitted.saturating_add(pending.admitted);
        self.unreported = true;
    }

    pub(super) fn mark_reported(&mut self) {
        self.unreported = false;
    }

    pub(super) fn record(&self, now: Time, organisation: OrganisationKey) -> AllowanceRecord {
        AllowanceRecord {
            organisation,
            asked: self.counts.asked,
            admitted: self.counts.admitted,
            recent: (
                to_u32(self.own_asked.at(now)),
                to_u32(self.own_admitted.at(now)),
            ),
        }
    }

    pub(super) fn apply(
        &mut self,
        now: Time,
        share: f64,
        (from, version): (&P, (u64, u64)),
        record: AllowanceRecord,
    ) {
        let known = self.peers.get(from).copied();
        if known.is_some_and(|known| version <= known.version) {
            return;
        }
        let counts = Counts {
            asked: record.asked,
            admitted: record.admitted,
        };
        // Counts that have fallen began anew, because the organisation was without an allowance for a while.
        let went_on =
            |known: &PeerCounts| known.version.0 == version.0 && known.counts.asked <= record.asked;
        let [asked, admitted] = match known {
            Some(known) if went_on(&known) => [
                counts.asked - known.counts.asked,
                counts.admitted.saturating_sub(known.counts.admitted),
            ],
            Some(_) => [counts.asked, counts.admitted],
            // What a gateway counted before it was first heard is not known to be recent.
            None => [record.recent.0.into(), record.recent.1.into()],
        };
        self.settle(now, share);
        self.add_demand(now, to_f64(asked));
        self.drain(share, to_f64(admitted));
        self.peers
            .insert(from.clone(), PeerCounts { version, counts });
    }

    pub(super) fn forget(&mut self, peer: &P) {
        self.peers.remove(peer);
    }

    fn was_refused(&self, now: Time) -> bool {
        let refused = self.refused_at;
        refused.is_some_and(|at| now.since(at) < LIMITED_MEMORY)
    }

    /// Updates whether the organisation is limited. Returns the new state if it has changed.
    pub(super) fn update_limited(&mut self, now: Time) -> Option<bool> {
        let limited = self.was_refused(now);
        let changed = limited != self.limited;
        self.limited = limited;
        changed.then_some(limited)
    }
}

#[expect(clippy::cast_precision_loss, reason = "units are estimates")]
fn to_f64(units: u64) -> f64 {
    units as f64
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the conversion saturates"
)]
fn to_u32(rate: f64) -> u32 {
    rate.round() as u32
}
