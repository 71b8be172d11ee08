//! `bench policy`: the scheduler against fake engines in virtual time.
//!
//! The same seed gives the same figures, and the arrivals of a seed are the same for every
//! policy and fault. See `docs/policy.md`.

// Counts and sizes here are far below the limits of the types that they are converted to.
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
mod expect;
mod fake;
mod flow;
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

/// Runs longer than this show their progress.
const PROGRESS_AFTER: Duration = Duration::from_secs(2);

/// Arguments of `cumindoor bench`.
#[derive(Args, Clone, Debug)]
pub struct BenchArgs {
    #[command(subcommand)]
    what: What,
}

#[derive(Clone, Debug, Subcommand)]
enum What {
    /// Compares scheduling policies on fake engines in virtual time.
    Policy(PolicyArgs),
}

#[derive(Args, Clone, Debug)]
struct PolicyArgs {
    /// A case or the start of its name; all cases if absent.
    #[arg(long, default_value = "")]
    case: String,
    /// A policy; all policies if absent.
    #[arg(long, value_enum)]
    policy: Option<Policy>,
    /// Seed of the first run.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Runs of each case and policy, with successive seeds.
    #[arg(long, default_value_t = 1)]
    runs: u64,
    #[arg(long, value_enum, default_value_t = Format::Table)]
    format: Format,
    /// Writes the goodput shares as bars to this file.
    #[arg(long, value_name = "FILE.svg")]
    plot: Option<PathBuf>,
    /// Writes the arrivals and faults of one case as a trace instead of running it.
    #[arg(long, value_name = "FILE", requires = "case")]
    record: Option<PathBuf>,
    /// Seconds of the recorded run; the first fifth of them, up to 20 s, is not measured.
    #[arg(long, requires = "record", value_parser = clap::value_parser!(u64).range(1..=3_600))]
    seconds: Option<u64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum Policy {
    /// Engines in turn.
    RoundRobin,
    /// The engine with the lowest reported load.
    LeastLoad,
    /// The engine of the prompt's first block, within a bound on the load.
    PrefixAffinity,
    /// The scheduler of this project.
    Cumindoor,
    /// What perfect knowledge could reach at most.
    Bound,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum Format {
    /// A table for reading.
    Table,
    /// One array of objects.
    Json,
}

/// Runs the benchmark and prints its figures.
///
/// # Errors
///
/// Fails if no case has the name, or if the plot cannot be written.
pub fn run(args: &BenchArgs) -> eyre::Result<()> {
    let What::Policy(args) = &args.what;
    if let Some(file) = &args.record {
        return replay::record(args, file);
    }
    let rows = policy(args)?;
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

/// Returns the cases with this name, or else those whose names begin with it.
fn cases(name: &str) -> eyre::Result<Vec<Case>> {
    let all = case::all();
    let exact: Vec<Case> = all.iter().filter(|c| c.name == name).cloned().collect();
    let begin = all.into_iter().filter(|c| c.name.starts_with(name));
    let chosen = if exact.is_empty() {
        begin.collect()
    } else {
        exact
    };
    ensure!(
        !chosen.is_empty(),
        "no case is called, or begins with, \"{name}\""
    );
    Ok(chosen)
}

fn policy(args: &PolicyArgs) -> eyre::Result<Vec<Row>> {
    let cases = cases(&args.case)?;
    let one = args.policy.map(|p| vec![p]);
    let policies = one.unwrap_or_else(|| Policy::value_variants().to_vec());
    let total = cases.len() * policies.len() * args.runs as usize;
    let mut rows = Vec::new();
    let mut shown = Instant::now();
    for case in &cases {
        for seed in args.seed..args.seed.saturating_add(args.runs) {
            let requests = arrivals::draw(case, seed);
            for policy in &policies {
                rows.push(one_run(case, *policy, seed, &requests));
                if shown.elapsed() > PROGRESS_AFTER {
                    eprintln!("{}/{total} runs, last {}", rows.len(), case.name);
                    shown = Instant::now();
                }
            }
        }
    }
    Ok(rows)
}

fn one_run(case: &Case, policy: Policy, seed: u64, requests: &[arrivals::Request]) -> Row {
    let simple = |rule| move |_: usize| -> Box<dyn Router> { Box::new(Baseline::new(rule)) };
    let own = |cell: usize| -> Box<dyn Router> {
        Box::new(Scheduler::new(case.cells[cell].options.clone(), seed))
    };
    let sim = |owned, spawn: sim::Spawn| Sim::new(case, requests, seed, owned, spawn).run();
    let tracks = match policy {
        Policy::RoundRobin => sim(false, &simple(Rule::RoundRobin)),
        Policy::LeastLoad => sim(false, &simple(Rule::LeastLoad)),
        Policy::PrefixAffinity => sim(false, &simple(Rule::PrefixAffinity)),
        Policy::Cumindoor => sim(true, &own),
        Policy::Bound => bound::tracks(case, requests),
    };
    let name = policy
        .to_possible_value()
        .map_or_else(String::new, |v| v.get_name().to_owned());
    report::row(case, &name, seed, requests, &tracks)
}

#[cfg(test)]
mod tests;
