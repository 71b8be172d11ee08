//! Coordination parts for routers whose nodes act together without shared writes.
//!
//! Every part is a state machine without I/O, clock or randomness of its own, so that each
//! failure can be reproduced in virtual time. See `docs/design.md`.

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
