//! Allowances of organisations, kept by all gateways together without an owner.
//!
//! An organisation may use a number of units a second, and a burst, over all gateways. Each gateway keeps a
//! replica of a token bucket for it, drained by what this gateway admits and by what the others report. The level has
//! no owner, and all gateways see nearly the same one. Each therefore admits a share of the requests that
//! reach it: what the allowance grants to the fleet, divided by what the fleet asks for.
//!
//! [`CreditClient`](super::CreditClient) needs an owner, and none survives the loss of any number of VMs.
//! [`SharedLimits`](super::SharedLimits) makes each request wait until others have heard of it, and
//! [`RetryBudget`](super::RetryBudget) divides what is left by the number of gateways, which is less than one request.
//!
//! See `docs/design/organisations.md`.

mod replica;

use std::collections::BTreeMap;
use std::ops::Bound;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use self::replica::Replica;
use super::Division;
use crate::time::Time;

/// Organisations with an allowance, which bounds the memory of the table. One that is used takes about 100 bytes for
/// each gateway that reports it.
const MAX_ORGANISATIONS: usize = 1_000;
/// Records in one report. A record has 39 bytes at most, so that they fit into a datagram of 16 KB.
const MAX_RECORDS: usize = 384;

/// A hash that stands for the name of an organisation.
pub type OrganisationKey = u64;

/// What an organisation may use over all gateways together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AllowanceTerms {
    /// Units a second.
    pub rate: f64,
    /// Units that may be used at once in addition.
    pub burst: f64,
}

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is admitted.
    Admit,
    /// It is refused, and its caller should return after this time.
    Refuse(Duration),
}

/// What one gateway reports of one organisation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AllowanceRecord {
    /// The organisation.
    pub organisation: OrganisationKey,
    /// Units that callers asked the sender for, as far as it reports them, since its start.
    pub asked: u64,
    /// Units that it admitted, likewise.
    pub admitted: u64,
    /// Units asked for and admitted in the last second, for a gateway that has no earlier record.
    pub recent: (u32, u32),
}

/// The allowances of the organisations, as known to one gateway of those that are known by `P`.
///
/// ```
/// use coord::limit::{AllowanceTable, AllowanceTerms, Verdict};
/// use coord::time::Time;
///
/// let terms = AllowanceTerms { rate: 1_000.0, burst: 2_000.0 };
/// let mut table = AllowanceTable::<&str>::default();
/// table.set(Time::ZERO, [(7, terms)]);
///
/// let mut admitted = |second: u64| {
///     let now = Time::from_millis(1_000 * second);
///     table.ask(now, 7, 500, 0.5) == Verdict::Admit
/// };
/// assert_eq!((1..9).map(&mut admitted).filter(|admitted| *admitted).count(), 8);
/// ```
#[derive(Clone, Debug)]
pub struct AllowanceTable<P> {
    division: Division,
    replicas: BTreeMap<OrganisationKey, Replica<P>>,
    /// The organisation whose record was the last one of a report.
    page_end: OrganisationKey,
}

impl<P> Default for AllowanceTable<P> {
    fn default() -> Self {
        let division = Division {
            gateways: 1,
            share: 1.0,
        };
        Self {
            division,
            replicas: BTreeMap::new(),
            page_end: 0,
        }
    }
}

impl<P: Clone + Ord> AllowanceTable<P> {
    /// Sets the allowances in force. The level of a new one is zero: other gateways may have used its burst.
    pub fn set(
        &mut self,
        now: Time,
        allowances: impl IntoIterator<Item = (OrganisationKey, AllowanceTerms)>,
    ) {
        let share = self.division.share;
        let valid = |terms: &AllowanceTerms| {
            terms.rate.is_finite() && terms.rate > 0.0 && terms.burst.is_finite()
        };
        let valid = allowances.into_iter().filter(|(_, terms)| valid(terms));
        let wanted: BTreeMap<_, _> = valid.take(MAX_ORGANISATIONS).collect();
        self.replicas.retain(|key, _| wanted.contains_key(key));
        for (key, terms) in wanted {
            let replica = self.replicas.entry(key);
            let replica = replica.or_insert_with(|| Replica::new(now, terms));
            replica.set_terms(now, share, terms);
        }
    }

    /// Sets the gateways among which the allowances are divided.
    pub fn set_division(&mut self, now: Time, division: Division) {
        let before = self.division.share;
        for replica in self.replicas.values_mut() {
            replica.set_share(now, before, division.share);
        }
        self.division = division;
    }

    /// Decides on a request. `random` is a random number from 0 to 1. An organisation without an allowance is not
    /// limited.
    pub fn ask(
        &mut self,
        now: Time,
        organisation: OrganisationKey,
        units: u64,
        random: f64,
    ) -> Verdict {
        let share = self.division.share;
        match self.replicas.get_mut(&organisation) {
            Some(replica) => replica.ask(now, share, units, random),
            None => Verdict::Admit,
        }
    }

    /// Gives back the units of an admitted request that reached no upstream.
    pub fn give_back(&mut self, now: Time, organisation: OrganisationKey, units: u64) {
        let share = self.division.share;
        if let Some(replica) = self.replicas.get_mut(&organisation) {
            replica.give_back(now, share, units);
        }
    }

    /// Returns the records of the report of a heartbeat. If they are too many for one, the next one has the rest.
    pub fn next_records(&mut self, now: Time) -> Vec<AllowanceRecord> {
        for replica in self.replicas.values_mut() {
            replica.collect(now, self.division);
        }
        let after = (Bound::Excluded(self.page_end), Bound::Unbounded);
        let in_turn = self.replicas.range(after);
        let in_turn = in_turn.chain(self.replicas.range(..=self.page_end));
        let due = in_turn.filter(|(_, replica)| replica.is_due());
        let due: Vec<_> = due.map(|(key, _)| *key).take(MAX_RECORDS).collect();
        self.page_end = due.last().copied().unwrap_or(self.page_end);
        let records = due.into_iter().filter_map(|key| {
            let replica = self.replicas.get_mut(&key)?;
            replica.mark_reported();
            Some(replica.record(now, key))
        });
        records.collect()
    }

    /// Returns records for a gateway that is heard for the first time, so that it can tell from later ones what
    /// was used meanwhile.
    #[must_use]
    pub fn page(&self, now: Time) -> Vec<AllowanceRecord> {
        let used = self.replicas.iter();
        let used = used.filter(|(_, replica)| replica.is_used());
        let records = used.map(|(key, replica)| replica.record(now, *key));
        records.take(MAX_RECORDS).collect()
    }

    /// Returns whether there is something to tell a gateway that is heard for the first time.
    #[must_use]
    pub fn is_used(&self) -> bool {
        self.replicas.values().any(Replica::is_used)
    }

    /// Applies the records of another gateway. `version` is the start of the sender and the sequence number of its
    /// report.
    pub fn apply(
        &mut self,
        now: Time,
        (from, version): (&P, (u64, u64)),
        records: Vec<AllowanceRecord>,
    ) {
        let share = self.division.share;
        for record in records.into_iter().take(MAX_RECORDS) {
            if let Some(replica) = self.replicas.get_mut(&record.organisation) {
                replica.apply(now, share, (from, version), record);
            }
        }
    }

    /// Forgets a gateway that has gone silent. What it used stays counted.
    pub fn forget(&mut self, peer: &P) {
        for replica in self.replicas.values_mut() {
            replica.forget(peer);
        }
    }

    /// Returns the organisations that have begun or ceased to be limited since the last call, with whether they are.
    pub fn expire(&mut self, now: Time) -> Vec<(OrganisationKey, bool)> {
        let all = self.replicas.iter_mut();
        let changed = all.filter_map(|(key, replica)| {
            let limited = replica.update_limited(now)?;
            Some((*key, limited))
        });
        changed.collect()
    }

    /// Returns the number of organisations that are limited.
    #[must_use]
    pub fn limited_count(&self) -> usize {
        let limited = self.replicas.values();
        limited.filter(|replica| replica.is_limited()).count()
    }

    /// Returns the level of an organisation's replica in units; negative if more was used than granted.
    #[must_use]
    pub fn level(&self, organisation: OrganisationKey) -> Option<f64> {
        self.replicas.get(&organisation).map(Replica::level)
    }
}
