//! The text that engines generate for a prompt.
//!
//! A token depends only on the prompt and the token's index. A stream that another engine resumes
//! therefore continues the same text, and tests can compute the expected answer.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// The length of prompt text that counts as one token.
const BYTES_PER_TOKEN: usize = 4;

/// The syllables of the generated words. There are 32, so that 5 bits select one.
const SYLLABLES: [&str; 32] = [
    "ba", "be", "bo", "ca", "ce", "co", "da", "de", "do", "fa", "fe", "fo", "ga", "go", "la", "le",
    "lo", "ma", "me", "mo", "na", "ne", "no", "pa", "pe", "po", "ra", "re", "ro", "sa", "se", "so",
];

/// Returns the number of tokens of `prompt`: one for each 4 bytes or part of them, at least 1.
#[must_use]
pub fn prompt_tokens(prompt: &str) -> u32 {
    let tokens = prompt.len().div_ceil(BYTES_PER_TOKEN).max(1);
    u32::try_from(tokens).unwrap_or(u32::MAX)
}

/// Returns the hashes of the prefixes of `prompt` that consist of whole blocks, shortest first.
///
/// The `k`-th hash is the 64-bit xxh3 of the first `k * block_tokens * 4` bytes.
#[must_use]
pub fn prefix_hashes(prompt: &str, block_tokens: u32) -> Vec<u64> {
    let block_bytes = (block_tokens.max(1) as usize) * BYTES_PER_TOKEN;
    let block_count = prompt.len() / block_bytes;
    let bytes = prompt.as_bytes();
    (1..=block_count)
        .map(|k| xxh3_64(&bytes[..k * block_bytes]))
        .collect()
}

/// Returns the seed from which the tokens of the answer to `prompt` are derived.
pub(crate) fn answer_seed(prompt: &str) -> u64 {
    xxh3_64(prompt.as_bytes())
}

/// Returns the token at `index` of the answer with `seed`: a space and a word of 4 syllables.
///
/// The syllables are selected by the lowest 20 bits of a hash.
pub(crate) fn seeded_token(seed: u64, index: u32) -> String {
    let mut bits = xxh3_64_with_seed(&index.to_le_bytes(), seed);
    let mut word = String::with_capacity(9);
    word.push(' ');
    for _ in 0..4 {
        word.push_str(SYLLABLES[(bits & 31) as usize]);
        bits >>= 5;
    }
    word
}

/// Returns the token at `index` of the answer to `prompt`.
#[must_use]
pub fn token(prompt: &str, index: u32) -> String {
    seeded_token(answer_seed(prompt), index)
}

/// Returns the first `tokens` tokens of the answer to `prompt`, concatenated.
#[must_use]
pub fn answer(prompt: &str, tokens: u32) -> String {
    let seed = answer_seed(prompt);
    (0..tokens).map(|index| seeded_token(seed, index)).collect()
}
