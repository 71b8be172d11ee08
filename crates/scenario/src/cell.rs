//! The owner of a cell, which runs the scheduler of a model service for all entry VMs.
//!
//! Every half second, an entry VM registers all requests that it runs. The owner submits or resumes
//! jobs that it does not know, repeats orders that were lost, and cancels the jobs of that VM that
//! are no longer registered.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use coord::lease::{LeaseOptions, LeaseTable};
use coord::name::{Service, Upstream, VmName};
use coord::poison::Verdict;
use coord::sched::{
    Action, Attempt, CacheEvent, Engine, EngineReport, JobId, Reason, SchedOptions, Scheduler,
};
use coord::time::Time;

use crate::ast::CacheEventMode;
use crate::registration::{CellMessage, Progress, Registration};
use crate::simulation::Simulation;
use crate::vm::PeerMessage;

/// How long a new owner waits for registrations of jobs that already run.
const TAKEOVER_WAIT: Duration = Duration::from_secs(3);

/// The age up to which a job is kept although a full registration of its entry VM lacks
/// it. That registration may have been sent before the job was submitted.
const REGISTRATION_GRACE: Duration = Duration::from_secs(2);

/// The state of a cell at the VM that owns it.
pub struct Cell {
    pub scheduler: Scheduler,
    /// The engines of the cell; `true` for one that is leaving.
    engines: BTreeMap<Upstream, bool>,
    entries: BTreeMap<JobId, JobEntry>,
    pub leases: LeaseTable,
    /// Attempts for which a crash of their engine has already been counted.
    counted_attempts: BTreeSet<(JobId, Attempt)>,
    /// The VMs that the owner considers dead.
    dead: BTreeSet<VmName>,
}

/// A job that an entry VM has registered.
struct JobEntry {
    vm: VmName,
    registered_at: Time,
    last_order: Option<Action>,
    fingerprint: u128,
}

fn attempt_of(action: &Action) -> Option<Attempt> {
    match action {
        Action::StartPrefill { attempt, .. } | Action::StartDecode { attempt, .. } => {
            Some(*attempt)
        }
        _ => None,
    }
}

fn job_of(action: &Action) -> JobId {
    match action {
        Action::StartPrefill { id, .. }
        | Action::StartDecode { id, .. }
        | Action::Refuse { id, .. }
        | Action::Cancel { id, .. } => *id,
    }
}

impl Cell {
    /// Creates the state of a VM that has just become the owner.
    pub fn new(now: Time, step: Duration, seed: u64) -> Self {
        let options = SchedOptions {
            decode_step: step,
            ..SchedOptions::default()
        };
        let mut scheduler = Scheduler::new(options, seed);
        scheduler.take_over(now, TAKEOVER_WAIT);
        Self {
            scheduler,
            engines: BTreeMap::new(),
            entries: BTreeMap::new(),
            leases: LeaseTable::new(now, LeaseOptions::default()),
            counted_attempts: BTreeSet::new(),
            dead: BTreeSet::new(),
        }
    }

    /// Returns the fingerprint of a job, or `None` if the job is unknown.
    pub fn fingerprint(&self, id: JobId) -> Option<u128> {
        self.entries.get(&id).map(|entry| entry.fingerprint)
    }

    /// Returns the fingerprints of the jobs that run on an upstream and for whose attempt no crash
    /// has been counted yet, and marks these attempts as counted.
    pub fn uncounted_jobs(&mut self, on: &Upstream) -> Vec<u128> {
        let mut found = Vec::new();
        for (id, fingerprint) in self.scheduler.running_on(on) {
            let last = self
                .entries
                .get(&id)
                .and_then(|entry| entry.last_order.as_ref());
            let attempt = last.and_then(attempt_of).unwrap_or_default();
            if self.counted_attempts.insert((id, attempt)) {
                found.push(fingerprint);
            }
        }
        found
    }

    /// Returns whether the owner considers a VM dead.
    pub fn is_dead(&self, vm: &VmName) -> bool {
        self.dead.contains(vm)
    }

    /// Returns the entry VM of a job, or `None` if the job is unknown.
    pub fn entry_vm(&self, id: JobId) -> Option<&VmName> {
        self.entries.get(&id).map(|entry| &entry.vm)
    }

    /// Returns whether the owner cannot continue a job: another owner started its earlier attempts,
    /// and no stage of it runs on an engine.
    fn is_lost(&self, request: &Registration) -> bool {
        let unknown = !self.entries.contains_key(&request.job.id);
        let ended = matches!(request.report, Some(Progress::Finished));
        unknown && !ended && request.stage.is_none() && request.attempt > Attempt::default()
    }

    /// Adds or updates the job of a registration and returns the resulting orders.
    fn register(&mut self, now: Time, from: &VmName, request: Registration) -> Vec<Action> {
        let id = request.job.id;
        let mut actions = Vec::new();
        if let Some(entry) = self.entries.get(&id) {
            let last = entry.last_order.iter();
            let newer = last.filter(|last| attempt_of(last) > Some(request.attempt));
            // The entry VM has not received the last order, so it is sent again.
            actions.extend(newer.cloned());
        } else if !matches!(request.report, Some(Progress::Finished)) {
            let entry = JobEntry {
                vm: from.clone(),
                registered_at: now,
                last_order: None,
                fingerprint: request.job.fingerprint,
            };
            self.entries.insert(id, entry);
            let mut job = request.job.clone();
            job.deadline = now + request.remaining;
            actions = match &request.stage {
                Some(stage) => self
                    .scheduler
                    .register_running(now, job, request.attempt, stage),
                None => self.scheduler.submit(now, job),
            };
        }
        if let Some(report) = request.report {
            actions.extend(self.report(now, id, request.attempt, &report));
        }
        actions
    }

    fn report(&mut self, now: Time, id: JobId, attempt: Attempt, report: &Progress) -> Vec<Action> {
        let scheduler = &mut self.scheduler;
        match report {
            Progress::PrefillDone(done) => scheduler.prefill_done(now, id, attempt, *done),
            Progress::PrefillFailed(why) => scheduler.prefill_failed(now, id, attempt, *why),
            Progress::DecodeStarted => scheduler.decode_started(now, id, attempt),
            Progress::DecodeFailed(why, count) => {
                scheduler.decode_failed(now, id, attempt, *why, *count)
            }
            Progress::Finished => {
                self.entries.remove(&id);
                scheduler.decode_finished(now, id, attempt)
            }
        }
    }

    /// Cancels the jobs of `vm` that its full registration does not contain.
    fn cancel_unregistered(
        &mut self,
        now: Time,
        vm: &VmName,
        registered: &BTreeSet<JobId>,
    ) -> Vec<Action> {
        let own = self.entries.iter().filter(|(_, entry)| entry.vm == *vm);
        let old = own.filter(|(id, e)| {
            !registered.contains(*id) && now.since(e.registered_at) > REGISTRATION_GRACE
        });
        let unregistered: Vec<JobId> = old.map(|(id, _)| *id).collect();
        unregistered
            .iter()
            .flat_map(|id| self.cancel(now, *id))
            .collect()
    }

    pub fn cancel(&mut self, now: Time, id: JobId) -> Vec<Action> {
        self.entries.remove(&id);
        self.scheduler.cancel(now, id)
    }

    /// Updates the set of dead VMs and drops their jobs.
    pub fn set_dead(&mut self, now: Time, dead: &BTreeSet<VmName>) -> Vec<Action> {
        let mut actions = Vec::new();
        for vm in dead.difference(&self.dead) {
            self.entries.retain(|_, entry| entry.vm != *vm);
            actions.extend(self.scheduler.vm_down(now, vm));
        }
        for vm in self.dead.difference(dead) {
            self.scheduler.vm_up(vm);
        }
        self.dead.clone_from(dead);
        actions
    }

    /// Updates the engines with their leaving state.
    pub fn set_engines(
        &mut self,
        now: Time,
        engines: &BTreeMap<Upstream, (Engine, bool)>,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        for name in self
            .engines
            .keys()
            .filter(|name| !engines.contains_key(*name))
        {
            actions.extend(self.scheduler.engine_down(now, name));
        }
        for (name, (engine, leaving)) in engines {
            if self.engines.get(name) == Some(leaving) {
                continue;
            }
            actions.extend(self.scheduler.engine_up(now, engine.clone()));
            if *leaving {
                actions.extend(self.scheduler.engine_draining(now, name));
            }
        }
        let states = engines
            .iter()
            .map(|(name, (_, leaving))| (name.clone(), *leaving));
        self.engines = states.collect();
        actions
    }
}

impl Simulation {
    /// Returns a cell that the VM owns.
    ///
    /// A VM that was paused does not act as owner until it trusts its membership view again.
    pub fn owned_cell(&mut self, vm: usize, service: &Service) -> Option<&mut Cell> {
        let clock = self.vms[vm].clock(self.now);
        let state = self.vms[vm].state.as_mut()?;
        let trusted = state.members.trusted(clock);
        state.cells.get_mut(service).filter(|_| trusted)
    }

    /// Calls a cell that the VM owns and sends the resulting orders.
    pub fn with_cell(
        &mut self,
        vm: usize,
        service: &Service,
        call: impl FnOnce(&mut Cell, Time) -> Vec<Action>,
    ) {
        let now = self.vms[vm].clock(self.now);
        let Some(owned) = self.owned_cell(vm, service) else {
            return;
        };
        let actions = call(owned, now);
        for action in actions {
            self.send_order(vm, service, action);
        }
    }

    /// Sends an order of the scheduler to the entry VM of its job.
    pub fn send_order(&mut self, vm: usize, service: &Service, action: Action) {
        let id = job_of(&action);
        let action = self.screen_order(vm, service, id, action);
        self.grant_lease(vm, service, id, &action);
        let Some(cell) = self.owned_cell(vm, service) else {
            return;
        };
        let Some(entry) = cell.entries.get_mut(&id) else {
            if let Action::Cancel { upstream, .. } = action {
                self.cancel_on(vm, &upstream, id, None);
            }
            return;
        };
        if attempt_of(&action).is_some() {
            entry.last_order = Some(action.clone());
        }
        let to = entry.vm.clone();
        if matches!(action, Action::Refuse { .. }) {
            cell.entries.remove(&id);
        }
        self.send_message(vm, &to, &PeerMessage::Cell(CellMessage::Order(action)));
    }

    pub fn on_cell_message(&mut self, vm: usize, from: &VmName, message: CellMessage) {
        match message {
            CellMessage::Register {
                service,
                full,
                registrations,
            } => {
                let registrations = self.reject_lost(vm, from, &service, registrations);
                let registrations = self.screen_registrations(vm, from, &service, registrations);
                self.with_cell(vm, &service, |cell, now| {
                    let registered: BTreeSet<JobId> =
                        registrations.iter().map(|i| i.job.id).collect();
                    let registrations = registrations.into_iter();
                    let mut actions: Vec<_> = registrations
                        .flat_map(|request| cell.register(now, from, request))
                        .collect();
                    if full {
                        actions.extend(cell.cancel_unregistered(now, from, &registered));
                    }
                    actions
                });
            }
            CellMessage::Cancel { service, id } => {
                self.with_cell(vm, &service, |cell, now| cell.cancel(now, id));
            }
            CellMessage::Order(action) => self.execute_order(vm, from, action),
            CellMessage::Lost(id) => {
                if self
                    .run_mut(vm, id)
                    .is_some_and(|run| run.owner.as_ref() == Some(from))
                {
                    self.restart_as_new_job(vm, id);
                }
            }
        }
    }

    /// Tells the sender which of its registered jobs are lost, and returns the other registrations.
    fn reject_lost(
        &mut self,
        vm: usize,
        from: &VmName,
        service: &Service,
        registrations: Vec<Registration>,
    ) -> Vec<Registration> {
        let cells = self.vms[vm].state.as_ref().map(|state| &state.cells);
        let Some(cell) = cells.and_then(|cells| cells.get(service)) else {
            return registrations;
        };
        let (lost, known): (Vec<_>, Vec<_>) =
            registrations.into_iter().partition(|i| cell.is_lost(i));
        for request in lost {
            let message = CellMessage::Lost(request.job.id);
            self.send_message(vm, from, &PeerMessage::Cell(message));
        }
        known
    }

    /// Records the engine crashes that the registrations report, and refuses poison requests before
    /// they start. Returns the registrations that were not refused.
    fn screen_registrations(
        &mut self,
        vm: usize,
        from: &VmName,
        service: &Service,
        registrations: Vec<Registration>,
    ) -> Vec<Registration> {
        let mut admitted = Vec::new();
        for mut request in registrations {
            if let Some(on) = &request.lost_upstream {
                self.record_crash(vm, service, on);
            }
            let (id, fingerprint) = (request.job.id, request.job.fingerprint);
            let known = self
                .owned_cell(vm, service)
                .map(|cell| cell.fingerprint(id).is_some());
            let complete = matches!(request.report, Some(Progress::Finished));
            if complete {
                self.record_end(vm, service, fingerprint, true);
            } else if known == Some(false) && request.stage.is_none() {
                match self.verdict(vm, service, fingerprint) {
                    Verdict::Run => {}
                    Verdict::Isolate | Verdict::Wait => {
                        request.job.suspect = true;
                        self.record_end(vm, service, fingerprint, false);
                    }
                    Verdict::Refuse { retry_after } => {
                        let order = Action::Refuse {
                            id,
                            reason: Reason::Poison,
                            retry_after: Some(retry_after),
                        };
                        self.send_message(vm, from, &PeerMessage::Cell(CellMessage::Order(order)));
                        continue;
                    }
                }
            }
            admitted.push(request);
        }
        admitted
    }

    /// Runs the timers of all cells that the VM owns.
    pub fn tick_cells(&mut self, vm: usize) {
        let Some(state) = &self.vms[vm].state else {
            return;
        };
        let owned_services: Vec<Service> = state.cells.keys().cloned().collect();
        for service in owned_services {
            self.with_cell(vm, &service, |cell, now| cell.scheduler.tick(now));
            self.expire_leases(vm, &service);
        }
    }

    /// Passes a load report of an engine to the scheduler of its cell.
    pub fn on_load(&mut self, vm: usize, name: &Upstream, service: &Service, held: Vec<JobId>) {
        let report = EngineReport { held, queue: 0 };
        self.with_cell(vm, service, |cell, now| {
            cell.scheduler.load_report(now, name, &report)
        });
    }

    /// Delivers a cache event of an engine to the owner of its cell.
    pub fn cache_event(&mut self, name: &Upstream, service: &Service, event: CacheEvent) {
        let delay = match self.event_mode {
            CacheEventMode::Well => Duration::from_millis(100),
            CacheEventMode::Late => Duration::from_secs(2),
            CacheEventMode::Lost => return,
        };
        let (name, service) = (name.clone(), service.clone());
        self.schedule(delay, move |sim| {
            for vm in 0..sim.vms.len() {
                if !sim
                    .net
                    .is_partitioned(sim.vms[vm].name.as_str(), name.as_str())
                {
                    let call = |cell: &mut Cell, now| cell.scheduler.cache_event(now, &name, event);
                    sim.with_cell(vm, &service, call);
                }
            }
        });
    }
}
