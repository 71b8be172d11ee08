//! The router: everything between callers and upstreams. See `docs/design.md`.

pub mod bench;
