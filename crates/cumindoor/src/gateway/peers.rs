//! Exchanges loads with the other gateways, over UDP.
//!
//! Each datagram holds the whole own part of the [`Board`](super::board::Board), so a lost one is
//! repaired by the next. A gateway starts with the addresses of its settings and learns the others
//! from what it hears. Nothing depends on being heard: alone, a gateway decides on what it placed
//! itself.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use eyre::WrapErr;
use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep_until};

use super::board::Digest;
use super::gate::Gate;
use super::roster::Roster;
use super::wakes::Wakes;

/// The time between two digests without a change.
const HEARTBEAT: Duration = Duration::from_millis(500);
/// The shortest time between two digests for each gateway that they go to: the cost of a change
/// grows with the fleet, so in large fleets more changes share a digest.
pub(super) const SPACING: Duration = Duration::from_micros(300);
/// Bytes of one datagram; a fleet's largest digest, 500 loads, takes 8 KB.
const DATAGRAM: usize = 16 * 1024;

/// A bound socket for digests.
pub struct Peers {
    gate: Arc<Gate>,
    socket: UdpSocket,
    /// Tells this process's digests from its predecessor's.
    start: u64,
    /// The number of the next digest.
    number: AtomicU64,
}

impl Peers {
    /// Binds the socket.
    ///
    /// # Errors
    ///
    /// Returns an error with the address if it cannot be bound.
    pub async fn bind(gate: &Arc<Gate>) -> eyre::Result<Self> {
        let addr = gate.own_address();
        let socket = UdpSocket::bind(addr).await;
        let socket = socket.wrap_err_with(|| format!("cannot bind {addr} for other gateways"))?;
        Ok(Self {
            gate: Arc::clone(gate),
            socket,
            start: unix_millis(),
            number: AtomicU64::new(1),
        })
    }

    /// Exchanges digests for as long as the process runs.
    ///
    /// # Errors
    ///
    /// Never ends; a failed datagram is lost like any other.
    pub async fn run(self: Arc<Self>) -> eyre::Result<()> {
        let mut roster = Roster::new(self.gate.own_address());
        let mut buffer = vec![0; DATAGRAM];
        let mut beat = Instant::now();
        let mut earliest = Instant::now();
        let mut pending = false;
        let mut wakes = Wakes::default();
        loop {
            let due = if pending { earliest.min(beat) } else { beat };
            let wake = wakes.due();
            tokio::select! {
                received = self.socket.recv_from(&mut buffer) => {
                    if let Ok((length, from)) = received
                        && self.receive(&mut roster, from, &buffer[..length])
                    {
                        wakes.ask();
                    }
                }
                () = sleep_until(wake.unwrap_or(beat)), if wake.is_some() => {
                    wakes.done(Instant::now());
                    self.gate.room.notify_waiters();
                }
                () = self.gate.news.notified() => pending = true,
                () = sleep_until(due) => {
                    self.take_seeds(&mut roster);
                    let heartbeat = due >= beat;
                    let targets = roster.targets(self.gate.now(), heartbeat);
                    self.send(&roster, &targets, heartbeat).await;
                    self.expire();
                    pending = false;
                    let count = u32::try_from(targets.len()).unwrap_or(u32::MAX);
                    earliest = Instant::now() + SPACING * count;
                    if heartbeat {
                        beat = Instant::now() + HEARTBEAT;
                    }
                }
            }
        }
    }

    fn take_seeds(&self, roster: &mut Roster) {
        let settings = self.gate.settings();
        let seeds = settings.fleet.seeds.iter().map(|seed| seed.0.ip());
        roster.take_seeds(self.gate.now(), seeds);
    }

    /// Takes a datagram; returns whether it changed what is known of the others' work.
    fn receive(&self, roster: &mut Roster, from: SocketAddr, bytes: &[u8]) -> bool {
        let Ok(digest) = rmp_serde::from_slice::<Digest>(bytes) else {
            self.gate.telemetry.count("peer.malformed");
            return false;
        };
        let now = self.gate.now();
        roster.heard(now, from, &digest);
        let known = self.gate.state().board.hears(from);
        let leaving = digest.leaving;
        let news = {
            let mut state = self.gate.state();
            for (key, left) in &digest.switching {
                let until = now + Duration::from_millis((*left).into());
                state.directory.switching_key(*key, until);
            }
            state.board.hear(now, from, digest)
        };
        if !known && !leaving {
            let peer = from.to_string();
            log::info!(peer = peer.as_str(); "peer heard");
        }
        news
    }

    async fn send(&self, roster: &Roster, targets: &[SocketAddr], heartbeat: bool) {
        let mut digest = {
            let state = self.gate.state();
            let mut digest = state.board.digest();
            let now = self.gate.now();
            digest.switching = state.directory.switches(now);
            digest.failing = state.directory.failing(now);
            digest.seen = state.seen;
            digest
        };
        digest.start = self.start;
        digest.number = self.number.fetch_add(1, Ordering::Relaxed);
        if heartbeat {
            digest.peers = roster.named();
        }
        digest.leaving = self.gate.stopping.is_cancelled();
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
                self.gate.telemetry.count("peer.unsent");
            }
        }
    }

    fn expire(&self) {
        let now = self.gate.now();
        let gone = self.gate.state().board.expire(now);
        for peer in gone {
            let peer = peer.to_string();
            log::warn!(peer = peer.as_str(); "peer silent");
            self.gate.room.notify_waiters();
        }
    }
}

/// Returns a number that is higher at a later start; only its order among the starts of one VM
/// matters, and a clock that was set back is overtaken by the silence that a restart makes.
fn unix_millis() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    })
}
