//! Service specifications and options that are derived from documents and settings.

use cumindoor::document::Document;
use cumindoor::serve::ServiceKind;
use cumindoor::settings::Settings;

const DOCUMENT: &str = include_str!("../../../examples/celeste/celeste.ini");
const SETTINGS: &str = include_str!("../../../examples/celeste/vm-1.ini");

/// Guards against services that an organisation can call without being allowed to, and against an
/// at-most-once path that is treated as repeatable.
#[test]
fn services_of_each_caller() {
    let document = Document::parse("celeste.ini", DOCUMENT).unwrap();

    let specs = document.service_specs();

    let callable: Vec<_> = specs
        .iter()
        .map(|spec| {
            let once = spec.is_once("/credit/55819");
            (spec.organisation.as_str(), spec.name.as_str(), once)
        })
        .collect();
    assert_eq!(
        callable,
        [
            ("celeste", "airtime-desk", false),
            ("celeste", "logreader", false),
            ("celeste", "top-up", true),
            ("estaleiro-norte", "airtime-desk", false),
            ("estaleiro-norte", "logreader", false),
        ]
    );
    assert_eq!(specs[2].kind, ServiceKind::Plain);
    assert!(!specs[2].is_once("/balance"));
    assert_eq!(specs[0].ttft_target.as_millis(), 1_500);
    assert!(!document.allows(&"souk".into(), &"logreader".into()));
}

/// Guards against settings that are accepted but have no effect.
#[test]
fn settings_reach_the_listener() {
    let text = SETTINGS.replace("body-limit = 4 MB", "body-limit = 2 MB\nwrite-stall = 7 s");
    let settings = Settings::parse("vm-1.ini", &text).unwrap();

    let options = settings.serve_options();

    assert_eq!(options.vm.as_str(), "recife-1");
    assert_eq!(options.listen.to_string(), "10.20.1.11:8080");
    assert_eq!(options.limits.body_bytes, 2_000_000);
    assert_eq!(options.limits.write_stall.as_secs(), 7);
    assert_eq!(options.stop_limit.as_secs(), 660);
}
