use proptest::prelude::*;

use super::parse;

const EXAMPLE: &str = include_str!("../../../../../examples/traces/celeste.jsonl");

/// Returns the first lines of the example: the header, four faults and arrivals.
fn lines() -> Vec<String> {
    EXAMPLE.lines().take(12).map(str::to_owned).collect()
}

/// Guards against invalid lines that are accepted, that are reported with another line number, or
/// that prevent findings in later lines.
#[rstest::rstest]
#[case(1, "\"version\":1", "\"version\":2", "expected version 1")]
#[case(
    1,
    "\"warm_seconds\":1",
    "\"warm_seconds\":9",
    "warm_seconds below seconds"
)]
#[case(
    1,
    "\"block_tokens\":1000",
    "\"block_tokens\":0",
    "block_tokens from 1"
)]
#[case(2, "logreader-0", "logreader-9", "`logreader-9` is unknown")]
#[case(2, "upstream-dies", "upstream-leaves", "unknown variant")]
#[case(8, "\"vm\":", "\"vm\":9", "vm from 0 to 7")]
#[case(8, "\"vm\":", "\"wm\":", "unknown field `wm`")]
#[case(8, "\"at_us\":", "\"at_us\":9999", "at_us from 1 to 30 s")]
#[case(
    8,
    "\"prefix\":[",
    "\"prefix\":[1,2,3,4,5,6,7,8,9,10,11,12,13,14,15,16,",
    "one prefix hash"
)]
#[case(8, "desk\"", "desks\"", "no service `airtime-desks`")]
#[case(8, "\"step_factor\":1", "\"step_factor\":1000", "step_factor from")]
#[case(8, "}}", "}", "EOF")]
fn wrong_lines_are_findings(
    #[case] line: usize,
    #[case] old: &str,
    #[case] new: &str,
    #[case] expected: &str,
) {
    let mut lines = lines();
    assert!(lines[line - 1].contains(old), "{}", lines[line - 1]);
    lines[line - 1] = lines[line - 1].replace(old, new);
    lines.push("{".into());

    let findings = parse("t", &lines.join("\n")).unwrap_err();

    assert_eq!(findings[0].line, line, "{findings:?}");
    assert!(findings[0].text.contains(expected), "{findings:?}");
    assert_eq!(findings.last().unwrap().line, lines.len(), "{findings:?}");
}

/// Guards against a trace without arrivals, without a header or out of order that is accepted and
/// would then meet every expectation.
#[test]
fn missing_and_misplaced_lines_are_findings() {
    let lines = lines();
    let last = lines.len();
    let mut swapped = lines.clone();
    swapped.swap(last - 1, last - 2);

    let place = |text: &str| {
        let findings = parse("t", text).unwrap_err();
        findings.iter().map(|f| f.line).collect::<Vec<_>>()
    };

    assert_eq!(place(""), [1]);
    assert_eq!(place(&lines[0]), [1]);
    assert_eq!(place(&lines[1..].join("\n")), [1]);
    assert_eq!(
        place(&format!("{}\n{}", lines.join("\n"), lines[0])),
        [last + 1]
    );
    assert_eq!(place(&swapped.join("\n")), [last]);
}

proptest! {
    /// Guards against a parser that panics on damaged lines, and against findings that point
    /// outside the file or contain control characters.
    #[test]
    fn findings_are_inside_the_file(
        edits in prop::collection::vec((0..12_usize, 0..400_usize, 0..8_usize, "\\PC{0,6}|[0-9]{1,22}|.{0,4}"), 0..6),
        cut in 0..4_000_usize,
    ) {
        let mut lines = lines();
        for (line, at, length, new) in edits {
            let chars: Vec<char> = lines[line].chars().collect();
            let (before, rest) = chars.split_at(at.min(chars.len()));
            let after = &rest[length.min(rest.len())..];
            lines[line] = before.iter().chain(&new.chars().collect::<Vec<_>>()).chain(after).collect();
        }
        let text: String = lines.join("\n").chars().take(cut.max(1)).collect();

        if let Err(findings) = parse("t", &text) {
            prop_assert!(!findings.is_empty());
            for finding in findings {
                prop_assert!((1..=text.split('\n').count()).contains(&finding.line));
                prop_assert!(!finding.text.contains(char::is_control), "{finding:?}");
            }
        }
    }
}
