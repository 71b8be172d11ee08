//! The entry VM's side: which owner each of its requests is registered with.

use std::collections::BTreeMap;
use std::time::Duration;

use coord::name::VmName;
use coord::sched::{Attempt, Failure, Job, JobId, PrefillUsage, Stage};
use coord::time::Time;
use tokio::sync::mpsc;

use super::sharding::CellKey;
use super::wire::{self, Message};
use crate::serve::cell::{Order, Progress};

/// Messages to VMs, the own one included.
pub(super) type Outgoing = Vec<(VmName, Message)>;

/// Time after a registration with another owner in which a lost engine call is put down to the
/// former owner, which may have cancelled it.
const HANDOVER_WINDOW: Duration = Duration::from_secs(10);

/// Where a request is, as its entry VM knows it.
enum RequestState {
    /// Not on any engine.
    Waiting,
    /// On engines, with the attempt that the request was told.
    Running {
        attempt: Attempt,
        stage: Stage,
        done: Option<PrefillUsage>,
    },
}

struct TrackedRequest {
    job: Job,
    cell: CellKey,
    orders: mpsc::UnboundedSender<Order>,
    owner: Option<VmName>,
    epoch: u32,
    /// What is added to the owner's attempts, so that they go on increasing after a new
    /// submission: engines remember the ids of cancelled attempts.
    attempt_base: u32,
    /// The highest attempt that the request was told.
    last_attempt: u32,
    state: RequestState,
    /// When the running request was last registered with another owner.
    moved_at: Option<Time>,
}

/// The running requests of this VM.
#[derive(Default)]
pub(super) struct Entry {
    jobs: BTreeMap<JobId, TrackedRequest>,
    lease_tokens: BTreeMap<VmName, u64>,
}

impl Entry {
    /// Accepts a request; it is registered by the next call of [`Self::assign_owner`].
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
            moved_at: None,
        };
        self.jobs.insert(id, tracked);
        id
    }

    /// Registers all requests whose owner is not the one that `owner_of` names.
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

    /// Registers one request.
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

    /// Takes requests out of cells for which `moved` names another one.
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

    /// Notes what an owner answered; registers again what it has dropped.
    ///
    /// `again` tells that an earlier try of the answered batch had no answer: the owner may have
    /// taken it and dropped it since, even if this is the first answer at all.
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

    /// Returns true if requests are registered with `owner`, so that the lease is to be renewed.
    pub(super) fn has_requests_at(&self, owner: &VmName) -> bool {
        let mut owners = self.jobs.values().filter_map(|t| t.owner.as_ref());
        owners.any(|name| name == owner)
    }

    /// Returns the number of requests of each owner.
    pub(super) fn requests_by_owner(&self) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        for tracked in self.jobs.values() {
            let owner = tracked.owner.as_ref().map_or("none", VmName::as_str);
            *counts.entry(owner.to_owned()).or_insert(0) += 1;
        }
        counts
    }

    /// Passes on a request's report.
    ///
    /// A call that the former owner has cancelled is not the engine's failure. The request is
    /// submitted again, because a report would close the engine and spend the retry budget: a
    /// partition cuts many streams at once.
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

    /// Passes on an owner's order, unless the request is registered elsewhere by now.
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
        // A request that is gone has reported its end by itself.
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

    /// Tells the owner about the request in its present state.
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
            done,
        } = &self.state
        else {
            self.attempt_base = self.last_attempt;
            out.push((owner, Message::Submit { cell, epoch, job }));
            return;
        };
        self.attempt_base = 0;
        self.moved_at = Some(now);
        let (attempt, stage, done) = (*attempt, stage.clone(), *done);
        let message = Message::Register {
            cell,
            epoch,
            job,
            attempt,
            stage,
        };
        out.push((owner, message));
        if let Some(done) = done {
            self.send_report(attempt, Progress::PrefillDone(done), out);
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

    /// Returns true if an engine call was probably cancelled by the former owner.
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
        let moved = self.moved_at.take();
        moved.is_some_and(|at| now.since(at) < HANDOVER_WINDOW)
    }

    /// Keeps what a new owner would have to know.
    fn record_progress(&mut self, reported: Attempt, progress: Progress) {
        let RequestState::Running {
            attempt,
            stage,
            done,
        } = &mut self.state
        else {
            return;
        };
        if *attempt != reported {
            return;
        }
        match progress {
            Progress::PrefillDone(prefilled) => *done = Some(prefilled),
            Progress::DecodeFailed {
                failure: Failure::Full,
                ..
            } if done.is_some() => {
                // The result waits on its prefill engine for another slot.
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

    /// Returns the order in the request's own count of attempts; `None` if it is outdated.
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
                let done = match &self.state {
                    RequestState::Running { done, .. } => *done,
                    RequestState::Waiting => None,
                };
                let stage = Stage::Decode {
                    source: source.clone(),
                    decode: decode.clone(),
                };
                self.state = running(attempt, stage, done);
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

fn running(attempt: Attempt, stage: Stage, done: Option<PrefillUsage>) -> RequestState {
    RequestState::Running {
        attempt,
        stage,
        done,
    }
}
