//! Tests of the scenario language: unmet expectations fail, errors have a line number, and
//! `docs/scenarios.md` lists every statement.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;
use scenario::ast::{OUTCOMES, STATEMENTS};
use scenario::{Diagnostic, parse, run};

const PREAMBLE: &str = "requirement H1\nservice chat interactive prefill 2 decode 2 slots 4\n\
    plain top-ups upstreams 1 takes 100ms\ndocument tenant \"limit = 1\"\n";

fn failures(body: &str) -> Vec<Diagnostic> {
    let scenario = parse("case.scn", &format!("{PREAMBLE}{body}")).expect("the scenario is valid");
    run(&scenario).failures
}

/// Guards against expectations that cannot fail: after the same actions, a wrong expectation must
/// fail at its own line and a right one must pass.
#[rstest]
#[case(
    "at 0s send r1 to vm-1 service chat",
    "expect r1 refused not-run",
    "expect r1 answered"
)]
#[case(
    "at 0s send r1 to vm-1 service chat",
    "expect r1 refused unknown",
    "expect r1 answered"
)]
#[case(
    "at 0s kill vm-1\nat 1s send r1 to vm-1 service chat",
    "expect r1 answered",
    "expect r1 closed"
)]
#[case(
    "at 0s kill top-ups-1\nat 0.1s send r1 to vm-1 service top-ups",
    "expect r1 answered",
    "expect r1 refused not-run"
)]
#[case(
    "at 0s send r1 to vm-1 service chat",
    "expect r1 closed",
    "expect r1 answered"
)]
#[case(
    "at 0s send r2 to vm-2 service chat\nat 0s send r1 to vm-1 service chat\nat 0s kill vm-1",
    "expect r1 ended",
    "expect r2 ended"
)]
#[case(
    "at 0s send r1 to vm-1 service chat\nat 5s resend r1 to vm-2 as r2",
    "expect r2 runs at most 0",
    "expect r2 runs at most 1"
)]
#[case(
    "at 0s send r1 to vm-1 service chat tokens 900",
    "expect held zero by 1s",
    "expect held zero by 9s"
)]
#[case(
    "at 0s publish tenant \"limit = 2\"",
    "expect revision 1 of tenant by 3s",
    "expect revision 2 of tenant by 3s"
)]
#[case(
    "at 0s publish tenant \"bad\"",
    "expect revision 2 of tenant by 3s",
    "expect revision 1 of tenant by 3s"
)]
#[case(
    "at 0s delete tenant",
    "expect revision 3 of tenant by 3s",
    "expect revision 2 of tenant by 3s"
)]
#[case(
    "at 0s leave top-ups-1\nat 0.5s send r1 to vm-1 service top-ups",
    "expect no-work on top-ups-1 after 0.4s",
    "expect no-work on top-ups-1 after 1s"
)]
#[case(
    "at 0s stop vm-2",
    "expect exited vm-2 by 1s",
    "expect exited vm-2 by 5s"
)]
fn a_wrong_expectation_fails(#[case] actions: &str, #[case] wrong: &str, #[case] right: &str) {
    let line = PREAMBLE.lines().count() + actions.lines().count() + 1;

    let found = failures(&format!("{actions}\n{wrong}\n"));

    let lines_found: Vec<_> = found.iter().map(|f| (f.file.as_str(), f.line)).collect();
    assert_eq!(lines_found, [("case.scn", line)], "{found:?}");
    assert!(found[0].message.contains("expected"), "{found:?}");
    assert_eq!(failures(&format!("{actions}\n{right}\n")), []);
}

/// Guards against nondeterministic simulations: two runs of a scenario must have equal reports.
#[test]
fn two_runs_are_the_same() {
    let body = "at 0s network loss 20% late 20% double 20%\n\
        at 0s send r1 to vm-1 service chat\nat 0.2s kill vm-2\nexpect r1 refused unknown\n";
    let scenario = parse("case.scn", &format!("{PREAMBLE}{body}")).expect("the scenario is valid");

    assert_eq!(run(&scenario), run(&scenario));
}

/// Guards against parse errors without a line number or without the expected syntax.
#[rstest]
#[case("at 0s kill", "`at TIME kill NAME`")]
#[case("at soon kill vm-1", "`at TIME kill NAME`")]
#[case("at 0s explode vm-1", "one of send, cancel")]
#[case("expect r1 runs at most once", "`expect NAME runs at most NUMBER`")]
#[case("expect r1 happy", "one of answered, refused")]
#[case("vms many", "`vms NUMBER`")]
#[case("fleet 3", "one of requirement, seed")]
#[case("document tenant \"open", "`document NAME \"TEXT\"`")]
#[case("at 0s kill vm-9", "expected an existing upstream, found `vm-9`")]
#[case("at 0s pause chat-1", "expected an existing VM, found `chat-1`")]
#[case("expect r7 answered", "expected an existing request, found `r7`")]
#[case("at 0s kill vm-1 now", "`at TIME kill NAME`")]
fn an_error_has_its_place(#[case] line: &str, #[case] expected: &str) {
    let source = format!("{PREAMBLE}expect held zero by 1s\n{line}\n");

    let found = parse("case.scn", &source).expect_err("the line is wrong");

    assert_eq!((found.len(), found[0].line), (1, 6), "{found:?}");
    let text = found[0].to_string();
    assert!(text.starts_with("case.scn:6: "), "{text}");
    assert!(text.contains(expected), "{text}");
}

/// Guards against a parser that stops at the first error of a file.
#[test]
fn all_errors_are_reported() {
    let found = parse("case.scn", "vms x\nseed y\nzones\n").expect_err("all lines are wrong");

    assert_eq!(found.iter().map(|f| f.line).collect::<Vec<_>>(), [1, 2, 3]);
}

fn page() -> String {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/scenarios.md");
    let text = std::fs::read_to_string(path).expect("the page exists");
    // List items may be wrapped at any space.
    text.replace("\n  ", " ")
}

/// Guards against statements that `docs/scenarios.md` does not describe with a valid example.
#[test]
fn the_page_has_every_statement() {
    let page = page();
    let rest = "at 0s send r1 to vm-1 service chat\nexpect held zero by 9s\n";

    for (_, syntax) in STATEMENTS.iter().chain(OUTCOMES) {
        let mut items = page.lines().filter(|line| line.starts_with("- `"));
        let item = items.find(|line| line[3..].starts_with(&format!("{syntax}`")));
        let item = item.unwrap_or_else(|| panic!("docs/scenarios.md does not have `{syntax}`"));
        let example = item
            .split("Example: `")
            .nth(1)
            .expect("the item has an example");
        let example = example.trim_end_matches('`');
        let word = syntax
            .split(' ')
            .find(|w| w.starts_with(char::is_lowercase))
            .unwrap();

        assert!(example.contains(word), "{syntax}: {example}");
        let source = format!("{PREAMBLE}{rest}{example}\n");
        assert!(
            parse("page.scn", &source).is_ok(),
            "{:?}",
            parse("page.scn", &source)
        );
    }
}

/// Guards against statements in `docs/scenarios.md` that the language does not have.
#[test]
fn the_page_has_no_other_statement() {
    let page = page();

    for line in page.lines().filter(|line| line.starts_with("- `")) {
        let known = STATEMENTS.iter().chain(OUTCOMES);
        let mut known = known.map(|(_, syntax)| format!("- `{syntax}`"));
        assert!(known.any(|syntax| line.starts_with(&syntax)), "{line}");
    }
}

fn check_lines(source: &str) {
    let Err(found) = parse("any.scn", source) else {
        return;
    };
    assert!(!found.is_empty());
    let lines = source.lines().count().max(1);
    assert!(
        found.iter().all(|f| (1..=lines).contains(&f.line)),
        "{found:?}"
    );
}

fn words() -> impl Strategy<Value = String> {
    let syntax_words = STATEMENTS
        .iter()
        .chain(OUTCOMES)
        .flat_map(|(_, syntax)| syntax.split(' '));
    let mut words: Vec<String> = syntax_words.map(str::to_owned).collect();
    let more = [
        "1s",
        "0.5ms",
        "99999999999s",
        "7",
        "50%",
        "\"x\"",
        "\"",
        "vm-1",
        "|",
        "r1",
        "#",
        "1.s",
    ];
    words.extend(more.map(str::to_owned));
    let line = prop::collection::vec(prop::sample::select(words), 0..9);
    let lines = prop::collection::vec(line.prop_map(|words| words.join(" ")), 0..8);
    lines.prop_map(|lines| lines.join("\n"))
}

proptest! {
    // A fixed seed makes the result of the test the same in every run.
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a parser that panics or reports errors at lines that the file does not have.
    #[test]
    fn any_text_is_parsed_or_has_errors_inside(source in "\\PC{0,200}(\n\\PC{0,40}){0,6}") {
        check_lines(&source);
    }

    /// Guards against the same faults, with lines that consist of words of the language.
    #[test]
    fn any_words_are_parsed_or_have_errors_inside(source in words()) {
        check_lines(&source);
    }
}
