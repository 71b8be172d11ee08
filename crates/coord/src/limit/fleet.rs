//! The size of the fleet among which a limit is divided that all VMs keep together.

use std::time::Duration;

use crate::time::Time;

/// Time that a VM may need after its start to hear from all others.
const DISCOVERY_TIME: Duration = Duration::from_secs(5);
/// Number of VMs that is assumed meanwhile if no other VM knows better, and as long as none was heard.
const ASSUMED_VMS: usize = 64;
/// Time for which VMs that are not heard any longer may still use their share.
const MEMORY: Duration = Duration::from_mins(1);

/// What a VM learns about the size of its fleet at some time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sighting {
    /// Number of VMs that are heard, including this one.
    pub heard: usize,
    /// Number of VMs that are not heard, but that others hear.
    pub hearsay: usize,
}

/// The numbers of VMs that one VM hears and that there may be.
///
/// ```
/// use std::time::Duration;
///
/// use coord::limit::{FleetSize, Sighting};
/// use coord::time::Time;
///
/// let mut fleet = FleetSize::default();
/// let now = Time::from_millis(8_000);
/// fleet.record(now, Sighting { heard: 8, hearsay: 0 });
/// let cut_off = now + Duration::from_secs(4);
/// fleet.record(cut_off, Sighting { heard: 2, hearsay: 0 });
/// assert_eq!(fleet.size(cut_off, true), 8);
/// assert!((fleet.share(cut_off, true) - 0.25).abs() < 1e-9);
/// ```
#[derive(Clone, Debug, Default)]
pub struct FleetSize {
    heard: usize,
    hearsay: usize,
    /// The highest number in the current minute.
    highest: usize,
    /// The highest number in the minute before.
    earlier: usize,
    minute: u64,
    /// Whether another VM was heard since the start of this one.
    met: bool,
    /// Whether a VM that knows the fleet reported its size.
    informed: bool,
}

impl FleetSize {
    /// Records what is known at `now`.
    pub fn record(&mut self, now: Time, sighting: Sighting) {
        let heard = sighting.heard.max(1);
        self.heard = heard;
        self.hearsay = sighting.hearsay;
        self.met |= heard > 1;
        self.raise(now, heard + sighting.hearsay);
    }

    /// Records the size of the fleet that another VM reports, which knows it ([`Self::reported`]).
    pub fn record_reported(&mut self, now: Time, size: usize) {
        self.informed = true;
        self.raise(now, size);
    }

    fn raise(&mut self, now: Time, size: usize) {
        let minute = minute(now);
        if minute > self.minute {
            let is_next = minute == self.minute + 1;
            self.earlier = if is_next { self.highest } else { 0 };
            self.highest = 0;
            self.minute = minute;
        }
        self.highest = self.highest.max(size);
    }

    /// Returns the number of VMs that this VM heard, or was told of, in the last minute or two, which it
    /// may report to others; `None` while it may not have heard all of them.
    #[must_use]
    pub fn reported(&self, now: Time) -> Option<usize> {
        let known = self.known(now);
        let settled = now.since(Time::ZERO) >= DISCOVERY_TIME;
        (settled && known > 1).then_some(known)
    }

    /// Returns the number of VMs among which a limit is divided.
    ///
    /// VMs that were heard in the last minute may still use their share. A VM that has just started, or
    /// that never heard another one although `expected` says that there are others, assumes many: it
    /// may have started while it was cut off.
    #[must_use]
    pub fn size(&self, now: Time, expected: bool) -> usize {
        let known = self.known(now).max(1);
        let starting = now.since(Time::ZERO) < DISCOVERY_TIME;
        let unsure = !self.met || (starting && !self.informed);
        if expected && unsure {
            known.max(ASSUMED_VMS)
        } else {
            known
        }
    }

    /// Returns the share of a limit that the VMs which hear each other may use together: all of it if they
    /// are the majority, and else what they are of all. Two groups that do not hear each other thus use
    /// less than one and a half times the limit.
    ///
    /// VMs that are not heard, and that others hear, are alive: a VM that knows of some always leaves
    /// them their part.
    #[must_use]
    pub fn share(&self, now: Time, expected: bool) -> f64 {
        let (heard, size) = (self.heard.max(1), self.size(now, expected));
        let others = if 2 * heard > size {
            self.hearsay
        } else {
            self.hearsay.max(size - heard)
        };
        let [heard, all] = [heard, heard + others].map(|n| u32::try_from(n).unwrap_or(u32::MAX));
        f64::from(heard) / f64::from(all)
    }

    /// Returns the part of the VMs that are heard here, of all that may live. Unlike [`Self::share`], it leaves those that
    /// are silent their part even if they are few, so that no partition raises what all VMs use together.
    #[must_use]
    pub fn heard_part(&self, now: Time, expected: bool) -> f64 {
        let heard = self.heard.max(1);
        let all = self.size(now, expected).max(heard + self.hearsay);
        let [heard, all] = [heard, all].map(|n| u32::try_from(n).unwrap_or(u32::MAX));
        f64::from(heard) / f64::from(all)
    }

    fn known(&self, now: Time) -> usize {
        match minute(now).saturating_sub(self.minute) {
            0 => self.highest.max(self.earlier),
            1 => self.highest,
            _ => self.heard + self.hearsay,
        }
    }
}

fn minute(now: Time) -> u64 {
    let length = u64::try_from(MEMORY.as_micros()).unwrap_or(u64::MAX);
    now.as_micros() / length
}
