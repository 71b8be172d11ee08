//! `cumindoor standin`: runs a stand-in for one external system, for tests with real processes.

use std::path::PathBuf;

use clap::{Args, Subcommand};
use eyre::{WrapErr, ensure, eyre};
use standin::{
    Engine, EngineFaults, EngineOptions, Plain, PlainFaults, PlainOptions, Platform,
    PlatformOptions, Role, UpstreamEntry, VmEntry,
};
use tokio::io::AsyncReadExt;
use tokio::signal::unix::{SignalKind, signal};

use super::parse_time_span;
use crate::ini::TimeSpan;

#[derive(Debug, Args)]
pub(super) struct StandinArgs {
    /// Port on the loopback address; 0 selects a free one
    #[arg(long, global = true, default_value_t = 0)]
    port: u16,
    /// Exit when standard input is closed, so that the process does not outlive the test that
    /// started it
    #[arg(long, global = true)]
    with_stdin: bool,
    #[command(subcommand)]
    kind: StandinKind,
}

#[derive(Debug, Subcommand)]
enum StandinKind {
    /// A model engine
    Engine(EngineArgs),
    /// A plain service
    Plain(PlainArgs),
    /// The configuration service and the lists of VMs and upstreams
    Platform(PlatformArgs),
}

#[derive(Debug, Args)]
struct EngineArgs {
    /// Pool of the engine: prefill, decode or both
    #[arg(long, default_value = "both", value_parser = parse_role)]
    role: Role,
    /// Maximum number of concurrent decode requests
    #[arg(long, default_value_t = 20)]
    slots: u32,
    /// Duration of one decode step
    #[arg(long, default_value = "4 ms", value_parser = parse_time_span)]
    step: TimeSpan,
    /// Prompt tokens prefilled per second
    #[arg(long, default_value_t = 10_000)]
    prefill_rate: u32,
    /// How long the KV cache of a finished prefill is kept
    #[arg(long, default_value = "800 ms", value_parser = parse_time_span)]
    prefill_ttl: TimeSpan,
    /// Bandwidth of the outgoing link, in bytes per second
    #[arg(long, default_value_t = 2_000_000_000)]
    link_rate: u64,
    /// Number of tokens after which an answer ends, even if more are allowed
    #[arg(long)]
    answer_tokens: Option<u32>,
    /// Maximum age of a load report
    #[arg(long, default_value = "0 s", value_parser = parse_time_span)]
    load_lag: TimeSpan,
    /// Execute requests with an outdated fencing token
    #[arg(long)]
    ignore_fences: bool,
    /// Text that crashes the engine when a prompt contains it
    #[arg(long)]
    poison: Option<String>,
    /// Restart this long after a crash
    #[arg(long, value_parser = parse_time_span)]
    restart_after: Option<TimeSpan>,
}

#[derive(Debug, Args)]
struct PlainArgs {
    /// Processing time of one call
    #[arg(long, default_value = "0 s", value_parser = parse_time_span)]
    work: TimeSpan,
    /// Close the connection before processing a call
    #[arg(long)]
    fail_before: bool,
    /// Close the connection after processing a call, without a response
    #[arg(long)]
    fail_after: bool,
    /// Send no response after processing a call
    #[arg(long)]
    silent_after: bool,
}

#[derive(Debug, Args)]
struct PlatformArgs {
    /// A document as NAME=FILE; may be repeated
    #[arg(long, value_name = "NAME=FILE")]
    document: Vec<String>,
    /// A VM as NAME,DATA-CENTRE,PEER-ADDRESS; may be repeated
    #[arg(long, value_name = "VM")]
    vm: Vec<String>,
    /// An upstream as NAME,GROUP,ROLE,DATA-CENTRE,ADDRESS; may be repeated
    #[arg(long, value_name = "UPSTREAM")]
    upstream: Vec<String>,
}

fn parse_role(text: &str) -> Result<Role, String> {
    match text {
        "prefill" => Ok(Role::Prefill),
        "decode" => Ok(Role::Decode),
        "both" => Ok(Role::Both),
        _ => Err("expected prefill, decode or both".into()),
    }
}

/// Starts the stand-in, prints its address and stops it on a signal or the end of the input.
pub(super) async fn run(args: StandinArgs) -> eyre::Result<()> {
    let port = args.port;
    match args.kind {
        StandinKind::Engine(engine) => {
            let engine = Engine::spawn(engine_options(port, engine)).await?;
            wait_for_shutdown(engine.addr(), args.with_stdin).await?;
            engine.stop().await;
        }
        StandinKind::Plain(plain) => {
            let plain = Plain::spawn(plain_options(port, &plain)).await?;
            wait_for_shutdown(plain.addr(), args.with_stdin).await?;
            plain.stop().await;
        }
        StandinKind::Platform(entries) => {
            let options = PlatformOptions {
                port,
                ..PlatformOptions::default()
            };
            let platform = Platform::spawn(options).await?;
            publish_entries(&platform, &entries)?;
            wait_for_shutdown(platform.addr(), args.with_stdin).await?;
            platform.stop().await;
        }
    }
    Ok(())
}

/// Prints the address and waits for SIGTERM, SIGINT or, with `with_stdin`, the end of the input.
async fn wait_for_shutdown(addr: std::net::SocketAddr, with_stdin: bool) -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    super::write_stdout(&format!("{addr}\n"));
    let input_end = async {
        let mut buffer = [0; 256];
        let mut stdin = tokio::io::stdin();
        while with_stdin && matches!(stdin.read(&mut buffer).await, Ok(1..)) {}
        if !with_stdin {
            std::future::pending::<()>().await;
        }
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        () = input_end => {}
    }
    Ok(())
}

fn engine_options(port: u16, args: EngineArgs) -> EngineOptions {
    EngineOptions {
        port,
        role: args.role,
        slots: args.slots,
        step: args.step.0,
        prefill_rate: args.prefill_rate,
        prefill_ttl: args.prefill_ttl.0,
        link_rate: args.link_rate,
        answer_tokens: args.answer_tokens,
        load_lag: args.load_lag.0,
        enforces_fencing: !args.ignore_fences,
        restart_after: args.restart_after.map(|delay| delay.0),
        faults: EngineFaults {
            poison: args.poison,
            ..EngineFaults::default()
        },
        ..EngineOptions::default()
    }
}

fn plain_options(port: u16, args: &PlainArgs) -> PlainOptions {
    PlainOptions {
        port,
        service_time: args.work.0,
        faults: PlainFaults {
            fail_before: args.fail_before,
            fail_after: args.fail_after,
            silent_after: args.silent_after,
            ..PlainFaults::default()
        },
    }
}

fn publish_entries(platform: &Platform, entries: &PlatformArgs) -> eyre::Result<()> {
    for pair in &entries.document {
        let (name, path) = pair
            .split_once('=')
            .ok_or_else(|| eyre!("--document {pair}: expected NAME=FILE"))?;
        let path = PathBuf::from(path);
        let text = std::fs::read_to_string(&path)
            .wrap_err_with(|| format!("cannot read {}", path.display()))?;
        platform.put_document(name, &text)?;
    }
    for vm in &entries.vm {
        let parts: Vec<_> = vm.split(',').collect();
        ensure!(
            parts.len() == 3,
            "--vm {vm}: expected NAME,DATA-CENTRE,PEER-ADDRESS"
        );
        platform.put_vm(VmEntry {
            name: parts[0].into(),
            data_centre: parts[1].into(),
            peer: parts[2].into(),
            state: "live".into(),
        });
    }
    for upstream in &entries.upstream {
        let parts: Vec<_> = upstream.split(',').collect();
        ensure!(
            parts.len() == 5,
            "--upstream {upstream}: expected NAME,GROUP,ROLE,DATA-CENTRE,ADDRESS"
        );
        platform.put_upstream(UpstreamEntry {
            name: parts[0].into(),
            service: parts[1].into(),
            role: parts[2].into(),
            data_centre: parts[3].into(),
            address: parts[4].into(),
            state: "live".into(),
        });
    }
    Ok(())
}
