//! The request path of `cumindoor serve`: callers' listener, cells, engines, shutdown.
//!
//! [`Server::bind`] returns a running handle. What the path knows about services and upstreams
//! is in a [`Table`], which its owner may replace at any time.

pub mod caller;
pub mod cell;
pub mod engine;
pub mod peer;
pub mod plain;
pub mod refusal;
pub mod route;
pub mod spec;
pub mod supervisor;

pub use caller::Server;
pub use spec::{HopTimes, Limits, ServeOptions, ServiceKind, ServiceSpec, Table, UpstreamSpec};
