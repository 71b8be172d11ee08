//! Memory that is protected for more urgent requests, in virtual time.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use coord::share::{ClassFigures, ClassShares, Shares, Urgency};
use coord::time::Time;
use proptest::prelude::*;
use rstest::rstest;

const CAPACITY: u64 = 2_400_000;
const RESIDENCE: Duration = Duration::from_secs(4);
const TOKENS: u32 = 6_000;

fn urgency(priority: u8) -> Urgency {
    Urgency::new(None, priority)
}

fn held(figures: &[(u8, u64, u64)]) -> Shares {
    let figures = figures.iter().map(|(priority, rate, held)| {
        let figures = ClassFigures {
            rate: *rate,
            held: *held,
            waiting: 0,
        };
        (urgency(*priority), figures)
    });
    figures.collect()
}

/// Offers requests of three classes at `loads` times the capacity, spread over `vms`, and returns the part of each
/// class that is served. A request that finds no room is refused at once.
fn served(loads: [f64; 3], vms: usize) -> [f64; 3] {
    let fitting = 2_400_000.0 / f64::from(TOKENS) / RESIDENCE.as_secs_f64();
    let mut own = vec![ClassShares::default(); vms];
    let mut running: VecDeque<(Time, usize, usize)> = VecDeque::new();
    let (mut due, mut offered, mut placed) = ([0.0; 3], [0_u32; 3], [0_u32; 3]);
    let mut next = 0;
    for ms in 0..30_000 {
        let now = Time::from_millis(ms);
        while running.front().is_some_and(|(end, ..)| *end <= now) {
            let (_, vm, class) = running.pop_front().expect("one runs");
            own[vm].release(urgency(u8::try_from(class).unwrap()), TOKENS);
        }
        for class in 0..3 {
            due[class] += loads[class] * fitting / 1_000.0;
            if due[class] < 1.0 {
                continue;
            }
            due[class] -= 1.0;
            next += 1;
            let (vm, level) = (next % vms, urgency(u8::try_from(class).unwrap()));
            own[vm].record_arrival(now, level, TOKENS);
            let shares: Shares = own.iter().flat_map(|vm| vm.figures(now)).collect();
            let is_free = shares.held(urgency(0)) + u64::from(TOKENS) <= CAPACITY;
            let room = shares.room(level, CAPACITY, RESIDENCE);
            let is_placed = is_free && room.is_none_or(|room| room >= TOKENS.into());
            if is_placed {
                own[vm].hold(level, TOKENS);
                running.push_back((now + RESIDENCE, vm, class));
            }
            // The classes settle while the memory fills for the first time.
            if now > Time::from_millis(10_000) {
                offered[class] += 1;
                placed[class] += u32::from(is_placed);
            }
        }
    }
    [0, 1, 2].map(|class| f64::from(placed[class]) / f64::from(offered[class]))
}

/// Guards against limits that refuse requests although everything fits.
#[rstest]
fn nobody_is_limited_if_everything_fits(#[values(1, 8)] vms: usize) {
    let served = served([0.22, 0.28, 0.38], vms);

    assert!(served.iter().all(|served| *served >= 1.0), "{served:?}");
}

/// Guards against an overload in which less urgent requests are served more often than more urgent ones, and in which
/// the least urgent ones are not served at all. In proportion, a class would get its requests divided by the
/// overload; a quarter of that is its floor.
#[rstest]
fn in_an_overload_of_all_classes_the_more_urgent_are_served_more(
    #[values(1.3, 1.6, 2.0, 2.4)] overload: f64,
    #[values(1, 8)] vms: usize,
) {
    let served = served([0.24, 0.32, 0.44].map(|part| part * overload), vms);

    assert!(served[0] >= 0.98, "{served:?}");
    assert!(served.is_sorted_by(|a, b| a >= b), "{served:?}");
    assert!(served[2] >= 0.9 * 0.25 / overload, "{served:?}");
}

/// Guards against a burst of one class that takes the memory of more urgent ones, or all of that of less urgent ones.
#[rstest]
fn a_burst_of_one_class_leaves_more_urgent_ones_alone(
    #[values(0, 1, 2)] class: usize,
    #[values(1.3, 1.6, 2.0, 2.4)] overload: f64,
) {
    let mut loads = [0.2, 0.25, 0.3];
    loads[class] += overload - loads.iter().sum::<f64>();

    let served = served(loads, 4);

    let more_urgent = &served[..class];
    assert!(more_urgent.iter().all(|part| *part >= 0.98), "{served:?}");
    assert!(served.is_sorted_by(|a, b| *a >= *b - 0.01), "{served:?}");
    assert!(served[2] >= 0.9 * 0.25 / overload, "{served:?}");
}

/// Guards against a class alone that is limited by what others once asked for.
#[test]
fn a_class_alone_may_use_everything() {
    let mut own = ClassShares::default();
    own.record_arrival(Time::ZERO, urgency(0), 1_000_000);
    own.hold(urgency(2), 1_000_000);

    let later = Time::from_millis(60_000);
    let shares: Shares = own.figures(later).into_iter().collect();

    assert_eq!(shares.room(urgency(2), CAPACITY, RESIDENCE), None);
    assert_eq!(own.figures(later).len(), 1);
}

/// Guards against priorities of routes that count before those of organisations.
#[test]
fn the_priority_of_the_organisation_counts_first() {
    let mut all = [
        Urgency::LEAST,
        Urgency::new(Some(2), 0),
        Urgency::new(None, 1),
        Urgency::new(Some(1), 0),
        Urgency::new(Some(0), 5),
    ];

    all.sort();

    let shown: Vec<String> = all.iter().map(ToString::to_string).collect();
    assert_eq!(shown, ["0.5", "1.0", "1.1", "2.0", "255.255"]);
}

/// Guards against sums that keep the requests of VMs that are not heard out of account.
#[test]
fn sums_are_scaled_to_the_whole_fleet() {
    let shares = held(&[(0, 100, 0), (1, 0, 700)]).scaled(2.5);

    assert_eq!(shares.held(urgency(1)), 1_750);
    let protected = shares.protected(urgency(1), 10_000, RESIDENCE);
    assert_eq!(protected, 1_100);
}

/// Guards against memory for classes that no longer send requests, in messages to other VMs.
#[test]
fn idle_classes_are_not_reported() {
    let mut own = ClassShares::default();
    own.set_waiting(&BTreeMap::from([(urgency(1), 70)]));
    own.hold(urgency(0), 10);
    own.release(urgency(0), 10);

    let before = own.figures(Time::ZERO);
    own.set_waiting(&BTreeMap::new());

    assert_eq!(before.len(), 1);
    assert_eq!(before[0].1.waiting, 70);
    assert_eq!(own.figures(Time::ZERO), Vec::new());
}

fn figures() -> impl Strategy<Value = Vec<(u8, u64, u64)>> {
    let tokens = || prop_oneof![0..10_000_000_u64, Just(u64::MAX), any::<u64>()];
    prop::collection::vec((0..5_u8, tokens(), tokens()), 0..20)
}

proptest! {
    /// Guards against absurd figures of other VMs that end the process, limit the most urgent class, or leave the
    /// others nothing.
    #[test]
    fn absurd_figures_do_no_harm(stated in figures(), own in 1..CAPACITY) {
        let residence = RESIDENCE.as_secs();
        let mut stated = stated;
        stated.push((4, own / residence + 1, 0));
        let shares = held(&stated);
        let first = stated.iter().map(|(priority, ..)| *priority).min().unwrap();

        prop_assert_eq!(shares.room(urgency(first), CAPACITY, RESIDENCE), None);
        let protected = |priority| shares.protected(urgency(priority), CAPACITY, RESIDENCE);
        prop_assert!((0..4).all(|priority| protected(priority) <= protected(priority + 1)));
        // At most four other classes ask for all that there is.
        let floor = CAPACITY / 4 * own / (own + 4 * CAPACITY);
        prop_assert!(CAPACITY - protected(4) >= floor.saturating_sub(1));
    }

    /// Guards against a class that is limited below what it asks for although everything fits with the margin.
    #[test]
    fn what_fits_is_not_limited(rates in prop::collection::vec(1..40_000_u64, 5)) {
        let asked = |from: usize| rates[from..].iter().sum::<u64>() * RESIDENCE.as_secs();
        prop_assume!(asked(0) * 11 / 10 < CAPACITY);
        let figures: Vec<_> = (0..).zip(&rates).map(|(priority, rate)| (priority, *rate, 0)).collect();
        let shares = held(&figures);

        for (from, priority) in (0..5).zip(0..5) {
            let part = shares.part(urgency(priority), CAPACITY, RESIDENCE);
            prop_assert!(part.is_none_or(|part| part + 1 >= asked(from)));
        }
    }
}
