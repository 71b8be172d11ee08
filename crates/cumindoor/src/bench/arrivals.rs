//! The requests of a case: drawn once per seed, so they are the same for every policy and fault.

use std::time::Duration;

use coord::hash::hash64;
use coord::name::VmName;
use coord::sched::{Job, JobId};
use coord::time::Time;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::case::{Case, Cell, Kind, Load};

/// Entry VMs in front of the fleet.
pub const VMS: u32 = 8;

/// Requests drawn for a closed loop; the run ends before they are used up.
const CLOSED_REQUESTS: usize = 6_000;

/// One caller in so many leaves before the answer is complete.
const LEAVES: f64 = 0.01;

/// One request with all that chance decides about it.
#[derive(Clone, Debug)]
pub struct Request {
    pub at: Time,
    pub cell: usize,
    pub kind: usize,
    pub vm: u32,
    pub organisation: u64,
    pub prefix: Vec<u64>,
    pub prompt: u32,
    pub shared: u32,
    pub output: u32,
    /// Factor on the duration of its decode steps and of its prefill.
    pub step: f64,
    pub prefill: f64,
    /// When the caller leaves, after its arrival.
    pub leaves: Option<Duration>,
}

/// Draws the requests of all cells in the order of their arrival.
pub fn draw(case: &Case, seed: u64) -> Vec<Request> {
    let mut requests = Vec::new();
    for (index, cell) in case.cells.iter().enumerate() {
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ (index as u64) << 32);
        match case.load {
            Load::Open(percent) => {
                let rate = cell.capacity() * f64::from(percent) / 100.0;
                let mut at = 0.0;
                while at < case.seconds as f64 {
                    at += exponential(&mut rng, 1.0 / rate);
                    requests.push(request(case, index, cell, at, &mut rng));
                }
            }
            Load::Closed(_) => {
                let count = 0..CLOSED_REQUESTS;
                requests.extend(count.map(|_| request(case, index, cell, 0.0, &mut rng)));
            }
        }
    }
    requests.sort_by_key(|r| r.at);
    requests
}

fn request(case: &Case, index: usize, cell: &Cell, at: f64, rng: &mut ChaCha8Rng) -> Request {
    let kind = pick(&cell.kinds, rng.random());
    let spec = &cell.kinds[kind];
    let block = cell.options.block_tokens;
    let group = if case.fixed {
        rng.random_range(0..spec.groups)
    } else {
        skewed(spec.groups, rng.random())
    };
    let unique = length(case, spec.unique, rng);
    let prompt = spec.shared + unique;
    let salt: u64 = rng.random();
    let name = |i: u32| {
        let own = if (i + 1) * block <= spec.shared {
            0
        } else {
            salt
        };
        hash64(format!("{index}/{kind}/{group}/{i}/{own}").as_bytes())
    };
    Request {
        at: Time::from_micros((at * 1e6) as u64),
        cell: index,
        kind,
        vm: rng.random_range(0..VMS),
        organisation: skewed(case.organisations, rng.random()),
        prefix: (0..prompt / block).map(name).collect(),
        prompt,
        shared: spec.shared,
        output: length(case, spec.output, rng),
        step: 1.0 + exponential(rng, 0.15).min(2.0),
        prefill: 1.0 + exponential(rng, 0.05).min(1.0),
        leaves: leaves(case, rng),
    }
}

fn leaves(case: &Case, rng: &mut ChaCha8Rng) -> Option<Duration> {
    let (leaves, after) = (rng.random_bool(LEAVES), rng.random_range(0.0..3.0));
    (leaves && !case.fixed).then(|| Duration::from_secs_f64(after))
}

fn pick(kinds: &[Kind], mut draw: f64) -> usize {
    for (index, kind) in kinds.iter().enumerate() {
        draw -= kind.share;
        if draw < 0.0 {
            return index;
        }
    }
    kinds.len() - 1
}

/// Draws a length: exponential around `mean`, at most five times as long, at least 16.
fn length(case: &Case, mean: u32, rng: &mut ChaCha8Rng) -> u32 {
    let drawn = exponential(rng, f64::from(mean)).min(f64::from(mean) * 5.0);
    if case.fixed {
        mean
    } else {
        (drawn as u32).max(16)
    }
}

fn exponential(rng: &mut ChaCha8Rng, mean: f64) -> f64 {
    -mean * (1.0 - rng.random::<f64>()).ln()
}

/// Maps a uniform draw to 0..n with many draws on the first numbers, as organisations and
/// prefixes are used.
fn skewed(n: u64, draw: f64) -> u64 {
    ((n as f64).powf(draw) - 1.0) as u64 % n
}

impl Request {
    /// Returns the request as the scheduler sees it.
    pub fn job(&self, case: &Case, number: usize, now: Time) -> Job {
        let kind = &case.cells[self.cell].kinds[self.kind];
        let vm: VmName = format!("vm-{}", self.vm).into();
        Job {
            id: JobId::new(&vm, number as u128),
            vm,
            organisation: format!("org-{}", self.organisation).into(),
            service: (&*kind.name).into(),
            class: kind.class,
            deadline: now + kind.ttft,
            token_target: kind.itl,
            prompt_tokens: self.prompt,
            max_tokens: self.output.max(kind.output * 5),
            prefix: self.prefix.clone(),
            fingerprint: number as u128,
            once: false,
            offset: 0,
            suspect: false,
        }
    }
}

/// Returns the number of the request with this id.
pub fn number(id: JobId) -> usize {
    (id.0 & u128::from(u64::MAX)) as usize
}
