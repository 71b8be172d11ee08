use std::path::Path;

use super::super::replay::run_trace;
use super::super::{Policy, trace};
use super::*;

fn example(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/traces");
    std::fs::read_to_string(path.join(name)).unwrap()
}

fn row(user: &str) -> Row {
    let trace = trace::parse("t", &example(&format!("{user}.jsonl"))).unwrap();
    run_trace(&trace, Policy::Cumindoor, trace.seed)
}

fn differences(row: &Row, text: &str) -> Vec<String> {
    let names: Vec<String> = row.services.iter().map(|s| s.name.to_string()).collect();
    let expect = Expectations::parse("e", text, Some(&names)).unwrap();
    expect
        .differences(row)
        .iter()
        .map(ToString::to_string)
        .collect()
}

/// Guards against examples whose expected results the scheduler no longer reaches.
#[rstest::rstest]
fn the_examples_hold(#[values("celeste", "souk")] user: &str) {
    let row = row(user);

    assert_eq!(differences(&row, &example(&format!("{user}.ini"))), [""; 0]);
}

/// Guards against a key that is read but never compared. The row is changed so that every value
/// can violate its limit.
#[rstest::rstest]
#[case(
    "[run]\ngoodput-share = 1",
    "e:2: expected goodput-share at least 1, got 0.9"
)]
#[case(
    "[run]\nwasted-prefill-share = 0.1",
    "e:2: expected wasted-prefill-share at most 0.1, got 0.5"
)]
#[case(
    "[run]\nanswered = 1000",
    "e:2: expected answered at least 1000, got 441"
)]
#[case("[run]\nlost = 2", "e:2: expected lost at most 2, got 3")]
#[case("[run]", "e:1: expected lost at most 0, got 3")]
#[case("[refused]", "e:1: expected lost at most 0, got 3")]
#[case("[refused]\ndeadline = 8", "e:2: expected deadline at most 8, got 9")]
#[case(
    "[refused]\nqueue-full = 8",
    "e:2: expected queue-full at most 8, got 9"
)]
#[case(
    "[refused]\nno-upstream = 8",
    "e:2: expected no-upstream at most 8, got 9"
)]
#[case(
    "[refused]\nretry-budget = 8",
    "e:2: expected retry-budget at most 8, got 9"
)]
#[case("[refused]\npoison = 8", "e:2: expected poison at most 8, got 9")]
#[case("[refused]\nunknown = 8", "e:2: expected unknown at most 8, got 9")]
#[case(
    "[service logreader]\ngoodput-share = 1",
    "e:2: expected goodput-share at least 1, got 0.8"
)]
#[case(
    "[service logreader]\nttft-p95 = 1 ms",
    "e:2: expected ttft-p95 at most 1 ms, got "
)]
fn a_wrong_expectation_is_a_difference(#[case] text: &str, #[case] expected: &str) {
    let mut row = row("celeste");
    row.lost = 3;
    row.wasted_prefill_share = 0.5;
    for reason in [
        "Deadline",
        "QueueFull",
        "NoUpstream",
        "RetryBudget",
        "Poison",
        "Unknown",
    ] {
        row.refused.insert(reason.into(), 9);
    }

    let found = differences(&row, text);

    assert!(found.iter().any(|f| f.starts_with(expected)), "{found:?}");
}

/// Guards against a mistyped expectation that is silently ignored.
#[rstest::rstest]
#[case("", 1)]
#[case("[run]\ngoodput = 0.9", 2)]
#[case("[run]\ngoodput-share = 99", 2)]
#[case("[run]\nlost = -1", 2)]
#[case("[runs]", 1)]
#[case("[run]\n[run]", 2)]
#[case("[service nobody]", 1)]
fn a_malformed_expectation_is_a_finding(#[case] text: &str, #[case] line: usize) {
    let names = ["logreader".to_owned()];

    let findings = Expectations::parse("e", text, Some(&names)).err().unwrap();

    assert_eq!(findings.iter().map(|f| f.line).collect::<Vec<_>>(), [line]);
}
