//! The parts of the `serve` subcommand: listeners, clients and the tasks that join them.

pub mod cluster;
pub mod peer;
pub mod platform;
