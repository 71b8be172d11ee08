//! Answers of requests with a key, kept for callers that send the key again.

use std::collections::{BTreeMap, VecDeque};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use coord::claim::KeyHash;
use tokio::sync::mpsc;
use tokio_util::task::TaskTracker;

use super::recording::{Piece, Recording};
use crate::serve::refusal::{Kind, Refusal};

/// Bytes of all kept answers; a VM may use 64 MB for coordination.
const TOTAL_BYTES: usize = 16 * 1024 * 1024;
/// How long the answer of a repeatable request is kept.
const REPEATABLE: Duration = Duration::from_secs(30);
/// Pieces that wait for a slow caller.
const QUEUE: usize = 1_024;

#[derive(Default)]
struct State {
    by_key: BTreeMap<KeyHash, Arc<Recording>>,
    /// Ended answers in the order of their ends.
    ended: VecDeque<(Instant, KeyHash, Arc<Recording>)>,
}

/// The answers that a VM keeps; clones share them.
#[derive(Clone, Default)]
pub struct AnswerStore {
    state: Arc<Mutex<State>>,
    bytes: Arc<AtomicUsize>,
    /// The tasks that pass answers on; a graceful stop waits for them.
    runs: TaskTracker,
}

/// An answer that was found, or why there is none.
pub enum Lookup {
    /// All pieces of the answer, starting with the first one.
    Answer(mpsc::Receiver<Piece>),
    /// The key belongs to a request with different contents.
    Mismatch,
    /// No answer is kept for the key.
    NotFound,
}

impl AnswerStore {
    /// Returns an empty store whose tasks run in `runs`.
    #[must_use]
    pub fn new(runs: TaskTracker) -> Self {
        Self {
            runs,
            ..Self::default()
        }
    }

    /// Starts to keep the answer of a request; `tag` tells its contents from others.
    ///
    /// `passed` of a once-only request tells whether it was dispatched.
    #[must_use]
    pub fn start_recording(
        &self,
        key: KeyHash,
        tag: u64,
        passed: Option<Arc<AtomicBool>>,
    ) -> Recorder {
        let recording = Recording::new(tag, passed, Arc::clone(&self.bytes));
        let recording = Arc::new(recording);
        self.lock().by_key.insert(key, Arc::clone(&recording));
        Recorder {
            answers: self.clone(),
            key,
            recording,
        }
    }

    /// Returns the answer of a request that runs or has ended.
    #[must_use]
    pub fn find(&self, key: KeyHash, tag: u64) -> Lookup {
        let state = self.lock();
        let Some(recording) = state.by_key.get(&key) else {
            return Lookup::NotFound;
        };
        if recording.tag() != tag {
            return Lookup::Mismatch;
        }
        // Counted as a reader under the lock, so that the request is not given up meanwhile.
        Lookup::Answer(recording.read(&self.runs))
    }

    /// Drops answers that are old, or too many.
    pub fn sweep(&self, retention: Duration) {
        let mut state = self.lock();
        let now = Instant::now();
        let old = |at: &Instant, recording: &Recording| {
            let kept = if recording.once() {
                retention
            } else {
                REPEATABLE
            };
            now.duration_since(*at) >= kept
        };
        let State { by_key, ended } = &mut *state;
        ended.retain(|(at, key, recording)| {
            let drop = old(at, recording);
            if drop {
                forget(by_key, *key, recording);
            }
            !drop
        });
        while self.bytes.load(Ordering::Acquire) > TOTAL_BYTES {
            let Some((_, key, recording)) = ended.pop_front() else {
                break;
            };
            recording.overflow();
            forget(by_key, key, &recording);
        }
    }

    /// Returns the number of answers, for metrics.
    #[must_use]
    pub fn len(&self) -> usize {
        self.lock().by_key.len()
    }

    /// Returns the number of callers that read an answer besides its first one.
    #[must_use]
    pub fn readers(&self) -> usize {
        let state = self.lock();
        state.by_key.values().map(|r| r.readers()).sum()
    }

    /// Returns true if no answer is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.lock().by_key.is_empty()
    }

    /// Passes on what `source` receives, changed by `change`.
    #[must_use]
    pub fn map<A: Send + 'static, B: Send + 'static>(
        &self,
        mut source: mpsc::Receiver<A>,
        mut change: impl FnMut(A) -> B + Send + 'static,
    ) -> mpsc::Receiver<B> {
        let (sender, receiver) = mpsc::channel(QUEUE);
        self.runs.spawn(async move {
            loop {
                let item = tokio::select! {
                    item = source.recv() => item,
                    // Dropping the source tells its own sender.
                    () = sender.closed() => return,
                };
                let Some(item) = item else { return };
                if sender.send(change(item)).await.is_err() {
                    return;
                }
            }
        });
        receiver
    }

    /// Returns a receiver of `first` and then of what `rest` receives.
    #[must_use]
    pub fn chain(&self, first: Piece, mut rest: mpsc::Receiver<Piece>) -> mpsc::Receiver<Piece> {
        let (sender, receiver) = mpsc::channel(QUEUE);
        self.runs.spawn(async move {
            let mut next = Some(first);
            while let Some(piece) = next {
                if sender.send(piece).await.is_err() {
                    return;
                }
                next = tokio::select! {
                    piece = rest.recv() => piece,
                    () = sender.closed() => return,
                };
            }
        });
        receiver
    }

    pub(super) fn runs(&self) -> &TaskTracker {
        &self.runs
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn forget(
    by_key: &mut BTreeMap<KeyHash, Arc<Recording>>,
    key: KeyHash,
    recording: &Arc<Recording>,
) {
    // A later request with the key may have taken its place.
    if by_key
        .get(&key)
        .is_some_and(|held| Arc::ptr_eq(held, recording))
    {
        by_key.remove(&key);
    }
}

/// Keeps the answer of one request; dropping it unused forgets the request.
pub struct Recorder {
    answers: AnswerStore,
    key: KeyHash,
    recording: Arc<Recording>,
}

impl Recorder {
    /// Passes an answer on to its caller and keeps it.
    ///
    /// The source is dropped, which cancels the request, when neither the caller nor another
    /// reader is there; with `complete` it is read to its end in any case.
    #[must_use]
    pub fn record(self, source: mpsc::Receiver<Piece>, complete: bool) -> mpsc::Receiver<Piece> {
        let (sender, receiver) = mpsc::channel(QUEUE);
        let runs = self.answers.runs.clone();
        runs.spawn(self.pump(source, sender, complete));
        receiver
    }

    async fn pump(
        self,
        mut source: mpsc::Receiver<Piece>,
        caller: mpsc::Sender<Piece>,
        complete: bool,
    ) {
        loop {
            let piece = tokio::select! {
                piece = source.recv() => piece.unwrap_or_else(lost),
                () = self.abandoned(&caller), if !complete => return,
            };
            let last = piece.is_last();
            let failed = match &piece {
                Piece::Fail(refusal) => Some(refusal.kind),
                _ => None,
            };
            if last {
                self.close(failed);
            }
            self.recording.push(piece.clone());
            // The caller may be gone while others read.
            let _ = caller.send(piece).await;
            if last {
                return;
            }
        }
    }

    /// Waits until nobody reads the answer, and forgets the request then.
    async fn abandoned(&self, caller: &mpsc::Sender<Piece>) {
        caller.closed().await;
        loop {
            self.recording.without_readers().await;
            let mut state = self.answers.lock();
            if self.recording.readers() == 0 {
                forget(&mut state.by_key, self.key, &self.recording);
                return;
            }
        }
    }

    /// Ends the request: an answer is kept, and so is the unknown outcome of a once-only request
    /// that was dispatched. One that was not may be tried again.
    fn close(&self, failed: Option<Kind>) {
        let kept = match failed {
            None => true,
            Some(kind) => kind == Kind::Unknown && self.recording.passed(),
        };
        let mut state = self.answers.lock();
        if kept {
            let entry = (Instant::now(), self.key, Arc::clone(&self.recording));
            state.ended.push_back(entry);
        } else {
            forget(&mut state.by_key, self.key, &self.recording);
        }
    }
}

impl Drop for Recorder {
    fn drop(&mut self) {
        if !self.recording.is_over() {
            forget(&mut self.answers.lock().by_key, self.key, &self.recording);
            self.recording.push(lost());
        }
    }
}

fn lost() -> Piece {
    Piece::Fail(Refusal::unknown(
        "internal",
        "the request ended without an answer",
    ))
}
