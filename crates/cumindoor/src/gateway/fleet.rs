//! The other gateways: who they are, what they are told and asked, and what they forward.

pub mod forward;
pub mod leadership;
pub(super) mod origins;
pub mod pacing;
pub mod peer_list;
pub(super) mod peer_socket;
pub(super) mod peers;
pub mod wakeups;
