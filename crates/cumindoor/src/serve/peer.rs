//! Remote procedure calls between VMs.
//!
//! Each VM listens on one port for its peers. A connection starts as HTTP/1.1; `POST /peer` with
//! `Upgrade: cumindoor-peer/1` turns it into tarpc over `MessagePack` frames of bounded length
//! (`docs/design.md`, section 4). Other HTTP requests on the port go to [`HttpHandler`].
//!
//! A component (a *part*) adds calls without changes to this module: it implements [`Part`] for a
//! marker type that names its call and reply types, and registers a [`Handler`] with a [`Router`].
//! Calls have at-most-once semantics: [`PeerError::not_run`] tells whether a failed call may have
//! run.

mod link;
mod listener;
mod pool;
mod router;
mod wire;

use std::time::Duration;

use derive_more::{Display, Error};

pub use listener::{Body, HttpHandler, Listener, ListenerHandle, ListenerOptions, NotFoundHandler};
pub use pool::{Peers, PeersOptions};
pub use router::{Handler, Part, Router};
pub use wire::MAX_FRAME_BYTES;

/// The value of the `Upgrade` header. Its version number changes with the frame format.
pub const UPGRADE_PROTOCOL: &str = "cumindoor-peer/1";

/// The time without a reply, on a connection with a pending call, after which a keep-alive call is
/// sent.
///
/// Idle connections cause no traffic, because keep-alive calls are sent only while a call is
/// pending.
pub const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(500);

/// The time within which a keep-alive call must be answered. Otherwise the connection is closed,
/// and the next call opens a new one.
pub const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_millis(500);

/// The reason why a call to a peer has no reply.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum PeerError {
    /// The address of the VM is not in the directory. The call was not sent.
    #[display("the address of VM {_0} is not known")]
    UnknownVm(#[error(not(source))] String),
    /// No connection could be opened. The call was not sent.
    #[display("no connection to {to}: {text}")]
    Connect {
        /// The address that was tried.
        to: String,
        /// What failed.
        text: String,
    },
    /// The call is larger than [`MAX_FRAME_BYTES`] or cannot be encoded. The call was not sent.
    #[display("the call cannot be encoded: {_0}")]
    Encode(#[error(not(source))] String),
    /// The deadline passed. The call may have run.
    #[display("the deadline of the call passed")]
    Deadline,
    /// The connection was closed or became unresponsive during the call. The call may have run.
    #[display("the connection to the peer closed or went silent")]
    Closed,
    /// The peer has no handler for the part, or it could not decode the call. The call did not run.
    #[display("the peer refused the call: {_0}")]
    Refused(#[error(not(source))] String),
    /// The reply cannot be decoded. The call ran.
    #[display("the reply cannot be decoded: {_0}")]
    Decode(#[error(not(source))] String),
}

impl PeerError {
    /// Returns `true` if the call did not run, so that it is safe to repeat it on another VM.
    #[must_use]
    pub fn not_run(&self) -> bool {
        match self {
            Self::UnknownVm(_) | Self::Connect { .. } | Self::Encode(_) | Self::Refused(_) => true,
            Self::Deadline | Self::Closed | Self::Decode(_) => false,
        }
    }
}
