//! Generates the requests of a case. They depend only on its load and the seed, so that every
//! policy and every fault receives the same requests.

use std::time::Duration;

use coord::hash::hash64;
use coord::name::VmName;
use coord::sched::{Job, JobId};
use coord::time::Time;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::case::{Case, Cell, Load, Workload};

/// Number of entry VMs.
pub const ENTRY_VMS: u32 = 8;

/// Number of requests that are generated for a closed loop; no run uses all of them.
const CLOSED_LOOP_REQUESTS: usize = 6_000;

/// Probability that a caller disconnects within 3 s of its request if the answer is not complete.
const CANCEL_PROBABILITY: f64 = 0.01;

/// A request with all its random properties.
#[derive(Clone, Debug)]
pub struct Request {
    pub at: Time,
    pub cell: usize,
    pub workload: usize,
    pub vm: u32,
    pub organisation: u64,
    /// Hashes of the whole blocks of the prompt.
    pub prefix: Vec<u64>,
    pub prompt_tokens: u32,
    /// Length of the shared prefix; zero if it is unknown, as in a replay.
    pub shared_tokens: u32,
    pub output_tokens: u32,
    /// Factor on the duration of the decode steps.
    pub step_factor: f64,
    /// Factor on the duration of the prefill.
    pub prefill_factor: f64,
    /// Time after the arrival at which the caller disconnects.
    pub cancel_after: Option<Duration>,
}

/// Generates the requests of all cells in the order of their arrival.
pub fn generate(case: &Case, seed: u64) -> Vec<Request> {
    let mut requests = Vec::new();
    for (index, cell) in case.cells.iter().enumerate() {
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ (index as u64) << 32);
        match case.load {
            Load::OpenLoop(percent) => {
                let rate = cell.capacity() * f64::from(percent) / 100.0;
                let mut at = 0.0;
                while at < case.seconds as f64 {
                    at += exponential(&mut rng, 1.0 / rate);
                    requests.push(request(case, index, cell, at, &mut rng));
                }
            }
            Load::ClosedLoop(_) => {
                let count = 0..CLOSED_LOOP_REQUESTS;
                requests.extend(count.map(|_| request(case, index, cell, 0.0, &mut rng)));
            }
        }
    }
    requests.sort_by_key(|r| r.at);
    requests
}

fn request(case: &Case, index: usize, cell: &Cell, at: f64, rng: &mut ChaCha8Rng) -> Request {
    let workload = pick_workload(&cell.mix, rng.random());
    let spec = &cell.mix[workload];
    let block_tokens = cell.options.block_tokens;
    let group = if case.fixed_lengths {
        rng.random_range(0..spec.prefixes)
    } else {
        skewed(spec.prefixes, rng.random())
    };
    let unique_tokens = length(case, spec.unique, rng);
    let prompt_tokens = spec.shared + unique_tokens;
    let salt: u64 = rng.random();
    let block_hash = |i: u32| {
        let block_salt = if (i + 1) * block_tokens <= spec.shared {
            0
        } else {
            salt
        };
        hash64(format!("{index}/{workload}/{group}/{i}/{block_salt}").as_bytes())
    };
    Request {
        at: Time::from_micros((at * 1e6) as u64),
        cell: index,
        workload,
        vm: rng.random_range(0..ENTRY_VMS),
        organisation: skewed(case.organisations, rng.random()),
        prefix: (0..prompt_tokens / block_tokens).map(block_hash).collect(),
        prompt_tokens,
        shared_tokens: spec.shared,
        output_tokens: length(case, spec.output, rng),
        step_factor: 1.0 + exponential(rng, 0.15).min(2.0),
        prefill_factor: 1.0 + exponential(rng, 0.05).min(1.0),
        cancel_after: cancel_after(case, rng),
    }
}

fn cancel_after(case: &Case, rng: &mut ChaCha8Rng) -> Option<Duration> {
    let (cancels, delay) = (
        rng.random_bool(CANCEL_PROBABILITY),
        rng.random_range(0.0..3.0),
    );
    (cancels && !case.fixed_lengths).then(|| Duration::from_secs_f64(delay))
}

fn pick_workload(workloads: &[Workload], mut sample: f64) -> usize {
    for (index, workload) in workloads.iter().enumerate() {
        sample -= workload.share;
        if sample < 0.0 {
            return index;
        }
    }
    workloads.len() - 1
}

/// Returns a random length of at least 16 from an exponential distribution that is cut at five
/// times its mean, or the mean itself if the case has fixed lengths.
fn length(case: &Case, mean: u32, rng: &mut ChaCha8Rng) -> u32 {
    let drawn = exponential(rng, f64::from(mean)).min(f64::from(mean) * 5.0);
    if case.fixed_lengths {
        mean
    } else {
        (drawn as u32).max(16)
    }
}

fn exponential(rng: &mut ChaCha8Rng, mean: f64) -> f64 {
    -mean * (1.0 - rng.random::<f64>()).ln()
}

/// Maps a uniform random number to `0..n`, with a strong preference for low numbers. This models
/// the uneven use of organisations and prefixes.
fn skewed(n: u64, sample: f64) -> u64 {
    ((n as f64).powf(sample) - 1.0) as u64 % n
}

impl Request {
    /// Returns the scheduler's job for this request.
    pub fn job(&self, case: &Case, index: usize, now: Time) -> Job {
        let workload = &case.cells[self.cell].mix[self.workload];
        let vm: VmName = format!("vm-{}", self.vm).into();
        Job {
            id: JobId::new(&vm, index as u128),
            vm,
            organisation: format!("org-{}", self.organisation).into(),
            service: (&*workload.name).into(),
            class: workload.class,
            deadline: now + workload.ttft_target,
            token_target: workload.itl_target,
            prompt_tokens: self.prompt_tokens,
            max_tokens: self.output_tokens.max(workload.output * 5),
            prefix: self.prefix.clone(),
            fingerprint: index as u128,
            once: false,
            offset: 0,
            suspect: false,
        }
    }
}

/// Returns the index of the request that the job was created from.
pub fn request_index(id: JobId) -> usize {
    (id.0 & u128::from(u64::MAX)) as usize
}
