//! Simple policies to compare with: each sends a request on at once, without reservations.

use std::collections::BTreeMap;
use std::time::Duration;

use coord::hash::rendezvous_score;
use coord::name::Upstream;
use coord::sched::{Action, Attempt, Engine, EngineReport, Failure, Job, JobId, Reason, Role};
use coord::time::Time;

use super::router::{Input, Router};

/// Engine calls of one request before it is refused.
const MAX_CALLS: u32 = 12;

/// An engine may have this share of the mean load before affinity passes it by.
const LOAD_BOUND: f64 = 1.25;

/// How a baseline chooses an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// The next engine in turn.
    RoundRobin,
    /// The engine with the lowest load in the last reports.
    LeastLoad,
    /// The engine of the prompt's first block, within a bound on the load.
    PrefixAffinity,
}

#[derive(Debug)]
struct Back {
    engine: Engine,
    /// Own requests that are running there.
    own: u32,
    reported: u32,
}

#[derive(Debug)]
struct Flight {
    job: Job,
    attempt: Attempt,
    source: Upstream,
    decode: Option<Upstream>,
}

/// A router without reservations.
#[derive(Debug)]
pub struct Baseline {
    rule: Rule,
    backs: BTreeMap<Upstream, Back>,
    flights: BTreeMap<JobId, Flight>,
    turn: usize,
}

impl Baseline {
    /// Creates a router without engines.
    pub fn new(rule: Rule) -> Self {
        Self {
            rule,
            backs: BTreeMap::new(),
            flights: BTreeMap::new(),
            turn: 0,
        }
    }

    fn choose(&mut self, job: &Job, unwanted: Role) -> Option<Upstream> {
        let fit = self.backs.values().filter(|b| b.engine.role != unwanted);
        let fit: Vec<&Back> = fit.collect();
        let mean = fit.iter().map(|b| f64::from(b.own)).sum::<f64>() / fit.len().max(1) as f64;
        let bound = LOAD_BOUND * mean + 1.0;
        let key = job.prefix.first().copied().unwrap_or_default();
        self.turn += 1;
        let chosen = match self.rule {
            Rule::RoundRobin => fit.get(self.turn / 2 % fit.len().max(1)),
            Rule::LeastLoad => fit.iter().min_by_key(|b| (b.reported, b.own)),
            Rule::PrefixAffinity => fit.iter().max_by_key(|b| {
                let score = rendezvous_score(key, b.engine.name.as_str());
                (f64::from(b.own) <= bound, score)
            }),
        };
        chosen.map(|b| b.engine.name.clone())
    }

    fn prefill(&mut self, job: Job, attempt: Attempt) -> Vec<Action> {
        let id = job.id;
        let source = self.choose(&job, Role::Decode);
        let (Some(source), true) = (source, attempt.0 < MAX_CALLS) else {
            return vec![refuse(id)];
        };
        let attempt = Attempt(attempt.0 + 1);
        self.count(&source, 1);
        self.flights.insert(
            id,
            Flight {
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
        let Some(mut flight) = self.leave(id) else {
            return Vec::new();
        };
        let both = self
            .backs
            .get(&flight.source)
            .is_some_and(|b| b.engine.role == Role::Both);
        let chosen = if both {
            Some(flight.source.clone())
        } else {
            self.choose(&flight.job, Role::Prefill)
        };
        let (Some(decode), true) = (chosen, flight.attempt.0 < MAX_CALLS) else {
            return vec![refuse(id)];
        };
        flight.attempt.0 += 1;
        self.count(&decode, 1);
        let (attempt, source) = (flight.attempt, flight.source.clone());
        flight.decode = Some(decode.clone());
        self.flights.insert(id, flight);
        vec![Action::StartDecode {
            id,
            attempt,
            decode,
            source,
        }]
    }

    /// Takes a request off the engine on which it runs.
    fn leave(&mut self, id: JobId) -> Option<Flight> {
        let flight = self.flights.remove(&id)?;
        let engine = flight.decode.as_ref().unwrap_or(&flight.source).clone();
        self.count(&engine, -1);
        Some(flight)
    }

    fn count(&mut self, name: &Upstream, change: i32) {
        if let Some(back) = self.backs.get_mut(name) {
            back.own = back.own.saturating_add_signed(change);
        }
    }

    fn current(&self, id: JobId, attempt: Attempt) -> bool {
        self.flights.get(&id).is_some_and(|f| f.attempt == attempt)
    }

    fn decode_failed(&mut self, id: JobId, why: Failure, delivered: u32) -> Vec<Action> {
        if why == Failure::Full {
            return self.decode(id);
        }
        let Some(mut flight) = self.leave(id) else {
            return Vec::new();
        };
        flight.job.prompt_tokens += delivered;
        self.prefill(flight.job, flight.attempt)
    }

    fn cancel(&mut self, id: JobId) -> Vec<Action> {
        let flight = self.leave(id);
        let names = flight
            .map(|f| [Some(f.source), f.decode])
            .into_iter()
            .flatten()
            .flatten();
        names
            .map(|upstream| Action::Cancel { id, upstream })
            .collect()
    }

    fn report(&mut self, name: &Upstream, report: &EngineReport) {
        if let Some(back) = self.backs.get_mut(name) {
            back.reported = report.queue + u32::try_from(report.held.len()).unwrap_or(u32::MAX);
        }
    }
}

impl Router for Baseline {
    fn handle(&mut self, _now: Time, input: Input) -> Vec<Action> {
        match input {
            Input::Submit(job) => return self.prefill(job, Attempt(0)),
            Input::Cancel(id) => return self.cancel(id),
            Input::PrefillDone(id, attempt, _) if self.current(id, attempt) => {
                return self.decode(id);
            }
            Input::PrefillFailed(id, attempt, _) if self.current(id, attempt) => {
                let flight = self.leave(id);
                return flight.map_or_else(Vec::new, |f| self.prefill(f.job, f.attempt));
            }
            Input::DecodeFailed(id, attempt, why, delivered) if self.current(id, attempt) => {
                return self.decode_failed(id, why, delivered);
            }
            Input::Finished(id, _) => drop(self.leave(id)),
            Input::Up(engine) => {
                let back = Back {
                    engine: engine.clone(),
                    own: 0,
                    reported: 0,
                };
                self.backs.insert(engine.name, back);
            }
            Input::Down(name) => drop(self.backs.remove(&name)),
            Input::Report(name, report) => self.report(&name, &report),
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
