//! Classes of urgency at a gateway, without a network and in virtual time.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use border::{CallerLimits, OrganisationDef, Route, RouteKind, Routing};
use coord::hash::hash64;
use coord::name::Service;
use coord::ring::Ring;
use coord::share::{ClassFigures, Urgency};
use coord::time::Time;
use cumindoor::gateway::admission::classes::Urgencies;
use cumindoor::gateway::admission::load_table::{
    ClassReport, Digest, Load, LoadTable, Neighbourhood, Rank, Waiting, service_key,
};
use cumindoor::gateway::admission::placement::Demand;
use cumindoor::gateway::admission::queue::{Queue, Ticket};
use rstest::rstest;

fn ms(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn peer(number: u8) -> SocketAddr {
    ([10, 0, 0, number], 7000).into()
}

fn urgency(priority: u8) -> Urgency {
    Urgency::new(None, priority)
}

fn service() -> Service {
    Service::from("s")
}

fn route(priority: u8, allows_anonymous: bool) -> Arc<Route> {
    Arc::new(Route {
        name: "r".into(),
        host: "h".into(),
        prefix: "/".into(),
        kind: RouteKind::Idempotent,
        timeout: Duration::from_secs(9),
        target_latency: Duration::from_secs(1),
        max_gap: None,
        priority,
        targets: vec![(service(), 1)],
        max_attempts: 2,
        allows_anonymous,
    })
}

fn urgencies(routes: &[Arc<Route>], organisations: Option<&[Option<u8>]>) -> Urgencies {
    let organisation = |priority: &Option<u8>| {
        Arc::new(OrganisationDef {
            name: "o".into(),
            keys: Vec::new(),
            priority: *priority,
            allowance: None,
        })
    };
    Urgencies::new(&Routing {
        version: 1,
        routes: routes.to_vec(),
        services: BTreeMap::new(),
        limits: CallerLimits {
            head_bytes: 1,
            body_bytes: 1,
            head_timeout: Duration::ZERO,
            idle_timeout: Duration::ZERO,
        },
        organisations: organisations.map(|all| all.iter().map(organisation).collect()),
    })
}

/// Guards against services whose requests all have one urgency and are treated as if they had several, and against
/// several that are not noticed.
#[rstest]
#[case::one_route(&[route(2, false)], None, false)]
#[case::equal_routes(&[route(2, false), route(2, false)], None, false)]
#[case::two_priorities(&[route(0, false), route(2, false)], None, true)]
#[case::organisations_without_priorities(&[route(2, false)], Some(&[None, None][..]), false)]
#[case::organisations_with_one(&[route(2, false)], Some(&[Some(1), Some(1)][..]), false)]
#[case::one_organisation_with_another(&[route(2, false)], Some(&[Some(1), None][..]), true)]
#[case::callers_without_a_key(&[route(2, true)], Some(&[Some(1)][..]), true)]
fn a_service_has_classes_if_its_requests_differ(
    #[case] routes: &[Arc<Route>],
    #[case] organisations: Option<&[Option<u8>]>,
    #[case] several: bool,
) {
    let found = urgencies(routes, organisations);

    assert_eq!(found.has_several(&service()), several);
    assert_eq!(found.level(&service(), urgency(2)).is_some(), several);
}

/// Guards against priorities at upstreams that are not in the order of urgency, or above the highest one.
#[test]
fn upstreams_are_told_the_order_of_urgencies() {
    let routes: Vec<_> = (0..12).map(|number| route(3 * number, false)).collect();
    let found = urgencies(&routes, None);

    let levels: Vec<_> = (0..12)
        .map(|number| found.level(&service(), urgency(3 * number)).unwrap())
        .collect();

    assert_eq!(levels, [0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 9, 9]);
}

fn ticket(arrived: u64, urgency: Urgency) -> Ticket {
    let demand = Demand {
        prompt_tokens: 100,
        kv_tokens: 100,
    };
    let times = (Duration::from_millis(900), Duration::ZERO);
    Ticket::new(ms(arrived), times, demand).with_urgency(urgency)
}

/// Guards against less urgent requests that take the room for which a more urgent one waits here, and against small
/// prompts that wait behind a large one of their own urgency.
#[test]
fn only_requests_of_equal_urgency_pass_the_first() {
    let mut queue = Queue::default();
    let first = queue.enter(ticket(0, urgency(0)));
    let equal = queue.enter(ticket(10, urgency(0)));
    let less = queue.enter(ticket(5, urgency(1)));

    let may = [first, equal, less].map(|number| queue.may_proceed(ms(20), number));

    assert_eq!(may, [true, true, false]);
}

/// Guards against a class over its part that keeps room from those that may take it.
#[test]
fn a_class_without_room_holds_up_no_other() {
    let mut queue = Queue::default();
    let limited = queue.enter(ticket(0, urgency(1)));
    let less = queue.enter(ticket(5, urgency(2)));
    let has_room = |class| class != urgency(1);

    let may = [limited, less].map(|number| queue.may_proceed_among(ms(800), number, has_room));

    assert_eq!(may, [false, true]);
    assert_eq!(queue.first_urgency(ms(800)), Some(urgency(1)));
}

fn figures(held: u64) -> ClassFigures {
    ClassFigures {
        rate: 7,
        held,
        waiting: 0,
    }
}

fn waiting(waited_ms: u32) -> Waiting {
    Waiting {
        requests: 1,
        kv_tokens: 1,
        late: false,
        waited_ms,
    }
}

fn digest(first: Option<Urgency>, waited_ms: u32, held: u64) -> Digest {
    let report = ClassReport {
        first,
        figures: vec![(urgency(1), figures(held))],
    };
    let load = Load {
        requests: 1,
        unprefilled_tokens: 0,
        kv_tokens: 500,
    };
    Digest {
        start: 1,
        sequence: 1,
        loads: vec![(1, load)],
        waiting: vec![(service_key(&service()), waiting(waited_ms))],
        classes: vec![(service_key(&service()), report)],
        ..Digest::default()
    }
}

/// Guards against an order between gateways that ignores urgency: the most urgent requests are then served worst,
/// because they wait for the shortest time. A gateway of an older build reports none and comes last.
#[rstest]
#[case::more_urgent(Some(urgency(0)), 1, 1)]
#[case::equal_and_older(Some(urgency(1)), 300, 1)]
#[case::equal_and_younger(Some(urgency(1)), 100, 0)]
#[case::less_urgent_and_older(Some(urgency(2)), 900, 0)]
#[case::not_reported(None, 900, 0)]
#[case::without_room(Some(Urgency::new(Some(0), 9)), 900, 0)]
fn urgency_counts_before_the_wait_at_other_gateways(
    #[case] first: Option<Urgency>,
    #[case] waited_ms: u32,
    #[case] ahead: u32,
) {
    let mut loads = LoadTable::default();
    loads.apply_digest(ms(1_000), peer(2), digest(first, waited_ms, 0));
    let rank = Rank {
        urgency: urgency(1),
        late: false,
        waited: Reverse(Duration::from_millis(200)),
    };
    let is_limited = |class| class == Urgency::new(Some(0), 9);

    let counted = loads.gateways_ahead_of(ms(1_000), service_key(&service()), rank, is_limited);

    assert_eq!(counted, ahead);
}

/// Guards against a gateway that claims more than it has placed, and against figures that outlive their gateway.
#[test]
fn figures_of_others_are_bounded_and_expire() {
    let mut loads = LoadTable::default();
    loads.apply_digest(ms(0), peer(2), digest(None, 1, u64::MAX));
    loads.apply_digest(ms(0), peer(3), digest(None, 1, 200));
    let held = |loads: &LoadTable| -> Vec<u64> {
        let all = loads.class_figures_at_peers(service_key(&service()));
        all.map(|(_, figures)| figures.held).collect()
    };

    let before = held(&loads);
    loads.expire(ms(60_000));

    assert_eq!(before, [500, 200]);
    assert!(held(&loads).is_empty());
}

/// Guards against a gateway that takes what a part of the fleet asks for as that of all.
#[test]
fn figures_are_scaled_to_the_fleet() {
    let mut alone = LoadTable::default();
    alone.apply_digest(ms(0), peer(2), digest(None, 1, 0));
    alone.apply_digest(ms(0), peer(3), digest(None, 1, 0));
    alone.record_fleet(ms(0), 0);
    let before = alone.unheard_factor(ms(1));
    alone.expire(ms(5_000));
    let cut_off = alone.unheard_factor(ms(5_000));

    let ring = Ring::new(0..147_u32, |member| hash64(&member.to_be_bytes()));
    let mut large = LoadTable::default();
    large.set_neighbourhood(Some(Neighbourhood {
        members: (1..147).map(peer).collect(),
        window: ring.window(&1, 48).expect("not all are neighbours"),
    }));

    let factors = [before, cut_off, large.unheard_factor(ms(1))];
    assert_eq!(factors.map(|factor| factor.to_string()), ["1", "3", "3"]);
}

/// Guards against gateways that cannot read digests of the build before, which end before the classes.
#[test]
fn digests_without_classes_can_be_read() {
    let told = Digest {
        classes: Vec::new(),
        ..digest(None, 1, 0)
    };
    let mut bytes = rmp_serde::to_vec(&told).unwrap();
    // The digest is an array, whose first byte holds its length and whose last element is empty.
    bytes[0] -= 1;
    bytes.pop();

    let read: Digest = rmp_serde::from_slice(&bytes).unwrap();

    assert_eq!(read, told);
}
