//! The command line: arguments, subcommands and exit statuses.

mod check;
mod gateway;
mod serve;
mod standin;

use std::future::Future;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand, ValueEnum};
use eyre::WrapErr;

use crate::bench;
use crate::ini::{Setting, TimeSpan};
use crate::{demo, explain, status};

/// Routes requests to language-model engines and plain services.
///
/// One process runs on each VM, between callers and upstreams. It reads its addresses from a
/// settings file and everything else from the platform's configuration service.
#[derive(Debug, Parser)]
#[command(name = "cumindoor", version, propagate_version = true)]
#[command(
    after_help = "Settings and documents are described in docs/settings.md and \
                        docs/documents.md; complete ones are in examples/."
)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Serve callers until SIGTERM, together with the other VMs
    ///
    /// Prints the listening addresses, one per line. On SIGTERM the process finishes the requests
    /// in progress, within `stop-limit`, and exits; a second SIGTERM has no effect.
    Serve(serve::ServeArgs),
    /// Relay callers' requests to the upstreams that the platform publishes, until SIGTERM
    ///
    /// On SIGTERM the process reports that it is not ready, keeps serving until the load balancer
    /// has had time to notice, and exits within the grace period; a second SIGTERM has no effect.
    Gateway(gateway::GatewayArgs),
    /// Check settings and documents and print all findings
    ///
    /// Each finding is printed as `file:line: what is wrong and what is expected`. Documents are
    /// also checked against each other and against the settings, so pass all files of one fleet
    /// together.
    #[command(
        after_help = "Exit status: 0 without findings, 1 with findings, 2 if a file cannot \
                            be read or the usage is wrong."
    )]
    Check(CheckArgs),
    /// Run a small fleet on this machine, with stand-ins for all external systems
    ///
    /// Starts engines, a plain service, a platform and one router on free loopback ports, sends
    /// a long summary, a short chat and two top-ups through the router, and prints what each
    /// hop did. A decode engine crashes during the summary. The command takes less than 20 s.
    #[command(after_help = "Exit status: 0, 1 if a response is not the expected one.")]
    Demo(DemoArgs),
    /// Print the status report of a running VM
    #[command(
        after_help = "Exit status: 0, 1 if the VM does not answer, 2 if the usage is \
                            wrong."
    )]
    Status(StatusArgs),
    /// Measure parts of the router
    Bench(bench::BenchArgs),
    /// Replay a recorded trace through the scheduler and compare the results with expectations
    ///
    /// Each difference is printed as `file:line: expected what, got what`. The formats are
    /// described in docs/replay.md.
    #[command(
        after_help = "Exit status: 0 if all expectations hold, 1 with differences or findings, \
                            2 if a file cannot be read or the usage is wrong."
    )]
    Replay(bench::ReplayArgs),
    /// Print the log lines of one request from all gateways
    ///
    /// The lines are read from the files, or from the standard input. They are printed in order of
    /// time, with the milliseconds since the first one.
    #[command(
        after_help = "Exit status: 0, 1 if no line names the request, a file cannot be read, or \
                            log lines were left out around the time of the request."
    )]
    Explain(ExplainArgs),
    /// Run a stand-in for one external system until SIGTERM
    #[command(hide = true)]
    Standin(standin::StandinArgs),
}

#[derive(Debug, clap::Args)]
struct ExplainArgs {
    /// Id of the request, as its caller sent it; `all` counts the requests by outcome
    id: String,
    /// Log files; a line may be prefixed by the name of its gateway
    #[arg(value_name = "FILE")]
    files: Vec<PathBuf>,
    /// With `all`, also write a plot of the outcomes per second
    #[arg(long, value_name = "FILE.svg")]
    plot: Option<PathBuf>,
}

#[derive(Debug, clap::Args)]
struct CheckArgs {
    /// Files to check; `-` is the standard input
    #[arg(required = true, value_name = "FILE")]
    files: Vec<PathBuf>,
    /// Also print the effective values, including defaults, of each file without findings
    #[arg(long)]
    print: bool,
}

#[derive(Debug, clap::Args)]
struct DemoArgs {
    /// Keep everything running until Ctrl-C and print an example request
    #[arg(long)]
    keep: bool,
}

#[derive(Debug, clap::Args)]
struct StatusArgs {
    /// Address of the VM for its peers: `address` of [peers] in its settings
    #[arg(long, value_name = "IP:PORT")]
    at: SocketAddr,
    /// Output format
    #[arg(long, value_enum, default_value_t = OutputFormat::Text)]
    format: OutputFormat,
    /// Timeout for the response, such as `500 ms`
    #[arg(long, value_name = "TIME", default_value = "2 s", value_parser = parse_time_span)]
    timeout: TimeSpan,
}

/// The output format of a command.
#[derive(Clone, Copy, Debug, ValueEnum)]
enum OutputFormat {
    /// Indented text and tables
    Text,
    /// JSON, as the VM sent it
    Json,
}

/// Parses a duration in the format of the settings.
fn parse_time_span(text: &str) -> Result<TimeSpan, String> {
    TimeSpan::parse(text)
}

/// Parses the arguments, runs the command and returns the exit status of the process.
#[must_use]
pub fn main() -> ExitCode {
    let result = match Cli::parse().command {
        Command::Serve(args) => serve::run(&args),
        Command::Gateway(args) => gateway::run(&args),
        Command::Explain(args) => explain_request(&args),
        Command::Check(args) => return check::run(&args.files, args.print),
        Command::Demo(args) => block_on(demo::run(args.keep)),
        Command::Status(args) => block_on(print_status(args)),
        Command::Bench(args) => bench::run(&args),
        Command::Replay(args) => return bench::replay(&args),
        Command::Standin(args) => block_on(standin::run(args)),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::FAILURE
        }
    }
}

/// Runs `future` on a new multi-threaded runtime.
fn block_on(future: impl Future<Output = eyre::Result<()>>) -> eyre::Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    runtime.block_on(future)
}

/// Prints the log lines of a request, or the summary of all requests.
///
/// Returns an error if lines of the request may be missing.
fn explain_request(args: &ExplainArgs) -> eyre::Result<()> {
    if args.id == "all" {
        let summary = explain::summary(&args.files)?;
        write_stdout(&summary.to_string());
        if let Some(path) = &args.plot {
            let written = std::fs::write(path, summary.plot());
            written.wrap_err_with(|| format!("cannot write {}", path.display()))?;
        }
        return Ok(());
    }
    let explanation = explain::run(&args.id, &args.files)?;
    write_stdout(&explanation.to_string());
    if explanation.dropped_lines > 0 {
        eyre::bail!(
            "{} lines were left out around the time of the request",
            explanation.dropped_lines
        );
    }
    Ok(())
}

async fn print_status(args: StatusArgs) -> eyre::Result<()> {
    let value = status::fetch(args.at, args.timeout.0).await?;
    let text = match args.format {
        OutputFormat::Text => status::render(&value),
        OutputFormat::Json => format!("{value:#}\n"),
    };
    write_stdout(&text);
    Ok(())
}

/// Writes to standard output and ignores errors, such as a closed pipe in `| head`.
fn write_stdout(text: &str) {
    use std::io::Write as _;
    let _ = std::io::stdout().write_all(text.as_bytes());
}
