//! The messages between entry VMs and the owners of cells, and the periodic registration.

use std::time::Duration;

use coord::name::{Service, Upstream, VmName};
use coord::sched::{Action, Attempt, Failure, Job, JobId, PrefillUsage, Stage};

use crate::ast::ServiceKind;
use crate::request::Phase;
use crate::simulation::Simulation;
use crate::vm::PeerMessage;

/// The time between two full registrations of the requests that a VM runs.
const REGISTRATION_INTERVAL: Duration = Duration::from_millis(500);

/// The result of a step of a request, as its entry VM reports it.
#[derive(Clone, Debug)]
pub enum Progress {
    PrefillDone(PrefillUsage),
    PrefillFailed(Failure),
    DecodeStarted,
    DecodeFailed(Failure, u32),
    Finished,
}

/// The state of a request that its entry VM registers with the owner of the cell.
#[derive(Clone)]
pub struct Registration {
    pub job: Job,
    /// The time until the deadline. Instants are not sent because the clocks of VMs differ.
    pub remaining: Duration,
    /// The highest attempt whose order the entry VM has executed.
    pub attempt: Attempt,
    /// The stage that runs on engines, if any.
    pub stage: Option<Stage>,
    pub report: Option<Progress>,
    /// The upstream whose connection broke during the attempt.
    pub lost_upstream: Option<Upstream>,
}

/// A message between an entry VM and the owner of a cell.
#[derive(Clone)]
pub enum CellMessage {
    /// Registers requests; `full` if these are all requests of the service at the sender.
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
    /// The owner does not know the job and cannot continue it.
    Lost(JobId),
}

impl Simulation {
    /// Registers one request with the owner of its cell.
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

    /// Registers all requests that the VM runs when that is due, and fails steps that timed out.
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

    /// Returns the model services, each of which has a cell.
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

    /// Cancels a job at `owner`, in whichever cell it is.
    pub fn cancel_in_cell(&mut self, vm: usize, owner: &VmName, id: JobId) {
        for service in self.model_services() {
            let message = CellMessage::Cancel { service, id };
            self.send_message(vm, owner, &PeerMessage::Cell(message));
        }
    }
}
