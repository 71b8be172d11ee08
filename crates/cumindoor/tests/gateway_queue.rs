//! The order in which waiting requests get capacity, without a network and in virtual time.

use std::collections::BTreeMap;
use std::time::Duration;

use coord::time::Time;
use cumindoor::gateway::admission::placement::Demand;
use cumindoor::gateway::admission::queue::{KvPool, Queue, Ticket};
use cumindoor::gateway::engines::service_times::ServiceTimes;

fn ms(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn ticket(arrived: u64, memory: u32) -> Ticket {
    let demand = Demand {
        prompt_tokens: memory,
        kv_tokens: memory,
    };
    let times = (Duration::from_millis(900), Duration::ZERO);
    Ticket::new(ms(arrived), times, demand).with_priority(1)
}

/// Guards against an overload in which requests are placed just before their target, so that their
/// first event is late: 100 requests a second compete for 70 placements.
#[test]
fn capacity_goes_to_requests_whose_first_event_can_be_on_time() {
    let (target, lead_time) = (Duration::from_millis(900), Duration::from_millis(250));
    let mut service_times = ServiceTimes::default();
    for _ in 0..50 {
        service_times.record_lead_time(lead_time);
    }
    let demand = ticket(0, 1).demand;
    let mut queue = Queue::default();
    let mut arrivals = BTreeMap::new();
    let (mut placed, mut on_time) = (0, 0);
    for now in 0..10_000 {
        if now % 10 == 0 {
            let times = (target, service_times.lead_time());
            let number = queue.enter(Ticket::new(ms(now), times, demand));
            arrivals.insert(number, ms(now));
        }
        if now % 14 == 0
            && let Some(head) = queue.head(ms(now))
        {
            queue.leave(head);
            placed += 1;
            let first = ms(now) + lead_time;
            on_time += u32::from(first.since(arrivals[&head]) <= target);
        }
    }

    assert!(on_time * 10 >= placed * 9, "{on_time} of {placed} on time");
}

/// Guards against a stream that waits for its version at the head of the queue and holds up all others.
#[test]
fn a_request_that_resumes_a_stream_is_not_in_line() {
    let mut queue = Queue::default();
    let resuming = queue.enter(ticket(0, 100).resuming(true));
    let first = queue.enter(ticket(10, 100));
    let second = queue.enter(ticket(20, 100));

    let now = ms(800);

    assert_eq!(queue.head(now), Some(first));
    let may = [resuming, first, second].map(|number| queue.may_proceed(now, number));
    assert_eq!(may, [true, true, false]);
    assert_eq!(queue.waiting(now).requests, 3);
}

/// Guards against an overload in which every request is late. Requests that can still meet their
/// target go first, oldest first.
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

/// Guards against a request that goes before one of higher priority.
#[test]
fn urgent_requests_go_first() {
    let mut queue = Queue::default();
    queue.enter(ticket(0, 1));
    let urgent = queue.enter(Ticket {
        priority: 0,
        ..ticket(5, 1)
    });

    assert_eq!(queue.head(ms(10)), Some(urgent));
}

/// Guards against a large prompt that keeps small ones from capacity, and against small ones that
/// keep a large one waiting indefinitely.
#[test]
fn small_requests_pass_a_large_one_for_a_while() {
    let mut queue = Queue::default();
    queue.enter(ticket(0, 11_000));
    let small = queue.enter(ticket(10, 1_000));

    assert!(queue.may_proceed(ms(100), small));
    assert!(!queue.may_proceed(ms(500), small));
}

/// Guards against wait estimates that are too short or too long.
#[test]
fn a_wait_estimate_follows_the_rate_at_which_kv_cache_is_released() {
    let pool = KvPool {
        free: 1_000,
        used: 100_000,
        ahead: 5_000,
    };
    let demand = Demand {
        prompt_tokens: 6_000,
        kv_tokens: 6_000,
    };

    let wait = pool.estimate_wait(demand, Duration::from_secs(3));

    assert_eq!(wait, Duration::from_millis(300));
    assert_eq!(
        KvPool {
            free: 20_000,
            ..pool
        }
        .estimate_wait(demand, Duration::from_secs(3)),
        Duration::ZERO
    );
}
