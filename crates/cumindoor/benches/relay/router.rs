//! Runs the router in a process of its own.

use std::net::SocketAddr;
use std::time::Duration;

use coord::name::{DataCentre, Organisation, Service, Upstream, VmName};
use coord::sched::{Class, Role, SchedOptions};
use cumindoor::serve::telemetry::Telemetry;
use cumindoor::serve::{ServeOptions, ServiceKind, ServiceSpec, Table, UpstreamSpec, bind_alone};

/// Serves until the process is killed. The first argument is the address of the engine; with `one`
/// as the second argument, the router runs on a single thread.
pub fn run(args: &[String]) -> eyre::Result<()> {
    let engine: SocketAddr = args[0].parse()?;
    let mut builder = if args.get(1).is_some_and(|arg| arg == "one") {
        tokio::runtime::Builder::new_current_thread()
    } else {
        tokio::runtime::Builder::new_multi_thread()
    };
    builder.enable_all().build()?.block_on(serve(engine))
}

async fn serve(engine: SocketAddr) -> eyre::Result<()> {
    let service = ServiceSpec {
        organisation: Organisation::from("bench"),
        name: Service::from("chat"),
        group: Service::from("chat"),
        kind: ServiceKind::Model,
        class: Class::Interactive,
        ttft_target: Duration::from_mins(10),
        token_target: Duration::from_millis(26),
        request_limit: Duration::from_hours(1),
        once: false,
        once_paths: Vec::new(),
        max_prompt: u32::MAX,
        max_output: u32::MAX,
        require_key: true,
        open_limit: 100_000,
    };
    let upstream = UpstreamSpec {
        name: Upstream::from("engine-0"),
        service: Service::from("chat"),
        role: Some(Role::Both),
        data_centre: DataCentre::from("suape"),
        address: engine,
        slots: 100_000,
        leaving: false,
    };
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let options = ServeOptions::new(VmName::from("vm-1"), listen);
    let table = Table::new(vec![service], vec![upstream]);
    let sched = SchedOptions {
        prefill_rate: 100_000_000,
        ..SchedOptions::default()
    };
    let server = bind_alone(options, table, sched, Telemetry::in_memory()).await?;
    println!("{}", server.addr());
    std::future::pending().await
}
