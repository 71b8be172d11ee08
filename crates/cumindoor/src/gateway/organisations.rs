//! Organisations: which one sends a request, and what it may send.
//!
//! See `docs/design/organisations.md`.

pub mod allowances;
pub mod keys;
