//! One answer from its beginning, for any number of readers.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use hyper::{HeaderMap, StatusCode};
use tokio::sync::{mpsc, watch};
use tokio_util::task::TaskTracker;

use crate::serve::refusal::Refusal;
use crate::serve::route::{Event, Usage};

/// Bytes of one kept answer. A longer one goes to its first caller only.
const ANSWER_BYTES: usize = 2 * 1024 * 1024;
/// Bytes that one piece takes besides its text.
const PIECE_BYTES: usize = 64;
/// Pieces on their way to one reader.
const QUEUE: usize = 64;

/// A piece of an answer.
#[derive(Clone, Debug)]
pub enum Piece {
    /// The head of a plain service's answer.
    Head(StatusCode, HeaderMap),
    /// The next bytes of its body.
    Data(Bytes),
    /// Its end.
    End,
    /// The next output tokens of a model.
    Tokens(Vec<String>),
    /// The end of a model's answer.
    Finish(Usage),
    /// There will be no more of the answer.
    Fail(Refusal),
}

impl Piece {
    /// Returns true if nothing follows.
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
            // A string has a head of three words.
            Self::Tokens(tokens) => tokens.iter().map(|token| token.len() + 24).sum(),
            Self::End | Self::Finish(_) | Self::Fail(_) => 0,
        };
        text + PIECE_BYTES
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
struct Tape {
    pieces: Vec<Piece>,
    bytes: usize,
    over: bool,
    /// True once the beginning was dropped because the answer is too long.
    overflowed: bool,
}

/// One answer.
pub(super) struct Recording {
    tag: u64,
    /// Of a once-only request: whether it was dispatched.
    passed: Option<Arc<AtomicBool>>,
    tape: Mutex<Tape>,
    /// Marked as changed with every piece.
    changed: watch::Sender<()>,
    readers: watch::Sender<usize>,
    total: Arc<AtomicUsize>,
}

impl Recording {
    pub(super) fn new(tag: u64, passed: Option<Arc<AtomicBool>>, total: Arc<AtomicUsize>) -> Self {
        Self {
            tag,
            passed,
            tape: Mutex::default(),
            changed: watch::Sender::default(),
            readers: watch::Sender::default(),
            total,
        }
    }

    pub(super) fn tag(&self) -> u64 {
        self.tag
    }

    pub(super) fn once(&self) -> bool {
        self.passed.is_some()
    }

    pub(super) fn passed(&self) -> bool {
        let passed = self.passed.as_ref();
        passed.is_some_and(|passed| passed.load(Ordering::Acquire))
    }

    pub(super) fn is_over(&self) -> bool {
        self.lock().over
    }

    pub(super) fn readers(&self) -> usize {
        *self.readers.borrow()
    }

    pub(super) async fn without_readers(&self) {
        let mut readers = self.readers.subscribe();
        // The sender lives as long as `self`.
        let _ = readers.wait_for(|count| *count == 0).await;
    }

    pub(super) fn push(&self, piece: Piece) {
        let mut tape = self.lock();
        tape.over |= piece.is_last();
        if !tape.overflowed {
            let bytes = piece.bytes();
            tape.bytes += bytes;
            tape.pieces.push(piece);
            self.total.fetch_add(bytes, Ordering::AcqRel);
        }
        let too_long = tape.bytes > ANSWER_BYTES;
        drop(tape);
        if too_long {
            self.overflow();
        }
        self.changed.send_replace(());
    }

    /// Drops the pieces; readers that are not at the end are told that the answer is lost.
    pub(super) fn overflow(&self) {
        let mut tape = self.lock();
        tape.overflowed = true;
        tape.pieces = Vec::new();
        let bytes = std::mem::take(&mut tape.bytes);
        self.total.fetch_sub(bytes, Ordering::AcqRel);
    }

    /// Reads the answer from its beginning.
    pub(super) fn read(self: &Arc<Self>, runs: &TaskTracker) -> mpsc::Receiver<Piece> {
        let (sender, receiver) = mpsc::channel(QUEUE);
        let reader = Reader::new(Arc::clone(self));
        runs.spawn(reader.run(sender));
        receiver
    }

    /// Returns the piece at `index`, `None` if it is not there yet.
    fn piece(&self, index: usize) -> Option<Piece> {
        let tape = self.lock();
        if tape.overflowed {
            let text = "the answer is too long to be given a second time";
            return Some(Piece::Fail(Refusal::unknown("answer-not-kept", text)));
        }
        tape.pieces.get(index).cloned()
    }

    fn lock(&self) -> MutexGuard<'_, Tape> {
        self.tape.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Recording {
    fn drop(&mut self) {
        let bytes = self.lock().bytes;
        self.total.fetch_sub(bytes, Ordering::AcqRel);
    }
}

/// Counts one reader until it is dropped.
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
