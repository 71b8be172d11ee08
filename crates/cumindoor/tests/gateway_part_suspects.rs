//! Requests with a part in their prompts that crashes each engine that begins to write an answer on it,
//! at gateways that exchange crash records and announce trials, in virtual time.

mod part_fleet;

use part_fleet::{Beside, Case, Ending, Outcome, Site, play};
use rstest::rstest;

/// Requests with a bad part that may reach engines later than 3 s after the fifth crash.
const ALLOWED_ARRIVALS: usize = 3;
/// Share of the sound requests with one first part that have to begin, compared to quiet times.
const REQUIRED_SHARE: f64 = 0.5;
const SEEDS: u64 = 4;

fn run(case: &Case) -> Vec<Outcome> {
    (0..SEEDS).map(|seed| play(case, seed)).collect()
}

/// Guards against engines that crash one after the other, and against sound requests that are refused
/// because they share a part or an engine with bad ones.
#[rstest]
#[case::three_gateways(Case { gateways: 3, ..Case::default() })]
#[case::eight(Case::default())]
#[case::sixty(Case { gateways: 60, ..Case::default() })]
#[case::lossy(Case { loss: 0.3, ..Case::default() })]
#[case::sixty_lossy_fast(Case { gateways: 60, loss: 0.3, bad_rate: 12, ..Case::default() })]
#[case::fast(Case { gateways: 20, bad_rate: 12, ..Case::default() })]
#[case::very_fast(Case { gateways: 20, bad_rate: 40, ..Case::default() })]
#[case::slow(Case { bad_rate: 1, ..Case::default() })]
#[case::first_part(Case { site: Site::First, ..Case::default() })]
#[case::first_part_fast(Case { site: Site::First, bad_rate: 12, ..Case::default() })]
#[case::last_shared_part(Case { site: Site::LastShared, ..Case::default() })]
#[case::any_route(Case { site: Site::AnyRoute, ..Case::default() })]
#[case::paired(Case { site: Site::Paired, ..Case::default() })]
#[case::paired_no_history(Case { site: Site::Paired, warm: false, bad_rate: 12, ..Case::default() })]
#[case::paired_lossy(Case { site: Site::Paired, warm: false, bad_rate: 12, gateways: 20, loss: 0.3, ..Case::default() })]
#[case::two_paired(Case { site: Site::Paired, bad_parts: 2, warm: false, bad_rate: 12, ..Case::default() })]
#[case::two_parts(Case { bad_parts: 2, bad_rate: 8, ..Case::default() })]
#[case::two_parts_no_history(Case { bad_parts: 2, bad_rate: 8, warm: false, ..Case::default() })]
#[case::two_parts_no_history_lossy(Case { bad_parts: 2, bad_rate: 12, warm: false, gateways: 20, loss: 0.3, ..Case::default() })]
#[case::two_first_parts(Case { bad_parts: 2, bad_rate: 8, site: Site::First, ..Case::default() })]
#[case::dark(Case { ending: Ending::Dark, ..Case::default() })]
#[case::dark_fast(Case { ending: Ending::Dark, bad_rate: 12, ..Case::default() })]
#[case::broken_off(Case { ending: Ending::BreaksOff, ..Case::default() })]
#[case::unstaged(Case { staged: false, bad_rate: 12, ..Case::default() })]
#[case::no_history(Case { warm: false, bad_rate: 12, ..Case::default() })]
#[case::no_history_dark(Case { warm: false, bad_rate: 12, gateways: 20, ending: Ending::Dark, ..Case::default() })]
#[case::no_history_very_fast(Case { warm: false, bad_rate: 40, sound_rate: 40, gateways: 60, loss: 0.3, ..Case::default() })]
#[case::no_history_first(Case { warm: false, bad_rate: 12, site: Site::First, ..Case::default() })]
#[case::dark_very_fast(Case { bad_rate: 40, gateways: 60, ending: Ending::Dark, staged: false, ..Case::default() })]
#[case::two_parts_dark(Case { bad_parts: 2, bad_rate: 12, gateways: 20, ending: Ending::Dark, ..Case::default() })]
#[case::other_crashes_fast(Case { beside: Beside::OtherCrashes, bad_rate: 12, warm: false, ..Case::default() })]
#[case::all_restarted_dark(Case { beside: Beside::AllRestart, gateways: 20, bad_rate: 12, ending: Ending::Dark, ..Case::default() })]
#[case::other_crashes(Case { beside: Beside::OtherCrashes, ..Case::default() })]
#[case::restarts(Case { beside: Beside::Restarts, ..Case::default() })]
#[case::all_restarted(Case { beside: Beside::AllRestart, ..Case::default() })]
#[case::all_restarted_fast(Case { beside: Beside::AllRestart, gateways: 20, bad_rate: 12, ..Case::default() })]
#[case::few_engines(Case { engines: 3, gateways: 3, sound_rate: 6, ..Case::default() })]
fn a_crashing_part_is_stopped_and_sound_requests_run(#[case] case: Case) {
    for (seed, outcome) in run(&case).iter().enumerate() {
        println!("seed {seed}: {outcome:?}");

        assert!(outcome.crashes >= 3, "seed {seed}: {outcome:?}");
        let late = outcome.late_arrivals.iter().copied().max().unwrap_or(0);
        assert!(late <= ALLOWED_ARRIVALS, "seed {seed}: {outcome:?}");
        let least = outcome.shares.iter().copied().fold(1.0, f64::min);
        assert_eq!(outcome.shares.len(), 3, "seed {seed}: {outcome:?}");
        assert!(least >= REQUIRED_SHARE, "seed {seed}: {outcome:?}");
    }
}

/// Guards against a simulation in which nothing would go wrong without the protection.
#[test]
fn without_protection_engines_go_on_crashing() {
    let case = Case {
        protected: false,
        gateways: 20,
        bad_rate: 12,
        ..Case::default()
    };
    for (seed, outcome) in run(&case).iter().enumerate() {
        println!("seed {seed}: {outcome:?}");

        let late = outcome.late_arrivals.iter().copied().max().unwrap_or(0);
        assert!(late > ALLOWED_ARRIVALS, "seed {seed}: {outcome:?}");
    }
}

/// Guards against crashes of another cause that lead to refusals of sound requests.
#[test]
fn crashes_without_a_culprit_refuse_no_part() {
    let case = Case {
        bad_rate: 0,
        beside: Beside::OtherCrashes,
        ..Case::default()
    };
    for (seed, outcome) in run(&case).iter().enumerate() {
        println!("seed {seed}: {outcome:?}");

        assert_eq!(outcome.sound_refusals, 0, "seed {seed}: {outcome:?}");
        assert_eq!(outcome.sound_timeouts, 0, "seed {seed}: {outcome:?}");
    }
}
