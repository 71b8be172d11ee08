//! The configuration documents in force, and their application to the routing table and the cells.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use coord::name::Service;

use super::NodeInputs;
use crate::document::{Document, Upstreams};
use crate::serve::cell::shared::{Options, SharedCells};
use crate::serve::{GroupSpec, Table, UpstreamSpec};

/// One revision of a configuration document, not yet parsed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DocumentText {
    /// The revision number that the configuration service assigned.
    pub revision: u64,
    /// The text, in the format of [`Document::parse`].
    pub text: Arc<str>,
}

/// The revision in force of each document.
pub type ActiveRevisions = BTreeMap<String, u64>;

#[derive(Default)]
struct State {
    /// The last valid revision of each document.
    active: BTreeMap<String, (u64, Document)>,
    /// The last revision of each document that was parsed, valid or not.
    seen: BTreeMap<String, u64>,
    upstreams: Arc<Vec<UpstreamSpec>>,
}

/// Parses documents and applies them, with the list of upstreams, to the routing table and the
/// cells.
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

    /// Parses new revisions. If one is malformed, the last valid revision stays in force.
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

    /// Updates the routing table and the cells to the documents in force.
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
    /// Returns the properties of each group of upstreams.
    ///
    /// If several documents declare a group, the first one in name order applies, so that all VMs
    /// use the same properties.
    fn groups(&self) -> BTreeMap<&Service, &Upstreams> {
        let mut groups = BTreeMap::new();
        for (_, document) in self.active.values() {
            for (group, keys) in &document.upstreams {
                groups.entry(group).or_insert(keys);
            }
        }
        groups
    }

    /// Logs the groups whose properties in document `name` differ from those that apply.
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

    /// Returns the upstreams with the number of slots that their group declares.
    ///
    /// Upstreams of a group that no document declares have no slots.
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

/// Applies each update of the documents and of the list of upstreams.
pub(super) async fn follow(
    active_config: Arc<ActiveConfig>,
    mut feed: NodeInputs,
) -> eyre::Result<()> {
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
            // The feed has ended, so no further update can come. The task must not end, because the
            // supervisor would restart it; the documents stay in force.
            std::future::pending::<()>().await;
        }
    }
}
