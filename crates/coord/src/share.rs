//! Shares of a memory for which requests of different urgency compete.
//!
//! Requests of one urgency form a class. By Little's law, the memory that a class would hold if all its requests
//! were served is what arrives a second times the time for which a request holds its memory. As much is protected
//! from the less urgent classes, so that the most urgent ones always find room, and if everything fits, nobody is
//! held back. In an overload, the less urgent classes keep a small part, so that they do not starve.
//!
//! ```
//! use std::time::Duration;
//!
//! use coord::share::{ClassShares, Shares, Urgency};
//! use coord::time::Time;
//!
//! let (urgent, other) = (Urgency::new(None, 0), Urgency::new(None, 1));
//! let now = Time::from_millis(1);
//! let mut own = ClassShares::default();
//! own.record_arrival(now, urgent, 3_000);
//! own.record_arrival(now, other, 3_000);
//! own.hold(other, 1_000);
//!
//! let shares: Shares = own.figures(now).into_iter().collect();
//! let residence = Duration::from_secs(3);
//! assert_eq!(shares.protected(other, 10_000, residence), 6_600);
//! assert_eq!(shares.room(other, 10_000, residence), Some(2_400));
//! assert_eq!(shares.room(urgent, 10_000, residence), None);
//! ```

use std::collections::BTreeMap;
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::time::Time;

/// Time over which arrivals are averaged. A burst lasts a few seconds; a shorter time would follow single requests.
const AVERAGING_TIME: Duration = Duration::from_millis(1_500);
/// Factor on what the more urgent classes ask for, because arrivals vary from one moment to the next.
const MARGIN: f64 = 1.1;
/// Part of its proportional share that a class and the less urgent ones always keep.
const FLOOR_SHARE: f64 = 0.25;

/// The urgency of a request; the lowest goes first. The priority of its organisation, or of its route if the
/// organisation has none, counts before that of the route.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[display("{priority}.{route}")]
pub struct Urgency {
    priority: u8,
    route: u8,
}

impl Urgency {
    /// The urgency that goes last.
    pub const LEAST: Self = Self {
        priority: u8::MAX,
        route: u8::MAX,
    };

    /// Returns the urgency of a request by the priorities of its organisation and its route.
    #[must_use]
    pub fn new(organisation: Option<u8>, route: u8) -> Self {
        let priority = organisation.unwrap_or(route);
        Self { priority, route }
    }

    /// Returns the priority that counts first.
    #[must_use]
    pub fn priority(self) -> u8 {
        self.priority
    }

    /// Returns the priority of the route.
    #[must_use]
    pub fn route(self) -> u8 {
        self.route
    }
}

/// What the requests of one class ask for and hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClassFigures {
    /// Tokens that arrive a second.
    pub rate: u64,
    /// Tokens that are held.
    pub held: u64,
    /// Tokens that waiting requests need.
    pub waiting: u64,
}

impl ClassFigures {
    fn add(&mut self, other: Self) {
        self.rate = self.rate.saturating_add(other.rate);
        self.held = self.held.saturating_add(other.held);
        self.waiting = self.waiting.saturating_add(other.waiting);
    }

    fn is_zero(&self) -> bool {
        *self == Self::default()
    }
}

/// One class at this VM.
#[derive(Clone, Copy, Debug, Default)]
struct Class {
    /// Tokens that have arrived, each weighted by its age.
    arrived: f64,
    /// When the weights were last updated.
    updated: Time,
    held: u64,
    waiting: u64,
}

impl Class {
    fn arrived(&self, now: Time) -> f64 {
        let age = now.since(self.updated).as_secs_f64();
        self.arrived * (-age / AVERAGING_TIME.as_secs_f64()).exp()
    }

    fn figures(&self, now: Time) -> ClassFigures {
        ClassFigures {
            rate: to_tokens(self.arrived(now) / AVERAGING_TIME.as_secs_f64()),
            held: self.held,
            waiting: self.waiting,
        }
    }
}

/// What the requests of one VM ask for and hold, by class.
#[derive(Clone, Debug, Default)]
pub struct ClassShares {
    classes: BTreeMap<Urgency, Class>,
}

impl ClassShares {
    /// Records that a request arrived which needs this many tokens.
    pub fn record_arrival(&mut self, now: Time, urgency: Urgency, tokens: u32) {
        let class = self.classes.entry(urgency).or_default();
        class.arrived = class.arrived(now) + f64::from(tokens);
        class.updated = now;
    }

    /// Adds tokens that a request holds from now on.
    pub fn hold(&mut self, urgency: Urgency, tokens: u32) {
        let held = &mut self.classes.entry(urgency).or_default().held;
        *held = held.saturating_add(tokens.into());
    }

    /// Removes tokens that a request held.
    pub fn release(&mut self, urgency: Urgency, tokens: u32) {
        let held = &mut self.classes.entry(urgency).or_default().held;
        *held = held.saturating_sub(tokens.into());
    }

    /// Sets the tokens that the waiting requests of each class need.
    pub fn set_waiting(&mut self, waiting: &BTreeMap<Urgency, u64>) {
        for (urgency, class) in &mut self.classes {
            class.waiting = waiting.get(urgency).copied().unwrap_or_default();
        }
        for (urgency, tokens) in waiting {
            self.classes.entry(*urgency).or_default().waiting = *tokens;
        }
    }

    /// Returns the figures of the classes that are not idle.
    #[must_use]
    pub fn figures(&self, now: Time) -> Vec<(Urgency, ClassFigures)> {
        let all = self.classes.iter();
        let all = all.map(|(urgency, class)| (*urgency, class.figures(now)));
        all.filter(|(_, figures)| !figures.is_zero()).collect()
    }
}

/// The sums of the figures of all VMs, by class.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    totals: BTreeMap<Urgency, ClassFigures>,
}

impl FromIterator<(Urgency, ClassFigures)> for Shares {
    fn from_iter<I: IntoIterator<Item = (Urgency, ClassFigures)>>(figures: I) -> Self {
        let mut shares = Self::default();
        for (urgency, figures) in figures {
            shares.totals.entry(urgency).or_default().add(figures);
        }
        shares
    }
}

impl Shares {
    /// Returns the shares with all sums multiplied, if only a part of the VMs was heard.
    #[must_use]
    pub fn scaled(mut self, factor: f64) -> Self {
        let scale = |sum: &mut u64| *sum = to_tokens(to_float(*sum) * factor);
        for figures in self.totals.values_mut() {
            scale(&mut figures.rate);
            scale(&mut figures.held);
            scale(&mut figures.waiting);
        }
        self
    }

    /// Returns the tokens of the capacity that are kept free of a class and the less urgent ones, if a request
    /// holds its tokens for `residence`.
    #[must_use]
    pub fn protected(&self, urgency: Urgency, capacity: u64, residence: Duration) -> u64 {
        let capacity = to_float(capacity);
        // No class can hold more than there is, whatever other VMs state.
        let asked = |figures: &ClassFigures| {
            (to_float(figures.rate) * residence.as_secs_f64()).min(capacity)
        };
        let more_urgent: f64 = self.totals.range(..urgency).map(|(_, f)| asked(f)).sum();
        let others: f64 = self.totals.range(urgency..).map(|(_, f)| asked(f)).sum();
        if more_urgent <= 0.0 {
            return 0;
        }
        let floor = capacity * FLOOR_SHARE * others / (more_urgent + others);
        to_tokens((more_urgent * MARGIN).min(capacity - floor))
    }

    /// Returns the tokens that a class may still take, or `None` if nothing is protected from it, so that it may
    /// use whatever is free.
    #[must_use]
    pub fn room(&self, urgency: Urgency, capacity: u64, residence: Duration) -> Option<u64> {
        let part = self.part(urgency, capacity, residence)?;
        Some(part.saturating_sub(self.held(urgency)))
    }

    /// Returns the tokens that a class and the less urgent ones may hold together, or `None` if nothing is
    /// protected from the class.
    #[must_use]
    pub fn part(&self, urgency: Urgency, capacity: u64, residence: Duration) -> Option<u64> {
        let protected = self.protected(urgency, capacity, residence);
        (protected > 0).then(|| capacity.saturating_sub(protected))
    }

    /// Returns the tokens that a class and the less urgent ones hold.
    #[must_use]
    pub fn held(&self, urgency: Urgency) -> u64 {
        let held = self.totals.range(urgency..).map(|(_, f)| f.held);
        held.fold(0, u64::saturating_add)
    }

    /// Returns the tokens that waiting requests of more urgent classes need, and those of the class itself.
    #[must_use]
    pub fn waiting(&self, urgency: Urgency) -> (u64, u64) {
        let more_urgent = self.totals.range(..urgency).map(|(_, f)| f.waiting);
        let own = self.totals.get(&urgency).map_or(0, |f| f.waiting);
        (more_urgent.fold(0, u64::saturating_add), own)
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "sums of tokens are far below 2^52, and others need not be exact"
)]
fn to_float(tokens: u64) -> f64 {
    tokens as f64
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the cast saturates, and numbers of tokens are not negative"
)]
fn to_tokens(tokens: f64) -> u64 {
    tokens.round() as u64
}
