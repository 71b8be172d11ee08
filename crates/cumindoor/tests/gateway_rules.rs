//! Health, repeats, events and stages, as a gateway judges them, in virtual time.

use std::net::SocketAddr;
use std::time::Duration;

use border::Stage;
use coord::time::Time;
use cumindoor::gateway::balance::{Balance, Split, Usage};
use cumindoor::gateway::board::Digest;
use cumindoor::gateway::budget::{RepeatBound, Repeats};
use cumindoor::gateway::events::Events;
use cumindoor::gateway::health::{Health, Outcome};
use cumindoor::gateway::roster::Roster;
use cumindoor::gateway::wakes::Wakes;
use rstest::rstest;
use tokio::time::Instant;

fn ms(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// Guards against an upstream that is left out for ever, and one that is not left out at all.
#[test]
fn a_failed_upstream_is_left_out_for_a_while() {
    let mut health = Health::default();
    health.note(ms(0), Outcome::Lost);
    assert!(!health.ejected(ms(1)));

    health.note(ms(1), Outcome::Lost);
    assert!(health.ejected(ms(2)));
    assert!(!health.ejected(ms(600)));

    health.note(ms(600), Outcome::Answered);
    assert!(health.failure_rate(ms(60_000)) < 0.01);
}

/// Guards against an engine that changes its stage and is asked again every few milliseconds.
#[test]
fn refusals_in_a_row_lengthen_the_pause() {
    let mut health = Health::default();
    health.note(ms(1_000), Outcome::Full);
    assert!(health.is_full(ms(1_050)));
    assert!(!health.is_full(ms(1_150)));

    for _ in 0..9 {
        health.note(ms(2_000), Outcome::Full);
    }
    assert!(health.is_full(ms(3_500)));
    assert!(!health.is_full(ms(3_700)));
    health.note(ms(4_000), Outcome::Answered);
    assert!(!health.is_full(ms(4_000)));
}

/// Guards against a fleet that exceeds the bound on repeats in some window, with requests that
/// arrive unevenly.
#[test]
fn a_fleet_keeps_the_bound_on_repeats() {
    let bound = RepeatBound {
        ratio: 0.2,
        slack: 56.0,
        window: Duration::from_secs(10),
    };
    let gateways = 8;
    let mut fleet: Vec<Repeats> = vec![Repeats::default(); gateways];
    let (mut requests, mut repeats) = (Vec::new(), Vec::new());
    for step in 0..600_u64 {
        let now = ms(step * 50);
        for (number, one) in fleet.iter_mut().enumerate() {
            if step % (number as u64 + 1) == 0 {
                one.request(now, &bound);
                requests.push(step);
            }
            while one.try_repeat(now, &bound, gateways) {
                repeats.push(step);
            }
        }
    }

    for start in 0..400 {
        let within = |steps: &[u64]| {
            steps
                .iter()
                .filter(|s| (start..start + 200).contains(*s))
                .count()
        };
        // A fifth of the requests, and 56 in addition.
        let allowed = within(&requests) + 5 * 56;
        assert!(5 * within(&repeats) <= allowed, "from {start}");
    }
    assert!(!repeats.is_empty());
}

/// Guards against events that are cut, doubled or lost at any split of the bytes.
#[test]
fn events_are_whole_at_any_split() {
    let numbered = |from: u64| {
        let events = (from..=4).map(|n| format!("id: {n}\ndata: t{n}\n\n"));
        events.collect::<Vec<_>>().concat()
    };
    let text = numbered(1);
    for first in 0..text.len() {
        let mut events = Events::after(None);
        let mut seen = events.push(&text.as_bytes()[..first]).unwrap().to_vec();
        // The first engine breaks off here; the next one sends again from the last event on.
        events.restart();
        let last = events.last().unwrap_or(0);
        let rest = numbered(last.max(1));
        seen.extend(events.push(rest.as_bytes()).unwrap());

        assert_eq!(seen, text.as_bytes(), "split at {first}");
        assert!(events.is_whole());
    }
}

/// Guards against an event without an end that fills the memory.
#[test]
fn an_endless_event_is_an_error() {
    let mut events = Events::after(None);
    let piece = vec![b'x'; 600 * 1024];

    assert!(events.push(&piece).is_some());
    assert!(events.push(&piece).is_none());
}

fn watch(balance: &mut Balance, usage: Usage, split: Split, seconds: u64) -> Option<(Stage, u32)> {
    (1..=seconds * 5).find_map(|step| balance.observe(ms(step * 200), usage, split))
}

/// Guards against decode memory that is full while prefill engines idle: celeste-recife quiet-1
/// used 1.3 of 4 prefill and 4.6 of 5 decode engines in bursts.
#[test]
fn idle_prefill_engines_move_to_decode() {
    let mut balance = Balance::new(Time::ZERO);
    let usage = Usage {
        prefill: 1.3,
        decode: 4.6,
    };
    let split = Split {
        prefill: 4,
        decode: 5,
    };

    let moved = watch(&mut balance, usage, split, 10);

    assert_eq!(moved, Some((Stage::Decode, 1)));
    let after = Split {
        prefill: 3,
        decode: 6,
    };
    assert_eq!(watch(&mut balance, usage, after, 60), None);
}

/// Guards against moves that gain nothing: at a low load, and with one engine of a stage left.
#[rstest]
#[case::idle(0.4, 1.0, 4, 5)]
#[case::last(0.2, 4.6, 1, 8)]
#[case::even(3.0, 4.0, 4, 5)]
fn engines_stay_where_a_move_gains_little(
    #[case] prefill: f64,
    #[case] decode: f64,
    #[case] readers: u32,
    #[case] writers: u32,
) {
    let mut balance = Balance::new(Time::ZERO);
    let split = Split {
        prefill: readers,
        decode: writers,
    };

    assert_eq!(
        watch(&mut balance, Usage { prefill, decode }, split, 30),
        None
    );
}

/// Guards against a large pool that moves one engine at a time and never gains enough.
#[test]
fn a_large_pool_moves_several_engines() {
    let mut balance = Balance::new(Time::ZERO);
    let usage = Usage {
        prefill: 7.0,
        decode: 36.0,
    };
    let split = Split {
        prefill: 21,
        decode: 39,
    };

    let moved = watch(&mut balance, usage, split, 10);

    assert!(matches!(moved, Some((Stage::Decode, 5..=7))), "{moved:?}");
}

/// Guards against waiting requests that look for room at each of the thousands of digests that a
/// large fleet sends in a second: they are to be woken 200 times at most, and soon after news.
#[tokio::test(start_paused = true)]
async fn digests_wake_waiting_requests_together() {
    const DIGESTS: u32 = 3_000;
    let mut wakes = Wakes::default();
    let mut woken = 0;

    for _ in 0..DIGESTS {
        wakes.ask();
        if wakes.due().is_some_and(|due| due <= Instant::now()) {
            wakes.done(Instant::now());
            woken += 1;
        }
        tokio::time::advance(Duration::from_secs(1) / DIGESTS).await;
    }

    assert!((100..=200).contains(&woken), "{woken}");
    assert!(
        wakes
            .due()
            .is_none_or(|due| due <= Instant::now() + Duration::from_millis(5))
    );
    wakes.done(Instant::now());
    assert_eq!(wakes.due(), None);
}

/// Guards against a large fleet whose gateways name the same few addresses at the same time.
///
/// With 12 names in a digest, 68 gateways are named in six heartbeats; two more make the first
/// contact through the one seed.
#[test]
fn a_large_fleet_knows_all_its_gateways_after_eight_heartbeats() {
    const GATEWAYS: u8 = 68;
    const BEATS: u64 = 8;
    let address = |number: u8| SocketAddr::from(([10, 0, 0, number], 7000));
    let mut rosters: Vec<Roster> = (0..GATEWAYS).map(|n| Roster::new(address(n))).collect();

    for beat in 0..BEATS {
        let now = Time::from_millis(500 * beat);
        let mut sent = Vec::new();
        for (number, roster) in (0..GATEWAYS).zip(&mut rosters) {
            roster.take_seeds(now, [address(0).ip()].into_iter());
            let targets = roster.targets(now, true);
            let digest = Digest {
                peers: roster.named(),
                ..Digest::default()
            };
            sent.push((address(number), targets, digest));
        }
        for (from, targets, digest) in sent {
            for target in targets {
                let SocketAddr::V4(to) = target else { continue };
                let number = usize::from(to.ip().octets()[3]);
                rosters[number].heard(now, from, &digest);
            }
        }
    }

    let now = Time::from_millis(500 * BEATS);
    let known: Vec<usize> = rosters
        .iter_mut()
        .map(|r| r.targets(now, true).len())
        .collect();
    let all = usize::from(GATEWAYS) - 1;
    assert!(known.iter().all(|known| *known == all), "{known:?}");
}
