//! Reads from the configuration service.

use std::time::Duration;

use super::ConfigReplica;
use super::types::{Action, Options};
use crate::time::Time;

/// The schedule of this VM's reads, of which at most one is in progress.
#[derive(Debug, Default)]
pub(super) struct Reader {
    pub(super) watching: bool,
    started_at: Option<Time>,
    last_start: Time,
    next_start: Time,
    failures: u32,
}

impl Reader {
    pub(super) fn record_success(&mut self, now: Time, options: &Options) {
        self.started_at = None;
        self.failures = 0;
        self.next_start = now.max(self.last_start + options.read_interval);
    }

    pub(super) fn record_failure(&mut self, now: Time, options: &Options) {
        self.started_at = None;
        self.failures = (self.failures + 1).min(8);
        let backoff = options.read_interval * 2_u32.pow(self.failures - 1);
        self.next_start = now + backoff.min(options.max_backoff);
    }

    fn is_overdue(&self, now: Time, timeout: Duration) -> bool {
        self.started_at
            .is_some_and(|started| now.since(started) > timeout)
    }
}

impl ConfigReplica {
    pub(super) fn start_read(&mut self, now: Time, out: &mut Vec<Action>) {
        let timeout = self.options.read_wait + self.options.read_grace;
        if self.reader.is_overdue(now, timeout) {
            self.reader.record_failure(now, &self.options);
        }
        let idle = self.reader.started_at.is_none() && now >= self.reader.next_start;
        // A booting VM gets its documents from peers as long as a peer has documents that it lacks.
        if !idle || !self.reader.watching || !self.may_read() {
            return;
        }
        self.reader.started_at = Some(now);
        self.reader.last_start = now;
        out.push(Action::Read {
            since: self.cursor,
            wait: self.options.read_wait,
        });
    }
}
