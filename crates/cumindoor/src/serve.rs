//! The parts of the `serve` subcommand: listeners, clients and the tasks that join them.

pub mod peer;
