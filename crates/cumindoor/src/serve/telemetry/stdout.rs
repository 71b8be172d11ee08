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
const QUEUED: usize = 4_096;
/// Bytes of a usual line.
const LINE_BYTES: usize = 192;
/// How often lines are written; fewer wake-ups cost less.
const PERIOD: Duration = Duration::from_millis(200);
/// Bytes of one write at most: a pipe takes so many at once or none (POSIX, `PIPE_BUF`), so that
/// lines of processes with a common pipe are not mixed, and a killed process cuts no line.
const WRITE_BYTES: usize = 4_096;
/// How long an ending process waits for its last lines to be read.
const FLUSH_TIME: Duration = Duration::from_secs(1);
/// How often it looks.
const FLUSH_PERIOD: Duration = Duration::from_millis(10);

/// Appends lines to a queue.
#[derive(Debug)]
pub(super) struct Queued {
    lines: SyncSender<Vec<u8>>,
    /// Lines that are queued and not yet written.
    pending: Arc<AtomicUsize>,
    rate: u32,
    window: Mutex<Window>,
}

#[derive(Debug)]
struct Window {
    began: Instant,
    written: u32,
    left_out: u64,
}

impl Window {
    /// Begins the next window; returns a line about what was left out in this one.
    fn end(&mut self) -> Option<Vec<u8>> {
        let count = self.left_out;
        *self = Self {
            began: Instant::now(),
            written: 0,
            left_out: 0,
        };
        let at = SystemTime::now().duration_since(UNIX_EPOCH);
        let at = at.unwrap_or_default().as_secs_f64();
        let text = format!(r#"{{"at":{at:.3},"event":"lines left out","count":{count}}}"#);
        (count > 0).then(|| text.into())
    }
}

impl Queued {
    /// Starts the writing thread; `rate` lines a second are written at most.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread cannot be started.
    pub(super) fn spawn(rate: u32) -> std::io::Result<Self> {
        let (lines, receiver) = sync_channel(QUEUED);
        let pending = Arc::new(AtomicUsize::new(0));
        let unwritten = Arc::clone(&pending);
        std::thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_all(&receiver, &unwritten))?;
        Ok(Self {
            lines,
            pending,
            rate,
            window: Mutex::new(Window {
                began: Instant::now(),
                written: 0,
                left_out: 0,
            }),
        })
    }

    /// Returns whether a line may be written, and a line about those that were left out before.
    fn admit(&self) -> (bool, Option<Vec<u8>>) {
        let mut window = self.window.lock().unwrap_or_else(PoisonError::into_inner);
        let mut notice = None;
        if window.began.elapsed() >= Duration::from_secs(1) {
            notice = window.end();
        }
        window.written += 1;
        let admitted = window.written <= self.rate;
        window.left_out += u64::from(!admitted);
        (admitted, notice)
    }

    fn queue(&self, mut line: Vec<u8>) {
        line.push(b'\n');
        self.pending.fetch_add(1, Ordering::Relaxed);
        if let Err(TrySendError::Full(_)) = self.lines.try_send(line) {
            self.pending.fetch_sub(1, Ordering::Relaxed);
            let mut window = self.window.lock().unwrap_or_else(PoisonError::into_inner);
            window.left_out += 1;
        }
    }
}

impl Append for Queued {
    fn append(&self, record: &Record, _: &[Box<dyn Diagnostic>]) -> Result<(), logforth::Error> {
        let (admitted, notice) = self.admit();
        if let Some(notice) = notice {
            self.queue(notice);
        }
        if admitted {
            self.queue(line(record)?);
        }
        Ok(())
    }

    /// Waits until the queued lines are written, but not for a reader that has gone.
    fn flush(&self) -> Result<(), logforth::Error> {
        let notice = {
            let mut window = self.window.lock().unwrap_or_else(PoisonError::into_inner);
            window.end()
        };
        if let Some(notice) = notice {
            self.queue(notice);
        }
        let until = Instant::now() + FLUSH_TIME;
        while self.pending.load(Ordering::Relaxed) > 0 && Instant::now() < until {
            std::thread::sleep(FLUSH_PERIOD);
        }
        Ok(())
    }
}

/// Writes one record as a JSON object: when, the event's name, the level and the fields of the
/// event. Where in the source it comes from is left out: a line costs as much as a small request.
fn line(record: &Record) -> Result<Vec<u8>, logforth::Error> {
    let since = record.time().duration_since(UNIX_EPOCH).unwrap_or_default();
    let mut line = Vec::with_capacity(LINE_BYTES);
    let failed = logforth::Error::from_io_error;
    write!(line, r#"{{"at":{:.3},"event":"#, since.as_secs_f64()).map_err(failed)?;
    write_text(&mut line, &record.payload().to_string())?;
    write!(line, r#","level":"{}""#, record.level().name()).map_err(failed)?;
    record.key_values().visit(&mut Fields(&mut line))?;
    line.push(b'}');
    Ok(line)
}

struct Fields<'a>(&'a mut Vec<u8>);

impl Visitor for Fields<'_> {
    fn visit(&mut self, key: KeyView, value: ValueView) -> Result<(), logforth::Error> {
        self.0.push(b',');
        write_text(self.0, &key.to_string())?;
        self.0.push(b':');
        serde_json::to_writer(&mut *self.0, &value).map_err(encoding)
    }
}

fn write_text(line: &mut Vec<u8>, text: &str) -> Result<(), logforth::Error> {
    serde_json::to_writer(line, text).map_err(encoding)
}

fn encoding(error: serde_json::Error) -> logforth::Error {
    logforth::Error::new("a log line cannot be encoded").with_source(error)
}

/// Writes lines as they come, several at a time; ends when nobody can read them any more.
fn write_all(lines: &Receiver<Vec<u8>>, pending: &AtomicUsize) {
    let mut output = std::io::stdout();
    while let Ok(first) = lines.recv() {
        std::thread::sleep(PERIOD);
        let (mut batch, mut count) = (first, 1);
        for line in lines.try_iter() {
            if batch.len() + line.len() > WRITE_BYTES {
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
