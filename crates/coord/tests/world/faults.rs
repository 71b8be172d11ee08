//! Random faults and changes of documents.

use std::time::Duration;

use rand::RngExt;

use super::service::Mode;
use super::{Event, World};

const DOCUMENTS: usize = 12;

impl World {
    fn random_duration(&mut self, from_ms: u64, to_ms: u64) -> Duration {
        Duration::from_millis(self.rng.random_range(from_ms..to_ms))
    }

    fn random_vm(&mut self) -> usize {
        self.rng.random_range(0..self.nodes.len())
    }

    /// Injects one or two random faults and runs for a random time. Faults may last longer than
    /// that.
    pub fn inject_faults(&mut self) {
        for _ in 0..self.rng.random_range(1..=2) {
            self.inject_fault();
        }
        if self.rng.random_bool(0.7) {
            self.change_document();
        }
        let span = self.random_duration(20, 1_500);
        self.run(span);
    }

    fn inject_fault(&mut self) {
        match self.rng.random_range(0..10) {
            0 | 1 => {
                let (vm, span) = (self.random_vm(), self.random_duration(50, 3_000));
                self.pause(vm, span);
            }
            2 | 3 => {
                let (vm, span) = (self.random_vm(), self.random_duration(0, 4_000));
                self.kill(vm);
                self.schedule(span, Event::Start(vm));
            }
            4 => {
                let sides = self.rng.random_range(1..=3);
                let vms = self.nodes.len();
                self.net.partition = (0..vms).map(|_| self.rng.random_range(0..sides)).collect();
            }
            5 => self.net.loss = self.rng.random_range(0.0..0.4),
            6 => self.net.duplication = self.rng.random_range(0.0..0.5),
            7 => self.net.late_share = self.rng.random_range(0.0..0.3),
            8 => self.service.mode = self.random_mode(),
            _ => {
                // The whole fleet reboots in one of ten such faults.
                if self.rng.random_bool(0.1) {
                    for vm in 0..self.nodes.len() {
                        let span = self.random_duration(0, 1_000);
                        self.kill(vm);
                        self.schedule(span, Event::Start(vm));
                    }
                }
            }
        }
    }

    fn random_mode(&mut self) -> Mode {
        let old = self.rng.random_range(0..=self.service.revision);
        match self.rng.random_range(0..5) {
            0 => Mode::Slow,
            1 => Mode::Down,
            2 => Mode::Stale(old),
            3 => Mode::Flapping(old),
            _ => Mode::Healthy,
        }
    }

    /// Publishes a random change: one in six is a deletion, one in six a malformed text.
    pub fn change_document(&mut self) {
        let name = format!("org-{}", self.rng.random_range(0..DOCUMENTS));
        let text = match self.rng.random_range(0..6) {
            0 => None,
            1 => Some("bad".to_owned()),
            // This text is large enough to be announced instead of pushed.
            2 => Some("large ".repeat(500)),
            _ => Some(format!("limit = {}", self.service.revision)),
        };
        self.publish(&name, text);
    }

    /// Ends all faults, starts VMs that are down and resumes paused ones.
    pub fn end_faults(&mut self) {
        self.net.partition.fill(0);
        self.net.loss = 0.0;
        self.net.duplication = 0.0;
        self.net.late_share = 0.0;
        self.service.mode = Mode::Healthy;
        for vm in 0..self.nodes.len() {
            if !self.nodes[vm].up {
                self.schedule(Duration::ZERO, Event::Start(vm));
            }
            if self.nodes[vm].paused {
                self.schedule(Duration::ZERO, Event::Resume(vm));
            }
        }
    }
}
