//! Running averages from which starts and ends are estimated.

use std::time::Duration;

use super::types::SchedOptions;
use crate::time::Time;

/// Weight of a new sample in an average; about 50 samples count.
const WEIGHT: f64 = 0.02;

/// Time that a prefill takes besides its tokens: messages and one step.
const PREFILL_OVERHEAD_US: u64 = 5_000;

/// Fraction bits of the time per token in microseconds.
const FRACTION_BITS: u32 = 10;

/// A stream's expected duration before the first one has ended, in steps.
const FIRST_STREAM_STEPS: u32 = 200;

/// Averages over the cell's recent work.
#[derive(Debug)]
pub(super) struct Estimates {
    /// Duration of a prefill against the one computed from the configured rate.
    slowness: f64,
    /// Share of prompt tokens that are not cached.
    fresh: f64,
    /// Seconds that a stream holds its slot.
    stream: f64,
    rate: f64,
    /// Microseconds per token, with [`FRACTION_BITS`] fraction bits.
    token: u64,
    link: f64,
}

impl Estimates {
    /// Starts from the configured rates.
    pub(super) fn new(options: &SchedOptions) -> Self {
        let mut new = Self {
            slowness: 1.0,
            fresh: 1.0,
            stream: (options.decode_step * FIRST_STREAM_STEPS).as_secs_f64(),
            rate: f64::from(options.prefill_rate.max(1)),
            token: 0,
            link: real(options.link_rate.max(1)),
        };
        new.set_token();
        new
    }

    /// Returns how long a prefill of `work` uncached tokens takes.
    pub(super) fn prefill(&self, work: u32) -> Duration {
        Duration::from_micros(self.prefill_micros(work))
    }

    /// Returns how long a prefill of `work` uncached tokens takes, in microseconds.
    pub(super) fn prefill_micros(&self, work: u32) -> u64 {
        PREFILL_OVERHEAD_US + self.micros(work)
    }

    /// Returns how long the computation of `work` tokens takes without overhead, in microseconds.
    pub(super) fn micros(&self, work: u32) -> u64 {
        (u64::from(work) * self.token) >> FRACTION_BITS
    }

    /// Returns the microseconds until one of `streams` streams has ended.
    pub(super) fn next_slot(&self, streams: u32) -> u64 {
        u64::from(whole(self.stream * 1e6 / f64::from(streams.max(1))))
    }

    /// Returns how long `bytes` take on an empty link.
    pub(super) fn transfer(&self, bytes: u64) -> Duration {
        seconds(real(bytes) / self.link)
    }

    /// Returns how long `engines` need for queued prompts of `tokens` in all.
    pub(super) fn backlog(&self, tokens: u64, engines: usize) -> Duration {
        let rate = self.rate * real(engines.max(1) as u64);
        seconds(real(tokens) * self.fresh * self.slowness / rate)
    }

    /// Returns how long until `jobs` slots out of `slots` have become free.
    pub(super) fn slot_wait(&self, jobs: f64, slots: u32) -> Duration {
        seconds(jobs.max(0.0) * self.stream / f64::from(slots.max(1)))
    }

    /// Returns the slots out of `streams` that are likely to become free within `time`.
    ///
    /// The ends of streams are close to a Poisson process; one deviation below its mean is
    /// reached in about 5 of 6 cases. In the others a result waits longer than planned, for which
    /// the caller leaves room; two deviations left slots idle.
    pub(super) fn freed(&self, streams: u32, time: Duration) -> u32 {
        let mean = f64::from(streams) * time.as_secs_f64() / self.stream;
        whole(mean - mean.sqrt())
    }

    /// Learns from a finished prefill of `work` tokens out of `prompt`.
    pub(super) fn prefilled(&mut self, prompt: u32, work: u32, took: Duration) {
        let nominal = real(PREFILL_OVERHEAD_US) / 1e6 + f64::from(work) / self.rate;
        let ratio = (took.as_secs_f64() / nominal).clamp(0.2, 5.0);
        average(&mut self.slowness, ratio);
        self.set_token();
        average(&mut self.fresh, f64::from(work) / f64::from(prompt.max(1)));
    }

    /// Derives the time per token from the averages.
    fn set_token(&mut self) {
        let micros = 1e6 / self.rate * self.slowness;
        self.token = u64::from(whole(micros * f64::from(1 << FRACTION_BITS)));
    }

    /// Learns from a finished stream.
    pub(super) fn streamed(&mut self, took: Duration) {
        average(&mut self.stream, took.as_secs_f64().max(0.001));
    }
}

/// Weight of a new interval between two starts.
const PACE_WEIGHT: f64 = 0.1;

/// The intervals between starts of jobs while more jobs wait.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Pace {
    /// Average in seconds; 0 before the first sample.
    average: f64,
    /// The last start, if jobs waited after it.
    last: Option<Time>,
}

impl Pace {
    /// Learns from a start; `waiting` is true if more jobs wait.
    pub(super) fn started(&mut self, now: Time, waiting: bool) {
        if let Some(last) = self.last {
            let sample = now.since(last).as_secs_f64();
            let weight = if self.average > 0.0 { PACE_WEIGHT } else { 1.0 };
            self.average += (sample - self.average) * weight;
        }
        self.last = waiting.then_some(now);
    }

    /// Returns the expected time of `starts` starts; the present interval counts at least.
    pub(super) fn time(&self, now: Time, starts: f64) -> Duration {
        let present = self.last.map_or(Duration::ZERO, |last| now.since(last));
        seconds(self.average * starts).max(present)
    }
}

/// Converts a count for estimates, where the loss above 2^53 does not matter.
#[allow(clippy::cast_precision_loss)]
pub(super) fn real(count: u64) -> f64 {
    count as f64
}

/// Rounds towards zero; negative values give 0.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn whole(value: f64) -> u32 {
    value.max(0.0) as u32
}

fn average(value: &mut f64, sample: f64) {
    *value += (sample - *value) * WEIGHT;
}

/// Converts seconds to a duration of at most one day.
fn seconds(s: f64) -> Duration {
    Duration::from_secs_f64(s.clamp(0.0, 86_400.0))
}
