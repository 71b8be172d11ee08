//! Figures of the runs as a table, as JSON and as a plot.

use std::collections::BTreeMap;
use std::fmt::Write as _;

use coord::time::Time;
use hdrhistogram::Histogram;
use serde::Serialize;

use super::arrivals::Request;
use super::case::{Case, Kind};
use super::sim::Track;

/// 50th, 95th and 99th percentile in milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Percentiles {
    pub p50: f64,
    pub p95: f64,
    pub p99: f64,
}

/// Figures of one service.
#[derive(Clone, Debug, Serialize)]
pub struct ServiceRow {
    pub name: &'static str,
    pub goodput_share: f64,
    pub ttft_ms: Percentiles,
    pub itl_ms: Percentiles,
}

/// Figures of one run.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    pub case: String,
    pub policy: String,
    pub seed: u64,
    /// Requests per second that met both targets, and their share of the arrivals.
    pub goodput_per_s: f64,
    pub goodput_share: f64,
    pub wasted_prefill_share: f64,
    pub cached_token_share: f64,
    /// Share of the arrivals whose answer is complete but missed a target.
    pub late_share: f64,
    /// Prefills beyond the first of each request, against the first ones.
    pub repeated_share: f64,
    pub ttft_p95_ms: f64,
    pub itl_p95_ms: f64,
    pub refused: BTreeMap<String, u64>,
    /// Time from the request to its refusal.
    pub refusal_ms: Percentiles,
    pub services: Vec<ServiceRow>,
}

/// Samples of one service or of all.
struct Samples {
    arrived: u64,
    good: u64,
    late: u64,
    ttft: Histogram<u64>,
    itl: Histogram<u64>,
}

impl Samples {
    fn new() -> Self {
        Self {
            arrived: 0,
            good: 0,
            late: 0,
            ttft: histogram(),
            itl: histogram(),
        }
    }

    fn add(&mut self, kind: &Kind, track: &Track) {
        self.arrived += 1;
        let complete = track
            .first
            .zip(track.end)
            .filter(|_| track.refused.is_none());
        let Some((first, end)) = complete else {
            return;
        };
        let ttft = first.since(track.sent);
        let itl = end.since(first) / (track.delivered - 1).max(1);
        self.ttft.saturating_record(ttft.as_micros() as u64);
        self.itl.saturating_record(itl.as_micros() as u64);
        let good = ttft <= kind.ttft && itl <= kind.itl;
        self.good += u64::from(good);
        self.late += u64::from(!good);
    }

    fn share(&self) -> f64 {
        self.good as f64 / self.arrived.max(1) as f64
    }
}

/// Creates a histogram of microseconds up to 10 minutes.
fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(600_000_000, 3).expect("the bounds are valid")
}

fn percentiles(histogram: &Histogram<u64>) -> Percentiles {
    let ms = |q| histogram.value_at_quantile(q) as f64 / 1_000.0;
    Percentiles {
        p50: ms(0.5),
        p95: ms(0.95),
        p99: ms(0.99),
    }
}

/// Adds up one run; requests of the warm-up and callers that left are not counted.
pub fn row(case: &Case, policy: &str, seed: u64, requests: &[Request], tracks: &[Track]) -> Row {
    let warm = Time::from_millis(case.warm * 1_000);
    let end = Time::from_millis(case.seconds * 1_000);
    let mut all = Samples::new();
    let mut services: BTreeMap<(usize, usize), Samples> = BTreeMap::new();
    let mut refused = BTreeMap::new();
    let mut refusals = histogram();
    let (mut prompt, mut cached, mut used, mut wasted) = (0, 0, 0, 0);
    let (mut first, mut prefills) = (0, 0);
    for (request, track) in requests.iter().zip(tracks) {
        if track.sent < warm || track.sent > end {
            continue;
        }
        prompt += track.prompt;
        cached += track.cached;
        used += track.used;
        wasted += track.wasted + track.pending;
        first += u64::from(track.prefills > 0);
        prefills += u64::from(track.prefills);
        if track.gone {
            continue;
        }
        let kind = &case.cells[request.cell].kinds[request.kind];
        all.add(kind, track);
        services
            .entry((request.cell, request.kind))
            .or_insert_with(Samples::new)
            .add(kind, track);
        if let (Some(_), Some(end)) = (track.refused, track.end) {
            let delay = end.since(track.sent).as_micros();
            refusals.saturating_record(delay as u64);
        }
        if let Some(reason) = track.refused {
            *refused.entry(format!("{reason:?}")).or_default() += 1;
        }
    }
    let share = |part: u64, whole: u64| part as f64 / whole.max(1) as f64;
    Row {
        case: case.name.clone(),
        policy: policy.into(),
        seed,
        goodput_per_s: all.good as f64 / (case.seconds - case.warm) as f64,
        goodput_share: all.share(),
        late_share: share(all.late, all.arrived),
        wasted_prefill_share: share(wasted, used + wasted),
        cached_token_share: share(cached, prompt),
        repeated_share: share(prefills.saturating_sub(first), first),
        ttft_p95_ms: percentiles(&all.ttft).p95,
        itl_p95_ms: percentiles(&all.itl).p95,
        refused,
        refusal_ms: percentiles(&refusals),
        services: services
            .iter()
            .map(|(at, s)| service(&case.cells[at.0].kinds[at.1], s))
            .collect(),
    }
}

fn service(kind: &Kind, samples: &Samples) -> ServiceRow {
    ServiceRow {
        name: kind.name,
        goodput_share: samples.share(),
        ttft_ms: percentiles(&samples.ttft),
        itl_ms: percentiles(&samples.itl),
    }
}

/// Returns the rows as a table with one line per run and one per service.
pub fn table(rows: &[Row]) -> String {
    let mut out = String::from(
        "case                          policy           seed  good/s  good%  late%  waste%  cache%  again%  \
         ttft p50/p95/p99 ms    itl p50/p95/p99 ms  refused\n",
    );
    for r in rows {
        let refused: Vec<String> = r.refused.iter().map(|(k, n)| format!("{k}={n}")).collect();
        let _ = writeln!(
            out,
            "{:<29} {:<15} {:>5} {:>7.2} {:>6.2} {:>6.2} {:>7.2} {:>7.2} {:>7.2}  {:>42}  {}",
            r.case,
            r.policy,
            r.seed,
            r.goodput_per_s,
            r.goodput_share * 100.0,
            r.late_share * 100.0,
            r.wasted_prefill_share * 100.0,
            r.cached_token_share * 100.0,
            r.repeated_share * 100.0,
            "",
            refused.join(" "),
        );
        for s in &r.services {
            let triple = |p: &Percentiles, d| format!("{:.d$}/{:.d$}/{:.d$}", p.p50, p.p95, p.p99);
            let _ = writeln!(
                out,
                "  {:<48} {:>7} {:>6.2} {:>30}  {:>21}  {:>19}",
                s.name,
                "",
                s.goodput_share * 100.0,
                "",
                triple(&s.ttft_ms, 0),
                triple(&s.itl_ms, 1),
            );
        }
    }
    out
}

/// Returns the goodput shares as bars in SVG.
pub fn plot(rows: &[Row]) -> String {
    const BAR: usize = 14;
    const LEFT: usize = 330;
    let height = rows.len() * (BAR + 4) + 30;
    let mut out = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"800\" height=\"{height}\" \
         font-family=\"sans-serif\" font-size=\"11\">\n<text x=\"{LEFT}\" y=\"14\">goodput, share \
         of arrivals</text>\n",
    );
    for (index, r) in rows.iter().enumerate() {
        let y = 24 + index * (BAR + 4);
        let width = r.goodput_share * 400.0;
        let colour = if r.policy == "cumindoor" {
            "#2a6"
        } else {
            "#789"
        };
        let _ = writeln!(
            out,
            "<text x=\"4\" y=\"{}\">{} {} ({})</text><rect x=\"{LEFT}\" y=\"{y}\" \
             width=\"{width:.1}\" height=\"{BAR}\" fill=\"{colour}\"/><text x=\"{:.1}\" y=\"{}\">\
             {:.1}%</text>",
            y + 11,
            r.case,
            r.policy,
            r.seed,
            LEFT as f64 + width + 4.0,
            y + 11,
            r.goodput_share * 100.0,
        );
    }
    out.push_str("</svg>\n");
    out
}
