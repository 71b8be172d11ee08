//! How long work takes at each upstream compared with the others of its service and stage.
//!
//! A learned ratio tells fast machines from slow ones. A stated slowdown tells what else runs on the machine
//! at this moment. Both belong to one start of an upstream. See `docs/design/uneven.md`.

use std::collections::BTreeMap;
use std::time::Duration;

use coord::limit::LimitKey;
use coord::time::Time;
use serde::{Deserialize, Serialize};

use crate::gateway::admission::load_table::Key;

/// Lowest and highest ratio that is believed. Engines of one service differ by a factor of three or so; more comes
/// from faulty figures.
const RATIO_BOUNDS: (f64, f64) = (0.1, 10.0);
/// Weight of the newest observation in a learned ratio, which thus follows the last ten or so.
const OBSERVATION_WEIGHT: f64 = 0.1;
/// Weight of the newest observation in what is usual. It is smaller than that of a ratio, since all upstreams
/// of a service add to it.
const USUAL_WEIGHT: f64 = 0.02;
/// Number of observations after which a gateway knows what is usual. Ratios to fewer would tell what this gateway
/// happened to use first.
const MIN_USUAL_COUNT: u32 = 5;
/// Time after which a stated slowdown has lost most of its weight. Machines change about as often.
const STATEMENT_MEMORY: Duration = Duration::from_millis(600);
/// Time for which ratios are kept of a start that is not listed, because its entry may lapse and return.
const UNLISTED_RETENTION: Duration = Duration::from_mins(1);
/// Maximum number of starts of upstreams whose ratios are kept. A site has far fewer.
const MAX_KNOWN: usize = 4_096;
/// Maximum number of observations in a digest, which take 16 bytes each at most.
pub const MAX_TOLD: usize = 64;

/// Work whose time is observed. Times of different kinds cannot be compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Work {
    /// The prefill of one prompt token.
    PromptToken,
    /// The time from one event of a stream to the next.
    Event,
    /// A whole call to a plain service.
    Call,
}

/// What one answer of an upstream tells of its speed, as gateways report it to each other.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// The start of the upstream.
    pub key: LimitKey,
    /// Stated slowdown in percent, or 0 if none was stated.
    pub slowdown: u16,
    /// Time of the work in percent of the usual time, without the stated slowdown, or 0 if it was not observed.
    pub ratio: u16,
}

/// A moving average of logarithms, so that twice the time weighs as much as half of it.
#[derive(Clone, Copy, Debug, Default)]
struct Average {
    log: f64,
    count: u32,
}

impl Average {
    /// Adds a value. `prior` counts as that many earlier values of 1.
    fn add(&mut self, value: f64, weight: f64, prior: u32) {
        let earlier = self.count.saturating_add(prior);
        let weight = weight.max(1.0 / (f64::from(earlier) + 1.0));
        self.log += (value.ln() - self.log) * weight;
        self.count = self.count.saturating_add(1);
    }

    fn value(self) -> f64 {
        self.log.exp()
    }
}

/// What is known of one start of an upstream.
#[derive(Clone, Copy, Debug)]
struct Speed {
    ratio: Average,
    /// The last stated slowdown as a ratio, and when it was stated.
    stated: Option<(Time, f64)>,
    /// When it was last listed or observed.
    listed: Time,
}

impl Speed {
    /// Returns what is left of the stated slowdown. One that is old tells nothing.
    fn slowdown(&self, now: Time) -> f64 {
        let Some((at, stated)) = self.stated else {
            return 1.0;
        };
        let age = now.since(at).as_secs_f64() / STATEMENT_MEMORY.as_secs_f64();
        1.0 + (stated - 1.0) * (-age).exp()
    }
}

/// The speeds of upstreams, by start. Nothing is learned, and all work takes the usual time, until this is
/// activated.
#[derive(Clone, Debug, Default)]
pub struct Speeds {
    is_active: bool,
    known: BTreeMap<LimitKey, Speed>,
    /// The usual time of each kind of work in milliseconds, by service.
    usual: BTreeMap<(Key, Work), Average>,
    /// Own observations that other gateways have not been told.
    untold: Vec<Observation>,
}

impl Speeds {
    /// Sets whether speeds are learned. What is known is dropped if not.
    pub fn activate(&mut self, is_active: bool) {
        if is_active {
            self.is_active = true;
        } else {
            *self = Self::default();
        }
    }

    /// Records the slowdown in percent that an upstream states in an answer to this gateway.
    pub fn record_stated(&mut self, now: Time, key: LimitKey, percent: u32) {
        let slowdown = u16::try_from(percent).unwrap_or(u16::MAX);
        let observation = Observation {
            key,
            slowdown,
            ratio: 0,
        };
        self.apply(now, observation);
        self.tell(observation);
    }

    /// Records how many milliseconds a piece of work took that has just ended at an upstream.
    pub fn record_time(&mut self, now: Time, key: LimitKey, (service, work): (Key, Work), ms: f64) {
        if !self.is_active || !ms.is_finite() || ms <= 0.0 {
            return;
        }
        let known = self.known.get(&key);
        let own = ms / known.map_or(1.0, |speed| speed.slowdown(now));
        let usual = self.usual.entry((service, work)).or_default();
        usual.add(own, USUAL_WEIGHT, 0);
        if usual.count < MIN_USUAL_COUNT {
            return;
        }
        let observation = Observation {
            key,
            slowdown: 0,
            ratio: to_percent(bounded(own / usual.value())),
        };
        self.apply(now, observation);
        self.tell(observation);
    }

    /// Applies what another gateway has observed. Its message takes little time compared with what changes.
    pub fn merge(&mut self, now: Time, observed: &[Observation]) {
        for observation in observed.iter().take(MAX_TOLD) {
            self.apply(now, *observation);
        }
    }

    /// Returns the own observations since the last call, for the next digest.
    pub fn take_untold(&mut self) -> Vec<Observation> {
        std::mem::take(&mut self.untold)
    }

    /// Returns how long work that starts now takes at an upstream compared with the usual time.
    #[must_use]
    pub fn factor(&self, now: Time, key: LimitKey) -> f64 {
        self.factor_over(now, key, Duration::ZERO)
    }

    /// Returns how long work that starts now and goes on for `span` takes compared with the usual time. The
    /// stated slowdown holds only for the first part of it.
    #[must_use]
    pub fn factor_over(&self, now: Time, key: LimitKey, span: Duration) -> f64 {
        let Some(speed) = self.known.get(&key) else {
            return 1.0;
        };
        let spans = span.as_secs_f64() / STATEMENT_MEMORY.as_secs_f64();
        let share = if spans > 0.0 {
            (1.0 - (-spans).exp()) / spans
        } else {
            1.0
        };
        let slowdown = 1.0 + (speed.slowdown(now) - 1.0) * share;
        bounded(bounded(speed.ratio.value()) * slowdown)
    }

    /// Returns the usual time of a kind of work at a service, if it is known.
    #[must_use]
    pub fn usual(&self, service: Key, work: Work) -> Option<Duration> {
        let usual = self.usual.get(&(service, work))?;
        let known = usual.count >= MIN_USUAL_COUNT;
        let time = Duration::try_from_secs_f64(usual.value() / 1_000.0);
        time.ok().filter(|_| known)
    }

    /// Drops what is no longer needed; `is_listed` tells which starts the store lists.
    pub fn expire(&mut self, now: Time, is_listed: impl Fn(LimitKey) -> bool) {
        self.known.retain(|key, speed| {
            if is_listed(*key) {
                speed.listed = now;
            }
            now.since(speed.listed) < UNLISTED_RETENTION
        });
    }

    fn apply(&mut self, now: Time, observation: Observation) {
        let Observation {
            key,
            slowdown,
            ratio,
        } = observation;
        let is_full = self.known.len() >= MAX_KNOWN && !self.known.contains_key(&key);
        if !self.is_active || is_full || (slowdown, ratio) == (0, 0) {
            return;
        }
        let speed = self.known.entry(key).or_insert(Speed {
            ratio: Average::default(),
            stated: None,
            listed: now,
        });
        if slowdown > 0 {
            speed.stated = Some((now, bounded(f64::from(slowdown) / 100.0)));
        }
        if ratio > 0 {
            let ratio = bounded(f64::from(ratio) / 100.0);
            speed.ratio.add(ratio, OBSERVATION_WEIGHT, 1);
        }
    }

    /// Keeps an observation for the next digest. What one answer told goes into one entry.
    fn tell(&mut self, observation: Observation) {
        if !self.is_active || (observation.slowdown, observation.ratio) == (0, 0) {
            return;
        }
        let is_full = self.untold.len() >= MAX_TOLD;
        let mut untold = self.untold.iter_mut().rev();
        let same = untold.find(|earlier| earlier.key == observation.key);
        match same {
            Some(earlier) if observation.ratio == 0 => earlier.slowdown = observation.slowdown,
            Some(earlier) if earlier.ratio == 0 => earlier.ratio = observation.ratio,
            // Others learn from the answers that follow.
            _ if is_full => {}
            _ => self.untold.push(observation),
        }
    }
}

fn bounded(ratio: f64) -> f64 {
    let (least, most) = RATIO_BOUNDS;
    ratio.clamp(least, most)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a bounded ratio is between 10 and 1000 percent"
)]
fn to_percent(ratio: f64) -> u16 {
    (ratio * 100.0).round() as u16
}
