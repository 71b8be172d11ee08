//! Whether a call's path is covered by a path of the document.

use crate::ini::PathPrefix;

impl PathPrefix {
    /// Returns whether `path` is this path or below it.
    ///
    /// Upstreams may read `/Top-Up`, `//top-up`, `/x/../top-up` and `/top%2Dup` as the same
    /// path. All of them are covered: a call that is wrongly taken for once-only loses a retry,
    /// but one that is wrongly repeated runs twice.
    #[must_use]
    pub fn covers(&self, path: &str) -> bool {
        let prefix = segments(&self.0);
        segments(path).starts_with(&prefix)
    }
}

fn segments(path: &str) -> Vec<String> {
    let path = path.split(['?', '#']).next().unwrap_or_default();
    let decoded = decode(path).to_lowercase();
    let mut segments = Vec::new();
    for part in decoded.split(['/', '\\']) {
        // A segment may carry parameters after a semicolon.
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

/// Replaces `%XX` by its byte; a malformed escape stays as it is.
fn decode(path: &str) -> String {
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
