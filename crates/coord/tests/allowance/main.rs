//! Allowances of organisations that gateways keep together, in virtual time.

#![expect(clippy::cast_precision_loss, reason = "the numbers are small")]

mod fleet;

use std::time::Duration;

use coord::limit::{
    AllowanceRecord, AllowanceTable, AllowanceTerms, Division, OrganisationKey, Verdict,
};
use coord::time::Time;
use fleet::{Fleet, Load, REQUEST_UNITS, WINDOW_MS};
use proptest::prelude::*;
use rstest::rstest;

const LARGE: OrganisationKey = 1;
const SMALL: OrganisationKey = 2;

fn terms(rate: f64, burst: f64) -> AllowanceTerms {
    AllowanceTerms { rate, burst }
}

fn load(organisation: OrganisationKey, rate: f64) -> Load {
    Load {
        organisation,
        rate,
        at_first: 0.0,
    }
}

/// What happens to a fleet whose callers ask for five times an allowance.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Event {
    Calm,
    /// The demand rises from nothing when all gateways die.
    KillAll,
    KillAllTwice,
    Halves,
    /// Gateways that are nearly the majority are cut off from the others.
    Minority,
    Loss,
    Freeze,
    Join,
}

fn play(fleet: &mut Fleet, count: usize, event: Event, load: &[Load]) {
    fleet.run(3_000, load);
    match event {
        Event::Calm => {}
        Event::KillAll => fleet.restart(),
        Event::KillAllTwice => {
            fleet.restart();
            fleet.run(2_500, load);
            fleet.restart();
        }
        Event::Halves => fleet.cut_at = count / 2,
        Event::Minority => fleet.cut_at = count * 2 / 5,
        Event::Loss => fleet.loss = 0.1,
        Event::Freeze => fleet.freeze(0, 4_000),
        Event::Join => fleet.add(count * 3 / 4),
    }
    fleet.run(12_000, load);
    fleet.cut_at = 0;
    fleet.run(8_000, load);
}

/// Guards against a fleet that admits more than the bound of an allowance, whatever befalls its gateways.
#[rstest]
fn a_fleet_keeps_an_allowance(
    #[values(4, 8, 30, 100, 300)] count: usize,
    #[values(0.0, 0.7)] at_first: f64,
    #[values(
        Event::Calm,
        Event::KillAll,
        Event::KillAllTwice,
        Event::Halves,
        Event::Minority,
        Event::Loss,
        Event::Freeze,
        Event::Join
    )]
    event: Event,
) {
    for (rate, burst) in [
        (47_000.0, 47_000.0),
        (250_000.0, 0.0),
        (250_000.0, 500_000.0),
        (400_000.0, 400_000.0),
    ] {
        let allowance = (LARGE, terms(rate, burst));
        let mut fleet = Fleet::new(count, &[allowance], 7);
        let demand = Load {
            at_first,
            ..load(LARGE, 5.0 * rate)
        };

        play(&mut fleet, count, event, &[demand]);

        fleet.assert_kept(0, allowance);
    }
}

/// Guards against a lowered allowance of which gateways still admit the former one.
#[rstest]
fn a_lowered_allowance_is_kept_from_one_window_later(
    #[values(4, 30, 100)] count: usize,
    #[values(0.0, 0.7)] at_first: f64,
) {
    let before = (LARGE, terms(250_000.0, 500_000.0));
    let after = (LARGE, terms(50_000.0, 50_000.0));
    let mut fleet = Fleet::new(count, &[before], 7);
    let demand = Load {
        at_first,
        ..load(LARGE, 800_000.0)
    };
    fleet.run(6_000, &[demand]);

    fleet.set_terms(&[after]);
    let lowered = fleet.now;
    fleet.run(3 * WINDOW_MS, &[demand]);

    fleet.assert_kept(lowered + WINDOW_MS, after);
}

/// Guards against refusals to an organisation inside its allowance while another one asks for too much, and against an
/// allowance of which the gateways leave a large part unused.
#[rstest]
fn an_allowance_is_granted_in_calm(
    #[values(4, 8, 30, 100, 300)] count: usize,
    #[values(0.0, 0.7)] at_first: f64,
    #[values(47_000.0, 250_000.0)] rate: f64,
) {
    let allowances = [
        (LARGE, terms(rate, rate)),
        (SMALL, terms(47_000.0, 47_000.0)),
    ];
    let mut fleet = Fleet::new(count, &allowances, 7);
    let [over, inside] = [load(LARGE, 4.0 * rate), load(SMALL, 0.8 * 47_000.0)];
    let over = Load { at_first, ..over };
    fleet.run(5_000, &[over, inside]);

    let since = fleet.now;
    fleet.run(40_000, &[over, inside]);

    let admitted = |key| Fleet::units(&fleet.admitted, since, key);
    let granted = admitted(LARGE) / (rate * 40.0);
    let served = admitted(SMALL) / Fleet::units(&fleet.asked, since, SMALL);
    println!("{granted:.3} of the allowance, {served:.3} of the other's requests");
    assert!(granted >= 0.85, "{granted:.3} of the allowance");
    assert!(served >= 0.95, "{served:.3} of the other's requests");
}

fn table(rate: f64, burst: f64) -> AllowanceTable<&'static str> {
    let mut table = AllowanceTable::default();
    table.set(Time::ZERO, [(LARGE, terms(rate, burst))]);
    table
}

/// Guards against an organisation whose few requests are each larger than its rate and that is never served.
#[test]
fn few_large_requests_are_admitted_at_the_rate() {
    let mut table = table(1_000.0, 0.0);

    let admitted = (0..100).filter(|number| {
        for half in 0..10 {
            table.next_records(Time::from_millis(5_000 * number + 500 * half));
        }
        let now = Time::from_millis(5_000 * number + 5_000);
        table.ask(now, LARGE, REQUEST_UNITS, 0.5) == Verdict::Admit
    });

    assert!(admitted.count() >= 95);
}

/// Guards against callers who are refused together and return together, and against times that are useless.
#[test]
fn refused_callers_are_told_different_times() {
    let mut table = table(47_000.0, 0.0);
    let now = Time::from_millis(500);
    for _ in 0..30 {
        table.ask(now, LARGE, REQUEST_UNITS, 0.0);
    }

    let times = [0.1, 0.4, 0.7, 0.99].map(|random| table.ask(now, LARGE, 0, random));

    let times = times.map(|verdict| match verdict {
        Verdict::Refuse(time) => time,
        Verdict::Admit => panic!("a request is admitted"),
    });
    assert!(times.is_sorted() && times[0] * 2 < times[3], "{times:?}");
    assert!(times[3] <= Duration::from_secs(8), "{times:?}");
}

/// Guards against units that stay used although their request reached no upstream, here and at other gateways.
#[test]
fn units_that_are_given_back_can_be_used_again() {
    let mut table = table(1_000.0, 100_000.0);
    let at = |second: u64| Time::from_millis(1_000 * second);
    (1..60).for_each(|second| drop(table.next_records(at(second))));
    table.ask(at(60), LARGE, REQUEST_UNITS, 0.0);
    let reported = table.next_records(at(60))[0].admitted;

    table.give_back(at(60), LARGE, REQUEST_UNITS);
    let level = table.level(LARGE).expect("an allowance");
    table.ask(at(60), LARGE, 2 * REQUEST_UNITS, 0.0);

    assert_eq!(reported, REQUEST_UNITS);
    assert!((level - 60_000.0).abs() < 1.0, "{level}");
    assert_eq!(table.next_records(at(60))[0].admitted, 2 * REQUEST_UNITS);
}

/// Guards against refusals to organisations without an allowance, and to all once one has none any longer.
#[test]
fn an_organisation_without_an_allowance_is_not_limited() {
    let mut table = table(1.0, 1.0);
    let ask = |table: &mut AllowanceTable<_>, key| table.ask(Time::ZERO, key, u64::MAX, 0.999);

    let other = ask(&mut table, SMALL);
    table.ask(Time::ZERO, LARGE, u64::MAX, 0.0);
    let limited = ask(&mut table, LARGE);
    table.set(Time::ZERO, [(LARGE, terms(f64::NAN, 1.0))]);
    let unlimited = ask(&mut table, LARGE);

    assert_eq!((other, unlimited), (Verdict::Admit, Verdict::Admit));
    assert!(matches!(limited, Verdict::Refuse(_)));
}

/// Guards against an operator who is not told, or told again and again, that an organisation is limited.
#[test]
fn the_begin_and_the_end_of_a_limit_are_told_once() {
    let mut table = table(1_000.0, 0.0);
    let at = |ms| Time::from_millis(ms);
    table.ask(at(0), LARGE, 100_000, 0.0);
    table.ask(at(10), LARGE, 1, 0.5);

    let told = [20, 500, 2_500, 3_500, 4_000].map(|ms| table.expire(at(ms)));

    assert_eq!(told[0], [(LARGE, true)]);
    assert!(told[1].is_empty() && told[2].is_empty() && told[4].is_empty());
    assert_eq!(told[3], [(LARGE, false)]);
}

/// Guards against reports that do not fit into a datagram, and against organisations that are never in one.
#[test]
fn many_organisations_are_reported_in_turn() {
    let mut table = AllowanceTable::<u8>::default();
    table.set(Time::ZERO, (0..2_000).map(|key| (key, terms(1_000.0, 0.0))));
    let mut reported = std::collections::BTreeSet::new();
    for key in 0..2_000 {
        table.ask(Time::ZERO, key, 1_000, 0.0);
    }

    for beat in 0..5 {
        let records = table.next_records(Time::from_millis(500 * beat));
        let most = AllowanceRecord {
            organisation: u64::MAX,
            asked: u64::MAX,
            admitted: u64::MAX,
            recent: (u32::MAX, u32::MAX),
        };
        let size = rmp_serde::to_vec(&most).expect("a record").len();
        assert!(size * records.len() < 16_000, "{size} bytes");
        reported.extend(records.iter().map(|record| record.organisation));
    }

    assert_eq!(reported.len(), 1_000);
}

fn odd_number() -> impl Strategy<Value = u64> {
    prop_oneof![Just(0), Just(u64::MAX), 0..100_000_u64, any::<u64>()]
}

proptest! {
    /// Guards against reports that make a replica useless: after 30 s, an organisation inside its allowance is served.
    #[test]
    fn odd_reports_do_no_lasting_harm(
        reports in prop::collection::vec(
            (0..3_u64, 0..5_u64, odd_number(), odd_number(), any::<(u32, u32)>()),
            1..20,
        ),
        share in 0.01..1.0_f64,
    ) {
        let mut table = table(47_000.0, 47_000.0);
        let mut beat = 0;
        let mut now = Time::ZERO;
        for (start, sequence, asked, admitted, recent) in reports {
            let record = AllowanceRecord { organisation: LARGE, asked, admitted, recent };
            table.apply(now, (&"peer", (start, sequence)), vec![record]);
            table.ask(now, LARGE, asked, 0.5);
            table.give_back(now, LARGE, admitted);
            table.set_division(now, Division { gateways: 3, share });
            let level = table.level(LARGE).expect("an allowance");
            prop_assert!((-376_000.0..=47_000.0).contains(&level), "{}", level);
        }
        table.set_division(now, Division { gateways: 3, share: 1.0 });

        while now < Time::from_millis(30_000) {
            beat += 1;
            now = Time::from_millis(500 * beat);
            table.next_records(now);
        }

        prop_assert_eq!(table.ask(now, LARGE, REQUEST_UNITS, 0.999), Verdict::Admit);
    }
}
