//! Rate limits per organisation over all VMs.
//!
//! One computed owner per organisation holds a token [`Bucket`]. Entry VMs draw credit from it
//! in batches with a [`Drawer`] and return what they do not use. See `docs/design.md`,
//! section 6.8.
//!
//! # Example
//!
//! ```
//! use coord::limit::{Bucket, Draw, Drawer};
//! use coord::time::Time;
//!
//! let now = Time::ZERO;
//! let mut bucket = Bucket::new(now, 100);
//! let mut drawer = Drawer::new(now, 100, 8);
//!
//! assert!(!drawer.take(now, 1));
//! let draw = drawer.draw(now).expect("a message is due");
//! let grant = bucket.draw(now, draw);
//! drawer.granted(now, grant);
//!
//! assert!(drawer.retake(now, 1));
//! ```

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::time::Time;

/// Capacity of a bucket: what an organisation may use at once after a pause.
const BURST: Duration = Duration::from_millis(500);

/// Time between two draws of one entry VM. Bounds its messages to 5 a second per organisation
/// that it serves.
const PAUSE: Duration = Duration::from_millis(200);

/// Time without an answer after which an entry VM takes its share without the owner.
const ALONE: Duration = Duration::from_secs(1);

/// Time after which unused credit goes back, so that idle VMs hold none.
const IDLE: Duration = Duration::from_millis(400);

/// Micro-credits in one credit: a rate of 1 per second over 340 VMs still counts exactly.
const MICRO: u64 = 1_000_000;

/// An entry VM's message to the owner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Draw {
    /// Credits that it wants: its demand since the last draw.
    pub want: u64,
    /// Credits that it did not need.
    pub back: u64,
    /// Number of the message; the answer repeats it.
    pub sequence: u64,
}

/// The owner's answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Credits, at most as many as wanted.
    pub credit: u64,
    /// Number of the message that it answers.
    pub sequence: u64,
}

/// Tokens that flow in at a fixed rate up to a bound, in micro-credits.
#[derive(Clone, Debug)]
struct Flow {
    rate: u64,
    parts: u64,
    level: u64,
    at: Time,
}

impl Flow {
    /// `rate` credits a second, divided by `parts`.
    const fn new(now: Time, rate: u64, parts: u64) -> Self {
        Self {
            rate,
            parts: if parts == 0 { 1 } else { parts },
            level: 0,
            at: now,
        }
    }

    fn take(&mut self, now: Time, most: u64) -> u64 {
        let us = u64::try_from(now.since(self.at).as_micros()).unwrap_or(u64::MAX);
        self.level = self
            .level
            .saturating_add(us.saturating_mul(self.rate) / self.parts);
        self.at = self.at.max(now);
        self.cap();
        let credits = most.min(self.level / MICRO);
        self.level -= credits * MICRO;
        credits
    }

    fn give(&mut self, credits: u64) {
        self.level = self.level.saturating_add(credits.saturating_mul(MICRO));
        self.cap();
    }

    /// At least one credit fits, so that the smallest rates are served too.
    fn cap(&mut self) {
        let burst = u64::try_from(BURST.as_micros()).unwrap_or(u64::MAX);
        let most = self.rate.saturating_mul(burst) / self.parts;
        self.level = self.level.min(most.max(MICRO));
    }
}

/// The credit of one organisation, at its owner.
#[derive(Clone, Debug)]
pub struct Bucket {
    flow: Flow,
}

impl Bucket {
    /// Starts with half a second's credit at `rate` credits a second. A credit is whatever the
    /// document limits: requests or tokens.
    #[must_use]
    pub fn new(now: Time, rate: u64) -> Self {
        let mut flow = Flow::new(now, rate, 1);
        flow.give(u64::MAX);
        Self { flow }
    }

    /// Changes the rate when the organisation's document changes.
    pub fn set_rate(&mut self, now: Time, rate: u64) {
        self.flow.take(now, 0);
        self.flow.rate = rate;
        self.flow.cap();
    }

    /// Answers a draw.
    pub fn draw(&mut self, now: Time, draw: Draw) -> Grant {
        self.flow.give(draw.back);
        Grant {
            credit: self.flow.take(now, draw.want),
            sequence: draw.sequence,
        }
    }
}

/// One entry VM's credit of one organisation.
#[derive(Clone, Debug)]
pub struct Drawer {
    credit: u64,
    demand: u64,
    used: Time,
    sequence: u64,
    drawn: Option<Time>,
    /// Start of the silence: the first draw that is not answered.
    silent: Option<Time>,
    share: Flow,
}

impl Drawer {
    /// Starts without credit; `rate` is the document's and `live` the number of live VMs.
    #[must_use]
    pub const fn new(now: Time, rate: u64, live: u64) -> Self {
        Self {
            credit: 0,
            demand: 0,
            used: now,
            sequence: 0,
            drawn: None,
            silent: None,
            share: Flow::new(now, rate, live),
        }
    }

    /// Takes note of a new rate or number of live VMs.
    pub fn set_share(&mut self, now: Time, rate: u64, live: u64) {
        self.share.take(now, 0);
        (self.share.rate, self.share.parts) = (rate, live.max(1));
    }

    /// Takes credit for a new request. False: it may wait for the next grant, see
    /// [`Drawer::retake`], or is refused.
    pub fn take(&mut self, now: Time, credits: u64) -> bool {
        self.demand = self.demand.saturating_add(credits);
        self.retake(now, credits)
    }

    /// Takes credit for a request that has waited; its demand is counted already.
    pub fn retake(&mut self, now: Time, credits: u64) -> bool {
        if self.alone(now) {
            let missing = credits.saturating_sub(self.credit);
            self.credit += self.share.take(now, missing);
        }
        self.used = now;
        let enough = self.credit >= credits;
        if enough {
            self.credit -= credits;
        }
        enough
    }

    /// Returns the message that is due, if any: the demand since the last one less what is left,
    /// or unused credit that goes back.
    pub fn draw(&mut self, now: Time) -> Option<Draw> {
        if self.drawn.is_some_and(|drawn| now.since(drawn) < PAUSE) {
            return None;
        }
        let idle = now.since(self.used) >= IDLE;
        let back = if idle { self.credit } else { 0 };
        let want = self.demand.saturating_sub(self.credit);
        if want == 0 && back == 0 {
            return None;
        }
        self.credit -= back;
        self.demand = 0;
        self.sequence += 1;
        self.drawn = Some(now);
        self.silent = self.silent.or(Some(now));
        let sequence = self.sequence;
        Some(Draw {
            want,
            back,
            sequence,
        })
    }

    /// Handles the owner's answer. An answer to an earlier message is dropped: the owner of a
    /// late one may have been replaced, and its credit granted again.
    pub fn granted(&mut self, now: Time, grant: Grant) {
        if grant.sequence != self.sequence || self.silent.is_none() {
            return;
        }
        self.silent = None;
        self.credit = self.credit.saturating_add(grant.credit);
        // The share starts anew when the owner is lost again.
        self.share.take(now, u64::MAX);
    }

    /// Returns whether the owner has been silent for so long that this VM uses its own share.
    #[must_use]
    pub fn alone(&self, now: Time) -> bool {
        self.silent.is_some_and(|silent| now.since(silent) >= ALONE)
    }
}
