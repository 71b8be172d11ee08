//! The router that the demonstration runs.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use coord::sched::Role;
use standin::UpstreamEntry;

use super::fleet::Fleet;
use crate::serve::telemetry::Telemetry;
use crate::serve::{ServeOptions, Server, Table, UpstreamSpec, bind_alone};

/// Time limit for running requests and cancellations when the router stops.
///
/// The cancellation on the crashed engine is retried with increasing delays. A limit of 1 s was
/// too short for these retries on a machine with three busy loops on each core.
const STOP_TIMEOUT: Duration = Duration::from_secs(6);

/// A router that runs as tasks of this process.
pub(super) struct Router {
    server: Server,
}

impl Router {
    pub(super) async fn start(fleet: &Fleet) -> eyre::Result<Self> {
        let engines = fleet.engines.iter().map(|member| &member.entry);
        let entries = engines.chain(std::iter::once(&fleet.plain_entry));
        let upstreams: Result<Vec<_>, _> = entries.map(upstream_spec).collect();
        let table = Table::new(fleet.document.service_specs(), upstreams?);
        let groups = fleet.document.upstreams.values();
        // Both groups of the example have the same engine settings, so those of the first apply.
        let sched = groups.map(crate::document::Upstreams::sched_options).next();
        let sched = sched.unwrap_or_default();
        let listen_addr = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let options = ServeOptions {
            block_tokens: sched.block_tokens,
            prefill_rate: sched.prefill_rate,
            stop_limit: STOP_TIMEOUT,
            ..ServeOptions::new("demo-1".into(), listen_addr)
        };
        let server = bind_alone(options, table, sched, Telemetry::in_memory()).await?;
        Ok(Self { server })
    }

    pub(super) fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Stops gracefully and returns whether every request finished within [`STOP_TIMEOUT`].
    pub(super) async fn stop(&self) -> bool {
        self.server.stop().await
    }
}

fn upstream_spec(entry: &UpstreamEntry) -> eyre::Result<UpstreamSpec> {
    let role = match entry.role.as_str() {
        "prefill" => Some(Role::Prefill),
        "decode" => Some(Role::Decode),
        "both" => Some(Role::Both),
        _ => None,
    };
    Ok(UpstreamSpec {
        name: entry.name.as_str().into(),
        service: entry.service.as_str().into(),
        role,
        data_centre: entry.data_centre.as_str().into(),
        address: entry.address.parse()?,
        slots: 20,
        leaving: false,
    })
}
