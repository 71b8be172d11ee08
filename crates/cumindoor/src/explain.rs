//! `cumindoor explain`: one request's story, or the outcomes of all, from the log lines of all
//! gateways.

mod summary;

use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Read};
use std::path::PathBuf;

use serde_json::{Map, Value};

pub use summary::{Outcome, Summary};

/// The event that says how many lines were not written.
const LEFT_OUT: &str = "lines left out";
/// How long before and after a request lines that were left out may belong to it, in seconds: the
/// notice follows within a second.
const NEAR: f64 = 2.0;

/// One log line.
#[derive(Clone, Debug, PartialEq)]
struct Line {
    /// Unix seconds.
    at: f64,
    source: String,
    event: String,
    fields: Map<String, Value>,
}

impl Line {
    /// Reads a line; what stands before the object is kept as its source. Returns `None` for lines
    /// of other programs, which may write to the same log.
    fn parse(source: &str, text: &str) -> Option<Self> {
        let start = text.find('{')?;
        let Ok(Value::Object(mut fields)) = serde_json::from_str(&text[start..]) else {
            return None;
        };
        let event = fields.remove("event").unwrap_or_default();
        let at = fields.remove("at").and_then(|at| at.as_f64());
        let prefix = text[..start].split_whitespace().last().unwrap_or(source);
        Some(Self {
            at: at.unwrap_or_default(),
            source: prefix.to_owned(),
            event: event.as_str().unwrap_or_default().to_owned(),
            fields,
        })
    }

    fn id(&self) -> Option<&str> {
        self.fields.get("id").and_then(Value::as_str)
    }

    fn text(&self, field: &str) -> &str {
        let value = self.fields.get(field).and_then(Value::as_str);
        value.unwrap_or_default()
    }

    /// Returns how many lines were left out before, if the line says so.
    fn left_out(&self) -> Option<u64> {
        let count = self.fields.get("count").and_then(Value::as_u64);
        (self.event == LEFT_OUT).then(|| count.unwrap_or(1))
    }
}

/// The story of one request.
#[derive(Clone, Debug, PartialEq)]
pub struct Story {
    lines: Vec<Line>,
    /// Lines that were left out by the gateways at about that time.
    pub left_out: u64,
}

/// Collects the lines of one request.
pub struct Explainer {
    id: String,
    lines: Vec<Line>,
    gaps: Vec<(f64, u64)>,
}

impl Explainer {
    /// Begins for the request `id`.
    #[must_use]
    pub fn new(id: &str) -> Self {
        Self {
            id: id.to_owned(),
            lines: Vec::new(),
            gaps: Vec::new(),
        }
    }

    /// Reads the lines of one source; what stands before the object in a line is kept as its source.
    ///
    /// # Errors
    ///
    /// Returns the error of the input.
    pub fn read(&mut self, source: &str, input: impl Read) -> std::io::Result<()> {
        each_line(source, input, &mut |line| self.take(line))
    }

    fn take(&mut self, mut line: Line) {
        if let Some(count) = line.left_out() {
            self.gaps.push((line.at, count));
        } else if line.id() == Some(&self.id) {
            line.fields.remove("id");
            line.fields.remove("level");
            self.lines.push(line);
        }
    }

    /// Returns the story, or `None` if no line names the request.
    #[must_use]
    pub fn finish(mut self) -> Option<Story> {
        self.lines.sort_by(|a, b| a.at.total_cmp(&b.at));
        let (first, last) = (self.lines.first()?.at, self.lines.last()?.at);
        let near = |(at, _): &&(f64, u64)| *at > first - NEAR && *at < last + NEAR;
        let left_out = self.gaps.iter().filter(near).map(|(_, count)| count).sum();
        Some(Story {
            lines: self.lines,
            left_out,
        })
    }
}

impl std::fmt::Display for Story {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let first = self.lines.first().map_or(0.0, |line| line.at);
        for line in &self.lines {
            let mut fields = String::new();
            for (name, value) in &line.fields {
                let text = value
                    .as_str()
                    .map_or_else(|| value.to_string(), str::to_owned);
                let _ = write!(fields, "  {name}={text}");
            }
            let after = (line.at - first) * 1_000.0;
            writeln!(
                f,
                "{after:>8.0} ms  {}  {}{fields}",
                line.source, line.event
            )?;
        }
        Ok(())
    }
}

/// Returns the story of a request in `files`, or in the standard input if there are none.
///
/// # Errors
///
/// Returns an error with the file that cannot be read, or if no line names the request.
pub fn run(id: &str, files: &[PathBuf]) -> eyre::Result<Story> {
    let mut explainer = Explainer::new(id);
    read_all(files, &mut |line| explainer.take(line))?;
    let story = explainer.finish();
    story.ok_or_else(|| eyre::eyre!("no line names the request {id}"))
}

/// Returns the outcomes of all requests in `files`, or in the standard input if there are none.
///
/// # Errors
///
/// Returns an error with the file that cannot be read, or if no line names a request.
pub fn summary(files: &[PathBuf]) -> eyre::Result<Summary> {
    let mut summary = Summary::default();
    read_all(files, &mut |line| summary.take(&line))?;
    if summary.is_empty() {
        eyre::bail!("no line names a request");
    }
    Ok(summary)
}

fn read_all(files: &[PathBuf], take: &mut dyn FnMut(Line)) -> eyre::Result<()> {
    if files.is_empty() {
        each_line("-", std::io::stdin(), take)?;
    }
    for path in files {
        let name = path.display().to_string();
        let failed = |error| eyre::eyre!("cannot read {name}: {error}");
        let opened = std::fs::File::open(path).map_err(failed)?;
        each_line(&name, opened, take).map_err(failed)?;
    }
    Ok(())
}

fn each_line(source: &str, input: impl Read, take: &mut dyn FnMut(Line)) -> std::io::Result<()> {
    for line in BufReader::new(input).lines() {
        if let Some(line) = Line::parse(source, &line?) {
            take(line);
        }
    }
    Ok(())
}
