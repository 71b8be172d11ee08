//! The policy `bound`: what one scheduler with perfect knowledge could reach at most.
//!
//! It relaxes the problem, so no policy can do better apart from its greedy choice of what to
//! drop: all prefill engines of a cell work as one that any prompt can use whole, every shared
//! prefix that fits into the caches together is cached, links are never shared, streams never
//! disturb each other, no work is lost with an engine, and a job is only begun if it ends in
//! time. Prompts run earliest deadline first; when some deadline cannot be met, the largest
//! prompt before it is dropped. Decode slots are one pool of slot seconds that the shortest
//! streams use first. The goodput is the lower of the two.

use std::collections::BTreeMap;
use std::time::Duration;

use coord::sched::{Reason, Role};
use coord::time::Time;

use super::arrivals::Request;
use super::case::{Case, Fault, Load, SLOTS, TOKEN_BYTES};
use super::fake::{CROWDING, DISTURBANCE, OVERHEAD};
use super::sim::{CALLER_HOP, HOP, Track};

/// Returns what happens to the requests under the bound.
pub fn tracks(case: &Case, requests: &[Request]) -> Vec<Track> {
    let mut tracks = vec![Track::default(); requests.len()];
    for cell in 0..case.cells.len() {
        let own: Vec<usize> = (0..requests.len())
            .filter(|i| requests[*i].cell == cell)
            .collect();
        if let Load::Closed(callers) = case.load {
            Pool::new(case, cell).run_closed(requests, callers, &mut tracks);
            continue;
        }
        Pool::new(case, cell).run(requests, &own, &mut tracks);
        limit_slots(case, cell, requests, &own, &mut tracks);
    }
    tracks
}

/// The share of shared prefixes that all caches of a cell hold together.
fn cached_share(case: &Case, cell: usize) -> f64 {
    let spec = &case.cells[cell];
    let room = spec.prefill_engines() * spec.options.cache_blocks;
    let prefix = |k: &super::case::Kind| k.groups * u64::from(k.shared / spec.options.block_tokens);
    let wanted = spec.kinds.iter().map(prefix).sum::<u64>();
    (room as f64 / wanted as f64).min(1.0)
}

/// All prefill engines of a cell as one.
struct Pool<'a> {
    case: &'a Case,
    cell: usize,
    cached: f64,
    now: f64,
    /// Remaining engine seconds by deadline.
    active: BTreeMap<(Time, usize), f64>,
}

impl<'a> Pool<'a> {
    fn new(case: &'a Case, cell: usize) -> Self {
        Self {
            case,
            cell,
            cached: cached_share(case, cell),
            now: 0.0,
            active: BTreeMap::new(),
        }
    }

    fn run(mut self, requests: &[Request], own: &[usize], tracks: &mut [Track]) {
        for index in own {
            let request = &requests[*index];
            tracks[*index].sent = request.at;
            if request.leaves.is_some() {
                tracks[*index].gone = true;
                continue;
            }
            self.advance(request.at.as_micros() as f64 / 1e6, requests, tracks);
            let deadline = request.at + self.kind(request).ttft - self.rest(request);
            self.active.insert((deadline, *index), self.work(request));
            self.drop_late(tracks);
        }
        self.advance(f64::MAX, requests, tracks);
    }

    /// Lets each caller send its next request after its answer, as if it were alone.
    fn run_closed(mut self, requests: &[Request], callers: usize, tracks: &mut [Track]) {
        let mut free = vec![CALLER_HOP.as_secs_f64(); callers];
        for (index, request) in requests.iter().enumerate() {
            let caller = index % callers;
            let sent = Time::from_micros((free[caller] * 1e6) as u64);
            self.now = free[caller] + self.work(request);
            tracks[index].sent = sent;
            self.finish(
                index,
                &Request {
                    at: sent,
                    ..request.clone()
                },
                &mut tracks[index],
            );
            let end = tracks[index].end.unwrap_or(sent);
            free[caller] = end.as_micros() as f64 / 1e6;
        }
    }

    fn kind(&self, request: &Request) -> &'a super::case::Kind {
        &self.case.cells[self.cell].kinds[request.kind]
    }

    /// Engine seconds of a prompt whose shared prefix is cached as often as room allows.
    fn work(&self, request: &Request) -> f64 {
        let fresh = f64::from(request.prompt) - f64::from(request.shared) * self.cached;
        OVERHEAD.as_secs_f64()
            + fresh * request.prefill / f64::from(self.case.cells[self.cell].options.prefill_rate)
    }

    /// Time from the end of the prefill to the caller's first token, and of the messages before.
    fn rest(&self, request: &Request) -> Duration {
        let step = self.case.cells[self.cell]
            .options
            .decode_step
            .mul_f64(request.step);
        let transfer = (u64::from(request.prompt) * TOKEN_BYTES) as f64 / self.case.link;
        let moved = self.case.cells[self.cell]
            .engines
            .iter()
            .any(|(r, _)| *r == Role::Prefill);
        let transfer = if moved { transfer } else { 0.0 };
        step + Duration::from_secs_f64(transfer) + (CALLER_HOP + HOP * 2) * 2
    }

    fn engines(&self, at: f64) -> f64 {
        alive(self.case, self.cell, at, |r| r != Role::Decode) as f64
    }

    fn advance(&mut self, to: f64, requests: &[Request], tracks: &mut [Track]) {
        while self.now < to {
            let Some((key, work)) = self.active.pop_first() else {
                self.now = to;
                return;
            };
            let until = next_change(self.case, self.now).min(to);
            let rate = self.engines(self.now);
            let end = self.now + work / rate;
            if end > until {
                self.active.insert(key, work - (until - self.now) * rate);
                self.now = until;
                continue;
            }
            self.now = end;
            self.finish(key.1, &requests[key.1], &mut tracks[key.1]);
        }
    }

    fn finish(&self, index: usize, request: &Request, track: &mut Track) {
        debug_assert!(
            request.cell == self.cell,
            "request {index} belongs to another cell"
        );
        let alone = request.at.as_micros() as f64 / 1e6 + self.work(request);
        let end = Time::from_micros((self.now.max(alone) * 1e6) as u64);
        let first = end + self.rest(request);
        let step = self.case.cells[self.cell]
            .options
            .decode_step
            .mul_f64(request.step);
        track.first = Some(first);
        track.end = Some(first + step * (request.output - 1));
        track.delivered = request.output;
        track.prompt = u64::from(request.prompt);
        track.cached = (f64::from(request.shared) * self.cached) as u64;
        track.used = track.prompt - track.cached;
        track.prefills = 1;
    }

    /// Drops the largest prompt before the first deadline that cannot be met, until none is left.
    fn drop_late(&mut self, tracks: &mut [Track]) {
        let rate = self.engines(self.now).max(1.0);
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
                tracks[key.1].refused = Some(Reason::Deadline);
            }
        }
    }
}

/// Returns the engines of a cell that are alive at a time.
fn alive(case: &Case, cell: usize, at: f64, fits: impl Fn(Role) -> bool) -> usize {
    let fault = case.seconds as f64 / 3.0;
    let failed = (fault..fault + 20.0).contains(&at);
    let roles = case.cells[cell]
        .engines
        .iter()
        .flat_map(|(r, n)| std::iter::repeat_n(*r, *n));
    let mut seen = Vec::new();
    let lives = |(index, role): &(usize, Role)| {
        let first = !seen.contains(role);
        seen.push(*role);
        let dies = match case.fault {
            Fault::UpstreamDies => cell == 0 && first,
            Fault::DataCentreDies => index % case.centres.len() == 0,
            _ => false,
        };
        !(failed && dies)
    };
    let living: Vec<(usize, Role)> = roles.enumerate().filter(lives).collect();
    living.into_iter().filter(|(_, role)| fits(*role)).count()
}

fn next_change(case: &Case, at: f64) -> f64 {
    let fault = case.seconds as f64 / 3.0;
    let changes = [fault, fault + 20.0];
    changes
        .into_iter()
        .find(|t| *t > at)
        .unwrap_or(f64::INFINITY)
}

/// Refuses the longest streams for which the cell's slot seconds do not suffice.
fn limit_slots(
    case: &Case,
    cell: usize,
    requests: &[Request],
    own: &[usize],
    tracks: &mut [Track],
) {
    let seconds = |at| alive(case, cell, f64::from(at), |r| r != Role::Prefill) as f64;
    let latest = case.cells[cell]
        .kinds
        .iter()
        .map(|k| k.ttft)
        .max()
        .unwrap_or_default();
    let whole = case.seconds as u32;
    let mut room = (0..whole).map(seconds).sum::<f64>() + seconds(whole) * latest.as_secs_f64();
    // A full engine has the highest rate of tokens: its steps are slower by the crowding.
    room *= f64::from(SLOTS) / (1.0 + CROWDING);
    let step = case.cells[cell].options.decode_step.as_secs_f64();
    // On an engine with both roles, a prefill delays all streams of the engine.
    let beside = case.cells[cell]
        .engines
        .iter()
        .all(|(r, _)| *r == Role::Both);
    let delayed = f64::from(SLOTS) / (1.0 + CROWDING) * DISTURBANCE * f64::from(u8::from(beside));
    let pool = Pool::new(case, cell);
    let hold = |i: usize| {
        let stream = f64::from(requests[i].output) * step * requests[i].step;
        stream + delayed * pool.work(&requests[i])
    };
    let mut order = own.to_vec();
    order.sort_by(|a, b| hold(*a).total_cmp(&hold(*b)));
    for index in order {
        room -= hold(index);
        if room < 0.0 && tracks[index].refused.is_none() {
            tracks[index].first = None;
            tracks[index].refused = Some(Reason::Deadline);
        }
    }
}
