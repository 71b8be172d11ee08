//! Where counters go: memory, or memory and a statsd server.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use cadence::MetricSink;

/// Upper bounds of a timer's buckets in milliseconds, about two for each factor of three.
pub const BUCKET_BOUNDS_MS: [u64; 11] = [5, 10, 25, 50, 100, 150, 300, 900, 2_000, 5_000, 15_000];

/// A timer's sums.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TimerTotals {
    /// Number of values.
    pub count: u64,
    /// Their sum in milliseconds.
    pub sum_ms: u64,
    /// The largest one in milliseconds.
    pub max_ms: u64,
    /// Values up to each of [`BUCKET_BOUNDS_MS`]; larger ones are only in `count`.
    pub buckets: [u64; BUCKET_BOUNDS_MS.len()],
}

impl TimerTotals {
    fn add(&mut self, ms: u64) {
        self.count += 1;
        self.sum_ms += ms;
        self.max_ms = self.max_ms.max(ms);
        for (bucket, bound) in self.buckets.iter_mut().zip(BUCKET_BOUNDS_MS) {
            *bucket += u64::from(ms <= bound);
        }
    }

    fn write(&self, text: &mut String, name: &str) {
        for (count, bound) in self.buckets.iter().zip(BUCKET_BOUNDS_MS) {
            let _ = writeln!(text, "{name}_ms_bucket{{le=\"{bound}\"}} {count}");
        }
        let _ = writeln!(text, "{name}_ms_bucket{{le=\"+Inf\"}} {}", self.count);
        let _ = writeln!(text, "{name}_ms_sum {}", self.sum_ms);
        let _ = writeln!(text, "{name}_ms_count {}", self.count);
    }
}

/// The sums of all counters and timers and the last value of each gauge.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Counters by name.
    pub counters: BTreeMap<String, u64>,
    /// Gauges by name.
    pub gauges: BTreeMap<String, u64>,
    /// Timers by name.
    pub timers: BTreeMap<String, TimerTotals>,
}

impl Snapshot {
    /// Writes the sums as text, one metric in each line, as common collectors read it.
    #[must_use]
    pub fn to_text(&self) -> String {
        let mut text = String::new();
        let sanitized = |name: &str| name.replace(['.', '-'], "_");
        for (name, value) in &self.counters {
            let _ = writeln!(text, "{}_total {value}", sanitized(name));
        }
        for (name, value) in &self.gauges {
            let _ = writeln!(text, "{} {value}", sanitized(name));
        }
        for (name, timer) in &self.timers {
            timer.write(&mut text, &sanitized(name));
        }
        text
    }
}

/// Adds up what it is sent; clones share the sums.
#[derive(Clone, Debug, Default)]
pub struct MemorySink {
    totals: Arc<Mutex<Snapshot>>,
}

impl MemorySink {
    /// Returns the sums so far.
    #[must_use]
    pub fn snapshot(&self) -> Snapshot {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Snapshot> {
        self.totals.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn add(&self, metric: &str) -> Option<()> {
        let (name, rest) = metric.split_once(':')?;
        let mut parts = rest.split('|');
        let value: u64 = parts.next()?.parse().ok()?;
        let mut totals = self.lock();
        match parts.next()? {
            "c" => *totals.counters.entry(name.to_owned()).or_default() += value,
            "g" => {
                totals.gauges.insert(name.to_owned(), value);
            }
            "ms" => {
                let timer = totals.timers.entry(name.to_owned()).or_default();
                timer.add(value);
            }
            _ => return None,
        }
        Some(())
    }
}

impl MetricSink for MemorySink {
    fn emit(&self, metric: &str) -> io::Result<usize> {
        match self.add(metric) {
            Some(()) => Ok(metric.len()),
            None => Err(io::Error::new(io::ErrorKind::InvalidData, "unknown metric")),
        }
    }
}

/// Sends each metric to two sinks.
pub(super) struct Tee<A, B> {
    first: A,
    second: B,
}

impl<A, B> Tee<A, B> {
    pub(super) fn new(first: A, second: B) -> Self {
        Self { first, second }
    }
}

impl<A: MetricSink, B: MetricSink> MetricSink for Tee<A, B> {
    fn emit(&self, metric: &str) -> io::Result<usize> {
        self.first.emit(metric)?;
        self.second.emit(metric)
    }

    fn flush(&self) -> io::Result<()> {
        self.second.flush()
    }
}
