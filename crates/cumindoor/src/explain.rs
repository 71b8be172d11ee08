//! `cumindoor explain`: the timeline of one request, or the outcomes of all requests, from the log
//! lines of all gateways.

mod summary;

use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Read};
use std::path::PathBuf;

use serde_json::{Map, Value};

pub use summary::{Outcome, Summary};

/// Event of the log line with which a gateway reports how many lines it has dropped.
const DROPPED_EVENT: &str = "lines left out";

/// Seconds before and after a request within which dropped lines may belong to it. A gateway
/// reports dropped lines within one second.
const DROP_WINDOW_SECS: f64 = 2.0;

/// One log line.
#[derive(Clone, Debug, PartialEq)]
struct LogLine {
    /// Unix seconds.
    at: f64,
    source: String,
    event: String,
    fields: Map<String, Value>,
}

impl LogLine {
    /// Parses a line. The last word before the JSON object, if there is one, replaces `source`.
    /// Returns `None` for lines of other programs, which may write to the same log.
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

    fn text_field(&self, field: &str) -> &str {
        let value = self.fields.get(field).and_then(Value::as_str);
        value.unwrap_or_default()
    }

    /// Returns the number of dropped lines if this line reports them.
    fn dropped_lines(&self) -> Option<u64> {
        let count = self.fields.get("count").and_then(Value::as_u64);
        (self.event == DROPPED_EVENT).then(|| count.unwrap_or(1))
    }
}

/// The log lines of one request in the order of time.
#[derive(Clone, Debug, PartialEq)]
pub struct Timeline {
    lines: Vec<LogLine>,
    /// Number of lines that gateways dropped at about that time, which may belong to the request.
    pub dropped_lines: u64,
}

/// Collects the log lines of one request.
pub struct Explainer {
    id: String,
    lines: Vec<LogLine>,
    drops: Vec<(f64, u64)>,
}

impl Explainer {
    /// Creates a collector for the request `id`.
    #[must_use]
    pub fn new(id: &str) -> Self {
        Self {
            id: id.to_owned(),
            lines: Vec::new(),
            drops: Vec::new(),
        }
    }

    /// Reads the lines of one input. `source` names the input in lines that have no prefix of their
    /// own before the JSON object.
    ///
    /// # Errors
    ///
    /// Returns an error if the input cannot be read.
    pub fn read(&mut self, source: &str, input: impl Read) -> std::io::Result<()> {
        for_each_line(source, input, &mut |line| self.add_line(line))
    }

    fn add_line(&mut self, mut line: LogLine) {
        if let Some(count) = line.dropped_lines() {
            self.drops.push((line.at, count));
        } else if line.id() == Some(&self.id) {
            line.fields.remove("id");
            line.fields.remove("level");
            self.lines.push(line);
        }
    }

    /// Returns the timeline, or `None` if no line names the request.
    #[must_use]
    pub fn finish(mut self) -> Option<Timeline> {
        self.lines.sort_by(|a, b| a.at.total_cmp(&b.at));
        let (first, last) = (self.lines.first()?.at, self.lines.last()?.at);
        let is_near =
            |(at, _): &&(f64, u64)| *at > first - DROP_WINDOW_SECS && *at < last + DROP_WINDOW_SECS;
        let dropped_lines = self
            .drops
            .iter()
            .filter(is_near)
            .map(|(_, count)| count)
            .sum();
        Some(Timeline {
            lines: self.lines,
            dropped_lines,
        })
    }
}

impl std::fmt::Display for Timeline {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let first = self.lines.first().map_or(0.0, |line| line.at);
        for line in &self.lines {
            let mut fields = String::new();
            for (name, value) in &line.fields {
                let value = value
                    .as_str()
                    .map_or_else(|| value.to_string(), str::to_owned);
                let _ = write!(fields, "  {name}={value}");
            }
            let offset_ms = (line.at - first) * 1_000.0;
            writeln!(
                f,
                "{offset_ms:>8.0} ms  {}  {}{fields}",
                line.source, line.event
            )?;
        }
        Ok(())
    }
}

/// Returns the timeline of a request from `files`, or from the standard input if there are none.
///
/// # Errors
///
/// Returns an error with the file that cannot be read, or if no line names the request.
pub fn run(id: &str, files: &[PathBuf]) -> eyre::Result<Timeline> {
    let mut explainer = Explainer::new(id);
    read_all(files, &mut |line| explainer.add_line(line))?;
    let timeline = explainer.finish();
    timeline.ok_or_else(|| eyre::eyre!("no line names the request {id}"))
}

/// Returns the outcomes of all requests from `files`, or from the standard input if there are none.
///
/// # Errors
///
/// Returns an error with the file that cannot be read, or if no line names a request.
pub fn summary(files: &[PathBuf]) -> eyre::Result<Summary> {
    let mut summary = Summary::default();
    read_all(files, &mut |line| summary.add_line(&line))?;
    if summary.is_empty() {
        eyre::bail!("no line names a request");
    }
    Ok(summary)
}

fn read_all(files: &[PathBuf], on_line: &mut dyn FnMut(LogLine)) -> eyre::Result<()> {
    if files.is_empty() {
        for_each_line("-", std::io::stdin(), on_line)?;
    }
    for path in files {
        let name = path.display().to_string();
        let read_error = |error| eyre::eyre!("cannot read {name}: {error}");
        let opened = std::fs::File::open(path).map_err(read_error)?;
        for_each_line(&name, opened, on_line).map_err(read_error)?;
    }
    Ok(())
}

fn for_each_line(
    source: &str,
    input: impl Read,
    on_line: &mut dyn FnMut(LogLine),
) -> std::io::Result<()> {
    for line in BufReader::new(input).lines() {
        if let Some(line) = LogLine::parse(source, &line?) {
            on_line(line);
        }
    }
    Ok(())
}
