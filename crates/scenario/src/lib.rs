//! Scenarios: what callers, faults and the fleet do in virtual time, and what must come of it.
//!
//! ```
//! let source = "
//!     requirement H2
//!     service chat interactive prefill 1 decode 1 slots 4
//!     at 0s send r1 to vm-1 service chat
//!     expect r1 answered
//! ";
//! let scenario = scenario::parse("example.scn", source).unwrap();
//! assert_eq!(scenario::run(&scenario).faults, []);
//! ```
//!
//! The language is described in `docs/scenarios.md`.

pub mod ast;
mod caller;
mod calls;
mod cell;
mod engine;
mod leases;
mod lists;
mod names;
mod once;
mod parse;
mod platform;
mod register;
mod request;
mod route;
mod run;
mod suspects;
mod takeover;
mod vm;
mod world;

pub use parse::{Fault, parse};
pub use run::{Verdict, run};
