//! The fake platform: the configuration service and the list of VMs and upstreams.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use coord::config::{Document, ReadResponse};
use coord::name::VmName;
use coord::time::Time;

use crate::ast::{Mode, Scenario};
use crate::names;
use crate::world::World;

/// The time by which the list lags behind the actual state.
const LIST_LAG: Duration = Duration::from_secs(1);

/// The prefix of the documents that carry the list of upstreams between VMs.
pub const UPSTREAMS: &str = "upstream/";

/// One revision of the list.
#[derive(Clone, Default)]
pub struct List {
    pub at: Time,
    pub revision: u64,
    /// The VMs; `true` for one that is leaving.
    pub vms: BTreeMap<VmName, bool>,
    /// The upstreams with their state, `live` or `leaving`.
    pub upstreams: BTreeMap<Arc<str>, Arc<str>>,
}

struct Waiting {
    vm: usize,
    life: u32,
    since: u64,
}

pub struct Platform {
    pub mode: Mode,
    pub history: Vec<Document>,
    /// The revision that a stale service shows.
    frozen: u64,
    waiting: BTreeMap<u64, Waiting>,
    reads: u64,
    lists: Vec<List>,
}

impl Platform {
    pub fn new(scenario: &Scenario) -> Self {
        let vms = (0..scenario.vms).map(|vm| (names::vm(vm).as_str().into(), false));
        let upstreams = scenario.services.iter().flat_map(names::upstreams);
        let live = |name: String| (format!("{UPSTREAMS}{name}").into(), "live".into());
        let list = List {
            at: Time::ZERO,
            revision: 1,
            vms: vms.collect(),
            upstreams: upstreams.map(live).collect(),
        };
        let mut platform = Self {
            mode: Mode::Well,
            history: Vec::new(),
            frozen: 0,
            waiting: BTreeMap::new(),
            reads: 0,
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

    /// Returns the service's revision of the publication `number` (from 1) of a document.
    pub fn publication(&self, name: &str, number: usize) -> Option<&Document> {
        let mut own = self.history.iter().filter(|d| *d.name == *name);
        own.nth(number.checked_sub(1)?)
    }

    pub fn set_mode(&mut self, mode: Mode) {
        self.mode = mode;
        self.frozen = self.history.len() as u64;
    }

    fn visible(&self) -> u64 {
        match self.mode {
            Mode::Stale => self.frozen,
            _ => self.history.len() as u64,
        }
    }

    fn answer(&self, since: u64) -> ReadResponse {
        let revision = self.visible();
        let shown = self.history.iter().filter(|d| d.revision <= revision);
        let newest: BTreeMap<_, _> = shown.map(|d| (Arc::clone(&d.name), d)).collect();
        let changed = newest.into_values().filter(|d| d.revision > since);
        ReadResponse {
            since,
            revision,
            documents: changed.cloned().collect(),
        }
    }

    /// Changes the list; VMs see it after its lag.
    pub fn change_list(&mut self, now: Time, change: impl FnOnce(&mut List)) {
        let mut list = self.lists.last().cloned().unwrap_or_default();
        list.at = now;
        list.revision += 1;
        change(&mut list);
        self.lists.push(list);
    }

    /// Returns the list as a VM sees it.
    pub fn list(&self, now: Time, lag: Duration) -> Option<List> {
        let seen = now - (LIST_LAG + lag);
        let shown = self.lists.iter().rev().find(|list| list.at <= seen);
        shown.filter(|_| self.mode != Mode::Down).cloned()
    }
}

impl World {
    pub fn publish(&mut self, name: &str, text: Option<&str>) {
        self.platform.append(name, text);
        if self.platform.mode == Mode::Well {
            for waiting in std::mem::take(&mut self.platform.waiting).into_values() {
                self.answer_read(waiting.vm, waiting.life, waiting.since);
            }
        }
    }

    pub fn read(&mut self, vm: usize, since: u64, wait: Duration) {
        let life = self.vms[vm].life;
        if self.platform.visible() > since || self.platform.mode == Mode::Down {
            return self.answer_read(vm, life, since);
        }
        self.platform.reads += 1;
        let id = self.platform.reads;
        self.platform
            .waiting
            .insert(id, Waiting { vm, life, since });
        self.after(wait, move |world| {
            if world.platform.waiting.remove(&id).is_some() {
                world.answer_read(vm, life, since);
            }
        });
    }

    /// Answers a read after two hops; a service that is down refuses the connection.
    fn answer_read(&mut self, vm: usize, life: u32, since: u64) {
        let answer = match self.platform.mode {
            Mode::Down => None,
            _ => Some(self.platform.answer(since)),
        };
        self.after(crate::world::HOP * 2, move |world| {
            world.on_vm(vm, life, move |world| world.answered(vm, answer));
        });
    }
}
