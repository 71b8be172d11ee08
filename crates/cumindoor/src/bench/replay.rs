//! `cumindoor replay` and `bench policy --record`.

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
use super::{Format, Policy, PolicyArgs, baseline, cases, one_run};
use crate::ini::Finding;

/// Bytes of a trace or of an expectations file at most.
const FILE_LIMIT: u64 = 256_000_000;

/// Exit status with differences or findings.
const FINDINGS: u8 = 1;

/// Exit status if a file cannot be read or the usage is wrong.
const USAGE: u8 = 2;

/// Arguments of `cumindoor replay`.
#[derive(Args, Clone, Debug)]
pub struct ReplayArgs {
    /// The trace, as `bench policy --record` writes it.
    trace: PathBuf,
    /// Stated outcomes.
    #[arg(long, value_name = "FILE")]
    expect: PathBuf,
    /// The policy.
    #[arg(long, value_enum, default_value_t = Policy::Cumindoor)]
    policy: Policy,
    /// Seed of the scheduler and of lost cache events; the trace's seed if absent.
    #[arg(long)]
    seed: Option<u64>,
    #[arg(long, value_enum, default_value_t = Format::Table)]
    format: Format,
}

/// Replays a trace, prints its figures and the differences from the stated outcomes.
#[must_use]
pub fn run(args: &ReplayArgs) -> ExitCode {
    if args.policy == Policy::Bound {
        eprintln!("error: a trace does not say how prefixes are drawn, which `bound` needs");
        return ExitCode::from(USAGE);
    }
    let (trace, expect) = match (read(&args.trace), read(&args.expect)) {
        (Ok(trace), Ok(expect)) => (trace, expect),
        (trace, expect) => {
            for error in [trace.err(), expect.err()].into_iter().flatten() {
                eprintln!("error: {error}");
            }
            return ExitCode::from(USAGE);
        }
    };
    let names = (
        args.trace.display().to_string(),
        args.expect.display().to_string(),
    );
    let (row, differences) = match compare(args, (&names.0, &trace), (&names.1, &expect)) {
        Ok(result) => result,
        Err(findings) => return finish(&findings),
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
        return ExitCode::from(FINDINGS);
    }
    finish(&differences)
}

/// Runs the trace; the findings of both files are returned together.
fn compare(
    args: &ReplayArgs,
    trace: (&str, &str),
    expect: (&str, &str),
) -> Result<(Row, Vec<Finding>), Vec<Finding>> {
    let trace = trace::parse(trace.0, trace.1);
    let kinds = trace
        .iter()
        .flat_map(|t| &t.case.cells)
        .flat_map(|c| &c.kinds);
    let services: Vec<String> = kinds.map(|k| k.name.to_string()).collect();
    let known = trace.is_ok().then_some(services.as_slice());
    let expect = Expectations::parse(expect.0, expect.1, known);
    let (trace, expect) = match (trace, expect) {
        (Ok(trace), Ok(expect)) => (trace, expect),
        (trace, expect) => {
            let found = [trace.err(), expect.err()].into_iter().flatten();
            return Err(found.flatten().collect());
        }
    };
    let row = figures(&trace, args.policy, args.seed.unwrap_or(trace.seed));
    let differences = expect.differences(&row);
    Ok((row, differences))
}

/// Runs a policy over the trace.
pub fn figures(trace: &Trace, policy: Policy, seed: u64) -> Row {
    one_run(&trace.case, policy, seed, &trace.requests)
}

fn finish(findings: &[Finding]) -> ExitCode {
    for finding in findings {
        println!("{finding}");
    }
    if findings.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(FINDINGS)
    }
}

/// Reads a text file of at most [`FILE_LIMIT`] bytes, so that an endless file ends too.
fn read(path: &Path) -> Result<String, String> {
    let read = || -> io::Result<String> {
        let mut bytes = Vec::new();
        File::open(path)?
            .take(FILE_LIMIT + 1)
            .read_to_end(&mut bytes)?;
        if bytes.len() as u64 > FILE_LIMIT {
            let text = format!("expected at most {FILE_LIMIT} bytes");
            return Err(io::Error::other(text));
        }
        String::from_utf8(bytes).map_err(io::Error::other)
    };
    read().map_err(|error| format!("cannot read {}: {error}", path.display()))
}

/// Writes the one case that `args` name as a trace.
pub(super) fn record(args: &PolicyArgs, file: &Path) -> eyre::Result<()> {
    let mut cases = cases(&args.case)?;
    ensure!(
        cases.len() == 1,
        "--record needs one case; \"{}\" names {}",
        args.case,
        cases.len()
    );
    let text = recording(cases.swap_remove(0), args.seed, args.seconds)?;
    std::fs::write(file, text).wrap_err_with(|| format!("cannot write {}", file.display()))
}

/// Returns the trace of a case, shortened to `seconds` if they are given.
pub fn recording(mut case: Case, seed: u64, seconds: Option<u64>) -> eyre::Result<String> {
    ensure!(
        matches!(case.load, Load::Open(_)),
        "{} is a closed loop: its arrivals depend on the answers",
        case.name
    );
    if let Some(seconds) = seconds {
        case.seconds = seconds;
        case.warm = case.warm.min(seconds / 5);
    }
    let requests = arrivals::draw(&case, seed);
    // The driver derives the incidents; this instance is not run.
    let idle = |_| -> Box<dyn super::router::Router> {
        Box::new(baseline::Baseline::new(baseline::Rule::RoundRobin))
    };
    let incidents = Sim::new(&case, &requests, seed, false, &idle).incidents();
    let trace = Trace {
        seed,
        case,
        requests,
    };
    Ok(trace::write(&trace, &incidents)?)
}

#[cfg(test)]
mod tests;
