//! What the cluster task publishes to the other parts.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use coord::claim::VmList;
use coord::hash::hash64;
use coord::member::View;
use coord::name::{Upstream, VmName};
use tokio::sync::watch;

use crate::serve::registry::{ListedUpstream, ListedVm};

/// The number of parts of which only the changed ones are copied when a document changes.
const BUCKETS: usize = 64;

/// One document in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PublishedDocument {
    /// Its revision.
    pub revision: u64,
    /// Its text.
    pub text: Arc<str>,
}

type Bucket = Arc<BTreeMap<Arc<str>, PublishedDocument>>;

/// The documents in force at one moment. Clones share their content.
#[derive(Clone, Debug)]
pub struct Documents {
    buckets: Vec<Bucket>,
}

impl Default for Documents {
    fn default() -> Self {
        Self {
            buckets: vec![Bucket::default(); BUCKETS],
        }
    }
}

impl Documents {
    /// Returns a document.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&PublishedDocument> {
        self.buckets[bucket(name)].get(name)
    }

    /// Returns all documents.
    pub fn iter(&self) -> impl Iterator<Item = (&Arc<str>, &PublishedDocument)> {
        self.buckets.iter().flat_map(|bucket| bucket.iter())
    }

    /// Returns the names whose revision differs from `old`, also deleted ones. Unchanged buckets
    /// cost nothing.
    #[must_use]
    pub fn changed_since(&self, old: &Self) -> Vec<Arc<str>> {
        let pairs = self.buckets.iter().zip(&old.buckets);
        let mut names: Vec<_> = pairs
            .filter(|(new, old)| !Arc::ptr_eq(new, old))
            .flat_map(|(new, old)| {
                new.keys()
                    .chain(old.keys())
                    .map(move |name| (name, new, old))
            })
            .filter(|(name, new, old)| new.get(*name) != old.get(*name))
            .map(|(name, ..)| Arc::clone(name))
            .collect();
        names.sort_unstable();
        names.dedup();
        names
    }

    /// Puts a text in force or removes it. A lower revision than the published one is ignored: a
    /// restarted task may learn its documents again in any order.
    pub(super) fn set(&mut self, name: &Arc<str>, revision: u64, text: Option<Arc<str>>) {
        let bucket = &mut self.buckets[bucket(name)];
        if bucket
            .get(name)
            .is_some_and(|held| held.revision > revision)
        {
            return;
        }
        let bucket = Arc::make_mut(bucket);
        match text {
            Some(text) => bucket.insert(Arc::clone(name), PublishedDocument { revision, text }),
            None => bucket.remove(name),
        };
    }
}

#[expect(clippy::cast_possible_truncation, reason = "the remainder is below 64")]
fn bucket(name: &str) -> usize {
    (hash64(name.as_bytes()) % BUCKETS as u64) as usize
}

/// The malformed documents: the findings of each, with their places.
pub type Findings = BTreeMap<Arc<str>, Vec<String>>;

/// The platform's list as this VM knows it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListedEntries {
    /// The VMs.
    pub vms: BTreeMap<VmName, ListedVm>,
    /// The upstreams.
    pub upstreams: BTreeMap<Upstream, ListedUpstream>,
}

/// The senders of everything published; they outlive a restart of the task.
#[derive(Debug)]
pub(super) struct Published {
    pub(super) view: watch::Sender<Arc<View>>,
    pub(super) documents: watch::Sender<Documents>,
    pub(super) listed: watch::Sender<Arc<ListedEntries>>,
    pub(super) vm_list: watch::Sender<Option<VmList>>,
    pub(super) ready: watch::Sender<bool>,
    pub(super) findings: watch::Sender<Arc<Findings>>,
    origin: Instant,
    /// Microseconds after `origin` at which the membership state last ran.
    last: AtomicU64,
    trusted: AtomicBool,
}

impl Published {
    pub(super) fn new() -> Self {
        Self {
            view: watch::Sender::default(),
            documents: watch::Sender::default(),
            listed: watch::Sender::default(),
            vm_list: watch::Sender::default(),
            ready: watch::Sender::new(false),
            findings: watch::Sender::default(),
            origin: Instant::now(),
            last: AtomicU64::new(0),
            trusted: AtomicBool::new(false),
        }
    }

    pub(super) fn set_trusted(&self, trusted: bool) {
        self.last.store(self.now(), Ordering::Release);
        self.trusted.store(trusted, Ordering::Release);
    }

    /// Returns `true` if the view was trusted at most `pause` ago and the task has run since.
    pub(super) fn trusted(&self, pause: Duration) -> bool {
        let gap = self.now().saturating_sub(self.last.load(Ordering::Acquire));
        self.trusted.load(Ordering::Acquire) && Duration::from_micros(gap) <= pause
    }

    fn now(&self) -> u64 {
        u64::try_from(self.origin.elapsed().as_micros()).unwrap_or(u64::MAX)
    }
}

#[cfg(test)]
mod tests;
