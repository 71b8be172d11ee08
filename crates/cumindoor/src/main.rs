//! The `cumindoor` command.

use clap::{Parser, Subcommand};
use cumindoor::bench;

#[derive(Debug, Parser)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Measures parts of the router.
    Bench(bench::BenchArgs),
}

fn main() -> eyre::Result<()> {
    match Cli::parse().command {
        Command::Bench(args) => bench::run(&args),
    }
}
