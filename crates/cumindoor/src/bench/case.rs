//! Benchmark cases: the engines, the load and the fault of each run.

use std::sync::Arc;
use std::time::Duration;

use coord::sched::{Class, Role, SchedOptions};
use coord::time::Time;
use serde::{Deserialize, Serialize};

use super::fake_engine::{FULL_LOAD_SLOWDOWN, OVERHEAD, PREFILL_INTERFERENCE};

/// Size of the KV cache of one token, as both simulated installations report it.
pub const KV_BYTES_PER_TOKEN: u64 = 70_000;

/// Fault that is injected into a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// No fault is injected.
    None,
    /// The first prefill engine and the first decode engine fail and return after 20 s.
    UpstreamDies,
    /// All engines of the first data centre fail and return after 20 s.
    DataCentreDies,
    /// The VM that owns all cells fails and another VM takes over.
    VmDies,
    /// Load reports arrive 5 s late throughout the run.
    StaleReports,
    /// Half of the cache events are lost and the others arrive 3 s late, throughout the run.
    LostEvents,
}

/// Failure or return of an upstream, a data centre or a VM at a point in time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Incident {
    #[serde(rename = "at_us")]
    pub at: Time,
    pub kind: IncidentKind,
    /// Name of the upstream, data centre or VM that fails or returns.
    pub name: String,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum IncidentKind {
    UpstreamDies,
    UpstreamReturns,
    DataCentreDies,
    DataCentreReturns,
    VmDies,
}

/// The faults with the suffix that each adds to the name of a case.
const FAULTS: [(Fault, &str); 6] = [
    (Fault::None, ""),
    (Fault::UpstreamDies, "/upstream-dies"),
    (Fault::DataCentreDies, "/data-centre-dies"),
    (Fault::VmDies, "/vm-dies"),
    (Fault::StaleReports, "/stale-reports"),
    (Fault::LostEvents, "/lost-events"),
];

/// Requests to one service in one class, with the distribution of their lengths.
#[derive(Clone, Debug)]
pub struct Workload {
    pub name: Arc<str>,
    pub class: Class,
    /// Fraction of the cell's requests that belong to this workload. In a replay this and the
    /// numbers that describe prompts are zero, because the trace lists each request.
    pub share: f64,
    /// Number of distinct shared prefixes.
    pub prefixes: u64,
    /// Length of each shared prefix in tokens.
    pub shared: u32,
    /// Mean length in tokens of the part of the prompt that follows the shared prefix. Lengths
    /// are distributed exponentially and cut at five times the mean.
    pub unique: u32,
    /// Mean length of the answer in tokens, with the same distribution.
    pub output: u32,
    /// Target for the time to first token.
    pub ttft_target: Duration,
    /// Target for the mean inter-token latency of an answer.
    pub itl_target: Duration,
}

/// The engines of one service and the requests to it.
#[derive(Clone, Debug)]
pub struct Cell {
    /// Workloads that the requests to the cell belong to.
    pub mix: Vec<Workload>,
    /// Number of engines by role. The engines are assigned to the data centres in turn.
    pub engines: Vec<(Role, usize)>,
    pub options: SchedOptions,
}

/// Arrival process of the requests.
#[derive(Clone, Copy, Debug)]
pub enum Load {
    /// Open loop: requests arrive at this percentage of the cells' capacity, independently of
    /// the answers.
    OpenLoop(u32),
    /// Closed loop: each of this many callers sends its next request after its answer.
    ClosedLoop(usize),
}

/// Fleet, load and fault of a benchmark run.
#[derive(Clone, Debug)]
pub struct Case {
    pub name: String,
    pub cells: Vec<Cell>,
    /// Names of the data centres.
    pub centres: Vec<Arc<str>>,
    pub load: Load,
    pub fault: Fault,
    /// Incidents that a trace lists; they replace those that follow from `fault`.
    pub incidents: Option<Vec<Incident>>,
    /// Length of the run in seconds.
    pub seconds: u64,
    /// Length in seconds of the warm-up at the beginning of the run, which is not measured.
    pub warm_seconds: u64,
    /// Number of organisations that send requests.
    pub organisations: u64,
    /// Bandwidth of each data centre's outgoing link in bytes per second.
    pub link_rate: f64,
    /// True if all lengths equal their mean, prefixes are chosen uniformly and no caller
    /// cancels, as in the published benchmark that the `paper` cases reproduce.
    pub fixed_lengths: bool,
}

impl Cell {
    /// Returns the number of engines that run prefills.
    pub fn prefill_engines(&self) -> usize {
        let roles = self.engines.iter().filter(|(r, _)| *r != Role::Decode);
        roles.map(|(_, n)| n).sum()
    }

    /// Returns the number of decode slots of all engines together.
    pub fn slots(&self) -> usize {
        let roles = self.engines.iter().filter(|(r, _)| *r != Role::Prefill);
        roles.map(|(_, n)| n * ENGINE_SLOTS as usize).sum()
    }

    /// Returns the requests per second that the engines could serve if every shared prefix were
    /// cached and no engine ever idled.
    pub fn capacity(&self) -> f64 {
        let step = self.options.decode_step.as_secs_f64() * STEP_MEAN * (1.0 + FULL_LOAD_SLOWDOWN);
        let rate = f64::from(self.options.prefill_rate);
        let avg =
            |f: &dyn Fn(&Workload) -> f64| self.mix.iter().map(|k| k.share * f(k)).sum::<f64>();
        let prefill =
            avg(&|k| OVERHEAD.as_secs_f64() + LEN_MEAN * f64::from(k.unique) / rate * PREFILL_MEAN);
        let stream = avg(&|k| LEN_MEAN * f64::from(k.output) * step);
        let engines = self.prefill_engines() as f64;
        let slots = self.slots() as f64;
        if self.engines.iter().any(|(r, _)| *r == Role::Prefill) {
            return (engines / prefill).min(slots / stream);
        }
        // A prefill delays the streams on the same engine:
        // rate * stream = slots * (1 - delay * rate).
        // This is solved for the rate.
        let delay = PREFILL_INTERFERENCE * prefill / engines;
        let shared = slots / stream / (1.0 + delay * slots / stream);
        (engines / prefill).min(shared)
    }
}

/// Mean of the generated lengths relative to the nominal mean: an exponential distribution that
/// is cut at five times its mean has 0.993 of the mean.
const LEN_MEAN: f64 = 0.993;

/// Mean factor on the duration of a decode step, as [`super::arrivals`] generates it.
const STEP_MEAN: f64 = 1.15;

/// Mean factor on the duration of a prefill, as [`super::arrivals`] generates it.
const PREFILL_MEAN: f64 = 1.05;

/// Decode slots of each engine that decodes.
pub const ENGINE_SLOTS: u32 = 20;

fn workload(name: &str, class: Class, prefixes: u64, lengths: [u32; 3]) -> Workload {
    let patient = class == Class::Patient;
    Workload {
        name: name.into(),
        class,
        share: 1.0,
        prefixes,
        shared: lengths[0],
        unique: lengths[1],
        output: lengths[2],
        ttft_target: Duration::from_millis(if patient { 10_000 } else { 1_500 }),
        itl_target: Duration::from_millis(26),
    }
}

fn options(step_ms: u64, link_rate: f64, blocks: usize) -> SchedOptions {
    SchedOptions {
        decode_step: Duration::from_millis(step_ms),
        prefill_rate: 20_000,
        link_rate: link_rate as u64,
        token_bytes: KV_BYTES_PER_TOKEN,
        cache_blocks: blocks,
        ..SchedOptions::default()
    }
}

fn celeste() -> Case {
    let split = vec![(Role::Prefill, 6), (Role::Decode, 3)];
    let reader = workload("logreader", Class::Patient, 40, [6_000, 5_000, 420]);
    let desk = workload("airtime-desk", Class::Interactive, 12, [2_000, 1_000, 150]);
    Case {
        name: "celeste".into(),
        cells: vec![
            cell(vec![reader], split, options(4, 8e9, 400)),
            cell(vec![desk], vec![(Role::Both, 3)], options(4, 8e9, 200)),
        ],
        centres: ["boa-viagem", "suape", "olinda"].map(Arc::from).to_vec(),
        ..default_case(8e9)
    }
}

fn souk() -> Case {
    let large = vec![(Role::Prefill, 6), (Role::Decode, 3)];
    let small = vec![(Role::Prefill, 2), (Role::Decode, 2)];
    let writers = workload("lm-writers", Class::Patient, 40, [6_000, 5_000, 300]);
    let desk = workload("market-desk", Class::Interactive, 12, [2_000, 1_000, 150]);
    Case {
        name: "souk".into(),
        cells: vec![
            cell(vec![writers], large, options(6, 8e9, 400)),
            cell(vec![desk], small, options(6, 4e9, 200)),
        ],
        centres: ["hall-legumes", "hall-fruits", "quai-nord", "depot-froid"]
            .map(Arc::from)
            .to_vec(),
        ..default_case(12e9)
    }
}

/// The scale that the design targets in two years: one cell with 64 engines, both classes and
/// 42,000 organisations.
fn target() -> Case {
    let talk = workload("talk", Class::Interactive, 200, [2_000, 2_500, 480]);
    let batch = workload("batch", Class::Patient, 100, [6_000, 12_000, 480]);
    let workloads = vec![
        Workload { share: 0.7, ..talk },
        Workload {
            share: 0.3,
            ..batch
        },
    ];
    let engines = vec![(Role::Prefill, 24), (Role::Decode, 40)];
    Case {
        name: "target".into(),
        cells: vec![cell(workloads, engines, options(12, 30e9, 600))],
        centres: ["n1", "n2", "n3", "n4", "s1", "s2", "s3", "s4"]
            .map(Arc::from)
            .to_vec(),
        load: Load::OpenLoop(90),
        organisations: 42_000,
        ..default_case(30e9)
    }
}

/// A closed loop with fixed lengths, as in a published benchmark.
fn paper(workers: usize, prefixes: u64, callers: usize) -> Case {
    let chat = workload("paper", Class::Interactive, prefixes, [2_032, 339, 100]);
    let options = SchedOptions {
        block_tokens: 16,
        ..options(10, 8e9, PAPER_CACHE_BLOCKS)
    };
    Case {
        name: format!("paper-{workers}/{prefixes}/{callers}"),
        cells: vec![cell(vec![chat], vec![(Role::Both, workers)], options)],
        centres: ["dc"].map(Arc::from).to_vec(),
        load: Load::ClosedLoop(callers),
        fixed_lengths: true,
        ..default_case(8e9)
    }
}

/// Cache size of an engine in the `paper` cases: 3.95 prefixes of 127 blocks fit.
const PAPER_CACHE_BLOCKS: usize = 501;

fn cell(mix: Vec<Workload>, engines: Vec<(Role, usize)>, options: SchedOptions) -> Cell {
    Cell {
        mix,
        engines,
        options,
    }
}

fn default_case(link_rate: f64) -> Case {
    Case {
        name: String::new(),
        cells: Vec::new(),
        centres: Vec::new(),
        load: Load::OpenLoop(90),
        fault: Fault::None,
        incidents: None,
        seconds: 180,
        warm_seconds: 20,
        organisations: 200,
        link_rate,
        fixed_lengths: false,
    }
}

/// Returns all cases in the order in which `bench policy` runs them.
pub fn all() -> Vec<Case> {
    let mut cases = Vec::new();
    for installation in [celeste(), souk()] {
        for percent in [70, 90, 110] {
            for (fault, suffix) in FAULTS {
                cases.push(Case {
                    name: format!("{}/{percent}{suffix}", installation.name),
                    load: Load::OpenLoop(percent),
                    fault,
                    ..installation.clone()
                });
            }
        }
    }
    for workers in [6, 3] {
        for prefixes in [2, 7, 12, 24] {
            cases.extend([4, 8, 16].map(|callers| paper(workers, prefixes, callers)));
        }
    }
    cases.push(target());
    cases
}
