//! Which gateway gives orders.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use coord::time::Time;

/// Time for which gateways that have gone silent still count when a gateway determines whether it
/// is cut off.
const PEER_MEMORY_TIME: Duration = Duration::from_mins(1);

/// The fleet as one gateway sees it.
#[derive(Clone, Debug)]
pub struct FleetView {
    /// Address of this gateway.
    pub own: SocketAddr,
    /// Live peers.
    pub peers: BTreeSet<SocketAddr>,
    /// Whether the settings name other gateways.
    pub expects_peers: bool,
}

/// Whether this gateway is the one that gives orders.
#[derive(Clone, Debug)]
pub struct Leadership {
    started: Time,
    peers: BTreeSet<SocketAddr>,
    /// When the set of live gateways last changed.
    changed_at: Time,
    /// When each gateway was last live.
    last_heard: BTreeMap<SocketAddr, Time>,
}

impl Leadership {
    /// Creates the state of a gateway that has heard from no other one yet.
    #[must_use]
    pub fn new(now: Time) -> Self {
        Self {
            started: now,
            peers: BTreeSet::new(),
            changed_at: now,
            last_heard: BTreeMap::new(),
        }
    }

    /// Returns whether this gateway may give orders now. No orders are given within a `lease` of a
    /// change among the gateways.
    pub fn observe(&mut self, now: Time, fleet: FleetView, lease: Duration) -> bool {
        for peer in &fleet.peers {
            self.last_heard.insert(*peer, now);
        }
        self.last_heard
            .retain(|_, heard| now.since(*heard) < PEER_MEMORY_TIME);
        // A gateway that started while it was cut off does not know whom it cannot hear.
        let unheard = fleet.expects_peers && self.last_heard.is_empty();
        if unheard && now.since(self.started) < PEER_MEMORY_TIME {
            return false;
        }
        if fleet.peers != self.peers {
            self.peers = fleet.peers;
            self.changed_at = now;
        }
        let has_lowest_address = self.peers.iter().all(|peer| fleet.own < *peer);
        let majority = (self.peers.len() + 1) * 2 > self.last_heard.len() + 1;
        has_lowest_address && majority && now.since(self.changed_at) > lease
    }
}
