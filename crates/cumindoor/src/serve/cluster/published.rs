//! The state that the cluster task publishes to the rest of the process.

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

/// The number of buckets that hold the documents. A change copies only the bucket of the changed
/// document.
const BUCKET_COUNT: usize = 64;

/// The text of a document that is in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PublishedDocument {
    /// The revision of the document with this text.
    pub revision: u64,
    /// The newest valid text.
    pub text: Arc<str>,
}

type Bucket = Arc<BTreeMap<Arc<str>, PublishedDocument>>;

/// A snapshot of the documents in force. Clones share the contents.
#[derive(Clone, Debug)]
pub struct Documents {
    buckets: Vec<Bucket>,
}

impl Default for Documents {
    fn default() -> Self {
        Self {
            buckets: vec![Bucket::default(); BUCKET_COUNT],
        }
    }
}

impl Documents {
    /// Returns the document of this name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&PublishedDocument> {
        self.buckets[bucket_index(name)].get(name)
    }

    /// Returns all documents with their names, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (&Arc<str>, &PublishedDocument)> {
        self.buckets.iter().flat_map(|bucket| bucket.iter())
    }

    /// Returns the sorted names of documents that differ from `old`, including deleted ones.
    /// Buckets that both snapshots share are skipped.
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

    /// Stores the text of a document, or removes the document. A revision lower than the published
    /// one is ignored, because a restarted task receives its documents again in any order.
    pub(super) fn set(&mut self, name: &Arc<str>, revision: u64, text: Option<Arc<str>>) {
        let bucket = &mut self.buckets[bucket_index(name)];
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
fn bucket_index(name: &str) -> usize {
    (hash64(name.as_bytes()) % BUCKET_COUNT as u64) as usize
}

/// The findings in each malformed document, with their locations.
pub type ValidationErrors = BTreeMap<Arc<str>, Vec<String>>;

/// The platform's list of VMs and upstreams, as far as this VM has received it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListedEntries {
    /// The VMs by name.
    pub vms: BTreeMap<VmName, ListedVm>,
    /// The upstreams by name.
    pub upstreams: BTreeMap<Upstream, ListedUpstream>,
}

/// The senders of all published state, which outlive a restart of the task.
#[derive(Debug)]
pub(super) struct Published {
    pub(super) view: watch::Sender<Arc<View>>,
    pub(super) documents: watch::Sender<Documents>,
    pub(super) listed: watch::Sender<Arc<ListedEntries>>,
    pub(super) vm_list: watch::Sender<Option<VmList>>,
    pub(super) ready: watch::Sender<bool>,
    pub(super) findings: watch::Sender<Arc<ValidationErrors>>,
    origin: Instant,
    /// The time of the last update of the membership state, in microseconds after `origin`.
    updated_us: AtomicU64,
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
            updated_us: AtomicU64::new(0),
            trusted: AtomicBool::new(false),
        }
    }

    pub(super) fn set_trusted(&self, trusted: bool) {
        self.updated_us.store(self.now_us(), Ordering::Release);
        self.trusted.store(trusted, Ordering::Release);
    }

    /// Returns `true` if the last update was at most `max_age` ago and found the view trusted.
    pub(super) fn trusted(&self, max_age: Duration) -> bool {
        let age = self
            .now_us()
            .saturating_sub(self.updated_us.load(Ordering::Acquire));
        self.trusted.load(Ordering::Acquire) && Duration::from_micros(age) <= max_age
    }

    fn now_us(&self) -> u64 {
        u64::try_from(self.origin.elapsed().as_micros()).unwrap_or(u64::MAX)
    }
}

#[cfg(test)]
mod tests;
