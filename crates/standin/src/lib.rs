//! Stand-ins of the external systems (engines, plain services, platform) for tests and the demo.
//!
//! Each stand-in listens on a loopback port, counts the requests that it handles, and can inject
//! faults that are changed while it runs. The protocols are those of section 4 of
//! `docs/design.md`.
//!
//! # Example
//!
//! ```
//! use standin::{Engine, EngineOptions};
//!
//! # #[tokio::main(flavor = "current_thread")]
//! # async fn main() -> std::io::Result<()> {
//! let engine = Engine::spawn(EngineOptions::default()).await?;
//! assert_eq!(engine.slots_used(), 0);
//! engine.stop().await;
//! # Ok(())
//! # }
//! ```

mod engine;
mod http;
mod plain;
mod platform;
mod server;
mod text;

pub use engine::{Counts, Engine, EngineFaults, EngineOptions, Order, Role, Runs, TokenFault};
pub use plain::{Plain, PlainFaults, PlainOptions};
pub use platform::{Platform, PlatformOptions, Staleness, UpstreamEntry, ValueTooLarge, VmEntry};
pub use text::{answer, prefix_hashes, prompt_tokens, token};
