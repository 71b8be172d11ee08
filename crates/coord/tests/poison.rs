//! How many upstreams one poison request takes down.

use std::time::Duration;

use coord::name::{Organisation, Service};
use coord::poison::{PoisonOptions, Suspects, Verdict, fingerprint};
use coord::time::Time;
use proptest::prelude::*;

const BAD: u128 = 17;

fn suspects() -> Suspects {
    Suspects::new(PoisonOptions::default())
}

/// The poison request is sent once; returns whether it took an upstream down.
fn send(owner: &mut Suspects, now: Time) -> bool {
    let runs = matches!(owner.admit(now, BAD), Verdict::Run | Verdict::Isolate);
    if runs {
        owner.upstream_died(now, &[BAD]);
    }
    runs
}

fn spread(owners: &mut [Suspects; 2], from: usize, now: Time) {
    let news = owners[from].news(now);
    owners[1 - from].receive(now, &news);
}

proptest! {
    /// Guards against a poison request that its caller repeats for ever and that takes down more
    /// than 2 upstreams when the news reach the next owner before the retry, whoever owns the
    /// cell, and more than 4 when they do not (a partition into two).
    #[test]
    fn at_most_two_upstreams_per_owner(
        steps in prop::collection::vec((0_usize..2, any::<bool>()), 0..60),
        connected: bool,
    ) {
        let mut owners = [suspects(), suspects()];
        let mut down = 0;

        for (at, (owner, healed)) in steps.into_iter().enumerate() {
            let now = Time::from_millis(at as u64 * 1_000);
            down += u32::from(send(&mut owners[owner], now));
            if connected || healed {
                spread(&mut owners, owner, now);
            }
        }

        prop_assert!(down <= if connected { 2 } else { 4 }, "{down} upstreams");
    }

    /// Guards against more than one additional upstream for each owner that dies together with
    /// the upstream, before its news left.
    #[test]
    fn each_owner_that_dies_untold_costs_one_more(deaths in 0_u32..5, first in 0_u32..2) {
        let mut owner = suspects();
        let mut down = 0;

        for _ in 0..deaths {
            down += u32::from(send(&mut owner, Time::ZERO));
            owner = suspects();
        }
        for _ in 0..10 + first {
            down += u32::from(send(&mut owner, Time::ZERO));
        }

        prop_assert_eq!(down, deaths + 2);
    }
}

/// Guards against an innocent request that is refused because it ran beside a poison request.
#[test]
fn an_innocent_neighbour_is_cleared_by_its_run_alone() {
    let mut owner = suspects();
    owner.upstream_died(Time::ZERO, &[BAD, 1, 1]);

    let first = owner.admit(Time::ZERO, 1);
    let other = owner.admit(Time::ZERO, BAD);
    owner.done(1);
    let second = owner.admit(Time::ZERO, 1);

    assert_eq!(
        (first, other, second),
        (Verdict::Isolate, Verdict::Wait, Verdict::Run)
    );
}

/// Guards against a refusal that never ends, or that tells a wrong time.
#[test]
fn a_refusal_expires() {
    let mut owner = suspects();
    let early = Time::from_millis(60_000);
    owner.upstream_died(Time::ZERO, &[BAD]);
    owner.upstream_died(Time::ZERO, &[BAD]);

    let refused = owner.admit(early, BAD);
    let late = owner.admit(early + Duration::from_mins(9), BAD);

    let retry_after = Duration::from_mins(9);
    assert_eq!(refused, Verdict::Refuse { retry_after });
    assert_eq!(late, Verdict::Run);
}

/// Guards against messages and tables that grow with the number of charged requests.
#[test]
fn messages_and_memory_are_bounded() {
    let options = PoisonOptions {
        limit: 100,
        ..PoisonOptions::default()
    };
    let mut owner = Suspects::new(options);
    let many: Vec<u128> = (0..1_000).collect();

    owner.upstream_died(Time::ZERO, &many);

    assert_eq!(owner.len(), 100);
    assert!(owner.news(Time::ZERO).len() <= 64);
}

/// Guards against two requests that share a fingerprint because their parts run together.
#[test]
fn fingerprints_separate_their_parts() {
    let of = |o: &str, s: &str| fingerprint(&Organisation::from(o), &Service::from(s), b"x");

    assert_ne!(of("ab", "c"), of("a", "bc"));
}
