//! The store of routes and upstreams, which is only read.

pub mod fetch;
pub(super) mod store_calls;
pub(super) mod store_watch;
