//! The rate that entry VMs and the owner of an organisation's credit enforce together.

use std::collections::VecDeque;
use std::time::Duration;

use coord::limit::{Bucket, Draw, Drawer, Grant};
use coord::time::Time;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

/// One step of the simulation, and the latency of a message.
const STEP: Duration = Duration::from_millis(5);
/// The stated bound of the error in steady state, in hundredths.
const BOUND: u64 = 10;

struct Fleet {
    rng: ChaCha8Rng,
    now: Time,
    bucket: Option<Bucket>,
    drawers: Vec<Drawer>,
    waiting: Vec<VecDeque<Time>>,
    draws: Vec<(usize, Draw)>,
    grants: Vec<(usize, Grant)>,
    admitted: u64,
    offered: u64,
}

impl Fleet {
    fn new(nodes: usize, rate: u64) -> Self {
        let now = Time::from_millis(10_000);
        let live = nodes as u64;
        Self {
            rng: ChaCha8Rng::seed_from_u64(7),
            now,
            bucket: Some(Bucket::new(now, rate)),
            drawers: vec![Drawer::new(now, rate, live); nodes],
            waiting: vec![VecDeque::new(); nodes],
            draws: Vec::new(),
            grants: Vec::new(),
            admitted: 0,
            offered: 0,
        }
    }

    /// Offers `demand` requests a second at random VMs of the first `busy`; each waits 1 s at most.
    fn run(&mut self, span: Duration, demand: u64, busy: usize) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + STEP;
            for (node, grant) in std::mem::take(&mut self.grants) {
                self.drawers[node].granted(self.now, grant);
            }
            for _ in 0..self.arrivals(demand) {
                let node = self.rng.random_range(0..busy);
                self.arrive(node);
            }
            for node in 0..self.drawers.len() {
                self.serve(node);
            }
            for (node, draw) in std::mem::take(&mut self.draws) {
                let grant = self.bucket.as_mut().map(|b| b.draw(self.now, draw));
                self.grants.extend(grant.map(|grant| (node, grant)));
            }
        }
    }

    fn arrivals(&mut self, demand: u64) -> u64 {
        let steps = 200;
        let rest = self.rng.random_range(0..steps);
        (demand + rest) / steps
    }

    fn arrive(&mut self, node: usize) {
        self.offered += 1;
        if self.drawers[node].take(self.now, 1) {
            self.admitted += 1;
        } else {
            self.waiting[node].push_back(self.now + Duration::from_secs(1));
        }
    }

    fn serve(&mut self, node: usize) {
        let (drawer, waiting) = (&mut self.drawers[node], &mut self.waiting[node]);
        while waiting.front().is_some_and(|end| *end < self.now) {
            waiting.pop_front();
        }
        while !waiting.is_empty() && drawer.retake(self.now, 1) {
            waiting.pop_front();
            self.admitted += 1;
        }
        let draw = drawer.draw(self.now);
        self.draws.extend(draw.map(|draw| (node, draw)));
    }

    /// Returns the admitted and the offered requests in 60 s of steady state.
    fn steady(&mut self, demand: u64, busy: usize) -> (u64, u64) {
        self.run(Duration::from_secs(5), demand, busy);
        let before = (self.admitted, self.offered);
        self.run(Duration::from_mins(1), demand, busy);
        (self.admitted - before.0, self.offered - before.1)
    }
}

fn assert_near(what: &str, measured: u64, wanted: u64) {
    let error = measured.abs_diff(wanted) * 1_000 / wanted;
    println!("{what}: {measured} of {wanted}, error {error} in 1,000");
    assert!(
        error <= BOUND * 10,
        "{what}: {measured} instead of {wanted}"
    );
}

/// Guards against an enforced rate that differs from the document's because credit lies at VMs
/// that do not use it, or is granted twice.
#[rstest]
fn the_rate_is_enforced(
    #[values(8, 340)] nodes: usize,
    #[values(10, 1_000)] rate: u64,
    #[values(true, false)] even: bool,
) {
    let mut fleet = Fleet::new(nodes, rate);
    let busy = if even { nodes } else { 3 };

    let (admitted, _) = fleet.steady(rate * 3, busy);

    let what = format!("{nodes} VMs, {busy} busy, rate {rate}");
    assert_near(&what, admitted, rate * 60);
}

/// Guards against a limit that refuses requests although the rate is not reached.
#[rstest]
fn demand_below_the_rate_is_admitted(#[values(8, 340)] nodes: usize) {
    let mut fleet = Fleet::new(nodes, 1_000);

    let (admitted, offered) = fleet.steady(800, nodes);

    assert_near(&format!("{nodes} VMs below the rate"), admitted, offered);
}

/// Guards against a fleet without the owner that admits more than the rate or nothing.
#[rstest]
fn without_an_owner_each_vm_takes_its_share(#[values(8, 340)] nodes: usize) {
    let mut fleet = Fleet::new(nodes, 1_000);
    fleet.run(Duration::from_secs(5), 3_000, nodes);
    fleet.bucket = None;

    let (admitted, _) = fleet.steady(3_000, nodes);

    assert_near(&format!("{nodes} VMs alone"), admitted, 60_000);
}

/// Guards against a lower rate of a changed document that comes into force only after the burst.
#[test]
fn a_lower_rate_is_in_force_at_once() {
    let mut bucket = Bucket::new(Time::ZERO, 1_000);

    bucket.set_rate(Time::ZERO, 10);
    let draw = Draw {
        want: 1_000,
        ..Draw::default()
    };

    assert_eq!(bucket.draw(Time::ZERO, draw).credit, 5);
}
