use rstest::rstest;

use super::*;

/// Guards against log lines of libraries for each call between VMs, and against dropped lines of
/// the router itself.
#[rstest]
#[case::own("cumindoor::serve", Level::Info, FilterResult::Neutral)]
#[case::call("tarpc::server", Level::Info, FilterResult::Reject)]
#[case::span("tracing::span::active", Level::Trace, FilterResult::Reject)]
#[case::library_error("hyper", Level::Error, FilterResult::Neutral)]
fn only_own_lines_and_errors_are_written(
    #[case] target: &str,
    #[case] level: Level,
    #[case] expected: FilterResult,
) {
    let criteria = FilterCriteria::builder()
        .target(target)
        .level(level)
        .build();

    let result = OwnTargets.enabled(&criteria, &[]);

    assert_eq!(result, expected);
}
