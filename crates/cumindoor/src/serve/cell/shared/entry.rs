//! The requests of an entry VM, and the owner with which each of them is registered.

use std::collections::BTreeMap;
use std::time::Duration;

use coord::name::VmName;
use coord::sched::{Attempt, Failure, Job, JobId, PrefillUsage, Stage};
use coord::time::Time;
use tokio::sync::mpsc;

use super::sharding::CellKey;
use super::wire::{self, Message};
use crate::serve::cell::{Order, Progress};

/// Messages to send, with their receivers. The receiver may be this VM.
pub(super) type Outgoing = Vec<(VmName, Message)>;

/// Time after a registration with another owner during which a lost engine call is attributed to
/// a cancel by the former owner.
const HANDOVER_WINDOW: Duration = Duration::from_secs(10);

/// The state of a request, as its entry VM knows it.
enum RequestState {
    /// No engine works on the request.
    Waiting,
    /// Engines work on the request in the last attempt that it was ordered to make.
    Running {
        attempt: Attempt,
        stage: Stage,
        prefill_usage: Option<PrefillUsage>,
    },
}

struct TrackedRequest {
    job: Job,
    cell: CellKey,
    orders: mpsc::UnboundedSender<Order>,
    owner: Option<VmName>,
    epoch: u32,
    /// Added to the attempt numbers of the owner, which start again after a new submission. The
    /// request needs increasing numbers, because engines remember the ids of cancelled attempts.
    attempt_base: u32,
    /// The highest attempt number that the request was ordered to make.
    last_attempt: u32,
    state: RequestState,
    /// When the request was last registered while engines worked on it.
    registered_running_at: Option<Time>,
}

/// The requests whose caller is connected to this VM.
#[derive(Default)]
pub(super) struct EntryState {
    jobs: BTreeMap<JobId, TrackedRequest>,
    lease_tokens: BTreeMap<VmName, u64>,
}

impl EntryState {
    /// Adds a request without an owner. [`Self::assign_owner`] registers it with one.
    pub(super) fn add(
        &mut self,
        job: Job,
        cell: CellKey,
        orders: mpsc::UnboundedSender<Order>,
    ) -> JobId {
        let id = job.id;
        let tracked = TrackedRequest {
            job,
            cell,
            orders,
            owner: None,
            epoch: 0,
            attempt_base: 0,
            last_attempt: 0,
            state: RequestState::Waiting,
            registered_running_at: None,
        };
        self.jobs.insert(id, tracked);
        id
    }

    /// Moves every request to the owner of its cell; `owner_of` returns `None` if no owner is
    /// known.
    pub(super) fn assign_owners(
        &mut self,
        now: Time,
        owner_of: impl Fn(&CellKey) -> Option<VmName>,
        out: &mut Outgoing,
    ) {
        for tracked in self.jobs.values_mut() {
            let owner = owner_of(&tracked.cell);
            if tracked.owner != owner {
                tracked.move_to_owner(now, owner, out);
            }
        }
    }

    /// Moves one request to `owner`.
    pub(super) fn assign_owner(
        &mut self,
        now: Time,
        id: JobId,
        owner: Option<VmName>,
        out: &mut Outgoing,
    ) {
        if let Some(tracked) = self.jobs.get_mut(&id) {
            tracked.move_to_owner(now, owner, out);
        }
    }

    /// Releases each request for which `moved` returns another cell and assigns it to that cell.
    pub(super) fn reassign_cells(
        &mut self,
        moved: impl Fn(&Job, &CellKey) -> Option<CellKey>,
        out: &mut Outgoing,
    ) {
        for tracked in self.jobs.values_mut() {
            if let Some(cell) = moved(&tracked.job, &tracked.cell) {
                tracked.release(out);
                tracked.cell = cell;
            }
        }
    }

    /// Handles the lease token in an owner's answer. A changed token means that the owner dropped
    /// the requests of this VM, so they are registered again.
    ///
    /// `retried` is true if an earlier try of the answered batch had no answer. The owner may have
    /// accepted that try and dropped the requests since, even if no token is known yet.
    pub(super) fn token_received(
        &mut self,
        now: Time,
        owner: &VmName,
        (token, retried): (u64, bool),
        out: &mut Outgoing,
    ) {
        let known = self.lease_tokens.insert(owner.clone(), token);
        if known.map_or(!retried, |known| known == token) {
            return;
        }
        let requests = self.jobs.values_mut();
        for tracked in requests.filter(|t| t.owner.as_ref() == Some(owner)) {
            tracked.register(now, out);
        }
    }

    /// Returns true if requests are registered with `owner`, which requires a lease there.
    pub(super) fn needs_lease(&self, owner: &VmName) -> bool {
        let mut owners = self.jobs.values().filter_map(|t| t.owner.as_ref());
        owners.any(|name| name == owner)
    }

    /// Returns the number of requests registered with each owner.
    pub(super) fn requests_by_owner(&self) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        for tracked in self.jobs.values() {
            let owner = tracked.owner.as_ref().map_or("none", VmName::as_str);
            *counts.entry(owner.to_owned()).or_insert(0) += 1;
        }
        counts
    }

    /// Sends a request's progress report to its owner.
    ///
    /// A call that the former owner cancelled is not a failure of the engine. Such a request is
    /// submitted again without a report: the report would make the scheduler pause the engine and
    /// spend the retry budget, and a network partition interrupts many streams at once.
    pub(super) fn report(
        &mut self,
        now: Time,
        (id, attempt): (JobId, Attempt),
        progress: Progress,
        out: &mut Outgoing,
    ) {
        let Some(tracked) = self.jobs.get_mut(&id) else {
            return;
        };
        let handover_loss = tracked.is_handover_loss(now, attempt, progress);
        tracked.record_progress(attempt, progress);
        if handover_loss {
            let owner = tracked.owner.clone();
            tracked.move_to_owner(now, owner, out);
            return;
        }
        tracked.send_report(attempt, progress, out);
        if matches!(progress, Progress::Finished | Progress::Cancelled) {
            self.jobs.remove(&id);
        }
    }

    /// Passes an owner's order to the request, unless the order belongs to an earlier registration.
    pub(super) fn order(&mut self, from: &VmName, id: JobId, epoch: u32, order: wire::Order) {
        let Some(tracked) = self.jobs.get_mut(&id) else {
            return;
        };
        if tracked.epoch != epoch || tracked.owner.as_ref() != Some(from) {
            return;
        }
        let Some(order) = tracked.accept_order(order) else {
            return;
        };
        let refused = matches!(order, Order::Refuse { .. });
        // Sending fails if the request's task has ended. The task reports this itself.
        let _ = tracked.orders.send(order);
        if refused {
            self.jobs.remove(&id);
        }
    }
}

impl TrackedRequest {
    fn move_to_owner(&mut self, now: Time, owner: Option<VmName>, out: &mut Outgoing) {
        self.release(out);
        self.owner = owner;
        self.register(now, out);
    }

    fn release(&mut self, out: &mut Outgoing) {
        if let Some(former) = self.owner.take() {
            let (cell, id) = (self.cell.clone(), self.job.id);
            out.push((former, Message::Release { cell, id }));
        }
    }

    /// Sends the request to its owner: as a submission if it waits, as a registration with its
    /// attempt and stage if engines work on it.
    fn register(&mut self, now: Time, out: &mut Outgoing) {
        let Some(owner) = self.owner.clone() else {
            return;
        };
        self.epoch += 1;
        let (cell, epoch) = (self.cell.clone(), self.epoch);
        let job = wire::Job::new(now, &self.job);
        let RequestState::Running {
            attempt,
            stage,
            prefill_usage,
        } = &self.state
        else {
            self.attempt_base = self.last_attempt;
            out.push((owner, Message::Submit { cell, epoch, job }));
            return;
        };
        self.attempt_base = 0;
        self.registered_running_at = Some(now);
        let (attempt, stage, prefill_usage) = (*attempt, stage.clone(), *prefill_usage);
        let message = Message::Register {
            cell,
            epoch,
            job,
            attempt,
            stage,
        };
        out.push((owner, message));
        if let Some(prefill_usage) = prefill_usage {
            self.send_report(attempt, Progress::PrefillDone(prefill_usage), out);
        }
    }

    fn send_report(&self, attempt: Attempt, progress: Progress, out: &mut Outgoing) {
        let Some(owner) = self.owner.clone() else {
            return;
        };
        let message = Message::Report {
            cell: self.cell.clone(),
            epoch: self.epoch,
            id: self.job.id,
            attempt: Attempt(attempt.0.saturating_sub(self.attempt_base)),
            progress: progress.into(),
        };
        out.push((owner, message));
    }

    /// Returns true if a lost engine call was probably cancelled by the former owner. Once-only
    /// requests are excluded, because they must not be submitted again.
    fn is_handover_loss(&mut self, now: Time, reported: Attempt, progress: Progress) -> bool {
        let lost = matches!(
            progress,
            Progress::PrefillFailed(Failure::Lost)
                | Progress::DecodeFailed {
                    failure: Failure::Lost,
                    ..
                }
        );
        let current =
            matches!(self.state, RequestState::Running { attempt, .. } if attempt == reported);
        if !lost || !current || self.job.once {
            return false;
        }
        let moved = self.registered_running_at.take();
        moved.is_some_and(|at| now.since(at) < HANDOVER_WINDOW)
    }

    /// Updates the state that a later registration with a new owner needs.
    fn record_progress(&mut self, reported: Attempt, progress: Progress) {
        let RequestState::Running {
            attempt,
            stage,
            prefill_usage,
        } = &mut self.state
        else {
            return;
        };
        if *attempt != reported {
            return;
        }
        match progress {
            Progress::PrefillDone(prefilled) => *prefill_usage = Some(prefilled),
            Progress::DecodeFailed {
                failure: Failure::Full,
                ..
            } if prefill_usage.is_some() => {
                // The KV cache stays on its prefill engine until a decode slot is available.
                if let Stage::Decode { source, decode } = stage {
                    let (prefill, decode) = (source.clone(), decode.clone());
                    *stage = Stage::Prefill { prefill, decode };
                }
            }
            Progress::PrefillFailed(_) => self.state = RequestState::Waiting,
            Progress::DecodeFailed { delivered, .. } => {
                self.state = RequestState::Waiting;
                let job = &mut self.job;
                job.offset += delivered;
                job.prompt_tokens += delivered;
                job.max_tokens = job.max_tokens.saturating_sub(delivered);
            }
            Progress::DecodeStarted | Progress::Finished | Progress::Cancelled => {}
        }
    }

    /// Returns the order with the request's own attempt number, or `None` if it is outdated.
    fn accept_order(&mut self, order: wire::Order) -> Option<Order> {
        match order {
            wire::Order::Prefill {
                attempt,
                prefill,
                decode,
            } => {
                let attempt = self.next_attempt(attempt)?;
                let stage = Stage::Prefill {
                    prefill: prefill.clone(),
                    decode: decode.clone(),
                };
                self.state = running(attempt, stage, None);
                Some(Order::Prefill {
                    attempt,
                    prefill,
                    decode,
                })
            }
            wire::Order::Decode {
                attempt,
                decode,
                source,
            } => {
                let attempt = self.next_attempt(attempt)?;
                let prefill_usage = match &self.state {
                    RequestState::Running { prefill_usage, .. } => *prefill_usage,
                    RequestState::Waiting => None,
                };
                let stage = Stage::Decode {
                    source: source.clone(),
                    decode: decode.clone(),
                };
                self.state = running(attempt, stage, prefill_usage);
                Some(Order::Decode {
                    attempt,
                    decode,
                    source,
                })
            }
            wire::Order::Refuse {
                reason,
                retry_after,
            } => Some(Order::Refuse {
                reason,
                retry_after,
            }),
            wire::Order::Cancel { upstream } => Some(Order::Cancel { upstream }),
        }
    }

    fn next_attempt(&mut self, attempt: Attempt) -> Option<Attempt> {
        let attempt = attempt.0 + self.attempt_base;
        if attempt <= self.last_attempt {
            return None;
        }
        self.last_attempt = attempt;
        Some(Attempt(attempt))
    }
}

fn running(attempt: Attempt, stage: Stage, prefill_usage: Option<PrefillUsage>) -> RequestState {
    RequestState::Running {
        attempt,
        stage,
        prefill_usage,
    }
}
