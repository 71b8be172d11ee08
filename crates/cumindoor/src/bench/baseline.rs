//! Baseline policies for comparison. They forward each request at once and reserve no capacity.

use std::collections::BTreeMap;
use std::time::Duration;

use coord::hash::rendezvous_score;
use coord::name::Upstream;
use coord::sched::{Action, Attempt, Engine, EngineReport, Failure, Job, JobId, Reason, Role};
use coord::time::Time;

use super::router::{Input, Router};

/// Maximum number of engine calls for one request; it is refused after that.
const MAX_ENGINE_CALLS: u32 = 12;

/// Load bound of prefix affinity relative to the mean load. The bound is this multiple of the mean
/// plus one request; engines above it are only selected if no engine is within it.
const AFFINITY_LOAD_FACTOR: f64 = 1.25;

/// Rule by which a baseline policy selects an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// Selects the engines in turn.
    RoundRobin,
    /// Selects the engine with the lowest load in the latest reports.
    LeastLoad,
    /// Selects by rendezvous hashing of the prompt's first block, among the engines within the
    /// load bound.
    PrefixAffinity,
}

#[derive(Debug)]
struct EngineLoad {
    engine: Engine,
    /// Requests that this router has sent to the engine and that have not ended.
    running: u32,
    /// Number of streams and of waiting and running prefills in the latest load report.
    reported: u32,
}

#[derive(Debug)]
struct ActiveRequest {
    job: Job,
    attempt: Attempt,
    source: Upstream,
    decode: Option<Upstream>,
}

/// Router that selects engines by a fixed rule.
#[derive(Debug)]
pub struct Baseline {
    rule: Rule,
    engines: BTreeMap<Upstream, EngineLoad>,
    active: BTreeMap<JobId, ActiveRequest>,
    /// Number of selections so far. Most requests need two of them, for prefill and decode.
    selections: usize,
}

impl Baseline {
    /// Creates a router that does not know any engine yet.
    pub fn new(rule: Rule) -> Self {
        Self {
            rule,
            engines: BTreeMap::new(),
            active: BTreeMap::new(),
            selections: 0,
        }
    }

    fn choose(&mut self, job: &Job, excluded: Role) -> Option<Upstream> {
        let candidates = self.engines.values().filter(|b| b.engine.role != excluded);
        let candidates: Vec<&EngineLoad> = candidates.collect();
        let mean = candidates.iter().map(|b| f64::from(b.running)).sum::<f64>()
            / candidates.len().max(1) as f64;
        let load_bound = AFFINITY_LOAD_FACTOR * mean + 1.0;
        let key = job.prefix.first().copied().unwrap_or_default();
        self.selections += 1;
        let chosen = match self.rule {
            Rule::RoundRobin => candidates.get(self.selections / 2 % candidates.len().max(1)),
            Rule::LeastLoad => candidates.iter().min_by_key(|b| (b.reported, b.running)),
            Rule::PrefixAffinity => candidates.iter().max_by_key(|b| {
                let score = rendezvous_score(key, b.engine.name.as_str());
                (f64::from(b.running) <= load_bound, score)
            }),
        };
        chosen.map(|b| b.engine.name.clone())
    }

    fn prefill(&mut self, job: Job, attempt: Attempt) -> Vec<Action> {
        let id = job.id;
        let source = self.choose(&job, Role::Decode);
        let (Some(source), true) = (source, attempt.0 < MAX_ENGINE_CALLS) else {
            return vec![refuse(id)];
        };
        let attempt = Attempt(attempt.0 + 1);
        self.adjust_load(&source, 1);
        self.active.insert(
            id,
            ActiveRequest {
                job,
                attempt,
                source: source.clone(),
                decode: None,
            },
        );
        vec![Action::StartPrefill {
            id,
            attempt,
            prefill: source.clone(),
            decode: source,
        }]
    }

    fn decode(&mut self, id: JobId) -> Vec<Action> {
        let Some(mut request) = self.release(id) else {
            return Vec::new();
        };
        let decodes_too = self
            .engines
            .get(&request.source)
            .is_some_and(|b| b.engine.role == Role::Both);
        let chosen = if decodes_too {
            Some(request.source.clone())
        } else {
            self.choose(&request.job, Role::Prefill)
        };
        let (Some(decode), true) = (chosen, request.attempt.0 < MAX_ENGINE_CALLS) else {
            return vec![refuse(id)];
        };
        request.attempt.0 += 1;
        self.adjust_load(&decode, 1);
        let (attempt, source) = (request.attempt, request.source.clone());
        request.decode = Some(decode.clone());
        self.active.insert(id, request);
        vec![Action::StartDecode {
            id,
            attempt,
            decode,
            source,
        }]
    }

    /// Removes a request and subtracts it from the load of its engine.
    fn release(&mut self, id: JobId) -> Option<ActiveRequest> {
        let request = self.active.remove(&id)?;
        let engine = request.decode.as_ref().unwrap_or(&request.source).clone();
        self.adjust_load(&engine, -1);
        Some(request)
    }

    fn adjust_load(&mut self, name: &Upstream, change: i32) {
        if let Some(load) = self.engines.get_mut(name) {
            load.running = load.running.saturating_add_signed(change);
        }
    }

    fn is_current(&self, id: JobId, attempt: Attempt) -> bool {
        self.active.get(&id).is_some_and(|f| f.attempt == attempt)
    }

    fn decode_failed(&mut self, id: JobId, failure: Failure, delivered: u32) -> Vec<Action> {
        if failure == Failure::Full {
            return self.decode(id);
        }
        let Some(mut request) = self.release(id) else {
            return Vec::new();
        };
        request.job.prompt_tokens += delivered;
        self.prefill(request.job, request.attempt)
    }

    fn cancel(&mut self, id: JobId) -> Vec<Action> {
        let request = self.release(id);
        let upstreams = request
            .map(|f| [Some(f.source), f.decode])
            .into_iter()
            .flatten()
            .flatten();
        upstreams
            .map(|upstream| Action::Cancel { id, upstream })
            .collect()
    }

    fn report(&mut self, name: &Upstream, report: &EngineReport) {
        if let Some(load) = self.engines.get_mut(name) {
            load.reported = report.queue + u32::try_from(report.held.len()).unwrap_or(u32::MAX);
        }
    }
}

impl Router for Baseline {
    fn handle(&mut self, _now: Time, input: Input) -> Vec<Action> {
        match input {
            Input::Submit(job) => return self.prefill(job, Attempt(0)),
            Input::Cancel(id) => return self.cancel(id),
            Input::PrefillDone(id, attempt, _) if self.is_current(id, attempt) => {
                return self.decode(id);
            }
            Input::PrefillFailed(id, attempt, _) if self.is_current(id, attempt) => {
                let request = self.release(id);
                return request.map_or_else(Vec::new, |f| self.prefill(f.job, f.attempt));
            }
            Input::DecodeFailed(id, attempt, failure, delivered)
                if self.is_current(id, attempt) =>
            {
                return self.decode_failed(id, failure, delivered);
            }
            Input::Finished(id, _) => drop(self.release(id)),
            Input::EngineUp(engine) => {
                let load = EngineLoad {
                    engine: engine.clone(),
                    running: 0,
                    reported: 0,
                };
                self.engines.insert(engine.name, load);
            }
            Input::EngineDown(name) => drop(self.engines.remove(&name)),
            Input::LoadReport(name, report) => self.report(&name, &report),
            _ => {}
        }
        Vec::new()
    }
}

fn refuse(id: JobId) -> Action {
    Action::Refuse {
        id,
        reason: Reason::QueueFull,
        retry_after: Some(Duration::from_secs(1)),
    }
}
