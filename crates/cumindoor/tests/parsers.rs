//! Property tests of the INI, settings and document parsers.

use cumindoor::check::{Source, check};
use cumindoor::document::Document;
use cumindoor::ini::{MAX_FILE_BYTES, MAX_FINDINGS, MAX_LINE_BYTES};
use cumindoor::settings::Settings;
use proptest::prelude::*;

const SETTINGS: &str = include_str!("../../../examples/celeste/vm-1.ini");
const DOCUMENT: &str = include_str!("../../../examples/celeste/celeste.ini");

/// Returns the number of lines of a file; an empty file has one line.
fn count_lines(bytes: &[u8]) -> usize {
    bytes.split(|byte| *byte == b'\n').count()
}

/// Asserts that every finding has a line inside the file and a printable text of bounded length.
fn assert_valid_findings(bytes: &[u8]) {
    let source = Source {
        file: "f".into(),
        bytes: bytes.to_vec(),
    };
    let last_line = count_lines(bytes);
    let findings = check(&[source]);
    assert!(findings.len() <= MAX_FINDINGS + 1);
    for finding in findings {
        assert!(finding.line >= 1 && finding.line <= last_line, "{finding}");
        assert!(
            !finding.text.is_empty() && finding.text.len() < 2_000,
            "{finding}"
        );
        assert!(!finding.text.contains(char::is_control), "{finding:?}");
    }
}

/// Generates valid and almost valid lines.
fn any_line() -> impl Strategy<Value = String> {
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
        // The seed is fixed so that every run tests the same cases.
        rng_seed: prop::test_runner::RngSeed::Fixed(7),
        cases: 400,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a panic, or a finding without a valid line, on arbitrary bytes.
    #[test]
    fn arbitrary_bytes_give_valid_findings(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        assert_valid_findings(&bytes);
    }

    /// Guards against a panic, or a finding without a valid line, on almost valid files, and
    /// against a document that changes when it is formatted and parsed again.
    #[test]
    fn almost_valid_files_give_valid_findings(lines in prop::collection::vec(any_line(), 0..60)) {
        let text = lines.join("\n");
        assert_valid_findings(text.as_bytes());
        if let Ok(document) = Document::parse("f", &text) {
            let printed = document.to_string();
            prop_assert_eq!(Document::parse("f", &printed), Ok(document));
        }
    }

    /// Guards against a valid change to a document that is lost when the document is formatted.
    #[test]
    fn changed_documents_survive_formatting(
        index in 0..DOCUMENT.lines().count(),
        changed in any_line(),
    ) {
        let mut lines: Vec<&str> = DOCUMENT.lines().collect();
        lines[index] = &changed;
        let text = lines.join("\n");
        assert_valid_findings(text.as_bytes());
        if let Ok(document) = Document::parse("f", &text) {
            let printed = document.to_string();
            prop_assert_eq!(Document::parse("f", &printed), Ok(document));
        }
    }

    /// Guards against a valid change to settings that is lost when the settings are formatted.
    #[test]
    fn changed_settings_survive_formatting(
        index in 0..SETTINGS.lines().count(),
        changed in any_line(),
    ) {
        let mut lines: Vec<&str> = SETTINGS.lines().collect();
        lines[index] = &changed;
        let text = lines.join("\n");
        assert_valid_findings(text.as_bytes());
        if let Ok(settings) = Settings::parse("f", &text) {
            let printed = settings.to_string();
            prop_assert_eq!(Settings::parse("f", &printed), Ok(settings));
        }
    }
}

/// Concatenates the texts for 0 to `count`, without `count`.
fn repeat(count: usize, text: fn(usize) -> String) -> String {
    let texts: Vec<_> = (0..count).map(text).collect();
    texts.concat()
}

/// Guards against excessive time, excessive output or a panic on files with extreme sizes.
#[rstest::rstest]
#[case::no_lines("x".repeat(MAX_FILE_BYTES))]
#[case::too_large("x\n".repeat(MAX_FILE_BYTES))]
#[case::only_wrong_lines("x\n".repeat(MAX_FILE_BYTES / 2))]
#[case::sections("[vm]\n".repeat(MAX_FILE_BYTES / 5))]
#[case::empty_sections("[]\n".repeat(MAX_FILE_BYTES / 3))]
#[case::unknown_keys(format!("[vm]\n{}", "nmae = x\n".repeat(MAX_FILE_BYTES / 10)))]
#[case::long_line(format!("[vm]\nname = {}\n", "x".repeat(MAX_LINE_BYTES)))]
#[case::long_title(format!("[service {}]\n", "x".repeat(MAX_LINE_BYTES / 2)))]
#[case::digits(format!("[vm]\nstop-limit = {} ms\n", "9".repeat(MAX_LINE_BYTES / 2)))]
#[case::list(format!("[platform]\naddresses = {}\n", "1.1.1.1:1,".repeat(1_000)))]
#[case::groups(repeat(40_000, |n| format!("[upstreams g{n}]\n")))]
#[case::services(repeat(3_000, |n| {
    format!("[service s{n}]\nkind = model\nupstreams = g{n}\nmodel = m\n[caller c{n}]\n\
             services = t{n}, u{n}, v{n}\n")
}))]
#[case::carriage_returns("[vm]\rname = a\r".repeat(1_000))]
#[case::nulls("\u{0}\n".repeat(1_000))]
fn extreme_sizes_give_valid_findings(#[case] text: String) {
    assert_valid_findings(text.as_bytes());
}
