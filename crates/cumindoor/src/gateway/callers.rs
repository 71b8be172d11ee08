//! Callers: their connections, the content of their requests and the answers of the gateway itself.

pub mod answer;
pub mod content;
pub(super) mod listeners;
