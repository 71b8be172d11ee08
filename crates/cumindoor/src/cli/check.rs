//! `cumindoor check`: checks settings and documents.

use std::fmt::Write as _;
use std::fs::File;
use std::io::{self, Read};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use crate::check::{Source, check, effective_values};
use crate::ini::MAX_FILE_BYTES;

/// Exit status if a file has findings.
const EXIT_FINDINGS: u8 = 1;

/// Exit status if a file cannot be read, which takes precedence over findings.
const EXIT_UNREADABLE: u8 = 2;

/// Checks `files` and prints the findings; with `print`, also the effective values.
pub(super) fn run(files: &[PathBuf], print: bool) -> ExitCode {
    let mut sources = Vec::new();
    let mut unreadable = false;
    for path in files {
        match read_source(path) {
            Ok(source) => sources.push(source),
            Err(error) => {
                unreadable = true;
                eprintln!("error: cannot read {}: {error}", path.display());
            }
        }
    }
    let findings = check(&sources);
    let mut text = String::new();
    for finding in &findings {
        let _ = writeln!(text, "{finding}");
    }
    if print {
        text.extend(sources.iter().filter_map(effective_values));
    }
    super::write_stdout(&text);
    if unreadable {
        ExitCode::from(EXIT_UNREADABLE)
    } else if findings.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(EXIT_FINDINGS)
    }
}

/// Reads at most one byte more than the limit, so that an endless file cannot block the check.
fn read_source(path: &Path) -> io::Result<Source> {
    let input: Box<dyn Read> = if path == Path::new("-") {
        Box::new(io::stdin())
    } else {
        Box::new(File::open(path)?)
    };
    let mut bytes = Vec::new();
    input
        .take(MAX_FILE_BYTES as u64 + 1)
        .read_to_end(&mut bytes)?;
    Ok(Source {
        file: path.display().to_string(),
        bytes,
    })
}
