//! Retry budget and backoff.

use std::time::Duration;

use coord::retry::{Backoff, Budget, BudgetOptions};
use coord::time::Time;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

fn without_min_rate() -> BudgetOptions {
    BudgetOptions {
        min_rate: 0.0,
        ..BudgetOptions::default()
    }
}

fn spend_all(budget: &mut Budget, now: Time) -> u32 {
    let mut paid = 0;
    while paid < 10_000 && budget.try_spend(now) {
        paid += 1;
    }
    paid
}

/// Guards against more retries than 10 % of the successes.
#[test]
fn successes_pay_for_a_tenth_of_their_number() {
    let mut budget = Budget::new(without_min_rate(), Time::ZERO);
    for _ in 0..1_005 {
        budget.record_success(Time::ZERO);
    }

    assert_eq!(spend_all(&mut budget, Time::ZERO), 100);
}

/// Guards against credit that accumulates over hours and then allows a burst of retries.
#[test]
fn old_credit_decays() {
    let mut budget = Budget::new(without_min_rate(), Time::ZERO);
    for _ in 0..1_000 {
        budget.record_success(Time::ZERO);
    }

    let later = Time::from_millis(120_000);

    assert!(spend_all(&mut budget, later) <= 2);
}

/// Guards against a service with little traffic that can never retry, and against credit of the
/// minimum rate that accumulates without limit.
#[test]
fn the_minimum_rate_allows_few_retries_without_successes() {
    let mut budget = Budget::new(BudgetOptions::default(), Time::ZERO);

    let first = spend_all(&mut budget, Time::from_millis(1));
    let after_an_hour = spend_all(&mut budget, Time::from_millis(3_600_000));

    assert_eq!(first, 1);
    assert!((1..=15).contains(&after_an_hour), "{after_an_hour}");
}

/// Guards against synchronised retries, and against delays that grow without limit.
#[test]
fn delays_double_with_jitter_up_to_the_limit() {
    let backoff = Backoff::default();
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let mut seen = Vec::new();

    for retry in [0, 1, 2, 40] {
        let nominal = (backoff.initial * (1 << retry.min(16))).min(backoff.max);
        for _ in 0..100 {
            let delay = backoff.delay(retry, &mut rng);
            assert!(
                delay >= nominal / 2 && delay <= nominal,
                "{retry}: {delay:?}"
            );
            seen.push(delay);
        }
    }

    seen.sort_unstable();
    seen.dedup();
    assert!(seen.len() > 300, "{} distinct delays", seen.len());
    assert!(seen.last().is_some_and(|p| *p <= Duration::from_secs(2)));
}
