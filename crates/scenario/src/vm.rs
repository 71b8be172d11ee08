//! A simulated VM: its process, the state machines in it and the messages between VMs.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use coord::claim::{self, AttemptId, Claims};
use coord::config::{self, ConfigReplica, ReadResponse};
use coord::hash::hash64;
use coord::lease::{LeaseHolder, LeaseOptions, Renewal, RenewalReply};
use coord::member::{self, LocalVm, Members, View};
use coord::name::{DataCentre, Service, Upstream, VmName};
use coord::poison::{CrashRecord, Suspects};
use coord::sched::{Attempt, JobId};
use coord::time::Time;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::cell::Cell;
use crate::claims::AttachReply;
use crate::names;
use crate::platform::UPSTREAMS;
use crate::registration::CellMessage;
use crate::request::Run;
use crate::simulation::{Event, Simulation};

/// The time between two timer calls of the state machines.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// A message from one VM to another.
#[derive(Clone)]
pub enum PeerMessage {
    Member(member::Packet),
    Config(config::Message),
    Cell(CellMessage),
    Claim(claim::Message),
    /// Asks for the answer of an attempt, on behalf of a request at the sender.
    Attach(AttemptId, JobId),
    AttachReply(JobId, AttachReply),
    Charges(Service, Vec<CrashRecord>),
    Renewal(Service, Renewal),
    Renewed(Service, RenewalReply),
}

/// A VM and its current process, if it is up.
pub struct Vm {
    pub name: VmName,
    pub zone: DataCentre,
    index: usize,
    /// The rate of the VM's clock relative to virtual time, up to 1% off.
    clock_rate: f64,
    pub up: bool,
    pub paused: bool,
    /// The number of the process; it changes whenever a process starts or ends.
    pub generation: u32,
    started: Time,
    /// The events that arrived while the process was paused.
    pub deferred: Vec<Event>,
    /// How much later than other VMs this one sees changes of the published list.
    pub list_lag: Duration,
    /// The time at which the planned stop began, if one is in progress.
    pub stop_began: Option<Time>,
    pub state: Option<ProcessState>,
    /// The highest revision of each document that was in force in this process.
    pub seen_revisions: BTreeMap<Arc<str>, u64>,
}

/// The memory of a process, which is lost when the process ends.
pub struct ProcessState {
    pub members: Members,
    pub config: ConfigReplica,
    pub cells: BTreeMap<Service, Cell>,
    /// The leases that the requests of this VM hold.
    pub lease_holder: LeaseHolder,
    /// The charges of suspected poison requests of each cell, including copies from other VMs.
    pub suspects: BTreeMap<Service, Suspects>,
    /// The claims of idempotency keys; `None` until the VM has read the published list.
    pub claims: Option<Claims>,
    /// The results of finished attempts, for requests that attach to them.
    pub answers: BTreeMap<AttemptId, AttachReply>,
    /// The requests that wait for the answer of an attempt, with their VMs.
    pub followers: BTreeMap<AttemptId, BTreeMap<JobId, VmName>>,
    /// The start of the process on its own clock.
    pub boot: Time,
    pub runs: BTreeMap<JobId, Run>,
    pub view: Arc<View>,
    trusted: bool,
    /// The VMs on the newest published list.
    pub listed: BTreeSet<VmName>,
    /// All VMs that have been listed since the process started.
    pub known: BTreeSet<VmName>,
    /// The listed upstreams; `true` for one that is leaving.
    pub upstreams: BTreeMap<Upstream, bool>,
    /// The cancels that upstreams have not acknowledged yet.
    pub pending_cancels: BTreeSet<(Upstream, JobId, Option<Attempt>)>,
    /// The time at which the last request ended.
    pub idle_since: Option<Time>,
    /// The time of the next full registration, on the process's own clock.
    pub next_registration: Time,
}

impl Vm {
    pub fn new(index: usize, zones: &[String], rng: &mut ChaCha8Rng) -> Self {
        Self {
            name: names::vm_name(index).as_str().into(),
            zone: zones[index % zones.len()].as_str().into(),
            index,
            clock_rate: 1.0 + rng.random_range(-0.01..0.01),
            up: false,
            paused: false,
            generation: 0,
            started: Time::ZERO,
            deferred: Vec::new(),
            list_lag: Duration::ZERO,
            stop_began: None,
            state: None,
            seen_revisions: BTreeMap::new(),
        }
    }

    /// Returns the identity with which the VM joins the membership.
    pub fn local_vm(&self, boot: u64) -> LocalVm {
        let port = u16::try_from(self.index).unwrap_or(u16::MAX);
        LocalVm {
            name: self.name.clone(),
            zone: self.zone.clone(),
            addr: ([10, 0, 0, 1], port).into(),
            boot,
        }
    }

    /// Converts a virtual time to the process's own clock.
    pub fn clock(&self, now: Time) -> Time {
        Time::from_millis(5_000) + now.since(self.started).mul_f64(self.clock_rate)
    }

    fn start_process(&mut self, now: Time, seed: u64) {
        self.end_process();
        self.up = true;
        self.started = now;
        let clock = self.clock(now);
        let local_vm = self.local_vm(now.as_micros() / 1_000);
        let members = Members::new(local_vm, member::Options::default(), seed, clock);
        let options = config::Options::default();
        let config = ConfigReplica::new(self.name.clone(), validator(), options, seed, clock);
        self.state = Some(ProcessState {
            view: members.view(),
            lease_holder: LeaseHolder::new(
                self.name.clone(),
                members.incarnation(),
                LeaseOptions::default(),
            ),
            members,
            config,
            cells: BTreeMap::new(),
            suspects: BTreeMap::new(),
            claims: None,
            answers: BTreeMap::new(),
            followers: BTreeMap::new(),
            boot: clock,
            runs: BTreeMap::new(),
            trusted: false,
            listed: BTreeSet::new(),
            known: BTreeSet::new(),
            upstreams: BTreeMap::new(),
            pending_cancels: BTreeSet::new(),
            idle_since: Some(now),
            next_registration: Time::ZERO,
        });
    }

    fn end_process(&mut self) {
        self.generation += 1;
        self.up = false;
        self.paused = false;
        self.deferred.clear();
        self.stop_began = None;
        self.state = None;
        self.seen_revisions.clear();
    }

    /// Returns the owner of the cell of a service according to this VM's membership view.
    pub fn owner(&self, service: &Service) -> Option<VmName> {
        let owners = self.state.as_ref()?.view.owners();
        owners.owner(hash64(service.as_str().as_bytes())).cloned()
    }

    /// Returns whether the VM is ready and not stopping.
    pub fn accepts_requests(&self) -> bool {
        let ready = self.state.as_ref().is_some_and(|s| s.config.is_ready());
        self.up && ready && self.stop_began.is_none()
    }
}

/// Returns a document validator that rejects texts which start with `bad`.
fn validator() -> config::Validator {
    Arc::new(|_: &str, text: &str| {
        if text.starts_with("bad") {
            Err(vec!["line 1: the text is malformed".to_owned()])
        } else {
            Ok(())
        }
    })
}

impl Simulation {
    pub fn start_vm(&mut self, vm: usize) {
        if self.vms[vm].up {
            return;
        }
        let seed = self.rng.random();
        self.vms[vm].start_process(self.now, seed);
        let generation = self.vms[vm].generation;
        self.tick_vm(vm, generation);
        self.poll_lists(vm, generation);
    }

    /// Ends a process: it loses its memory and its connections break.
    pub fn kill_vm(&mut self, vm: usize) {
        let generation = self.vms[vm].generation;
        self.vms[vm].end_process();
        for caller in self.callers.values_mut() {
            if caller.vm == vm && caller.generation == generation && caller.endings.is_empty() {
                caller.closed = true;
            }
        }
    }

    /// Continues a paused process with the events that were deferred.
    pub fn resume_vm(&mut self, vm: usize) {
        self.vms[vm].paused = false;
        for event in std::mem::take(&mut self.vms[vm].deferred) {
            event(self);
        }
    }

    /// Begins a planned stop; a second signal changes nothing.
    pub fn stop_vm(&mut self, vm: usize) {
        if !self.vms[vm].up || self.vms[vm].stop_began.is_some() {
            return;
        }
        self.vms[vm].stop_began = Some(self.now);
        let name = self.vms[vm].name.clone();
        self.platform.change_list(self.now, |list| {
            list.vms.insert(name, true);
        });
        self.run_state_machines(vm, |state, now| (state.members.leave(now), Vec::new()));
    }

    /// Ends a stopping process once it has no requests and its peers know that it is leaving.
    fn exit_if_idle(&mut self, vm: usize) {
        /// The time in which every VM learns that this one is leaving.
        const STOP_NOTICE_PERIOD: Duration = Duration::from_secs(2);
        let now = self.now;
        let since = self.vms[vm].stop_began;
        let announced = since.is_some_and(|at| self.now.since(at) > STOP_NOTICE_PERIOD);
        // The process stays up for one more tick so that the last response is delivered.
        let flushed = |state: &ProcessState| {
            state.runs.is_empty()
                && state
                    .idle_since
                    .is_some_and(|at| now.since(at) > TICK_INTERVAL)
        };
        let idle = self.vms[vm].state.as_ref().is_some_and(flushed);
        if announced && idle {
            let name = self.vms[vm].name.clone();
            self.add_trace(&format!("{name} exits"));
            self.kill_vm(vm);
            self.platform.change_list(self.now, |list| {
                list.vms.remove(&name);
            });
        }
    }

    fn tick_vm(&mut self, vm: usize, generation: u32) {
        if self.vms[vm].generation != generation {
            return;
        }
        if !self.vms[vm].paused {
            self.run_state_machines(vm, |state, now| {
                (state.members.tick(now), state.config.tick(now))
            });
            self.with_claims(vm, Claims::tick);
            self.tick_cells(vm);
            self.tick_runs(vm);
            self.tick_leases(vm);
            self.exit_if_idle(vm);
        }
        self.schedule(TICK_INTERVAL, move |sim| sim.tick_vm(vm, generation));
    }

    /// Handles the response to a read of the configuration service, or `None` if the read failed.
    pub fn on_config_read(&mut self, vm: usize, answer: Option<ReadResponse>) {
        self.run_state_machines(vm, |state, now| {
            let Some(answer) = answer else {
                state.config.read_failed(now);
                return (Vec::new(), Vec::new());
            };
            (Vec::new(), state.config.read_succeeded(now, &answer))
        });
    }

    pub fn receive(&mut self, vm: usize, from: &VmName, message: PeerMessage) {
        match message {
            PeerMessage::Member(packet) => self.run_state_machines(vm, |state, now| {
                (state.members.receive(now, packet), Vec::new())
            }),
            PeerMessage::Config(message) => self.run_state_machines(vm, |state, now| {
                (Vec::new(), state.config.receive(now, from, message))
            }),
            PeerMessage::Cell(message) => self.on_cell_message(vm, from, message),
            PeerMessage::Claim(message) => {
                self.with_claims(vm, |claims, now| claims.receive(now, from, message));
            }
            PeerMessage::Attach(attempt, id) => self.on_attach(vm, from, attempt, id),
            PeerMessage::AttachReply(id, reply) => self.on_attach_reply(vm, id, reply),
            PeerMessage::Charges(service, charges) => self.receive_charges(vm, &service, &charges),
            PeerMessage::Renewal(service, renew) => self.on_renewal(vm, from, service, renew),
            PeerMessage::Renewed(service, reply) => self.on_renewed(vm, from, &service, reply),
        }
    }

    /// Calls the state machines of membership and configuration and executes their actions.
    pub fn run_state_machines(
        &mut self,
        vm: usize,
        call: impl FnOnce(&mut ProcessState, Time) -> (Vec<member::Action>, Vec<config::Action>),
    ) {
        let clock = self.vms[vm].clock(self.now);
        let Some(state) = &mut self.vms[vm].state else {
            return;
        };
        let (member, config) = call(state, clock);
        let trusted = state.members.trusted(clock);
        let changed = member.contains(&member::Action::Changed) || trusted != state.trusted;
        if changed {
            state.trusted = trusted;
            state.view = state.members.view();
            state.config.update_view(&state.view, trusted);
        }
        for action in member {
            if let member::Action::Send { to, packet, .. } = action {
                self.send_message(vm, &to, &PeerMessage::Member(packet));
            }
        }
        let mut list_changed = false;
        for action in config {
            match action {
                config::Action::Send { to, message } => {
                    self.send_message(vm, &to, &PeerMessage::Config(message));
                }
                config::Action::Read { since, wait } => self.read(vm, since, wait),
                config::Action::InForce { name, .. } => list_changed |= name.starts_with(UPSTREAMS),
                _ => {}
            }
        }
        self.check_revisions(vm);
        if changed || list_changed {
            self.refresh_upstreams(vm);
            self.update_cells(vm);
        }
    }
}
