//! Where counters go: memory, or memory and a statsd server.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use cadence::MetricSink;

/// A timer's sums.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Timing {
    /// Number of values.
    pub count: u64,
    /// Their sum in milliseconds.
    pub sum_ms: u64,
    /// The largest one in milliseconds.
    pub max_ms: u64,
}

/// The sums of all counters and timers and the last value of each gauge.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Counters by name.
    pub counters: BTreeMap<String, u64>,
    /// Gauges by name.
    pub gauges: BTreeMap<String, u64>,
    /// Timers by name.
    pub timers: BTreeMap<String, Timing>,
}

/// Adds up what it is sent; clones share the sums.
#[derive(Clone, Debug, Default)]
pub struct MemorySink {
    sums: Arc<Mutex<Snapshot>>,
}

impl MemorySink {
    /// Returns the sums so far.
    #[must_use]
    pub fn snapshot(&self) -> Snapshot {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Snapshot> {
        self.sums.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn add(&self, metric: &str) -> Option<()> {
        let (name, rest) = metric.split_once(':')?;
        let mut parts = rest.split('|');
        let value: u64 = parts.next()?.parse().ok()?;
        let mut sums = self.lock();
        match parts.next()? {
            "c" => *sums.counters.entry(name.to_owned()).or_default() += value,
            "g" => {
                sums.gauges.insert(name.to_owned(), value);
            }
            "ms" => {
                let timing = sums.timers.entry(name.to_owned()).or_default();
                timing.count += 1;
                timing.sum_ms += value;
                timing.max_ms = timing.max_ms.max(value);
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
pub(super) struct Both<A, B> {
    first: A,
    second: B,
}

impl<A, B> Both<A, B> {
    pub(super) fn new(first: A, second: B) -> Self {
        Self { first, second }
    }
}

impl<A: MetricSink, B: MetricSink> MetricSink for Both<A, B> {
    fn emit(&self, metric: &str) -> io::Result<usize> {
        self.first.emit(metric)?;
        self.second.emit(metric)
    }

    fn flush(&self) -> io::Result<()> {
        self.second.flush()
    }
}
