//! The pages of keys and the complete examples.

use std::fmt::Write as _;
use std::path::PathBuf;

use cumindoor::check::{Source, check};
use cumindoor::ini::{KeySpec, section_page};
use cumindoor::{bench, document, gateway, settings};

const START: &str = "<!-- keys -->\n";
const END: &str = "<!-- end of keys -->\n";

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

/// Guards against a key, unit, default or bound that a page does not say or says wrongly.
#[rstest::rstest]
#[case::settings("docs/settings.md", settings::SECTIONS)]
#[case::gateway("docs/gateway.md", gateway::SECTIONS)]
#[case::documents("docs/documents.md", document::SECTIONS)]
#[case::replay("docs/replay.md", bench::EXPECT_SECTIONS)]
fn page_has_every_key(#[case] name: &str, #[case] sections: &[(&str, &[KeySpec])]) {
    let page = std::fs::read_to_string(path(name)).unwrap();
    let (before, rest) = page.split_once(START).unwrap();
    let (found, after) = rest.split_once(END).unwrap();
    let mut expected = String::new();
    for (title, keys) in sections {
        let heading = if title.contains('[') {
            (*title).to_owned()
        } else {
            format!("`[{title}]`")
        };
        let _ = writeln!(expected, "\n{}", section_page(&heading, keys).trim_end());
    }
    expected.push('\n');

    if std::env::var_os("UPDATE_PAGES").is_some() {
        let text = format!("{before}{START}{expected}{END}{after}");
        std::fs::write(path(name), text).unwrap();
        return;
    }

    assert_eq!(
        found, expected,
        "run UPDATE_PAGES=1 cargo test --test pages"
    );
}

/// Guards against examples that operators copy and `check` then rejects.
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

    // A printed default is read as a given value, which is compared with the bounds.
    let printed = settings.to_string();
    assert_eq!(settings::Settings::parse("s", &printed), Ok(settings));
    let printed = document.to_string();
    assert_eq!(document::Document::parse("d", &printed), Ok(document));
    for (_, keys) in settings::SECTIONS.iter().chain(document::SECTIONS) {
        for key in *keys {
            assert!(!key.about.trim().is_empty() && key.about.trim().ends_with('.'));
            if let Some((low, high)) = key.bounds {
                assert!(bound(low) < bound(high), "{}", key.name);
            }
        }
    }
}

/// Returns the size of a bound by any of the units; panics on a malformed one.
fn bound(text: &str) -> u128 {
    use cumindoor::ini::{ByteRate, Bytes, Count, RequestRate, Setting, Span, TokenRate, Tokens};
    let parsed = [
        Span::parse(text).map(|v| v.0.as_micros()),
        Bytes::parse(text).map(|v| u128::from(v.0)),
        ByteRate::parse(text).map(|v| u128::from(v.0)),
        Count::parse(text).map(|v| u128::from(v.0)),
        Tokens::parse(text).map(|v| u128::from(v.0)),
        TokenRate::parse(text).map(|v| u128::from(v.0)),
        RequestRate::parse(text).map(|v| u128::from(v.0)),
    ];
    parsed.into_iter().find_map(Result::ok).unwrap()
}
