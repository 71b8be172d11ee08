//! The `cumindoor` router as a library; the binary only calls [`cli::main`].
//!
//! See `docs/design.md` for the modules and their interfaces.

pub mod bench;
pub mod check;
pub mod cli;
pub mod demo;
pub mod document;
pub mod explain;
pub mod gateway;
pub mod ini;
pub mod serve;
pub mod settings;
pub mod status;
