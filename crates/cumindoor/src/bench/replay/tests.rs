use super::*;

/// Guards against a trace that lacks information that the results depend on: the replay of each
/// fault must give the same results as the benchmark.
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
    let case = matching_cases(&name).unwrap().swap_remove(0);
    let text = record_case(case.clone(), 7, Some(30)).unwrap();
    let case = Case {
        seconds: 30,
        warm_seconds: 6,
        ..case
    };
    let bench = run_policy(&case, policy, 7, &arrivals::generate(&case, 7));

    let trace = trace::parse("t", &text).unwrap();
    let replay = run_trace(&trace, policy, trace.seed);

    let json = |row: &Row| serde_json::to_string(row).unwrap();
    assert_eq!(json(&replay), json(&bench));
}

/// Guards against a recording of a closed loop, whose arrival times would all be zero.
#[test]
fn a_closed_loop_is_not_recorded() {
    let case = matching_cases("paper-6/2/4").unwrap().swap_remove(0);

    assert!(
        record_case(case, 1, None)
            .unwrap_err()
            .to_string()
            .contains("closed loop")
    );
}

/// Guards against overflows in the simulation with extreme values that the parser accepts.
#[rstest::rstest]
#[case::slow(&[("\"step_us\":4000", "\"step_us\":60000000"), ("\"step_factor\":1.", "\"step_factor\":99."),
    ("\"output_tokens\":", "\"output_tokens\":100")])]
#[case::long_prompts(&[("\"prompt_tokens\":", "\"prompt_tokens\":10"), ("\"prefill_factor\":1.", "\"prefill_factor\":99."),
    ("\"prefill_rate\":20000", "\"prefill_rate\":1"), ("_rate\":8000000000", "_rate\":1000000"),
    ("8000000000.0", "1000000.0")])]
#[case::no_decode(&[("[\"Decode\",3]", "[\"Prefill\",3]")])]
#[case::tiny_blocks(&[("\"block_tokens\":1000", "\"block_tokens\":1"), ("\"cache_blocks\":400", "\"cache_blocks\":0")])]
fn extreme_values_do_not_panic(#[case] changes: &[(&str, &str)]) {
    let case = matching_cases("celeste/110/vm-dies")
        .unwrap()
        .swap_remove(0);
    let mut text = record_case(case, 3, Some(6)).unwrap();
    for (old, new) in changes {
        assert!(text.contains(old), "{old}");
        text = text.replace(old, new);
    }

    let trace = trace::parse("t", &text).unwrap();
    let row = run_trace(&trace, Policy::Cumindoor, 3);

    assert!(row.answered + row.refused.values().sum::<u64>() + row.lost > 0);
}
