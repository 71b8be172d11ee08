//! Retries of failed jobs within the retry budget of the service.

use std::time::Duration;

use super::Scheduler;
use super::job::Phase;
use super::types::{Action, Class, JobId, Reason};
use crate::time::Time;

/// Time after which a caller may retry a request that was refused because of the retry budget.
const BUDGET_RETRY_AFTER: Duration = Duration::from_secs(1);

impl Scheduler {
    /// Schedules a retry if the budget has credit.
    ///
    /// A stream that has delivered output is always resumed, even without credit. This is limited,
    /// because the streams of a lost engine are at most its slots. Other interactive jobs are
    /// refused at once if there is no credit. Patient jobs are not refused because of the budget:
    /// they wait for credit until their deadline, and those that have waited longest get it
    /// first.
    pub(super) fn retry(&mut self, now: Time, id: JobId) -> Vec<Action> {
        let Some(entry) = self.jobs.get(&id) else {
            return Vec::new();
        };
        let (class, resumed) = (entry.job.class, entry.resumed());
        if resumed {
            self.budget.force_spend(now);
            self.schedule_retry(now, id);
            return Vec::new();
        }
        if self.awaiting_budget.is_empty() && self.budget.try_spend(now) {
            self.schedule_retry(now, id);
            return Vec::new();
        }
        if class == Class::Interactive {
            self.remove_job(now, id);
            return vec![self.refusal(id, Reason::RetryBudget, Some(BUDGET_RETRY_AFTER))];
        }
        if let Some(entry) = self.jobs.get_mut(&id) {
            entry.phase = Phase::AwaitingBudget;
        }
        self.awaiting_budget.push_back(id);
        Vec::new()
    }

    /// Schedules a retry after its backoff.
    fn schedule_retry(&mut self, now: Time, id: JobId) {
        let Some(entry) = self.jobs.get_mut(&id) else {
            return;
        };
        let until = now + self.backoff.delay(entry.retries, &mut self.rng);
        entry.retries += 1;
        entry.phase = Phase::Backoff { until };
        self.retries += 1;
        self.backoffs.insert((until, id));
    }

    /// Schedules retries that waited for credit, and returns jobs whose backoff is over to their
    /// queue.
    pub(super) fn requeue_due(&mut self, now: Time) {
        while !self.awaiting_budget.is_empty() && self.budget.try_spend(now) {
            if let Some(id) = self.awaiting_budget.pop_front() {
                self.schedule_retry(now, id);
            }
        }
        while let Some((until, id)) = self.backoffs.first().copied() {
            if until > now {
                return;
            }
            self.backoffs.pop_first();
            self.enqueue(id);
        }
    }

    /// Removes a job that holds no engine from its queue, its backoff or the wait for credit.
    pub(super) fn remove_from_queues(&mut self, id: JobId) {
        match self.jobs.get(&id).map(|e| e.phase) {
            Some(Phase::Waiting) => self.dequeue(id, None),
            Some(Phase::Backoff { until }) => {
                self.backoffs.remove(&(until, id));
            }
            Some(Phase::AwaitingBudget) => self.awaiting_budget.retain(|other| *other != id),
            _ => {}
        }
    }
}
