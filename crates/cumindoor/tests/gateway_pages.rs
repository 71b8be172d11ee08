//! Checks that `docs/OPERATIONS.md` lists the gateway's log events, metrics and refusals.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

use cumindoor::explain::{Explainer, Summary};

fn crate_dir() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
}

fn append_sources(dir: &Path, text: &mut String) {
    for entry in std::fs::read_dir(dir).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            append_sources(&path, text);
        } else {
            text.push_str(&std::fs::read_to_string(&path).unwrap());
        }
    }
}

fn gateway_sources() -> String {
    let mut text = std::fs::read_to_string(crate_dir().join("src/gateway.rs")).unwrap();
    text.push_str(&std::fs::read_to_string(crate_dir().join("src/cli/gateway.rs")).unwrap());
    append_sources(&crate_dir().join("src/gateway"), &mut text);
    text
}

/// Returns the string literal that names the event or metric in each call that begins with one of
/// `calls`.
fn first_literals(text: &str, calls: &[&str]) -> BTreeSet<String> {
    let mut found = BTreeSet::new();
    for call in calls {
        for (at, _) in text.match_indices(call) {
            let rest = &text[at + call.len()..];
            let rest = &rest[..rest.find(");").unwrap()];
            let literal = rest.rsplit(';').next().unwrap_or(rest);
            let mut parts = literal.split('"');
            if let (Some(_), Some(name)) = (parts.next(), parts.next()) {
                found.insert(name.to_owned());
            }
        }
    }
    found
}

fn gateway_page() -> String {
    let page = crate_dir().join("../../docs/OPERATIONS.md");
    let text = std::fs::read_to_string(page).unwrap();
    text.split_once("# The gateway").unwrap().1.to_owned()
}

fn assert_listed(names: &BTreeSet<String>) {
    let page = gateway_page();
    let missing: Vec<&String> = names
        .iter()
        .filter(|name| !page.contains(&format!("`{name}`")))
        .collect();
    assert!(
        missing.is_empty(),
        "missing from docs/OPERATIONS.md: {missing:?}"
    );
}

/// Guards against a log event that operators cannot look up.
#[test]
fn every_log_event_is_listed() {
    let events = first_literals(
        &gateway_sources(),
        &["log::info!(", "log::warn!(", "log::error!("],
    );

    assert!(events.len() > 15, "{events:?}");
    assert_listed(&events);
}

/// Guards against a metric that operators cannot look up.
#[test]
fn every_metric_is_listed() {
    let calls = ["telemetry.count(", "telemetry.time(", "telemetry.gauge("];
    let metrics: BTreeSet<String> = first_literals(&gateway_sources(), &calls)
        .into_iter()
        .map(|name| name.split('{').next().unwrap().to_owned())
        .collect();

    assert!(metrics.len() > 12, "{metrics:?}");
    assert_listed(&metrics);
}

/// Guards against a refusal that operators cannot look up.
#[test]
fn every_refusal_is_listed() {
    let text = std::fs::read_to_string(crate_dir().join("src/gateway/callers/answer.rs")).unwrap();
    let displays = text.match_indices("#[display(\"");
    let reasons = displays.map(|(at, open)| {
        let rest = &text[at + open.len()..];
        rest[..rest.find('"').unwrap()].to_owned()
    });

    assert_listed(&reasons.collect());
}

const LOG: &str = r#"
vm-2 {"at":12.250,"event":"request answered","level":"INFO","id":"r-1","status":200}
not json
vm-1 {"at":12.000,"event":"attempt failed","level":"INFO","id":"r-1","upstream":"i-1"}
vm-1 {"at":12.100,"event":"request answered","level":"INFO","id":"r-2","status":500}
"#;

/// Guards against a request's timeline that lacks lines, contains those of another request, or is
/// out of order.
#[test]
fn a_timeline_has_the_lines_of_one_request_in_order() {
    let mut explainer = Explainer::new("r-1");
    explainer.read("log", LOG.as_bytes()).unwrap();

    let timeline = explainer.finish().unwrap();

    let expected = "       0 ms  vm-1  attempt failed  upstream=i-1\n     250 ms  vm-2  request answered  status=200\n";
    assert_eq!(timeline.to_string(), expected);
    assert_eq!(timeline.dropped_lines, 0);
}

/// Guards against an unknown request for which a timeline is returned, and against dropped log
/// lines that the timeline does not report.
#[test]
fn a_timeline_says_what_may_be_missing() {
    let gap = r#"{"event":"lines left out","count":3,"at":12.5}"#;
    let mut known = Explainer::new("r-2");
    known.read("log", LOG.as_bytes()).unwrap();
    known.read("log", gap.as_bytes()).unwrap();
    let mut unknown = Explainer::new("r-3");
    unknown.read("log", LOG.as_bytes()).unwrap();

    assert_eq!(known.finish().unwrap().dropped_lines, 3);
    assert_eq!(unknown.finish(), None);
}

const DAY: &str = r#"
vm-1 {"at":10.0,"event":"request waits","id":"r-1"}
vm-1 {"at":10.4,"event":"stream started","id":"r-1"}
vm-1 {"at":11.0,"event":"stream complete","id":"r-1"}
vm-1 {"at":11.1,"event":"request answered","id":"r-2","status":200}
vm-2 {"at":11.2,"event":"request answered","id":"r-3","status":500}
vm-2 {"at":13.2,"event":"request refused","id":"r-4","reason":"overloaded"}
vm-2 {"at":13.3,"event":"stream cut","id":"r-5","reason":"broken"}
vm-2 {"at":13.4,"event":"stream started","id":"r-6"}
vm-2 {"at":13.5,"event":"lines left out","count":2}
"#;

/// Guards against requests that are counted twice or not at all, and against a summary without the
/// worst second.
#[test]
fn a_summary_counts_each_request_once() {
    let mut summary = Summary::default();
    summary.read("log", DAY.as_bytes()).unwrap();

    let text = summary.to_string();
    let plot = summary.plot();

    let expected = [
        "       2  served",
        "       1  upstream answered 500",
        "       1  refused: overloaded",
        "       1  cut: broken",
        "       1  no end logged",
        "worst seconds, counted from the first request that ended:",
        "       2 s  0 served, 3 not",
        "       0 s  2 served, 1 not",
        "2 lines were left out",
    ];
    assert_eq!(text.lines().collect::<Vec<_>>(), expected);
    assert_eq!(plot.matches("#2a6").count(), 2);
    assert!(plot.ends_with("</svg>\n"));
}
