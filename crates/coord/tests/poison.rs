//! Limits on the number of upstreams that one poison request crashes.

use std::time::Duration;

use coord::poison::{PoisonOptions, Suspects, Verdict, fingerprint};
use coord::time::Time;
use proptest::prelude::*;

const BAD: u128 = 17;

fn suspects() -> Suspects {
    Suspects::new(PoisonOptions::default())
}

/// Sends the poison request once. Returns whether it crashed an upstream.
fn send(owner: &mut Suspects, now: Time) -> bool {
    let runs = matches!(owner.admit(now, BAD), Verdict::Run | Verdict::Isolate);
    if runs {
        owner.upstream_crashed(now, &[BAD]);
    }
    runs
}

fn sync(owners: &mut [Suspects; 2], from: usize, now: Time) {
    let records = owners[from].next_update(now);
    owners[1 - from].merge(now, &records);
}

proptest! {
    /// Guards against a poison request that its caller repeats for ever and that crashes more than
    /// 2 upstreams if the records reach the next owner of the cell before the retry, or more than
    /// 4 if they do not because the VMs are partitioned into two groups.
    #[test]
    fn at_most_two_upstreams_per_owner(
        steps in prop::collection::vec((0_usize..2, any::<bool>()), 0..60),
        connected: bool,
    ) {
        let mut owners = [suspects(), suspects()];
        let mut crashed = 0;

        for (at, (owner, healed)) in steps.into_iter().enumerate() {
            let now = Time::from_millis(at as u64 * 1_000);
            crashed += u32::from(send(&mut owners[owner], now));
            if connected || healed {
                sync(&mut owners, owner, now);
            }
        }

        prop_assert!(crashed <= if connected { 2 } else { 4 }, "{crashed} upstreams");
    }

    /// Guards against more than one additional crash for each owner that dies together with the
    /// upstream before it has sent its records.
    #[test]
    fn each_owner_that_dies_before_sending_its_records_costs_one_more(deaths in 0_u32..5, first in 0_u32..2) {
        let mut owner = suspects();
        let mut crashed = 0;

        for _ in 0..deaths {
            crashed += u32::from(send(&mut owner, Time::ZERO));
            owner = suspects();
        }
        for _ in 0..10 + first {
            crashed += u32::from(send(&mut owner, Time::ZERO));
        }

        prop_assert_eq!(crashed, deaths + 2);
    }
}

/// Guards against a harmless request that is refused because it ran on the same engine as a poison
/// request.
#[test]
fn a_harmless_request_is_cleared_by_an_isolated_run() {
    let mut owner = suspects();
    owner.upstream_crashed(Time::ZERO, &[BAD, 1, 1]);

    let first = owner.admit(Time::ZERO, 1);
    let other = owner.admit(Time::ZERO, BAD);
    owner.completed(1);
    let second = owner.admit(Time::ZERO, 1);

    assert_eq!(
        (first, other, second),
        (Verdict::Isolate, Verdict::Wait, Verdict::Run)
    );
}

/// Guards against a refusal that does not expire, or whose retry time is wrong.
#[test]
fn a_refusal_expires() {
    let mut owner = suspects();
    let early = Time::from_millis(60_000);
    owner.upstream_crashed(Time::ZERO, &[BAD]);
    owner.upstream_crashed(Time::ZERO, &[BAD]);

    let refused = owner.admit(early, BAD);
    let late = owner.admit(early + Duration::from_mins(9), BAD);

    let retry_after = Duration::from_mins(9);
    assert_eq!(refused, Verdict::Refuse { retry_after });
    assert_eq!(late, Verdict::Run);
}

/// Guards against messages and tables that grow without limit with the number of crashed requests.
#[test]
fn messages_and_memory_are_bounded() {
    let options = PoisonOptions {
        max_entries: 100,
        ..PoisonOptions::default()
    };
    let mut owner = Suspects::new(options);
    let many: Vec<u128> = (0..1_000).collect();

    owner.upstream_crashed(Time::ZERO, &many);

    assert_eq!(owner.len(), 100);
    assert!(owner.next_update(Time::ZERO).len() <= 64);
}

/// Guards against two requests with the same fingerprint because their names are concatenated
/// without a separator.
#[test]
fn fingerprints_separate_their_parts() {
    let of = |parts: [&str; 3]| fingerprint(&parts.map(str::as_bytes));

    assert_ne!(of(["ab", "c", "x"]), of(["a", "bc", "x"]));
    assert_ne!(of(["a", "bc", "x"]), of(["a", "b", "cx"]));
}
