//! The keys by which callers show for which organisation they send.

use std::collections::BTreeMap;
use std::hash::{BuildHasher, RandomState};
use std::sync::Arc;

use border::{ApiKey, OrganisationDef, Routing};

/// A keyed hash of a secret. Its seeds are known to this process alone.
type Fingerprint = (u64, u64);

/// The organisations of one version of the configuration, by key.
///
/// Only fingerprints are kept. The time of a look-up depends on the length of the key that a caller sends, and not
/// on how much of it agrees with a valid one.
#[derive(Debug, Default)]
pub struct KeyTable {
    seeds: (RandomState, RandomState),
    holders: BTreeMap<Fingerprint, Arc<OrganisationDef>>,
}

impl KeyTable {
    /// Indexes the keys of a configuration. If two organisations have the same key, nobody can tell them apart, and
    /// the first one in the configuration holds it.
    #[must_use]
    pub fn new(routing: &Routing) -> Self {
        let mut table = Self::default();
        for def in routing.organisations.iter().flatten() {
            for key in &def.keys {
                let holder = || Arc::clone(def);
                let fingerprint = table.fingerprint(key);
                table.holders.entry(fingerprint).or_insert_with(holder);
            }
        }
        table
    }

    /// Returns the organisation that holds a key.
    #[must_use]
    pub fn holder(&self, key: &ApiKey) -> Option<&Arc<OrganisationDef>> {
        self.holders.get(&self.fingerprint(key))
    }

    fn fingerprint(&self, key: &ApiKey) -> Fingerprint {
        let (first, second) = &self.seeds;
        let bytes = key.as_bytes();
        (first.hash_one(bytes), second.hash_one(bytes))
    }
}
