//! `cumindoor explain`: one request's story from the log lines of all gateways.

use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Read};
use std::path::PathBuf;

use serde_json::{Map, Value};

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
        for line in BufReader::new(input).lines() {
            self.take(source, &line?);
        }
        Ok(())
    }

    fn take(&mut self, source: &str, text: &str) {
        let Some(start) = text.find('{') else { return };
        // Other programs may write to the same log; their lines tell nothing here.
        let Ok(Value::Object(mut fields)) = serde_json::from_str(&text[start..]) else {
            return;
        };
        let event = fields.remove("event").unwrap_or_default();
        let event = event.as_str().unwrap_or_default().to_owned();
        let at = fields.remove("at").and_then(|at| at.as_f64());
        if event == LEFT_OUT {
            let count = fields.get("count").and_then(Value::as_u64).unwrap_or(1);
            self.gaps.push((at.unwrap_or_default(), count));
            return;
        }
        if fields.get("id").and_then(Value::as_str) != Some(&self.id) {
            return;
        }
        fields.remove("id");
        fields.remove("level");
        let prefix = text[..start].split_whitespace().last().unwrap_or(source);
        self.lines.push(Line {
            at: at.unwrap_or_default(),
            source: prefix.to_owned(),
            event,
            fields,
        });
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

/// Reads `files`, or the standard input if there are none.
///
/// # Errors
///
/// Returns an error with the file that cannot be read, or if no line names the request.
pub fn run(id: &str, files: &[PathBuf]) -> eyre::Result<Story> {
    let mut explainer = Explainer::new(id);
    if files.is_empty() {
        explainer.read("-", std::io::stdin())?;
    }
    for path in files {
        let name = path.display().to_string();
        let opened = std::fs::File::open(path);
        let opened = opened.map_err(|error| eyre::eyre!("cannot read {name}: {error}"))?;
        let read = explainer.read(&name, opened);
        read.map_err(|error| eyre::eyre!("cannot read {name}: {error}"))?;
    }
    let story = explainer.finish();
    story.ok_or_else(|| eyre::eyre!("no line names the request {id}"))
}
