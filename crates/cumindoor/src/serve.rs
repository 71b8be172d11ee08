//! The request path of `cumindoor serve`: callers' listener, cells, engines, shutdown.
//!
//! [`Server::bind`] returns a running handle. What the path knows about services and upstreams
//! is in a [`Table`], which its owner may replace at any time.

pub mod caller;
pub mod cell;
pub mod claim;
pub mod cluster;
pub mod engine;
pub(crate) mod headers;
pub mod node;
pub mod peer;
pub mod plain;
pub mod refusal;
pub mod registry;
pub mod route;
pub mod spec;
pub mod supervisor;
pub mod telemetry;
pub mod view;

pub use caller::Server;
pub use node::{Feed, Node, NodeOptions};
pub use spec::{
    GroupSpec, Limits, ServeOptions, ServiceKind, ServiceSpec, Table, UpstreamSpec,
    UpstreamTimeouts,
};

use std::sync::Arc;

use coord::sched::SchedOptions;

use cell::{CellSet, Clock};
use engine::poll;
use route::Context;
use telemetry::Telemetry;

/// Starts a router that owns the cells of all its services itself, without other VMs.
///
/// # Errors
///
/// Returns the error of the listening socket.
pub async fn bind_alone(
    options: ServeOptions,
    table: Table,
    sched: SchedOptions,
    telemetry: Telemetry,
) -> eyre::Result<Server> {
    let clock = Clock::start();
    let (cells, orphans) = CellSet::new(sched, clock);
    let context = Context::new(options, table.clone(), cells.clone(), clock, telemetry);
    let context = Arc::new(context);
    let mut tasks = vec![cells.tasks(&table)];
    tasks.extend(poll::tasks(&context, cells, orphans));
    Server::bind(context, tasks).await
}
