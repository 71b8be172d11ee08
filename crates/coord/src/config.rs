//! Replication of configuration documents: every VM converges on the newest revision of each
//! document, and no VM returns to an older one.
//!
//! ```
//! use std::sync::Arc;
//! use coord::config::{Document, OfferOutcome, Store};
//! use coord::time::Time;
//!
//! let validator = |_: &str, text: &str| match text.contains('=') {
//!     true => Ok(()),
//!     false => Err(vec!["line 1: `=` is missing".to_owned()]),
//! };
//! let mut store = Store::new(Arc::new(validator));
//! let mut offer = |revision, text: &str| {
//!     let text = Some(text.into());
//!     store.offer(Time::ZERO, &Document { name: "org-1".into(), revision, text, age_seconds: 0 })
//! };
//!
//! assert_eq!(offer(2, "limit = 5"), OfferOutcome::InForce);
//! assert_eq!(offer(1, "limit = 3"), OfferOutcome::Stale);
//! assert_eq!(offer(3, "limit"), OfferOutcome::Rejected);
//! assert_eq!(store.get("org-1"), Some((2, "limit = 5".into())));
//! ```
//!
//! Two VMs in each data centre, the watchers, read from the configuration service. A VM pushes the
//! documents that it accepts to a few random peers. It also compares digests with a random peer at
//! intervals, which delivers documents that the pushes missed (`docs/design.md`, section 6.2;
//! reasons and measurements are in `docs/decisions/configuration.md`).
//!
//! The *cursor* of a VM is a revision of the service up to which the VM holds all documents. It
//! advances when the service answers, and when a comparison shows that a peer with a higher cursor
//! holds nothing newer. A VM that becomes a watcher reads from its cursor, so that it skips no
//! change and reads few changes twice.
//!
//! The revision *in force* of a document is the newest well-formed one that the VM knows.

mod boot;
mod exchange;
mod reader;
mod store;
mod types;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::hash::hash64;
use crate::member::View;
use crate::name::VmName;
use crate::owner::Owners;
use crate::time::Time;
use boot::Boot;
use exchange::Pull;
use reader::Reader;

pub use store::{OfferOutcome, RejectedDocument, Store, TOMBSTONE_RETENTION, Validator};
pub use types::{
    Action, BUCKETS, Document, HeldRevisions, MAX_BATCH_BYTES, MAX_PUSH_BYTES, MAX_PUSH_DOCUMENTS,
    Message, Options, ReadResponse,
};

/// The key whose owners among the VMs of a data centre are its watchers.
const WATCH_KEY: &[u8] = b"configuration watchers";

/// The time between two searches for expired deletions. A search visits all documents.
const PURGE_INTERVAL: Duration = Duration::from_mins(1);

/// The replication state machine of one VM.
#[derive(Debug)]
pub struct ConfigReplica {
    options: Options,
    rng: ChaCha8Rng,
    own: VmName,
    store: Store,
    cursor: u64,
    peers: Vec<VmName>,
    boot: Boot,
    reader: Reader,
    pull: Option<Pull>,
    next_compare: Time,
    next_purge: Time,
    /// The names of documents accepted during the current call, which are pushed at its end.
    unpushed: Vec<Arc<str>>,
    /// The times at which announced documents were requested from a peer.
    requested: BTreeMap<Arc<str>, Time>,
}

impl ConfigReplica {
    /// Creates the state of a VM that has just booted and holds no documents.
    #[must_use]
    pub fn new(own: VmName, validator: Validator, options: Options, seed: u64, now: Time) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let next_compare = now + options.compare_interval.mul_f64(rng.random());
        Self {
            options,
            rng,
            own,
            store: Store::new(validator),
            cursor: 0,
            peers: Vec::new(),
            boot: Boot::default(),
            reader: Reader::default(),
            pull: None,
            next_compare,
            next_purge: now + PURGE_INTERVAL,
            unpushed: Vec::new(),
            requested: BTreeMap::new(),
        }
    }

    /// Returns the documents that this VM holds.
    #[must_use]
    pub fn store(&self) -> &Store {
        &self.store
    }

    /// Returns `true` once the VM may serve: it holds all documents that its peers held at its
    /// boot.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.boot.ready
    }

    /// Returns the revision of the service up to which this VM holds all documents.
    #[must_use]
    pub fn cursor(&self) -> u64 {
        self.cursor
    }

    /// Returns the highest cursor of the ready peers that answered at boot. The VM becomes ready
    /// when its own cursor has reached it.
    #[must_use]
    pub fn minimum_cursor(&self) -> u64 {
        self.boot.minimum_cursor
    }

    /// Returns `true` if this VM is a watcher, which reads from the service.
    #[must_use]
    pub fn is_watching(&self) -> bool {
        self.reader.watching
    }

    /// Updates the peers and the watchers from the current view of the members.
    ///
    /// The boot does not proceed before the first trusted view, because a VM that knows no peer
    /// would otherwise conclude that it is the only one.
    pub fn update_view(&mut self, view: &View, trusted: bool) {
        let others = view.members.keys().filter(|vm| **vm != self.own);
        self.peers = others.cloned().collect();
        self.boot.started |= trusted;
        let Some(zone) = view.members.get(&self.own).map(|own| &own.zone) else {
            return;
        };
        let local = view
            .members
            .iter()
            .filter(|(_, member)| member.zone == *zone);
        let local: Owners = local.map(|(vm, m)| (vm.clone(), m.zone.clone())).collect();
        let watchers = local.owners(hash64(WATCH_KEY), self.options.watcher_count);
        self.reader.watching = watchers.contains(&&self.own);
    }

    /// Sends the messages and reads that are due.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        let mut out = Vec::new();
        self.query_peers(now, &mut out);
        self.start_read(now, &mut out);
        self.start_comparison(now, &mut out);
        if now >= self.next_purge {
            self.next_purge = now + PURGE_INTERVAL;
            self.store.purge_tombstones(now);
        }
        self.finish(now, out)
    }

    /// Handles a message from a peer.
    pub fn receive(&mut self, now: Time, from: &VmName, message: Message) -> Vec<Action> {
        let mut out = Vec::new();
        self.handle_message(now, from, message, &mut out);
        self.finish(now, out)
    }

    /// Handles the response to a read.
    pub fn read_succeeded(&mut self, now: Time, response: &ReadResponse) -> Vec<Action> {
        let mut out = Vec::new();
        self.reader.record_success(now, &self.options);
        self.offer_documents(now, &response.documents, &mut out);
        // A response to a read from above the cursor lacks the changes between the two.
        if response.since <= self.cursor {
            self.cursor = self.cursor.max(response.revision);
        }
        self.boot.service_answered = true;
        self.finish(now, out)
    }

    /// Handles the failure of a read; the next read is delayed.
    pub fn read_failed(&mut self, now: Time) {
        self.reader.record_failure(now, &self.options);
    }

    /// Applies the complete set of documents whose names start with `prefix`, such as a list of VMs
    /// with one document each. Documents that are missing from the set are deleted.
    ///
    /// Documents with a higher revision than that of the set are left unchanged.
    pub fn apply_snapshot(
        &mut self,
        now: Time,
        prefix: &str,
        revision: u64,
        texts: &BTreeMap<Arc<str>, Arc<str>>,
    ) -> Vec<Action> {
        let present = self
            .store
            .iter()
            .filter(|(name, ..)| name.starts_with(prefix));
        let deleted = present.filter(|(name, ..)| !texts.contains_key(*name));
        let mut changed: Vec<_> = deleted.map(|(name, ..)| (Arc::clone(name), None)).collect();
        for (name, text) in texts {
            // A document with the same text keeps its revision, so that it is not sent again.
            if self.store.get(name).is_none_or(|(_, held)| held != *text) {
                changed.push((Arc::clone(name), Some(Arc::clone(text))));
            }
        }
        let documents = changed.into_iter();
        let documents = documents.map(|(name, text)| Document {
            name,
            revision,
            text,
            age_seconds: 0,
        });
        let mut out = Vec::new();
        self.offer_documents(now, &documents.collect::<Vec<_>>(), &mut out);
        self.finish(now, out)
    }

    /// Offers documents to the store and queues the accepted ones for the push.
    fn offer_documents(&mut self, now: Time, documents: &[Document], out: &mut Vec<Action>) {
        for document in documents {
            let name = Arc::clone(&document.name);
            let revision = document.revision;
            match self.store.offer(now, document) {
                OfferOutcome::Stale => continue,
                OfferOutcome::InForce => out.push(Action::InForce { name, revision }),
                OfferOutcome::Rejected => out.push(Action::Rejected { name, revision }),
            }
            self.requested.remove(&document.name);
            self.unpushed.push(Arc::clone(&document.name));
        }
    }

    fn finish(&mut self, now: Time, mut out: Vec<Action>) -> Vec<Action> {
        self.push_accepted(now, &mut out);
        self.finish_boot(&mut out);
        out
    }
}
