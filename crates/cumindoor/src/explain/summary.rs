//! Counts the outcomes of all requests, by reason and by second.

use std::collections::BTreeMap;
use std::fmt::{self, Write as _};

use derive_more::Display;

use super::LogLine;

/// Number of rows in the table of the seconds with the most requests that were not served.
const MAX_WORST_ROWS: usize = 5;

/// Width of one second in the plot.
const COLUMN_PX: usize = 14;

/// Height of the bars in the plot.
const HEIGHT_PX: usize = 200;

/// How one request ended.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// The request was answered successfully, and its stream, if any, was complete.
    #[display("served")]
    Served,
    /// The upstream answered with this status other than 2xx, which was passed on to the caller. It
    /// is 0 if the log line has no status.
    #[display("upstream answered {_0}")]
    UpstreamFailed(u64),
    /// The gateway refused the request for this reason.
    #[display("refused: {_0}")]
    Refused(String),
    /// The stream ended before it was complete, for this reason.
    #[display("cut: {_0}")]
    StreamCut(String),
    /// The caller disconnected before the answer was complete.
    #[display("caller left")]
    CallerLeft,
    /// No line reports the end of the request, for example because its gateway crashed.
    #[display("no end logged")]
    Unfinished,
}

/// Outcomes of all requests in a log.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    /// Time and outcome of each request by id. The time of an unfinished request is that of its
    /// first line.
    requests: BTreeMap<String, (f64, Outcome)>,
    /// Number of lines that gateways dropped.
    dropped_lines: u64,
}

/// Number of requests in one second, by the time of their outcome; unfinished requests count at
/// their first line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct SecondCounts {
    served: usize,
    unserved: usize,
}

impl Summary {
    /// Reads the lines of one input, which `source` names.
    ///
    /// # Errors
    ///
    /// Returns an error if the input cannot be read.
    pub fn read(&mut self, source: &str, input: impl std::io::Read) -> std::io::Result<()> {
        super::for_each_line(source, input, &mut |line| self.add_line(&line))
    }

    pub(super) fn add_line(&mut self, line: &LogLine) {
        self.dropped_lines += line.dropped_lines().unwrap_or_default();
        let Some(id) = line.id().filter(|id| !id.is_empty()) else {
            return;
        };
        let status = line
            .fields
            .get("status")
            .and_then(serde_json::Value::as_u64);
        let outcome = match line.event.as_str() {
            "request answered" | "engine failure passed on" => match status.unwrap_or_default() {
                200..300 => Outcome::Served,
                status => Outcome::UpstreamFailed(status),
            },
            "stream complete" => Outcome::Served,
            "request refused" => Outcome::Refused(line.text_field("reason").to_owned()),
            "stream cut" => Outcome::StreamCut(line.text_field("reason").to_owned()),
            "caller left" => Outcome::CallerLeft,
            _ => Outcome::Unfinished,
        };
        let entry = self.requests.entry(id.to_owned());
        let entry = entry.or_insert((line.at, Outcome::Unfinished));
        if outcome != Outcome::Unfinished {
            *entry = (line.at, outcome);
        }
    }

    /// Returns true if no line named a request.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns the number of requests by outcome.
    #[must_use]
    pub fn outcomes(&self) -> BTreeMap<&Outcome, usize> {
        let mut counts = BTreeMap::new();
        for (_, outcome) in self.requests.values() {
            *counts.entry(outcome).or_default() += 1;
        }
        counts
    }

    /// Returns the number of requests in each second after the earliest recorded time.
    fn seconds(&self) -> BTreeMap<u64, SecondCounts> {
        let ends = || self.requests.values();
        let first = ends().map(|(at, _)| *at).fold(f64::INFINITY, f64::min);
        let mut seconds: BTreeMap<u64, SecondCounts> = BTreeMap::new();
        for (at, outcome) in ends() {
            let second = seconds.entry(whole_seconds(at - first)).or_default();
            if *outcome == Outcome::Served {
                second.served += 1;
            } else {
                second.unserved += 1;
            }
        }
        seconds
    }

    /// Returns a bar chart in SVG of the requests in each second. Served requests are at the bottom
    /// of each bar, and all others are on top.
    #[must_use]
    pub fn plot(&self) -> String {
        let seconds = self.seconds();
        let max_count = seconds.values().map(|s| s.served + s.unserved).max();
        let max_count = max_count.unwrap_or_default().max(1);
        let last = seconds.keys().last().copied().unwrap_or_default();
        let column = |second: u64| usize::try_from(second).unwrap_or_default() * COLUMN_PX;
        let (width, height) = (column(last + 1) + 80, HEIGHT_PX + 40);
        let mut out = format!(
            "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{width}\" height=\"{height}\" \
             font-family=\"sans-serif\" font-size=\"11\">\n<text x=\"4\" y=\"14\">requests ended a \
             second, most {max_count}: served (green), others (red)</text>\n",
        );
        let mut bar = |second: u64, below: usize, count: usize, colour: &str| {
            let (bar_height, base) = (count * HEIGHT_PX / max_count, below * HEIGHT_PX / max_count);
            let (x, y) = (column(second) + 40, 20 + HEIGHT_PX - base - bar_height);
            let _ = writeln!(
                out,
                "<rect x=\"{x}\" y=\"{y}\" width=\"{}\" height=\"{bar_height}\" fill=\"{colour}\"/>",
                COLUMN_PX - 2
            );
        };
        for (second, ended) in &seconds {
            bar(*second, 0, ended.served, "#2a6");
            bar(*second, ended.served, ended.unserved, "#c33");
        }
        for second in (0..=last).step_by(5) {
            let (x, y) = (column(second) + 40, HEIGHT_PX + 34);
            let _ = writeln!(out, "<text x=\"{x}\" y=\"{y}\">{second}</text>");
        }
        out.push_str("</svg>\n");
        out
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (outcome, count) in self.outcomes() {
            writeln!(f, "{count:>8}  {outcome}")?;
        }
        writeln!(
            f,
            "worst seconds, counted from the first request that ended:"
        )?;
        let mut seconds: Vec<(u64, SecondCounts)> = self.seconds().into_iter().collect();
        seconds.sort_by_key(|(second, ended)| (std::cmp::Reverse(ended.unserved), *second));
        for (second, ended) in seconds.iter().take(MAX_WORST_ROWS) {
            let (served, unserved) = (ended.served, ended.unserved);
            writeln!(f, "{second:>8} s  {served} served, {unserved} not")?;
        }
        if self.dropped_lines > 0 {
            writeln!(f, "{} lines were left out", self.dropped_lines)?;
        }
        Ok(())
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "seconds of a log, not negative"
)]
fn whole_seconds(seconds: f64) -> u64 {
    seconds as u64
}
