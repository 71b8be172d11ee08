//! Findings of `check` on invalid files.

use cumindoor::check::{Source, check};

const SETTINGS: &str = "[vm]\nname = vm-1\ndata-centre = suape\n\n[callers]\n\
                        address = 10.0.0.1:8080\n\n[peers]\naddress = 10.0.0.1:7000\n\n\
                        [platform]\naddresses = 10.0.0.9:7100\n";
const DOCUMENT: &str = "[organisation]\nname = celeste\n\n[service desk]\nkind = model\n\
                        upstreams = desk\nmodel = m\n\n[upstreams desk]\n\n[service top-up]\n\
                        kind = plain\nupstreams = top-up\n\n[caller norte]\nservices = desk\n";

fn findings(text: &str) -> Vec<String> {
    let source = Source {
        file: "f.ini".into(),
        bytes: text.as_bytes().to_vec(),
    };
    check(&[source]).iter().map(ToString::to_string).collect()
}

/// Guards against an invalid setting that is accepted or reported at the wrong line.
#[rstest::rstest]
#[case::no_unit(
    "head-time = 15",
    "f.ini:7: head-time = `15`: the unit is missing; expected a duration such as `1500 ms` (us, ms, s, min, h)"
)]
#[case::unknown_unit(
    "head-time = 15 sec",
    "f.ini:7: head-time = `15 sec`: the unit is unknown; expected a duration such as `1500 ms` (us, ms, s, min, h)"
)]
#[case::misspelt(
    "body-limt = 4 MB",
    "f.ini:7: `body-limt` is not a key of [callers]; did you mean `body-limit`?"
)]
#[case::underscore(
    "body_limit = 4 MB",
    "f.ini:7: `body_limit` is not a key of [callers]; did you mean `body-limit`?"
)]
#[case::twice(
    "address = 10.0.0.1:8081",
    "f.ini:7: `address` is given twice; the first one is in line 6"
)]
#[case::too_low(
    "head-limit = 1 B",
    "f.ini:7: head-limit = `1 B`: too low; expected 8 KB to 1 MB"
)]
#[case::too_high(
    "head-limit = 2 MB",
    "f.ini:7: head-limit = `2 MB`: too high; expected 8 KB to 1 MB"
)]
#[case::negative(
    "connections = -1",
    "f.ini:7: connections = `-1`: not a number; expected a whole number such as `100`"
)]
#[case::decimals(
    "connections = 1.5",
    "f.ini:7: connections = `1.5`: the number has too many decimals; expected a whole number such as `100`"
)]
#[case::digits(
    "connections = 9999999999999999999999",
    "f.ini:7: connections = `9999999999999999999999`: the number has too many digits; expected a whole number such as `100`"
)]
#[case::wrap(
    "connections = 4294967297",
    "f.ini:7: connections = `4294967297`: too high; expected a whole number such as `100`"
)]
#[case::comment(
    "connections = 5 # five",
    "f.ini:7: connections = `5 # five`: the unit is unknown; expected a whole number such as `100`"
)]
#[case::no_value(
    "connections =",
    "f.ini:7: connections = ``: not a number; expected a whole number such as `100`"
)]
#[case::no_equals(
    "connections",
    "f.ini:7: `connections` is neither `key = value` nor `[section]` nor a `# comment`"
)]
#[case::no_key(
    "= 5",
    "f.ini:7: `= 5` is neither `key = value` nor `[section]` nor a `# comment`"
)]
#[case::control(
    "connections = \u{0}5",
    "f.ini:7: the line contains the control character \\0; expected text"
)]
#[case::open_title("[log", "f.ini:7: the section name has no closing `]`")]
#[case::empty_title("[]", "f.ini:7: the section name is empty")]
#[case::after_title(
    "[log] x",
    "f.ini:7: `x` follows the section name; expected nothing after `]`"
)]
fn invalid_lines_of_the_callers_section_are_reported(#[case] line: &str, #[case] expected: &str) {
    let text = SETTINGS.replace("8080\n", &format!("8080\n{line}\n"));

    assert_eq!(findings(&text), [expected]);
}

/// Guards against settings with contradictory values or invalid sections that are accepted.
#[rstest::rstest]
#[case::stop_limit("suape\n", "suape\nstop-limit = 9 min\n", &["f.ini:4: stop-limit = 9 min is below request-limit = 10 min, so a planned stop could cut a request; expected at least 10 min"])]
#[case::section("[peers]", "[peer]", &["f.ini:1: [peers] has no `address`; expected an IP address and a port such as `10.0.0.9:7000`", "f.ini:8: [peer] is not a section; did you mean [peers]?"])]
#[case::repeated("[peers]", "[vm]", &["f.ini:1: [peers] has no `address`; expected an IP address and a port such as `10.0.0.9:7000`", "f.ini:8: section `vm` is given twice; the first one is in line 1"])]
#[case::host("10.0.0.9:7100", "platform:7100", &["f.ini:12: addresses = `platform:7100`: `platform:7100`: expected an IP address and a port such as `10.0.0.9:7000`"])]
#[case::none("10.0.0.9:7100", "", &["f.ini:12: addresses is empty; expected at least one address"])]
#[case::peer("10.0.0.1:7000", "0.0.0.0:7000", &["f.ini:9: address = `0.0.0.0:7000`: clients cannot connect to an unspecified address; expected an IP address and a port such as `10.0.0.9:7000`"])]
#[case::port("10.0.0.1:8080", "10.0.0.1:0", &["f.ini:6: address = `10.0.0.1:0`: port 0 is allowed on loopback addresses only; expected an IP address and a port such as `10.0.0.7:8080`"])]
#[case::two("name = vm-1\ndata-centre = suape", "name = VM 1", &["f.ini:1: [vm] has no `data-centre`; expected a name of up to 63 characters a-z, 0-9, `-`, `_`, `.`", "f.ini:2: name = `VM 1`: expected a name of up to 63 characters a-z, 0-9, `-`, `_`, `.`"])]
fn invalid_settings_are_reported(#[case] from: &str, #[case] to: &str, #[case] expected: &[&str]) {
    let text = SETTINGS.replacen(from, to, 1);

    assert_eq!(findings(&text), expected);
}

/// Guards against invalid documents that are accepted, and against findings without the expected
/// value.
#[rstest::rstest]
#[case::group("upstreams = desk", "upstreams = dseks", &["f.ini:6: upstreams = `dseks`: the document has no [upstreams dseks]; did you mean `desk`?", "f.ini:9: no model service uses section `upstreams desk`; expected at least one"])]
#[case::caller("services = desk", "services = desk, topup", &["f.ini:16: services: the document has no [service topup]; did you mean `top-up`?"])]
#[case::no_service("services = desk", "services =", &["f.ini:16: services is empty; expected at least one service"])]
#[case::itself("[caller norte]", "[caller celeste]", &["f.ini:15: `celeste` owns the document and may call all its services; expected another organisation"])]
#[case::kind("kind = plain", "kind = simple", &["f.ini:11: [service top-up] has no `model`; expected a name of up to 256 printable ASCII characters without spaces and commas", "f.ini:12: kind = `simple`: expected `model` or `plain`"])]
#[case::other_kind("kind = plain", "kind = plain\nttft-target = 1 s", &["f.ini:13: `ttft-target` is not a key of [service top-up]; expected one of kind, upstreams, deadline, once, once-paths, require-key, open-limit, request-rate"])]
#[case::once_paths("kind = plain", "kind = plain\nonce = yes\nonce-paths = /a", &["f.ini:14: once-paths has no effect with `once = yes`; expected one of them"])]
#[case::path("kind = plain", "kind = plain\nonce-paths = a", &["f.ini:13: once-paths = `a`: `a`: expected a path that starts with `/`, of up to 256 printable ASCII characters without `?` and `#`"])]
#[case::target("model = m", "model = m\nttft-target = 3 min", &["f.ini:8: ttft-target = 3 min is above deadline = 2 min"])]
#[case::step("model = m", "model = m\nitl-target = 3 ms", &["f.ini:8: itl-target = 3 ms is below the engines' step = 4 ms"])]
#[case::prompt("model = m", "model = m\nmax-prompt = 1300000 tokens", &["f.ini:8: the prefill of max-prompt = 1300000 tokens takes 130 s at prefill-rate = 10000 tokens/s; expected at most deadline = 2 min"])]
#[case::nameless("[caller norte]", "[caller]", &["f.ini:15: [caller] has no name; expected [caller NAME]", "f.ini:15: section `caller`: expected a name of up to 63 characters a-z, 0-9, `-`, `_`, `.`"])]
#[case::ownerless("[organisation]\nname = celeste\n", "", &["f.ini:1: the document has no section [organisation]"])]
#[case::american("[organisation]", "[organization]", &["f.ini:1: [organization] is not a section; did you mean [organisation]?", "f.ini:1: the document has no section [organisation]"])]
fn invalid_documents_are_reported(#[case] from: &str, #[case] to: &str, #[case] expected: &[&str]) {
    let text = DOCUMENT.replacen(from, to, 1);

    assert_eq!(findings(&text), expected);
}

/// Guards against a panic or an empty list of findings on files that are not in INI format.
#[rstest::rstest]
#[case::empty(b"".as_slice(), "f.ini:1: the file is neither the settings of a VM or gateway nor a document; expected a section [vm], [gateway] or [organisation]")]
#[case::binary(b"[vm]\n\xff\xfe".as_slice(), "f.ini:2: the line is not valid UTF-8")]
fn files_that_are_not_ini_are_reported(#[case] bytes: &[u8], #[case] expected: &str) {
    let source = Source {
        file: "f.ini".into(),
        bytes: bytes.to_vec(),
    };

    let found = check(&[source]);

    assert_eq!(found[0].to_string(), expected);
    assert_eq!(found.len(), 1);
}

/// Guards against files that are valid by themselves but contradict each other.
#[test]
fn files_are_compared() {
    let source = |file: &str, text: String| Source {
        file: file.into(),
        bytes: text.into_bytes(),
    };
    let settings = SETTINGS.replace("suape", "suape\nrequest-limit = 1 min");
    let sources = [
        source("a.ini", DOCUMENT.into()),
        source("b.ini", DOCUMENT.into()),
        source("vm.ini", settings),
    ];

    let found: Vec<_> = check(&sources).iter().map(ToString::to_string).collect();

    let deadline = "deadline = 2 min is above request-limit = 1 min of vm.ini";
    assert_eq!(
        found,
        [
            "b.ini:2: `celeste` already owns the document a.ini; expected one document per organisation".to_owned(),
            format!("a.ini:4: {deadline}"),
            format!("b.ini:4: {deadline}"),
        ]
    );
}

/// Guards against a call to an at-most-once path that is repeated because the caller spelled the
/// path differently.
#[rstest::rstest]
#[case("/credit", true)]
#[case("/credit/1?x=/", true)]
#[case("/Credit", true)]
#[case("//credit", true)]
#[case("/x/../credit", true)]
#[case("/%63redit", true)]
#[case("/credit;v=1/2", true)]
#[case("/credits", false)]
#[case("/balance/credit", false)]
#[case("/balance?x=/credit", false)]
fn once_path_covers_every_spelling(#[case] path: &str, #[case] covered: bool) {
    let prefix = cumindoor::ini::PathPrefix("/credit".into());

    assert_eq!(prefix.covers(path), covered);
}
