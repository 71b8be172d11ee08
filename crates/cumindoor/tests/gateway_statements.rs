//! What a gateway keeps of the statements of upstreams.

use std::time::Duration;

use coord::time::Time;
use cumindoor::gateway::engines::statements::{MAX_PAUSE, Statements};

/// Guards against a report that gateways pass on to each other for ever.
#[test]
fn only_the_gateway_that_was_told_reports_a_leaving_upstream() {
    let now = Time::from_millis(1_000);
    let (mut told, mut other) = (Statements::default(), Statements::default());
    assert!(told.record_leaving(now, 7));

    for key in told.leaving() {
        assert!(other.record_reported(now, key));
        assert!(!other.record_reported(now, key));
    }

    assert!(other.is_leaving(7));
    assert_eq!((told.leaving(), other.leaving()), (vec![7], Vec::new()));
}

/// Guards against an upstream that gets requests again because its entry lapsed for a moment, and
/// against statements that are kept for ever.
#[test]
fn a_statement_outlives_a_lapse_of_the_entry_and_not_the_upstream() {
    let now = Time::from_millis(1_000);
    let mut statements = Statements::default();
    statements.record_leaving(now, 7);

    statements.expire(now + Duration::from_secs(30), |_| false);
    assert!(statements.is_leaving(7));
    statements.expire(now + Duration::from_secs(40), |_| true);
    statements.expire(now + Duration::from_secs(80), |_| false);
    assert!(statements.is_leaving(7));
    statements.expire(now + Duration::from_secs(200), |_| false);

    assert!(!statements.is_leaving(7));
}

/// Guards against a faulty value that takes an upstream out of use for days, and a shorter one that ends a
/// longer one early.
#[test]
fn a_pause_is_bounded_and_the_longest_counts() {
    let now = Time::from_millis(1_000);
    let mut statements = Statements::default();
    statements.record_pause(now, 7, Duration::from_hours(72));
    statements.record_pause(now, 7, Duration::from_secs(1));

    assert_eq!(statements.pause_left(now, 7), Some(MAX_PAUSE));
    assert_eq!(statements.pause_left(now + MAX_PAUSE, 7), None);
}

/// Guards against memory that grows with what other gateways report.
#[test]
fn the_number_of_statements_is_bounded() {
    let now = Time::from_millis(1_000);
    let mut statements = Statements::default();

    let kept = (0..10_000).filter(|key| statements.record_reported(now, *key));

    assert_eq!(kept.count(), 4_096);
}
