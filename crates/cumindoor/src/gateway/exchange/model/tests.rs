use std::time::Duration;

use rstest::rstest;

use super::prefill_limit;

/// Guards against a slow engine that is given up while it works, although its slowness is known. The rate is that of an
/// engine of 55 tokens/ms with speed 0.6 on a busy machine, which work takes 2.5 times as long on, slowed down 3.5
/// times.
#[rstest]
#[case::one_prompt(5_000)]
#[case::queue(60_000)]
fn a_slow_engine_has_time_for_its_prompts(#[case] queued: u32) {
    let factor = 2.5 * 3.5 / 0.6;
    let needed = Duration::from_secs_f64(f64::from(queued) / 55_000.0 * factor);

    assert!(prefill_limit(queued, f64::min(factor, 10.0)) > needed);
}

/// Guards against limits that differ from the former ones where nothing is known, or that cut off a fast engine
/// that has just become slow.
#[rstest]
#[case::unknown(1.0)]
#[case::fast(0.3)]
fn a_limit_is_never_shorter_than_the_usual_one(#[case] factor: f64) {
    assert_eq!(prefill_limit(4_000, factor), Duration::from_secs(1));
}
