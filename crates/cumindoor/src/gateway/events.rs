//! Events of a stream, as they are cut out of the bytes that arrive.
//!
//! Only whole events go to the caller: an upstream may break off in the middle of one, and another
//! one then sends it again as a whole.

use bytes::{Bytes, BytesMut};

/// Bytes of one event at most; an upstream that sends more without an end is broken.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Collects bytes and yields whole events that the caller has not seen.
#[derive(Debug, Default)]
pub struct EventBuffer {
    pending: BytesMut,
    /// The number of the last event that was yielded.
    last_id: Option<u64>,
}

impl EventBuffer {
    /// Returns a collector for a caller that has all events up to `last`.
    #[must_use]
    pub fn after(last_id: Option<u64>) -> Self {
        Self {
            pending: BytesMut::new(),
            last_id,
        }
    }

    /// Returns the number of the last event that was yielded.
    #[must_use]
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Takes bytes and returns the whole events among them, without those seen before.
    ///
    /// Returns `None` if an event is over the limit or numbers go back within one run.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        self.pending.extend_from_slice(bytes);
        let mut ready = BytesMut::new();
        let mut searched = 0;
        while let Some(end) = event_length(&self.pending[searched..]) {
            let event = self.pending.split_to(searched + end);
            searched = 0;
            match event_id(&event) {
                Some(id) if self.last_id.is_some_and(|last_id| id <= last_id) => {}
                Some(id) => {
                    self.last_id = Some(id);
                    ready.extend_from_slice(&event);
                }
                None => ready.extend_from_slice(&event),
            }
        }
        (self.pending.len() <= MAX_EVENT_BYTES).then(|| ready.freeze())
    }

    /// Returns whether the bytes end with a whole event.
    #[must_use]
    pub fn is_at_boundary(&self) -> bool {
        self.pending.is_empty()
    }

    /// Drops the part of an event that was cut.
    pub fn discard_partial(&mut self) {
        self.pending.clear();
    }
}

/// Returns the length of the first event, its blank line included.
fn event_length(bytes: &[u8]) -> Option<usize> {
    let ends = [b"\n\n".as_slice(), b"\r\n\r\n"];
    let found = ends.iter().filter_map(|end| {
        let at = bytes.windows(end.len()).position(|window| window == *end)?;
        Some(at + end.len())
    });
    found.min()
}

/// Returns the number in the event's `id` field.
fn event_id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|byte| *byte == b'\n');
    let value = lines
        .filter_map(|line| line.strip_prefix(b"id:"))
        .next_back()?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
