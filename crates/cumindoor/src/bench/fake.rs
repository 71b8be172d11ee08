//! Fake engines: what an engine does with its time, memory and prefix cache.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use coord::sched::{Attempt, CacheEvent, Engine, EngineReport, JobId, Role};
use coord::time::Time;

/// A prefill's result is evicted this long after its end.
pub const RESULT_TTL: Duration = Duration::from_millis(800);

/// Prefills that wait inside an engine before it answers "full".
const QUEUE_LIMIT: usize = 16;

/// Time of a prefill besides its tokens.
pub const OVERHEAD: Duration = Duration::from_millis(4);

/// Share of a prefill's time by which streams on the same engine are delayed.
pub const DISTURBANCE: f64 = 0.5;

/// Slowdown of a decode step in a full engine.
pub const CROWDING: f64 = 0.3;

/// A prefix cache that evicts the least recently used block, ends of prompts first.
#[derive(Debug)]
pub struct Cache {
    blocks: HashMap<u64, u64>,
    order: BTreeMap<u64, u64>,
    seq: u64,
    limit: usize,
}

impl Cache {
    /// Creates an empty cache of `limit` blocks.
    pub fn new(limit: usize) -> Self {
        Self {
            blocks: HashMap::new(),
            order: BTreeMap::new(),
            seq: 0,
            limit,
        }
    }

    /// Returns how many leading blocks of `prefix` are present.
    pub fn matched(&self, prefix: &[u64]) -> u32 {
        let found = prefix.iter().take_while(|b| self.blocks.contains_key(b));
        found.count() as u32
    }

    /// Stores a prompt and returns the changes.
    pub fn store(&mut self, prefix: &[u64]) -> Vec<CacheEvent> {
        let mut events = Vec::new();
        for block in prefix.iter().rev() {
            self.seq += 1;
            match self.blocks.insert(*block, self.seq) {
                Some(seq) => drop(self.order.remove(&seq)),
                None => events.push(CacheEvent::Stored(*block)),
            }
            self.order.insert(self.seq, *block);
        }
        while self.order.len() > self.limit {
            if let Some((_, block)) = self.order.pop_first() {
                self.blocks.remove(&block);
                events.push(CacheEvent::Evicted(block));
            }
        }
        events
    }
}

/// A prefill in an engine.
#[derive(Clone, Copy, Debug)]
pub struct Prefill {
    pub id: JobId,
    pub attempt: Attempt,
    pub began: Time,
    pub time: Duration,
    pub prompt: u32,
    pub work: u32,
}

/// A stream in an engine.
#[derive(Clone, Copy, Debug)]
pub struct Stream {
    pub attempt: Attempt,
    pub began: Time,
    pub step: Duration,
    pub tokens: u32,
    /// Delay by prefills on the same engine that has not been added to its end.
    pub delay: Duration,
    pub started: bool,
}

/// The prefills and the streams that end with an engine.
pub type Lost = (Vec<(JobId, Attempt)>, Vec<(JobId, Stream)>);

/// One engine.
#[derive(Debug)]
pub struct Fake {
    pub spec: Engine,
    pub centre: usize,
    pub cell: usize,
    pub alive: bool,
    /// Counts deaths, so that events of an earlier life are ignored.
    pub life: u32,
    pub cache: Cache,
    pub waiting: VecDeque<(JobId, Attempt)>,
    pub running: Option<Prefill>,
    /// Finished prefills until their import or eviction.
    pub results: BTreeMap<JobId, Time>,
    pub streams: BTreeMap<JobId, Stream>,
    step: Duration,
    rate: f64,
}

impl Fake {
    /// Creates an idle engine.
    pub fn new(spec: Engine, cell: usize, centre: usize, limits: (usize, Duration, u32)) -> Self {
        Self {
            spec,
            centre,
            cell,
            alive: true,
            life: 0,
            cache: Cache::new(limits.0),
            waiting: VecDeque::new(),
            running: None,
            results: BTreeMap::new(),
            streams: BTreeMap::new(),
            step: limits.1,
            rate: f64::from(limits.2),
        }
    }

    /// Queues a prefill; returns false if the engine is full.
    pub fn accept(&mut self, id: JobId, attempt: Attempt) -> bool {
        let room = self.waiting.len() < QUEUE_LIMIT;
        if room {
            self.waiting.push_back((id, attempt));
        }
        room
    }

    /// Returns the duration of a prefill of `work` tokens, and delays the streams beside it.
    pub fn compute(&mut self, work: u32, noise: f64) -> Duration {
        let time = OVERHEAD + Duration::from_secs_f64(f64::from(work) / self.rate * noise);
        for stream in self.streams.values_mut().filter(|s| s.started) {
            stream.delay += time.mul_f64(DISTURBANCE);
        }
        time
    }

    /// Returns the duration of a decode step, which grows with the load.
    pub fn step(&self, noise: f64) -> Duration {
        let load = self.streams.len() as f64 / f64::from(self.spec.slots.max(1));
        self.step.mul_f64(noise * (1.0 + CROWDING * load))
    }

    /// Returns true if a stream can be imported.
    pub fn has_slot(&self) -> bool {
        self.spec.role != Role::Prefill && self.streams.len() < self.spec.slots as usize
    }

    /// Returns the load as the engine reports it.
    pub fn report(&self) -> EngineReport {
        EngineReport {
            held: self.streams.keys().copied().collect(),
            queue: (self.waiting.len() + usize::from(self.running.is_some())) as u32,
        }
    }

    /// Loses everything; returns the prefills and the streams that were cut.
    pub fn die(&mut self) -> Lost {
        self.alive = false;
        self.life += 1;
        self.cache = Cache::new(self.cache.limit);
        let mut prefills: Vec<_> = self.waiting.drain(..).collect();
        prefills.extend(self.running.take().map(|p| (p.id, p.attempt)));
        self.results.clear();
        let streams = std::mem::take(&mut self.streams);
        (prefills, streams.into_iter().collect())
    }
}

impl Stream {
    /// Returns the output tokens that were sent by `now`.
    pub fn delivered(&self, now: Time) -> u32 {
        if !self.started {
            return 0;
        }
        let spent = now.since(self.began).saturating_sub(self.delay);
        let steps = (spent.as_secs_f64() / self.step.as_secs_f64()) as u32;
        (steps + 1).min(self.tokens)
    }
}
