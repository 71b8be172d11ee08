use super::*;

/// Guards against a trace that leaves out something that the figures depend on: each fault must
/// give the same figures from the trace as from the bench.
#[rstest::rstest]
fn a_replay_gives_the_figures_of_the_bench(
    #[values(
        "",
        "/upstream-dies",
        "/data-centre-dies",
        "/vm-dies",
        "/stale-reports",
        "/lost-events"
    )]
    fault: &str,
    #[values(Policy::Cumindoor, Policy::RoundRobin)] policy: Policy,
) {
    let name = format!("souk/110{fault}");
    let case = cases(&name).unwrap().swap_remove(0);
    let text = recording(case.clone(), 7, Some(30)).unwrap();
    let case = Case {
        seconds: 30,
        warm: 6,
        ..case
    };
    let bench = one_run(&case, policy, 7, &arrivals::draw(&case, 7));

    let trace = trace::parse("t", &text).unwrap();
    let replay = figures(&trace, policy, trace.seed);

    let json = |row: &Row| serde_json::to_string(row).unwrap();
    assert_eq!(json(&replay), json(&bench));
}

/// Guards against a recording of a closed loop, whose arrival times would all be zero.
#[test]
fn a_closed_loop_is_not_recorded() {
    let case = cases("paper-6/2/4").unwrap().swap_remove(0);

    assert!(
        recording(case, 1, None)
            .unwrap_err()
            .to_string()
            .contains("closed loop")
    );
}
