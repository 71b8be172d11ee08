//! The outcomes of all requests, by reason and by second.

use std::collections::BTreeMap;
use std::fmt::{self, Write as _};

use derive_more::Display;

use super::Line;

/// Seconds in the table of the worst ones.
const WORST: usize = 5;
/// Pixels of the plot for one second, and of its height.
const COLUMN: usize = 14;
const HEIGHT: usize = 200;

/// How one request ended.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// It was answered with success, a stream to its end.
    #[display("served")]
    Served,
    /// An upstream's own failure was passed on, with its status.
    #[display("upstream answered {_0}")]
    Failed(u64),
    /// The gateway refused it, for this reason.
    #[display("refused: {_0}")]
    Refused(String),
    /// Its stream was cut, for this reason.
    #[display("cut: {_0}")]
    Cut(String),
    /// Its caller left before the answer was complete.
    #[display("caller left")]
    Left,
    /// No line tells its end: its gateway died.
    #[display("no end logged")]
    Open,
}

/// What the lines say about all requests.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    /// The last instant and outcome of each request.
    requests: BTreeMap<String, (f64, Outcome)>,
    /// Lines that were left out.
    left_out: u64,
}

/// One second of a summary.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Second {
    served: usize,
    others: usize,
}

impl Summary {
    /// Reads the lines of one source.
    ///
    /// # Errors
    ///
    /// Returns the error of the input.
    pub fn read(&mut self, source: &str, input: impl std::io::Read) -> std::io::Result<()> {
        super::each_line(source, input, &mut |line| self.take(&line))
    }

    pub(super) fn take(&mut self, line: &Line) {
        self.left_out += line.left_out().unwrap_or_default();
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
                status => Outcome::Failed(status),
            },
            "stream complete" => Outcome::Served,
            "request refused" => Outcome::Refused(line.text("reason").to_owned()),
            "stream cut" => Outcome::Cut(line.text("reason").to_owned()),
            "caller left" => Outcome::Left,
            _ => Outcome::Open,
        };
        let known = self.requests.entry(id.to_owned());
        let known = known.or_insert((line.at, Outcome::Open));
        if outcome != Outcome::Open {
            *known = (line.at, outcome);
        }
    }

    /// Returns whether no line named a request.
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

    /// Returns what ended in each second since the first end.
    fn seconds(&self) -> BTreeMap<u64, Second> {
        let ends = || self.requests.values();
        let first = ends().map(|(at, _)| *at).fold(f64::INFINITY, f64::min);
        let mut seconds: BTreeMap<u64, Second> = BTreeMap::new();
        for (at, outcome) in ends() {
            let second = seconds.entry(whole(at - first)).or_default();
            if *outcome == Outcome::Served {
                second.served += 1;
            } else {
                second.others += 1;
            }
        }
        seconds
    }

    /// Returns a plot of the requests that ended in each second, in SVG: served ones below, the
    /// others above.
    #[must_use]
    pub fn plot(&self) -> String {
        let seconds = self.seconds();
        let most = seconds.values().map(|s| s.served + s.others).max();
        let most = most.unwrap_or_default().max(1);
        let last = seconds.keys().last().copied().unwrap_or_default();
        let column = |second: u64| usize::try_from(second).unwrap_or_default() * COLUMN;
        let (width, height) = (column(last + 1) + 80, HEIGHT + 40);
        let mut out = format!(
            "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{width}\" height=\"{height}\" \
             font-family=\"sans-serif\" font-size=\"11\">\n<text x=\"4\" y=\"14\">requests ended a \
             second, most {most}: served (green), others (red)</text>\n",
        );
        let mut bar = |second: u64, below: usize, count: usize, colour: &str| {
            let (tall, base) = (count * HEIGHT / most, below * HEIGHT / most);
            let (x, y) = (column(second) + 40, 20 + HEIGHT - base - tall);
            let _ = writeln!(
                out,
                "<rect x=\"{x}\" y=\"{y}\" width=\"{}\" height=\"{tall}\" fill=\"{colour}\"/>",
                COLUMN - 2
            );
        };
        for (second, ended) in &seconds {
            bar(*second, 0, ended.served, "#2a6");
            bar(*second, ended.served, ended.others, "#c33");
        }
        for second in (0..=last).step_by(5) {
            let (x, y) = (column(second) + 40, HEIGHT + 34);
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
        let mut seconds: Vec<(u64, Second)> = self.seconds().into_iter().collect();
        seconds.sort_by_key(|(second, ended)| (std::cmp::Reverse(ended.others), *second));
        for (second, ended) in seconds.iter().take(WORST) {
            let (served, others) = (ended.served, ended.others);
            writeln!(f, "{second:>8} s  {served} served, {others} not")?;
        }
        if self.left_out > 0 {
            writeln!(f, "{} lines were left out", self.left_out)?;
        }
        Ok(())
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "seconds of a log, not negative"
)]
fn whole(seconds: f64) -> u64 {
    seconds as u64
}
