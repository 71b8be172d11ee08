//! The `cumindoor` command.

fn main() {}
