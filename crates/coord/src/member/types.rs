//! Messages, actions and options of the membership protocol.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::name::{DataCentre, Incarnation, VmName};
use crate::owner::Owners;

/// The most updates that one message carries besides the sender's own.
pub const MAX_UPDATES: usize = 8;

/// The most updates in one [`Body::Gossip`]: all VMs of a data centre of the target fail together.
pub const MAX_GOSSIP_UPDATES: usize = 48;

/// The most bytes of updates that one message carries; long names lower the number of updates.
pub const MAX_UPDATE_BYTES: usize = 2_560;

/// The most entries of one [`Body::State`]; about 3 KB with names of 12 bytes.
pub const MAX_STATE_ENTRIES: usize = 64;

/// The number of buckets of a view's digest.
pub const BUCKETS: usize = 16;

/// What is said about a member's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Health {
    /// The process answers.
    Alive,
    /// A probe got no answer; the process has until the suspicion timeout to refute it.
    Suspect,
    /// The suspicion timeout passed without a refutation.
    Dead,
}

/// One statement about a member, as gossiped.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The member.
    pub name: VmName,
    /// The member's data centre.
    pub zone: DataCentre,
    /// The address of the member's peer port.
    pub addr: SocketAddr,
    /// The statement's age: the higher one wins, then the worse health.
    pub incarnation: Incarnation,
    /// Whether the process answers.
    pub health: Health,
    /// Whether the process is stopping as planned.
    pub leaving: bool,
}

impl Update {
    /// Returns `true` if this statement replaces `old` about the same member.
    #[must_use]
    pub fn supersedes(&self, old: &Self) -> bool {
        (self.incarnation, self.health) > (old.incarnation, old.health)
    }

    /// Returns the encoded size in bytes, rounded up.
    #[must_use]
    pub fn size(&self) -> usize {
        // Address 9, incarnation 9, health 8, flag 1 and the prefixes of the names.
        self.name.as_str().len() + self.zone.as_str().len() + 32
    }
}

/// The purpose of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks for an [`Ack`](Self::Ack) with the same number.
    Ping {
        /// The number of the probe, unique within the sender's process.
        seq: u64,
    },
    /// Answers a ping, or reports that the target of an [`PingRequest`](Self::PingRequest) answered.
    Ack {
        /// The number of the probe.
        seq: u64,
    },
    /// Asks the receiver to probe `target`, because a direct probe got no answer.
    #[serde(rename = "Ask")]
    PingRequest {
        /// The number of the probe.
        seq: u64,
        /// The member that did not answer.
        target: VmName,
    },
    /// Offers to compare views.
    Sync {
        /// The digest of the sender's view.
        buckets: Vec<u64>,
    },
    /// Answers [`Sync`](Self::Sync) when the digests differ.
    State {
        /// The digest of the sender's view; empty in the last message of an exchange.
        buckets: Vec<u64>,
        /// Entries of the buckets that differ, at most [`MAX_STATE_ENTRIES`].
        entries: Vec<Update>,
    },
    /// Carries updates only.
    #[serde(rename = "News")]
    Gossip,
}

/// One message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packet {
    /// The sender's statement about itself.
    pub from: Update,
    /// The purpose.
    pub body: Body,
    /// Gossip, at most [`MAX_UPDATES`], or [`MAX_GOSSIP_UPDATES`] in [`Body::Gossip`].
    pub updates: Vec<Update>,
}

/// What the caller of the state machine must do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message. It may be lost, late, doubled or reordered.
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

/// One VM of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedVm {
    /// The VM.
    pub name: VmName,
    /// Its data centre.
    pub zone: DataCentre,
    /// The address of its peer port.
    pub addr: SocketAddr,
    /// Whether the platform is about to remove it.
    pub leaving: bool,
}

/// How a member of the view stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberStatus {
    /// It answers.
    Live,
    /// It may have failed. It keeps its ownership until it is declared dead.
    Suspect,
    /// It answers but is stopping, or the list no longer has it: it gets no ownership.
    Leaving,
}

/// One member of a [`View`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its data centre.
    pub zone: DataCentre,
    /// The address of its peer port.
    pub addr: SocketAddr,
    /// The incarnation last heard; a change of [`boot`](super::boot) means that it restarted.
    pub incarnation: Incarnation,
    /// How it stands.
    pub status: MemberStatus,
}

/// The members that are not dead, with the own VM.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// Increases with each change; comparable only within one process.
    pub version: u64,
    /// The members.
    pub members: BTreeMap<VmName, Member>,
}

impl View {
    /// Returns the members that can own keys: live and suspected ones.
    #[must_use]
    pub fn owners(&self) -> Owners {
        let able = self
            .members
            .iter()
            .filter(|(_, m)| m.status != MemberStatus::Leaving);
        able.map(|(name, m)| (name.clone(), m.zone.clone()))
            .collect()
    }

    /// Returns `true` if the view has more than half of the listed VMs, or exactly half with the
    /// first one by name.
    ///
    /// Only such a side of a partition may cancel the work of VMs that it takes for dead: the
    /// other side may serve on. After the loss of more VMs at once, their work is cancelled when
    /// the list no longer has them (`docs/design.md`, section 6.5).
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

/// Times and bounds of the protocol. The defaults are derived in `docs/decisions/membership.md`.
#[derive(Clone, Debug)]
pub struct Options {
    /// The time between two probes of the same neighbour.
    pub probe_interval: Duration,
    /// The time without an answer after which other members are asked to probe.
    pub direct_timeout: Duration,
    /// The time without an answer after which the target is suspected. It is above 500 ms plus
    /// two message latencies, so that a pause of up to 500 ms raises no suspicion.
    pub probe_timeout: Duration,
    /// The time that a suspected member has to refute; multiplied by 1 to 3 by local health.
    pub suspicion_timeout: Duration,
    /// The number of members that are asked to probe.
    pub relay_count: usize,
    /// The time between two comparisons of views with a random member.
    pub sync_interval: Duration,
    /// The time between two attempts to reach a random dead member.
    pub reconnect_interval: Duration,
    /// The shortest time between two messages with urgent news.
    pub gossip_interval: Duration,
    /// The number of members that urgent news is sent to at a time.
    pub gossip_fanout: usize,
    /// The gap between two calls above which the own process was paused.
    pub pause_threshold: Duration,
    /// The gap between two calls above which pending timeouts are extended by the gap.
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
