//! The `cumindoor` command.

use std::process::ExitCode;

fn main() -> ExitCode {
    cumindoor::cli::main()
}
