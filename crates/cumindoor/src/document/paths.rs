//! Matching of request paths against the path prefixes of a document.

use crate::ini::PathPrefix;

impl PathPrefix {
    /// Returns whether `path` is this path or below it.
    ///
    /// Upstreams may treat `/Top-Up`, `//top-up`, `/x/../top-up` and `/top%2Dup` as the same
    /// path, so all of them match. A false match only costs a retry, but a missed one can make
    /// a call that must run at most once run twice.
    #[must_use]
    pub fn covers(&self, path: &str) -> bool {
        let prefix = normalized_segments(&self.0);
        normalized_segments(path).starts_with(&prefix)
    }
}

fn normalized_segments(path: &str) -> Vec<String> {
    let path = path.split(['?', '#']).next().unwrap_or_default();
    let decoded = percent_decode(path).to_lowercase();
    let mut segments = Vec::new();
    for part in decoded.split(['/', '\\']) {
        // RFC 3986 allows parameters after a semicolon in a segment.
        let segment = part.split(';').next().unwrap_or_default();
        match segment {
            "" | "." => {}
            ".." => {
                segments.pop();
            }
            _ => segments.push(segment.to_owned()),
        }
    }
    segments
}

/// Decodes percent-encoded bytes; leaves malformed escapes unchanged.
fn percent_decode(path: &str) -> String {
    let bytes = path.as_bytes();
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut index = 0;
    while let Some(byte) = bytes.get(index) {
        let escape = (*byte == b'%')
            .then(|| path.get(index + 1..index + 3))
            .flatten()
            .filter(|digits| digits.bytes().all(|digit| digit.is_ascii_hexdigit()))
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        decoded.push(escape.unwrap_or(*byte));
        index += if escape.is_some() { 3 } else { 1 };
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
