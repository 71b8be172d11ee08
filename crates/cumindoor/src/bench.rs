//! `bench policy`: runs scheduling policies against simulated engines in virtual time.
//!
//! The results depend only on the case, the policy and the seed. Every policy and every fault
//! receives the same arrivals for a seed. See `docs/policy.md`.

// Counts and sizes in the simulation are far below the limits of the types that they are
// converted to.
#![allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    missing_docs
)]

mod arrivals;
mod baseline;
mod bound;
mod case;
mod engine_calls;
mod expect;
mod fake_engine;
mod incidents;
mod replay;
mod report;
mod router;
mod sim;
mod trace;

use std::path::PathBuf;
use std::time::{Duration, Instant};

use clap::{Args, Subcommand, ValueEnum};
use coord::sched::Scheduler;
use eyre::{Context, ensure};

pub use self::expect::SECTIONS as EXPECT_SECTIONS;
pub use self::replay::{ReplayArgs, run as replay};

use self::baseline::{Baseline, Rule};
use self::case::Case;
use self::report::Row;
use self::router::Router;
use self::sim::Sim;

/// Minimum time between two progress lines.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(2);

/// Command line arguments of `cumindoor bench`.
#[derive(Args, Clone, Debug)]
pub struct BenchArgs {
    #[command(subcommand)]
    command: BenchCommand,
}

#[derive(Clone, Debug, Subcommand)]
enum BenchCommand {
    /// Compares scheduling policies on simulated engines in virtual time.
    Policy(PolicyArgs),
}

#[derive(Args, Clone, Debug)]
struct PolicyArgs {
    /// Name of a case or the beginning of one; all cases if absent.
    #[arg(long, default_value = "")]
    case: String,
    /// Policy to run; all policies if absent.
    #[arg(long, value_enum)]
    policy: Option<Policy>,
    /// Seed of the first run.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of runs of each case and policy, with successive seeds.
    #[arg(long, default_value_t = 1)]
    runs: u64,
    #[arg(long, value_enum, default_value_t = Format::Table)]
    format: Format,
    /// Writes a bar chart of the goodput shares to this file.
    #[arg(long, value_name = "FILE.svg")]
    plot: Option<PathBuf>,
    /// Writes the arrivals and faults of one case to this file as a trace instead of running it.
    #[arg(long, value_name = "FILE", requires = "case")]
    record: Option<PathBuf>,
    /// Length of the recorded run in seconds; its first fifth, up to 20 s, is not measured.
    #[arg(long, requires = "record", value_parser = clap::value_parser!(u64).range(1..=3_600))]
    seconds: Option<u64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum Policy {
    /// Selects the engines in turn.
    RoundRobin,
    /// Selects the engine with the lowest reported load.
    LeastLoad,
    /// Selects an engine by the hash of the prompt's first block, within a bound on the load.
    PrefixAffinity,
    /// Uses the scheduler of the router.
    Cumindoor,
    /// Computes an upper bound from perfect knowledge of the run.
    Bound,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum Format {
    /// Prints a table.
    Table,
    /// Prints JSON.
    Json,
}

/// Runs the selected cases and policies and prints their results.
///
/// # Errors
///
/// Fails if no case matches the name, or if the plot or the trace cannot be written.
pub fn run(args: &BenchArgs) -> eyre::Result<()> {
    let BenchCommand::Policy(args) = &args.command;
    if let Some(file) = &args.record {
        return replay::record(args, file);
    }
    let rows = run_policies(args)?;
    match args.format {
        Format::Table => print!("{}", report::table(&rows)),
        Format::Json => println!("{}", serde_json::to_string_pretty(&rows)?),
    }
    if let Some(file) = &args.plot {
        let plot = report::plot(&rows);
        std::fs::write(file, plot).wrap_err_with(|| format!("cannot write {}", file.display()))?;
    }
    Ok(())
}

/// Returns the cases with this name, or if there are none, those whose names begin with it.
fn matching_cases(name: &str) -> eyre::Result<Vec<Case>> {
    let all = case::all();
    let exact: Vec<Case> = all.iter().filter(|c| c.name == name).cloned().collect();
    let by_prefix = all.into_iter().filter(|c| c.name.starts_with(name));
    let matching = if exact.is_empty() {
        by_prefix.collect()
    } else {
        exact
    };
    ensure!(
        !matching.is_empty(),
        "no case has the name \"{name}\" or a name that begins with it"
    );
    Ok(matching)
}

fn run_policies(args: &PolicyArgs) -> eyre::Result<Vec<Row>> {
    let cases = matching_cases(&args.case)?;
    let selected = args.policy.map(|p| vec![p]);
    let policies = selected.unwrap_or_else(|| Policy::value_variants().to_vec());
    let total = cases.len() * policies.len() * args.runs as usize;
    let mut rows = Vec::new();
    let mut last_progress = Instant::now();
    for case in &cases {
        for seed in args.seed..args.seed.saturating_add(args.runs) {
            let requests = arrivals::generate(case, seed);
            for policy in &policies {
                rows.push(run_policy(case, *policy, seed, &requests));
                if last_progress.elapsed() > PROGRESS_INTERVAL {
                    eprintln!("{}/{total} runs, last {}", rows.len(), case.name);
                    last_progress = Instant::now();
                }
            }
        }
    }
    Ok(rows)
}

fn run_policy(case: &Case, policy: Policy, seed: u64, requests: &[arrivals::Request]) -> Row {
    let baseline_router =
        |rule| move |_: usize| -> Box<dyn Router> { Box::new(Baseline::new(rule)) };
    let scheduler_router = |cell: usize| -> Box<dyn Router> {
        Box::new(Scheduler::new(case.cells[cell].options.clone(), seed))
    };
    let run = |owned, make: sim::RouterFactory| Sim::new(case, requests, seed, owned, make).run();
    let records = match policy {
        Policy::RoundRobin => run(false, &baseline_router(Rule::RoundRobin)),
        Policy::LeastLoad => run(false, &baseline_router(Rule::LeastLoad)),
        Policy::PrefixAffinity => run(false, &baseline_router(Rule::PrefixAffinity)),
        Policy::Cumindoor => run(true, &scheduler_router),
        Policy::Bound => bound::simulate(case, requests),
    };
    let name = policy
        .to_possible_value()
        .map_or_else(String::new, |v| v.get_name().to_owned());
    report::row(case, &name, seed, requests, &records)
}

#[cfg(test)]
mod tests;
