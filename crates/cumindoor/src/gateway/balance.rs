//! How many engines of a service prefill and how many decode.
//!
//! Answers a load that fills the memory of the decode engines while prefill engines idle, or the
//! reverse. An engine that changes its stage serves nothing for some seconds, so a change has to be
//! clearly better, and changes are rare.

use std::time::Duration;

use border::Stage;
use coord::time::Time;

/// The time over which the use is averaged: longer than a burst of a second, shorter than the
/// bursts that a change can still help with.
const AVERAGING_TIME: Duration = Duration::from_secs(4);
/// The time of observation before the first change.
const WARM_UP_TIME: Duration = Duration::from_secs(3);
/// The time between two changes; an engine needs about half of it to change.
const MIN_CHANGE_INTERVAL: Duration = Duration::from_secs(12);
/// The share of the use below which nothing is gained by a change.
const MIN_PRESSURE: f64 = 0.5;
/// The use after a change in relation to the use before, above which it is not worth its cost.
const MAX_PRESSURE_RATIO: f64 = 0.87;

/// How much more the use of prefill engines counts: prompts that queue delay the first token, while
/// requests that queue for memory still share what becomes free.
const PREFILL_WEIGHT: f64 = 1.25;
/// The part of all engines that may change their stage at once.
const MOVED_ENGINES_DIVISOR: u32 = 8;

/// The use of a service's engines at one moment, in engines.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StageUsage {
    /// Prefill engines that have a prompt to read.
    pub prefill: f64,
    /// Memory that requests hold or wait for, in decode engines' memories.
    pub decode: f64,
}

/// The engines of a service by stage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StageCounts {
    /// Engines that read prompts.
    pub prefill: u32,
    /// Engines that generate.
    pub decode: u32,
}

impl StageCounts {
    /// Returns the use of the stage that is used most.
    fn pressure(self, usage: StageUsage) -> f64 {
        let prefill = PREFILL_WEIGHT * usage.prefill / f64::from(self.prefill);
        let decode = usage.decode / f64::from(self.decode);
        prefill.max(decode)
    }

    fn with_move(self, to: Stage) -> Option<Self> {
        let (prefill, decode) = match to {
            Stage::Prefill => (self.prefill + 1, self.decode.checked_sub(1)?),
            Stage::Decode => (self.prefill.checked_sub(1)?, self.decode + 1),
        };
        (prefill > 0 && decode > 0).then_some(Self { prefill, decode })
    }
}

/// Watches the use of one service's engines.
#[derive(Clone, Debug)]
pub struct StageBalancer {
    average: StageUsage,
    began: Time,
    updated: Time,
    last_change: Option<Time>,
}

impl StageBalancer {
    /// Begins at `now`.
    #[must_use]
    pub fn new(now: Time) -> Self {
        Self {
            average: StageUsage::default(),
            began: now,
            updated: now,
            last_change: None,
        }
    }

    /// Takes the use at `now`; returns the stage that more engines should have, and how many.
    pub fn observe(
        &mut self,
        now: Time,
        usage: StageUsage,
        counts: StageCounts,
    ) -> Option<(Stage, u32)> {
        let elapsed = now.since(self.updated).as_secs_f64();
        let weight = 1.0 - (-elapsed / AVERAGING_TIME.as_secs_f64()).exp();
        self.average.prefill += (usage.prefill - self.average.prefill) * weight;
        self.average.decode += (usage.decode - self.average.decode) * weight;
        self.updated = now;
        let cooling_down = self
            .last_change
            .is_some_and(|at| now.since(at) < MIN_CHANGE_INTERVAL);
        if cooling_down
            || now.since(self.began) < WARM_UP_TIME
            || counts.prefill == 0
            || counts.decode == 0
        {
            return None;
        }
        let pressure = counts.pressure(self.average);
        if pressure < MIN_PRESSURE {
            return None;
        }
        let (stage, engines, after) = [Stage::Decode, Stage::Prefill]
            .into_iter()
            .map(|stage| self.best_move(counts, stage))
            .min_by(|a, b| a.2.total_cmp(&b.2))?;
        (after < pressure * MAX_PRESSURE_RATIO).then_some((stage, engines))
    }

    /// Returns how many engines should move to `stage` at once, and the pressure after that.
    fn best_move(&self, counts: StageCounts, stage: Stage) -> (Stage, u32, f64) {
        let max_moves = ((counts.prefill + counts.decode) / MOVED_ENGINES_DIVISOR).max(1);
        let mut best = (stage, 0, counts.pressure(self.average));
        let mut moved = counts;
        for engines in 1..=max_moves {
            let Some(next) = moved.with_move(stage) else {
                break;
            };
            moved = next;
            let pressure = moved.pressure(self.average);
            if pressure < best.2 {
                best = (stage, engines, pressure);
            }
        }
        best
    }

    /// Notes that an engine changes its stage, by whosever order.
    pub fn record_change(&mut self, now: Time) {
        self.last_change = Some(now);
    }
}
