//! One simulated VM.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use coord::config::{self, ConfigReplica, Document, ReadResponse};
use coord::member::{self, Body, ListedVm, LocalVm, Members};
use coord::name::{DataCentre, VmName};
use coord::time::Time;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::{Event, Message};

/// The maximum number of connections that a VM keeps open, as limited by the transport.
const MAX_CONNECTIONS: usize = 64;

#[derive(Default)]
pub struct Actions {
    pub member: Vec<member::Action>,
    pub config: Vec<config::Action>,
}

pub struct Node {
    pub name: VmName,
    pub zone: DataCentre,
    number: usize,
    /// The rate of the clock of the VM, with an error of up to 1%.
    clock_rate: f64,
    pub up: bool,
    pub paused: bool,
    /// A number that rises with each start and end of the process, so that events of an earlier
    /// process can be ignored; 0 before the first start.
    pub generation: u32,
    started: Time,
    pub deferred: Vec<Event>,
    state: Option<(Members, ConfigReplica)>,
    connections: Vec<usize>,
    pub observed: Observed,
    last_call: Time,
    trusted: bool,
}

/// What the checks have observed of one process.
#[derive(Default)]
pub struct Observed {
    /// The highest revision of each document that has been in force.
    pub in_force: BTreeMap<Arc<str>, u64>,
    /// The probes sent since the boot or the last pause above the threshold.
    pub probes: BTreeSet<u64>,
    /// The peers that answered one of these probes.
    pub answered: BTreeSet<VmName>,
}

impl Node {
    pub fn new(number: usize, zones: usize, rng: &mut ChaCha8Rng) -> Self {
        Self {
            name: format!("vm-{number:03}").into(),
            zone: format!("zone-{}", number % zones).into(),
            number,
            clock_rate: 1.0 + rng.random_range(-0.01..0.01),
            up: false,
            paused: false,
            generation: 0,
            started: Time::ZERO,
            deferred: Vec::new(),
            state: None,
            connections: Vec::new(),
            observed: Observed::default(),
            last_call: Time::ZERO,
            trusted: false,
        }
    }

    pub fn to_listed(&self) -> ListedVm {
        let addr = ([10, 0, 0, 1], u16::try_from(self.number).unwrap()).into();
        ListedVm {
            name: self.name.clone(),
            zone: self.zone.clone(),
            addr,
            leaving: false,
        }
    }

    pub fn members(&self) -> &Members {
        &self.state.as_ref().expect("the VM is up").0
    }

    pub fn config(&self) -> &ConfigReplica {
        &self.state.as_ref().expect("the VM is up").1
    }

    /// Returns the time on the clock of the process.
    pub fn clock(&self, now: Time) -> Time {
        let span = now.since(self.started).mul_f64(self.clock_rate);
        Time::from_millis(5_000) + span
    }

    pub fn start(&mut self, now: Time, boot: u64, seed: u64) {
        self.kill();
        self.up = true;
        self.started = now;
        let ListedVm {
            name, zone, addr, ..
        } = self.to_listed();
        let me = LocalVm {
            name: name.clone(),
            zone,
            addr,
            boot,
        };
        let clock = self.clock(now);
        let members = Members::new(me, member::Options::default(), seed, clock);
        let config = ConfigReplica::new(name, validator(), config::Options::default(), seed, clock);
        self.state = Some((members, config));
        self.last_call = clock;
    }

    pub fn kill(&mut self) {
        self.generation += 1;
        self.up = false;
        self.paused = false;
        self.deferred.clear();
        self.connections.clear();
        self.state = None;
        self.observed = Observed::default();
        self.trusted = false;
    }

    /// Ends a pause, and checks that the process distrusts its view before its next call.
    pub fn resume(&mut self, now: Time) {
        self.paused = false;
        let clock = self.clock(now);
        if clock.since(self.last_call) > Duration::from_millis(600) {
            self.observed.probes.clear();
            self.observed.answered.clear();
            assert!(
                !self.members().trusted(clock),
                "{} trusts its view after a pause",
                self.name
            );
        }
    }

    pub fn tick(&mut self, now: Time) -> Actions {
        self.call(now, |members, config, now| Actions {
            member: members.tick(now),
            config: config.tick(now),
        })
    }

    pub fn deliver(&mut self, now: Time, message: Message) -> Actions {
        if let Message::Member(packet) = &message
            && let Body::Ack { seq } = packet.body
            && self.observed.probes.contains(&seq)
        {
            self.observed.answered.insert(packet.from.name.clone());
        }
        self.call(now, |members, config, now| match message {
            Message::Member(packet) => Actions {
                member: members.receive(now, packet),
                ..Actions::default()
            },
            Message::Config(from, message) => Actions {
                config: config.receive(now, &from, message),
                ..Actions::default()
            },
        })
    }

    pub fn answer(&mut self, now: Time, answer: Option<ReadResponse>) -> Actions {
        self.call(now, |_, config, now| {
            let Some(answer) = answer else {
                config.read_failed(now);
                return Actions::default();
            };
            Actions {
                config: config.read_succeeded(now, &answer),
                ..Actions::default()
            }
        })
    }

    pub fn list(&mut self, now: Time, revision: u64, list: &[ListedVm]) -> Actions {
        self.call(now, |members, _, now| Actions {
            member: members.apply_list(now, revision, list),
            ..Actions::default()
        })
    }

    fn call(
        &mut self,
        now: Time,
        call: impl FnOnce(&mut Members, &mut ConfigReplica, Time) -> Actions,
    ) -> Actions {
        let clock = self.clock(now);
        self.last_call = clock;
        let (members, config) = self.state.as_mut().expect("the VM is up");
        let actions = call(members, config, clock);
        let trusted = members.trusted(clock);
        if actions.member.contains(&member::Action::Changed) || trusted != self.trusted {
            self.trusted = trusted;
            config.update_view(&members.view(), trusted);
        }
        for action in &actions.member {
            if let member::Action::Send { packet, .. } = action
                && let Body::Ping { seq } = packet.body
            {
                self.observed.probes.insert(seq);
            }
        }
        actions
    }

    /// Returns whether a connection to `to` is open, and opens one otherwise; the least recently
    /// used connection is closed if there are too many.
    pub fn use_connection(&mut self, to: usize) -> bool {
        let open = self.connections.iter().position(|vm| *vm == to);
        if let Some(index) = open {
            self.connections.remove(index);
        } else if self.connections.len() == MAX_CONNECTIONS {
            self.connections.remove(0);
        }
        self.connections.push(to);
        open.is_some()
    }
}

/// Returns a validator that rejects texts that start with `bad`.
pub fn validator() -> config::Validator {
    Arc::new(|name, text| {
        let bad = text.starts_with("bad");
        if bad {
            Err(vec![format!("{name}: line 1: the text is malformed")])
        } else {
            Ok(())
        }
    })
}

pub fn document(name: &str, revision: u64, text: Option<String>) -> Document {
    Document {
        name: name.into(),
        revision,
        text: text.map(Into::into),
        age_seconds: 0,
    }
}
