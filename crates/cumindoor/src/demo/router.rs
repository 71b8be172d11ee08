//! The router of the demonstration.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use coord::sched::Role;
use standin::UpstreamEntry;

use super::fleet::Fleet;
use crate::serve::telemetry::Telemetry;
use crate::serve::{ServeOptions, Server, Table, UpstreamSpec, bind_alone};

/// How long running requests and cancels may take when the demonstration ends.
///
/// A cancel for the engine that died is tried again with growing pauses; 1 s was too short for
/// it on a machine with three busy loops on each core.
const STOP_LIMIT: Duration = Duration::from_secs(6);

/// One router that runs as tasks of this process.
pub(super) struct Router {
    server: Server,
}

impl Router {
    pub(super) async fn start(fleet: &Fleet) -> eyre::Result<Self> {
        let engines = fleet.engines.iter().map(|member| &member.entry);
        let entries = engines.chain(std::iter::once(&fleet.plain_entry));
        let upstreams: Result<Vec<_>, _> = entries.map(upstream).collect();
        let table = Table::new(fleet.document.service_specs(), upstreams?);
        let groups = fleet.document.upstreams.values();
        // Both groups of the example have the same engines.
        let sched = groups.map(crate::document::Upstreams::sched_options).next();
        let sched = sched.unwrap_or_default();
        let listen = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let options = ServeOptions {
            block_tokens: sched.block_tokens,
            prefill_rate: sched.prefill_rate,
            stop_limit: STOP_LIMIT,
            ..ServeOptions::new("demo-1".into(), listen)
        };
        let server = bind_alone(options, table, sched, Telemetry::in_memory()).await?;
        Ok(Self { server })
    }

    pub(super) fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Stops gracefully; returns whether every request ended by itself.
    pub(super) async fn stop(&self) -> bool {
        self.server.stop().await
    }
}

fn upstream(entry: &UpstreamEntry) -> eyre::Result<UpstreamSpec> {
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
