//! Retry budgets and backoff.

use std::time::Duration;

use coord::retry::{Backoff, Budget, BudgetOptions};
use coord::time::Time;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

fn without_floor() -> BudgetOptions {
    BudgetOptions {
        floor: 0.0,
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

/// Guards against retries above 10 % of the successes.
#[test]
fn successes_pay_for_a_tenth_of_their_number() {
    let mut budget = Budget::new(without_floor(), Time::ZERO);
    for _ in 0..1_005 {
        budget.success(Time::ZERO);
    }

    assert_eq!(spend_all(&mut budget, Time::ZERO), 100);
}

/// Guards against credit of quiet hours that pays for a storm of retries.
#[test]
fn old_credit_decays() {
    let mut budget = Budget::new(without_floor(), Time::ZERO);
    for _ in 0..1_000 {
        budget.success(Time::ZERO);
    }

    let later = Time::from_millis(120_000);

    assert!(spend_all(&mut budget, later) <= 2);
}

/// Guards against a service with little traffic that can never retry, and against a floor that
/// piles up.
#[test]
fn the_floor_allows_few_retries_without_successes() {
    let mut budget = Budget::new(BudgetOptions::default(), Time::ZERO);

    let first = spend_all(&mut budget, Time::from_millis(1));
    let after_an_hour = spend_all(&mut budget, Time::from_millis(3_600_000));

    assert_eq!(first, 1);
    assert!((1..=15).contains(&after_an_hour), "{after_an_hour}");
}

/// Guards against retries in step with each other, and against pauses without an end.
#[test]
fn pauses_double_with_jitter_up_to_the_limit() {
    let backoff = Backoff::default();
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let mut seen = Vec::new();

    for retry in [0, 1, 2, 40] {
        let full = (backoff.first * (1 << retry.min(16))).min(backoff.limit);
        for _ in 0..100 {
            let pause = backoff.pause(retry, &mut rng);
            assert!(pause >= full / 2 && pause <= full, "{retry}: {pause:?}");
            seen.push(pause);
        }
    }

    seen.sort_unstable();
    seen.dedup();
    assert!(seen.len() > 300, "{} distinct pauses", seen.len());
    assert!(seen.last().is_some_and(|p| *p <= Duration::from_secs(2)));
}
