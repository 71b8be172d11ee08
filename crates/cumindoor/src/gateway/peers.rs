//! Exchanges loads with the other gateways, over UDP.
//!
//! Each datagram holds the whole own part of the [`Board`](super::board::Board), so a lost one is
//! repaired by the next. A gateway starts with the addresses of its settings and learns the others
//! from what it hears. Nothing depends on being heard: alone, a gateway decides on what it placed
//! itself.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use coord::time::Time;
use eyre::WrapErr;
use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep_until};

use super::board::Digest;
use super::gate::Gate;
use super::wakes::Wakes;

/// The time between two digests without a change.
const HEARTBEAT: Duration = Duration::from_millis(500);
/// The shortest time between two digests for each gateway that they go to: the cost of a change
/// grows with the fleet, so in large fleets more changes share a digest.
pub(super) const SPACING: Duration = Duration::from_micros(300);
/// The time after which an address that does not answer is tried rarely.
const SILENCE: Duration = Duration::from_secs(5);
/// How often such an address is tried, in heartbeats.
const RARELY: u64 = 8;
/// The time after which such an address is dropped, unless the settings name it.
const DROP: Duration = Duration::from_secs(30);
/// Addresses named in one digest.
const NAMED: usize = 12;
/// Bytes of one datagram; a fleet's largest digest, 500 loads, takes 8 KB.
const DATAGRAM: usize = 16 * 1024;

/// A bound socket for digests.
pub struct Peers {
    gate: Arc<Gate>,
    socket: UdpSocket,
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
        })
    }

    /// Exchanges digests for as long as the process runs.
    ///
    /// # Errors
    ///
    /// Never ends; a failed datagram is lost like any other.
    pub async fn run(self: Arc<Self>) -> eyre::Result<()> {
        let mut roster = Roster::new(&self.gate);
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
                    roster.take_seeds(&self.gate);
                    let heartbeat = due >= beat;
                    let targets = roster.targets(self.gate.now(), heartbeat);
                    self.send(&mut roster, &targets, heartbeat).await;
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

    async fn send(&self, roster: &mut Roster, targets: &[SocketAddr], heartbeat: bool) {
        roster.number += 1;
        let mut digest = {
            let state = self.gate.state();
            let mut digest = state.board.digest();
            let now = self.gate.now();
            digest.switching = state.directory.switches(now);
            digest.failing = state.directory.failing(now);
            digest.seen = state.seen;
            digest
        };
        digest.start = roster.start;
        digest.number = roster.number;
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

/// What is known of another gateway's address.
#[derive(Clone, Copy)]
struct Contact {
    /// When it was heard last, or learned.
    at: Time,
    /// Whether it was heard itself; only such addresses are named to others, so that dead ones are
    /// forgotten.
    heard: bool,
}

/// The addresses of other gateways.
struct Roster {
    own: SocketAddr,
    seeds: BTreeSet<SocketAddr>,
    known: BTreeMap<SocketAddr, Contact>,
    start: u64,
    number: u64,
    beats: u64,
}

impl Roster {
    fn new(gate: &Gate) -> Self {
        let own = gate.own_address();
        Self {
            own,
            known: BTreeMap::new(),
            seeds: BTreeSet::new(),
            start: unix_millis(),
            number: 0,
            beats: 0,
        }
    }

    /// Takes the addresses of the settings, which may have changed.
    fn take_seeds(&mut self, gate: &Gate) {
        // All gateways listen on the same port; the settings may name another one of the VM.
        let settings = gate.settings();
        let seeds = settings.fleet.seeds.iter();
        let seeds = seeds.map(|seed| SocketAddr::new(seed.0.ip(), self.own.port()));
        self.seeds = seeds.filter(|seed| *seed != self.own).collect();
        for seed in &self.seeds {
            self.known.entry(*seed).or_insert(learned(gate.now()));
        }
    }

    fn heard(&mut self, now: Time, from: SocketAddr, digest: &Digest) {
        if digest.leaving {
            self.known.remove(&from);
            return;
        }
        let contact = Contact {
            at: now,
            heard: true,
        };
        self.known.insert(from, contact);
        for peer in digest.peers.iter().filter(|peer| **peer != self.own) {
            self.known.entry(*peer).or_insert(learned(now));
        }
    }

    /// Returns who gets the next digest; on a heartbeat, silent addresses get one now and then.
    fn targets(&mut self, now: Time, beat: bool) -> Vec<SocketAddr> {
        let seeds = &self.seeds;
        self.known
            .retain(|addr, contact| seeds.contains(addr) || now.since(contact.at) < DROP);
        self.beats += u64::from(beat);
        let rare = beat && self.beats.is_multiple_of(RARELY);
        let due = |contact: &Contact| rare || now.since(contact.at) < SILENCE;
        let targets = self.known.iter().filter(|(_, contact)| due(contact));
        targets.map(|(addr, _)| *addr).collect()
    }

    /// Returns the addresses that the next digest names, in turn.
    fn named(&self) -> Vec<SocketAddr> {
        let live = self.known.iter().filter(|(_, contact)| contact.heard);
        let live: Vec<SocketAddr> = live.map(|(addr, _)| *addr).collect();
        let turn = usize::try_from(self.number).unwrap_or(0) % live.len().max(1);
        let all = live.iter().chain(&live);
        all.skip(turn)
            .take(NAMED.min(live.len()))
            .copied()
            .collect()
    }
}

fn learned(now: Time) -> Contact {
    Contact {
        at: now,
        heard: false,
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
