//! The command line.

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
/// One process runs on each VM, between callers and upstreams. It learns its addresses from a
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
    /// Serve callers and work with the other VMs until SIGTERM
    ///
    /// The addresses that are listened on are printed, one on each line. On SIGTERM the process
    /// finishes the requests in progress, within `stop-limit`, and ends; a second SIGTERM has no
    /// effect.
    Serve(serve::ServeArgs),
    /// Relay callers' requests to the upstreams that the platform publishes, until SIGTERM
    ///
    /// On SIGTERM the process says that it is not ready, serves until the balancer has noticed and
    /// ends within the grace time; a second SIGTERM has no effect.
    Gateway(gateway::GatewayArgs),
    /// Check settings and documents and list everything that is wrong
    ///
    /// Each finding is printed as `file:line: what is wrong and what is expected`. Files of both
    /// kinds may be mixed: documents are compared with each other and with the settings, so name
    /// the files of one fleet together.
    #[command(
        after_help = "Exit status: 0 without findings, 1 with findings, 2 if a file cannot \
                            be read or the usage is wrong."
    )]
    Check(CheckArgs),
    /// Show a small fleet at work on this machine, with stand-ins for everything outside
    ///
    /// Starts engines, a plain service, a platform and one router on free loopback ports, sends
    /// a long summary, a short chat and two top-ups through the router, and prints what each
    /// hop did. A decode engine dies during the summary. It ends by itself in under 20 s.
    #[command(after_help = "Exit status: 0, 1 if an answer is not the expected one.")]
    Demo(DemoArgs),
    /// Show what a running VM reports
    #[command(
        after_help = "Exit status: 0, 1 if the VM does not answer, 2 if the usage is \
                            wrong."
    )]
    Status(StatusArgs),
    /// Measure parts of the router
    Bench(bench::BenchArgs),
    /// Run the scheduler over a recorded trace and compare its figures with expectations
    ///
    /// Each difference is printed as `file:line: expected what, got what`. The formats are
    /// described in docs/replay.md.
    #[command(
        after_help = "Exit status: 0 if all expectations hold, 1 with differences or findings, \
                            2 if a file cannot be read or the usage is wrong."
    )]
    Replay(bench::ReplayArgs),
    /// Print one request's story from the log lines of all gateways
    ///
    /// The lines are read from the files, or from the standard input. They are printed in the order
    /// of their times, with the milliseconds since the first one.
    #[command(
        after_help = "Exit status: 0, 1 if no line names the request, a file cannot be read, or \
                            lines were left out at that time."
    )]
    Explain(ExplainArgs),
    /// Run one stand-in of an external system until SIGTERM
    #[command(hide = true)]
    Standin(standin::StandinArgs),
}

#[derive(Debug, clap::Args)]
struct ExplainArgs {
    /// Id of the request, as its caller sent it; `all` counts the outcomes of all requests
    id: String,
    /// Log files; lines may begin with the name of their gateway
    #[arg(value_name = "FILE")]
    files: Vec<PathBuf>,
    /// With `all`, also write a plot of the outcomes by second
    #[arg(long, value_name = "FILE.svg")]
    plot: Option<PathBuf>,
}

#[derive(Debug, clap::Args)]
struct CheckArgs {
    /// Files to check; `-` is the standard input
    #[arg(required = true, value_name = "FILE")]
    files: Vec<PathBuf>,
    /// Print each file without findings with every value that is in force, defaults included
    #[arg(long)]
    print: bool,
}

#[derive(Debug, clap::Args)]
struct DemoArgs {
    /// Leave everything running until Ctrl-C and print a request for it
    #[arg(long)]
    keep: bool,
}

#[derive(Debug, clap::Args)]
struct StatusArgs {
    /// Address that the VM has for other VMs: `address` of [peers] in its settings
    #[arg(long, value_name = "IP:PORT")]
    at: SocketAddr,
    /// Form of the output
    #[arg(long, value_enum, default_value_t = Format::Text)]
    format: Format,
    /// Time to wait for the answer, such as `500 ms`
    #[arg(long, value_name = "TIME", default_value = "2 s", value_parser = span)]
    timeout: TimeSpan,
}

/// Form of an output.
#[derive(Clone, Copy, Debug, ValueEnum)]
enum Format {
    /// Indented text and tables
    Text,
    /// The JSON that the VM sent
    Json,
}

/// Reads a duration in the form of the settings.
fn span(text: &str) -> Result<TimeSpan, String> {
    TimeSpan::parse(text)
}

/// Runs the command that the arguments name and returns the process's exit status.
#[must_use]
pub fn main() -> ExitCode {
    let result = match Cli::parse().command {
        Command::Serve(args) => serve::run(&args),
        Command::Gateway(args) => gateway::run(&args),
        Command::Explain(args) => explain_request(&args),
        Command::Check(args) => return check::run(&args.files, args.print),
        Command::Demo(args) => block_on(demo::run(args.keep)),
        Command::Status(args) => block_on(show_status(args)),
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

/// Runs `future` on a runtime of its own.
fn block_on(future: impl Future<Output = eyre::Result<()>>) -> eyre::Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    runtime.block_on(future)
}

/// Prints a request's story; it is an error if parts of it may be missing.
fn explain_request(args: &ExplainArgs) -> eyre::Result<()> {
    if args.id == "all" {
        let summary = explain::summary(&args.files)?;
        print(&summary.to_string());
        if let Some(path) = &args.plot {
            let written = std::fs::write(path, summary.plot());
            written.wrap_err_with(|| format!("cannot write {}", path.display()))?;
        }
        return Ok(());
    }
    let story = explain::run(&args.id, &args.files)?;
    print(&story.to_string());
    if story.dropped_lines > 0 {
        eyre::bail!(
            "{} lines were left out at about that time",
            story.dropped_lines
        );
    }
    Ok(())
}

async fn show_status(args: StatusArgs) -> eyre::Result<()> {
    let value = status::fetch(args.at, args.timeout.0).await?;
    let text = match args.format {
        Format::Text => status::render(&value),
        Format::Json => format!("{value:#}\n"),
    };
    print(&text);
    Ok(())
}

/// Prints to the standard output; a reader that has gone, as in `| head`, is no error.
fn print(text: &str) {
    use std::io::Write as _;
    let _ = std::io::stdout().write_all(text.as_bytes());
}
