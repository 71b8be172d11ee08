//! Callers: their connections, the content of their requests and the answers of the gateway itself.

pub mod answer;
pub(super) mod body;
pub mod connections;
pub mod content;
pub(super) mod listeners;
pub mod memory;
pub mod shares;
