//! The account of the memory that callers make the process hold: bodies as they grow, and answers that they do not
//! read. See `docs/design/unknown-clients.md`.

pub mod ledger;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Frame;
use tokio::sync::Notify;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use self::ledger::{Cause, Growth, HolderId, Kind, Ledger, MAX_WAIT, SMALL_BYTES};
use crate::serve::cell::Clock;
use crate::serve::telemetry::Telemetry;

/// First size of a buffer whose final size is not known.
const FIRST_BYTES: usize = 4 * 1024;
/// Bytes that have to arrive to count as progress, so that a caller that sends single bytes makes none.
const PROGRESS_BYTES: usize = 4 * 1024;

struct State {
    ledger: Ledger,
    /// How each holder is told to give way.
    evictions: BTreeMap<HolderId, CancellationToken>,
}

struct Shared {
    state: Mutex<State>,
    freed: Notify,
    clock: Clock,
    telemetry: Telemetry,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The account of one process. Clones share it.
#[derive(Clone)]
pub struct Account(Arc<Shared>);

impl Account {
    /// Creates an account of this many bytes.
    #[must_use]
    pub fn new(size: usize, clock: Clock, telemetry: Telemetry) -> Self {
        Self(Arc::new(Shared {
            state: Mutex::new(State {
                ledger: Ledger::new(size),
                evictions: BTreeMap::new(),
            }),
            freed: Notify::new(),
            clock,
            telemetry,
        }))
    }

    /// Returns a handle without memory. `eviction` is cancelled when it has to give way; its caller counts as slow
    /// after `patience` without progress.
    #[must_use]
    pub fn open(&self, kind: Kind, patience: Duration, eviction: CancellationToken) -> Hold {
        let mut state = self.0.lock();
        let id = state.ledger.open(self.0.clock.now(), kind, patience);
        state.evictions.insert(id, eviction.clone());
        Hold {
            account: self.clone(),
            id,
            eviction,
        }
    }

    /// Writes the memory held by kind to the metrics.
    pub fn report(&self, telemetry: &Telemetry) {
        let held = Kind::ALL.map(|kind| {
            let bytes = self.0.lock().ledger.held(kind);
            u64::try_from(bytes).unwrap_or(u64::MAX)
        });
        let [body, request, answer, unread, relayed] = held;
        telemetry.gauge("memory.bodies", body);
        telemetry.gauge("memory.requests", request);
        telemetry.gauge("memory.answers", answer);
        telemetry.gauge("memory.unread", unread);
        telemetry.gauge("memory.relayed", relayed);
    }
}

/// A part of the account, which is given back when the handle is dropped.
pub struct Hold {
    account: Account,
    id: HolderId,
    eviction: CancellationToken,
}

impl Hold {
    /// Takes memory. A body waits a short time for others, and an answer until there is some.
    ///
    /// # Errors
    ///
    /// Returns why it has to give way.
    pub async fn grow(&mut self, bytes: usize) -> Result<(), Cause> {
        let shared = &self.account.0;
        let asked = shared.clock.now();
        loop {
            let freed = shared.freed.notified();
            let mut freed = std::pin::pin!(freed);
            freed.as_mut().enable();
            let now = shared.clock.now();
            let growth = {
                let mut state = shared.lock();
                let growth = state.ledger.grow(now, self.id, bytes, asked);
                if let Growth::Evict(id) = growth
                    && let Some(eviction) = state.evictions.get(&id)
                {
                    eviction.cancel();
                }
                growth
            };
            let until = match growth {
                Growth::Granted => return Ok(()),
                Growth::Refused => return Err(self.cause()),
                Growth::Evict(_) => {
                    shared.telemetry.count("memory.evicted");
                    continue;
                }
                Growth::Wait(until) => until.map_or(MAX_WAIT, |until| until.since(now)),
            };
            tokio::select! {
                () = freed => {}
                () = sleep(until.min(MAX_WAIT).max(Duration::from_millis(1))) => {}
                () = self.eviction.cancelled() => return Err(self.cause()),
            }
        }
    }

    /// Takes memory if there is some at once.
    pub fn try_grow(&mut self, bytes: usize) -> bool {
        let shared = &self.account.0;
        let now = shared.clock.now();
        let mut state = shared.lock();
        state.ledger.grow(now, self.id, bytes, now) == Growth::Granted
    }

    /// Gives memory back.
    pub fn shrink(&mut self, bytes: usize) {
        self.account.0.lock().ledger.shrink(self.id, bytes);
        self.account.0.freed.notify_waiters();
    }

    /// Records progress.
    pub fn touch(&mut self) {
        let shared = &self.account.0;
        let now = shared.clock.now();
        shared.lock().ledger.touch(now, self.id);
    }

    /// Changes what holds the memory. Returns false if it has to give way.
    pub fn convert(&mut self, kind: Kind) -> bool {
        let shared = &self.account.0;
        let now = shared.clock.now();
        shared.lock().ledger.convert(now, self.id, kind)
    }

    /// Returns what is cancelled when the memory has to be given back.
    #[must_use]
    pub fn eviction(&self) -> CancellationToken {
        self.eviction.clone()
    }

    /// Returns why the memory has to be given back.
    #[must_use]
    pub fn cause(&self) -> Cause {
        let state = self.account.0.lock();
        state.ledger.eviction(self.id).unwrap_or(Cause::Busy)
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        let mut state = self.account.0.lock();
        state.ledger.close(self.id);
        state.evictions.remove(&self.id);
        drop(state);
        self.account.0.freed.notify_waiters();
    }
}

/// Opens handles for the answer to one request. An answer that its caller does not take gives way by the end of its
/// connection.
#[derive(Clone)]
pub struct AnswerMemory {
    account: Account,
    patience: Duration,
    close: CancellationToken,
}

impl AnswerMemory {
    /// Creates it for a connection that `close` ends. Its caller counts as slow after `patience`.
    #[must_use]
    pub fn new(account: &Account, patience: Duration, close: CancellationToken) -> Self {
        Self {
            account: account.clone(),
            patience,
            close,
        }
    }

    /// Returns a buffer for an answer of `length` bytes, or up to `limit` if the length is not stated.
    #[must_use]
    pub fn buffer(&self, length: Option<usize>, limit: usize) -> Buffer {
        let hold = self.open(Kind::Answer);
        Buffer::new(hold, length, limit)
    }

    /// Waits for the memory of a frame, which is given back when the caller has taken it.
    pub async fn hold_frame(&self, frame: Frame<Bytes>) -> Frame<Bytes> {
        match frame.into_data() {
            Ok(data) => {
                let mut hold = self.open(Kind::Relayed);
                // Only the end of the connection takes the memory away, and then nobody reads the frame.
                let _ = hold.grow(data.len()).await;
                Frame::data(held_bytes(data, hold))
            }
            Err(frame) => frame,
        }
    }

    fn open(&self, kind: Kind) -> Hold {
        self.account.open(kind, self.patience, self.close.clone())
    }
}

/// Bytes with the memory that they take.
struct Held {
    bytes: Bytes,
    _hold: Hold,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Returns bytes whose memory is given back when the last reference to them is dropped.
#[must_use]
pub fn held_bytes(bytes: Bytes, hold: Hold) -> Bytes {
    Bytes::from_owner(Held { bytes, _hold: hold })
}

/// One buffer into which the frames of a body are copied, so that they do not keep the larger buffers that they were
/// cut from.
pub struct Buffer {
    hold: Hold,
    bytes: Vec<u8>,
    /// Largest capacity: the stated length, or the limit.
    most: usize,
    is_exact: bool,
    /// Length at the last progress.
    touched: usize,
}

impl Buffer {
    /// Creates an empty buffer for `length` bytes, or up to `limit` if the length is not stated.
    #[must_use]
    pub fn new(hold: Hold, length: Option<usize>, limit: usize) -> Self {
        Self {
            hold,
            bytes: Vec::new(),
            most: length.unwrap_or(limit),
            is_exact: length.is_some(),
            touched: 0,
        }
    }

    /// Returns the number of bytes.
    #[must_use]
    pub fn length(&self) -> usize {
        self.bytes.len()
    }

    /// Returns the memory that the buffer takes.
    #[must_use]
    pub fn hold(&self) -> &Hold {
        &self.hold
    }

    /// Copies a frame.
    ///
    /// # Errors
    ///
    /// Returns why the buffer has to give way.
    pub async fn push(&mut self, frame: &[u8]) -> Result<(), Cause> {
        let needed = self.bytes.len() + frame.len();
        let capacity = self.bytes.capacity();
        if needed > capacity {
            let next = self.next_capacity(needed);
            // Both the old and the new memory may be taken while the bytes are moved.
            self.hold.grow(next).await?;
            self.bytes.reserve_exact(next - self.bytes.len());
            self.hold.shrink(capacity);
        }
        self.bytes.extend_from_slice(frame);
        if needed - self.touched >= PROGRESS_BYTES {
            self.touched = needed;
            self.hold.touch();
        }
        Ok(())
    }

    /// Returns the bytes, whose memory is of another kind from now on.
    ///
    /// # Errors
    ///
    /// Returns why the buffer has to give way.
    pub fn finish(self, kind: Kind) -> Result<Bytes, Cause> {
        let Self {
            mut hold,
            mut bytes,
            ..
        } = self;
        let capacity = bytes.capacity();
        bytes.shrink_to_fit();
        hold.shrink(capacity - bytes.capacity());
        if !hold.convert(kind) {
            return Err(hold.cause());
        }
        Ok(held_bytes(bytes.into(), hold))
    }

    /// Returns a capacity that doubles, so that a caller that states much and sends little takes little.
    fn next_capacity(&self, needed: usize) -> usize {
        let first = if self.is_exact {
            SMALL_BYTES
        } else {
            FIRST_BYTES
        };
        let doubled = (2 * self.bytes.capacity()).max(first);
        doubled.min(self.most).max(needed)
    }
}
