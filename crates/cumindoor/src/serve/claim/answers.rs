//! Stores the answers of requests with an idempotency key for callers that repeat the request.

use std::collections::{BTreeMap, VecDeque};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use coord::claim::KeyHash;
use tokio::sync::mpsc;
use tokio_util::task::TaskTracker;

use super::recording::{Piece, Recording};
use crate::serve::refusal::{Kind, Refusal};

/// The limit of the memory for all kept answers. It is a quarter of the 64 MB that a VM may use for
/// coordination.
const MAX_TOTAL_BYTES: usize = 16 * 1024 * 1024;
/// The time for which the answer of a repeatable request is kept after its end.
const REPEATABLE_RETENTION: Duration = Duration::from_secs(30);
/// The capacity of the channel to a caller. While it is full, the sender waits for the caller.
const QUEUE_PIECES: usize = 1_024;

#[derive(Default)]
struct State {
    by_key: BTreeMap<KeyHash, Arc<Recording>>,
    /// Answers that ended and are kept, with the time of their end, oldest first.
    ended: VecDeque<(Instant, KeyHash, Arc<Recording>)>,
}

/// The answers that this VM keeps. Clones share the same store.
#[derive(Clone, Default)]
pub struct AnswerStore {
    state: Arc<Mutex<State>>,
    bytes: Arc<AtomicUsize>,
    /// The tasks that forward answers. A graceful shutdown waits for them.
    tasks: TaskTracker,
}

/// The result of a search for the answer to a key.
pub enum Lookup {
    /// All pieces of the answer, starting with the first one.
    Answer(mpsc::Receiver<Piece>),
    /// The key belongs to a request with different contents.
    Mismatch,
    /// No answer is kept for the key.
    NotFound,
}

impl AnswerStore {
    /// Returns an empty store whose tasks are spawned on `tasks`.
    #[must_use]
    pub fn new(tasks: TaskTracker) -> Self {
        Self {
            tasks,
            ..Self::default()
        }
    }

    /// Starts to record the answer of a request. `content_hash` is a hash computed from the
    /// request; it distinguishes requests that have the same key.
    ///
    /// `dispatched` is `None` for a repeatable request. For a once-only request, its value becomes
    /// true when the request may have been sent to an upstream.
    #[must_use]
    pub fn start_recording(
        &self,
        key: KeyHash,
        content_hash: u64,
        dispatched: Option<Arc<AtomicBool>>,
    ) -> Recorder {
        let recording = Recording::new(content_hash, dispatched, Arc::clone(&self.bytes));
        let recording = Arc::new(recording);
        self.lock().by_key.insert(key, Arc::clone(&recording));
        Recorder {
            answers: self.clone(),
            key,
            recording,
        }
    }

    /// Looks up the answer of a request that is running or has ended.
    #[must_use]
    pub fn find(&self, key: KeyHash, content_hash: u64) -> Lookup {
        let state = self.lock();
        let Some(recording) = state.by_key.get(&key) else {
            return Lookup::NotFound;
        };
        if recording.content_hash() != content_hash {
            return Lookup::Mismatch;
        }
        // The reader is registered while the lock is held, so that the request is not cancelled
        // for lack of readers in between.
        Lookup::Answer(recording.read(&self.tasks))
    }

    /// Drops expired answers, and the oldest ones while the store exceeds its memory limit.
    pub fn sweep(&self, retention: Duration) {
        let mut state = self.lock();
        let now = Instant::now();
        let is_expired = |at: &Instant, recording: &Recording| {
            let kept = if recording.is_once_only() {
                retention
            } else {
                REPEATABLE_RETENTION
            };
            now.duration_since(*at) >= kept
        };
        let State { by_key, ended } = &mut *state;
        ended.retain(|(at, key, recording)| {
            let expired = is_expired(at, recording);
            if expired {
                remove_recording(by_key, *key, recording);
            }
            !expired
        });
        while self.bytes.load(Ordering::Acquire) > MAX_TOTAL_BYTES {
            let Some((_, key, recording)) = ended.pop_front() else {
                break;
            };
            recording.overflow();
            remove_recording(by_key, key, &recording);
        }
    }

    /// Returns the number of recorded answers, including those of running requests, for the
    /// metrics.
    #[must_use]
    pub fn len(&self) -> usize {
        self.lock().by_key.len()
    }

    /// Returns the number of callers that read a recorded answer, without the callers that started
    /// the requests.
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

    /// Returns a receiver of the items of `source`, each converted by `convert`.
    #[must_use]
    pub fn map<A: Send + 'static, B: Send + 'static>(
        &self,
        mut source: mpsc::Receiver<A>,
        mut convert: impl FnMut(A) -> B + Send + 'static,
    ) -> mpsc::Receiver<B> {
        let (sender, receiver) = mpsc::channel(QUEUE_PIECES);
        self.tasks.spawn(async move {
            loop {
                let item = tokio::select! {
                    item = source.recv() => item,
                    // The receiver was dropped. Returning drops `source`, whose sender then sees a
                    // closed channel.
                    () = sender.closed() => return,
                };
                let Some(item) = item else { return };
                if sender.send(convert(item)).await.is_err() {
                    return;
                }
            }
        });
        receiver
    }

    /// Returns a receiver that yields `first` and then the pieces of `rest`.
    #[must_use]
    pub fn chain(&self, first: Piece, mut rest: mpsc::Receiver<Piece>) -> mpsc::Receiver<Piece> {
        let (sender, receiver) = mpsc::channel(QUEUE_PIECES);
        self.tasks.spawn(async move {
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

    pub(super) fn tasks(&self) -> &TaskTracker {
        &self.tasks
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn remove_recording(
    by_key: &mut BTreeMap<KeyHash, Arc<Recording>>,
    key: KeyHash,
    recording: &Arc<Recording>,
) {
    // A later request with the same key may have replaced the recording.
    if by_key
        .get(&key)
        .is_some_and(|held| Arc::ptr_eq(held, recording))
    {
        by_key.remove(&key);
    }
}

/// Records the answer of one request. Dropping it before the end of the answer removes the
/// recording from the store.
pub struct Recorder {
    answers: AnswerStore,
    key: KeyHash,
    recording: Arc<Recording>,
}

impl Recorder {
    /// Forwards an answer to its caller and records it.
    ///
    /// The source is dropped, which cancels the request, when the caller and all other readers have
    /// disconnected. With `complete` it is read to its end in any case.
    #[must_use]
    pub fn record(self, source: mpsc::Receiver<Piece>, complete: bool) -> mpsc::Receiver<Piece> {
        let (sender, receiver) = mpsc::channel(QUEUE_PIECES);
        let tasks = self.answers.tasks.clone();
        tasks.spawn(self.forward(source, sender, complete));
        receiver
    }

    async fn forward(
        self,
        mut source: mpsc::Receiver<Piece>,
        caller: mpsc::Sender<Piece>,
        complete: bool,
    ) {
        loop {
            let piece = tokio::select! {
                piece = source.recv() => piece.unwrap_or_else(missing_answer),
                () = self.wait_until_abandoned(&caller), if !complete => return,
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
            // The send fails if the caller has disconnected, but other readers may remain.
            let _ = caller.send(piece).await;
            if last {
                return;
            }
        }
    }

    /// Waits until the caller and all readers have disconnected, then removes the recording from
    /// the store.
    async fn wait_until_abandoned(&self, caller: &mpsc::Sender<Piece>) {
        caller.closed().await;
        loop {
            self.recording.wait_for_no_readers().await;
            let mut state = self.answers.lock();
            if self.recording.readers() == 0 {
                remove_recording(&mut state.by_key, self.key, &self.recording);
                return;
            }
        }
    }

    /// Marks the answer as ended. A successful answer is kept, and so is the unknown outcome of a
    /// once-only request that was dispatched. Any other failure is removed, so that the request can
    /// be tried again.
    fn close(&self, failed: Option<Kind>) {
        let kept = match failed {
            None => true,
            Some(kind) => kind == Kind::Unknown && self.recording.dispatched(),
        };
        let mut state = self.answers.lock();
        if kept {
            let entry = (Instant::now(), self.key, Arc::clone(&self.recording));
            state.ended.push_back(entry);
        } else {
            remove_recording(&mut state.by_key, self.key, &self.recording);
        }
    }
}

impl Drop for Recorder {
    fn drop(&mut self) {
        if !self.recording.has_ended() {
            remove_recording(&mut self.answers.lock().by_key, self.key, &self.recording);
            self.recording.push(missing_answer());
        }
    }
}

fn missing_answer() -> Piece {
    Piece::Fail(Refusal::unknown(
        "internal",
        "the request ended without an answer",
    ))
}
