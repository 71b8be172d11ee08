//! A fleet of gateways that keep allowances together, in virtual time.

use std::collections::VecDeque;

use coord::limit::{
    AllowanceRecord, AllowanceTable, AllowanceTerms, Division, FleetSize, OrganisationKey,
    Sighting, Verdict,
};
use coord::time::Time;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Length of one step, which is also the time that a message travels.
const STEP_MS: u64 = 10;
const HEARTBEAT_MS: u64 = 500;
/// Time without a message after which a gateway is forgotten.
const SILENCE_MS: u64 = 3_000;
/// Time after its start in which a gateway knows the first three gateways only.
const DISCOVERY_MS: u64 = 1_000;
/// Average units of a request.
pub const REQUEST_UNITS: u64 = 5_000;
pub const WINDOW_MS: u64 = 8_000;
/// How far the fleet may exceed an allowance in a window.
const TOLERANCE: f64 = 1.25;
const SLACK: f64 = 190_000.0;

struct Gateway {
    table: AllowanceTable<usize>,
    size: FleetSize,
    heard: Vec<Option<u64>>,
    newcomers: Vec<usize>,
    started: u64,
    next_heartbeat: u64,
    frozen_until: u64,
    sequence: u64,
    backlog: Vec<(OrganisationKey, u64)>,
}

#[derive(Clone)]
struct Message {
    from: usize,
    to: usize,
    version: (u64, u64),
    known_gateways: Option<usize>,
    records: Vec<AllowanceRecord>,
}

/// The demand of one organisation.
#[derive(Clone, Copy)]
pub struct Load {
    pub organisation: OrganisationKey,
    /// Units a second.
    pub rate: f64,
    /// Share of the requests that reach the first gateway; the others are spread evenly.
    pub at_first: f64,
}

pub struct Fleet {
    pub now: u64,
    pub loss: f64,
    /// Whether the gateways below this number and the others do not hear each other.
    pub cut_at: usize,
    terms: Vec<(OrganisationKey, AllowanceTerms)>,
    gateways: Vec<Gateway>,
    messages: Vec<Message>,
    rng: ChaCha8Rng,
    /// When units were admitted.
    pub admitted: Vec<(u64, OrganisationKey, u64)>,
    pub asked: Vec<(u64, OrganisationKey, u64)>,
}

impl Fleet {
    /// Creates gateways that have known each other for 20 s.
    pub fn new(count: usize, terms: &[(OrganisationKey, AllowanceTerms)], seed: u64) -> Self {
        let mut fleet = Self {
            now: 0,
            loss: 0.0,
            cut_at: 0,
            terms: terms.to_vec(),
            gateways: Vec::new(),
            messages: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            admitted: Vec::new(),
            asked: Vec::new(),
        };
        fleet.add(count);
        fleet.run(20_000, &[]);
        fleet
    }

    /// Adds gateways that have just started.
    pub fn add(&mut self, count: usize) {
        for _ in 0..count {
            let mut table = AllowanceTable::default();
            table.set(Time::ZERO, self.terms.clone());
            let division = Division {
                gateways: 64,
                share: 1.0 / 64.0,
            };
            table.set_division(Time::ZERO, division);
            let next_heartbeat = self.now + self.rng.random_range(0..HEARTBEAT_MS);
            self.gateways.push(Gateway {
                table,
                size: FleetSize::default(),
                heard: Vec::new(),
                newcomers: Vec::new(),
                started: self.now,
                next_heartbeat,
                frozen_until: 0,
                sequence: 0,
                backlog: Vec::new(),
            });
        }
    }

    /// Kills all gateways and starts as many.
    pub fn restart(&mut self) {
        let count = self.gateways.len();
        self.gateways.clear();
        self.messages.clear();
        self.add(count);
    }

    pub fn freeze(&mut self, number: usize, time_ms: u64) {
        self.gateways[number].frozen_until = self.now + time_ms;
    }

    pub fn set_terms(&mut self, terms: &[(OrganisationKey, AllowanceTerms)]) {
        self.terms = terms.to_vec();
        for gateway in &mut self.gateways {
            let now = Time::from_millis(self.now - gateway.started);
            gateway.table.set(now, terms.iter().copied());
        }
    }

    pub fn run(&mut self, time_ms: u64, loads: &[Load]) {
        let end = self.now + time_ms;
        while self.now < end {
            self.deliver();
            self.beat();
            for load in loads {
                self.arrive(*load);
            }
            self.now += STEP_MS;
        }
    }

    fn deliver(&mut self) {
        for message in std::mem::take(&mut self.messages) {
            let (from, to) = (message.from, message.to);
            let crosses = (from < self.cut_at) != (to < self.cut_at);
            let now_ms = self.now;
            let Some(gateway) = self.gateways.get_mut(to) else {
                continue;
            };
            if crosses || self.rng.random_bool(self.loss) {
                continue;
            }
            if now_ms < gateway.frozen_until {
                self.messages.push(message);
                continue;
            }
            let now = Time::from_millis(now_ms - gateway.started);
            if gateway.heard.len() <= from {
                gateway.heard.resize(from + 1, None);
            }
            if gateway.heard[from].replace(now_ms).is_none() {
                gateway.newcomers.push(from);
            }
            if let Some(known) = message.known_gateways {
                gateway.size.record_reported(now, known);
            }
            let sender = (&from, message.version);
            gateway.table.apply(now, sender, message.records);
        }
    }

    fn beat(&mut self) {
        for number in 0..self.gateways.len() {
            let gateway = &mut self.gateways[number];
            if self.now < gateway.frozen_until {
                continue;
            }
            for (organisation, units) in std::mem::take(&mut gateway.backlog) {
                self.ask(number, organisation, units);
            }
            let newcomers = std::mem::take(&mut self.gateways[number].newcomers);
            if !newcomers.is_empty() {
                let now = Time::from_millis(self.now - self.gateways[number].started);
                let page = self.gateways[number].table.page(now);
                self.send(number, &newcomers, &page);
            }
            if self.now >= self.gateways[number].next_heartbeat {
                self.heartbeat(number);
            }
        }
    }

    fn heartbeat(&mut self, number: usize) {
        let count = self.gateways.len();
        let gateway = &mut self.gateways[number];
        let now = Time::from_millis(self.now - gateway.started);
        gateway.next_heartbeat = self.now + HEARTBEAT_MS;
        for (peer, heard) in gateway.heard.iter_mut().enumerate() {
            if heard.is_some_and(|at| self.now - at >= SILENCE_MS) {
                *heard = None;
                gateway.table.forget(&peer);
            }
        }
        let heard = 1 + gateway.heard.iter().flatten().count();
        gateway.size.record(now, Sighting { heard, hearsay: 0 });
        let division = Division {
            gateways: gateway.size.size(now, true),
            share: gateway.size.heard_part(now, true),
        };
        gateway.table.set_division(now, division);
        let records = gateway.table.next_records(now);
        let known = if self.now - gateway.started < DISCOVERY_MS {
            count.min(3)
        } else {
            count
        };
        let others: Vec<usize> = (0..known).filter(|other| *other != number).collect();
        self.send(number, &others, &records);
    }

    fn send(&mut self, from: usize, targets: &[usize], records: &[AllowanceRecord]) {
        let gateway = &mut self.gateways[from];
        gateway.sequence += 1;
        let now = Time::from_millis(self.now - gateway.started);
        let message = Message {
            from,
            to: 0,
            version: (gateway.started, gateway.sequence),
            known_gateways: gateway.size.reported(now),
            records: records.to_vec(),
        };
        self.messages.extend(targets.iter().map(|to| Message {
            to: *to,
            ..message.clone()
        }));
    }

    /// Lets requests of an organisation arrive at random.
    fn arrive(&mut self, load: Load) {
        let average = REQUEST_UNITS as f64;
        let mut expected = load.rate / average * STEP_MS as f64 / 1_000.0;
        while expected > 0.0 {
            if self.rng.random_bool(expected.min(0.1)) {
                let first = self.rng.random_bool(load.at_first);
                let any = self.rng.random_range(0..self.gateways.len());
                let number = if first { 0 } else { any };
                let units = self.rng.random_range(0..2 * REQUEST_UNITS);
                self.reach(number, load.organisation, units);
            }
            expected -= 0.1;
        }
    }

    fn reach(&mut self, number: usize, organisation: OrganisationKey, units: u64) {
        let gateway = &mut self.gateways[number];
        if self.now < gateway.frozen_until {
            gateway.backlog.push((organisation, units));
        } else {
            self.ask(number, organisation, units);
        }
    }

    fn ask(&mut self, number: usize, organisation: OrganisationKey, units: u64) {
        let gateway = &mut self.gateways[number];
        let now = Time::from_millis(self.now - gateway.started);
        let random = self.rng.random_range(0.0..1.0);
        self.asked.push((self.now, organisation, units));
        let verdict = gateway.table.ask(now, organisation, units, random);
        if verdict == Verdict::Admit {
            self.admitted.push((self.now, organisation, units));
        }
    }

    /// Checks that no window that begins at `since` or later has more units than an allowance permits.
    pub fn assert_kept(
        &self,
        since: u64,
        (organisation, terms): (OrganisationKey, AllowanceTerms),
    ) {
        let seconds = WINDOW_MS as f64 / 1_000.0;
        let allowed = (terms.rate * seconds + terms.burst) * TOLERANCE + SLACK;
        let mut window = VecDeque::new();
        let (mut sum, mut most) = (0, 0);
        for (at, key, units) in &self.admitted {
            if *key != organisation || *at < since {
                continue;
            }
            window.push_back((*at, *units));
            sum += units;
            while window
                .front()
                .is_some_and(|(first, _)| at - first >= WINDOW_MS)
            {
                sum -= window.pop_front().map_or(0, |(_, units)| units);
            }
            most = most.max(sum);
        }
        println!("{most} units in a window, {allowed:.0} allowed");
        assert!(most as f64 <= allowed, "{most} units, {allowed:.0} allowed");
    }

    /// Returns the units of an organisation since a time.
    pub fn units(
        events: &[(u64, OrganisationKey, u64)],
        since: u64,
        organisation: OrganisationKey,
    ) -> f64 {
        let counted = events
            .iter()
            .filter(|(at, key, _)| *at >= since && *key == organisation);
        let units: u64 = counted.map(|(_, _, units)| units).sum();
        units as f64
    }
}
