//! Distribution of documents: every VM soon holds the newest revision of each, and no VM goes back.
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
//! Two VMs in each data centre read from the configuration service. A VM pushes what it accepts to
//! a few random peers, and compares digests with a random peer, which repairs what the pushes
//! missed (`docs/design.md`, section 6.2; reasons and measurements are in
//! `docs/decisions/configuration.md`).
//!
//! The *cursor* of a VM is a revision of the service: the VM holds every document up to it. It
//! moves when the service answers, and when a comparison shows that a peer with a higher cursor
//! holds nothing newer. A new watcher reads from its cursor, so no change is skipped and few are
//! read twice.

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

/// The key whose owners in a data centre read from the service.
const WATCH_KEY: &[u8] = b"configuration watchers";

/// The time between two searches for old deletions, which take time in the number of documents.
const FORGET: Duration = Duration::from_mins(1);

/// The distribution state of one VM.
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
    next_forget: Time,
    /// Names accepted during the current call, to be pushed at its end.
    fresh: Vec<Arc<str>>,
    /// When a document that a peer announced was asked for.
    wanted: BTreeMap<Arc<str>, Time>,
}

impl ConfigReplica {
    /// Returns the state of a VM that has just booted with empty memory.
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
            next_forget: now + FORGET,
            fresh: Vec::new(),
            wanted: BTreeMap::new(),
        }
    }

    /// Returns the documents.
    #[must_use]
    pub fn store(&self) -> &Store {
        &self.store
    }

    /// Returns `true` once the VM may serve: it holds what its peers held when it booted.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.boot.ready
    }

    /// Returns the revision of the service up to which all documents are held.
    #[must_use]
    pub fn cursor(&self) -> u64 {
        self.cursor
    }

    /// Returns the highest cursor of the peers that were asked at boot. The VM is not ready below.
    #[must_use]
    pub fn minimum_cursor(&self) -> u64 {
        self.boot.minimum
    }

    /// Returns `true` if this VM reads from the service.
    #[must_use]
    pub fn is_watching(&self) -> bool {
        self.reader.watching
    }

    /// Takes the current view. A boot makes no progress before the first trusted view, because a
    /// VM that knows no peer would take itself for the only one.
    pub fn update_view(&mut self, view: &View, trusted: bool) {
        let others = view.members.keys().filter(|vm| **vm != self.own);
        self.peers = others.cloned().collect();
        self.boot.begun |= trusted;
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

    /// Lets time pass: sends what is due.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        let mut out = Vec::new();
        self.boot(now, &mut out);
        self.read(now, &mut out);
        self.compare(now, &mut out);
        if now >= self.next_forget {
            self.next_forget = now + FORGET;
            self.store.purge_tombstones(now);
        }
        self.finish(now, out)
    }

    /// Takes one message from a peer.
    pub fn receive(&mut self, now: Time, from: &VmName, message: Message) -> Vec<Action> {
        let mut out = Vec::new();
        self.handle(now, from, message, &mut out);
        self.finish(now, out)
    }

    /// Takes the answer to a read.
    pub fn read_succeeded(&mut self, now: Time, answer: &ReadResponse) -> Vec<Action> {
        let mut out = Vec::new();
        self.reader.answered(now, &self.options);
        self.offer(now, &answer.documents, &mut out);
        // An answer to an older question does not close the gap up to its revision.
        if answer.since <= self.cursor {
            self.cursor = self.cursor.max(answer.revision);
        }
        self.boot.answered = true;
        self.finish(now, out)
    }

    /// Takes the failure of a read.
    pub fn read_failed(&mut self, now: Time) {
        self.reader.failed(now, &self.options);
    }

    /// Takes a complete set of documents whose names start with `prefix`, such as a list of VMs
    /// with one document each. Names that are missing from it are deleted.
    ///
    /// A set with a lower revision than a document's changes nothing of that document.
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
        let gone = present.filter(|(name, ..)| !texts.contains_key(*name));
        let mut changed: Vec<_> = gone.map(|(name, ..)| (Arc::clone(name), None)).collect();
        for (name, text) in texts {
            // The same text keeps its revision, so that an unchanged document is not sent again.
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
        self.offer(now, &documents.collect::<Vec<_>>(), &mut out);
        self.finish(now, out)
    }

    /// Offers documents to the store and notes the accepted ones for the push.
    fn offer(&mut self, now: Time, documents: &[Document], out: &mut Vec<Action>) {
        for document in documents {
            let name = Arc::clone(&document.name);
            let revision = document.revision;
            match self.store.offer(now, document) {
                OfferOutcome::Stale => continue,
                OfferOutcome::InForce => out.push(Action::InForce { name, revision }),
                OfferOutcome::Rejected => out.push(Action::Rejected { name, revision }),
            }
            self.wanted.remove(&document.name);
            self.fresh.push(Arc::clone(&document.name));
        }
    }

    fn finish(&mut self, now: Time, mut out: Vec<Action>) -> Vec<Action> {
        self.push(now, &mut out);
        self.settle(&mut out);
        out
    }
}
