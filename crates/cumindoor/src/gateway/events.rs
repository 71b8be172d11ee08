//! Events of a stream, as they are cut out of the bytes that arrive.
//!
//! Only whole events go to the caller: an upstream may break off in the middle of one, and another
//! one then sends it again as a whole.

use bytes::{Bytes, BytesMut};

/// Bytes of one event at most; an upstream that sends more without an end is broken.
const EVENT_LIMIT: usize = 1024 * 1024;

/// Collects bytes and yields whole events that the caller has not seen.
#[derive(Debug, Default)]
pub struct Events {
    pending: BytesMut,
    /// The number of the last event that was yielded.
    last: Option<u64>,
}

impl Events {
    /// Returns a collector for a caller that has all events up to `last`.
    #[must_use]
    pub fn after(last: Option<u64>) -> Self {
        Self {
            pending: BytesMut::new(),
            last,
        }
    }

    /// Returns the number of the last event that was yielded.
    #[must_use]
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Takes bytes and returns the whole events among them, without those seen before.
    ///
    /// Returns `None` if an event is over the limit or numbers go back within one run.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        self.pending.extend_from_slice(bytes);
        let mut ready = BytesMut::new();
        let mut searched = 0;
        while let Some(end) = find_end(&self.pending[searched..]) {
            let event = self.pending.split_to(searched + end);
            searched = 0;
            match number(&event) {
                Some(number) if self.last.is_some_and(|last| number <= last) => {}
                Some(number) => {
                    self.last = Some(number);
                    ready.extend_from_slice(&event);
                }
                None => ready.extend_from_slice(&event),
            }
        }
        (self.pending.len() <= EVENT_LIMIT).then(|| ready.freeze())
    }

    /// Returns whether the bytes end with a whole event.
    #[must_use]
    pub fn is_whole(&self) -> bool {
        self.pending.is_empty()
    }

    /// Drops the part of an event that was cut.
    pub fn restart(&mut self) {
        self.pending.clear();
    }
}

/// Returns the length of the first event, its blank line included.
fn find_end(bytes: &[u8]) -> Option<usize> {
    let ends = [b"\n\n".as_slice(), b"\r\n\r\n"];
    let found = ends.iter().filter_map(|end| {
        let at = bytes.windows(end.len()).position(|window| window == *end)?;
        Some(at + end.len())
    });
    found.min()
}

/// Returns the number in the event's `id` field.
fn number(event: &[u8]) -> Option<u64> {
    let lines = event.split(|byte| *byte == b'\n');
    let id = lines
        .filter_map(|line| line.strip_prefix(b"id:"))
        .next_back()?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}
