//! Rates of requests.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Micro-requests in one request.
const MICROS: f64 = 1e6;
/// The highest rate, which is above what any upstream can serve.
const MAX_PER_SECOND: f64 = 1e9;

/// A rate of requests, with a resolution of one in a million seconds.
///
/// ```
/// use coord::limit::Rate;
///
/// let rate = Rate::per_second(2.5).expect("a positive number");
/// assert_eq!(rate.to_string(), "2.5");
/// assert_eq!(Rate::per_second(f64::NAN), None);
/// ```
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
#[display("{}", self.as_per_second())]
pub struct Rate(u64);

impl Rate {
    /// Returns the rate of this many requests a second, or `None` if the number is negative, infinite or
    /// not a number.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the number is between 0 and 1e15"
    )]
    #[must_use]
    pub fn per_second(requests: f64) -> Option<Self> {
        let valid = requests.is_finite() && requests >= 0.0;
        valid.then(|| Self((requests.min(MAX_PER_SECOND) * MICROS).round() as u64))
    }

    /// Returns the number of requests a second.
    #[expect(
        clippy::cast_precision_loss,
        reason = "rates are at most 1e15 micro-requests"
    )]
    #[must_use]
    pub fn as_per_second(self) -> f64 {
        self.0 as f64 / MICROS
    }
}
