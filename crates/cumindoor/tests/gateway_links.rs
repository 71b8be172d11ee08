//! Links to upstreams that are lost and return, and the choice of a gateway that forwards, in virtual time.

use std::net::SocketAddr;
use std::time::Duration;

use coord::name::Service;
use coord::time::Time;
use cumindoor::gateway::admission::load_table::service_key;
use cumindoor::gateway::engines::links::{Finding, Links};
use cumindoor::gateway::fleet::forward::Helpers;
use rstest::rstest;

fn at(ms: u64) -> Time {
    Time::ZERO + Duration::from_millis(ms)
}

fn service() -> Service {
    Service::from("model")
}

/// Returns links that were lost at `ms`.
fn lost_at(mut links: Links, ms: u64) -> Links {
    assert!(links.begin_check(at(ms), &service()));
    links.end_check(at(ms), &service(), Finding::Lost);
    links
}

/// Returns how many answers in a row bring the links back.
fn answers_to_return(links: &mut Links, ms: u64) -> u32 {
    (1..100)
        .find(|_| links.record_probe(at(ms), &service(), true).is_some())
        .unwrap()
}

fn helper(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], number))
}

/// Guards against links that are lost and used again several times a second.
#[test]
fn each_relapse_doubles_the_answers_to_a_return() {
    let mut links = Links::default();

    let mut answers = Vec::new();
    for round in 0..6 {
        links = lost_at(links, 1_000 * (round + 1));
        answers.push(answers_to_return(&mut links, 1_000 * (round + 1) + 500));
    }
    links = lost_at(links, 60_000);

    assert_eq!(answers, [2, 4, 8, 16, 16, 16]);
    assert_eq!(answers_to_return(&mut links, 61_000), 2);
}

/// Guards against a return after answers with losses in between.
#[test]
fn an_answer_that_is_missing_begins_the_count_anew() {
    let mut links = lost_at(Links::default(), 0);

    let returned = [true, false, true, true].map(|answered| {
        let returned = links.record_probe(at(500), &service(), answered);
        returned.is_some()
    });

    assert_eq!(returned, [false, false, false, true]);
    assert!(!links.is_lost(&service()));
}

/// Guards against links that count as lost, or are kept from others, when no gateway reaches the upstreams.
#[rstest]
#[case::reached(Finding::Reached, false, false)]
#[case::down(Finding::Down, false, true)]
#[case::lost(Finding::Lost, true, true)]
fn only_upstreams_that_others_reach_are_lost(
    #[case] finding: Finding,
    #[case] lost: bool,
    #[case] told: bool,
) {
    let mut links = Links::default();

    links.begin_check(at(0), &service());
    links.end_check(at(1), &service(), finding);

    assert_eq!(links.is_lost(&service()), lost);
    let expected: &[u64] = if told {
        &[service_key(&service())]
    } else {
        &[]
    };
    assert_eq!(links.unreachable(), expected);
}

/// Guards against a service that stays unreachable for others after its upstreams are back.
#[test]
fn an_answer_ends_what_is_told_of_upstreams_that_were_down() {
    let mut links = Links::default();
    links.begin_check(at(0), &service());
    links.end_check(at(1), &service(), Finding::Down);

    links.record_heard(at(2), &service());

    assert!(links.unreachable().is_empty());
}

/// Guards against a check for each of the requests that one crash breaks off.
#[test]
fn checks_do_not_follow_each_other_at_once() {
    let mut links = Links::default();
    links.begin_check(at(0), &service());

    assert!(!links.begin_check(at(1), &service()));
    links.end_check(at(2), &service(), Finding::Reached);
    assert!(!links.begin_check(at(100), &service()));
    assert!(links.begin_check(at(202), &service()));
}

/// Guards against the word of a gateway that heard from upstreams only before its own links came into doubt.
#[test]
fn an_answer_before_a_doubt_does_not_count() {
    let mut links = Links::default();
    links.record_heard(at(0), &service());
    assert_eq!(links.known(at(50), &service()), Some(true));

    links.begin_check(at(50), &service());

    assert_eq!(links.known(at(51), &service()), None);
}

/// Guards against one gateway that gets all requests, and against ones that did not forward or may not know yet that
/// they have lost their links.
#[test]
fn requests_go_to_confirmed_gateways_that_forward() {
    let all = [helper(1), helper(2), helper(3)];
    let mut helpers = Helpers::default();
    let chosen = |helpers: &Helpers, ms| {
        let ties = [0.0, 0.4, 0.99];
        ties.map(|tie| helpers.choose(at(ms), &all, tie).map(|addr| addr.port()))
    };

    assert_eq!(chosen(&helpers, 0), [Some(1), Some(2), Some(3)]);
    helpers.confirm(at(0), helper(2), false);
    helpers.confirm(at(0), helper(3), false);
    assert_eq!(chosen(&helpers, 1), [Some(2), Some(2), Some(3)]);
    helpers.avoid(at(1), helper(2));
    assert_eq!(chosen(&helpers, 2), [Some(3); 3]);
    helpers.avoid(at(2), helper(3));
    assert_eq!(chosen(&helpers, 3), [Some(1); 3]);
    helpers.avoid(at(3), helper(1));
    assert_eq!(chosen(&helpers, 4), [None; 3]);
    assert_eq!(chosen(&helpers, 2_100), [Some(1), Some(2), Some(3)]);
}

/// Guards against bytes that cross data centres although a gateway of the own one has room.
#[test]
fn a_gateway_of_the_own_data_centre_goes_first() {
    let all = [helper(1), helper(2)];
    let mut helpers = Helpers::default();

    helpers.confirm(at(0), helper(1), true);
    helpers.confirm(at(0), helper(2), false);
    let chosen: Vec<_> = (0..4)
        .map(|_| {
            let chosen = helpers.choose(at(1), &all, 0.0).unwrap();
            helpers.begin(chosen);
            chosen.port()
        })
        .collect();

    assert_eq!(chosen, [2, 2, 1, 2]);
}
