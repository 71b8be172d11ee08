//! The command line: exit statuses, output and invalid usage.

use std::io::{BufRead as _, BufReader, Write as _};
use std::process::{Command, Output, Stdio};

use cumindoor::status::render;
use serde_json::json;
use standin::{Plain, PlainOptions};

/// The directory of the examples, relative to the package.
const EXAMPLES: &str = "../../examples";

fn command(args: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_cumindoor"));
    command.args(args).current_dir(env!("CARGO_MANIFEST_DIR"));
    command
}

fn run(args: &[&str]) -> Output {
    command(args).output().unwrap()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).unwrap()
}

/// Guards against exit statuses by which a script could not tell a valid file, a file with
/// findings and invalid usage apart.
#[rstest::rstest]
#[case::good(&["check", "../../examples/celeste/celeste.ini"], 0)]
#[case::finding(&["check", "src/lib.rs"], 1)]
#[case::one_of_two(&["check", "../../examples/celeste/celeste.ini", "src/lib.rs"], 1)]
#[case::no_file(&["check"], 2)]
#[case::missing(&["check", "no-such-file.ini"], 2)]
#[case::directory(&["check", "src"], 2)]
#[case::no_command(&[], 2)]
#[case::unknown_command(&["chekc"], 2)]
#[case::unknown_option(&["check", "--fix", "x.ini"], 2)]
#[case::no_address(&["status"], 2)]
#[case::name_as_address(&["status", "--at", "localhost:80"], 2)]
#[case::unknown_format(&["status", "--at", "127.0.0.1:1", "--format", "xml"], 2)]
#[case::no_unit(&["status", "--at", "127.0.0.1:1", "--timeout", "5"], 2)]
#[case::nobody_listens(&["status", "--at", "127.0.0.1:1"], 1)]
#[case::help(&["help", "check"], 0)]
#[case::wrong_vm(&["standin", "platform", "--vm", "a"], 1)]
fn exit_status_tells_findings_from_invalid_usage(#[case] args: &[&str], #[case] status: i32) {
    let output = run(args);

    assert_eq!(output.status.code(), Some(status), "{output:?}");
    let silent = output.stdout.is_empty() && output.stderr.is_empty();
    assert_eq!(
        silent,
        args.last().is_some_and(|last| last.contains("celeste.ini"))
    );
}

/// Guards against findings without a file name, and findings on standard error, where scripts do
/// not read them.
#[test]
fn findings_are_on_the_standard_output() {
    let mut child = command(&["check", "-"])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let input = b"[organisation]\nname = a\n[service b]\nkind = plain\nupstream = c\n";
    child.stdin.take().unwrap().write_all(input).unwrap();

    let output = child.wait_with_output().unwrap();

    let lines = text(&output.stdout);
    let lines: Vec<_> = lines.lines().collect();
    assert_eq!(
        lines,
        [
            "-:3: [service b] has no `upstreams`; expected a name of up to 63 characters a-z, \
             0-9, `-`, `_`, `.`",
            "-:5: `upstream` is not a key of [service b]; did you mean `upstreams`?",
        ]
    );
}

/// Guards against output of `check --print` that `check` does not accept.
#[test]
fn printed_file_is_accepted_again() {
    let file = format!("{EXAMPLES}/souk/souk.ini");

    let printed = run(&["check", "--print", &file]);

    let mut child = command(&["check", "-"])
        .stdin(Stdio::piped())
        .spawn()
        .unwrap();
    let mut stdin = child.stdin.take().unwrap();
    stdin.write_all(&printed.stdout).unwrap();
    drop(stdin);
    assert_eq!(child.wait().unwrap().code(), Some(0));
    assert!(text(&printed.stdout).contains("once = yes"));
}

/// Guards against a `status` command that does not print the report of the VM.
#[rstest::rstest]
#[case::text(&[], "path    /status")]
#[case::json(&["--format", "json"], "\"path\": \"/status\"")]
#[tokio::test]
async fn status_shows_the_report(#[case] options: &[&str], #[case] expected: &str) {
    // The plain service responds to every call with JSON, as a VM does to `GET /status`.
    let vm = Plain::spawn(PlainOptions::default()).await.unwrap();
    let addr = vm.addr().to_string();
    let mut args = vec!["status".to_owned(), "--at".into(), addr];
    args.extend(options.iter().map(ToString::to_string));

    let output = tokio::task::spawn_blocking(move || {
        let args: Vec<_> = args.iter().map(String::as_str).collect();
        run(&args)
    });
    let output = output.await.unwrap();

    assert!(text(&output.stdout).contains(expected), "{output:?}");
    assert_eq!(output.status.code(), Some(0));
}

/// Guards against fields that the text format omits, and unescaped control characters in it.
#[test]
fn report_is_printed_as_text() {
    let report = json!({
        "vm": "vm-1",
        "leaving": false,
        "documents": { "revision": 7, "digest": null },
        "members": [{ "name": "vm-2", "state": "live" }, { "name": "vm-10", "rtt": 3 }],
        "cells": [],
        "notes": ["a\u{1b}b"],
    });

    let text = render(&report);

    let expected = "leaving  false\nvm       vm-1\ncells\n  none\ndocuments\n  digest    -\n  \
                    revision  7\nmembers\n  name   state  rtt\n  vm-2   live   -\n  vm-10  -      \
                    3\nnotes\n  a\\u{1b}b\n";
    assert_eq!(text, expected);
}

/// Guards against changes to request handling that break the demonstration.
///
/// `demo` itself compares the responses with the text of the engines and counts the runs of the
/// top-ups.
#[test]
fn demo_ends_without_an_error() {
    let output = run(&["demo"]);

    let shown = text(&output.stdout);
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    for expected in [
        "dies now",
        "summary: complete",
        "chat: complete",
        "status 503: unknown",
        "0 requests still hold memory on engines",
        "no request was cut",
    ] {
        assert!(shown.contains(expected), "{expected} is missing in {shown}");
    }
}

/// Guards against a stand-in process that prints no address or keeps running after its test.
#[test]
fn standin_runs_until_its_input_ends() {
    let mut child = command(&["standin", "engine", "--with-stdin", "--slots", "3"])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut line = String::new();
    BufReader::new(child.stdout.take().unwrap())
        .read_line(&mut line)
        .unwrap();
    let connected = std::net::TcpStream::connect(line.trim());

    drop(child.stdin.take());

    assert!(connected.is_ok(), "{line}");
    assert_eq!(child.wait().unwrap().code(), Some(0));
}
