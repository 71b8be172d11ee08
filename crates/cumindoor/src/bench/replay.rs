//! The commands `cumindoor replay` and `cumindoor bench policy --record`.

use std::fs::File;
use std::io::{self, Read as _};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::Args;
use eyre::{Context, ensure};

use super::arrivals;
use super::case::{Case, Load};
use super::expect::Expectations;
use super::report::{self, Row};
use super::sim::Sim;
use super::trace::{self, Trace};
use super::{Format, Policy, PolicyArgs, baseline, matching_cases, run_policy};
use crate::ini::Finding;

/// Maximum size of a trace or of an expectations file.
const MAX_FILE_BYTES: u64 = 256_000_000;

/// Exit status if results differ from the expected ones, or if a file is invalid.
const EXIT_FINDINGS: u8 = 1;

/// Exit status if a file cannot be read or the arguments are invalid.
const EXIT_USAGE: u8 = 2;

/// Command line arguments of `cumindoor replay`.
#[derive(Args, Clone, Debug)]
pub struct ReplayArgs {
    /// Trace as written by `bench policy --record`.
    trace: PathBuf,
    /// File with the expected results.
    #[arg(long, value_name = "FILE")]
    expect: PathBuf,
    /// Policy to run.
    #[arg(long, value_enum, default_value_t = Policy::Cumindoor)]
    policy: Policy,
    /// Seed of the scheduler and of the loss of cache events; the seed of the trace if absent.
    #[arg(long)]
    seed: Option<u64>,
    #[arg(long, value_enum, default_value_t = Format::Table)]
    format: Format,
}

/// Replays a trace and prints the results and their differences from the expected ones.
#[must_use]
pub fn run(args: &ReplayArgs) -> ExitCode {
    if args.policy == Policy::Bound {
        eprintln!(
            "error: `bound` needs the lengths of shared prefixes, which a trace does not hold"
        );
        return ExitCode::from(EXIT_USAGE);
    }
    let (trace, expect) = match (read(&args.trace), read(&args.expect)) {
        (Ok(trace), Ok(expect)) => (trace, expect),
        (trace, expect) => {
            for error in [trace.err(), expect.err()].into_iter().flatten() {
                eprintln!("error: {error}");
            }
            return ExitCode::from(EXIT_USAGE);
        }
    };
    let names = (
        args.trace.display().to_string(),
        args.expect.display().to_string(),
    );
    let (row, differences) = match compare(args, (&names.0, &trace), (&names.1, &expect)) {
        Ok(result) => result,
        Err(findings) => return print_findings(&findings),
    };
    match args.format {
        Format::Table => print!("{}", report::table(std::slice::from_ref(&row))),
        Format::Json => println!(
            "{}",
            serde_json::json!({
                "figures": row,
                "differences": differences.iter().map(ToString::to_string).collect::<Vec<_>>(),
            })
        ),
    }
    if args.format == Format::Json && !differences.is_empty() {
        return ExitCode::from(EXIT_FINDINGS);
    }
    print_findings(&differences)
}

/// Runs the trace and compares the results. If a file is invalid, the findings of both files are
/// returned.
fn compare(
    args: &ReplayArgs,
    trace: (&str, &str),
    expect: (&str, &str),
) -> Result<(Row, Vec<Finding>), Vec<Finding>> {
    let trace = trace::parse(trace.0, trace.1);
    let workloads = trace
        .iter()
        .flat_map(|t| &t.case.cells)
        .flat_map(|c| &c.mix);
    let services: Vec<String> = workloads.map(|k| k.name.to_string()).collect();
    let known = trace.is_ok().then_some(services.as_slice());
    let expect = Expectations::parse(expect.0, expect.1, known);
    let (trace, expect) = match (trace, expect) {
        (Ok(trace), Ok(expect)) => (trace, expect),
        (trace, expect) => {
            let found = [trace.err(), expect.err()].into_iter().flatten();
            return Err(found.flatten().collect());
        }
    };
    let row = run_trace(&trace, args.policy, args.seed.unwrap_or(trace.seed));
    let differences = expect.differences(&row);
    Ok((row, differences))
}

/// Runs a policy on a trace and returns the results.
pub fn run_trace(trace: &Trace, policy: Policy, seed: u64) -> Row {
    run_policy(&trace.case, policy, seed, &trace.requests)
}

fn print_findings(findings: &[Finding]) -> ExitCode {
    for finding in findings {
        println!("{finding}");
    }
    if findings.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(EXIT_FINDINGS)
    }
}

/// Reads a text file of at most [`MAX_FILE_BYTES`] bytes. The limit also stops reading from devices
/// and pipes that never end.
fn read(path: &Path) -> Result<String, String> {
    let read = || -> io::Result<String> {
        let mut bytes = Vec::new();
        File::open(path)?
            .take(MAX_FILE_BYTES + 1)
            .read_to_end(&mut bytes)?;
        if bytes.len() as u64 > MAX_FILE_BYTES {
            let text = format!("expected at most {MAX_FILE_BYTES} bytes");
            return Err(io::Error::other(text));
        }
        String::from_utf8(bytes).map_err(io::Error::other)
    };
    read().map_err(|error| format!("cannot read {}: {error}", path.display()))
}

/// Writes the case that the arguments select as a trace.
pub(super) fn record(args: &PolicyArgs, file: &Path) -> eyre::Result<()> {
    let mut cases = matching_cases(&args.case)?;
    ensure!(
        cases.len() == 1,
        "--record needs exactly one case, but \"{}\" matches {}",
        args.case,
        cases.len()
    );
    let text = record_case(cases.swap_remove(0), args.seed, args.seconds)?;
    std::fs::write(file, text).wrap_err_with(|| format!("cannot write {}", file.display()))
}

/// Returns the trace of a case; `seconds` replaces the length of its run. A closed loop cannot be
/// recorded.
pub fn record_case(mut case: Case, seed: u64, seconds: Option<u64>) -> eyre::Result<String> {
    ensure!(
        matches!(case.load, Load::OpenLoop(_)),
        "{} is a closed loop: its arrivals depend on the answers",
        case.name
    );
    if let Some(seconds) = seconds {
        case.seconds = seconds;
        case.warm_seconds = case.warm_seconds.min(seconds / 5);
    }
    let requests = arrivals::generate(&case, seed);
    // This simulation only derives the incidents and is not run.
    let new_router = |_| -> Box<dyn super::router::Router> {
        Box::new(baseline::Baseline::new(baseline::Rule::RoundRobin))
    };
    let incidents = Sim::new(&case, &requests, seed, false, &new_router).incidents();
    let trace = Trace {
        seed,
        case,
        requests,
    };
    Ok(trace::write(&trace, &incidents)?)
}

#[cfg(test)]
mod tests;
