//! The request path of `cumindoor serve`: the listener for callers, scheduling cells, engine
//! clients and shutdown.
//!
//! [`Server::bind`] starts the request path and returns its handle. The services and upstreams
//! that requests are routed to are in a [`Table`], which its owner may replace at any time.

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
pub use node::{Node, NodeInputs, NodeOptions};
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

/// Starts a router without peers, which schedules the requests of all services itself.
///
/// # Errors
///
/// Returns an error if the listening socket cannot be bound.
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
