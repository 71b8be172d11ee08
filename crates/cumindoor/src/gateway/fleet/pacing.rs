//! Pauses between two digests.

use std::time::Duration;

/// Shortest time between two digests, to be multiplied by the number of peers that receive them.
/// The cost of a change grows with the fleet, so in a large fleet one digest covers more changes.
pub const DIGEST_INTERVAL_PER_PEER: Duration = Duration::from_micros(300);
/// Share of the link that digests and reports may fill. Connections to upstreams and requests wait behind them, and
/// a gateway receives as much from others as it sends.
const LINK_SHARE: f64 = 0.25;
/// Bytes of the headers of a datagram on the link, for Ethernet, IPv4 and UDP.
const HEADER_BYTES: u64 = 42;

/// The datagrams that were sent for one digest and the reports that go with it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Round {
    datagrams: u64,
    bytes: u64,
}

impl Round {
    /// Counts a datagram with this many bytes.
    pub fn count(&mut self, bytes: usize) {
        self.datagrams += 1;
        self.bytes += u64::try_from(bytes).unwrap_or(u64::MAX);
    }

    /// Returns the time until the next digest after one to this many peers, over a link of this bandwidth in
    /// Mbit/s.
    ///
    /// ```
    /// use cumindoor::gateway::fleet::pacing::Round;
    ///
    /// let mut round = Round::default();
    /// for _ in 0..10 {
    ///     round.count(1_208);
    /// }
    /// assert_eq!(round.pause(10, 1_000.0).as_millis(), 3);
    /// assert_eq!(round.pause(10, 10.0).as_millis(), 40);
    /// ```
    #[must_use]
    pub fn pause(&self, peers: u32, link: f64) -> Duration {
        let bytes = self.bytes + HEADER_BYTES * self.datagrams;
        #[expect(clippy::cast_precision_loss, reason = "a round is far below 2^52 bits")]
        let megabits = (8 * bytes) as f64 / 1e6;
        let transfer = Duration::from_secs_f64(megabits / (LINK_SHARE * link));
        transfer.max(DIGEST_INTERVAL_PER_PEER * peers)
    }
}
