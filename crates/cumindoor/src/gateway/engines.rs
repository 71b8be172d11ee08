//! What is known of upstreams: their entries, health, links, statements, speeds and service times.

pub mod directory;
pub mod health;
pub mod links;
pub mod liveness;
pub mod service_times;
pub mod speeds;
pub mod statements;
