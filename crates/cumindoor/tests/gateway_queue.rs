//! In which order waiting requests get places, without a network and in virtual time.

use std::collections::BTreeMap;
use std::time::Duration;

use coord::time::Time;
use cumindoor::gateway::pace::Pace;
use cumindoor::gateway::place::Demand;
use cumindoor::gateway::queue::{Pool, Queue, Ticket};

fn ms(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn ticket(arrived: u64, memory: u32) -> Ticket {
    let demand = Demand {
        prompt: memory,
        memory,
    };
    let times = (Duration::from_millis(900), Duration::ZERO);
    Ticket::new(ms(arrived), times, demand).ranked(1)
}

/// Guards against an overload in which requests get their places just before their target and
/// have their first event just after it: 100 requests a second want 70 places.
#[test]
fn places_go_to_requests_whose_first_event_can_be_on_time() {
    let (target, lead) = (Duration::from_millis(900), Duration::from_millis(250));
    let mut pace = Pace::default();
    for _ in 0..50 {
        pace.note_lead(lead);
    }
    let demand = ticket(0, 1).demand;
    let mut queue = Queue::default();
    let mut arrivals = BTreeMap::new();
    let (mut placed, mut on_time) = (0, 0);
    for now in 0..10_000 {
        if now % 10 == 0 {
            let times = (target, pace.lead());
            let number = queue.enter(Ticket::new(ms(now), times, demand));
            arrivals.insert(number, ms(now));
        }
        if now % 14 == 0
            && let Some(head) = queue.head(ms(now))
        {
            queue.leave(head);
            placed += 1;
            let first = ms(now) + lead;
            on_time += u32::from(first.since(arrivals[&head]) <= target);
        }
    }

    assert!(on_time * 10 >= placed * 9, "{on_time} of {placed}");
}

/// Guards against an overload in which everybody is late: requests that can still be on time go
/// first, oldest first.
#[test]
fn late_requests_do_not_hold_up_those_on_time() {
    let mut queue = Queue::default();
    let late = queue.enter(ticket(0, 1));
    let first = queue.enter(ticket(600, 1));
    let second = queue.enter(ticket(700, 1));

    assert_eq!(queue.head(ms(800)), Some(late));
    assert_eq!(queue.head(ms(1_000)), Some(first));
    queue.leave(first);
    assert_eq!(queue.head(ms(1_000)), Some(second));
}

/// Guards against a less urgent request that goes before a more urgent one.
#[test]
fn urgent_requests_go_first() {
    let mut queue = Queue::default();
    queue.enter(ticket(0, 1));
    let urgent = queue.enter(Ticket {
        urgency: 0,
        ..ticket(5, 1)
    });

    assert_eq!(queue.head(ms(10)), Some(urgent));
}

/// Guards against a large prompt that keeps small ones from memory, and small ones that keep a
/// large one waiting for ever.
#[test]
fn small_requests_pass_a_large_one_for_a_while() {
    let mut queue = Queue::default();
    queue.enter(ticket(0, 11_000));
    let small = queue.enter(ticket(10, 1_000));

    assert!(queue.may_go(ms(100), small));
    assert!(!queue.may_go(ms(500), small));
}

/// Guards against a wait that is promised too short or too long.
#[test]
fn a_wait_follows_the_rate_at_which_memory_comes_back() {
    let pool = Pool {
        free: 1_000,
        used: 100_000,
        ahead: 5_000,
    };
    let demand = Demand {
        prompt: 6_000,
        memory: 6_000,
    };

    let wait = pool.wait(demand, Duration::from_secs(3));

    assert_eq!(wait, Duration::from_millis(300));
    assert_eq!(
        Pool {
            free: 20_000,
            ..pool
        }
        .wait(demand, Duration::from_secs(3)),
        Duration::ZERO
    );
}
