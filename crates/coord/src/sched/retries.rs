//! Retries within the service's budget.

use std::time::Duration;

use super::Scheduler;
use super::job::Phase;
use super::types::{Action, Class, JobId, Reason};
use crate::time::Time;

/// After this time, a caller that was refused for the budget may try again.
const BUDGET_PAUSE: Duration = Duration::from_secs(1);

impl Scheduler {
    /// Plans a retry if the budget has credit.
    ///
    /// A caller that has received a part of its answer gets the rest, with or without credit:
    /// the streams of a lost engine are no more than its slots. Any other interactive caller
    /// without credit is refused at once. A patient job is never lost to
    /// the budget: it waits for credit until its deadline, and credit goes to those that wait
    /// first, in their order.
    pub(super) fn retry(&mut self, now: Time, id: JobId) -> Vec<Action> {
        let Some(entry) = self.jobs.get(&id) else {
            return Vec::new();
        };
        let (class, resumed) = (entry.job.class, entry.resumed());
        if resumed {
            self.budget.force_spend(now);
            self.plan_retry(now, id);
            return Vec::new();
        }
        if self.unpaid.is_empty() && self.budget.try_spend(now) {
            self.plan_retry(now, id);
            return Vec::new();
        }
        if class == Class::Interactive {
            self.forget(now, id);
            return vec![self.refusal(id, Reason::RetryBudget, Some(BUDGET_PAUSE))];
        }
        if let Some(entry) = self.jobs.get_mut(&id) {
            entry.phase = Phase::Unpaid;
        }
        self.unpaid.push_back(id);
        Vec::new()
    }

    /// Puts a paid retry off by its backoff.
    fn plan_retry(&mut self, now: Time, id: JobId) {
        let Some(entry) = self.jobs.get_mut(&id) else {
            return;
        };
        let until = now + self.backoff.delay(entry.retries, &mut self.rng);
        entry.retries += 1;
        entry.phase = Phase::Backoff { until };
        self.retries += 1;
        self.backoffs.insert((until, id));
    }

    /// Pays for waiting retries and returns jobs to their queue whose backoff is over.
    pub(super) fn requeue_due(&mut self, now: Time) {
        while !self.unpaid.is_empty() && self.budget.try_spend(now) {
            if let Some(id) = self.unpaid.pop_front() {
                self.plan_retry(now, id);
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

    /// Takes a job that holds nothing out of its queue or its backoff.
    pub(super) fn withdraw(&mut self, id: JobId) {
        match self.jobs.get(&id).map(|e| e.phase) {
            Some(Phase::Waiting) => self.dequeue(id, None),
            Some(Phase::Backoff { until }) => {
                self.backoffs.remove(&(until, id));
            }
            Some(Phase::Unpaid) => self.unpaid.retain(|other| *other != id),
            _ => {}
        }
    }
}
