//! Moving averages of the cell's recent performance, and estimates that are based on them.

use std::time::Duration;

use super::types::SchedOptions;
use crate::time::Time;

/// Weight of a new sample in an exponential moving average, which thus covers about 50 samples.
const SAMPLE_WEIGHT: f64 = 0.02;

/// Time that a prefill takes in addition to its tokens, for messages and one engine step.
const PREFILL_OVERHEAD_US: u64 = 5_000;

/// Number of fraction bits of the fixed-point time per token in microseconds.
const FRACTION_BITS: u32 = 10;

/// Initial estimate of the duration of a stream, in decode steps.
const DEFAULT_STREAM_STEPS: u32 = 200;

/// Moving averages over the recent jobs of the cell, and the configured rates.
#[derive(Debug)]
pub(super) struct Estimates {
    /// Ratio of the measured duration of a prefill to the one computed from the configured rate.
    slowdown: f64,
    /// Share of prompt tokens that are not cached.
    uncached_share: f64,
    /// Time that a stream holds its decode slot.
    stream_secs: f64,
    /// Configured rate of a prefill engine in tokens per second.
    prefill_rate: f64,
    /// Time per prompt token, as a fixed-point number with [`FRACTION_BITS`] fraction bits.
    token_us: u64,
    /// Configured bandwidth of a link in bytes per second.
    link_rate: f64,
}

impl Estimates {
    /// Creates estimates from the configured rates.
    pub(super) fn new(options: &SchedOptions) -> Self {
        let mut new = Self {
            slowdown: 1.0,
            uncached_share: 1.0,
            stream_secs: (options.decode_step * DEFAULT_STREAM_STEPS).as_secs_f64(),
            prefill_rate: f64::from(options.prefill_rate.max(1)),
            token_us: 0,
            link_rate: to_f64(options.link_rate.max(1)),
        };
        new.update_token_time();
        new
    }

    /// Returns the expected duration of a prefill with `uncached` tokens that are not cached.
    pub(super) fn prefill(&self, uncached: u32) -> Duration {
        Duration::from_micros(self.prefill_micros(uncached))
    }

    /// Returns the expected duration of a prefill with `uncached` tokens that are not cached, in
    /// microseconds.
    pub(super) fn prefill_micros(&self, uncached: u32) -> u64 {
        PREFILL_OVERHEAD_US + self.compute_micros(uncached)
    }

    /// Returns the expected time to compute `uncached` tokens without overhead, in microseconds.
    pub(super) fn compute_micros(&self, uncached: u32) -> u64 {
        (u64::from(uncached) * self.token_us) >> FRACTION_BITS
    }

    /// Returns the expected time until one of `streams` streams ends, in microseconds.
    pub(super) fn next_slot_micros(&self, streams: u32) -> u64 {
        u64::from(to_u32(self.stream_secs * 1e6 / f64::from(streams.max(1))))
    }

    /// Returns the time to transfer `bytes` on an idle link.
    pub(super) fn transfer(&self, bytes: u64) -> Duration {
        duration_from_secs(to_f64(bytes) / self.link_rate)
    }

    /// Returns the expected time that `engines` engines need for queued prompts with `tokens`
    /// tokens in total, of which the usual share is cached.
    pub(super) fn queue_time(&self, tokens: u64, engines: usize) -> Duration {
        let rate = self.prefill_rate * to_f64(engines.max(1) as u64);
        duration_from_secs(to_f64(tokens) * self.uncached_share * self.slowdown / rate)
    }

    /// Returns the expected time until `jobs` out of `slots` decode slots have become free.
    pub(super) fn slot_wait(&self, jobs: f64, slots: u32) -> Duration {
        duration_from_secs(jobs.max(0.0) * self.stream_secs / f64::from(slots.max(1)))
    }

    /// Returns the number of slots that `streams` streams are likely to release within `time`.
    ///
    /// The ends of streams are close to a Poisson process, for which one standard deviation below
    /// the mean is reached in about 5 of 6 cases. In the other cases a result waits longer than
    /// planned, for which the caller leaves a margin. Two standard deviations below the mean kept
    /// slots idle.
    pub(super) fn likely_freed(&self, streams: u32, time: Duration) -> u32 {
        let mean = f64::from(streams) * time.as_secs_f64() / self.stream_secs;
        to_u32(mean - mean.sqrt())
    }

    /// Updates the averages with a finished prefill that computed `uncached` of `prompt` tokens.
    pub(super) fn record_prefill(&mut self, prompt: u32, uncached: u32, elapsed: Duration) {
        let nominal = to_f64(PREFILL_OVERHEAD_US) / 1e6 + f64::from(uncached) / self.prefill_rate;
        let ratio = (elapsed.as_secs_f64() / nominal).clamp(0.2, 5.0);
        update_average(&mut self.slowdown, ratio);
        self.update_token_time();
        update_average(
            &mut self.uncached_share,
            f64::from(uncached) / f64::from(prompt.max(1)),
        );
    }

    /// Computes the time per token from the averages.
    fn update_token_time(&mut self) {
        let micros = 1e6 / self.prefill_rate * self.slowdown;
        self.token_us = u64::from(to_u32(micros * f64::from(1 << FRACTION_BITS)));
    }

    /// Updates the average with the duration of a finished stream.
    pub(super) fn record_stream(&mut self, elapsed: Duration) {
        update_average(&mut self.stream_secs, elapsed.as_secs_f64().max(0.001));
    }
}

/// Weight of a new interval in the moving average of the intervals between starts.
const START_INTERVAL_WEIGHT: f64 = 0.1;

/// The rate at which jobs start while more jobs wait, measured by the intervals between starts.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct StartRate {
    /// Moving average of the intervals in seconds, or 0 before the first sample.
    interval: f64,
    /// The last start, or `None` if no job waited after it.
    last_start: Option<Time>,
}

impl StartRate {
    /// Records a start, where `waiting` is true if more jobs wait.
    pub(super) fn record_start(&mut self, now: Time, waiting: bool) {
        if let Some(last) = self.last_start {
            let sample = now.since(last).as_secs_f64();
            let weight = if self.interval > 0.0 {
                START_INTERVAL_WEIGHT
            } else {
                1.0
            };
            self.interval += (sample - self.interval) * weight;
        }
        self.last_start = waiting.then_some(now);
    }

    /// Returns the expected time until `starts` jobs have started, which is at least the time since
    /// the last start.
    pub(super) fn time_for(&self, now: Time, starts: f64) -> Duration {
        let current = self
            .last_start
            .map_or(Duration::ZERO, |last| now.since(last));
        duration_from_secs(self.interval * starts).max(current)
    }
}

/// Converts a count to a float. The loss of precision above 2^53 does not matter for estimates.
#[allow(clippy::cast_precision_loss)]
pub(super) fn to_f64(count: u64) -> f64 {
    count as f64
}

/// Rounds towards zero and converts negative values to 0.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn to_u32(value: f64) -> u32 {
    value.max(0.0) as u32
}

fn update_average(value: &mut f64, sample: f64) {
    *value += (sample - *value) * SAMPLE_WEIGHT;
}

/// Converts seconds to a duration of at most one day.
fn duration_from_secs(s: f64) -> Duration {
    Duration::from_secs_f64(s.clamp(0.0, 86_400.0))
}
