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
const MEMORY: Duration = Duration::from_secs(4);
/// The time of observation before the first change.
const WARM_UP: Duration = Duration::from_secs(3);
/// The time between two changes; an engine needs about half of it to change.
const PAUSE: Duration = Duration::from_secs(12);
/// The share of the use below which nothing is gained by a change.
const IDLE: f64 = 0.5;
/// The use after a change in relation to the use before, above which it is not worth its cost.
const GAIN: f64 = 0.87;

/// How much more the use of prefill engines counts: prompts that queue delay the first token, while
/// requests that queue for memory still share what becomes free.
const PREFILL_WEIGHT: f64 = 1.25;
/// The part of all engines that may change their stage at once.
const MOVED_PART: u32 = 8;

/// The use of a service's engines at one moment, in engines.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Prefill engines that have a prompt to read.
    pub prefill: f64,
    /// Memory that requests hold or wait for, in decode engines' memories.
    pub decode: f64,
}

/// The engines of a service by stage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Split {
    /// Engines that read prompts.
    pub prefill: u32,
    /// Engines that generate.
    pub decode: u32,
}

impl Split {
    /// Returns the use of the stage that is used most.
    fn pressure(self, usage: Usage) -> f64 {
        let prefill = PREFILL_WEIGHT * usage.prefill / f64::from(self.prefill);
        let decode = usage.decode / f64::from(self.decode);
        prefill.max(decode)
    }

    fn moved(self, to: Stage) -> Option<Self> {
        let (prefill, decode) = match to {
            Stage::Prefill => (self.prefill + 1, self.decode.checked_sub(1)?),
            Stage::Decode => (self.prefill.checked_sub(1)?, self.decode + 1),
        };
        (prefill > 0 && decode > 0).then_some(Self { prefill, decode })
    }
}

/// Watches the use of one service's engines.
#[derive(Clone, Debug)]
pub struct Balance {
    average: Usage,
    began: Time,
    updated: Time,
    changed: Option<Time>,
}

impl Balance {
    /// Begins at `now`.
    #[must_use]
    pub fn new(now: Time) -> Self {
        Self {
            average: Usage::default(),
            began: now,
            updated: now,
            changed: None,
        }
    }

    /// Takes the use at `now`; returns the stage that more engines should have, and how many.
    pub fn observe(&mut self, now: Time, usage: Usage, split: Split) -> Option<(Stage, u32)> {
        let passed = now.since(self.updated).as_secs_f64();
        let share = 1.0 - (-passed / MEMORY.as_secs_f64()).exp();
        self.average.prefill += (usage.prefill - self.average.prefill) * share;
        self.average.decode += (usage.decode - self.average.decode) * share;
        self.updated = now;
        let resting = self.changed.is_some_and(|at| now.since(at) < PAUSE);
        if resting || now.since(self.began) < WARM_UP || split.prefill == 0 || split.decode == 0 {
            return None;
        }
        let pressure = split.pressure(self.average);
        if pressure < IDLE {
            return None;
        }
        let (stage, engines, after) = [Stage::Decode, Stage::Prefill]
            .into_iter()
            .map(|stage| self.best(split, stage))
            .min_by(|a, b| a.2.total_cmp(&b.2))?;
        (after < pressure * GAIN).then_some((stage, engines))
    }

    /// Returns how many engines should move to `stage` at once, and the pressure after that.
    fn best(&self, split: Split, stage: Stage) -> (Stage, u32, f64) {
        let most = ((split.prefill + split.decode) / MOVED_PART).max(1);
        let mut best = (stage, 0, split.pressure(self.average));
        let mut moved = split;
        for engines in 1..=most {
            let Some(next) = moved.moved(stage) else {
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
    pub fn changed(&mut self, now: Time) {
        self.changed = Some(now);
    }
}
