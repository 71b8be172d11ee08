//! The request path of `cumindoor serve`: callers' listener, cells, engines, shutdown.
//!
//! [`Server::bind`] returns a running handle. What the path knows about services and upstreams
//! is in a [`Table`], which its owner may replace at any time.

pub mod caller;
pub mod cell;
pub mod cluster;
pub mod engine;
pub mod peer;
pub mod plain;
pub mod platform;
pub mod refusal;
pub mod route;
pub mod spec;
pub mod supervisor;
pub mod telemetry;

pub use caller::Server;
pub use spec::{HopTimes, Limits, ServeOptions, ServiceKind, ServiceSpec, Table, UpstreamSpec};

use std::sync::Arc;

use coord::sched::SchedOptions;
use tokio::sync::Mutex;

use cell::{CellSet, Clock};
use engine::poll;
use route::Context;
use supervisor::Spec;
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
    let polled = Arc::clone(&context);
    tasks.push(Spec::task("engine-load", move || {
        poll::run(Arc::clone(&polled), Arc::clone(&cells))
    }));
    let (cleaned, orphans) = (Arc::clone(&context), Arc::new(Mutex::new(orphans)));
    tasks.push(Spec::task("orphans", move || {
        poll::cancel_orphans(Arc::clone(&cleaned), Arc::clone(&orphans))
    }));
    Server::bind(context, tasks).await
}
