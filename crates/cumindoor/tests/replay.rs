//! Runs `cumindoor replay` and `cumindoor bench policy --record` as processes.

use std::process::{Command, Output};

const TRACE: &str = "../../examples/traces/celeste.jsonl";
const EXPECT: &str = "../../examples/traces/celeste.ini";

fn run(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_cumindoor"));
    command.args(args).current_dir(env!("CARGO_MANIFEST_DIR"));
    command.output().unwrap()
}

/// Guards against exit statuses that a script cannot tell apart: 0 if the results are as expected,
/// 1 for differences, invalid files or a failed command, 2 for unreadable files or wrong arguments.
#[rstest::rstest]
#[case::holds(&["replay", TRACE, "--expect", EXPECT], 0)]
#[case::json(&["replay", TRACE, "--expect", EXPECT, "--format", "json", "--seed", "1"], 0)]
#[case::other_services(&["replay", TRACE, "--expect", "../../examples/traces/souk.ini"], 1)]
#[case::no_trace(&["replay", EXPECT, "--expect", EXPECT], 1)]
#[case::missing(&["replay", "no-such-file", "--expect", EXPECT], 2)]
#[case::no_expectations(&["replay", TRACE], 2)]
#[case::unknown_policy(&["replay", TRACE, "--expect", EXPECT, "--policy", "x"], 2)]
#[case::bound(&["replay", TRACE, "--expect", EXPECT, "--policy", "bound"], 2)]
#[case::many_cases(&["bench", "policy", "--case", "souk", "--record", "unwritten"], 1)]
fn exit_status(#[case] args: &[&str], #[case] status: i32) {
    let output = run(args);

    assert_eq!(output.status.code(), Some(status), "{output:?}");
    assert!(!output.stdout.is_empty() || !output.stderr.is_empty());
}

/// Guards against differences and findings that lack the file and line, and against invalid input
/// of which only the findings of one file are reported.
#[test]
fn differences_and_findings_have_a_place() {
    let file = std::env::temp_dir().join(format!("replay-{}.ini", std::process::id()));
    let name = file.to_str().unwrap();

    std::fs::write(&file, "[run]\nanswered = 1000\n").unwrap();
    let differs = run(&["replay", TRACE, "--expect", name]);
    std::fs::write(&file, "[run]\nanswer = 1\n").unwrap();
    let malformed = run(&["replay", EXPECT, "--expect", name]);
    std::fs::remove_file(&file).unwrap();

    let differs = String::from_utf8(differs.stdout).unwrap();
    let expected = format!("{name}:2: expected answered at least 1000, got ");
    assert!(differs.contains(&expected), "{differs}");
    let malformed = String::from_utf8(malformed.stdout).unwrap();
    assert!(malformed.contains(&format!("{EXPECT}:1: ")), "{malformed}");
    assert!(malformed.contains(&format!("{name}:2: ")), "{malformed}");
}
