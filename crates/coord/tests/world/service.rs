//! The platform's configuration service and list of VMs, with faults.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use coord::config::{Document, ReadResponse};
use coord::member::ListedVm;
use coord::time::Time;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::node::document;
use super::{Event, World};

/// The time by which the list of VMs lags.
const LIST_LAG: Duration = Duration::from_secs(3);

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mode {
    Well,
    Slow,
    Down,
    /// Replicas answer as of this revision.
    Stale(u64),
    /// Each read meets another mode.
    Flapping(u64),
}

struct Waiting {
    vm: usize,
    life: u32,
    since: u64,
}

pub struct Service {
    pub mode: Mode,
    pub revision: u64,
    /// Every revision ever published, in order.
    pub history: Vec<Document>,
    latest: BTreeMap<Arc<str>, Document>,
    waiting: BTreeMap<u64, Waiting>,
    count: u64,
    pub reads: u64,
    lists: Vec<(Time, Vec<ListedVm>)>,
}

impl Service {
    pub fn new(documents: usize, list: Vec<ListedVm>) -> Self {
        let mut service = Self {
            mode: Mode::Well,
            revision: 0,
            history: Vec::new(),
            latest: BTreeMap::new(),
            waiting: BTreeMap::new(),
            count: 0,
            reads: 0,
            lists: vec![(Time::ZERO, list)],
        };
        for number in 0..documents {
            service.append(&format!("org-{number}"), Some(format!("limit = {number}")));
        }
        service
    }

    fn append(&mut self, name: &str, text: Option<String>) {
        self.revision += 1;
        let document = document(name, self.revision, text);
        self.latest
            .insert(Arc::clone(&document.name), document.clone());
        self.history.push(document);
    }

    pub fn publish_list(&mut self, now: Time, list: Vec<ListedVm>) {
        self.lists.push((now, list));
    }

    /// The list as the platform shows it, with its lag and the service's faults.
    pub fn list(&self, now: Time, rng: &mut ChaCha8Rng) -> Option<(u64, Vec<ListedVm>)> {
        let lag = match self.mode {
            Mode::Down => return None,
            Mode::Flapping(_) if rng.random_bool(0.5) => return None,
            Mode::Stale(_) | Mode::Flapping(_) => LIST_LAG * 4,
            Mode::Well | Mode::Slow => LIST_LAG,
        };
        let seen = self
            .lists
            .iter()
            .rposition(|(at, _)| *at <= now - lag)
            .unwrap_or(0);
        Some((seen as u64 + 1, self.lists[seen].1.clone()))
    }

    /// The newest document of each name, and the newest well-formed one below it.
    pub fn expected(&self) -> BTreeMap<Arc<str>, (u64, Option<u64>)> {
        let mut expected = BTreeMap::new();
        for document in &self.history {
            let bad = document
                .text
                .as_ref()
                .is_some_and(|text| text.starts_with("bad"));
            let entry = expected
                .entry(Arc::clone(&document.name))
                .or_insert((0, None));
            entry.0 = document.revision;
            if !bad {
                entry.1 = Some(document.revision);
            }
        }
        expected
    }

    fn visible(&self, rng: &mut ChaCha8Rng) -> u64 {
        match self.mode {
            Mode::Stale(revision) => revision,
            Mode::Flapping(revision) if rng.random_bool(0.5) => revision,
            _ => self.revision,
        }
    }

    fn answer(&self, since: u64, revision: u64) -> ReadResponse {
        let documents = if revision == self.revision {
            self.latest
                .values()
                .filter(|d| d.revision > since)
                .cloned()
                .collect()
        } else {
            let mut old = BTreeMap::new();
            for document in self.history.iter().filter(|d| d.revision <= revision) {
                old.insert(Arc::clone(&document.name), document.clone());
            }
            old.into_values().filter(|d| d.revision > since).collect()
        };
        ReadResponse {
            since,
            revision,
            documents,
        }
    }
}

impl World {
    pub fn publish(&mut self, name: &str, text: Option<String>) {
        self.service.append(name, text);
        if matches!(self.service.mode, Mode::Well | Mode::Slow) {
            for (_, waiting) in std::mem::take(&mut self.service.waiting) {
                self.reply(waiting.vm, waiting.life, waiting.since);
            }
        }
    }

    pub fn read(&mut self, vm: usize, life: u32, since: u64, wait: Duration) {
        self.service.reads += 1;
        let flap = matches!(self.service.mode, Mode::Flapping(_)) && self.rng.random_bool(0.3);
        if self.service.mode == Mode::Down || flap {
            // Half of the failures are silent.
            if self.rng.random_bool(0.5) {
                self.schedule(Duration::from_millis(2), Event::Answer(vm, life, None));
            }
            return;
        }
        let visible = self.service.visible(&mut self.rng);
        if visible > since {
            return self.reply(vm, life, since);
        }
        self.service.count += 1;
        let id = self.service.count;
        self.service.waiting.insert(id, Waiting { vm, life, since });
        self.schedule(wait, Event::Due(id));
    }

    pub fn read_due(&mut self, id: u64) {
        if let Some(waiting) = self.service.waiting.remove(&id) {
            self.reply(waiting.vm, waiting.life, waiting.since);
        }
    }

    fn reply(&mut self, vm: usize, life: u32, since: u64) {
        if self.service.mode == Mode::Down {
            return;
        }
        let visible = self.service.visible(&mut self.rng);
        let answer = self.service.answer(since, visible);
        let most = if self.service.mode == Mode::Slow {
            2_000
        } else {
            5
        };
        let delay = Duration::from_millis(self.rng.random_range(2..=most));
        self.schedule(delay, Event::Answer(vm, life, Some(answer)));
    }
}
