use super::*;

fn short(name: &str) -> Case {
    let case = matching_cases(name).unwrap().swap_remove(0);
    Case {
        seconds: 30,
        warm_seconds: 5,
        ..case
    }
}

/// Guards against results that are not reproducible from the seed.
#[test]
fn a_seed_gives_the_same_figures_twice() {
    let case = short("celeste/110/upstream-dies");
    let requests = arrivals::generate(&case, 7);

    let first = run_policy(&case, Policy::Cumindoor, 7, &requests);
    let second = run_policy(&case, Policy::Cumindoor, 7, &requests);

    let json = |row: &Row| serde_json::to_string(row).unwrap();
    assert_eq!(json(&first), json(&second));
}

/// Guards against a fault that changes the arrivals: results with and without the fault would not
/// be comparable.
#[test]
fn a_fault_does_not_change_the_arrivals() {
    let plain = arrivals::generate(&short("souk/90"), 3);
    let faulty = arrivals::generate(&short("souk/90/data-centre-dies"), 3);

    assert_eq!(format!("{plain:?}"), format!("{faulty:?}"));
}

/// Guards against a scheduler result above the bound, and against a goodput share of one half or
/// less because requests are lost when a data centre fails or a new owner takes over.
#[test]
fn no_policy_passes_the_bound_under_faults() {
    for name in ["celeste/90/data-centre-dies", "souk/110/vm-dies"] {
        let case = short(name);
        let requests = arrivals::generate(&case, 5);

        let bound = run_policy(&case, Policy::Bound, 5, &requests);
        let own = run_policy(&case, Policy::Cumindoor, 5, &requests);

        assert!(own.goodput_share <= bound.goodput_share, "{name}");
        assert!(own.goodput_share > 0.5, "{name}: {}", own.goodput_share);
    }
}

/// Guards against a mistyped case name that silently runs nothing.
#[test]
fn an_unknown_case_is_an_error() {
    let error = matching_cases("celeste/95").unwrap_err();

    assert!(error.to_string().contains("celeste/95"));
}
