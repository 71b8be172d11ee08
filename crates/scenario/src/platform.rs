//! The simulated platform: the configuration service and the published list of VMs and upstreams.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use coord::config::{Document, ReadResponse};
use coord::name::VmName;
use coord::time::Time;

use crate::ast::{ConfigServiceMode, Scenario};
use crate::names;
use crate::simulation::Simulation;

/// How long a change takes to appear on the published list.
const LIST_LAG: Duration = Duration::from_secs(1);

/// The name prefix of the documents by which VMs exchange the list of upstreams.
pub const UPSTREAMS: &str = "upstream/";

/// One revision of the published list.
#[derive(Clone, Default)]
pub struct PublishedList {
    pub at: Time,
    pub revision: u64,
    /// The VMs of the fleet; `true` for one that is leaving.
    pub vms: BTreeMap<VmName, bool>,
    /// The names of upstream documents with the state, `live` or `leaving`.
    pub upstreams: BTreeMap<Arc<str>, Arc<str>>,
}

/// A long poll of the configuration service that waits for a new revision.
struct PendingRead {
    vm: usize,
    generation: u32,
    since: u64,
}

/// The state of the platform, which all VMs read.
pub struct Platform {
    pub mode: ConfigServiceMode,
    pub history: Vec<Document>,
    /// The revision that the service returns while it is stale.
    frozen_revision: u64,
    pending_reads: BTreeMap<u64, PendingRead>,
    read_count: u64,
    lists: Vec<PublishedList>,
}

impl Platform {
    pub fn new(scenario: &Scenario) -> Self {
        let vms = (0..scenario.vms).map(|vm| (names::vm_name(vm).as_str().into(), false));
        let upstreams = scenario.services.iter().flat_map(names::upstreams);
        let live = |name: String| (format!("{UPSTREAMS}{name}").into(), "live".into());
        let list = PublishedList {
            at: Time::ZERO,
            revision: 1,
            vms: vms.collect(),
            upstreams: upstreams.map(live).collect(),
        };
        let mut platform = Self {
            mode: ConfigServiceMode::Well,
            history: Vec::new(),
            frozen_revision: 0,
            pending_reads: BTreeMap::new(),
            read_count: 0,
            lists: vec![list],
        };
        for (name, text) in &scenario.documents {
            platform.append(name, Some(text));
        }
        platform
    }

    fn append(&mut self, name: &str, text: Option<&str>) {
        self.history.push(Document {
            name: name.into(),
            revision: self.history.len() as u64 + 1,
            text: text.map(Into::into),
            age_seconds: 0,
        });
    }

    /// Returns publication `number` of a document, counted from 1.
    pub fn publication(&self, name: &str, number: usize) -> Option<&Document> {
        let mut own = self.history.iter().filter(|d| *d.name == *name);
        own.nth(number.checked_sub(1)?)
    }

    pub fn set_mode(&mut self, mode: ConfigServiceMode) {
        self.mode = mode;
        self.frozen_revision = self.history.len() as u64;
    }

    fn visible_revision(&self) -> u64 {
        match self.mode {
            ConfigServiceMode::Stale => self.frozen_revision,
            _ => self.history.len() as u64,
        }
    }

    fn read_response(&self, since: u64) -> ReadResponse {
        let revision = self.visible_revision();
        let shown = self.history.iter().filter(|d| d.revision <= revision);
        let newest: BTreeMap<_, _> = shown.map(|d| (Arc::clone(&d.name), d)).collect();
        let changed = newest.into_values().filter(|d| d.revision > since);
        ReadResponse {
            since,
            revision,
            documents: changed.cloned().collect(),
        }
    }

    /// Changes the published list; VMs see the change after the lag.
    pub fn change_list(&mut self, now: Time, change: impl FnOnce(&mut PublishedList)) {
        let mut list = self.lists.last().cloned().unwrap_or_default();
        list.at = now;
        list.revision += 1;
        change(&mut list);
        self.lists.push(list);
    }

    /// Returns the list as a VM with this additional lag sees it, or `None` if the platform is
    /// down.
    pub fn list(&self, now: Time, lag: Duration) -> Option<PublishedList> {
        let seen = now - (LIST_LAG + lag);
        let shown = self.lists.iter().rev().find(|list| list.at <= seen);
        shown
            .filter(|_| self.mode != ConfigServiceMode::Down)
            .cloned()
    }
}

impl Simulation {
    /// Publishes a new text of a document, or deletes it, and answers the reads that wait.
    pub fn publish(&mut self, name: &str, text: Option<&str>) {
        self.platform.append(name, text);
        if self.platform.mode == ConfigServiceMode::Well {
            for read in std::mem::take(&mut self.platform.pending_reads).into_values() {
                self.answer_read(read.vm, read.generation, read.since);
            }
        }
    }

    /// Starts a read of the changes after revision `since`, which waits up to `wait` for one.
    pub fn read(&mut self, vm: usize, since: u64, wait: Duration) {
        let generation = self.vms[vm].generation;
        if self.platform.visible_revision() > since || self.platform.mode == ConfigServiceMode::Down
        {
            return self.answer_read(vm, generation, since);
        }
        self.platform.read_count += 1;
        let id = self.platform.read_count;
        self.platform.pending_reads.insert(
            id,
            PendingRead {
                vm,
                generation,
                since,
            },
        );
        self.schedule(wait, move |sim| {
            if sim.platform.pending_reads.remove(&id).is_some() {
                sim.answer_read(vm, generation, since);
            }
        });
    }

    /// Answers a read after two hops. A service that is down fails the read.
    fn answer_read(&mut self, vm: usize, generation: u32, since: u64) {
        let answer = match self.platform.mode {
            ConfigServiceMode::Down => None,
            _ => Some(self.platform.read_response(since)),
        };
        self.schedule(crate::simulation::HOP_LATENCY * 2, move |sim| {
            sim.run_on_vm(vm, generation, move |sim| sim.on_config_read(vm, answer));
        });
    }
}
