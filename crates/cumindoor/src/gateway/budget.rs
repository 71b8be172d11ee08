//! How many repeated requests a gateway may send to a service.
//!
//! The bound holds over the whole fleet and in any window. Each gateway keeps to its share without
//! asking: the part that grows with requests is paid from its own requests, the fixed part is
//! divided by the gateways that it knows of.

use std::collections::VecDeque;
use std::time::Duration;

use coord::time::Time;

/// Parts into which a window is divided; the sum reaches back by one part more than the window.
const PARTS: usize = 10;
/// The share of the allowance that is used. Requests that arrive on another gateway or in another
/// window than their repeats make the fleet's sum uneven.
const USED: f64 = 0.8;

/// The bound of one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RepeatBound {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats in addition.
    pub slack: f64,
    /// The window.
    pub window: Duration,
}

#[derive(Clone, Copy, Debug, Default)]
struct Part {
    number: u64,
    requests: u32,
    repeats: u32,
}

/// The requests and repeats of one service in the last window.
#[derive(Clone, Debug, Default)]
pub struct Repeats {
    parts: VecDeque<Part>,
}

impl Repeats {
    /// Counts one request of a caller.
    pub fn request(&mut self, now: Time, bound: &RepeatBound) {
        self.part(now, bound).requests += 1;
    }

    /// Counts one repeat if the share of this gateway, one of `gateways`, allows it.
    pub fn try_repeat(&mut self, now: Time, bound: &RepeatBound, gateways: usize) -> bool {
        self.part(now, bound);
        let sum = |of: fn(&Part) -> u32| self.parts.iter().map(of).sum::<u32>();
        let requests = f64::from(sum(|part| part.requests));
        let repeats = f64::from(sum(|part| part.repeats));
        let gateways = u32::try_from(gateways.max(1)).unwrap_or(u32::MAX);
        let share = bound.slack / f64::from(gateways);
        // A share below one repeat is rounded up: the part of it that is left unused covers that.
        let allowed = (USED * (bound.ratio * requests + share)).max(1.0);
        let paid = repeats + 1.0 <= allowed;
        if paid {
            self.part(now, bound).repeats += 1;
        }
        paid
    }

    fn part(&mut self, now: Time, bound: &RepeatBound) -> &mut Part {
        let length =
            (bound.window / u32::try_from(PARTS).unwrap_or(1)).max(Duration::from_millis(1));
        let number = now.as_micros() / u64::try_from(length.as_micros()).unwrap_or(u64::MAX);
        let oldest = number.saturating_sub(PARTS as u64);
        while self.parts.front().is_some_and(|part| part.number < oldest) {
            self.parts.pop_front();
        }
        if self.parts.back().is_none_or(|part| part.number < number) {
            self.parts.push_back(Part {
                number,
                ..Part::default()
            });
        }
        let last = self.parts.len() - 1;
        &mut self.parts[last]
    }
}
