//! Coordination protocols for router processes that share no state.
//!
//! Every protocol is a state machine without I/O, clock or source of randomness: the caller passes
//! in the time, a seed and incoming messages, and carries out the actions that are returned. Each
//! failure can therefore be reproduced in virtual time. See `docs/design.md`.
//!
//! All upstreams of one service form a cell, and one VM, the owner, schedules the requests of a
//! cell. The VMs agree on the owner without exchanging messages: each one computes it from the VMs
//! that it considers live.
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
//! // Time is an argument, so that a test controls how much time passes.
//! let start = Time::from_millis(1);
//! let mut budget = Budget::new(BudgetOptions::default(), start);
//! assert!(budget.try_spend(start));
//! assert!(!budget.try_spend(start));
//! assert!(budget.try_spend(start + Duration::from_secs(3)));
//! ```

pub mod claim;
pub mod config;
pub mod fence;
pub mod freshness;
pub mod hash;
pub mod hedge;
pub mod lease;
pub mod limit;
pub mod member;
pub mod name;
pub mod origin;
pub mod owner;
pub mod poison;
pub mod retry;
pub mod ring;
pub mod sched;
pub mod share;
pub mod time;
