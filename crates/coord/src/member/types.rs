//! Messages, actions and options of the membership protocol.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::name::{DataCentre, Incarnation, VmName};
use crate::owner::Owners;

/// The maximum number of updates in one message, not counting the one about the sender.
pub const MAX_UPDATES: usize = 8;

/// The maximum number of updates in one [`Body::Gossip`].
///
/// It is sufficient for the failure of a whole data centre in the target fleet (43 of
/// 340 VMs).
pub const MAX_GOSSIP_UPDATES: usize = 48;

/// The maximum number of bytes of updates in one message; long names reduce the number of updates.
pub const MAX_UPDATE_BYTES: usize = 2_560;

/// The maximum number of entries in one [`Body::State`], about 3 KB with names of 12 bytes.
pub const MAX_STATE_ENTRIES: usize = 64;

/// The number of buckets in the digest of a view.
pub const BUCKETS: usize = 16;

/// The result of failure detection for the process of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Health {
    /// The process answers.
    Alive,
    /// A probe got no answer; the process has until the suspicion timeout to refute it.
    Suspect,
    /// The suspicion timeout passed without a refutation.
    Dead,
}

/// A gossiped membership update: what the sender states about one member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The member.
    pub name: VmName,
    /// The member's data centre.
    pub zone: DataCentre,
    /// The address of the member's peer port.
    pub addr: SocketAddr,
    /// The incarnation of the member. The update with the higher incarnation takes precedence, then
    /// the one with the worse health.
    pub incarnation: Incarnation,
    /// Whether the process answers.
    pub health: Health,
    /// Whether the process is being stopped as planned.
    pub leaving: bool,
}

impl Update {
    /// Returns `true` if this update replaces `old`, an update about the same member.
    #[must_use]
    pub fn supersedes(&self, old: &Self) -> bool {
        (self.incarnation, self.health) > (old.incarnation, old.health)
    }

    /// Returns the encoded size in bytes, rounded up.
    #[must_use]
    pub fn size(&self) -> usize {
        // 32 bytes: address 9, incarnation 9, health 8, flag 1, and the prefixes of the names.
        self.name.as_str().len() + self.zone.as_str().len() + 32
    }
}

/// The type-specific part of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// A probe of the receiver, which answers with an [`Ack`](Self::Ack) of the same number.
    Ping {
        /// The sequence number of the probe, unique within the sender's process.
        seq: u64,
    },
    /// Answers a ping, or reports that the target of a [`PingRequest`](Self::PingRequest) answered.
    Ack {
        /// The sequence number of the probe.
        seq: u64,
    },
    /// Asks the receiver to probe `target`, because a direct probe got no answer.
    #[serde(rename = "Ask")]
    PingRequest {
        /// The sequence number of the probe.
        seq: u64,
        /// The member that did not answer.
        target: VmName,
    },
    /// Starts a comparison of views.
    Sync {
        /// The digest of the sender's view, one hash per bucket.
        buckets: Vec<u64>,
    },
    /// Answers [`Sync`](Self::Sync) if the digests differ.
    State {
        /// The digest of the sender's view; empty in the last message of an exchange.
        buckets: Vec<u64>,
        /// Updates in the buckets that differ, at most [`MAX_STATE_ENTRIES`].
        entries: Vec<Update>,
    },
    /// Carries updates and nothing else.
    #[serde(rename = "News")]
    Gossip,
}

/// One message between two members.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packet {
    /// The update about the sender itself.
    pub from: Update,
    /// The type and its fields.
    pub body: Body,
    /// Updates about other members: at most [`MAX_UPDATES`], or [`MAX_GOSSIP_UPDATES`] in
    /// [`Body::Gossip`].
    pub updates: Vec<Update>,
}

/// An action that the caller of the state machine must carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message. The transport may lose, delay, duplicate or reorder it.
    Send {
        /// The receiver.
        to: VmName,
        /// The receiver's address.
        addr: SocketAddr,
        /// The message.
        packet: Packet,
    },
    /// The view changed; see [`Members::view`](super::Members::view).
    Changed,
}

/// One entry of the platform's list of VMs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedVm {
    /// The name of the VM.
    pub name: VmName,
    /// The data centre of the VM.
    pub zone: DataCentre,
    /// The address of the peer port of the VM.
    pub addr: SocketAddr,
    /// Whether the platform is about to remove the VM.
    pub leaving: bool,
}

/// The status of a member in a [`View`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberStatus {
    /// The member answers.
    Live,
    /// The member may have failed. It keeps its keys until it is declared dead.
    Suspect,
    /// The member answers, but it is stopping or no longer in the list, so it owns no keys.
    Leaving,
}

/// One member of a [`View`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The data centre of the VM.
    pub zone: DataCentre,
    /// The address of the peer port of the VM.
    pub addr: SocketAddr,
    /// The latest known incarnation; the member restarted if its [`boot`](super::boot) changed.
    pub incarnation: Incarnation,
    /// The result of failure detection and of the platform's list.
    pub status: MemberStatus,
}

/// The members that are not dead, including this VM.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// A number that rises with each change; only comparable within one process.
    pub version: u64,
    /// The members by name.
    pub members: BTreeMap<VmName, Member>,
}

impl View {
    /// Returns the members that can own keys, which are the live and the suspected ones.
    #[must_use]
    pub fn owners(&self) -> Owners {
        let candidates = self
            .members
            .iter()
            .filter(|(_, m)| m.status != MemberStatus::Leaving);
        candidates
            .map(|(name, m)| (name.clone(), m.zone.clone()))
            .collect()
    }

    /// Returns `true` if the view contains more than half of the listed VMs, or exactly half of
    /// them including the first by name.
    ///
    /// Only the side of a network partition with the majority may cancel the work of VMs that it
    /// considers dead, because the other side may still be serving. If more VMs are lost at once,
    /// their work is cancelled after their removal from the list (`docs/design.md`, section 6.5).
    #[must_use]
    pub fn has_majority<'a>(&self, listed: impl IntoIterator<Item = &'a VmName>) -> bool {
        let (mut all, mut seen, mut first) = (0, 0, None);
        for vm in listed {
            all += 1;
            seen += usize::from(self.members.contains_key(vm));
            first = first.into_iter().chain([vm]).min();
        }
        let tie = first.is_none_or(|vm| self.members.contains_key(vm));
        seen * 2 > all || (seen * 2 == all && tie)
    }
}

/// Timeouts and limits of the protocol. The defaults are derived in `docs/decisions/membership.md`.
#[derive(Clone, Debug)]
pub struct Options {
    /// The time between two probes of the same neighbour.
    pub probe_interval: Duration,
    /// The time without an answer after which other members are asked to probe.
    pub direct_timeout: Duration,
    /// The time without an answer after which the target is suspected. It is longer than 500 ms
    /// plus two message latencies, so that a pause of up to 500 ms does not lead to a suspicion.
    pub probe_timeout: Duration,
    /// The time that a suspected member has to refute the suspicion. It is multiplied by 1 to 3,
    /// depending on how many consecutive probes of this VM failed.
    pub suspicion_timeout: Duration,
    /// The number of members that are asked to probe a target that did not answer.
    pub relay_count: usize,
    /// The time between two comparisons of views with a random member.
    pub sync_interval: Duration,
    /// The time between two attempts to reach a random dead member.
    pub reconnect_interval: Duration,
    /// The minimum time between two rounds of messages with urgent updates.
    pub gossip_interval: Duration,
    /// The number of members that receive each round of urgent updates.
    pub gossip_fanout: usize,
    /// The time between two calls above which this process is considered to have been paused.
    pub pause_threshold: Duration,
    /// The time between two calls above which pending timeouts are extended by that time.
    pub late_threshold: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            probe_interval: Duration::from_millis(500),
            direct_timeout: Duration::from_millis(200),
            probe_timeout: Duration::from_millis(600),
            suspicion_timeout: Duration::from_millis(600),
            relay_count: 3,
            sync_interval: Duration::from_secs(2),
            reconnect_interval: Duration::from_secs(1),
            gossip_interval: Duration::from_millis(50),
            gossip_fanout: 3,
            pause_threshold: Duration::from_millis(600),
            late_threshold: Duration::from_millis(150),
        }
    }
}
