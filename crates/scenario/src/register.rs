//! What an entry VM tells the owners of cells.

use std::time::Duration;

use coord::name::{Service, Upstream, VmName};
use coord::sched::{Action, Attempt, Failure, Job, JobId, PrefillUsage, Stage};

use crate::ast::Kind;
use crate::request::Phase;
use crate::vm::Letter;
use crate::world::World;

/// The time between two registrations of the running requests.
const ASK: Duration = Duration::from_millis(500);

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
pub struct Item {
    pub job: Job,
    /// The time left until the deadline: instants do not cross between clocks.
    pub left: Duration,
    /// The highest attempt whose order was obeyed.
    pub attempt: Attempt,
    /// What runs on engines.
    pub stage: Option<Stage>,
    pub report: Option<Progress>,
    /// The upstream whose connection broke under the attempt.
    pub broken: Option<Upstream>,
}

/// A message between an entry VM and the owner of a cell.
#[derive(Clone)]
pub enum CellMessage {
    /// What the sender runs; `full` if it is all of this service.
    Ask {
        service: Service,
        full: bool,
        items: Vec<Item>,
    },
    Cancel {
        service: Service,
        id: JobId,
    },
    Order(Action),
    /// The sender does not know the job and cannot go on with it.
    Lost(JobId),
}

impl World {
    /// Tells the owner of the cell what a request does.
    pub fn ask(&mut self, vm: usize, id: JobId) {
        let Some(service) = self.run(vm, id).map(|run| run.service.clone()) else {
            return;
        };
        let Some(owner) = self.vms[vm].owner(&service) else {
            return;
        };
        if let Some(item) = self.item(vm, id, &owner) {
            let items = vec![item];
            let message = CellMessage::Ask {
                service,
                full: false,
                items,
            };
            self.post(vm, &owner, &Letter::Cell(message));
        }
    }

    fn item(&mut self, vm: usize, id: JobId, owner: &VmName) -> Option<Item> {
        let clock = self.vms[vm].clock(self.now);
        let run = self.run(vm, id)?;
        if matches!(
            run.phase,
            Phase::Plain(_) | Phase::Attached(..) | Phase::Claim(None)
        ) {
            return None;
        }
        run.owner = Some(owner.clone());
        Some(Item {
            job: run.job.clone(),
            left: run.job.deadline.since(clock),
            attempt: run.attempt,
            stage: run.stage.clone(),
            report: run.report.clone(),
            broken: run.broken.clone(),
        })
    }

    /// Registers everything that the VM runs, and ends steps that took too long.
    pub fn tick_runs(&mut self, vm: usize) {
        let clock = self.vms[vm].clock(self.now);
        let Some(state) = &mut self.vms[vm].state else {
            return;
        };
        let due = clock >= state.next_ask;
        let ids: Vec<JobId> = state.runs.keys().copied().collect();
        if due {
            state.next_ask = clock + ASK;
            self.ask_all(vm, &ids);
        }
        for id in ids {
            self.check_limits(vm, id);
            if due {
                self.ask_holder(vm, id);
            }
        }
    }

    /// Returns the services that have cells.
    pub fn model_services(&self) -> Vec<Service> {
        let defs = self.scenario.services.iter();
        let models = defs.filter(|def| matches!(def.kind, Kind::Model { .. }));
        models.map(|def| def.name.as_str().into()).collect()
    }

    fn ask_all(&mut self, vm: usize, ids: &[JobId]) {
        for service in self.model_services() {
            let Some(owner) = self.vms[vm].owner(&service) else {
                continue;
            };
            let mut items = Vec::new();
            for id in ids {
                if self.run(vm, *id).is_some_and(|run| run.service == service) {
                    items.extend(self.item(vm, *id, &owner));
                }
            }
            let message = CellMessage::Ask {
                service,
                full: true,
                items,
            };
            self.post(vm, &owner, &Letter::Cell(message));
        }
    }

    /// Tells a cell that a job is over.
    pub fn leave_cell(&mut self, vm: usize, owner: &VmName, id: JobId) {
        for service in self.model_services() {
            let message = CellMessage::Cancel { service, id };
            self.post(vm, owner, &Letter::Cell(message));
        }
    }
}
