//! Splits a stream of server-sent events.
//!
//! Only complete events are relayed to the caller: if an upstream breaks off within an event,
//! another one sends that event again from its start.

use bytes::{Bytes, BytesMut};
use derive_more::Display;

/// Largest event in bytes. An upstream that sends more without ending the event is faulty.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// An event exceeds the size limit.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display("an event exceeds {MAX_EVENT_BYTES} bytes")]
pub struct OversizedEvent;

/// Buffers bytes and returns complete events that the caller has not received yet.
#[derive(Debug, Default)]
pub struct EventBuffer {
    pending: BytesMut,
    finder: EndFinder,
    /// Id of the last event that was returned.
    last_id: Option<u64>,
    /// Number of events that ended, with those that were returned before.
    ended: u64,
}

impl EventBuffer {
    /// Creates a buffer for a caller that has received all events up to `last_id`.
    #[must_use]
    pub fn after(last_id: Option<u64>) -> Self {
        Self {
            last_id,
            ..Self::default()
        }
    }

    /// Returns the id of the last event that was returned.
    #[must_use]
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns how many events have ended, including repeated ones that were left out.
    #[must_use]
    pub fn ended(&self) -> u64 {
        self.ended
    }

    /// Adds bytes and returns the complete events among them, without those that were returned
    /// before. Each byte is searched once, however the bytes are split.
    ///
    /// # Errors
    ///
    /// Returns [`OversizedEvent`] if an event exceeds the size limit. Complete events that precede it
    /// in the same bytes are returned first, and the error follows with the next bytes.
    pub fn push(&mut self, mut bytes: &[u8]) -> Result<Bytes, OversizedEvent> {
        let mut ready = BytesMut::new();
        let oversized = loop {
            if self.pending.len() > MAX_EVENT_BYTES {
                break true;
            }
            let Some(length) = self.finder.find(bytes) else {
                self.pending.extend_from_slice(bytes);
                break self.pending.len() > MAX_EVENT_BYTES;
            };
            let (end, rest) = bytes.split_at(length);
            self.pending.extend_from_slice(end);
            if self.pending.len() <= MAX_EVENT_BYTES {
                self.end_event(&mut ready);
            }
            bytes = rest;
        };
        if oversized && ready.is_empty() {
            return Err(OversizedEvent);
        }
        Ok(ready.freeze())
    }

    /// Takes the complete event in `pending`, and adds it to `ready` unless it was returned before.
    fn end_event(&mut self, ready: &mut BytesMut) {
        let event = self.pending.split();
        self.ended += 1;
        let id = event_id(&event);
        if let (Some(id), Some(last_id)) = (id, self.last_id)
            && id <= last_id
        {
            return;
        }
        self.last_id = id.or(self.last_id);
        ready.extend_from_slice(&event);
    }

    /// Returns whether the bytes so far end at the end of an event.
    #[must_use]
    pub fn is_at_boundary(&self) -> bool {
        self.pending.is_empty()
    }

    /// Discards an incomplete event at the end of the buffer.
    pub fn discard_partial(&mut self) {
        self.pending.clear();
        self.finder = EndFinder::default();
    }
}

/// Finds the blank line that ends an event. It keeps the bytes that may begin that line, so that no
/// byte of an event that arrives in many pieces is searched again.
#[derive(Debug, Default)]
struct EndFinder {
    /// The last bytes of the event so far, the newest one at the end.
    last: [u8; 3],
}

impl EndFinder {
    /// Searches the next bytes of an event and returns how many of them belong to it, or `None` if
    /// it goes on after them.
    fn find(&mut self, bytes: &[u8]) -> Option<usize> {
        let end = bytes.iter().position(|byte| self.is_end(*byte))?;
        self.last = <[u8; 3]>::default();
        Some(end + 1)
    }

    fn is_end(&mut self, byte: u8) -> bool {
        let [_, second, third] = self.last;
        let ends = byte == b'\n' && (third == b'\n' || self.last == *b"\r\n\r");
        self.last = [second, third, byte];
        ends
    }
}

/// Parses the event's `id` field.
fn event_id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|byte| *byte == b'\n');
    let value = lines
        .filter_map(|line| line.strip_prefix(b"id:"))
        .next_back()?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
