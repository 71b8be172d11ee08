//! Stand-ins of the external systems (engines, plain services, platform) for tests and the demo.
//!
//! Each one listens on a free loopback port, counts what it is asked to do and has fault
//! switches that can be changed while it runs. The protocols are those of section 4 of
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

pub use engine::{Counts, Engine, EngineOptions, Fault, Order, Role, Runs, TokenFault};
pub use plain::{Plain, PlainFault, PlainOptions};
pub use platform::{Platform, PlatformOptions, Staleness, TooLarge, UpstreamEntry, VmEntry};
pub use text::{answer, prefix_hashes, prompt_tokens, token};
