//! Compares `docs/OPERATIONS.md` with the refusals, metrics, tasks and log lines in the code.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

use coord::sched::{Failure, Reason};
use cumindoor::serve::refusal::Refusal;

/// The calls that record a metric.
const METRIC_CALLS: [&str; 6] = [
    "telemetry.count(",
    "telemetry.add(",
    "telemetry.time(",
    "telemetry.gauge(",
    "\n        gauge(",
    ".count_end(",
];

/// Calls that record a metric whose name is a parameter of the enclosing function, by file. The
/// scan finds the name where that function is called.
const FORWARDED_METRICS: [(&str, &str); 3] = [
    ("caller.rs", "name, value as u64"),
    ("route.rs", "name"),
    ("route/prefill.rs", "&name"),
];

/// Refusals whose reason is a parameter of the enclosing function, by file. The scan finds the
/// reason where that function is called.
const FORWARDED_REFUSALS: [(&str, &str); 4] = [
    ("caller/parse.rs", "StatusCode::BAD_REQUEST, reason, text"),
    ("plain/bodies.rs", "reason, message"),
    (
        "route.rs",
        "StatusCode::SERVICE_UNAVAILABLE, reason, message",
    ),
    ("route.rs", "reason, message"),
];

fn crate_root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
}

/// Adds the source files below `dir`, except tests, with their paths relative to `src/serve`.
fn sources(dir: &Path, found: &mut Vec<(String, String)>) {
    for entry in std::fs::read_dir(dir).unwrap() {
        let path = entry.unwrap().path();
        let name = path.strip_prefix(crate_root().join("src/serve")).unwrap();
        let name = name.to_str().unwrap().to_owned();
        if path.is_dir() {
            sources(&path, found);
        } else if path.extension().is_some_and(|end| end == "rs") && !name.ends_with("tests.rs") {
            found.push((name, std::fs::read_to_string(&path).unwrap()));
        }
    }
}

fn serve_sources() -> Vec<(String, String)> {
    let mut found = Vec::new();
    sources(&crate_root().join("src/serve"), &mut found);
    let cli = std::fs::read_to_string(crate_root().join("src/cli/serve.rs")).unwrap();
    found.push(("cli/serve.rs".into(), cli));
    found
}

/// Returns the text of `rest` up to the parenthesis that closes the one directly before it.
fn arguments(rest: &str) -> &str {
    let (mut depth, mut quoted, mut escaped) = (1, false, false);
    for (at, c) in rest.char_indices() {
        match c {
            _ if escaped => escaped = false,
            '\\' if quoted => escaped = true,
            '"' => quoted = !quoted,
            '(' if !quoted => depth += 1,
            ')' if !quoted => depth -= 1,
            _ => {}
        }
        if depth == 0 {
            return &rest[..at];
        }
    }
    panic!("a call without an end: {}", &rest[..rest.len().min(80)]);
}

/// Returns the arguments of every call of `call`.
fn calls<'a>(text: &'a str, call: &'a str) -> impl Iterator<Item = &'a str> {
    let found = text.match_indices(call);
    found.map(move |(at, _)| arguments(&text[at + call.len()..]))
}

fn first_literal(arguments: &str) -> Option<&str> {
    arguments.split('"').nth(1)
}

/// Returns the first string literal of each of the `wanted` calls, and the file and arguments of
/// those without a literal.
fn names_in_calls(wanted: &[&str]) -> (BTreeSet<String>, BTreeSet<(String, String)>) {
    let (mut names, mut forwarded) = (BTreeSet::new(), BTreeSet::new());
    for (file, text) in serve_sources() {
        for arguments in wanted.iter().flat_map(|call| calls(&text, call)) {
            if let Some(name) = first_literal(arguments) {
                names.insert(name.to_owned());
                continue;
            }
            let words: Vec<&str> = arguments.split_whitespace().collect();
            let arguments = words.join(" ").trim_end_matches(',').to_owned();
            forwarded.insert((file.clone(), arguments));
        }
    }
    (names, forwarded)
}

fn assert_forwarded(found: &BTreeSet<(String, String)>, known: &[(&str, &str)]) {
    let known = known.iter();
    let known: BTreeSet<_> = known.map(|(f, a)| ((*f).into(), (*a).into())).collect();
    assert_eq!(*found, known, "a name that the scan cannot follow");
}

fn operations_page() -> String {
    std::fs::read_to_string(crate_root().join("../../docs/OPERATIONS.md")).unwrap()
}

/// Returns the names in the first column of the tables of one section.
fn table_names(page: &str, title: &str) -> BTreeSet<String> {
    let (_, rest) = page.split_once(&format!("\n## {title}\n")).unwrap();
    let section = rest.split("\n## ").next().unwrap();
    let rows = section.lines().filter_map(|line| line.strip_prefix("| `"));
    rows.map(|row| row.split('`').next().unwrap().to_owned())
        .collect()
}

/// Returns all reasons for refusals by a scheduler. The `match` makes a new one a compile error.
fn scheduler_reasons() -> Vec<Reason> {
    let next = |reason| match reason {
        Reason::Deadline => Some(Reason::QueueFull),
        Reason::QueueFull => Some(Reason::NoUpstream),
        Reason::NoUpstream => Some(Reason::RetryBudget),
        Reason::RetryBudget => Some(Reason::Poison),
        Reason::Poison => Some(Reason::Unknown),
        Reason::Unknown => None,
    };
    std::iter::successors(Some(Reason::Deadline), |reason| next(*reason)).collect()
}

/// Returns the name in metrics of each failure of an engine call. The `match` makes a new one a
/// compile error.
fn failure_causes() -> Vec<&'static str> {
    let next = |failure| match failure {
        Failure::Full => ("full", Some(Failure::Evicted)),
        Failure::Evicted => ("evicted", Some(Failure::Lost)),
        Failure::Lost => ("lost", Some(Failure::Stalled)),
        Failure::Stalled => ("stalled", None),
    };
    let all = std::iter::successors(Some(Failure::Full), |failure| next(*failure).1);
    all.map(|failure| next(failure).0).collect()
}

/// Guards against a refusal that the page does not explain, and against a row for a refusal that no
/// longer exists.
#[test]
fn page_has_every_refusal() {
    let wanted = [
        "Refusal::not_run(",
        "Refusal::unknown(",
        "self.refusal(",
        "Err(refuse(",
    ];
    let (mut reasons, forwarded) = names_in_calls(&wanted);
    let scheduler = scheduler_reasons().into_iter();
    reasons.extend(scheduler.map(|r| Refusal::from_reason(r, None, false).reason.into_owned()));

    assert_forwarded(&forwarded, &FORWARDED_REFUSALS);
    for sample in ["malformed", "cell-lost", "duplicate", "queue-full"] {
        assert!(reasons.contains(sample), "the scan misses {sample}");
    }
    assert_eq!(table_names(&operations_page(), "Refusals"), reasons);
}

/// Guards against a metric that the page does not list, and against a row for a metric that no
/// longer exists.
#[test]
fn page_has_every_metric() {
    let (found, forwarded) = names_in_calls(&METRIC_CALLS);
    assert_forwarded(&forwarded, &FORWARDED_METRICS);

    let (steps, indirect) = names_in_calls(&["self.count_failure("]);
    assert_forwarded(&indirect, &[]);
    let mut names: BTreeSet<String> = BTreeSet::new();
    for name in found {
        match name.as_str() {
            "request.refused.{}" => drop(names.insert("request.refused.REASON".into())),
            "supervisor.{}" => {
                names.insert("supervisor.TASK.restarted".into());
                names.insert("supervisor.TASK.gave-up".into());
            }
            _ => drop(names.insert(name)),
        }
    }
    for step in &steps {
        names.extend(
            failure_causes()
                .iter()
                .map(|cause| format!("{step}.failed.{cause}")),
        );
    }

    for sample in ["request.started", "first-token", "cancel.pending", "tokens"] {
        assert!(names.contains(sample), "the scan misses {sample}");
    }
    assert_eq!(steps.len(), 2, "prefill and decode");
    assert_eq!(table_names(&operations_page(), "Metrics"), names);
}

/// Guards against a supervised task whose name appears in counters and log lines but not on the
/// page.
#[test]
fn page_has_every_task() {
    let (tasks, forwarded) = names_in_calls(&["Spec::task(", "Spec::group("]);
    assert_forwarded(&forwarded, &[]);

    assert!(tasks.contains("cluster") && tasks.contains("router"));
    assert_eq!(table_names(&operations_page(), "Supervised tasks"), tasks);
}

/// Guards against a log line that the page does not explain.
#[test]
fn page_has_every_log_line() {
    let (lines, forwarded) = names_in_calls(&["log::info!(", "log::warn!(", "log::error!("]);
    assert_forwarded(&forwarded, &[]);

    assert!(lines.contains("serving") && lines.contains("stopped"));
    assert_eq!(table_names(&operations_page(), "Log lines"), lines);
}
