//! Balance between prefill and decode engines of a service.
//!
//! Responds to a load that fills the KV cache of the decode engines while prefill engines are idle,
//! or the reverse. An engine that switches its stage serves no requests for some seconds, so a
//! switch has to bring a clear gain, and switches are rare.

use std::collections::BTreeMap;
use std::time::Duration;

use border::Stage;
use coord::origin::BuildKey;
use coord::time::Time;

/// Time constant of the usage average: longer than a burst of one second, and shorter than the
/// bursts for which a switch still helps.
const AVERAGING_TIME: Duration = Duration::from_secs(4);
/// Time of observation before the first switch.
const WARM_UP_TIME: Duration = Duration::from_secs(3);
/// Shortest time between two switches. An engine needs about half of it to switch.
const MIN_CHANGE_INTERVAL: Duration = Duration::from_secs(12);
/// Utilisation of the most used stage (see [`StageCounts::utilisation`]) below which a switch
/// brings no gain.
const MIN_UTILISATION: f64 = 0.5;
/// Highest ratio of that utilisation after a switch to the one before it at which the switch is
/// worth its cost.
const MAX_UTILISATION_RATIO: f64 = 0.87;

/// Weight of the prefill usage relative to the decode usage. It exceeds 1 because queued prompts
/// delay the first token, while requests that wait for KV cache are still admitted as it is
/// released.
const PREFILL_WEIGHT: f64 = 1.25;
/// At most one in this many engines may switch at once, or a single one in a smaller pool.
const MOVED_ENGINES_DIVISOR: u32 = 8;

/// Current usage of a service's engines, in numbers of engines.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StageUsage {
    /// Prefill engines that have a prompt to process.
    pub prefill: f64,
    /// KV cache that requests hold or wait for, as a multiple of one decode engine's capacity.
    pub decode: f64,
}

/// The engines of a service by stage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StageCounts {
    /// Engines that prefill.
    pub prefill: u32,
    /// Engines that decode.
    pub decode: u32,
}

impl StageCounts {
    /// Returns the utilisation of the most used stage, with the prefill usage weighted.
    fn utilisation(self, usage: StageUsage) -> f64 {
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

/// Decides when engines of one service should switch their stage.
#[derive(Clone, Debug)]
pub struct StageBalancer {
    average: StageUsage,
    began: Time,
    updated: Time,
    last_change: Option<Time>,
}

impl StageBalancer {
    /// Starts the observation at `now`.
    #[must_use]
    pub fn new(now: Time) -> Self {
        Self {
            average: StageUsage::default(),
            began: now,
            updated: now,
            last_change: None,
        }
    }

    /// Records the usage at `now`. Returns the stage that needs more engines and how many should
    /// switch to it.
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
        let utilisation = counts.utilisation(self.average);
        if utilisation < MIN_UTILISATION {
            return None;
        }
        let (stage, engines, after) = [Stage::Decode, Stage::Prefill]
            .into_iter()
            .map(|stage| self.best_move(counts, stage))
            .min_by(|a, b| a.2.total_cmp(&b.2))?;
        (after < utilisation * MAX_UTILISATION_RATIO).then_some((stage, engines))
    }

    /// Returns how many engines should switch to `stage` at once, and the utilisation after that.
    fn best_move(&self, counts: StageCounts, stage: Stage) -> (Stage, u32, f64) {
        let max_moves = ((counts.prefill + counts.decode) / MOVED_ENGINES_DIVISOR).max(1);
        let mut best = (stage, 0, counts.utilisation(self.average));
        let mut moved = counts;
        for engines in 1..=max_moves {
            let Some(next) = moved.with_move(stage) else {
                break;
            };
            moved = next;
            let utilisation = moved.utilisation(self.average);
            if utilisation < best.2 {
                best = (stage, engines, utilisation);
            }
        }
        best
    }

    /// Records that an engine switches its stage, whichever gateway ordered it.
    pub fn record_change(&mut self, now: Time) {
        self.last_change = Some(now);
    }
}

/// Returns those of the engines, in their order, that may leave a stage together. Of each build one engine
/// stays, because a stream that began at a build can go on nowhere else. `all` has the build of each engine
/// of the stage.
pub fn sparable<T>(engines: Vec<T>, all: &[BuildKey], build: impl Fn(&T) -> BuildKey) -> Vec<T> {
    let mut left: BTreeMap<BuildKey, usize> = BTreeMap::new();
    for build in all {
        *left.entry(*build).or_default() += 1;
    }
    let mut may_leave = |engine: &T| {
        let left = left.entry(build(engine)).or_default();
        let spare = *left > 1;
        *left -= usize::from(spare);
        spare
    };
    engines
        .into_iter()
        .filter(|engine| may_leave(engine))
        .collect()
}
