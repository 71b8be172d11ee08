//! A rate limit per organisation, whose credit one owner VM grants.
//!
//! Each organisation has one owner VM, found by computed ownership, which holds the organisation's
//! [`TokenBucket`]. Entry VMs request credit from it in batches with a [`CreditClient`] and return
//! the credit that they do not use. See `docs/design.md`, section 6.8.
//!
//! # Example
//!
//! ```
//! use coord::limit::{CreditClient, CreditRequest, TokenBucket};
//! use coord::time::Time;
//!
//! let now = Time::ZERO;
//! let mut bucket = TokenBucket::new(now, 100);
//! let mut client = CreditClient::new(now, 100, 8);
//!
//! assert!(!client.try_acquire(now, 1));
//! let request = client.poll_request(now).expect("a message is due");
//! let grant = bucket.handle_request(now, request);
//! client.handle_grant(now, grant);
//!
//! assert!(client.try_acquire_queued(now, 1));
//! ```

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::time::Time;

/// Capacity of a bucket, as the time in which the rate fills it: what an organisation may use at
/// once after it was idle.
const BURST: Duration = Duration::from_millis(500);

/// Minimum time between two credit requests of one entry VM. Limits its messages to 5 per second
/// for each organisation that it serves.
const REQUEST_INTERVAL: Duration = Duration::from_millis(200);

/// Time without an answer after which an entry VM uses its share of the rate without the owner.
const OWNER_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after which unused credit is returned, so that idle VMs hold none.
const IDLE_TIMEOUT: Duration = Duration::from_millis(400);

/// Micro-credits in one credit. With this resolution, each refill loses less than one micro-credit
/// to rounding, even at a rate of 1 per second divided by 340 VMs.
const MICROS_PER_CREDIT: u64 = 1_000_000;

/// An entry VM's message to the owner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CreditRequest {
    /// Credits that the entry VM needs: its demand since the last request.
    #[serde(rename = "want")]
    pub requested: u64,
    /// Credits that the entry VM did not need.
    #[serde(rename = "back")]
    pub returned: u64,
    /// Number of the message, which the answer repeats.
    pub sequence: u64,
}

/// The owner's answer to a [`CreditRequest`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CreditGrant {
    /// Granted credits, at most as many as requested.
    pub credit: u64,
    /// Number of the request that this answers.
    pub sequence: u64,
}

/// Credit that refills at a fixed rate up to a capacity, in micro-credits.
#[derive(Clone, Debug)]
struct RefillingCredit {
    rate: u64,
    divisor: u64,
    level: u64,
    updated: Time,
}

impl RefillingCredit {
    /// Creates empty credit that refills at `rate` credits per second divided by `divisor`.
    const fn new(now: Time, rate: u64, divisor: u64) -> Self {
        Self {
            rate,
            divisor: if divisor == 0 { 1 } else { divisor },
            level: 0,
            updated: now,
        }
    }

    /// Refills up to `now` and takes at most `max` credits.
    fn take(&mut self, now: Time, max: u64) -> u64 {
        let us = u64::try_from(now.since(self.updated).as_micros()).unwrap_or(u64::MAX);
        self.level = self
            .level
            .saturating_add(us.saturating_mul(self.rate) / self.divisor);
        self.updated = self.updated.max(now);
        self.cap();
        let credits = max.min(self.level / MICROS_PER_CREDIT);
        self.level -= credits * MICROS_PER_CREDIT;
        credits
    }

    fn give(&mut self, credits: u64) {
        self.level = self
            .level
            .saturating_add(credits.saturating_mul(MICROS_PER_CREDIT));
        self.cap();
    }

    /// Limits the level to the capacity, which is at least one credit, so that the lowest rates
    /// are served too.
    fn cap(&mut self) {
        let burst = u64::try_from(BURST.as_micros()).unwrap_or(u64::MAX);
        let capacity = self.rate.saturating_mul(burst) / self.divisor;
        self.level = self.level.min(capacity.max(MICROS_PER_CREDIT));
    }
}

/// The token bucket of one organisation, held by its owner VM.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    credit: RefillingCredit,
}

impl TokenBucket {
    /// Creates a full bucket, which holds the credit of half a second at `rate` credits per
    /// second. One credit is one unit of what the document limits: a request or a token.
    #[must_use]
    pub fn new(now: Time, rate: u64) -> Self {
        let mut credit = RefillingCredit::new(now, rate, 1);
        credit.give(u64::MAX);
        Self { credit }
    }

    /// Applies the new rate when the organisation's document changes.
    pub fn set_rate(&mut self, now: Time, rate: u64) {
        self.credit.take(now, 0);
        self.credit.rate = rate;
        self.credit.cap();
    }

    /// Takes back the returned credit and grants up to the requested amount.
    pub fn handle_request(&mut self, now: Time, request: CreditRequest) -> CreditGrant {
        self.credit.give(request.returned);
        CreditGrant {
            credit: self.credit.take(now, request.requested),
            sequence: request.sequence,
        }
    }
}

/// The credit that one entry VM holds for one organisation.
#[derive(Clone, Debug)]
pub struct CreditClient {
    credit: u64,
    demand: u64,
    last_use: Time,
    sequence: u64,
    last_request: Option<Time>,
    /// When the first request was sent that the owner has not answered.
    unanswered_since: Option<Time>,
    /// This VM's share of the rate, for use while the owner is unreachable.
    share: RefillingCredit,
}

impl CreditClient {
    /// Creates a client without credit; `rate` is the rate in the organisation's document and
    /// `live_vms` the number of live VMs.
    #[must_use]
    pub const fn new(now: Time, rate: u64, live_vms: u64) -> Self {
        Self {
            credit: 0,
            demand: 0,
            last_use: now,
            sequence: 0,
            last_request: None,
            unanswered_since: None,
            share: RefillingCredit::new(now, rate, live_vms),
        }
    }

    /// Applies a new rate or number of live VMs to this VM's share.
    pub fn set_share(&mut self, now: Time, rate: u64, live_vms: u64) {
        self.share.take(now, 0);
        (self.share.rate, self.share.divisor) = (rate, live_vms.max(1));
    }

    /// Takes credit for a new request and counts it as demand.
    ///
    /// Returns false if there is not enough credit: the caller then refuses the request, or lets
    /// it wait for the next grant and calls [`CreditClient::try_acquire_queued`].
    pub fn try_acquire(&mut self, now: Time, credits: u64) -> bool {
        self.demand = self.demand.saturating_add(credits);
        self.try_acquire_queued(now, credits)
    }

    /// Takes credit for a request that has waited and whose demand is already counted.
    pub fn try_acquire_queued(&mut self, now: Time, credits: u64) -> bool {
        if self.owner_unreachable(now) {
            let missing = credits.saturating_sub(self.credit);
            self.credit += self.share.take(now, missing);
        }
        self.last_use = now;
        let enough = self.credit >= credits;
        if enough {
            self.credit -= credits;
        }
        enough
    }

    /// Returns the message for the owner if one is due.
    ///
    /// It requests the demand since the last message less the remaining credit, or returns unused
    /// credit.
    pub fn poll_request(&mut self, now: Time) -> Option<CreditRequest> {
        if self
            .last_request
            .is_some_and(|sent| now.since(sent) < REQUEST_INTERVAL)
        {
            return None;
        }
        let idle = now.since(self.last_use) >= IDLE_TIMEOUT;
        let returned = if idle { self.credit } else { 0 };
        let requested = self.demand.saturating_sub(self.credit);
        if requested == 0 && returned == 0 {
            return None;
        }
        self.credit -= returned;
        self.demand = 0;
        self.sequence += 1;
        self.last_request = Some(now);
        self.unanswered_since = self.unanswered_since.or(Some(now));
        let sequence = self.sequence;
        Some(CreditRequest {
            requested,
            returned,
            sequence,
        })
    }

    /// Adds the granted credit.
    ///
    /// A grant for an earlier request is dropped: the owner that sent it may have been replaced,
    /// and the new owner may have granted the same credit again.
    pub fn handle_grant(&mut self, now: Time, grant: CreditGrant) {
        if grant.sequence != self.sequence || self.unanswered_since.is_none() {
            return;
        }
        self.unanswered_since = None;
        self.credit = self.credit.saturating_add(grant.credit);
        // Empties the share, so that it refills from zero if the owner becomes unreachable again.
        self.share.take(now, u64::MAX);
    }

    /// Returns whether the owner has left requests unanswered for so long that this VM uses its
    /// own share.
    #[must_use]
    pub fn owner_unreachable(&self, now: Time) -> bool {
        self.unanswered_since
            .is_some_and(|since| now.since(since) >= OWNER_TIMEOUT)
    }
}
