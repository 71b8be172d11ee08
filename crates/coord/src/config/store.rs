//! The documents that one VM holds.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::types::{BUCKETS, Document, HeldRevisions, MAX_BATCH_BYTES};
use crate::hash::{hash64, rendezvous_score};
use crate::time::Time;

/// The time that a deletion is remembered: far longer than regions are expected to lose contact
/// (1 h), because a VM that missed the deletion would bring the document back.
pub const TOMBSTONE_RETENTION: Duration = Duration::from_hours(24);

/// Checks a text: `Err` lists the findings with their places.
pub type Validator = Arc<dyn Fn(&str, &str) -> Result<(), Vec<String>> + Send + Sync>;

/// What became of an offered document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferOutcome {
    /// It is older than what is held, or the same.
    Stale,
    /// It is in force now.
    InForce,
    /// It is malformed; what was in force stays.
    Rejected,
}

/// A malformed document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RejectedDocument {
    /// The malformed revision.
    pub revision: u64,
    /// Its text, passed on so that every VM reports the findings.
    pub text: Arc<str>,
    /// The findings of the validator.
    pub findings: Vec<String>,
}

#[derive(Clone, Debug)]
enum Text {
    /// No well-formed revision is known.
    Nothing,
    Present(Arc<str>),
    Deleted(Time),
}

#[derive(Debug)]
struct Entry {
    force: u64,
    text: Text,
    rejected: Option<Box<RejectedDocument>>,
}

impl Entry {
    fn latest(&self) -> u64 {
        self.rejected
            .as_ref()
            .map_or(self.force, |rejected| rejected.revision)
    }
}

/// Documents by name. The revision in force of a document never decreases.
pub struct Store {
    buckets: Vec<BTreeMap<Arc<str>, Entry>>,
    digest: Vec<u64>,
    validator: Validator,
}

impl std::fmt::Debug for Store {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Store")
            .field("buckets", &self.buckets)
            .finish_non_exhaustive()
    }
}

impl Store {
    /// Returns an empty store.
    #[must_use]
    pub fn new(validator: Validator) -> Self {
        let buckets = (0..BUCKETS).map(|_| BTreeMap::new()).collect();
        Self {
            buckets,
            digest: vec![0; BUCKETS],
            validator,
        }
    }

    /// Takes a document if its revision is higher than the one held.
    pub fn offer(&mut self, now: Time, document: &Document) -> OfferOutcome {
        let bucket = bucket(&document.name);
        let held = self.buckets[bucket].get(&document.name);
        let (latest, force) = held.map_or((0, 0), |entry| (entry.latest(), entry.force));
        let old = Duration::from_secs(document.age_seconds.into()) >= TOMBSTONE_RETENTION;
        if document.revision <= force || document.revision == latest || old {
            return OfferOutcome::Stale;
        }
        let newest = document.revision > latest;
        let offered = match self.text(now, document) {
            Ok(text) => {
                let entry = self.entry(bucket, &document.name);
                entry.force = document.revision;
                entry.text = text;
                // A later malformed text stays known as the latest one.
                if newest {
                    entry.rejected = None;
                }
                OfferOutcome::InForce
            }
            Err(_) if !newest => return OfferOutcome::Stale,
            Err(rejected) => {
                self.entry(bucket, &document.name).rejected = Some(Box::new(rejected));
                OfferOutcome::Rejected
            }
        };
        let after = self.buckets[bucket]
            .get(&document.name)
            .map_or(0, Entry::latest);
        let now_force = if offered == OfferOutcome::InForce {
            document.revision
        } else {
            force
        };
        self.digest[bucket] ^= mark(&document.name, latest, force);
        self.digest[bucket] ^= mark(&document.name, after, now_force);
        offered
    }

    fn entry(&mut self, bucket: usize, name: &Arc<str>) -> &mut Entry {
        let empty = || Entry {
            force: 0,
            text: Text::Nothing,
            rejected: None,
        };
        self.buckets[bucket]
            .entry(Arc::clone(name))
            .or_insert_with(empty)
    }

    fn text(&self, now: Time, document: &Document) -> Result<Text, RejectedDocument> {
        let Some(text) = &document.text else {
            return Ok(Text::Deleted(
                now - Duration::from_secs(document.age_seconds.into()),
            ));
        };
        let valid = (self.validator)(&document.name, text);
        valid
            .map(|()| Text::Present(Arc::clone(text)))
            .map_err(|findings| RejectedDocument {
                revision: document.revision,
                text: Arc::clone(text),
                findings,
            })
    }

    /// Returns the revision in force and its text; `None` if the document does not exist.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<(u64, Arc<str>)> {
        let entry = self.buckets[bucket(name)].get(name)?;
        match &entry.text {
            Text::Present(text) => Some((entry.force, Arc::clone(text))),
            Text::Nothing | Text::Deleted(_) => None,
        }
    }

    /// Returns the revisions held of one document, also if it is deleted.
    #[must_use]
    pub fn held_revisions(&self, name: &str) -> Option<HeldRevisions> {
        let (name, entry) = self.buckets[bucket(name)].get_key_value(name)?;
        Some(held(name, entry))
    }

    /// Returns all documents in force with their revisions.
    pub fn iter(&self) -> impl Iterator<Item = (&Arc<str>, u64, &Arc<str>)> {
        self.buckets
            .iter()
            .flatten()
            .filter_map(|(name, entry)| match &entry.text {
                Text::Present(text) => Some((name, entry.force, text)),
                Text::Nothing | Text::Deleted(_) => None,
            })
    }

    /// Returns the malformed documents with their findings.
    pub fn rejected(&self) -> impl Iterator<Item = (&Arc<str>, &RejectedDocument)> {
        let all = self.buckets.iter().flatten();
        all.filter_map(|(name, entry)| Some((name, entry.rejected.as_deref()?)))
    }

    /// Returns the digest of each bucket. Stores with the same revisions have the same digests.
    #[must_use]
    pub fn digest(&self) -> &[u64] {
        &self.digest
    }

    /// Returns the digest of all documents.
    #[must_use]
    pub fn root(&self) -> u64 {
        let bytes: Vec<u8> = self
            .digest
            .iter()
            .flat_map(|bucket| bucket.to_le_bytes())
            .collect();
        hash64(&bytes)
    }

    /// Returns what is held in one bucket.
    #[must_use]
    pub fn bucket(&self, bucket: u8) -> Vec<HeldRevisions> {
        let documents = self.buckets.get(usize::from(bucket)).into_iter().flatten();
        documents.map(|(name, entry)| held(name, entry)).collect()
    }

    /// Returns the documents of `bucket` that are newer than `theirs`, as many as fit into one
    /// message, whether there are more, and the names that `theirs` has newer.
    #[must_use]
    pub fn newer_documents(
        &self,
        now: Time,
        bucket: u8,
        theirs: &[HeldRevisions],
    ) -> (Vec<Document>, bool, Vec<Arc<str>>) {
        let theirs: BTreeMap<_, _> = theirs.iter().map(|held| (&held.name, held)).collect();
        let mut found = Vec::new();
        let mut bytes = 0;
        let mut more = false;
        let missing = self.bucket(bucket).into_iter().flat_map(|ours| {
            let theirs = theirs
                .get(&ours.name)
                .map_or((0, 0), |held| (held.latest, held.in_force));
            let documents = self.documents(now, &ours.name).into_iter();
            // They need a later text, or the good one below a malformed latest one; see `HeldRevisions::is_newer_than`.
            documents.filter(move |document| {
                let fallback = document.revision > theirs.1 && document.revision < theirs.0;
                document.revision > theirs.0 || fallback && document.revision == ours.in_force
            })
        });
        for document in missing {
            bytes += document.size();
            if bytes > MAX_BATCH_BYTES && !found.is_empty() {
                more = true;
                break;
            }
            found.push(document);
        }
        let wanted = theirs.values().filter(|theirs| {
            let ours = self.held_revisions(&theirs.name);
            ours.is_none_or(|ours| theirs.is_newer_than(&ours))
        });
        (
            found,
            more,
            wanted.map(|held| Arc::clone(&held.name)).collect(),
        )
    }

    /// Returns the text in force and the malformed later one, if any, of one document.
    #[must_use]
    pub fn documents(&self, now: Time, name: &str) -> Vec<Document> {
        let Some((name, entry)) = self.buckets[bucket(name)].get_key_value(name) else {
            return Vec::new();
        };
        let mut documents = Vec::new();
        let document = |revision, text, age| Document {
            name: Arc::clone(name),
            revision,
            text,
            age_seconds: age,
        };
        match &entry.text {
            Text::Nothing => {}
            Text::Present(text) => documents.push(document(entry.force, Some(text.clone()), 0)),
            Text::Deleted(since) => {
                let age = u32::try_from(now.since(*since).as_secs()).unwrap_or(u32::MAX);
                documents.push(document(entry.force, None, age));
            }
        }
        if let Some(rejected) = &entry.rejected {
            documents.push(document(
                rejected.revision,
                Some(Arc::clone(&rejected.text)),
                0,
            ));
        }
        documents
    }

    /// Forgets deletions older than [`TOMBSTONE_RETENTION`].
    pub fn purge_tombstones(&mut self, now: Time) {
        for (bucket, documents) in self.buckets.iter_mut().enumerate() {
            let old = |_: &Arc<str>, entry: &mut Entry| {
                let deleted =
                    matches!(entry.text, Text::Deleted(at) if now.since(at) >= TOMBSTONE_RETENTION);
                deleted && entry.rejected.is_none()
            };
            for (name, entry) in documents.extract_if(.., old) {
                self.digest[bucket] ^= mark(&name, entry.force, entry.force);
            }
        }
    }

    /// Returns the number of names held, deleted ones included.
    #[must_use]
    pub fn len(&self) -> usize {
        self.buckets.iter().map(BTreeMap::len).sum()
    }

    /// Returns `true` if no name is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

fn held(name: &Arc<str>, entry: &Entry) -> HeldRevisions {
    HeldRevisions {
        name: Arc::clone(name),
        latest: entry.latest(),
        in_force: entry.force,
    }
}

/// The share of one document in the digest of its bucket; 0 if it is not held.
fn mark(name: &str, latest: u64, force: u64) -> u64 {
    if latest == 0 {
        return 0;
    }
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&latest.to_le_bytes());
    bytes[8..].copy_from_slice(&force.to_le_bytes());
    rendezvous_score(hash64(&bytes), name)
}

#[expect(clippy::cast_possible_truncation, reason = "the remainder is below 64")]
fn bucket(name: &str) -> usize {
    (hash64(name.as_bytes()) % BUCKETS as u64) as usize
}
