//! The destinations of metrics: memory, or memory and a statsd server.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use cadence::MetricSink;

/// The upper bounds of a timer's histogram buckets, about two for each factor of three.
pub const BUCKET_BOUNDS_MS: [u64; 11] = [5, 10, 25, 50, 100, 150, 300, 900, 2_000, 5_000, 15_000];

/// The totals and the histogram of a timer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TimerTotals {
    /// The number of values.
    pub count: u64,
    /// The sum of the values in milliseconds.
    pub sum_ms: u64,
    /// The largest value in milliseconds.
    pub max_ms: u64,
    /// The number of values up to each of [`BUCKET_BOUNDS_MS`]. Larger values are only in `count`.
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

/// The totals of all counters and timers, and the last value of each gauge.
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
    /// Formats the metrics in the Prometheus text format, without type comments.
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

/// A sink that aggregates metrics in memory. Clones share the totals.
#[derive(Clone, Debug, Default)]
pub struct MemorySink {
    totals: Arc<Mutex<Snapshot>>,
}

impl MemorySink {
    /// Returns the totals so far.
    #[must_use]
    pub fn snapshot(&self) -> Snapshot {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Snapshot> {
        self.totals.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a metric in the statsd format. Returns `None` if it is malformed or of another type.
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
            None => Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "expected a statsd counter, gauge or timer",
            )),
        }
    }
}

/// A sink that sends each metric to two sinks.
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
