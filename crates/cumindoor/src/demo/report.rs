//! The output of the demonstration.

use std::io::Write as _;
use std::time::Instant;

/// Prints lines with the time since the demonstration started.
pub(super) struct Report {
    start: Instant,
}

impl Report {
    pub(super) fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Prints a heading, preceded by an empty line.
    pub(super) fn title(&self, text: &str) {
        self.raw_line(&format!("\n{text}"));
    }

    /// Prints a line that begins with the time since the start.
    pub(super) fn timed_line(&self, text: &str) {
        let seconds = self.start.elapsed().as_secs_f64();
        self.raw_line(&format!("{seconds:7.2} s  {text}"));
    }

    /// Prints a line unchanged and ignores errors, such as a closed pipe.
    #[expect(clippy::unused_self, reason = "all output goes through the report")]
    pub(super) fn raw_line(&self, text: &str) {
        let mut stdout = std::io::stdout().lock();
        let _ = writeln!(stdout, "{text}");
        let _ = stdout.flush();
    }
}

/// Truncates a long text.
pub(super) fn excerpt(text: &str) -> String {
    const MAX_CHARS: usize = 60;
    let start: String = text.chars().take(MAX_CHARS).collect();
    if start.len() < text.len() {
        format!("{}…", start.trim())
    } else {
        start.trim().to_owned()
    }
}
