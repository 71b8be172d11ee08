//! The router: settings, documents, command line and the processes between callers and upstreams.

pub mod check;
pub mod document;
pub mod ini;
pub mod settings;
