//! The recording of one answer, which any number of readers can read from its beginning.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use hyper::{HeaderMap, StatusCode};
use tokio::sync::{mpsc, watch};
use tokio_util::task::TaskTracker;

use crate::serve::refusal::Refusal;
use crate::serve::route::{Event, Usage};

/// The maximum size of a kept answer. A longer one is delivered to its first caller only.
const MAX_ANSWER_BYTES: usize = 2 * 1024 * 1024;
/// The estimated memory of a piece besides its contents.
const PIECE_OVERHEAD_BYTES: usize = 64;
/// The capacity of the channel to one reader.
const QUEUE_PIECES: usize = 64;

/// A piece of an answer.
#[derive(Clone, Debug)]
pub enum Piece {
    /// The head of a plain service's answer.
    Head(StatusCode, HeaderMap),
    /// The next bytes of the body of a plain service's answer.
    Data(Bytes),
    /// The end of a plain service's answer.
    End,
    /// The next output tokens of a model.
    Tokens(Vec<String>),
    /// The end of a model's answer.
    Finish(Usage),
    /// The failure that ends the answer, also after some of its pieces.
    Fail(Refusal),
}

impl Piece {
    /// Returns true if no piece follows this one.
    #[must_use]
    pub fn is_last(&self) -> bool {
        matches!(self, Self::End | Self::Finish(_) | Self::Fail(_))
    }

    fn bytes(&self) -> usize {
        let text = match self {
            Self::Head(_, headers) => headers
                .iter()
                .map(|(k, v)| k.as_str().len() + v.len())
                .sum(),
            Self::Data(data) => data.len(),
            // A `String` takes 24 bytes (three words) besides its text.
            Self::Tokens(tokens) => tokens.iter().map(|token| token.len() + 24).sum(),
            Self::End | Self::Finish(_) | Self::Fail(_) => 0,
        };
        text + PIECE_OVERHEAD_BYTES
    }
}

impl From<Event> for Piece {
    fn from(event: Event) -> Self {
        match event {
            Event::Tokens(tokens) => Self::Tokens(tokens),
            Event::Finish(usage) => Self::Finish(usage),
            Event::Fail(refusal) => Self::Fail(refusal),
        }
    }
}

impl From<Piece> for Event {
    fn from(piece: Piece) -> Self {
        match piece {
            Piece::Tokens(tokens) => Self::Tokens(tokens),
            Piece::Finish(usage) => Self::Finish(usage),
            Piece::Fail(refusal) => Self::Fail(refusal),
            Piece::Head(..) | Piece::Data(_) | Piece::End => {
                let text = "the key belongs to a call of a plain service";
                Self::Fail(Refusal::unknown("internal", text))
            }
        }
    }
}

#[derive(Default)]
struct Contents {
    pieces: Vec<Piece>,
    bytes: usize,
    ended: bool,
    /// True once the pieces were dropped because this answer or the whole store is too large.
    overflowed: bool,
}

/// The answer of one request, which may still be running.
pub(super) struct Recording {
    content_hash: u64,
    /// Whether the request was dispatched; `None` for a repeatable request.
    dispatched: Option<Arc<AtomicBool>>,
    contents: Mutex<Contents>,
    /// Notifies readers of every new piece.
    changed: watch::Sender<()>,
    readers: watch::Sender<usize>,
    /// The bytes of all recordings of the store.
    total: Arc<AtomicUsize>,
}

impl Recording {
    pub(super) fn new(
        content_hash: u64,
        dispatched: Option<Arc<AtomicBool>>,
        total: Arc<AtomicUsize>,
    ) -> Self {
        Self {
            content_hash,
            dispatched,
            contents: Mutex::default(),
            changed: watch::Sender::default(),
            readers: watch::Sender::default(),
            total,
        }
    }

    pub(super) fn content_hash(&self) -> u64 {
        self.content_hash
    }

    pub(super) fn is_once_only(&self) -> bool {
        self.dispatched.is_some()
    }

    pub(super) fn dispatched(&self) -> bool {
        let dispatched = self.dispatched.as_ref();
        dispatched.is_some_and(|dispatched| dispatched.load(Ordering::Acquire))
    }

    pub(super) fn has_ended(&self) -> bool {
        self.lock().ended
    }

    pub(super) fn readers(&self) -> usize {
        *self.readers.borrow()
    }

    pub(super) async fn wait_for_no_readers(&self) {
        let mut readers = self.readers.subscribe();
        // The wait cannot fail, because the sender lives as long as `self`.
        let _ = readers.wait_for(|count| *count == 0).await;
    }

    pub(super) fn push(&self, piece: Piece) {
        let mut contents = self.lock();
        contents.ended |= piece.is_last();
        if !contents.overflowed {
            let bytes = piece.bytes();
            contents.bytes += bytes;
            contents.pieces.push(piece);
            self.total.fetch_add(bytes, Ordering::AcqRel);
        }
        let too_long = contents.bytes > MAX_ANSWER_BYTES;
        drop(contents);
        if too_long {
            self.overflow();
        }
        self.changed.send_replace(());
    }

    /// Drops the pieces. Readers that have not reached the end receive a failure, because they
    /// would miss the dropped pieces.
    pub(super) fn overflow(&self) {
        let mut contents = self.lock();
        contents.overflowed = true;
        contents.pieces = Vec::new();
        let bytes = std::mem::take(&mut contents.bytes);
        self.total.fetch_sub(bytes, Ordering::AcqRel);
    }

    /// Registers a reader and returns a receiver of all pieces from the first one.
    pub(super) fn read(self: &Arc<Self>, tasks: &TaskTracker) -> mpsc::Receiver<Piece> {
        let (sender, receiver) = mpsc::channel(QUEUE_PIECES);
        let reader = Reader::new(Arc::clone(self));
        tasks.spawn(reader.run(sender));
        receiver
    }

    /// Returns the piece at `index`, or `None` if it has not been recorded yet. Once the pieces
    /// were dropped, returns a failure instead.
    fn piece(&self, index: usize) -> Option<Piece> {
        let contents = self.lock();
        if contents.overflowed {
            let text = "the answer is too long to be given a second time";
            return Some(Piece::Fail(Refusal::unknown("answer-not-kept", text)));
        }
        contents.pieces.get(index).cloned()
    }

    fn lock(&self) -> MutexGuard<'_, Contents> {
        self.contents.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Recording {
    fn drop(&mut self) {
        let bytes = self.lock().bytes;
        self.total.fetch_sub(bytes, Ordering::AcqRel);
    }
}

/// A reader of a recording. It is counted in [`Recording::readers()`] until it is dropped.
struct Reader(Arc<Recording>);

impl Reader {
    fn new(recording: Arc<Recording>) -> Self {
        recording.readers.send_modify(|count| *count += 1);
        Self(recording)
    }

    async fn run(self, sender: mpsc::Sender<Piece>) {
        let mut changed = self.0.changed.subscribe();
        let mut index = 0;
        loop {
            changed.mark_unchanged();
            while let Some(piece) = self.0.piece(index) {
                index += 1;
                let last = piece.is_last();
                if sender.send(piece).await.is_err() || last {
                    return;
                }
            }
            tokio::select! {
                _ = changed.changed() => {}
                () = sender.closed() => return,
            }
        }
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.0.readers.send_modify(|count| *count -= 1);
    }
}
