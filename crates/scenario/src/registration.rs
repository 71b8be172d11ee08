//! What an entry VM tells the owners of cells.

use std::time::Duration;

use coord::name::{Service, Upstream, VmName};
use coord::sched::{Action, Attempt, Failure, Job, JobId, PrefillUsage, Stage};

use crate::ast::ServiceKind;
use crate::request::Phase;
use crate::simulation::Simulation;
use crate::vm::PeerMessage;

/// The time between two registrations of the running requests.
const REGISTRATION_INTERVAL: Duration = Duration::from_millis(500);

/// What an entry VM reports of an engine call.
#[derive(Clone, Debug)]
pub enum Progress {
    PrefillDone(PrefillUsage),
    PrefillFailed(Failure),
    DecodeStarted,
    DecodeFailed(Failure, u32),
    Finished,
}

/// A request as its entry VM describes it.
#[derive(Clone)]
pub struct Registration {
    pub job: Job,
    /// The time left until the deadline: instants do not cross between clocks.
    pub remaining: Duration,
    /// The highest attempt whose order was obeyed.
    pub attempt: Attempt,
    /// What runs on engines.
    pub stage: Option<Stage>,
    pub report: Option<Progress>,
    /// The upstream whose connection broke under the attempt.
    pub lost_upstream: Option<Upstream>,
}

/// A message between an entry VM and the owner of a cell.
#[derive(Clone)]
pub enum CellMessage {
    /// What the sender runs; `full` if it is all of this service.
    Register {
        service: Service,
        full: bool,
        registrations: Vec<Registration>,
    },
    Cancel {
        service: Service,
        id: JobId,
    },
    Order(Action),
    /// The sender does not know the job and cannot go on with it.
    Lost(JobId),
}

impl Simulation {
    /// Tells the owner of the cell what a request does.
    pub fn register_run(&mut self, vm: usize, id: JobId) {
        let Some(service) = self.run_mut(vm, id).map(|run| run.service.clone()) else {
            return;
        };
        let Some(owner) = self.vms[vm].owner(&service) else {
            return;
        };
        if let Some(registration) = self.registration(vm, id, &owner) {
            let registrations = vec![registration];
            let message = CellMessage::Register {
                service,
                full: false,
                registrations,
            };
            self.send_message(vm, &owner, &PeerMessage::Cell(message));
        }
    }

    fn registration(&mut self, vm: usize, id: JobId, owner: &VmName) -> Option<Registration> {
        let clock = self.vms[vm].clock(self.now);
        let run = self.run_mut(vm, id)?;
        if matches!(
            run.phase,
            Phase::Plain(_) | Phase::Attached(..) | Phase::Claim(None)
        ) {
            return None;
        }
        run.owner = Some(owner.clone());
        Some(Registration {
            job: run.job.clone(),
            remaining: run.job.deadline.since(clock),
            attempt: run.attempt,
            stage: run.stage.clone(),
            report: run.report.clone(),
            lost_upstream: run.lost_upstream.clone(),
        })
    }

    /// Registers everything that the VM runs, and ends steps that took too long.
    pub fn tick_runs(&mut self, vm: usize) {
        let clock = self.vms[vm].clock(self.now);
        let Some(state) = &mut self.vms[vm].state else {
            return;
        };
        let due = clock >= state.next_registration;
        let ids: Vec<JobId> = state.runs.keys().copied().collect();
        if due {
            state.next_registration = clock + REGISTRATION_INTERVAL;
            self.register_all(vm, &ids);
        }
        for id in ids {
            self.check_limits(vm, id);
            if due {
                self.request_answer(vm, id);
            }
        }
    }

    /// Returns the services that have cells.
    pub fn model_services(&self) -> Vec<Service> {
        let defs = self.scenario.services.iter();
        let models = defs.filter(|def| matches!(def.kind, ServiceKind::Model { .. }));
        models.map(|def| def.name.as_str().into()).collect()
    }

    fn register_all(&mut self, vm: usize, ids: &[JobId]) {
        for service in self.model_services() {
            let Some(owner) = self.vms[vm].owner(&service) else {
                continue;
            };
            let mut registrations = Vec::new();
            for id in ids {
                if self
                    .run_mut(vm, *id)
                    .is_some_and(|run| run.service == service)
                {
                    registrations.extend(self.registration(vm, *id, &owner));
                }
            }
            let message = CellMessage::Register {
                service,
                full: true,
                registrations,
            };
            self.send_message(vm, &owner, &PeerMessage::Cell(message));
        }
    }

    /// Tells a cell that a job is over.
    pub fn cancel_in_cell(&mut self, vm: usize, owner: &VmName, id: JobId) {
        for service in self.model_services() {
            let message = CellMessage::Cancel { service, id };
            self.send_message(vm, owner, &PeerMessage::Cell(message));
        }
    }
}
