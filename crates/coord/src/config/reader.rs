//! Reads from the configuration service.

use std::time::Duration;

use super::ConfigReplica;
use super::types::{Action, Options};
use crate::time::Time;

/// The state of this VM's reads; at most one is under way.
#[derive(Debug, Default)]
pub(super) struct Reader {
    pub(super) watching: bool,
    started: Option<Time>,
    last: Time,
    next: Time,
    failures: u32,
}

impl Reader {
    pub(super) fn answered(&mut self, now: Time, options: &Options) {
        self.started = None;
        self.failures = 0;
        self.next = now.max(self.last + options.read_interval);
    }

    pub(super) fn failed(&mut self, now: Time, options: &Options) {
        self.started = None;
        self.failures = (self.failures + 1).min(8);
        let backoff = options.read_interval * 2_u32.pow(self.failures - 1);
        self.next = now + backoff.min(options.max_backoff);
    }

    fn overdue(&self, now: Time, limit: Duration) -> bool {
        self.started
            .is_some_and(|started| now.since(started) > limit)
    }
}

impl ConfigReplica {
    pub(super) fn read(&mut self, now: Time, out: &mut Vec<Action>) {
        let limit = self.options.read_wait + self.options.read_grace;
        if self.reader.overdue(now, limit) {
            self.reader.failed(now, &self.options);
        }
        let idle = self.reader.started.is_none() && now >= self.reader.next;
        // A booting VM gets its documents from peers as long as any has them.
        if !idle || !self.reader.watching || !self.may_read() {
            return;
        }
        self.reader.started = Some(now);
        self.reader.last = now;
        out.push(Action::Read {
            since: self.cursor,
            wait: self.options.read_wait,
        });
    }
}
