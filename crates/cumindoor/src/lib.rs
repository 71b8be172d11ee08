//! The `cumindoor` router as a library: the binary is a thin shell around it.

pub mod serve;
