//! A cell whose scheduler runs in this process.
