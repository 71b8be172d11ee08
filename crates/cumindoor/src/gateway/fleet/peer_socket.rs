//! The UDP socket on which the gateways exchange datagrams.

use std::io;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use serde::Serialize;
use tokio::net::UdpSocket;

use crate::gateway::fleet::pacing::Round;
use crate::serve::telemetry::Telemetry;

/// Sends datagrams and counts what was sent since the last digest. A datagram that cannot be sent is treated
/// as lost.
pub struct PeerSocket {
    socket: UdpSocket,
    telemetry: Telemetry,
    round: Mutex<Round>,
}

impl PeerSocket {
    /// Binds the socket.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if the address cannot be bound.
    pub async fn bind(addr: SocketAddr, telemetry: Telemetry) -> io::Result<Self> {
        Ok(Self {
            socket: UdpSocket::bind(addr).await?,
            telemetry,
            round: Mutex::default(),
        })
    }

    /// Receives a datagram and returns its length and its sender.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system, such as a report that an earlier datagram was refused.
    pub async fn receive(&self, buffer: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        self.socket.recv_from(buffer).await
    }

    /// Sends a message to each of these gateways.
    pub async fn send(&self, message: &impl Serialize, targets: &[SocketAddr]) {
        let bytes = match rmp_serde::to_vec(message) {
            Ok(bytes) => bytes,
            Err(error) => {
                let error = error.to_string();
                log::error!(error = error.as_str(); "digest not encoded");
                return;
            }
        };
        for target in targets {
            if self.socket.send_to(&bytes, target).await.is_err() {
                self.telemetry.count("peer.unsent");
            }
            let mut round = self.round.lock().unwrap_or_else(PoisonError::into_inner);
            round.count(bytes.len());
        }
    }

    /// Returns the time until the next digest after one to this many peers, over a link of this bandwidth in
    /// Mbit/s, and begins to count anew.
    pub fn end_round(&self, peers: u32, link: f64) -> Duration {
        let mut round = self.round.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut *round).pause(peers, link)
    }
}
