//! The rate limit that entry VMs and the owner of an organisation's token bucket enforce together.

use std::collections::VecDeque;
use std::time::Duration;

use coord::limit::{CreditClient, CreditGrant, CreditRequest, TokenBucket};
use coord::time::Time;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

/// Length of one simulation step, which is also the latency of a message.
const STEP: Duration = Duration::from_millis(5);
/// The bound of the error in steady state, in per cent.
const MAX_ERROR_PERCENT: u64 = 10;

struct Fleet {
    rng: ChaCha8Rng,
    now: Time,
    bucket: Option<TokenBucket>,
    clients: Vec<CreditClient>,
    waiting: Vec<VecDeque<Time>>,
    requests: Vec<(usize, CreditRequest)>,
    grants: Vec<(usize, CreditGrant)>,
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
            bucket: Some(TokenBucket::new(now, rate)),
            clients: vec![CreditClient::new(now, rate, live); nodes],
            waiting: vec![VecDeque::new(); nodes],
            requests: Vec::new(),
            grants: Vec::new(),
            admitted: 0,
            offered: 0,
        }
    }

    /// Offers `demand` requests per second at random VMs out of the first `busy` ones. Each request
    /// waits 1 s at most.
    fn run(&mut self, span: Duration, demand: u64, busy: usize) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + STEP;
            for (node, grant) in std::mem::take(&mut self.grants) {
                self.clients[node].handle_grant(self.now, grant);
            }
            for _ in 0..self.arrivals(demand) {
                let node = self.rng.random_range(0..busy);
                self.arrive(node);
            }
            for node in 0..self.clients.len() {
                self.serve(node);
            }
            for (node, request) in std::mem::take(&mut self.requests) {
                let grant = self
                    .bucket
                    .as_mut()
                    .map(|b| b.handle_request(self.now, request));
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
        if self.clients[node].try_acquire(self.now, 1) {
            self.admitted += 1;
        } else {
            self.waiting[node].push_back(self.now + Duration::from_secs(1));
        }
    }

    fn serve(&mut self, node: usize) {
        let (client, waiting) = (&mut self.clients[node], &mut self.waiting[node]);
        while waiting.front().is_some_and(|end| *end < self.now) {
            waiting.pop_front();
        }
        while !waiting.is_empty() && client.try_acquire_queued(self.now, 1) {
            waiting.pop_front();
            self.admitted += 1;
        }
        let request = client.poll_request(self.now);
        self.requests.extend(request.map(|request| (node, request)));
    }

    /// Returns the numbers of admitted and offered requests in 60 s of steady state.
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
        error <= MAX_ERROR_PERCENT * 10,
        "{what}: {measured} instead of {wanted}"
    );
}

/// Guards against an enforced rate that differs from the document's because credit stays with VMs
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

/// Guards against refusals while demand is below the rate.
#[rstest]
fn demand_below_the_rate_is_admitted(#[values(8, 340)] nodes: usize) {
    let mut fleet = Fleet::new(nodes, 1_000);

    let (admitted, offered) = fleet.steady(800, nodes);

    assert_near(&format!("{nodes} VMs below the rate"), admitted, offered);
}

/// Guards against VMs that admit more than the rate, or nothing, while the owner is lost.
#[rstest]
fn without_an_owner_each_vm_takes_its_share(#[values(8, 340)] nodes: usize) {
    let mut fleet = Fleet::new(nodes, 1_000);
    fleet.run(Duration::from_secs(5), 3_000, nodes);
    fleet.bucket = None;

    let (admitted, _) = fleet.steady(3_000, nodes);

    assert_near(&format!("{nodes} VMs alone"), admitted, 60_000);
}

/// Guards against a lower rate that takes effect only after the burst of the old rate is used.
#[test]
fn a_lower_rate_is_in_force_at_once() {
    let mut bucket = TokenBucket::new(Time::ZERO, 1_000);

    bucket.set_rate(Time::ZERO, 10);
    let request = CreditRequest {
        requested: 1_000,
        ..CreditRequest::default()
    };

    assert_eq!(bucket.handle_request(Time::ZERO, request).credit, 5);
}
