//! Decisions about load: which upstream takes a request, which request takes a place that comes free, and
//! what is refused.
//!
//! Most of these modules have neither network nor clock. See `docs/design/hard-load.md`.

pub mod balance;
pub mod classes;
pub mod load_table;
pub(super) mod orders;
pub mod placement;
pub mod queue;
pub(super) mod rate_limits;
pub mod trials;
