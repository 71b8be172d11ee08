//! `cumindoor standin`: one stand-in as a process, for tests with real processes.

use std::path::PathBuf;

use clap::{Args, Subcommand};
use eyre::{WrapErr, ensure, eyre};
use standin::{
    Engine, EngineFaults, EngineOptions, Plain, PlainFaults, PlainOptions, Platform,
    PlatformOptions, Role, UpstreamEntry, VmEntry,
};
use tokio::io::AsyncReadExt;
use tokio::signal::unix::{SignalKind, signal};

use super::span;
use crate::ini::TimeSpan;

#[derive(Debug, Args)]
pub(super) struct StandinArgs {
    /// Port on the loopback address; 0 chooses a free one
    #[arg(long, global = true, default_value_t = 0)]
    port: u16,
    /// End when the standard input ends, so that no stand-in outlives the test that started it
    #[arg(long, global = true)]
    with_stdin: bool,
    #[command(subcommand)]
    kind: Kind,
}

#[derive(Debug, Subcommand)]
enum Kind {
    /// A model engine
    Engine(EngineArgs),
    /// A plain service
    Plain(PlainArgs),
    /// The configuration service and the lists of VMs and upstreams
    Platform(PlatformArgs),
}

#[derive(Debug, Args)]
struct EngineArgs {
    /// What it may be used for: prefill, decode or both
    #[arg(long, default_value = "both", value_parser = role)]
    role: Role,
    /// Decode requests that fit at once
    #[arg(long, default_value_t = 20)]
    slots: u32,
    /// Duration of one decode step
    #[arg(long, default_value = "4 ms", value_parser = span)]
    step: TimeSpan,
    /// Prompt tokens computed in one second
    #[arg(long, default_value_t = 10_000)]
    prefill_rate: u32,
    /// How long a prefill's result is kept
    #[arg(long, default_value = "800 ms", value_parser = span)]
    prefill_ttl: TimeSpan,
    /// Bytes per second of the outgoing link
    #[arg(long, default_value_t = 2_000_000_000)]
    link_rate: u64,
    /// Tokens after which an answer ends by itself
    #[arg(long)]
    answer_tokens: Option<u32>,
    /// Age of a load report at most
    #[arg(long, default_value = "0 s", value_parser = span)]
    load_lag: TimeSpan,
    /// Carry out orders with an old fencing number
    #[arg(long)]
    ignore_fences: bool,
    /// Text that crashes the engine if a prompt contains it
    #[arg(long)]
    poison: Option<String>,
    /// Come back after a crash after this time
    #[arg(long, value_parser = span)]
    restart_after: Option<TimeSpan>,
}

#[derive(Debug, Args)]
struct PlainArgs {
    /// Duration of one run
    #[arg(long, default_value = "0 s", value_parser = span)]
    work: TimeSpan,
    /// Close the connection before the run
    #[arg(long)]
    fail_before: bool,
    /// Close the connection after the run
    #[arg(long)]
    fail_after: bool,
    /// Never answer after the run
    #[arg(long)]
    silent_after: bool,
}

#[derive(Debug, Args)]
struct PlatformArgs {
    /// A document as NAME=FILE; may be given more than once
    #[arg(long, value_name = "NAME=FILE")]
    document: Vec<String>,
    /// A VM as NAME,DATA-CENTRE,PEER-ADDRESS; may be given more than once
    #[arg(long, value_name = "VM")]
    vm: Vec<String>,
    /// An upstream as NAME,GROUP,ROLE,DATA-CENTRE,ADDRESS; may be given more than once
    #[arg(long, value_name = "UPSTREAM")]
    upstream: Vec<String>,
}

fn role(text: &str) -> Result<Role, String> {
    match text {
        "prefill" => Ok(Role::Prefill),
        "decode" => Ok(Role::Decode),
        "both" => Ok(Role::Both),
        _ => Err("expected prefill, decode or both".into()),
    }
}

/// Starts the stand-in, prints its address and waits for the end.
pub(super) async fn run(args: StandinArgs) -> eyre::Result<()> {
    let port = args.port;
    match args.kind {
        Kind::Engine(engine) => {
            let engine = Engine::spawn(engine_options(port, engine)).await?;
            wait(engine.addr(), args.with_stdin).await?;
            engine.stop().await;
        }
        Kind::Plain(plain) => {
            let plain = Plain::spawn(plain_options(port, &plain)).await?;
            wait(plain.addr(), args.with_stdin).await?;
            plain.stop().await;
        }
        Kind::Platform(content) => {
            let options = PlatformOptions {
                port,
                ..PlatformOptions::default()
            };
            let platform = Platform::spawn(options).await?;
            fill(&platform, &content)?;
            wait(platform.addr(), args.with_stdin).await?;
            platform.stop().await;
        }
    }
    Ok(())
}

/// Prints the address and waits for SIGTERM, SIGINT or, if wanted, the end of the input.
async fn wait(addr: std::net::SocketAddr, with_stdin: bool) -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    super::print(&format!("{addr}\n"));
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
        restart_after: args.restart_after.map(|span| span.0),
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

fn fill(platform: &Platform, content: &PlatformArgs) -> eyre::Result<()> {
    for pair in &content.document {
        let (name, path) = pair
            .split_once('=')
            .ok_or_else(|| eyre!("--document {pair}: expected NAME=FILE"))?;
        let path = PathBuf::from(path);
        let text = std::fs::read_to_string(&path)
            .wrap_err_with(|| format!("cannot read {}", path.display()))?;
        platform.put_document(name, &text)?;
    }
    for vm in &content.vm {
        let parts: Vec<_> = vm.split(',').collect();
        ensure!(parts.len() == 3, "--vm {vm}: expected 3 values");
        platform.put_vm(VmEntry {
            name: parts[0].into(),
            data_centre: parts[1].into(),
            peer: parts[2].into(),
            state: "live".into(),
        });
    }
    for upstream in &content.upstream {
        let parts: Vec<_> = upstream.split(',').collect();
        ensure!(parts.len() == 5, "--upstream {upstream}: expected 5 values");
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
