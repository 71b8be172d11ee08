//! The policy `bound`: an upper bound on the goodput of a scheduler with perfect knowledge.
//!
//! The bound solves a relaxed problem, so no policy can exceed it, except where the greedy choice
//! of the requests to drop is not optimal. The relaxations are:
//!
//! - All prefill engines of a cell act as one engine, and any prompt can use all of it.
//! - Every shared prefix that fits into the combined caches is cached.
//! - Transfers do not share links, and streams do not slow each other down.
//! - No work is lost when an engine fails.
//! - A job is only started if it meets its deadline.
//!
//! Prompts run earliest deadline first. If a deadline cannot be met, the largest prompt up to that
//! deadline is dropped. Decode slots form one pool of slot seconds, which the shortest streams use
//! first. A request counts towards the goodput only if both limits admit it. In a closed loop the
//! slot limit is not applied.

use std::collections::BTreeMap;
use std::time::Duration;

use coord::sched::{Reason, Role};
use coord::time::Time;

use super::arrivals::Request;
use super::case::{Case, ENGINE_SLOTS, Fault, KV_BYTES_PER_TOKEN, Load};
use super::fake_engine::{FULL_LOAD_SLOWDOWN, OVERHEAD, PREFILL_INTERFERENCE};
use super::sim::{CALLER_LATENCY, RequestRecord, VM_LATENCY};

/// Returns the records of the requests under the bound.
pub fn simulate(case: &Case, requests: &[Request]) -> Vec<RequestRecord> {
    let mut records = vec![RequestRecord::default(); requests.len()];
    for cell in 0..case.cells.len() {
        let cell_requests: Vec<usize> = (0..requests.len())
            .filter(|i| requests[*i].cell == cell)
            .collect();
        if let Load::ClosedLoop(callers) = case.load {
            PrefillPool::new(case, cell).run_closed(requests, callers, &mut records);
            continue;
        }
        PrefillPool::new(case, cell).run(requests, &cell_requests, &mut records);
        limit_slots(case, cell, requests, &cell_requests, &mut records);
    }
    records
}

/// Returns the fraction of the shared prefixes that fits into the combined caches of a cell.
fn cached_share(case: &Case, cell: usize) -> f64 {
    let spec = &case.cells[cell];
    let capacity = spec.prefill_engines() * spec.options.cache_blocks;
    let blocks =
        |k: &super::case::Workload| k.prefixes * u64::from(k.shared / spec.options.block_tokens);
    let required = spec.mix.iter().map(blocks).sum::<u64>();
    (capacity as f64 / required as f64).min(1.0)
}

/// All prefill engines of a cell, treated as one engine. Times are in seconds.
struct PrefillPool<'a> {
    case: &'a Case,
    cell: usize,
    cached_share: f64,
    now: f64,
    /// Remaining engine seconds of the started jobs, by deadline and request index.
    active: BTreeMap<(Time, usize), f64>,
}

impl<'a> PrefillPool<'a> {
    fn new(case: &'a Case, cell: usize) -> Self {
        Self {
            case,
            cell,
            cached_share: cached_share(case, cell),
            now: 0.0,
            active: BTreeMap::new(),
        }
    }

    fn run(mut self, requests: &[Request], cell_requests: &[usize], records: &mut [RequestRecord]) {
        for index in cell_requests {
            let request = &requests[*index];
            records[*index].sent = request.at;
            if request.cancel_after.is_some() {
                records[*index].abandoned = true;
                continue;
            }
            self.advance(request.at.as_micros() as f64 / 1e6, requests, records);
            let deadline =
                request.at + self.workload(request).ttft_target - self.delivery_time(request);
            self.active
                .insert((deadline, *index), self.prefill_seconds(request));
            self.drop_late(records);
        }
        self.advance(f64::MAX, requests, records);
    }

    /// Runs a closed loop: each caller sends its next request after its answer, and requests do not
    /// delay each other.
    fn run_closed(mut self, requests: &[Request], callers: usize, records: &mut [RequestRecord]) {
        let mut caller_free = vec![CALLER_LATENCY.as_secs_f64(); callers];
        for (index, request) in requests.iter().enumerate() {
            let caller = index % callers;
            let sent = Time::from_micros((caller_free[caller] * 1e6) as u64);
            self.now = caller_free[caller] + self.prefill_seconds(request);
            records[index].sent = sent;
            self.finish(
                index,
                &Request {
                    at: sent,
                    ..request.clone()
                },
                &mut records[index],
            );
            let end = records[index].end.unwrap_or(sent);
            caller_free[caller] = end.as_micros() as f64 / 1e6;
        }
    }

    fn workload(&self, request: &Request) -> &'a super::case::Workload {
        &self.case.cells[self.cell].mix[request.workload]
    }

    /// Returns the engine seconds of a prompt. Its shared prefix is cached in the fraction of cases
    /// that the cache size allows.
    fn prefill_seconds(&self, request: &Request) -> f64 {
        let uncached_tokens =
            f64::from(request.prompt_tokens) - f64::from(request.shared_tokens) * self.cached_share;
        OVERHEAD.as_secs_f64()
            + uncached_tokens * request.prefill_factor
                / f64::from(self.case.cells[self.cell].options.prefill_rate)
    }

    /// Returns the time to first token without the prefill: KV cache transfer, the first decode
    /// step and all messages.
    fn delivery_time(&self, request: &Request) -> Duration {
        let step = self.case.cells[self.cell]
            .options
            .decode_step
            .mul_f64(request.step_factor);
        let transfer =
            (u64::from(request.prompt_tokens) * KV_BYTES_PER_TOKEN) as f64 / self.case.link_rate;
        let disaggregated = self.case.cells[self.cell]
            .engines
            .iter()
            .any(|(r, _)| *r == Role::Prefill);
        let transfer = if disaggregated { transfer } else { 0.0 };
        step + Duration::from_secs_f64(transfer) + (CALLER_LATENCY + VM_LATENCY * 2) * 2
    }

    fn live_prefill_engines(&self, at: f64) -> f64 {
        live_engines(self.case, self.cell, at, |r| r != Role::Decode) as f64
    }

    fn advance(&mut self, to: f64, requests: &[Request], records: &mut [RequestRecord]) {
        while self.now < to {
            let Some((key, work)) = self.active.pop_first() else {
                self.now = to;
                return;
            };
            let until = next_change(self.case, self.now).min(to);
            let rate = self.live_prefill_engines(self.now);
            let end = self.now + work / rate;
            if end > until {
                self.active.insert(key, work - (until - self.now) * rate);
                self.now = until;
                continue;
            }
            self.now = end;
            self.finish(key.1, &requests[key.1], &mut records[key.1]);
        }
    }

    fn finish(&self, index: usize, request: &Request, record: &mut RequestRecord) {
        debug_assert!(
            request.cell == self.cell,
            "request {index} belongs to another cell"
        );
        let earliest = request.at.as_micros() as f64 / 1e6 + self.prefill_seconds(request);
        let end = Time::from_micros((self.now.max(earliest) * 1e6) as u64);
        let first = end + self.delivery_time(request);
        let step = self.case.cells[self.cell]
            .options
            .decode_step
            .mul_f64(request.step_factor);
        record.first_token = Some(first);
        record.end = Some(first + step * (request.output_tokens - 1));
        record.delivered_tokens = request.output_tokens;
        record.prompt_tokens = u64::from(request.prompt_tokens);
        record.cached_tokens = (f64::from(request.shared_tokens) * self.cached_share) as u64;
        record.used_tokens = record.prompt_tokens - record.cached_tokens;
        record.prefills = 1;
    }

    /// While some deadline cannot be met, drops the largest prompt up to the first such deadline.
    fn drop_late(&mut self, records: &mut [RequestRecord]) {
        let rate = self.live_prefill_engines(self.now).max(1.0);
        loop {
            let mut end = self.now;
            let late = self.active.iter().position(|((deadline, _), work)| {
                end += work / rate;
                end > deadline.as_micros() as f64 / 1e6
            });
            let Some(late) = late else {
                return;
            };
            let before = self.active.iter().take(late + 1);
            let largest = before
                .max_by(|a, b| a.1.total_cmp(b.1))
                .map(|(key, _)| *key);
            if let Some(key) = largest {
                self.active.remove(&key);
                records[key.1].refused = Some(Reason::Deadline);
            }
        }
    }
}

/// Returns the number of engines of a cell that are running at the time `at` and whose role
/// satisfies `has_role`.
fn live_engines(case: &Case, cell: usize, at: f64, has_role: impl Fn(Role) -> bool) -> usize {
    let fault_start = case.seconds as f64 / 3.0;
    let in_fault = (fault_start..fault_start + 20.0).contains(&at);
    let roles = case.cells[cell]
        .engines
        .iter()
        .flat_map(|(r, n)| std::iter::repeat_n(*r, *n));
    let mut seen = Vec::new();
    let survives = |(index, role): &(usize, Role)| {
        let first = !seen.contains(role);
        seen.push(*role);
        let dies = match case.fault {
            Fault::UpstreamDies => cell == 0 && first,
            Fault::DataCentreDies => index % case.centres.len() == 0,
            _ => false,
        };
        !(in_fault && dies)
    };
    let survivors: Vec<(usize, Role)> = roles.enumerate().filter(survives).collect();
    survivors
        .into_iter()
        .filter(|(_, role)| has_role(*role))
        .count()
}

fn next_change(case: &Case, at: f64) -> f64 {
    let fault_start = case.seconds as f64 / 3.0;
    let changes = [fault_start, fault_start + 20.0];
    changes
        .into_iter()
        .find(|t| *t > at)
        .unwrap_or(f64::INFINITY)
}

/// Assigns the slot seconds of the cell to the shortest streams first and refuses the streams that
/// do not fit.
fn limit_slots(
    case: &Case,
    cell: usize,
    requests: &[Request],
    cell_requests: &[usize],
    records: &mut [RequestRecord],
) {
    let decode_engines =
        |at| live_engines(case, cell, f64::from(at), |r| r != Role::Prefill) as f64;
    let max_ttft = case.cells[cell]
        .mix
        .iter()
        .map(|k| k.ttft_target)
        .max()
        .unwrap_or_default();
    let run_seconds = case.seconds as u32;
    let mut slot_seconds = (0..run_seconds).map(decode_engines).sum::<f64>()
        + decode_engines(run_seconds) * max_ttft.as_secs_f64();
    // Token throughput is highest when all slots are in use; each step then has the full slowdown.
    slot_seconds *= f64::from(ENGINE_SLOTS) / (1.0 + FULL_LOAD_SLOWDOWN);
    let step = case.cells[cell].options.decode_step.as_secs_f64();
    // On engines with both roles, a prefill delays all streams of its engine.
    let mixed_roles = case.cells[cell]
        .engines
        .iter()
        .all(|(r, _)| *r == Role::Both);
    let interference = f64::from(ENGINE_SLOTS) / (1.0 + FULL_LOAD_SLOWDOWN)
        * PREFILL_INTERFERENCE
        * f64::from(u8::from(mixed_roles));
    let pool = PrefillPool::new(case, cell);
    let required_seconds = |i: usize| {
        let stream = f64::from(requests[i].output_tokens) * step * requests[i].step_factor;
        stream + interference * pool.prefill_seconds(&requests[i])
    };
    let mut order = cell_requests.to_vec();
    order.sort_by(|a, b| required_seconds(*a).total_cmp(&required_seconds(*b)));
    for index in order {
        slot_seconds -= required_seconds(index);
        if slot_seconds < 0.0 && records[index].refused.is_none() {
            records[index].first_token = None;
            records[index].refused = Some(Reason::Deadline);
        }
    }
}
