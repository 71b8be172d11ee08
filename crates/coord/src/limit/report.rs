//! What gateways tell each other of limits, and what a caller of the table gets.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{AllowanceRecord, Rate, RetryRecord};

/// A hash that stands for one start of an upstream.
pub type LimitKey = u64;

/// A claim for a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claim {
    pub(super) key: LimitKey,
    pub(super) ticket: u64,
}

impl Claim {
    /// Returns the upstream of which the claim wants a token.
    #[must_use]
    pub fn key(self) -> LimitKey {
        self.key
    }
}

/// Whether a claim brings a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Grant {
    /// The token is taken, and the claim has ended.
    Granted,
    /// The token will be there after this time, unless other claims precede.
    Wait(Duration),
}

/// What is known of a limit, for log events.
#[derive(Clone, Debug, PartialEq)]
pub struct KnownLimit<P> {
    /// The named rate.
    pub rate: Rate,
    /// The gateway that was told.
    pub told_by: P,
    /// Time since then.
    pub age: Duration,
    /// Share of the rate that the known gateways use.
    pub share: f64,
    /// Tokens that are left; negative if more was used than allowed.
    pub level: f64,
    /// Claims of all known gateways.
    pub claims: usize,
}

/// What one gateway reports of one limit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitRecord<P> {
    /// The upstream.
    pub key: LimitKey,
    /// The named rate, or `None` if the limit has ended.
    pub rate: Option<Rate>,
    /// The gateway that was told.
    pub told_by: P,
    /// Milliseconds since then.
    pub age_ms: u32,
    /// Microseconds since the sender's start at which it began to count.
    pub counted_from: u64,
    /// Tokens that the sender has taken since then.
    pub used: u64,
    /// Tokens that are left in the sender's replica, in thousandths.
    pub level: i64,
    /// Tickets of the sender's claims.
    pub claims: Vec<u64>,
    /// Number of callers whom the sender told when to return, and who have not been due yet.
    pub booked: u16,
}

/// A report of limits, retries and allowances. Records that it lacks are unchanged.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitReport<P> {
    /// Start of the sender.
    pub start: u64,
    /// Sequence number of the report since then.
    pub sequence: u64,
    /// The size of the fleet, if the sender knows it.
    pub gateways: Option<u32>,
    /// Limits of upstreams.
    pub limits: Vec<LimitRecord<P>>,
    /// Retries to services.
    pub retries: Vec<RetryRecord>,
    /// Units that organisations asked for. Gateways of older builds do not send them.
    #[serde(default)]
    pub allowances: Vec<AllowanceRecord>,
}
