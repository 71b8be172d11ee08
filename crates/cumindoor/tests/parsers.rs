//! Properties of the INI, settings and document parsers.

use cumindoor::check::{Source, check};
use cumindoor::document::Document;
use cumindoor::ini::{FILE_LIMIT, FINDING_LIMIT, LINE_LIMIT};
use cumindoor::settings::Settings;
use proptest::prelude::*;

const SETTINGS: &str = include_str!("../../../examples/celeste/vm-1.ini");
const DOCUMENT: &str = include_str!("../../../examples/celeste/celeste.ini");

/// The number of lines of a file; an empty one counts as one line.
fn lines(bytes: &[u8]) -> usize {
    bytes.split(|byte| *byte == b'\n').count()
}

/// Asserts that every finding has a place inside the file and a bounded text.
fn assert_places(bytes: &[u8]) {
    let source = Source {
        file: "f".into(),
        bytes: bytes.to_vec(),
    };
    let last_line = lines(bytes);
    let findings = check(&[source]);
    assert!(findings.len() <= FINDING_LIMIT + 1);
    for finding in findings {
        assert!(finding.line >= 1 && finding.line <= last_line, "{finding}");
        assert!(
            !finding.text.is_empty() && finding.text.len() < 2_000,
            "{finding}"
        );
        assert!(!finding.text.contains(char::is_control), "{finding:?}");
    }
}

/// Lines that are close to valid ones.
fn line() -> impl Strategy<Value = String> {
    let known: Vec<String> = [SETTINGS, DOCUMENT]
        .iter()
        .flat_map(|text| text.lines())
        .map(str::to_owned)
        .collect();
    let number = "[0-9]{1,20}(\\.[0-9]{0,9})?";
    let unit = "( |)(us|ms|s|min|h|B|KB|MB|GB|GB/s|tokens|tokens/s|requests/s|)";
    let keys = prop::sample::select(vec![
        "deadline",
        "ttft-target",
        "step",
        "link-rate",
        "max-prompt",
        "slots",
        "stop-limit",
        "body-limit",
        "connections",
        "request-rate",
        "once",
        "once-paths",
        "services",
    ]);
    prop_oneof![
        8 => prop::sample::select(known),
        4 => (keys, number, unit).prop_map(|(key, number, unit)| format!("{key} = {number}{unit}")),
        1 => "\\PC{0,40}",
        1 => ".{0,40}",
        1 => "\\[(service|upstreams|caller|vm|) ?\\PC{0,10}\\]",
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        // The verdict must not depend on the run, so the cases are always the same ones.
        rng_seed: prop::test_runner::RngSeed::Fixed(7),
        cases: 400,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a crash or a finding without a place on any bytes.
    #[test]
    fn any_bytes(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        assert_places(&bytes);
    }

    /// Guards against the same on files that are almost valid, and against an accepted document
    /// that its printout changes.
    #[test]
    fn mixed_lines(lines in prop::collection::vec(line(), 0..60)) {
        let text = lines.join("\n");
        assert_places(text.as_bytes());
        if let Ok(document) = Document::parse("f", &text) {
            let printed = document.to_string();
            prop_assert_eq!(Document::parse("f", &printed), Ok(document));
        }
    }

    /// Guards against a changed value that is accepted and lost in the printout.
    #[test]
    fn changed_document(
        index in 0..DOCUMENT.lines().count(),
        changed in line(),
    ) {
        let mut lines: Vec<&str> = DOCUMENT.lines().collect();
        lines[index] = &changed;
        let text = lines.join("\n");
        assert_places(text.as_bytes());
        if let Ok(document) = Document::parse("f", &text) {
            let printed = document.to_string();
            prop_assert_eq!(Document::parse("f", &printed), Ok(document));
        }
    }

    /// Guards against the same for settings.
    #[test]
    fn changed_settings(
        index in 0..SETTINGS.lines().count(),
        changed in line(),
    ) {
        let mut lines: Vec<&str> = SETTINGS.lines().collect();
        lines[index] = &changed;
        let text = lines.join("\n");
        assert_places(text.as_bytes());
        if let Ok(settings) = Settings::parse("f", &text) {
            let printed = settings.to_string();
            prop_assert_eq!(Settings::parse("f", &printed), Ok(settings));
        }
    }
}

/// Returns the texts for 0 to `count`, joined.
fn repeat(count: usize, text: fn(usize) -> String) -> String {
    let texts: Vec<_> = (0..count).map(text).collect();
    texts.concat()
}

/// Guards against files whose size makes the check slow, large or crash.
#[rstest::rstest]
#[case::no_lines("x".repeat(FILE_LIMIT))]
#[case::too_large("x\n".repeat(FILE_LIMIT))]
#[case::only_wrong_lines("x\n".repeat(FILE_LIMIT / 2))]
#[case::sections("[vm]\n".repeat(FILE_LIMIT / 5))]
#[case::empty_sections("[]\n".repeat(FILE_LIMIT / 3))]
#[case::unknown_keys(format!("[vm]\n{}", "nmae = x\n".repeat(FILE_LIMIT / 10)))]
#[case::long_line(format!("[vm]\nname = {}\n", "x".repeat(LINE_LIMIT)))]
#[case::long_title(format!("[service {}]\n", "x".repeat(LINE_LIMIT / 2)))]
#[case::digits(format!("[vm]\nstop-limit = {} ms\n", "9".repeat(LINE_LIMIT / 2)))]
#[case::list(format!("[platform]\naddresses = {}\n", "1.1.1.1:1,".repeat(1_000)))]
#[case::groups(repeat(40_000, |n| format!("[upstreams g{n}]\n")))]
#[case::services(repeat(3_000, |n| {
    format!("[service s{n}]\nkind = model\nupstreams = g{n}\nmodel = m\n[caller c{n}]\n\
             services = t{n}, u{n}, v{n}\n")
}))]
#[case::carriage_returns("[vm]\rname = a\r".repeat(1_000))]
#[case::nulls("\u{0}\n".repeat(1_000))]
fn hostile_lengths(#[case] text: String) {
    assert_places(text.as_bytes());
}
