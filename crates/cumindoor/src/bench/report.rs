//! Results of the runs as a table, as JSON and as a plot.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::sync::Arc;

use coord::time::Time;
use hdrhistogram::Histogram;
use serde::Serialize;

use super::arrivals::Request;
use super::case::{Case, Workload};
use super::sim::RequestRecord;

/// Percentiles of a duration in milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Percentiles {
    pub p50: f64,
    pub p95: f64,
    pub p99: f64,
}

/// Results of one service in one class.
#[derive(Clone, Debug, Serialize)]
pub struct ServiceRow {
    pub name: Arc<str>,
    pub goodput_share: f64,
    pub ttft_ms: Percentiles,
    pub itl_ms: Percentiles,
}

/// Results of one run.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    pub case: String,
    pub policy: String,
    pub seed: u64,
    /// Requests per second that met both latency targets.
    pub goodput_per_s: f64,
    /// Share of the arrivals that met both latency targets.
    pub goodput_share: f64,
    /// Number of complete answers.
    pub answered: u64,
    /// Number of requests without a complete answer or a refusal.
    pub lost: u64,
    /// Share of the computed prompt tokens whose result was never used.
    pub wasted_prefill_share: f64,
    /// Share of the prompt tokens of finished prefills that were found in the prefix cache.
    pub cached_token_share: f64,
    /// Share of the arrivals with a complete answer that missed a latency target.
    pub late_share: f64,
    /// Number of repeated prefills relative to the number of requests with a prefill.
    pub repeated_share: f64,
    pub ttft_p95_ms: f64,
    pub itl_p95_ms: f64,
    pub refused: BTreeMap<String, u64>,
    /// Time from the request to its refusal.
    pub refusal_ms: Percentiles,
    pub services: Vec<ServiceRow>,
}

/// Counters and histograms of one service, or of all services.
struct Samples {
    arrivals: u64,
    good: u64,
    late: u64,
    ttft: Histogram<u64>,
    itl: Histogram<u64>,
}

impl Samples {
    fn new() -> Self {
        Self {
            arrivals: 0,
            good: 0,
            late: 0,
            ttft: histogram(),
            itl: histogram(),
        }
    }

    fn add(&mut self, workload: &Workload, record: &RequestRecord) {
        self.arrivals += 1;
        let complete = record
            .first_token
            .zip(record.end)
            .filter(|_| record.refused.is_none());
        let Some((first, end)) = complete else {
            return;
        };
        let ttft = first.since(record.sent);
        let itl = end.since(first) / (record.delivered_tokens - 1).max(1);
        self.ttft.saturating_record(ttft.as_micros() as u64);
        self.itl.saturating_record(itl.as_micros() as u64);
        let good = ttft <= workload.ttft_target && itl <= workload.itl_target;
        self.good += u64::from(good);
        self.late += u64::from(!good);
    }

    fn goodput_share(&self) -> f64 {
        self.good as f64 / self.arrivals.max(1) as f64
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

/// Summarises one run. Requests that were sent outside the measured time are left out, and
/// abandoned requests count only towards the shares of prompt tokens and prefills.
pub fn row(
    case: &Case,
    policy: &str,
    seed: u64,
    requests: &[Request],
    records: &[RequestRecord],
) -> Row {
    let warmup_end = Time::from_millis(case.warm_seconds * 1_000);
    let end = Time::from_millis(case.seconds * 1_000);
    let mut all = Samples::new();
    let mut services: BTreeMap<(usize, usize), Samples> = BTreeMap::new();
    let mut refused = BTreeMap::new();
    let mut refusals = histogram();
    let (mut prompt, mut cached, mut used, mut wasted) = (0, 0, 0, 0);
    let (mut first_prefills, mut prefills) = (0, 0);
    for (request, record) in requests.iter().zip(records) {
        if record.sent < warmup_end || record.sent > end {
            continue;
        }
        prompt += record.prompt_tokens;
        cached += record.cached_tokens;
        used += record.used_tokens;
        wasted += record.wasted_tokens + record.pending_tokens;
        first_prefills += u64::from(record.prefills > 0);
        prefills += u64::from(record.prefills);
        if record.abandoned {
            continue;
        }
        let workload = &case.cells[request.cell].mix[request.workload];
        all.add(workload, record);
        services
            .entry((request.cell, request.workload))
            .or_insert_with(Samples::new)
            .add(workload, record);
        if let (Some(_), Some(end)) = (record.refused, record.end) {
            let delay = end.since(record.sent).as_micros();
            refusals.saturating_record(delay as u64);
        }
        if let Some(reason) = record.refused {
            *refused.entry(format!("{reason:?}")).or_default() += 1;
        }
    }
    let share = |part: u64, whole: u64| part as f64 / whole.max(1) as f64;
    Row {
        case: case.name.clone(),
        policy: policy.into(),
        seed,
        goodput_per_s: all.good as f64 / (case.seconds - case.warm_seconds) as f64,
        goodput_share: all.goodput_share(),
        answered: all.good + all.late,
        lost: all.arrivals - all.good - all.late - refused.values().sum::<u64>(),
        late_share: share(all.late, all.arrivals),
        wasted_prefill_share: share(wasted, used + wasted),
        cached_token_share: share(cached, prompt),
        repeated_share: share(prefills.saturating_sub(first_prefills), first_prefills),
        ttft_p95_ms: percentiles(&all.ttft).p95,
        itl_p95_ms: percentiles(&all.itl).p95,
        refused,
        refusal_ms: percentiles(&refusals),
        services: services
            .iter()
            .map(|(at, s)| service(&case.cells[at.0].mix[at.1], s))
            .collect(),
    }
}

fn service(workload: &Workload, samples: &Samples) -> ServiceRow {
    ServiceRow {
        name: workload.name.clone(),
        goodput_share: samples.goodput_share(),
        ttft_ms: percentiles(&samples.ttft),
        itl_ms: percentiles(&samples.itl),
    }
}

/// Returns a table with one line for each run and one for each of its services.
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
            let format_percentiles =
                |p: &Percentiles, d| format!("{:.d$}/{:.d$}/{:.d$}", p.p50, p.p95, p.p99);
            let _ = writeln!(
                out,
                "  {:<48} {:>7} {:>6.2} {:>30}  {:>21}  {:>19}",
                s.name,
                "",
                s.goodput_share * 100.0,
                "",
                format_percentiles(&s.ttft_ms, 0),
                format_percentiles(&s.itl_ms, 1),
            );
        }
    }
    out
}

/// Returns a bar chart of the goodput shares in SVG.
pub fn plot(rows: &[Row]) -> String {
    const BAR_HEIGHT_PX: usize = 14;
    const LABEL_WIDTH_PX: usize = 330;
    let height = rows.len() * (BAR_HEIGHT_PX + 4) + 30;
    let mut out = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"800\" height=\"{height}\" \
         font-family=\"sans-serif\" font-size=\"11\">\n\
         <text x=\"{LABEL_WIDTH_PX}\" y=\"14\">goodput, share of arrivals</text>\n",
    );
    for (index, r) in rows.iter().enumerate() {
        let y = 24 + index * (BAR_HEIGHT_PX + 4);
        let width = r.goodput_share * 400.0;
        let colour = if r.policy == "cumindoor" {
            "#2a6"
        } else {
            "#789"
        };
        let _ = writeln!(
            out,
            "<text x=\"4\" y=\"{}\">{} {} ({})</text>\
             <rect x=\"{LABEL_WIDTH_PX}\" y=\"{y}\" width=\"{width:.1}\" \
             height=\"{BAR_HEIGHT_PX}\" fill=\"{colour}\"/>\
             <text x=\"{:.1}\" y=\"{}\">{:.1}%</text>",
            y + 11,
            r.case,
            r.policy,
            r.seed,
            LABEL_WIDTH_PX as f64 + width + 4.0,
            y + 11,
            r.goodput_share * 100.0,
        );
    }
    out.push_str("</svg>\n");
    out
}
