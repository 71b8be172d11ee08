//! The cases of the benchmark: fleets, loads and faults.

use std::sync::Arc;
use std::time::Duration;

use coord::sched::{Class, Role, SchedOptions};
use coord::time::Time;
use serde::{Deserialize, Serialize};

use super::fake::{CROWDING, DISTURBANCE, OVERHEAD};

/// Bytes of KV cache of one token, as both users report it.
pub const TOKEN_BYTES: u64 = 70_000;

/// A fault in the middle of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// Nothing fails.
    None,
    /// A prefill and a decode engine of the first service die and return after 20 s.
    UpstreamDies,
    /// All engines of the first data centre die and return after 20 s.
    DataCentreDies,
    /// The VM that owns all cells dies.
    VmDies,
    /// Load reports are 5 s old.
    StaleReports,
    /// Half of the cache events are lost; the others are 3 s late.
    LostEvents,
}

/// Something that dies or returns at an instant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Incident {
    #[serde(rename = "at_us")]
    pub at: Time,
    pub kind: IncidentKind,
    /// Name of the upstream, data centre or VM.
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

/// The faults with the end of a case's name.
const FAULTS: [(Fault, &str); 6] = [
    (Fault::None, ""),
    (Fault::UpstreamDies, "/upstream-dies"),
    (Fault::DataCentreDies, "/data-centre-dies"),
    (Fault::VmDies, "/vm-dies"),
    (Fault::StaleReports, "/stale-reports"),
    (Fault::LostEvents, "/lost-events"),
];

/// Requests of one kind: a service, or a class of one.
#[derive(Clone, Debug)]
pub struct Kind {
    pub name: Arc<str>,
    pub class: Class,
    /// Share of the cell's requests.
    pub share: f64,
    /// Distinct prefixes and their length in tokens.
    pub groups: u64,
    pub shared: u32,
    /// Mean length of the rest of the prompt; lengths are exponential up to five times the mean.
    pub unique: u32,
    pub output: u32,
    pub ttft: Duration,
    pub itl: Duration,
}

/// The engines of one service and the requests to it.
#[derive(Clone, Debug)]
pub struct Cell {
    pub kinds: Vec<Kind>,
    /// Engines by role, placed on the data centres in turn.
    pub engines: Vec<(Role, usize)>,
    pub options: SchedOptions,
}

/// How requests arrive.
#[derive(Clone, Copy, Debug)]
pub enum Load {
    /// At a percentage of the cells' capacity, whatever the answers.
    Open(u32),
    /// Each of so many callers sends the next request after its answer.
    Closed(usize),
}

/// One case.
#[derive(Clone, Debug)]
pub struct Case {
    pub name: String,
    pub cells: Vec<Cell>,
    pub centres: Vec<Arc<str>>,
    pub load: Load,
    pub fault: Fault,
    /// What a trace lists instead of the incidents that follow from `fault`.
    pub incidents: Option<Vec<Incident>>,
    /// Length of the run in seconds, and of its beginning that is not measured.
    pub seconds: u64,
    pub warm: u64,
    pub organisations: u64,
    /// Bytes per second of one data centre's outgoing link.
    pub link: f64,
    /// True if lengths are fixed and the closed loop of the published figures applies.
    pub fixed: bool,
}

impl Cell {
    /// Returns the engines that compute prompts.
    pub fn prefill_engines(&self) -> usize {
        let roles = self.engines.iter().filter(|(r, _)| *r != Role::Decode);
        roles.map(|(_, n)| n).sum()
    }

    /// Returns the decode slots of all engines.
    pub fn slots(&self) -> usize {
        let roles = self.engines.iter().filter(|(r, _)| *r != Role::Prefill);
        roles.map(|(_, n)| n * SLOTS as usize).sum()
    }

    /// Returns the requests per second that the engines could serve if every shared prefix were
    /// cached and no engine ever idled.
    pub fn capacity(&self) -> f64 {
        let step = self.options.decode_step.as_secs_f64() * STEP_NOISE * (1.0 + CROWDING);
        let rate = f64::from(self.options.prefill_rate);
        let mean =
            |f: &dyn Fn(&Kind) -> f64| self.kinds.iter().map(|k| k.share * f(k)).sum::<f64>();
        let prefill =
            mean(&|k| OVERHEAD.as_secs_f64() + LENGTH * f64::from(k.unique) / rate * PREFILL_NOISE);
        let stream = mean(&|k| LENGTH * f64::from(k.output) * step);
        let engines = self.prefill_engines() as f64;
        let slots = self.slots() as f64;
        if self.engines.iter().any(|(r, _)| *r == Role::Prefill) {
            return (engines / prefill).min(slots / stream);
        }
        // A prefill delays the streams beside it: rate * stream = slots * (1 - delay * rate).
        let delay = DISTURBANCE * prefill / engines;
        let shared = slots / stream / (1.0 + delay * slots / stream);
        (engines / prefill).min(shared)
    }
}

/// Mean factors on lengths, steps and prefills, as [`super::arrivals`] draws them: an
/// exponential cut at five times its mean has 0.993 of the mean.
const LENGTH: f64 = 0.993;
const STEP_NOISE: f64 = 1.15;
const PREFILL_NOISE: f64 = 1.05;

/// Decode slots of an engine.
pub const SLOTS: u32 = 20;

fn kind(name: &str, class: Class, groups: u64, lengths: [u32; 3]) -> Kind {
    let patient = class == Class::Patient;
    Kind {
        name: name.into(),
        class,
        share: 1.0,
        groups,
        shared: lengths[0],
        unique: lengths[1],
        output: lengths[2],
        ttft: Duration::from_millis(if patient { 10_000 } else { 1_500 }),
        itl: Duration::from_millis(26),
    }
}

fn options(step: u64, link: f64, blocks: usize) -> SchedOptions {
    SchedOptions {
        decode_step: Duration::from_millis(step),
        prefill_rate: 20_000,
        link_rate: link as u64,
        token_bytes: TOKEN_BYTES,
        cache_blocks: blocks,
        ..SchedOptions::default()
    }
}

fn celeste() -> Case {
    let split = vec![(Role::Prefill, 6), (Role::Decode, 3)];
    let reader = kind("logreader", Class::Patient, 40, [6_000, 5_000, 420]);
    let desk = kind("airtime-desk", Class::Interactive, 12, [2_000, 1_000, 150]);
    Case {
        name: "celeste".into(),
        cells: vec![
            cell(vec![reader], split, options(4, 8e9, 400)),
            cell(vec![desk], vec![(Role::Both, 3)], options(4, 8e9, 200)),
        ],
        centres: ["boa-viagem", "suape", "olinda"].map(Arc::from).to_vec(),
        ..base(8e9)
    }
}

fn souk() -> Case {
    let large = vec![(Role::Prefill, 6), (Role::Decode, 3)];
    let small = vec![(Role::Prefill, 2), (Role::Decode, 2)];
    let writers = kind("lm-writers", Class::Patient, 40, [6_000, 5_000, 300]);
    let desk = kind("market-desk", Class::Interactive, 12, [2_000, 1_000, 150]);
    Case {
        name: "souk".into(),
        cells: vec![
            cell(vec![writers], large, options(6, 8e9, 400)),
            cell(vec![desk], small, options(6, 4e9, 200)),
        ],
        centres: ["hall-legumes", "hall-fruits", "quai-nord", "depot-froid"]
            .map(Arc::from)
            .to_vec(),
        ..base(12e9)
    }
}

/// One cell of the two-year target: 64 engines with both classes and 42,000 organisations.
fn target() -> Case {
    let talk = kind("talk", Class::Interactive, 200, [2_000, 2_500, 480]);
    let batch = kind("batch", Class::Patient, 100, [6_000, 12_000, 480]);
    let kinds = vec![
        Kind { share: 0.7, ..talk },
        Kind {
            share: 0.3,
            ..batch
        },
    ];
    let engines = vec![(Role::Prefill, 24), (Role::Decode, 40)];
    Case {
        name: "target".into(),
        cells: vec![cell(kinds, engines, options(12, 30e9, 600))],
        centres: ["n1", "n2", "n3", "n4", "s1", "s2", "s3", "s4"]
            .map(Arc::from)
            .to_vec(),
        load: Load::Open(90),
        organisations: 42_000,
        ..base(30e9)
    }
}

fn paper(workers: usize, prefixes: u64, callers: usize) -> Case {
    let chat = kind("paper", Class::Interactive, prefixes, [2_032, 339, 100]);
    let options = SchedOptions {
        block_tokens: 16,
        ..options(10, 8e9, PAPER_BLOCKS)
    };
    Case {
        name: format!("paper-{workers}/{prefixes}/{callers}"),
        cells: vec![cell(vec![chat], vec![(Role::Both, workers)], options)],
        centres: ["dc"].map(Arc::from).to_vec(),
        load: Load::Closed(callers),
        fixed: true,
        ..base(8e9)
    }
}

/// Room for 3.95 prefixes of 127 blocks.
const PAPER_BLOCKS: usize = 501;

fn cell(kinds: Vec<Kind>, engines: Vec<(Role, usize)>, options: SchedOptions) -> Cell {
    Cell {
        kinds,
        engines,
        options,
    }
}

fn base(link: f64) -> Case {
    Case {
        name: String::new(),
        cells: Vec::new(),
        centres: Vec::new(),
        load: Load::Open(90),
        fault: Fault::None,
        incidents: None,
        seconds: 180,
        warm: 20,
        organisations: 200,
        link,
        fixed: false,
    }
}

/// Returns all cases in the order in which they run.
pub fn all() -> Vec<Case> {
    let mut cases = Vec::new();
    for user in [celeste(), souk()] {
        for percent in [70, 90, 110] {
            for (fault, end) in FAULTS {
                cases.push(Case {
                    name: format!("{}/{percent}{end}", user.name),
                    load: Load::Open(percent),
                    fault,
                    ..user.clone()
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
