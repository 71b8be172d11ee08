//! Coordination parts for routers whose nodes act together without shared writes.
//!
//! Every part is a state machine without I/O, clock or randomness of its own, so that each
//! failure can be reproduced in virtual time. See `docs/design.md`.
//!
//! A fleet agrees on who schedules a cell without a message: each VM computes the owner from the
//! members that it holds for live. A request then waits at the owner's scheduler, which answers
//! with actions:
//!
//! ```
//! use std::time::Duration;
//!
//! use coord::hash::hash64;
//! use coord::owner::Owners;
//! use coord::retry::{Budget, BudgetOptions};
//! use coord::time::Time;
//!
//! let owners: Owners = [("vm-1", "suape"), ("vm-2", "olinda"), ("vm-3", "suape")]
//!     .into_iter()
//!     .map(|(vm, zone)| (vm.into(), zone.into()))
//!     .collect();
//! let owner = owners.owner(hash64(b"airtime-desk"));
//! assert!(owner.is_some());
//!
//! // Time is an argument, so a test decides how much of it passes.
//! let start = Time::from_millis(1);
//! let mut budget = Budget::new(BudgetOptions::default(), start);
//! assert!(budget.try_spend(start));
//! assert!(!budget.try_spend(start));
//! assert!(budget.try_spend(start + Duration::from_secs(3)));
//! ```

pub mod claim;
pub mod config;
pub mod fence;
pub mod hash;
pub mod lease;
pub mod limit;
pub mod member;
pub mod name;
pub mod owner;
pub mod poison;
pub mod retry;
pub mod sched;
pub mod time;
