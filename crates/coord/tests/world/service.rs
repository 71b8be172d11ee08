//! The simulated configuration service of the platform and its list of VMs, with faults.

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

/// The time by which the list of VMs lags behind.
const LIST_LAG: Duration = Duration::from_secs(3);

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mode {
    Healthy,
    Slow,
    Down,
    /// The service answers with the state at this revision.
    Stale(u64),
    /// Reads fail or are answered with the state at this revision or the latest one, at random.
    Flapping(u64),
}

struct PendingRead {
    vm: usize,
    generation: u32,
    since: u64,
}

pub struct Service {
    pub mode: Mode,
    pub revision: u64,
    /// All published revisions in order.
    pub history: Vec<Document>,
    latest: BTreeMap<Arc<str>, Document>,
    pending_reads: BTreeMap<u64, PendingRead>,
    last_read: u64,
    pub reads: u64,
    lists: Vec<(Time, Vec<ListedVm>)>,
}

impl Service {
    pub fn new(documents: usize, list: Vec<ListedVm>) -> Self {
        let mut service = Self {
            mode: Mode::Healthy,
            revision: 0,
            history: Vec::new(),
            latest: BTreeMap::new(),
            pending_reads: BTreeMap::new(),
            last_read: 0,
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

    /// Returns the revision and the content of the list of VMs, with the lag and the current fault,
    /// or `None` if the service does not answer.
    pub fn list(&self, now: Time, rng: &mut ChaCha8Rng) -> Option<(u64, Vec<ListedVm>)> {
        let lag = match self.mode {
            Mode::Down => return None,
            Mode::Flapping(_) if rng.random_bool(0.5) => return None,
            Mode::Stale(_) | Mode::Flapping(_) => LIST_LAG * 4,
            Mode::Healthy | Mode::Slow => LIST_LAG,
        };
        let seen = self
            .lists
            .iter()
            .rposition(|(at, _)| *at <= now - lag)
            .unwrap_or(0);
        Some((seen as u64 + 1, self.lists[seen].1.clone()))
    }

    /// Returns the latest revision of each document and its latest well-formed one.
    pub fn expected_revisions(&self) -> BTreeMap<Arc<str>, (u64, Option<u64>)> {
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

    fn visible_revision(&self, rng: &mut ChaCha8Rng) -> u64 {
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
        if matches!(self.service.mode, Mode::Healthy | Mode::Slow) {
            for (_, waiting) in std::mem::take(&mut self.service.pending_reads) {
                self.answer_read(waiting.vm, waiting.generation, waiting.since);
            }
        }
    }

    pub fn read(&mut self, vm: usize, generation: u32, since: u64, wait: Duration) {
        self.service.reads += 1;
        let fails = matches!(self.service.mode, Mode::Flapping(_)) && self.rng.random_bool(0.3);
        if self.service.mode == Mode::Down || fails {
            // Half of the failures are reported to the VM, the others must time out.
            if self.rng.random_bool(0.5) {
                self.schedule(
                    Duration::from_millis(2),
                    Event::Answer(vm, generation, None),
                );
            }
            return;
        }
        let visible = self.service.visible_revision(&mut self.rng);
        if visible > since {
            return self.answer_read(vm, generation, since);
        }
        self.service.last_read += 1;
        let id = self.service.last_read;
        self.service.pending_reads.insert(
            id,
            PendingRead {
                vm,
                generation,
                since,
            },
        );
        self.schedule(wait, Event::ReadTimeout(id));
    }

    pub fn time_out_read(&mut self, id: u64) {
        if let Some(waiting) = self.service.pending_reads.remove(&id) {
            self.answer_read(waiting.vm, waiting.generation, waiting.since);
        }
    }

    fn answer_read(&mut self, vm: usize, generation: u32, since: u64) {
        if self.service.mode == Mode::Down {
            return;
        }
        let visible = self.service.visible_revision(&mut self.rng);
        let answer = self.service.answer(since, visible);
        let max_delay = if self.service.mode == Mode::Slow {
            2_000
        } else {
            5
        };
        let delay = Duration::from_millis(self.rng.random_range(2..=max_delay));
        self.schedule(delay, Event::Answer(vm, generation, Some(answer)));
    }
}
