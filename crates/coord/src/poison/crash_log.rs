//! Crashes of upstreams, whatever they ran.

use std::collections::BTreeMap;
use std::time::Duration;

use super::UpstreamStart;
use crate::time::Time;

/// Number of crashes that are kept.
const MAX_CRASHES: usize = 256;

/// The latest crashes of upstreams.
#[derive(Clone, Debug, Default)]
pub(super) struct CrashLog {
    crashes: BTreeMap<UpstreamStart, Time>,
}

impl CrashLog {
    /// Adds a crash. Of several times for one crash, the earliest is closest to the truth.
    pub(super) fn add(&mut self, crashed: &UpstreamStart, at: Time) {
        let known = self.crashes.entry(crashed.clone()).or_insert(at);
        *known = (*known).min(at);
        if self.crashes.len() > MAX_CRASHES {
            let oldest = self.crashes.iter().min_by_key(|(_, at)| **at);
            let oldest = oldest.map(|(crashed, _)| crashed.clone());
            oldest.map(|crashed| self.crashes.remove(&crashed));
        }
    }

    /// Returns whether an upstream crashed less than `within` before or after `at` that is not `excluded`.
    pub(super) fn coincides(
        &self,
        at: Time,
        within: Duration,
        excluded: impl Fn(&UpstreamStart) -> bool,
    ) -> bool {
        let mut others = self.crashes.iter().filter(|(other, _)| !excluded(other));
        others.any(|(_, other)| other.since(at).max(at.since(*other)) < within)
    }
}
