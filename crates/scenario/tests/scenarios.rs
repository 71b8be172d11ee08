//! Runs every scenario in `tests/scenarios` as a separate test.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use libtest_mimic::{Arguments, Failed, Trial};

/// Guards against faults that make the fleet violate a requirement; the scenario names which ones.
fn check(path: &Path) -> Result<(), Failed> {
    let name = path.file_name().unwrap_or_default().to_string_lossy();
    let source = std::fs::read_to_string(path)?;
    let scenario = scenario::parse(&name, &source).map_err(|diagnostics| list(&diagnostics))?;

    let report = scenario::run(&scenario);

    if report.failures.is_empty() {
        return Ok(());
    }
    let trace = report.trace.join("\n");
    Err(format!("{}\n\ntrace:\n{trace}", list(&report.failures)).into())
}

fn list(diagnostics: &[scenario::Diagnostic]) -> String {
    let lines: Vec<String> = diagnostics.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

fn main() -> ExitCode {
    let arguments = Arguments::from_args();
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let files = std::fs::read_dir(root.join("tests/scenarios"));
    let files = files.expect("the folder of scenarios can be read");
    let files = files.map(|file| file.expect("the folder can be listed").path());
    let mut files: Vec<PathBuf> = files
        .filter(|p| p.extension().is_some_and(|e| e == "scn"))
        .collect();
    files.sort();
    let trials = files.into_iter().map(|path| {
        let name = path.file_stem().unwrap_or_default().to_string_lossy();
        let name = name.into_owned();
        Trial::test(name, move || check(&path))
    });
    libtest_mimic::run(&arguments, trials.collect()).exit_code()
}
