//! A language for fault scenarios, and a deterministic simulation that runs them in virtual time.
//!
//! A scenario lists requests, faults and changes of a simulated fleet, with the time of each, and
//! the outcomes that are expected.
//!
//! ```
//! let source = "
//!     requirement H2
//!     service chat interactive prefill 1 decode 1 slots 4
//!     at 0s send r1 to vm-1 service chat
//!     expect r1 answered
//! ";
//! let scenario = scenario::parse("example.scn", source).unwrap();
//! assert_eq!(scenario::run(&scenario).failures, []);
//! ```
//!
//! The language is described in `docs/scenarios.md`.

pub mod ast;
mod caller;
mod calls;
mod cell;
mod claims;
mod engine;
mod leases;
mod lists;
mod names;
mod parse;
mod platform;
mod registration;
mod request;
mod route;
mod run;
mod simulation;
mod suspects;
mod takeover;
mod vm;

pub use parse::{Diagnostic, parse};
pub use run::{RunReport, run};
