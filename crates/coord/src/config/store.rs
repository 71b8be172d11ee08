//! The documents that one VM holds, with a digest for comparison.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::types::{BUCKETS, Document, HeldRevisions, MAX_BATCH_BYTES};
use crate::hash::{hash64, rendezvous_score};
use crate::time::Time;

/// The time for which a deletion is remembered.
///
/// It is far longer than the expected loss of contact between regions (1 h), because a VM that
/// missed the deletion would otherwise restore the document on all VMs.
pub const TOMBSTONE_RETENTION: Duration = Duration::from_hours(24);

/// Checks the text of a named document: the arguments are the name and the text, and `Err` contains
/// the findings with their positions.
pub type Validator = Arc<dyn Fn(&str, &str) -> Result<(), Vec<String>> + Send + Sync>;

/// The result of [`Store::offer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferOutcome {
    /// The revision is not newer than the one held, or it cannot be used; nothing changed.
    Stale,
    /// The revision is in force now.
    InForce,
    /// The text is malformed; the revision in force is unchanged.
    Rejected,
}

/// The latest revision of a document, if its text is malformed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RejectedDocument {
    /// The malformed revision.
    pub revision: u64,
    /// The malformed text, which is passed on so that every VM reports the findings.
    pub text: Arc<str>,
    /// The findings of the [`Validator`].
    pub findings: Vec<String>,
}

#[derive(Clone, Debug)]
enum Text {
    /// No well-formed revision is known.
    Missing,
    Present(Arc<str>),
    /// The document was deleted at this time.
    Deleted(Time),
}

#[derive(Debug)]
struct Entry {
    in_force: u64,
    text: Text,
    rejected: Option<Box<RejectedDocument>>,
}

impl Entry {
    fn latest(&self) -> u64 {
        self.rejected
            .as_ref()
            .map_or(self.in_force, |rejected| rejected.revision)
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

    /// Stores a document if its revision is higher than the one in force and its text is
    /// well-formed. A malformed text is stored beside the one in force if its revision is the
    /// highest known.
    pub fn offer(&mut self, now: Time, document: &Document) -> OfferOutcome {
        let bucket = bucket_index(&document.name);
        let held = self.buckets[bucket].get(&document.name);
        let (latest, in_force) = held.map_or((0, 0), |entry| (entry.latest(), entry.in_force));
        let is_expired = Duration::from_secs(document.age_seconds.into()) >= TOMBSTONE_RETENTION;
        if document.revision <= in_force || document.revision == latest || is_expired {
            return OfferOutcome::Stale;
        }
        let is_newest = document.revision > latest;
        let outcome = match self.validate(now, document) {
            Ok(text) => {
                let entry = self.entry_mut(bucket, &document.name);
                entry.in_force = document.revision;
                entry.text = text;
                // A malformed text of a later revision remains the latest one.
                if is_newest {
                    entry.rejected = None;
                }
                OfferOutcome::InForce
            }
            Err(_) if !is_newest => return OfferOutcome::Stale,
            Err(rejected) => {
                self.entry_mut(bucket, &document.name).rejected = Some(Box::new(rejected));
                OfferOutcome::Rejected
            }
        };
        let new_latest = self.buckets[bucket]
            .get(&document.name)
            .map_or(0, Entry::latest);
        let new_in_force = if outcome == OfferOutcome::InForce {
            document.revision
        } else {
            in_force
        };
        self.digest[bucket] ^= revision_hash(&document.name, latest, in_force);
        self.digest[bucket] ^= revision_hash(&document.name, new_latest, new_in_force);
        outcome
    }

    fn entry_mut(&mut self, bucket: usize, name: &Arc<str>) -> &mut Entry {
        let empty = || Entry {
            in_force: 0,
            text: Text::Missing,
            rejected: None,
        };
        self.buckets[bucket]
            .entry(Arc::clone(name))
            .or_insert_with(empty)
    }

    fn validate(&self, now: Time, document: &Document) -> Result<Text, RejectedDocument> {
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
        let entry = self.buckets[bucket_index(name)].get(name)?;
        match &entry.text {
            Text::Present(text) => Some((entry.in_force, Arc::clone(text))),
            Text::Missing | Text::Deleted(_) => None,
        }
    }

    /// Returns the revisions held of one document, also if it is deleted.
    #[must_use]
    pub fn held_revisions(&self, name: &str) -> Option<HeldRevisions> {
        let (name, entry) = self.buckets[bucket_index(name)].get_key_value(name)?;
        Some(revisions_of(name, entry))
    }

    /// Iterates over all documents that are in force and not deleted: name, revision and text.
    pub fn iter(&self) -> impl Iterator<Item = (&Arc<str>, u64, &Arc<str>)> {
        self.buckets
            .iter()
            .flatten()
            .filter_map(|(name, entry)| match &entry.text {
                Text::Present(text) => Some((name, entry.in_force, text)),
                Text::Missing | Text::Deleted(_) => None,
            })
    }

    /// Iterates over the documents whose latest revision is malformed.
    pub fn rejected(&self) -> impl Iterator<Item = (&Arc<str>, &RejectedDocument)> {
        let all = self.buckets.iter().flatten();
        all.filter_map(|(name, entry)| Some((name, entry.rejected.as_deref()?)))
    }

    /// Returns the digest of each bucket. Stores with the same revisions have the same digests.
    #[must_use]
    pub fn digest(&self) -> &[u64] {
        &self.digest
    }

    /// Returns the digest of the whole store, a hash over the digests of the buckets.
    #[must_use]
    pub fn root(&self) -> u64 {
        let bytes: Vec<u8> = self
            .digest
            .iter()
            .flat_map(|bucket| bucket.to_le_bytes())
            .collect();
        hash64(&bytes)
    }

    /// Returns the revisions of all documents in one bucket.
    #[must_use]
    pub fn bucket(&self, bucket: u8) -> Vec<HeldRevisions> {
        let documents = self.buckets.get(usize::from(bucket)).into_iter().flatten();
        documents
            .map(|(name, entry)| revisions_of(name, entry))
            .collect()
    }

    /// Returns the documents of `bucket` that are newer than `theirs` and fit into one message,
    /// whether there are more, and the names of documents that are newer in `theirs`.
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
            // The peer needs a later text, or a well-formed one below its malformed latest one; see
            // `HeldRevisions::is_newer_than`.
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

    /// Returns the revision in force of one document and the malformed later one, if there are any.
    #[must_use]
    pub fn documents(&self, now: Time, name: &str) -> Vec<Document> {
        let Some((name, entry)) = self.buckets[bucket_index(name)].get_key_value(name) else {
            return Vec::new();
        };
        let mut documents = Vec::new();
        let document = |revision, text, age_seconds| Document {
            name: Arc::clone(name),
            revision,
            text,
            age_seconds,
        };
        match &entry.text {
            Text::Missing => {}
            Text::Present(text) => documents.push(document(entry.in_force, Some(text.clone()), 0)),
            Text::Deleted(since) => {
                let age_seconds = u32::try_from(now.since(*since).as_secs()).unwrap_or(u32::MAX);
                documents.push(document(entry.in_force, None, age_seconds));
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

    /// Removes the records of deletions that are older than [`TOMBSTONE_RETENTION`].
    pub fn purge_tombstones(&mut self, now: Time) {
        for (bucket, documents) in self.buckets.iter_mut().enumerate() {
            let old = |_: &Arc<str>, entry: &mut Entry| {
                let deleted =
                    matches!(entry.text, Text::Deleted(at) if now.since(at) >= TOMBSTONE_RETENTION);
                deleted && entry.rejected.is_none()
            };
            for (name, entry) in documents.extract_if(.., old) {
                self.digest[bucket] ^= revision_hash(&name, entry.in_force, entry.in_force);
            }
        }
    }

    /// Returns the number of documents, including deleted ones.
    #[must_use]
    pub fn len(&self) -> usize {
        self.buckets.iter().map(BTreeMap::len).sum()
    }

    /// Returns `true` if the store has no documents, not even deleted ones.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

fn revisions_of(name: &Arc<str>, entry: &Entry) -> HeldRevisions {
    HeldRevisions {
        name: Arc::clone(name),
        latest: entry.latest(),
        in_force: entry.in_force,
    }
}

/// Returns the contribution of one document to the digest of its bucket; 0 if it is not held.
fn revision_hash(name: &str, latest: u64, in_force: u64) -> u64 {
    if latest == 0 {
        return 0;
    }
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&latest.to_le_bytes());
    bytes[8..].copy_from_slice(&in_force.to_le_bytes());
    rendezvous_score(hash64(&bytes), name)
}

#[expect(clippy::cast_possible_truncation, reason = "the remainder is below 64")]
fn bucket_index(name: &str) -> usize {
    (hash64(name.as_bytes()) % BUCKETS as u64) as usize
}
