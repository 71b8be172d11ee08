//! The generated documentation of keys, and the example files.

use std::fmt::Write as _;
use std::path::PathBuf;

use cumindoor::check::{Source, check};
use cumindoor::ini::{KeySpec, section_markdown};
use cumindoor::{bench, document, gateway, settings};

const KEYS_START: &str = "<!-- keys -->\n";
const KEYS_END: &str = "<!-- end of keys -->\n";

fn path(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("../..")
        .join(name)
}

fn source(name: &str) -> Source {
    Source {
        file: name.to_owned(),
        bytes: std::fs::read(path(name)).unwrap(),
    }
}

/// Guards against a key, unit, default or bound that a documentation page omits or misstates.
#[rstest::rstest]
#[case::settings("docs/settings.md", settings::SECTIONS)]
#[case::gateway("docs/gateway.md", gateway::SECTIONS)]
#[case::documents("docs/documents.md", document::SECTIONS)]
#[case::replay("docs/replay.md", bench::EXPECT_SECTIONS)]
fn page_has_every_key(#[case] name: &str, #[case] sections: &[(&str, &[KeySpec])]) {
    let page = std::fs::read_to_string(path(name)).unwrap();
    let (before, rest) = page.split_once(KEYS_START).unwrap();
    let (found, after) = rest.split_once(KEYS_END).unwrap();
    let mut expected = String::new();
    for (title, keys) in sections {
        let heading = if title.contains('[') {
            (*title).to_owned()
        } else {
            format!("`[{title}]`")
        };
        let _ = writeln!(
            expected,
            "\n{}",
            section_markdown(&heading, keys).trim_end()
        );
    }
    expected.push('\n');

    if std::env::var_os("UPDATE_PAGES").is_some() {
        let text = format!("{before}{KEYS_START}{expected}{KEYS_END}{after}");
        std::fs::write(path(name), text).unwrap();
        return;
    }

    assert_eq!(
        found, expected,
        "run UPDATE_PAGES=1 cargo test --test pages"
    );
}

/// Guards against examples that `check` rejects, as operators copy them.
#[rstest::rstest]
#[case(&["examples/celeste/celeste.ini", "examples/celeste/vm-1.ini"])]
#[case(&["examples/souk/souk.ini", "examples/souk/vm-1.ini"])]
fn examples_have_no_findings(#[case] names: &[&str]) {
    let sources: Vec<_> = names.iter().map(|name| source(name)).collect();

    let findings = check(&sources);

    assert_eq!(findings, []);
}

/// Guards against a default or bound that is malformed, or a default outside its bounds.
#[test]
fn defaults_and_bounds_are_valid() {
    let settings = "[vm]\nname = a\ndata-centre = b\n[callers]\naddress = 127.0.0.1:0\n\
                    [peers]\naddress = 127.0.0.1:0\n[platform]\naddresses = 127.0.0.1:1\n";
    let document = "[organisation]\nname = a\n[service s]\nkind = model\nupstreams = u\n\
                    model = m\n[upstreams u]\n[service p]\nkind = plain\nupstreams = q\n\
                    [caller b]\nservices = s\n";

    let settings = settings::Settings::parse("s", settings).unwrap();
    let document = document::Document::parse("d", document).unwrap();

    // In the formatted file each default is an explicit value, which is checked against its bounds.
    let printed = settings.to_string();
    assert_eq!(settings::Settings::parse("s", &printed), Ok(settings));
    let printed = document.to_string();
    assert_eq!(document::Document::parse("d", &printed), Ok(document));
    for (_, keys) in settings::SECTIONS.iter().chain(document::SECTIONS) {
        for key in *keys {
            assert!(!key.description.trim().is_empty() && key.description.trim().ends_with('.'));
            if let Some((low, high)) = key.bounds {
                assert!(parse_bound(low) < parse_bound(high), "{}", key.name);
            }
        }
    }
}

/// Parses a bound as the first quantity type that accepts it; panics if none does.
fn parse_bound(text: &str) -> u128 {
    use cumindoor::ini::{
        ByteRate, Bytes, Count, RequestRate, Setting, TimeSpan, TokenRate, Tokens,
    };
    let parsed = [
        TimeSpan::parse(text).map(|v| v.0.as_micros()),
        Bytes::parse(text).map(|v| u128::from(v.0)),
        ByteRate::parse(text).map(|v| u128::from(v.0)),
        Count::parse(text).map(|v| u128::from(v.0)),
        Tokens::parse(text).map(|v| u128::from(v.0)),
        TokenRate::parse(text).map(|v| u128::from(v.0)),
        RequestRate::parse(text).map(|v| u128::from(v.0)),
    ];
    parsed.into_iter().find_map(Result::ok).unwrap()
}
