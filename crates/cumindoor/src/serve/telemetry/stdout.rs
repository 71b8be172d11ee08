//! Log lines on the standard output that never hold up a request.
//!
//! Lines are kept in memory until a thread of their own has written them. Lines beyond a rate, or
//! beyond what the buffer holds while nobody reads, are left out and counted.

use std::io::Write as _;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use logforth::append::Append;
use logforth::diagnostic::Diagnostic;
use logforth::kv::{KeyView, ValueView, Visitor};
use logforth::record::Record;

/// Lines that wait for the writing thread.
const QUEUE_LINES: usize = 4_096;
/// Bytes of a usual line.
const TYPICAL_LINE_BYTES: usize = 192;
/// How often lines are written; fewer wake-ups cost less.
const WRITE_INTERVAL: Duration = Duration::from_millis(200);
/// Bytes of one write at most: a pipe takes so many at once or none (POSIX, `PIPE_BUF`), so that
/// lines of processes with a common pipe are not mixed, and a killed process cuts no line.
const MAX_WRITE_BYTES: usize = 4_096;
/// How long an ending process waits for its last lines to be read.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);
/// How often it looks.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Appends lines to a queue.
#[derive(Debug)]
pub(super) struct StdoutAppender {
    lines: SyncSender<Vec<u8>>,
    /// Lines that are queued and not yet written.
    pending: Arc<AtomicUsize>,
    rate: u32,
    window: Mutex<RateWindow>,
}

#[derive(Debug)]
struct RateWindow {
    started: Instant,
    accepted: u32,
    dropped: u64,
}

impl RateWindow {
    /// Begins the next window; returns a line about what was left out in this one.
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
    /// Starts the writing thread; `rate` lines a second are written at most.
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

    /// Returns whether a line may be written, and a line about those that were left out before.
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

    /// Waits until the queued lines are written, but not for a reader that has gone.
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

/// Writes one record as a JSON object: when, the event's name, the level and the fields of the
/// event. Where in the source it comes from is left out: a line costs as much as a small request.
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

/// Writes lines as they come, several at a time; ends when nobody can read them any more.
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
