//! Limits that hold for all VMs together.
//!
//! - [`SharedLimits`] keeps the rates that upstreams name, without an owner: each VM keeps a replica of each
//!   bucket, and VMs report to each other what they use. [`FleetSize`] is the number of VMs that share.
//! - [`RetryBudget`] keeps the number of retries to a service, from what all VMs report.
//! - [`AllowanceTable`] keeps what organisations may use over all VMs, from what all VMs report.
//! - [`TokenBucket`] and [`CreditClient`] keep the rate limits of organisations, which have an owner VM.
//!
//! # Example
//!
//! ```
//! use std::time::Duration;
//!
//! use coord::limit::{Grant, Rate, SharedLimits};
//! use coord::time::Time;
//!
//! let now = Time::from_millis(9_000);
//! let mut limits = SharedLimits::new("vm-1");
//! limits.record_named(now, 7, Rate::per_second(2.0).expect("a positive number"));
//!
//! // The upstream gets nothing at first, and then what it takes.
//! assert_eq!(limits.wait(now, 7).map(|wait| wait.is_zero()), Some(false));
//! let later = now + Duration::from_millis(600);
//! let claim = limits.claim(later, 7, Duration::from_millis(20), 0).expect("a limit");
//! assert_eq!(limits.try_take(later + Duration::from_millis(20), claim), Grant::Granted);
//! ```

mod allowance;
mod bucket;
mod credit;
mod fleet;
mod rate;
mod report;
mod retries;
mod shared;

pub use allowance::{AllowanceRecord, AllowanceTable, AllowanceTerms, OrganisationKey, Verdict};
pub use bucket::MIN_RATE;
pub use credit::{CreditClient, CreditGrant, CreditRequest, TokenBucket};
pub use fleet::{FleetSize, Sighting};
pub use rate::Rate;
pub use report::{Claim, Grant, KnownLimit, LimitKey, LimitRecord, LimitReport};
pub use retries::{Division, RetryBudget, RetryLimit, RetryRecord};
pub use shared::SharedLimits;
