//! Exchange of digests with the other gateways over UDP.
//!
//! Each datagram holds the complete load of the sender, so a lost one is made up for by the next. A
//! gateway starts with the addresses in its settings and learns the others from the digests that it
//! receives. A gateway without peers decides on its own load alone.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use eyre::WrapErr;
use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep_until};

use super::context::Context;
use super::load_table::Digest;
use super::peer_list::PeerList;
use super::wakeups::WakeupThrottle;

/// Time between two digests without a change.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Shortest time between two digests, to be multiplied by the number of peers that receive them.
/// The cost of a change grows with the fleet, so in a large fleet one digest covers more changes.
pub(super) const DIGEST_INTERVAL_PER_PEER: Duration = Duration::from_micros(300);
/// Largest datagram. The largest expected digest, with 500 loads, takes 8 KB.
const MAX_DATAGRAM_BYTES: usize = 16 * 1024;

/// Sends and receives digests on a UDP socket.
pub struct PeerExchange {
    ctx: Arc<Context>,
    socket: UdpSocket,
    /// Unix milliseconds of this process's start, sent in each digest.
    start: u64,
    /// Sequence number of the next digest.
    number: AtomicU64,
}

impl PeerExchange {
    /// Binds the socket.
    ///
    /// # Errors
    ///
    /// Returns an error with the address if it cannot be bound.
    pub async fn bind(ctx: &Arc<Context>) -> eyre::Result<Self> {
        let addr = ctx.own_address();
        let socket = UdpSocket::bind(addr).await;
        let socket = socket.wrap_err_with(|| format!("cannot bind UDP address {addr}"))?;
        Ok(Self {
            ctx: Arc::clone(ctx),
            socket,
            start: unix_millis(),
            number: AtomicU64::new(1),
        })
    }

    /// Exchanges digests for as long as the process runs.
    ///
    /// # Errors
    ///
    /// Never returns; a datagram that cannot be sent is treated as lost.
    pub async fn run(self: Arc<Self>) -> eyre::Result<()> {
        let mut peer_list = PeerList::new(self.ctx.own_address());
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        let mut next_heartbeat = Instant::now();
        let mut earliest = Instant::now();
        let mut pending = false;
        let mut wakeups = WakeupThrottle::default();
        loop {
            let due = if pending {
                earliest.min(next_heartbeat)
            } else {
                next_heartbeat
            };
            let wake = wakeups.due();
            tokio::select! {
                received = self.socket.recv_from(&mut buffer) => {
                    if let Ok((length, from)) = received
                        && self.receive(&mut peer_list, from, &buffer[..length])
                    {
                        wakeups.request();
                    }
                }
                () = sleep_until(wake.unwrap_or(next_heartbeat)), if wake.is_some() => {
                    wakeups.record(Instant::now());
                    self.ctx.capacity_freed.notify_waiters();
                }
                () = self.ctx.digest_due.notified() => pending = true,
                () = sleep_until(due) => {
                    self.update_seeds(&mut peer_list);
                    let heartbeat = due >= next_heartbeat;
                    let targets = peer_list.targets(self.ctx.now(), heartbeat);
                    self.send(&peer_list, &targets, heartbeat).await;
                    self.expire();
                    pending = false;
                    let count = u32::try_from(targets.len()).unwrap_or(u32::MAX);
                    earliest = Instant::now() + DIGEST_INTERVAL_PER_PEER * count;
                    if heartbeat {
                        next_heartbeat = Instant::now() + HEARTBEAT_INTERVAL;
                    }
                }
            }
        }
    }

    fn update_seeds(&self, peer_list: &mut PeerList) {
        let settings = self.ctx.settings();
        let seeds = settings.fleet.seeds.iter().map(|seed| seed.0.ip());
        peer_list.set_seeds(self.ctx.now(), seeds);
    }

    /// Handles a datagram. Returns whether it changed the known load or waiting requests of other
    /// gateways.
    fn receive(&self, peer_list: &mut PeerList, from: SocketAddr, bytes: &[u8]) -> bool {
        let Ok(digest) = rmp_serde::from_slice::<Digest>(bytes) else {
            self.ctx.telemetry.count("peer.malformed");
            return false;
        };
        let now = self.ctx.now();
        peer_list.record_digest(now, from, &digest);
        let known = self.ctx.state().loads.is_live(from);
        let leaving = digest.stopping;
        let changed = {
            let mut state = self.ctx.state();
            for (key, left) in &digest.switching {
                let until = now + Duration::from_millis((*left).into());
                state.directory.set_switching_by_key(*key, until);
            }
            state.loads.apply_digest(now, from, digest)
        };
        if !known && !leaving {
            let peer = from.to_string();
            log::info!(peer = peer.as_str(); "peer heard");
        }
        changed
    }

    async fn send(&self, peer_list: &PeerList, targets: &[SocketAddr], heartbeat: bool) {
        let mut digest = {
            let state = self.ctx.state();
            let mut digest = state.loads.digest();
            let now = self.ctx.now();
            digest.switching = state.directory.ordered_switches(now);
            digest.failing = state.directory.failing(now);
            digest.seen = state.seen;
            digest
        };
        digest.start = self.start;
        digest.sequence = self.number.fetch_add(1, Ordering::Relaxed);
        if heartbeat {
            digest.peers = peer_list.listed();
        }
        digest.stopping = self.ctx.stopping.is_cancelled();
        let bytes = match rmp_serde::to_vec(&digest) {
            Ok(bytes) => bytes,
            Err(error) => {
                let error = error.to_string();
                log::error!(error = error.as_str(); "digest not encoded");
                return;
            }
        };
        for target in targets {
            if self.socket.send_to(&bytes, target).await.is_err() {
                self.ctx.telemetry.count("peer.unsent");
            }
        }
    }

    fn expire(&self) {
        let now = self.ctx.now();
        let gone = self.ctx.state().loads.expire(now);
        for peer in gone {
            let peer = peer.to_string();
            log::warn!(peer = peer.as_str(); "peer silent");
            self.ctx.capacity_freed.notify_waiters();
        }
    }
}

/// Returns the Unix time in milliseconds, which identifies a start of the gateway. Only the order
/// of starts on one VM matters. After the clock was set back, digests of the new start are ignored
/// until the previous start has timed out at the peers.
fn unix_millis() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    })
}
