//! What other gateways report of the classes of a service.

use std::cmp::Reverse;
use std::time::Duration;

use coord::share::{ClassFigures, Urgency};
use coord::time::Time;
use serde::{Deserialize, Serialize};

use super::{Key, LoadTable, Peer};

/// The classes of a service whose requests have several urgencies, at one gateway.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClassReport {
    /// Urgency of the request at the head of the queue, if one waits.
    pub first: Option<Urgency>,
    /// What requests ask for and hold, by urgency.
    pub figures: Vec<(Urgency, ClassFigures)>,
}

/// The precedence of a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Urgency of the request.
    pub urgency: Urgency,
    /// Whether it can no longer meet its latency target.
    pub late: bool,
    /// Time for which it has waited.
    pub waited: Reverse<Duration>,
}

impl Peer {
    fn class_report(&self, service: Key) -> Option<&ClassReport> {
        let mut reports = self.digest.classes.iter();
        let report = reports.find(|(key, _)| *key == service);
        report.map(|(_, report)| report)
    }

    fn placed_tokens(&self) -> u64 {
        let loads = self.digest.loads.iter();
        loads.map(|(_, load)| u64::from(load.kv_tokens)).sum()
    }
}

impl LoadTable {
    /// Returns the figures of the classes of a service at the other gateways. None is taken to hold more than it
    /// has placed.
    pub fn class_figures_at_peers(
        &self,
        service: Key,
    ) -> impl Iterator<Item = (Urgency, ClassFigures)> {
        self.peers.values().flat_map(move |peer| {
            let report = peer.class_report(service);
            let placed = report.map_or(0, |_| peer.placed_tokens());
            let figures = report.into_iter().flat_map(|report| &report.figures);
            figures.map(move |(urgency, figures)| {
                let held = figures.held.min(placed);
                (*urgency, ClassFigures { held, ..*figures })
            })
        })
    }

    /// Returns by how much figures of the gateways that are heard have to be multiplied for those of the whole
    /// fleet: in a large fleet only neighbours are heard all the time, and a gateway that hears no other is
    /// probably cut off.
    #[must_use]
    pub fn unheard_factor(&self, now: Time) -> f64 {
        let count = |count: usize| f64::from(u32::try_from(count).unwrap_or(u32::MAX));
        let heard = self.gateway_count();
        if heard == 1 {
            return count(self.fleet.size(now, false));
        }
        let sharing = self.sharing_count().min(heard);
        count(heard) / count(sharing)
    }

    /// Returns how many other gateways have a waiting request of the service that takes precedence over one of
    /// this rank. Those of classes that are `limited` take no places. A gateway that reports no urgency, such as
    /// one of an older build, comes last.
    #[must_use]
    pub fn gateways_ahead_of(
        &self,
        now: Time,
        service: Key,
        rank: Rank,
        limited: impl Fn(Urgency) -> bool,
    ) -> u32 {
        let ahead = |peer: &&Peer| {
            let mut waiting = peer.digest.waiting.iter();
            let Some((_, waiting)) = waiting.find(|(key, _)| *key == service) else {
                return false;
            };
            let report = peer.class_report(service);
            let first = report.and_then(|report| report.first);
            let waited = Duration::from_millis(waiting.waited_ms.into());
            let theirs = Rank {
                urgency: first.unwrap_or(Urgency::LEAST),
                late: waiting.late,
                waited: Reverse(waited + now.since(peer.last_heard)),
            };
            theirs < rank && !limited(theirs.urgency)
        };
        let count = self.peers.values().filter(ahead).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }
}
