//! Which documents are in force, and what the request path and the cells get of them.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use coord::name::Service;

use super::Feed;
use crate::document::{Document, Upstreams};
use crate::serve::cell::shared::{Options, SharedCells};
use crate::serve::{GroupSpec, Table, UpstreamSpec};

/// The text of a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DocumentText {
    /// Its revision in the configuration service.
    pub revision: u64,
    /// The text in the form of [`Document::parse`].
    pub text: Arc<str>,
}

/// The revision in force of each document.
pub type ActiveRevisions = BTreeMap<String, u64>;

#[derive(Default)]
struct State {
    /// The last good version of each document.
    active: BTreeMap<String, (u64, Document)>,
    /// The last version that was read, good or not.
    seen: BTreeMap<String, u64>,
    upstreams: Arc<Vec<UpstreamSpec>>,
}

/// Puts documents and the list of upstreams in force.
pub(super) struct ActiveConfig {
    table: Table,
    cells: Arc<SharedCells>,
    state: Mutex<State>,
}

impl ActiveConfig {
    pub(super) fn new(table: Table, cells: Arc<SharedCells>) -> Self {
        Self {
            table,
            cells,
            state: Mutex::default(),
        }
    }

    pub(super) fn in_force(&self) -> ActiveRevisions {
        let state = self.lock();
        let active = state.active.iter();
        active
            .map(|(name, (revision, _))| (name.clone(), *revision))
            .collect()
    }

    pub(super) fn upstreams(&self) -> Vec<UpstreamSpec> {
        let state = self.lock();
        state.upstreams_with_slots()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads new versions; a malformed one leaves the last good one in force.
    fn update_documents(&self, texts: &BTreeMap<String, DocumentText>) {
        let mut state = self.lock();
        state.active.retain(|name, _| texts.contains_key(name));
        state.seen.retain(|name, _| texts.contains_key(name));
        for (name, text) in texts {
            if state
                .seen
                .get(name)
                .is_some_and(|seen| *seen >= text.revision)
            {
                continue;
            }
            state.seen.insert(name.clone(), text.revision);
            match Document::parse(name, &text.text) {
                Ok(document) => {
                    state.active.insert(name.clone(), (text.revision, document));
                    state.log_conflicts(name);
                }
                Err(findings) => {
                    for finding in findings {
                        log::warn!(revision = text.revision; "document not in force: {finding}");
                    }
                }
            }
        }
    }

    /// Gives the request path and the cells what is in force.
    fn apply(&self) {
        let state = self.lock();
        self.cells.set_options(state.sched_options());
        let documents = state.active.values();
        let services = documents.flat_map(|(_, document)| document.service_specs());
        let (services, upstreams) = (services.collect(), state.upstreams_with_slots());
        self.table
            .replace_all(services, upstreams, state.group_specs());
    }
}

impl State {
    /// Returns the properties of each group: those of the first document in name order that
    /// declares it, so that all VMs use the same ones.
    fn groups(&self) -> BTreeMap<&Service, &Upstreams> {
        let mut groups = BTreeMap::new();
        for (_, document) in self.active.values() {
            for (group, keys) in &document.upstreams {
                groups.entry(group).or_insert(keys);
            }
        }
        groups
    }

    /// Reports groups that `name` declares otherwise than the document that counts.
    fn log_conflicts(&self, name: &str) {
        let Some((revision, document)) = self.active.get(name) else {
            return;
        };
        let groups = self.groups();
        let differing = document
            .upstreams
            .iter()
            .filter(|(group, keys)| groups[group] != *keys);
        for (group, _) in differing {
            log::warn!(revision; "{name}: [upstreams {group}] differs from that of another document, which counts");
        }
    }

    fn sched_options(&self) -> Options {
        let groups = self.groups().into_iter();
        groups
            .map(|(group, keys)| (group.clone(), keys.sched_options()))
            .collect()
    }

    fn group_specs(&self) -> BTreeMap<Service, GroupSpec> {
        let groups = self.groups().into_iter();
        let spec = |(group, keys): (&Service, &Upstreams)| {
            let spec = GroupSpec {
                block_tokens: keys.block.0,
                prefill_rate: keys.prefill_rate.0,
            };
            (group.clone(), spec)
        };
        groups.map(spec).collect()
    }

    /// Returns the upstreams; an engine of a group that no document describes has no slot.
    fn upstreams_with_slots(&self) -> Vec<UpstreamSpec> {
        let groups = self.groups().into_iter();
        let slots: BTreeMap<&Service, u32> =
            groups.map(|(group, keys)| (group, keys.slots.0)).collect();
        let all = self.upstreams.iter().cloned();
        all.map(|upstream| UpstreamSpec {
            slots: slots.get(&upstream.service).copied().unwrap_or(0),
            ..upstream
        })
        .collect()
    }
}

/// Follows documents and the list of upstreams.
pub(super) async fn follow(active_config: Arc<ActiveConfig>, mut feed: Feed) -> eyre::Result<()> {
    loop {
        let documents = Arc::clone(&feed.documents.borrow_and_update());
        active_config.update_documents(&documents);
        active_config.lock().upstreams = Arc::clone(&feed.upstreams.borrow_and_update());
        active_config.apply();
        let changed = tokio::select! {
            changed = feed.documents.changed() => changed,
            changed = feed.upstreams.changed() => changed,
        };
        if changed.is_err() {
            // The feed has ended: what is in force stays in force.
            std::future::pending::<()>().await;
        }
    }
}
