//! Splits a stream of server-sent events.
//!
//! Only complete events are relayed to the caller: if an upstream breaks off within an event,
//! another one sends that event again from its start.

use bytes::{Bytes, BytesMut};

/// Largest event in bytes. An upstream that sends more without ending the event is faulty.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Buffers bytes and returns complete events that the caller has not received yet.
#[derive(Debug, Default)]
pub struct EventBuffer {
    pending: BytesMut,
    /// Id of the last event that was returned.
    last_id: Option<u64>,
}

impl EventBuffer {
    /// Creates a buffer for a caller that has received all events up to `last_id`.
    #[must_use]
    pub fn after(last_id: Option<u64>) -> Self {
        Self {
            pending: BytesMut::new(),
            last_id,
        }
    }

    /// Returns the id of the last event that was returned.
    #[must_use]
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Adds bytes and returns the complete events among them, without those that were returned
    /// before.
    ///
    /// Returns `None` if an event exceeds the size limit.
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

    /// Returns whether the bytes so far end at the end of an event.
    #[must_use]
    pub fn is_at_boundary(&self) -> bool {
        self.pending.is_empty()
    }

    /// Discards an incomplete event at the end of the buffer.
    pub fn discard_partial(&mut self) {
        self.pending.clear();
    }
}

/// Returns the length of the first event, including its terminating blank line.
fn event_length(bytes: &[u8]) -> Option<usize> {
    let ends = [b"\n\n".as_slice(), b"\r\n\r\n"];
    let found = ends.iter().filter_map(|end| {
        let at = bytes.windows(end.len()).position(|window| window == *end)?;
        Some(at + end.len())
    });
    found.min()
}

/// Parses the event's `id` field.
fn event_id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|byte| *byte == b'\n');
    let value = lines
        .filter_map(|line| line.strip_prefix(b"id:"))
        .next_back()?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
