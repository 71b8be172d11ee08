//! Random faults, alone, in pairs and repeated.

use std::time::Duration;

use rand::RngExt;

use super::service::Mode;
use super::{Event, World};

const DOCUMENTS: usize = 12;

impl World {
    fn span(&mut self, from_ms: u64, to_ms: u64) -> Duration {
        Duration::from_millis(self.rng.random_range(from_ms..to_ms))
    }

    fn any(&mut self) -> usize {
        self.rng.random_range(0..self.nodes.len())
    }

    /// Starts one or two random faults and lets time pass; some end, others go on.
    pub fn disturb(&mut self) {
        for _ in 0..self.rng.random_range(1..=2) {
            self.fault();
        }
        if self.rng.random_bool(0.7) {
            self.change();
        }
        let span = self.span(20, 1_500);
        self.run(span);
    }

    fn fault(&mut self) {
        match self.rng.random_range(0..10) {
            0 | 1 => {
                let (vm, span) = (self.any(), self.span(50, 3_000));
                self.pause(vm, span);
            }
            2 | 3 => {
                let (vm, span) = (self.any(), self.span(0, 4_000));
                self.kill(vm);
                self.schedule(span, Event::Start(vm));
            }
            4 => {
                let sides = self.rng.random_range(1..=3);
                let vms = self.nodes.len();
                self.net.side = (0..vms).map(|_| self.rng.random_range(0..sides)).collect();
            }
            5 => self.net.loss = self.rng.random_range(0.0..0.4),
            6 => self.net.double = self.rng.random_range(0.0..0.5),
            7 => self.net.late = self.rng.random_range(0.0..0.3),
            8 => self.service.mode = self.mode(),
            _ => {
                // Rarely, the whole fleet reboots.
                if self.rng.random_bool(0.1) {
                    for vm in 0..self.nodes.len() {
                        let span = self.span(0, 1_000);
                        self.kill(vm);
                        self.schedule(span, Event::Start(vm));
                    }
                }
            }
        }
    }

    fn mode(&mut self) -> Mode {
        let old = self.rng.random_range(0..=self.service.revision);
        match self.rng.random_range(0..5) {
            0 => Mode::Slow,
            1 => Mode::Down,
            2 => Mode::Stale(old),
            3 => Mode::Flapping(old),
            _ => Mode::Well,
        }
    }

    /// Changes a random document: one in six is deleted, one in six malformed.
    pub fn change(&mut self) {
        let name = format!("org-{}", self.rng.random_range(0..DOCUMENTS));
        let text = match self.rng.random_range(0..6) {
            0 => None,
            1 => Some("bad".to_owned()),
            // Some texts are large enough to be announced instead of pushed.
            2 => Some("large ".repeat(500)),
            _ => Some(format!("limit = {}", self.service.revision)),
        };
        self.publish(&name, text);
    }

    /// Ends all faults; VMs that are down start.
    pub fn heal(&mut self) {
        self.net.side.fill(0);
        self.net.loss = 0.0;
        self.net.double = 0.0;
        self.net.late = 0.0;
        self.service.mode = Mode::Well;
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
