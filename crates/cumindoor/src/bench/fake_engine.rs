//! Simulated engines with their queue, decode slots and prefix cache.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use coord::sched::{Attempt, CacheEvent, Engine, EngineReport, JobId, Role};
use coord::time::Time;

/// Time after which an engine evicts the result of a prefill that was not imported.
pub const RESULT_TTL: Duration = Duration::from_millis(800);

/// Number of waiting prefills at which an engine refuses further ones as full.
const MAX_QUEUED_PREFILLS: usize = 16;

/// Part of a prefill's duration that does not depend on the number of tokens.
pub const OVERHEAD: Duration = Duration::from_millis(4);

/// Delay of the streams on the same engine as a fraction of a prefill's duration.
pub const PREFILL_INTERFERENCE: f64 = 0.5;

/// Fraction by which a decode step takes longer when all slots are in use.
pub const FULL_LOAD_SLOWDOWN: f64 = 0.3;

/// Prefix cache with least-recently-used eviction. Of the blocks of one prompt, the last are
/// evicted first.
///
/// `blocks` holds the sequence number of the last use of each block, and `recency` is its inverse.
#[derive(Debug)]
pub struct Cache {
    blocks: HashMap<u64, u64>,
    recency: BTreeMap<u64, u64>,
    seq: u64,
    capacity: usize,
}

impl Cache {
    /// Creates an empty cache of `capacity` blocks.
    pub fn new(capacity: usize) -> Self {
        Self {
            blocks: HashMap::new(),
            recency: BTreeMap::new(),
            seq: 0,
            capacity,
        }
    }

    /// Returns how many leading blocks of `prefix` are present.
    pub fn matched(&self, prefix: &[u64]) -> u32 {
        let found = prefix.iter().take_while(|b| self.blocks.contains_key(b));
        found.count() as u32
    }

    /// Stores the blocks of a prompt and returns the blocks that were added and evicted.
    pub fn store(&mut self, prefix: &[u64]) -> Vec<CacheEvent> {
        let mut events = Vec::new();
        for block in prefix.iter().rev() {
            self.seq += 1;
            match self.blocks.insert(*block, self.seq) {
                Some(seq) => drop(self.recency.remove(&seq)),
                None => events.push(CacheEvent::Stored(*block)),
            }
            self.recency.insert(self.seq, *block);
        }
        while self.recency.len() > self.capacity {
            if let Some((_, block)) = self.recency.pop_first() {
                self.blocks.remove(&block);
                events.push(CacheEvent::Evicted(block));
            }
        }
        events
    }
}

/// A prefill that an engine is running.
#[derive(Clone, Copy, Debug)]
pub struct Prefill {
    pub id: JobId,
    pub attempt: Attempt,
    pub began: Time,
    pub duration: Duration,
    pub prompt_tokens: u32,
    /// Prompt tokens that were not in the prefix cache.
    pub uncached_tokens: u32,
}

/// A decode slot in use: the KV cache is being imported or tokens are being generated.
#[derive(Clone, Copy, Debug)]
pub struct Stream {
    pub attempt: Attempt,
    /// Start of the import, and once it is complete, the time of the first token.
    pub began: Time,
    pub step_time: Duration,
    pub tokens: u32,
    /// Delay by prefills on the same engine that is not yet part of the scheduled end.
    pub delay: Duration,
    /// True if the KV cache has been imported.
    pub started: bool,
}

/// The prefills and the streams that are lost when an engine fails.
pub type LostWork = (Vec<(JobId, Attempt)>, Vec<(JobId, Stream)>);

/// A simulated engine.
#[derive(Debug)]
pub struct FakeEngine {
    pub spec: Engine,
    pub centre: usize,
    pub cell: usize,
    pub alive: bool,
    /// Number of failures so far; events of an earlier epoch are ignored.
    pub epoch: u32,
    pub cache: Cache,
    pub waiting: VecDeque<(JobId, Attempt)>,
    pub running: Option<Prefill>,
    /// Results of finished prefills that are not imported yet, with their expiry.
    pub results: BTreeMap<JobId, Time>,
    pub streams: BTreeMap<JobId, Stream>,
    step_time: Duration,
    prefill_rate: f64,
}

impl FakeEngine {
    /// Creates an idle engine. `limits` are the cache size in blocks, the duration of a decode
    /// step and the prefill rate in tokens per second.
    pub fn new(spec: Engine, cell: usize, centre: usize, limits: (usize, Duration, u32)) -> Self {
        Self {
            spec,
            centre,
            cell,
            alive: true,
            epoch: 0,
            cache: Cache::new(limits.0),
            waiting: VecDeque::new(),
            running: None,
            results: BTreeMap::new(),
            streams: BTreeMap::new(),
            step_time: limits.1,
            prefill_rate: f64::from(limits.2),
        }
    }

    /// Queues a prefill; returns false if the queue is full.
    pub fn accept(&mut self, id: JobId, attempt: Attempt) -> bool {
        let has_room = self.waiting.len() < MAX_QUEUED_PREFILLS;
        if has_room {
            self.waiting.push_back((id, attempt));
        }
        has_room
    }

    /// Returns the duration of a prefill of `uncached_tokens` tokens and delays the streams that run
    /// on the same engine.
    pub fn begin_prefill(&mut self, uncached_tokens: u32, factor: f64) -> Duration {
        let duration = OVERHEAD
            + Duration::from_secs_f64(f64::from(uncached_tokens) / self.prefill_rate * factor);
        for stream in self.streams.values_mut().filter(|s| s.started) {
            stream.delay += duration.mul_f64(PREFILL_INTERFERENCE);
        }
        duration
    }

    /// Returns the duration of a decode step, which grows with the number of streams.
    pub fn step_time(&self, factor: f64) -> Duration {
        let load = self.streams.len() as f64 / f64::from(self.spec.slots.max(1));
        self.step_time
            .mul_f64(factor * (1.0 + FULL_LOAD_SLOWDOWN * load))
    }

    /// Returns true if the engine decodes and has a free slot.
    pub fn has_slot(&self) -> bool {
        self.spec.role != Role::Prefill && self.streams.len() < self.spec.slots as usize
    }

    /// Returns the load report: the ids of all streams and the number of waiting and running
    /// prefills.
    pub fn report(&self) -> EngineReport {
        EngineReport {
            held: self.streams.keys().copied().collect(),
            queue: (self.waiting.len() + usize::from(self.running.is_some())) as u32,
        }
    }

    /// Stops the engine and clears its state; returns the prefills and streams that are lost.
    pub fn fail(&mut self) -> LostWork {
        self.alive = false;
        self.epoch += 1;
        self.cache = Cache::new(self.cache.capacity);
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
        let elapsed = now.since(self.began).saturating_sub(self.delay);
        let steps = (elapsed.as_secs_f64() / self.step_time.as_secs_f64()) as u32;
        (steps + 1).min(self.tokens)
    }
}
