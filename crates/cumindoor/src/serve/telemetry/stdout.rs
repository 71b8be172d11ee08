//! Log output to standard output that never blocks a request.
//!
//! Lines are queued in memory, and a separate thread writes them. Lines that exceed the rate limit,
//! or that find the queue full because nothing reads the output, are dropped and counted.

use std::io::Write as _;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use logforth::append::Append;
use logforth::diagnostic::Diagnostic;
use logforth::kv::{KeyView, ValueView, Visitor};
use logforth::record::Record;

/// The maximum number of lines that wait for the writer thread.
const QUEUE_LINES: usize = 4_096;
/// The length of a typical line, used as the initial capacity of its buffer.
const TYPICAL_LINE_BYTES: usize = 192;
/// The time between writes. Longer intervals cost fewer wake-ups.
const WRITE_INTERVAL: Duration = Duration::from_millis(200);
/// The maximum size of a write.
///
/// POSIX guarantees that writes of up to `PIPE_BUF` bytes to a pipe are atomic. Lines of processes
/// that share a pipe are therefore not interleaved, and a killed process leaves no partial line.
const MAX_WRITE_BYTES: usize = 4_096;
/// The longest time that a process waits at its end for the last lines to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);
/// How often [`StdoutAppender::flush`] checks whether all lines are written.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// An appender that queues lines for the writer thread.
#[derive(Debug)]
pub(super) struct StdoutAppender {
    lines: SyncSender<Vec<u8>>,
    /// The number of lines that are queued and not yet written.
    pending: Arc<AtomicUsize>,
    /// The maximum number of lines per second.
    rate: u32,
    window: Mutex<RateWindow>,
}

/// The lines of the current second.
#[derive(Debug)]
struct RateWindow {
    started: Instant,
    accepted: u32,
    dropped: u64,
}

impl RateWindow {
    /// Starts the next window. Returns a line that counts the lines dropped in this one, if any.
    fn restart(&mut self) -> Option<Vec<u8>> {
        let count = self.dropped;
        *self = Self {
            started: Instant::now(),
            accepted: 0,
            dropped: 0,
        };
        let at = SystemTime::now().duration_since(UNIX_EPOCH);
        let at = at.unwrap_or_default().as_secs_f64();
        let text = format!(r#"{{"at":{at:.3},"event":"lines left out","count":{count}}}"#);
        (count > 0).then(|| text.into())
    }
}

impl StdoutAppender {
    /// Starts the writer thread and returns an appender that accepts at most `rate` lines per
    /// second.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread cannot be started.
    pub(super) fn spawn(rate: u32) -> std::io::Result<Self> {
        let (lines, receiver) = sync_channel(QUEUE_LINES);
        let pending = Arc::new(AtomicUsize::new(0));
        let pending_writer = Arc::clone(&pending);
        std::thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_batches(&receiver, &pending_writer))?;
        Ok(Self {
            lines,
            pending,
            rate,
            window: Mutex::new(RateWindow {
                started: Instant::now(),
                accepted: 0,
                dropped: 0,
            }),
        })
    }

    /// Returns whether a line may be written, and a line that counts those dropped in the previous
    /// window, if any.
    fn admit(&self) -> (bool, Option<Vec<u8>>) {
        let mut window = self.window.lock().unwrap_or_else(PoisonError::into_inner);
        let mut summary = None;
        if window.started.elapsed() >= Duration::from_secs(1) {
            summary = window.restart();
        }
        window.accepted += 1;
        let admitted = window.accepted <= self.rate;
        window.dropped += u64::from(!admitted);
        (admitted, summary)
    }

    fn queue(&self, mut line: Vec<u8>) {
        line.push(b'\n');
        self.pending.fetch_add(1, Ordering::Relaxed);
        if let Err(TrySendError::Full(_)) = self.lines.try_send(line) {
            self.pending.fetch_sub(1, Ordering::Relaxed);
            let mut window = self.window.lock().unwrap_or_else(PoisonError::into_inner);
            window.dropped += 1;
        }
    }
}

impl Append for StdoutAppender {
    fn append(&self, record: &Record, _: &[Box<dyn Diagnostic>]) -> Result<(), logforth::Error> {
        let (admitted, summary) = self.admit();
        if let Some(summary) = summary {
            self.queue(summary);
        }
        if admitted {
            self.queue(encode_record(record)?);
        }
        Ok(())
    }

    /// Waits until the queued lines are written, at most for [`FLUSH_TIMEOUT`]. Without this limit,
    /// a reader of the output that stopped reading would block the process.
    fn flush(&self) -> Result<(), logforth::Error> {
        let summary = {
            let mut window = self.window.lock().unwrap_or_else(PoisonError::into_inner);
            window.restart()
        };
        if let Some(summary) = summary {
            self.queue(summary);
        }
        let deadline = Instant::now() + FLUSH_TIMEOUT;
        while self.pending.load(Ordering::Relaxed) > 0 && Instant::now() < deadline {
            std::thread::sleep(FLUSH_POLL_INTERVAL);
        }
        Ok(())
    }
}

/// Encodes a record as a JSON object with the time, the name of the event, its level and fields.
///
/// The source location is omitted to keep lines short, because writing a line costs as much as
/// handling a small request.
fn encode_record(record: &Record) -> Result<Vec<u8>, logforth::Error> {
    let since = record.time().duration_since(UNIX_EPOCH).unwrap_or_default();
    let mut line = Vec::with_capacity(TYPICAL_LINE_BYTES);
    let io_error = logforth::Error::from_io_error;
    write!(line, r#"{{"at":{:.3},"event":"#, since.as_secs_f64()).map_err(io_error)?;
    write_text(&mut line, &record.payload().to_string())?;
    write!(line, r#","level":"{}""#, record.level().name()).map_err(io_error)?;
    record.key_values().visit(&mut FieldWriter(&mut line))?;
    line.push(b'}');
    Ok(line)
}

struct FieldWriter<'a>(&'a mut Vec<u8>);

impl Visitor for FieldWriter<'_> {
    fn visit(&mut self, key: KeyView, value: ValueView) -> Result<(), logforth::Error> {
        self.0.push(b',');
        write_text(self.0, &key.to_string())?;
        self.0.push(b':');
        serde_json::to_writer(&mut *self.0, &value).map_err(encoding_error)
    }
}

fn write_text(line: &mut Vec<u8>, text: &str) -> Result<(), logforth::Error> {
    serde_json::to_writer(line, text).map_err(encoding_error)
}

fn encoding_error(error: serde_json::Error) -> logforth::Error {
    logforth::Error::new("a log line cannot be encoded").with_source(error)
}

/// Writes queued lines in batches. Returns when standard output fails or the queue is closed.
fn write_batches(lines: &Receiver<Vec<u8>>, pending: &AtomicUsize) {
    let mut output = std::io::stdout();
    while let Ok(first) = lines.recv() {
        std::thread::sleep(WRITE_INTERVAL);
        let (mut batch, mut count) = (first, 1);
        for line in lines.try_iter() {
            if batch.len() + line.len() > MAX_WRITE_BYTES {
                if output.write_all(&batch).is_err() {
                    return;
                }
                pending.fetch_sub(count, Ordering::Relaxed);
                (batch, count) = (Vec::new(), 0);
            }
            batch.extend_from_slice(&line);
            count += 1;
        }
        if output.write_all(&batch).is_err() {
            return;
        }
        pending.fetch_sub(count, Ordering::Relaxed);
    }
}
