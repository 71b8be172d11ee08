//! Stable hashes and rendezvous scores.
//!
//! VMs of different versions must compute the same values, so these functions must never change.

use xxhash_rust::xxh3::{Xxh3Default, xxh3_64, xxh3_64_with_seed, xxh3_128};

/// Returns the 64-bit XXH3 hash of `bytes`.
#[must_use]
pub fn hash64(bytes: &[u8]) -> u64 {
    xxh3_64(bytes)
}

/// Returns the 128-bit XXH3 hash of `bytes`.
#[must_use]
pub fn hash128(bytes: &[u8]) -> u128 {
    xxh3_128(bytes)
}

/// Returns the 128-bit XXH3 hash of parts that follow each other, without copying them.
pub fn hash128_of<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> u128 {
    let mut hasher = Xxh3Default::new();
    for part in parts {
        hasher.update(part);
    }
    hasher.digest128()
}

/// Returns the score of `node` for `key` in rendezvous (highest random weight) hashing.
///
/// The node with the highest score owns the key, so the removal of a node moves only the keys that
/// it owned.
#[must_use]
pub fn rendezvous_score(key: u64, node: &str) -> u64 {
    xxh3_64_with_seed(node.as_bytes(), key)
}
